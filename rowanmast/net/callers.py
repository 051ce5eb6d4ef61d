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
from rowanmast.routes import parse_integer, parse_route

MAX_WRITE_BUFFER_BYTES = 256 * 1024  # bytes a caller may leave unread before its connection is closed
MAX_SETUP_MS = 3_600_000  # nobody waits longer, and timers take no time without bounds
MAX_SET_UPS_PER_CONNECTION = (
    200  # open on one connection: a caller that floods us is refused before it costs others
)
BYE_LIFETIME_US = 10_000_000  # a BYE that nobody answers is forgotten after this long
BYE_RETRY_US = 250_000  # one that is not answered goes out on another connection, at doubling gaps
FIRST_BYTE_TIMEOUT_US = 2_500_000  # a connection on which nothing at all has come by then is closed
IDLE_TIMEOUT_US = (
    10_000_000  # one without a set-up open is closed this long after its last byte; callers take 4 s
)
SHUTDOWN_IDLE_TIMEOUT_US = (
    250_000  # the same while the router ends: longer than a set-up takes that crosses the close (50 ms)
)
SWEEP_INTERVAL_S = 0.25
LIMIT_LOG_INTERVAL_US = 1_000_000  # a crowd at the limit is logged once in this time, not for each that comes
FAILURE_STATUS = {Failure.GIVEN_UP: 500, Failure.CANCELLED: 487, Failure.FAULT: 500, Failure.UNFIT: 400}

log = logging.getLogger(__name__)


@dataclass(slots=True)
class PendingBye:
    """A release that a caller has to hear."""

    cause: int
    created_at: int
    sent_on: CallerConnection | None = None
    retry_at: int = 0
    retry_delay_us: int = BYE_RETRY_US


