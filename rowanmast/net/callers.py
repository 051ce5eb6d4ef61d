"""The platform's front: callers that speak SIP over TCP. Adapts them to the core's port `Front`."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from rowanmast.causes import NORMAL_CLEARING
from rowanmast.core.ports import Cancelled, Failure, Inbox, Offer, Released
from rowanmast.net import sip
from rowanmast.net.stream import Stream
from rowanmast.routes import figure, read_route

MAX_UNREAD = 256 * 1024  # bytes a caller may leave unread before its connection is closed
MAX_SETUP_MS = 3_600_000  # nobody waits longer, and timers take no time without bounds
MAX_SET_UPS = 200  # open on one connection: a caller that floods us is refused before it costs others
BYE_KEPT_US = 10_000_000  # a BYE that nobody answers is forgotten after this long
BYE_AGAIN_US = 250_000  # one that is not answered goes out on another connection, at doubling gaps
FIRST_US = 2_500_000  # a connection on which nothing at all has come by then is closed
IDLE_US = 10_000_000  # one without a set-up open is closed this long after its last byte; callers take 4 s
QUIET_US = (
    250_000  # the same while the router ends: longer than a set-up takes that crosses the close (50 ms)
)
SWEEP_S = 0.25
LIMIT_EACH_US = 1_000_000  # a crowd at the limit is logged once in this time, not for each that comes
FAILURES = {Failure.GIVEN_UP: 500, Failure.CANCELLED: 487, Failure.FAULT: 500, Failure.UNFIT: 400}

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Bye:
    """A release that a caller has to hear."""

    cause: int
    begun: int
    sent_on: Connection | None = None
    again_at: int = 0
    gap: int = BYE_AGAIN_US


class Callers:
    """All callers' connections, the set-ups open on them and the releases that they still have to hear."""

    lasting = True

    def __init__(self, inbox: Inbox, most: int, clock: Callable[[], int]) -> None:
        self.inbox = inbox
        self.clock = clock
        self.most = most  # connections, so that descriptors are left for the switches
        self.strangers: dict[Connection, None] = {}  # that minded no call yet, oldest first
        self.known: dict[Connection, None] = {}  # that did, the last to mind one at the end
        self.open: dict[str, tuple[Connection, sip.Message]] = {}
        self.standing: dict[str, Connection] = {}  # where each call that stands was set up
        self.byes: dict[str, Bye] = {}  # that no caller has answered yet
        self.closing = False  # tests fail, so that callers go elsewhere
        self.refusing = False  # set-ups are refused at once
        self.limit_told = -LIMIT_EACH_US  # when the log last said that the limit is reached
        self.timer: asyncio.TimerHandle | None = None

    # The port

    def answer(self, call: str, text: str) -> None:
        connection, _ = self.open.get(call, (None, None))
        if connection is not None:
            self.standing[call] = connection
            connection.standing.add(call)
            if connection.half_closed:
                connection.answered_half_closed.add(call)
        self.respond(call, 200, (("Contact", f"<sip:{call}@net>"),), text.encode("utf-8", "surrogatepass"))

    def refuse(self, call: str, stay_away_us: int) -> None:
        wait = max(math.ceil(stay_away_us / 1_000_000), 1)  # RFC 3261 counts in whole seconds
        self.respond(call, 503, (("Retry-After", str(wait)),))

    def fail(self, call: str, why: Failure) -> None:
        self.respond(call, FAILURES[why])

    def release(self, call: str, cause: int) -> None:
        """Any caller's connection will do, since a call that stands belongs to none; its own comes first."""
        bye = self.byes[call] = Bye(cause, self.clock())
        self.send_bye(call, bye, self.over(call))
        self.wake()

    def over(self, call: str) -> Connection | None:
        connection = self.standing.pop(call, None)
        if connection is not None:
            connection.standing.discard(call)
            connection.answered_half_closed.discard(call)
        return connection

    def send_bye(self, call: str, bye: Bye, connection: Connection | None = None) -> None:
        """On the connection that last minded a call, or on another one where that gave no answer.

        One that minded none may belong to nobody who knows of calls: it serves only if there is no other.
        """
        if connection is None or connection.half_closed:  # one that is half closed can't acknowledge it
            others = (*reversed(self.known), *reversed(self.strangers))
            connection = next((other for other in others if other is not bye.sent_on), bye.sent_on)
        if connection is not None:
            bye.sent_on = connection
            bye.again_at = self.clock() + bye.gap
            bye.gap *= 2
            connection.write(sip.bye(call, bye.cause))

    def sweep(self) -> None:
        """Sends again what was not answered, and closes connections of which nothing comes."""
        self.timer = None
        now = self.clock()
        for call, bye in list(self.byes.items()):
            if now - bye.begun > BYE_KEPT_US:
                del self.byes[call]  # an answer to a BYE is not owed
            elif now >= bye.again_at:
                self.send_bye(call, bye)
        awaited = {bye.sent_on for bye in self.byes.values()}
        for connection in [*self.strangers, *self.known]:
            if self.refusing and connection in awaited and not connection.half_closed:
                continue  # the answer to a BYE may still come
            if connection.is_idle() and now - connection.read_at > self.patience(connection):
                self.dismiss(connection)
        if self.byes or self.strangers or self.known:
            self.wake()

    def patience(self, connection: Connection) -> int:
        """How long a connection with nothing open on it may be silent, in microseconds."""
        if connection.half_closed:
            return 0
        if self.refusing and connection is not next(reversed(self.known), None):
            return QUIET_US  # the last that acknowledged something stays, for releases
        return IDLE_US if connection.has_read else FIRST_US

    def wake(self) -> None:
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)

    def respond(
        self, call: str, status: int, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
    ) -> None:
        connection, invite = self.open.pop(call, (None, None))
        if connection is not None and invite is not None:
            connection.set_ups.discard(call)
            connection.write(sip.respond(invite, status, headers, body))

    # Connections

    def connected(self, connection: Connection) -> None:
        connection.begun = connection.read_at = self.clock()
        if len(self.strangers) + len(self.known) >= self.most:
            if connection.begun - self.limit_told >= LIMIT_EACH_US:
                self.limit_told = connection.begun
                log.warning("caller_limit", extra={"connections": self.most})
            self.dismiss(self.least_needed() or connection)
        if not connection.closing:
            self.strangers[connection] = None
            self.resend_byes(None)
            self.wake()

    def least_needed(self) -> Connection | None:
        """The oldest that never minded a call, or the one that did so longest ago."""
        oldest = (*self.strangers, *self.known)
        return next((connection for connection in oldest if not connection.set_ups), None)

    def dismiss(self, connection: Connection) -> None:
        """Nothing more is heard or told there, though the close itself takes effect a turn later."""
        self.lost(connection)
        connection.close()

    def close(self) -> None:
        for connection in [*self.strangers, *self.known]:
            self.dismiss(connection)

    def forget(self, connection: Connection) -> None:
        self.strangers.pop(connection, None)
        self.known.pop(connection, None)
        self.resend_byes(connection)

    def lost(self, connection: Connection) -> None:
        """Gives up the set-ups open on it, and calls whose answer came too late for its other side."""
        for call in connection.set_ups:
            del self.open[call]
            self.inbox.post(Cancelled(call))
        connection.set_ups.clear()
        for call in connection.standing:
            del self.standing[call]
            if call in connection.answered_half_closed:
                self.inbox.post(Released(call, NORMAL_CLEARING))
        connection.standing.clear()
        self.forget(connection)

    def resend_byes(self, sent_on: Connection | None) -> None:
        """Those that found no connection, or one that may not have delivered them."""
        for call, bye in self.byes.items():
            if bye.sent_on is sent_on:
                bye.sent_on, bye.gap = None, BYE_AGAIN_US
                self.send_bye(call, bye)

    def received(self, connection: Connection, message: sip.Message) -> None:
        if message.status:
            if message.cseq_method == "BYE" and self.byes.pop(message.call_id, None) is not None:
                self.minds(connection)
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
                self.over(message.call_id)
                self.inbox.post(Released(message.call_id, reason(message)))
            case "OPTIONS":
                connection.write(sip.respond(message, 503 if self.closing else 200))
            case "ACK":
                if message.call_id in connection.standing:
                    self.minds(connection)
            case _:
                connection.write(sip.respond(message, 501))

    def minds(self, connection: Connection) -> None:
        """It has acknowledged an answer or a release, as only those do who made the call."""
        self.strangers.pop(connection, None)
        self.known.pop(connection, None)
        self.known[connection] = None

    def invited(self, connection: Connection, message: sip.Message) -> None:
        call = message.call_id
        if call in self.open:  # two under one id can't be told apart by those who sent them
            log.warning("duplicate_invite", extra={"call": call})
            connection.write(sip.respond(message, 400))
            if self.open[call][0] is connection:
                self.dismiss(connection)
            return
        try:
            offer = self.read_offer(message)
        except ValueError as error:
            log.warning("bad_invite", extra={"call": call, "why": error})
            connection.write(sip.respond(message, 400))
            return
        if self.refusing or len(connection.set_ups) >= MAX_SET_UPS:
            connection.write(sip.respond(message, 503, (("Retry-After", "1"),)))
            return
        self.open[call] = (connection, message)
        connection.set_ups.add(call)
        self.inbox.post(offer)

    def read_offer(self, message: sip.Message) -> Offer:
        route = read_route(message.get("x-route"), message.get("x-redial") == "1")
        left_ms = figure(message.get("x-setup-ms"))
        if not (message.call_id and message.user and 0 <= left_ms <= MAX_SETUP_MS):
            raise ValueError("no call id, no number or no time to wait")
        return Offer(
            front=self,
            call=message.call_id,
            klass=message.get("x-service"),
            key=message.user,
            text=message.body.decode(),
            left_us=left_ms * 1000,
            route=route,
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
        self.standing: set[str] = set()
        self.answered_half_closed: set[str] = set()  # calls that stand, answered after its other side closed
        self.begun = 0
        self.read_at = 0  # when the last bytes came, or it was opened
        self.has_read = False
        self.half_closed = False  # its other side sends no more, but may still read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.callers.connected(self)

    def data_received(self, data: bytes) -> None:
        self.read_at = self.callers.clock()
        self.has_read = True
        for message in self.readable(self.parser.feed(data)):
            if self.closing:
                break
            self.callers.received(self, message)

    def eof_received(self) -> bool:
        """True keeps it open for the answers that are owed; the sweep closes it after them."""
        self.half_closed = True
        return not self.is_idle()

    def is_idle(self) -> bool:
        return not self.set_ups and not self.standing

    def connection_lost(self, exc: Exception | None) -> None:
        self.callers.lost(self)
