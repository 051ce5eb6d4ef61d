"""The routers of one process divide the set-ups to a cold switch: ColdShare alone, and whole ledgers."""

from __future__ import annotations

import threading
from collections import defaultdict, deque
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from conftest import SECOND, SETTINGS, START, exchange_list, list_entry
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import SECOND_US, offer

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.core.coldshare import RATE_WINDOW_US, ColdShare
from rowanmast.core.ledger import Ledger
from rowanmast.core.ports import Answered, Attempt, CallEnded, Input

SITE = replace(
    SETTINGS,
    agents=8,
    agent_index=3,
    initial_capacity_fraction=0.34,
    cold_ns=14 * SECOND,
    collapse_after_ns=SECOND,
)
START_US = START // 1000
COLD_START_NS = START + 4 * SECOND  # after the measured rates have settled
# Rate to a cold switch, as a multiple of the rate to a warm one.
COLD_RATE_FACTOR = 2 * SITE.initial_capacity_fraction * SITE.collapse_multiple * 0.8


def most_in_window(times: list[int], span: int = SECOND_US) -> int:
    """The largest number of events in any period of length `span`."""
    largest = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= span:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


steps = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3), st.integers(0, 60_000)), max_size=400)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(steps)
def test_grants_keep_the_limits_of_the_window_and_of_the_rate(drawn: list[tuple[int, int, int]]) -> None:
    share = ColdShare()
    members = [share.join(f"n{at}", SITE) for at in range(3)]
    now = START_US
    for _ in range(400):  # 100 per second to each of four warm switches
        now += SECOND_US // 400
        assert members[0].try_acquire(now, list_entry(1), 4)
    started_at = now
    warm_rate = 400 / 4
    cold = [list_entry(at, started=now * 1000, name=f"cold{at}") for at in range(4)]
    granted: dict[str, list[int]] = defaultdict(list)
    for which_member, which_switch, wait in drawn:
        now += wait
        if members[which_member].try_acquire(now, cold[which_switch], 4):
            granted[cold[which_switch].exchange].append(now)
    # One switch gets at most twice its rate in a window, which it may get in one burst.
    burst = 2 * COLD_RATE_FACTOR * warm_rate
    for times in granted.values():
        assert most_in_window(times) <= max(burst, 1.0)
    total = sum(map(len, granted.values()))
    elapsed_s = (now - started_at) / SECOND_US
    assert total <= COLD_RATE_FACTOR * warm_rate * len(cold) * (elapsed_s + 1.0) + 1


