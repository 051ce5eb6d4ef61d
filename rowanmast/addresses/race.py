"""Races connects to the addresses of a switch (Happy Eyeballs, RFC 8305, section 5). No I/O.

Only connects are raced, never set-ups: a set-up is sent on the connection that has won. Times are
microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from rowanmast.addresses.order import Endpoint

ATTEMPT_DELAY_US = 250_000  # Connection Attempt Delay, RFC 8305, section 8
MIN_ATTEMPT_DELAY_US, MAX_ATTEMPT_DELAY_US = 100_000, 2_000_000  # bounds, RFC 8305, section 8
DELAY_PER_CONNECT_TIME = 3  # the delay as a multiple of the smoothed connect time


def attempt_delay(connect_us: int | None) -> int:
    """The delay before the next address is started, given the smoothed connect time of the current one."""
    if connect_us is None:
        return ATTEMPT_DELAY_US
    return min(max(DELAY_PER_CONNECT_TIME * connect_us, MIN_ATTEMPT_DELAY_US), MAX_ATTEMPT_DELAY_US)


class Race:
    """Decides which addresses to start and when, given the results of the connects."""

    def __init__(self, order: Sequence[Endpoint], now: int, attempt_delay_us: int = ATTEMPT_DELAY_US) -> None:
        self.waiting = list(order)
        self.running: list[Endpoint] = []
        self.winner: Endpoint | None = None
        self.attempt_delay_us = attempt_delay_us
        self.next_start_at = now

    @property
    def finished(self) -> bool:
        """Whether an address has won or all have failed."""
        return self.winner is not None or not (self.waiting or self.running)

    def next_start(self) -> int | None:
        """When the next address is to be started if no connect fails before, or None if none is left."""
        return self.next_start_at if self.waiting and self.winner is None else None

    def start_next(self, now: int) -> Endpoint | None:
        """The address to start now, or None if none is due. Call it until it returns None."""
        if self.winner is not None or not self.waiting or now < self.next_start_at:
            return None
        endpoint = self.waiting.pop(0)
        self.running.append(endpoint)
        self.next_start_at = now + self.attempt_delay_us
        return endpoint

    def failed(self, now: int, endpoint: Endpoint) -> None:
        """The connect failed: the next address is due at once (RFC 8305, section 5)."""
        if endpoint in self.running:
            self.running.remove(endpoint)
            self.next_start_at = min(self.next_start_at, now)

    def won(self, endpoint: Endpoint) -> list[Endpoint]:
        """The connect succeeded. The first one wins; returns the connects to cancel, or a late one itself."""
        if self.winner is not None or endpoint not in self.running:
            return [endpoint]
        self.winner = endpoint
        self.running.remove(endpoint)
        losers, self.running = self.running, []
        self.waiting.clear()
        return losers
