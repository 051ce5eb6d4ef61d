"""Single decisions of the call agent and its admission gate: a small test for each failure found.

The classes of calls are 0 plain, 1 valuable, 2 unsafe and 3 keyed (`SETTINGS` in `conftest.py`); the agent's
own exchange is x0. The values of a `CallAnswered` are call, attempt, exchange and delay.
"""

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


def test_gate_admits_every_call_until_a_level_is_set() -> None:
    gate = AdmissionGate(START)
    for step in range(200):
        gate.advance(START + step * 10 * MS)
        assert gate.admit(START + step * 10 * MS, 1.0)


def throttled_gate(level: float) -> tuple[AdmissionGate, int]:
    """A gate after arrivals above its level, and the time at which it throttles."""
    gate, now = AdmissionGate(START), START
    gate.level = level
    while not gate.throttled:
        now += 20 * MS
        gate.advance(now)
        gate.admit(now, 1.0)
    return gate, now


def test_a_throttled_gate_admits_the_set_rate_evenly_spaced() -> None:
    gate, now = throttled_gate(10.0)
    admitted = []
    for step in range(500):
        gate.advance(now + step * 20 * MS)
        if gate.admit(now + step * 20 * MS, 1.0):
            admitted.append(step)
    assert 70 <= len(admitted) <= 90  # 0.8 of the level over 10 s
    assert max(b - a for a, b in itertools.pairwise(admitted)) <= 15


def test_a_throttled_gate_prefers_calls_of_high_priority() -> None:
    gate, now = throttled_gate(10.0)
    admitted = {0.5: 0, 3.0: 0}
    for step in range(500):
        priority = 3.0 if step % 5 == 0 else 0.5
        gate.advance(now + step * 20 * MS)
        admitted[priority] += gate.admit(now + step * 20 * MS, priority)
    assert admitted[3.0] / 100 > 2 * admitted[0.5] / 400


def test_the_level_is_not_zero_after_an_interval_without_admissions() -> None:
    gate, now = throttled_gate(10.0)
    gate.level, gate.admitted_count = float("inf"), 0
    gate.adjust_level(now + SECOND, True)
    assert gate.level >= 1.0


def test_the_level_rises_until_the_gate_is_open() -> None:
    gate, now = throttled_gate(2.0)
    for second in range(1, 40):
        gate.adjust_level(now + second * SECOND, False)
    assert gate.level == float("inf")


def test_calls_go_direct_while_circuits_are_free_and_else_by_one_tandem() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 5)
    assert set_up_targets(harness.handle_after(0, call("a"))) == ["x1"]
    harness.handle_after(50 * MS, CallAnswered("a", 0, "x1", 50 * MS))
    harness.report_circuits("x1", 0)
    tandems = set()
    for index in range(6):
        name = f"b{index}"
        (tandem,) = set_up_targets(harness.handle_after(MS, call(name)))
        harness.handle_after(50 * MS, CallAnswered(name, 0, tandem, 50 * MS))
        tandems.add(tandem)
    assert len(tandems) == 1 and "x1" not in tandems and "x0" not in tandems


def test_a_tandem_is_replaced_and_paused_after_crankback() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 0)
    (first,) = set_up_targets(harness.handle_after(MS, call("a")))
    crankback = attempt_ended("a", first, Outcome.FULL, cause=Cause.CRANKBACK)
    (second,) = set_up_targets(harness.handle_after(30 * MS, crankback))
    assert second != first
    harness.handle_after(30 * MS, CallAnswered("a", 1, second, 30 * MS))
    for index in range(4):
        assert set_up_targets(harness.handle_after(MS, call(f"b{index}"))) == [second]
        harness.handle_after(20 * MS, CallAnswered(f"b{index}", 0, second, 20 * MS))


