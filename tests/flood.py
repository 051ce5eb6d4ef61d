"""Clients that flood a router process, and the latency of other callers meanwhile.

`python tests/flood.py [SECONDS [KIND ...]]` prints a table of floods; `test_floods.py` holds its bounds.
Router, switches and flooding client are processes of their own, so that none delays the others.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import secrets
import select
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fleet import Fleet
from router_modes import options_text

from rowanmast.config import IaxConfig
from rowanmast.lab.ports import free_address
from rowanmast.net import sip

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = json.loads((ROOT / "examples" / "config.json").read_text())
CALL_INTERVAL_S = 0.02  # of the other callers together
WAIT_S = 3.0
FLOOD_LEAD_S = 0.5  # from the start of a flooding process until it floods
FLOOD_BURST = 64  # messages that a flooding client writes at once
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


def request(method: str, call: str, body: str = "", **headers: str) -> bytes:
    """A SIP request with the headers that callers send."""
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    head = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", f"1 {method}"), *named]
    return sip.encode(f"{method} sip:{call}@net SIP/2.0", head, body.encode())


def invite(call: str, dest: int = 1, wait_ms: int = 3000, body: str = "bin 17\r\n") -> bytes:
    route = f"dest:{dest};width:1;via:-1"
    service = EXAMPLE["settings"]["services"][0]["name"]
    return request("INVITE", call, body, X_Service=service, X_Setup_Ms=str(wait_ms), X_Route=route)


def new_ids() -> Iterator[str]:
    prefix = secrets.token_hex(4)
    return (f"{prefix}{number:08x}" for number in itertools.count())


FLOODS: dict[str, Callable[[str], bytes]] = {
    "options": lambda call: request("OPTIONS", "ping"),
    "options of new names": lambda call: request("OPTIONS", call),
    "bye of unknown calls": lambda call: request("BYE", call),
    "cancel of unknown calls": lambda call: request("CANCEL", call),
    "sound set-ups": invite,
    "set-ups without a class": lambda call: request("INVITE", call, X_Setup_Ms="3000"),
    "set-ups of new classes": lambda call: request(
        "INVITE", call, X_Service=call, X_Setup_Ms="3000", X_Route="dest:1;width:1;via:-1"
    ),
    "set-ups to new places": lambda call: invite(call, dest=int(call[8:], 16) + 1000),
    "one set-up again and again": lambda call: invite("c0ffee"),
    "unknown methods": lambda call: request("REGISTER", call),
    "responses to nothing": lambda call: (
        f"SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n".encode()
    ),
    "unsound bytes": lambda call: b"NONSENSE\r\n\r\n",
}


def flood(address: tuple[str, int], kind: str, seconds: float, reads_answers: bool) -> int:
    """Writes at full speed on one connection, opened again when it is closed; returns the messages sent."""
    make, ids, sent = FLOODS[kind], new_ids(), 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection(address) as connection:
            connection.setblocking(False)
            while time.monotonic() < end:
                burst = b"".join(make(next(ids)) for _ in range(FLOOD_BURST))
                sent += FLOOD_BURST
                while burst and time.monotonic() < end:
                    readable, writable, _ = select.select([connection], [connection], [], 0.1)
                    if readable and reads_answers and not connection.recv(1 << 20):
                        raise ConnectionResetError
                    if writable:
                        burst = burst[connection.send(burst) :]
    return sent


@dataclass
class Latencies:
    """What other callers saw: seconds to the answer of each call, and calls without one."""

    delays: list[float] = field(default_factory=list)
    unanswered: int = 0
    refused: int = 0
    closed_at_rest: int = 0  # connections that the router closed with no call waiting for an answer
    closed_in_call: int = 0  # and with one

    @property
    def median(self) -> float:
        return statistics.median(self.delays) if self.delays else WAIT_S

    @property
    def worst(self) -> float:
        return max(self.delays, default=WAIT_S)


class PoliteCaller(asyncio.Protocol):
    """One connection of a usual caller: one call at a time, released once it is answered."""

    def __init__(self, latencies: Latencies) -> None:
        self.latencies = latencies
        self.parser = sip.Parser()
        self.answer: asyncio.Future[int] | None = None
        self.is_finished = False  # it closes its connection itself

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.is_finished and self.answer is not None and not self.answer.done():
            self.latencies.closed_in_call += 1
        elif not self.is_finished:
            self.latencies.closed_at_rest += 1

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if message.method == "BYE":
                self.transport.write(sip.encode_response(message, 200))
            elif message.cseq_method == "INVITE" and self.answer is not None and not self.answer.done():
                self.answer.set_result(message.status)

    async def call(self, dest: int) -> None:
        """Places one call and records its latency."""
        call, loop = secrets.token_hex(8), asyncio.get_running_loop()
        self.answer = loop.create_future()
        started_at = time.monotonic()
        self.transport.write(invite(call, dest))
        try:
            status = await asyncio.wait_for(self.answer, WAIT_S + 2.0)
        except TimeoutError:
            self.latencies.unanswered += 1
            return
        self.latencies.delays.append(time.monotonic() - started_at)
        self.transport.write(request("ACK", call))
        if status == 200:
            self.transport.write(request("BYE", call))
        else:
            self.latencies.refused += 1


@contextlib.contextmanager
def background(target: Callable[..., object], *arguments: object) -> Iterator[None]:
    """Runs the function in a process of its own, which is killed at the end of the block."""
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=target, args=arguments, daemon=True)
    process.start()
    try:
        yield
    finally:
        process.kill()
        process.join()


class RouterUnderLoad:
    """A router process with a fleet of switches; `with` starts and stops it."""

    def __init__(self, switches: int = 3, sockets: int = 1024, memory_mb: int = 192) -> None:
        self.address = free_address()
        self.iax_address: tuple[str, int] | None = None  # set to serve IAX2 too
        self.change_log: tuple[str, int] | None = None  # set to use another one than the fleet's
        self.other_entries: list[dict[str, Any]] = []  # of switches beside the fleet's
        self.fleet = Fleet(list(range(1, switches + 1)), hold_s=0.2)
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}

    def __enter__(self) -> RouterUnderLoad:
        self.fleet.__enter__()
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name) / "config.json"
        hosts = [*self.fleet.command("entries"), *self.other_entries]
        known = {"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 1, "whole": True, "hosts": hosts}}]}
        places = {
            "listen": "{}:{}".format(*self.address),
            "changelog": "{}:{}".format(*(self.change_log or self.fleet.changelog)),
            "known": known,
            "limits": self.limits,
        }
        path.write_text(json.dumps({**EXAMPLE, **places}))
        environment = {**os.environ, "PROXY_CONFIG": str(path)}
        if self.iax_address is not None:
            options = Path(self.folder.name) / "settings.txtpb"
            options.write_text(options_text(IaxConfig(self.iax_address, {})))
            environment["ROWANMAST_SETTINGS"] = str(options)
        self.log = (Path(self.folder.name) / "log").open("w+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rowanmast"],
            cwd=ROOT,
            env=environment,
            stderr=self.log,
        )
        end = time.monotonic() + 15
        while "event=list" not in self.log_text() or "event=connection_opened" not in self.log_text():
            assert time.monotonic() < end, self.log_text()
            time.sleep(0.02)
        return self

    def __exit__(self, *_: object) -> None:
        self.process.terminate()
        try:
            self.process.wait(10)
        finally:
            self.process.kill()
            self.process.wait()
            self.log.close()
            self.fleet.__exit__()
            self.folder.cleanup()

    def log_text(self) -> str:
        return Path(self.log.name).read_text()

    def resident_mb(self, which: str = "VmHWM") -> float:
        """The process's peak of resident memory so far, or another value of /proc/PID/status, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith(which)]
        return int(line.split()[1]) / 1024

    async def call_politely(
        self, seconds: float, connections: int = 8, places: tuple[int, ...] = (1, 2, 3)
    ) -> Latencies:
        """Places calls of usual callers at a steady rate for this time, to these switches in turn."""
        latencies, loop = Latencies(), asyncio.get_running_loop()
        callers = []
        for _ in range(connections):
            _, caller = await loop.create_connection(lambda: PoliteCaller(latencies), *self.address)
            callers.append(caller)
        end, tasks = loop.time() + seconds, set()
        for number in itertools.count():
            if loop.time() >= end:
                break
            caller = callers[number % connections]
            if caller.answer is None or caller.answer.done():
                tasks.add(loop.create_task(caller.call(places[number % len(places)])))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*tasks)
        for caller in callers:
            caller.is_finished = True
            caller.transport.close()
        return latencies

    def under_flood(self, kind: str, seconds: float, reads_answers: bool) -> Latencies:
        """The latencies of usual callers while one client floods the router."""
        with background(flood, self.address, kind, seconds + FLOOD_LEAD_S, reads_answers):
            time.sleep(FLOOD_LEAD_S)
            return asyncio.run(self.call_politely(seconds))


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    print(f"{'flood':28} read  calls  unanswered refused  median ms  worst ms  peak MB")
    for kind, reads in itertools.product(sys.argv[2:] or FLOODS, (True, False)):
        with RouterUnderLoad() as router:
            got = router.under_flood(kind, seconds, reads)
            print(
                f"{kind:28} {reads!s:5} {len(got.delays):6} {got.unanswered:6} {got.refused:6} "
                f"{got.median * 1000:10.1f} {got.worst * 1000:10.1f} {router.resident_mb():8.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
