"""The platform's front: callers that speak SIP over TCP. Adapts them to the core's port `Front`."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from rowanmast.causes import NORMAL_CLEARING
from rowanmast.core.ports import Cancelled, Failure, Inbox, Offer, Released
from rowanmast.net import sip
from rowanmast.net.stream import Stream
from rowanmast.routes import read_route

MAX_UNREAD = 256 * 1024  # bytes a caller may leave unread before its connection is closed
MAX_SETUP_MS = 3_600_000  # nobody waits longer, and timers take no time without bounds
BYE_KEPT_US = 10_000_000  # a BYE that nobody answers is forgotten after this long
FAILURES = {Failure.GIVEN_UP: 500, Failure.CANCELLED: 487, Failure.FAULT: 500}

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Bye:
    """A release that a caller has to hear."""

    cause: int
    begun: int
    sent_on: Connection | None = None


class Callers:
    """All callers' connections, the set-ups open on them and the releases that they still have to hear."""

    def __init__(self, inbox: Inbox, most: int, clock: Callable[[], int]) -> None:
        self.inbox = inbox
        self.clock = clock
        self.most = most  # connections, so that descriptors are left for the switches
        self.connections: dict[Connection, None] = {}
        self.open: dict[str, tuple[Connection, sip.Message]] = {}
        self.byes: dict[str, Bye] = {}  # that no caller has answered yet
        self.closing = False

    # The port

    def answer(self, call: str, text: str) -> None:
        self.respond(call, 200, (("Contact", f"<sip:{call}@net>"),), text.encode("utf-8", "surrogatepass"))

    def refuse(self, call: str, stay_away_us: int) -> None:
        wait = max(math.ceil(stay_away_us / 1_000_000), 1)  # RFC 3261 counts in whole seconds
        self.respond(call, 503, (("Retry-After", str(wait)),))

    def fail(self, call: str, why: Failure) -> None:
        self.respond(call, FAILURES[why])

    def release(self, call: str, cause: int) -> None:
        """Any connection will do, since a call that stands belongs to none."""
        now = self.clock()
        for old in [old for old, bye in self.byes.items() if now - bye.begun > BYE_KEPT_US]:
            del self.byes[old]  # an answer to a BYE is not owed
        self.byes[call] = Bye(cause, now)
        self.send_byes()

    def send_byes(self) -> None:
        """Sends each BYE that has not left on a connection that is still open."""
        connection = next(iter(self.connections), None)
        if connection is None:
            return
        for call, bye in self.byes.items():
            if bye.sent_on is None:
                bye.sent_on = connection
                connection.write(sip.bye(call, bye.cause))

    def respond(
        self, call: str, status: int, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
    ) -> None:
        connection, invite = self.open.pop(call, (None, None))
        if connection is not None and invite is not None:
            connection.set_ups.discard(call)
            connection.write(sip.respond(invite, status, headers, body))

    # Connections

    def connected(self, connection: Connection) -> None:
        if len(self.connections) >= self.most:
            idle = next((other for other in self.connections if not other.set_ups), connection)
            log.warning("caller_limit", extra={"connections": len(self.connections)})
            self.connections.pop(idle, None)
            idle.close()
            if idle is connection:
                return
        self.connections[connection] = None
        self.send_byes()

    def lost(self, connection: Connection) -> None:
        """Gives up the set-ups open on it, and sends anew the releases that it may not have delivered."""
        self.connections.pop(connection, None)
        for call in connection.set_ups:
            del self.open[call]
            self.inbox.post(Cancelled(call))
        connection.set_ups.clear()
        for bye in self.byes.values():
            if bye.sent_on is connection:
                bye.sent_on = None
        self.send_byes()

    def received(self, connection: Connection, message: sip.Message) -> None:
        if message.status:
            if message.cseq_method == "BYE":
                self.byes.pop(message.call_id, None)
            return
        match message.method:
            case "INVITE":
                self.invited(connection, message)
            case "CANCEL":
                connection.write(sip.respond(message, 200))
                self.inbox.post(Cancelled(message.call_id))
            case "BYE":
                connection.write(sip.respond(message, 200))
                self.byes.pop(message.call_id, None)
                self.inbox.post(Released(message.call_id, reason(message)))
            case "OPTIONS":
                connection.write(sip.respond(message, 503 if self.closing else 200))
            case "ACK":
                pass
            case _:
                connection.write(sip.respond(message, 501))

    def invited(self, connection: Connection, message: sip.Message) -> None:
        call = message.call_id
        if call in self.open:
            log.warning("duplicate_invite", extra={"call": call})
            return
        try:
            offer = self.read_offer(message)
        except ValueError as error:
            log.warning("bad_invite", extra={"call": call, "why": error})
            connection.write(sip.respond(message, 400))
            return
        self.open[call] = (connection, message)
        connection.set_ups.add(call)
        self.inbox.post(offer)

    def read_offer(self, message: sip.Message) -> Offer:
        route = read_route(message.get("x-route"))
        left_ms = float(message.get("x-setup-ms"))
        if not message.call_id or not math.isfinite(left_ms):
            raise ValueError("no call id or no time to wait")
        return Offer(
            front=self,
            call=message.call_id,
            klass=message.get("x-service"),
            key=message.user,
            text=message.body.decode(),
            left_us=int(min(max(left_ms, 0), MAX_SETUP_MS) * 1000),
            route=replace(route, redialled=message.get("x-redial") == "1"),
        )


def reason(message: sip.Message) -> int:
    """The Q.850 cause of a BYE; a release without one is normal clearing."""
    cause = message.get("reason").partition("cause=")[2].split(";")[0].strip()
    return int(cause) if cause.isascii() and cause.isdigit() and len(cause) <= 3 else NORMAL_CLEARING


class Connection(Stream):
    """One caller's connection."""

    def __init__(self, callers: Callers) -> None:
        super().__init__("caller", MAX_UNREAD)
        self.callers = callers
        self.parser = sip.Parser()
        self.set_ups: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.callers.connected(self)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.parser.feed(data)
        except sip.SipError as error:
            self.unreadable(error)
            return
        for message in messages:
            self.callers.received(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.lost(self)
