"""Divides the set-ups that may be sent to a cold switch among the routers of one process.

The decision module limits a router's set-ups to a cold switch (one that has just started) to a share that it
derives from the router's mean rate of set-ups to one switch. Several routers in one process take the place of
one, so together they may send a cold switch no more than one router would. Separate limits would exceed that:
each router rounds its share up to a whole set-up, and each counts only the set-ups in its own window. Hence
one common account: the combined rate to one switch, one credit for all cold switches, and a window of recent
set-ups for each cold switch. A router that has sent more in the window than one that was denied leaves credit
for one set-up to it, so that a busy router can't starve the others.

Times are microseconds of the monotonic clock, passed in by the caller; the module has no clock, I/O or
randomness. The routers run on threads of their own, so each request takes a lock.
"""

from __future__ import annotations

import threading
from collections import Counter, deque
from dataclasses import dataclass, field

from rowanmast import interface as api

US_PER_SECOND = 1_000_000
NS_PER_US = 1000
RATE_WINDOW_US = 2 * US_PER_SECOND  # least period over which the rate of set-ups is measured
SMOOTHING_WEIGHT = 0.3  # of a new measurement in the smoothed rate
BUDGET_SAFETY_FACTOR = 0.8  # part of a cold switch's budget that is used, as in the decision module
HEADROOM = 2.0  # a warm switch can take at least twice what the process sends it


@dataclass(slots=True)
class ColdWindow:
    """The recent set-ups to one cold switch."""

    cold_until: int
    sent: deque[tuple[int, str]] = field(default_factory=deque)  # time and router of each set-up
    denied: dict[str, int] = field(default_factory=dict)  # router -> time of its last denied request

    def prune(self, now: int, span: int) -> None:
        """Deletes the entries that are at least `span` old."""
        while self.sent and now - self.sent[0][0] >= span:
            self.sent.popleft()
        for name in [name for name, denied_at in self.denied.items() if now - denied_at >= span]:
            del self.denied[name]

    def has_underserved_router(self, name: str) -> bool:
        """Whether a router that has sent fewer set-ups in the window than this one was denied one."""
        sent_by = Counter(sender for _, sender in self.sent)
        return any(sent_by[other] < sent_by[name] for other in self.denied if other != name)


class ColdShare:
    """The common account of all routers of a process; pass the same instance to each of them."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.members: set[str] = set()  # names of the routers that have joined
        self.windows: dict[str, ColdWindow] = {}  # by exchange
        self.each = 0.0  # mean set-ups per second to one switch by all routers together, smoothed
        self.count, self.since = 0, 0  # set-ups in the current rate measurement, and its start
        self.credit, self.fed = 0.0, 0  # set-ups allowed to cold switches, and the time of its last update

    def join(self, name: str, settings: api.Settings) -> ColdShareMember:
        """Adds a router under a name of its own. Raises ValueError if the name is in use."""
        with self.lock:
            if name in self.members:
                raise ValueError(f"a router named {name!r} has already joined this ColdShare")
            self.members.add(name)
        return ColdShareMember(self, name, settings)

    def leave(self, name: str) -> None:
        """Removes a router; the set-ups that it has sent still count."""
        with self.lock:
            self.members.discard(name)
            for window in self.windows.values():
                window.denied.pop(name, None)

    def note(self, now: int, others: int) -> None:
        """Counts a set-up, to a warm or a cold switch, for the mean rate to one switch.

        `others` is the number of switches among which the router divides its set-ups.
        """
        self.since = self.since or now
        self.count += 1
        elapsed = now - self.since
        if elapsed >= RATE_WINDOW_US:
            rate = self.count * US_PER_SECOND / elapsed / max(others, 1)
            self.each += (rate - self.each) * (SMOOTHING_WEIGHT if self.each else 1.0)
            self.count, self.since = 0, now

    def grant(self, now: int, name: str, settings: api.Settings, exchange: str, cold_until: int) -> bool:
        """Whether this router may send a set-up to a cold switch now; if so, it is counted as sent."""
        for key in [key for key, window in self.windows.items() if now >= window.cold_until]:
            del self.windows[key]
        if not self.windows:
            # The fraction given by the agent's index makes the processes take turns.
            self.credit = (settings.agent_index + 0.5) / max(settings.agents, 1) % 1.0
            self.fed = now
        window = self.windows.setdefault(exchange, ColdWindow(cold_until))
        window.cold_until = cold_until
        span = max(settings.collapse_after_ns // NS_PER_US, 1)
        window.prune(now, span)
        rate_each = (  # set-ups per microsecond to one cold switch
            HEADROOM
            * self.each
            * settings.initial_capacity_fraction
            * settings.collapse_multiple
            * BUDGET_SAFETY_FACTOR
            / US_PER_SECOND
        )
        rate = rate_each * len(self.windows)
        self.credit = min(self.credit + rate * (now - self.fed), max(rate * span, 1.0))
        self.fed = max(now, self.fed)
        # One switch gets at most twice its own rate, as the credit is common to all cold switches.
        max_in_window = max(HEADROOM * rate_each * span, 1.0)
        if self.credit < 1.0 + window.has_underserved_router(name) or len(window.sent) >= max_in_window:
            window.denied[name] = now
            return False
        window.denied.pop(name, None)
        self.credit -= 1.0
        window.sent.append((now, name))
        return True


class ColdShareMember:
    """One router's access to the common account."""

    def __init__(self, share: ColdShare, name: str, settings: api.Settings) -> None:
        self.share = share
        self.name = name
        self.settings = settings

    def try_acquire(self, now: int, entry: api.ListEntry, others: int) -> bool:
        """Whether a set-up may be sent to the switch of `entry`; if so, it is counted as sent.

        `others` is the number of listed switches without the router's own.
        """
        started_ns = entry.started_ns
        is_cold = started_ns is not None and now * NS_PER_US - started_ns < self.settings.cold_ns
        with self.share.lock:
            if is_cold and started_ns is not None:
                cold_until = (started_ns + self.settings.cold_ns) // NS_PER_US
                if not self.share.grant(now, self.name, self.settings, entry.exchange, cold_until):
                    return False
            self.share.note(now, others)
            return True

    def leave(self) -> None:
        self.share.leave(self.name)