def test_pauses_of_tandems_and_busy_numbers_scale_with_the_holding_time() -> None:
    short_calls = replace(SETTINGS.classes[0], mean_hold_ns=SECOND)
    for settings, used_again in ((SETTINGS, False), (replace(SETTINGS, classes=(short_calls,)), True)):
        harness = AgentHarness(settings)
        harness.handle_after(0, exchange_list(*(list_entry(number) for number in range(3))))  # one tandem, x2
        harness.report_circuits("x1", 0)
        assert set_up_targets(harness.handle_after(MS, call("a"))) == ["x2"]
        harness.handle_after(30 * MS, attempt_ended("a", "x2", Outcome.FULL, cause=Cause.CRANKBACK))
        harness.complete_setup("b", 2)
        assert (set_up_targets(harness.handle_after(100 * MS, call("c"))) == ["x2"]) is used_again
        harness = AgentHarness(settings)
        harness.handle_after(0, call("a", key="k"))
        harness.handle_after(30 * MS, attempt_ended("a", "x1", Outcome.BUSY, cause=Cause.LINES_BUSY))
        assert (set_up_targets(harness.handle_after(100 * MS, call("b", key="k"))) == ["x1"]) is used_again


def test_a_transit_call_goes_to_its_destination_or_is_refused() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 20)
    assert set_up_targets(harness.handle_after(0, call("a", transit=True))) == ["x1"]
    harness.report_circuits("x2", 2)  # few circuits: reserved for direct calls
    assert harness.handle_after(0, call("b", dest=2, transit=True)) == [RefuseCall("b", 0)]
    assert set_up_targets(harness.handle_after(0, call("c", dest=2))) == ["x2"]


def test_an_unknown_number_of_free_circuits_does_not_block() -> None:
    assert set_up_targets(AgentHarness().handle_after(0, call("a"))) == ["x1"]


def test_an_unresponsive_exchange_is_paused_and_then_probed_by_single_set_ups() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a"))
    harness.handle_after(300 * MS, call("b", dest=2))
    # one late set-up stops calls of mean priority
    assert set_up_targets(harness.handle_after(0, call("c"))) == []
    timed_out = attempt_ended("a", "x1", Outcome.TIMED_OUT, delay_ns=3 * SECOND)
    harness.handle_after(3 * SECOND, timed_out)
    assert set_up_targets(harness.handle_after(0, call("d"))) == []  # paused
    assert set_up_targets(harness.handle_after(2 * SECOND, call("e"))) == ["x1"]  # one set-up probes
    assert set_up_targets(harness.handle_after(0, call("f"))) == []
    harness.handle_after(50 * MS, CallAnswered("e", 0, "x1", 50 * MS))
    assert set_up_targets(harness.handle_after(0, call("g"))) == ["x1"]
    assert set_up_targets(harness.handle_after(0, call("h"))) == ["x1"]


def test_an_unresponsive_exchange_does_not_stop_calls_to_others() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a"))
    for index in range(20):
        harness.complete_setup(f"b{index}", 2 + index % 3)
    assert set_up_targets(harness.handle_after(0, call("c", dest=3))) == ["x3"]


def test_late_set_ups_at_all_exchanges_count_as_own_overload() -> None:
    harness = AgentHarness()
    for dest in (1, 2, 3, 4):
        harness.handle_after(0, call(f"a{dest}", dest=dest))
    assert harness.handle_after(400 * MS, call("b", dest=1)) == [RefuseCall("b", 0)]


def test_a_wait_stated_by_a_full_exchange_is_respected() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a"))
    full = attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL, retry_after_ns=5 * SECOND)
    assert harness.handle_after(50 * MS, full) == [RefuseCall("a", SETTINGS.max_retry_after_ns)]
    assert set_up_targets(harness.handle_after(4 * SECOND, call("b"))) == []
    assert set_up_targets(harness.handle_after(SECOND, call("c"))) == ["x1"]


def test_a_full_destination_reported_by_a_tandem_pauses_only_the_destination() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 0)
    (tandem,) = set_up_targets(harness.handle_after(0, call("a")))
    harness.handle_after(50 * MS, attempt_ended("a", tandem, Outcome.FULL, cause=Cause.DESTINATION_FULL))
    assert set_up_targets(harness.handle_after(0, call("b", dest=int(tandem[1:])))) == [tandem]
    harness.report_circuits("x1", 9)
    assert set_up_targets(harness.handle_after(0, call("c"))) == []


