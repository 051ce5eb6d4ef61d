"""The call router: reads PROXY_CONFIG, wires the parts together and minds the signals."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from random import Random

import uvloop

from rowanmast import interface as api
from rowanmast import vrrp
from rowanmast.config import Config, ConfigError, IaxConfig, read_config, read_iax_config
from rowanmast.control import CallAgent
from rowanmast.core.ledger import Ledger, with_margin
from rowanmast.core.ports import Input, SwitchLink
from rowanmast.iax2.endpoint import Endpoint
from rowanmast.iax2.front import IaxFront
from rowanmast.iax2.peers import IaxLink
from rowanmast.net import callers, logs
from rowanmast.net.changelog import Change, ChangeLog, Reader
from rowanmast.net.peers import PeerLink
from rowanmast.net.turn import Turn, now_us

RELEASE_MARGIN_US = 50_000
ACCEPT_S = 0.7  # after SIGTERM, callers still come for this long
KILL_AFTER_S = 3.0  # beyond that SIGKILL may come, or as much later as the longest deadline is longer
KILL_MARGIN_S = 0.4  # before it may, we leave the calls that still stand
SETTLE_S = 0.05  # time for the last bytes to leave
FIXED = ("name", "listen", "sockets", "settings", "connect_s")  # in the configuration, until a restart

log = logging.getLogger("rowanmast")


class Router:
    """All the parts of one router."""

    def __init__(
        self, config: Config, iax: IaxConfig | None, reader: Reader, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.config = config
        self.iax = iax
        self.reader = reader
        self.loop = loop
        self.random = Random(config.seed)
        self.links: dict[str, SwitchLink] = {}
        agent = CallAgent(with_margin(config.settings, RELEASE_MARGIN_US), config.seed)
        self.callers = callers.Callers(self, config.sockets // 2, now_us)
        self.ledger = Ledger(config.settings, config.classes, agent, self.links, self.callers)
        self.turn = Turn(loop, self.ledger)
        self.changes = ChangeLog(config.changelog, reader, 0, self.tell, self.random)
        self.peers: dict[str, PeerLink | IaxLink] = {}
        self.iax_front = IaxFront(self, self.random, self.takes_iax)
        self.endpoint = Endpoint(now_us, self.iax_front.invited)
        self.pair: vrrp.Endpoint | None = None
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()

    def post(self, item: Input) -> None:
        self.turn.post(item)

    def tell(self, change: Change) -> None:
        if change.listed.kind is api.ListKind.FULL:
            for exchange in self.peers.keys() - {entry.exchange for entry in change.listed.entries}:
                self.drop(exchange)
        for entry in change.listed.entries:
            address = change.addresses.get(entry.exchange)
            if entry.state is api.State.GONE:
                self.drop(entry.exchange)
            elif entry.number != self.config.settings.own_exchange and address is not None:
                known = self.peers.get(entry.exchange)
                if known is None or known.address != address:
                    self.drop(entry.exchange)
                    link = self.make_link(entry.exchange, address)
                    self.links[entry.exchange] = self.peers[entry.exchange] = link
        log.info("list", extra={"seq": change.seq, "hosts": len(change.listed.entries)})
        self.turn.post(change.listed)

    def drop(self, exchange: str) -> None:
        self.links.pop(exchange, None)
        link = self.peers.pop(exchange, None)
        if link is not None:
            link.close()

    def make_link(self, exchange: str, address: tuple[str, int]) -> PeerLink | IaxLink:
        """The link that speaks the switch's protocol."""
        if self.iax is not None and exchange in self.iax.switches:
            at = self.iax.switches[exchange]
            return IaxLink(exchange, address, at, self, self.ledger, self.endpoint)
        return PeerLink(exchange, address, self, self.ledger, self.config.connect_s, self.random)

    def takes_iax(self) -> bool:
        """Whether new IAX2 calls are taken: by the active router of a pair, until it stops."""
        active = self.pair is None or self.pair.machine.state is vrrp.State.ACTIVE
        return active and not self.callers.closing

    async def start_iax(self, iax: IaxConfig) -> None:
        await self.loop.create_datagram_endpoint(lambda: self.endpoint, local_addr=iax.listen)
        if iax.pair is not None:
            machine = vrrp.Machine(iax.pair.parameters, iax.pair.listen)
            pair = self.pair = vrrp.Endpoint(machine, iax.pair.peer, now_us)
            await self.loop.create_datagram_endpoint(lambda: pair, local_addr=iax.pair.listen)

    async def run(self) -> None:
        for name in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(name, self.stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.iax is not None:
            await self.start_iax(self.iax)
        for change in self.config.known:
            self.changes.seq = change.seq
            self.tell(change)
        self.changes.start()
        server = await self.loop.create_server(
            lambda: callers.Connection(self.callers), *self.config.listen, backlog=1024
        )
        log.info("ready", extra={"listen": "{}:{}".format(*self.config.listen)})
        self.ready.set()
        await self.stop.wait()
        await self.shut_down(server)
        self.changes.stop()

    def reload(self) -> None:
        """Turns to the change log that the file names now; what else has changed there takes a restart."""
        try:
            config = read_config(self.config.path, self.reader)
        except ConfigError as error:
            log.warning("bad_configuration", extra={"why": error})
            return
        changed = [name for name in FIXED if getattr(config, name) != getattr(self.config, name)]
        if changed:
            log.warning("restart_needed", extra={"changed": ",".join(changed)})
        log.info("reloaded", extra={"changelog": "{}:{}".format(*config.changelog)})
        self.changes.turn_to(config.changelog)

    async def shut_down(self, server: asyncio.Server) -> None:
        """Takes calls a little longer, answers them all, and waits for those that stand.

        What still stands then goes on: the next run at this address hears of its end and tells the caller.
        """
        log.info("stopping", extra={"owed": self.ledger.owed(), "calls": len(self.ledger.records)})
        begun = self.loop.time()
        self.callers.closing = True
        if self.pair is not None:
            self.pair.stop()  # the other one takes over at once
        await asyncio.sleep(ACCEPT_S)
        server.close()
        self.callers.refusing = True
        longest = max(kind.deadline_ns for kind in self.config.settings.classes) / 1e9
        end = begun + ACCEPT_S + max(longest, KILL_AFTER_S) - KILL_MARGIN_S
        while self.ledger.records and self.loop.time() < end:
            await asyncio.sleep(0.02)
        self.ledger.release_bound()
        standing = len(self.ledger.records)
        for exchange in list(self.peers):
            self.drop(exchange)
        while self.callers.byes and self.loop.time() < end + KILL_MARGIN_S / 2:
            await asyncio.sleep(0.02)
        self.callers.close()
        await asyncio.sleep(SETTLE_S)
        log.info("stopped", extra={"owed": self.ledger.owed(), "standing": standing})


async def serve(config: Config, iax: IaxConfig | None, reader: Reader) -> None:
    await Router(config, iax, reader, asyncio.get_running_loop()).run()


def main() -> int:
    reader = Reader()
    try:
        config = read_config(os.environ.get("PROXY_CONFIG"), reader)
        iax = read_iax_config(os.environ.get("ROWANMAST_IAX2"))
    except ConfigError as error:
        print(f"rowanmast: {error}", file=sys.stderr)
        return 1
    logs.set_up(config.name)
    try:
        uvloop.run(serve(config, iax, reader))
    except OSError as error:
        print(f"rowanmast: can't listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
