"""Follows the change log over HTTP and tells what it says of the switches."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, cast

import httptools
import ujson

from rowanmast import interface as api

LONG_POLL_MS = 1000  # for which the change log holds a question open: a log that stops is noticed the sooner
RESPONSE_TIMEOUT_S = (
    1.0  # beyond that, or since the last bytes of an answer, a question is late and another is asked
)
LATE_TIMEOUT_S = 10.0  # a late one is given up when nothing has come for this long
MAX_LATE_CONNECTIONS = 3  # late questions that are kept beside the new one
RETRY_MIN_S, RETRY_MAX_S = 0.1, 0.5
MAX_RESPONSE_BYTES = 1024 * 1024
HEALTH_STATES = {
    "ready": api.ExchangeState.UP,
    "draining": api.ExchangeState.DRAINING,
    "gone": api.ExchangeState.GONE,
}

log = logging.getLogger(__name__)


class ChangeLogError(ValueError):
    """The change log's text is not in its form."""


@dataclass(frozen=True, slots=True)
class Change:
    """One event of the change log: the list's entries, and where each switch is reached."""

    seq: int
    exchange_list: api.ExchangeList
    addresses: dict[str, tuple[str, int]]


def parse_address(text: object) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise ChangeLogError(f"{text!r} is no address")
    return host, int(port)


class Reader:
    """Reads lists; knows how Unix times map to the monotonic clock, as it was when the router started."""

    def __init__(self) -> None:
        self.offset_ns = time.monotonic_ns() - time.time_ns()

    def read(self, document: Any) -> list[Change]:
        try:
            return [self.read_change(result) for result in document["results"]]
        except (KeyError, TypeError, AttributeError) as error:
            raise ChangeLogError(f"malformed list: {error!r}") from None

    def read_change(self, result: Any) -> Change:
        fleet = result.get("fleet") or {"hosts": []}
        kind = api.ListKind.FULL if fleet.get("whole") else api.ListKind.CHANGES
        entries = tuple(self.read_entry(host) for host in fleet["hosts"])
        addresses = {host["host"]: parse_address(host["dial"]) for host in fleet["hosts"] if host.get("dial")}
        return Change(int(result["seq"]), api.ExchangeList(kind, entries), addresses)

    def read_entry(self, host: Any) -> api.ListEntry:
        if host["health"] not in HEALTH_STATES:
            raise ChangeLogError(f"{host['health']!r} is no state")
        born = int(host.get("born_ms") or 0)
        return api.ListEntry(
            exchange=str(host["host"]),
            number=int(host["block"]),
            zone=host.get("site"),
            state=HEALTH_STATES[host["health"]],
            started_ns=born * 1_000_000 + self.offset_ns if born else None,
        )


class ChangeLogClient:
    """Asks for changes, one long question after the other, and connects anew when that breaks.

    A question without an answer in time is not given up: it may only be slow. It stays open for a while
    beside a new one on another connection, and whichever is answered tells.
    """

    def __init__(
        self,
        address: tuple[str, int],
        reader: Reader,
        seq: int,
        on_change: Callable[[Change], None],
        random: Random,
    ) -> None:
        self.address = address
        self.reader = reader
        self.seq = seq
        self.on_change = on_change
        self.random = random
        self.backoff_s = RETRY_MIN_S
        self.connections: list[
            PollConnection
        ] = []  # open ones, the newest at the end; those before it are late
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.poll_forever())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for question in list(self.connections):
            question.abort()

    def change_address(self, address: tuple[str, int]) -> None:
        """Asks there from now on, from the last event told."""
        self.stop()
        self.address, self.backoff_s = address, RETRY_MIN_S
        self.start()

    async def poll_forever(self) -> None:
        while True:
            await self.poll_once()
            await asyncio.sleep(self.backoff_s * self.random.uniform(0.5, 1.5))
            self.backoff_s = min(self.backoff_s * 2, RETRY_MAX_S)

    async def poll_once(self) -> None:
        """One connection, until it is lost or late with an answer."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                _, question = await loop.create_connection(partial(PollConnection, self), *self.address)
        except OSError as error:
            log.warning("change_log_unreached", extra={"why": type(error).__name__})
            return
        await question.lost_or_late
        if question in self.connections:
            log.warning("change_log_late", extra={"seq": self.seq, "open": len(self.connections)})
        while len(self.connections) > MAX_LATE_CONNECTIONS:
            self.connections[0].abort()

    def handle_body(self, body: bytes) -> None:
        for change in self.reader.read(ujson.loads(body)):
            if change.seq > self.seq:
                self.on_change(change)
                self.seq = change.seq
        self.backoff_s = RETRY_MIN_S


class PollConnection(asyncio.Protocol):
    """One connection to the change log."""

    def __init__(self, client: ChangeLogClient) -> None:
        self.client = client
        self.lost_or_late: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # lost, or late
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.client.connections.append(self)
        self.send_request()

    def send_request(self) -> None:
        assert self.transport is not None
        host, port = self.client.address
        path = f"/changes?since={self.client.seq}&timeout={LONG_POLL_MS}"
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self.restart_timer(LONG_POLL_MS / 1000 + RESPONSE_TIMEOUT_S)

    def restart_timer(self, seconds: float) -> None:
        """The next bytes are expected by then; without them it is late, and a late one is given up."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.timed_out)

    @property
    def is_late(self) -> bool:
        return self.lost_or_late.done()

    def timed_out(self) -> None:
        if self.is_late:
            self.abort()
            return
        self.lost_or_late.set_result(None)
        self.restart_timer(LATE_TIMEOUT_S)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.restart_timer(LATE_TIMEOUT_S if self.is_late else RESPONSE_TIMEOUT_S)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            log.warning("bad_change_log", extra={"why": error})
            self.abort()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise ChangeLogError("answer over 1 MiB")

    def on_message_complete(self) -> None:
        assert self.transport is not None
        body, self.body = self.body, b""
        if self.parser.get_status_code() != 200:
            raise ChangeLogError(f"status {self.parser.get_status_code()}")
        self.client.handle_body(body)
        if self.parser.should_keep_alive() and not self.is_late:
            self.send_request()
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self in self.client.connections:
            self.client.connections.remove(self)
        if not self.lost_or_late.done():
            self.lost_or_late.set_result(None)