def test_a_busy_router_leaves_the_others_their_part() -> None:
    share = ColdShare()
    busy, other = share.join("busy", SITE), share.join("other", SITE)
    now = START_US
    for _ in range(2 * RATE_WINDOW_US // 10_000):
        now += 10_000
        busy.try_acquire(now, list_entry(1), 1)
    cold = list_entry(2, started=now * 1000)
    granted = {"busy": 0, "other": 0}
    for _ in range(1000):
        now += 2_000
        for member, tries in ((busy, 9), (other, 1)):
            granted[member.name] += sum(member.try_acquire(now, cold, 1) for _ in range(tries))
    assert granted["other"] > 0.3 * granted["busy"] > 10


def test_a_name_joins_only_once_until_its_router_leaves() -> None:
    share = ColdShare()
    first = share.join("n0", SITE)
    with pytest.raises(ValueError, match="'n0' has already joined"):
        share.join("n0", SITE)
    first.leave()
    assert share.join("n0", SITE).name == "n0"


def test_the_window_of_a_switch_that_has_warmed_up_is_deleted() -> None:
    share = ColdShare()
    member = share.join("n0", SITE)
    member.try_acquire(START_US, list_entry(1, started=START), 1)
    assert list(share.windows) == ["x1"]
    later = START_US + SITE.cold_ns // 1000
    assert member.try_acquire(later, list_entry(1, started=START), 1), "the switch is warm by now"
    member.try_acquire(later, list_entry(2, started=later * 1000), 1)
    assert list(share.windows) == ["x2"]


def test_concurrent_threads_get_no_more_than_the_credit() -> None:
    share = ColdShare()
    members = [share.join(f"n{at}", SITE) for at in range(4)]
    for at in range(2000):
        members[0].try_acquire(START_US + at * 2000, list_entry(1), 1)
    now = START_US + 4_100_000
    cold = list_entry(2, started=START + 4 * SECOND)
    granted: list[int] = []

    def acquire(member: Any) -> None:
        granted.extend(member.try_acquire(now, cold, 1) for _ in range(500))

    threads = [threading.Thread(target=acquire, args=(member,)) for member in members]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(granted) <= 1, "at most one credit, as no time has passed"


class RouterGroup:
    """Several ledgers in virtual time, with four warm switches and one that starts cold."""

    def __init__(self, count: int, share: ColdShare | None) -> None:
        self.sent: deque[tuple[int, Attempt]] = deque()
        self.cold: list[int] = []  # times of the set-ups to the cold switch
        self.now = START_US
        self.random = Random(5)
        self.ledgers = []
        for at in range(count):
            links = {f"x{number}": RecordingLink(self, at, f"x{number}") for number in range(1, 6)}
            member = None if share is None else share.join(f"n{at}", SITE)
            ledger = Ledger(SITE, {"plain": 0}, CallAgent(SITE, at), links, None, member)  # type: ignore[arg-type]
            self.ledgers.append(ledger)
        for ledger in self.ledgers:
            ledger.run_turn(self.now, [exchange_list(*(list_entry(number) for number in range(5)))])
        self.serial = 0

    def run(self, seconds: float, rate: float, cold: float) -> None:
        """Offers `rate` calls per second to the group, a part `cold` of them for the cold switch."""
        end = self.now + int(seconds * SECOND_US)
        is_listed = False
        offered = 0
        started_at = self.now
        while self.now < end:
            self.now += 1000
            inputs: list[list[Input]] = [[] for _ in self.ledgers]
            if not is_listed and self.now * 1000 >= COLD_START_NS:
                is_listed = True
                for items in inputs:
                    new = list_entry(5, started=COLD_START_NS)
                    items.append(api.ExchangeList(api.ListKind.CHANGES, (new,)))
            while self.sent and self.now - self.sent[0][1].sent_at >= 20_000:
                at, attempt = self.sent.popleft()
                inputs[at].append(Answered(attempt.exchange, attempt.call, attempt.number, "text"))
                inputs[at].append(CallEnded(attempt.exchange, attempt.call, api.Outcome.DONE))
            while offered < (self.now - started_at) * rate / SECOND_US:
                offered += 1
                dest = 5 if is_listed and self.random.random() < cold else self.random.randrange(1, 5)
                front: Any = NullFront()
                at = self.random.randrange(len(self.ledgers))
                inputs[at].append(offer(front, f"c{offered}", dest, left_us=9 * SECOND_US))
            for ledger, items in zip(self.ledgers, inputs, strict=True):
                ledger.run_turn(self.now, items)


class NullFront:
    """A front or link that ignores all calls."""

    survives_restart = True

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


class RecordingLink(NullFront):
    """A link that records the set-ups of the router with number `at` in its group."""

    def __init__(self, group: RouterGroup, at: int, exchange: str) -> None:
        self.group, self.at, self.exchange = group, at, exchange

    def set_up(self, attempt: Attempt) -> None:
        self.group.sent.append((self.at, attempt))
        if self.exchange == "x5":
            self.group.cold.append(self.group.now)


@pytest.mark.parametrize("rate", [400.0, 6.0])
def test_routers_with_a_common_share_send_a_cold_switch_no_more_than_one_would(rate: float) -> None:
    """Guards against rounding: at 6 calls per second a share is less than one set-up.

    Four routers without a common share would each round it up.
    """
    runs = {}
    for name, count, share in (("one", 1, None), ("apart", 4, None), ("shared", 4, ColdShare())):
        runs[name] = RouterGroup(count, share)
        runs[name].run(9.0, rate, 0.6)
    peak = {name: most_in_window(run.cold) for name, run in runs.items()}
    assert peak["one"] > rate / 20, "the demand for the cold switch is about as high as its limit"
    assert peak["shared"] <= peak["one"]
    assert len(runs["shared"].cold) <= len(runs["one"].cold)
    assert len(runs["shared"].cold) > len(runs["one"].cold) * 0.4, "the share is used"
    if rate < 10:
        assert peak["apart"] > peak["one"]
