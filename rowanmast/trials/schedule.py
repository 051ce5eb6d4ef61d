"""The schedule of a trial: its size, load and faults, drawn from a seed or fixed for a regression case.

Discovery is the server of the change log, from which routers learn of switches.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random


class FaultKind(Enum):
    """A kind of fault; the value is its name in reports. Most faults end after `duration_s`."""

    SWITCH_VANISHES = "switch_vanishes"  # silently; at the end a new process takes over its address
    SWITCH_CRASHES = "switch_crashes"  # and starts again at its address at the end
    SWITCH_HANGS = "switch_hangs"  # accepts connections and bytes but does not process them
    SWITCH_CUT_OFF = "switch_cut_off"  # by the network; the process keeps running
    SWITCH_RESETS = "switch_resets"  # all its connections at once; the process keeps running
    SWITCH_FORGETS = "switch_forgets"  # open connections go silent for good; new ones work
    SWITCH_SLOW = "switch_slow"  # 50 to 400 ms of delay in each direction
    SWITCH_IN_PIECES = "switch_in_pieces"  # bytes in both directions arrive a few at a time
    SWITCH_DRAINS = "switch_drains"  # announced by discovery; removed at the end
    SWITCH_REMOVED = "switch_removed"  # announced by discovery, without a drain
    DISCOVERY_REFUSES = "discovery_refuses"  # open connections are reset, new ones refused
    DISCOVERY_SILENT = "discovery_silent"  # connections carry nothing, new ones are not accepted
    DISCOVERY_HANGS = "discovery_hangs"  # accepts connections and requests but answers none
    DISCOVERY_SLOW = "discovery_slow"  # answers arrive 2.5 s late
    DISCOVERY_IN_PIECES = "discovery_in_pieces"  # bytes in both directions arrive a few at a time
    ROUTER_STOPS = "router_stops"  # SIGTERM, SIGKILL as early as allowed, restart
    ROUTER_KILLED = "router_killed"  # SIGKILL, restart
    ROUTER_RELOADS = "router_reloads"  # several SIGHUPs in quick succession
    CALLERS_CROWD = "callers_crowd"  # many calls at once to one router


# The faults that are drawn; SWITCH_REMOVED and DISCOVERY_HANGS occur only in fixed schedules.
SWITCH_FAULTS = (
    FaultKind.SWITCH_VANISHES,
    FaultKind.SWITCH_CRASHES,
    FaultKind.SWITCH_HANGS,
    FaultKind.SWITCH_CUT_OFF,
    FaultKind.SWITCH_RESETS,
    FaultKind.SWITCH_FORGETS,
    FaultKind.SWITCH_SLOW,
    FaultKind.SWITCH_IN_PIECES,
    FaultKind.SWITCH_DRAINS,
)
DISCOVERY_FAULTS = (
    FaultKind.DISCOVERY_REFUSES,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_SLOW,
    FaultKind.DISCOVERY_IN_PIECES,
)
ZERO_LENGTH_SHARE = 0.15  # of the faults at switches, which last 0 s, such as a process replaced at once
ROUTER_FAULTS = (FaultKind.ROUTER_STOPS, FaultKind.ROUTER_KILLED, FaultKind.ROUTER_RELOADS)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins `start_s` into the trial, at the switch or router with index `target`."""

    start_s: float
    kind: FaultKind
    target: int = 0
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Schedule:
    """A whole trial. Times are in seconds; `rate` is the mean number of calls a second to each router."""

    seed: int
    routers: int = 2
    switches: int = 4
    seconds: float = 16.0
    rate: float = 25.0
    wait_s: float = 1.5  # time that callers allow for an answer, capped at `deadline_s`
    deadline_s: float = 3.0  # hard limit of the call class in the settings of the routers
    hold_s: float = 4.0  # mean time for which a call stands
    cancel_share: float = 0.0  # of calls that their caller cancels within 100 ms
    irregular_share: float = 0.0  # of the times that a caller dials; opens an `IrregularConnection`
    faults: tuple[Fault, ...] = ()


