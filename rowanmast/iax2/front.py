"""Callers that speak IAX2; implements the core's `Front` protocol."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable
from random import Random

from rowanmast import causes
from rowanmast.core.ports import Cancelled, Failure, Inbox, Offer, Released
from rowanmast.iax2.endpoint import Address, Leg
from rowanmast.iax2.frames import (
    PROTOCOL_VERSION,
    Control,
    Frame,
    FrameError,
    FrameType,
    Iax,
    Ie,
    cause_elements,
    fits_in_frame,
    text_elements,
)
from rowanmast.routes import parse_route

MAX_SETUP_MS = 3_600_000  # no caller waits longer, and timers need a bounded value
MAX_SET_UPS_PER_ADDRESS = 200  # a flood from one caller is refused before it affects other callers

log = logging.getLogger(__name__)


class IaxFront:
    """The IAX2 callers' legs, by call id; `accepts_calls` is false on the backup router of a pair."""

    survives_restart = False

    def __init__(self, inbox: Inbox, random: Random, accepts_calls: Callable[[], bool]) -> None:
        self.inbox = inbox
        self.random = random
        self.accepts_calls = accepts_calls
        self.legs: dict[str, Leg] = {}
        self.unanswered: dict[str, Address] = {}  # the callers' addresses, by call
        self.unanswered_counts: Counter[Address] = Counter()  # of `unanswered`

    # Front

    def answer(self, call: str, text: str) -> None:
        self.remove_unanswered(call)
        leg = self.legs.get(call)
        if leg is None:
            return  # the caller has just hung up; the input that reports it to the ledger is queued
        description = text_elements(Ie.DESCRIPTION, text)
        if not fits_in_frame(description):
            log.warning("too_long_for_iax", extra={"call": call})
            self.inbox.post(Released(call, causes.INTERWORKING))
            self.end_call(call, Iax.HANGUP, causes.INTERWORKING, "description too long for IAX2")
            return
        leg.send(FrameType.IAX, Iax.ACCEPT, description)
        leg.send(FrameType.CONTROL, Control.ANSWER)

    def refuse(self, call: str, retry_after_us: int) -> None:
        retry_after_s = max(math.ceil(retry_after_us / 1_000_000), 1)
        self.end_call(call, Iax.REJECT, causes.CONGESTION, f"no way now, come back after {retry_after_s} s")

    def fail(self, call: str, why: Failure) -> None:
        cause = causes.MANDATORY_MISSING if why is Failure.UNFIT else causes.TEMPORARY_FAILURE
        self.end_call(call, Iax.REJECT, cause, f"call failed: {why.value}")

    def release(self, call: str, cause: int) -> None:
        self.end_call(call, Iax.HANGUP, cause, "released")

    def end_call(self, call: str, subclass: Iax, code: int, text: str) -> None:
        leg = self.remove_leg(call)
        if leg is not None:
            leg.end(subclass, cause_elements(code, text))

    def remove_leg(self, call: str) -> Leg | None:
        """Removes an ended call; None if it was removed before."""
        self.remove_unanswered(call)
        return self.legs.pop(call, None)

    def remove_unanswered(self, call: str) -> None:
        address = self.unanswered.pop(call, None)
        if address is not None:
            self.unanswered_counts[address] -= 1
            if not self.unanswered_counts[address]:
                del self.unanswered_counts[address]

    # Calls

    def handle_new(self, leg: Leg, frame: Frame) -> IncomingCall:
        call = f"{self.random.getrandbits(64):016x}"
        if not self.accepts_calls():
            leg.end(
                Iax.REJECT, cause_elements(causes.TEMPORARY_FAILURE, "backup router, come back after 1 s")
            )
            return IncomingCall(self, call)
        if self.unanswered_counts[leg.address] >= MAX_SET_UPS_PER_ADDRESS:
            leg.end(Iax.REJECT, cause_elements(causes.CONGESTION, "too many set-ups, come back after 1 s"))
            return IncomingCall(self, call)
        try:
            offer = self.parse_new(call, frame)
        except ValueError as error:
            log.warning("bad_new", extra={"why": error})
            leg.end(Iax.REJECT, cause_elements(causes.MANDATORY_MISSING, f"malformed NEW: {error}"[:200]))
            return IncomingCall(self, call)
        self.legs[call] = leg
        self.unanswered[call] = leg.address
        self.unanswered_counts[leg.address] += 1
        self.inbox.post(offer)
        return IncomingCall(self, call)

    def parse_new(self, call: str, frame: Frame) -> Offer:
        if frame.integer(Ie.VERSION) != PROTOCOL_VERSION:
            raise FrameError("no protocol version 2")
        left_ms = frame.integer(Ie.SETUP_MS)
        key, klass = frame.text(Ie.CALLED_NUMBER), frame.text(Ie.CALLED_CONTEXT)
        if left_ms is None or not key or not klass:
            raise FrameError("no time to wait, called number or class")
        left_us = min(left_ms, MAX_SETUP_MS) * 1000
        route = parse_route(frame.text(Ie.ROUTE))
        return Offer(self, call, klass, key, frame.text(Ie.DESCRIPTION), left_us, route)


class IncomingCall:
    """Receives the frames of one caller's leg."""

    def __init__(self, front: IaxFront, call: str) -> None:
        self.front = front
        self.call = call

    def frame_received(self, frame: Frame) -> None:
        if frame.is_iax(Iax.HANGUP, Iax.REJECT) and self.front.remove_leg(self.call) is not None:
            cause = frame.integer(Ie.CAUSECODE) or causes.NORMAL_CLEARING
            # Only one of the two takes effect: the first if the call stands, the second otherwise.
            self.front.inbox.post(Released(self.call, cause))
            self.front.inbox.post(Cancelled(self.call))

    def leg_lost(self) -> None:
        if self.front.remove_leg(self.call) is not None:
            log.info("iax_caller_lost", extra={"call": self.call})
            # This also ends a standing call. Released would carry a cause, which is unknown here.
            self.front.inbox.post(Cancelled(self.call))

    def may_retransmit(self) -> bool:
        return True
