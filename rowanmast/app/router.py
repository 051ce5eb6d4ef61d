"""Assembles a router: the ledger, the decision module, the change log and any set of fronts and links.

The daemon, the embedded router and the tests use the same class and differ in the components they add.
Nothing here reads the environment, handles signals or keeps state outside the router.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

from rowanmast.addresses.connector import Connector
from rowanmast.app.switches import Address, ManagedLink, SwitchLinks
from rowanmast.call_agent import CallAgent
from rowanmast.config import Config
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ledger import Ledger, with_release_margin
from rowanmast.core.ports import EndUnanswered, Front, Input, SwitchLink
from rowanmast.net.changelog import Change, ChangeLogClient, Reader
from rowanmast.net.connection_budget import ConnectionBudget
from rowanmast.net.input_queue import InputQueue
from rowanmast.net.peers import JsonSwitchLink

BYTES_PER_MB = 1024 * 1024
PENDING_SHARE_OF_MEMORY = 0.125  # of the router's memory, for calls without a final answer
RELEASE_MARGIN_US = 50_000  # by which the decision module waits longer for a release than the ledger
SHUTDOWN_ACCEPT_S = 0.7  # after SIGTERM, new calls are accepted for this long
# SIGKILL comes no sooner than SHUTDOWN_ACCEPT_S plus the longest deadline of a class, of which at most this
# much counts.
MAX_DEADLINE_WAIT_S = 3.0
# Times before the earliest SIGKILL at which the steps of the shutdown start:
VERIFY_MARGIN_S = 0.4  # probe the switches with standing calls
ANSWER_MARGIN_S = 0.25  # answer all unanswered calls and end those that can't outlive the process
EXIT_MARGIN_S = 0.1  # exit
FLUSH_S = 0.05  # time for the last output to be sent
POLL_INTERVAL_S = 0.02
TOTALS_INTERVAL_S = 10.0  # between two log lines with totals

Clock = Callable[[], int]

log = logging.getLogger(__name__)


class Component(Protocol):
    """A part of a router with a life cycle of its own, such as a front with its socket."""

    async def open(self) -> None:
        """Starts to listen. Raises OSError if it can't."""

    def begin_shutdown(self) -> None:
        """Tells callers to use another router; calls may still be accepted."""

    def refuse_new_calls(self) -> None:
        """Refuses all new calls from now on."""

    def all_notified(self) -> bool:
        """Whether callers have acknowledged all releases."""

    def close(self) -> None:
        """Closes all sockets."""


LinkFactory = Callable[[str, Address], ManagedLink | None]


