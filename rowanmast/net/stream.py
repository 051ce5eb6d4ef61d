"""The common base of the TCP connections to callers and to switches."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import TypeVar, cast

Message = TypeVar("Message")

log = logging.getLogger(__name__)


class Stream(asyncio.Protocol):
    """A connection that is aborted when more than `max_write_buffer` bytes wait to be sent on it."""

    def __init__(self, peer_name: str, max_write_buffer: int) -> None:
        self.peer_name = peer_name
        self.max_write_buffer = max_write_buffer
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not derive from it
        self.transport.set_write_buffer_limits(high=self.max_write_buffer)

    def pause_writing(self) -> None:
        """Aborts the connection of a peer that does not read, which bounds the memory it uses."""
        log.warning("slow_reader", extra={"other_side": self.peer_name})
        if self.transport is not None:
            self.transport.abort()

    def read_messages(self, messages: Iterator[Message]) -> Iterator[Message]:
        """Yields the messages that a parser finds; closes the connection at one that is malformed."""
        try:
            yield from messages
        except ValueError as error:
            self.close_unreadable(error)

    def close_unreadable(self, why: object) -> None:
        log.warning("unreadable", extra={"other_side": self.peer_name, "why": why})
        self.close()

    @property
    def is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
