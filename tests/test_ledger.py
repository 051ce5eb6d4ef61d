"""The ledger keeps the call-handling rules, with the real decision module and with a random one."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from conftest import SETTINGS, list_entry
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import (
    RELEASE_GUARD_US,
    SECOND_US,
    AssertingRuleChecker,
    CheckedFront,
    CheckedLink,
    full_list,
    offer,
)

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.core import ended_calls
from rowanmast.core.ended_calls import ENDED_CALL_RETENTION_US, MAX_ORPHANS
from rowanmast.core.ledger import (
    PENDING_RETRY_AFTER_US,
    STALE_TIMER_SLACK,
    Ledger,
    pending_size,
    with_release_margin,
)
from rowanmast.core.ports import (
    Answered,
    AttemptFailed,
    CallEnded,
    Cancelled,
    EndReason,
    EndUnanswered,
    Failure,
    Input,
    Released,
    SwitchDown,
)

NAMES = ("x1", "x2", "x3")


class RandomAgent:
    """A decision module that returns random actions; the ledger has to keep the rules by itself."""

    def __init__(self) -> None:
        self.random = Random(5)
        self.calls = ["c1"]

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Call):
            self.calls.append(event.call)
        pick, actions = self.random, []
        for _ in range(pick.randrange(4)):
            call = pick.choice(self.calls[-4:])
            exchange = pick.choice(("x0", "x1", "x2", "x3", "nowhere"))
            actions.append(
                pick.choice(
                    (
                        api.SetUp(call, exchange, pick.randrange(-5, 4 * 10**9)),
                        api.SetUp(call, "x1", 10**9),
                        api.RefuseCall(call, 0),
                        api.FailCall(call),
                        api.CancelAttempt(call, pick.randrange(3)),
                        api.SetTimer(pick.randrange(10**9), "any"),
                        api.Probe(exchange),
                    )
                )
            )
        if pick.random() < 0.02:
            raise RuntimeError("odd")
        return actions


class Model:
    """A ledger between a front and links without a network, and the events that may happen to it."""

    def __init__(self, agent: Any = None) -> None:
        self.now = 1000 * SECOND_US
        # The tolerances are for rounding errors.
        self.checker = AssertingRuleChecker(
            lambda: self.now / SECOND_US, RELEASE_GUARD_US / SECOND_US - 1e-6, tolerance_s=1e-6
        )
        self.front = CheckedFront(self.checker)
        self.links = {name: CheckedLink(name, self.checker) for name in ("x0", *NAMES)}
        agent = agent or CallAgent(with_release_margin(SETTINGS, 50_000), 3)
        self.orphan_front = CheckedFront(self.checker)
        self.ledger = Ledger(SETTINGS, {"plain": 0}, agent, self.links, self.orphan_front)
        self.serial = 0
        self.run_turn(full_list())

    def run_turn(self, *items: Input) -> None:
        self.ledger.run_turn(self.now, items)

    def pass_time(self, until: int) -> None:
        while (due := self.ledger.next_timer()) is not None and due <= until:
            self.now = max(self.now, due)
            self.run_turn()
        self.now = until
        self.run_turn()

    def pick(self, names: Any, number: int) -> str:
        names = sorted(names)
        return names[number % len(names)] if names else "unknown"

    def step(self, kind: str, number: int, amount: int) -> None:
        in_flight, standing = self.checker.in_flight, self.checker.standing
        if kind == "offer":
            self.serial += 1
            name = f"c{self.serial}"
            remaining_us = (amount + 1) * 10_000
            self.checker.call_offered(name, remaining_us / SECOND_US)
            self.run_turn(offer(self.front, name, 1 + number % 3, remaining_us, transit=number > 5))
        elif kind == "cancel":
            call = self.pick(set(self.checker.deadlines) - set(self.checker.final_answers), number)
            self.checker.ended_by_caller(call)
            self.run_turn(Cancelled(call))
        elif kind == "release":
            call = self.pick(standing, number)
            self.checker.ended_by_caller(call)
            self.run_turn(Released(call, 16))
        elif kind == "answer" and in_flight:
            call = self.pick(in_flight, number)
            exchange = in_flight[call]
            self.checker.stood(call)
            self.run_turn(Answered(exchange, call, self.links[exchange].attempts[call].number, "text"))
        elif kind == "refuse" and in_flight:
            call = self.pick(in_flight, number)
            exchange = in_flight[call]
            outcome = (api.Outcome.FULL, api.Outcome.CUT, api.Outcome.UNREACHED)[number % 3]
            self.checker.ended_at_switch(call, confirmed=outcome is not api.Outcome.CUT)
            self.run_turn(AttemptFailed(exchange, call, self.links[exchange].attempts[call].number, outcome))
        elif kind == "switch_release" and standing:
            call = self.pick(standing, number)
            exchange = standing[call]
            self.checker.released_by_switch(call)
            self.run_turn(CallEnded(exchange, call, api.Outcome.DONE))
        elif kind == "late":  # results that do not belong to an attempt in flight
            self.run_turn(Answered("x1", f"c{number}", -1, "late"), AttemptFailed("x2", f"c{number}", 9, CUT))
        elif kind == "list":
            name = NAMES[number % 3]
            state = (api.ExchangeState.UP, api.ExchangeState.DRAINING)[amount % 2]
            self.checker.draining_since.pop(name, None)
            if state is not api.ExchangeState.UP:
                # 2 s ago, so that the checker permits no more set-ups: the ledger knows of the drain at once.
                self.checker.draining_since[name] = self.now / SECOND_US - 2.0
            changed = list_entry(1 + number % 3, state)
            self.run_turn(api.ExchangeList(api.ListKind.CHANGES, (changed,)))
        elif kind == "wait":
            self.pass_time(self.now + amount * 1000)


CUT = api.Outcome.CUT
KINDS = (
    "offer",
    "offer",
    "answer",
    "refuse",
    "switch_release",
    "cancel",
    "release",
    "late",
    "list",
    "wait",
    "wait",
)
steps = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 7), st.integers(0, 400)), max_size=60)


def run_steps(model: Model, drawn: list[tuple[str, int, int]]) -> None:
    for kind, number, amount in drawn:
        model.step(kind, number, amount)
    model.pass_time(model.now + 10 * SECOND_US)
    model.checker.assert_all_answered()
    assert not model.ledger.unanswered_count()


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps)
def test_rules_hold_with_the_decision_module(drawn: list[tuple[str, int, int]]) -> None:
    run_steps(Model(), drawn)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps)
def test_rules_hold_with_random_decisions(drawn: list[tuple[str, int, int]]) -> None:
    run_steps(Model(RandomAgent()), drawn)


def model_with_standing_call() -> Model:
    model = Model()
    model.step("offer", 0, 400)
    model.step("answer", 0, 0)
    assert model.front.messages == [("answer", "c1", "text")]
    return model


def test_an_answer_that_crosses_the_callers_cancel_is_released_on_both_sides() -> None:
    model = model_with_standing_call()
    model.run_turn(Cancelled("c1"))
    assert model.links["x1"].messages == [("release", "c1")]
    assert model.front.messages[-1] == ("release", "c1", 16)


def test_an_answer_that_crosses_a_cancelled_attempt_is_released_at_the_switch() -> None:
    model = Model()
    model.step("offer", 0, 400)
    model.run_turn(Cancelled("c1"))
    model.run_turn(Answered("x1", "c1", -1, "late"))
    assert model.links["x1"].messages == [("cancel", "c1"), ("release", "c1")]
    assert [message[0] for message in model.front.messages] == ["fail"]


def test_a_repeated_answer_does_not_end_a_standing_call() -> None:
    model = model_with_standing_call()
    model.run_turn(Answered("x1", "c1", -1, "text"))
    assert model.links["x1"].messages == []


GONE = api.ExchangeList(api.ListKind.CHANGES, (list_entry(1, api.ExchangeState.GONE),))


def test_calls_on_a_dead_lost_or_removed_switch_are_released_to_their_callers() -> None:
    lost = CallEnded("x1", "c1", api.Outcome.CUT, why=EndReason.SWITCH_LOST)
    removed = CallEnded("x1", "c1", api.Outcome.CUT, why=EndReason.SWITCH_REMOVED)
    for inputs in ((SwitchDown("x1"),), (lost,), (GONE, removed)):
        model = model_with_standing_call()
        model.run_turn(*inputs)
        assert model.front.messages[-1] == ("release", "c1", 41)
        assert not model.ledger.records


def test_a_removed_switch_keeps_its_standing_calls_and_loses_its_attempts() -> None:
    model = model_with_standing_call()
    model.run_turn(GONE)
    assert model.front.messages == [("answer", "c1", "text")]
    model.run_turn(CallEnded("x1", "c1", api.Outcome.DONE))
    assert model.front.messages[-1] == ("release", "c1", 16)
    model = Model()
    model.step("offer", 0, 400)
    model.run_turn(GONE)
    assert model.links["x1"].messages == [("cancel", "c1")]


def test_shutdown_answers_unanswered_calls_and_cancels_their_attempts() -> None:
    for klass, answer in (("plain", "refuse"), ("unsafe", "fail")):
        model = Model()
        model.ledger.classes = {"plain": 0, "unsafe": 2}
        model.checker.call_offered("c1", 3.0)
        model.run_turn(replace(offer(model.front, "c1"), klass=klass))
        assert "c1" in model.links["x1"].attempts
        model.run_turn(EndUnanswered())
        assert [message[:2] for message in model.front.messages] == [(answer, "c1")]
        assert ("cancel", "c1") in model.links["x1"].messages
        assert not model.ledger.records


def test_an_orphaned_call_is_not_released_when_only_its_link_gives_it_up() -> None:
    model = model_with_standing_call()
    model.run_turn(CallEnded("x1", "e1", api.Outcome.CUT, why=EndReason.SWITCH_LOST))
    assert model.orphan_front.messages == []


def test_the_caller_of_an_orphaned_call_is_notified_of_its_release() -> None:
    model = model_with_standing_call()
    model.step("switch_release", 0, 0)
    # A repeated release is not that of an orphaned call.
    model.run_turn(CallEnded("x1", "c1", api.Outcome.DONE))
    assert model.orphan_front.messages == []
    model.run_turn(CallEnded("x1", "e1", api.Outcome.DONE), CallEnded("x1", "e2", api.Outcome.CUT))
    assert model.orphan_front.messages == [("release", "e1", 16), ("release", "e2", 41)]
    model.pass_time(model.now + ENDED_CALL_RETENTION_US + 1)
    assert not model.ledger.recently_ended.calls and not model.ledger.recently_ended.orphans


def test_a_flood_of_releases_of_unknown_calls_reaches_callers_a_bounded_number_of_times() -> None:
    # Each release of a call that never was went to callers for 10 s: other calls took 4 s.
    model = Model()
    for _ in range(2):  # a switch repeats its release on the next connection
        model.run_turn(
            *(CallEnded("x1", f"e{number}", api.Outcome.DONE) for number in range(MAX_ORPHANS + 9))
        )
    assert len(model.orphan_front.messages) == MAX_ORPHANS
    model.now += ENDED_CALL_RETENTION_US + 1
    model.run_turn()
    model.run_turn(CallEnded("x1", "e0", api.Outcome.DONE))
    assert model.orphan_front.messages[-1] == ("release", "e0", 16)
    assert len(model.ledger.recently_ended.orphans) == 1


def test_only_calls_that_cannot_outlive_the_process_are_released_at_its_end() -> None:
    for front_survives, link_survives in ((True, True), (True, False), (False, True)):
        model = model_with_standing_call()
        model.front.survives_restart, model.links["x1"].survives_restart = front_survives, link_survives
        model.ledger.release_nonsurviving()
        is_released = not (front_survives and link_survives)
        assert model.links["x1"].messages == [("release", "c1")] * is_released
        assert model.front.messages[1:] == [("release", "c1", 41)] * is_released
        assert model.ledger.standing_count() == (not is_released)


@pytest.mark.parametrize("state", [api.ExchangeState.DRAINING, api.ExchangeState.GONE])
def test_calls_at_a_draining_or_removed_switch_are_released_at_the_end_of_the_process(
    state: api.ExchangeState,
) -> None:
    # Guards against calls that are left to the next run, which never learns that their switch has stopped.
    model = model_with_standing_call()
    model.run_turn(api.ExchangeList(api.ListKind.CHANGES, (list_entry(1, state),)))
    model.ledger.release_nonsurviving()
    assert model.links["x1"].messages == [("release", "c1")]
    assert model.front.messages[1:] == [("release", "c1", 41)]


def test_calls_beyond_the_memory_for_pending_calls_are_refused_until_others_are_answered() -> None:
    model = Model()
    call = replace(offer(model.front, "c1"), text="x" * 10_000, front_bytes=1000)
    model.ledger.max_pending_bytes = pending_size(call)
    for name in ("c1", "c2"):
        model.checker.call_offered(name, 3.0)
        model.run_turn(replace(call, call=name))
    assert model.front.messages == [("refuse", "c2", PENDING_RETRY_AFTER_US)]
    model.step("answer", 0, 0)
    record = model.ledger.records["c1"]
    assert record.standing_attempt is not None
    assert model.ledger.pending_bytes == 0 and record.offer.text == record.standing_attempt.text == ""
    model.checker.call_offered("c3", 3.0)
    model.run_turn(replace(call, call="c3"))
    assert "c3" in model.ledger.records


def test_an_unknown_class_or_an_id_in_use_fails_that_call_alone() -> None:
    model = model_with_standing_call()
    other = CheckedFront(AssertingRuleChecker(lambda: 0.0, 0.0))
    other.checker.deadlines = {"c1": 1.0, "c7": 1.0}
    model.run_turn(offer(other, "c1"), replace(offer(other, "c7"), klass="plain_x"))
    assert other.messages == [("fail", "c1", Failure.UNFIT), ("fail", "c7", Failure.UNFIT)]
    assert model.front.messages == [("answer", "c1", "text")] and list(model.ledger.records) == ["c1"]


def offer_again(model: Model, transit: bool = False) -> None:
    """The call c1 is offered anew, by a caller that knows nothing of its first offer."""
    model.checker.final_answers.clear()
    model.checker.call_offered("c1", 3.0)
    model.front.messages.clear()
    model.run_turn(offer(model.front, "c1", transit=transit))


def test_an_id_that_may_have_run_at_a_switch_is_not_sent_again() -> None:
    # An id ran twice when it came again after its client had left.
    model = Model()
    model.step("offer", 0, 400)
    model.run_turn(Cancelled("c1"))
    offer_again(model)
    assert model.front.messages == [("fail", "c1", Failure.UNFIT)] and not model.ledger.records
    model.now += ENDED_CALL_RETENTION_US + 1
    model.run_turn()
    offer_again(model)
    assert model.front.messages == [] and "c1" in model.ledger.records


def test_an_id_that_never_ran_may_come_again() -> None:
    model = Model()
    model.step("offer", 0, 400)
    attempt = model.links["x1"].attempts["c1"]
    model.checker.ended_at_switch("c1", confirmed=True)
    model.run_turn(AttemptFailed("x1", "c1", attempt.number, api.Outcome.FULL), Cancelled("c1"))
    model.checker.in_flight.clear()
    offer_again(model)
    assert ("fail", "c1", Failure.UNFIT) not in model.front.messages and "c1" in model.ledger.records


def test_a_further_attempt_of_a_call_in_transit_waits_for_the_release_of_the_former() -> None:
    model = Model()
    model.step("offer", 6, 400)
    model.run_turn(Cancelled("c1"))
    model.now += RELEASE_GUARD_US - 1
    offer_again(model, transit=True)  # the checker holds that nothing is sent
    assert [message[0] for message in model.front.messages] == ["refuse"]
    model.now += RELEASE_GUARD_US
    offer_again(model, transit=True)
    assert model.front.messages == [] and model.ledger.records["c1"].current_attempt is not None


def test_the_ids_kept_of_ended_calls_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ended_calls, "MAX_ENDED_CALLS", 5)
    model = Model()
    for number in range(1, 20):
        model.step("offer", 0, 400)
        model.run_turn(Cancelled(f"c{number}"))
    assert list(model.ledger.recently_ended.calls) == [f"c{number}" for number in range(15, 20)]
    for number in range(100):  # never sent to a switch, so nothing is kept
        model.run_turn(offer(model.front, f"n{number}", dest=9), Cancelled(f"n{number}"))
    assert len(model.ledger.recently_ended.calls) == 5


def test_state_of_removed_switches_and_ended_calls_is_deleted() -> None:
    # Guards against leaks: every switch ever listed was kept, and every call's timer until its deadline.
    model, sizes = Model(), []
    agent = model.ledger.agent
    model.run_turn(api.ExchangeList(api.ListKind.CHANGES, (list_entry(1, api.ExchangeState.GONE),)))
    for generation in range(40):
        name = f"g{generation}"
        model.links[name] = CheckedLink(name, model.checker)
        up, gone = (
            list_entry(1, state, name=name) for state in (api.ExchangeState.UP, api.ExchangeState.GONE)
        )
        model.run_turn(api.ExchangeList(api.ListKind.CHANGES, (up,)))
        for _ in range(20):
            model.step("offer", 0, 100_000)
            model.step("offer", 7, 100_000)  # in transit, to x2
            model.step("answer", 0, 0)
            model.step("switch_release" if generation % 2 else "wait", 0, 20)
        del model.links[name]
        model.run_turn(api.ExchangeList(api.ListKind.CHANGES, (gone,)))
        for call, record in list(model.ledger.records.items()):
            standing = record.standing_attempt
            model.run_turn(
                CallEnded(standing.exchange, call, api.Outcome.DONE) if standing else Cancelled(call)
            )
        model.checker.standing.clear()
        model.checker.in_flight.clear()
        model.pass_time(model.now + SECOND_US)
        collections = [
            model.ledger.records,
            model.ledger.listed,
            agent.exchanges,
            agent.pending_calls,
            agent.paused_tandems,
            agent.active_list,
        ]
        sizes.append([len(collection) for collection in collections])
        assert len(model.ledger.timers) <= 2 * STALE_TIMER_SLACK
    assert sizes[-1] == sizes[0] == [0, 3, 3, 0, 0, 3]


def test_an_exception_in_the_decision_module_fails_that_call_alone() -> None:
    class FaultyAgent(CallAgent):
        def on_call(self, call: api.Call) -> None:
            if call.call == "c1":
                raise ValueError("odd")
            super().on_call(call)

    model = Model(FaultyAgent(SETTINGS, 1))
    model.step("offer", 0, 400)
    model.step("offer", 0, 400)
    assert [message[:2] for message in model.front.messages] == [("fail", "c1")]
    assert model.checker.in_flight == {"c2": "x1"}


def test_a_set_up_may_not_be_sent_once_its_switch_drains() -> None:
    model = Model()
    model.step("offer", 0, 400)
    attempt = model.links["x1"].attempts["c1"]
    assert model.ledger.may_send(attempt)
    model.step("list", 0, 1)
    assert not model.ledger.may_send(attempt)


def test_an_exception_in_a_link_fails_that_call_alone() -> None:
    model = Model()

    def broken(attempt: object) -> None:
        raise OSError("odd")

    model.links["x1"].set_up = broken  # type: ignore[method-assign, assignment]
    model.links["x1"].cancel = lambda call: None  # type: ignore[method-assign]
    model.step("offer", 0, 400)
    model.step("offer", 1, 400)
    assert [message[:2] for message in model.front.messages] == [("fail", "c1")]
    assert model.checker.in_flight == {"c2": "x2"}


def test_an_answer_in_the_turn_of_the_deadline_is_released_at_the_switch() -> None:
    # Guards against a call left standing at the switch: its link no longer had the attempt, so cancelling it
    # there sent nothing.
    model = Model()
    model.step("offer", 0, 1)
    attempt = model.links["x1"].attempts["c1"]
    model.now += 30_000
    model.checker.cancelled.add("c1")  # the caller has given up by now
    model.run_turn(Answered("x1", "c1", attempt.number, "late"))
    assert model.links["x1"].messages == [("release", "c1")]
    assert [message[0] for message in model.front.messages] == ["refuse"]


def test_a_wait_for_a_release_counts_from_when_a_stalled_turn_has_sent_its_output() -> None:
    """Guards against a second attempt too soon after the first was cancelled.

    A host may hold the interpreter in the middle of a turn: here the cancel is sent 400 ms after its start.
    """

    class RetryingAgent:
        """Makes another attempt as soon as the rules permit one."""

        def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
            match event:
                case api.Call():
                    return [api.SetUp(event.call, "x1", 10**8)]
                case api.AttemptEnded(final=False, outcome=api.Outcome.TIMED_OUT):
                    return [api.SetTimer(RELEASE_GUARD_US * 1000, "call " + event.call)]
                case api.TimerExpired():
                    return [api.SetUp(event.token.removeprefix("call "), "x2", 10**9)]
            return []

    model = Model(RetryingAgent())
    model.checker.call_offered("c1", 3.0)
    model.run_turn(offer(model.front, "c1"))
    model.now += SECOND_US // 10
    model.run_turn()  # the attempt times out, and its cancel is written
    (record,) = model.ledger.awaiting_release
    flushed_at = model.now + 400_000
    # The switch receives the cancel only now.
    model.checker.retry_not_before["c1"] = (flushed_at + RELEASE_GUARD_US) / SECOND_US
    model.ledger.output_flushed(flushed_at)
    assert not model.ledger.awaiting_release and record.next_attempt_at == flushed_at + RELEASE_GUARD_US
    model.pass_time(flushed_at + RELEASE_GUARD_US - 1)
    assert record.attempt_count == 1
    model.pass_time(flushed_at + RELEASE_GUARD_US + 1000)
    assert record.attempt_count == 2 and record.current_attempt is not None
    model.run_turn(Cancelled("c1"))


def test_a_turn_without_delay_moves_no_timers() -> None:
    model = Model()
    for name in ("c1", "c2"):
        model.checker.call_offered(name, 3.0)
        model.run_turn(offer(model.front, name))
    before = list(model.ledger.timers)
    model.run_turn(Cancelled("c1"))
    (record,) = model.ledger.awaiting_release
    next_attempt_at = record.next_attempt_at
    model.ledger.output_flushed(model.now + 4_000)
    assert record.next_attempt_at == next_attempt_at and before[0] in model.ledger.timers
