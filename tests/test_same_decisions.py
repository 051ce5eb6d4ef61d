"""The decisions in constant time are those of the plain definitions, side by side on random traffic.

`Plain` reads whole tables at every call, as the definitions say it. Both agents hear the same events; a far
exchange answers, is late, takes nothing, drains or comes back as another process.
"""

from __future__ import annotations

import heapq
from dataclasses import replace
from random import Random

import pytest
from conftest import MS, SECOND, SETTINGS, START, call, ended, entry, listed

from rowanmast.control import DEAR, CallAgent, Far, Held
from rowanmast.interface import (
    Cause,
    Event,
    ListKind,
    Outcome,
    Report,
    Reported,
    SetTimer,
    SetUp,
    Stands,
    State,
    TimerDue,
)

EXCHANGES = 6


class Plain(CallAgent):
    """The definitions without any account kept along the way."""

    counted = 0  # how often some set-up was late

    def late_at(self, far: Far, since: int, after: int = 0) -> int:
        return sum(after < sent <= since for sent in far.owed.values())

    def own_late(self, enough: float) -> int:
        fars = [far for far in self.fars.values() if not far.strikes]
        late = sum(self.late_at(far, self.since(far), self.quick) for far in fars)
        self.counted += late > 0
        return late

    def worth(self, held: Held) -> float:
        called = held.call
        kind = self.set.classes[called.klass]
        worth = kind.worth
        held.aim_at = self.now + kind.aim_ns
        if not called.transit:
            for key in [key for key, seen in self.seen.items() if self.now - seen > kind.deadline_ns][:2]:
                del self.seen[key]
            first = self.seen.setdefault(called.key, self.now) if called.key else self.now
            held.aim_at = first + kind.aim_ns
            if self.now + self.target > held.aim_at:
                worth *= kind.late_worth
        self.mean_worth += (kind.worth - self.mean_worth) * (0.02 if self.mean_worth else 1.0)
        return min(worth / max(self.mean_worth, 1e-9), DEAR)


class Traffic:
    """Calls in seeded random order, with far exchanges that at times turn slow, deaf or new."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.agents = (CallAgent(SETTINGS, seed), Plain(SETTINGS, seed))
        self.now = START
        self.due: list[tuple[int, int, Event]] = []
        self.serial = 0
        self.delay = [40 * MS] * EXCHANGES  # of answers; below zero: none comes
        self.feed(listed(*(entry(number) for number in range(EXCHANGES)), kind=ListKind.SAVED))

    def later(self, wait: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.due, (self.now + wait, self.serial, event))

    def feed(self, event: Event) -> None:
        ours, plain = (agent.handle(self.now, event) for agent in self.agents)
        assert ours == plain, f"{event} at {self.now - START}"
        for action in ours:
            if isinstance(action, SetTimer):
                self.later(action.in_ns, TimerDue(action.token))
            elif isinstance(action, SetUp):
                self.set_up(action)

    def set_up(self, action: SetUp) -> None:
        attempt = self.agents[0].held[action.call].attempts - 1
        delay = self.delay[int(action.exchange[1:]) % EXCHANGES]
        wait = int(abs(delay) * self.random.uniform(0.5, 2.0))
        if delay < 0 or wait > action.timeout_ns:
            over = ended(action.call, action.exchange, Outcome.TIMED_OUT, attempt)
            self.later(action.timeout_ns, over)
        elif self.random.random() < 0.1:
            cause = self.random.choice((Cause.PROCESSOR_FULL, Cause.TURNED_BACK, Cause.LINES_BUSY))
            outcome = Outcome.BUSY if cause is Cause.LINES_BUSY else Outcome.FULL
            self.later(wait, ended(action.call, action.exchange, outcome, attempt, cause=cause))
        else:
            self.later(wait, Stands(action.call, attempt, action.exchange, wait))

    def step(self) -> None:
        self.now += int(self.random.expovariate(1 / (8 * MS)))
        while self.due and self.due[0][0] <= self.now:
            self.feed(heapq.heappop(self.due)[2])
        roll = self.random.random()
        if roll < 0.01:
            at = self.random.randrange(EXCHANGES)
            self.delay[at] = self.random.choice((20 * MS, 40 * MS, 40 * MS, 200 * MS, 600 * MS, -1))
        elif roll < 0.012:
            self.delay = [self.random.choice((40 * MS, 700 * MS))] * EXCHANGES
        elif roll < 0.02:
            at = self.random.randrange(1, EXCHANGES)
            state = self.random.choice((State.UP, State.UP, State.DRAINING, State.GONE))
            started = self.random.choice((None, self.now))
            self.feed(listed(entry(at, state, started), kind=ListKind.CHANGES))
        elif roll < 0.021:
            self.now += 9 * SECOND  # long enough for many numbers to be forgotten
        elif roll < 0.05:
            at = self.random.randrange(1, EXCHANGES)
            self.feed(Reported(f"x{at}", True, 0, Report(free=self.random.choice((0, 1, 20)), size=20)))
        elif roll > 0.3:
            self.offer()

    def offer(self) -> None:
        self.serial += 1
        offered = call(
            f"c{self.serial}",
            self.random.randrange(1, EXCHANGES),
            self.random.randrange(4),
            self.random.choice((1, 3, 9)) * SECOND,
            key=f"k{self.random.randrange(2000)}",
            transit=self.random.random() < 0.1,
        )
        self.feed(replace(offered, again=self.random.random() < 0.01))


@pytest.mark.parametrize("seed", range(12))
def test_the_decisions_are_those_of_the_plain_definitions(seed: int) -> None:
    traffic = Traffic(seed)
    for _ in range(4000):
        traffic.step()
    ours, plain = traffic.agents
    assert isinstance(plain, Plain) and plain.counted > 20, "no late set-up was ever counted"
    assert dict(ours.seen) == dict(plain.seen)
    assert len(ours.young) < 500 and len(ours.slow) <= EXCHANGES, "the accounts stay small"