def test_a_redial_past_its_objective_has_the_late_worth() -> None:
    harness = AgentHarness()
    harness.complete_setup("a")
    # A PendingCall of width 1, its deadline 0.
    fresh = harness.agent.record_and_prioritize(PendingCall(call("b", key="k"), 1, 0))
    harness.now += 3 * SECOND
    harness.agent.now = harness.now
    assert harness.agent.record_and_prioritize(PendingCall(call("c", key="k"), 1, 0)) < 0.2 * fresh


def test_a_draining_exchange_gets_no_set_ups_also_when_its_number_is_taken_over() -> None:
    harness = AgentHarness()
    harness.handle_after(0, exchange_list(list_entry(1, ExchangeState.DRAINING), kind=ListKind.CHANGES))
    assert harness.handle_after(0, call("a")) == [RefuseCall("a", 0)]
    new = list_entry(1, started=harness.now - 60 * SECOND, name="new")
    harness.handle_after(0, exchange_list(new, kind=ListKind.CHANGES))
    assert set_up_targets(harness.handle_after(0, call("b"))) == ["new"]
    harness.handle_after(0, exchange_list(list_entry(1, ExchangeState.GONE), kind=ListKind.CHANGES))
    assert set_up_targets(harness.handle_after(0, call("c"))) == ["new"]


def test_a_cold_exchange_gets_no_set_ups_before_the_rate_to_warm_ones_is_known() -> None:
    harness = AgentHarness()
    harness.handle_after(0, exchange_list(list_entry(1, started=harness.now), kind=ListKind.CHANGES))
    sent = 0
    for index in range(20):
        sent += len(set_up_targets(harness.handle_after(MS, call(f"a{index}"))))
        harness.handle_after(10 * MS, CallAnswered(f"a{index}", 0, "x1", 10 * MS))
    assert sent == 0


def test_a_retry_waits_for_the_release_and_a_timer_after_the_hang_up_is_ignored() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a"))
    assert harness.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.CUT)) == [
        SetTimer(300 * MS, "call a")
    ]
    assert harness.handle_after(100 * MS, TimerExpired("call a")) == []
    assert set_up_targets(harness.handle_after(200 * MS, TimerExpired("call a"))) != []
    harness.handle_after(50 * MS, CallerHungUp("a"))
    assert harness.handle_after(300 * MS, TimerExpired("call a")) == []
    assert harness.handle_after(0, TimerExpired("of another run")) == []


def test_a_call_ends_when_no_time_is_left_for_the_release() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a", remaining=SECOND))
    (action,) = harness.handle_after(900 * MS, attempt_ended("a", "x1", Outcome.TIMED_OUT))
    assert isinstance(action, RefuseCall) and action.retry_after_ns > 0


def test_an_unsafe_call_that_may_have_taken_effect_is_not_repeated() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a", klass=2))
    harness.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.CUT))
    assert harness.handle_after(SECOND, TimerExpired("call a")) == [FailCall("a")]
    harness.handle_after(0, call("b", klass=2, dest=2))
    harness.report_circuits("x2", 0)
    not_sent = attempt_ended("b", "x2", Outcome.NOT_SENT, cause=Cause.NO_CIRCUIT)
    assert set_up_targets(harness.handle_after(0, not_sent)) != []  # it never took effect


def test_exchanges_of_unknown_zone_are_not_in_the_same_zone() -> None:
    zoned = replace(SETTINGS.classes[3], key_scope="zone")
    for zone, repeated in ((None, False), ("north", True)):
        harness = AgentHarness(replace(SETTINGS, classes=(zoned,)))
        harness.handle_after(
            0, exchange_list(*(replace(list_entry(number), zone=zone) for number in range(5)))
        )
        harness.handle_after(0, call("a"))
        harness.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.CUT))
        assert bool(set_up_targets(harness.handle_after(300 * MS, TimerExpired("call a")))) == repeated


