"""Callers that speak SIP over TCP; implements the core's `Front` protocol."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from itertools import chain
from socket import IPPROTO_TCP, TCP_INFO

from rowanmast.causes import NORMAL_CLEARING
from rowanmast.core.ports import Cancelled, Failure, Inbox, Offer, Released
from rowanmast.net import sip
from rowanmast.net.stream import Stream
from rowanmast.routes import parse_integer, parse_route

MAX_WRITE_BUFFER_BYTES = 256 * 1024  # a caller's connection with more bytes waiting to be sent is aborted
MAX_UNREAD_BYTES = 32 * 1024  # nothing more is read from a caller that leaves more of its answers unread
MAX_SETUP_MS = 3_600_000  # no caller waits longer, and timers need a bounded value
MAX_SET_UPS_PER_CONNECTION = 200  # a flood from one caller is refused before it affects other callers
# BYEs that are sent again are limited for each connection: a caller need not acknowledge them, and one with
# many calls would have thousands sent to all others. Further ones are sent once.
MAX_UNACKNOWLEDGED_BYES = 500
BYE_LIFETIME_US = 10_000_000  # an unanswered BYE is dropped after this time
BYE_RETRY_US = 250_000  # delay before an unanswered BYE is sent on another connection; doubles each time
FIRST_BYTE_TIMEOUT_US = 2_500_000  # a new connection that has sent nothing by then is closed
IDLE_TIMEOUT_US = 10_000_000  # since the last byte, without set-up or call; callers close idle ones after 4 s
# Idle time-out during shutdown: longer than the 50 ms within which callers resend a set-up that crossed the
# close of its connection.
SHUTDOWN_IDLE_TIMEOUT_US = 250_000
SWEEP_INTERVAL_S = 0.25
LIMIT_LOG_INTERVAL_US = 1_000_000  # minimum time between two log lines about the connection limit
FAILURE_STATUS = {Failure.GIVEN_UP: 500, Failure.CANCELLED: 487, Failure.FAULT: 500, Failure.UNFIT: 400}

TCP_STATE_CLOSE = 7  # first byte of TCP_INFO, from linux/tcp_states.h

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PendingInvite:
    """A set-up without a final answer; the rest of its message is not kept."""

    connection: CallerConnection
    echoed: bytes  # the header lines that its response repeats


@dataclass(slots=True)
class PendingBye:
    """A release that no caller has acknowledged yet."""

    cause: int
    created_at: int
    sent_on: CallerConnection | None = None
    retry_at: int = 0
    retry_delay_us: int = BYE_RETRY_US


class SipFront:
    """The callers' connections, the unanswered set-ups on them and the unacknowledged releases."""

    survives_restart = True

    def __init__(self, inbox: Inbox, max_connections: int, clock: Callable[[], int]) -> None:
        self.inbox = inbox
        self.clock = clock
        self.max_connections = max_connections  # leaves file descriptors for the switches
        # A connection is confirmed once it acknowledges an answer or a release, as callers with calls do.
        self.unconfirmed: dict[CallerConnection, None] = {}  # oldest first
        self.confirmed: dict[CallerConnection, None] = {}  # most recently confirmed last
        self.pending_invites: dict[str, PendingInvite] = {}  # by call
        self.standing: dict[str, CallerConnection] = {}  # the connection on which each was set up, by call
        self.pending_byes: dict[str, PendingBye] = {}  # by call
        self.draining = False  # OPTIONS is answered with 503, so that callers use another router
        self.refusing = False  # every new set-up is refused
        self.limit_logged_at = -LIMIT_LOG_INTERVAL_US
        self.sweep_timer: asyncio.TimerHandle | None = None

    # Front

    def answer(self, call: str, text: str) -> None:
        invite = self.pending_invites.get(call)
        if invite is not None:
            connection = invite.connection
            self.standing[call] = connection
            connection.standing.add(call)
            if connection.half_closed:
                connection.answered_after_half_close.add(call)
        self.respond(call, 200, (("Contact", f"<sip:{call}@net>"),), text.encode("utf-8", "surrogatepass"))

    def refuse(self, call: str, retry_after_us: int) -> None:
        retry_after_s = max(math.ceil(retry_after_us / 1_000_000), 1)  # whole seconds (RFC 3261)
        self.respond(call, 503, (("Retry-After", str(retry_after_s)),))

    def fail(self, call: str, why: Failure) -> None:
        self.respond(call, FAILURE_STATUS[why])

    def release(self, call: str, cause: int) -> None:
        """Sends a BYE on the connection of the call's set-up, or on another one if that is (half-)closed.

        A standing call is not bound to a connection.
        """
        connection = self.remove_standing(call)
        if connection is not None and not connection.half_closed and not connection.may_take_byes:
            connection.write(sip.encode_bye(call, cause))
            return
        self.remove_bye(call)
        bye = self.pending_byes[call] = PendingBye(cause, self.clock())
        self.send_bye(call, bye, connection)
        self.schedule_sweep()

    def remove_bye(self, call: str) -> bool:
        """Removes a BYE that is not to be sent again; False if there is none."""
        bye = self.pending_byes.pop(call, None)
        if bye is not None and bye.sent_on is not None:
            bye.sent_on.unacknowledged_byes -= 1
        return bye is not None

    def remove_standing(self, call: str) -> CallerConnection | None:
        connection = self.standing.pop(call, None)
        if connection is not None:
            connection.standing.discard(call)
            connection.answered_after_half_close.discard(call)
        return connection

    def send_bye(self, call: str, bye: PendingBye, connection: CallerConnection | None = None) -> None:
        """Sends it on `connection`, or on the most recently confirmed one that it was not last sent on.

        An unconfirmed connection may belong to a client that makes no calls, so it is used only if there is
        no other confirmed one. If no other connection is open at all, the BYE is sent on the same one again.
        """
        if connection is None or connection.half_closed:  # a half-closed one can't acknowledge the BYE
            others = chain(reversed(self.confirmed), reversed(self.unconfirmed))
            usable = (other for other in others if other is not bye.sent_on and other.may_take_byes)
            connection = next(usable, bye.sent_on)
        if connection is not None:
            if bye.sent_on is not None:
                bye.sent_on.unacknowledged_byes -= 1
            connection.unacknowledged_byes += 1
            bye.sent_on = connection
            bye.retry_at = self.clock() + bye.retry_delay_us
            bye.retry_delay_us *= 2
            connection.write(sip.encode_bye(call, bye.cause))

    def sweep(self) -> None:
        """Resends unanswered BYEs and closes idle connections."""
        self.sweep_timer = None
        now = self.clock()
        for call, bye in list(self.pending_byes.items()):
            if now - bye.created_at > BYE_LIFETIME_US:
                self.remove_bye(call)  # callers need not answer a BYE
            elif now >= bye.retry_at:
                self.send_bye(call, bye)
        awaiting_response = {bye.sent_on for bye in self.pending_byes.values()}
        for connection in [*self.unconfirmed, *self.confirmed]:
            if self.refusing and connection in awaiting_response and not connection.half_closed:
                continue  # the response to a BYE may still arrive
            if connection.is_idle() and now - connection.last_read_at > self.idle_timeout(connection):
                self.close_connection(connection)
        if self.pending_byes or self.unconfirmed or self.confirmed:
            self.schedule_sweep()

    def idle_timeout(self, connection: CallerConnection) -> int:
        """How long a connection without a set-up or call may be silent, in microseconds."""
        if connection.half_closed:
            return 0
        if self.refusing and connection is not next(reversed(self.confirmed), None):
            return SHUTDOWN_IDLE_TIMEOUT_US  # the most recently confirmed one stays open for releases
        return IDLE_TIMEOUT_US if connection.has_received else FIRST_BYTE_TIMEOUT_US

    def schedule_sweep(self) -> None:
        if self.sweep_timer is None:
            self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def respond(
        self, call: str, status: int, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
    ) -> None:
        invite = self.pending_invites.pop(call, None)
        if invite is not None:
            invite.connection.set_ups.discard(call)
            invite.connection.write(sip.encode_echoing(invite.echoed, status, headers, body))

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
        """The connection to close at the limit; None if all have open set-ups.

        Of those without one, the oldest unconfirmed connection, or else the least recently confirmed.
        """
        candidates = chain(self.unconfirmed, self.confirmed)
        return next((connection for connection in candidates if not connection.set_ups), None)

    def close_connection(self, connection: CallerConnection) -> None:
        """Stops using the connection at once; the transport closes in a later iteration of the event loop."""
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
        """Cancels the connection's open set-ups and releases calls answered after the caller's half-close.

        The caller may not have received those answers.
        """
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
        """Resends the BYEs last sent on this connection, which may not have delivered them.

        With None, those for which no connection was open.
        """
        for call, bye in self.pending_byes.items():
            if bye.sent_on is sent_on:
                if sent_on is not None:
                    sent_on.unacknowledged_byes -= 1
                bye.sent_on, bye.retry_at, bye.retry_delay_us = None, 0, BYE_RETRY_US
                self.send_bye(call, bye)

    def handle_message(self, connection: CallerConnection, message: sip.Message) -> None:
        if message.status:
            if message.cseq_method == "BYE" and self.remove_bye(message.call_id):
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
                self.remove_bye(message.call_id)
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
        """Moves the connection to the end of `confirmed`.

        It has acknowledged an answer or a release, as only the caller of a call does.
        """
        self.unconfirmed.pop(connection, None)
        self.confirmed.pop(connection, None)
        self.confirmed[connection] = None

    def handle_invite(self, connection: CallerConnection, message: sip.Message) -> None:
        if connection.is_reset:  # nobody waits for the answer, and the call may come again with the same id
            self.close_connection(connection)
            return
        call = message.call_id
        if call in self.pending_invites:  # the senders could not tell the responses apart
            log.warning("duplicate_invite", extra={"call": call})
            connection.write(sip.encode_response(message, 400))
            if self.pending_invites[call].connection is connection:
                self.close_connection(connection)
            return
        echoed = sip.echoed_headers(message)
        try:
            offer = self.parse_invite(message, len(echoed))
        except ValueError as error:
            log.warning("bad_invite", extra={"call": call, "why": error})
            connection.write(sip.encode_response(message, 400))
            return
        if self.refusing or len(connection.set_ups) >= MAX_SET_UPS_PER_CONNECTION:
            connection.write(sip.encode_response(message, 503, (("Retry-After", "1"),)))
            return
        self.pending_invites[call] = PendingInvite(connection, echoed)
        connection.set_ups.add(call)
        self.inbox.post(offer)

    def parse_invite(self, message: sip.Message, front_bytes: int) -> Offer:
        route = parse_route(message.get("x-route"), message.get("x-redial") == "1")
        left_ms = parse_integer(message.get("x-setup-ms"))
        if not (message.call_id and message.user and 0 <= left_ms <= MAX_SETUP_MS):
            raise ValueError("INVITE without call id, number or valid X-Setup-Ms")
        return Offer(
            front=self,
            call=message.call_id,
            klass=message.get("x-service"),
            key=message.user,
            text=message.body.decode(),
            remaining_us=left_ms * 1000,
            route=route,
            front_bytes=front_bytes,
        )


