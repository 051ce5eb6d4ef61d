"""A whole router inside a host's process, on a thread and a loop of its own.

A host's loop or threads may block as long as they like: deadlines, releases, drains and answers go on here.
Words from the host are gathered under one lock and handed to the router's loop in one go; outcomes go back
through latches that the router's thread sets and never waits for.
"""

from __future__ import annotations

import asyncio
import atexit
import logging
import os
import secrets
import threading
import time
import weakref
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, contextmanager, suppress
from types import TracebackType

import uvloop

from rowanmast.addresses.order import Endpoint, Preference
from rowanmast.app.components import IaxComponent, MultiAddressLinks
from rowanmast.app.router import Router
from rowanmast.causes import NORMAL_CLEARING, TEMPORARY_FAILURE
from rowanmast.config import Config, IaxConfig, read_config
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ports import Cancelled, Failure, Offer, Released, Route
from rowanmast.embed.admission import (
    REFUSAL_RETRY_AFTER_US,
    AdmissionControl,
    AdmissionResult,
    Bounds,
    CallState,
)
from rowanmast.embed.calls import SharedFuture, StandingCall, Ticket
from rowanmast.embed.outcomes import (
    CallFailed,
    CallRefused,
    CallRequest,
    EndedBy,
    Ending,
    Failed,
    Outcome,
    Refused,
    RequestError,
    RouterClosed,
    Stands,
)
from rowanmast.net.changelog import Reader
from rowanmast.net.input_queue import now_us
from rowanmast.net.logs import EMBEDDED_THREAD_PREFIX

UNCOLLECTED_CHECK_INTERVAL_S = 0.1  # gaps at which outcomes that nobody collects are looked for
DEFAULT_DRAIN_S = 10.0  # for which a close waits, if not told otherwise, for calls that stand
READY_POLL_INTERVAL_S = 0.01
EXIT_DRAIN_S = 0.0  # at interpreter exit what stands is released at once
JOIN_TIMEOUT_S = 5.0  # beyond the drain, for the last bytes and the thread's own end

log = logging.getLogger(__name__)


class HostCall:
    """What the router's side keeps of one call of the host."""

    __slots__ = ("deadline_us", "ending_future", "host_cause", "request", "ticket")

    def __init__(self, ticket: Ticket, request: CallRequest, deadline_us: int) -> None:
        self.ticket: Ticket | None = ticket  # until the host has the outcome, so that it can lose the call
        self.request: CallRequest | None = request
        self.deadline_us = deadline_us
        self.ending_future: SharedFuture[Ending] = SharedFuture()
        self.host_cause: int | None = None  # with which the host has ended it


class EmbeddedFront:
    """The host as a front of the router: adapts it to the core's port `Front`. On the router's thread."""

    survives_restart = (
        False  # the calls end with the host's process, so they are released when the router closes
    )

    def __init__(self, bridge: HostBridge) -> None:
        self.bridge = bridge

    def answer(self, call: str, text: str) -> None:
        held = self.bridge.mark_standing(call)
        if held is None:  # the host has given it up, of which the ledger hears next
            self.set_outcome(call, Failed(Failure.CANCELLED))
        elif held.ticket is not None:
            outcome = Stands(StandingCall(self.bridge, call, text, held.ending_future))
            if not held.ticket.future.set_result(outcome):
                self.bridge.end_call(call, NORMAL_CLEARING)  # the loop that waited for it is closed

    def refuse(self, call: str, retry_after_us: int) -> None:
        self.set_outcome(call, Refused(retry_after_us / 1e6))

    def fail(self, call: str, why: Failure) -> None:
        self.set_outcome(call, Failed(why))

    def set_outcome(self, call: str, outcome: Outcome) -> None:
        held = self.bridge.remove_call(call)
        if held is not None and held.ticket is not None:
            held.ticket.future.set_result(outcome)

    def release(self, call: str, cause: int) -> None:
        held = self.bridge.remove_call(call)
        if held is not None:
            by = EndedBy.SWITCH if cause == NORMAL_CLEARING else EndedBy.CUT
            held.ending_future.set_result(Ending(by, cause))