def test_the_list_is_subscribed_to_again_after_a_failure() -> None:
    harness = AgentHarness(replace(SETTINGS, must_subscribe=True))
    entries = [list_entry(number) for number in range(5)]
    assert Subscribe() in harness.handle_after(0, exchange_list(*entries, kind=ListKind.SAVED))
    (timer,) = harness.handle_after(0, exchange_list(kind=ListKind.FAILED))
    assert isinstance(timer, SetTimer)
    assert harness.handle_after(timer.in_ns, TimerExpired(timer.token)) == [Subscribe()]
    assert set_up_targets(harness.handle_after(0, call("a"))) == ["x1"]  # the previous list stays in use


def test_a_failed_list_is_requested_once_where_no_subscription_is_needed() -> None:
    harness = AgentHarness()
    (timer,) = harness.handle_after(0, exchange_list(kind=ListKind.FAILED))
    assert isinstance(timer, SetTimer)
    assert harness.handle_after(timer.in_ns, TimerExpired(timer.token)) == [RequestList()]


def test_unusable_settings_refuse_every_call_and_log_once() -> None:
    harness = AgentHarness(replace(SETTINGS, classes=()))
    assert [type(action) for action in harness.handle_after(0, call("a"))] == [LogMessage, RefuseCall]
    assert harness.handle_after(0, call("b")) == [RefuseCall("b", 0)]


def test_calls_for_a_full_pool_go_to_another_with_the_skill() -> None:
    skilled = replace(SETTINGS.classes[0], skilled_pools=(1, 3))
    harness = AgentHarness(replace(SETTINGS, meshed=False, own_exchange=-1, classes=(skilled,)))
    assert set_up_targets(harness.handle_after(0, call("a"))) == ["x1"]
    harness.handle_after(50 * MS, CallAnswered("a", 0, "x1", 50 * MS))
    harness.report_circuits("x1", 0)
    assert set_up_targets(harness.handle_after(0, call("b"))) == ["x3"]


def test_the_timeout_of_a_set_up_ends_before_the_deadline() -> None:
    (action,) = AgentHarness().handle_after(0, call("a", remaining=SECOND))
    assert isinstance(action, SetUp)
    assert 0 < action.timeout_ns <= SECOND


def test_a_number_with_all_lines_busy_is_paused() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a", key="k"))
    busy = attempt_ended("a", "x1", Outcome.BUSY, cause=Cause.LINES_BUSY)
    (action,) = harness.handle_after(50 * MS, busy)
    assert isinstance(action, RefuseCall) and 150 * MS < action.retry_after_ns < 350 * MS
    assert set_up_targets(harness.handle_after(0, call("b", key="k"))) == []
    harness.complete_setup("c")
    assert set_up_targets(harness.handle_after(SECOND, call("d", key="k"))) == ["x1"]


def test_a_signalling_fault_is_retried_at_once_up_to_the_attempt_limit() -> None:
    harness = AgentHarness()
    actions = harness.handle_after(0, call("a"))
    for attempt in range(SETTINGS.max_attempts):
        assert set_up_targets(actions) == ["x1"]
        actions = harness.handle_after(30 * MS, attempt_ended("a", "x1", Outcome.BUSY, attempt))
    assert actions == [RefuseCall("a", 0)]


def test_a_signalling_fault_of_a_tandem_leads_to_another_tandem() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 0)
    (first,) = set_up_targets(harness.handle_after(0, call("a")))
    (second,) = set_up_targets(harness.handle_after(30 * MS, attempt_ended("a", first, Outcome.BUSY)))
    assert len({"x1", first, second}) == 3


def test_a_signalling_fault_ends_an_unsafe_call() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a", klass=2))
    assert harness.handle_after(30 * MS, attempt_ended("a", "x1", Outcome.BUSY)) == [FailCall("a")]


def test_a_call_to_a_failing_destination_waits_while_it_can_stand_in_time() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a"))
    full = attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL)
    (first,) = harness.handle_after(50 * MS, full)
    (second,) = harness.handle_after(0, call("b"))
    assert isinstance(first, SetTimer) and isinstance(second, SetTimer)
    assert set_up_targets(harness.handle_after(first.in_ns, TimerExpired(first.token))) == ["x1"]
    (third,) = harness.handle_after(0, TimerExpired(second.token))  # only one set-up at a time probes
    assert isinstance(third, SetTimer) and third.token == second.token
    harness.handle_after(50 * MS, CallAnswered("a", 1, "x1", 50 * MS))
    assert set_up_targets(harness.handle_after(third.in_ns, TimerExpired(third.token))) == ["x1"]


