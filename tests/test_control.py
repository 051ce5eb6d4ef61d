"""Single decisions of the module: one small test for each failure found."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest
from conftest import (
    MS,
    SECOND,
    SETTINGS,
    START,
    AgentHarness,
    attempt_ended,
    call,
    exchange_list,
    list_entry,
    set_up_targets,
)

from rowanmast.call_agent import AdmissionGate, PendingCall
from rowanmast.interface import (
    CallAnswered,
    CallerHungUp,
    Cause,
    ExchangeState,
    FailCall,
    ListKind,
    LoadReport,
    LoadReported,
    LogMessage,
    Outcome,
    RefuseCall,
    RequestList,
    SetTimer,
    SetUp,
    Subscribe,
    TimerExpired,
)


def test_gate_is_open_until_a_level_is_set() -> None:
    gate = AdmissionGate(START)
    for step in range(200):
        gate.advance(START + step * 10 * MS)
        assert gate.admit(START + step * 10 * MS, 1.0)


def throttled_gate(level: float) -> tuple[AdmissionGate, int]:
    gate, now = AdmissionGate(START), START
    gate.level = level
    while not gate.throttled:
        now += 20 * MS
        gate.advance(now)
        gate.admit(now, 1.0)
    return gate, now


def test_gate_lets_the_set_rate_through_evenly() -> None:
    gate, now = throttled_gate(10.0)
    let = []
    for step in range(500):
        gate.advance(now + step * 20 * MS)
        if gate.admit(now + step * 20 * MS, 1.0):
            let.append(step)
    assert 70 <= len(let) <= 90  # 0.8 of the level over ten seconds
    assert max(b - a for a, b in itertools.pairwise(let)) <= 15


def test_throttled_rate_goes_to_worth_first() -> None:
    gate, now = throttled_gate(10.0)
    let = {0.5: 0, 3.0: 0}
    for step in range(500):
        worth = 3.0 if step % 5 == 0 else 0.5
        gate.advance(now + step * 20 * MS)
        let[worth] += gate.admit(now + step * 20 * MS, worth)
    assert let[3.0] / 100 > 2 * let[0.5] / 400


def test_level_of_a_span_that_let_nothing_through_is_not_zero() -> None:
    gate, now = throttled_gate(10.0)
    gate.level, gate.admitted = float("inf"), 0
    gate.adjust_level(now + SECOND, True)
    assert gate.level >= 1.0


def test_level_rises_until_the_gate_is_open() -> None:
    gate, now = throttled_gate(2.0)
    for second in range(1, 40):
        gate.adjust_level(now + second * SECOND, False)
    assert gate.level == float("inf")


def test_direct_while_the_group_has_room_else_a_remembered_tandem() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 5)
    assert set_up_targets(desk.handle_after(0, call("a"))) == ["x1"]
    desk.handle_after(50 * MS, CallAnswered("a", 0, "x1", 50 * MS))
    desk.report_circuits("x1", 0)
    tandems = set()
    for index in range(6):
        name = f"b{index}"
        (tandem,) = set_up_targets(desk.handle_after(MS, call(name)))
        desk.handle_after(50 * MS, CallAnswered(name, 0, tandem, 50 * MS))
        tandems.add(tandem)
    assert len(tandems) == 1 and "x1" not in tandems and "x0" not in tandems


def test_a_detour_turned_back_is_redrawn_and_rests() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 0)
    (first,) = set_up_targets(desk.handle_after(MS, call("a")))
    back = attempt_ended("a", first, Outcome.FULL, cause=Cause.CRANKBACK)
    (second,) = set_up_targets(desk.handle_after(30 * MS, back))
    assert second != first
    desk.handle_after(30 * MS, CallAnswered("a", 1, second, 30 * MS))
    for index in range(4):
        assert set_up_targets(desk.handle_after(MS, call(f"b{index}"))) == [second]
        desk.handle_after(20 * MS, CallAnswered(f"b{index}", 0, second, 20 * MS))


def test_the_shorter_the_calls_the_sooner_a_detour_or_a_busy_number_is_tried_again() -> None:
    short = replace(SETTINGS.classes[0], mean_hold_ns=SECOND)
    for settings, again in ((SETTINGS, False), (replace(SETTINGS, classes=(short,)), True)):
        desk = AgentHarness(settings)
        desk.handle_after(0, exchange_list(*(list_entry(number) for number in range(3))))  # one tandem, x2
        desk.report_circuits("x1", 0)
        assert set_up_targets(desk.handle_after(MS, call("a"))) == ["x2"]
        desk.handle_after(30 * MS, attempt_ended("a", "x2", Outcome.FULL, cause=Cause.CRANKBACK))
        desk.complete_setup("b", 2)
        assert (set_up_targets(desk.handle_after(100 * MS, call("c"))) == ["x2"]) is again
        desk = AgentHarness(settings)
        desk.handle_after(0, call("a", key="k"))
        desk.handle_after(30 * MS, attempt_ended("a", "x1", Outcome.BUSY, cause=Cause.LINES_BUSY))
        assert (set_up_targets(desk.handle_after(100 * MS, call("b", key="k"))) == ["x1"]) is again


def test_transit_goes_to_its_destination_or_is_turned_back() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 20)
    assert set_up_targets(desk.handle_after(0, call("a", transit=True))) == ["x1"]
    desk.report_circuits("x2", 2)  # few circuits: kept for direct calls
    assert desk.handle_after(0, call("b", dest=2, transit=True)) == [RefuseCall("b", 0)]
    assert set_up_targets(desk.handle_after(0, call("c", dest=2))) == ["x2"]


def test_unknown_circuits_are_not_taken_for_none() -> None:
    assert set_up_targets(AgentHarness().handle_after(0, call("a"))) == ["x1"]


def test_a_hung_exchange_is_left_alone_and_asked_singly() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a"))
    desk.handle_after(300 * MS, call("b", dest=2))
    assert (
        set_up_targets(desk.handle_after(0, call("c"))) == []
    )  # one late set-up: none of mean worth follows
    late = attempt_ended("a", "x1", Outcome.TIMED_OUT, delay_ns=3 * SECOND)
    desk.handle_after(3 * SECOND, late)
    assert set_up_targets(desk.handle_after(0, call("d"))) == []  # shut for a pause
    assert set_up_targets(desk.handle_after(2 * SECOND, call("e"))) == ["x1"]  # one set-up asks
    assert set_up_targets(desk.handle_after(0, call("f"))) == []
    desk.handle_after(50 * MS, CallAnswered("e", 0, "x1", 50 * MS))
    assert set_up_targets(desk.handle_after(0, call("g"))) == ["x1"]
    assert set_up_targets(desk.handle_after(0, call("h"))) == ["x1"]


def test_one_hung_exchange_does_not_shut_the_others() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a"))
    for index in range(20):
        desk.complete_setup(f"b{index}", 2 + index % 3)
    assert set_up_targets(desk.handle_after(0, call("c", dest=3))) == ["x3"]


def test_delay_at_all_far_ends_is_our_own() -> None:
    desk = AgentHarness()
    for dest in (1, 2, 3, 4):
        desk.handle_after(0, call(f"a{dest}", dest=dest))
    assert desk.handle_after(400 * MS, call("b", dest=1)) == [RefuseCall("b", 0)]


def test_a_stated_wait_is_obeyed() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a"))
    full = attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL, retry_after_ns=5 * SECOND)
    assert desk.handle_after(50 * MS, full) == [
        RefuseCall("a", SETTINGS.max_retry_after_ns)
    ]  # told when to come back
    assert set_up_targets(desk.handle_after(4 * SECOND, call("b"))) == []
    assert set_up_targets(desk.handle_after(SECOND, call("c"))) == ["x1"]


def test_full_beyond_shuts_the_destination_not_the_tandem() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 0)
    (tandem,) = set_up_targets(desk.handle_after(0, call("a")))
    desk.handle_after(50 * MS, attempt_ended("a", tandem, Outcome.FULL, cause=Cause.DESTINATION_FULL))
    assert set_up_targets(desk.handle_after(0, call("b", dest=int(tandem[1:])))) == [tandem]
    desk.report_circuits("x1", 9)
    assert set_up_targets(desk.handle_after(0, call("c"))) == []


def test_a_redial_past_its_aim_is_not_taken_for_a_fresh_call() -> None:
    desk = AgentHarness()
    desk.complete_setup("a")
    fresh = desk.agent.compute_priority(PendingCall(call("b", key="k"), 1, 0))
    desk.now += 3 * SECOND
    desk.agent.now = desk.now
    assert desk.agent.compute_priority(PendingCall(call("c", key="k"), 1, 0)) < 0.2 * fresh


def test_nothing_goes_to_a_draining_exchange_also_when_its_number_is_taken_over() -> None:
    desk = AgentHarness()
    desk.handle_after(0, exchange_list(list_entry(1, ExchangeState.DRAINING), kind=ListKind.CHANGES))
    assert desk.handle_after(0, call("a")) == [RefuseCall("a", 0)]
    new = list_entry(1, started=desk.now - 60 * SECOND, name="new")
    desk.handle_after(0, exchange_list(new, kind=ListKind.CHANGES))
    assert set_up_targets(desk.handle_after(0, call("b"))) == ["new"]
    desk.handle_after(0, exchange_list(list_entry(1, ExchangeState.GONE), kind=ListKind.CHANGES))
    assert set_up_targets(desk.handle_after(0, call("c"))) == ["new"]


def test_a_cold_exchange_gets_a_budget() -> None:
    desk = AgentHarness()
    desk.handle_after(0, exchange_list(list_entry(1, started=desk.now), kind=ListKind.CHANGES))
    sent = 0
    for index in range(20):
        sent += len(set_up_targets(desk.handle_after(MS, call(f"a{index}"))))
        desk.handle_after(10 * MS, CallAnswered(f"a{index}", 0, "x1", 10 * MS))
    assert sent == 0  # nothing is known of warm ones yet


def test_release_is_awaited_and_a_timer_after_the_hangup_is_passed_over() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a"))
    assert desk.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.CUT)) == [SetTimer(300 * MS, "call a")]
    assert desk.handle_after(100 * MS, TimerExpired("call a")) == []
    assert set_up_targets(desk.handle_after(200 * MS, TimerExpired("call a"))) != []
    desk.handle_after(50 * MS, CallerHungUp("a"))
    assert desk.handle_after(300 * MS, TimerExpired("call a")) == []
    assert desk.handle_after(0, TimerExpired("of another life")) == []


def test_no_time_for_the_release_ends_the_call() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a", remaining=SECOND))
    (action,) = desk.handle_after(900 * MS, attempt_ended("a", "x1", Outcome.TIMED_OUT))
    assert isinstance(action, RefuseCall) and action.retry_after_ns > 0


def test_an_unsafe_call_that_may_have_run_is_not_repeated() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a", klass=2))
    desk.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.CUT))
    assert desk.handle_after(SECOND, TimerExpired("call a")) == [FailCall("a")]
    desk.handle_after(0, call("b", klass=2, dest=2))
    desk.report_circuits("x2", 0)
    moot = attempt_ended("b", "x2", Outcome.NOT_SENT, cause=Cause.NO_CIRCUIT)
    assert set_up_targets(desk.handle_after(0, moot)) != []  # it never ran


def test_an_unknown_zone_is_no_group_in_common() -> None:
    zoned = replace(SETTINGS.classes[3], key_scope="zone")
    for zone, sent in ((None, False), ("north", True)):
        desk = AgentHarness(replace(SETTINGS, classes=(zoned,)))
        desk.handle_after(0, exchange_list(*(replace(list_entry(number), zone=zone) for number in range(5))))
        desk.handle_after(0, call("a"))
        desk.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.CUT))
        assert bool(set_up_targets(desk.handle_after(300 * MS, TimerExpired("call a")))) == sent


def test_list_is_asked_for_where_it_does_not_come() -> None:
    desk = AgentHarness(replace(SETTINGS, must_subscribe=True))
    entries = [list_entry(number) for number in range(5)]
    assert Subscribe() in desk.handle_after(0, exchange_list(*entries, kind=ListKind.SAVED))
    (timer,) = desk.handle_after(0, exchange_list(kind=ListKind.FAILED))
    assert isinstance(timer, SetTimer)
    assert desk.handle_after(timer.in_ns, TimerExpired(timer.token)) == [Subscribe()]
    assert set_up_targets(desk.handle_after(0, call("a"))) == ["x1"]  # the list held goes on


def test_failed_list_is_asked_for_once_where_changes_come_unasked() -> None:
    desk = AgentHarness()
    (timer,) = desk.handle_after(0, exchange_list(kind=ListKind.FAILED))
    assert isinstance(timer, SetTimer)
    assert desk.handle_after(timer.in_ns, TimerExpired(timer.token)) == [RequestList()]


def test_settings_unfit_to_act_on_refuse_with_one_note() -> None:
    desk = AgentHarness(replace(SETTINGS, classes=()))
    assert [type(action) for action in desk.handle_after(0, call("a"))] == [LogMessage, RefuseCall]
    assert desk.handle_after(0, call("b")) == [RefuseCall("b", 0)]


def test_pools_fall_back_to_one_with_the_skill() -> None:
    skilled = replace(SETTINGS.classes[0], skilled_pools=(1, 3))
    desk = AgentHarness(replace(SETTINGS, meshed=False, own_exchange=-1, classes=(skilled,)))
    assert set_up_targets(desk.handle_after(0, call("a"))) == ["x1"]
    desk.handle_after(50 * MS, CallAnswered("a", 0, "x1", 50 * MS))
    desk.report_circuits("x1", 0)
    assert set_up_targets(desk.handle_after(0, call("b"))) == ["x3"]


def test_time_out_of_a_set_up_leaves_time_for_the_answer() -> None:
    (action,) = AgentHarness().handle_after(0, call("a", remaining=SECOND))
    assert isinstance(action, SetUp)
    assert 0 < action.timeout_ns <= SECOND


def test_a_number_with_all_lines_busy_rests() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a", key="k"))
    busy = attempt_ended("a", "x1", Outcome.BUSY, cause=Cause.LINES_BUSY)
    (action,) = desk.handle_after(50 * MS, busy)
    assert isinstance(action, RefuseCall) and 150 * MS < action.retry_after_ns < 350 * MS
    assert set_up_targets(desk.handle_after(0, call("b", key="k"))) == []
    desk.complete_setup("c")
    assert set_up_targets(desk.handle_after(SECOND, call("d", key="k"))) == ["x1"]


def test_a_signalling_fault_is_tried_again_at_once_as_often_as_allowed() -> None:
    desk = AgentHarness()
    actions = desk.handle_after(0, call("a"))
    for attempt in range(SETTINGS.max_attempts):
        assert set_up_targets(actions) == ["x1"]
        actions = desk.handle_after(30 * MS, attempt_ended("a", "x1", Outcome.BUSY, attempt))
    assert actions == [RefuseCall("a", 0)]


def test_a_signalling_fault_of_a_tandem_leads_to_another_way() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 0)
    (first,) = set_up_targets(desk.handle_after(0, call("a")))
    (second,) = set_up_targets(desk.handle_after(30 * MS, attempt_ended("a", first, Outcome.BUSY)))
    assert len({"x1", first, second}) == 3


def test_a_signalling_fault_ends_a_call_that_may_not_be_repeated() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a", klass=2))
    assert desk.handle_after(30 * MS, attempt_ended("a", "x1", Outcome.BUSY)) == [FailCall("a")]


def test_a_call_for_a_shut_destination_waits_while_it_can_stand_in_time() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a"))
    full = attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL)
    (first,) = desk.handle_after(50 * MS, full)
    (second,) = desk.handle_after(0, call("b"))
    assert isinstance(first, SetTimer) and isinstance(second, SetTimer)
    assert set_up_targets(desk.handle_after(first.in_ns, TimerExpired(first.token))) == ["x1"]
    (third,) = desk.handle_after(0, TimerExpired(second.token))  # one at a time asks whether it is back
    assert isinstance(third, SetTimer) and third.token == second.token
    desk.handle_after(50 * MS, CallAnswered("a", 1, "x1", 50 * MS))
    assert set_up_targets(desk.handle_after(third.in_ns, TimerExpired(third.token))) == ["x1"]


def test_set_ups_that_left_before_a_refusal_was_heard_count_as_one_with_it() -> None:
    desk = AgentHarness()
    for index in range(5):
        desk.handle_after(MS, call(f"a{index}"))
    for index in range(5):
        full = attempt_ended(f"a{index}", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL, delay_ns=50 * MS)
        desk.handle_after(MS, full)
    assert desk.agent.exchanges["x1"].failures == 1
    (wait,) = desk.handle_after(0, call("b"))
    assert isinstance(wait, SetTimer)
    assert set_up_targets(desk.handle_after(wait.in_ns, TimerExpired(wait.token))) == ["x1"]
    desk.handle_after(50 * MS, replace(full, call="b", attempt=0))
    assert desk.agent.exchanges["x1"].failures == 2


def test_a_call_waits_for_no_longer_than_its_aim_and_not_while_the_gate_is_shut() -> None:
    full = attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL)
    short = replace(SETTINGS.classes[0], objective_ns=200 * MS)
    desk = AgentHarness(replace(SETTINGS, classes=(short,)))
    desk.handle_after(0, call("a"))
    assert desk.handle_after(50 * MS, full)[0].__class__ is RefuseCall
    desk = AgentHarness()
    desk.handle_after(0, call("a"))
    assert desk.agent.gate is not None
    desk.agent.gate.level = 5.0
    assert desk.handle_after(50 * MS, full)[0].__class__ is RefuseCall


def test_a_fresh_report_keeps_its_share_back_and_an_old_one_none() -> None:
    desk = AgentHarness()
    desk.handle_after(
        0, LoadReported("x1", True, 0, LoadReport(free_circuits=20, group_size=30, throttle_fraction=0.5))
    )
    sent = []
    for index in range(10):
        if set_up_targets(desk.handle_after(MS, call(f"a{index}"))):
            sent.append(index)
            desk.handle_after(MS, CallAnswered(f"a{index}", 0, "x1", MS))
    assert 3 <= len(sent) <= 7
    desk.now += 2 * SECOND
    for index in range(4):
        desk.complete_setup(f"b{index}")


def test_a_call_past_its_aim_yields_where_set_ups_were_late() -> None:
    desk = AgentHarness()
    desk.handle_after(0, call("a", key="k"))
    desk.handle_after(400 * MS, CallAnswered("a", 0, "x1", 400 * MS))
    desk.complete_setup("q", 2)  # so the wait is the far end's, not our own
    desk.now += SECOND
    assert set_up_targets(desk.handle_after(0, call("b"))) == ["x1"]
    desk.handle_after(50 * MS, CallAnswered("b", 0, "x1", 50 * MS))
    assert set_up_targets(desk.handle_after(700 * MS, call("c", key="k"))) == []
    assert set_up_targets(desk.handle_after(SECOND, call("d", key="k"))) == ["x1"]


def lose_answer(desk: AgentHarness, dest: int) -> None:
    """A set-up stays without an answer while a later one to the same exchange is answered."""
    desk.handle_after(0, call(f"lost {dest}", dest=dest))
    desk.handle_after(150 * MS, CallAnswered("x", 0, "x4", 50 * MS))
    desk.handle_after(60 * MS, call(f"later {dest}", dest=dest, klass=1))
    desk.handle_after(50 * MS, CallAnswered(f"later {dest}", 0, f"x{dest}", 50 * MS))


def test_a_lost_answer_is_given_up_early_and_shuts_nothing() -> None:
    desk = AgentHarness()
    (action,) = desk.handle_after(0, call("a"))
    assert isinstance(action, SetUp) and action.timeout_ns > 2 * SECOND
    desk.handle_after(50 * MS, CallAnswered("a", 0, "x1", 50 * MS))
    lose_answer(desk, 1)
    lose_answer(desk, 2)
    (action,) = desk.handle_after(0, call("b"))
    assert isinstance(action, SetUp) and action.timeout_ns < 2 * SECOND
    assert desk.handle_after(action.timeout_ns, attempt_ended("b", "x1", Outcome.TIMED_OUT)) == [
        SetTimer(300 * MS, "call b")
    ]
    assert set_up_targets(desk.handle_after(300 * MS, TimerExpired("call b"))) != []
    assert set_up_targets(desk.handle_after(0, call("c"))) == ["x1"]


def test_one_lost_answer_changes_nothing() -> None:
    desk = AgentHarness()
    lose_answer(desk, 1)
    (action,) = desk.handle_after(0, call("b"))
    assert isinstance(action, SetUp) and action.timeout_ns > 2 * SECOND


def test_the_advised_tandem_comes_before_one_drawn() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 0)
    assert set_up_targets(desk.handle_after(0, call("a", advised=3))) == ["x3"]
    desk.handle_after(50 * MS, CallAnswered("a", 0, "x3", 50 * MS))
    assert set_up_targets(desk.handle_after(0, call("b", advised=2))) == ["x3"]  # the one remembered first


def test_circuits_are_kept_back_from_cheap_detours_first() -> None:
    desk = AgentHarness()
    desk.complete_setup("mean")
    for number in range(2, 5):
        desk.report_circuits(f"x{number}", 4, 30)
    desk.report_circuits("x1", 0)
    assert set_up_targets(desk.handle_after(0, call("cheap"))) == []
    assert set_up_targets(desk.handle_after(0, call("dear", klass=1))) != []


@pytest.mark.parametrize("agents", [4, 20, 66])
def test_cold_budgets_add_up_for_any_number_of_agents(agents: int) -> None:
    sends = 8.0 / agents  # a second, from each agent to one warm exchange
    desks = [AgentHarness(replace(SETTINGS, agents=agents, agent_index=at), seed=at) for at in range(agents)]
    sent = []
    for desk in desks:
        desk.agent.send_rate = sends
        desk.handle_after(0, exchange_list(list_entry(1, started=desk.now), kind=ListKind.CHANGES))
    for step in range(60):
        for desk in desks:
            name = f"a{step}"
            if set_up_targets(desk.handle_after(100 * MS, call(name, klass=1))):
                sent.append(step)
                desk.handle_after(0, CallAnswered(name, 0, "x1", MS))
    allowed = 2 * 8.0 * SETTINGS.cold_share * SETTINGS.collapse_load
    busiest = max(sum(start <= step < start + 10 for step in sent) for start in range(50))
    assert busiest <= allowed  # in any second, though ten times as many ask
    assert len(sent) >= allowed * 6 / 3


def test_a_cold_exchange_is_asked_also_when_warm_ones_are_not_known() -> None:
    desk = AgentHarness()
    desk.handle_after(0, exchange_list(list_entry(1, started=desk.now), kind=ListKind.CHANGES))
    for index in range(60):
        desk.complete_setup(f"warm {index}", 2 + index % 3)
    assert any(set_up_targets(desk.handle_after(100 * MS, call(f"a{index}"))) for index in range(30))


@pytest.mark.parametrize(("agents", "first"), [(6, 0.225), (60, 2.25)])
def test_pauses_of_a_shut_exchange_grow_with_the_agents_that_ask(agents: int, first: float) -> None:
    desk = AgentHarness(replace(SETTINGS, agents=agents))
    desk.handle_after(0, call("a"))
    desk.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL))
    assert set_up_targets(desk.handle_after(int(0.7 * first * SECOND), call("b"))) == []
    assert set_up_targets(desk.handle_after(int(0.6 * first * SECOND), call("c"))) == ["x1"]


def test_a_restart_ends_the_pause() -> None:
    desk = AgentHarness(replace(SETTINGS, agents=60))
    desk.handle_after(0, call("a"))
    desk.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.UNREACHED))
    assert set_up_targets(desk.handle_after(SECOND, call("b"))) == []
    desk.handle_after(0, exchange_list(list_entry(1, started=desk.now - 60 * SECOND), kind=ListKind.CHANGES))
    assert set_up_targets(desk.handle_after(0, call("c"))) == ["x1"]


def test_the_roomiest_of_the_drawn_tandems_is_taken() -> None:
    desk = AgentHarness()
    desk.report_circuits("x1", 0)
    for number, free in ((2, 9), (3, 25), (4, 12)):
        desk.report_circuits(f"x{number}", free)
    assert set_up_targets(desk.handle_after(0, call("a"))) == ["x3"]


def test_no_early_end_for_calls_that_may_not_be_tried_again() -> None:
    desk = AgentHarness()
    lose_answer(desk, 1)
    lose_answer(desk, 2)
    for name, klass, transit in (("unsafe", 2, False), ("transit", 0, True)):
        (action,) = desk.handle_after(0, call(name, dest=3, klass=klass, transit=transit))
        assert isinstance(action, SetUp) and action.timeout_ns > 2 * SECOND
        desk.handle_after(50 * MS, CallAnswered(name, 0, "x3", 50 * MS))


def test_a_calm_exchange_on_a_long_way_is_not_late() -> None:
    # Where the way alone took about as long as the target, a millisecond more shut the gate for good.
    desk = AgentHarness()  # its target is 200 ms
    for index in range(3):
        desk.handle_after(0, call(f"a{index}"))
        desk.handle_after(190 * MS, CallAnswered(f"a{index}", 0, "x1", 190 * MS))
    desk.handle_after(0, call("b"))
    assert set_up_targets(desk.handle_after(250 * MS, call("c"))) == ["x1"]
    assert set_up_targets(desk.handle_after(100 * MS, call("d"))) == []  # past 1.6 times the quickest, it is


def test_a_set_up_overtaken_by_a_quicker_one_does_not_shut_its_exchange() -> None:
    # One answer that never came shut the way for as long as its caller waited, over a second each time.
    desk = AgentHarness()
    desk.complete_setup("first")
    assert set_up_targets(desk.handle_after(MS, call("lost"))) == ["x1"]
    desk.handle_after(55 * MS, call("later"))
    desk.handle_after(50 * MS, CallAnswered("later", 0, "x1", 50 * MS))
    assert not desk.agent.exchanges["x1"].unanswered
    desk.handle_after(SECOND, CallerHungUp("none"))
    assert set_up_targets(desk.handle_after(MS, call("next"))) == ["x1"]


def test_one_answer_that_was_held_up_does_not_cut_the_level() -> None:
    for slow, throttled in ((1, False), (4, True)):
        desk = AgentHarness()
        names = [f"slow {number}" for number in range(slow)]
        for name in names:
            desk.handle_after(MS, call(name))
        for number in range(4):
            desk.complete_setup(f"quick {number}")
        desk.handle_after(700 * MS, CallerHungUp("none"))
        for name in names:
            desk.handle_after(0, CallAnswered(name, 0, "x1", 900 * MS))
        desk.handle_after(SECOND, CallerHungUp("none"))
        assert desk.agent.gate is not None
        assert (desk.agent.gate.level < 100) == throttled


def test_calls_that_no_way_leads_to_do_not_count_at_the_gate() -> None:
    # A flood of calls to numbers that no exchange holds used up the rate of those that could be set up.
    desk = AgentHarness()
    desk.complete_setup("first")
    gate = desk.agent.gate
    assert gate is not None
    before = gate.arrivals
    for dest in (0, 99):
        (refused,) = desk.handle_after(MS, call(f"to {dest}", dest))
        assert isinstance(refused, RefuseCall)
    assert gate.arrivals == before
    desk.complete_setup("next")
    assert gate.arrivals == before + 1