class HostBridge:
    """Where host and router meet: the calls of the host, and its words for the router's next turn."""

    def __init__(self, bounds: Bounds) -> None:
        self.lock = threading.RLock()  # a finalizer may run inside, on the thread that holds it
        self.owner_pid = 0  # that opened the router
        self.admission = AdmissionControl(bounds)
        self.calls: dict[str, HostCall] = {}
        self.commands: list[tuple[str, int | None]] = []  # a call, and the cause if the host ends it
        self.processing_scheduled = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.router: Router | None = None
        self.front = EmbeddedFront(self)

    # From any thread

    def submit(self, request: CallRequest) -> Ticket:
        """Takes a call, or gives it its final answer at once."""
        call = secrets.token_hex(8)
        ticket = Ticket(self, call)
        with self.lock:
            verdict = self.admission.admit(call)
            if verdict is AdmissionResult.ADMITTED:
                deadline = now_us() + int(request.wait_s * 1e6)
                self.calls[call] = HostCall(ticket, request, deadline)
                self.enqueue(call, None)
        if verdict is not AdmissionResult.ADMITTED:
            ticket.future.set_result(Refused(REFUSAL_RETRY_AFTER_US / 1e6))
        return ticket

    def outcome_collected(self, call: str) -> None:
        with self.lock:
            if self.admission.mark_collected(call):
                self.calls[call].ticket = None

    def end_call(self, call: str, cause: int) -> None:
        if os.getpid() != self.owner_pid:
            return  # a forked child has no part in the calls of its parent
        with self.lock:
            held = self.calls.get(call)
            if held is not None and held.host_cause is None:
                held.host_cause = cause
                self.enqueue(call, cause)

    def reference_lost(self, call: str) -> None:
        """May run wherever the interpreter drops the last reference, so it only leaves a word."""
        if os.getpid() == self.owner_pid and call in self.calls:
            log.warning("call_dropped", extra={"call": call})
            self.end_call(call, NORMAL_CLEARING)

    def enqueue(self, call: str, cause: int | None) -> None:
        self.commands.append((call, cause))
        if not self.processing_scheduled and self.loop is not None:
            self.processing_scheduled = True
            self.loop.call_soon_threadsafe(self.process_commands)

    # On the router's thread

    def attach(self, router: Router) -> None:
        with self.lock:
            self.router, self.loop = router, router.loop
            if self.commands:
                self.processing_scheduled = True
                router.loop.call_soon(self.process_commands)

    def process_commands(self) -> None:
        """Hands on what the host has said since the last time."""
        router = self.router
        with self.lock:
            self.processing_scheduled = False  # first, as a finalizer may leave a word between the two lines
            words, self.commands = self.commands, []
        if router is None:
            return
        for call, cause in words:
            held = self.calls.get(call)
            if cause is not None:
                self.process_end(router, call, cause)
            elif held is not None and held.request is not None:
                request, held.request = held.request, None
                router.post(self.make_offer(call, request, held.deadline_us))

    def process_end(self, router: Router, call: str, cause: int) -> None:
        """Passes on that the host ends a call. The first post counts if it stands, the second if not."""
        with self.lock:
            stands = self.admission.states.get(call) in (CallState.UNCOLLECTED, CallState.COLLECTED)
            held = self.remove_call(call) if stands else None
        if held is not None:
            held.ending_future.set_result(Ending(EndedBy.HOST, cause))
        router.post(Released(call, cause))
        router.post(Cancelled(call))

    def make_offer(self, call: str, request: CallRequest, deadline: int) -> Offer:
        route = Route(
            dest=request.dest,
            width=request.width,
            via=request.advised,
            redialled=request.redialled,
            transit=request.transit,
            again=request.again,
        )
        left = max(deadline - now_us(), 0)
        return Offer(self.front, call, request.klass, request.number, request.text, left, route)

    def mark_standing(self, call: str) -> HostCall | None:
        with self.lock:
            held = self.calls.get(call)
            if (
                held is None
                or held.host_cause is not None
                or not self.admission.mark_standing(call, now_us())
            ):
                return None
            return held

    def remove_call(self, call: str) -> HostCall | None:
        with self.lock:
            self.admission.remove(call)
            return self.calls.pop(call, None)

    def end_uncollected(self) -> None:
        """Ends the calls whose outcome nobody collects, or whose host's loop has gone."""
        with self.lock:
            late = self.admission.expired_outcomes(now_us())
        for call in late:
            log.warning("outcome_not_collected", extra={"call": call})
            self.end_call(call, NORMAL_CLEARING)

    def refuse_new_calls(self) -> None:
        with self.lock:
            self.admission.closing = True

    def open_calls(self) -> list[str]:
        with self.lock:
            return [call for call, stage in self.admission.states.items() if stage is CallState.OPEN]

    def fail_remaining(self) -> None:
        """The router's thread ends: whoever still waits for something hears it now."""
        with self.lock:
            self.admission.closing = True
            self.loop = None
            held, self.calls = self.calls, {}
            self.admission.clear()
        for one in held.values():
            if one.ticket is not None:
                one.ticket.future.set_result(Failed(Failure.FAULT))
            one.ending_future.set_result(Ending(EndedBy.CUT, TEMPORARY_FAILURE))

    def reset_after_fork(self) -> None:
        """In a forked child, where the router does not run: nothing is waited for any more, nor any lock."""
        self.lock = threading.RLock()
        self.loop = None
        for one in self.calls.values():
            if one.ticket is not None:
                one.ticket.future.set_after_fork(Failed(Failure.FAULT))
            one.ending_future.set_after_fork(Ending(EndedBy.CUT, TEMPORARY_FAILURE))
        self.calls = {}


