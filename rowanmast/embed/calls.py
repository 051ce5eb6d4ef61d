"""A host's side of one call: the ticket that waits for its outcome, and the call once it stands.

Both may be used from any thread and any loop. The router's thread resolves them; it never waits for a host.
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
    """What a host's side of a call says to the router; every word may come from any thread."""

    def outcome_collected(self, call: str) -> None:
        """The host has taken the outcome."""

    def end_call(self, call: str, cause: int) -> None:
        """The host takes the call back, or releases it if it stands."""

    def reference_lost(self, call: str) -> None:
        """The host has lost its last reference to a call that stands."""


class SharedFuture(Generic[Value]):
    """A value that comes once, for waiting threads and loops alike."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.value: Value | None = None
        self.event: threading.Event | None = None  # made only if a thread waits
        self.waiters: list[tuple[asyncio.AbstractEventLoop, asyncio.Future[Value]]] = []

    def set_result(self, value: Value) -> bool:
        """Wakes all that wait. False if a loop that waits is closed, so that nobody hears it there."""
        with self.lock:
            if self.value is not None:
                return True
            self.value = value
            door, waiters = self.event, self.waiters
            self.waiters = []
        if door is not None:
            door.set()
        heard = True
        for loop, future in waiters:
            try:
                loop.call_soon_threadsafe(set_if_pending, future, value)
            except RuntimeError:  # the loop was closed under us
                heard = False
        return heard

    def set_after_fork(self, value: Value) -> None:
        """The same in a forked child, where only the thread that forked is left."""
        self.lock = threading.Lock()
        self.waiters = []
        if self.value is None:
            self.value = value

    def wait(self, timeout_s: float | None) -> Value | None:
        """Blocks the thread; None if nothing came within the time."""
        with self.lock:
            if self.value is not None:
                return self.value
            if self.event is None:
                self.event = threading.Event()
            door = self.event
        door.wait(timeout_s)
        return self.value

    async def wait_async(self) -> Value:
        """Waits on the running loop."""
        loop = asyncio.get_running_loop()
        with self.lock:
            if self.value is not None:
                return self.value
            future: asyncio.Future[Value] = loop.create_future()
            self.waiters.append((loop, future))
        try:
            return await future
        finally:
            with self.lock:  # one that waits no more is forgotten
                self.waiters = [waiter for waiter in self.waiters if waiter[1] is not future]


def set_if_pending(future: asyncio.Future[Value], value: Value) -> None:
    if not future.done():
        future.set_result(value)


class Ticket:
    """A call that was taken, until its one final outcome."""

    def __init__(self, control: CallControl, call: str) -> None:
        self.control = control
        self.call = call
        self.future: SharedFuture[Outcome] = SharedFuture()

    def result(self, timeout_s: float | None = None) -> Outcome:
        """Blocks until the outcome is there. Raises TimeoutError after `timeout_s`; the call goes on then."""
        outcome = self.future.wait(timeout_s)
        if outcome is None:
            raise TimeoutError(f"no outcome within {timeout_s} s")
        self.control.outcome_collected(self.call)
        return outcome

    async def outcome(self) -> Outcome:
        """The outcome; cancelling the task takes the call back, or releases it if it stands by then."""
        try:
            outcome = await self.future.wait_async()
        except BaseException:  # cancelled, or the task is destroyed with its loop
            self.cancel()
            raise
        self.control.outcome_collected(self.call)
        return outcome

    def cancel(self) -> None:
        """Takes the call back. It still gets its outcome, which nobody needs to collect."""
        self.control.end_call(self.call, NORMAL_CLEARING)


class StandingCall:
    """A call that stands. Releasing it is the host's duty; `with` and `async with` do so at their end.

    If the last reference to it is lost while it stands, it is released and a warning is logged.
    """

    def __init__(
        self, control: CallControl, call: str, text: str, ending_future: SharedFuture[Ending]
    ) -> None:
        self.control = control
        self.id = call
        self.text = text  # the description that the switch gave
        self.ending_future = ending_future
        self.finalizer = weakref.finalize(self, control.reference_lost, call)
        self.finalizer.atexit = False  # the router's own end at exit releases all that stand

    @property
    def ending(self) -> Ending | None:
        """How the call is over, or None while it stands."""
        return self.ending_future.value

    def release(self, cause: int = NORMAL_CLEARING) -> None:
        """Ends the call, with a cause of Q.850; does nothing if it is over. Never blocks."""
        if self.finalizer.detach() is not None:
            self.control.end_call(self.id, cause)

    def wait(self, timeout_s: float | None = None) -> Ending:
        """Blocks until the call is over. Raises TimeoutError after `timeout_s`; it stands on then."""
        ending = self.ending_future.wait(timeout_s)
        if ending is None:
            raise TimeoutError(f"the call still stands after {timeout_s} s")
        return ending

    async def over(self) -> Ending:
        """Waits until the call is over, whoever ends it."""
        return await self.ending_future.wait_async()

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
