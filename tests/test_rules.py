"""The call agent keeps the rules, and is deterministic, with random sequences of events.

Rule 1: each call gets one final answer, by its deadline and with no attempt in flight.
Rule 2: one attempt of a call is in flight at a time; if it may have taken effect, an unsafe call is not
repeated, and a keyed one only at the same exchange.
Rule 3: an exchange that drains or is gone gets no set-up.
Rule 5: a retry waits for the release of the last attempt.
"""

from __future__ import annotations

from dataclasses import replace

from conftest import MS, SETTINGS, START, attempt_ended, call, exchange_list, list_entry
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanmast.call_agent import CallAgent
from rowanmast.interface import (
    Action,
    CallAnswered,
    CallerHungUp,
    Cause,
    Event,
    ExchangeState,
    FailCall,
    ListKind,
    LoadReport,
    LoadReported,
    Outcome,
    RefuseCall,
    SetTimer,
    SetUp,
    TimerExpired,
)

steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["call", "stand", "end", "end", "hang", "list", "timer", "wait", "circuits", "stale"]
        ),
        st.integers(0, 7),
        st.integers(0, 400),
    ),
    min_size=20,
    max_size=90,
)
OUTCOMES = (
    (Outcome.FULL, Cause.CRANKBACK),
    (Outcome.FULL, Cause.PROCESSOR_FULL),
    (Outcome.NOT_SENT, Cause.NO_CIRCUIT),
    (Outcome.TIMED_OUT, None),
    (Outcome.CUT, None),
    (Outcome.UNREACHED, None),
    (Outcome.CALLED_OFF, None),
    (Outcome.BUSY, Cause.LINES_BUSY),
)
MAY_HAVE_RUN = (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CALLED_OFF, Outcome.BUSY)


