"""The call ledger: tracks every call from its offer to its end and enforces the call-handling rules.

Every call gets exactly one final answer, and at most one attempt of a call is in flight at a time. In each
turn of the event loop the ledger processes the inputs gathered since the last one, passes the resulting
events one by one to the decision module (`CallAgent`) and executes the actions that it returned for them.
Events that arise meanwhile are passed on in a further round. The rules are enforced here, independently
of what the module decides and of the protocol a call uses.
"""

from __future__ import annotations

import heapq
import logging
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.causes import NORMAL_CLEARING, TEMPORARY_FAILURE
from rowanmast.core.coldshare import ColdShareMember
from rowanmast.core.ended_calls import EndedCall, EndedCalls
from rowanmast.core.ports import (
    NO_REPORT,
    Answered,
    Attempt,
    AttemptFailed,
    CallEnded,
    Cancelled,
    EndReason,
    EndUnanswered,
    Failure,
    Front,
    Input,
    Links,
    NullLink,
    Offer,
    Released,
    SwitchDown,
    SwitchLink,
)
from rowanmast.core.totals import Totals

NS_PER_US = 1000  # the ledger counts microseconds, the decision module nanoseconds
NULL_LINK = NullLink()
# Stale timers are purged when the heap exceeds twice the size that the last purge left, plus this.
STALE_TIMER_SLACK = 64
# If the output of a turn is sent later than this after the turn's start, the waits that start in the turn are
# extended by the delay. Shorter delays are covered by the release margin of the decision module (50 ms).
MAX_SEND_LAG_US = 25_000
DEFAULT_MAX_PENDING_BYTES = 24 * 1024 * 1024
PENDING_RECORD_BYTES = 4096  # of one call in all modules, without its text and number
MAX_KEPT_TEXT = 500  # characters that a standing call keeps, as copying its record without them costs more
PENDING_RETRY_AFTER_US = 1_000_000  # sent with calls that are refused because too many are pending
SHUTDOWN_RETRY_AFTER_US = 1_000_000  # sent with calls that are refused because the router shuts down
# Outcomes after which the switch may still be working on the call: the release guard time has to pass before
# the next attempt.
UNCONFIRMED_OUTCOMES = (api.Outcome.TIMED_OUT, api.Outcome.CUT, api.Outcome.CALLED_OFF)
# Outcomes that prove that the attempt never ran at the switch.
NEVER_RAN_OUTCOMES = (api.Outcome.FULL, api.Outcome.UNREACHED, api.Outcome.NOT_SENT)

Item = TypeVar("Item")
Result = TypeVar("Result")

log = logging.getLogger(__name__)


@dataclass(slots=True)
class CallRecord:
    """A call from its offer until its final answer or, if it was set up, until its end."""

    offer: Offer
    deadline: int
    current_attempt: Attempt | None = None
    attempt_count: int = 0
    next_attempt_at: int = 0  # end of the release guard time; no attempt may start before
    may_have_run: bool = False  # at a switch, in any attempt
    has_final_answer: bool = False  # set up, refused or failed
    pending_bytes: int = 0  # counted until the final answer
    standing_attempt: Attempt | None = None  # the one that set up the call, while the call stands
    standing_since: int = 0


# What has expired: the time limit of an attempt, a timer of the decision module or the deadline of a call.
Timer = Attempt | api.TimerExpired | CallRecord


