"""One assembly for every router: the ledger, the decisions, the change log, any set of fronts and links.

Nothing here reads the environment, minds signals or keeps state outside the router that it builds. The
daemon, the embedded router and the tests all hold one of these; they differ in the parts that they add.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

from rowanmast.app.switches import Address, ManagedLink, SwitchLinks
from rowanmast.call_agent import CallAgent
from rowanmast.config import Config
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ledger import Ledger, with_release_margin
from rowanmast.core.ports import EndUnanswered, Front, Input, SwitchLink
from rowanmast.net.changelog import Change, ChangeLogClient, Reader
from rowanmast.net.input_queue import InputQueue
from rowanmast.net.peers import JsonSwitchLink

RELEASE_MARGIN_US = 50_000
SHUTDOWN_ACCEPT_S = 0.7  # after a stop is asked for, callers still come for this long
MAX_DEADLINE_WAIT_S = 3.0  # SIGKILL may come this long after that, or the longest deadline if it is shorter
VERIFY_MARGIN_S = 0.4  # before SIGKILL may come, switches are asked for a sign of life,
ANSWER_MARGIN_S = 0.25  # what is owed is answered and what can't stand without us is ended,
EXIT_MARGIN_S = 0.1  # and the process ends
FLUSH_S = 0.05  # time for the last bytes to leave
POLL_INTERVAL_S = 0.02
TOTALS_INTERVAL_S = 10.0  # between two lines of totals in the log

Clock = Callable[[], int]

log = logging.getLogger(__name__)


class Component(Protocol):
    """A front, or what fronts and links need, with a life of its own inside a router."""

    async def open(self) -> None:
        """Begins to listen. Raises OSError where that can't be done."""

    def begin_shutdown(self) -> None:
        """The router stops: tells callers to go elsewhere, but still takes what comes."""

    def refuse_new_calls(self) -> None:
        """Takes nothing new from now on: what comes is refused at once."""

    def all_notified(self) -> bool:
        """Whether callers have heard all that they must."""

    def close(self) -> None:
        """Lets go of every socket."""


LinkFactory = Callable[[str, Address], ManagedLink | None]


class Router:
    """What every router has. Fronts are added as parts, other protocols of switches as link makers."""

    def __init__(
        self,
        config: Config,
        reader: Reader,
        loop: asyncio.AbstractEventLoop,
        orphan_front: Front | None = None,
        share: ColdShare | None = None,
    ) -> None:
        """`heir` hears the end of calls that an earlier run left; `share` is that of all routers here."""
        self.config = config
        self.reader = reader
        self.loop = loop
        self.random = Random(config.seed)
        self.switches = SwitchLinks(config.settings.own_exchange, self.make_link)
        agent = CallAgent(with_release_margin(config.settings, RELEASE_MARGIN_US), config.seed)
        turn_share = None if share is None else share.join(config.name, config.settings)
        self.ledger = Ledger(
            config.settings, config.classes, agent, self.switches.by_exchange, orphan_front, turn_share
        )
        self.turn = InputQueue(loop, self.ledger)
        self.change_log = ChangeLogClient(config.changelog, reader, 0, self.apply_change, self.random)
        self.components: list[Component] = []
        self.link_factories: list[LinkFactory] = []
        self.closing = False
        self.totals_timer: asyncio.TimerHandle | None = None
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()

    def add_components(self, *parts: Component) -> None:
        self.components += parts

    def add_link_factory(self, maker: LinkFactory) -> None:
        """Asks `maker` for the link to a switch before those asked for so far; None leaves it to them."""
        self.link_factories.insert(0, maker)

    def post(self, item: Input) -> None:
        self.turn.post(item)

    # Switches

    @property
    def links(self) -> Mapping[str, SwitchLink]:
        """The links to all switches, also to removed ones on which calls still stand."""
        return self.switches.by_exchange

    @property
    def listed_links(self) -> Mapping[str, ManagedLink]:
        """The links to the switches that discovery lists."""
        return self.switches.listed

    def apply_change(self, change: Change) -> None:
        self.switches.update(change)
        log.info("list", extra={"seq": change.seq, "hosts": len(change.exchange_list.entries)})
        self.turn.post(change.exchange_list)

    def make_link(self, exchange: str, address: Address) -> ManagedLink:
        """The link that speaks the switch's protocol: JSON lines, unless a maker knows better."""
        made = (maker(exchange, address) for maker in self.link_factories)
        other = next((link for link in made if link is not None), None)
        if other is not None:
            return other
        config, probes = self.config, self.config.settings.probes
        return JsonSwitchLink(
            exchange, address, self, self.ledger, config.connect_s, self.random, may_probe=probes
        )

    # Life

    async def open(self) -> None:
        """Opens the links to the switches known and then the fronts. Raises OSError if one can't listen."""
        for change in self.config.known:
            self.change_log.seq = change.seq
            self.apply_change(change)
        self.change_log.start()
        for part in self.components:
            await part.open()
        self.log_totals()
        self.ready.set()

    def log_totals(self) -> None:
        """Logs what has become of calls so far, where that has changed, and again later."""
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
        """Takes calls a little longer, answers them all, and waits for those that stand.

        All is done before SIGKILL may come (PROTOCOL, "Figures"). What still stands then goes on: the next
        run at this address hears of its end and tells the caller.
        """
        log.info(
            "stopping", extra={"owed": self.ledger.unanswered_count(), "calls": len(self.ledger.records)}
        )
        begun = self.loop.time()
        self.closing = True
        for part in self.components:
            part.begin_shutdown()
        kill_at = begun + self.kill_delay_s()
        await self.wait_until(lambda: False, min(begun + SHUTDOWN_ACCEPT_S, kill_at - VERIFY_MARGIN_S))
        for part in self.components:
            part.refuse_new_calls()
        await self.wait_until(lambda: not self.ledger.records, kill_at - VERIFY_MARGIN_S)
        if self.ledger.records:
            self.switches.verify_alive()
            await self.wait_until(lambda: not self.ledger.records, kill_at - ANSWER_MARGIN_S)
            self.post(EndUnanswered())
            await asyncio.sleep(0)  # the turn that answers them
        await self.complete_shutdown(kill_at - EXIT_MARGIN_S)

    def kill_delay_s(self) -> float:
        """How long after SIGTERM SIGKILL comes at the earliest, in seconds."""
        longest = max(kind.deadline_ns for kind in self.config.settings.classes) / 1e9
        return SHUTDOWN_ACCEPT_S + min(longest, MAX_DEADLINE_WAIT_S)

    async def complete_shutdown(self, end: float) -> None:
        """Ends what can't stand without us, and closes everything."""
        self.ledger.release_nonsurviving()
        standing = len(self.ledger.records)
        self.switches.close()
        await self.wait_until(lambda: all(part.all_notified() for part in self.components), end - FLUSH_S)
        for part in self.components:
            part.close()
        await asyncio.sleep(FLUSH_S)
        if self.totals_timer is not None:
            self.totals_timer.cancel()
        totals = self.ledger.totals.changed_totals()
        log.info("stopped", extra={"owed": self.ledger.unanswered_count(), "standing": standing, **totals})
        self.change_log.stop()
        self.turn.close()

    async def wait_until(self, holds: Callable[[], bool], end: float) -> None:
        while not holds() and self.loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
