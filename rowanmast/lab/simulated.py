"""A simulated network on loopback: switches that speak JSON lines, their change log, and SIP stations.

They replace the platform's parts and follow its protocol. They share the router's codecs but none of its
decisions. A switch processes set-ups one after another, has a limited group of circuits to the router and
holds each call for a random time. It passes a call for another switch on to that one, as a tandem.
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

CAUSE_NO_CIRCUIT = 34
LOAD_REPORT_DELAY_S = 0.05
DEST_PREFIX = "dest="  # stations put the destination into the description, as JSON lines carry no route


@dataclass(slots=True)
class SwitchCall:
    """A call at a switch, from its set-up to its end."""

    connection: SwitchConnection
    tandem: SimulatedSwitch | None  # the switch that passed the call on to this one, if any
    stands: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass
class SwitchCounts:
    """Counters of one switch."""

    accepted: int = 0
    tandem: int = 0  # passed on to another switch
    turned_back: int = 0  # not counted
    ended: int = 0


class SimulatedSwitch:
    """A switch with `circuits` to the router.

    Each set-up takes `processing_s` of its processor; calls last `hold_s` on average.
    """

    def __init__(
        self,
        name: str,
        number: int,
        *,
        circuits: int = 30,
        processing_s: float = 0.002,
        hold_s: float = 1.5,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.number = number
        self.circuits = circuits
        self.processing_s = processing_s
        self.hold_s = hold_s
        self.random = Random(seed * 1009 + number)
        self.calls: dict[str, SwitchCall] = {}
        self.circuits_in_use = 0  # of the group to the router
        self.busy_until = 0.0  # end of the last queued set-up, in loop time
        self.connections: list[SwitchConnection] = []
        self.switches: dict[int, SimulatedSwitch] = {}  # by number: those to which calls can be passed on
        self.counts = SwitchCounts()
        self.load_report_timer: asyncio.TimerHandle | None = None
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchConnection(self), "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in self.connections:
            connection.transport.abort()

    def load_report(self) -> str:
        now = asyncio.get_running_loop().time()
        queue = max(self.busy_until - now, 0.0) / self.processing_s if self.processing_s else 0.0
        return f"x0:{self.circuits - self.circuits_in_use};x1:{self.circuits};queue:{queue:.0f}"

    def schedule_load_report(self) -> None:
        """Reports the free circuits after LOAD_REPORT_DELAY_S, so that changes in between share a message."""
        if self.load_report_timer is None:
            self.load_report_timer = asyncio.get_running_loop().call_later(
                LOAD_REPORT_DELAY_S, self.send_load_report
            )

    def send_load_report(self) -> None:
        self.load_report_timer = None
        line = jsonlines.encode("status", "", {"load": self.load_report()})
        for connection in self.connections:
            connection.write(line)

    def set_up_received(self, connection: SwitchConnection, line: jsonlines.Line) -> None:
        """Accepts a set-up or passes it on; refuses it if no circuit to the router is free."""
        if self.circuits_in_use >= self.circuits:
            connection.send_close(line.sid, CAUSE_NO_CIRCUIT, "all_trunks_busy", self.load_report())
            return
        self.circuits_in_use += 1
        self.schedule_load_report()
        target = self.switches.get(parse_destination(line.text), self)
        if target is not self:
            self.counts.tandem += 1
        target.counts.accepted += 1
        target.calls[line.sid] = SwitchCall(connection, None if target is self else self)
        wait = self.enqueue_set_up() + (target.enqueue_set_up() if target is not self else 0.0)
        asyncio.get_running_loop().call_later(wait, target.stand, line.sid, line.text)

    def enqueue_set_up(self) -> float:
        """Queues a set-up at the processor; returns the seconds until it is processed."""
        now = asyncio.get_running_loop().time()
        self.busy_until = max(self.busy_until, now) + self.processing_s
        return self.busy_until - now

    def stand(self, call: str, text: str) -> None:
        """Answers a set-up; the call then stands for a random time."""
        switch_call = self.calls.get(call)
        if switch_call is None:
            return
        switch_call.stands = True
        switch_call.connection.write(jsonlines.encode("ready", call, {"load": self.load_report()}, text=text))
        hold = self.random.expovariate(1 / self.hold_s)
        switch_call.timer = asyncio.get_running_loop().call_later(hold, self.end_call, call)

    def end_call(self, call: str) -> None:
        switch_call = self.remove_call(call)
        if switch_call is not None:
            self.counts.ended += 1
            switch_call.connection.send_close(
                call, NORMAL_CLEARING, "", (switch_call.tandem or self).load_report()
            )

    def remove_call(self, call: str) -> SwitchCall | None:
        switch_call = self.calls.pop(call, None)
        if switch_call is not None:
            if switch_call.timer is not None:
                switch_call.timer.cancel()
            entry_switch = switch_call.tandem or self
            entry_switch.circuits_in_use -= 1
            entry_switch.schedule_load_report()
        return switch_call

    def closed_by_router(self, call: str) -> None:
        """The router cancelled or released the call, which is at another switch if this one passed it on."""
        for switch in (self, *self.switches.values()):
            if call in switch.calls:
                switch.remove_call(call)
                return


def parse_destination(text: str) -> int:
    """The destination in a description, or -1 if it names none."""
    words = text.partition(DEST_PREFIX)[2].split()
    return int(words[0]) if words and words[0].isdigit() else -1


class SwitchConnection(asyncio.Protocol):
    """One connection of a router to a simulated switch."""

    def __init__(self, switch: SimulatedSwitch) -> None:
        self.switch = switch
        self.parser = jsonlines.Parser()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.switch.connections.append(self)
        self.write(jsonlines.encode("status", "", {"load": self.switch.load_report()}))

    def connection_lost(self, exc: Exception | None) -> None:
        self.switch.connections.remove(self)
        for switch in (self.switch, *self.switch.switches.values()):
            for call, switch_call in list(switch.calls.items()):
                if switch_call.connection is self and not switch_call.stands:
                    switch.remove_call(call)

    def write(self, line: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(line)

    def send_close(self, call: str, cause: int, note: str, load: str) -> None:
        attrs = {"load": load, **({"note": note} if note else {})}
        self.write(jsonlines.encode("close", call, attrs, code=cause))

    def data_received(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "open":
                self.switch.set_up_received(self, line)
            elif line.msg == "close":
                self.switch.closed_by_router(line.sid)
            elif line.msg == "probe":
                self.write(jsonlines.encode("probed", line.sid, {"load": self.switch.load_report()}, code=1))


class SimulatedChangeLog:
    """Serves the change log over HTTP by long polling."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.connections: list[ChangeLogConnection] = []
        self.address = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ChangeLogConnection(self), "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in self.connections:
            connection.transport.abort()

    def add(self, whole: bool, *hosts: dict[str, Any]) -> None:
        """Publishes entries of switches; `whole` if they replace the list of all switches."""
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": list(hosts)}})
        for connection in self.connections:
            connection.respond(only_if_changed=True)


