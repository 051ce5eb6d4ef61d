"""The call router: reads PROXY_CONFIG, wires the parts together and minds the signals."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from dataclasses import dataclass
from ipaddress import IPv4Address
from random import Random
from typing import Any

import ujson
import uvloop

from rowanmast import interface as api
from rowanmast import vrrp
from rowanmast.control import CallAgent
from rowanmast.core.ledger import Ledger, with_margin
from rowanmast.core.ports import Input, SwitchLink
from rowanmast.iax2.endpoint import Endpoint
from rowanmast.iax2.front import IaxFront
from rowanmast.iax2.peers import IaxLink
from rowanmast.net import callers, logs
from rowanmast.net.changelog import Change, ChangeLog, ListError, Reader, read_address
from rowanmast.net.peers import PeerLink
from rowanmast.net.turn import Turn, now_us
from rowanmast.settings import index_names, number, read_settings, section

RELEASE_MARGIN_US = 50_000
ACCEPT_S = 0.7  # after SIGTERM, callers still come for this long
KILL_MARGIN_S = 1.0  # before SIGKILL may come, the calls that still stand are released
SETTLE_S = 0.05  # time for the last bytes to leave

log = logging.getLogger("rowanmast")


class ConfigError(Exception):
    """The configuration can't be acted on; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    changelog: tuple[str, int]
    known: list[Change]
    settings: api.Settings
    classes: dict[str, int]
    connect_s: float


def read_config(path: str | None, reader: Reader) -> Config:
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            config: dict[str, Any] = ujson.loads(file.read())
        info = config["settings"]
        settings = read_settings(info)
        if not settings.classes:
            raise ConfigError(f"{path}: settings hold no classes of call")
        return Config(
            name=str(config["name"]),
            listen=read_address(config["listen"]),
            seed=int(config["seed"], 16),
            sockets=int(config["limits"]["sockets"]),
            changelog=read_address(config["changelog"]),
            known=reader.read(config["known"]),
            settings=settings,
            classes=index_names(info["services"]),
            connect_s=(number(section(info, "limits").get("connect_timeout_ns")) or 5e8) / 1e9,
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ListError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None


@dataclass(frozen=True, slots=True)
class IaxConfig:
    """Where IAX2 is spoken: our address, and those of the switches that speak it, by their names."""

    listen: tuple[str, int]
    switches: dict[str, tuple[str, int]]
    pair: PairConfig | None = None


@dataclass(frozen=True, slots=True)
class PairConfig:
    """The other router of a pair, and the VRRP of the two."""

    listen: tuple[str, int]
    peer: tuple[str, int]
    parameters: vrrp.Parameters


def read_pair(config: dict[str, Any]) -> PairConfig:
    parameters = vrrp.Parameters(
        vrid=int(config["vrid"]),
        priority=int(config["priority"]),
        address=str(IPv4Address(config["address"])),
        interval=int(config.get("interval_cs", 100)),
        preempt=bool(config.get("preempt", True)),
    )
    if not (1 <= parameters.vrid <= 255 and 1 <= parameters.priority <= vrrp.OWNER):
        raise ValueError("vrid and priority lie between 1 and 255")
    if not 1 <= parameters.interval <= 4095:
        raise ValueError("interval_cs lies between 1 and 4095")
    return PairConfig(read_address(config["listen"]), read_address(config["peer"]), parameters)


def read_iax_config(path: str | None) -> IaxConfig | None:
    """The file that ROWANMAST_IAX2 names; without it, no IAX2."""
    if not path:
        return None
    try:
        with open(path, "rb") as file:
            config = ujson.loads(file.read())
        switches = {str(name): read_address(at) for name, at in config.get("switches", {}).items()}
        pair = read_pair(config["vrrp"]) if "vrrp" in config else None
        return IaxConfig(read_address(config["listen"]), switches, pair)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (ListError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


class Router:
    """All the parts of one router."""

    def __init__(
        self, config: Config, iax: IaxConfig | None, reader: Reader, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.config = config
        self.iax = iax
        self.loop = loop
        self.random = Random(config.seed)
        self.links: dict[str, SwitchLink] = {}
        agent = CallAgent(with_margin(config.settings, RELEASE_MARGIN_US), config.seed)
        self.ledger = Ledger(config.settings, config.classes, agent, self.links)
        self.turn = Turn(loop, self.ledger)
        self.callers = callers.Callers(self, config.sockets // 2, now_us)
        self.changes = ChangeLog(config.changelog, reader, 0, self.tell, self.random)
        self.peers: dict[str, PeerLink | IaxLink] = {}
        self.iax_front = IaxFront(self, self.random, self.takes_iax)
        self.endpoint = Endpoint(now_us, self.iax_front.invited)
        self.pair: vrrp.Endpoint | None = None
        self.stop = asyncio.Event()

    def post(self, item: Input) -> None:
        self.turn.post(item)

    def tell(self, change: Change) -> None:
        if change.listed.kind is api.ListKind.FULL:
            named = {entry.exchange for entry in change.listed.entries}
            for exchange in self.peers.keys() - named:
                self.peers[exchange].close()
        for entry in change.listed.entries:
            address = change.addresses.get(entry.exchange)
            if entry.number == self.config.settings.own_exchange or address is None:
                continue
            known = self.peers.get(entry.exchange)
            if entry.state is not api.State.GONE and (known is None or known.address != address):
                if known is not None:
                    known.close()
                link = self.make_link(entry.exchange, address)
                self.links[entry.exchange] = self.peers[entry.exchange] = link
            elif entry.state is api.State.GONE and known is not None:
                known.close()
        log.info("list", extra={"seq": change.seq, "hosts": len(change.listed.entries)})
        self.turn.post(change.listed)

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
        if self.iax is not None:
            await self.start_iax(self.iax)
        for change in self.config.known:
            self.changes.seq = change.seq
            self.tell(change)
        follow = self.loop.create_task(self.changes.follow())
        server = await self.loop.create_server(
            lambda: callers.Connection(self.callers), *self.config.listen, backlog=1024
        )
        log.info("ready", extra={"listen": "{}:{}".format(*self.config.listen)})
        for name in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(name, self.stop.set)
        await self.stop.wait()
        await self.shut_down(server)
        follow.cancel()

    async def shut_down(self, server: asyncio.Server) -> None:
        """Takes calls a little longer, answers them all, and lets those that stand come to their end."""
        log.info("stopping", extra={"owed": self.ledger.owed(), "calls": len(self.ledger.records)})
        self.callers.closing = True
        if self.pair is not None:
            self.pair.stop()  # the other one takes over at once
        await asyncio.sleep(ACCEPT_S)
        server.close()
        longest = max(kind.deadline_ns for kind in self.config.settings.classes) / 1e9
        end = self.loop.time() + longest - KILL_MARGIN_S
        while self.ledger.records and self.loop.time() < end:
            await asyncio.sleep(0.02)
        self.ledger.release_all()
        while self.ledger.owed():
            await asyncio.sleep(0.02)
        await asyncio.sleep(SETTLE_S)
        log.info("stopped", extra={"owed": self.ledger.owed()})


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
