"""Settings, builders of events and fixtures shared by the tests: a small mesh of exchanges."""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import known_red
import pytest

from rowanmast.call_agent import CallAgent
from rowanmast.interface import (
    Action,
    AttemptEnded,
    Call,
    CallAnswered,
    CallClass,
    Event,
    ExchangeList,
    ExchangeState,
    Idempotency,
    ListEntry,
    ListKind,
    LoadReport,
    LoadReported,
    Outcome,
    Settings,
    SetUp,
)

MODE_COUNTS = {
    "test_paths": 3,
    "test_process": 2,
    "test_address_links": 2,
}  # by test module: in how many router modes its tests with a LocalNetwork run

MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS
PLAIN = CallClass(
    objective_ns=2 * SECOND,
    deadline_ns=9 * SECOND,
    worth=1.0,
    late_worth=0.1,
    width=1,
    mean_hold_ns=10 * SECOND,
    idempotency=Idempotency.SAFE,
    key_scope="all",
    dedup_window_ns=5 * SECOND,
    skilled_pools=(),
)
VALUABLE = replace(PLAIN, worth=5.0, objective_ns=SECOND)
UNSAFE = replace(PLAIN, idempotency=Idempotency.UNSAFE)
KEYED = replace(PLAIN, idempotency=Idempotency.KEYED, key_scope="cell")
SETTINGS = Settings(
    agents=5,
    agent_index=0,
    own_exchange=0,
    meshed=True,
    deadline_margin_ns=5 * MS,
    classes=(PLAIN, VALUABLE, UNSAFE, KEYED),  # 0 to 3, as the field `klass` of a call names them
    overall_weight=0.6,
    worst_window_weight=0.2,
    worst_class_weight=0.2,
    tenant_quotas=(),
    over_share_worth=0.1,
    must_subscribe=False,
    subscribe_within_ns=10 * SECOND,
    answer_grace_ns=20 * MS,
    drain_grace_ns=500 * MS,
    initial_capacity_fraction=0.3,
    cold_ns=12 * SECOND,
    collapse_multiple=2.0,
    collapse_after_ns=SECOND,
    release_guard_ns=300 * MS,
    retransmit_ns=400 * MS,
    max_attempts=5,
    route_advice=False,
    probes=False,
    probe_cost=0.0,
    cancel_allowed=True,
    retry_after_allowed=True,
    max_retry_after_ns=2 * SECOND,
)
START = 1000 * SECOND


def list_entry(
    number: int, state: ExchangeState = ExchangeState.UP, started: int | None = None, name: str = ""
) -> ListEntry:
    """A list entry; the exchange is named after its number unless a name is given."""
    return ListEntry(name or f"x{number}", number, "zone", state, started)


def exchange_list(*entries: ListEntry, kind: ListKind = ListKind.FULL) -> ExchangeList:
    """The event of a list with these entries."""
    return ExchangeList(kind, entries)


def call(name: str, dest: int = 1, klass: int = 0, remaining: int = 3 * SECOND, **more: object) -> Call:
    """The event of a call from a subscriber; `more` replaces further fields."""
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


def attempt_ended(
    name: str, exchange: str, outcome: Outcome, attempt: int = 0, **more: object
) -> AttemptEnded:
    """The event of an ended attempt; `more` replaces further fields."""
    base = AttemptEnded(
        call=name,
        attempt=attempt,
        exchange=exchange,
        outcome=outcome,
        cause=None,
        retry_after_ns=None,
        final=False,
        delay_ns=100 * MS,
        report=LoadReport(),
    )
    return replace(base, **more)  # type: ignore[arg-type]


class AgentHarness:
    """A call agent and its clock; the exchanges x0, the agent's own, to x4 are up."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 7) -> None:
        self.agent = CallAgent(settings, seed)
        self.now = START
        self.handle_after(0, exchange_list(*(list_entry(number) for number in range(5)), kind=ListKind.SAVED))

    def handle_after(self, delay_ns: int, event: Event) -> list[Action]:
        """Advances the clock and hands the event to the agent."""
        self.now += delay_ns
        return self.agent.handle(self.now, event)

    def report_circuits(self, exchange: str, free: int, size: int = 30) -> None:
        """Reports the free circuits and the size of the group to an exchange."""
        self.handle_after(0, LoadReported(exchange, True, 0, LoadReport(free_circuits=free, group_size=size)))

    def complete_setup(self, name: str, dest: int = 1) -> None:
        """Places a call that is answered after 50 ms."""
        (sent,) = self.handle_after(MS, call(name, dest))
        assert isinstance(sent, SetUp)
        self.handle_after(50 * MS, CallAnswered(name, 0, sent.exchange, 50 * MS))


def set_up_targets(actions: list[Action]) -> list[str]:
    """The exchanges that set-ups are sent to."""
    return [action.exchange for action in actions if isinstance(action, SetUp)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark_expected_failures(items)


def pytest_terminal_summary(terminalreporter: Any) -> None:
    known_red.report_outcomes(terminalreporter)


def pytest_generate_tests(metafunc: Any) -> None:
    from router_modes import MODES

    modes = MODE_COUNTS.get(metafunc.module.__name__, 0)
    if modes and "LocalNetwork(" in inspect.getsource(metafunc.function):
        metafunc.parametrize("router_mode", MODES[:modes], indirect=True)


@pytest.fixture(autouse=True)
def router_mode(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """Selects how the test's routers run: in its event loop, embedded or as a process."""
    mode = getattr(request, "param", "in-process")
    if mode != "in-process":
        from standins import LocalNetwork

        monkeypatch.setattr(LocalNetwork, "mode", mode)
    yield mode
