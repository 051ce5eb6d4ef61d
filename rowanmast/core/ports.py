"""What the ledger exchanges with fronts and switch links, in words of no wire. Times are microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from rowanmast import interface as api

NO_REPORT = api.LoadReport()


class Failure(Enum):
    """Why a call failed rather than being turned away."""

    GIVEN_UP = "given up"
    CANCELLED = "cancelled"  # the caller took the set-up back
    FAULT = "fault"  # an exception of our own in this call
    UNFIT = "unfit"  # its class is unknown, or its id that of a call that is there already


class Ending(Enum):
    """Why a call that stood is over; the value goes into the log."""

    SWITCH_RELEASED = "switch_released"
    CALLER_RELEASED = "caller_released"
    CALLER_CANCELLED = "caller_cancelled"  # its CANCEL crossed our answer
    SWITCH_DOWN = "switch_down"  # a refused connection proves that the switch's process is dead
    SWITCH_LOST = "switch_lost"  # nothing was heard of its process for the length of a lease
    SWITCH_REMOVED = "switch_removed"  # discovery no longer lists the switch, and its connections are lost
    ROUTER_STOPPED = "router_stopped"


class Front(Protocol):
    """Where calls come from."""

    survives_restart: bool  # calls stand on when the router ends, and its next run may release them

    def answer(self, call: str, text: str) -> None: ...

    def refuse(self, call: str, retry_after_us: int) -> None: ...

    def fail(self, call: str, why: Failure) -> None: ...

    def release(self, call: str, cause: int) -> None: ...


@dataclass(frozen=True, slots=True)
class Attempt:
    """A set-up on its way to one switch."""

    call: str
    number: int
    exchange: str
    klass: str
    key: str
    text: str
    sent_at: int
    deadline: int


class SwitchLink(Protocol):
    """The way to one switch. `cancel` takes back a set-up, `release` ends a call that stands."""

    @property
    def survives_restart(self) -> bool:
        """As with a front; not while the switch is silent, as the next run would not hear of it either."""

    def set_up(self, attempt: Attempt) -> None: ...

    def cancel(self, call: str) -> None: ...

    def release(self, call: str, cause: int) -> None: ...

    def probe(self) -> None: ...


class NullLink:
    """In place of the link to a switch that is gone: there is nothing to tell there any more."""

    survives_restart = False

    def set_up(self, attempt: Attempt) -> None:
        raise LookupError(f"{attempt.exchange} is gone")

    def cancel(self, call: str) -> None:
        pass

    def release(self, call: str, cause: int) -> None:
        pass

    def probe(self) -> None:
        pass


Links = Mapping[str, SwitchLink]


class SendGate(Protocol):
    """Asked when a set-up's bytes are about to leave: the ledger."""

    def may_send(self, attempt: Attempt) -> bool: ...


@dataclass(frozen=True, slots=True)
class Route:
    """Where a set-up is to go, and what is said of how it came."""

    dest: int
    width: int | None
    via: int | None
    redialled: bool
    transit: bool
    again: bool


@dataclass(frozen=True, slots=True)
class Offer:
    """A set-up that a front has taken and that now is owed a final answer."""

    front: Front
    call: str
    klass: str
    key: str
    text: str
    remaining_us: int
    route: Route


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller took its set-up back, or the connection that owned it is lost."""

    call: str


@dataclass(frozen=True, slots=True)
class Released:
    """The caller ended a call that stood."""

    call: str
    cause: int


@dataclass(frozen=True, slots=True)
class Answered:
    """A switch says that the call stands; -1 for an attempt that its link no longer knows."""

    exchange: str
    call: str
    attempt: int
    text: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A set-up ended without an answer."""

    exchange: str
    call: str
    attempt: int
    outcome: api.Outcome
    cause: api.Cause | None = None
    report: api.LoadReport = NO_REPORT


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call that stood is over: DONE, or CUT. By the switch's word, or as its link can't believe in it."""

    exchange: str
    call: str
    outcome: api.Outcome
    report: api.LoadReport = NO_REPORT
    why: Ending = Ending.SWITCH_RELEASED


@dataclass(frozen=True, slots=True)
class SwitchDown:
    """The switch's process is proven dead: what stood there is cut."""

    exchange: str


@dataclass(frozen=True, slots=True)
class EndUnanswered:
    """The router is about to end: every call without an answer is answered now."""


Input = (
    Offer
    | Cancelled
    | Released
    | Answered
    | AttemptEnded
    | CallEnded
    | SwitchDown
    | EndUnanswered
    | api.ExchangeList
    | api.LoadReported
)


class Inbox(Protocol):
    """Takes what callbacks gather, for the next turn."""

    def post(self, item: Input) -> None: ...
