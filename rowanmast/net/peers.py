"""Switches that speak JSON lines over TCP. Adapts each to the core's port `SwitchLink`."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

from rowanmast import causes
from rowanmast import interface as api
from rowanmast.addresses.connector import Connector
from rowanmast.addresses.order import Endpoint
from rowanmast.core.ports import (
    Answered,
    Attempt,
    AttemptOver,
    CallOver,
    Gate,
    Inbox,
    SwitchDown,
)
from rowanmast.net import jsonlines
from rowanmast.net.stream import Stream
from rowanmast.net.turn import now_us

MAX_UNREAD = 1024 * 1024  # bytes a switch may leave unread before its connection is closed
MOST = 4  # connections: one that is spoiled or reset costs the set-ups that are out on it
STOPPED_S = 0.25  # a line that was begun goes on within this time, or its connection is of no more use
SILENT_US = 300_000  # so is one on which nothing came for this long while a set-up on it ran out of time
SAME_US = 50_000  # a state comes on all connections, within this time of each other
BEHIND_US = 100_000  # one that still lacks what came on another this long ago is of no more use either
RETRY_S, RETRY_MAX_S = 0.1, 2.0  # pauses between connects while nobody asks for one
PING = "ping"
# A machine that vanishes or is cut off leaves its connections open and silent, and the kernel's own repeats
# back off for minutes, also when it is back. So one that acknowledges nothing for 3 s is given up.
SILENCE = (
    (IPPROTO_TCP, TCP_USER_TIMEOUT, 3000),
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 2),
    (IPPROTO_TCP, TCP_KEEPINTVL, 1),
)

log = logging.getLogger(__name__)


class PeerLink:
    """The connections to a switch, kept open while the switch is listed, and what is out on them."""

    lasting = True

    def __init__(
        self,
        exchange: str,
        address: tuple[str, int],
        inbox: Inbox,
        gate: Gate,
        connect_s: float,
        random: Random,
        connector: Connector | None = None,
    ) -> None:
        """`address` is the change log's; with a `connector`, connections go to the addresses that it has."""
        self.exchange = exchange
        self.address = address
        self.inbox = inbox
        self.gate = gate
        self.connect_s = connect_s
        self.random = random
        self.connector = connector
        self.connections: list[Connection] = []
        self.task: asyncio.Task[None] | None = None
        self.retry: asyncio.TimerHandle | None = None
        self.pause = RETRY_S
        self.waiting: dict[str, Attempt] = {}  # set-ups for which a connection is being opened
        self.out: dict[str, Connection] = {}  # where each set-up left that has no end yet
        self.unsent: list[bytes] = []  # releases that found no connection
        self.probed_at: int | None = None
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
        connection.write(jsonlines.write("close", call, {}, code=causes.NORMAL_CLEARING))
        if max(attempt.sent, connection.heard_at) <= now_us() - SILENT_US:
            self.leave(connection)

    def release(self, call: str, cause: int) -> None:
        line = jsonlines.write("close", call, {}, code=cause)
        if self.connections:
            self.connections[0].write(line)
        elif not self.closed:
            self.unsent.append(line)
            self.connect()

    def probe(self) -> None:
        if self.connections:
            self.probed_at = now_us()
            self.connections[0].write(jsonlines.write("probe", PING, {}, code=1))
        else:
            self.inbox.post(api.Reported(self.exchange, False, 0, api.Report()))

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
                number = -1 if attempt is None else attempt.number
                self.inbox.post(Answered(self.exchange, line.sid, number, line.text))
            case "close":
                self.close_heard(connection, line)
            case "status":
                self.inbox.post(api.Reported(self.exchange, True, 0, line.report))
                if connection.greeted:  # the first state on a new connection comes there alone
                    self.compare(connection)
                connection.greeted = True
            case "probed":
                delay = 0 if self.probed_at is None else now_us() - self.probed_at
                self.inbox.post(api.Reported(self.exchange, line.code == 1, delay * 1000, line.report))
            case "probe":
                connection.write(jsonlines.write("probed", line.sid, {}, code=1))

    def close_heard(self, connection: Connection, line: jsonlines.Line) -> None:
        attempt = self.ended(line.sid)
        if attempt is not None:
            outcome = causes.of_refusal(line.code)
            over = AttemptOver(self.exchange, line.sid, attempt.number, outcome, line.cause, line.report)
            self.inbox.post(over)
            return
        outcome = causes.of_release(line.code)
        self.inbox.post(CallOver(self.exchange, line.sid, outcome, line.report))
        connection.write(jsonlines.write("closed", line.sid, {}))

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
        self.lost(connection, "silent")
        connection.close()

    def ended(self, call: str) -> Attempt | None:
        """The set-up that is out no more, if it was."""
        connection = self.out.pop(call, None)
        return None if connection is None else connection.out.pop(call)

    # The connections

    def connect(self) -> None:
        if self.closed or self.task is not None or len(self.connections) >= MOST:
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
            self.inbox.post(SwitchDown(self.exchange))  # told last, as what was waiting never left
        self.retry_later()

    def connected(self, connection: Connection) -> None:
        self.task = None
        if self.closed:
            connection.close()
            return
        self.connections.append(connection)
        self.last_number += 1
        connection.number = self.last_number
        log.info("connection_opened", extra={"exchange": self.exchange, "connection": connection.number})
        for line in self.unsent:
            connection.write(line)
        self.unsent.clear()
        waiting, self.waiting = self.waiting, {}
        for attempt in waiting.values():
            if self.gate.may_leave(attempt):
                self.send(attempt)
            else:
                self.over(attempt, api.Outcome.NOT_SENT)
        self.connect()

    def lost(self, connection: Connection, why: str) -> None:
        """The switch gives up the set-ups of a connection that closes; what stands is not touched."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self.log_closed(connection, why)
        for attempt in connection.out.values():
            del self.out[attempt.call]
            self.over(attempt, api.Outcome.CUT)
        connection.out.clear()
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
        if not self.closed:
            wait = self.pause * self.random.uniform(0.5, 1.5)
            self.pause = min(self.pause * 2, RETRY_MAX_S)
            if self.retry is not None:
                self.retry.cancel()
            self.retry = asyncio.get_running_loop().call_later(wait, self.connect)

    def over(self, attempt: Attempt, outcome: api.Outcome) -> None:
        self.inbox.post(AttemptOver(self.exchange, attempt.call, attempt.number, outcome))

    def close(self) -> None:
        """The switch is gone from the list."""
        self.closed = True
        if self.retry is not None:
            self.retry.cancel()
        for connection in list(self.connections):
            connection.close()


class Connection(Stream):
    """One connection to a switch."""

    def __init__(self, link: PeerLink) -> None:
        super().__init__(link.exchange, MAX_UNREAD)
        self.link = link
        self.number = 0
        self.parser = jsonlines.Parser()
        self.out: dict[str, Attempt] = {}
        self.begun = self.heard_at = now_us()
        self.endpoint: Endpoint | None = None  # to which it goes, where the switch has several
        self.behind_since = 0
        self.greeted = False  # a state has come on it
        self.stopped: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        socket = transport.get_extra_info("socket")
        if socket is not None:
            for level, option, value in SILENCE:
                socket.setsockopt(level, option, value)
        self.link.connected(self)

    def data_received(self, data: bytes) -> None:
        for line in self.readable(self.parser.feed(data)):
            self.heard_at = now_us()
            self.link.received(self, line)
        self.await_rest()

    def await_rest(self) -> None:
        """A line that stops short never ends, and nothing comes behind it."""
        if self.stopped is not None:
            self.stopped.cancel()
            self.stopped = None
        if self.parser.buffer and not self.closing:
            loop = asyncio.get_running_loop()
            self.stopped = loop.call_later(STOPPED_S, self.unreadable, "a line stopped short")

    def unreadable(self, why: object) -> None:
        """From here on nothing is sent on it, though the close itself takes effect a turn later."""
        self.link.lost(self, "unreadable")
        super().unreadable(why)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.stopped is not None:
            self.stopped.cancel()
        why = "removed" if self.link.closed else "closed_by_switch" if exc is None else type(exc).__name__
        self.link.lost(self, why)
