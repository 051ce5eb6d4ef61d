"""Types of the decision module: its settings, the events it takes and the actions it returns.

All times and durations are integer nanoseconds. None means that a value is unknown, never that it is zero.
An exchange is identified by an opaque id (the `exchange` fields), which actions hand back unchanged; its
number stays the same when another machine takes its place. A call is identified by an opaque id too (the
`call` fields), its attempts by a number that starts at 0. Call classes are identified by their index in
`Settings.classes`, tenants by their index in `Settings.tenant_quotas`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether the set-up of a call may be repeated after an attempt that may have taken effect."""

    SAFE = "safe"  # it may be repeated at any exchange
    KEYED = "keyed"  # only where duplicates are dropped by key, see `CallClass.key_scope`
    UNSAFE = "unsafe"  # it may never be repeated


class ListKind(Enum):
    """What a list of exchanges contains."""

    CHANGES = "changes"  # only the entries that have changed
    FULL = "full"  # all exchanges
    SAVED = "saved"  # all exchanges, from a list stored before the start
    FAILED = "failed"  # nothing: no list could be obtained


class ExchangeState(Enum):
    """State of an exchange as given in the list."""

    UP = "up"  # accepts new calls
    DRAINING = "draining"  # accepts no new calls; standing calls go on
    GONE = "gone"  # no longer part of the network


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"  # the call was answered and ended normally
    BUSY = "busy"  # all lines of the number are busy (cause LINES_BUSY), or a signalling fault (no cause)
    FULL = "full"  # not set up: no circuit, crankback, or a full processor or pool
    TIMED_OUT = "timed out"  # no answer within the timeout of the set-up
    UNREACHED = "unreached"  # no connection to the exchange
    CUT = "cut"  # the connection or the call was broken off
    CALLED_OFF = "called off"  # cancelled by this agent or its caller, or released by the caller
    NOT_SENT = "not sent"  # no circuit, own processor down, call already over, or forbidden by a rule


class Cause(Enum):
    """Why an attempt was not set up, where it is known."""

    # No circuit is free on the group to the exchange, or the process's share of a cold exchange is used up.
    NO_CIRCUIT = "no circuit"
    CRANKBACK = "turned back"  # refused by the tandem, which has no onward circuit
    DESTINATION_FULL = "full beyond"  # refused by the tandem, as the destination's processor is full
    PROCESSOR_FULL = "processor full"  # of the exchange that the set-up was sent to
    LINES_BUSY = "lines busy"  # all lines of the number called