def test_failures_of_set_ups_sent_before_the_first_was_reported_count_as_one() -> None:
    harness = AgentHarness()
    for index in range(5):
        harness.handle_after(MS, call(f"a{index}"))
    for index in range(5):
        full = attempt_ended(f"a{index}", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL, delay_ns=50 * MS)
        harness.handle_after(MS, full)
    assert harness.agent.exchanges["x1"].consecutive_failures == 1
    (wait,) = harness.handle_after(0, call("b"))
    assert isinstance(wait, SetTimer)
    assert set_up_targets(harness.handle_after(wait.in_ns, TimerExpired(wait.token))) == ["x1"]
    harness.handle_after(50 * MS, replace(full, call="b", attempt=0))
    assert harness.agent.exchanges["x1"].consecutive_failures == 2


def test_a_call_waits_no_longer_than_its_objective_and_not_while_a_level_is_set() -> None:
    full = attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL)
    short = replace(SETTINGS.classes[0], objective_ns=200 * MS)
    harness = AgentHarness(replace(SETTINGS, classes=(short,)))
    harness.handle_after(0, call("a"))
    assert harness.handle_after(50 * MS, full)[0].__class__ is RefuseCall
    harness = AgentHarness()
    harness.handle_after(0, call("a"))
    assert harness.agent.gate is not None
    harness.agent.gate.level = 5.0
    assert harness.handle_after(50 * MS, full)[0].__class__ is RefuseCall


def test_a_recent_report_throttles_set_ups_and_an_old_one_does_not() -> None:
    harness = AgentHarness()
    harness.handle_after(
        0, LoadReported("x1", True, 0, LoadReport(free_circuits=20, group_size=30, throttle_fraction=0.5))
    )
    sent = []
    for index in range(10):
        if set_up_targets(harness.handle_after(MS, call(f"a{index}"))):
            sent.append(index)
            harness.handle_after(MS, CallAnswered(f"a{index}", 0, "x1", MS))
    assert 3 <= len(sent) <= 7
    harness.now += 2 * SECOND
    for index in range(4):
        harness.complete_setup(f"b{index}")


def test_a_call_past_its_objective_yields_where_set_ups_were_late() -> None:
    harness = AgentHarness()
    harness.handle_after(0, call("a", key="k"))
    harness.handle_after(400 * MS, CallAnswered("a", 0, "x1", 400 * MS))
    harness.complete_setup("q", 2)  # in time, so the delay was that of x1 and not this agent's own
    harness.now += SECOND
    assert set_up_targets(harness.handle_after(0, call("b"))) == ["x1"]
    harness.handle_after(50 * MS, CallAnswered("b", 0, "x1", 50 * MS))
    # k was dialled over 2 s ago, its objective. x1 was late under RECOVERY_NS ago, then no longer.
    assert set_up_targets(harness.handle_after(700 * MS, call("c", key="k"))) == []
    assert set_up_targets(harness.handle_after(SECOND, call("d", key="k"))) == ["x1"]


def lose_answer(harness: AgentHarness, dest: int) -> None:
    """A set-up stays unanswered while a later one to the same exchange is answered."""
    harness.handle_after(0, call(f"lost {dest}", dest=dest))
    # An answer in time from x4, to a call never placed: so the delay is not that of this agent.
    harness.handle_after(150 * MS, CallAnswered("x", 0, "x4", 50 * MS))
    harness.handle_after(60 * MS, call(f"later {dest}", dest=dest, klass=1))
    harness.handle_after(50 * MS, CallAnswered(f"later {dest}", 0, f"x{dest}", 50 * MS))


