"""A complete call router inside a host process, on its own thread and event loop.

Deadlines, releases, drains and answers keep running while the host's event loop or threads block.
"""

from __future__ import annotations

import asyncio
import atexit
import logging
import os
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
from rowanmast.config import Config, IaxConfig, read_config
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ports import Cancelled
from rowanmast.embed.admission import Bounds
from rowanmast.embed.bridge import HostBridge
from rowanmast.embed.calls import StandingCall, Ticket
from rowanmast.embed.outcomes import (
    CallFailed,
    CallRefused,
    CallRequest,
    Failed,
    Outcome,
    Refused,
    RequestError,
    RouterClosed,
    Stands,
)
from rowanmast.net.changelog import Reader
from rowanmast.net.logs import EMBEDDED_THREAD_PREFIX

UNCOLLECTED_CHECK_INTERVAL_S = 0.1
DEFAULT_DRAIN_S = 10.0  # how long close() waits for existing calls to end
READY_POLL_INTERVAL_S = 0.01
EXIT_DRAIN_S = 0.0  # at interpreter exit all calls are ended at once
JOIN_TIMEOUT_S = 5.0  # after the drain, for the last bytes to be sent and the thread to end

log = logging.getLogger(__name__)


class EmbeddedRouter:
    """A call router inside a host application. Open it with `with` or `async with`; see docs/embedding.md.

    It uses the same ledger, decisions and links as the daemon, and so keeps the same rules towards switches.
    Methods may be called from any thread, and coroutine methods from any event loop; `close` may not be
    called from the router's own thread.
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
        """`config` is a checked configuration; its `listen` and `sockets` are not used.

        Routers of one process should be given the same `share` and configurations with different names, so
        that together they keep the limit of set-ups to a cold switch (one that has just started). With `iax`,
        IAX2 callers and switches are served too. `addresses` maps switches to the addresses that replace the
        one in the change log; they are tried in the order of `preference`.
        """
        self.config = config
        self.name = config.name
        self.share = share
        self.iax = iax
        self.addresses = dict(addresses or {})
        self.preference = preference or Preference()
        self.reader = reader or Reader()
        self.desk = HostBridge(bounds or Bounds())  # between the host's threads and the router's
        self.router: Router | None = None
        self.thread: threading.Thread | None = None
        self.process = 0  # ID of the process that opened it
        self.opened = threading.Event()  # start-up is done, or has failed
        self.ended = threading.Event()  # the router's thread has ended
        self.stop_asked: asyncio.Event | None = None  # set by `close` and `aclose`
        self.drain_s = DEFAULT_DRAIN_S
        self.failure: BaseException | None = None

    @classmethod
    def from_files(
        cls, config: str, settings: str | None = None, *, share: ColdShare | None = None
    ) -> EmbeddedRouter:
        """Makes a router from the platform's configuration (JSON) and Rowanmast's settings (protobuf text).

        Raises ConfigError with a one-line message that names the file and the field.
        """
        reader = Reader()
        checked = read_config(config, reader)
        if settings is None:
            return cls(checked, share=share, reader=reader)
        from rowanmast.options.reader import read_options  # loads protobuf only where needed

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

    # Opening and closing

    def open(self) -> None:
        """Starts the thread and opens the links. A router can be opened once.

        Raises RouterClosed if it was opened before, OSError if a socket can't be opened, and ValueError if
        another router with this name uses the same `share`.
        """
        if self.thread is not None:
            raise RouterClosed(f"router {self.name} was opened before; it can be opened only once")
        self.process = self.desk.owner_pid = os.getpid()  # the host may have forked since __init__
        self.thread = threading.Thread(
            target=self._run_thread, name=f"{EMBEDDED_THREAD_PREFIX}{self.name}", daemon=True
        )
        self.thread.start()
        self.opened.wait()
        if self.failure is not None:
            self.thread.join(JOIN_TIMEOUT_S)
            raise self.failure
        atexit.register(self.close, EXIT_DRAIN_S)
        os.register_at_fork(after_in_child=ForkHandler(self))

    def close(self, drain_s: float = DEFAULT_DRAIN_S) -> None:
        """Refuses new calls, waits up to `drain_s` seconds for the existing ones, then ends the thread.

        Blocks. After that time unanswered calls fail and standing calls are released at their switch. May be
        called repeatedly, also while another `close` waits. Raises RouterClosed on the router's own thread.
        """
        if self.thread is None or not self._owned_by_this_process():
            return
        if threading.current_thread() is self.thread:
            raise RouterClosed("close() must not be called on the router's own thread")
        self._request_close(drain_s)
        self.ended.wait(drain_s + JOIN_TIMEOUT_S)
        self.thread.join(JOIN_TIMEOUT_S)
        atexit.unregister(self.close)

    def wait_ready(self, timeout_s: float = 2.0) -> bool:
        """Blocks until `ready` returns True; returns False after `timeout_s` seconds.

        Calls may be placed earlier; those to a switch that is not known yet are refused.
        """
        end = time.monotonic() + timeout_s
        while not self.ready() and time.monotonic() < end:
            time.sleep(READY_POLL_INTERVAL_S)
        return self.ready()

    def ready(self) -> bool:
        """Whether the switches are known and each has a connection now. Does not block.

        Switches that use IAX2, which has no connections, count as connected.
        """
        if self.router is None or self.ended.is_set() or not self.router.ledger.listed:
            return False
        links = list(self.router.listed_links.values())
        return all(getattr(link, "connections", True) for link in links)

    def drain(self) -> None:
        """Refuses new calls from now on. Existing calls continue until they end or `close` ends them."""
        self.desk.refuse_new_calls()

    async def aclose(self, drain_s: float = DEFAULT_DRAIN_S) -> None:
        """Like `close`, without blocking the event loop."""
        self._request_close(drain_s)
        await asyncio.to_thread(self.close, drain_s)

    def _request_close(self, drain_s: float) -> None:
        self.desk.refuse_new_calls()
        self.drain_s = min(self.drain_s, drain_s)
        loop, event = self.desk.loop, self.stop_asked
        if loop is not None and event is not None:
            with suppress(RuntimeError):  # the loop has closed in the meantime
                loop.call_soon_threadsafe(event.set)

    def _owned_by_this_process(self) -> bool:
        """Whether this process opened the router. A forked child has no router thread."""
        return self.process == os.getpid()

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
        """Places a call and returns without waiting for its outcome.

        Beyond the host's `Bounds` and after `drain` the ticket is resolved as Refused at once. Raises
        RequestError if the call's class is not in the settings, and RouterClosed if the router is not open
        in this process.
        """
        if self.thread is None or not self._owned_by_this_process():
            raise RouterClosed(f"router {self.name} is not open in this process")
        if self.ended.is_set():
            raise RouterClosed(f"router {self.name} is closed")
        if request.klass not in self.config.classes:
            known = ", ".join(sorted(self.config.classes))
            raise RequestError(f"klass: {request.klass!r} is not in the settings, which have {known}")
        return self.desk.submit(request)

    async def place(self, request: CallRequest) -> Outcome:
        """Places a call and returns its final outcome. Raises as `submit`.

        If the task is cancelled, the call is cancelled, or released if it stands.
        """
        return await self.submit(request).outcome()

    def place_blocking(self, request: CallRequest) -> Outcome:
        """Like `place`, blocking the calling thread. KeyboardInterrupt cancels the call."""
        ticket = self.submit(request)
        try:
            return ticket.result()
        except BaseException:  # such as KeyboardInterrupt: the outcome won't be collected
            ticket.cancel()
            raise

    @asynccontextmanager
    async def call(self, request: CallRequest) -> AsyncIterator[StandingCall]:
        """Places a call, which stands for the body of `async with` and is released after it.

        Raises CallRefused or CallFailed if the call does not stand, otherwise as `submit`.
        """
        call = standing_or_raise(await self.place(request))
        try:
            yield call
        finally:
            call.release()

    @contextmanager
    def call_blocking(self, request: CallRequest) -> Iterator[StandingCall]:
        """Like `call`, for `with` and a blocking thread."""
        call = standing_or_raise(self.place_blocking(request))
        try:
            yield call
        finally:
            call.release()

    def counts(self) -> tuple[int, int]:
        """The number of the host's calls without a final answer, and the number of standing calls."""
        with self.desk.lock:
            return self.desk.admission.open_count, self.desk.admission.standing_count

    # The router's thread

    def _run_thread(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as error:
            self.failure = error
            if self.opened.is_set():
                log.exception("router_fault", extra={"router": self.name})
        finally:
            self.desk.fail_remaining()
            self.ended.set()
            self.opened.set()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        self.stop_asked = asyncio.Event()
        router = self.router = Router(self.config, self.reader, loop, share=self.share)
        try:
            if self.addresses:
                router.add_link_factory(MultiAddressLinks(router, self.addresses, self.preference).make_link)
            if self.iax is not None:
                component = IaxComponent(router, self.iax)
                router.add_components(component)
                router.add_link_factory(component.make_link)
            await router.open()
            self.desk.attach(router)
            self.opened.set()
            while not self.stop_asked.is_set():
                try:
                    await asyncio.wait_for(self.stop_asked.wait(), UNCOLLECTED_CHECK_INTERVAL_S)
                except TimeoutError:
                    self.desk.end_uncollected()
            await self._shut_down(router)
        finally:
            self.desk.fail_remaining()  # before the loop closes, so that no command goes to a closed one
            if router.ledger.cold_share is not None:
                router.ledger.cold_share.leave()

    async def _shut_down(self, router: Router) -> None:
        """Waits up to `drain_s` for the calls to end, ends the remaining ones and closes the links."""
        log.info(
            "stopping", extra={"owed": router.ledger.unanswered_count(), "calls": len(router.ledger.records)}
        )
        router.closing = True
        for component in router.components:
            component.begin_shutdown()
            component.refuse_new_calls()
        await router.wait_until(lambda: not router.ledger.records, router.loop.time() + self.drain_s)
        for call in self.desk.open_calls():
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
    """In a forked child, resolves pending futures and closes the copied sockets that `transports` yields.

    The child has no thread to serve them. If the sockets stayed open, peers would not see the connections end
    when the parent closes them. Only the descriptors are closed: any other operation on the copied loop would
    affect the parent's epoll set.
    """

    def __init__(self, embedded: EmbeddedRouter) -> None:
        self.embedded = weakref.ref(embedded)

    def __call__(self) -> None:
        embedded = self.embedded()
        if embedded is None or embedded.router is None or embedded.ended.is_set():
            return
        embedded.desk.reset_after_fork()
        for transport in transports(embedded.router):
            descriptor = transport.get_extra_info("socket").fileno()
            if descriptor >= 0:
                os.close(descriptor)


def transports(router: Router) -> Iterator[asyncio.BaseTransport]:
    """The transports to listed switches and of IAX2, which peers would see as open if a child kept them.

    Not included: connections that are still being opened (a known fault, see KNOWN-RED.txt), retired ones and
    those to switches that are no longer listed.
    """
    for link in router.listed_links.values():
        for connection in getattr(link, "connections", ()):
            if connection.transport is not None:
                yield connection.transport
    for component in router.components:
        if isinstance(component, IaxComponent):
            yield from component.transports()
