"""Gathers what callbacks report and hands it to the ledger, once a turn of the loop."""

from __future__ import annotations

import asyncio
import time

from rowanmast.core.ledger import Ledger
from rowanmast.core.ports import Input


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Turn:
    def __init__(self, loop: asyncio.AbstractEventLoop, ledger: Ledger) -> None:
        self.loop = loop
        self.ledger = ledger
        self.items: list[Input] = []
        self.scheduled = False
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def post(self, item: Input) -> None:
        self.items.append(item)
        self.wake()

    def wake(self) -> None:
        if not self.scheduled and not self.closed:
            self.scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.scheduled = False
        items, self.items = self.items, []
        now = now_us()
        if self.ledger.freed:
            self.ledger.left_by(now)
        self.ledger.turn(now, items)
        if self.ledger.freed:
            self.loop.call_soon(self.confirm)  # run once the bytes that this turn wrote have left
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.ledger.next_due()
        if due is not None:
            self.timer = self.loop.call_later(max(due - now, 0) / 1e6, self.wake)

    def confirm(self) -> None:
        if self.ledger.freed:
            self.ledger.left_by(now_us())

    def close(self) -> None:
        """The router has ended: nothing that is posted is taken any more."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
