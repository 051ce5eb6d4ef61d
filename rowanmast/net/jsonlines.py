"""Codec of the JSON lines protocol of switches; does no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import ujson

from rowanmast import interface as api
from rowanmast.causes import CAUSE_BY_NOTE
from rowanmast.settings import parse_load_report

MAX_LINE_BYTES = 16 * 1024


class LineError(ValueError):
    """A line is malformed or too long."""


@dataclass(frozen=True, slots=True)
class Line:
    """One decoded line. The fields have the names that they have in the protocol."""

    msg: str
    sid: str
    attrs: dict[str, Any]
    code: int
    text: str

    @property
    def cause(self) -> api.Cause | None:
        return CAUSE_BY_NOTE.get(str(self.attrs.get("note")))

    @property
    def report(self) -> api.LoadReport:
        return parse_load_report(str(self.attrs.get("load", "")))


class Parser:
    """Incremental parser: splits a byte stream into lines and decodes them."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # the incomplete line
        self.lines: deque[bytes] = deque()  # complete ones, without their line feed
        self.last_length = 0

    def push(self, data: bytes) -> None:
        first, *more = data.split(b"\n")
        self.buffer += first
        for piece in more:
            self.lines.append(bytes(self.buffer))
            self.buffer = bytearray(piece)

    def next_message(self) -> Line | None:
        """The next complete line, or None if there is none. Raises LineError if it is malformed."""
        while self.lines:
            line = self.lines.popleft()
            if len(line) > MAX_LINE_BYTES:
                raise LineError("line over 16 KiB")
            if line.strip():
                self.last_length = len(line)
                return decode(line)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise LineError("line over 16 KiB")
        return None

    def feed(self, data: bytes) -> Iterator[Line]:
        """Yields the lines that are complete now, then raises LineError if the next one is malformed."""
        self.push(data)
        while (line := self.next_message()) is not None:
            yield line


def decode(line: bytes) -> Line:
    try:
        fields = ujson.loads(line)
    except ValueError:
        raise LineError("line is not JSON") from None
    if not isinstance(fields, dict) or not isinstance(fields.get("msg"), str):
        raise LineError("line has no message type")
    sid, attrs = fields.get("sid", ""), fields.get("attrs") or {}
    code, text = fields.get("code") or 0, fields.get("text") or ""
    if not (isinstance(sid, str) and isinstance(attrs, dict)):
        raise LineError("malformed sid or attrs")
    if not (isinstance(code, int) and isinstance(text, str)):
        raise LineError("malformed code or text")
    return Line(fields["msg"], sid, attrs, code, text)


def encode(msg: str, sid: str, attrs: dict[str, str], **more: str | int) -> bytes:
    fields = {"msg": msg, "sid": sid, "attrs": attrs, **more}
    return ujson.dumps(fields, ensure_ascii=False, escape_forward_slashes=False).encode() + b"\n"
