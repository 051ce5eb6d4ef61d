"""The client of the change log, against servers that answer late or in pieces."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
import uvloop
from conftest import START
from standins import host_entry, wait_until

from rowanmast import interface as api
from rowanmast.net.changelog import Change, ChangeLogClient, ChangeLogError, Reader


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
