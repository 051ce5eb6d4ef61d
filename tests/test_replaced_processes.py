"""A new process at the address of one that has gone is not taken for the former one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop
from standins import JsonSwitch, LocalNetwork, SipCaller, host_entry, new_frame_elements, wait_until

from rowanmast.iax2 import frames
from rowanmast.iax2.endpoint import NEW_DUPLICATE_US, NEW_RETRANSMISSION_US, IaxEndpoint, Leg
from rowanmast.iax2.frames import Frame, FrameType, Iax


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 20))


async def replace_switch(network: LocalNetwork, former: JsonSwitch, *hosts: dict[str, Any]) -> JsonSwitch:
    """Another switch starts at the address of one that has died; the change log tells `hosts` or that."""
    former.stop()
    new = JsonSwitch("s9", 9, former.port, network.checker)
    await new.start()
    network.switches.append(new)
    network.change_log.add(False, *(hosts or (host_entry(new.name, new.number, new.port),)))
    await wait_until(lambda: network.router.ledger.is_up("s9"))
    return new


def test_no_set_up_for_a_switch_goes_to_another_one_that_has_taken_its_address() -> None:
    # The link to the switch that had gone connected to the new one and sent it set-ups for the former.
    async def test() -> None:
        network = LocalNetwork()
        gone = network.add_json_switch("s1", 1)
        async with network:
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            new = await replace_switch(network, gone)  # not yet told that s1 has gone
            assert not network.router.ledger.is_up("s1")
            await wait_until(lambda: len(new.transports) >= 1)
            for number in range(5):
                caller.dial(f"8{number}")
                answer, _ = await caller.wait_for_answer(f"8{number}")
                assert answer != "answer"
            assert new.accepted == 0
            caller.dial("90", route="dest:9;width:1;via:-1")
            assert await caller.wait_for_answer("90") == ("answer", "sdp 90 answered")

    run(test)


@pytest.mark.parametrize("order", ["gone first", "new one first"])
def test_a_change_with_both_switches_of_an_address_keeps_the_new_one(order: str) -> None:
    async def test() -> None:
        network = LocalNetwork()
        gone = network.add_json_switch("s1", 1)
        async with network:
            hosts = [host_entry("s1", 1, gone.port, "gone"), host_entry("s9", 9, gone.port)]
            new = await replace_switch(network, gone, *(hosts if order == "gone first" else hosts[::-1]))
            await wait_until(lambda: len(new.transports) >= 1)
            assert network.router.ledger.is_up("s9") and not network.router.ledger.is_up("s1")

    run(test)


class RecordingListener:
    """Listens to one leg."""

    def __init__(self) -> None:
        self.lost = False

    def frame_received(self, frame: Frame) -> None:
        pass

    def leg_lost(self) -> None:
        self.lost = True

    def may_retransmit(self) -> bool:
        return True


@pytest.mark.parametrize(
    ("late_us", "retransmitted", "is_new_call"),
    [
        (NEW_DUPLICATE_US - 1, False, False),
        (NEW_DUPLICATE_US, False, True),
        (NEW_RETRANSMISSION_US - 1, True, False),
        (NEW_RETRANSMISSION_US, True, True),
    ],
)
def test_the_same_new_from_a_restarted_iax2_caller_begins_a_call(
    late_us: int, retransmitted: bool, is_new_call: bool
) -> None:
    # Its NEW, the same as that of a call which still stood, was taken for a retransmission and not answered.
    now = [0]
    listeners: list[RecordingListener] = []

    def on_new(leg: Leg, frame: Frame) -> RecordingListener:
        listeners.append(RecordingListener())
        return listeners[-1]

    async def test() -> None:
        endpoint = IaxEndpoint(lambda: now[0], on_new)
        elements = new_frame_elements("71", 3000, "dest:1;width:1;via:-1")
        new = Frame(5, 0, 3, 0, 0, FrameType.IAX, Iax.NEW, elements)
        endpoint.datagram_received(frames.encode(new), ("127.0.0.1", 9))
        now[0] = late_us
        again = new.as_retransmission() if retransmitted else new
        endpoint.datagram_received(frames.encode(again), ("127.0.0.1", 9))
        assert [listener.lost for listener in listeners] == ([True, False] if is_new_call else [False])
        endpoint.connection_lost(None)

    run(test)
