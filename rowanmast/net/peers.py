"""Switches that speak JSON lines over TCP. Adapts each to the core's port `SwitchLink`."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from random import Random

from rowanmast import causes
from rowanmast import interface as api
from rowanmast.addresses.connector import Connector
from rowanmast.core.ports import (
    Answered,
    Attempt,
    AttemptEnded,
    CallEnded,
    Ending,
    Inbox,
    SendGate,
    SwitchDown,
)
from rowanmast.liveness.machine import (
    LeaseExpired,
    LivenessAction,
    ReplaceConnection,
    SendProbe,
    SwitchLiveness,
)
from rowanmast.net import jsonlines
from rowanmast.net.input_queue import now_us
from rowanmast.net.peer_connection import SwitchConnection

MAX_CONNECTIONS = 4  # connections: one that is spoiled or reset costs the set-ups that are out on it
SILENCE_TIMEOUT_US = (
    300_000  # one on which nothing came for this long while a set-up on it ran out of time is replaced
)
STATUS_SPREAD_US = 50_000  # a state comes on all connections, within this time of each other
MAX_STATUS_LAG_US = (
    100_000  # one that still lacks what came on another this long ago is of no more use either
)
RECONNECT_MIN_S, RECONNECT_MAX_S = 0.1, 2.0  # pauses between connects while nobody asks for one
MAX_QUEUED_RELEASES = 10_000  # releases that are kept until a connection to the switch comes up
PROBE_ID = f"{1:016x}"  # the id of a probe that the decisions ask for, in the form of a call's
HEARTBEAT_ID = f"{2:016x}"  # and of one that only asks for a sign of life

log = logging.getLogger(__name__)


class JsonSwitchLink:
    """The connections to a switch, kept open while the switch is listed, and what is out on them.

    Calls that stand belong to no connection. `liveness` says how long they may be believed to stand.
    """

    def __init__(
        self,
        exchange: str,
        address: tuple[str, int],
        inbox: Inbox,
        gate: SendGate,
        connect_s: float,
        random: Random,
        connector: Connector | None = None,
        may_probe: bool = True,
    ) -> None:
        """`address` is the change log's; with a `connector`, connections go to the addresses that it has."""
        self.liveness = SwitchLiveness(may_probe)
        self.exchange = exchange
        self.address = address
        self.inbox = inbox
        self.gate = gate
        self.connect_s = connect_s
        self.random = random
        self.connector = connector
        self.connections: list[SwitchConnection] = []
        self.retired: list[
            SwitchConnection
        ] = []  # silent, kept only as the last sign of a process with calls
        self.connect_task: asyncio.Task[None] | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.backoff_s = RECONNECT_MIN_S
        self.queued_attempts: dict[str, Attempt] = {}  # set-ups for which a connection is being opened
        self.attempt_connections: dict[
            str, SwitchConnection
        ] = {}  # where each set-up left that has no end yet
        self.queued_releases: deque[bytes] = deque(
            maxlen=MAX_QUEUED_RELEASES
        )  # releases that found no connection
        self.probed_at: int | None = None
        self.liveness_timer: asyncio.TimerHandle | None = None
        self.verify_started_at = 0  # when the connections that carry calls were last asked for a sign of life
        self.on_removal_done: Callable[[], None] | None = (
            None  # from discovery: called once nothing is left here
        )
        self.closed = False
        self.last_connection_number = 0  # of its connections, in the order in which they came up
        self.connect()

    # The port

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
        connection.write(close_line(call, causes.NORMAL_CLEARING))
        if max(attempt.sent_at, connection.heard_at) <= now_us() - SILENCE_TIMEOUT_US:
            self.drop_unresponsive(connection)
        self.close_unneeded()

    def release(self, call: str, cause: int) -> None:
        self.liveness.call_released(call)
        line = close_line(call, cause)
        if self.connections:
            max(self.connections, key=lambda one: one.heard_at).write(line)
        elif not self.closed:
            self.queued_releases.append(line)
            self.connect()
        self.close_unneeded()

    def probe(self) -> None:
        if self.connections:
            self.probed_at = now_us()
            self.connections[0].write(jsonlines.encode("probe", PROBE_ID, {}, code=1))
        else:
            self.inbox.post(api.LoadReported(self.exchange, False, 0, api.LoadReport()))

    @property
    def survives_restart(self) -> bool:
        return self.liveness.all_heard_since(self.verify_started_at)

    # Calls that stand

    def verify_alive(self) -> None:
        """Asks for a sign of life now; `survives_restart` tells whether one has come since."""
        self.verify_started_at = now_us()
        self.execute(self.liveness.probe_all(self.verify_started_at))

    def check_liveness(self) -> None:
        self.liveness_timer = None
        self.execute(self.liveness.check(now_us()))

    def execute(self, orders: list[LivenessAction]) -> None:
        for order in orders:
            match order:
                case SendProbe():
                    self.send_heartbeat(order.connection)
                case ReplaceConnection():
                    self.replace_connection(order.connection)
                case LeaseExpired():
                    self.end_calls(order.calls, Ending.SWITCH_LOST)
        self.schedule_liveness_check()
        self.close_unneeded()

    def schedule_liveness_check(self) -> None:
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()
            self.liveness_timer = None
        if self.liveness.next_check_at is not None and not self.closed:
            wait_s = max(self.liveness.next_check_at - now_us(), 0) / 1e6
            self.liveness_timer = asyncio.get_running_loop().call_later(wait_s, self.check_liveness)

    def send_heartbeat(self, number: int) -> None:
        for connection in (*self.connections, *self.retired):
            if connection.number == number:
                connection.write(jsonlines.encode("probe", HEARTBEAT_ID, {}, code=0))

    def replace_connection(self, number: int) -> None:
        connection = next((one for one in self.connections if one.number == number), None)
        if connection is not None:
            self.drop_unresponsive(connection)

    def end_calls(self, calls: tuple[str, ...], why: Ending) -> None:
        """Their callers are told, and the switch as soon as it can be reached, if it still has them."""
        if not calls:
            return
        details = {"exchange": self.exchange, "calls": len(calls), "why": why.value}
        log.warning("calls_given_up", extra=details)
        for call in calls:
            self.inbox.post(CallEnded(self.exchange, call, api.Outcome.CUT, why=why))
            self.queued_releases.append(close_line(call, causes.TEMPORARY_FAILURE))
        self.send_queued_releases()

    def send_queued_releases(self) -> None:
        """On the connection that was heard last, if there is one."""
        if not self.connections:
            return
        connection = max(self.connections, key=lambda one: one.heard_at)
        for line in self.queued_releases:
            connection.write(line)
        self.queued_releases.clear()

    def close_unneeded(self) -> None:
        """Closes what nothing is left on: connections that are kept for calls alone."""
        for connection in list(self.retired):
            if not self.liveness.is_sole_connection(connection.number):
                connection.close()
        if self.on_removal_done is None or self.closed:
            return
        for connection in list(self.connections):
            if not self.liveness.carries_calls(connection.number) and not connection.in_flight:
                connection.close()
        if not self.liveness.has_calls() and not self.closed and self.on_removal_done is not None:
            self.close()
            self.on_removal_done()

    # Writing

    def send_attempt(self, attempt: Attempt) -> None:
        connection = min(self.connections, key=lambda one: len(one.in_flight))
        left = max((attempt.deadline - now_us()) // 1000, 1)
        attrs = {"class": attempt.klass, "key": attempt.key, "left": str(left)}
        self.attempt_connections[attempt.call] = connection
        connection.in_flight[attempt.call] = attempt
        connection.write(jsonlines.encode("open", attempt.call, attrs, text=attempt.text))

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
            case "status":
                self.inbox.post(api.LoadReported(self.exchange, True, 0, line.report))
                if connection.status_received:  # the first state on a new connection comes there alone
                    self.drop_lagging(connection)
                connection.status_received = True
            case "probed" if line.sid == HEARTBEAT_ID:
                pass  # that it came is all that was asked for
            case "probed":
                delay = 0 if self.probed_at is None else now_us() - self.probed_at
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
            over = AttemptEnded(self.exchange, line.sid, attempt.number, outcome, line.cause, line.report)
            self.inbox.post(over)
            return
        outcome = causes.outcome_after_answer(line.code)
        self.liveness.call_released(line.sid, connection.number)
        self.inbox.post(CallEnded(self.exchange, line.sid, outcome, line.report))
        connection.write(jsonlines.encode("closed", line.sid, {}))
        self.close_unneeded()

    def drop_lagging(self, reporting: SwitchConnection) -> None:
        """Finds the connections that do not bring what another one brings.

        Behind an answer that never comes nothing else does, and a set-up out there would wait for its
        deadline. A switch that is silent on all of them is not judged here.
        """
        for other in list(self.connections):
            if reporting.heard_at - other.heard_at < STATUS_SPREAD_US:
                other.lagging_since = 0
            elif not other.lagging_since:
                other.lagging_since = reporting.heard_at
            elif reporting.heard_at - other.lagging_since >= MAX_STATUS_LAG_US:
                self.drop_unresponsive(other)

    def drop_unresponsive(self, connection: SwitchConnection) -> None:
        log.warning("switch_silent", extra={"exchange": self.exchange, "out": len(connection.in_flight)})
        if self.liveness.is_sole_connection(connection.number) and not self.closed:
            self.retire(connection)
        else:
            self.connection_closed(connection, "silent")
            connection.close()

    def retire(self, connection: SwitchConnection) -> None:
        """Nothing more is set up on it, but the ends of calls may still come there."""
        self.connections.remove(connection)
        self.retired.append(connection)
        self.log_closed(connection, "retired")
        for call in connection.in_flight:
            connection.write(close_line(call, causes.NORMAL_CLEARING))
        self.fail_attempts(connection)
        self.connect()

    def pop_attempt(self, call: str) -> Attempt | None:
        """The set-up that is out no more, if it was."""
        connection = self.attempt_connections.pop(call, None)
        return None if connection is None else connection.in_flight.pop(call)

    # The connections

    def connect(self) -> None:
        if self.closed or self.on_removal_done is not None or self.connect_task is not None:
            return
        if len(self.connections) + len(self.retired) >= MAX_CONNECTIONS:
            return
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        self.connect_task = asyncio.get_running_loop().create_task(self.open_connection())

    async def open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            if self.connector is not None:
                made: list[SwitchConnection] = []
                endpoint = await self.connector.connect(lambda: self.make_connection(made))
                made[0].endpoint = endpoint
                return
            async with asyncio.timeout(self.connect_s):
                await loop.create_connection(lambda: SwitchConnection(self), *self.address)
        except OSError as error:  # a timeout is one too
            self.connect_task = None
            self.connect_failed(refused=isinstance(error, ConnectionRefusedError))

    def make_connection(self, made: list[SwitchConnection]) -> SwitchConnection:
        made.append(SwitchConnection(self))
        return made[-1]

    def connect_failed(self, refused: bool) -> None:
        log.info("connect_failed", extra={"exchange": self.exchange, "refused": refused})
        for attempt in self.queued_attempts.values():
            self.post_attempt_over(attempt, api.Outcome.UNREACHED)
        self.queued_attempts.clear()
        if refused and not self.connections:  # proves that nothing runs there
            self.liveness.end_all_calls()
            self.inbox.post(SwitchDown(self.exchange))  # told last, as what was waiting never left
        self.schedule_reconnect()

    def connection_opened(self, connection: SwitchConnection) -> None:
        self.connect_task = None
        if self.closed or self.on_removal_done is not None:
            connection.close()
            return
        self.connections.append(connection)
        self.last_connection_number += 1
        connection.number = self.last_connection_number
        log.info("connection_opened", extra={"exchange": self.exchange, "connection": connection.number})
        self.liveness.connection_opened(connection.opened_at, connection.number)
        self.send_queued_releases()
        waiting, self.queued_attempts = self.queued_attempts, {}
        for attempt in waiting.values():
            if self.gate.may_send(attempt):
                self.send_attempt(attempt)
            else:
                self.post_attempt_over(attempt, api.Outcome.NOT_SENT)
        self.connect()

    def connection_closed(self, connection: SwitchConnection, why: str) -> None:
        """The switch gives up the set-ups of a connection that closes; what stands is not touched."""
        self.liveness.connection_lost(now_us(), connection.number)
        if connection in self.retired:
            self.retired.remove(connection)
            self.connect()
        if connection in self.connections:
            self.connections.remove(connection)
            self.log_closed(connection, why)
            self.fail_attempts(connection)
            self.reconnect(connection)
        if self.on_removal_done is not None and not (self.closed or self.connections or self.retired):
            self.end_calls(self.liveness.end_all_calls(), Ending.SWITCH_REMOVED)
            self.close_unneeded()

    def fail_attempts(self, connection: SwitchConnection) -> None:
        for attempt in connection.in_flight.values():
            del self.attempt_connections[attempt.call]
            self.post_attempt_over(attempt, api.Outcome.CUT)
        connection.in_flight.clear()

    def reconnect(self, connection: SwitchConnection) -> None:
        if connection.heard_at > connection.opened_at:
            self.backoff_s = RECONNECT_MIN_S
            self.connect()
        elif (
            self.connect_task is None
        ):  # one that is reset while new, each time, is not asked for without a pause
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

    def post_attempt_over(self, attempt: Attempt, outcome: api.Outcome) -> None:
        self.inbox.post(AttemptEnded(self.exchange, attempt.call, attempt.number, outcome))

    # The end

    def remove(self, on_empty: Callable[[], None]) -> None:
        """Discovery has removed the switch. Calls that stand stay until their ends are told, or it is silent.

        `on_empty` is called once, when the link is closed.
        """
        self.on_removal_done = on_empty
        self.liveness.switch_removed(now_us())
        self.cancel_reconnect()
        if self.connections or self.retired:
            self.verify_alive()  # closes what carries no calls
        else:
            self.end_calls(self.liveness.end_all_calls(), Ending.SWITCH_REMOVED)
            self.close_unneeded()

    def restore(self) -> None:
        """Discovery lists the switch again, before all was over."""
        self.on_removal_done = None
        self.liveness.switch_restored()
        self.connect()

    def abandon(self) -> None:
        """The switch's machine is another one now: what stands here is over."""
        self.end_calls(self.liveness.end_all_calls(), Ending.SWITCH_REMOVED)
        self.close()

    def close(self) -> None:
        """Lets go of everything; calls that stand are not told of."""
        self.closed = True
        self.cancel_reconnect()
        self.schedule_liveness_check()
        for connection in (*self.connections, *self.retired):
            connection.close()

    def cancel_reconnect(self) -> None:
        if self.reconnect_timer is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None


def close_line(call: str, cause: int) -> bytes:
    """The line that gives up a set-up or releases a call."""
    return jsonlines.encode("close", call, {}, code=cause)
