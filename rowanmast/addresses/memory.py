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

from rowanmast.addresses.order import MOST, Endpoint

WEIGHT = 0.125  # of a new connect time in the smoothed one, as RFC 6298 has it for round trips
PAUSE_US, PAUSE_MAX_US = 500_000, 60_000_000  # first and longest pause of an address that failed
JITTER = 0.25  # part by which a pause varies to either side
PROBE_US = 5_000_000  # beyond which a question that got no verdict is taken for lost


class Failure(Enum):
    """How a connect, or a connection that stood, came to its end."""

    REFUSED = "refused"  # nothing listens there: a proof, so it may soon be back
    UNREACHED = "unreached"  # the kernel knows no way
    TIMED_OUT = "timed out"  # packets vanish
    RESET = "reset"


class Standing(Enum):
    """What may be asked of an address now."""

    OPEN = "open"  # nothing speaks against it
    SHUT = "shut"  # it failed, and its pause is not over
    HALF_OPEN = "half open"  # the pause is over: one connection may ask


@dataclass(slots=True)
class Known:
    """One address."""

    smoothed_us: int | None = None  # connect time
    failures: int = 0  # in a row
    last: Failure | None = None
    shut_until: int = 0
    asked_at: int | None = None  # by the connection that asks whether it is back


class AddressMemory:
    """The addresses of one switch; goes with it. At most MOST are kept."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.known: dict[Endpoint, Known] = {}

    def keep_only(self, endpoints: Iterable[Endpoint]) -> None:
        """Forgets the addresses that the switch has no more."""
        wanted = set(endpoints)
        self.known = {endpoint: one for endpoint, one in self.known.items() if endpoint in wanted}

    def of(self, endpoint: Endpoint) -> Known:
        known = self.known.get(endpoint)
        if known is None:
            if len(self.known) >= MOST:  # the one that was remembered longest ago goes
                del self.known[next(iter(self.known))]
            known = self.known[endpoint] = Known()
        return known

    def standing(self, now: int, endpoint: Endpoint) -> Standing:
        known = self.known.get(endpoint)
        if known is None or not known.failures:
            return Standing.OPEN
        asking = known.asked_at is not None and now - known.asked_at < PROBE_US
        return Standing.SHUT if now < known.shut_until or asking else Standing.HALF_OPEN

    def begin(self, now: int, endpoint: Endpoint) -> bool:
        """Whether a connect may start; one to a half-open address then is the one that asks."""
        standing = self.standing(now, endpoint)
        if standing is Standing.HALF_OPEN:
            self.of(endpoint).asked_at = now
        return standing is not Standing.SHUT

    def connected(self, endpoint: Endpoint, took_us: int) -> None:
        known = self.of(endpoint)
        before = took_us if known.smoothed_us is None else known.smoothed_us
        known.smoothed_us = round(before + (took_us - before) * WEIGHT)
        known.failures, known.last, known.shut_until, known.asked_at = 0, None, 0, None

    def abandoned(self, endpoint: Endpoint) -> None:
        """A connect that lost its race tells nothing; its question may be asked again."""
        if endpoint in self.known:
            self.known[endpoint].asked_at = None

    def failed(self, now: int, endpoint: Endpoint, how: Failure) -> None:
        known = self.of(endpoint)
        known.failures += 1
        known.last, known.asked_at = how, None
        pause = min(PAUSE_US << min(known.failures - 1, 16), PAUSE_MAX_US)
        known.shut_until = now + round(pause * self.random.uniform(1 - JITTER, 1 + JITTER))

    def cost(self, endpoint: Endpoint) -> int:
        """For the order within a family: the smoothed connect time, an unknown one counting as none."""
        known = self.known.get(endpoint)
        return 0 if known is None or known.smoothed_us is None else known.smoothed_us