class SipFront:
    """All callers' connections, the set-ups open on them and the releases that they still have to hear."""

    survives_restart = True

    def __init__(self, inbox: Inbox, max_connections: int, clock: Callable[[], int]) -> None:
        self.inbox = inbox
        self.clock = clock
        self.max_connections = max_connections  # connections, so that descriptors are left for the switches
        self.unconfirmed: dict[CallerConnection, None] = {}  # that minded no call yet, oldest first
        self.confirmed: dict[CallerConnection, None] = {}  # that did, the last to mind one at the end
        self.pending_invites: dict[str, tuple[CallerConnection, sip.Message]] = {}
        self.standing: dict[str, CallerConnection] = {}  # where each call that stands was set up
        self.pending_byes: dict[str, PendingBye] = {}  # that no caller has answered yet
        self.draining = False  # tests fail, so that callers go elsewhere
        self.refusing = False  # set-ups are refused at once
        self.limit_logged_at = -LIMIT_LOG_INTERVAL_US  # when the log last said that the limit is reached
        self.sweep_timer: asyncio.TimerHandle | None = None

    # The port

    def answer(self, call: str, text: str) -> None:
        connection, _ = self.pending_invites.get(call, (None, None))
        if connection is not None:
            self.standing[call] = connection
            connection.standing.add(call)
            if connection.half_closed:
                connection.answered_after_half_close.add(call)
        self.respond(call, 200, (("Contact", f"<sip:{call}@net>"),), text.encode("utf-8", "surrogatepass"))

    def refuse(self, call: str, retry_after_us: int) -> None:
        wait = max(math.ceil(retry_after_us / 1_000_000), 1)  # RFC 3261 counts in whole seconds
        self.respond(call, 503, (("Retry-After", str(wait)),))

    def fail(self, call: str, why: Failure) -> None:
        self.respond(call, FAILURE_STATUS[why])

    def release(self, call: str, cause: int) -> None:
        """Any caller's connection will do, since a call that stands belongs to none; its own comes first."""
        bye = self.pending_byes[call] = PendingBye(cause, self.clock())
        self.send_bye(call, bye, self.remove_standing(call))
        self.schedule_sweep()

    def remove_standing(self, call: str) -> CallerConnection | None:
        connection = self.standing.pop(call, None)
        if connection is not None:
            connection.standing.discard(call)
            connection.answered_after_half_close.discard(call)
        return connection

    def send_bye(self, call: str, bye: PendingBye, connection: CallerConnection | None = None) -> None:
        """On the connection that last minded a call, or on another one where that gave no answer.

        One that minded none may belong to nobody who knows of calls: it serves only if there is no other.
        """
        if connection is None or connection.half_closed:  # one that is half closed can't acknowledge it
            others = (*reversed(self.confirmed), *reversed(self.unconfirmed))
            connection = next((other for other in others if other is not bye.sent_on), bye.sent_on)
        if connection is not None:
            bye.sent_on = connection
            bye.retry_at = self.clock() + bye.retry_delay_us
            bye.retry_delay_us *= 2
            connection.write(sip.encode_bye(call, bye.cause))

    def sweep(self) -> None:
        """Sends again what was not answered, and closes connections of which nothing comes."""
        self.sweep_timer = None
        now = self.clock()
        for call, bye in list(self.pending_byes.items()):
            if now - bye.created_at > BYE_LIFETIME_US:
                del self.pending_byes[call]  # an answer to a BYE is not owed
            elif now >= bye.retry_at:
                self.send_bye(call, bye)
        awaited = {bye.sent_on for bye in self.pending_byes.values()}
        for connection in [*self.unconfirmed, *self.confirmed]:
            if self.refusing and connection in awaited and not connection.half_closed:
                continue  # the answer to a BYE may still come
            if connection.is_idle() and now - connection.last_read_at > self.idle_timeout(connection):
                self.close_connection(connection)
        if self.pending_byes or self.unconfirmed or self.confirmed:
            self.schedule_sweep()

    def idle_timeout(self, connection: CallerConnection) -> int:
        """How long a connection with nothing open on it may be silent, in microseconds."""
        if connection.half_closed:
            return 0
        if self.refusing and connection is not next(reversed(self.confirmed), None):
            return SHUTDOWN_IDLE_TIMEOUT_US  # the last that acknowledged something stays, for releases
        return IDLE_TIMEOUT_US if connection.has_received else FIRST_BYTE_TIMEOUT_US

    def schedule_sweep(self) -> None:
        if self.sweep_timer is None:
            self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def respond(
        self, call: str, status: int, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
    ) -> None:
        connection, invite = self.pending_invites.pop(call, (None, None))
        if connection is not None and invite is not None:
            connection.set_ups.discard(call)
            connection.write(sip.encode_response(invite, status, headers, body))

    # Connections

    def connection_opened(self, connection: CallerConnection) -> None:
        connection.opened_at = connection.last_read_at = self.clock()
        if len(self.unconfirmed) + len(self.confirmed) >= self.max_connections:
            if connection.opened_at - self.limit_logged_at >= LIMIT_LOG_INTERVAL_US:
                self.limit_logged_at = connection.opened_at
                log.warning("caller_limit", extra={"connections": self.max_connections})
            self.close_connection(self.eviction_candidate() or connection)
        if not connection.is_closing:
            self.unconfirmed[connection] = None
            self.resend_byes(None)
            self.schedule_sweep()

    def eviction_candidate(self) -> CallerConnection | None:
        """The oldest that never minded a call, or the one that did so longest ago."""
        oldest = (*self.unconfirmed, *self.confirmed)
        return next((connection for connection in oldest if not connection.set_ups), None)

    def close_connection(self, connection: CallerConnection) -> None:
        """Nothing more is heard or told there, though the close itself takes effect a turn later."""
        self.connection_closed(connection)
        connection.close()

    def close(self) -> None:
        for connection in [*self.unconfirmed, *self.confirmed]:
            self.close_connection(connection)

    def remove_connection(self, connection: CallerConnection) -> None:
        self.unconfirmed.pop(connection, None)
        self.confirmed.pop(connection, None)
        self.resend_byes(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Gives up the set-ups open on it, and calls whose answer came too late for its other side."""
        for call in connection.set_ups:
            del self.pending_invites[call]
            self.inbox.post(Cancelled(call))
        connection.set_ups.clear()
        for call in connection.standing:
            del self.standing[call]
            if call in connection.answered_after_half_close:
                self.inbox.post(Released(call, NORMAL_CLEARING))
        connection.standing.clear()
        self.remove_connection(connection)

    def resend_byes(self, sent_on: CallerConnection | None) -> None:
        """Those that found no connection, or one that may not have delivered them."""
        for call, bye in self.pending_byes.items():
            if bye.sent_on is sent_on:
                bye.sent_on, bye.retry_delay_us = None, BYE_RETRY_US
                self.send_bye(call, bye)

    def handle_message(self, connection: CallerConnection, message: sip.Message) -> None:
        if message.status:
            if message.cseq_method == "BYE" and self.pending_byes.pop(message.call_id, None) is not None:
                self.mark_confirmed(connection)
            return
        match message.method:
            case "INVITE":
                self.handle_invite(connection, message)
            case "CANCEL":
                connection.write(sip.encode_response(message, 200))
                self.inbox.post(Cancelled(message.call_id))
            case "BYE":
                connection.write(sip.encode_response(message, 200))
                self.pending_byes.pop(message.call_id, None)
                self.remove_standing(message.call_id)
                self.inbox.post(Released(message.call_id, release_cause(message)))
            case "OPTIONS":
                connection.write(sip.encode_response(message, 503 if self.draining else 200))
            case "ACK":
                if message.call_id in connection.standing:
                    self.mark_confirmed(connection)
            case _:
                connection.write(sip.encode_response(message, 501))

    def mark_confirmed(self, connection: CallerConnection) -> None:
        """It has acknowledged an answer or a release, as only those do who made the call."""
        self.unconfirmed.pop(connection, None)
        self.confirmed.pop(connection, None)
        self.confirmed[connection] = None

    def handle_invite(self, connection: CallerConnection, message: sip.Message) -> None:
        call = message.call_id
        if call in self.pending_invites:  # two under one id can't be told apart by those who sent them
            log.warning("duplicate_invite", extra={"call": call})
            connection.write(sip.encode_response(message, 400))
            if self.pending_invites[call][0] is connection:
                self.close_connection(connection)
            return
        try:
            offer = self.parse_invite(message)
        except ValueError as error:
            log.warning("bad_invite", extra={"call": call, "why": error})
            connection.write(sip.encode_response(message, 400))
            return
        if self.refusing or len(connection.set_ups) >= MAX_SET_UPS_PER_CONNECTION:
            connection.write(sip.encode_response(message, 503, (("Retry-After", "1"),)))
            return
        self.pending_invites[call] = (connection, message)
        connection.set_ups.add(call)
        self.inbox.post(offer)

    def parse_invite(self, message: sip.Message) -> Offer:
        route = parse_route(message.get("x-route"), message.get("x-redial") == "1")
        left_ms = parse_integer(message.get("x-setup-ms"))
        if not (message.call_id and message.user and 0 <= left_ms <= MAX_SETUP_MS):
            raise ValueError("no call id, no number or no time to wait")
        return Offer(
            front=self,
            call=message.call_id,
            klass=message.get("x-service"),
            key=message.user,
            text=message.body.decode(),
            remaining_us=left_ms * 1000,
            route=route,
        )


def release_cause(message: sip.Message) -> int:
    """The Q.850 cause of a BYE; a release without one is normal clearing."""
    cause = message.get("reason").partition("cause=")[2].split(";")[0].strip()
    return int(cause) if cause.isascii() and cause.isdigit() and len(cause) <= 3 else NORMAL_CLEARING


class CallerConnection(Stream):
    """One caller's connection."""

    def __init__(self, front: SipFront) -> None:
        super().__init__("caller", MAX_WRITE_BUFFER_BYTES)
        self.front = front
        self.parser = sip.Parser()
        self.set_ups: set[str] = set()
        self.standing: set[str] = set()
        self.answered_after_half_close: set[str] = (
            set()
        )  # calls that stand, answered after its other side closed
        self.opened_at = 0
        self.last_read_at = 0  # when the last bytes came, or it was opened
        self.has_received = False
        self.half_closed = False  # its other side sends no more, but may still read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.front.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.last_read_at = self.front.clock()
        self.has_received = True
        for message in self.read_messages(self.parser.feed(data)):
            if self.is_closing:
                break
            self.front.handle_message(self, message)

    def eof_received(self) -> bool:
        """True keeps it open for the answers that are owed; the sweep closes it after them."""
        self.half_closed = True
        return not self.is_idle()

    def is_idle(self) -> bool:
        return not self.set_ups and not self.standing

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.connection_closed(self)
