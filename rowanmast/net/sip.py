"""SIP over TCP (RFC 3261), as far as callers speak it: a codec without sockets."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_MESSAGE = 16 * 1024
COMPACT = {"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to", "c": "content-type"}
ECHOED = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
BLANK = re.compile(rb"[\r\n]*")  # RFC 3261, 7.5: empty lines between messages
REASONS = {
    200: "OK",
    400: "Bad Request",
    480: "Temporarily Unavailable",
    487: "Request Terminated",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


class SipError(ValueError):
    """The bytes are no SIP message that we take."""


@dataclass(frozen=True, slots=True)
class Message:
    """A request (its method and address) or, with a status, a response."""

    method: str
    uri: str
    status: int
    headers: tuple[tuple[str, str], ...]  # names in lower case, in long form
    body: bytes

    def get(self, name: str, default: str = "") -> str:
        return next((value for key, value in self.headers if key == name), default)

    @property
    def call_id(self) -> str:
        return self.get("call-id")

    @property
    def cseq_method(self) -> str:
        return self.get("cseq").rpartition(" ")[2]

    @property
    def user(self) -> str:
        """The number in the address: what stands between the scheme and the host."""
        return self.uri.partition(":")[2].partition("@")[0]


class Parser:
    """Cuts a stream of bytes into messages."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are whole now; after them, SipError if the stream can't be read on."""
        buffer, at = self.buffer + data, 0
        while True:
            blank = BLANK.match(buffer, at)
            at = blank.end() if blank else at
            end = buffer.find(b"\r\n\r\n", at, at + MAX_MESSAGE)
            if end < 0:
                if len(buffer) - at >= MAX_MESSAGE:
                    raise SipError("message over 16 KiB")
                break
            message, length = read_head(buffer[at:end])
            body = end + 4
            if body + length - at > MAX_MESSAGE:
                raise SipError("message over 16 KiB")
            if len(buffer) < body + length:
                break
            at = body + length
            yield Message(*message, body=buffer[body:at])
        self.buffer = buffer[at:]


def read_head(head: bytes) -> tuple[tuple[str, str, int, tuple[tuple[str, str], ...]], int]:
    """The parts of the first line, the headers, and the length of the body in bytes."""
    try:
        first, *lines = head.decode().split("\r\n")
    except UnicodeDecodeError:
        raise SipError("headers are not UTF-8") from None
    headers: list[tuple[str, str]] = []
    for line in lines:
        if line[:1] in (" ", "\t") and headers:  # a folded header
            headers[-1] = (headers[-1][0], headers[-1][1] + " " + line.strip())
            continue
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            raise SipError("a header without a colon")
        name = name.strip().lower()
        headers.append((COMPACT.get(name, name), value.strip()))
    lengths = {value for name, value in headers if name == "content-length"}
    if len(lengths) != 1:
        raise SipError("no one Content-Length")
    length = lengths.pop()
    if not (length.isascii() and length.isdigit() and len(length) < 10):
        raise SipError("Content-Length is no number")
    parts = first.split(" ", 2)
    if len(parts) == 3 and parts[0] == "SIP/2.0" and parts[1].isascii() and parts[1].isdigit():
        return ("", "", int(parts[1]), tuple(headers)), int(length)
    if len(parts) != 3 or parts[2] != "SIP/2.0" or not parts[0].isalpha():
        raise SipError("first line is neither a request's nor a response's")
    return (parts[0], parts[1], 0, tuple(headers)), int(length)


def write(first: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def respond(request: Message, status: int, extra: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    echoed = [(ECHOED[name], value) for name, value in request.headers if name in ECHOED]
    return write(f"SIP/2.0 {status} {REASONS[status]}", [*echoed, *extra], body)


def bye(call: str, cause: int) -> bytes:
    headers = (
        ("Via", "SIP/2.0/TCP rowanmast"),
        ("Call-ID", call),
        ("CSeq", "2 BYE"),
        ("Reason", f"Q.850;cause={cause}"),
    )
    return write(f"BYE sip:{call}@net SIP/2.0", headers)
