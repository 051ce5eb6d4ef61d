"""The order, the race and the history of a switch's addresses, checked against their definitions."""

from __future__ import annotations

import itertools
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanmast.addresses.history import (
    MAX_BACKOFF_US,
    MIN_BACKOFF_US,
    PROBE_TIMEOUT_US,
    AddressHistory,
    AddressState,
    ConnectFailure,
)
from rowanmast.addresses.order import (
    MAX_ADDRESSES,
    Endpoint,
    EndpointError,
    Family,
    Preference,
    order_endpoints,
    read_endpoint,
)
from rowanmast.addresses.race import (
    ATTEMPT_DELAY_US,
    MAX_ATTEMPT_DELAY_US,
    MIN_ATTEMPT_DELAY_US,
    Race,
    attempt_delay,
)

SIX = [read_endpoint(f"[2001:db8::{at}]:2905") for at in range(1, 5)]
FOUR = [read_endpoint(f"192.0.2.{at}:2905") for at in range(1, 5)]
LOCAL = read_endpoint("unix:/run/s.sock")


@pytest.mark.parametrize("text", ["10.1.0.9:2905", "[::1]:1", "[fe80::1%eth0]:65535", "unix:/run/s.sock"])
def test_a_parsed_address_is_formatted_as_it_was_given(text: str) -> None:
    assert str(read_endpoint(text)) == text


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("10.1.0.9", "give a port"),
        ("10.1.0.9:0", "give a port"),
        ("10.1.0.9:65536", "give a port"),
        ("10.1.0.9:٣", "give a port"),
        ("10.1.0.300:1", "give an IPv4 address, or an IPv6 address in brackets"),
        ("::1:2905", "give an IPv4 address, or an IPv6 address in brackets"),
        ("[::g]:1", "not an IPv6 address"),
        ("[fe80::1]:1", "give a zone"),
        ("[2001:db8::1%eth0]:1", "and none for others"),
        ("unix:run/s.sock", "an absolute path"),
        ("unix:/" + "x" * 107, "an absolute path"),
    ],
)
def test_an_invalid_address_is_rejected_with_the_form_expected(text: str, message: str) -> None:
    with pytest.raises(EndpointError, match=message):
        read_endpoint(text)


def test_families_alternate_in_the_operators_order() -> None:
    given = [*FOUR[:2], *SIX[:3], LOCAL]
    assert order_endpoints(given, Preference()) == [LOCAL, SIX[0], FOUR[0], SIX[1], FOUR[1], SIX[2]]
    four_first = Preference((Family.IP4, Family.IP6), first_count=2)
    assert order_endpoints(given, four_first) == [FOUR[0], FOUR[1], SIX[0], SIX[1], SIX[2]]


def test_smaller_scopes_and_quicker_addresses_go_first_and_unusable_ones_last() -> None:
    near, link = read_endpoint("[::1]:2905"), read_endpoint("[fe80::1%eth0]:2905")
    order = order_endpoints([SIX[0], link, near], Preference((Family.IP6,)))
    assert order == [near, link, SIX[0]]
    times = {FOUR[0]: 30, FOUR[1]: 10}
    only_four = Preference((Family.IP4,))
    assert order_endpoints(FOUR[:3], only_four, cost=lambda one: times.get(one, 20)) == [
        FOUR[1],
        FOUR[2],
        FOUR[0],
    ]
    order = order_endpoints([*SIX[:2], *FOUR[:2]], Preference(), usable=lambda one: one.family is Family.IP4)
    assert order == [FOUR[0], FOUR[1], SIX[0], SIX[1]], "a broken family costs no attempt at first"


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.sampled_from([*SIX, *FOUR, LOCAL]), max_size=40), st.sets(st.sampled_from(FOUR + SIX)))
def test_the_order_contains_each_address_once(drawn: list[Endpoint], unusable: set[Endpoint]) -> None:
    order = order_endpoints(drawn, Preference(), usable=lambda one: one not in unusable)
    assert sorted(map(str, order)) == sorted(map(str, set(drawn)))
    is_unusable = [one in unusable for one in order]
    assert is_unusable == sorted(is_unusable)


def test_the_number_of_addresses_is_limited() -> None:
    many = [Endpoint(Family.IP4, f"192.0.2.{at}", 1) for at in range(100)]
    assert len(order_endpoints(many, Preference())) == MAX_ADDRESSES


