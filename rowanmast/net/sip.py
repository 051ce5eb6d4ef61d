"""Codec of SIP over TCP (RFC 3261), limited to what callers use; does no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16 * 1024
COMPACT_FORMS = {
    "i": "call-id",
    "l": "content-length",
    "v": "via",
    "f": "from",
    "t": "to",
    "c": "content-type",
}
ECHOED_HEADERS = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
HEAD_END = b"\r\n\r\n"
FOLD_CHARACTERS = (" ", "\t")
BLANK_LINES = re.compile(rb"[\r\n]*")  # allowed between messages (RFC 3261, section 7.5)
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    480: "Temporarily Unavailable",
    487: "Request Terminated",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


class SipError(ValueError):
    """A message is malformed or too long."""


@dataclass(slots=True)
class Message:
    """A request (method and URI), or a response if `status` is not 0."""

    method: str
    uri: str
    status: int
    headers: list[tuple[str, str]]  # names in lower case, in long form
    first_values: dict[str, str]  # the first value of each header
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """The first value of a header, whose name is given in lower case and in long form."""
        return self.first_values.get(name, default)

    @property
    def call_id(self) -> str:
        return self.first_values.get("call-id", "")

    @property
    def cseq_method(self) -> str:
        return self.first_values.get("cseq", "").rpartition(" ")[2]

    @property
    def user(self) -> str:
        """The called number: the URI's part between the scheme and the host."""
        return self.uri.partition(":")[2].partition("@")[0]


class Parser:
    """Incremental parser: splits a byte stream into messages.

    Each byte is looked at a bounded number of times, however small the pieces are in which it arrives.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.start = 0  # of the next message in the buffer
        self.scanned = 0  # the end of the head has been searched for up to here
        self.message: Message | None = None  # its head is complete, its body is not
        self.head_length = 0  # of `message`, with the empty line
        self.message_length = 0  # of `message`, with the body
        self.last_length = 0

    def push(self, data: bytes) -> None:
        if self.start:
            del self.buffer[: self.start]
            self.scanned = max(self.scanned - self.start, 0)
            self.start = 0
        self.buffer += data

    def next_message(self) -> Message | None:
        """The next complete message, or None if there is none. Raises SipError if it is malformed."""
        if self.message is None and not self.read_head():
            return None
        end = self.start + self.message_length
        message = self.message
        if message is None or len(self.buffer) < end:
            return None
        message.body = bytes(self.buffer[self.start + self.head_length : end])
        self.message = None
        self.last_length = self.message_length
        self.start = self.scanned = end
        return message

    def read_head(self) -> bool:
        """Parses the head of the next message once it is complete."""
        blank = BLANK_LINES.match(self.buffer, self.start)
        self.start = blank.end() if blank else self.start
        search_from = max(self.start, self.scanned - len(HEAD_END) + 1)
        end = self.buffer.find(HEAD_END, search_from, self.start + MAX_MESSAGE_BYTES)
        if end < 0:
            self.scanned = len(self.buffer)
            if len(self.buffer) - self.start >= MAX_MESSAGE_BYTES:
                raise SipError("message over 16 KiB")
            return False
        self.message, body_length = parse_head(bytes(self.buffer[self.start : end]))
        self.head_length = end + len(HEAD_END) - self.start
        self.message_length = self.head_length + body_length
        if self.message_length > MAX_MESSAGE_BYTES:
            raise SipError("message over 16 KiB")
        return True

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields the messages that are complete now, then raises SipError if the next one is malformed."""
        self.push(data)
        while (message := self.next_message()) is not None:
            yield message


def parse_head(head: bytes) -> tuple[Message, int]:
    """Parses start line and headers; returns the message without its body, and the body's length in bytes."""
    try:
        start_line, *lines = head.decode().split("\r\n")
    except UnicodeDecodeError:
        raise SipError("headers are not UTF-8") from None
    headers: list[tuple[str, str]] = []
    first_values: dict[str, str] = {}
    for line in lines:
        if line[:1] in FOLD_CHARACTERS and headers:  # a folded header
            name, value = headers[-1]
            headers[-1] = (name, f"{value} {line.strip()}")
            # By value, not position: a repeated header with the same value as the first replaces it too.
            if first_values[name] == value:
                first_values[name] = headers[-1][1]
            continue
        name, colon, value = line.partition(":")
        name = name.strip().lower()
        if not (colon and name):
            raise SipError("header line without a colon")
        name = COMPACT_FORMS.get(name, name)
        value = value.strip()
        headers.append((name, value))
        if first_values.setdefault(name, value) != value and name == "content-length":
            raise SipError("conflicting Content-Length headers")
    length = first_values.get("content-length", "")
    if not length:
        raise SipError("no Content-Length header")
    if not (length.isascii() and length.isdigit() and len(length) < 10):
        raise SipError("Content-Length is not a number")
    parts = start_line.split(" ", 2)
    if len(parts) == 3 and parts[0] == "SIP/2.0" and parts[1].isascii() and parts[1].isdigit():
        return Message("", "", int(parts[1]), headers, first_values), int(length)
    if len(parts) != 3 or parts[2] != "SIP/2.0" or not parts[0].isalpha():
        raise SipError("malformed request or status line")
    return Message(parts[0], parts[1], 0, headers, first_values), int(length)


def encode(start_line: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def echoed_headers(request: Message) -> bytes:
    """The header lines that a response repeats from its request."""
    echoed = [(ECHOED_HEADERS[name], value) for name, value in request.headers if name in ECHOED_HEADERS]
    return "".join(f"{name}: {value}\r\n" for name, value in echoed).encode()


def encode_response(
    request: Message, status: int, extra: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    return encode_echoing(echoed_headers(request), status, extra, body)


def encode_echoing(
    echoed: bytes, status: int, extra: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """Encodes the response to the request whose `echoed_headers` are given."""
    start_line = f"SIP/2.0 {status} {REASON_PHRASES[status]}\r\n".encode()
    lines = [*(f"{name}: {value}" for name, value in extra), f"Content-Length: {len(body)}"]
    return start_line + echoed + "\r\n".join(lines).encode() + HEAD_END + body


def encode_bye(call: str, cause: int) -> bytes:
    headers = (
        ("Via", "SIP/2.0/TCP rowanmast"),
        ("Call-ID", call),
        ("CSeq", "2 BYE"),
        ("Reason", f"Q.850;cause={cause}"),
    )
    return encode(f"BYE sip:{call}@net SIP/2.0", headers)
