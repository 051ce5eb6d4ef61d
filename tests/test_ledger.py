"""The ledger against the rules, also under a module that says anything at all."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

from conftest import SETTINGS, list_entry
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import RELEASE_GUARD_US, SECOND_US, CheckedFront, CheckedLink, RuleChecker, full_list, offer

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.core.ledger import ENDED_CALL_RETENTION_US, STALE_TIMER_SLACK, Ledger, with_release_margin
from rowanmast.core.ports import (
    Answered,
    AttemptEnded,
    CallEnded,
    Cancelled,
    Ending,
    EndUnanswered,
    Failure,
    Input,
    Released,
    SwitchDown,
)

NAMES = ("x1", "x2", "x3")


class RandomAgent:
    """Says whatever it likes: the ledger's guards must keep the rules without it."""

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
    """A ledger between fronts and links that have no wire, and what may happen to it."""

    def __init__(self, agent: Any = None) -> None:
        self.now = 1000 * SECOND_US
        self.checker = RuleChecker(
            lambda: self.now / SECOND_US, RELEASE_GUARD_US / SECOND_US - 1e-6, tolerance_s=1e-6
        )  # floats round
        self.front = CheckedFront(self.checker)
        self.links = {name: CheckedLink(name, self.checker) for name in ("x0", *NAMES)}
        agent = agent or CallAgent(with_release_margin(SETTINGS, 50_000), 3)
        self.orphan_front = CheckedFront(self.checker)
        self.ledger = Ledger(SETTINGS, {"plain": 0}, agent, self.links, self.orphan_front)
        self.serial = 0
        self.turn(full_list())

    def turn(self, *items: Input) -> None:
        self.ledger.turn(self.now, items)

    def pass_time(self, until: int) -> None:
        while (due := self.ledger.next_timer()) is not None and due <= until:
            self.now = max(self.now, due)
            self.turn()
        self.now = until
        self.turn()

    def pick(self, names: Any, number: int) -> str:
        names = sorted(names)
        return names[number % len(names)] if names else "unknown"

    def step(self, kind: str, number: int, amount: int) -> None:
        out, standing = self.checker.in_flight, self.checker.standing
        if kind == "offer":
            self.serial += 1
            name = f"c{self.serial}"
            left = (amount + 1) * 10_000
            self.checker.call_offered(name, left / SECOND_US)
            self.turn(offer(self.front, name, 1 + number % 3, left, transit=number > 5))
        elif kind == "cancel":
            call = self.pick(set(self.checker.deadlines) - set(self.checker.final_answers), number)
            self.checker.ended_by_caller(call)
            self.turn(Cancelled(call))
        elif kind == "release":
            call = self.pick(standing, number)
            self.checker.ended_by_caller(call)
            self.turn(Released(call, 16))
        elif kind == "answer" and out:
            call = self.pick(out, number)
            exchange = out[call]
            self.checker.stood(call)
            self.turn(Answered(exchange, call, self.links[exchange].attempts[call].number, "text"))
        elif kind == "refuse" and out:
            call = self.pick(out, number)
            exchange = out[call]
            outcome = (api.Outcome.FULL, api.Outcome.CUT, api.Outcome.UNREACHED)[number % 3]
            self.checker.ended_at_switch(call, confirmed=outcome is not api.Outcome.CUT)
            self.turn(AttemptEnded(exchange, call, self.links[exchange].attempts[call].number, outcome))
        elif kind == "over" and standing:
            call = self.pick(standing, number)
            exchange = standing[call]
            self.checker.released_by_switch(call)
            self.turn(CallEnded(exchange, call, api.Outcome.DONE))
        elif kind == "late":  # of an attempt that is no more: nothing may come of it
            self.turn(Answered("x1", f"c{number}", -1, "late"), AttemptEnded("x2", f"c{number}", 9, ENDED))
        elif kind == "list":
            name = NAMES[number % 3]
            state = (api.ExchangeState.UP, api.ExchangeState.DRAINING)[amount % 2]
            self.checker.draining_since.pop(name, None)
            if state is not api.ExchangeState.UP:
                self.checker.draining_since[name] = (
                    self.now / SECOND_US - 2.0
                )  # at once, since the ledger knows it
            changed = list_entry(1 + number % 3, state)
            self.turn(api.ExchangeList(api.ListKind.CHANGES, (changed,)))
        elif kind == "wait":
            self.pass_time(self.now + amount * 1000)


