"""Queues the inputs that callbacks post and passes them to the ledger, once per event loop iteration."""

from __future__ import annotations

import asyncio
import time

from rowanmast.core.ledger import Ledger
from rowanmast.core.ports import Input


def now_us() -> int:
    return time.monotonic_ns() // 1000


class InputQueue:
    """The inbox of fronts and links; also drives the ledger's timers."""

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
        self.ledger.run_turn(now, items)
        if self.ledger.awaiting_release:
            self.loop.call_soon(self.confirm_written)  # runs after this turn's bytes were sent
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wake_at = self.ledger.next_timer()
        if wake_at is not None:
            self.timer = self.loop.call_later(max(wake_at - now, 0) / 1e6, self.schedule_flush)

    def confirm_written(self) -> None:
        """Tells the ledger that the bytes of the last turn have been sent."""
        if self.ledger.awaiting_release:
            self.ledger.output_flushed(now_us())

    def close(self) -> None:
        """The router has stopped: inputs posted from now on are not processed."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