@dataclass(frozen=True, slots=True)
class CallClass:
    """Service class of calls. Worths are in credits, of any unit that is the same for all classes."""

    objective_ns: int  # a call that stands within this time after it was first dialled counts as in time
    deadline_ns: int  # hard limit of the set-up; a redial after it counts as a new call
    worth: float  # of a call that is set up in time
    late_worth: float  # factor on the worth of a call that is set up after its objective
    width: int  # circuits that a call needs
    mean_hold_ns: int | None  # mean holding time of a call
    idempotency: Idempotency
    # Where duplicates of a keyed call are dropped: "all" exchanges, those of the same "zone", or only the
    # exchange with the same number ("cell").
    key_scope: str
    dedup_window_ns: int  # how long after the set-up duplicates are dropped; for keyed classes
    skilled_pools: tuple[int, ...]  # numbers of the pools with the required skill; empty: any pool


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an agent, given once at its start. A number that is unknown is 0."""

    agents: int  # number of agents in the network
    agent_index: int  # of this agent, from 0
    own_exchange: int  # number of the exchange that the agent belongs to; -1 where exchanges are pools
    meshed: bool  # every exchange has a circuit group to every other; otherwise exchanges are pools
    deadline_margin_ns: int  # margin before deadlines; also the first value of the mean answer delay
    classes: tuple[CallClass, ...]
    overall_weight: float  # weight of all calls in the goal
    worst_window_weight: float  # weight of the worst time window in the goal
    worst_class_weight: float  # weight of the worst class in the goal
    tenant_quotas: tuple[float, ...]  # quota of each tenant, in calls per second
    over_share_worth: float  # worth of a call above its tenant's quota
    must_subscribe: bool  # the list is sent only after a subscription
    subscribe_within_ns: int  # time within which the agent has to subscribe
    answer_grace_ns: int  # time after its deadline in which a final answer is still accepted
    drain_grace_ns: int  # time in which set-ups to an exchange that starts to drain are still accepted
    # Capacity of an exchange that has just started, as a fraction of its full capacity.
    initial_capacity_fraction: float
    cold_ns: int  # how long after its start an exchange is cold, and has less than its full capacity
    collapse_multiple: float  # offered load, in multiples of its capacity, at which an exchange collapses
    collapse_after_ns: int  # how long that load must last for a collapse
    release_guard_ns: int  # time after which the circuits of a failed attempt are certain to be released
    retransmit_ns: int  # an unanswered set-up is retransmitted after this time; 0: never
    max_attempts: int  # set-ups for one call
    route_advice: bool  # calls carry the advised tandem or pool
    probes: bool  # exchanges may be asked for their load
    probe_cost: float  # cost of one probe
    cancel_allowed: bool  # attempts in flight may be cancelled
    retry_after_allowed: bool  # a retry-after time in a refusal reaches the caller
    max_retry_after_ns: int  # longest retry-after time


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of another exchange at one time; every field may be unknown."""

    free_circuits: float | None = None  # circuits free on the group to it
    group_size: float | None = None  # circuits of that group
    in_progress: float | None = None  # set-ups that are being processed
    queued: float | None = None  # set-ups that wait for the processor
    utilization: float | None = None  # of the processor
    recent_delay_ns: int | None = None  # of recent set-ups
    accept_rate: float | None = None  # new set-ups per second accepted from all senders
    throttle_fraction: float | None = None  # fraction of new set-ups that each sender should hold back


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One exchange in a list of exchanges."""

    exchange: str
    number: int  # of the exchange or pool
    zone: str | None  # failure domain; exchanges of unknown zone are not in the same one
    state: ExchangeState
    started_ns: int | None  # start of its process; None: long ago, so it is not cold


@dataclass(frozen=True, slots=True)
class ExchangeList:
    """Event: a list of exchanges has arrived, or the changes in it; or it could not be obtained."""

    kind: ListKind
    entries: tuple[ListEntry, ...]  # empty if it could not be obtained


@dataclass(frozen=True, slots=True)
class Call:
    """Event: a call from an own subscriber, or one in transit that another agent sent here."""

    call: str
    klass: int  # index of its class
    key: str  # the number dialled; empty: unknown
    tenant: int | None  # index of its tenant; None: unknown
    remaining_ns: int  # time left until its final answer is due
    dest: int  # number of the destination exchange
    width: int | None  # circuits that the call needs; None or 0: those of its class
    advised: int | None  # number of the advised tandem or pool; in transit: of the exchange it comes from
    redialled: bool  # the caller has dialled before, without success
    transit: bool  # sent here by another agent, to be passed on to its destination
    again: bool  # it stood, was cut and is placed again


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """Event: an attempt was answered, and the call stands."""

    call: str
    attempt: int
    exchange: str  # that the set-up was sent to
    delay_ns: int  # from the set-up to the answer


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt failed, or a call that stood has ended."""

    call: str
    attempt: int
    exchange: str  # that the set-up was sent to
    outcome: Outcome
    cause: Cause | None  # None: not stated
    retry_after_ns: int | None  # the wait that a full processor asks for; None: not stated
    final: bool  # the call needs no further answer
    delay_ns: int  # from the set-up to its end
    report: LoadReport  # load of the exchange, as far as it stated it


@dataclass(frozen=True, slots=True)
class CallerHungUp:
    """Event: the caller gave up before the final answer."""

    call: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Event: the number of free circuits has changed, or a probe was answered (delay above 0) or failed."""

    exchange: str
    answered: bool  # False: the probe failed
    delay_ns: int  # from the probe to its answer; 0 without a probe
    report: LoadReport


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: a timer set by `SetTimer` has expired."""

    token: str


Event = ExchangeList | Call | CallAnswered | AttemptEnded | CallerHungUp | LoadReported | TimerExpired


@dataclass(frozen=True, slots=True)
class SetUp:
    """Action: send a set-up for the call to the exchange."""

    call: str
    exchange: str  # the destination, a tandem or a pool
    timeout_ns: int  # how long to wait for the answer


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Action, final answer: the call is refused. A call in transit goes back to the agent that sent it."""

    call: str
    retry_after_ns: int  # a redial before this time has passed is likely to fail


@dataclass(frozen=True, slots=True)
class FailCall:
    """Action, final answer: the call has failed. It may have taken effect, so a repeat could do harm."""

    call: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: cancel an attempt in flight."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: return the token in a `TimerExpired` event after `in_ns`."""

    in_ns: int
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask the exchange for its load; a `LoadReported` event follows."""

    exchange: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: subscribe to the list of exchanges."""


@dataclass(frozen=True, slots=True)
class RequestList:
    """Action: request the list of exchanges once."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Action: write a line to the log."""

    text: str


Action = (
    SetUp | RefuseCall | FailCall | CancelAttempt | SetTimer | Probe | Subscribe | RequestList | LogMessage
)
