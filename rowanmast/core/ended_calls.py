"""What the ledger keeps of calls that have ended. Times are microseconds; no I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# How long the id of an ended call is kept. If the switch's release crosses the router's own or is repeated
# within this time, it is not taken for the release of a call that an earlier run left standing. A set-up that
# comes with the same id is not sent on.
ENDED_CALL_RETENTION_US = 10_000_000
MAX_ENDED_CALLS = 50_000  # whose ids are kept
# Calls of an earlier run that are released within ENDED_CALL_RETENTION_US. Their ids come from switches, so
# without a limit one switch could keep the router busy with releases of calls that never were.
MAX_ORPHANS = 2000


@dataclass(frozen=True, slots=True)
class EndedCall:
    """What is kept of a call that was sent to a switch."""

    ended_at: int
    may_have_run: bool
    next_attempt_at: int  # end of the release guard time of its last attempt


class EndedCalls:
    """The calls that were sent to a switch and have ended, and the orphaned calls that were released."""

    def __init__(self) -> None:
        self.calls: OrderedDict[str, EndedCall] = OrderedDict()  # by call id, the oldest first
        self.orphans: OrderedDict[str, int] = OrderedDict()  # time of release by call id, the oldest first

    def add(self, call: str, ended: EndedCall) -> None:
        self.calls.pop(call, None)
        self.calls[call] = ended

    def get(self, call: str) -> EndedCall | None:
        return self.calls.get(call)

    def admit_orphan(self, now: int, call: str) -> bool:
        """Whether the release of a call of an earlier run is passed on: once, and within the limit."""
        if call in self.orphans or len(self.orphans) >= MAX_ORPHANS:
            return False
        self.orphans[call] = now
        return True

    def forget_expired(self, now: int) -> None:
        """Forgets the calls that ended too long ago, and the oldest beyond the limit."""
        while self.orphans and now - next(iter(self.orphans.values())) > ENDED_CALL_RETENTION_US:
            self.orphans.popitem(last=False)
        while self.calls:
            oldest = next(iter(self.calls.values()))
            expired = now - oldest.ended_at > ENDED_CALL_RETENTION_US
            if not expired and len(self.calls) <= MAX_ENDED_CALLS:
                return
            self.calls.popitem(last=False)
