"""The host's handles for one call: the ticket until its outcome, and the standing call after it.

Both may be used from any thread and any event loop. The router's thread resolves them and never waits for
the host.
"""

from __future__ import annotations

import asyncio
import threading
import weakref
from types import TracebackType
from typing import Generic, Protocol, TypeVar

from rowanmast.causes import NORMAL_CLEARING
from rowanmast.embed.outcomes import Ending, Outcome

Value = TypeVar("Value")


class CallControl(Protocol):
    """Commands that a call's handles send to the router. May be called from any thread."""

    def outcome_collected(self, call: str) -> None:
        """The host has received the outcome."""

    def end_call(self, call: str, cause: int) -> None:
        """Cancels the call, or releases it with `cause` if it stands."""

    def reference_lost(self, call: str) -> None:
        """The host no longer references a standing call, which is to be released."""


class SharedFuture(Generic[Value]):
    """A value that is set once and can be awaited by threads and by event loops."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.value: Value | None = None
        self.event: threading.Event | None = None  # created when the first thread waits
        self.waiters: list[tuple[asyncio.AbstractEventLoop, asyncio.Future[Value]]] = []

    def set_result(self, value: Value) -> bool:
        """Sets the value, unless it is set already, and wakes all waiters.

        False if a waiting event loop is closed and so can't receive the value.
        """
        with self.lock:
            if self.value is not None:
                return True
            self.value = value
            event, waiters = self.event, self.waiters
            self.waiters = []
        if event is not None:
            event.set()
        delivered = True
        for loop, future in waiters:
            try:
                loop.call_soon_threadsafe(set_if_pending, future, value)
            except RuntimeError:  # the loop has been closed
                delivered = False
        return delivered

    def set_after_fork(self, value: Value) -> None:
        """Sets the value in a forked child, where only the forking thread exists."""
        self.lock = threading.Lock()
        self.waiters = []
        if self.value is None:
            self.value = value

    def wait(self, timeout_s: float | None) -> Value | None:
        """Blocks the thread until the value is set; None after `timeout_s` seconds."""
        with self.lock:
            if self.value is not None:
                return self.value
            if self.event is None:
                self.event = threading.Event()
            event = self.event
        event.wait(timeout_s)
        return self.value

    async def wait_async(self) -> Value:
        """Waits on the running event loop."""
        loop = asyncio.get_running_loop()
        with self.lock:
            if self.value is not None:
                return self.value
            future: asyncio.Future[Value] = loop.create_future()
            self.waiters.append((loop, future))
        try:
            return await future
        finally:
            with self.lock:  # a cancelled waiter is removed too
                self.waiters = [waiter for waiter in self.waiters if waiter[1] is not future]


def set_if_pending(future: asyncio.Future[Value], value: Value) -> None:
    if not future.done():
        future.set_result(value)


class Ticket:
    """A submitted call. Its one final outcome is collected by `result` or `outcome`."""

    def __init__(self, desk: CallControl, call: str) -> None:
        self.desk = desk  # takes this call's commands to the router
        self.call = call
        self.latch: SharedFuture[Outcome] = SharedFuture()  # set to the outcome

    def result(self, timeout_s: float | None = None) -> Outcome:
        """Blocks until the call has its outcome.

        Raises TimeoutError after `timeout_s` seconds; the call goes on, and `result` may be called again.
        """
        outcome = self.latch.wait(timeout_s)
        if outcome is None:
            raise TimeoutError(f"call {self.call}: no outcome within {timeout_s} s")
        self.desk.outcome_collected(self.call)
        return outcome

    async def outcome(self) -> Outcome:
        """Waits for the outcome. Cancelling the task cancels the call, or releases it if it stands."""
        try:
            outcome = await self.latch.wait_async()
        except BaseException:  # cancelled, or destroyed together with its event loop
            self.cancel()
            raise
        self.desk.outcome_collected(self.call)
        return outcome

    def cancel(self) -> None:
        """Cancels the call, or releases it if it stands. Its outcome need not be collected."""
        self.desk.end_call(self.call, NORMAL_CLEARING)


class StandingCall:
    """A call that stands. The host must release it; `with` and `async with` do so on exit.

    If it is garbage-collected while it stands, it is released and `call_dropped` is logged as a warning.
    """

    def __init__(self, desk: CallControl, call: str, text: str, ended: SharedFuture[Ending]) -> None:
        self.desk = desk  # takes this call's commands to the router
        self.id = call
        self.text = text  # the description given by the switch
        self.ended = ended  # set when the call has ended
        self.finalizer = weakref.finalize(self, desk.reference_lost, call)
        self.finalizer.atexit = False  # the router's close at exit releases all standing calls

    @property
    def ending(self) -> Ending | None:
        """How the call ended, or None while it stands."""
        return self.ended.value

    def release(self, cause: int = NORMAL_CLEARING) -> None:
        """Ends the call with a Q.850 cause code. Does nothing if it has ended. Does not block."""
        if self.finalizer.detach() is not None:
            self.desk.end_call(self.id, cause)

    def wait(self, timeout_s: float | None = None) -> Ending:
        """Blocks until the call has ended.

        Raises TimeoutError after `timeout_s` seconds; the call goes on, and `wait` may be called again.
        """
        ending = self.ended.wait(timeout_s)
        if ending is None:
            raise TimeoutError(f"call {self.id} still stands after {timeout_s} s")
        return ending

    async def over(self) -> Ending:
        """Waits until the call has ended, whoever ends it."""
        return await self.ended.wait_async()

    def __enter__(self) -> StandingCall:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.release()

    async def __aenter__(self) -> StandingCall:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.release()
