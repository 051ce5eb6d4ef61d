"""The UDP socket of all incoming and outgoing IAX2 calls: dispatches frames and runs the sessions' timers."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol, cast

from rowanmast.iax2 import frames
from rowanmast.iax2.datagram_queue import MAX_PER_TURN, DatagramQueue
from rowanmast.iax2.frames import Elements, Frame, FrameType, Iax
from rowanmast.iax2.session import Session

SWEEP_INTERVAL_S = 0.02
MAX_LEGS = 4000  # incoming calls above this get INVAL; even a rejected call uses memory for a while
MAX_LEGS_PER_ADDRESS = 2000  # the same, so that no caller takes the calls of all others
# How long after a NEW the same one counts as sent again (RFC 5456 allows 10 s between retransmissions), and,
# where it is not marked as retransmitted, as doubled by the network.
NEW_RETRANSMISSION_US = 15_000_000
NEW_DUPLICATE_US = 1_000_000
HANDLED_SUBCLASSES = (Iax.NEW, Iax.HANGUP, Iax.REJECT, Iax.ACCEPT, Iax.UNSUPPORT)
Address = tuple[str, int]

log = logging.getLogger(__name__)


class LegListener(Protocol):
    """Receives the frames of one call."""

    def frame_received(self, frame: Frame) -> None: ...

    def leg_lost(self) -> None:
        """The remote side is unresponsive, no longer knows the call, or has reused its call number.

        Also called if a NEW had no reply and may no longer be retransmitted.
        """

    def may_retransmit(self) -> bool:
        """Whether a NEW without any reply may be retransmitted."""


class Leg:
    """One call with a remote side; its session is the reliable exchange of frames."""

    def __init__(self, endpoint: IaxEndpoint, address: Address, session: Session) -> None:
        self.endpoint = endpoint
        self.address = address
        self.session = session
        self.listener: LegListener | None = None

    def send(self, kind: FrameType, subclass: int, elements: Elements = ()) -> None:
        self.session.send(self.endpoint.clock(), kind, subclass, elements)
        self.endpoint.flush(self)

    def end(self, subclass: Iax, elements: Elements = ()) -> None:
        self.session.end(self.endpoint.clock(), subclass, elements)
        self.endpoint.flush(self)

    def notify_lost(self) -> None:
        listener, self.listener = self.listener, None
        if listener is not None and self.session.ended_at is None:
            listener.leg_lost()


class IaxEndpoint(asyncio.DatagramProtocol):
    """The UDP socket. `on_new` is called with each NEW that begins a call, and returns its listener."""

    def __init__(self, clock: Callable[[], int], on_new: Callable[[Leg, Frame], LegListener]) -> None:
        self.clock = clock
        self.on_new = on_new
        self.legs: dict[int, Leg] = {}  # by local call number
        self.legs_by_remote: dict[tuple[Address, int], Leg] = {}  # incoming, by remote address and number
        self.leg_counts: Counter[Address] = Counter()  # of `legs_by_remote`
        self.received = DatagramQueue()
        self.turn_allowance = 0  # datagrams that may still be handled in this turn
        self.turn_scheduled = False  # `start_turn` will run in the next one
        self.pending_pokes: dict[int, Callable[[], None]] = {}  # called at the PONG, by local call number
        self.last_call_number = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()

    def error_received(self, exc: Exception) -> None:
        log.info("iax_socket", extra={"why": exc})

    # Outgoing calls

    def open_leg(self, address: Address, listener: LegListener) -> Leg:
        leg = Leg(self, address, Session(self.allocate_number(), self.clock()))
        leg.listener = listener
        self.add_leg(leg)
        return leg

    def poke(self, address: Address, on_pong: Callable[[], None]) -> int:
        """Sends a POKE; `on_pong` is called at the PONG. Returns the key of its entry in `pending_pokes`."""
        number = self.allocate_number()
        self.pending_pokes[number] = on_pong
        self.transmit(Frame(number, 0, 0, 0, 0, FrameType.IAX, Iax.POKE), address)
        return number

    def allocate_number(self) -> int:
        """The next unused call number in ascending order, so that a number is reused as late as possible."""
        for step in range(1, frames.MAX_CALL_NUMBER + 1):
            number = (self.last_call_number + step - 1) % frames.MAX_CALL_NUMBER + 1
            if number not in self.legs and number not in self.pending_pokes:
                self.last_call_number = number
                return number
        raise OSError("all IAX2 call numbers are in use")

    def add_leg(self, leg: Leg) -> None:
        self.legs[leg.session.number] = leg
        if self.sweep_timer is None:
            self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def remove_leg(self, leg: Leg) -> None:
        self.legs.pop(leg.session.number, None)
        key = (leg.address, leg.session.remote_number)
        if self.legs_by_remote.get(key) is leg:
            del self.legs_by_remote[key]
            self.leg_counts[leg.address] -= 1
            if not self.leg_counts[leg.address]:
                del self.leg_counts[leg.address]

    # Frames

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.received.push(data, address)
        self.handle_received()

    def handle_received(self) -> None:
        """Handles as many of the received datagrams as this turn allows; goes on in the next one."""
        if not self.turn_scheduled:
            self.turn_scheduled, self.turn_allowance = True, MAX_PER_TURN
            asyncio.get_running_loop().call_soon(self.start_turn)
        while self.received and self.turn_allowance:
            self.turn_allowance -= 1
            self.handle_datagram(*self.received.pop())

    def start_turn(self) -> None:
        self.turn_scheduled = False
        if self.received:
            self.handle_received()

    def handle_datagram(self, data: bytes, address: Address) -> None:
        try:
            frame = frames.decode(data)
            leg = self.find_or_create_leg(frame, address)
        except frames.FrameError as error:
            log.warning("bad_frame", extra={"why": error})
            return
        if leg is None:
            if frame.is_iax(Iax.POKE) and frame.destination == 0:
                pong = Frame(0, frame.source, frame.timestamp, 0, 1, FrameType.IAX, Iax.PONG)
                self.transmit(pong, address)
            elif frame.is_iax(Iax.PONG) and frame.destination in self.pending_pokes:
                self.pending_pokes.pop(frame.destination)()
            elif frame.is_sequenced and frame.source:
                self.transmit(
                    Frame(frame.destination, frame.source, 0, 0, 0, FrameType.IAX, Iax.INVAL), address
                )
            return
        now = self.clock()
        delivered = leg.session.receive(now, frame)
        self.flush(leg)
        if delivered is not None:
            self.handle_frame(leg, delivered)

    def find_or_create_leg(self, frame: Frame, address: Address) -> Leg | None:
        """The call that the frame belongs to; creates one for a NEW that is not a retransmission."""
        if frame.destination:
            leg = self.legs.get(frame.destination)
            fits = leg is not None and leg.address == address
            return (
                leg if leg is not None and fits and leg.session.remote_number in (0, frame.source) else None
            )
        known = self.legs_by_remote.get((address, frame.source))
        if not frame.is_iax(Iax.NEW):
            return known
        if known is not None and self.repeats_new(known, frame):
            return known
        if known is not None:  # the remote side has restarted, or has reused the call number
            self.remove_leg(known)
            known.notify_lost()
        if len(self.legs) >= MAX_LEGS or self.leg_counts[address] >= MAX_LEGS_PER_ADDRESS:
            return None
        now = self.clock()
        leg = Leg(self, address, Session(self.allocate_number(), now, frame.source))
        leg.session.initial_new = frame
        self.legs_by_remote[address, frame.source] = leg
        self.leg_counts[address] += 1
        self.add_leg(leg)
        return leg

    def repeats_new(self, leg: Leg, frame: Frame) -> bool:
        """Whether this NEW is the leg's own, sent again by the remote side or doubled by the network.

        A remote side that has restarted may send one that is the same in all its fields, but later.
        """
        first = leg.session.initial_new
        if first is None or (first.timestamp, first.elements) != (frame.timestamp, frame.elements):
            return False
        window = NEW_RETRANSMISSION_US if frame.retransmitted else NEW_DUPLICATE_US
        return self.clock() - leg.session.started_at < window

    def handle_frame(self, leg: Leg, frame: Frame) -> None:
        if frame.is_iax(Iax.INVAL):
            self.remove_leg(leg)
            leg.notify_lost()
        elif frame.is_iax(Iax.NEW) and leg.listener is None and frame is leg.session.initial_new:
            leg.listener = self.on_new(leg, frame)
        elif frame.kind == FrameType.IAX and frame.subclass not in HANDLED_SUBCLASSES:
            unknown = ((int(frames.Ie.IAX_UNKNOWN), bytes([frame.subclass])),)
            leg.send(FrameType.IAX, Iax.UNSUPPORT, unknown)
        elif leg.listener is not None:
            leg.listener.frame_received(frame)

    def flush(self, leg: Leg) -> None:
        outbox, leg.session.outbox = leg.session.outbox, []
        for frame in outbox:
            self.transmit(frame, leg.address)

    def transmit(self, frame: Frame, address: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(frames.encode(frame), address)

    def close(self) -> None:
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        if self.transport is not None:
            self.transport.close()

    def sweep(self) -> None:
        """Runs the timers of all sessions and removes legs that are lost or expired."""
        now = self.clock()
        for leg in list(self.legs.values()):
            no_reply = leg.session.remote_number == 0 and leg.session.ended_at is None
            abandoned = no_reply and leg.listener is not None and not leg.listener.may_retransmit()
            if abandoned or not leg.session.run_timers(now):
                self.remove_leg(leg)
                leg.notify_lost()
            elif leg.session.is_expired(now):
                self.remove_leg(leg)
            self.flush(leg)
        loop = asyncio.get_running_loop()
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self.sweep) if self.legs else None
