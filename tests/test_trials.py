"""Whole fault trials with router processes, including regression cases of incidents."""

from __future__ import annotations

import asyncio
import socket
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import pytest

from rowanmast.cli.trial import run_seed
from rowanmast.lab.ports import first_ephemeral_port, free_address
from rowanmast.trials.routers import RouterProcess, StartError
from rowanmast.trials.schedule import (
    DRAIN_OVER_RESTART,
    HUNG_DISCOVERY,
    HUNG_SHORT_SHUTDOWN,
    HUNG_SHUTDOWN,
    INCIDENT_86EF61,
    Schedule,
)
from rowanmast.trials.trial import TrialResult, run_trial

SEEDS = range(1, 9)  # of drawn trials; more are run by hand, see docs/trials.md
JOBS = 3


def run_schedule(schedule: Schedule) -> TrialResult:
    result = asyncio.run(run_trial(schedule))
    assert result.counts.stood > 20, "the trial must serve calls"
    return result


def test_callers_are_released_in_time_when_switches_vanish_while_discovery_is_down() -> None:
    # Incident 86ef61: callers were released only when discovery was back, or never.
    result = run_schedule(INCIDENT_86EF61)
    assert result.passed, result.report()


@pytest.mark.parametrize("schedule", [HUNG_SHUTDOWN, HUNG_SHORT_SHUTDOWN], ids=["long", "short"])
def test_all_calls_are_answered_before_sigkill_while_switches_hang_during_a_shutdown(
    schedule: Schedule,
) -> None:
    result = run_schedule(schedule)
    assert result.passed, result.report()
    stopped = [line for line in result.logs["n0"] if "event=stopped" in line]
    assert len(stopped) == 2 and "owed=0" in stopped[0], "the router must exit by itself before the kill"


def test_calls_are_answered_while_discovery_hangs() -> None:
    # Guards against a router that stops for good once a fourth request to the change log is late.
    result = run_schedule(HUNG_DISCOVERY)
    assert result.passed, result.report()


def test_calls_at_draining_and_removed_switches_are_released_before_a_restart() -> None:
    # Guards against calls that are left to the next run, which never learns that their switch has stopped.
    result = run_schedule(DRAIN_OVER_RESTART)
    assert result.passed, result.report()


def test_a_router_that_cannot_listen_is_reported_with_its_log(tmp_path: Path) -> None:
    # Guards against a bare TimeoutError 15 s later that does not say why the process ended.
    async def start(address: tuple[str, int]) -> None:
        router = RouterProcess("n0", 100, address, tmp_path)
        router.configure(("127.0.0.1", 1), {"seq": 0, "results": []}, deadline_s=1.0)
        await router.start()

    with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(StartError, match="can't listen"):
        asyncio.run(start(taken.getsockname()))


def test_free_addresses_are_outside_the_ephemeral_port_range() -> None:
    # Guards against a trial whose router can't listen, as the kernel has given its port to another socket.
    ports = {free_address()[1] for _ in range(50)}
    assert len(ports) > 1 and max(ports) < first_ephemeral_port()


def test_drawn_trials_keep_the_rules() -> None:
    with ProcessPoolExecutor(JOBS, mp_context=get_context("spawn")) as pool:
        results = list(pool.map(run_seed, SEEDS))
    assert [result.report() for result in results if not result.passed] == []
