"""The reliable transfer of full frames in one IAX2 call (RFC 5456, section 7); does no I/O.

Frames are numbered, acknowledged, retransmitted a limited number of times, and delivered once and in order.
Times are microseconds.
"""

from __future__ import annotations

from dataclasses import replace

from rowanmast.iax2.frames import Elements, Frame, FrameError, FrameType, Iax, fits_in_frame

FIRST_RETRANSMIT_US = 250_000  # delay before the first retransmission; doubles each time
MAX_RETRANSMITS = 3  # an unresponsive remote side is detected, and its call released, within 6 s
LINGER_US = 5_000_000  # an ended call acknowledges retransmissions and keeps its number for this long
PING_INTERVAL_US = 2_000_000  # a call that has received nothing for this long sends a PING


class Session:
    """Sequence numbers, unacknowledged frames and timers of one call; the endpoint sends the `outbox`."""

    def __init__(self, number: int, now: int, remote_number: int = 0) -> None:
        self.number = number  # the local call number
        self.remote_number = remote_number  # the remote side's call number; 0 until it is known
        self.started_at = now
        self.heard_at = now  # when a frame was last received
        self.oseqno = 0  # of the next frame sent
        self.iseqno = 0  # of the next frame expected
        self.last_timestamp = -1
        self.unacked: list[Frame] = []  # oldest first
        self.retransmits = 0
        self.retransmit_at = 0
        self.outbox: list[Frame] = []
        self.ended_at: int | None = None  # when a HANGUP or REJECT was sent or received
        self.initial_new: Frame | None = None  # the NEW that began an incoming call

    # Sending

    def send(self, now: int, kind: FrameType, subclass: int, elements: Elements = ()) -> None:
        """Sends a numbered frame, which is retransmitted until it is acknowledged."""
        if not fits_in_frame(elements):  # a frame that can't be encoded must not be numbered or queued
            raise FrameError("the elements are too long for one frame")
        frame = self.make_frame(now, kind, subclass, elements)
        self.oseqno = (self.oseqno + 1) & 0xFF
        if not self.unacked:
            self.retransmits, self.retransmit_at = 0, now + FIRST_RETRANSMIT_US
        self.unacked.append(frame)
        self.outbox.append(frame)

    def make_frame(self, now: int, kind: FrameType, subclass: int, elements: Elements = ()) -> Frame:
        timestamp = max((now - self.started_at) // 1000, self.last_timestamp + 1)
        self.last_timestamp = timestamp
        return Frame(
            self.number, self.remote_number, timestamp, self.oseqno, self.iseqno, kind, subclass, elements
        )

    def end(self, now: int, subclass: Iax, elements: Elements = ()) -> None:
        """Sends the HANGUP or REJECT that ends the call; further ones are ignored."""
        if self.ended_at is None:
            if self.remote_number == 0:  # a retransmitted NEW could otherwise still set up the call
                self.unacked.clear()
            self.send(now, FrameType.IAX, subclass, elements)
            self.ended_at = now

    def reply(self, frame: Frame, subclass: Iax) -> None:
        """Sends an unnumbered frame with the timestamp of the frame that it replies to."""
        self.outbox.append(
            Frame(
                self.number,
                self.remote_number,
                frame.timestamp,
                self.oseqno,
                self.iseqno,
                FrameType.IAX,
                subclass,
            )
        )

    # Receiving

    def receive(self, now: int, frame: Frame) -> Frame | None:
        """Processes a received frame; returns it if the endpoint has to handle it.

        That is the next frame in order, unless the session handles it itself, or an INVAL.
        """
        self.heard_at = now
        if self.remote_number == 0:
            self.remote_number = frame.source
        self.process_ack(now, frame.iseqno)
        if frame.is_iax(Iax.VNAK):
            self.outbox += [
                replace(lost.as_retransmission(), destination=self.remote_number) for lost in self.unacked
            ]
            return None
        if not frame.is_sequenced:
            return frame if frame.is_iax(Iax.INVAL) else None
        ahead = (frame.oseqno - self.iseqno) & 0xFF
        if ahead >= 0x80:  # a retransmission: the ACK was lost
            self.reply(frame, Iax.ACK)
            return None
        if ahead:
            self.reply(frame, Iax.VNAK)  # an earlier frame was lost: requests retransmission from there
            return None
        self.iseqno = (self.iseqno + 1) & 0xFF
        if frame.is_iax(Iax.PING, Iax.LAGRQ):
            answer = Iax.PONG if frame.is_iax(Iax.PING) else Iax.LAGRP
            self.send(now, FrameType.IAX, answer)
            # A PONG or LAGRP carries the timestamp of its request.
            self.outbox[-1] = self.unacked[-1] = replace(self.unacked[-1], timestamp=frame.timestamp)
            return None
        self.reply(frame, Iax.ACK)
        if frame.is_iax(Iax.HANGUP, Iax.REJECT) and self.ended_at is None:
            self.ended_at = now
            self.unacked.clear()
        return None if frame.is_iax(Iax.PONG, Iax.LAGRP) else frame

    def process_ack(self, now: int, iseqno: int) -> None:
        """The remote side has received every frame before `iseqno`."""
        while self.unacked and 0 < ((iseqno - self.unacked[0].oseqno) & 0xFF) < 0x80:
            del self.unacked[0]
            self.retransmits, self.retransmit_at = 0, now + FIRST_RETRANSMIT_US

    # Timers

    def run_timers(self, now: int) -> bool:
        """Sends due retransmissions and PINGs; False when it gives up on an unresponsive remote side."""
        if self.unacked and now >= self.retransmit_at:
            if self.retransmits == MAX_RETRANSMITS:
                self.unacked.clear()
                return False
            self.retransmits += 1
            self.retransmit_at = now + (FIRST_RETRANSMIT_US << self.retransmits)
            self.outbox += [
                replace(frame.as_retransmission(), destination=self.remote_number) for frame in self.unacked
            ]
        elif not self.unacked and self.ended_at is None and now >= self.heard_at + PING_INTERVAL_US:
            self.send(now, FrameType.IAX, Iax.PING)
        return True

    def is_expired(self, now: int) -> bool:
        return self.ended_at is not None and not self.unacked and now >= self.ended_at + LINGER_US
