"""VRRP (RFC 9568) between two routers: decides which of them accepts new IAX2 calls.

The state machine does no I/O; its advertisements have the RFC's IPv4 format and are sent over UDP. Times
are microseconds, intervals on the wire centiseconds.
"""

from __future__ import annotations

import asyncio
import logging
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address
from typing import cast

CENTISECOND = 10_000  # microseconds
PRIORITY_OWNER = 255  # of the router that owns the virtual address
PRIORITY_STOPPED = 0  # sent by an Active router that stops
HEADER = struct.Struct("!BBBBHH")
VERSION_TYPE = 0x31  # version 3, advertisement

log = logging.getLogger(__name__)

Address = tuple[str, int]


class AdvertError(ValueError):
    """The datagram is not a valid VRRP advertisement."""


@dataclass(frozen=True, slots=True)
class Advert:
    """A VRRP advertisement."""

    vrid: int
    priority: int
    interval: int  # centiseconds
    address: str  # the virtual address


def checksum(data: bytes) -> int:
    """RFC 1071, over the message without a pseudo-header, as RFC 9568 specifies for IPv4."""
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def encode(advert: Advert) -> bytes:
    """Encodes an advertisement with its checksum."""
    address = IPv4Address(advert.address).packed
    fields = (VERSION_TYPE, advert.vrid, advert.priority, 1, advert.interval)
    without_checksum = HEADER.pack(*fields, 0) + address
    return HEADER.pack(*fields, checksum(without_checksum)) + address


def decode(data: bytes) -> Advert:
    """Decodes and checks an advertisement. Raises AdvertError."""
    if len(data) < HEADER.size:
        raise AdvertError("datagram is shorter than a header")
    version_type, vrid, priority, count, interval, _ = HEADER.unpack_from(data)
    if version_type != VERSION_TYPE:
        raise AdvertError("not an advertisement of VRRP version 3")
    if count == 0 or len(data) != HEADER.size + 4 * count:
        raise AdvertError("length does not match the number of addresses")
    if checksum(data):
        raise AdvertError("wrong checksum")
    address = IPv4Address(data[HEADER.size : HEADER.size + 4])
    return Advert(vrid, priority, interval & 0x0FFF, str(address))


class State(Enum):
    """States of RFC 9568; the values go into the log."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    ACTIVE = "active"


@dataclass(frozen=True, slots=True)
class Parameters:
    """Configuration of a virtual router."""

    vrid: int
    priority: int
    address: str  # the virtual address
    interval: int = 100  # centiseconds
    preempt: bool = True


class StateMachine:
    """The state machine of RFC 9568, section 6.4. Advertisements to send are put into `outbox`."""

    def __init__(self, parameters: Parameters, primary: Address) -> None:
        self.parameters = parameters
        self.own_rank = address_rank(primary)
        self.state = State.INITIALIZE
        self.active_interval = parameters.interval  # advertised by the Active router, in centiseconds
        self.timer_at: int | None = None  # Adver_Timer when active, Active_Down_Timer when backup
        self.outbox: list[Advert] = []

    def startup(self, now: int) -> None:
        """Leaves Initialize: the address owner becomes Active, any other router Backup."""
        if self.parameters.priority == PRIORITY_OWNER:
            self.become_active(now)
        else:
            self.active_interval = self.parameters.interval
            self.become_backup(now)

    def shutdown(self) -> None:
        """Returns to Initialize; an Active router first advertises that it stops."""
        if self.state is State.ACTIVE:
            self.send(PRIORITY_STOPPED)
        self.state, self.timer_at = State.INITIALIZE, None

    def on_timer(self, now: int) -> None:
        """Becomes Active if the timer has expired, or advertises again if it is Active already."""
        if self.timer_at is not None and now >= self.timer_at:
            self.become_active(now)

    def receive(self, now: int, advert: Advert, sender: Address) -> None:
        """Handles an advertisement of the other router; those of other virtual routers are ignored."""
        if advert.vrid != self.parameters.vrid or self.state is State.INITIALIZE:
            return
        own = self.parameters.priority
        if self.state is State.BACKUP:
            if advert.priority == PRIORITY_STOPPED:
                self.timer_at = now + self.skew_time()
            elif not self.parameters.preempt or advert.priority >= own:
                self.accept_active(now, advert)
        elif advert.priority == PRIORITY_STOPPED or (advert.priority, address_rank(sender)) < (
            own,
            self.own_rank,
        ):
            self.become_active(now)  # advertises at once
        else:
            self.accept_active(now, advert)

    def become_active(self, now: int) -> None:
        self.state = State.ACTIVE
        self.send(self.parameters.priority)
        self.timer_at = now + self.parameters.interval * CENTISECOND

    def accept_active(self, now: int, advert: Advert) -> None:
        """Accepts the sender as Active and adopts its interval."""
        self.active_interval = advert.interval or self.parameters.interval
        self.become_backup(now)

    def become_backup(self, now: int) -> None:
        self.state = State.BACKUP
        self.timer_at = now + 3 * self.active_interval * CENTISECOND + self.skew_time()

    def skew_time(self) -> int:
        """Skew_Time: the higher the priority, the sooner the takeover."""
        return (256 - self.parameters.priority) * self.active_interval * CENTISECOND // 256

    def send(self, priority: int) -> None:
        own = self.parameters
        self.outbox.append(Advert(own.vrid, priority, own.interval, own.address))


def address_rank(address: Address) -> tuple[int, int]:
    """Sort key of addresses: between equal priorities, the router with the higher address stays Active."""
    return int(IPv4Address(address[0])), address[1]


class VrrpEndpoint(asyncio.DatagramProtocol):
    """Sends the state machine's advertisements to the peer over UDP and runs its timer."""

    def __init__(self, machine: StateMachine, peer: Address, clock: Callable[[], int]) -> None:
        self.machine = machine
        self.peer = peer
        self.clock = clock
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.machine.startup(self.clock())
        self.flush(State.INITIALIZE)

    def datagram_received(self, data: bytes, address: Address) -> None:
        before = self.machine.state
        try:
            self.machine.receive(self.clock(), decode(data), address)
        except AdvertError as error:
            log.warning("bad_advert", extra={"why": error})
        self.flush(before)

    def error_received(self, exc: Exception) -> None:
        log.info("vrrp_socket", extra={"why": exc})

    def on_timer(self) -> None:
        before = self.machine.state
        self.machine.on_timer(self.clock())
        self.flush(before)

    def stop(self) -> None:
        """Shuts the state machine down, so that the peer takes over at once, and closes the socket."""
        before = self.machine.state
        self.machine.shutdown()
        self.flush(before)
        if self.transport is not None:
            self.transport.close()

    def flush(self, before: State) -> None:
        """Logs a change of state, sends the outbox and restarts the timer."""
        if self.machine.state is not before:
            log.info("vrrp", extra={"state": self.machine.state.value})
        outbox, self.machine.outbox = self.machine.outbox, []
        for advert in outbox:
            if self.transport is not None:
                self.transport.sendto(encode(advert), self.peer)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.machine.timer_at is not None:
            wait = max(self.machine.timer_at - self.clock(), 0) / 1e6
            self.timer = asyncio.get_running_loop().call_later(wait, self.on_timer)
