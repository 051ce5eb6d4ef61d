"""Client of the change log: follows it over HTTP by long polls and reports changes of the switch list."""

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

LONG_POLL_MS = 1000  # how long the change log may hold a request; a stopped log is noticed soon after that
# For a connect, after the long poll, and after the last bytes; then a further connection is opened.
RESPONSE_TIMEOUT_S = 1.0
LATE_TIMEOUT_S = 10.0  # a late connection on which nothing arrives for this long is closed
MAX_LATE_CONNECTIONS = 3  # kept open beside the current one
RETRY_MIN_S, RETRY_MAX_S = 0.1, 0.5
MAX_RESPONSE_BYTES = 1024 * 1024  # with its head
EARLY_RESPONSE_PAUSE_S = 0.1  # before the next request, if the change log did not hold the last one
HEALTH_STATES = {
    "ready": api.ExchangeState.UP,
    "draining": api.ExchangeState.DRAINING,
    "gone": api.ExchangeState.GONE,
}

log = logging.getLogger(__name__)


class ChangeLogError(ValueError):
    """A response of the change log, or a list in the configuration, is malformed."""


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the switch list, with the addresses of the switches in it."""

    seq: int
    exchange_list: api.ExchangeList
    addresses: dict[str, tuple[str, int]]


def parse_address(text: object) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise ChangeLogError(f"{text!r} is not a host:port address")
    return host, int(port)


class Reader:
    """Parses switch lists from the change log and the configuration.

    Converts Unix times to the monotonic clock, with the offset at the reader's creation.
    """

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
            raise ChangeLogError(f"unknown health {host['health']!r}")
        born = int(host.get("born_ms") or 0)
        return api.ListEntry(
            exchange=str(host["host"]),
            number=int(host["block"]),
            zone=host.get("site"),
            state=HEALTH_STATES[host["health"]],
            started_ns=born * 1_000_000 + self.offset_ns if born else None,
        )


class ChangeLogClient:
    """Polls the change log and reconnects when the connection is lost.

    A request that is not answered in time may only be slow, so its connection stays open for a while beside a
    new one, and changes are taken from whichever answers.
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
        self.seq = seq  # of the last change that was applied
        self.on_change = on_change
        self.random = random
        self.backoff_s = RETRY_MIN_S
        self.connections: list[PollConnection] = []  # the current one is last; those before it are late
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.poll_forever())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for connection in list(self.connections):
            connection.abort()

    def change_address(self, address: tuple[str, int]) -> None:
        """Polls this address from now on, continuing after the last change received."""
        self.stop()
        self.address, self.backoff_s = address, RETRY_MIN_S
        self.start()

    async def poll_forever(self) -> None:
        while True:
            await self.poll_once()
            await asyncio.sleep(self.backoff_s * self.random.uniform(0.5, 1.5))
            self.backoff_s = min(self.backoff_s * 2, RETRY_MAX_S)

    async def poll_once(self) -> None:
        """Polls on one new connection until it is lost or late."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                _, connection = await loop.create_connection(partial(PollConnection, self), *self.address)
        except OSError as error:
            log.warning("change_log_unreached", extra={"why": type(error).__name__})
            return
        await connection.lost_or_late
        if connection in self.connections:
            log.warning("change_log_late", extra={"seq": self.seq, "open": len(self.connections)})
        self.abort_excess_connections()

    def abort_excess_connections(self) -> None:
        """Aborts the oldest connections beyond the limit; each leaves the list in its `connection_lost`."""
        for connection in self.connections[:-MAX_LATE_CONNECTIONS]:
            connection.abort()

    def handle_body(self, body: bytes) -> None:
        for change in self.reader.read(ujson.loads(body)):
            if change.seq > self.seq:
                self.on_change(change)
                self.seq = change.seq
        self.backoff_s = RETRY_MIN_S


class PollConnection(asyncio.Protocol):
    """One connection to the change log; sends the next request when a response is complete."""

    def __init__(self, client: ChangeLogClient) -> None:
        self.client = client
        self.lost_or_late: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.received = 0  # bytes of the current response
        self.requested_at = 0.0  # loop time
        self.is_awaited = False  # a request has been sent and its response has not begun
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not derive from it
        self.client.connections.append(self)
        self.send_request()

    def send_request(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.is_awaited = True
        self.requested_at = asyncio.get_running_loop().time()
        host, port = self.client.address
        path = f"/changes?since={self.client.seq}&timeout={LONG_POLL_MS}"
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self.restart_timer(LONG_POLL_MS / 1000 + RESPONSE_TIMEOUT_S)

    def restart_timer(self, seconds: float) -> None:
        """Expects the next bytes within `seconds`."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.timed_out)

    @property
    def is_late(self) -> bool:
        return self.lost_or_late.done()

    def timed_out(self) -> None:
        """Marks the connection as late; closes it if it was late already."""
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
        self.received += len(data)
        try:
            self.parser.feed_data(data)
            if self.received > MAX_RESPONSE_BYTES:
                raise ChangeLogError("response over 1 MiB")
        except (httptools.HttpParserError, ValueError) as error:
            log.warning("bad_change_log", extra={"why": error})
            self.abort()

    def on_message_begin(self) -> None:
        """Rejects a response that no request has asked for.

        The next request is sent in a later turn, so what follows a response in the same turn can't answer it.
        """
        if not self.is_awaited:
            raise ChangeLogError("response without a request")
        self.is_awaited = False

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        assert self.transport is not None
        body, self.body = bytes(self.body), bytearray()
        self.received = 0
        if self.parser.get_status_code() != 200:
            raise ChangeLogError(f"HTTP status {self.parser.get_status_code()}")
        seq = self.client.seq
        self.client.handle_body(body)
        if not self.parser.should_keep_alive() or self.is_late:
            self.transport.close()
            return
        loop = asyncio.get_running_loop()
        held_s = loop.time() - self.requested_at
        pause_s = EARLY_RESPONSE_PAUSE_S if seq == self.client.seq and held_s < LONG_POLL_MS / 2000 else 0.0
        loop.call_later(pause_s, self.send_request)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self in self.client.connections:
            self.client.connections.remove(self)
        if not self.lost_or_late.done():
            self.lost_or_late.set_result(None)
