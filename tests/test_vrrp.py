"""VRRP: advertisements, the state machine of RFC 9568, and a pair of routers under loss."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import free_ports, wait_until

from rowanmast import vrrp
from rowanmast.net.input_queue import now_us
from rowanmast.vrrp import Advert, AdvertError, Parameters, State, StateMachine

CS = vrrp.CENTISECOND
LOW, HIGH = ("127.0.0.1", 1), ("127.0.0.1", 2)


def make_machine(priority: int = 100, primary: tuple[str, int] = LOW, **more: bool) -> StateMachine:
    return StateMachine(Parameters(7, priority, "127.0.0.9", **more), primary)


def started_machine(priority: int = 100, **more: bool) -> StateMachine:
    made = make_machine(priority, **more)
    made.startup(0)
    return made


def make_advert(priority: int, interval: int = 100, vrid: int = 7) -> Advert:
    return Advert(vrid, priority, interval, "127.0.0.9")


@settings(derandomize=True, max_examples=100)
@given(st.integers(1, 255), st.integers(0, 255), st.integers(1, 4095), st.ip_addresses(v=4))
def test_adverts_decode_to_what_was_encoded(vrid: int, priority: int, interval: int, address: object) -> None:
    made = Advert(vrid, priority, interval, str(address))
    data = vrrp.encode(made)
    assert vrrp.decode(data) == made
    with pytest.raises(AdvertError):
        vrrp.decode(data[:2] + bytes([data[2] ^ 1]) + data[3:])


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=20))
def test_any_datagram_is_decoded_or_rejected(data: bytes) -> None:
    try:
        assert vrrp.decode(data).interval < 4096
    except AdvertError as error:
        assert str(error)


def test_an_advert_has_the_layout_of_the_rfc() -> None:
    assert vrrp.encode(Advert(1, 100, 100, "192.0.2.1")).hex() == "310164010064a897c0000201"


def test_the_owner_is_active_at_once_and_others_wait_three_intervals_and_the_skew_time() -> None:
    owner = started_machine(255)
    assert owner.state is State.ACTIVE and owner.outbox == [make_advert(255)]
    backup = started_machine(100)
    assert backup.state is State.BACKUP and backup.timer_at == 300 * CS + 156 * 100 * CS // 256
    backup.on_timer(backup.timer_at - 1)
    assert backup.state is State.BACKUP
    backup.on_timer(backup.timer_at)
    assert backup.state is State.ACTIVE and backup.outbox == [make_advert(100)]


def test_a_backup_accepts_equal_or_higher_priorities_and_adopts_their_interval() -> None:
    backup = started_machine(100)
    backup.receive(CS, make_advert(99), HIGH)  # lower priority: preempted when the timer expires
    assert backup.timer_at == 300 * CS + 156 * 100 * CS // 256
    backup.receive(CS, make_advert(100, interval=10), HIGH)
    assert backup.timer_at == CS + 30 * CS + 156 * 10 * CS // 256
    backup.receive(2 * CS, make_advert(0), HIGH)
    assert backup.timer_at == 2 * CS + 156 * 10 * CS // 256
    non_preempting = started_machine(100, preempt=False)
    non_preempting.receive(CS, make_advert(1), HIGH)
    assert non_preempting.timer_at == CS + 300 * CS + 156 * 100 * CS // 256


@pytest.mark.parametrize(
    ("priority", "sender", "state"),
    [
        (101, LOW, State.BACKUP),
        (99, HIGH, State.ACTIVE),
        (100, HIGH, State.BACKUP),
        (100, ("127.0.0.1", 0), State.ACTIVE),
        (0, HIGH, State.ACTIVE),
    ],
)
def test_an_active_router_yields_to_a_higher_priority_and_advertises_otherwise(
    priority: int, sender: tuple[str, int], state: State
) -> None:
    active = started_machine(100)
    active.on_timer(10**9)
    active.outbox.clear()
    active.receive(10**9, make_advert(priority), sender)
    assert active.state is state and len(active.outbox) == (state is State.ACTIVE)
    active.receive(10**9, make_advert(255, vrid=8), sender)
    assert active.state is state


def test_an_active_router_advertises_priority_zero_when_it_stops() -> None:
    active = started_machine(255)
    active.outbox.clear()
    active.shutdown()
    assert active.outbox == [make_advert(0)] and active.timer_at is None
    active.receive(0, make_advert(1), HIGH)
    assert active.state is State.INITIALIZE


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 254), st.integers(1, 254), st.lists(st.booleans(), max_size=40))
def test_a_pair_agrees_on_one_active_router_once_nothing_is_lost(
    one: int, two: int, lost: list[bool]
) -> None:
    pair = (make_machine(one, LOW), make_machine(two, HIGH))
    for made in pair:
        made.startup(0)
    for turn in range(len(lost) + 80):
        now = turn * 25 * CS
        for made in pair:
            made.on_timer(now)
        for sender, other, address in ((pair[0], pair[1], LOW), (pair[1], pair[0], HIGH)):
            for sent in sender.outbox:
                if turn >= len(lost) or not lost[turn]:
                    other.receive(now, sent, address)
            sender.outbox.clear()
    assert [made.state for made in pair].count(State.ACTIVE) == 1
    better = 0 if (one, LOW) > (two, HIGH) else 1
    assert pair[better].state is State.ACTIVE


def test_adverts_cross_over_udp_and_the_backup_takes_over() -> None:
    async def test() -> None:
        at = [("127.0.0.1", port) for port in free_ports(2)]
        ends = []
        for index, priority in enumerate((200, 100)):
            made = StateMachine(Parameters(7, priority, "127.0.0.9", interval=5), at[index])
            ends.append(vrrp.VrrpEndpoint(made, at[1 - index], now_us))
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda end=ends[-1]: end, local_addr=at[index])  # type: ignore[misc]
        await wait_until(lambda: ends[0].machine.state is State.ACTIVE)
        ends[1].datagram_received(b"odd", at[0])
        await asyncio.sleep(0.3)
        assert ends[1].machine.state is State.BACKUP
        ends[0].stop()
        await wait_until(lambda: ends[1].machine.state is State.ACTIVE, 0.2)  # after the skew time alone
        ends[1].stop()

    uvloop.run(test())
