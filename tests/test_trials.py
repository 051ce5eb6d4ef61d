"""Whole trials with router processes, and the incidents that they reproduce."""

from __future__ import annotations

import asyncio

from rowanmast.trials.schedule import INCIDENT_86EF61, Schedule
from rowanmast.trials.trial import Result, run_trial


def play(schedule: Schedule) -> Result:
    result = asyncio.run(run_trial(schedule))
    assert result.counts.stood > 20, "the trial served calls"
    return result


def test_callers_hear_in_time_of_calls_on_switches_that_vanish_while_discovery_is_down() -> None:
    # Incident 86ef61: they were told when discovery was back, or never.
    result = play(INCIDENT_86EF61)
    assert result.passed, result.report()
