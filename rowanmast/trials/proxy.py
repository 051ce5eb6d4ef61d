"""A TCP proxy on loopback that injects network faults between a router and a stand-in.

For each client connection the proxy opens one to the target and forwards bytes between the two. It can go
silent in both directions, like a machine that is cut off or has vanished: open connections carry nothing and
new ones are never accepted. It can also hang, like a process that accepts connections and reads nothing, or
refuse and reset connections, delay bytes or forward them in pieces.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

Address = tuple[str, int]

BACKLOG = 128
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s
TIMER_RESOLUTION_S = 0.001  # timers may fire early by this much
FILLER_CONNECTIONS = 2  # connections that fill the accept queue of a socket with a backlog of 0


class Observer(Protocol):
    """Sees the bytes of one client as they arrive at the proxy, before any fault is applied."""

    def sent(self, data: bytes) -> None: ...

    def closed(self) -> None: ...


class FaultProxy:
    """Listens on loopback and forwards to `target`; it is either forwarding, silent, hanging or refusing."""

    def __init__(self, target: Address | None = None) -> None:
        self.target = target
        self.address: Address = ("127.0.0.1", 0)
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.pairs: set[ConnectionPair] = set()
        self.fillers: list[socket.socket] = []
        self.is_silent = False
        self.is_hanging = False
        self.make_observer: Callable[[], Observer] | None = None  # called for each client connection
        self.delay_s = 0.0  # in each direction
        self.piece_bytes = 0  # if not 0, bytes are forwarded in pieces of this size
        self.piece_gap_s = 0.0

    def start(self) -> None:
        """Starts to accept, at its previous address if it had one. Raises OSError."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(self.address)
        listener.listen(BACKLOG)
        self.address = listener.getsockname()
        self.listener = listener
        self.accepting = asyncio.get_running_loop().create_task(self.accept(listener))

    async def accept(self, listener: socket.socket) -> None:
        """Accepts clients; closes the filler connections, which are accepted once a silence is over."""
        loop = asyncio.get_running_loop()
        while True:
            client, address = await loop.sock_accept(listener)
            if any(filler.getsockname() == address for filler in self.fillers):
                client.close()
                continue
            pair = ConnectionPair(self)
            self.pairs.add(pair)
            await loop.connect_accepted_socket(lambda pair=pair: pair.client, client)  # type: ignore[misc]

    def stop_accepting(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None

    # Faults

    def silence(self) -> None:
        """Cuts the target off. Bytes sent meanwhile wait in the kernel, as if being retransmitted.

        New connections are not accepted either, as fillers occupy the accept queue.
        """
        if self.is_silent or self.listener is None:
            return
        self.is_silent = True
        self.stop_accepting()
        self.listener.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)
        for pair in self.pairs:
            pair.pause()

    def restore(self) -> None:
        """Forwards again, including what waited in the kernel."""
        if not self.is_silent or self.listener is None:
            return
        self.is_silent = False
        self.listener.listen(BACKLOG)
        self.accepting = asyncio.get_running_loop().create_task(self.accept(self.listener))
        asyncio.get_running_loop().call_later(1.0, self.close_fillers)
        for pair in self.pairs:
            pair.resume()

    def close_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def hang(self) -> None:
        """Forwards nothing, but accepts connections. Bytes sent meanwhile wait in the kernel."""
        self.is_hanging = True
        for pair in self.pairs:
            pair.pause()

    def recover(self) -> None:
        """Ends a hang: forwards again, including what waited in the kernel."""
        self.is_hanging = False
        for pair in self.pairs:
            pair.resume()

    def abandon(self) -> None:
        """Silences the present connections for good; new ones are not affected."""
        for pair in self.pairs:
            pair.abandon()

    def reset(self) -> None:
        """Resets every connection."""
        for pair in list(self.pairs):
            pair.reset()

    def refuse(self) -> None:
        """Stops listening: connections are refused, as by a machine whose process is not running."""
        self.stop_accepting()
        self.is_silent = False
        self.close_fillers()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        self.refuse()
        self.reset()


