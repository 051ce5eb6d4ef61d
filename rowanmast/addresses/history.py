"""The connect times and failures of each address of a switch, and the backoff after failures. No I/O.

An address that failed is not tried during a backoff that doubles with each failure. After the backoff a
single connection probes the address (half-open, as in a circuit breaker). The backoff is jittered, so that
many routers do not probe in step. Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from rowanmast.addresses.order import MAX_ADDRESSES, Endpoint

SMOOTHING_WEIGHT = 0.125  # of a new connect time in the smoothed one, as in RFC 6298 for round-trip times
MIN_BACKOFF_US, MAX_BACKOFF_US = 500_000, 60_000_000  # after the first failure, and at most
BACKOFF_JITTER = 0.25  # fraction by which the backoff varies in either direction
PROBE_TIMEOUT_US = 5_000_000  # a probe without a result is considered lost after this time


class ConnectFailure(Enum):
    """Why a connect failed or a new connection was lost."""

    REFUSED = "refused"  # nothing listens at the address
    UNREACHED = "unreached"  # the kernel has no route
    TIMED_OUT = "timed out"  # packets are lost
    RESET = "reset"


class AddressState(Enum):
    """Whether an address may be tried now."""

    AVAILABLE = "open"  # no failure since the last successful connect; not a circuit breaker's open
    BACKING_OFF = "shut"  # it failed, and its backoff or its probe is not over
    HALF_OPEN = "half open"  # the backoff is over and no probe is pending: a single connection may probe it


@dataclass(slots=True)
class AddressRecord:
    """The history of one address."""

    smoothed_connect_us: int | None = None
    consecutive_failures: int = 0
    last_failure: ConnectFailure | None = None
    retry_at: int = 0  # end of the backoff
    probed_at: int | None = None  # start of the pending probe, if there is one


class AddressHistory:
    """The histories of the addresses of one switch. At most MAX_ADDRESSES are kept."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: dict[Endpoint, AddressRecord] = {}

    def retain(self, endpoints: Iterable[Endpoint]) -> None:
        """Deletes the records of all other addresses."""
        kept = set(endpoints)
        self.records = {endpoint: record for endpoint, record in self.records.items() if endpoint in kept}

    def record_of(self, endpoint: Endpoint) -> AddressRecord:
        """The record of an address, which is created if there is none."""
        record = self.records.get(endpoint)
        if record is None:
            if len(self.records) >= MAX_ADDRESSES:  # evict the oldest record
                del self.records[next(iter(self.records))]
            record = self.records[endpoint] = AddressRecord()
        return record

    def state(self, now: int, endpoint: Endpoint) -> AddressState:
        record = self.records.get(endpoint)
        if record is None or not record.consecutive_failures:
            return AddressState.AVAILABLE
        is_probing = record.probed_at is not None and now - record.probed_at < PROBE_TIMEOUT_US
        return AddressState.BACKING_OFF if now < record.retry_at or is_probing else AddressState.HALF_OPEN

    def try_start(self, now: int, endpoint: Endpoint) -> bool:
        """Whether a connect may start now. A connect to a half-open address becomes its probe."""
        state = self.state(now, endpoint)
        if state is AddressState.HALF_OPEN:
            self.record_of(endpoint).probed_at = now
        return state is not AddressState.BACKING_OFF

    def connected(self, endpoint: Endpoint, took_us: int) -> None:
        """A connect succeeded after `took_us` microseconds."""
        record = self.record_of(endpoint)
        before = took_us if record.smoothed_connect_us is None else record.smoothed_connect_us
        record.smoothed_connect_us = round(before + (took_us - before) * SMOOTHING_WEIGHT)
        record.consecutive_failures, record.last_failure, record.retry_at, record.probed_at = 0, None, 0, None

    def abandoned(self, endpoint: Endpoint) -> None:
        """A connect was cancelled without a result, as it lost its race; the address may be probed again."""
        if endpoint in self.records:
            self.records[endpoint].probed_at = None

    def failed(self, now: int, endpoint: Endpoint, failure: ConnectFailure) -> None:
        """A connect failed, or a new connection was lost: starts the backoff."""
        record = self.record_of(endpoint)
        record.consecutive_failures += 1
        record.last_failure, record.probed_at = failure, None
        backoff = min(MIN_BACKOFF_US << min(record.consecutive_failures - 1, 16), MAX_BACKOFF_US)
        record.retry_at = now + round(backoff * self.random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER))

    def cost(self, endpoint: Endpoint) -> int:
        """The smoothed connect time, 0 if unknown; lower ones are tried first within a family."""
        record = self.records.get(endpoint)
        return 0 if record is None or record.smoothed_connect_us is None else record.smoothed_connect_us
