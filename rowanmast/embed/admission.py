"""Admission control of an embedded router towards its host. Has no clock, threads or sockets.

A host may submit too many calls, never collect outcomes, or close an event loop that awaits some. This module
decides which calls are admitted and which outcomes have expired uncollected; routing and load control belong
to the decision module. Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

REFUSAL_RETRY_AFTER_US = 1_000_000  # for calls refused at the bounds or while closing


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on the calls of one host.

    A new call is refused while `max_open` calls have no final answer or `max_standing` calls stand; a call
    that was admitted before may still be answered and stand. A standing call whose outcome is not collected
    within `collect_us` microseconds is released.
    """

    max_open: int = 1000
    max_standing: int = 10_000
    collect_us: int = 5_000_000


class CallState(Enum):
    """The state of a call placed by the host."""

    OPEN = "open"  # has no final answer yet
    UNCOLLECTED = "uncollected"  # stands; the host has not collected the outcome yet
    COLLECTED = "collected"  # stands, and the host has collected the outcome


class AdmissionResult(Enum):
    """Whether a new call is admitted."""

    ADMITTED = "admitted"
    AT_LIMIT = "at limit"
    CLOSING = "closing"


class AdmissionControl:
    """Tracks the calls of one host and admits new ones within its bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.states: dict[str, CallState] = {}
        self.open_count = 0
        self.uncollected_since: OrderedDict[str, int] = OrderedDict()  # oldest first
        self.closing = False

    @property
    def standing_count(self) -> int:
        return len(self.states) - self.open_count

    def admit(self, call: str) -> AdmissionResult:
        """Records a new call if it is admitted. Nothing is stored for a refused one."""
        if self.closing:
            return AdmissionResult.CLOSING
        if self.open_count >= self.bounds.max_open or self.standing_count >= self.bounds.max_standing:
            return AdmissionResult.AT_LIMIT
        self.states[call] = CallState.OPEN
        self.open_count += 1
        return AdmissionResult.ADMITTED

    def mark_standing(self, call: str, now: int) -> bool:
        """Records that an open call stands; False if it is not open, and then has to be released."""
        if self.states.get(call) is not CallState.OPEN:
            return False
        self.open_count -= 1
        self.states[call] = CallState.UNCOLLECTED
        self.uncollected_since[call] = now
        return True

    def mark_collected(self, call: str) -> bool:
        """Records that the host has the outcome; False if the call has ended or was collected before."""
        if self.states.get(call) is not CallState.UNCOLLECTED:
            return False
        self.states[call] = CallState.COLLECTED
        del self.uncollected_since[call]
        return True

    def remove(self, call: str) -> CallState | None:
        """Removes an ended call and returns its last state, or None if it was removed before."""
        state = self.states.pop(call, None)
        if state is CallState.OPEN:
            self.open_count -= 1
        self.uncollected_since.pop(call, None)
        return state

    def clear(self) -> None:
        """Removes every call, when the router has ended."""
        self.states.clear()
        self.uncollected_since.clear()
        self.open_count = 0

    def expired_outcomes(self, now: int) -> list[str]:
        """The calls whose outcome was not collected in time, oldest first. It does not end them."""
        expired: list[str] = []
        for call, since in self.uncollected_since.items():
            if now - since < self.bounds.collect_us:
                break
            expired.append(call)
        return expired
