"""The decisions in constant time are those of the plain definitions, side by side on random traffic.

`Plain` reads whole tables at every call, as the definitions say it. Both agents hear the same events; a far
exchange answers, is late, takes nothing, drains or comes back as another process.
"""

from __future__ import annotations

import heapq
from dataclasses import replace
from random import Random

import pytest
from conftest import MS, SECOND, SETTINGS, START, attempt_ended, call, exchange_list, list_entry

from rowanmast.call_agent import MAX_PRIORITY, CallAgent, FarExchange, PendingCall
from rowanmast.interface import (
    CallAnswered,
    Cause,
    Event,
    ExchangeState,
    ListKind,
    LoadReport,
    LoadReported,
    Outcome,
    SetTimer,
    SetUp,
    TimerExpired,
)

EXCHANGES = 6


class ReferenceAgent(CallAgent):
    """The definitions without any account kept along the way."""

    late_decisions = 0  # how often some set-up was late

    def late_count(self, far: FarExchange, since: int, after: int = 0) -> int:
        return sum(after < sent <= since for sent in far.unanswered.values())

    def total_late(self, enough: float) -> int:
        fars = [far for far in self.exchanges.values() if not far.failures]
        late = sum(self.late_count(far, self.cutoff(far), self.last_on_time) for far in fars)
        self.late_decisions += late > 0
        return late

    def compute_priority(self, held: PendingCall) -> float:
        called = held.call
        kind = self.config.classes[called.klass]
        worth = kind.worth
        held.objective = self.now + kind.objective_ns
        if not called.transit:
            for key in [
                key for key, seen in self.first_dialled.items() if self.now - seen > kind.deadline_ns
            ][:2]:
                del self.first_dialled[key]
            first = self.first_dialled.setdefault(called.key, self.now) if called.key else self.now
            held.objective = first + kind.objective_ns
            if self.now + self.delay_target > held.objective:
                worth *= kind.late_worth
        self.mean_worth += (kind.worth - self.mean_worth) * (0.02 if self.mean_worth else 1.0)
        return min(worth / max(self.mean_worth, 1e-9), MAX_PRIORITY)


class Traffic:
    """Calls in seeded random order, with far exchanges that at times turn slow, deaf or new."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.agents = (CallAgent(SETTINGS, seed), ReferenceAgent(SETTINGS, seed))
        self.now = START
        self.pending_events: list[tuple[int, int, Event]] = []
        self.serial = 0
        self.delays = [40 * MS] * EXCHANGES  # of answers; below zero: none comes
        self.handle_both(
            exchange_list(*(list_entry(number) for number in range(EXCHANGES)), kind=ListKind.SAVED)
        )

    def schedule(self, wait: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.pending_events, (self.now + wait, self.serial, event))

    def handle_both(self, event: Event) -> None:
        ours, plain = (agent.handle(self.now, event) for agent in self.agents)
        assert ours == plain, f"{event} at {self.now - START}"
        for action in ours:
            if isinstance(action, SetTimer):
                self.schedule(action.in_ns, TimerExpired(action.token))
            elif isinstance(action, SetUp):
                self.schedule_outcome(action)

    def schedule_outcome(self, action: SetUp) -> None:
        attempt = self.agents[0].pending[action.call].attempts - 1
        delay = self.delays[int(action.exchange[1:]) % EXCHANGES]
        wait = int(abs(delay) * self.random.uniform(0.5, 2.0))
        if delay < 0 or wait > action.timeout_ns:
            over = attempt_ended(action.call, action.exchange, Outcome.TIMED_OUT, attempt)
            self.schedule(action.timeout_ns, over)
        elif self.random.random() < 0.1:
            cause = self.random.choice((Cause.PROCESSOR_FULL, Cause.CRANKBACK, Cause.LINES_BUSY))
            outcome = Outcome.BUSY if cause is Cause.LINES_BUSY else Outcome.FULL
            self.schedule(wait, attempt_ended(action.call, action.exchange, outcome, attempt, cause=cause))
        else:
            self.schedule(wait, CallAnswered(action.call, attempt, action.exchange, wait))

    def step(self) -> None:
        self.now += int(self.random.expovariate(1 / (8 * MS)))
        while self.pending_events and self.pending_events[0][0] <= self.now:
            self.handle_both(heapq.heappop(self.pending_events)[2])
        roll = self.random.random()
        if roll < 0.01:
            at = self.random.randrange(EXCHANGES)
            self.delays[at] = self.random.choice((20 * MS, 40 * MS, 40 * MS, 200 * MS, 600 * MS, -1))
        elif roll < 0.012:
            self.delays = [self.random.choice((40 * MS, 700 * MS))] * EXCHANGES
        elif roll < 0.02:
            at = self.random.randrange(1, EXCHANGES)
            state = self.random.choice(
                (ExchangeState.UP, ExchangeState.UP, ExchangeState.DRAINING, ExchangeState.GONE)
            )
            started = self.random.choice((None, self.now))
            self.handle_both(exchange_list(list_entry(at, state, started), kind=ListKind.CHANGES))
        elif roll < 0.021:
            self.now += 9 * SECOND  # long enough for many numbers to be forgotten
        elif roll < 0.05:
            at = self.random.randrange(1, EXCHANGES)
            self.handle_both(
                LoadReported(
                    f"x{at}", True, 0, LoadReport(free_circuits=self.random.choice((0, 1, 20)), group_size=20)
                )
            )
        elif roll > 0.3:
            self.offer_call()

    def offer_call(self) -> None:
        self.serial += 1
        offered = call(
            f"c{self.serial}",
            self.random.randrange(1, EXCHANGES),
            self.random.randrange(4),
            self.random.choice((1, 3, 9)) * SECOND,
            key=f"k{self.random.randrange(2000)}",
            transit=self.random.random() < 0.1,
        )
        self.handle_both(replace(offered, again=self.random.random() < 0.01))


@pytest.mark.parametrize("seed", range(12))
def test_the_decisions_are_those_of_the_plain_definitions(seed: int) -> None:
    traffic = Traffic(seed)
    for _ in range(4000):
        traffic.step()
    ours, plain = traffic.agents
    assert isinstance(plain, ReferenceAgent) and plain.late_decisions > 20, "no late set-up was ever counted"
    assert dict(ours.first_dialled) == dict(plain.first_dialled)
    assert len(ours.recent_sends) < 500 and len(ours.late_exchanges) <= EXCHANGES, "the accounts stay small"
