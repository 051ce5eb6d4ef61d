"""The common base of the TCP connections to callers and to switches.

A connection may handle only so much input in one iteration of the event loop: the rest waits, and meanwhile
nothing more is read from it. One that sends at full speed so delays the others by a bounded time, and what
it has sent waits in its own socket.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Generic, Protocol, TypeVar, cast

Message = TypeVar("Message")
Parsed_co = TypeVar("Parsed_co", covariant=True)

MAX_COST_PER_TURN = 8  # per connection; a message costs 1, and 1 more for each MESSAGE_COST_BYTES
MESSAGE_COST_BYTES = 2048

log = logging.getLogger(__name__)


class MessageParser(Protocol[Parsed_co]):
    """Splits a byte stream into messages."""

    last_length: int  # of the message returned last, in bytes

    def push(self, data: bytes) -> None:
        """Adds received bytes."""

    def next_message(self) -> Parsed_co | None:
        """The next complete message, or None if there is none. Raises ValueError if it is malformed."""


class Stream(asyncio.Protocol, Generic[Message]):
    """A connection that is aborted when more than `max_write_buffer` bytes wait to be sent on it."""

    def __init__(self, peer_name: str, max_write_buffer: int, parser: MessageParser[Message]) -> None:
        self.peer_name = peer_name
        self.max_write_buffer = max_write_buffer
        self.parser = parser
        self.input_deferred = False  # complete messages may wait in the parser; nothing is read meanwhile
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not derive from it
        self.transport.set_write_buffer_limits(high=self.max_write_buffer)

    def pause_writing(self) -> None:
        """Aborts the connection of a peer that does not read, which bounds the memory it uses."""
        self.abort_slow_reader()

    def abort_slow_reader(self) -> None:
        log.warning("slow_reader", extra={"other_side": self.peer_name})
        if self.transport is not None:
            self.transport.abort()

    # Input

    def data_received(self, data: bytes) -> None:
        self.parser.push(data)
        if not self.input_deferred:
            self.process_input()

    def process_input(self) -> None:
        """Handles received messages up to the cost allowed for one turn; defers the rest."""
        cost = 0
        while self.may_handle_input():
            if cost >= MAX_COST_PER_TURN and not self.is_closing:
                self.defer_input()
                return
            try:
                message = self.parser.next_message()
            except ValueError as error:
                self.close_unreadable(error)
                return
            if message is None:
                self.input_processed()
                return
            cost += 1 + self.parser.last_length // MESSAGE_COST_BYTES
            self.handle_message(message)

    def may_handle_input(self) -> bool:
        """Whether the next message may be handled now."""
        return not self.is_closing

    def handle_message(self, message: Message) -> None:
        """Called with each message, in order."""
        raise NotImplementedError

    def input_processed(self) -> None:
        """Called when no complete message is left."""

    def defer_input(self) -> None:
        """Stops reading; continues with the messages that have been received in the next turn."""
        self.pause_input()
        asyncio.get_running_loop().call_soon(self.resume_input)

    def pause_input(self) -> None:
        if not self.input_deferred and self.transport is not None and not self.transport.is_closing():
            self.input_deferred = True
            self.transport.pause_reading()

    def resume_input(self) -> None:
        """Handles further messages, and reads on once none is left."""
        if not self.input_deferred or not self.may_handle_input() or self.is_closing:
            return
        self.input_deferred = False
        self.process_input()
        if not self.input_deferred and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def close_unreadable(self, why: object) -> None:
        log.warning("unreadable", extra={"other_side": self.peer_name, "why": why})
        self.close()

    # Output

    @property
    def is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
