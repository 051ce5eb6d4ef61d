"""Codec of IAX2 full frames and their information elements (RFC 5456, section 8); does no I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

HEADER = struct.Struct("!HHIBBBB")
MAX_FRAME_BYTES = 1400  # fits in one packet without fragmentation
MAX_CALL_NUMBER = 0x7FFF
FULL_FRAME_BIT = RETRANSMITTED_BIT = 0x8000
PROTOCOL_VERSION = 2


class FrameType(IntEnum):
    """The frame types that are used; frames of other types are decoded without their elements."""

    CONTROL = 0x04
    IAX = 0x06


class Control(IntEnum):
    """Subclasses of control frames."""

    HANGUP = 0x01
    ANSWER = 0x04


class Iax(IntEnum):
    """Subclasses of IAX frames."""

    NEW = 0x01
    PING = 0x02
    PONG = 0x03
    ACK = 0x04
    HANGUP = 0x05
    REJECT = 0x06
    ACCEPT = 0x07
    INVAL = 0x0A
    LAGRQ = 0x0B
    LAGRP = 0x0C
    VNAK = 0x12
    POKE = 0x1E
    UNSUPPORT = 0x21


class Ie(IntEnum):
    """Information elements. Those from 0xC0 on are private to rowanmast; peers ignore unknown elements."""

    CALLED_NUMBER = 0x01
    CALLED_CONTEXT = 0x05
    VERSION = 0x0B
    CAUSE = 0x16
    IAX_UNKNOWN = 0x17
    CAUSECODE = 0x2A
    DESCRIPTION = 0xC0  # UTF-8, split over several elements if needed
    ROUTE = 0xC1  # for example dest:2;width:1;via:-1
    SETUP_MS = 0xC2  # 32 bits: how long the sender of a NEW waits for the answer
    LOAD = 0xC3  # a load report, for example x0:12;x1:40


class FrameError(ValueError):
    """A frame or one of its elements is malformed, or elements do not fit in a frame."""


Elements = tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class Frame:
    """A full frame. `source` and `destination` are call numbers; `kind` is the frame type."""

    source: int
    destination: int
    timestamp: int  # milliseconds since the call began
    oseqno: int
    iseqno: int
    kind: int
    subclass: int
    elements: Elements = ()
    retransmitted: bool = False

    def is_iax(self, *subclasses: Iax) -> bool:
        return self.kind == FrameType.IAX and self.subclass in subclasses

    @property
    def is_sequenced(self) -> bool:
        """Whether it takes a sequence number and has to be acknowledged."""
        return not self.is_iax(Iax.ACK, Iax.INVAL, Iax.VNAK)

    def get(self, element: Ie) -> bytes | None:
        parts = [data for number, data in self.elements if number == element]
        return b"".join(parts) if parts else None

    def text(self, element: Ie) -> str:
        try:
            return (self.get(element) or b"").decode()
        except UnicodeDecodeError:
            raise FrameError(f"element {element.name} is not UTF-8") from None

    def integer(self, element: Ie) -> int | None:
        data = self.get(element)
        return None if data is None else int.from_bytes(data)

    def as_retransmission(self) -> Frame:
        return replace(self, retransmitted=True)


def text_elements(element: Ie, text: str) -> Elements:
    """Splits a text into elements of up to 255 bytes; none if it is empty."""
    data = text.encode("utf-8", "surrogatepass")
    return tuple((int(element), data[at : at + 255]) for at in range(0, len(data), 255))


def cause_elements(code: int, text: str) -> Elements:
    return (*text_elements(Ie.CAUSE, text), (Ie.CAUSECODE, bytes([code & 0x7F])))  # Q.850 has 7 bits


def fits_in_frame(elements: Elements) -> bool:
    """Whether a frame with these elements is within MAX_FRAME_BYTES."""
    return HEADER.size + sum(2 + len(data) for _, data in elements) <= MAX_FRAME_BYTES


def encode_elements(elements: Iterable[tuple[int, bytes]]) -> bytes:
    return b"".join(bytes([number, len(data)]) + data for number, data in elements)


def decode_elements(data: bytes) -> Elements:
    elements: list[tuple[int, bytes]] = []
    at = 0
    while at < len(data):
        if at + 2 > len(data) or at + 2 + data[at + 1] > len(data):
            raise FrameError("truncated information element")
        end = at + 2 + data[at + 1]
        elements.append((data[at], data[at + 2 : end]))
        at = end
    return tuple(elements)


def encode(frame: Frame) -> bytes:
    data = HEADER.pack(
        FULL_FRAME_BIT | frame.source,
        (RETRANSMITTED_BIT if frame.retransmitted else 0) | frame.destination,
        frame.timestamp & 0xFFFFFFFF,
        frame.oseqno,
        frame.iseqno,
        frame.kind,
        frame.subclass,
    ) + encode_elements(frame.elements)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return data


def decode(data: bytes) -> Frame:
    if len(data) < HEADER.size:
        raise FrameError("datagram is shorter than a full frame header")
    source, destination, timestamp, oseqno, iseqno, kind, subclass = HEADER.unpack_from(data)
    if not source & FULL_FRAME_BIT:
        raise FrameError("mini and meta frames are not supported")
    if subclass & 0x80:
        raise FrameError("subclass is encoded as a power of two")
    signalling = kind in (FrameType.IAX, FrameType.CONTROL)
    return Frame(
        source=source & MAX_CALL_NUMBER,
        destination=destination & MAX_CALL_NUMBER,
        timestamp=timestamp,
        oseqno=oseqno,
        iseqno=iseqno,
        kind=kind,
        subclass=subclass,
        elements=decode_elements(data[HEADER.size :]) if signalling else (),
        retransmitted=bool(destination & RETRANSMITTED_BIT),
    )