steps = st.lists(
    st.tuples(st.sampled_from(["wait", "fail", "win"]), st.integers(0, 400_000)), min_size=1, max_size=40
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 6), steps)
def test_a_race_starts_each_address_once_in_order_and_never_too_soon(
    count: int, drawn: list[tuple[str, int]]
) -> None:
    order = [*SIX, *FOUR][:count]
    now = 1_000_000
    race = Race(order, now)
    started: list[Endpoint] = []
    running: list[Endpoint] = []
    last_start_at = failed_at = -ATTEMPT_DELAY_US
    won: Endpoint | None = None
    for step, amount in drawn:
        while (endpoint := race.start_next(now)) is not None:
            assert won is None, "nothing is started after a win"
            assert now - last_start_at >= ATTEMPT_DELAY_US or failed_at >= last_start_at, "started too soon"
            started.append(endpoint)
            running.append(endpoint)
            last_start_at, failed_at = now, -ATTEMPT_DELAY_US
        assert started == order[: len(started)]
        if step == "wait":
            now += amount
        elif running and step == "fail":
            failed = running.pop(amount % len(running))
            race.failed(now, failed)
            failed_at = now
        elif running and step == "win":
            connected = running.pop(amount % len(running))
            losers = race.won(connected)
            if won is None:
                won = connected
                assert losers == running
            else:
                assert losers == [connected], "a second success is cancelled"
        assert race.winner == won
        assert race.finished == (won is not None or (not running and len(started) == len(order)))
        assert (race.next_start() is None) == (won is not None or len(started) == len(order))


def test_the_attempt_delay_follows_the_connect_time() -> None:
    assert attempt_delay(None) == ATTEMPT_DELAY_US
    assert attempt_delay(1_000) == MIN_ATTEMPT_DELAY_US and attempt_delay(10_000_000) == MAX_ATTEMPT_DELAY_US
    assert attempt_delay(100_000) == 300_000


def test_an_address_that_failed_backs_off_longer_each_time_and_is_probed_by_one_connection() -> None:
    history = AddressHistory(Random(1))
    now, backoffs = 0, []
    for _ in range(12):
        history.failed(now, SIX[0], ConnectFailure.TIMED_OUT)
        retry_at = history.records[SIX[0]].retry_at
        backoffs.append(retry_at - now)
        assert history.state(retry_at - 1, SIX[0]) is AddressState.BACKING_OFF
        assert not history.try_start(retry_at - 1, SIX[0])
        assert history.state(retry_at, SIX[0]) is AddressState.HALF_OPEN
        assert history.try_start(retry_at, SIX[0]) and not history.try_start(retry_at, SIX[0]), (
            "a single connection probes"
        )
        now = retry_at
    assert MIN_BACKOFF_US * 0.75 <= backoffs[0] <= MIN_BACKOFF_US * 1.25
    assert all(later > 1.1 * former for former, later in itertools.pairwise(backoffs[:7]))
    assert MAX_BACKOFF_US * 0.75 <= backoffs[-1] <= MAX_BACKOFF_US * 1.25
    history.connected(SIX[0], 20_000)
    assert history.state(now, SIX[0]) is AddressState.AVAILABLE and history.cost(SIX[0]) == 20_000


def test_a_probe_without_a_result_may_be_repeated() -> None:
    history = AddressHistory(Random(1))
    history.failed(0, SIX[0], ConnectFailure.RESET)
    now = history.records[SIX[0]].retry_at
    assert history.try_start(now, SIX[0])
    history.abandoned(SIX[0])
    assert history.try_start(now, SIX[0])
    assert not history.try_start(now + PROBE_TIMEOUT_US - 1, SIX[0]) and history.try_start(
        now + PROBE_TIMEOUT_US, SIX[0]
    )


def test_many_routers_do_not_probe_in_step() -> None:
    histories = [AddressHistory(Random(seed)) for seed in range(40)]
    for history in histories:
        history.failed(0, SIX[0], ConnectFailure.TIMED_OUT)
    times = sorted(history.records[SIX[0]].retry_at for history in histories)
    assert len(set(times)) == 40 and times[-1] - times[0] > 0.3 * MIN_BACKOFF_US


def test_the_history_is_bounded_and_keeps_only_retained_addresses() -> None:
    history = AddressHistory(Random(1))
    for at in range(100):
        history.connected(Endpoint(Family.IP4, f"192.0.2.{at}", 1), 1000 * at)
    assert len(history.records) == MAX_ADDRESSES
    kept = Endpoint(Family.IP4, "192.0.2.99", 1)
    history.retain([kept, SIX[0]])
    assert list(history.records) == [kept]