def test_lost_answers_shorten_the_timeout_and_pause_no_exchange() -> None:
    harness = AgentHarness()
    (action,) = harness.handle_after(0, call("a"))
    assert isinstance(action, SetUp) and action.timeout_ns > 2 * SECOND
    harness.handle_after(50 * MS, CallAnswered("a", 0, "x1", 50 * MS))
    lose_answer(harness, 1)
    lose_answer(harness, 2)
    (action,) = harness.handle_after(0, call("b"))
    assert isinstance(action, SetUp) and action.timeout_ns < 2 * SECOND
    assert harness.handle_after(action.timeout_ns, attempt_ended("b", "x1", Outcome.TIMED_OUT)) == [
        SetTimer(300 * MS, "call b")
    ]
    assert set_up_targets(harness.handle_after(300 * MS, TimerExpired("call b"))) != []
    assert set_up_targets(harness.handle_after(0, call("c"))) == ["x1"]


def test_one_lost_answer_does_not_shorten_the_timeout() -> None:
    harness = AgentHarness()
    lose_answer(harness, 1)
    (action,) = harness.handle_after(0, call("b"))
    assert isinstance(action, SetUp) and action.timeout_ns > 2 * SECOND


def test_the_advised_tandem_is_preferred_to_a_drawn_one() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 0)
    assert set_up_targets(harness.handle_after(0, call("a", advised=3))) == ["x3"]
    harness.handle_after(50 * MS, CallAnswered("a", 0, "x3", 50 * MS))
    # the last tandem used comes before the advised one
    assert set_up_targets(harness.handle_after(0, call("b", advised=2))) == ["x3"]


def test_reserved_circuits_are_refused_to_low_priorities_first() -> None:
    harness = AgentHarness()
    harness.complete_setup("mean")
    for number in range(2, 5):
        harness.report_circuits(f"x{number}", 4, 30)
    harness.report_circuits("x1", 0)
    assert set_up_targets(harness.handle_after(0, call("low"))) == []
    assert set_up_targets(harness.handle_after(0, call("high", klass=1))) != []


@pytest.mark.parametrize("agents", [4, 20, 66])
def test_the_cold_budgets_of_all_agents_add_up_to_the_limit(agents: int) -> None:
    send_rate = 8.0 / agents  # per second, from each agent to one warm exchange
    harnesses = [
        AgentHarness(replace(SETTINGS, agents=agents, agent_index=at), seed=at) for at in range(agents)
    ]
    sent = []
    for harness in harnesses:
        harness.agent.send_rate = send_rate
        harness.handle_after(0, exchange_list(list_entry(1, started=harness.now), kind=ListKind.CHANGES))
    for step in range(60):
        for harness in harnesses:
            name = f"a{step}"
            if set_up_targets(harness.handle_after(100 * MS, call(name, klass=1))):
                sent.append(step)
                harness.handle_after(0, CallAnswered(name, 0, "x1", MS))
    allowed = 2 * 8.0 * SETTINGS.initial_capacity_fraction * SETTINGS.collapse_multiple
    busiest = max(sum(start <= step < start + 10 for step in sent) for start in range(50))
    assert busiest <= allowed  # in any second, in which each agent is offered ten calls
    # At least a third of the limit is used over the 6 s of the test.
    assert len(sent) >= allowed * 6 / 3


def test_a_cold_exchange_gets_set_ups_after_calls_to_warm_ones() -> None:
    harness = AgentHarness()
    harness.handle_after(0, exchange_list(list_entry(1, started=harness.now), kind=ListKind.CHANGES))
    for index in range(60):
        harness.complete_setup(f"warm {index}", 2 + index % 3)
    assert any(set_up_targets(harness.handle_after(100 * MS, call(f"a{index}"))) for index in range(30))


@pytest.mark.parametrize(("agents", "first_pause_s"), [(6, 0.225), (60, 2.25)])
def test_the_pause_of_a_failing_exchange_grows_with_the_number_of_agents(
    agents: int, first_pause_s: float
) -> None:
    harness = AgentHarness(replace(SETTINGS, agents=agents))
    harness.handle_after(0, call("a"))
    harness.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.FULL, cause=Cause.PROCESSOR_FULL))
    assert set_up_targets(harness.handle_after(int(0.7 * first_pause_s * SECOND), call("b"))) == []
    assert set_up_targets(harness.handle_after(int(0.6 * first_pause_s * SECOND), call("c"))) == ["x1"]