def host_entry(switch: SimulatedSwitch, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
    """A switch's entry in the change log; `born_ms` is the Unix time of its start in ms, 0 if unknown."""
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


class ChangeLogConnection(asyncio.Protocol):
    """One connection to the change log, with one request at a time."""

    def __init__(self, change_log: SimulatedChangeLog) -> None:
        self.change_log = change_log
        self.transport: asyncio.Transport
        # Number of the last event that the sender of the pending request has; None if no request is pending
        self.since: int | None = None
        self.buffer = b""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.change_log.connections.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.change_log.connections.remove(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, blank, rest = self.buffer.partition(b"\r\n\r\n")
        if not blank:
            return
        self.buffer = rest
        query = head.split()[1].decode().partition("?")[2]
        parameters = dict(part.partition("=")[::2] for part in query.split("&"))
        self.since = int(parameters.get("since", 0))
        wait = min(int(parameters.get("timeout", 0)), 5000) / 1000
        self.timer = asyncio.get_running_loop().call_later(wait, self.respond)
        self.respond(only_if_changed=True)

    def respond(self, only_if_changed: bool = False) -> None:
        """Answers the pending request; with `only_if_changed`, only if there are events it has not seen."""
        if self.since is None or (only_if_changed and self.since >= len(self.change_log.events)):
            return
        changes = self.change_log.events[self.since :]
        self.since = None
        if self.timer is not None:
            self.timer.cancel()
        body = ujson.dumps({"seq": len(self.change_log.events), "results": changes}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


@dataclass
class StationCounts:
    """Outcomes of a station's calls; `delays` has the seconds from offer to answer of those that stood."""

    offered: int = 0
    stood: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0  # no answer before the station's deadline
    released: int = 0
    delays: list[float] = field(default_factory=list)


class SimulatedStation(asyncio.Protocol):
    """A calling station that speaks SIP: dials, waits for answers, acknowledges releases."""

    def __init__(self, klass: str, wait_s: float) -> None:
        self.klass = klass
        self.wait_s = wait_s
        self.parser = sip.Parser()
        self.transport: asyncio.Transport
        self.unanswered: dict[str, tuple[float, asyncio.TimerHandle]] = {}  # by call: (offered at, timer)
        self.counts = StationCounts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        for call in list(self.unanswered):
            self.drop_unanswered(call)

    def dial(self, dest: int) -> None:
        """Places a call, which counts as unanswered 50 ms after its deadline."""
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
        self.unanswered[call] = (
            time.monotonic(),
            loop.call_later(self.wait_s + 0.05, self.drop_unanswered, call),
        )
        body = f"{DEST_PREFIX}{dest} parcel\r\n".encode()
        self.write(sip.encode(f"INVITE sip:{secrets.token_hex(8)}@net SIP/2.0", headers, body))

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def drop_unanswered(self, call: str) -> None:
        if self.unanswered.pop(call, None) is not None:
            self.counts.unanswered += 1

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if message.method == "BYE":
                self.counts.released += 1
                self.write(sip.encode_response(message, 200))
            elif message.status >= 200 and message.cseq_method == "INVITE":
                self.answer_received(message)

    def answer_received(self, message: sip.Message) -> None:
        offered_at, timer = self.unanswered.pop(message.call_id, (0.0, None))
        if timer is None:
            return
        timer.cancel()
        head = (("Call-ID", message.call_id), ("CSeq", "1 ACK"))
        self.write(sip.encode(f"ACK sip:{message.call_id}@net SIP/2.0", head))
        if message.status == 200:
            self.counts.stood += 1
            # Not the loop's clock: uvloop's only counts milliseconds.
            self.counts.delays.append(time.monotonic() - offered_at)
        elif message.status in (480, 503):
            self.counts.refused += 1
        else:
            self.counts.failed += 1


async def offer_at_random_times(
    rate: float, seconds: float, random: Random, offer: Callable[[], None], should_stop: Callable[[], bool]
) -> None:
    """Calls `offer` as a Poisson process of `rate` per second, for `seconds` or until `should_stop()`."""
    loop = asyncio.get_running_loop()
    start = next_offer = loop.time()
    while not should_stop():
        next_offer += random.expovariate(rate)
        if next_offer - start >= seconds:
            await asyncio.sleep(max(start + seconds - loop.time(), 0))
            return
        if next_offer > loop.time():
            await asyncio.sleep(next_offer - loop.time())
        offer()
