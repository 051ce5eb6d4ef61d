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
from rowanmast.app.parts import AddressedLinks, IaxPart
from rowanmast.app.router import Router
from rowanmast.causes import NORMAL_CLEARING, TEMPORARY_FAILURE
from rowanmast.config import Config, IaxConfig, read_config
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ports import Cancelled, Failure, Offer, Released, Route
from rowanmast.embed.admission import BACK_OFF_US, Admission, Bounds, Stage, Verdict
from rowanmast.embed.calls import Latch, StandingCall, Ticket
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
from rowanmast.net.logs import EMBEDDED
from rowanmast.net.turn import now_us

SWEEP_S = 0.1  # gaps at which outcomes that nobody collects are looked for
DRAIN_S = 10.0  # for which a close waits, if not told otherwise, for calls that stand
READY_STEP_S = 0.01
EXIT_DRAIN_S = 0.0  # at interpreter exit what stands is released at once
JOIN_S = 5.0  # beyond the drain, for the last bytes and the thread's own end

log = logging.getLogger(__name__)


class Held:
    """What the router's side keeps of one call of the host."""

    __slots__ = ("deadline", "ended", "host_cause", "request", "ticket")

    def __init__(self, ticket: Ticket, request: CallRequest, deadline: int) -> None:
        self.ticket: Ticket | None = ticket  # until the host has the outcome, so that it can lose the call
        self.request: CallRequest | None = request
        self.deadline = deadline
        self.ended: Latch[Ending] = Latch()
        self.host_cause: int | None = None  # with which the host has ended it


class EmbeddedFront:
    """The host as a front of the router: adapts it to the core's port `Front`. On the router's thread."""

    lasting = False  # the calls end with the host's process, so they are released when the router closes

    def __init__(self, desk: HostDesk) -> None:
        self.desk = desk

    def answer(self, call: str, text: str) -> None:
        held = self.desk.stands(call)
        if held is None:  # the host has given it up, of which the ledger hears next
            self.finish(call, Failed(Failure.CANCELLED))
        elif held.ticket is not None:
            outcome = Stands(StandingCall(self.desk, call, text, held.ended))
            if not held.ticket.latch.set(outcome):
                self.desk.end(call, NORMAL_CLEARING)  # the loop that waited for it is closed

    def refuse(self, call: str, stay_away_us: int) -> None:
        self.finish(call, Refused(stay_away_us / 1e6))

    def fail(self, call: str, why: Failure) -> None:
        self.finish(call, Failed(why))

    def finish(self, call: str, outcome: Outcome) -> None:
        held = self.desk.forget(call)
        if held is not None and held.ticket is not None:
            held.ticket.latch.set(outcome)

    def release(self, call: str, cause: int) -> None:
        held = self.desk.forget(call)
        if held is not None:
            by = EndedBy.SWITCH if cause == NORMAL_CLEARING else EndedBy.CUT
            held.ended.set(Ending(by, cause))