def test_a_restart_ends_the_pause() -> None:
    harness = AgentHarness(replace(SETTINGS, agents=60))
    harness.handle_after(0, call("a"))
    harness.handle_after(50 * MS, attempt_ended("a", "x1", Outcome.UNREACHED))
    assert set_up_targets(harness.handle_after(SECOND, call("b"))) == []
    harness.handle_after(
        0, exchange_list(list_entry(1, started=harness.now - 60 * SECOND), kind=ListKind.CHANGES)
    )
    assert set_up_targets(harness.handle_after(0, call("c"))) == ["x1"]


def test_the_drawn_tandem_with_most_free_circuits_is_used() -> None:
    harness = AgentHarness()
    harness.report_circuits("x1", 0)
    for number, free in ((2, 9), (3, 25), (4, 12)):
        harness.report_circuits(f"x{number}", free)
    assert set_up_targets(harness.handle_after(0, call("a"))) == ["x3"]


def test_the_timeout_is_not_shortened_for_calls_that_may_not_be_repeated() -> None:
    harness = AgentHarness()
    lose_answer(harness, 1)
    lose_answer(harness, 2)
    for name, klass, transit in (("unsafe", 2, False), ("transit", 0, True)):
        (action,) = harness.handle_after(0, call(name, dest=3, klass=klass, transit=transit))
        assert isinstance(action, SetUp) and action.timeout_ns > 2 * SECOND
        harness.handle_after(50 * MS, CallAnswered(name, 0, "x3", 50 * MS))


def test_an_idle_exchange_on_a_long_path_is_not_late() -> None:
    # On a path as long as the delay target, one more millisecond blocked the exchange for good.
    harness = AgentHarness()  # its delay target is 200 ms
    for index in range(3):
        harness.handle_after(0, call(f"a{index}"))
        harness.handle_after(190 * MS, CallAnswered(f"a{index}", 0, "x1", 190 * MS))
    harness.handle_after(0, call("b"))
    assert set_up_targets(harness.handle_after(250 * MS, call("c"))) == ["x1"]
    # above 1.6 times the minimum delay it is late
    assert set_up_targets(harness.handle_after(100 * MS, call("d"))) == []


def test_a_set_up_overtaken_by_a_later_one_does_not_block_its_exchange() -> None:
    # One lost answer blocked the exchange for as long as its caller waited, over a second each time.
    harness = AgentHarness()
    harness.complete_setup("first")
    assert set_up_targets(harness.handle_after(MS, call("lost"))) == ["x1"]
    harness.handle_after(55 * MS, call("later"))
    harness.handle_after(50 * MS, CallAnswered("later", 0, "x1", 50 * MS))
    assert not harness.agent.exchanges["x1"].unanswered
    harness.handle_after(SECOND, CallerHungUp("none"))  # of no call: moves the clock on
    assert set_up_targets(harness.handle_after(MS, call("next"))) == ["x1"]


def test_a_single_slow_answer_does_not_cut_the_level() -> None:
    for slow, throttled in ((1, False), (4, True)):
        harness = AgentHarness()
        names = [f"slow {number}" for number in range(slow)]
        for name in names:
            harness.handle_after(MS, call(name))
        for number in range(4):
            harness.complete_setup(f"quick {number}")
        harness.handle_after(700 * MS, CallerHungUp("none"))  # of no call: only moves the clock
        for name in names:
            harness.handle_after(0, CallAnswered(name, 0, "x1", 900 * MS))
        harness.handle_after(SECOND, CallerHungUp("none"))  # starts an evaluation
        assert harness.agent.gate is not None
        assert (harness.agent.gate.level < 100) == throttled


def test_calls_without_a_route_are_not_counted_by_the_gate() -> None:
    # A flood of calls to numbers of no exchange used up the admitted rate of calls that could be set up.
    harness = AgentHarness()
    harness.complete_setup("first")
    gate = harness.agent.gate
    assert gate is not None
    before = gate.arrivals
    for dest in (0, 99):
        (refused,) = harness.handle_after(MS, call(f"to {dest}", dest))
        assert isinstance(refused, RefuseCall)
    assert gate.arrivals == before
    harness.complete_setup("next")
    assert gate.arrivals == before + 1
