"""The UDP socket of all IAX2 calls, in and out: finds each frame's call and minds the calls' timers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from rowanmast.iax2 import frames
from rowanmast.iax2.frames import Elements, Frame, FrameType, Iax
from rowanmast.iax2.session import Session

SWEEP_S = 0.02
MAX_LEGS = 4000  # calls beyond which no new one is taken: each costs memory, also one that is refused
KNOWN = (Iax.NEW, Iax.HANGUP, Iax.REJECT, Iax.ACCEPT, Iax.UNSUPPORT)
Address = tuple[str, int]

log = logging.getLogger(__name__)


class Owner(Protocol):
    """Who a call's frames are for."""

    def heard(self, frame: Frame) -> None: ...

    def lost(self) -> None:
        """The other side is dead, forgot the call, or began another under its number."""

    def may_repeat(self) -> bool:
        """Whether a NEW of which nothing was heard may be sent again."""


class Leg:
    """One call with one other side."""

    def __init__(self, endpoint: Endpoint, address: Address, session: Session) -> None:
        self.endpoint = endpoint
        self.address = address
        self.session = session
        self.owner: Owner | None = None

    def send(self, kind: FrameType, subclass: int, elements: Elements = ()) -> None:
        self.session.send(self.endpoint.clock(), kind, subclass, elements)
        self.endpoint.drain(self)

    def end(self, subclass: Iax, elements: Elements = ()) -> None:
        self.session.end(self.endpoint.clock(), subclass, elements)
        self.endpoint.drain(self)

    def lose(self) -> None:
        owner, self.owner = self.owner, None
        if owner is not None and self.session.ended_at is None:
            owner.lost()


class Endpoint(asyncio.DatagramProtocol):
    """`invited` is told of each NEW that begins a call, and says who owns it."""

    def __init__(self, clock: Callable[[], int], invited: Callable[[Leg, Frame], Owner]) -> None:
        self.clock = clock
        self.invited = invited
        self.legs: dict[int, Leg] = {}
        self.incoming: dict[tuple[Address, int], Leg] = {}  # by the other side's number
        self.pokes: dict[int, Callable[[], None]] = {}  # who waits for a PONG, by our number
        self.last_number = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def error_received(self, exc: Exception) -> None:
        log.info("iax_socket", extra={"why": exc})

    # Calls out

    def call(self, address: Address, owner: Owner) -> Leg:
        leg = Leg(self, address, Session(self.free_number(), self.clock()))
        leg.owner = owner
        self.add(leg)
        return leg

    def poke(self, address: Address, answered: Callable[[], None]) -> int:
        """Asks whether the other side is there; the number serves to forget the question."""
        number = self.free_number()
        self.pokes[number] = answered
        self.emit(Frame(number, 0, 0, 0, 0, FrameType.IAX, Iax.POKE), address)
        return number

    def free_number(self) -> int:
        """The next number that no call uses, so that a number rests as long as it can."""
        for step in range(1, frames.MAX_CALL_NUMBER + 1):
            number = (self.last_number + step - 1) % frames.MAX_CALL_NUMBER + 1
            if number not in self.legs and number not in self.pokes:
                self.last_number = number
                return number
        raise OSError("all IAX2 call numbers are in use")

    def add(self, leg: Leg) -> None:
        self.legs[leg.session.number] = leg
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)

    def remove(self, leg: Leg) -> None:
        self.legs.pop(leg.session.number, None)
        key = (leg.address, leg.session.remote)
        if self.incoming.get(key) is leg:
            del self.incoming[key]

    # Frames

    def datagram_received(self, data: bytes, address: Address) -> None:
        try:
            frame = frames.read(data)
            leg = self.find(frame, address)
        except frames.FrameError as error:
            log.warning("bad_frame", extra={"why": error})
            return
        if leg is None:
            if frame.is_iax(Iax.POKE) and frame.destination == 0:
                pong = Frame(0, frame.source, frame.timestamp, 0, 1, FrameType.IAX, Iax.PONG)
                self.emit(pong, address)
            elif frame.is_iax(Iax.PONG) and frame.destination in self.pokes:
                self.pokes.pop(frame.destination)()
            elif frame.counted and frame.source:
                self.emit(Frame(frame.destination, frame.source, 0, 0, 0, FrameType.IAX, Iax.INVAL), address)
            return
        now = self.clock()
        news = leg.session.receive(now, frame)
        self.drain(leg)
        if news is not None:
            self.handle(leg, news)

    def find(self, frame: Frame, address: Address) -> Leg | None:
        """The call that the frame belongs to; a NEW that is no repeat begins one."""
        if frame.destination:
            leg = self.legs.get(frame.destination)
            fits = leg is not None and leg.address == address
            return leg if leg is not None and fits and leg.session.remote in (0, frame.source) else None
        known = self.incoming.get((address, frame.source))
        if not frame.is_iax(Iax.NEW):
            return known
        first = known.session.first if known is not None else None
        if first is not None and (first.timestamp, first.elements) == (frame.timestamp, frame.elements):
            return known
        if known is not None:  # the other side started anew, or has used all its numbers
            self.remove(known)
            known.lose()
        if len(self.legs) >= MAX_LEGS:
            return None
        now = self.clock()
        leg = Leg(self, address, Session(self.free_number(), now, frame.source))
        leg.session.first = frame
        self.incoming[address, frame.source] = leg
        self.add(leg)
        return leg

    def handle(self, leg: Leg, frame: Frame) -> None:
        if frame.is_iax(Iax.INVAL):
            self.remove(leg)
            leg.lose()
        elif frame.is_iax(Iax.NEW) and leg.owner is None and frame is leg.session.first:
            leg.owner = self.invited(leg, frame)
        elif frame.kind == FrameType.IAX and frame.subclass not in KNOWN:
            unknown = ((int(frames.Ie.IAX_UNKNOWN), bytes([frame.subclass])),)
            leg.send(FrameType.IAX, Iax.UNSUPPORT, unknown)
        elif leg.owner is not None:
            leg.owner.heard(frame)

    def drain(self, leg: Leg) -> None:
        outbox, leg.session.outbox = leg.session.outbox, []
        for frame in outbox:
            self.emit(frame, leg.address)

    def emit(self, frame: Frame, address: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(frames.write(frame), address)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()

    def sweep(self) -> None:
        now = self.clock()
        for leg in list(self.legs.values()):
            unheard = leg.session.remote == 0 and leg.session.ended_at is None
            barred = unheard and leg.owner is not None and not leg.owner.may_repeat()
            if barred or not leg.session.expire(now):
                self.remove(leg)
                leg.lose()
            elif leg.session.forgotten(now):
                self.remove(leg)
            self.drain(leg)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(SWEEP_S, self.sweep) if self.legs else None
