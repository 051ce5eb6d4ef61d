"""Connects to one of the addresses of a switch, as decided by `order`, `race` and `history`.

The race is run on plain sockets, and only the winner is attached to a protocol of the link, so that no set-up
can be sent on a connection that is about to be closed.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Sequence
from random import Random

from rowanmast.addresses.history import AddressHistory, AddressState, ConnectFailure
from rowanmast.addresses.order import Endpoint, Family, Preference, order_endpoints
from rowanmast.addresses.race import ATTEMPT_DELAY_US, Race, attempt_delay

Clock = Callable[[], int]
ProtocolFactory = Callable[[], asyncio.Protocol]

log = logging.getLogger(__name__)


class Connector:
    """Connects to one switch. The link must not call `connect` again before it has returned."""

    def __init__(
        self,
        exchange: str,
        endpoints: Sequence[Endpoint],
        preference: Preference,
        random: Random,
        clock: Clock,
        connect_timeout_s: float,
    ) -> None:
        """`connect_timeout_s` is the time limit of a connect to one address, in seconds."""
        self.exchange = exchange
        self.endpoints = list(endpoints)
        self.preference = preference
        self.history = AddressHistory(random)
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s

    def candidates(self, now: int) -> list[Endpoint]:
        """The addresses to try now, in order. Addresses that are backing off are left out.

        If all are backing off, the one whose backoff ends first is tried nevertheless: each connect of the
        link then tries an address, so a switch that comes back is found without waiting for a long backoff.
        """
        candidates = [
            one for one in self.endpoints if self.history.state(now, one) is not AddressState.BACKING_OFF
        ]
        if not candidates:
            candidates = [min(self.endpoints, key=lambda one: self.history.record_of(one).retry_at)]
        available = [one for one in candidates if self.history.state(now, one) is AddressState.AVAILABLE]
        return order_endpoints(candidates, self.preference, lambda one: one in available, self.history.cost)

    async def connect(self, factory: ProtocolFactory) -> Endpoint:
        """Makes one connection with a protocol of `factory` and returns its address.

        Raises ConnectionRefusedError only if every address of the switch refused, which proves that its
        process is not running; else TimeoutError or another OSError.
        """
        started_at = self.clock()
        order = self.candidates(started_at)
        first = self.history.records.get(order[0])
        race = Race(
            order,
            started_at,
            attempt_delay(first.smoothed_connect_us) if first is not None else ATTEMPT_DELAY_US,
        )
        running: dict[asyncio.Task[socket.socket], tuple[Endpoint, int]] = {}
        failures: list[ConnectFailure] = []
        try:
            while not race.finished:
                while (endpoint := race.start_next(self.clock())) is not None:
                    self.history.try_start(self.clock(), endpoint)
                    task = asyncio.ensure_future(self.connect_socket(endpoint))
                    running[task] = (endpoint, self.clock())
                next_start = race.next_start()
                timeout_s = None if next_start is None else max(next_start - self.clock(), 0) / 1e6
                done, _ = await asyncio.wait(running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    endpoint, since = running.pop(task)
                    error = task.exception()
                    if error is None and race.winner is None:
                        race.won(endpoint)
                        self.history.connected(endpoint, self.clock() - since)
                        await self.attach_protocol(task.result(), endpoint, factory)
                    elif error is None:
                        task.result().close()
                    elif isinstance(error, OSError):
                        failures.append(self.record_failure(endpoint, error))
                        race.failed(self.clock(), endpoint)
                    else:
                        raise error
        finally:
            for task, (endpoint, since) in running.items():
                # A connect that lost the race after at least the attempt delay counts as failed.
                if race.winner is not None and self.clock() - since >= race.attempt_delay_us:
                    self.history.failed(self.clock(), endpoint, ConnectFailure.TIMED_OUT)
                else:
                    self.history.abandoned(endpoint)
                task.cancel()
                task.add_done_callback(close_late_socket)
        if race.winner is not None:
            return race.winner
        if len(failures) == len(self.endpoints) and set(failures) == {ConnectFailure.REFUSED}:
            raise ConnectionRefusedError(f"all addresses of {self.exchange} refused the connection")
        raise TimeoutError(f"no address of {self.exchange} could be connected")

    async def connect_socket(self, endpoint: Endpoint) -> socket.socket:
        """Returns a connected socket. Raises OSError, of which TimeoutError is a subclass."""
        loop = asyncio.get_running_loop()
        if endpoint.family is Family.UNIX:
            sock, address = socket.socket(socket.AF_UNIX), endpoint.host
        else:
            version = socket.AF_INET if endpoint.family is Family.IP4 else socket.AF_INET6
            sock = socket.socket(version)
            address = socket_address(endpoint)  # type: ignore[assignment]
        try:
            sock.setblocking(False)
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return sock

    async def attach_protocol(
        self, sock: socket.socket, endpoint: Endpoint, factory: ProtocolFactory
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            if endpoint.family is Family.UNIX:
                await loop.create_unix_connection(factory, sock=sock)
            else:
                await loop.create_connection(factory, sock=sock)
        except BaseException:
            sock.close()
            raise

    def record_failure(self, endpoint: Endpoint, error: OSError) -> ConnectFailure:
        failure = ConnectFailure.UNREACHED
        if isinstance(error, ConnectionRefusedError | FileNotFoundError):
            failure = ConnectFailure.REFUSED  # a missing socket file also proves that nothing listens
        elif isinstance(error, TimeoutError):
            failure = ConnectFailure.TIMED_OUT
        self.history.failed(self.clock(), endpoint, failure)
        log.info(
            "address_failed", extra={"exchange": self.exchange, "address": endpoint, "why": failure.value}
        )
        return failure

    def connection_reset(self, endpoint: Endpoint) -> None:
        """A connection to this address was lost before any data arrived on it."""
        self.history.failed(self.clock(), endpoint, ConnectFailure.RESET)


def socket_address(endpoint: Endpoint) -> tuple[str, int] | tuple[str, int, int, int]:
    """The address in the form that the socket module expects, with the zone as an interface index."""
    if endpoint.family is Family.IP4:
        return endpoint.host, endpoint.port
    zone = endpoint.scope
    scope_id = 0 if not zone else int(zone) if zone.isdigit() else socket.if_nametoindex(zone)
    return endpoint.host, endpoint.port, 0, scope_id


def close_late_socket(task: asyncio.Task[socket.socket]) -> None:
    """Closes the socket of an attempt that connected just as it was cancelled."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
