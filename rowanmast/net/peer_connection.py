"""One TCP connection to a switch that speaks JSON lines: parses lines and detects incomplete ones."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)
from typing import TYPE_CHECKING

from rowanmast.addresses.order import Endpoint
from rowanmast.core.ports import Attempt
from rowanmast.net import jsonlines
from rowanmast.net.input_queue import now_us
from rowanmast.net.stream import Stream

if TYPE_CHECKING:
    from rowanmast.net.peers import JsonSwitchLink

MAX_WRITE_BUFFER_BYTES = 1024 * 1024  # a switch's connection with more bytes waiting to be sent is aborted
PARTIAL_LINE_TIMEOUT_S = 0.25  # since the last bytes; a connection whose line is still incomplete is closed
# A machine that crashes or is cut off leaves its connections open and silent. TCP retransmissions back off
# for minutes, even after it has returned, so a connection without any ACK for 3 s is closed.
KEEPALIVE_OPTIONS = (
    (IPPROTO_TCP, TCP_USER_TIMEOUT, 3000),
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 2),
    (IPPROTO_TCP, TCP_KEEPINTVL, 1),
)


class SwitchConnection(Stream[jsonlines.Line]):
    """One connection to a switch; its link decides what to send on it."""

    def __init__(self, link: JsonSwitchLink) -> None:
        self.line_parser = jsonlines.Parser()
        super().__init__(link.exchange, MAX_WRITE_BUFFER_BYTES, self.line_parser)
        self.link = link
        self.number = 0  # set by the link when the connection opens
        self.in_flight: dict[str, Attempt] = {}
        self.opened_at = self.heard_at = now_us()  # heard_at: when a line was last received
        self.endpoint: Endpoint | None = None  # set if the switch has several addresses
        self.lagging_since = 0  # since when it has lacked statuses that others received; 0 if it lacks none
        self.status_received = False
        self.partial_line_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        socket = transport.get_extra_info("socket")
        if socket is not None:
            for level, option, value in KEEPALIVE_OPTIONS:
                socket.setsockopt(level, option, value)
        self.link.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        self.cancel_partial_line_timer()
        super().data_received(data)

    def may_handle_input(self) -> bool:
        return True  # what the switch sent before the connection was closed counts

    def handle_message(self, message: jsonlines.Line) -> None:
        self.heard_at = now_us()
        self.link.record_activity(self)
        self.link.handle_line(self, message)

    def input_processed(self) -> None:
        """Closes the connection if a line stays incomplete: the rest of the stream is taken to be lost."""
        if self.line_parser.buffer and not self.is_closing:
            loop = asyncio.get_running_loop()
            self.partial_line_timer = loop.call_later(
                PARTIAL_LINE_TIMEOUT_S, self.close_unreadable, "incomplete line, no more data"
            )

    def cancel_partial_line_timer(self) -> None:
        if self.partial_line_timer is not None:
            self.partial_line_timer.cancel()
            self.partial_line_timer = None

    def close_unreadable(self, why: object) -> None:
        """Stops sending on it at once; the transport closes in a later iteration of the event loop."""
        self.link.connection_closed(self, "unreadable")
        super().close_unreadable(why)

    def connection_lost(self, exc: Exception | None) -> None:
        self.handle_remaining()
        self.cancel_partial_line_timer()
        why = "removed" if self.link.closed else "closed_by_switch" if exc is None else type(exc).__name__
        self.link.connection_closed(self, why)

    def handle_remaining(self) -> None:
        """Handles the lines that were deferred when the connection ended."""
        if self.input_deferred:
            self.input_deferred = False
            with suppress(jsonlines.LineError):
                while (line := self.line_parser.next_message()) is not None:
                    self.handle_message(line)
