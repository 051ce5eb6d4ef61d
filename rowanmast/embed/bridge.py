"""The thread-safe bridge between a host and its embedded router.

Commands from the host are queued under one lock and processed by the router's loop in batches. Outcomes are
returned through futures that the router's thread sets without waiting for the host.
"""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import threading

from rowanmast.app.router import Router
from rowanmast.causes import NORMAL_CLEARING, TEMPORARY_FAILURE
from rowanmast.core.ports import Cancelled, Failure, Offer, Released, Route
from rowanmast.embed.admission import (
    REFUSAL_RETRY_AFTER_US,
    AdmissionControl,
    AdmissionResult,
    Bounds,
    CallState,
)
from rowanmast.embed.calls import SharedFuture, StandingCall, Ticket
from rowanmast.embed.outcomes import CallRequest, EndedBy, Ending, Failed, Outcome, Refused, Stands
from rowanmast.net.input_queue import now_us

MAX_COMMANDS_PER_TURN = 16  # of the host; switches and IAX2 callers have their turn before the next ones

log = logging.getLogger(__name__)


class HostCall:
    """The router's record of one call placed by the host."""

    __slots__ = ("deadline_us", "ending_future", "host_cause", "request", "ticket")

    def __init__(self, ticket: Ticket, request: CallRequest, deadline_us: int) -> None:
        self.ticket: Ticket | None = ticket  # None once collected, as it keeps the StandingCall alive
        self.request: CallRequest | None = request  # None once passed to the router
        self.deadline_us = deadline_us
        self.ending_future: SharedFuture[Ending] = SharedFuture()
        self.host_cause: int | None = None  # cause with which the host ended the call


class EmbeddedFront:
    """Implements the core's `Front` for calls that the host places. Runs on the router's thread."""

    survives_restart = False  # the calls end with the host process, so closing the router releases them

    def __init__(self, bridge: HostBridge) -> None:
        self.bridge = bridge

    def answer(self, call: str, text: str) -> None:
        host_call = self.bridge.mark_standing(call)
        if host_call is None:  # the host has cancelled it; the ledger gets that command next
            self.set_outcome(call, Failed(Failure.CANCELLED))
        elif host_call.ticket is not None:
            outcome = Stands(StandingCall(self.bridge, call, text, host_call.ending_future))
            if not host_call.ticket.latch.set_result(outcome):
                self.bridge.end_call(call, NORMAL_CLEARING)  # the event loop that awaited it is closed

    def refuse(self, call: str, retry_after_us: int) -> None:
        self.set_outcome(call, Refused(retry_after_us / 1e6))

    def fail(self, call: str, why: Failure) -> None:
        self.set_outcome(call, Failed(why))

    def set_outcome(self, call: str, outcome: Outcome) -> None:
        host_call = self.bridge.remove_call(call)
        if host_call is not None and host_call.ticket is not None:
            host_call.ticket.latch.set_result(outcome)

    def release(self, call: str, cause: int) -> None:
        host_call = self.bridge.remove_call(call)
        if host_call is not None:
            by = EndedBy.SWITCH if cause == NORMAL_CLEARING else EndedBy.CUT
            host_call.ending_future.set_result(Ending(by, cause))


