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

from rowanmast.app.switches import Address, ClosableLink, SwitchLinks
from rowanmast.config import Config
from rowanmast.control import CallAgent
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ledger import Ledger, with_margin
from rowanmast.core.ports import EndOwed, Front, Input, SwitchLink
from rowanmast.net.changelog import Change, ChangeLog, Reader
from rowanmast.net.peers import PeerLink
from rowanmast.net.turn import Turn

RELEASE_MARGIN_US = 50_000
ACCEPT_S = 0.7  # after a stop is asked for, callers still come for this long
LONGEST_DEADLINE_S = 3.0  # SIGKILL may come this long after that, or the longest deadline if it is shorter
VERIFY_MARGIN_S = 0.4  # before SIGKILL may come, switches are asked for a sign of life,
ANSWER_MARGIN_S = 0.25  # what is owed is answered and what can't stand without us is ended,
EXIT_MARGIN_S = 0.1  # and the process ends
SETTLE_S = 0.05  # time for the last bytes to leave
POLL_S = 0.02
TOTALS_S = 10.0  # between two lines of totals in the log

Clock = Callable[[], int]

log = logging.getLogger(__name__)


class Part(Protocol):
    """A front, or what fronts and links need, with a life of its own inside a router."""

    async def open(self) -> None:
        """Begins to listen. Raises OSError where that can't be done."""

    def wind_down(self) -> None:
        """The router stops: tells callers to go elsewhere, but still takes what comes."""

    def refuse_all(self) -> None:
        """Takes nothing new from now on: what comes is refused at once."""

    def told_all(self) -> bool:
        """Whether callers have heard all that they must."""

    def close(self) -> None:
        """Lets go of every socket."""


LinkMaker = Callable[[str, Address], ClosableLink | None]


class Router:
    """What every router has. Fronts are added as parts, other protocols of switches as link makers."""

    def __init__(
        self,
        config: Config,
        reader: Reader,
        loop: asyncio.AbstractEventLoop,
        heir: Front | None = None,
        share: ColdShare | None = None,
    ) -> None:
        """`heir` hears the end of calls that an earlier run left; `share` is that of all routers here."""
        self.config = config
        self.reader = reader
        self.loop = loop
        self.random = Random(config.seed)
        self.switches = SwitchLinks(config.settings.own_exchange, self.make_link)
        agent = CallAgent(with_margin(config.settings, RELEASE_MARGIN_US), config.seed)
        turn_share = None if share is None else share.join(config.name, config.settings)
        self.ledger = Ledger(
            config.settings, config.classes, agent, self.switches.by_exchange, heir, turn_share
        )
        self.turn = Turn(loop, self.ledger)
        self.changes = ChangeLog(config.changelog, reader, 0, self.tell, self.random)
        self.parts: list[Part] = []
        self.makers: list[LinkMaker] = []
        self.closing = False
        self.totals_timer: asyncio.TimerHandle | None = None
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()

    def add(self, *parts: Part) -> None:
        self.parts += parts

    def use(self, maker: LinkMaker) -> None:
        """Asks `maker` for the link to a switch before those asked for so far; None leaves it to them."""
        self.makers.insert(0, maker)

    def post(self, item: Input) -> None:
        self.turn.post(item)

    # Switches

    @property
    def links(self) -> Mapping[str, SwitchLink]:
        """The links to all switches, also to removed ones on which calls still stand."""
        return self.switches.by_exchange

    @property
    def peers(self) -> Mapping[str, ClosableLink]:
        """The links to the switches that discovery lists."""
        return self.switches.listed

    def tell(self, change: Change) -> None:
        self.switches.update(change)
        log.info("list", extra={"seq": change.seq, "hosts": len(change.listed.entries)})
        self.turn.post(change.listed)

    def make_link(self, exchange: str, address: Address) -> ClosableLink:
        """The link that speaks the switch's protocol: JSON lines, unless a maker knows better."""
        made = (maker(exchange, address) for maker in self.makers)
        other = next((link for link in made if link is not None), None)
        if other is not None:
            return other
        config, probes = self.config, self.config.settings.probes
        return PeerLink(exchange, address, self, self.ledger, config.connect_s, self.random, may_probe=probes)

    # Life

    async def open(self) -> None:
        """Opens the links to the switches known and then the fronts. Raises OSError if one can't listen."""
        for change in self.config.known:
            self.changes.seq = change.seq
            self.tell(change)
        self.changes.start()
        for part in self.parts:
            await part.open()
        self.log_totals()
        self.ready.set()

    def log_totals(self) -> None:
        """Logs what has become of calls so far, where that has changed, and again later."""
        counts = self.ledger.totals.changes()
        if counts:
            log.info("totals", extra={**counts, "open": len(self.ledger.records)})
        self.totals_timer = self.loop.call_later(TOTALS_S, self.log_totals)

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
        log.info("stopping", extra={"owed": self.ledger.owed(), "calls": len(self.ledger.records)})
        begun = self.loop.time()
        self.closing = True
        for part in self.parts:
            part.wind_down()
        kill_at = begun + self.kill_after_s()
        await self.until(lambda: False, min(begun + ACCEPT_S, kill_at - VERIFY_MARGIN_S))
        for part in self.parts:
            part.refuse_all()
        await self.until(lambda: not self.ledger.records, kill_at - VERIFY_MARGIN_S)
        if self.ledger.records:
            self.switches.verify()
            await self.until(lambda: not self.ledger.records, kill_at - ANSWER_MARGIN_S)
            self.post(EndOwed())
            await asyncio.sleep(0)  # the turn that answers them
        await self.finish(kill_at - EXIT_MARGIN_S)

    def kill_after_s(self) -> float:
        """How long after SIGTERM SIGKILL comes at the earliest, in seconds."""
        longest = max(kind.deadline_ns for kind in self.config.settings.classes) / 1e9
        return ACCEPT_S + min(longest, LONGEST_DEADLINE_S)

    async def finish(self, end: float) -> None:
        """Ends what can't stand without us, and closes everything."""
        self.ledger.release_bound()
        standing = len(self.ledger.records)
        self.switches.close()
        await self.until(lambda: all(part.told_all() for part in self.parts), end - SETTLE_S)
        for part in self.parts:
            part.close()
        await asyncio.sleep(SETTLE_S)
        if self.totals_timer is not None:
            self.totals_timer.cancel()
        totals = self.ledger.totals.changes()
        log.info("stopped", extra={"owed": self.ledger.owed(), "standing": standing, **totals})
        self.changes.stop()
        self.turn.close()

    async def until(self, holds: Callable[[], bool], end: float) -> None:
        while not holds() and self.loop.time() < end:
            await asyncio.sleep(POLL_S)
