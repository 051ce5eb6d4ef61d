"""A switch, the change log or an IAX2 client at full speed must not delay the calls of usual callers."""

from __future__ import annotations

import asyncio

import pytest
from flood_peers import CHANGE_LOG_FLOODS, IAX_FLOODS, PEER_FLOODS, SWITCH_FLOODS
from test_floods import MAX_MEDIAN_S, MAX_SHARE_OF_MEMORY, MEMORY_MB, OBJECTIVE_S

from rowanmast.iax2.datagram_queue import MAX_QUEUED_PER_SENDER, MAX_SENDERS, DatagramQueue
from rowanmast.iax2.endpoint import MAX_PER_TURN, IaxEndpoint

FLOOD_S = 1.5


@pytest.mark.parametrize("name", PEER_FLOODS)
def test_one_peer_at_full_speed_does_not_delay_calls(name: str) -> None:
    # A change log that sent without being asked stopped the router; releases of unknown calls took seconds.
    seen, peak_mb = PEER_FLOODS[name](FLOOD_S)
    assert seen.delays and not seen.unanswered
    assert seen.median < MAX_MEDIAN_S
    assert seen.worst < OBJECTIVE_S
    assert peak_mb < MEMORY_MB * MAX_SHARE_OF_MEMORY


def test_every_kind_of_flood_is_played() -> None:
    assert len(PEER_FLOODS) == len(SWITCH_FLOODS) + len(CHANGE_LOG_FLOODS) + len(IAX_FLOODS)


def test_a_sender_of_datagrams_has_its_turn_beside_one_at_full_speed() -> None:
    queue = DatagramQueue()
    for _ in range(2 * MAX_QUEUED_PER_SENDER):
        queue.push(b"flood", ("127.0.0.1", 1))
    queue.push(b"call", ("127.0.0.1", 2))
    assert [queue.pop()[0] for _ in range(3)] == [b"flood", b"call", b"flood"]
    left = 0
    while queue:
        queue.pop()
        left += 1
    assert left == MAX_QUEUED_PER_SENDER - 2
    for number in range(2 * MAX_SENDERS):
        queue.push(b"one", ("127.0.0.1", number))
    assert len(queue.by_sender) == MAX_SENDERS


def test_an_iax2_endpoint_handles_a_bounded_number_of_datagrams_in_one_turn() -> None:
    async def main() -> None:
        endpoint = IaxEndpoint(lambda: 0, lambda leg, frame: None)  # type: ignore[arg-type, return-value]
        handled: list[bytes] = []
        endpoint.handle_datagram = lambda data, address: handled.append(data)  # type: ignore[method-assign]
        for number in range(3 * MAX_PER_TURN):
            endpoint.datagram_received(b"%d" % number, ("127.0.0.1", 1))
        for turn in range(1, 4):
            assert len(handled) == turn * MAX_PER_TURN
            await asyncio.sleep(0)
        assert handled == [b"%d" % number for number in range(3 * MAX_PER_TURN)]

    asyncio.run(main())
