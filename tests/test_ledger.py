"""The ledger against the rules, also under a module that says anything at all."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

from conftest import SETTINGS, entry
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import RELEASE, US, Watch, WatchedFront, WatchedLink, full_list, offer

from rowanmast import interface as api
from rowanmast.control import CallAgent
from rowanmast.core.ledger import PAST_US, SPARE_DUES, Ledger, with_margin
from rowanmast.core.ports import (
    Answered,
    AttemptOver,
    CallOver,
    Cancelled,
    Ending,
    EndOwed,
    Failure,
    Input,
    Released,
    SwitchDown,
)

NAMES = ("x1", "x2", "x3")


class WildAgent:
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
                        api.TurnAway(call, 0),
                        api.GiveUp(call),
                        api.CallOff(call, pick.randrange(3)),
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
        self.now = 1000 * US
        self.watch = Watch(lambda: self.now / US, RELEASE / US - 1e-6, slack_s=1e-6)  # floats round
        self.front = WatchedFront(self.watch)
        self.links = {name: WatchedLink(name, self.watch) for name in ("x0", *NAMES)}
        agent = agent or CallAgent(with_margin(SETTINGS, 50_000), 3)
        self.heir = WatchedFront(self.watch)
        self.ledger = Ledger(SETTINGS, {"plain": 0}, agent, self.links, self.heir)
        self.serial = 0
        self.turn(full_list())

    def turn(self, *items: Input) -> None:
        self.ledger.turn(self.now, items)

    def pass_time(self, until: int) -> None:
        while (due := self.ledger.next_due()) is not None and due <= until:
            self.now = max(self.now, due)
            self.turn()
        self.now = until
        self.turn()

    def pick(self, names: Any, number: int) -> str:
        names = sorted(names)
        return names[number % len(names)] if names else "unknown"

    def step(self, kind: str, number: int, amount: int) -> None:
        out, standing = self.watch.out, self.watch.standing
        if kind == "offer":
            self.serial += 1
            name = f"c{self.serial}"
            left = (amount + 1) * 10_000
            self.watch.offered(name, left / US)
            self.turn(offer(self.front, name, 1 + number % 3, left, transit=number > 5))
        elif kind == "cancel":
            call = self.pick(set(self.watch.deadlines) - set(self.watch.finals), number)
            self.watch.gone(call)
            self.turn(Cancelled(call))
        elif kind == "release":
            call = self.pick(standing, number)
            self.watch.gone(call)
            self.turn(Released(call, 16))
        elif kind == "answer" and out:
            call = self.pick(out, number)
            exchange = out[call]
            self.watch.stood(call)
            self.turn(Answered(exchange, call, self.links[exchange].attempts[call].number, "text"))
        elif kind == "refuse" and out:
            call = self.pick(out, number)
            exchange = out[call]
            outcome = (api.Outcome.FULL, api.Outcome.CUT, api.Outcome.UNREACHED)[number % 3]
            self.watch.ended(call, proven=outcome is not api.Outcome.CUT)
            self.turn(AttemptOver(exchange, call, self.links[exchange].attempts[call].number, outcome))
        elif kind == "over" and standing:
            call = self.pick(standing, number)
            exchange = standing[call]
            self.watch.released_by_switch(call)
            self.turn(CallOver(exchange, call, api.Outcome.DONE))
        elif kind == "late":  # of an attempt that is no more: nothing may come of it
            self.turn(Answered("x1", f"c{number}", -1, "late"), AttemptOver("x2", f"c{number}", 9, OVER))
        elif kind == "list":
            name = NAMES[number % 3]
            state = (api.State.UP, api.State.DRAINING)[amount % 2]
            self.watch.barred.pop(name, None)
            if state is not api.State.UP:
                self.watch.barred[name] = self.now / US - 2.0  # at once, since the ledger knows it
            changed = entry(1 + number % 3, state)
            self.turn(api.ExchangeList(api.ListKind.CHANGES, (changed,)))
        elif kind == "wait":
            self.pass_time(self.now + amount * 1000)


OVER = api.Outcome.CUT
KINDS = ("offer", "offer", "answer", "refuse", "over", "cancel", "release", "late", "list", "wait", "wait")
steps = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 7), st.integers(0, 400)), max_size=60)


def play(model: Model, drawn: list[tuple[str, int, int]]) -> None:
    for kind, number, amount in drawn:
        model.step(kind, number, amount)
    model.pass_time(model.now + 10 * US)
    model.watch.all_answered()
    assert not model.ledger.owed()


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps)
def test_rules_hold_with_the_module(drawn: list[tuple[str, int, int]]) -> None:
    play(Model(), drawn)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(steps)
def test_rules_hold_whatever_a_module_says(drawn: list[tuple[str, int, int]]) -> None:
    play(Model(WildAgent()), drawn)


def stood() -> Model:
    model = Model()
    model.step("offer", 0, 400)
    model.step("answer", 0, 0)
    assert model.front.said == [("answer", "c1", "text")]
    return model


def test_an_answer_that_crosses_the_cancel_gets_its_release() -> None:
    model = stood()
    model.turn(Cancelled("c1"))
    assert model.links["x1"].said == [("release", "c1")]
    assert model.front.said[-1] == ("release", "c1", 16)


def test_an_answer_that_crosses_our_giving_up_is_released_at_the_switch() -> None:
    model = Model()
    model.step("offer", 0, 400)
    model.turn(Cancelled("c1"))
    model.turn(Answered("x1", "c1", -1, "late"))
    assert model.links["x1"].said == [("call_off", "c1"), ("release", "c1")]
    assert [said[0] for said in model.front.said] == ["fail"]


def test_a_second_ready_of_a_standing_call_does_not_end_it() -> None:
    model = stood()
    model.turn(Answered("x1", "c1", -1, "text"))
    assert model.links["x1"].said == []


GONE = api.ExchangeList(api.ListKind.CHANGES, (entry(1, api.State.GONE),))


def test_a_switch_that_is_proven_dead_or_lost_cuts_what_stood_there() -> None:
    lost = CallOver("x1", "c1", api.Outcome.CUT, why=Ending.SWITCH_LOST)
    removed = CallOver("x1", "c1", api.Outcome.CUT, why=Ending.SWITCH_REMOVED)
    for news in ((SwitchDown("x1"),), (lost,), (GONE, removed)):
        model = stood()
        model.turn(*news)
        assert model.front.said[-1] == ("release", "c1", 41)
        assert not model.ledger.records


def test_a_removed_switch_keeps_what_stands_until_its_end_and_loses_what_is_being_set_up() -> None:
    model = stood()
    model.turn(GONE)
    assert model.front.said == [("answer", "c1", "text")]
    model.turn(CallOver("x1", "c1", api.Outcome.DONE))
    assert model.front.said[-1] == ("release", "c1", 16)
    model = Model()
    model.step("offer", 0, 400)
    model.turn(GONE)
    assert model.links["x1"].said == [("call_off", "c1")]


def test_a_router_that_ends_answers_what_it_owes_and_calls_off_what_is_out() -> None:
    for klass, answer in (("plain", "refuse"), ("unsafe", "fail")):
        model = Model()
        model.ledger.classes = {"plain": 0, "unsafe": 2}
        model.watch.offered("c1", 3.0)
        model.turn(replace(offer(model.front, "c1"), klass=klass))
        assert "c1" in model.links["x1"].attempts
        model.turn(EndOwed())
        assert [said[:2] for said in model.front.said] == [(answer, "c1")]
        assert ("call_off", "c1") in model.links["x1"].said
        assert not model.ledger.records


def test_the_end_of_an_unknown_call_is_passed_on_only_by_the_word_of_a_switch() -> None:
    model = stood()
    model.turn(CallOver("x1", "e1", api.Outcome.CUT, why=Ending.SWITCH_LOST))
    assert model.heir.said == []


def test_the_end_of_a_call_that_an_earlier_run_left_standing_is_told() -> None:
    model = stood()
    model.step("over", 0, 0)
    model.turn(CallOver("x1", "c1", api.Outcome.DONE))  # twice: it is no call of an earlier run
    assert model.heir.said == []
    model.turn(CallOver("x1", "e1", api.Outcome.DONE), CallOver("x1", "e2", api.Outcome.CUT))
    assert model.heir.said == [("release", "e1", 16), ("release", "e2", 41)]
    model.pass_time(model.now + PAST_US + 1)
    assert not model.ledger.past


def test_only_calls_that_cannot_stand_without_us_are_released_when_we_leave() -> None:
    for calling, called in ((True, True), (True, False), (False, True)):
        model = stood()
        model.front.lasting, model.links["x1"].lasting = calling, called
        model.ledger.release_bound()
        bound = not (calling and called)
        assert model.links["x1"].said == [("release", "c1")] * bound
        assert model.front.said[1:] == [("release", "c1", 41)] * bound


def test_an_unknown_class_and_an_id_in_use_are_answered_and_touch_no_other_call() -> None:
    model = stood()
    other = WatchedFront(Watch(lambda: 0.0, 0.0))
    other.watch.deadlines = {"c1": 1.0, "c7": 1.0}
    model.turn(offer(other, "c1"), replace(offer(other, "c7"), klass="plain_x"))
    assert other.said == [("fail", "c1", Failure.UNFIT), ("fail", "c7", Failure.UNFIT)]
    assert model.front.said == [("answer", "c1", "text")] and list(model.ledger.records) == ["c1"]


def test_nothing_is_kept_of_switches_and_calls_that_are_gone() -> None:
    # Every switch ever listed and every call's deadline stayed, for as long as the caller had named.
    model, sizes = Model(), []
    agent = model.ledger.agent
    model.turn(api.ExchangeList(api.ListKind.CHANGES, (entry(1, api.State.GONE),)))
    for generation in range(40):
        name = f"g{generation}"
        model.links[name] = WatchedLink(name, model.watch)
        up, gone = (entry(1, state, name=name) for state in (api.State.UP, api.State.GONE))
        model.turn(api.ExchangeList(api.ListKind.CHANGES, (up,)))
        for _ in range(20):
            model.step("offer", 0, 100_000)
            model.step("offer", 7, 100_000)  # in transit: refused
            model.step("answer", 0, 0)
            model.step("over" if generation % 2 else "wait", 0, 20)
        del model.links[name]
        model.turn(api.ExchangeList(api.ListKind.CHANGES, (gone,)))
        for call, record in list(model.ledger.records.items()):
            at = record.stands
            model.turn(CallOver(at.exchange, call, api.Outcome.DONE) if at else Cancelled(call))
        model.watch.standing.clear()
        model.watch.out.clear()
        model.pass_time(model.now + US)
        held = [model.ledger.records, model.ledger.listed, agent.fars, agent.held, agent.backs, agent.ready]
        sizes.append([len(kept) for kept in held])
        assert len(model.ledger.dues) <= 2 * SPARE_DUES
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
    assert [said[:2] for said in model.front.said] == [("fail", "c1")]
    assert model.watch.out == {"c2": "x1"}


def test_a_set_up_may_not_leave_once_its_switch_drains() -> None:
    model = Model()
    model.step("offer", 0, 400)
    attempt = model.links["x1"].attempts["c1"]
    assert model.ledger.may_leave(attempt)
    model.step("list", 0, 1)
    assert not model.ledger.may_leave(attempt)


def test_an_exception_in_a_link_fails_that_call_alone() -> None:
    model = Model()

    def broken(attempt: object) -> None:
        raise OSError("odd")

    model.links["x1"].set_up = broken  # type: ignore[method-assign, assignment]
    model.links["x1"].call_off = lambda call: None  # type: ignore[method-assign]
    model.step("offer", 0, 400)
    model.step("offer", 1, 400)
    assert [said[:2] for said in model.front.said] == [("fail", "c1")]
    assert model.watch.out == {"c2": "x2"}


def test_an_answer_in_the_turn_of_the_deadline_is_released_at_the_switch() -> None:
    # Its link no longer had it as a set-up, so calling it off there told the switch nothing.
    model = Model()
    model.step("offer", 0, 1)
    out = model.links["x1"].attempts["c1"]
    model.now += 30_000
    model.watch.withdrawn.add("c1")  # by now the caller has given up
    model.turn(Answered("x1", "c1", out.number, "late"))
    assert model.links["x1"].said == [("release", "c1")]
    assert [said[0] for said in model.front.said] == ["refuse"]


def test_a_wait_for_a_release_counts_from_when_the_bytes_of_a_stalled_turn_left() -> None:
    """A host may hold the interpreter in mid-turn: here the cancel leaves 400 ms after its begin."""

    class Again:
        """Sends a call again as soon as the module may, whatever has happened to it."""

        def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
            match event:
                case api.Call():
                    return [api.SetUp(event.call, "x1", 10**8)]
                case api.Ended(final=False, outcome=api.Outcome.TIMED_OUT):
                    return [api.SetTimer(RELEASE * 1000, "call " + event.call)]
                case api.TimerDue():
                    return [api.SetUp(event.token.removeprefix("call "), "x2", 10**9)]
            return []

    model = Model(Again())
    model.watch.offered("c1", 3.0)
    model.turn(offer(model.front, "c1"))
    model.now += US // 10
    model.turn()  # the attempt times out, and what takes it back is written
    (record,) = model.ledger.freed
    stalled = model.now + 400_000
    model.watch.not_before["c1"] = (stalled + RELEASE) / US  # the switch hears of it only now
    model.ledger.left_by(stalled)
    assert not model.ledger.freed and record.not_before == stalled + RELEASE
    model.pass_time(stalled + RELEASE - 1)
    assert record.sends == 1
    model.pass_time(stalled + RELEASE + 1000)
    assert record.sends == 2 and record.out is not None
    model.turn(Cancelled("c1"))


def test_turns_that_took_no_time_move_nothing() -> None:
    model = Model()
    for name in ("c1", "c2"):
        model.watch.offered(name, 3.0)
        model.turn(offer(model.front, name))
    before = list(model.ledger.dues)
    model.turn(Cancelled("c1"))
    (record,) = model.ledger.freed
    not_before = record.not_before
    model.ledger.left_by(model.now + 4_000)
    assert record.not_before == not_before and before[0] in model.ledger.dues
