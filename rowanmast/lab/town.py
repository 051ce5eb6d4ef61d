"""A town on loopback: toy switches that speak JSON lines, their change log, and stations that speak SIP.

They stand in for the platform's, after its protocol's words, and share the router's codecs, not its
decisions. A switch has a processor that takes set-ups in turn, circuits towards the router, and calls that it
holds for a while; one that gets a call for another switch passes it on there, as a tandem does.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

import ujson

from rowanmast.causes import NORMAL_CLEARING
from rowanmast.net import jsonlines, sip

NO_CIRCUIT = 34
TELL_S = 0.05
DEST = "dest="  # a station names the destination in its description, as JSON lines carry no route


@dataclass(slots=True)
class Standing:
    """A call in work or standing at a switch."""

    side: SwitchSide
    tandem: ToySwitch | None  # it came through
    stands: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass
class Tally:
    """What a switch has seen."""

    taken: int = 0
    tandem: int = 0
    turned_back: int = 0
    ended: int = 0


class ToySwitch:
    """A switch: `work_s` of processor time a set-up, `circuits` to the router, calls of `hold_s`."""

    def __init__(
        self,
        name: str,
        number: int,
        *,
        circuits: int = 30,
        work_s: float = 0.002,
        hold_s: float = 1.5,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.number = number
        self.circuits = circuits
        self.work_s = work_s
        self.hold_s = hold_s
        self.random = Random(seed * 1009 + number)
        self.calls: dict[str, Standing] = {}
        self.used = 0  # circuits of the group to the router
        self.busy_until = 0.0
        self.sides: list[SwitchSide] = []
        self.town: dict[int, ToySwitch] = {}
        self.tally = Tally()
        self.telling: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchSide(self), "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for side in self.sides:
            side.transport.abort()

    def load(self) -> str:
        now = asyncio.get_running_loop().time()
        queue = max(self.busy_until - now, 0.0) / self.work_s if self.work_s else 0.0
        return f"x0:{self.circuits - self.used};x1:{self.circuits};queue:{queue:.0f}"

    def tell_group(self) -> None:
        """Tells of the group's free circuits soon: changes within `TELL_S` go out as one."""
        if self.telling is None:
            self.telling = asyncio.get_running_loop().call_later(TELL_S, self.tell_now)

    def tell_now(self) -> None:
        self.telling = None
        line = jsonlines.write("status", "", {"load": self.load()})
        for side in self.sides:
            side.write(line)

    def opened(self, side: SwitchSide, line: jsonlines.Line) -> None:
        if self.used >= self.circuits:
            side.close(line.sid, NO_CIRCUIT, "all_trunks_busy", self.load())
            return
        self.used += 1
        self.tell_group()
        there = self.town.get(destination(line.text), self)
        if there is not self:
            self.tally.tandem += 1
        there.tally.taken += 1
        there.calls[line.sid] = Standing(side, None if there is self else self)
        wait = self.work() + (there.work() if there is not self else 0.0)
        asyncio.get_running_loop().call_later(wait, there.stand, line.sid, line.text)

    def work(self) -> float:
        """How long a set-up that comes now takes until it is through the processor, in seconds."""
        now = asyncio.get_running_loop().time()
        self.busy_until = max(self.busy_until, now) + self.work_s
        return self.busy_until - now

    def stand(self, call: str, text: str) -> None:
        standing = self.calls.get(call)
        if standing is None:
            return
        standing.stands = True
        standing.side.write(jsonlines.write("ready", call, {"load": self.load()}, text=text))
        hold = self.random.expovariate(1 / self.hold_s)
        standing.timer = asyncio.get_running_loop().call_later(hold, self.finish, call)

    def finish(self, call: str) -> None:
        standing = self.forget(call)
        if standing is not None:
            self.tally.ended += 1
            standing.side.close(call, NORMAL_CLEARING, "", (standing.tandem or self).load())

    def forget(self, call: str) -> Standing | None:
        standing = self.calls.pop(call, None)
        if standing is not None:
            if standing.timer is not None:
                standing.timer.cancel()
            gate = standing.tandem or self
            gate.used -= 1
            gate.tell_group()
        return standing

    def closed(self, call: str) -> None:
        """The router has given up or released it; where it came through us, it is at another switch."""
        for switch in (self, *self.town.values()):
            if call in switch.calls:
                switch.forget(call)
                return


def destination(text: str) -> int:
    figures = text.partition(DEST)[2].split()
    return int(figures[0]) if figures and figures[0].isdigit() else -1


