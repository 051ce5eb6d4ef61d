"""What the embedded router decides about its host, without clock, threads or sockets.

A host may flood us, may forget outcomes, and may die in the middle of calls. Here it is decided which calls
are taken at all and which outcomes have waited too long; routing and load are the decision module's. Times
are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

BACK_OFF_US = 1_000_000  # stated to a call that finds no room


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a host may hold at once."""

    max_open: int = 1000  # calls that have no final answer yet
    max_standing: int = 10_000  # calls that stand
    collect_us: int = 5_000_000  # for which an outcome waits for its host to take it


class Stage(Enum):
    """Where a call of the host is."""

    OPEN = "open"  # its final answer is still owed
    OFFERED = "offered"  # it stands, but the host has not taken the outcome yet
    HELD = "held"  # it stands, and the host knows


class Verdict(Enum):
    """Whether a call is taken."""

    TAKEN = "taken"
    NO_ROOM = "no room"
    CLOSING = "closing"


class Admission:
    """The account of one host's calls."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.stages: dict[str, Stage] = {}
        self.open = 0
        self.offered: OrderedDict[str, int] = OrderedDict()  # when each uncollected outcome was given
        self.closing = False

    @property
    def standing(self) -> int:
        return len(self.stages) - self.open

    def ask(self, call: str) -> Verdict:
        """Takes a new call, or says why not. A refusal costs no memory."""
        if self.closing:
            return Verdict.CLOSING
        if self.open >= self.bounds.max_open or self.standing >= self.bounds.max_standing:
            return Verdict.NO_ROOM
        self.stages[call] = Stage.OPEN
        self.open += 1
        return Verdict.TAKEN

    def stands(self, call: str, now: int) -> bool:
        """The call stands from now on; False if the host has given it up, so that it must be released."""
        if self.stages.get(call) is not Stage.OPEN:
            return False
        self.open -= 1
        self.stages[call] = Stage.OFFERED
        self.offered[call] = now
        return True

    def collected(self, call: str) -> bool:
        """The host has taken the outcome; False if the call is over by now."""
        if self.stages.get(call) is not Stage.OFFERED:
            return False
        self.stages[call] = Stage.HELD
        del self.offered[call]
        return True

    def over(self, call: str) -> Stage | None:
        """The call has ended, whoever ended it: the stage in which it did, or None if that is known."""
        stage = self.stages.pop(call, None)
        if stage is Stage.OPEN:
            self.open -= 1
        self.offered.pop(call, None)
        return stage

    def clear(self) -> None:
        """Forgets every call: the router has ended."""
        self.stages.clear()
        self.offered.clear()
        self.open = 0

    def uncollected(self, now: int) -> list[str]:
        """The calls whose outcome has waited too long, oldest first; the caller ends them."""
        late: list[str] = []
        for call, since in self.offered.items():
            if now - since < self.bounds.collect_us:
                break
            late.append(call)
        return late