class EmbeddedRouter:
    """A call router inside a host application. Open it with `with` or `async with`; see docs/embedding.md.

    It keeps the daemon's rules towards switches: the same ledger, decisions and links. All methods may be
    called from any thread; those that are coroutines, from any loop.
    """

    def __init__(
        self,
        config: Config,
        *,
        bounds: Bounds | None = None,
        share: ColdShare | None = None,
        iax: IaxConfig | None = None,
        reader: Reader | None = None,
        addresses: Mapping[str, Sequence[Endpoint]] | None = None,
        preference: Preference | None = None,
    ) -> None:
        """`config` is a checked configuration, of which `listen` and `sockets` are not used here.

        Give routers of one process the same `share`, and configurations of different names, so that together
        they keep a cold switch's limit. With `iax`, IAX2 callers and switches are served as well. `addresses`
        are those of switches that have some beside the change log's, tried in the order of `preference`.
        """
        self.config = config
        self.name = config.name
        self.share = share
        self.iax = iax
        self.addresses = dict(addresses or {})
        self.preference = preference or Preference()
        self.reader = reader or Reader()
        self.bridge = HostBridge(bounds or Bounds())
        self.router: Router | None = None
        self.thread: threading.Thread | None = None
        self.owner_pid = 0  # that opened it
        self.startup_done = threading.Event()
        self.thread_ended = threading.Event()
        self.stop_requested: asyncio.Event | None = None
        self.drain_s = DEFAULT_DRAIN_S
        self.failure: BaseException | None = None

    @classmethod
    def from_files(
        cls, config: str, settings: str | None = None, *, share: ColdShare | None = None
    ) -> EmbeddedRouter:
        """A router of the platform's configuration (JSON) and our own settings (protobuf text format).

        Raises ConfigError, with one line that names file and field.
        """
        reader = Reader()
        checked = read_config(config, reader)
        if settings is None:
            return cls(checked, share=share, reader=reader)
        from rowanmast.options.reader import read_options  # its library is loaded only where it is used

        options = read_options(settings)
        return cls(
            checked,
            bounds=options.bounds,
            share=share,
            iax=options.iax,
            reader=reader,
            addresses=options.addresses,
            preference=options.preference,
        )

    # Life

    def open(self) -> None:
        """Starts the thread and opens the links. Raises OSError, or RouterClosed if it was open before."""
        if self.thread is not None:
            raise RouterClosed(f"{self.name} was opened before")
        self.owner_pid = self.bridge.owner_pid = os.getpid()  # a host may have forked since it made us
        self.thread = threading.Thread(
            target=self._run_thread, name=f"{EMBEDDED_THREAD_PREFIX}{self.name}", daemon=True
        )
        self.thread.start()
        self.startup_done.wait()
        if self.failure is not None:
            self.thread.join(JOIN_TIMEOUT_S)
            raise self.failure
        atexit.register(self.close, EXIT_DRAIN_S)
        os.register_at_fork(after_in_child=ForkHandler(self))

    def close(self, drain_s: float = DEFAULT_DRAIN_S) -> None:
        """Refuses new calls, waits up to `drain_s` for those there are, releases the rest, ends the thread.

        Blocks. Calls without an answer after that time fail; calls that stand are released at their switch.
        May be called again, also while another close waits.
        """
        if self.thread is None or not self._owned_by_this_process():
            return
        if threading.current_thread() is self.thread:
            raise RouterClosed("close was called on the router's own thread")
        self._request_close(drain_s)
        self.thread_ended.wait(drain_s + JOIN_TIMEOUT_S)
        self.thread.join(JOIN_TIMEOUT_S)
        atexit.unregister(self.close)

    def wait_ready(self, timeout_s: float = 2.0) -> bool:
        """Blocks until the switches are known and each has a connection; False if that takes longer.

        Calls may be placed before: those for a switch that is not known yet are refused.
        """
        end = time.monotonic() + timeout_s
        while not self.ready() and time.monotonic() < end:
            time.sleep(READY_POLL_INTERVAL_S)
        return self.ready()

    def ready(self) -> bool:
        """Whether the switches are known and each has a connection now."""
        if self.router is None or self.thread_ended.is_set() or not self.router.ledger.listed:
            return False
        links = list(self.router.listed_links.values())
        return all(getattr(link, "connections", True) for link in links)

    def drain(self) -> None:
        """Refuses new calls from now on; those there are go on. `close` ends them."""
        self.bridge.refuse_new_calls()

    async def aclose(self, drain_s: float = DEFAULT_DRAIN_S) -> None:
        """`close` without blocking the loop."""
        self._request_close(drain_s)
        await asyncio.to_thread(self.close, drain_s)

    def _request_close(self, drain_s: float) -> None:
        self.bridge.refuse_new_calls()
        self.drain_s = min(self.drain_s, drain_s)
        loop, event = self.bridge.loop, self.stop_requested
        if loop is not None and event is not None:
            with suppress(RuntimeError):  # it has ended by itself in between
                loop.call_soon_threadsafe(event.set)

    def _owned_by_this_process(self) -> bool:
        """Whether this is the process that opened it: after a fork the child has no such thread."""
        return self.owner_pid == os.getpid()

    def __enter__(self) -> EmbeddedRouter:
        self.open()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close(DEFAULT_DRAIN_S if kind is None else 0.0)

    async def __aenter__(self) -> EmbeddedRouter:
        await asyncio.to_thread(self.open)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.aclose(DEFAULT_DRAIN_S if kind is None else 0.0)

    # Calls

    def submit(self, request: CallRequest) -> Ticket:
        """Places a call and returns at once. Raises RequestError or RouterClosed; never blocks."""
        if self.thread is None or not self._owned_by_this_process():
            raise RouterClosed(f"{self.name} is not open in this process")
        if self.thread_ended.is_set():
            raise RouterClosed(f"{self.name} is closed")
        if request.klass not in self.config.classes:
            known = ", ".join(sorted(self.config.classes))
            raise RequestError(f"klass: {request.klass!r} is not in the settings, which have {known}")
        return self.bridge.submit(request)

    async def place(self, request: CallRequest) -> Outcome:
        """The call's one final outcome. Cancelling the task takes the call back, or releases it."""
        return await self.submit(request).outcome()

    def place_blocking(self, request: CallRequest) -> Outcome:
        """The same for a plain thread, which waits for it."""
        ticket = self.submit(request)
        try:
            return ticket.result()
        except BaseException:  # such as KeyboardInterrupt: nobody collects the outcome any more
            ticket.cancel()
            raise

    @asynccontextmanager
    async def call(self, request: CallRequest) -> AsyncIterator[StandingCall]:
        """A call that stands inside `async with`, released at its end. Raises CallRefused or CallFailed."""
        call = standing_or_raise(await self.place(request))
        try:
            yield call
        finally:
            call.release()

    @contextmanager
    def call_blocking(self, request: CallRequest) -> Iterator[StandingCall]:
        """The same for a plain thread."""
        call = standing_or_raise(self.place_blocking(request))
        try:
            yield call
        finally:
            call.release()

    def counts(self) -> tuple[int, int]:
        """How many calls of the host wait for their final answer now, and how many stand."""
        with self.bridge.lock:
            return self.bridge.admission.open_count, self.bridge.admission.standing_count

    # The thread

    def _run_thread(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as error:
            self.failure = error
            if self.startup_done.is_set():
                log.exception("router_fault", extra={"router": self.name})
        finally:
            self.bridge.fail_remaining()
            self.thread_ended.set()
            self.startup_done.set()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        router = self.router = Router(self.config, self.reader, loop, share=self.share)
        try:
            if self.addresses:
                router.add_link_factory(MultiAddressLinks(router, self.addresses, self.preference).make_link)
            if self.iax is not None:
                part = IaxComponent(router, self.iax)
                router.add_components(part)
                router.add_link_factory(part.make_link)
            await router.open()
            self.bridge.attach(router)
            self.startup_done.set()
            while not self.stop_requested.is_set():
                try:
                    await asyncio.wait_for(self.stop_requested.wait(), UNCOLLECTED_CHECK_INTERVAL_S)
                except TimeoutError:
                    self.bridge.end_uncollected()
            await self._shut_down(router)
        finally:
            self.bridge.fail_remaining()  # before the loop closes, so that no host schedules on a closed one
            if router.ledger.cold_share is not None:
                router.ledger.cold_share.leave()

    async def _shut_down(self, router: Router) -> None:
        """Answers what is owed, releases what stands, closes the links."""
        log.info(
            "stopping", extra={"owed": router.ledger.unanswered_count(), "calls": len(router.ledger.records)}
        )
        router.closing = True
        for part in router.components:
            part.begin_shutdown()
            part.refuse_new_calls()
        await router.wait_until(lambda: not router.ledger.records, router.loop.time() + self.drain_s)
        for call in self.bridge.open_calls():
            router.post(Cancelled(call))
        await router.wait_until(lambda: not router.ledger.unanswered_count(), router.loop.time() + 1.0)
        await router.complete_shutdown(router.loop.time() + 1.0)


def standing_or_raise(outcome: Outcome) -> StandingCall:
    match outcome:
        case Stands():
            return outcome.call
        case Refused():
            raise CallRefused(outcome.retry_after_s)
        case Failed():
            raise CallFailed(outcome.why)


class ForkHandler:
    """In a forked child: closes the copies of the router's sockets, so that the parent's closes are heard.

    The child has no thread that could serve them. Only descriptors are closed: whatever else is asked of the
    loop there would reach into the parent's poll.
    """

    def __init__(self, embedded: EmbeddedRouter) -> None:
        self.embedded = weakref.ref(embedded)

    def __call__(self) -> None:
        embedded = self.embedded()
        if embedded is None or embedded.router is None or embedded.thread_ended.is_set():
            return
        embedded.bridge.reset_after_fork()
        for transport in transports(embedded.router):
            descriptor = transport.get_extra_info("socket").fileno()
            if descriptor >= 0:
                os.close(descriptor)


def transports(router: Router) -> Iterator[asyncio.BaseTransport]:
    """Those of the links and of IAX2: what switches and callers would wait for if a child kept it open."""
    for link in router.listed_links.values():
        for connection in getattr(link, "connections", ()):
            if connection.transport is not None:
                yield connection.transport
    for part in router.components:
        if isinstance(part, IaxComponent):
            yield from part.transports()