class HostDesk:
    """Where host and router meet: the calls of the host, and its words for the router's next turn."""

    def __init__(self, bounds: Bounds) -> None:
        self.lock = threading.RLock()  # a finalizer may run inside, on the thread that holds it
        self.process = 0  # that opened the router
        self.admission = Admission(bounds)
        self.held: dict[str, Held] = {}
        self.words: list[tuple[str, int | None]] = []  # a call, and the cause if the host ends it
        self.scheduled = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.router: Router | None = None
        self.front = EmbeddedFront(self)

    # From any thread

    def place(self, request: CallRequest) -> Ticket:
        """Takes a call, or gives it its final answer at once."""
        call = secrets.token_hex(8)
        ticket = Ticket(self, call)
        with self.lock:
            verdict = self.admission.ask(call)
            if verdict is Verdict.TAKEN:
                deadline = now_us() + int(request.wait_s * 1e6)
                self.held[call] = Held(ticket, request, deadline)
                self.say(call, None)
        if verdict is not Verdict.TAKEN:
            ticket.latch.set(Refused(BACK_OFF_US / 1e6))
        return ticket

    def collected(self, call: str) -> None:
        with self.lock:
            if self.admission.collected(call):
                self.held[call].ticket = None

    def end(self, call: str, cause: int) -> None:
        if os.getpid() != self.process:
            return  # a forked child has no part in the calls of its parent
        with self.lock:
            held = self.held.get(call)
            if held is not None and held.host_cause is None:
                held.host_cause = cause
                self.say(call, cause)

    def dropped(self, call: str) -> None:
        """May run wherever the interpreter drops the last reference, so it only leaves a word."""
        if os.getpid() == self.process and call in self.held:
            log.warning("call_dropped", extra={"call": call})
            self.end(call, NORMAL_CLEARING)

    def say(self, call: str, cause: int | None) -> None:
        self.words.append((call, cause))
        if not self.scheduled and self.loop is not None:
            self.scheduled = True
            self.loop.call_soon_threadsafe(self.hear)

    # On the router's thread

    def begin(self, router: Router) -> None:
        with self.lock:
            self.router, self.loop = router, router.loop
            if self.words:
                self.scheduled = True
                router.loop.call_soon(self.hear)

    def hear(self) -> None:
        """Hands on what the host has said since the last time."""
        router = self.router
        with self.lock:
            self.scheduled = False  # first, as a finalizer may leave a word between the two lines
            words, self.words = self.words, []
        if router is None:
            return
        for call, cause in words:
            held = self.held.get(call)
            if cause is not None:
                self.end_heard(router, call, cause)
            elif held is not None and held.request is not None:
                request, held.request = held.request, None
                router.post(self.offer(call, request, held.deadline))

    def end_heard(self, router: Router, call: str, cause: int) -> None:
        """Passes on that the host ends a call. The first post counts if it stands, the second if not."""
        with self.lock:
            stands = self.admission.stages.get(call) in (Stage.OFFERED, Stage.HELD)
            held = self.forget(call) if stands else None
        if held is not None:
            held.ended.set(Ending(EndedBy.HOST, cause))
        router.post(Released(call, cause))
        router.post(Cancelled(call))

    def offer(self, call: str, request: CallRequest, deadline: int) -> Offer:
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

    def stands(self, call: str) -> Held | None:
        with self.lock:
            held = self.held.get(call)
            if held is None or held.host_cause is not None or not self.admission.stands(call, now_us()):
                return None
            return held

    def forget(self, call: str) -> Held | None:
        with self.lock:
            self.admission.over(call)
            return self.held.pop(call, None)

    def sweep(self) -> None:
        """Ends the calls whose outcome nobody collects, or whose host's loop has gone."""
        with self.lock:
            late = self.admission.uncollected(now_us())
        for call in late:
            log.warning("outcome_not_collected", extra={"call": call})
            self.end(call, NORMAL_CLEARING)

    def stop_taking(self) -> None:
        with self.lock:
            self.admission.closing = True

    def open_calls(self) -> list[str]:
        with self.lock:
            return [call for call, stage in self.admission.stages.items() if stage is Stage.OPEN]

    def abandon(self) -> None:
        """The router's thread ends: whoever still waits for something hears it now."""
        with self.lock:
            self.admission.closing = True
            self.loop = None
            held, self.held = self.held, {}
            self.admission.clear()
        for one in held.values():
            if one.ticket is not None:
                one.ticket.latch.set(Failed(Failure.FAULT))
            one.ended.set(Ending(EndedBy.CUT, TEMPORARY_FAILURE))

    def forked(self) -> None:
        """In a forked child, where the router does not run: nothing is waited for any more, nor any lock."""
        self.lock = threading.RLock()
        self.loop = None
        for one in self.held.values():
            if one.ticket is not None:
                one.ticket.latch.settle_alone(Failed(Failure.FAULT))
            one.ended.settle_alone(Ending(EndedBy.CUT, TEMPORARY_FAILURE))
        self.held = {}


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
        self.desk = HostDesk(bounds or Bounds())
        self.router: Router | None = None
        self.thread: threading.Thread | None = None
        self.process = 0  # that opened it
        self.opened = threading.Event()
        self.ended = threading.Event()
        self.stop_asked: asyncio.Event | None = None
        self.drain_s = DRAIN_S
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
        self.process = self.desk.process = os.getpid()  # a host may have forked since it made us
        self.thread = threading.Thread(target=self._serve, name=f"{EMBEDDED}{self.name}", daemon=True)
        self.thread.start()
        self.opened.wait()
        if self.failure is not None:
            self.thread.join(JOIN_S)
            raise self.failure
        atexit.register(self.close, EXIT_DRAIN_S)
        os.register_at_fork(after_in_child=ForkGuard(self))

    def close(self, drain_s: float = DRAIN_S) -> None:
        """Refuses new calls, waits up to `drain_s` for those there are, releases the rest, ends the thread.

        Blocks. Calls without an answer after that time fail; calls that stand are released at their switch.
        May be called again, also while another close waits.
        """
        if self.thread is None or not self._alive_here():
            return
        if threading.current_thread() is self.thread:
            raise RouterClosed("close was called on the router's own thread")
        self._begin_close(drain_s)
        self.ended.wait(drain_s + JOIN_S)
        self.thread.join(JOIN_S)
        atexit.unregister(self.close)

    def wait_ready(self, timeout_s: float = 2.0) -> bool:
        """Blocks until the switches are known and each has a connection; False if that takes longer.

        Calls may be placed before: those for a switch that is not known yet are refused.
        """
        end = time.monotonic() + timeout_s
        while not self.ready() and time.monotonic() < end:
            time.sleep(READY_STEP_S)
        return self.ready()

    def ready(self) -> bool:
        """Whether the switches are known and each has a connection now."""
        if self.router is None or self.ended.is_set() or not self.router.ledger.listed:
            return False
        links = list(self.router.peers.values())
        return all(getattr(link, "connections", True) for link in links)

    def drain(self) -> None:
        """Refuses new calls from now on; those there are go on. `close` ends them."""
        self.desk.stop_taking()

    async def aclose(self, drain_s: float = DRAIN_S) -> None:
        """`close` without blocking the loop."""
        self._begin_close(drain_s)
        await asyncio.to_thread(self.close, drain_s)

    def _begin_close(self, drain_s: float) -> None:
        self.desk.stop_taking()
        self.drain_s = min(self.drain_s, drain_s)
        loop, event = self.desk.loop, self.stop_asked
        if loop is not None and event is not None:
            with suppress(RuntimeError):  # it has ended by itself in between
                loop.call_soon_threadsafe(event.set)

    def _alive_here(self) -> bool:
        """Whether this is the process that opened it: after a fork the child has no such thread."""
        return self.process == os.getpid()

    def __enter__(self) -> EmbeddedRouter:
        self.open()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close(DRAIN_S if kind is None else 0.0)

    async def __aenter__(self) -> EmbeddedRouter:
        await asyncio.to_thread(self.open)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.aclose(DRAIN_S if kind is None else 0.0)

    # Calls

    def submit(self, request: CallRequest) -> Ticket:
        """Places a call and returns at once. Raises RequestError or RouterClosed; never blocks."""
        if self.thread is None or not self._alive_here():
            raise RouterClosed(f"{self.name} is not open in this process")
        if self.ended.is_set():
            raise RouterClosed(f"{self.name} is closed")
        if request.klass not in self.config.classes:
            known = ", ".join(sorted(self.config.classes))
            raise RequestError(f"klass: {request.klass!r} is not in the settings, which have {known}")
        return self.desk.place(request)

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
        call = stands_or_raises(await self.place(request))
        try:
            yield call
        finally:
            call.release()

    @contextmanager
    def call_blocking(self, request: CallRequest) -> Iterator[StandingCall]:
        """The same for a plain thread."""
        call = stands_or_raises(self.place_blocking(request))
        try:
            yield call
        finally:
            call.release()

    def counts(self) -> tuple[int, int]:
        """How many calls of the host wait for their final answer now, and how many stand."""
        with self.desk.lock:
            return self.desk.admission.open, self.desk.admission.standing

    # The thread

    def _serve(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as error:
            self.failure = error
            if self.opened.is_set():
                log.exception("router_fault", extra={"router": self.name})
        finally:
            self.desk.abandon()
            self.ended.set()
            self.opened.set()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        self.stop_asked = asyncio.Event()
        router = self.router = Router(self.config, self.reader, loop, share=self.share)
        try:
            if self.addresses:
                router.use(AddressedLinks(router, self.addresses, self.preference).make_link)
            if self.iax is not None:
                part = IaxPart(router, self.iax)
                router.add(part)
                router.use(part.make_link)
            await router.open()
            self.desk.begin(router)
            self.opened.set()
            while not self.stop_asked.is_set():
                try:
                    await asyncio.wait_for(self.stop_asked.wait(), SWEEP_S)
                except TimeoutError:
                    self.desk.sweep()
            await self._wind_up(router)
        finally:
            self.desk.abandon()  # before the loop closes, so that no host's word is sent to a closed one
            if router.ledger.share is not None:
                router.ledger.share.leave()

    async def _wind_up(self, router: Router) -> None:
        """Answers what is owed, releases what stands, closes the links."""
        log.info("stopping", extra={"owed": router.ledger.owed(), "calls": len(router.ledger.records)})
        router.closing = True
        for part in router.parts:
            part.wind_down()
            part.refuse_all()
        await router.until(lambda: not router.ledger.records, router.loop.time() + self.drain_s)
        for call in self.desk.open_calls():
            router.post(Cancelled(call))
        await router.until(lambda: not router.ledger.owed(), router.loop.time() + 1.0)
        await router.finish(router.loop.time() + 1.0)


def stands_or_raises(outcome: Outcome) -> StandingCall:
    match outcome:
        case Stands():
            return outcome.call
        case Refused():
            raise CallRefused(outcome.retry_after_s)
        case Failed():
            raise CallFailed(outcome.why)


class ForkGuard:
    """In a forked child: closes the copies of the router's sockets, so that the parent's closes are heard.

    The child has no thread that could serve them. Only descriptors are closed: whatever else is asked of the
    loop there would reach into the parent's poll.
    """

    def __init__(self, embedded: EmbeddedRouter) -> None:
        self.embedded = weakref.ref(embedded)

    def __call__(self) -> None:
        embedded = self.embedded()
        if embedded is None or embedded.router is None or embedded.ended.is_set():
            return
        embedded.desk.forked()
        for transport in transports(embedded.router):
            descriptor = transport.get_extra_info("socket").fileno()
            if descriptor >= 0:
                os.close(descriptor)


def transports(router: Router) -> Iterator[asyncio.BaseTransport]:
    """Those of the links and of IAX2: what switches and callers would wait for if a child kept it open."""
    for link in router.peers.values():
        for connection in getattr(link, "connections", ()):
            if connection.transport is not None:
                yield connection.transport
    for part in router.parts:
        if isinstance(part, IaxPart):
            yield from part.transports()
