"""The releases and cancellations that a switch may not have received yet. No I/O, no clock.

A line is lost if its connection is reset before the switch has read it, and the switch need not acknowledge
it (PROTOCOL, "Messages"). Each line is therefore kept until it is acknowledged or its connection has stayed
open long enough, and goes back into the queue if that connection is lost. Repeating a release is harmless:
a switch ignores one of a call that it does not know. All times are microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# A connection on which sent bytes are not acknowledged is lost before this time (TCP_USER_TIMEOUT is 3 s).
DELIVERY_TIMEOUT_US = 5_000_000
MAX_PENDING = 10_000  # per switch; the oldest are dropped beyond it


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A line that was written and is neither acknowledged nor old enough to count as received."""

    line: bytes
    connection: int  # the number of the connection
    sent_at: int


class PendingReleases:
    """The queued and the sent releases of one switch, by call."""

    def __init__(self) -> None:
        self.queued: OrderedDict[str, bytes] = OrderedDict()
        self.sent: OrderedDict[str, SentRelease] = OrderedDict()  # the oldest first

    def __bool__(self) -> bool:
        """Whether a release waits to be sent."""
        return bool(self.queued)

    def queue(self, call: str, line: bytes) -> None:
        """Adds a release that is to be sent on the next opportunity."""
        self.sent.pop(call, None)
        self.queued[call] = line
        while len(self.queued) > MAX_PENDING:
            self.queued.popitem(last=False)

    def record_sent(self, call: str, line: bytes, connection: int, now: int) -> None:
        """The release has been written to this connection."""
        self.queued.pop(call, None)
        self.sent.pop(call, None)
        self.sent[call] = SentRelease(line, connection, now)
        self.forget_delivered(now)

    def take_queued(self, connection: int, now: int) -> list[bytes]:
        """Returns the lines to write to this connection now; they count as sent."""
        queued, self.queued = self.queued, OrderedDict()
        for call, line in queued.items():
            self.record_sent(call, line, connection, now)
        return list(queued.values())

    def connection_lost(self, connection: int, now: int) -> None:
        """Queues again what was sent on this connection and may not have arrived."""
        self.forget_delivered(now)
        for call, release in list(self.sent.items()):
            if release.connection == connection:
                self.queue(call, release.line)

    def forget(self, call: str) -> None:
        """The switch has acknowledged the release, or the call is set up there once more."""
        self.queued.pop(call, None)
        self.sent.pop(call, None)

    def forget_delivered(self, now: int) -> None:
        while self.sent:
            oldest = next(iter(self.sent.values()))
            if len(self.sent) <= MAX_PENDING and now - oldest.sent_at < DELIVERY_TIMEOUT_US:
                return
            self.sent.popitem(last=False)