class ConnectionPair:
    """A client's connection and its counterpart to the target."""

    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy
        self.client = ConnectionEnd(self)
        self.target = ConnectionEnd(self)
        self.client.other, self.target.other = self.target, self.client
        self.abandoned = False
        self.observer = proxy.make_observer() if proxy.make_observer is not None else None
        self.connecting: asyncio.Task[None] | None = None

    def connected(self, end: ConnectionEnd) -> None:
        if end is self.client:
            self.connecting = asyncio.get_running_loop().create_task(self.connect_to_target())
        if self.proxy.is_silent or self.proxy.is_hanging:
            self.pause()

    async def connect_to_target(self) -> None:
        if self.proxy.target is None:
            return
        try:
            await asyncio.get_running_loop().create_connection(lambda: self.target, *self.proxy.target)
        except OSError:
            self.reset()

    def pause(self) -> None:
        for end in (self.client, self.target):
            if end.transport is not None and not end.transport.is_closing():
                end.transport.pause_reading()

    def resume(self) -> None:
        if self.abandoned:
            return
        for end in (self.client, self.target):
            if end.transport is not None and not end.transport.is_closing():
                end.transport.resume_reading()

    def abandon(self) -> None:
        self.abandoned = True
        self.pause()

    def reset(self) -> None:
        self.proxy.pairs.discard(self)
        for end in (self.client, self.target):
            end.reset()

    def end_closed(self, end: ConnectionEnd) -> None:
        """Closes the other end too, unless the pair is silent. Data that are still delayed are dropped."""
        if end is self.client and self.observer is not None:
            self.observer.closed()
        if self.proxy.is_silent or self.abandoned:
            return
        self.proxy.pairs.discard(self)
        if end.other.transport is not None:
            end.other.transport.close()


class ConnectionEnd(asyncio.Protocol):
    """One of the two connections of a pair."""

    def __init__(self, pair: ConnectionPair) -> None:
        self.pair = pair
        self.other: ConnectionEnd = self
        self.transport: asyncio.Transport | None = None
        self.last_forward_at = 0.0  # when the last data received are forwarded, in loop time
        self.delayed: deque[tuple[float, bytes]] = deque()  # (when to forward, data), in order
        self.unforwarded: list[bytes] = []  # received before the other connection was open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pair.connected(self)
        for data in self.other.unforwarded:
            self.transport.write(data)
        self.other.unforwarded.clear()

    def data_received(self, data: bytes) -> None:
        proxy = self.pair.proxy
        if self is self.pair.client and self.pair.observer is not None:
            self.pair.observer.sent(data)
        size = proxy.piece_bytes or len(data)
        wait_s = proxy.delay_s
        for start in range(0, len(data), size):
            self.forward_later(data[start : start + size], wait_s)
            wait_s += proxy.piece_gap_s

    def forward_later(self, data: bytes, wait_s: float) -> None:
        """Forwards after `wait_s` at the earliest, and never before earlier data."""
        now = asyncio.get_running_loop().time()
        self.last_forward_at = max(self.last_forward_at, now + wait_s)
        if self.last_forward_at <= now and not self.delayed:
            self.forward(data)
            return
        self.delayed.append((self.last_forward_at, data))
        if len(self.delayed) == 1:
            asyncio.get_running_loop().call_at(self.last_forward_at, self.forward_due)

    def forward_due(self) -> None:
        """Forwards the delayed data that are due and sets the timer for the rest."""
        loop = asyncio.get_running_loop()
        while self.delayed and self.delayed[0][0] <= loop.time() + TIMER_RESOLUTION_S:
            self.forward(self.delayed.popleft()[1])
        if self.delayed:
            loop.call_at(self.delayed[0][0], self.forward_due)

    def forward(self, data: bytes) -> None:
        if self.other.transport is None:
            self.unforwarded.append(data)
        elif not self.other.transport.is_closing():
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pair.end_closed(self)

    def reset(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()
