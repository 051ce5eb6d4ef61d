"""The SIP and JSON lines codecs: the same messages are parsed however the bytes are split into reads."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rowanmast import interface as api
from rowanmast.net import jsonlines, logs, sip

TEXT = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
texts = st.text(st.characters(exclude_categories=("Cs",)), max_size=60) | st.just(TEXT)
CUTS = st.lists(st.integers(1, 40), min_size=1, max_size=20)


def in_pieces(data: bytes, cuts: list[int], feed: Callable[[bytes], Iterable[Any]]) -> list[Any]:
    """Feeds the bytes in pieces of the given lengths, repeated as needed; returns the messages."""
    messages: list[Any] = []
    while data:
        for cut in cuts:
            messages += feed(data[:cut])
            data = data[cut:]
    return messages


@settings(derandomize=True, max_examples=100)
@given(st.lists(texts, min_size=1, max_size=5), CUTS)
@example(["é" * 30, ""], [1])
def test_sip_messages_are_parsed_from_pieces(bodies: list[str], cuts: list[int]) -> None:
    invites = [
        sip.encode("INVITE sip:77@net SIP/2.0", (("Call-ID", str(at)), ("CSeq", "1 INVITE")), body.encode())
        for at, body in enumerate(bodies)
    ]
    got = in_pieces(b"\r\n".join(invites), cuts, sip.Parser().feed)
    assert [(message.call_id, message.body.decode()) for message in got] == [
        (str(at), body) for at, body in enumerate(bodies)
    ]
    assert {(message.method, message.user, message.cseq_method) for message in got} == {
        ("INVITE", "77", "INVITE")
    }


@settings(derandomize=True, max_examples=100)
@given(st.lists(texts, min_size=1, max_size=5), CUTS)
def test_json_lines_are_parsed_from_pieces(bodies: list[str], cuts: list[int]) -> None:
    data = b"".join(jsonlines.encode("open", "a1", {"left": "5"}, text=body) for body in bodies)
    got = in_pieces(data, cuts, jsonlines.Parser().feed)
    assert [line.text for line in got] == bodies


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
@example(b"{}\n")
@example(b'{"msg":"close","code":"x"}\n')
@example(b"INVITE sip:1@net SIP/2.0\r\nContent-Length: -1\r\n\r\n")
@example(b"SIP/2.0 2x0 OK\r\nContent-Length: 0\r\n\r\n")
def test_any_bytes_are_parsed_or_raise_the_codec_error(data: bytes) -> None:
    for parser, error in ((sip.Parser(), sip.SipError), (jsonlines.Parser(), jsonlines.LineError)):
        try:
            assert all(len(str(message)) for message in parser.feed(data + b"\r\n\r\n"))
        except error as why:
            assert str(why)


@pytest.mark.parametrize(
    "head",
    [
        b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 16384\r\n\r\n",
        b"INVITE sip:1@net SIP/2.0\r\nX: " + b"x" * sip.MAX_MESSAGE_BYTES,
        b"INVITE sip:1@net SIP/2.0\r\n\r\n",
        b"INVITE sip:1@net SIP/2.0\r\nl: 1\r\nContent-Length: 2\r\n\r\n",
        b"\xff\xfe\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_malformed_sip_raises_sip_error(head: bytes) -> None:
    with pytest.raises(sip.SipError):
        list(sip.Parser().feed(head))


def test_a_line_over_16_kib_is_rejected_before_it_is_complete() -> None:
    with pytest.raises(jsonlines.LineError):
        list(jsonlines.Parser().feed(b"x" * (jsonlines.MAX_LINE_BYTES + 1)))


def test_complete_messages_are_yielded_before_a_malformed_one_raises() -> None:
    # A release in the same read as malformed bytes was dropped, and its caller was never notified.
    good, line = sip.encode_bye("a1", 16), jsonlines.encode("close", "a1", {}, code=16)
    streams: list[tuple[sip.Parser | jsonlines.Parser, bytes]] = [
        (sip.Parser(), good + good + b"noise\r\n\r\n"),
        (jsonlines.Parser(), line + line + b"noise\n"),
    ]
    for parser, data in streams:
        found = parser.feed(data)
        assert next(found) == next(found)
        with pytest.raises(ValueError):
            next(found)


def test_compact_and_folded_headers_are_parsed() -> None:
    (message,) = sip.Parser().feed(
        b"BYE sip:1@net SIP/2.0\r\ni: abc\r\nReason: Q.850\r\n ;cause=41\r\nl: 0\r\n\r\n"
    )
    assert message.call_id == "abc" and message.get("reason") == "Q.850 ;cause=41"


def test_a_load_report_and_a_note_are_parsed_and_invalid_load_values_ignored() -> None:
    (line,) = jsonlines.Parser().feed(
        b'{"msg":"close","sid":"1","attrs":{"load":"x0:12;x1:40;queue:3;util:-1;odd;recent_ms:nan","note":"cpu_full"},"code":34}\n'
    )
    assert line.report == api.LoadReport(free_circuits=12, group_size=40, queued=3)
    assert line.cause is api.Cause.PROCESSOR_FULL


def test_a_flood_of_one_warning_is_limited_and_counted() -> None:
    # A client that sent unsound messages at full speed had a line written for each.
    limit = logs.WarningLimit()

    def passes(event: str, second: int, level: int = logging.WARNING) -> logging.LogRecord | None:
        record = logging.LogRecord("part", level, "", 0, event, None, None)
        record.created = second + 0.5
        return record if limit.filter(record) else None

    lines = [passes("unreadable", 1) for _ in range(logs.MAX_WARNINGS_PER_SECOND + 7)]
    assert len([line for line in lines if line]) == logs.MAX_WARNINGS_PER_SECOND
    assert passes("bad_frame", 1) and passes("call_fault", 1, logging.ERROR)
    after = passes("unreadable", 2)
    assert after is not None and vars(after)["suppressed"] == 7


def test_log_values_stay_on_one_line() -> None:
    assert logs.quote_value("plain") == "plain"
    assert logs.quote_value('a "b"\nc') == '"a \\"b\\"\\nc"'