# Incident 86ef61: two switches vanish with calls standing on them while discovery is down for longer than the
# 8 s within which callers must be released; routers learn of the removal only when discovery is back.
INCIDENT_86EF61 = Schedule(
    seed=86,
    switches=3,
    seconds=12.0,
    hold_s=60.0,
    faults=(
        Fault(2.0, FaultKind.DISCOVERY_REFUSES, duration_s=12.0),
        Fault(2.5, FaultKind.SWITCH_VANISHES, target=0, duration_s=60.0),
        Fault(2.5, FaultKind.SWITCH_VANISHES, target=1, duration_s=60.0),
        Fault(5.0, FaultKind.SWITCH_REMOVED, target=0),
        Fault(5.0, FaultKind.SWITCH_REMOVED, target=1),
    ),
)

# One switch hangs and one has vanished during a whole shutdown. The call deadline is 9 s, long after the
# earliest SIGKILL, or 0.4 s.
HUNG_SHUTDOWN = Schedule(
    seed=16,
    routers=1,
    switches=2,
    seconds=6.5,
    rate=60.0,
    wait_s=8.0,
    deadline_s=9.0,
    hold_s=1.0,
    faults=(
        Fault(1.5, FaultKind.SWITCH_HANGS, target=0, duration_s=20.0),
        Fault(1.6, FaultKind.SWITCH_VANISHES, target=1, duration_s=20.0),
        Fault(2.0, FaultKind.ROUTER_STOPS),
    ),
)
HUNG_SHORT_SHUTDOWN = replace(HUNG_SHUTDOWN, wait_s=0.4, deadline_s=0.4)


# Discovery accepts the routers' requests and answers none for longer than they keep late connections open.
HUNG_DISCOVERY = Schedule(
    seed=26,
    routers=1,
    switches=3,
    seconds=14.0,
    hold_s=1.0,
    faults=(Fault(1.0, FaultKind.DISCOVERY_HANGS, duration_s=12.0),),
)

# A router is restarted while one switch drains and another has been removed, with calls standing on both.
DRAIN_OVER_RESTART = Schedule(
    seed=27,
    routers=1,
    switches=3,
    seconds=8.0,
    hold_s=30.0,
    faults=(
        Fault(1.5, FaultKind.SWITCH_DRAINS, target=0, duration_s=8.0),
        Fault(1.5, FaultKind.SWITCH_REMOVED, target=1),
        Fault(2.5, FaultKind.ROUTER_STOPS),
    ),
)


def draw_schedule(seed: int) -> Schedule:
    """Draws a trial with one to eight faults, one to three of them at switches; they may overlap."""
    random = Random(seed)
    switches = random.randint(2, 5)
    routers = random.randint(1, 3)
    seconds = random.uniform(10.0, 18.0)
    faults = [draw_switch_fault(random, switches) for _ in range(random.randint(1, 3))]
    if random.random() < 0.6:
        kind = random.choice(DISCOVERY_FAULTS)
        faults.append(Fault(random.uniform(1.0, 4.0), kind, duration_s=random.uniform(2.0, 12.0)))
    faults += draw_router_faults(random, routers)
    if random.random() < 0.3:
        faults.append(Fault(random.uniform(2.0, 8.0), FaultKind.CALLERS_CROWD, random.randrange(routers)))
    return Schedule(
        seed=seed,
        routers=routers,
        switches=switches,
        seconds=seconds,
        rate=random.uniform(10.0, 40.0),
        wait_s=random.choice((0.4, 1.5, 3.0)),
        deadline_s=random.choice((0.5, 2.0, 3.0, 9.0)),
        hold_s=random.choice((0.5, 2.0, 6.0, 30.0)),
        cancel_share=random.choice((0.0, 0.05)),
        irregular_share=random.choice((0.0, 0.05)),
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
    )


def draw_router_faults(random: Random, routers: int) -> list[Fault]:
    """Draws up to three faults at routers, each up to 1.5 s after the previous, maybe at the same router."""
    number = random.choice((0, 0, 1, 1, 2, 3))
    start_s = random.uniform(1.5, 8.0)
    gaps_s = [random.uniform(0.0, 1.5) for _ in range(number)]
    return [
        Fault(start_s + sum(gaps_s[:index]), random.choice(ROUTER_FAULTS), random.randrange(routers))
        for index in range(number)
    ]


def draw_switch_fault(random: Random, switches: int) -> Fault:
    """Draws one fault at a switch, with a duration of 0 in ZERO_LENGTH_SHARE of the draws."""
    kind = random.choice(SWITCH_FAULTS)
    duration_s = 0.0 if random.random() < ZERO_LENGTH_SHARE else random.uniform(0.3, 12.0)
    return Fault(random.uniform(2.0, 7.0), kind, random.randrange(switches), duration_s)
