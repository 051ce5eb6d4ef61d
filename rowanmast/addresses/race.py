"""The race for one connection to a switch that has several addresses: RFC 8305, section 5. Without I/O.

Only connections are raced, never set-ups: a set-up leaves on a connection that has won. Times are
microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from rowanmast.addresses.order import Endpoint

STAGGER_US = 250_000  # Connection Attempt Delay, RFC 8305, section 8
STAGGER_MIN_US, STAGGER_MAX_US = 100_000, 2_000_000  # its bounds (the same section)
SLOWER = 3  # a connect takes this many times its smoothed time before the next address gets its turn


def stagger(smoothed_us: int | None) -> int:
    """The wait before the next address starts, by how long connects to the last one took before."""
    if smoothed_us is None:
        return STAGGER_US
    return min(max(SLOWER * smoothed_us, STAGGER_MIN_US), STAGGER_MAX_US)


class Race:
    """Says which addresses to start and when; hears which failed and which won."""

    def __init__(self, order: Sequence[Endpoint], now: int, stagger_us: int = STAGGER_US) -> None:
        self.waiting = list(order)
        self.running: list[Endpoint] = []
        self.winner: Endpoint | None = None
        self.stagger_us = stagger_us
        self.next_at = now

    @property
    def over(self) -> bool:
        """Won, or nothing is left that could win."""
        return self.winner is not None or not (self.waiting or self.running)

    def next_due(self) -> int | None:
        """When the next address starts, if nothing else happens before."""
        return self.next_at if self.waiting and self.winner is None else None

    def due(self, now: int) -> Endpoint | None:
        """The address to start now, if one is due; ask again until there is none."""
        if self.winner is not None or not self.waiting or now < self.next_at:
            return None
        endpoint = self.waiting.pop(0)
        self.running.append(endpoint)
        self.next_at = now + self.stagger_us
        return endpoint

    def failed(self, now: int, endpoint: Endpoint) -> None:
        """The next one starts at once (RFC 8305, section 5): it need not wait for a dead one."""
        if endpoint in self.running:
            self.running.remove(endpoint)
            self.next_at = min(self.next_at, now)

    def won(self, endpoint: Endpoint) -> list[Endpoint]:
        """The first to connect wins; returns the attempts to abandon. A later one is itself abandoned."""
        if self.winner is not None or endpoint not in self.running:
            return [endpoint]
        self.winner = endpoint
        self.running.remove(endpoint)
        losers, self.running = self.running, []
        self.waiting.clear()
        return losers
