"""Connects to one of a switch's addresses: carries out what order, race and memory decide.

The race is run on bare sockets, and only the winner becomes a connection of the link, so that no set-up can
leave on one that is about to be given up.
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
    """The addresses of one switch. One connect is under way at a time, as the link asks for them."""

    def __init__(
        self,
        exchange: str,
        endpoints: Sequence[Endpoint],
        preference: Preference,
        random: Random,
        clock: Clock,
        within_s: float,
    ) -> None:
        """`within_s` is the time in seconds that one address has to connect."""
        self.exchange = exchange
        self.endpoints = list(endpoints)
        self.preference = preference
        self.history = AddressHistory(random)
        self.clock = clock
        self.connect_timeout_s = within_s

    def candidates(self, now: int) -> list[Endpoint]:
        """Those to try now: the shut ones are left out, unless all are; then the next to be asked is tried.

        So a switch that comes back is found as soon as with one address, however long the pauses are.
        """
        usable = [
            one for one in self.endpoints if self.history.state(now, one) is not AddressState.BACKING_OFF
        ]
        if not usable:
            usable = [min(self.endpoints, key=lambda one: self.history.record_of(one).retry_at)]
        proven = [one for one in usable if self.history.state(now, one) is AddressState.AVAILABLE]
        return order_endpoints(usable, self.preference, lambda one: one in proven, self.history.cost)

    async def connect(self, factory: ProtocolFactory) -> Endpoint:
        """Makes one connection with `factory` and says to which address.

        Raises ConnectionRefusedError only if every address of the switch refused, which proves that nothing
        runs there; else TimeoutError or another OSError.
        """
        begun = self.clock()
        order = self.candidates(begun)
        first = self.history.records.get(order[0])
        race = Race(
            order, begun, attempt_delay(first.smoothed_connect_us) if first is not None else ATTEMPT_DELAY_US
        )
        running: dict[asyncio.Task[socket.socket], tuple[Endpoint, int]] = {}
        failures: list[ConnectFailure] = []
        try:
            while not race.finished:
                while (endpoint := race.start_next(self.clock())) is not None:
                    self.history.try_start(self.clock(), endpoint)
                    task = asyncio.ensure_future(self.connect_socket(endpoint))
                    running[task] = (endpoint, self.clock())
                due = race.next_start()
                wait = None if due is None else max(due - self.clock(), 0) / 1e6
                done, _ = await asyncio.wait(running, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
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
                if race.winner is not None and self.clock() - since >= race.attempt_delay_us:
                    self.history.failed(
                        self.clock(), endpoint, ConnectFailure.TIMED_OUT
                    )  # one that began later won
                else:
                    self.history.abandoned(endpoint)
                task.cancel()
                task.add_done_callback(close_late_socket)
        if race.winner is not None:
            return race.winner
        if len(failures) == len(self.endpoints) and set(failures) == {ConnectFailure.REFUSED}:
            raise ConnectionRefusedError(f"every address of {self.exchange} refused")
        raise TimeoutError(f"no address of {self.exchange} connects")

    async def connect_socket(self, endpoint: Endpoint) -> socket.socket:
        """A connected socket. Raises OSError; a timeout is one."""
        loop = asyncio.get_running_loop()
        if endpoint.family is Family.UNIX:
            made, where = socket.socket(socket.AF_UNIX), endpoint.host
        else:
            version = socket.AF_INET if endpoint.family is Family.IP4 else socket.AF_INET6
            made = socket.socket(version)
            where = socket_address(endpoint)  # type: ignore[assignment]
        try:
            made.setblocking(False)
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.sock_connect(made, where)
        except BaseException:
            made.close()
            raise
        return made

    async def attach_protocol(
        self, made: socket.socket, endpoint: Endpoint, factory: ProtocolFactory
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            if endpoint.family is Family.UNIX:
                await loop.create_unix_connection(factory, sock=made)
            else:
                await loop.create_connection(factory, sock=made)
        except BaseException:
            made.close()
            raise

    def record_failure(self, endpoint: Endpoint, error: OSError) -> ConnectFailure:
        how = ConnectFailure.UNREACHED
        if isinstance(error, ConnectionRefusedError | FileNotFoundError):
            how = ConnectFailure.REFUSED  # no socket file is a proof as well that nothing listens there
        elif isinstance(error, TimeoutError):
            how = ConnectFailure.TIMED_OUT
        self.history.failed(self.clock(), endpoint, how)
        log.info("address_failed", extra={"exchange": self.exchange, "address": endpoint, "why": how.value})
        return how

    def connection_reset(self, endpoint: Endpoint) -> None:
        """A connection there ended before it brought anything."""
        self.history.failed(self.clock(), endpoint, ConnectFailure.RESET)


def socket_address(endpoint: Endpoint) -> tuple[str, int] | tuple[str, int, int, int]:
    """As the socket calls want it; a zone is given by its number."""
    if endpoint.family is Family.IP4:
        return endpoint.host, endpoint.port
    zone = endpoint.scope
    number = 0 if not zone else int(zone) if zone.isdigit() else socket.if_nametoindex(zone)
    return endpoint.host, endpoint.port, 0, number


def close_late_socket(task: asyncio.Task[socket.socket]) -> None:
    """An attempt that connected just as it was given up."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
