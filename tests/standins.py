"""What the tests of the network code share: transports without sockets, stand-ins, and the rule watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from conftest import SETTINGS, entry

from rowanmast import interface as api
from rowanmast.core.ports import Attempt, Failure, Input, Offer, Route

US = 1_000_000  # microseconds in a second
RELEASE = SETTINGS.release_ns // 1000


def offer(
    front: Any, name: str, dest: int = 1, left: int = 3 * US, transit: bool = False, key: str = ""
) -> Offer:
    route = Route(dest, 1, None, False, transit, False)
    return Offer(front, name, "plain", key or name, f"text of {name}", left, route)


class FakeTransport(asyncio.Transport):
    """Keeps what is written; closing is told back to the protocol at once, as if the loop had turned."""

    def __init__(self, protocol: Any) -> None:
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.closed = False
        protocol.connection_made(self)

    def write(self, data: Any) -> None:
        assert not self.closed, "written after the close"
        self.written += bytes(data)

    def take(self) -> bytes:
        written, self.written = self.written, b""
        return written

    def is_closing(self) -> bool:
        return self.closed

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high is not None, "the buffer has a bound"

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(None)

    abort = close


@dataclass
class Inbox:
    """Keeps what is posted."""

    items: list[Input] = field(default_factory=list)

    def post(self, item: Input) -> None:
        self.items.append(item)

    def take(self) -> list[Input]:
        items, self.items = self.items, []
        return items


class OpenGate:
    """Lets every set-up leave until it is shut."""

    shut = False

    def may_leave(self, attempt: Attempt) -> bool:
        return not self.shut


class Watch:
    """Judges the rules from both ends: what callers hear, and what reaches switches.

    A call is known by its number, which every wire carries; times are seconds of any one clock.
    """

    def __init__(self, clock: Callable[[], float], release_s: float, slack_s: float = 0.0) -> None:
        self.clock = clock
        self.release_s = release_s
        self.slack_s = slack_s
        self.deadlines: dict[str, float] = {}
        self.finals: dict[str, str] = {}
        self.withdrawn: set[str] = set()
        self.out: dict[str, str] = {}  # where an attempt is out
        self.sends: dict[str, int] = {}
        self.not_before: dict[str, float] = {}
        self.barred: dict[str, float] = {}
        self.standing: dict[str, str] = {}  # at a switch
        self.released: dict[str, float] = {}  # by a switch: when, until the caller hears of it

    # At the callers

    def offered(self, key: str, left_s: float) -> None:
        self.deadlines[key] = self.clock() + left_s

    def final(self, key: str, answer: str) -> None:
        assert key not in self.finals, f"rule 1: second answer to {key}"
        assert key in self.deadlines, f"rule 1: answer to {key}, which nobody asked"
        if key not in self.withdrawn:
            assert self.clock() <= self.deadlines[key] + self.slack_s, f"rule 1: late answer to {key}"
        self.finals[key] = answer

    def gone(self, key: str) -> None:
        """The caller took the set-up back, or ended the call."""
        self.withdrawn.add(key)

    def heard_release(self, key: str) -> None:
        told = self.released.pop(key, None)
        assert told is None or self.clock() - told <= 1.0 + self.slack_s, f"release of {key} came late"

    # At the switches

    def sent(self, exchange: str, key: str) -> None:
        now = self.clock()
        assert key not in self.out, f"rule 2: two attempts out for {key}"
        assert key not in self.finals, f"rule 1: sent for {key}, which is answered"
        assert now >= self.not_before.get(key, 0.0), f"rule 5: release of {key} not awaited"
        assert now <= self.barred.get(exchange, now) + 2.0, f"rule 3: sent to {exchange}, which drains"
        self.sends[key] = self.sends.get(key, 0) + 1
        assert self.sends[key] <= SETTINGS.max_attempts, f"too many attempts for {key}"
        self.out[key] = exchange

    def ended(self, key: str, proven: bool = False) -> None:
        known = [place.pop(key, None) for place in (self.out, self.standing)]
        if any(known) and not proven:
            self.not_before[key] = self.clock() + self.release_s

    def stood(self, key: str) -> None:
        self.standing[key] = self.out.pop(key)

    def released_by_switch(self, key: str) -> None:
        self.standing.pop(key, None)
        if key not in self.withdrawn:
            self.released[key] = self.clock()

    # At the end

    def all_answered(self) -> None:
        owed = set(self.deadlines) - set(self.finals) - self.withdrawn
        assert not owed, f"rule 1: no answer to {sorted(owed)[:5]}"
        assert not self.out, f"attempts left out: {self.out}"
        assert not self.released, f"never released to the caller: {self.released}"


class WatchedFront:
    """A front without a wire: what the ledger says goes straight to the watch."""

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.said: list[tuple[str, str, object]] = []

    def answer(self, call: str, text: str) -> None:
        self.said.append(("answer", call, text))
        self.watch.final(call, "answer")

    def refuse(self, call: str, stay_away_us: int) -> None:
        self.said.append(("refuse", call, stay_away_us))
        self.watch.final(call, "refuse")

    def fail(self, call: str, why: Failure) -> None:
        self.said.append(("fail", call, why))
        self.watch.final(call, why.value)

    def release(self, call: str, cause: int) -> None:
        self.said.append(("release", call, cause))
        self.watch.heard_release(call)


class WatchedLink:
    """A switch link without a wire."""

    def __init__(self, exchange: str, watch: Watch) -> None:
        self.exchange = exchange
        self.watch = watch
        self.attempts: dict[str, Attempt] = {}
        self.said: list[tuple[str, str]] = []

    def set_up(self, attempt: Attempt) -> None:
        self.watch.sent(self.exchange, attempt.call)
        self.attempts[attempt.call] = attempt

    def call_off(self, call: str) -> None:
        assert call in self.attempts
        self.said.append(("call_off", call))
        self.watch.ended(call)

    def release(self, call: str, cause: int) -> None:
        self.said.append(("release", call))
        self.watch.ended(call)

    def probe(self) -> None:
        self.said.append(("probe", ""))


def full_list(count: int = 4) -> api.ExchangeList:
    return api.ExchangeList(api.ListKind.FULL, tuple(entry(number) for number in range(count)))
