"""Builders shared by the tests: settings, lists and calls of a small mesh."""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import known_red
import pytest

from rowanmast.control import CallAgent
from rowanmast.interface import (
    Action,
    Call,
    CallClass,
    Effect,
    Ended,
    Event,
    ExchangeList,
    ListEntry,
    ListKind,
    Outcome,
    Report,
    Reported,
    Settings,
    SetUp,
    Stands,
    State,
)

WAYS = {
    "test_paths": 3,
    "test_process": 2,
    "test_address_links": 2,
}  # modules whose towns run with so many ways to hold a router

MS = 1_000_000
SECOND = 1000 * MS
PLAIN = CallClass(
    aim_ns=2 * SECOND,
    deadline_ns=9 * SECOND,
    worth=1.0,
    late_worth=0.1,
    width=1,
    hold_ns=10 * SECOND,
    effect=Effect.SAFE,
    key_scope="all",
    window_ns=5 * SECOND,
    pools=(),
)
DEAR = replace(PLAIN, worth=5.0, aim_ns=SECOND)
UNSAFE = replace(PLAIN, effect=Effect.UNSAFE)
KEYED = replace(PLAIN, effect=Effect.KEYED, key_scope="cell")
SETTINGS = Settings(
    agents=5,
    own_agent=0,
    own_exchange=0,
    meshed=True,
    period_ns=5 * MS,
    classes=(PLAIN, DEAR, UNSAFE, KEYED),
    whole_weight=0.6,
    window_weight=0.2,
    class_weight=0.2,
    tenant_quotas=(),
    over_share_worth=0.1,
    must_ask=False,
    ask_within_ns=10 * SECOND,
    answer_grace_ns=20 * MS,
    drain_grace_ns=500 * MS,
    cold_from=0.3,
    cold_ns=12 * SECOND,
    fall_multiple=2.0,
    fall_ns=SECOND,
    release_ns=300 * MS,
    resend_ns=400 * MS,
    max_attempts=5,
    advice=False,
    probes=False,
    probe_price=0.0,
    call_off=True,
    stay_away=True,
    max_stay_away_ns=2 * SECOND,
)
START = 1000 * SECOND


def entry(number: int, state: State = State.UP, started: int | None = None, name: str = "") -> ListEntry:
    return ListEntry(name or f"x{number}", number, "zone", state, started)


def listed(*entries: ListEntry, kind: ListKind = ListKind.FULL) -> ExchangeList:
    return ExchangeList(kind, entries)


def call(name: str, dest: int = 1, klass: int = 0, remaining: int = 3 * SECOND, **more: object) -> Call:
    base = Call(
        call=name,
        klass=klass,
        key=f"key of {name}",
        tenant=None,
        remaining_ns=remaining,
        dest=dest,
        width=1,
        advised=None,
        redialled=False,
        transit=False,
        again=False,
    )
    return replace(base, **more)  # type: ignore[arg-type]


def ended(name: str, exchange: str, outcome: Outcome, attempt: int = 0, **more: object) -> Ended:
    base = Ended(
        call=name,
        attempt=attempt,
        exchange=exchange,
        outcome=outcome,
        cause=None,
        wait_ns=None,
        final=False,
        delay_ns=100 * MS,
        report=Report(),
    )
    return replace(base, **more)  # type: ignore[arg-type]


class Desk:
    """An agent with five exchanges up, and its clock."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 7) -> None:
        self.agent = CallAgent(settings, seed)
        self.now = START
        self.at(0, listed(*(entry(number) for number in range(5)), kind=ListKind.SAVED))

    def at(self, later: int, event: Event) -> list[Action]:
        self.now += later
        return self.agent.handle(self.now, event)

    def circuits(self, exchange: str, free: int, size: int = 30) -> None:
        self.at(0, Reported(exchange, True, 0, Report(free=free, size=size)))

    def quick(self, name: str, dest: int = 1) -> None:
        """A call that stands at once."""
        (sent,) = self.at(MS, call(name, dest))
        assert isinstance(sent, SetUp)
        self.at(50 * MS, Stands(name, 0, sent.exchange, 50 * MS))


def sent_to(actions: list[Action]) -> list[str]:
    return [action.exchange for action in actions if isinstance(action, SetUp)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items)


def pytest_terminal_summary(terminalreporter: Any) -> None:
    known_red.report(terminalreporter)


def pytest_generate_tests(metafunc: Any) -> None:
    from modes import MODES

    ways = WAYS.get(metafunc.module.__name__, 0)
    if ways and "Town(" in inspect.getsource(metafunc.function):
        metafunc.parametrize("router_mode", MODES[:ways], indirect=True)


@pytest.fixture(autouse=True)
def router_mode(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """Chooses how the routers of the test's towns are held: in its loop, embedded or as a process."""
    mode = getattr(request, "param", "in-process")
    if mode != "in-process":
        from standins import Town

        monkeypatch.setattr(Town, "mode", mode)
    yield mode