class Router:
    """A complete router. Fronts are added as components, further switch protocols as link factories."""

    def __init__(
        self,
        config: Config,
        reader: Reader,
        loop: asyncio.AbstractEventLoop,
        orphan_front: Front | None = None,
        share: ColdShare | None = None,
        max_link_connections: int | None = None,
    ) -> None:
        """Opens no socket yet; see `open`.

        `orphan_front` is notified of the ends of calls that an earlier run left standing. `share` is the
        common account for cold switches of all routers in this process. `max_link_connections` limits the
        connections to all switches together.
        """
        self.config = config
        self.reader = reader
        self.loop = loop
        self.random = Random(config.seed)
        self.connection_budget = ConnectionBudget(max_link_connections)
        self.switches = SwitchLinks(config.settings.own_exchange, self.make_link)
        agent = CallAgent(with_release_margin(config.settings, RELEASE_MARGIN_US), config.seed)
        cold_share = None if share is None else share.join(config.name, config.settings)
        self.ledger = Ledger(
            config.settings,
            config.classes,
            agent,
            self.switches.by_exchange,
            orphan_front,
            cold_share,
            max_pending_bytes=int(config.memory_mb * BYTES_PER_MB * PENDING_SHARE_OF_MEMORY),
        )
        self.input_queue = InputQueue(loop, self.ledger)
        self.change_log = ChangeLogClient(config.changelog, reader, 0, self.apply_change, self.random)
        self.components: list[Component] = []
        self.link_factories: list[LinkFactory] = []
        self.closing = False
        self.totals_timer: asyncio.TimerHandle | None = None
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()

    def add_components(self, *components: Component) -> None:
        self.components += components

    def add_link_factory(self, factory: LinkFactory) -> None:
        """Adds a factory that is asked before the existing ones.

        It returns None for switches that it does not support.
        """
        self.link_factories.insert(0, factory)

    def post(self, item: Input) -> None:
        self.input_queue.post(item)

    # Switches

    @property
    def links(self) -> Mapping[str, SwitchLink]:
        """The links to all switches, including removed ones with standing calls."""
        return self.switches.by_exchange

    @property
    def listed_links(self) -> Mapping[str, ManagedLink]:
        """The links to the switches that discovery lists."""
        return self.switches.listed

    def apply_change(self, change: Change) -> None:
        """Updates the links and the ledger with a change from the change log."""
        change = self.switches.with_displaced_removed(change)
        self.switches.update(change)
        log.info("list", extra={"seq": change.seq, "hosts": len(change.exchange_list.entries)})
        self.input_queue.post(change.exchange_list)

    def make_link(self, exchange: str, address: Address) -> ManagedLink:
        """Creates the link to a switch with the first factory that supports it, else over JSON lines."""
        made = (factory(exchange, address) for factory in self.link_factories)
        special = next((link for link in made if link is not None), None)
        if special is not None:
            return special
        return self.make_json_link(exchange, address)

    def make_json_link(
        self, exchange: str, address: Address, connector: Connector | None = None
    ) -> JsonSwitchLink:
        """Creates a JSON lines link; a `connector`, if given, chooses the address to connect to."""
        return JsonSwitchLink(
            exchange,
            address,
            self,
            self.ledger,
            self.config.connect_s,
            self.random,
            connector,
            may_probe=self.config.settings.probes,
            budget=self.connection_budget,
        )

    # Life cycle

    async def open(self) -> None:
        """Opens the links to the known switches, then the fronts. Raises OSError if one can't listen."""
        for change in self.config.known:
            self.change_log.seq = change.seq
            self.apply_change(change)
        self.change_log.start()
        for component in self.components:
            await component.open()
        self.log_totals()
        self.ready.set()

    def log_totals(self) -> None:
        """Logs the totals if they have changed since the last time, and schedules the next check."""
        counts = self.ledger.totals.changed_totals()
        if counts:
            log.info("totals", extra={**counts, "open": len(self.ledger.records)})
        self.totals_timer = self.loop.call_later(TOTALS_INTERVAL_S, self.log_totals)

    async def run(self) -> None:
        """Serves until `stop` is set, then shuts down."""
        await self.open()
        await self.stop.wait()
        await self.shut_down()

    async def shut_down(self) -> None:
        """Accepts calls a little longer, answers all calls and waits for standing ones to end.

        It finishes before SIGKILL may follow (PROTOCOL, "Figures"). Calls that still stand then are left
        standing if they can outlive the process: the next run at this address receives their releases and
        notifies the callers.
        """
        log.info(
            "stopping", extra={"owed": self.ledger.unanswered_count(), "calls": len(self.ledger.records)}
        )
        started_at = self.loop.time()
        self.closing = True
        for component in self.components:
            component.begin_shutdown()
        kill_at = started_at + self.kill_delay_s()
        await self.wait_until(lambda: False, min(started_at + SHUTDOWN_ACCEPT_S, kill_at - VERIFY_MARGIN_S))
        for component in self.components:
            component.refuse_new_calls()
        await self.wait_until(lambda: not self.ledger.records, kill_at - VERIFY_MARGIN_S)
        if self.ledger.records:
            self.switches.verify_alive()
            await self.wait_until(lambda: not self.ledger.records, kill_at - ANSWER_MARGIN_S)
            self.post(EndUnanswered())
            await asyncio.sleep(0)  # lets the ledger's turn run
        await self.complete_shutdown(kill_at - EXIT_MARGIN_S)

    def kill_delay_s(self) -> float:
        """The least time between SIGTERM and SIGKILL, in seconds."""
        longest_s = max(call_class.deadline_ns for call_class in self.config.settings.classes) / 1e9
        return SHUTDOWN_ACCEPT_S + min(longest_s, MAX_DEADLINE_WAIT_S)

    async def complete_shutdown(self, end: float) -> None:
        """Ends the calls that can't outlive the process and closes everything by `end` (loop time)."""
        self.ledger.release_nonsurviving()
        standing = self.ledger.standing_count()
        self.switches.close()
        await self.wait_until(lambda: all(one.all_notified() for one in self.components), end - FLUSH_S)
        for component in self.components:
            component.close()
        await asyncio.sleep(FLUSH_S)
        if self.totals_timer is not None:
            self.totals_timer.cancel()
        totals = self.ledger.totals.changed_totals()
        log.info("stopped", extra={"owed": self.ledger.unanswered_count(), "standing": standing, **totals})
        self.change_log.stop()
        self.input_queue.close()

    async def wait_until(self, condition: Callable[[], bool], end: float) -> None:
        """Waits until the condition holds, or until `end` (loop time)."""
        while not condition() and self.loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
