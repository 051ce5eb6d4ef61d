"""The demonstration: one router on loopback with simulated switches and one station."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from rowanmast.app.daemon import Daemon
from rowanmast.config import check_config
from rowanmast.lab.ports import free_address
from rowanmast.lab.simulated import (
    SimulatedChangeLog,
    SimulatedStation,
    SimulatedSwitch,
    StationCounts,
    host_entry,
    offer_at_random_times,
)
from rowanmast.net.changelog import Reader

CALL_CLASS = "item-lookup"
WAIT_S = 1.5  # time that the station allows for an answer
PROGRESS_INTERVAL_S = 0.25
OWN_EXCHANGE = 0  # the number of the router's own switch
MAX_SETTLE_S = 8.0  # for calls that still stand when the last one has been offered


@dataclass(frozen=True, slots=True)
class DemoPlan:
    """Parameters of the demonstration; `rate` is the mean number of calls a second."""

    seconds: float = 5.0
    rate: float = 60.0
    switches: int = 5
    circuits: int = 30
    hold_s: float = 1.5
    seed: int = 1


@dataclass(frozen=True, slots=True)
class DemoResult:
    """Outcomes and delays of the demonstration's calls."""

    counts: StationCounts
    tandem_calls: int
    by_switch: list[tuple[str, int, int, int]]  # name, circuits, calls accepted, calls passed on

    def percentile_ms(self, fraction: float) -> float:
        """The percentile of the set-up delay over the calls that stood, in milliseconds; 0 without calls."""
        delays = sorted(self.counts.delays)
        if not delays:
            return 0.0
        return delays[min(int(fraction * len(delays)), len(delays) - 1)] * 1000

    def mean_ms(self) -> float:
        return statistics.fmean(self.counts.delays) * 1000 if self.counts.delays else 0.0


def settings_document() -> dict[str, Any]:
    """Settings of a small site, in the platform's form."""
    second = 1_000_000_000
    return {
        "balancers": 1,
        "my_number": 0,
        "period_ns": second // 200,
        "discovery": "automatic",
        "services": [
            {
                "name": CALL_CLASS,
                "credit": 1.0,
                "late_worth": 0.25,
                "objective_ns": 1_500_000_000,
                "hard_limit_ns": 9 * second,
                "idempotency": "safe",
                "key_scope": "all",
                "window_ns": 5 * second,
            }
        ],
        "family_info": {
            "self_no": OWN_EXCHANGE,
            "network_form": "meshed",
            "guard_ns": second // 5,
            "t1_ns": second // 2,
            "widths": [1],
            "class_hold_ns": [1_500_000_000],
        },
        "guarantees": {
            "ask_within_ns": 10 * second,
            "grace_to_answer_ns": second // 50,
            "drain_grace_ns": 2 * second,
            "cold_from": 0.34,
            "cold_ns": 14 * second,
            "fall_multiple": 2.0,
            "tip_after_ns": second,
        },
        "limits": {
            "cancel": True,
            "connect_timeout_ns": second // 2,
            "max_attempts": 6,
            "probes": True,
            "retry_after": True,
            "max_retry_after_ns": 2 * second,
        },
    }


def config_document(listen: tuple[str, int], changelog: tuple[str, int], seed: int) -> dict[str, Any]:
    """A configuration in the platform's form, for the router of switch 0."""
    return {
        "name": "demo",
        "listen": "{}:{}".format(*listen),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": "{}:{}".format(*changelog),
        "known": {"seq": 0, "results": []},
        "settings": settings_document(),
    }


async def run_demo(plan: DemoPlan, progress: Callable[[float, StationCounts], None]) -> DemoResult:
    """Runs the demonstration, calling `progress` every PROGRESS_INTERVAL_S with the time and the counts."""
    loop = asyncio.get_running_loop()
    random = Random(plan.seed)
    switches = [
        SimulatedSwitch(
            f"toy-{number}",
            number,
            circuits=plan.circuits if number % 2 else plan.circuits // 2,  # small groups overflow
            hold_s=plan.hold_s,
            seed=plan.seed,
        )
        for number in range(1, plan.switches + 1)
    ]
    change_log = SimulatedChangeLog()
    await change_log.start()
    for switch in switches:
        await switch.start()
        switch.switches = {other.number: other for other in switches}
    change_log.add(True, *map(host_entry, switches))
    listen = free_address()
    router = Daemon(
        check_config(config_document(listen, change_log.address, plan.seed), Reader()), None, Reader(), loop
    )
    running = loop.create_task(router.run())
    try:
        await asyncio.wait_for(router.ready.wait(), 5)
        await router.wait_until(lambda: len(router.listed_links) == len(switches), loop.time() + 2)
        _, station = await loop.create_connection(lambda: SimulatedStation(CALL_CLASS, WAIT_S), *listen)
        start = loop.time()
        numbers = [switch.number for switch in switches]
        offering = loop.create_task(
            offer_at_random_times(
                plan.rate,
                plan.seconds,
                random,
                lambda: station.dial(random.choice(numbers)),
                running.done,
            )
        )
        while not offering.done():
            progress(loop.time() - start, station.counts)
            await asyncio.wait([offering], timeout=PROGRESS_INTERVAL_S)
        await offering
        counts = station.counts
        await router.wait_until(
            lambda: not station.unanswered and counts.released >= counts.stood, loop.time() + MAX_SETTLE_S
        )
        progress(plan.seconds, counts)
    finally:
        router.stop.set()
        await running
        change_log.stop()
        for switch in switches:
            switch.stop()
    by_switch = [(one.name, one.circuits, one.counts.accepted, one.counts.tandem) for one in switches]
    return DemoResult(counts, sum(one.counts.tandem for one in switches), by_switch)
