"""What the TCP connections to callers and to switches have in common."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import TypeVar, cast

Message = TypeVar("Message")

log = logging.getLogger(__name__)


class Stream(asyncio.Protocol):
    """A connection whose other side may leave `most_unread` bytes unread before it is closed."""

    def __init__(self, other_side: str, most_unread: int) -> None:
        self.other_side = other_side
        self.most_unread = most_unread
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.transport.set_write_buffer_limits(high=self.most_unread)

    def pause_writing(self) -> None:
        """The bound is reached: the connection is given up before it costs more memory."""
        log.warning("slow_reader", extra={"other_side": self.other_side})
        if self.transport is not None:
            self.transport.abort()

    def readable(self, messages: Iterator[Message]) -> Iterator[Message]:
        """Whole messages as a parser finds them; where one can't be read, the connection is closed."""
        try:
            yield from messages
        except ValueError as error:
            self.unreadable(error)

    def unreadable(self, why: object) -> None:
        log.warning("unreadable", extra={"other_side": self.other_side, "why": why})
        self.close()

    @property
    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
