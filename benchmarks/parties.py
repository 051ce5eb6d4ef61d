"""The processes of a measurement: a switch with its change log, and loads that place calls at a steady rate.

Each runs as `python -m benchmarks.parties PARTY JSON`. The switch prints one JSON line when it is ready and
ends when its standard input closes; a load prints one JSON line when it is done, and ends.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import secrets
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from rowanmast.config import check_config
from rowanmast.embed import Bounds, CallRequest, EmbeddedRouter, Stands
from rowanmast.lab.demo import config_document
from rowanmast.lab.simulated import SimulatedChangeLog, SimulatedStation, SimulatedSwitch, host_entry
from rowanmast.net import jsonlines
from rowanmast.net.changelog import Reader

CALL_CLASS = "item-lookup"
DEST = 1
CIRCUITS = 10**6  # large enough never to limit the calls
PLACE_INTERVAL_S = 0.005


@dataclass
class LoadResult:
    """The result of a load.

    Delays are in seconds; `cpu_s` is the processor time of the load's process, `router_cpu_s` that of its
    router's thread. `resident_kb` is the resident memory of 1,000 standing calls.
    """

    offered: int = 0
    stood: int = 0
    span_s: float = 0.0
    cpu_s: float = 0.0
    router_cpu_s: float = 0.0
    resident_kb: int = 0
    delays: list[float] = field(default_factory=list)


def print_json(value: Any) -> None:
    """Prints a value as one JSON line."""
    print(json.dumps(value), flush=True)


async def switch(hold_s: float) -> None:
    """Runs one switch with no processing time, and its change log."""
    simulated_switch = SimulatedSwitch("s1", DEST, circuits=CIRCUITS, processing_s=0.0, hold_s=hold_s)
    changes = SimulatedChangeLog()
    await simulated_switch.start()
    await changes.start()
    changes.add(True, host_entry(simulated_switch))
    print_json({"switch": simulated_switch.address, "changelog": changes.address})
    await asyncio.to_thread(sys.stdin.read)


async def place_steadily(rate: float, seconds: float, place: Callable[[], None]) -> float:
    """Calls `place` at `rate` a second for `seconds`; returns the actual duration."""
    loop = asyncio.get_running_loop()
    started_at, placed = loop.time(), 0
    while (past := loop.time() - started_at) < seconds:
        while placed < past * rate:
            place()
            placed += 1
        await asyncio.sleep(PLACE_INTERVAL_S)
    return loop.time() - started_at


async def sip(listen: tuple[str, int], rate: float, seconds: float) -> None:
    """Places calls through a daemon, over SIP."""
    loop = asyncio.get_running_loop()
    _, station = await loop.create_connection(lambda: SimulatedStation(CALL_CLASS, 9.0), *listen)
    span = await place_steadily(rate, seconds, lambda: station.dial(DEST))
    await asyncio.sleep(0.3)
    counts = station.counts
    print_json(asdict(LoadResult(counts.offered, counts.stood, span, delays=counts.delays)))


class DirectCaller(asyncio.Protocol):
    """Places calls directly at the switch, without a router, as the baseline for the other loads."""

    def __init__(self) -> None:
        self.parser = jsonlines.Parser()
        self.started_at: dict[str, float] = {}
        self.result = LoadResult()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def place(self) -> None:
        """Sends one set-up to the switch."""
        call = secrets.token_hex(8)
        self.result.offered += 1
        self.started_at[call] = time.monotonic()
        attrs = {"class": CALL_CLASS, "key": call, "left": "9000"}
        self.transport.write(jsonlines.encode("open", call, attrs, text="dest=1 parcel"))

    def data_received(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "ready":
                self.result.stood += 1
                self.result.delays.append(time.monotonic() - self.started_at.pop(line.sid))


async def direct(at: tuple[str, int], rate: float, seconds: float) -> None:
    """Places calls directly at the switch."""
    _, caller = await asyncio.get_running_loop().create_connection(DirectCaller, *at)
    caller.result.span_s = await place_steadily(rate, seconds, caller.place)
    await asyncio.sleep(0.3)
    print_json(asdict(caller.result))


def resident_kb(process: str = "self") -> int:
    """Resident memory of a process, in kB."""
    status = Path(f"/proc/{process}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


def thread_cpu_s(native_id: int | None) -> float:
    """Processor time of one thread of this process so far, in seconds."""
    fields = Path(f"/proc/self/task/{native_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def library(changelog: tuple[str, int], rate: float, seconds: float, standing: int = 0) -> None:
    """Places calls through an embedded router; with `standing`, measures the memory of that many calls."""
    config = check_config(config_document(("127.0.0.1", 9), changelog, 1), Reader())
    loop = asyncio.get_running_loop()
    result = LoadResult()
    tasks: set[asyncio.Task[None]] = set()
    async with EmbeddedRouter(config, bounds=Bounds(max_open=10_000, max_standing=100_000)) as router:
        await asyncio.to_thread(router.wait_ready)

        async def place_one() -> None:
            started_at = time.monotonic()
            outcome = await router.place(
                CallRequest(secrets.token_hex(8), DEST, CALL_CLASS, 9.0, "dest=1 parcel")
            )
            if isinstance(outcome, Stands):
                result.stood += 1
                result.delays.append(time.monotonic() - started_at)
                await outcome.call.over()

        def place() -> None:
            result.offered += 1
            task = loop.create_task(place_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        if standing:
            gc.collect()
            before = resident_kb()
            await place_steadily(1000.0, standing / 1000.0, place)
            await asyncio.sleep(0.3)
            result.resident_kb = (resident_kb() - before) * 1000 // max(result.stood, 1)
        else:
            native_id = router.thread.native_id if router.thread is not None else None
            cpu_before, thread_cpu_before = cpu_s(), thread_cpu_s(native_id)
            result.span_s = await place_steadily(rate, seconds, place)
            result.cpu_s, result.router_cpu_s = (
                cpu_s() - cpu_before,
                thread_cpu_s(native_id) - thread_cpu_before,
            )
            await asyncio.sleep(0.3)
        await router.aclose(0.0)
    print_json(asdict(result))


def cpu_s() -> float:
    """Processor time of this process so far, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


PARTIES: dict[str, Callable[..., Coroutine[Any, Any, None]]] = {
    "switch": switch,
    "sip": sip,
    "direct": direct,
    "library": library,
}

if __name__ == "__main__":
    uvloop.run(PARTIES[sys.argv[1]](**json.loads(sys.argv[2])))
