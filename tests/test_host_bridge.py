"""The bridge between a host and its embedded router, without threads."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

from standins import RecordingInbox

from rowanmast.core.ports import Cancelled, Offer
from rowanmast.embed.admission import Bounds
from rowanmast.embed.bridge import MAX_COMMANDS_PER_TURN, HostBridge
from rowanmast.embed.outcomes import CallRequest


class ManualLoop:
    """A loop whose callbacks the test runs, one iteration at a time."""

    def __init__(self) -> None:
        self.callbacks: list[Any] = []

    def call_soon(self, callback: Any) -> None:
        self.callbacks.append(callback)

    call_soon_threadsafe = call_soon

    def run_once(self) -> None:
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


def test_a_host_at_full_speed_passes_a_bounded_number_of_commands_in_one_turn() -> None:
    # A host that placed and cancelled calls at full speed kept the loop from its switches and other callers.
    inbox, loop = RecordingInbox(), ManualLoop()
    bridge = HostBridge(Bounds())
    bridge.attach(SimpleNamespace(loop=loop, post=inbox.post))  # type: ignore[arg-type]
    calls = 5 * MAX_COMMANDS_PER_TURN
    request = CallRequest("7f3a", dest=1, klass="item-lookup", wait_s=1.0)
    tickets = [bridge.submit(request) for _ in range(calls)]
    bridge.owner_pid = os.getpid()
    for ticket in tickets:
        ticket.cancel()
    order: list[str] = []
    while loop.callbacks:
        loop.run_once()
        items = inbox.take()
        offers = [item.call for item in items if isinstance(item, Offer)]
        ends = [item.call for item in items if isinstance(item, Cancelled)]
        assert 0 < len(offers) + len(ends) <= MAX_COMMANDS_PER_TURN
        order += offers + ends
    ids = [ticket.call for ticket in tickets]
    assert order == ids + ids, "commands were lost or changed their order"
