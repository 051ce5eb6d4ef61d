"""Compares the constant-time bookkeeping of the call agent with straightforward definitions.

`ReferenceAgent` scans whole tables at every call. Both agents get the same random events; exchanges answer,
are late, stop answering, drain or restart as another process.
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
    """Computes late set-ups and priorities by scanning the tables, without incremental bookkeeping."""

    late_decisions = 0  # decisions for which some set-up was late

    def late_count(self, exchange: FarExchange, sent_until: int, sent_after: int = 0) -> int:
        return sum(sent_after < sent <= sent_until for sent in exchange.unanswered.values())

    def total_late(self, limit: float) -> int:
        exchanges = [exchange for exchange in self.exchanges.values() if not exchange.consecutive_failures]
        late = sum(
            self.late_count(exchange, self.late_sent_until(exchange), self.last_on_time_sent)
            for exchange in exchanges
        )
        self.late_decisions += late > 0
        return late

    def record_and_prioritize(self, pending: PendingCall) -> float:
        offered = pending.call
        call_class = self.settings.classes[offered.klass]
        worth = call_class.worth
        pending.objective_end_ns = self.now + call_class.objective_ns
        if not offered.transit:
            for key in [
                key for key, seen in self.first_dialled.items() if self.now - seen > call_class.deadline_ns
            ][:2]:
                del self.first_dialled[key]
            first = self.first_dialled.setdefault(offered.key, self.now) if offered.key else self.now
            pending.objective_end_ns = first + call_class.objective_ns
            if self.now + self.delay_target_ns > pending.objective_end_ns:
                worth *= call_class.late_worth
        self.mean_worth += (call_class.worth - self.mean_worth) * (0.02 if self.mean_worth else 1.0)
        return min(worth / max(self.mean_worth, 1e-9), MAX_PRIORITY)


class Traffic:
    """Seeded random calls to exchanges that at times become slow, unresponsive or restart."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.agents = (CallAgent(SETTINGS, seed), ReferenceAgent(SETTINGS, seed))
        self.now = START
        self.pending_events: list[tuple[int, int, Event]] = []
        self.serial = 0
        self.delays = [40 * MS] * EXCHANGES  # of answers; negative: no answer comes
        self.handle_both(
            exchange_list(*(list_entry(number) for number in range(EXCHANGES)), kind=ListKind.SAVED)
        )

    def schedule(self, wait: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.pending_events, (self.now + wait, self.serial, event))

    def handle_both(self, event: Event) -> None:
        actual, expected = (agent.handle(self.now, event) for agent in self.agents)
        assert actual == expected, f"{event} at {self.now - START}"
        for action in actual:
            if isinstance(action, SetTimer):
                self.schedule(action.in_ns, TimerExpired(action.token))
            elif isinstance(action, SetUp):
                self.schedule_outcome(action)

    def schedule_outcome(self, action: SetUp) -> None:
        attempt = self.agents[0].pending_calls[action.call].attempts - 1
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
            self.now += 9 * SECOND  # long enough for dialled numbers to expire
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
def test_decisions_equal_those_of_the_reference_agent(seed: int) -> None:
    traffic = Traffic(seed)
    for _ in range(4000):
        traffic.step()
    agent, reference = traffic.agents
    assert isinstance(reference, ReferenceAgent) and reference.late_decisions > 20, (
        "too few late set-ups for a comparison"
    )
    assert dict(agent.first_dialled) == dict(reference.first_dialled)
    assert len(agent.recent_sends) < 500 and len(agent.late_exchanges) <= EXCHANGES, "the tables stay small"
