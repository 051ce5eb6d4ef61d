"""Stand-in callers that speak SIP: they dial, acknowledge, and report every answer and release."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import cast

from rowanmast.net import sip
from rowanmast.trials.routers import CALL_CLASS, RouterProcess
from rowanmast.trials.rule_checker import RuleChecker

REFUSAL_STATUSES = (480, 503)
GARBAGE_SHARE = 0.2  # of the irregular connections
HALF_CLOSE_SHARE = 0.5  # of the irregular connections that send an INVITE
MAX_PAUSE_S = 3.0  # between the two pieces of a set-up


@dataclass(slots=True)
class CallerCounts:
    """Outcomes of the calls offered to one router."""

    offered: int = 0
    stood: int = 0
    refused: int = 0
    failed: int = 0
    released: int = 0


class Callers:
    """The callers of one router: random calls, `rate` a second, on `connection_count` connections."""

    def __init__(
        self,
        router: RouterProcess,
        destinations: list[int],
        checker: RuleChecker,
        clock: Callable[[], float],
        *,
        rate: float,
        wait_s: float,
        seed: int,
        connection_count: int = 2,
        redial_share: float = 0.3,
        cancel_share: float = 0.0,
        irregular_share: float = 0.0,
    ) -> None:
        self.router = router
        self.destinations = destinations
        self.checker = checker
        self.clock = clock
        self.rate = rate
        self.wait_s = wait_s
        self.connection_count = connection_count
        self.redial_share = redial_share
        self.cancel_share = cancel_share
        self.irregular_share = irregular_share
        self.irregular_connections: set[IrregularConnection] = set()
        self.random = Random(seed)
        self.connections: list[CallerConnection] = []
        self.counts = CallerCounts()
        self.last_serial = 0
        self.is_dialling = False

    async def dial_until_cancelled(self) -> None:
        """Dials until the task is cancelled; reopens lost connections while the router listens."""
        self.is_dialling = True
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate))
            await self.open_connections()
            if self.random.random() < self.irregular_share:
                await self.dial_irregular()
            else:
                self.dial_random()

    async def open_connections(self) -> None:
        while len(self.connections) < self.connection_count:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: CallerConnection(self), *self.router.listen
                )
            except OSError:
                return

    async def dial_irregular(self) -> None:
        """Opens an `IrregularConnection`."""
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: IrregularConnection(self), *self.router.listen
            )
        except OSError:
            return

    def dial_random(self) -> None:
        """Places a call to a random destination on one of the open connections, if there are any."""
        if self.connections and not self.router.is_killed:
            self.random.choice(self.connections).dial(self.random.choice(self.destinations))

    def redial(self) -> None:
        """After a refusal: dials again within 100 ms in `redial_share` of the cases, with a new call id."""
        if self.is_dialling and self.random.random() < self.redial_share:
            asyncio.get_running_loop().call_later(self.random.uniform(0.0, 0.1), self.dial_random)

    def stop_dialling(self) -> None:
        self.is_dialling = False

    def close(self) -> None:
        for connection in (*self.connections, *self.irregular_connections):
            connection.transport.close()


class CallerConnection(asyncio.Protocol):
    """One connection of the callers, shared by many calls."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.parser = sip.Parser()
        self.transport: asyncio.Transport
        self.unanswered: dict[str, asyncio.TimerHandle | None] = {}  # by call: its pending cancellation

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.callers.connections.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.connections.remove(self)
        self.report_unanswered()

    def report_unanswered(self) -> None:
        """Reports calls without an answer on a connection that a running router has closed."""
        now = self.callers.clock()
        for call, timer in self.unanswered.items():
            if timer is not None:
                timer.cancel()
            if self.callers.router.is_running:
                self.callers.checker.connection_closed(now, call)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def dial(self, destination: int) -> None:
        """Places a call, and cancels it within 100 ms in `cancel_share` of the cases."""
        callers = self.callers
        if self.transport.is_closing():
            return
        call, invite = self.make_invite(destination)
        self.record_offer(call)
        self.write(invite)
        if callers.random.random() < callers.cancel_share:
            delay = callers.random.uniform(0.0, 0.1)
            self.unanswered[call] = asyncio.get_running_loop().call_later(delay, self.cancel, call)

    def record_offer(self, call: str) -> None:
        """Records the call as offered from now on, as its last byte is about to be written."""
        callers = self.callers
        callers.counts.offered += 1
        self.unanswered[call] = None
        callers.checker.offered(callers.clock(), call, callers.router.name, callers.wait_s)

    def make_invite(self, destination: int) -> tuple[str, bytes]:
        """Returns a new call id and the INVITE that sets the call up."""
        callers = self.callers
        callers.last_serial += 1
        call = f"{callers.router.number:04x}{callers.last_serial:012x}"
        headers = (
            ("Via", "SIP/2.0/TCP trial"),
            ("Call-ID", call),
            ("CSeq", "1 INVITE"),
            ("X-Service", CALL_CLASS),
            ("X-Setup-Ms", str(int(callers.wait_s * 1000))),
            ("X-Route", f"dest:{destination};width:1;via:-1"),
        )
        return call, sip.encode(f"INVITE sip:{call}@net SIP/2.0", headers, call.encode())

    def cancel(self, call: str) -> None:
        self.callers.checker.cancelled(call)
        self.request("CANCEL", call)

    def request(self, method: str, call: str) -> None:
        headers = (("Call-ID", call), ("CSeq", f"1 {method}"))
        self.write(sip.encode(f"{method} sip:{call}@net SIP/2.0", headers))

    def acknowledge(self, call: str) -> None:
        self.request("ACK", call)

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if message.method == "BYE":
                self.callers.counts.released += 1
                self.callers.checker.release_received(self.callers.clock(), message.call_id)
                self.write(sip.encode_response(message, 200))
            elif message.status >= 200 and message.cseq_method == "INVITE":
                self.answer_received(message)

    def answer_received(self, message: sip.Message) -> None:
        callers, call = self.callers, message.call_id
        timer = self.unanswered.pop(call, None)
        if timer is not None:
            timer.cancel()
        callers.checker.answered(callers.clock(), call, message.status, message.body.decode())
        self.acknowledge(call)
        if message.status == 200:
            callers.counts.stood += 1
        elif message.status in REFUSAL_STATUSES:
            callers.counts.refused += 1
            callers.redial()
        else:
            callers.counts.failed += 1


class IrregularConnection(CallerConnection):
    """A connection for one call, whose INVITE is sent in two pieces; some are half closed after it.

    GARBAGE_SHARE of these connections send random bytes instead and are closed after a second.
    """

    half_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.callers.irregular_connections.add(self)
        random = self.callers.random
        if random.random() < GARBAGE_SHARE:
            self.write(random.randbytes(random.randint(1, 300)))
            asyncio.get_running_loop().call_later(1.0, self.transport.close)
            return
        call, invite = self.make_invite(random.choice(self.callers.destinations))
        split = random.randint(1, len(invite) - 1)
        self.write(invite[:split])
        pause = random.uniform(0.0, MAX_PAUSE_S)
        asyncio.get_running_loop().call_later(pause, self.send_rest, call, invite[split:])

    def send_rest(self, call: str, rest: bytes) -> None:
        if self.transport.is_closing() or self.callers.router.is_killed:
            return
        self.record_offer(call)
        self.write(rest)
        if self.callers.random.random() < HALF_CLOSE_SHARE:
            self.transport.write_eof()
            self.half_closed = True

    def write(self, data: bytes) -> None:
        if not self.half_closed:
            super().write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.irregular_connections.discard(self)
        self.report_unanswered()
