"""The call ledger: owes every call one final answer, and lets only one attempt of a call out at once.

Each turn it takes the inputs gathered, tells the decision module in one go, and carries out what comes
back. The rules are guarded here, whatever the module says and whatever wire a call uses.
"""

from __future__ import annotations

import heapq
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from rowanmast import interface as api
from rowanmast.call_agent import CallAgent
from rowanmast.causes import NORMAL_CLEARING, TEMPORARY_FAILURE
from rowanmast.core.coldshare import ColdShareMember
from rowanmast.core.ports import (
    NO_REPORT,
    Answered,
    Attempt,
    AttemptEnded,
    CallEnded,
    Cancelled,
    Ending,
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

NS_PER_US = 1000  # nanoseconds in a microsecond: the module counts in them
NULL_LINK = NullLink()
STALE_TIMER_SLACK = 64  # entries of the timer heap that may be stale before it is cleared of them
ENDED_CALL_RETENTION_US = 10_000_000  # a switch's release may cross ours, or come twice, within this time
MAX_SEND_LAG_US = (
    25_000  # a turn that took longer to let its bytes leave moves the waits that begin with them: the
)
# module's margin (50 ms) bears what is shorter
SHUTDOWN_RETRY_AFTER_US = 1_000_000  # the retry-after of calls that are refused because the router ends
UNCONFIRMED_OUTCOMES = (api.Outcome.TIMED_OUT, api.Outcome.CUT, api.Outcome.CALLED_OFF)

Item = TypeVar("Item")
Result = TypeVar("Result")

log = logging.getLogger(__name__)


@dataclass(slots=True)
class CallRecord:
    """One call, from its offer until it is answered and, if it stood, over."""

    offer: Offer
    deadline: int
    current_attempt: Attempt | None = None
    attempt_count: int = 0
    next_attempt_at: int = 0  # the release of the last attempt must be awaited
    answered: bool = False
    standing_attempt: Attempt | None = None
    standing_since: int = 0


Timer = Attempt | api.TimerExpired | CallRecord


class Ledger:
    def __init__(
        self,
        settings: api.Settings,
        classes: Mapping[str, int],
        agent: CallAgent,
        links: Links,
        orphan_front: Front | None = None,
        cold_share: ColdShareMember | None = None,
    ) -> None:
        self.settings = settings
        self.classes = classes
        self.agent = agent
        self.links = links
        self.orphan_front = orphan_front  # hears the end of calls that an earlier run left standing
        self.cold_share = cold_share  # of cold switches, where this process has further routers
        self.records: dict[str, CallRecord] = {}
        self.listed: dict[str, api.ListEntry] = {}
        self.timers: list[tuple[int, int, Timer]] = []
        self.timers_after_purge = 0  # that were left when it was last cleared of stale ones
        self.timer_serial = 0
        self.events: list[api.Event] = []  # for the module
        self.expired_calls: list[CallRecord] = []  # calls past their deadline
        self.ended_calls: list[str] = []  # calls to be forgotten when the turn ends
        self.recently_ended: OrderedDict[str, int] = OrderedDict()  # calls that are over: since when
        self.now = 0
        self.awaiting_release: list[CallRecord] = []  # whose release is awaited from this turn on
        self.totals = Totals()
        self.turn_start_serial = 0  # of the first entry of the timer heap made in this turn

    # The turn

    def turn(self, now: int, inputs: Iterable[Input]) -> None:
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
            self.records.pop(call, None)
            self.recently_ended[call] = now
        self.ended_calls.clear()
        while (
            self.recently_ended and now - next(iter(self.recently_ended.values())) > ENDED_CALL_RETENTION_US
        ):
            self.recently_ended.popitem(last=False)
        if len(self.timers) > 2 * self.timers_after_purge + STALE_TIMER_SLACK:
            self.purge_stale_timers()

    def run_decisions(self) -> None:
        """Hands the module what has happened, in one go, and carries out what it says."""
        while self.events:
            batch, self.events = self.events, []
            actions: list[api.Action] = []
            for event in batch:
                actions += self.run_isolated(self.decide, event) or []
            for action in actions:
                self.run_isolated(self.execute, action)

    def output_flushed(self, now: int) -> None:
        """The bytes of the last turn have left by now: waits for a release count from when they did.

        Where a host holds the interpreter, a turn may stop anywhere for hundreds of milliseconds.
        """
        lag = now - self.now
        if lag > MAX_SEND_LAG_US:
            for record in self.awaiting_release:
                record.next_attempt_at += lag
            self.timers = [
                (
                    due + lag if at > self.turn_start_serial and isinstance(item, api.TimerExpired) else due,
                    at,
                    item,
                )
                for due, at, item in self.timers
            ]
            heapq.heapify(self.timers)
        self.awaiting_release.clear()

    def next_timer(self) -> int | None:
        return self.timers[0][0] if self.timers else None

    def unanswered_count(self) -> int:
        """How many calls still wait for their final answer."""
        return sum(not record.answered for record in self.records.values())

    def may_send(self, attempt: Attempt) -> bool:
        """Asked again when the bytes leave: it may have been called off, or the switch drains by now."""
        record = self.records.get(attempt.call)
        return record is not None and record.current_attempt is attempt and self.is_up(attempt.exchange)

    def release_nonsurviving(self) -> None:
        """Ends the calls that can't stand without us, on both sides."""
        for record in list(self.records.values()):
            if record.standing_attempt is None:
                continue
            link = self.link(record.standing_attempt.exchange)
            if not (link.survives_restart and record.offer.front.survives_restart):
                link.release(record.offer.call, TEMPORARY_FAILURE)
                self.cut_call(record, Ending.ROUTER_STOPPED)

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
            case AttemptEnded():
                record = self.records.get(item.call)
                out = record.current_attempt if record else None
                if record and out and (out.exchange, out.number) == (item.exchange, item.attempt):
                    self.end_attempt(record, item.outcome, item.cause, item.report)
            case CallEnded():
                self.on_call_over(item)
            case SwitchDown():
                self.cut_calls_at(item.exchange, Ending.SWITCH_DOWN)
            case EndUnanswered():
                self.end_unanswered()
            case api.ExchangeList():
                self.on_list(item)
            case api.LoadReported():
                self.events.append(item)

    def run_expired_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.now:
            self.run_isolated(self.on_timer, heapq.heappop(self.timers)[2])

    def on_timer(self, due: Timer) -> None:
        match due:
            case api.TimerExpired():
                self.events.append(due)
            case Attempt():
                if self.is_timer_live(due):
                    self.cancel_attempt(self.records[due.call], api.Outcome.TIMED_OUT)
            case CallRecord():
                self.expired_calls.append(due)

    def end_expired_call(self, record: CallRecord) -> None:
        """The net under the module, which ends its calls itself, be it in this same turn."""
        call = record.offer.call
        if self.records.get(call) is record and not record.answered:
            log.error("late_answer", extra={"call": call})
            self.events.append(api.CallerHungUp(call))
            self.finish_unanswered(record, Failure.GIVEN_UP)

    def purge_stale_timers(self) -> None:
        """Drops what nobody waits for any more: a caller may name an hour and be refused at once."""
        self.timers = [entry for entry in self.timers if self.is_timer_live(entry[2])]
        heapq.heapify(self.timers)
        self.timers_after_purge = len(self.timers)

    def is_timer_live(self, due: Timer) -> bool:
        match due:
            case Attempt():
                record = self.records.get(due.call)
                return record is not None and record.current_attempt is due
            case CallRecord():
                return not due.answered
            case _:
                return True

    def link(self, exchange: str) -> SwitchLink:
        return self.links.get(exchange, NULL_LINK)

    def schedule(self, due: int, item: Timer) -> None:
        self.timer_serial += 1
        heapq.heappush(self.timers, (due, self.timer_serial, item))

    def run_isolated(self, step: Callable[[Item], Result], item: Item) -> Result | None:
        """Keeps an exception to the one call that it arose in: that one fails, and the rest goes on."""
        try:
            return step(item)
        except Exception:
            call = getattr(item, "call", "")
            log.exception("call_fault", extra={"what": type(item).__name__, "call": call})
            record = self.records.get(call)
            if record is not None and not record.answered:
                self.events.append(api.CallerHungUp(call))
                self.finish_unanswered(record, Failure.FAULT)
            return None

    def end_unanswered(self) -> None:
        """Refuses every call that has no answer, or fails it if trying again could do harm."""
        for record in list(self.records.values()):
            if record.answered:
                continue
            kind = self.settings.classes[self.classes[record.offer.klass]]
            is_harmless = kind.idempotency is api.Idempotency.SAFE or record.attempt_count == 0
            self.events.append(api.CallerHungUp(record.offer.call))
            self.finish_unanswered(record, SHUTDOWN_RETRY_AFTER_US if is_harmless else Failure.GIVEN_UP)

    # What fronts say

    def on_offer(self, offer: Offer) -> None:
        klass = self.classes.get(offer.klass)
        if klass is None or offer.call in self.records:
            log.warning("unfit_call", extra={"call": offer.call, "class": offer.klass})
            offer.front.fail(offer.call, Failure.UNFIT)
            return
        self.totals.add("offered")
        record = self.records[offer.call] = CallRecord(offer, self.now + offer.remaining_us)
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
        if (
            record.standing_attempt is not None
        ):  # our answer crossed it, so the caller is told that the call is over
            self.link(record.standing_attempt.exchange).release(call, NORMAL_CLEARING)
            ending = Ending.CALLER_CANCELLED
            self.end_call(record, api.Outcome.CALLED_OFF, NO_REPORT, NORMAL_CLEARING, ending)
        elif not record.answered:
            self.events.append(api.CallerHungUp(call))
            self.finish_unanswered(record, Failure.CANCELLED)

    def on_released(self, item: Released) -> None:
        record = self.records.get(item.call)
        if record is not None and record.standing_attempt is not None:
            self.link(record.standing_attempt.exchange).release(item.call, item.cause)
            self.end_call(record, api.Outcome.CALLED_OFF, NO_REPORT, None, Ending.CALLER_RELEASED)

    # What switches say

    def on_answered(self, item: Answered) -> None:
        record = self.records.get(item.call)
        out = record.current_attempt if record else None
        if record is None or out is None or (out.exchange, out.number) != (item.exchange, item.attempt):
            standing = record.standing_attempt if record else None
            if standing is None or standing.exchange != item.exchange:  # it crossed our giving up
                self.link(item.exchange).release(item.call, NORMAL_CLEARING)
            return
        if self.now >= record.deadline:  # to the switch the call stands already, so it is released there
            self.link(item.exchange).release(item.call, NORMAL_CLEARING)
            self.end_attempt(record, api.Outcome.TIMED_OUT, None, NO_REPORT)
            return
        record.current_attempt, record.standing_attempt, record.standing_since = None, out, self.now
        delay = (self.now - out.sent_at) * NS_PER_US
        self.events.append(api.CallAnswered(item.call, out.number, out.exchange, delay))
        self.answer_call(record, item.text)

    def on_call_over(self, item: CallEnded) -> None:
        record = self.records.get(item.call)
        if record is None:
            self.release_orphan(item)
        elif record.standing_attempt is not None and record.standing_attempt.exchange == item.exchange:
            if item.why is not Ending.SWITCH_RELEASED:
                self.cut_call(record, item.why)
                return
            done = item.outcome is api.Outcome.DONE
            cause = NORMAL_CLEARING if done else TEMPORARY_FAILURE
            self.end_call(record, item.outcome, item.report, cause, item.why)

    def release_orphan(self, item: CallEnded) -> None:
        """A call that an earlier run left standing is over by its switch's word."""
        if (
            self.orphan_front is None
            or item.call in self.recently_ended
            or item.why is not Ending.SWITCH_RELEASED
        ):
            return
        done = item.outcome is api.Outcome.DONE
        self.orphan_front.release(item.call, NORMAL_CLEARING if done else TEMPORARY_FAILURE)

    def on_list(self, item: api.ExchangeList) -> None:
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
        """Calls off every set-up at a removed switch; its link tells of the calls that stand there."""
        for record in list(self.records.values()):
            if record.current_attempt is not None and record.current_attempt.exchange == exchange:
                self.cancel_attempt(record, api.Outcome.CUT)

    def cut_calls_at(self, exchange: str, why: Ending) -> None:
        """A switch's process is dead, and what stood or was being set up there with it."""
        for record in list(self.records.values()):
            if record.standing_attempt is not None and record.standing_attempt.exchange == exchange:
                self.cut_call(record, why)
            elif record.current_attempt is not None and record.current_attempt.exchange == exchange:
                self.cancel_attempt(record, api.Outcome.CUT)

    def is_up(self, exchange: str) -> bool:
        entry = self.listed.get(exchange)
        return entry is not None and entry.state is api.ExchangeState.UP

    # The places where an attempt ends, a final answer is given, and a call that stood is over

    def cancel_attempt(self, record: CallRecord, outcome: api.Outcome) -> None:
        """Ends the attempt from our side: the switch is told, and then the module."""
        assert record.current_attempt is not None
        self.link(record.current_attempt.exchange).cancel(record.offer.call)
        self.end_attempt(record, outcome, None, NO_REPORT)

    def end_attempt(
        self, record: CallRecord, outcome: api.Outcome, cause: api.Cause | None, report: api.LoadReport
    ) -> None:
        out, record.current_attempt = record.current_attempt, None
        assert out is not None
        if outcome in UNCONFIRMED_OUTCOMES:
            record.next_attempt_at = self.now + self.settings.release_guard_ns // NS_PER_US
            self.awaiting_release.append(record)
        self.report_attempt_ended(out, outcome, cause, report, record.answered)

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

    def answer_call(self, record: CallRecord, answer: str | int | Failure) -> None:
        """The one final answer: a description, a time to stay away, or why the call failed."""
        if record.answered:
            return
        record.answered = True
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

    def cut_call(self, record: CallRecord, why: Ending) -> None:
        """Ends a call that stood, but not by the word of its caller or of its switch."""
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
        tell_caller: int | None,
        why: Ending,
    ) -> None:
        stood, record.standing_attempt = record.standing_attempt, None
        assert stood is not None
        self.totals.add(f"ended_{why.value}")
        self.ended_calls.append(record.offer.call)
        if tell_caller is not None:
            record.offer.front.release(record.offer.call, tell_caller)
        self.report_attempt_ended(stood, outcome, None, report, True)

    # The module

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
                pass  # the change log is followed unasked

    def finish_unanswered(self, record: CallRecord, answer: int | Failure) -> None:
        """Answers a call that does not stand, and takes back what is still out for it."""
        self.answer_call(record, answer)
        if record.current_attempt is not None:
            self.cancel_attempt(record, api.Outcome.CALLED_OFF)

    def start_attempt(self, action: api.SetUp) -> None:
        record = self.records.get(action.call)
        if record is None:
            return
        offer = record.offer
        due = min(self.now + max(action.timeout_ns // NS_PER_US, 0), record.deadline)
        attempt = Attempt(
            offer.call,
            record.attempt_count,
            action.exchange,
            offer.klass,
            offer.key,
            offer.text,
            self.now,
            due,
        )
        record.attempt_count += 1
        broken = self.violated_rule(record, attempt)
        if broken is not None:
            if not record.answered:  # after a hang-up in the same turn it is no fault
                log.warning("set_up_held_back", extra={"call": offer.call, "why": broken})
            self.report_attempt_ended(attempt, api.Outcome.NOT_SENT, None, NO_REPORT, record.answered)
            return
        if not self.within_cold_share(action.exchange):  # as with no circuit: another way may have room
            cause = api.Cause.NO_CIRCUIT
            self.report_attempt_ended(attempt, api.Outcome.NOT_SENT, cause, NO_REPORT, record.answered)
            return
        record.current_attempt = attempt
        self.schedule(due, attempt)
        self.link(action.exchange).set_up(attempt)

    def violated_rule(self, record: CallRecord, attempt: Attempt) -> str | None:
        """The rule that this set-up would break."""
        if record.answered:
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

    def within_cold_share(self, exchange: str) -> bool:
        """Whether the routers of this process together may send the switch one more set-up."""
        if self.cold_share is None:
            return True
        return self.cold_share.try_acquire(self.now, self.listed[exchange], len(self.listed) - 1)


def with_release_margin(settings: api.Settings, margin_us: int) -> api.Settings:
    """The settings for the module of a real router: it awaits a release a little longer than the rule says.

    The module counts from the start of the turn, the rule from when the last byte left.
    """
    return replace(settings, release_guard_ns=settings.release_guard_ns + margin_us * NS_PER_US)