class RuleChecker:
    """Hands an agent valid events, built from drawn numbers, and checks its actions against the rules."""

    def __init__(self) -> None:
        self.agent = CallAgent(replace(SETTINGS, agents=4), 3)
        self.now = START
        self.call_count = 0
        self.unanswered: dict[str, int] = {}  # calls without a final answer: deadline
        self.answered: set[str] = set()
        self.standing: dict[str, tuple[str, int]] = {}  # exchange, number of the attempt
        self.in_flight: dict[str, tuple[str, int]] = {}  # attempts without an outcome: exchange, number
        self.attempts: dict[str, int] = {}
        self.unsafe: set[str] = set()  # keyed calls too
        self.keyed: set[str] = set()
        self.may_have_run: dict[str, str] = {}  # calls that may have taken effect: the first exchange
        self.released_at: dict[str, int] = {}
        self.timers: list[tuple[int, str]] = []
        self.not_accepting: set[str] = set()
        self.log: list[tuple[int, Action]] = []
        self.handle(exchange_list(*(list_entry(number) for number in range(4)), kind=ListKind.SAVED))

    def handle(self, event: Event) -> None:
        for action in self.agent.handle(self.now, event):
            self.log.append((self.now, action))
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        if isinstance(action, SetUp):
            assert action.call in self.unanswered, "rule 1: set-up for an answered call"
            assert action.call not in self.in_flight, "rule 2: two attempts in flight"
            ran_at = self.may_have_run.get(action.call)
            deduplicated = action.call in self.keyed and action.exchange == ran_at
            assert ran_at is None or deduplicated or action.call not in self.unsafe, (
                "rule 2: unsafe call repeated"
            )
            assert action.exchange not in self.not_accepting, "rule 3: sent to a draining exchange"
            assert self.now >= self.released_at.get(action.call, 0), "rule 5: release not awaited"
            assert action.timeout_ns > 0 and self.now + action.timeout_ns <= self.unanswered[action.call]
            number = self.attempts.get(action.call, -1) + 1
            self.attempts[action.call] = number
            self.in_flight[action.call] = (action.exchange, number)
        elif isinstance(action, RefuseCall | FailCall):
            assert action.call in self.unanswered and action.call not in self.answered, (
                "rule 1: second answer"
            )
            assert action.call not in self.in_flight, "rule 1: answered with an attempt in flight"
            if isinstance(action, RefuseCall):
                assert action.call not in self.unsafe & self.may_have_run.keys(), (
                    "rule 2: refused, but it may have taken effect"
                )
            self.answered.add(action.call)
            del self.unanswered[action.call]
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + action.in_ns, action.token))

    def step(self, kind: str, pick: int, amount: int) -> None:
        getattr(self, "do_" + kind)(pick, amount)

    def do_call(self, pick: int, amount: int) -> None:
        self.call_count += 1
        name = f"c{self.call_count}"
        self.unanswered[name] = self.now + (amount + 20) * 10 * MS
        klass = pick % 4
        if klass in (2, 3):  # unsafe, keyed
            self.unsafe.add(name)
        if klass == 3:
            self.keyed.add(name)
        transit = pick >= 5
        event = call(name, 1 + amount % 3, klass, (amount + 20) * 10 * MS, transit=transit)
        self.handle(replace(event, key=f"k{pick}"))

    def pick_name(self, names: list[str], pick: int) -> str | None:
        return names[pick % len(names)] if names else None

    def do_stand(self, pick: int, _: int) -> None:
        name = self.pick_name([name for name in self.in_flight if name in self.unanswered], pick)
        if name is not None:
            exchange, number = self.in_flight.pop(name)
            self.answered.add(name)
            del self.unanswered[name]
            self.standing[name] = (exchange, number)
            self.handle(CallAnswered(name, number, exchange, 80 * MS))

    def do_end(self, pick: int, amount: int) -> None:
        name = self.pick_name(list(self.in_flight), amount)
        if name is None:
            name = self.pick_name(list(self.standing), pick)
            if name is not None:
                exchange, number = self.standing.pop(name)
                self.handle(attempt_ended(name, exchange, Outcome.DONE, number, final=True))
            return
        exchange, number = self.in_flight.pop(name)
        outcome, cause = OUTCOMES[pick]
        if outcome in (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CALLED_OFF):
            self.released_at[name] = self.now + SETTINGS.release_guard_ns
        if outcome in MAY_HAVE_RUN:
            self.may_have_run.setdefault(name, exchange)
        expects_answer = name in self.unanswered
        self.handle(attempt_ended(name, exchange, outcome, number, cause=cause, final=not expects_answer))
        waits = any(token == "call " + name for _, token in self.timers)
        assert not expects_answer or name in self.answered or name in self.in_flight or waits, (
            "rule 1: a call was forgotten"
        )

    def do_hang(self, pick: int, _: int) -> None:
        name = self.pick_name(list(self.unanswered), pick)
        if name is not None:
            del self.unanswered[name]
            self.answered.add(name)
            self.handle(CallerHungUp(name))

    def do_list(self, pick: int, amount: int) -> None:
        name = f"x{1 + pick % 3}"
        state = (ExchangeState.UP, ExchangeState.DRAINING, ExchangeState.GONE)[amount % 3]
        self.not_accepting.discard(name)
        if state is not ExchangeState.UP:
            self.not_accepting.add(name)
        self.handle(exchange_list(list_entry(1 + pick % 3, state), kind=ListKind.CHANGES))

    def do_timer(self, pick: int, _: int) -> None:
        if self.timers:
            self.timers.sort()
            due, token = self.timers.pop(0)
            self.now = max(self.now, due)
            self.expire_attempts()
            self.handle(TimerExpired(token))
            name = token.removeprefix("call ")
            waits = any(token == other for _, other in self.timers)
            assert name not in self.unanswered or name in self.in_flight or waits, (
                "rule 1: a call waits without a timer or attempt"
            )

    def do_wait(self, _: int, amount: int) -> None:
        self.now += amount * MS
        self.expire_attempts()

    def do_circuits(self, pick: int, amount: int) -> None:
        self.handle(
            LoadReported(f"x{pick % 4}", True, 0, LoadReport(free_circuits=amount % 4, group_size=10))
        )

    def do_stale(self, pick: int, amount: int) -> None:
        """Sends events about calls that are over, and a timer before its time."""
        waiting = self.pick_name(list(self.unanswered), pick)
        if waiting is not None:
            self.handle(TimerExpired("call " + waiting))
        unknown = f"c{self.call_count + 1 + pick}"
        self.handle(TimerExpired("call " + unknown))
        self.handle(CallerHungUp(unknown))
        self.handle(attempt_ended(unknown, f"x{amount}", Outcome.TIMED_OUT))
        self.handle(CallAnswered(unknown, 0, f"x{amount}", MS))

    def expire_attempts(self) -> None:
        """Times attempts out at the deadline of their call, to which the timeout is limited."""
        for name in [
            name for name, end in self.unanswered.items() if end <= self.now and name in self.in_flight
        ]:
            exchange, number = self.in_flight.pop(name)
            self.may_have_run.setdefault(name, exchange)
            self.released_at[name] = self.now + SETTINGS.release_guard_ns
            self.handle(attempt_ended(name, exchange, Outcome.TIMED_OUT, number))
            assert name in self.answered, "rule 1: no answer at the deadline"


def run_steps(sequence: list[tuple[str, int, int]]) -> RuleChecker:
    checker = RuleChecker()
    for kind, pick, amount in sequence:
        checker.step(kind, pick, amount)
    return checker


@settings(derandomize=True, max_examples=300, deadline=None)
@given(steps)
def test_the_rules_hold_in_any_order_of_events(sequence: list[tuple[str, int, int]]) -> None:
    run_steps(sequence)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(steps)
def test_same_events_give_the_same_actions(sequence: list[tuple[str, int, int]]) -> None:
    assert run_steps(sequence).log == run_steps(sequence).log
