"""Links to switches that speak IAX2; implements the core's `SwitchLink` protocol."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from rowanmast import causes
from rowanmast import interface as api
from rowanmast.core.ports import Answered, Attempt, AttemptFailed, CallEnded, EndReason, Inbox, SendGate
from rowanmast.iax2.endpoint import Address, IaxEndpoint, Leg
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
from rowanmast.settings import parse_load_report

PROBE_TIMEOUT_S = 1.0

log = logging.getLogger(__name__)


class IaxSwitchLink:
    """The outgoing calls to one switch, each on a leg of the shared UDP endpoint."""

    survives_restart = False

    def __init__(
        self,
        exchange: str,
        address: Address,
        iax_address: Address,
        inbox: Inbox,
        gate: SendGate,
        endpoint: IaxEndpoint,
    ) -> None:
        self.exchange = exchange
        self.address = address  # from the change log; a different one means a different machine
        self.iax_address = iax_address
        self.inbox = inbox
        self.gate = gate
        self.endpoint = endpoint
        self.calls: dict[str, OutgoingCall] = {}
        # Set once discovery has removed the switch; called when no call is left.
        self.on_removal_done: Callable[[], None] | None = None

    # SwitchLink

    def set_up(self, attempt: Attempt) -> None:
        left_ms = max((attempt.deadline - self.endpoint.clock()) // 1000, 1)
        elements = (
            (int(Ie.VERSION), PROTOCOL_VERSION.to_bytes(2)),
            *text_elements(Ie.CALLED_NUMBER, attempt.key),
            *text_elements(Ie.CALLED_CONTEXT, attempt.klass),
            (int(Ie.SETUP_MS), left_ms.to_bytes(4)),
            *text_elements(Ie.DESCRIPTION, attempt.text),
        )
        if not fits_in_frame(elements):
            log.warning("too_long_for_iax", extra={"call": attempt.call})
            self.inbox.post(AttemptFailed(self.exchange, attempt.call, attempt.number, api.Outcome.NOT_SENT))
            return
        outgoing = self.calls[attempt.call] = OutgoingCall(self, attempt)
        outgoing.leg.send(FrameType.IAX, Iax.NEW, elements)

    def cancel(self, call: str) -> None:
        self.release(call, causes.NORMAL_CLEARING)

    def release(self, call: str, cause: int) -> None:
        outgoing = self.calls.pop(call, None)
        if outgoing is not None:
            outgoing.leg.end(Iax.HANGUP, cause_elements(cause, "released"))
            self.finish_removal()

    def probe(self) -> None:
        sent = self.endpoint.clock()
        loop = asyncio.get_running_loop()

        def answered() -> None:
            timeout.cancel()
            delay = (self.endpoint.clock() - sent) * 1000
            self.inbox.post(api.LoadReported(self.exchange, True, delay, api.LoadReport()))

        def silent() -> None:
            self.endpoint.pending_pokes.pop(number, None)
            self.inbox.post(
                api.LoadReported(self.exchange, False, int(PROBE_TIMEOUT_S * 1e9), api.LoadReport())
            )

        number = self.endpoint.poke(self.iax_address, answered)
        timeout = loop.call_later(PROBE_TIMEOUT_S, silent)

    def verify_alive(self) -> None:
        """Does nothing: each call's session sends its own PINGs."""

    def remove(self, on_removal_done: Callable[[], None]) -> None:
        """Discovery has removed the switch. Standing calls remain until they end."""
        self.on_removal_done = on_removal_done
        self.finish_removal()

    def finish_removal(self) -> None:
        """Calls `on_removal_done` if the switch has been removed and no call is left."""
        if self.on_removal_done is not None and not self.calls:
            removed, self.on_removal_done = self.on_removal_done, None
            removed()

    def restore(self) -> None:
        """Discovery lists the switch again before the removal was done."""
        self.on_removal_done = None

    def abandon(self) -> None:
        """The switch has moved to another machine: reports standing calls as ended and hangs up all calls."""
        for call, outgoing in list(self.calls.items()):
            if outgoing.stands:
                ended = CallEnded(self.exchange, call, api.Outcome.CUT, why=EndReason.SWITCH_REMOVED)
                self.inbox.post(ended)
        self.close()

    def close(self) -> None:
        for call in list(self.calls):
            self.release(call, causes.TEMPORARY_FAILURE)


class OutgoingCall:
    """One call to the switch; receives the frames of its leg."""

    def __init__(self, link: IaxSwitchLink, attempt: Attempt) -> None:
        self.link = link
        self.attempt = attempt
        self.answer_text = ""
        self.stands = False
        self.leg: Leg = link.endpoint.open_leg(link.iax_address, self)

    def frame_received(self, frame: Frame) -> None:
        if self.link.calls.get(self.attempt.call) is not self:
            return  # already cancelled or released: this frame crossed the HANGUP
        try:
            self.handle_frame(frame)
        except FrameError as error:
            log.warning("bad_frame", extra={"exchange": self.link.exchange, "why": error})
            self.leg.end(Iax.HANGUP, cause_elements(causes.INTERWORKING, str(error)))
            self.finish(causes.TEMPORARY_FAILURE, None, api.LoadReport())

    def handle_frame(self, frame: Frame) -> None:
        if frame.is_iax(Iax.ACCEPT):
            self.answer_text = frame.text(Ie.DESCRIPTION)
        elif frame.kind == FrameType.CONTROL and frame.subclass == Control.ANSWER and not self.stands:
            self.stands = True
            attempt = self.attempt
            self.link.inbox.post(Answered(self.link.exchange, attempt.call, attempt.number, self.answer_text))
        elif frame.is_iax(Iax.HANGUP, Iax.REJECT):
            code = frame.integer(Ie.CAUSECODE) or causes.NORMAL_CLEARING
            note = causes.CAUSE_BY_NOTE.get(frame.text(Ie.CAUSE))
            self.finish(code, note, parse_load_report(frame.text(Ie.LOAD)))

    def leg_lost(self) -> None:
        if self.link.calls.get(self.attempt.call) is self:
            log.info("iax_switch_lost", extra={"exchange": self.link.exchange, "call": self.attempt.call})
            self.finish(causes.TEMPORARY_FAILURE, None, api.LoadReport())

    def may_retransmit(self) -> bool:
        return self.link.gate.may_send(self.attempt)

    def finish(self, code: int, cause: api.Cause | None, report: api.LoadReport) -> None:
        attempt, exchange = self.attempt, self.link.exchange
        del self.link.calls[attempt.call]
        self.link.finish_removal()
        if self.stands:
            self.link.inbox.post(CallEnded(exchange, attempt.call, causes.outcome_after_answer(code), report))
            return
        outcome = causes.outcome_before_answer(code)
        self.link.inbox.post(AttemptFailed(exchange, attempt.call, attempt.number, outcome, cause, report))
