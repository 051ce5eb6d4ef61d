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
    AttemptOver,
    CallOver,
    Ending,
    Gate,
    Inbox,
    SwitchDown,
)
from rowanmast.liveness.machine import LeaseExpired, Order, Replace, SendProbe, SwitchLiveness
from rowanmast.net import jsonlines
from rowanmast.net.peer_connection import Connection
from rowanmast.net.turn import now_us

MOST = 4  # connections: one that is spoiled or reset costs the set-ups that are out on it
SILENT_US = (
    300_000  # one on which nothing came for this long while a set-up on it ran out of time is replaced
)
SAME_US = 50_000  # a state comes on all connections, within this time of each other
BEHIND_US = 100_000  # one that still lacks what came on another this long ago is of no more use either
RETRY_S, RETRY_MAX_S = 0.1, 2.0  # pauses between connects while nobody asks for one
MAX_UNSENT = 10_000  # releases that are kept until a connection to the switch comes up
PING = f"{1:016x}"  # the id of a probe that the decisions ask for, in the form of a call's
HEARTBEAT = f"{2:016x}"  # and of one that only asks for a sign of life

log = logging.getLogger(__name__)


class PeerLink:
    """The connections to a switch, kept open while the switch is listed, and what is out on them.

    Calls that stand belong to no connection. `liveness` says how long they may be believed to stand.
    """

    def __init__(
        self,
        exchange: str,
        address: tuple[str, int],
        inbox: Inbox,
        gate: Gate,
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
        self.connections: list[Connection] = []
        self.retired: list[Connection] = []  # silent, kept only as the last sign of a process with calls
        self.task: asyncio.Task[None] | None = None
        self.retry: asyncio.TimerHandle | None = None
        self.pause = RETRY_S
        self.waiting: dict[str, Attempt] = {}  # set-ups for which a connection is being opened
        self.out: dict[str, Connection] = {}  # where each set-up left that has no end yet
        self.unsent: deque[bytes] = deque(maxlen=MAX_UNSENT)  # releases that found no connection
        self.probed_at: int | None = None
        self.check_timer: asyncio.TimerHandle | None = None
        self.verified_at = 0  # when the connections that carry calls were last asked for a sign of life
        self.removed: Callable[[], None] | None = None  # from discovery: called once nothing is left here
        self.closed = False
        self.last_number = 0  # of its connections, in the order in which they came up
        self.connect()

    # The port

    def set_up(self, attempt: Attempt) -> None:
        if self.connections:
            self.send(attempt)
        else:
            self.waiting[attempt.call] = attempt
            self.connect()

    def call_off(self, call: str) -> None:
        if self.waiting.pop(call, None) is not None:
            return
        connection = self.out.pop(call, None)
        if connection is None:
            return
        attempt = connection.out.pop(call)
        connection.write(close_line(call, causes.NORMAL_CLEARING))
        if max(attempt.sent, connection.heard_at) <= now_us() - SILENT_US:
            self.leave(connection)
        self.tidy()

    def release(self, call: str, cause: int) -> None:
        self.liveness.released(call)
        line = close_line(call, cause)
        if self.connections:
            max(self.connections, key=lambda one: one.heard_at).write(line)
        elif not self.closed:
            self.unsent.append(line)
            self.connect()
        self.tidy()

    def probe(self) -> None:
        if self.connections:
            self.probed_at = now_us()
            self.connections[0].write(jsonlines.write("probe", PING, {}, code=1))
        else:
            self.inbox.post(api.Reported(self.exchange, False, 0, api.Report()))

    @property
    def lasting(self) -> bool:
        return self.liveness.is_heard_since(self.verified_at)

    # Calls that stand

    def verify(self) -> None:
        """Asks for a sign of life now; `lasting` tells whether one has come since."""
        self.verified_at = now_us()
        self.carry_out(self.liveness.verify(self.verified_at))

    def check(self) -> None:
        self.check_timer = None
        self.carry_out(self.liveness.check(now_us()))

    def carry_out(self, orders: list[Order]) -> None:
        for order in orders:
            match order:
                case SendProbe():
                    self.ask_for_sign(order.connection)
                case Replace():
                    self.replace(order.connection)
                case LeaseExpired():
                    self.end_calls(order.calls, Ending.SWITCH_LOST)
        self.schedule_check()
        self.tidy()

    def schedule_check(self) -> None:
        if self.check_timer is not None:
            self.check_timer.cancel()
            self.check_timer = None
        if self.liveness.due is not None and not self.closed:
            wait_s = max(self.liveness.due - now_us(), 0) / 1e6
            self.check_timer = asyncio.get_running_loop().call_later(wait_s, self.check)

    def ask_for_sign(self, number: int) -> None:
        for connection in (*self.connections, *self.retired):
            if connection.number == number:
                connection.write(jsonlines.write("probe", HEARTBEAT, {}, code=0))

    def replace(self, number: int) -> None:
        connection = next((one for one in self.connections if one.number == number), None)
        if connection is not None:
            self.leave(connection)

    def end_calls(self, calls: tuple[str, ...], why: Ending) -> None:
        """Their callers are told, and the switch as soon as it can be reached, if it still has them."""
        if not calls:
            return
        details = {"exchange": self.exchange, "calls": len(calls), "why": why.value}
        log.warning("calls_given_up", extra=details)
        for call in calls:
            self.inbox.post(CallOver(self.exchange, call, api.Outcome.CUT, why=why))
            self.unsent.append(close_line(call, causes.TEMPORARY_FAILURE))
        self.send_releases()

    def send_releases(self) -> None:
        """On the connection that was heard last, if there is one."""
        if not self.connections:
            return
        connection = max(self.connections, key=lambda one: one.heard_at)
        for line in self.unsent:
            connection.write(line)
        self.unsent.clear()

    def tidy(self) -> None:
        """Closes what nothing is left on: connections that are kept for calls alone."""
        for connection in list(self.retired):
            if not self.liveness.is_only_sign(connection.number):
                connection.close()
        if self.removed is None or self.closed:
            return
        for connection in list(self.connections):
            if not self.liveness.carries_calls(connection.number) and not connection.out:
                connection.close()
        if not self.liveness.has_calls() and not self.closed and self.removed is not None:
            self.close()
            self.removed()

    # Writing

    def send(self, attempt: Attempt) -> None:
        connection = min(self.connections, key=lambda one: len(one.out))
        left = max((attempt.due - now_us()) // 1000, 1)
        attrs = {"class": attempt.klass, "key": attempt.key, "left": str(left)}
        self.out[attempt.call] = connection
        connection.out[attempt.call] = attempt
        connection.write(jsonlines.write("open", attempt.call, attrs, text=attempt.text))

    # Reading

    def received(self, connection: Connection, line: jsonlines.Line) -> None:
        match line.msg:
            case "ready":
                attempt = self.ended(line.sid)
                if attempt is not None:
                    self.stands(line.sid, connection)
                number = -1 if attempt is None else attempt.number
                self.inbox.post(Answered(self.exchange, line.sid, number, line.text))
            case "close":
                self.close_heard(connection, line)
            case "status":
                self.inbox.post(api.Reported(self.exchange, True, 0, line.report))
                if connection.greeted:  # the first state on a new connection comes there alone
                    self.compare(connection)
                connection.greeted = True
            case "probed" if line.sid == HEARTBEAT:
                pass  # that it came is all that was asked for
            case "probed":
                delay = 0 if self.probed_at is None else now_us() - self.probed_at
                self.inbox.post(api.Reported(self.exchange, line.code == 1, delay * 1000, line.report))
            case "probe":
                connection.write(jsonlines.write("probed", line.sid, {}, code=1))

    def heard(self, connection: Connection) -> None:
        self.liveness.heard(connection.heard_at, connection.number)
        if self.retired:
            self.tidy()

    def stands(self, call: str, connection: Connection) -> None:
        self.liveness.stands(call, connection.number)
        if self.liveness.due is None:
            self.liveness.plan(now_us(), 0)
            self.schedule_check()

    def close_heard(self, connection: Connection, line: jsonlines.Line) -> None:
        attempt = self.ended(line.sid)
        if attempt is not None:
            outcome = causes.of_refusal(line.code)
            over = AttemptOver(self.exchange, line.sid, attempt.number, outcome, line.cause, line.report)
            self.inbox.post(over)
            return
        outcome = causes.of_release(line.code)
        self.liveness.released(line.sid, connection.number)
        self.inbox.post(CallOver(self.exchange, line.sid, outcome, line.report))
        connection.write(jsonlines.write("closed", line.sid, {}))
        self.tidy()

    def compare(self, told: Connection) -> None:
        """Finds the connections that do not bring what another one brings.

        Behind an answer that never comes nothing else does, and a set-up out there would wait for its
        deadline. A switch that is silent on all of them is not judged here.
        """
        for other in list(self.connections):
            if told.heard_at - other.heard_at < SAME_US:
                other.behind_since = 0
            elif not other.behind_since:
                other.behind_since = told.heard_at
            elif told.heard_at - other.behind_since >= BEHIND_US:
                self.leave(other)

    def leave(self, connection: Connection) -> None:
        log.warning("switch_silent", extra={"exchange": self.exchange, "out": len(connection.out)})
        if self.liveness.is_only_sign(connection.number) and not self.closed:
            self.retire(connection)
        else:
            self.lost(connection, "silent")
            connection.close()

    def retire(self, connection: Connection) -> None:
        """Nothing more is set up on it, but the ends of calls may still come there."""
        self.connections.remove(connection)
        self.retired.append(connection)
        self.log_closed(connection, "retired")
        for call in connection.out:
            connection.write(close_line(call, causes.NORMAL_CLEARING))
        self.end_attempts(connection)
        self.connect()

    def ended(self, call: str) -> Attempt | None:
        """The set-up that is out no more, if it was."""
        connection = self.out.pop(call, None)
        return None if connection is None else connection.out.pop(call)

    # The connections

    def connect(self) -> None:
        if self.closed or self.removed is not None or self.task is not None:
            return
        if len(self.connections) + len(self.retired) >= MOST:
            return
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self.task = asyncio.get_running_loop().create_task(self.open())

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            if self.connector is not None:
                made: list[Connection] = []
                endpoint = await self.connector.connect(lambda: self.take_part(made))
                made[0].endpoint = endpoint
                return
            async with asyncio.timeout(self.connect_s):
                await loop.create_connection(lambda: Connection(self), *self.address)
        except OSError as error:  # a timeout is one too
            self.task = None
            self.failed(refused=isinstance(error, ConnectionRefusedError))

    def take_part(self, made: list[Connection]) -> Connection:
        made.append(Connection(self))
        return made[-1]

    def failed(self, refused: bool) -> None:
        log.info("connect_failed", extra={"exchange": self.exchange, "refused": refused})
        for attempt in self.waiting.values():
            self.over(attempt, api.Outcome.UNREACHED)
        self.waiting.clear()
        if refused and not self.connections:  # proves that nothing runs there
            self.liveness.end_all()
            self.inbox.post(SwitchDown(self.exchange))  # told last, as what was waiting never left
        self.retry_later()

    def connected(self, connection: Connection) -> None:
        self.task = None
        if self.closed or self.removed is not None:
            connection.close()
            return
        self.connections.append(connection)
        self.last_number += 1
        connection.number = self.last_number
        log.info("connection_opened", extra={"exchange": self.exchange, "connection": connection.number})
        self.liveness.opened(connection.begun, connection.number)
        self.send_releases()
        waiting, self.waiting = self.waiting, {}
        for attempt in waiting.values():
            if self.gate.may_leave(attempt):
                self.send(attempt)
            else:
                self.over(attempt, api.Outcome.NOT_SENT)
        self.connect()

    def lost(self, connection: Connection, why: str) -> None:
        """The switch gives up the set-ups of a connection that closes; what stands is not touched."""
        self.liveness.lost(now_us(), connection.number)
        if connection in self.retired:
            self.retired.remove(connection)
            self.connect()
        if connection in self.connections:
            self.connections.remove(connection)
            self.log_closed(connection, why)
            self.end_attempts(connection)
            self.connect_again(connection)
        if self.removed is not None and not (self.closed or self.connections or self.retired):
            self.end_calls(self.liveness.end_all(), Ending.SWITCH_REMOVED)
            self.tidy()

    def end_attempts(self, connection: Connection) -> None:
        for attempt in connection.out.values():
            del self.out[attempt.call]
            self.over(attempt, api.Outcome.CUT)
        connection.out.clear()

    def connect_again(self, connection: Connection) -> None:
        if connection.heard_at > connection.begun:
            self.pause = RETRY_S
            self.connect()
        elif self.task is None:  # one that is reset while new, each time, is not asked for without a pause
            if self.connector is not None and connection.endpoint is not None:
                self.connector.broke(connection.endpoint)
            self.retry_later()

    def log_closed(self, connection: Connection, why: str) -> None:
        now = now_us()
        details = {
            "exchange": self.exchange,
            "connection": connection.number,
            "why": why,
            "open_ms": (now - connection.begun) // 1000,
            "silent_ms": (now - connection.heard_at) // 1000,
            "out": len(connection.out),
            "left": len(self.connections),
        }
        log.info("connection_closed", extra=details)

    def retry_later(self) -> None:
        if not self.closed and self.removed is None:
            wait = self.pause * self.random.uniform(0.5, 1.5)
            self.pause = min(self.pause * 2, RETRY_MAX_S)
            if self.retry is not None:
                self.retry.cancel()
            self.retry = asyncio.get_running_loop().call_later(wait, self.connect)

    def over(self, attempt: Attempt, outcome: api.Outcome) -> None:
        self.inbox.post(AttemptOver(self.exchange, attempt.call, attempt.number, outcome))

    # The end

    def remove(self, nothing_left: Callable[[], None]) -> None:
        """Discovery has removed the switch. Calls that stand stay until their ends are told, or it is silent.

        `nothing_left` is called once, when the link is closed.
        """
        self.removed = nothing_left
        self.liveness.remove(now_us())
        self.stop_retrying()
        if self.connections or self.retired:
            self.verify()  # closes what carries no calls
        else:
            self.end_calls(self.liveness.end_all(), Ending.SWITCH_REMOVED)
            self.tidy()

    def restore(self) -> None:
        """Discovery lists the switch again, before all was over."""
        self.removed = None
        self.liveness.restore()
        self.connect()

    def abandon(self) -> None:
        """The switch's machine is another one now: what stands here is over."""
        self.end_calls(self.liveness.end_all(), Ending.SWITCH_REMOVED)
        self.close()

    def close(self) -> None:
        """Lets go of everything; calls that stand are not told of."""
        self.closed = True
        self.stop_retrying()
        self.schedule_check()
        for connection in (*self.connections, *self.retired):
            connection.close()

    def stop_retrying(self) -> None:
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None


def close_line(call: str, cause: int) -> bytes:
    """The line that gives up a set-up or releases a call."""
    return jsonlines.write("close", call, {}, code=cause)