class HostBridge:
    """Thread-safe bridge between the host and the router: the host's calls, and its queued commands."""

    def __init__(self, bounds: Bounds) -> None:
        self.lock = threading.RLock()  # re-entrant: a finalizer may run on the thread that holds it
        self.owner_pid = 0  # the process that opened the router
        self.admission = AdmissionControl(bounds)
        self.calls: dict[str, HostCall] = {}
        self.commands: list[tuple[str, int | None]] = []  # (call, cause to end it with; None to place it)
        self.processing_scheduled = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.router: Router | None = None
        self.front = EmbeddedFront(self)

    # Called from any thread

    def submit(self, request: CallRequest) -> Ticket:
        """Admits a call and queues it, or resolves its ticket as refused at once."""
        call = secrets.token_hex(8)
        ticket = Ticket(self, call)
        with self.lock:
            result = self.admission.admit(call)
            if result is AdmissionResult.ADMITTED:
                deadline = now_us() + int(request.wait_s * 1e6)
                self.calls[call] = HostCall(ticket, request, deadline)
                self.enqueue(call, None)
        if result is not AdmissionResult.ADMITTED:
            ticket.latch.set_result(Refused(REFUSAL_RETRY_AFTER_US / 1e6))
        return ticket

    def outcome_collected(self, call: str) -> None:
        """Drops the ticket, so that the host holds the only references to the call."""
        with self.lock:
            if self.admission.mark_collected(call):
                self.calls[call].ticket = None

    def end_call(self, call: str, cause: int) -> None:
        """Queues the end of a call: its cancellation, or its release if it stands. Repeats are ignored."""
        if os.getpid() != self.owner_pid:
            return  # a forked child does not own its parent's calls
        with self.lock:
            host_call = self.calls.get(call)
            if host_call is not None and host_call.host_cause is None:
                host_call.host_cause = cause
                self.enqueue(call, cause)

    def reference_lost(self, call: str) -> None:
        """May run wherever the interpreter drops the last reference, so it only logs and queues a command."""
        if os.getpid() == self.owner_pid and call in self.calls:
            log.warning("call_dropped", extra={"call": call})
            self.end_call(call, NORMAL_CLEARING)

    def enqueue(self, call: str, cause: int | None) -> None:
        """Queues a command and wakes the router's loop unless it is already scheduled to process them."""
        self.commands.append((call, cause))
        if not self.processing_scheduled and self.loop is not None:
            self.processing_scheduled = True
            self.loop.call_soon_threadsafe(self.process_commands)

    # Called on the router's thread

    def attach(self, router: Router) -> None:
        """Connects an open router, and schedules the commands that were queued before."""
        with self.lock:
            self.router, self.loop = router, router.loop
            if self.commands:
                self.processing_scheduled = True
                router.loop.call_soon(self.process_commands)

    def process_commands(self) -> None:
        """Passes the host's queued commands to the router, a few in each iteration of its loop."""
        router = self.router
        with self.lock:
            self.processing_scheduled = False  # first: a finalizer may queue a command before the next line
            commands = self.commands[:MAX_COMMANDS_PER_TURN]
            del self.commands[:MAX_COMMANDS_PER_TURN]
            if self.commands and router is not None and self.loop is not None:
                self.processing_scheduled = True
                router.loop.call_soon(self.process_commands)
        if router is None:
            return
        for call, cause in commands:
            host_call = self.calls.get(call)
            if cause is not None:
                self.process_end(router, call, cause)
            elif host_call is not None and host_call.request is not None:
                request, host_call.request = host_call.request, None
                router.post(self.make_offer(call, request, host_call.deadline_us))

    def process_end(self, router: Router, call: str, cause: int) -> None:
        """Ends a call for the host. `Released` applies if it stands, `Cancelled` if it is unanswered."""
        with self.lock:
            stands = self.admission.states.get(call) in (CallState.UNCOLLECTED, CallState.COLLECTED)
            host_call = self.remove_call(call) if stands else None
        if host_call is not None:
            host_call.ending_future.set_result(Ending(EndedBy.HOST, cause))
        router.post(Released(call, cause))
        router.post(Cancelled(call))

    def make_offer(self, call: str, request: CallRequest, deadline_us: int) -> Offer:
        """The core's form of a request, with the time left until its deadline."""
        route = Route(
            dest=request.dest,
            width=request.width,
            via=request.advised,
            redialled=request.redialled,
            transit=request.transit,
            again=request.again,
        )
        left_us = max(deadline_us - now_us(), 0)
        return Offer(self.front, call, request.klass, request.number, request.text, left_us, route)

    def mark_standing(self, call: str) -> HostCall | None:
        """Records that a call stands; None if the host has ended it in the meantime."""
        with self.lock:
            host_call = self.calls.get(call)
            if (
                host_call is None
                or host_call.host_cause is not None
                or not self.admission.mark_standing(call, now_us())
            ):
                return None
            return host_call

    def remove_call(self, call: str) -> HostCall | None:
        with self.lock:
            self.admission.remove(call)
            return self.calls.pop(call, None)

    def end_uncollected(self) -> None:
        """Ends the calls whose outcome was not collected in time, as when the host's loop is closed."""
        with self.lock:
            expired = self.admission.expired_outcomes(now_us())
        for call in expired:
            log.warning("outcome_not_collected", extra={"call": call})
            self.end_call(call, NORMAL_CLEARING)

    def refuse_new_calls(self) -> None:
        with self.lock:
            self.admission.closing = True

    def open_calls(self) -> list[str]:
        with self.lock:
            return [call for call, state in self.admission.states.items() if state is CallState.OPEN]

    def fail_remaining(self) -> None:
        """Resolves every pending future when the router's thread ends."""
        with self.lock:
            self.admission.closing = True
            self.loop = None
            calls, self.calls = self.calls, {}
            self.admission.clear()
        for host_call in calls.values():
            if host_call.ticket is not None:
                host_call.ticket.latch.set_result(Failed(Failure.FAULT))
            host_call.ending_future.set_result(Ending(EndedBy.CUT, TEMPORARY_FAILURE))

    def reset_after_fork(self) -> None:
        """Resolves every pending future in a forked child, where the router does not run.

        Takes no existing lock: its holder may be a thread that the child does not have.
        """
        self.lock = threading.RLock()
        self.loop = None
        for host_call in self.calls.values():
            if host_call.ticket is not None:
                host_call.ticket.latch.set_after_fork(Failed(Failure.FAULT))
            host_call.ending_future.set_after_fork(Ending(EndedBy.CUT, TEMPORARY_FAILURE))
        self.calls = {}
