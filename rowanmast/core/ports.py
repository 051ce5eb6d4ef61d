"""The interfaces between the ledger and its fronts and switch links, independent of any wire protocol.

Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from rowanmast import interface as api

NO_REPORT = api.LoadReport()


class Failure(Enum):
    """Why a call failed rather than being refused with a retry-after."""

    GIVEN_UP = "given up"  # not set up in time or before a shutdown; a retry by the caller could do harm
    CANCELLED = "cancelled"  # the caller cancelled the set-up
    FAULT = "fault"  # the router raised an exception while it handled this call
    UNFIT = "unfit"  # the call's class is unknown, or its id is in use


class EndReason(Enum):
    """Why a standing call ended; the value is written to the log."""

    SWITCH_RELEASED = "switch_released"
    CALLER_RELEASED = "caller_released"
    CALLER_CANCELLED = "caller_cancelled"  # its cancellation crossed the answer, or an IAX2 caller was lost
    SWITCH_DOWN = "switch_down"  # a refused connection proves that the switch's process is dead
    SWITCH_LOST = "switch_lost"  # nothing was received from the switch's process until the lease expired
    # Discovery no longer lists the switch and its connections are lost, or lists it on another machine.
    SWITCH_REMOVED = "switch_removed"
    ROUTER_STOPPED = "router_stopped"


class Front(Protocol):
    """A front end that accepts calls over one protocol.

    Each call gets one final answer: `answer` with the text that the switch returned, `refuse` with the time
    after which the caller may try again, or `fail`. `release` ends a standing call towards its caller; causes
    are those of Q.850.
    """

    survives_restart: bool  # standing calls outlive the router's process, and its next run can release them

    def answer(self, call: str, text: str) -> None: ...

    def refuse(self, call: str, retry_after_us: int) -> None: ...

    def fail(self, call: str, why: Failure) -> None: ...

    def release(self, call: str, cause: int) -> None: ...


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to set up a call at a switch."""

    call: str
    number: int  # counts the attempts of a call, from 0
    exchange: str
    klass: str
    key: str  # the number called
    text: str  # the caller's description of the call, passed on unchanged
    sent_at: int  # when the ledger started it; a link without an open connection sends it later
    deadline: int  # until which the switch's answer is awaited


class SwitchLink(Protocol):
    """The connection to one switch, over any protocol.

    `set_up` starts an attempt, whose result is posted to the inbox unless `cancel` ends it before. `release`
    ends a standing call at the switch. `probe` asks the switch for its load; the report and the response time
    are posted as well.
    """

    @property
    def survives_restart(self) -> bool:
        """Whether standing calls outlive the router's process.

        False also if a switch with standing calls has sent nothing since the last `verify_alive` of its link,
        as the next run would not hear from it either.
        """

    def set_up(self, attempt: Attempt) -> None: ...

    def cancel(self, call: str) -> None: ...

    def release(self, call: str, cause: int) -> None: ...

    def probe(self) -> None: ...


class NullLink:
    """Stands in for the link to a switch that no longer exists; releases and cancellations are dropped."""

    survives_restart = False

    def set_up(self, attempt: Attempt) -> None:
        raise LookupError(f"there is no link to {attempt.exchange}")

    def cancel(self, call: str) -> None:
        pass

    def release(self, call: str, cause: int) -> None:
        pass

    def probe(self) -> None:
        pass


Links = Mapping[str, SwitchLink]


class SendGate(Protocol):
    """The ledger's check whether a queued attempt, or one to be retransmitted, may still be sent."""

    def may_send(self, attempt: Attempt) -> bool: ...


@dataclass(frozen=True, slots=True)
class Route:
    """The routing data of a call, as in the headers X-Route and X-Redial."""

    dest: int  # number of the destination exchange
    width: int | None  # circuits that the call needs; None: those of its class
    via: int | None  # number of the advised tandem or pool; in transit: of the exchange it comes from
    redialled: bool  # the caller has dialled before, without success
    transit: bool  # sent by another router, to be passed on to the destination
    again: bool  # the call was cut and is set up once more


@dataclass(frozen=True, slots=True)
class Offer:
    """A new call that a front has accepted and that needs a final answer."""

    front: Front
    call: str
    klass: str
    key: str
    text: str
    remaining_us: int  # time left until the final answer is due
    route: Route
    front_bytes: int = 0  # what the front keeps until the final answer


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled its set-up, or was lost. If the call stands already, it ends as well."""

    call: str


@dataclass(frozen=True, slots=True)
class Released:
    """The caller released a standing call."""

    call: str
    cause: int


@dataclass(frozen=True, slots=True)
class Answered:
    """A switch answered a set-up; `attempt` is -1 if the link no longer knows the attempt."""

    exchange: str
    call: str
    attempt: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended before the switch answered it; `outcome` tells how."""

    exchange: str
    call: str
    attempt: int
    outcome: api.Outcome
    cause: api.Cause | None = None
    report: api.LoadReport = NO_REPORT


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A standing call ended, with outcome DONE or CUT: released by the switch, or given up by its link."""

    exchange: str
    call: str
    outcome: api.Outcome
    report: api.LoadReport = NO_REPORT
    why: EndReason = EndReason.SWITCH_RELEASED


@dataclass(frozen=True, slots=True)
class SwitchDown:
    """The switch's process is known to be dead; its calls are cut."""

    exchange: str


@dataclass(frozen=True, slots=True)
class EndUnanswered:
    """The router is about to stop: every unanswered call gets its final answer now."""


Input = (
    Offer
    | Cancelled
    | Released
    | Answered
    | AttemptFailed
    | CallEnded
    | SwitchDown
    | EndUnanswered
    | api.ExchangeList
    | api.LoadReported
)


class Inbox(Protocol):
    """Queues inputs for the ledger's next turn."""

    def post(self, item: Input) -> None: ...
