"""The client of the change log, against servers that answer late, in pieces or not at all."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterator
from contextlib import suppress
from random import Random
from types import FrameType

import pytest
import uvloop
from conftest import START
from standins import host_entry, wait_until

from rowanmast import interface as api
from rowanmast.net import changelog
from rowanmast.net.changelog import (
    MAX_LATE_CONNECTIONS,
    Change,
    ChangeLogClient,
    ChangeLogError,
    Reader,
)

WATCHDOG_S = 15.0  # far above the run time of each test here


@pytest.fixture(autouse=True)
def watchdog() -> Iterator[None]:
    """Interrupts Python code that never returns to the event loop, so that its test fails, not hangs."""

    def fail(number: int, frame: FrameType | None) -> None:
        raise AssertionError("the event loop is blocked")

    former = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, WATCHDOG_S)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0)
    signal.signal(signal.SIGALRM, former)


class SilentServer:
    """Accepts connections and requests; answers none of them before `resume`."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.resumed = asyncio.Event()
        self.accepted = 0
        self.open = 0
        self.max_open = 0

    async def start(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        answered = asyncio.ensure_future(self.answer_all(writer))
        while await reader.read(4096):
            pass
        answered.cancel()
        self.open -= 1
        writer.close()

    async def answer_all(self, writer: asyncio.StreamWriter) -> None:
        await self.resumed.wait()
        writer.write(self.answer)


def test_a_silent_change_log_does_not_block_the_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a loop without end over the late connections, which stopped the whole router.
    monkeypatch.setattr(changelog, "LONG_POLL_MS", 20)
    monkeypatch.setattr(changelog, "RESPONSE_TIMEOUT_S", 0.03)

    async def test() -> None:
        body = json.dumps({"seq": 1, "results": [{"seq": 1}]}).encode()
        server = SilentServer(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        received: list[int] = []
        address = await server.start()
        changes = ChangeLogClient(address, Reader(), 0, lambda change: received.append(change.seq), Random(1))
        changes.start()
        await wait_until(lambda: server.accepted >= 2 * MAX_LATE_CONNECTIONS + 2, 10)
        assert server.max_open <= MAX_LATE_CONNECTIONS + 1
        server.resumed.set()
        await wait_until(lambda: received == [1], 0.5)
        changes.stop()
        await wait_until(lambda: not changes.connections, 1)
        server.server.close()

    uvloop.run(test())


@pytest.mark.parametrize(("late_s", "piece_s"), [(2.5, 0.0), (0.0, 0.1)], ids=["late", "in pieces"])
def test_a_slow_answer_of_the_change_log_is_received(late_s: float, piece_s: float) -> None:
    # Guards against time-outs that are too short: an answer that came 2.5 s late, or took 3 s to arrive in
    # pieces, was never received.
    body = json.dumps({"seq": 1, "results": [{"seq": 1}]}).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    requests = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal requests
        while (await reader.readline()).startswith(b"GET"):
            await reader.readuntil(b"\r\n\r\n")
            requests += 1
            await asyncio.sleep(1.0 + late_s)
            pieces = 30 if piece_s else 1
            size = -(-len(answer) // pieces)
            for at in range(0, len(answer), size):
                writer.write(answer[at : at + size])
                await asyncio.sleep(piece_s)
        writer.close()

    async def test() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        received: list[int] = []
        address = server.sockets[0].getsockname()
        changes = ChangeLogClient(address, Reader(), 0, lambda change: received.append(change.seq), Random(1))
        changes.start()
        await wait_until(lambda: received == [1], 1.0 + late_s + 3.5)
        assert requests <= 3
        changes.stop()
        await wait_until(lambda: not changes.connections, 1)
        server.close()

    uvloop.run(test())


def test_a_change_counts_as_received_only_after_it_has_been_applied() -> None:
    received: list[int] = []

    def apply(change: Change) -> None:
        received.append(change.seq)
        if len(received) == 1:
            raise RuntimeError("odd")

    changes = ChangeLogClient(("127.0.0.1", 1), Reader(), 0, apply, Random(1))
    with pytest.raises(RuntimeError):
        changes.handle_body(b'{"results":[{"seq":1},{"seq":2}]}')
    changes.handle_body(b'{"results":[{"seq":1},{"seq":2}]}')
    assert received == [1, 1, 2] and changes.seq == 2


def test_change_log_entries_are_read_and_start_times_converted() -> None:
    reader = Reader()
    reader.offset_ns = START - 5_000_000_000
    entry = {**host_entry("s1", 1, 9), "born_ms": 5_000}
    change = reader.read_change({"seq": 4, "fleet": {"whole": True, "hosts": [entry]}})
    assert change.exchange_list.entries == (api.ListEntry("s1", 1, "east", api.ExchangeState.UP, START),)
    assert change.addresses == {"s1": ("127.0.0.1", 9)}
    assert reader.read_change({"seq": 5}).exchange_list == api.ExchangeList(api.ListKind.CHANGES, ())
    for odd in ({**entry, "health": "odd"}, {**entry, "dial": "odd"}, {"host": "s1"}):
        with pytest.raises(ChangeLogError):
            reader.read({"results": [{"seq": 1, "fleet": {"hosts": [odd]}}]})


class EagerServer:
    """Answers each request at once with `answer`, and counts the requests and connections."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.requests = self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self.answer)
                await writer.drain()

    async def follow(self, seconds: float) -> list[int]:
        """Lets a client poll this server for a while; returns the numbers of the changes it applied."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        received: list[int] = []
        address = server.sockets[0].getsockname()
        changes = ChangeLogClient(address, Reader(), 0, lambda change: received.append(change.seq), Random(1))
        changes.start()
        await asyncio.sleep(seconds)
        changes.stop()
        server.close()
        return received


def response(seq: int) -> bytes:
    body = json.dumps({"seq": seq, "results": [{"seq": seq}]}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_responses_without_a_request_end_the_connection() -> None:
    # A change log that sent responses at full speed stopped the router: all were handled in one turn.
    server = EagerServer(response(1) + response(2) * 1000)
    assert uvloop.run(server.follow(0.5)) == [1]
    assert 1 < server.connections < 20


def test_a_change_log_that_holds_no_request_is_not_polled_without_a_pause() -> None:
    server = EagerServer(response(1))
    assert uvloop.run(server.follow(1.0)) == [1]
    assert server.connections == 1 and 5 < server.requests <= 2 + 1.0 / changelog.EARLY_RESPONSE_PAUSE_S


@pytest.mark.parametrize("piece", [b"x: y\r\n" * 512, b"\r\n" + b"1\r\nx\r\n" * 512])
def test_an_endless_response_ends_at_its_limit(piece: bytes) -> None:
    # A response that never ended was kept without a limit, or copied for each of its pieces.
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    server = EagerServer(head + piece + piece[2:] * (2 * changelog.MAX_RESPONSE_BYTES // len(piece)))
    assert uvloop.run(server.follow(0.7)) == []
    assert server.connections > 1