class SwitchSide(asyncio.Protocol):
    """One connection of a router to a toy switch."""

    def __init__(self, switch: ToySwitch) -> None:
        self.switch = switch
        self.parser = jsonlines.Parser()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.switch.sides.append(self)
        self.write(jsonlines.write("status", "", {"load": self.switch.load()}))

    def connection_lost(self, exc: Exception | None) -> None:
        self.switch.sides.remove(self)
        for switch in (self.switch, *self.switch.town.values()):
            for call, standing in list(switch.calls.items()):
                if standing.side is self and not standing.stands:
                    switch.forget(call)

    def write(self, line: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(line)

    def close(self, call: str, cause: int, note: str, load: str) -> None:
        attrs = {"load": load, **({"note": note} if note else {})}
        self.write(jsonlines.write("close", call, attrs, code=cause))

    def data_received(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "open":
                self.switch.opened(self, line)
            elif line.msg == "close":
                self.switch.closed(line.sid)
            elif line.msg == "probe":
                self.write(jsonlines.write("probed", line.sid, {"load": self.switch.load()}, code=1))


class ToyChangeLog:
    """Tells of the switches over HTTP, as soon as there is something new."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.sides: list[LogSide] = []
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: LogSide(self), "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for side in self.sides:
            side.transport.abort()

    def add(self, whole: bool, *hosts: dict[str, Any]) -> None:
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": list(hosts)}})
        for side in self.sides:
            side.answer(only_news=True)


def host_entry(switch: ToySwitch, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
    """A switch's entry in the change log; `born_ms` is the Unix millisecond of a late start, or 0."""
    return {
        "host": switch.name,
        "dial": "{}:{}".format(*switch.address),
        "site": "toytown",
        "class": "standard",
        "block": switch.number,
        "health": health,
        "share": 1,
        "born_ms": born_ms,
    }


class LogSide(asyncio.Protocol):
    """One connection to the toy change log: one question after the other."""

    def __init__(self, changes: ToyChangeLog) -> None:
        self.changes = changes
        self.transport: asyncio.Transport
        self.since: int | None = None
        self.buffer = b""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.changes.sides.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.changes.sides.remove(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, blank, rest = self.buffer.partition(b"\r\n\r\n")
        if not blank:
            return
        self.buffer = rest
        query = head.split()[1].decode().partition("?")[2]
        figures = dict(part.partition("=")[::2] for part in query.split("&"))
        self.since = int(figures.get("since", 0))
        wait = min(int(figures.get("timeout", 0)), 5000) / 1000
        self.timer = asyncio.get_running_loop().call_later(wait, self.answer)
        self.answer(only_news=True)

    def answer(self, only_news: bool = False) -> None:
        if self.since is None or (only_news and self.since >= len(self.changes.events)):
            return
        news = self.changes.events[self.since :]
        self.since = None
        if self.timer is not None:
            self.timer.cancel()
        body = ujson.dumps({"seq": len(self.changes.events), "results": news}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


@dataclass
class Counts:
    """What a station's calls came to; delays are seconds from offer to answer."""

    offered: int = 0
    stood: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0  # no answer before the station gave up
    released: int = 0
    delays: list[float] = field(default_factory=list)


class ToyStation(asyncio.Protocol):
    """A scanning station that speaks SIP: dials, waits for answers, acknowledges releases."""

    def __init__(self, klass: str, wait_s: float) -> None:
        self.klass = klass
        self.wait_s = wait_s
        self.parser = sip.Parser()
        self.transport: asyncio.Transport
        self.open: dict[str, tuple[float, asyncio.TimerHandle]] = {}
        self.counts = Counts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        for call in list(self.open):
            self.lose(call)

    def dial(self, dest: int) -> None:
        loop = asyncio.get_running_loop()
        call = secrets.token_hex(8)
        headers = (
            ("Via", "SIP/2.0/TCP toy"),
            ("Call-ID", call),
            ("CSeq", "1 INVITE"),
            ("X-Service", self.klass),
            ("X-Setup-Ms", str(int(self.wait_s * 1000))),
            ("X-Route", f"dest:{dest};width:1;via:-1"),
        )
        self.counts.offered += 1
        self.open[call] = (time.monotonic(), loop.call_later(self.wait_s + 0.05, self.lose, call))
        body = f"{DEST}{dest} parcel\r\n".encode()
        self.write(sip.write(f"INVITE sip:{secrets.token_hex(8)}@net SIP/2.0", headers, body))

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def lose(self, call: str) -> None:
        if self.open.pop(call, None) is not None:
            self.counts.lost += 1

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if message.method == "BYE":
                self.counts.released += 1
                self.write(sip.respond(message, 200))
            elif message.status >= 200 and message.cseq_method == "INVITE":
                self.answered(message)

    def answered(self, message: sip.Message) -> None:
        begun, timer = self.open.pop(message.call_id, (0.0, None))
        if timer is None:
            return
        timer.cancel()
        head = (("Call-ID", message.call_id), ("CSeq", "1 ACK"))
        self.write(sip.write(f"ACK sip:{message.call_id}@net SIP/2.0", head))
        if message.status == 200:
            self.counts.stood += 1
            self.counts.delays.append(time.monotonic() - begun)  # uvloop's clock has milliseconds only
        elif message.status in (480, 503):
            self.counts.refused += 1
        else:
            self.counts.failed += 1


async def poisson(
    rate: float, seconds: float, random: Random, offer: Callable[[], None], until: Callable[[], bool]
) -> None:
    """Calls `offer` at random times, `rate` a second on average, for `seconds` or until told to stop."""
    loop = asyncio.get_running_loop()
    begun = due = loop.time()
    while not until():
        due += random.expovariate(rate)
        if due - begun >= seconds:
            await asyncio.sleep(max(begun + seconds - loop.time(), 0))
            return
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        offer()
