"""Gathers what callbacks report and hands it to the ledger, once a turn of the loop."""

from __future__ import annotations

import asyncio
import time

from rowanmast.core.ledger import Ledger
from rowanmast.core.ports import Input


def now_us() -> int:
    return time.monotonic_ns() // 1000


class InputQueue:
    def __init__(self, loop: asyncio.AbstractEventLoop, ledger: Ledger) -> None:
        self.loop = loop
        self.ledger = ledger
        self.pending: list[Input] = []
        self.flush_scheduled = False
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def post(self, item: Input) -> None:
        self.pending.append(item)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        if not self.flush_scheduled and not self.closed:
            self.flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flush_scheduled = False
        items, self.pending = self.pending, []
        now = now_us()
        if self.ledger.awaiting_release:
            self.ledger.output_flushed(now)
        self.ledger.turn(now, items)
        if self.ledger.awaiting_release:
            self.loop.call_soon(self.confirm_written)  # run once the bytes that this turn wrote have left
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.ledger.next_timer()
        if due is not None:
            self.timer = self.loop.call_later(max(due - now, 0) / 1e6, self.schedule_flush)

    def confirm_written(self) -> None:
        if self.ledger.awaiting_release:
            self.ledger.output_flushed(now_us())

    def close(self) -> None:
        """The router has ended: nothing that is posted is taken any more."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
