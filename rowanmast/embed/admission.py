"""What the embedded router decides about its host, without clock, threads or sockets.

A host may flood us, may forget outcomes, and may die in the middle of calls. Here it is decided which calls
are taken at all and which outcomes have waited too long; routing and load are the decision module's. Times
are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

REFUSAL_RETRY_AFTER_US = 1_000_000  # stated to a call that finds no room


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a host may hold at once."""

    max_open: int = 1000  # calls that have no final answer yet
    max_standing: int = 10_000  # calls that stand
    collect_us: int = 5_000_000  # for which an outcome waits for its host to take it


class CallState(Enum):
    """Where a call of the host is."""

    OPEN = "open"  # its final answer is still owed
    UNCOLLECTED = "uncollected"  # it stands, but the host has not taken the outcome yet
    COLLECTED = "collected"  # it stands, and the host knows


class AdmissionResult(Enum):
    """Whether a call is taken."""

    ADMITTED = "admitted"
    AT_LIMIT = "at limit"
    CLOSING = "closing"


class AdmissionControl:
    """The account of one host's calls."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.states: dict[str, CallState] = {}
        self.open_count = 0
        self.uncollected_since: OrderedDict[str, int] = (
            OrderedDict()
        )  # when each uncollected outcome was given
        self.closing = False

    @property
    def standing_count(self) -> int:
        return len(self.states) - self.open_count

    def admit(self, call: str) -> AdmissionResult:
        """Takes a new call, or says why not. A refusal costs no memory."""
        if self.closing:
            return AdmissionResult.CLOSING
        if self.open_count >= self.bounds.max_open or self.standing_count >= self.bounds.max_standing:
            return AdmissionResult.AT_LIMIT
        self.states[call] = CallState.OPEN
        self.open_count += 1
        return AdmissionResult.ADMITTED

    def mark_standing(self, call: str, now: int) -> bool:
        """The call stands from now on; False if the host has given it up, so that it must be released."""
        if self.states.get(call) is not CallState.OPEN:
            return False
        self.open_count -= 1
        self.states[call] = CallState.UNCOLLECTED
        self.uncollected_since[call] = now
        return True

    def mark_collected(self, call: str) -> bool:
        """The host has taken the outcome; False if the call is over by now."""
        if self.states.get(call) is not CallState.UNCOLLECTED:
            return False
        self.states[call] = CallState.COLLECTED
        del self.uncollected_since[call]
        return True

    def remove(self, call: str) -> CallState | None:
        """The call has ended, whoever ended it: the stage in which it did, or None if that is known."""
        stage = self.states.pop(call, None)
        if stage is CallState.OPEN:
            self.open_count -= 1
        self.uncollected_since.pop(call, None)
        return stage

    def clear(self) -> None:
        """Forgets every call: the router has ended."""
        self.states.clear()
        self.uncollected_since.clear()
        self.open_count = 0

    def expired_outcomes(self, now: int) -> list[str]:
        """The calls whose outcome has waited too long, oldest first; the caller ends them."""
        late: list[str] = []
        for call, since in self.uncollected_since.items():
            if now - since < self.bounds.collect_us:
                break
            late.append(call)
        return late