class Ledger:
    """The state of all calls of one router. It does no I/O; times are microseconds of the monotonic clock."""

    def __init__(
        self,
        settings: api.Settings,
        classes: Mapping[str, int],
        agent: CallAgent,
        links: Links,
        orphan_front: Front | None = None,
        cold_share: ColdShareMember | None = None,
        max_pending_bytes: int = DEFAULT_MAX_PENDING_BYTES,
    ) -> None:
        """`max_pending_bytes` limits the memory of all calls without a final answer; see `pending_size`."""
        self.settings = settings
        self.classes = classes
        self.agent = agent
        self.links = links
        self.orphan_front = orphan_front  # notified when a call that an earlier run left standing ends
        self.cold_share = cold_share  # limits set-ups to cold switches where the process has several routers
        self.records: dict[str, CallRecord] = {}  # by call id
        self.max_pending_bytes = max_pending_bytes
        self.pending_bytes = 0  # of the calls without a final answer
        self.listed: dict[str, api.ListEntry] = {}  # by exchange
        self.timers: list[tuple[int, int, Timer]] = []  # heap of deadline, serial number and timer
        self.timers_after_purge = 0  # size of the heap after the last purge
        self.timer_serial = 0
        self.events: list[api.Event] = []  # not yet passed to the decision module
        self.expired_calls: list[CallRecord] = []  # calls whose deadline passed in this turn
        self.ended_calls: list[str] = []  # calls whose records are deleted at the end of the turn
        self.recently_ended = EndedCalls()
        self.now = 0
        self.awaiting_release: list[CallRecord] = []  # calls whose release guard time starts in this turn
        self.totals = Totals()
        self.turn_start_serial = 0  # timers with a higher serial number were added in this turn

    # The turn of the event loop

    def run_turn(self, now: int, inputs: Iterable[Input]) -> None:
        """Processes all inputs, runs the timers that have expired and executes the module's decisions."""
        self.now = now
        self.awaiting_release.clear()
        self.turn_start_serial = self.timer_serial
        for item in inputs:
            self.run_isolated(self.handle_input, item)
        self.run_expired_timers()
        self.run_decisions()
        for record in self.expired_calls:
            self.run_isolated(self.end_expired_call, record)
        self.expired_calls.clear()
        self.run_decisions()
        for call in self.ended_calls:
            self.delete_record(call)
        self.ended_calls.clear()
        self.recently_ended.forget_expired(now)
        if len(self.timers) > 2 * self.timers_after_purge + STALE_TIMER_SLACK:
            self.purge_stale_timers()

    def delete_record(self, call: str) -> None:
        """Deletes the record of an ended call; keeps the id if it was sent to a switch."""
        record = self.records.pop(call, None)
        if record is not None and record.attempt_count:
            self.recently_ended.add(call, EndedCall(self.now, record.may_have_run, record.next_attempt_at))

    def run_decisions(self) -> None:
        """Passes the pending events to the decision module; executes the actions after each round."""
        while self.events:
            batch, self.events = self.events, []
            actions: list[api.Action] = []
            for event in batch:
                actions += self.run_isolated(self.decide, event) or []
            for action in actions:
                self.run_isolated(self.execute, action)

    def output_flushed(self, now: int) -> None:
        """The output of the last turn has been sent by now; if that is late, release guard times start now.

        All timers that the module set in that turn are postponed as well, as the ledger does not know which
        of them wait for a release. A host application that holds the interpreter may delay the output by
        hundreds of milliseconds.
        """
        lag = now - self.now
        if lag > MAX_SEND_LAG_US:
            for record in self.awaiting_release:
                record.next_attempt_at += lag
            self.timers = [
                (
                    due + lag
                    if serial > self.turn_start_serial and isinstance(timer, api.TimerExpired)
                    else due,
                    serial,
                    timer,
                )
                for due, serial, timer in self.timers
            ]
            heapq.heapify(self.timers)
        self.awaiting_release.clear()

    def next_timer(self) -> int | None:
        """When the next turn is needed at the latest, or None if no timer is pending."""
        return self.timers[0][0] if self.timers else None

    def unanswered_count(self) -> int:
        """The number of calls without a final answer."""
        return sum(not record.has_final_answer for record in self.records.values())

    def may_send(self, attempt: Attempt) -> bool:
        """Whether a queued attempt, or one to be retransmitted, may still be sent.

        It may have been cancelled in the meantime, or its switch may have begun to drain.
        """
        record = self.records.get(attempt.call)
        return record is not None and record.current_attempt is attempt and self.is_up(attempt.exchange)

    def release_nonsurviving(self) -> None:
        """Ends the standing calls that can't outlive this process, towards the switch and the caller."""
        for record in list(self.records.values()):
            attempt = record.standing_attempt
            if attempt is None or self.survives_restart(record.offer.front, attempt.exchange):
                continue
            self.link(attempt.exchange).release(record.offer.call, TEMPORARY_FAILURE)
            self.cut_call(record, EndReason.ROUTER_STOPPED)

    def survives_restart(self, front: Front, exchange: str) -> bool:
        """Whether the next run at this address will learn how a call of this front ends at the exchange.

        The next run learns only of ends that the switch reports to it, as it holds no leases of calls that it
        has not set up. A draining switch may stop without a report, and the next run does not connect to a
        removed one.
        """
        return front.survives_restart and self.is_up(exchange) and self.link(exchange).survives_restart

    def standing_count(self) -> int:
        """The number of standing calls."""
        return sum(record.standing_attempt is not None for record in self.records.values())

    def handle_input(self, item: Input) -> None:
        match item:
            case Offer():
                self.on_offer(item)
            case Cancelled():
                self.on_cancelled(item.call)
            case Released():
                self.on_released(item)
            case Answered():
                self.on_answered(item)
            case AttemptFailed():
                record = self.records.get(item.call)
                attempt = record.current_attempt if record else None
                if record and attempt and (attempt.exchange, attempt.number) == (item.exchange, item.attempt):
                    self.end_attempt(record, item.outcome, item.cause, item.report)
            case CallEnded():
                self.on_call_ended(item)
            case SwitchDown():
                self.cut_calls_at(item.exchange, EndReason.SWITCH_DOWN)
            case EndUnanswered():
                self.end_unanswered()
            case api.ExchangeList():
                self.on_list(item)
            case api.LoadReported():
                self.events.append(item)

    def run_expired_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.now:
            self.run_isolated(self.on_timer, heapq.heappop(self.timers)[2])

    def on_timer(self, timer: Timer) -> None:
        match timer:
            case api.TimerExpired():
                self.events.append(timer)
            case Attempt():
                if self.is_timer_live(timer):
                    self.cancel_attempt(self.records[timer.call], api.Outcome.TIMED_OUT)
            case CallRecord():
                self.expired_calls.append(timer)

    def end_expired_call(self, record: CallRecord) -> None:
        """Fails a call past its deadline if the module has not answered it by now, as it should have."""
        call = record.offer.call
        if self.records.get(call) is record and not record.has_final_answer:
            log.error("late_answer", extra={"call": call})
            self.events.append(api.CallerHungUp(call))  # makes the module drop the call
            self.finish_unanswered(record, Failure.GIVEN_UP)

    def purge_stale_timers(self) -> None:
        """Deletes timers that are no longer needed.

        Otherwise the timer of a call that has ended would stay in the heap until the call's deadline.
        """
        self.timers = [entry for entry in self.timers if self.is_timer_live(entry[2])]
        heapq.heapify(self.timers)
        self.timers_after_purge = len(self.timers)

    def is_timer_live(self, timer: Timer) -> bool:
        match timer:
            case Attempt():
                record = self.records.get(timer.call)
                return record is not None and record.current_attempt is timer
            case CallRecord():
                return not timer.has_final_answer
            case _:
                return True

    def link(self, exchange: str) -> SwitchLink:
        return self.links.get(exchange, NULL_LINK)

    def schedule(self, due: int, timer: Timer) -> None:
        self.timer_serial += 1
        heapq.heappush(self.timers, (due, self.timer_serial, timer))

    def run_isolated(self, step: Callable[[Item], Result], item: Item) -> Result | None:
        """Runs one step; if it raises, the exception is logged and the turn continues.

        The call that the item names in its field `call` fails, unless it has its final answer. A CallRecord
        has no such field, so no call fails for it and the log line names none.
        """
        try:
            return step(item)
        except Exception:
            call = getattr(item, "call", "")
            log.exception("call_fault", extra={"what": type(item).__name__, "call": call})
            record = self.records.get(call)
            if record is not None and not record.has_final_answer:
                self.events.append(api.CallerHungUp(call))  # makes the module drop the call
                self.finish_unanswered(record, Failure.FAULT)
            return None

    def end_unanswered(self) -> None:
        """Refuses every unanswered call, or fails it if the caller could do harm by trying again."""
        for record in list(self.records.values()):
            if record.has_final_answer:
                continue
            call_class = self.settings.classes[self.classes[record.offer.klass]]
            may_retry = call_class.idempotency is api.Idempotency.SAFE or record.attempt_count == 0
            self.events.append(api.CallerHungUp(record.offer.call))  # makes the module drop the call
            self.finish_unanswered(record, SHUTDOWN_RETRY_AFTER_US if may_retry else Failure.GIVEN_UP)

    # Inputs from fronts

    def on_offer(self, offer: Offer) -> None:
        klass = self.classes.get(offer.klass)
        if klass is None or offer.call in self.records:
            log.warning("unfit_call", extra={"call": offer.call, "class": offer.klass})
            offer.front.fail(offer.call, Failure.UNFIT)
            return
        former = self.recently_ended.get(offer.call)
        # A router passes on further attempts of a call in transit with the same id.
        if former is not None and former.may_have_run and not offer.route.transit:
            log.warning("repeated_call", extra={"call": offer.call})
            offer.front.fail(offer.call, Failure.UNFIT)
            return
        self.totals.add("offered")
        pending_bytes = pending_size(offer)
        if self.pending_bytes + pending_bytes > self.max_pending_bytes:
            log.warning("pending_limit", extra={"call": offer.call, "calls": len(self.records)})
            self.totals.add("refused")
            offer.front.refuse(offer.call, PENDING_RETRY_AFTER_US)
            return
        self.pending_bytes += pending_bytes
        record = self.records[offer.call] = CallRecord(
            offer, self.now + offer.remaining_us, pending_bytes=pending_bytes
        )
        if former is not None:
            record.next_attempt_at, record.may_have_run = former.next_attempt_at, former.may_have_run
        self.schedule(record.deadline, record)
        self.events.append(
            api.Call(
                call=offer.call,
                klass=klass,
                key=offer.key,
                tenant=None,
                remaining_ns=offer.remaining_us * NS_PER_US,
                dest=offer.route.dest,
                width=offer.route.width,
                advised=offer.route.via,
                redialled=offer.route.redialled,
                transit=offer.route.transit,
                again=offer.route.again,
            )
        )

    def on_cancelled(self, call: str) -> None:
        record = self.records.get(call)
        if record is None:
            return
        # The call stands if the cancellation crossed the answer, or if a caller was lost during the call.
        if record.standing_attempt is not None:
            self.link(record.standing_attempt.exchange).release(call, NORMAL_CLEARING)
            ending = EndReason.CALLER_CANCELLED
            self.end_call(record, api.Outcome.CALLED_OFF, NO_REPORT, NORMAL_CLEARING, ending)
        elif not record.has_final_answer:
            self.events.append(api.CallerHungUp(call))
            self.finish_unanswered(record, Failure.CANCELLED)

    def on_released(self, item: Released) -> None:
        record = self.records.get(item.call)
        if record is not None and record.standing_attempt is not None:
            self.link(record.standing_attempt.exchange).release(item.call, item.cause)
            self.end_call(record, api.Outcome.CALLED_OFF, NO_REPORT, None, EndReason.CALLER_RELEASED)

    # Inputs from switches

    def on_answered(self, item: Answered) -> None:
        record = self.records.get(item.call)
        attempt = record.current_attempt if record else None
        if (
            record is None
            or attempt is None
            or (attempt.exchange, attempt.number) != (item.exchange, item.attempt)
        ):
            standing = record.standing_attempt if record else None
            if standing is None or standing.exchange != item.exchange:  # the answer crossed a cancellation
                self.link(item.exchange).release(item.call, NORMAL_CLEARING)
            return
        if self.now >= record.deadline:  # the call already stands at the switch and has to be released there
            self.link(item.exchange).release(item.call, NORMAL_CLEARING)
            self.end_attempt(record, api.Outcome.TIMED_OUT, None, NO_REPORT)
            return
        record.current_attempt, record.standing_since = None, self.now
        record.standing_attempt = attempt
        if len(attempt.text) > MAX_KEPT_TEXT:  # a standing call needs its text no more
            record.standing_attempt = replace(attempt, text="")
            record.offer = replace(record.offer, text="")
        record.may_have_run = True
        delay_ns = (self.now - attempt.sent_at) * NS_PER_US
        self.events.append(api.CallAnswered(item.call, attempt.number, attempt.exchange, delay_ns))
        self.give_final_answer(record, item.text)

    def on_call_ended(self, item: CallEnded) -> None:
        record = self.records.get(item.call)
        if record is None:
            self.release_orphan(item)
        elif record.standing_attempt is not None and record.standing_attempt.exchange == item.exchange:
            if item.why is not EndReason.SWITCH_RELEASED:
                self.cut_call(record, item.why)
                return
            completed = item.outcome is api.Outcome.DONE
            cause = NORMAL_CLEARING if completed else TEMPORARY_FAILURE
            self.end_call(record, item.outcome, item.report, cause, item.why)

    def release_orphan(self, item: CallEnded) -> None:
        """Notifies the caller of a call that an earlier run left standing: its switch has released it.

        A switch may repeat a release on its next connection; the caller is notified once.
        """
        if (
            self.orphan_front is None
            or self.recently_ended.get(item.call) is not None
            or item.why is not EndReason.SWITCH_RELEASED
        ):
            return
        if not self.recently_ended.admit_orphan(self.now, item.call):
            self.totals.add("orphans_ignored")
            return
        completed = item.outcome is api.Outcome.DONE
        self.orphan_front.release(item.call, NORMAL_CLEARING if completed else TEMPORARY_FAILURE)

    def on_list(self, item: api.ExchangeList) -> None:
        """Applies a full list or changes to it. The change log reader posts no list of kind FAILED.

        Such a list would empty `listed` and cut all attempts.
        """
        self.events.append(item)
        before = self.listed
        self.listed = dict(before) if item.kind is api.ListKind.CHANGES else {}
        self.listed.update((entry.exchange, entry) for entry in item.entries)
        self.listed = {
            exchange: entry
            for exchange, entry in self.listed.items()
            if entry.state is not api.ExchangeState.GONE
        }
        for exchange in before.keys() - self.listed.keys():
            self.cancel_attempts_at(exchange)

    def cancel_attempts_at(self, exchange: str) -> None:
        """Cancels all attempts at a removed switch. Calls that stand there end when its link reports so."""
        for record in list(self.records.values()):
            if record.current_attempt is not None and record.current_attempt.exchange == exchange:
                self.cancel_attempt(record, api.Outcome.CUT)

    def cut_calls_at(self, exchange: str, why: EndReason) -> None:
        """Ends all calls and attempts at a switch whose process is dead."""
        for record in list(self.records.values()):
            if record.standing_attempt is not None and record.standing_attempt.exchange == exchange:
                self.cut_call(record, why)
            elif record.current_attempt is not None and record.current_attempt.exchange == exchange:
                self.cancel_attempt(record, api.Outcome.CUT)

    def is_up(self, exchange: str) -> bool:
        entry = self.listed.get(exchange)
        return entry is not None and entry.state is api.ExchangeState.UP

    # Ends of attempts, final answers and ends of standing calls

    def cancel_attempt(self, record: CallRecord, outcome: api.Outcome) -> None:
        """Ends the current attempt: cancels it at the switch and reports the outcome to the module."""
        assert record.current_attempt is not None
        self.link(record.current_attempt.exchange).cancel(record.offer.call)
        self.end_attempt(record, outcome, None, NO_REPORT)

    def end_attempt(
        self, record: CallRecord, outcome: api.Outcome, cause: api.Cause | None, report: api.LoadReport
    ) -> None:
        attempt, record.current_attempt = record.current_attempt, None
        assert attempt is not None
        if outcome not in NEVER_RAN_OUTCOMES:
            record.may_have_run = True
        if outcome in UNCONFIRMED_OUTCOMES:
            record.next_attempt_at = self.now + self.settings.release_guard_ns // NS_PER_US
            self.awaiting_release.append(record)
        self.report_attempt_ended(attempt, outcome, cause, report, record.has_final_answer)

    def report_attempt_ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        cause: api.Cause | None,
        report: api.LoadReport,
        final: bool,
    ) -> None:
        self.totals.add(f"attempt_{outcome.name.lower()}")
        self.events.append(
            api.AttemptEnded(
                call=attempt.call,
                attempt=attempt.number,
                exchange=attempt.exchange,
                outcome=outcome,
                cause=cause,
                retry_after_ns=None,
                final=final,
                delay_ns=(self.now - attempt.sent_at) * NS_PER_US,
                report=report,
            )
        )

    def give_final_answer(self, record: CallRecord, answer: str | int | Failure) -> None:
        """Gives the final answer, once: the switch's text, a retry-after in microseconds, or a failure."""
        if record.has_final_answer:
            return
        record.has_final_answer = True
        self.pending_bytes -= record.pending_bytes
        call, front = record.offer.call, record.offer.front
        match answer:
            case str():
                self.totals.add("answered")
                front.answer(call, answer)
                return
            case int():
                self.totals.add("refused")
                front.refuse(call, answer)
            case Failure():
                self.totals.add(f"failed_{answer.name.lower()}")
                front.fail(call, answer)
        self.ended_calls.append(call)

    def cut_call(self, record: CallRecord, why: EndReason) -> None:
        """Ends a standing call that neither its caller nor its switch has released."""
        assert record.standing_attempt is not None
        stood_ms = (self.now - record.standing_since) // 1000
        details = {
            "call": record.offer.call,
            "exchange": record.standing_attempt.exchange,
            "stood_ms": stood_ms,
        }
        log.info("call_cut", extra={**details, "why": why.value})
        self.end_call(record, api.Outcome.CUT, NO_REPORT, TEMPORARY_FAILURE, why)

    def end_call(
        self,
        record: CallRecord,
        outcome: api.Outcome,
        report: api.LoadReport,
        release_cause: int | None,
        why: EndReason,
    ) -> None:
        """Ends a standing call; the caller gets a release unless `release_cause` is None."""
        attempt, record.standing_attempt = record.standing_attempt, None
        assert attempt is not None
        self.totals.add(f"ended_{why.value}")
        self.ended_calls.append(record.offer.call)
        if release_cause is not None:
            record.offer.front.release(record.offer.call, release_cause)
        self.report_attempt_ended(attempt, outcome, None, report, True)

    # The decision module

    def decide(self, event: api.Event) -> list[api.Action]:
        return self.agent.handle(self.now * NS_PER_US, event)

    def execute(self, action: api.Action) -> None:
        match action:
            case api.SetUp():
                self.start_attempt(action)
            case api.RefuseCall():
                if action.call in self.records:
                    self.finish_unanswered(self.records[action.call], action.retry_after_ns // NS_PER_US)
            case api.FailCall():
                if action.call in self.records:
                    self.finish_unanswered(self.records[action.call], Failure.GIVEN_UP)
            case api.CancelAttempt():
                record = self.records.get(action.call)
                if (
                    record is not None
                    and record.current_attempt is not None
                    and record.current_attempt.number == action.attempt
                ):
                    self.cancel_attempt(record, api.Outcome.CALLED_OFF)
            case api.SetTimer():
                self.schedule(self.now + action.in_ns // NS_PER_US, api.TimerExpired(action.token))
            case api.Probe():
                if self.is_up(action.exchange):
                    self.link(action.exchange).probe()
            case api.LogMessage():
                log.info("module_note", extra={"text": action.text})
            case api.Subscribe() | api.RequestList():
                pass  # the router follows the change log anyway

    def finish_unanswered(self, record: CallRecord, answer: int | Failure) -> None:
        """Refuses or fails a call unless it has its final answer, and cancels its current attempt."""
        self.give_final_answer(record, answer)
        if record.current_attempt is not None:
            self.cancel_attempt(record, api.Outcome.CALLED_OFF)

    def start_attempt(self, action: api.SetUp) -> None:
        record = self.records.get(action.call)
        if record is None:
            return
        offer = record.offer
        deadline = min(self.now + max(action.timeout_ns // NS_PER_US, 0), record.deadline)
        attempt = Attempt(
            offer.call,
            record.attempt_count,
            action.exchange,
            offer.klass,
            offer.key,
            offer.text,
            self.now,
            deadline,
        )
        record.attempt_count += 1
        rule = self.violated_rule(record, attempt)
        if rule is not None:
            if not record.has_final_answer:  # expected if the caller hung up in the same turn
                log.warning("set_up_held_back", extra={"call": offer.call, "why": rule})
            self.report_attempt_ended(attempt, api.Outcome.NOT_SENT, None, NO_REPORT, record.has_final_answer)
            return
        if not self.try_acquire_cold_share(action.exchange):
            cause = api.Cause.NO_CIRCUIT  # the module may then try another route
            self.report_attempt_ended(
                attempt, api.Outcome.NOT_SENT, cause, NO_REPORT, record.has_final_answer
            )
            return
        record.current_attempt = attempt
        self.schedule(deadline, attempt)
        self.link(action.exchange).set_up(attempt)

    def violated_rule(self, record: CallRecord, attempt: Attempt) -> str | None:
        """The rule that forbids this attempt, by the name used in the log; None if it may start."""
        if record.has_final_answer:
            return "answered"
        if record.current_attempt is not None:
            return "attempt_out"
        if self.now < record.next_attempt_at:
            return "release_awaited"
        if attempt.number >= self.settings.max_attempts:
            return "attempts_used"
        if not self.is_up(attempt.exchange) or attempt.exchange not in self.links:
            return "not_up"
        number = self.listed[attempt.exchange].number
        if number == self.settings.own_exchange:
            return "own_exchange"
        if record.offer.route.transit and number != record.offer.route.dest:
            return "transit_elsewhere"
        return None

    def try_acquire_cold_share(self, exchange: str) -> bool:
        """Whether the routers of this process may together send this set-up; if so, it is counted.

        Only set-ups to cold switches are limited. The rate to one switch is the combined rate divided by
        the number of other exchanges: the listed ones without the router's own.
        """
        if self.cold_share is None:
            return True
        return self.cold_share.try_acquire(self.now, self.listed[exchange], len(self.listed) - 1)


def pending_size(offer: Offer) -> int:
    """The memory that a call takes until its final answer, in bytes."""
    return PENDING_RECORD_BYTES + sys.getsizeof(offer.text) + sys.getsizeof(offer.key) + offer.front_bytes


def with_release_margin(settings: api.Settings, margin_us: int) -> api.Settings:
    """The settings for the decision module, with a longer release guard time than the ledger enforces.

    The guard time must count from when the output was sent, but the module counts from the start of the turn.
    """
    return replace(settings, release_guard_ns=settings.release_guard_ns + margin_us * NS_PER_US)
