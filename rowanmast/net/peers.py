"""Links to switches that speak JSON lines over TCP; implements the core's `SwitchLink` protocol."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from rowanmast import causes
from rowanmast import interface as api
from rowanmast.addresses.connector import Connector
from rowanmast.core.ports import (
    Answered,
    Attempt,
    AttemptFailed,
    CallEnded,
    EndReason,
    Inbox,
    SendGate,
    SwitchDown,
)
from rowanmast.liveness.machine import (
    CheckReachability,
    LeaseExpired,
    LivenessAction,
    ReplaceConnection,
    SendProbe,
    SwitchLiveness,
)
from rowanmast.net import jsonlines
from rowanmast.net.connection_budget import ConnectionBudget
from rowanmast.net.input_queue import now_us
from rowanmast.net.peer_connection import SwitchConnection
from rowanmast.net.pending_releases import PendingReleases

# When a set-up that was sent at least this long ago is cancelled, its connection is replaced if it has
# received nothing for this long.
SILENCE_TIMEOUT_US = 300_000
STATUS_SPREAD_US = 50_000  # a switch sends each status on all its connections within this time
MAX_STATUS_LAG_US = 100_000  # a connection that has lacked a status for this long is replaced
RECONNECT_MIN_S, RECONNECT_MAX_S = 0.1, 2.0  # backoff between connects that no set-up is waiting for
LOAD_PROBE_ID = f"{1:016x}"  # of the probes that the decision module requests; in the form of a call id
LIVENESS_PROBE_ID = f"{2:016x}"  # of the probes that `liveness` requests, only to check for a response

log = logging.getLogger(__name__)


class JsonSwitchLink:
    """The connections to one switch, kept open while it is listed, and the set-ups in flight on them.

    Standing calls are not bound to a connection: `liveness` holds the leases that decide how long they are
    taken to stand.
    """

    def __init__(
        self,
        exchange: str,
        address: tuple[str, int],
        inbox: Inbox,
        gate: SendGate,
        connect_timeout_s: float,
        random: Random,
        connector: Connector | None = None,
        may_probe: bool = True,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """`address` comes from the change log; a `connector`, if given, chooses the address to connect to.

        Without `may_probe`, connections are not probed for liveness. `budget` is shared by all links of the
        router.
        """
        self.liveness = SwitchLiveness(may_probe)
        self.exchange = exchange
        self.address = address
        self.inbox = inbox
        self.gate = gate
        self.connect_timeout_s = connect_timeout_s
        self.random = random
        self.connector = connector
        self.connections: list[SwitchConnection] = []
        # Unresponsive connections that are kept as the only ones known to lead to a process with calls.
        self.retired: list[SwitchConnection] = []
        self.connect_task: asyncio.Task[None] | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.backoff_s = RECONNECT_MIN_S
        self.queued_attempts: dict[str, Attempt] = {}  # sent as soon as a connection is open
        self.attempt_connections: dict[str, SwitchConnection] = {}  # of the set-ups in flight, by call
        self.releases = PendingReleases()
        self.load_probed_at: int | None = None
        self.liveness_timer: asyncio.TimerHandle | None = None
        self.verify_started_at = 0  # when the connections that carry calls were last probed by `verify_alive`
        # Set while the switch is not listed; called, once no call stands there, after closing the link.
        self.on_removal_done: Callable[[], None] | None = None
        self.closed = False
        self.last_connection_number = 0  # connections are numbered in the order in which they open
        self.budget = budget or ConnectionBudget()
        self.budget.add(self)
        self.connect()

    # SwitchLink

    def set_up(self, attempt: Attempt) -> None:
        if self.connections:
            self.send_attempt(attempt)
        else:
            self.queued_attempts[attempt.call] = attempt
            self.connect()

    def cancel(self, call: str) -> None:
        if self.queued_attempts.pop(call, None) is not None:
            return
        connection = self.attempt_connections.pop(call, None)
        if connection is None:
            return
        attempt = connection.in_flight.pop(call)
        self.write_cancellation(connection, call)
        if max(attempt.sent_at, connection.heard_at) <= now_us() - SILENCE_TIMEOUT_US:
            self.drop_unresponsive(connection)
        self.close_unneeded()

    def release(self, call: str, cause: int) -> None:
        self.liveness.call_released(call)
        self.releases.queue(call, close_line(call, cause))
        self.send_releases()
        if self.releases:
            self.connect()
        self.close_unneeded()

    def probe(self) -> None:
        if self.connections:
            self.load_probed_at = now_us()
            self.connections[0].write(jsonlines.encode("probe", LOAD_PROBE_ID, {}, code=1))
        else:
            self.inbox.post(api.LoadReported(self.exchange, False, 0, api.LoadReport()))

    @property
    def survives_restart(self) -> bool:
        return self.liveness.all_heard_since(self.verify_started_at)

    # Standing calls

    def verify_alive(self) -> None:
        """Probes the connections that carry calls.

        `survives_restart` is then true once every process with calls has sent data, on any connection.
        """
        self.verify_started_at = now_us()
        self.execute(self.liveness.probe_all(self.verify_started_at))

    def check_liveness(self) -> None:
        self.liveness_timer = None
        self.execute(self.liveness.check(now_us()))

    def execute(self, actions: list[LivenessAction]) -> None:
        for action in actions:
            match action:
                case SendProbe():
                    self.send_liveness_probe(action.connection)
                case ReplaceConnection():
                    self.replace_connection(action.connection)
                case CheckReachability():
                    self.check_reachability()
                case LeaseExpired():
                    self.end_calls(action.calls, EndReason.SWITCH_LOST)
        self.schedule_liveness_check()
        self.close_unneeded()

    def schedule_liveness_check(self) -> None:
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()
            self.liveness_timer = None
        if self.liveness.next_check_at is not None and not self.closed:
            wait_s = max(self.liveness.next_check_at - now_us(), 0) / 1e6
            self.liveness_timer = asyncio.get_running_loop().call_later(wait_s, self.check_liveness)

    def send_liveness_probe(self, number: int) -> None:
        for connection in (*self.connections, *self.retired):
            if connection.number == number:
                connection.write(jsonlines.encode("probe", LIVENESS_PROBE_ID, {}, code=0))

    def replace_connection(self, number: int) -> None:
        connection = next((one for one in self.connections if one.number == number), None)
        if connection is not None:
            self.drop_unresponsive(connection)

    def check_reachability(self) -> None:
        """Opens a further connection, where probes are forbidden; an unused one gives way to it."""
        if self.usable_count >= self.budget.per_link:
            self.close_idle_connection()
        self.start_connecting()

    def end_calls(self, calls: tuple[str, ...], why: EndReason) -> None:
        """Ends these calls towards their callers; releases them at the switch once it is reachable."""
        if not calls:
            return
        details = {"exchange": self.exchange, "calls": len(calls), "why": why.value}
        log.warning("calls_given_up", extra=details)
        for call in calls:
            self.inbox.post(CallEnded(self.exchange, call, api.Outcome.CUT, why=why))
            self.releases.queue(call, close_line(call, causes.TEMPORARY_FAILURE))
        self.send_releases()

    def send_releases(self) -> None:
        """Sends the queued ones on the connection that received data last, if there is one."""
        if not (self.connections and self.releases):
            return
        connection = max(self.connections, key=lambda one: one.heard_at)
        for line in self.releases.take_queued(connection.number, now_us()):
            connection.write(line)

    def close_unneeded(self) -> None:
        """Closes connections that no call or set-up needs: retired ones and those of a removed switch.

        The whole link of a removed switch is closed once no call stands there.
        """
        for connection in list(self.retired):
            if not self.liveness.is_sole_connection(connection.number):
                connection.close()
        self.close_surplus()
        if self.on_removal_done is None or self.closed:
            return
        for connection in list(self.connections):
            if not self.liveness.carries_calls(connection.number) and not connection.in_flight:
                connection.close()
        if not self.liveness.has_calls() and not self.closed and self.on_removal_done is not None:
            self.close()
            self.on_removal_done()

    # The budget of connections

    @property
    def connection_count(self) -> int:
        return self.usable_count + len(self.retired)

    @property
    def usable_count(self) -> int:
        return len(self.connections) + (self.connect_task is not None)

    def budget_changed(self) -> None:
        self.close_surplus()
        self.connect()

    def close_surplus(self) -> None:
        """Closes connections beyond the budget that no call needs; set-ups are not sent on these."""
        for connection in self.connections[self.budget.per_link :]:
            if self.is_unused(connection):
                self.close_unused(connection)

    def close_idle_connection(self) -> bool:
        unused = next((one for one in reversed(self.connections) if self.is_unused(one)), None)
        if unused is not None:
            self.close_unused(unused)
        return unused is not None

    def is_unused(self, connection: SwitchConnection) -> bool:
        return not connection.in_flight and not self.liveness.may_receive_release(connection.number)

    def close_unused(self, connection: SwitchConnection) -> None:
        self.connections.remove(connection)
        self.log_closed(connection, "unused")
        connection.close()

    # Writing

    def send_attempt(self, attempt: Attempt) -> None:
        """Sends the set-up on the connection with the fewest in flight."""
        connection = min(self.connections[: self.budget.per_link], key=lambda one: len(one.in_flight))
        left_ms = max((attempt.deadline - now_us()) // 1000, 1)
        attrs = {"class": attempt.klass, "key": attempt.key, "left": str(left_ms)}
        self.releases.forget(attempt.call)  # of an earlier attempt; it would cut this one
        self.attempt_connections[attempt.call] = connection
        connection.in_flight[attempt.call] = attempt
        connection.write(jsonlines.encode("open", attempt.call, attrs, text=attempt.text))

    def write_cancellation(self, connection: SwitchConnection, call: str) -> None:
        """Cancels the call's set-up on the connection on which it was sent."""
        line = close_line(call, causes.NORMAL_CLEARING)
        connection.write(line)
        self.releases.record_sent(call, line, connection.number, now_us())

    # Reading

    def handle_line(self, connection: SwitchConnection, line: jsonlines.Line) -> None:
        match line.msg:
            case "ready":
                attempt = self.pop_attempt(line.sid)
                if attempt is not None:
                    self.track_call(line.sid, connection)
                number = -1 if attempt is None else attempt.number
                self.inbox.post(Answered(self.exchange, line.sid, number, line.text))
            case "close":
                self.handle_close(connection, line)
            case "closed":
                self.releases.forget(line.sid)
            case "status":
                self.inbox.post(api.LoadReported(self.exchange, True, 0, line.report))
                if connection.status_received:  # the first status of a new connection comes on that one only
                    self.drop_lagging(connection)
                connection.status_received = True
            case "probed" if line.sid == LIVENESS_PROBE_ID:
                pass  # `record_activity` has already renewed the leases
            case "probed":
                delay = 0 if self.load_probed_at is None else now_us() - self.load_probed_at
                self.inbox.post(api.LoadReported(self.exchange, line.code == 1, delay * 1000, line.report))
            case "probe":
                connection.write(jsonlines.encode("probed", line.sid, {}, code=1))

    def record_activity(self, connection: SwitchConnection) -> None:
        self.liveness.data_received(connection.heard_at, connection.number)
        if self.retired:
            self.close_unneeded()

    def track_call(self, call: str, connection: SwitchConnection) -> None:
        self.liveness.call_answered(call, connection.number)
        if self.liveness.next_check_at is None:
            self.liveness.schedule_check(now_us(), 0)
            self.schedule_liveness_check()

    def handle_close(self, connection: SwitchConnection, line: jsonlines.Line) -> None:
        attempt = self.pop_attempt(line.sid)
        if attempt is not None:
            outcome = causes.outcome_before_answer(line.code)
            ended = AttemptFailed(self.exchange, line.sid, attempt.number, outcome, line.cause, line.report)
            self.inbox.post(ended)
            self.close_unneeded()
            return
        outcome = causes.outcome_after_answer(line.code)
        self.liveness.call_released(line.sid, connection.number)
        self.inbox.post(CallEnded(self.exchange, line.sid, outcome, line.report))
        connection.write(jsonlines.encode("closed", line.sid, {}))
        self.close_unneeded()

    def drop_lagging(self, reporting: SwitchConnection) -> None:
        """Drops connections that do not receive the statuses that `reporting` receives.

        A connection whose stream has stalled delivers nothing more, so a set-up in flight on it would wait
        for its deadline. A switch that is silent on all its connections is not detected here.
        """
        for other in list(self.connections):
            if reporting.heard_at - other.heard_at < STATUS_SPREAD_US:
                other.lagging_since = 0
            elif not other.lagging_since:
                other.lagging_since = reporting.heard_at
            elif reporting.heard_at - other.lagging_since >= MAX_STATUS_LAG_US:
                self.drop_unresponsive(other)

    def drop_unresponsive(self, connection: SwitchConnection) -> None:
        """Closes the connection, or retires it if it is the only one that leads to a process with calls."""
        log.warning("switch_silent", extra={"exchange": self.exchange, "out": len(connection.in_flight)})
        if self.liveness.is_sole_connection(connection.number) and not self.closed:
            self.retire(connection)
        else:
            self.connection_closed(connection, "silent")
            connection.close()

    def retire(self, connection: SwitchConnection) -> None:
        """Cancels the set-ups in flight on the connection and sends no more on it, but keeps it open.

        Releases are sent on another connection, or queued until one is open. The switch may still release
        standing calls on this one, which also carries probes and the replies to the switch.
        """
        self.connections.remove(connection)
        self.retired.append(connection)
        self.log_closed(connection, "retired")
        for call in connection.in_flight:
            self.write_cancellation(connection, call)
        self.fail_attempts(connection)
        self.send_releases()
        self.connect()

    def pop_attempt(self, call: str) -> Attempt | None:
        """Removes and returns the call's set-up in flight; None if there is none."""
        connection = self.attempt_connections.pop(call, None)
        return None if connection is None else connection.in_flight.pop(call)

    # Connecting

    def connect(self) -> None:
        """Begins to open one more connection, unless one is being opened or there are enough."""
        if self.connect_task is not None or self.closed or self.on_removal_done is not None:
            return
        if not self.budget.may_open(self, needed=self.needs_connection):
            if not self.connections:
                self.fail_queued_attempts()
                self.schedule_reconnect()
            return
        self.start_connecting()

    def start_connecting(self) -> None:
        """Begins to open a connection, unless one is being opened."""
        if self.closed or self.on_removal_done is not None or self.connect_task is not None:
            return
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        self.connect_task = asyncio.get_running_loop().create_task(self.open_connection())

    @property
    def needs_connection(self) -> bool:
        """Whether a set-up, a release or a standing call waits for the first connection."""
        return not self.connections and bool(
            self.queued_attempts or self.releases or self.liveness.has_calls()
        )

    async def open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            if self.connector is not None:
                made: list[SwitchConnection] = []
                endpoint = await self.connector.connect(lambda: self.make_connection(made))
                made[0].endpoint = endpoint
                return
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.create_connection(lambda: SwitchConnection(self), *self.address)
        except OSError as error:  # includes TimeoutError
            self.connect_task = None
            self.connect_failed(refused=isinstance(error, ConnectionRefusedError))

    def make_connection(self, made: list[SwitchConnection]) -> SwitchConnection:
        """Protocol factory for the connector, which returns an endpoint but not the protocol."""
        made.append(SwitchConnection(self))
        return made[-1]

    def connect_failed(self, refused: bool) -> None:
        log.info("connect_failed", extra={"exchange": self.exchange, "refused": refused})
        self.fail_queued_attempts()
        if refused and self.connections:  # it admits no more connections, but is there
            self.liveness.connect_succeeded(now_us())
        elif refused:  # proves that no switch process is running
            self.liveness.end_all_calls()
            # Posted after the queued set-ups, as these were never sent and must not count as cut.
            self.inbox.post(SwitchDown(self.exchange))
        self.schedule_reconnect()

    def fail_queued_attempts(self) -> None:
        """Fails the set-ups that wait for a first connection, which can't be opened now."""
        for attempt in self.queued_attempts.values():
            self.post_attempt_failed(attempt, api.Outcome.UNREACHED)
        self.queued_attempts.clear()

    def connection_opened(self, connection: SwitchConnection) -> None:
        self.connect_task = None
        if self.closed or self.on_removal_done is not None:
            connection.close()
            return
        if len(self.connections) < self.budget.per_link:
            self.connections.append(connection)
        else:  # opened by a reachability check: replaces the last one, which becomes surplus
            self.connections.insert(0, connection)
        self.last_connection_number += 1
        connection.number = self.last_connection_number
        log.info("connection_opened", extra={"exchange": self.exchange, "connection": connection.number})
        self.liveness.connection_opened(connection.opened_at, connection.number)
        self.liveness.connect_succeeded(now_us())
        self.send_releases()
        waiting, self.queued_attempts = self.queued_attempts, {}
        for attempt in waiting.values():
            if self.gate.may_send(attempt):
                self.send_attempt(attempt)
            else:
                self.post_attempt_failed(attempt, api.Outcome.NOT_SENT)
        self.connect()

    def connection_closed(self, connection: SwitchConnection, why: str) -> None:
        """Fails the set-ups in flight; standing calls remain.

        They are ended if the switch is removed and this was its last connection. The switch drops the set-ups
        with the connection, except those that it had answered: such a call stands, so each is released.
        """
        self.liveness.connection_lost(now_us(), connection.number)
        self.releases.connection_lost(connection.number, now_us())
        if connection in self.retired:
            self.retired.remove(connection)
            self.connect()
        if connection in self.connections:
            self.connections.remove(connection)
            self.log_closed(connection, why)
            self.fail_attempts(connection)
            self.reconnect(connection)
        self.send_releases()
        if self.on_removal_done is not None and not (self.closed or self.connections or self.retired):
            self.end_calls(self.liveness.end_all_calls(), EndReason.SWITCH_REMOVED)
            self.close_unneeded()

    def fail_attempts(self, connection: SwitchConnection) -> None:
        for attempt in connection.in_flight.values():
            del self.attempt_connections[attempt.call]
            self.post_attempt_failed(attempt, api.Outcome.CUT)
            self.releases.queue(attempt.call, close_line(attempt.call, causes.NORMAL_CLEARING))
        connection.in_flight.clear()

    def reconnect(self, connection: SwitchConnection) -> None:
        """Replaces a lost connection: at once if it had received data, otherwise after the backoff."""
        if connection.heard_at > connection.opened_at:
            self.backoff_s = RECONNECT_MIN_S
            self.connect()
        elif self.connect_task is None:  # closed before it received anything, which may happen every time
            if self.connector is not None and connection.endpoint is not None:
                self.connector.connection_reset(connection.endpoint)
            self.schedule_reconnect()

    def log_closed(self, connection: SwitchConnection, why: str) -> None:
        now = now_us()
        details = {
            "exchange": self.exchange,
            "connection": connection.number,
            "why": why,
            "open_ms": (now - connection.opened_at) // 1000,
            "silent_ms": (now - connection.heard_at) // 1000,
            "out": len(connection.in_flight),
            "left": len(self.connections),
        }
        log.info("connection_closed", extra=details)

    def schedule_reconnect(self) -> None:
        if not self.closed and self.on_removal_done is None:
            wait = self.backoff_s * self.random.uniform(0.5, 1.5)
            self.backoff_s = min(self.backoff_s * 2, RECONNECT_MAX_S)
            if self.reconnect_timer is not None:
                self.reconnect_timer.cancel()
            self.reconnect_timer = asyncio.get_running_loop().call_later(wait, self.connect)

    def post_attempt_failed(self, attempt: Attempt, outcome: api.Outcome) -> None:
        self.inbox.post(AttemptFailed(self.exchange, attempt.call, attempt.number, outcome))

    # Removal and close

    def remove(self, on_removal_done: Callable[[], None]) -> None:
        """The switch is no longer listed in the change log.

        Standing calls remain until they are released, their lease expires or the last connection is lost.
        Once no call stands there, the link is closed and `on_removal_done` is called; `abandon` and a plain
        `close` don't call it.
        """
        self.on_removal_done = on_removal_done
        self.liveness.switch_removed(now_us())
        self.cancel_reconnect()
        if self.connections or self.retired:
            self.verify_alive()  # also closes connections that carry no calls
        else:
            self.end_calls(self.liveness.end_all_calls(), EndReason.SWITCH_REMOVED)
            self.close_unneeded()

    def restore(self) -> None:
        """The switch is listed again before its link was closed.

        A new process may listen at its address: a connection on which nothing has come since the removal may
        lead to the former one, and gets no more set-ups.
        """
        self.on_removal_done = None
        removed_at = self.liveness.removed_at or 0
        self.liveness.switch_restored()
        for connection in list(self.connections):
            if connection.heard_at <= removed_at:
                self.drop_unresponsive(connection)
        self.connect()

    def abandon(self) -> None:
        """The switch has moved to another machine: ends the standing calls and closes the link."""
        self.end_calls(self.liveness.end_all_calls(), EndReason.SWITCH_REMOVED)
        self.close()

    def close(self) -> None:
        """Closes all connections and cancels the timers, without ending standing calls towards callers."""
        self.closed = True
        self.budget.remove(self)
        self.cancel_reconnect()
        self.schedule_liveness_check()
        for connection in (*self.connections, *self.retired):
            connection.close()

    def cancel_reconnect(self) -> None:
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None


def close_line(call: str, cause: int) -> bytes:
    """Encodes the line that cancels a set-up or releases a call."""
    return jsonlines.encode("close", call, {}, code=cause)
