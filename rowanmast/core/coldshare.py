"""How the routers of one process divide what a cold switch may be sent: no clock, no sockets, no randomness.

Every router keeps to a share of its own, judged from what it sends to warm switches (the module's
`has_budget`). Two routers in one process stand in for one, so together they may send a cold switch no more
than that one would: each copy would round its share up to a set-up, and each would start its count anew.
The account here is kept over all of them: the rate at which together they send to a warm switch, one credit
for all cold switches, and a window for each. A copy that had more of late leaves a credit for one that was
turned down, so that a busy one can't starve the others. Times are microseconds of the monotonic clock.

The copies run on threads of their own, so each question takes a lock.
"""

from __future__ import annotations

import threading
from collections import Counter, deque
from dataclasses import dataclass, field

from rowanmast import interface as api

US_PER_SECOND = 1_000_000
NS_PER_US = 1000
RATE_WINDOW_US = 2 * US_PER_SECOND  # span over which set-ups to warm switches are counted
SMOOTHING_WEIGHT = 0.3  # of a new count in the smoothed rate
BUDGET_SAFETY_FACTOR = 0.8  # share of a cold switch's budget that is used, as in the decision module
HEADROOM = 2.0  # a warm switch takes at least twice what one router sends it


@dataclass(slots=True)
class ColdWindow:
    """What went to one cold switch of late."""

    cold_until: int
    sent: deque[tuple[int, str]] = field(default_factory=deque)  # when, by which router
    denied: dict[str, int] = field(default_factory=dict)  # when each router was last turned down in vain

    def prune(self, now: int, span: int) -> None:
        while self.sent and now - self.sent[0][0] >= span:
            self.sent.popleft()
        for name in [name for name, at in self.denied.items() if now - at >= span]:
            del self.denied[name]

    def has_underserved_router(self, name: str) -> bool:
        """Whether another router was turned down that had less of the window than this one."""
        had = Counter(sender for _, sender in self.sent)
        return any(had[other] < had[name] for other in self.denied if other != name)


class ColdShare:
    """One account for all routers of a process. Give the same one to each of them."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.router_names: set[str] = set()  # names of the routers
        self.windows: dict[str, ColdWindow] = {}
        self.warm_rate = 0.0  # set-ups a second to one warm switch, by all together, smoothed
        self.count, self.counted_since = 0, 0
        self.credit, self.credit_updated_at = 0.0, 0

    def join(self, name: str, settings: api.Settings) -> ColdShareMember:
        """The side of one router; names tell the copies apart. Raises ValueError for one that is in use."""
        with self.lock:
            if name in self.router_names:
                raise ValueError(f"a router named {name!r} shares already")
            self.router_names.add(name)
        return ColdShareMember(self, name, settings)

    def leave(self, name: str) -> None:
        with self.lock:
            self.router_names.discard(name)
            for window in self.windows.values():
                window.denied.pop(name, None)  # what it sent still counts

    def note(self, now: int, others: int) -> None:
        """Counts one set-up that leaves, among `others` switches that take them."""
        self.counted_since = self.counted_since or now
        self.count += 1
        past = now - self.counted_since
        if past >= RATE_WINDOW_US:
            each = self.count * US_PER_SECOND / past / max(others, 1)
            self.warm_rate += (each - self.warm_rate) * (SMOOTHING_WEIGHT if self.warm_rate else 1.0)
            self.count, self.counted_since = 0, now

    def grant(self, now: int, name: str, settings: api.Settings, exchange: str, cold_until: int) -> bool:
        """Whether this router may send one set-up to a cold switch now; if so, it counts as sent."""
        for key in [key for key, window in self.windows.items() if now >= window.cold_until]:
            del self.windows[key]
        if not self.windows:  # routers of other processes start at other parts of a set-up
            self.credit = (settings.agent_index + 0.5) / max(settings.agents, 1) % 1.0
            self.credit_updated_at = now
        window = self.windows.setdefault(exchange, ColdWindow(cold_until))
        window.cold_until = cold_until
        span = max(settings.collapse_after_ns // NS_PER_US, 1)
        window.prune(now, span)
        takes = (
            HEADROOM
            * self.warm_rate
            * settings.cold_share
            * settings.collapse_load
            * BUDGET_SAFETY_FACTOR
            / US_PER_SECOND
        )
        rate = takes * len(self.windows)
        self.credit = min(self.credit + rate * (now - self.credit_updated_at), max(rate * span, 1.0))
        self.credit_updated_at = max(now, self.credit_updated_at)
        most = max(HEADROOM * takes * span, 1.0)
        if self.credit < 1.0 + window.has_underserved_router(name) or len(window.sent) >= most:
            window.denied[name] = now
            return False
        window.denied.pop(name, None)
        self.credit -= 1.0
        window.sent.append((now, name))
        return True


class ColdShareMember:
    """One router's side of the account."""

    def __init__(self, share: ColdShare, name: str, settings: api.Settings) -> None:
        self.share = share
        self.name = name
        self.settings = settings

    def try_acquire(self, now: int, entry: api.ListEntry, others: int) -> bool:
        """Asked before each set-up; `others` counts the switches up besides the own. A yes counts as sent."""
        started = entry.started_ns
        cold = started is not None and now * NS_PER_US - started < self.settings.cold_ns
        with self.share.lock:
            if cold and started is not None:
                until = (started + self.settings.cold_ns) // NS_PER_US
                if not self.share.grant(now, self.name, self.settings, entry.exchange, until):
                    return False
            self.share.note(now, others)
            return True

    def leave(self) -> None:
        self.share.leave(self.name)
