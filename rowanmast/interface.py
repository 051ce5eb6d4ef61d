"""The types of the decision module: start settings, events in, actions out.

All times are integer nanoseconds; None means that a value is not known, never that it is zero.
An exchange is named by an opaque id that is handed back unchanged; its number stays the same
when another machine takes its place. Classes are named by their index in `Settings.classes`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeated set-up of a call may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class ListKind(Enum):
    """How the list of exchanges reached us."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


class ExchangeState(Enum):
    """What the list says of an exchange."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    DONE = "done"  # the call stood and came to its end
    BUSY = "busy"  # all lines of the number are busy, or a signalling fault
    FULL = "full"  # not set up: turned back, or a processor or a pool was full
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"  # no connection to the exchange
    CUT = "cut"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"  # no circuit, own processor down, or nothing left to send for


class Cause(Enum):
    """Why an attempt was not set up, where that is stated."""

    NO_CIRCUIT = "no circuit"
    CRANKBACK = "turned back"
    DESTINATION_FULL = "full beyond"  # turned back, the destination's processor was full
    PROCESSOR_FULL = "processor full"
    LINES_BUSY = "lines busy"


@dataclass(frozen=True, slots=True)
class CallClass:
    objective_ns: int
    deadline_ns: int
    worth: float
    late_worth: float
    width: int
    mean_hold_ns: int | None
    idempotency: Idempotency
    key_scope: str  # "all", "zone" or "cell"; counts for keyed classes only
    dedup_window_ns: int
    skilled_pools: tuple[int, ...]  # the pools that have the skill; empty: any


@dataclass(frozen=True, slots=True)
class Settings:
    """What an agent is told once, at its start."""

    agents: int
    agent_index: int
    own_exchange: int  # own number; -1 where exchanges are pools
    meshed: bool
    period_ns: int
    classes: tuple[CallClass, ...]
    overall_weight: float
    worst_window_weight: float
    worst_class_weight: float
    tenant_quotas: tuple[float, ...]  # calls a second within the share, by tenant
    over_share_worth: float
    must_subscribe: bool  # the list comes only when asked for
    subscribe_within_ns: int
    answer_grace_ns: int
    drain_grace_ns: int
    cold_share: float
    cold_ns: int
    collapse_load: float
    collapse_after_ns: int
    release_guard_ns: int
    retransmit_ns: int  # 0: a waiting set-up is not sent again
    max_attempts: int
    route_advice: bool
    probes: bool
    probe_cost: float
    cancel_allowed: bool
    retry_after_allowed: bool  # a stated stay-away time reaches the callers
    max_retry_after_ns: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What is known of a far exchange at one time."""

    free_circuits: float | None = None  # circuits free on our group to it
    group_size: float | None = None  # circuits of that group
    in_progress: float | None = None
    queued: float | None = None
    utilization: float | None = None
    recent_delay_ns: int | None = None
    accept_rate: float | None = None  # new set-ups a second from all senders
    throttle_fraction: float | None = None  # share of new set-ups that each sender should keep back


@dataclass(frozen=True, slots=True)
class ListEntry:
    exchange: str
    number: int
    zone: str | None
    state: ExchangeState
    started_ns: int | None  # None: long ago


@dataclass(frozen=True, slots=True)
class ExchangeList:
    kind: ListKind
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A call from one of our subscribers, or one in transit that another agent sent here."""

    call: str
    klass: int
    key: str
    tenant: int | None
    remaining_ns: int
    dest: int
    width: int | None
    advised: int | None  # advised tandem or pool; in transit: where the call comes from
    redialled: bool
    transit: bool
    again: bool  # it was cut and comes again


@dataclass(frozen=True, slots=True)
class CallAnswered:
    call: str
    attempt: int
    exchange: str
    delay_ns: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    call: str
    attempt: int
    exchange: str
    outcome: Outcome
    cause: Cause | None
    retry_after_ns: int | None  # the wait that a full processor states
    final: bool  # nothing more is owed for the call
    delay_ns: int
    report: LoadReport


@dataclass(frozen=True, slots=True)
class CallerHungUp:
    call: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Free circuits changed, or a probe was answered (delay above zero) or failed."""

    exchange: str
    answered: bool
    delay_ns: int
    report: LoadReport


@dataclass(frozen=True, slots=True)
class TimerExpired:
    token: str


Event = ExchangeList | Call | CallAnswered | AttemptEnded | CallerHungUp | LoadReported | TimerExpired


@dataclass(frozen=True, slots=True)
class SetUp:
    call: str
    exchange: str
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: refused. A call in transit goes back to the agent that sent it."""

    call: str
    retry_after_ns: int


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final answer: failed."""

    call: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    in_ns: int
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    exchange: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    pass


@dataclass(frozen=True, slots=True)
class RequestList:
    pass


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


Action = (
    SetUp | RefuseCall | FailCall | CancelAttempt | SetTimer | Probe | Subscribe | RequestList | LogMessage
)
