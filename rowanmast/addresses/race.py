"""The race for one connection to a switch that has several addresses: RFC 8305, section 5. Without I/O.

Only connections are raced, never set-ups: a set-up leaves on a connection that has won. Times are
microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from rowanmast.addresses.order import Endpoint

ATTEMPT_DELAY_US = 250_000  # Connection Attempt Delay, RFC 8305, section 8
MIN_ATTEMPT_DELAY_US, MAX_ATTEMPT_DELAY_US = 100_000, 2_000_000  # its bounds (the same section)
DELAY_PER_CONNECT_TIME = (
    3  # a connect takes this many times its smoothed time before the next address gets its turn
)


def attempt_delay(smoothed_us: int | None) -> int:
    """The wait before the next address starts, by how long connects to the last one took before."""
    if smoothed_us is None:
        return ATTEMPT_DELAY_US
    return min(max(DELAY_PER_CONNECT_TIME * smoothed_us, MIN_ATTEMPT_DELAY_US), MAX_ATTEMPT_DELAY_US)


class Race:
    """Says which addresses to start and when; hears which failed and which won."""

    def __init__(self, order: Sequence[Endpoint], now: int, attempt_delay_us: int = ATTEMPT_DELAY_US) -> None:
        self.waiting = list(order)
        self.running: list[Endpoint] = []
        self.winner: Endpoint | None = None
        self.attempt_delay_us = attempt_delay_us
        self.next_start_at = now

    @property
    def finished(self) -> bool:
        """Won, or nothing is left that could win."""
        return self.winner is not None or not (self.waiting or self.running)

    def next_start(self) -> int | None:
        """When the next address starts, if nothing else happens before."""
        return self.next_start_at if self.waiting and self.winner is None else None

    def start_next(self, now: int) -> Endpoint | None:
        """The address to start now, if one is due; ask again until there is none."""
        if self.winner is not None or not self.waiting or now < self.next_start_at:
            return None
        endpoint = self.waiting.pop(0)
        self.running.append(endpoint)
        self.next_start_at = now + self.attempt_delay_us
        return endpoint

    def failed(self, now: int, endpoint: Endpoint) -> None:
        """The next one starts at once (RFC 8305, section 5): it need not wait for a dead one."""
        if endpoint in self.running:
            self.running.remove(endpoint)
            self.next_start_at = min(self.next_start_at, now)

    def won(self, endpoint: Endpoint) -> list[Endpoint]:
        """The first to connect wins; returns the attempts to abandon. A later one is itself abandoned."""
        if self.winner is not None or endpoint not in self.running:
            return [endpoint]
        self.winner = endpoint
        self.running.remove(endpoint)
        losers, self.running = self.running, []
        self.waiting.clear()
        return losers
