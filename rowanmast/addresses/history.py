"""What is remembered of each address of a switch, and when one that failed is tried again. Without I/O.

An address that failed is shut for a pause that doubles; after it one connection, and no more, asks whether it
is back (half-open, as a circuit breaker). Pauses are jittered, so that many routers do not ask in step. Times
are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from rowanmast.addresses.order import MAX_ADDRESSES, Endpoint

SMOOTHING_WEIGHT = 0.125  # of a new connect time in the smoothed one, as RFC 6298 has it for round trips
MIN_BACKOFF_US, MAX_BACKOFF_US = 500_000, 60_000_000  # first and longest pause of an address that failed
BACKOFF_JITTER = 0.25  # part by which a pause varies to either side
PROBE_TIMEOUT_US = 5_000_000  # beyond which a question that got no verdict is taken for lost


class ConnectFailure(Enum):
    """How a connect, or a connection that stood, came to its end."""

    REFUSED = "refused"  # nothing listens there: a proof, so it may soon be back
    UNREACHED = "unreached"  # the kernel knows no way
    TIMED_OUT = "timed out"  # packets vanish
    RESET = "reset"


class AddressState(Enum):
    """What may be asked of an address now."""

    AVAILABLE = "open"  # nothing speaks against it
    BACKING_OFF = "shut"  # it failed, and its pause is not over
    HALF_OPEN = "half open"  # the pause is over: one connection may ask


@dataclass(slots=True)
class AddressRecord:
    """One address."""

    smoothed_connect_us: int | None = None  # connect time
    consecutive_failures: int = 0  # in a row
    last_failure: ConnectFailure | None = None
    retry_at: int = 0
    probed_at: int | None = None  # by the connection that asks whether it is back


class AddressHistory:
    """The addresses of one switch; goes with it. At most MOST are kept."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: dict[Endpoint, AddressRecord] = {}

    def retain(self, endpoints: Iterable[Endpoint]) -> None:
        """Forgets the addresses that the switch has no more."""
        wanted = set(endpoints)
        self.records = {endpoint: one for endpoint, one in self.records.items() if endpoint in wanted}

    def record_of(self, endpoint: Endpoint) -> AddressRecord:
        known = self.records.get(endpoint)
        if known is None:
            if len(self.records) >= MAX_ADDRESSES:  # the one that was remembered longest ago goes
                del self.records[next(iter(self.records))]
            known = self.records[endpoint] = AddressRecord()
        return known

    def state(self, now: int, endpoint: Endpoint) -> AddressState:
        known = self.records.get(endpoint)
        if known is None or not known.consecutive_failures:
            return AddressState.AVAILABLE
        asking = known.probed_at is not None and now - known.probed_at < PROBE_TIMEOUT_US
        return AddressState.BACKING_OFF if now < known.retry_at or asking else AddressState.HALF_OPEN

    def try_start(self, now: int, endpoint: Endpoint) -> bool:
        """Whether a connect may start; one to a half-open address then is the one that asks."""
        standing = self.state(now, endpoint)
        if standing is AddressState.HALF_OPEN:
            self.record_of(endpoint).probed_at = now
        return standing is not AddressState.BACKING_OFF

    def connected(self, endpoint: Endpoint, took_us: int) -> None:
        known = self.record_of(endpoint)
        before = took_us if known.smoothed_connect_us is None else known.smoothed_connect_us
        known.smoothed_connect_us = round(before + (took_us - before) * SMOOTHING_WEIGHT)
        known.consecutive_failures, known.last_failure, known.retry_at, known.probed_at = 0, None, 0, None

    def abandoned(self, endpoint: Endpoint) -> None:
        """A connect that lost its race tells nothing; its question may be asked again."""
        if endpoint in self.records:
            self.records[endpoint].probed_at = None

    def failed(self, now: int, endpoint: Endpoint, how: ConnectFailure) -> None:
        known = self.record_of(endpoint)
        known.consecutive_failures += 1
        known.last_failure, known.probed_at = how, None
        pause = min(MIN_BACKOFF_US << min(known.consecutive_failures - 1, 16), MAX_BACKOFF_US)
        known.retry_at = now + round(pause * self.random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER))

    def cost(self, endpoint: Endpoint) -> int:
        """For the order within a family: the smoothed connect time, an unknown one counting as none."""
        known = self.records.get(endpoint)
        return 0 if known is None or known.smoothed_connect_us is None else known.smoothed_connect_us
