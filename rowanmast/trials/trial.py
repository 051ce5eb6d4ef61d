"""Runs one trial: routers, callers, switches and discovery behind fault proxies, and the rule checker."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from rowanmast.lab.ports import free_address
from rowanmast.lab.simulated import SimulatedChangeLog
from rowanmast.trials.callers import CallerCounts, Callers
from rowanmast.trials.proxy import FaultProxy
from rowanmast.trials.routers import RouterProcess
from rowanmast.trials.rule_checker import RuleChecker, Violation
from rowanmast.trials.schedule import Fault, FaultKind, Schedule
from rowanmast.trials.switches import TrialSwitch

FIRST_ROUTER_EXCHANGE = 100  # exchange numbers of the routers themselves, to which no calls go
LAG_INTERVAL_S = 0.01
# Time that routers get to learn of a change while discovery is slow, or after it was unreachable; otherwise
# they count as notified at once.
CHANGE_NOTIFICATION_S = 6.0
MAX_DEADLINE_BEFORE_KILL_S = 3.0  # longer call deadlines do not delay SIGKILL further
KILL_MARGIN_S = 0.7  # from the longest deadline to the earliest SIGKILL
MAX_SETTLE_S = 10.0  # for answers and releases that are pending at the end
CROWD_CALLS = 150
RELOAD_COUNT = 6
SWITCH_PIECE_BYTES, SWITCH_PIECE_GAP_S = 40, 0.01
DISCOVERY_PIECE_BYTES, DISCOVERY_PIECE_GAP_S = 20, 0.1
DISCOVERY_DELAY_S = 2.5
RELOAD_INTERVAL_S = 0.05


@dataclass(slots=True)
class TrialResult:
    """The result of a trial."""

    seed: int
    violations: list[Violation]
    counts: CallerCounts
    # Router log lines at level error, bad exit codes and exceptions of the trial's tasks.
    errors: list[str] = field(default_factory=list)
    max_lag_s: float = 0.0  # largest lag of the trial's own event loop
    logs: dict[str, list[str]] = field(default_factory=dict)  # by router
    histories: dict[str, list[tuple[float, str]]] = field(default_factory=dict)  # of calls with violations
    began_unix_s: float = 0.0  # start of the trial's clock, to convert the times of log lines

    @property
    def passed(self) -> bool:
        return not self.violations and not self.errors

    def by_rule(self) -> dict[str, int]:
        """The number of violations of each rule that was broken."""
        return dict(Counter(violation.rule.value for violation in self.violations))

    def report(self) -> dict[str, Any]:
        """The result as a JSON object."""
        return {
            "seed": self.seed,
            "passed": self.passed,
            "by_rule": self.by_rule(),
            "first": [
                f"{violation.time_s:.3f} {violation.rule.value} {violation.call}: {violation.text}"
                for violation in self.violations[:5]
            ],
            "errors": self.errors[:5],
            "counts": asdict(self.counts),
            "lag_ms": round(self.max_lag_s * 1000, 1),
        }


class Trial:
    """One run of a schedule: starts all processes, injects the faults and collects the result."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule = schedule
        self.folder = folder
        self.began_monotonic_s = time.monotonic()
        self.began_unix_s = time.time()
        self.checker = RuleChecker()
        self.random = Random(schedule.seed)
        self.discovery = SimulatedChangeLog()
        self.discovery_proxy = FaultProxy()
        self.discovery_is_down = False
        self.discovery_is_slow = False
        # Switches that drained or were removed while discovery was unreachable, until it is reachable again.
        self.unannounced_drains: list[str] = []
        self.switches = [
            TrialSwitch(
                f"s-{number}", number, self.checker, self.clock, hold_s=schedule.hold_s, seed=schedule.seed
            )
            for number in range(1, schedule.switches + 1)
        ]
        self.routers: list[RouterProcess] = []
        self.callers: list[Callers] = []
        self.errors: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    def clock(self) -> float:
        """Seconds since the start of the trial."""
        return time.monotonic() - self.began_monotonic_s

    async def run(self) -> TrialResult:
        """Runs the whole trial and collects its result."""
        try:
            await self.start()
            await self.run_faults()
            await self.wait_for_pending()
        finally:
            await self.stop()
        counts = CallerCounts()
        for callers in self.callers:
            for name, value in asdict(callers.counts).items():
                setattr(counts, name, getattr(counts, name) + value)
        logs = {router.name: router.log_lines for router in self.routers}
        self.errors += [line for lines in logs.values() for line in lines if "level=error" in line]
        violations = sorted(self.checker.violations, key=lambda violation: violation.time_s)
        histories = {
            violation.call: self.checker.calls[violation.call].history
            for violation in violations
            if violation.call in self.checker.calls
        }
        return TrialResult(
            self.schedule.seed,
            violations,
            counts,
            self.errors,
            self.checker.loop_lag_s,
            logs,
            histories,
            self.began_unix_s,
        )

    # Start and end

    async def start(self) -> None:
        """Starts discovery, switches and routers, creates the callers, and resets the trial's clock."""
        await self.discovery.start()
        self.discovery_proxy.target = self.discovery.address
        self.discovery_proxy.start()
        for switch in self.switches:
            await switch.start()
        self.discovery.add(True, *(self.host_entry(switch, "ready") for switch in self.switches))
        for index in range(self.schedule.routers):
            listen = free_address()
            router = RouterProcess(f"n{index}", FIRST_ROUTER_EXCHANGE + index, listen, self.folder)
            self.configure(router)
            self.routers.append(router)
            self.callers.append(self.make_callers(router))
        await asyncio.gather(*(router.start() for router in self.routers))
        self.began_monotonic_s, self.began_unix_s = time.monotonic(), time.time()

    def make_callers(self, router: RouterProcess) -> Callers:
        schedule = self.schedule
        return Callers(
            router,
            [switch.number for switch in self.switches],
            self.checker,
            self.clock,
            rate=schedule.rate,
            wait_s=min(schedule.wait_s, schedule.deadline_s),
            seed=schedule.seed * 101 + router.number,
            cancel_share=schedule.cancel_share,
            irregular_share=schedule.irregular_share,
        )

    def configure(self, router: RouterProcess) -> None:
        """Writes the router's configuration, with the whole change log so far as its known state."""
        events = self.discovery.events
        router.configure(
            self.discovery_proxy.address, {"seq": len(events), "results": events}, self.schedule.deadline_s
        )

    def host_entry(self, switch: TrialSwitch, health: str, born_ms: int = 0) -> dict[str, Any]:
        """The switch as the change log lists it."""
        return {
            "host": switch.name,
            "dial": "{}:{}".format(*switch.proxy.address),
            "site": "trial",
            "class": "standard",
            "block": switch.number,
            "health": health,
            "share": 1,
            "born_ms": born_ms,
        }

    async def run_faults(self) -> None:
        """Dials and injects the scheduled faults until the trial's duration is over."""
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.measure_lag()))
        dialling = [loop.create_task(callers.dial_until_cancelled()) for callers in self.callers]
        faults = [loop.create_task(self.inject(fault)) for fault in self.schedule.faults]
        self.tasks += [*dialling, *faults]
        await asyncio.sleep(self.schedule.seconds)
        for callers, task in zip(self.callers, dialling, strict=True):
            callers.stop_dialling()
            task.cancel()

    async def wait_for_pending(self) -> None:
        """Waits up to MAX_SETTLE_S for pending answers and releases; remaining faults go on meanwhile."""
        end = self.clock() + MAX_SETTLE_S
        while self.checker.pending_count(self.clock()) and self.clock() < end:
            await asyncio.sleep(0.05)
        self.checker.check_pending(self.clock())

    async def stop(self) -> None:
        """Stops everything; routers get the same time to stop as in a fault."""
        for task in self.tasks:
            task.cancel()
        for outcome in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                self.errors.append(f"trial: {outcome!r}")
        for router in self.routers:
            router.signal(signal.SIGTERM)
        for router in self.routers:
            if router.is_running and await router.wait_for_exit(self.kill_after_s()) is None:
                router.signal(signal.SIGKILL)
            await router.kill()
        for callers in self.callers:
            callers.close()
        for switch in self.switches:
            switch.stop()
        self.discovery_proxy.close()
        self.discovery.stop()

    async def measure_lag(self) -> None:
        """Records the largest lag of the event loop, which the rule checker tolerates."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.checker.loop_lag_s = max(self.checker.loop_lag_s, time.monotonic() - before - LAG_INTERVAL_S)

    def kill_after_s(self) -> float:
        """The earliest time after SIGTERM at which SIGKILL may come."""
        return min(self.schedule.deadline_s, MAX_DEADLINE_BEFORE_KILL_S) + KILL_MARGIN_S

    # Faults

    async def inject(self, fault: Fault) -> None:
        """Injects a fault at its start, and ends it after its duration if it has one."""
        await asyncio.sleep(fault.start_s)
        kind = fault.kind
        if kind.value.startswith("switch"):
            await self.inject_at_switch(fault, self.switches[fault.target])
        elif kind.value.startswith("router"):
            await self.inject_at_router(fault, fault.target)
        elif kind is FaultKind.CALLERS_CROWD:
            for _ in range(CROWD_CALLS):
                self.callers[fault.target].dial_random()
        else:
            await self.inject_at_discovery(fault)

    async def inject_at_switch(self, fault: Fault, switch: TrialSwitch) -> None:
        match fault.kind:
            case FaultKind.SWITCH_VANISHES:
                switch.vanish()
                await asyncio.sleep(fault.duration_s)
                await switch.restart(keep_old_silent=True)
            case FaultKind.SWITCH_CRASHES:
                switch.crash()
                await asyncio.sleep(fault.duration_s)
                await switch.restart(keep_old_silent=False)
            case FaultKind.SWITCH_HANGS:
                switch.hang()
                await asyncio.sleep(fault.duration_s)
                switch.recover()
            case FaultKind.SWITCH_CUT_OFF:
                switch.proxy.silence()
                await asyncio.sleep(fault.duration_s)
                switch.proxy.restore()
                switch.send_releases()
            case FaultKind.SWITCH_RESETS:
                switch.proxy.reset()
            case FaultKind.SWITCH_FORGETS:
                switch.proxy.abandon()
            case FaultKind.SWITCH_SLOW:
                switch.proxy.delay_s = self.random.uniform(0.05, 0.4)
                await asyncio.sleep(fault.duration_s)
                switch.proxy.delay_s = 0.0
            case FaultKind.SWITCH_IN_PIECES:
                switch.proxy.piece_bytes, switch.proxy.piece_gap_s = SWITCH_PIECE_BYTES, SWITCH_PIECE_GAP_S
                await asyncio.sleep(fault.duration_s)
                switch.proxy.piece_bytes = 0
            case FaultKind.SWITCH_DRAINS:
                self.publish(switch, "draining")
                await asyncio.sleep(fault.duration_s)
                self.publish(switch, "gone")
            case FaultKind.SWITCH_REMOVED:
                self.publish(switch, "gone")

    def publish(self, switch: TrialSwitch, health: str) -> None:
        """Adds a drain or a removal to the change log, even while routers cannot reach it."""
        self.discovery.add(False, self.host_entry(switch, health))
        if self.discovery_is_down:
            self.unannounced_drains.append(switch.name)
        else:
            notified_at = self.clock() + (CHANGE_NOTIFICATION_S if self.discovery_is_slow else 0.0)
            self.checker.drain_announced(switch.name, notified_at)

    async def inject_at_discovery(self, fault: Fault) -> None:
        """Makes the change log unreachable or slow; ignored while it is unreachable already."""
        if self.discovery_is_down:
            return
        if fault.kind in (FaultKind.DISCOVERY_SLOW, FaultKind.DISCOVERY_IN_PIECES):
            await self.slow_discovery(fault)
            return
        proxy = self.discovery_proxy
        self.discovery_is_down = True
        match fault.kind:
            case FaultKind.DISCOVERY_REFUSES:
                proxy.refuse()
                proxy.reset()
                await asyncio.sleep(fault.duration_s)
                proxy.start()
            case FaultKind.DISCOVERY_HANGS:
                proxy.hang()
                await asyncio.sleep(fault.duration_s)
                proxy.recover()
            case _:
                proxy.silence()
                await asyncio.sleep(fault.duration_s)
                proxy.restore()
        self.discovery_is_down = False
        for name in self.unannounced_drains:
            self.checker.drain_announced(name, self.clock() + CHANGE_NOTIFICATION_S)
        self.unannounced_drains.clear()

    async def slow_discovery(self, fault: Fault) -> None:
        """Delays the change log; meanwhile routers count as notified CHANGE_NOTIFICATION_S after a change."""
        proxy = self.discovery_proxy
        self.discovery_is_slow = True
        if fault.kind is FaultKind.DISCOVERY_SLOW:
            proxy.delay_s = DISCOVERY_DELAY_S / 2
        else:
            proxy.piece_bytes, proxy.piece_gap_s = DISCOVERY_PIECE_BYTES, DISCOVERY_PIECE_GAP_S
        await asyncio.sleep(fault.duration_s)
        proxy.delay_s, proxy.piece_bytes = 0.0, 0
        self.discovery_is_slow = False

    async def inject_at_router(self, fault: Fault, index: int) -> None:
        """Reloads, stops or kills a router; ignored if it is not running.

        If another fault already replaces its process, a stop or a kill only sends a SIGTERM.
        """
        router = self.routers[index]
        if not router.is_running:
            return
        if fault.kind is FaultKind.ROUTER_RELOADS:
            for _ in range(RELOAD_COUNT):
                self.configure(router)
                router.signal(signal.SIGHUP)
                await asyncio.sleep(RELOAD_INTERVAL_S)
            return
        if router.is_restarting:
            router.signal(signal.SIGTERM)
            return
        router.is_restarting = True
        if fault.kind is FaultKind.ROUTER_STOPS:
            router.signal(signal.SIGTERM)
            code = await router.wait_for_exit(self.kill_after_s())
            if code:
                self.errors.append(f"{router.name} exited with code {code}")
        else:
            router.signal(signal.SIGKILL)
        await self.restart(router, graceful=fault.kind is FaultKind.ROUTER_STOPS)

    async def restart(self, router: RouterProcess, graceful: bool) -> None:
        """Replaces the router's process; `graceful` if the old one had the time to answer every call."""
        now = self.clock()
        await router.kill()
        self.checker.router_ended(now, router.name, graceful)
        self.configure(router)
        await router.start()
        router.is_restarting = False


async def run_trial(schedule: Schedule) -> TrialResult:
    """Runs one trial in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Trial(schedule, Path(folder)).run()


def write_report(results: list[TrialResult], path: Path) -> None:
    """Writes the results as JSON."""
    path.write_text(json.dumps([result.report() for result in results], indent=1) + "\n")
