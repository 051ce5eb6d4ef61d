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
    """The one connection to a switch, kept open while the switch is listed, and what is out on it."""

    def __init__(
        self,
        exchange: str,
        address: tuple[str, int],
        inbox: Inbox,
        gate: Gate,
        connect_s: float,
        random: Random,
    ) -> None:
        self.exchange = exchange
        self.address = address
        self.inbox = inbox
        self.gate = gate
        self.connect_s = connect_s
        self.random = random
        self.connection: Connection | None = None
        self.task: asyncio.Task[None] | None = None
        self.retry: asyncio.TimerHandle | None = None
        self.pause = RETRY_S
        self.waiting: dict[str, Attempt] = {}  # set-ups for which a connection is being opened
        self.out: dict[str, Attempt] = {}  # set-ups that left and have no end yet
        self.unsent: list[bytes] = []  # releases that found no connection
        self.probed_at: int | None = None
        self.closed = False
        self.connect()

    # The port

    def set_up(self, attempt: Attempt) -> None:
        if self.connection is not None:
            self.send(attempt)
        else:
            self.waiting[attempt.call] = attempt
            self.connect()

    def call_off(self, call: str) -> None:
        if self.waiting.pop(call, None) is None and self.out.pop(call, None) is not None:
            self.close_call(call, causes.NORMAL_CLEARING)

    def release(self, call: str, cause: int) -> None:
        self.close_call(call, cause)

    def probe(self) -> None:
        if self.connection is None:
            self.inbox.post(api.Reported(self.exchange, False, 0, api.Report()))
        else:
            self.probed_at = now_us()
            self.connection.write(jsonlines.write("probe", PING, {}, code=1))

    # Writing

    def send(self, attempt: Attempt) -> None:
        assert self.connection is not None
        left = max((attempt.due - now_us()) // 1000, 1)
        attrs = {"class": attempt.klass, "key": attempt.key, "left": str(left)}
        self.out[attempt.call] = attempt
        self.connection.write(jsonlines.write("open", attempt.call, attrs, text=attempt.text))

    def close_call(self, call: str, cause: int) -> None:
        line = jsonlines.write("close", call, {}, code=cause)
        if self.connection is not None:
            self.connection.write(line)
        elif not self.closed:
            self.unsent.append(line)
            self.connect()

    # Reading

    def received(self, line: jsonlines.Line) -> None:
        match line.msg:
            case "ready":
                attempt = self.out.pop(line.sid, None)
                number = -1 if attempt is None else attempt.number
                self.inbox.post(Answered(self.exchange, line.sid, number, line.text))
            case "close":
                self.close_heard(line)
            case "status":
                self.inbox.post(api.Reported(self.exchange, True, 0, line.report))
            case "probed":
                delay = 0 if self.probed_at is None else now_us() - self.probed_at
                self.inbox.post(api.Reported(self.exchange, line.code == 1, delay * 1000, line.report))
            case "probe":
                if self.connection is not None:
                    self.connection.write(jsonlines.write("probed", line.sid, {}, code=1))

    def close_heard(self, line: jsonlines.Line) -> None:
        attempt = self.out.pop(line.sid, None)
        if attempt is not None:
            outcome = causes.of_refusal(line.code)
            over = AttemptOver(self.exchange, line.sid, attempt.number, outcome, line.cause, line.report)
            self.inbox.post(over)
            return
        outcome = causes.of_release(line.code)
        self.inbox.post(CallOver(self.exchange, line.sid, outcome, line.report))
        if self.connection is not None:
            self.connection.write(jsonlines.write("closed", line.sid, {}))

    # The connection

    def connect(self) -> None:
        if self.closed or self.task is not None or self.connection is not None:
            return
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self.task = asyncio.get_running_loop().create_task(self.open())

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_s):
                await loop.create_connection(lambda: Connection(self), *self.address)
        except OSError as error:  # a timeout is one too
            self.task = None
            self.failed(refused=isinstance(error, ConnectionRefusedError))

    def failed(self, refused: bool) -> None:
        log.info("connect_failed", extra={"exchange": self.exchange, "refused": refused})
        for attempt in self.waiting.values():
            self.over(attempt, api.Outcome.UNREACHED)
        self.waiting.clear()
        if refused:  # proves that nothing runs there; told last, as what was waiting never left
            self.inbox.post(SwitchDown(self.exchange))
        self.retry_later()

    def connected(self, connection: Connection) -> None:
        self.task = None
        if self.closed:
            connection.close()
            return
        self.connection = connection
        self.pause = RETRY_S
        for line in self.unsent:
            connection.write(line)
        self.unsent.clear()
        waiting, self.waiting = self.waiting, {}
        for attempt in waiting.values():
            if self.gate.may_leave(attempt):
                self.send(attempt)
            else:
                self.over(attempt, api.Outcome.NOT_SENT)

    def lost(self, connection: Connection) -> None:
        """The switch gives up the set-ups of a connection that closes; what stands is not touched."""
        if connection is not self.connection:
            return
        self.connection = None
        for attempt in self.out.values():
            self.over(attempt, api.Outcome.CUT)
        self.out.clear()
        self.connect()

    def retry_later(self) -> None:
        if not self.closed:
            wait = self.pause * self.random.uniform(0.5, 1.5)
            self.pause = min(self.pause * 2, RETRY_MAX_S)
            self.retry = asyncio.get_running_loop().call_later(wait, self.connect)

    def over(self, attempt: Attempt, outcome: api.Outcome) -> None:
        self.inbox.post(AttemptOver(self.exchange, attempt.call, attempt.number, outcome))

    def close(self) -> None:
        """The switch is gone from the list."""
        self.closed = True
        if self.retry is not None:
            self.retry.cancel()
        if self.connection is not None:
            self.connection.close()


class Connection(Stream):
    """One connection to a switch."""

    def __init__(self, link: PeerLink) -> None:
        super().__init__(link.exchange, MAX_UNREAD)
        self.link = link
        self.parser = jsonlines.Parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        socket = transport.get_extra_info("socket")
        if socket is not None:
            for level, option, value in SILENCE:
                socket.setsockopt(level, option, value)
        self.link.connected(self)

    def data_received(self, data: bytes) -> None:
        try:
            lines = self.parser.feed(data)
        except jsonlines.LineError as error:
            self.unreadable(error)
            return
        for line in lines:
            self.link.received(line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.lost(self)