def release_cause(message: sip.Message) -> int:
    """The Q.850 cause of a BYE; normal clearing if there is none or it is malformed."""
    cause = message.get("reason").partition("cause=")[2].split(";")[0].strip()
    return int(cause) if cause.isascii() and cause.isdigit() and len(cause) <= 3 else NORMAL_CLEARING


class CallerConnection(Stream[sip.Message]):
    """One caller's connection.

    While the caller leaves many answers unread, its further messages wait. It is aborted only if the answers
    to what it has sent before don't fit either.
    """

    def __init__(self, front: SipFront) -> None:
        super().__init__("caller", MAX_UNREAD_BYTES, sip.Parser())
        self.front = front
        self.output_blocked = False
        self.unacknowledged_byes = 0  # that were last sent on it
        self.set_ups: set[str] = set()
        self.standing: set[str] = set()
        self.answered_after_half_close: set[str] = set()  # standing calls
        self.opened_at = 0
        self.last_read_at = 0  # initially the time at which it was opened
        self.has_received = False
        self.half_closed = False  # the caller has closed its sending side, but may still read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.front.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.last_read_at = self.front.clock()
        self.has_received = True
        super().data_received(data)

    def may_handle_input(self) -> bool:
        return not (self.is_closing or self.output_blocked)

    def handle_message(self, message: sip.Message) -> None:
        self.front.handle_message(self, message)

    def pause_writing(self) -> None:
        self.output_blocked = True
        self.pause_input()

    def resume_writing(self) -> None:
        self.output_blocked = False
        self.resume_input()

    def write(self, data: bytes) -> None:
        super().write(data)
        if self.output_blocked and self.unsent_bytes > MAX_WRITE_BUFFER_BYTES:
            self.abort_slow_reader()

    @property
    def unsent_bytes(self) -> int:
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Closes it after what is to be sent, or at once if the caller does not read."""
        if self.output_blocked and self.transport is not None:
            self.transport.abort()
        super().close()

    def eof_received(self) -> bool:
        """True keeps the connection open while it has set-ups or calls; the sweep closes it afterwards."""
        self.half_closed = True
        return not self.is_idle()

    @property
    def may_take_byes(self) -> bool:
        """Whether a BYE that is sent on it may be sent again later, if it is not acknowledged."""
        return not self.output_blocked and self.unacknowledged_byes < MAX_UNACKNOWLEDGED_BYES

    @property
    def is_reset(self) -> bool:
        """Whether the caller has reset the connection. What it sent before may still be unread."""
        socket = None if self.transport is None else self.transport.get_extra_info("socket")
        return socket is not None and socket.getsockopt(IPPROTO_TCP, TCP_INFO, 1)[0] == TCP_STATE_CLOSE

    def is_idle(self) -> bool:
        return not self.set_ups and not self.standing

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.connection_closed(self)
