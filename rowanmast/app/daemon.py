"""The daemon: a process that runs one router with the configured fronts and handles signals."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uvloop

from rowanmast import vrrp
from rowanmast.addresses.order import Endpoint, Preference
from rowanmast.app.components import IaxComponent, MultiAddressLinks, SipComponent
from rowanmast.app.router import Router
from rowanmast.config import Config, ConfigError, IaxConfig, read_config
from rowanmast.iax2.front import IaxFront
from rowanmast.net import logs
from rowanmast.net.callers import SipFront
from rowanmast.net.changelog import Reader
from rowanmast.net.input_queue import now_us

if TYPE_CHECKING:
    from rowanmast.options.reader import Options

# Changes of these need a restart.
RESTART_ONLY_FIELDS = ("name", "listen", "sockets", "memory_mb", "settings", "connect_s")

# Neither callers' connections nor links: standard streams, event loop, listening sockets, change log, VRRP.
RESERVED_DESCRIPTORS = 24

log = logging.getLogger("rowanmast")


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """How the limit of file descriptors is divided. Callers hold a third at most (PROTOCOL)."""

    callers: int
    links: int  # of all switches together

    @classmethod
    def of(cls, limit: int) -> DescriptorShares:
        callers = limit // 2
        return cls(callers, max(limit - callers - RESERVED_DESCRIPTORS, 1))


class Daemon(Router):
    """A router with a SIP front and, if configured, IAX2."""

    def __init__(
        self,
        config: Config,
        iax: IaxConfig | None,
        reader: Reader,
        loop: asyncio.AbstractEventLoop,
        addresses: Mapping[str, Sequence[Endpoint]] | None = None,
        preference: Preference | None = None,
    ) -> None:
        """`addresses` lists, by switch name, the addresses to use instead of the change log's.

        They are tried in the order of `preference`.
        """
        descriptors = DescriptorShares.of(config.sockets)
        self.sip_front = SipFront(self, descriptors.callers, now_us)
        super().__init__(
            config, reader, loop, orphan_front=self.sip_front, max_link_connections=descriptors.links
        )
        if addresses:
            self.add_link_factory(MultiAddressLinks(self, addresses, preference or Preference()).make_link)
        self.iax = None if iax is None else IaxComponent(self, iax)
        if self.iax is not None:
            self.add_components(self.iax)
            self.add_link_factory(self.iax.make_link)
        self.add_components(SipComponent(self.sip_front, config.listen))

    @property
    def pair(self) -> vrrp.VrrpEndpoint | None:
        return None if self.iax is None else self.iax.pair

    @property
    def iax_front(self) -> IaxFront | None:
        return None if self.iax is None else self.iax.front

    def accepts_iax_calls(self) -> bool:
        """Whether new IAX2 calls are accepted now."""
        return self.iax is not None and self.iax.accepts_calls()

    async def open(self) -> None:
        await super().open()
        log.info("ready", extra={"listen": "{}:{}".format(*self.config.listen)})

    def install_signal_handlers(self) -> None:
        """SIGTERM and SIGINT shut the router down, SIGHUP reloads the configuration."""
        for name in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(name, self.stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Reads the configuration again and follows its change log; other changes need a restart."""
        try:
            config = read_config(self.config.path, self.reader)
        except ConfigError as error:
            log.warning("bad_configuration", extra={"why": error})
            return
        changed = [
            name for name in RESTART_ONLY_FIELDS if getattr(config, name) != getattr(self.config, name)
        ]
        if changed:
            log.warning("restart_needed", extra={"changed": ",".join(changed)})
        log.info("reloaded", extra={"changelog": "{}:{}".format(*config.changelog)})
        self.change_log.change_address(config.changelog)


async def serve(config: Config, options: Options | None, reader: Reader) -> None:
    """Runs the daemon until a signal stops it."""
    loop = asyncio.get_running_loop()
    if options is None:
        daemon = Daemon(config, None, reader, loop)
    else:
        daemon = Daemon(config, options.iax, reader, loop, options.addresses, options.preference)
    daemon.install_signal_handlers()
    await daemon.run()


def read_router_settings(path: str | None) -> Options | None:
    """Reads the router's settings file, if there is one; the protobuf library is imported only then."""
    if not path:
        return None
    from rowanmast.options.reader import read_options

    return read_options(path)


def start(config_path: str | None, settings_path: str | None) -> int:
    """Runs the daemon until it is stopped and returns the exit code.

    If it can't start, it prints one line with the reason to standard error and returns 1.
    """
    reader = Reader()
    try:
        config = read_config(config_path, reader)
        options = read_router_settings(settings_path)
    except ConfigError as error:
        print(f"rowanmast: {error}", file=sys.stderr)
        return 1
    logs.configure_logging(config.name)
    try:
        uvloop.run(serve(config, options, reader))
    except OSError as error:
        print(f"rowanmast: can't listen: {error}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    """Runs the daemon with the configuration files named in the environment."""
    return start(os.environ.get("PROXY_CONFIG"), os.environ.get("ROWANMAST_SETTINGS"))