ENDED = api.Outcome.CUT
KINDS = ("offer", "offer", "answer", "refuse", "over", "cancel", "release", "late", "list", "wait", "wait")
steps = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 7), st.integers(0, 400)), max_size=60)


def run_steps(model: Model, drawn: list[tuple[str, int, int]]) -> None:
    for kind, number, amount in drawn:
        model.step(kind, number, amount)
    model.pass_time(model.now + 10 * SECOND_US)
    model.checker.assert_all_answered()
    assert not model.ledger.unanswered_count()


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps)
def test_rules_hold_with_the_module(drawn: list[tuple[str, int, int]]) -> None:
    run_steps(Model(), drawn)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps)
def test_rules_hold_whatever_a_module_says(drawn: list[tuple[str, int, int]]) -> None:
    run_steps(Model(RandomAgent()), drawn)


def model_with_standing_call() -> Model:
    model = Model()
    model.step("offer", 0, 400)
    model.step("answer", 0, 0)
    assert model.front.messages == [("answer", "c1", "text")]
    return model


def test_an_answer_that_crosses_the_cancel_gets_its_release() -> None:
    model = model_with_standing_call()
    model.turn(Cancelled("c1"))
    assert model.links["x1"].messages == [("release", "c1")]
    assert model.front.messages[-1] == ("release", "c1", 16)


def test_an_answer_that_crosses_our_giving_up_is_released_at_the_switch() -> None:
    model = Model()
    model.step("offer", 0, 400)
    model.turn(Cancelled("c1"))
    model.turn(Answered("x1", "c1", -1, "late"))
    assert model.links["x1"].messages == [("cancel", "c1"), ("release", "c1")]
    assert [said[0] for said in model.front.messages] == ["fail"]


def test_a_second_ready_of_a_standing_call_does_not_end_it() -> None:
    model = model_with_standing_call()
    model.turn(Answered("x1", "c1", -1, "text"))
    assert model.links["x1"].messages == []


GONE = api.ExchangeList(api.ListKind.CHANGES, (list_entry(1, api.ExchangeState.GONE),))


def test_a_switch_that_is_proven_dead_or_lost_cuts_what_stood_there() -> None:
    lost = CallEnded("x1", "c1", api.Outcome.CUT, why=Ending.SWITCH_LOST)
    removed = CallEnded("x1", "c1", api.Outcome.CUT, why=Ending.SWITCH_REMOVED)
    for news in ((SwitchDown("x1"),), (lost,), (GONE, removed)):
        model = model_with_standing_call()
        model.turn(*news)
        assert model.front.messages[-1] == ("release", "c1", 41)
        assert not model.ledger.records


def test_a_removed_switch_keeps_what_stands_until_its_end_and_loses_what_is_being_set_up() -> None:
    model = model_with_standing_call()
    model.turn(GONE)
    assert model.front.messages == [("answer", "c1", "text")]
    model.turn(CallEnded("x1", "c1", api.Outcome.DONE))
    assert model.front.messages[-1] == ("release", "c1", 16)
    model = Model()
    model.step("offer", 0, 400)
    model.turn(GONE)
    assert model.links["x1"].messages == [("cancel", "c1")]


