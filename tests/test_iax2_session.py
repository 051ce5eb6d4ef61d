"""IAX2 frames and sessions; sessions are checked against a model with a network that loses frames."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanmast.iax2 import endpoint, frames
from rowanmast.iax2.frames import Control, Frame, FrameError, FrameType, Iax, Ie
from rowanmast.iax2.session import FIRST_RETRANSMIT_US, LINGER_US, MAX_RETRANSMITS, Session

MS = 1000


@settings(derandomize=True, max_examples=200)
@given(
    st.integers(1, 0x7FFF),
    st.integers(0, 0x7FFF),
    st.integers(0, 2**32 - 1),
    st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=20)), max_size=5),
    st.booleans(),
)
def test_frames_are_decoded_as_encoded(
    source: int, destination: int, stamp: int, elements: list[tuple[int, bytes]], retransmitted: bool
) -> None:
    frame = Frame(source, destination, stamp, 7, 9, FrameType.IAX, Iax.NEW, tuple(elements), retransmitted)
    assert frames.decode(frames.encode(frame)) == frame


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60))
def test_any_datagram_is_decoded_or_raises_frame_error(data: bytes) -> None:
    try:
        assert frames.decode(data).source <= frames.MAX_CALL_NUMBER
    except FrameError as error:
        assert str(error)


def test_a_new_has_the_layout_of_the_rfc() -> None:
    new = Frame(1, 0, 3, 0, 0, FrameType.IAX, Iax.NEW, ((Ie.VERSION, b"\0\2"), (Ie.CALLED_NUMBER, b"77")))
    assert frames.encode(new).hex() == "8001000000000003000006010b02000201023737"


def test_long_texts_are_split_over_several_elements() -> None:
    text = "é" * 300
    frame = Frame(1, 0, 0, 0, 0, FrameType.IAX, Iax.NEW, frames.text_elements(Ie.DESCRIPTION, text))
    assert len(frame.elements) == 3 and frames.decode(frames.encode(frame)).text(Ie.DESCRIPTION) == text


class Model:
    """Two sessions and the frames in flight; what one sends, the other must receive once and in order."""

    def __init__(self) -> None:
        self.now = 0
        self.sides = (Session(5, 0), Session(9, 0))
        self.in_flight: list[list[Frame]] = [[], []]  # by receiving side
        self.sent: tuple[list[int], list[int]] = ([], [])
        self.received: tuple[list[int], list[int]] = ([], [])
        self.count = 0
        self.alive = True

    def step(self, kind: str, side: int, pick: int) -> None:
        session, in_flight = self.sides[side], self.in_flight[side]
        if kind == "send" and self.alive and (self.sent[0] or side == 0):
            self.count += 1
            element = (int(Ie.SETUP_MS), self.count.to_bytes(4))
            session.send(self.now, FrameType.CONTROL, Control.ANSWER, (element,))
            self.sent[side].append(self.count)
        elif kind == "deliver" and in_flight:
            self.deliver(side, in_flight.pop(pick % len(in_flight)))
        elif kind == "repeat" and in_flight:
            self.deliver(side, in_flight[pick % len(in_flight)])
        elif kind == "lose" and in_flight:
            in_flight.pop(pick % len(in_flight))
        elif kind == "wait":
            self.now += pick * 20 * MS
            for other in self.sides:
                self.alive = other.run_timers(self.now) and self.alive
        self.collect()

    def deliver(self, side: int, frame: Frame) -> None:
        delivered = self.sides[side].receive(self.now, frame)
        if delivered is not None:
            self.received[side].append(delivered.integer(Ie.SETUP_MS) or 0)

    def collect(self) -> None:
        for side, session in enumerate(self.sides):
            self.in_flight[1 - side] += session.outbox
            session.outbox = []
        for side in (0, 1):
            assert self.received[side] == self.sent[1 - side][: len(self.received[side])], "once and in order"


KINDS = ("send", "send", "deliver", "deliver", "deliver", "repeat", "lose", "wait")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 1), st.integers(0, 9)), max_size=80))
def test_frames_are_delivered_once_and_in_order(drawn: list[tuple[str, int, int]]) -> None:
    model = Model()
    for step in drawn:
        model.step(*step)
    for _ in range(400):  # nothing is lost from here on, so all frames arrive unless a session timed out
        for side in (0, 1):
            while model.in_flight[side]:
                model.step("deliver", side, 0)
        model.step("wait", 0, 1)
        for side in (0, 1):
            while model.in_flight[side]:
                model.step("deliver", side, 0)
    assert not model.alive or all(model.received[side] == model.sent[1 - side] for side in (0, 1))


def test_retransmissions_are_limited_and_then_the_session_times_out() -> None:
    session, now, sent = Session(5, 0), 0, 0
    session.send(now, FrameType.IAX, Iax.NEW)
    while session.run_timers(now):
        sent += len(session.outbox)
        session.outbox.clear()
        now += 10 * MS
    assert sent == 1 + MAX_RETRANSMITS and now >= FIRST_RETRANSMIT_US * (2 ** (MAX_RETRANSMITS + 1) - 1)


def test_ping_and_lagrq_are_answered_with_their_timestamp() -> None:
    session = Session(5, 0, remote_number=9)
    for number, (asked, answer) in enumerate(((Iax.PING, Iax.PONG), (Iax.LAGRQ, Iax.LAGRP))):
        assert session.receive(0, Frame(9, 5, 1234, number, number, FrameType.IAX, asked)) is None
        assert session.outbox[-1].is_iax(answer) and session.outbox[-1].timestamp == 1234


def test_a_frame_out_of_order_is_answered_with_vnak_and_a_vnak_causes_retransmission() -> None:
    session = Session(5, 0, remote_number=9)
    assert session.receive(0, Frame(9, 5, 1, 1, 0, FrameType.IAX, Iax.ACCEPT)) is None
    assert session.outbox.pop().is_iax(Iax.VNAK)
    session.send(0, FrameType.IAX, Iax.ACCEPT)
    session.send(0, FrameType.CONTROL, Control.ANSWER)
    session.outbox.clear()
    session.receive(0, Frame(9, 5, 1, 0, 1, FrameType.IAX, Iax.VNAK))
    assert [(frame.oseqno, frame.retransmitted) for frame in session.outbox] == [(1, True)]


def test_an_ended_call_expires_after_its_linger_time() -> None:
    session = Session(5, 0, remote_number=9)
    session.end(0, Iax.HANGUP)
    session.end(0, Iax.REJECT)
    assert len(session.unacked) == 1 and not session.is_expired(LINGER_US)
    session.receive(0, Frame(9, 5, 1, 0, 1, FrameType.IAX, Iax.ACK))
    assert session.is_expired(LINGER_US) and not session.is_expired(LINGER_US - 1)


def test_a_new_cancelled_before_any_reply_is_not_retransmitted() -> None:
    session = Session(5, 0)
    session.send(0, FrameType.IAX, Iax.NEW)
    session.end(0, Iax.HANGUP)
    session.outbox.clear()
    session.run_timers(FIRST_RETRANSMIT_US)
    assert [frame.subclass for frame in session.outbox] == [Iax.HANGUP]


@pytest.mark.parametrize(
    "data", [b"", b"\x00" * 12, b"\x80\x01" + b"\0" * 8 + b"\x06\x01\x01", b"\x80" + b"\xff" * 11]
)
def test_malformed_frames_raise_frame_error(data: bytes) -> None:
    with pytest.raises(FrameError):
        frames.decode(data)


def test_new_calls_above_the_limit_get_inval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint, "MAX_LEGS", 3)
    taken: list[Any] = []

    class Socket(asyncio.DatagramTransport):
        sent: list[Frame] = []  # noqa: RUF012

        def is_closing(self) -> bool:
            return False

        def sendto(self, data: Any, addr: Any = None) -> None:
            self.sent.append(frames.decode(data))

    async def test() -> None:
        side = endpoint.IaxEndpoint(lambda: 0, lambda leg, frame: taken.append(leg))  # type: ignore[arg-type, func-returns-value]
        side.connection_made(Socket())
        for number in range(1, 6):
            new = Frame(number, 0, 1, 0, 0, FrameType.IAX, Iax.NEW)
            side.datagram_received(frames.encode(new), ("127.0.0.1", 9))
        side.connection_lost(None)
        assert len(taken) == len(side.legs) == len(side.legs_by_remote) == 3
        assert [frame.destination for frame in Socket.sent if frame.is_iax(Iax.INVAL)] == [4, 5]

    asyncio.run(test())
