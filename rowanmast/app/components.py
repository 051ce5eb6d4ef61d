"""Components of a router: SIP callers, IAX2 callers and switches, a VRRP pair, and multi-address links."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Mapping, Sequence

from rowanmast import vrrp
from rowanmast.addresses import order
from rowanmast.addresses.connector import Connector
from rowanmast.app.router import Router
from rowanmast.app.switches import Address, ManagedLink
from rowanmast.config import IaxConfig
from rowanmast.iax2.endpoint import IaxEndpoint
from rowanmast.iax2.front import IaxFront
from rowanmast.iax2.peers import IaxSwitchLink
from rowanmast.net import callers
from rowanmast.net.input_queue import now_us

# The kernel's buffers of a caller's connection in each direction, which count as the router's memory. The
# default grows to several MB for a caller that sends faster than it is served, or does not read.
CALLER_BUFFER_BYTES = 32 * 1024

log = logging.getLogger("rowanmast")


class MultiAddressLinks:
    """Creates links to the addresses that the settings list for a switch instead of the change log's one."""

    def __init__(
        self, router: Router, addresses: Mapping[str, Sequence[order.Endpoint]], preference: order.Preference
    ) -> None:
        self.router = router
        self.addresses = addresses
        self.preference = preference

    def make_link(self, exchange: str, address: Address) -> ManagedLink | None:
        """A link that connects to any of the listed addresses, or None if the switch has none."""
        endpoints = self.addresses.get(exchange)
        if not endpoints:
            return None
        router, timeout_s = self.router, self.router.config.connect_s
        connector = Connector(exchange, endpoints, self.preference, router.random, now_us, timeout_s)
        return router.make_json_link(exchange, address, connector)


class SipComponent:
    """The SIP front and its listening socket."""

    def __init__(self, front: callers.SipFront, listen: Address) -> None:
        self.front = front
        self.listen = listen
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: callers.CallerConnection(self.front), *self.listen, backlog=1024
        )
        for listening in self.server.sockets:  # accepted connections inherit these
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CALLER_BUFFER_BYTES)

    def begin_shutdown(self) -> None:
        self.front.draining = True

    def refuse_new_calls(self) -> None:
        if self.server is not None:
            self.server.close()
        self.front.refusing = True

    def all_notified(self) -> bool:
        return not self.front.pending_byes

    def close(self) -> None:
        self.front.close()


class IaxComponent:
    """The IAX2 front and links on their common UDP socket, and the VRRP pair if one is configured."""

    def __init__(self, router: Router, iax: IaxConfig) -> None:
        self.router = router
        self.iax = iax
        self.front = IaxFront(router, router.random, self.accepts_calls)
        self.endpoint = IaxEndpoint(now_us, self.front.handle_new)
        self.pair: vrrp.VrrpEndpoint | None = None

    def accepts_calls(self) -> bool:
        """Whether new IAX2 calls are accepted: in a pair only by the active router, until it shuts down."""
        is_active = self.pair is None or self.pair.machine.state is vrrp.State.ACTIVE
        return is_active and not self.router.closing

    def make_link(self, exchange: str, address: Address) -> ManagedLink | None:
        """An IAX2 link, or None if the settings do not list the switch as an IAX2 switch."""
        iax_address = self.iax.switches.get(exchange)
        if iax_address is None:
            return None
        return IaxSwitchLink(exchange, address, iax_address, self.router, self.router.ledger, self.endpoint)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.endpoint, local_addr=self.iax.listen)
        if self.iax.pair is not None:
            machine = vrrp.StateMachine(self.iax.pair.parameters, self.iax.pair.listen)
            pair = self.pair = vrrp.VrrpEndpoint(machine, self.iax.pair.peer, now_us)
            await loop.create_datagram_endpoint(lambda: pair, local_addr=self.iax.pair.listen)

    def transports(self) -> list[asyncio.BaseTransport]:
        """The open sockets."""
        pair = None if self.pair is None else self.pair.transport
        return [one for one in (self.endpoint.transport, pair) if one is not None and not one.is_closing()]

    def begin_shutdown(self) -> None:
        if self.pair is not None:
            self.pair.stop()  # the other router takes over at once

    def refuse_new_calls(self) -> None:
        pass  # `accepts_calls` is already False while the router is closing

    def all_notified(self) -> bool:
        return True

    def close(self) -> None:
        self.endpoint.close()