def test_a_router_that_ends_answers_what_it_owes_and_calls_off_what_is_out() -> None:
    for klass, answer in (("plain", "refuse"), ("unsafe", "fail")):
        model = Model()
        model.ledger.classes = {"plain": 0, "unsafe": 2}
        model.checker.call_offered("c1", 3.0)
        model.turn(replace(offer(model.front, "c1"), klass=klass))
        assert "c1" in model.links["x1"].attempts
        model.turn(EndUnanswered())
        assert [said[:2] for said in model.front.messages] == [(answer, "c1")]
        assert ("cancel", "c1") in model.links["x1"].messages
        assert not model.ledger.records


def test_the_end_of_an_unknown_call_is_passed_on_only_by_the_word_of_a_switch() -> None:
    model = model_with_standing_call()
    model.turn(CallEnded("x1", "e1", api.Outcome.CUT, why=Ending.SWITCH_LOST))
    assert model.orphan_front.messages == []


def test_the_end_of_a_call_that_an_earlier_run_left_standing_is_told() -> None:
    model = model_with_standing_call()
    model.step("over", 0, 0)
    model.turn(CallEnded("x1", "c1", api.Outcome.DONE))  # twice: it is no call of an earlier run
    assert model.orphan_front.messages == []
    model.turn(CallEnded("x1", "e1", api.Outcome.DONE), CallEnded("x1", "e2", api.Outcome.CUT))
    assert model.orphan_front.messages == [("release", "e1", 16), ("release", "e2", 41)]
    model.pass_time(model.now + ENDED_CALL_RETENTION_US + 1)
    assert not model.ledger.recently_ended


def test_only_calls_that_cannot_stand_without_us_are_released_when_we_leave() -> None:
    for calling, called in ((True, True), (True, False), (False, True)):
        model = model_with_standing_call()
        model.front.survives_restart, model.links["x1"].survives_restart = calling, called
        model.ledger.release_nonsurviving()
        bound = not (calling and called)
        assert model.links["x1"].messages == [("release", "c1")] * bound
        assert model.front.messages[1:] == [("release", "c1", 41)] * bound


def test_an_unknown_class_and_an_id_in_use_are_answered_and_touch_no_other_call() -> None:
    model = model_with_standing_call()
    other = CheckedFront(RuleChecker(lambda: 0.0, 0.0))
    other.checker.deadlines = {"c1": 1.0, "c7": 1.0}
    model.turn(offer(other, "c1"), replace(offer(other, "c7"), klass="plain_x"))
    assert other.messages == [("fail", "c1", Failure.UNFIT), ("fail", "c7", Failure.UNFIT)]
    assert model.front.messages == [("answer", "c1", "text")] and list(model.ledger.records) == ["c1"]


def test_nothing_is_kept_of_switches_and_calls_that_are_gone() -> None:
    # Every switch ever listed and every call's deadline stayed, for as long as the caller had named.
    model, sizes = Model(), []
    agent = model.ledger.agent
    model.turn(api.ExchangeList(api.ListKind.CHANGES, (list_entry(1, api.ExchangeState.GONE),)))
    for generation in range(40):
        name = f"g{generation}"
        model.links[name] = CheckedLink(name, model.checker)
        up, gone = (
            list_entry(1, state, name=name) for state in (api.ExchangeState.UP, api.ExchangeState.GONE)
        )
        model.turn(api.ExchangeList(api.ListKind.CHANGES, (up,)))
        for _ in range(20):
            model.step("offer", 0, 100_000)
            model.step("offer", 7, 100_000)  # in transit: refused
            model.step("answer", 0, 0)
            model.step("over" if generation % 2 else "wait", 0, 20)
        del model.links[name]
        model.turn(api.ExchangeList(api.ListKind.CHANGES, (gone,)))
        for call, record in list(model.ledger.records.items()):
            at = record.standing_attempt
            model.turn(CallEnded(at.exchange, call, api.Outcome.DONE) if at else Cancelled(call))
        model.checker.standing.clear()
        model.checker.in_flight.clear()
        model.pass_time(model.now + SECOND_US)
        held = [
            model.ledger.records,
            model.ledger.listed,
            agent.exchanges,
            agent.pending,
            agent.paused,
            agent.candidates,
        ]
        sizes.append([len(kept) for kept in held])
        assert len(model.ledger.timers) <= 2 * STALE_TIMER_SLACK
    assert sizes[-1] == sizes[0] == [0, 3, 3, 0, 0, 3]


def test_an_exception_in_one_call_answers_it_and_no_other() -> None:
    class Odd(CallAgent):
        def on_call(self, call: api.Call) -> None:
            if call.call == "c1":
                raise ValueError("odd")
            super().on_call(call)

    model = Model(Odd(SETTINGS, 1))
    model.step("offer", 0, 400)
    model.step("offer", 0, 400)
    assert [said[:2] for said in model.front.messages] == [("fail", "c1")]
    assert model.checker.in_flight == {"c2": "x1"}


def test_a_set_up_may_not_leave_once_its_switch_drains() -> None:
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
    assert [said[:2] for said in model.front.messages] == [("fail", "c1")]
    assert model.checker.in_flight == {"c2": "x2"}


def test_an_answer_in_the_turn_of_the_deadline_is_released_at_the_switch() -> None:
    # Its link no longer had it as a set-up, so calling it off there told the switch nothing.
    model = Model()
    model.step("offer", 0, 1)
    out = model.links["x1"].attempts["c1"]
    model.now += 30_000
    model.checker.cancelled.add("c1")  # by now the caller has given up
    model.turn(Answered("x1", "c1", out.number, "late"))
    assert model.links["x1"].messages == [("release", "c1")]
    assert [said[0] for said in model.front.messages] == ["refuse"]


def test_a_wait_for_a_release_counts_from_when_the_bytes_of_a_stalled_turn_left() -> None:
    """A host may hold the interpreter in mid-turn: here the cancel leaves 400 ms after its begin."""

    class Again:
        """Sends a call again as soon as the module may, whatever has happened to it."""

        def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
            match event:
                case api.Call():
                    return [api.SetUp(event.call, "x1", 10**8)]
                case api.AttemptEnded(final=False, outcome=api.Outcome.TIMED_OUT):
                    return [api.SetTimer(RELEASE_GUARD_US * 1000, "call " + event.call)]
                case api.TimerExpired():
                    return [api.SetUp(event.token.removeprefix("call "), "x2", 10**9)]
            return []

    model = Model(Again())
    model.checker.call_offered("c1", 3.0)
    model.turn(offer(model.front, "c1"))
    model.now += SECOND_US // 10
    model.turn()  # the attempt times out, and what takes it back is written
    (record,) = model.ledger.awaiting_release
    stalled = model.now + 400_000
    model.checker.retry_not_before["c1"] = (
        stalled + RELEASE_GUARD_US
    ) / SECOND_US  # the switch hears of it only now
    model.ledger.output_flushed(stalled)
    assert not model.ledger.awaiting_release and record.next_attempt_at == stalled + RELEASE_GUARD_US
    model.pass_time(stalled + RELEASE_GUARD_US - 1)
    assert record.attempt_count == 1
    model.pass_time(stalled + RELEASE_GUARD_US + 1000)
    assert record.attempt_count == 2 and record.current_attempt is not None
    model.turn(Cancelled("c1"))


def test_turns_that_took_no_time_move_nothing() -> None:
    model = Model()
    for name in ("c1", "c2"):
        model.checker.call_offered(name, 3.0)
        model.turn(offer(model.front, name))
    before = list(model.ledger.timers)
    model.turn(Cancelled("c1"))
    (record,) = model.ledger.awaiting_release
    not_before = record.next_attempt_at
    model.ledger.output_flushed(model.now + 4_000)
    assert record.next_attempt_at == not_before and before[0] in model.ledger.timers
