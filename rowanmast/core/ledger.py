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
from rowanmast.causes import NORMAL_CLEARING, TEMPORARY_FAILURE
from rowanmast.control import CallAgent
from rowanmast.core.coldshare import Member
from rowanmast.core.ports import (
    NO_REPORT,
    Answered,
    Attempt,
    AttemptOver,
    CallOver,
    Cancelled,
    Ending,
    EndOwed,
    Failure,
    Front,
    Input,
    Links,
    NoLink,
    Offer,
    Released,
    SwitchDown,
    SwitchLink,
)
from rowanmast.core.totals import Totals

NS = 1000  # nanoseconds in a microsecond: the module counts in them
GONE = NoLink()
SPARE_DUES = 64  # entries of the timer heap that may be stale before it is cleared of them
PAST_US = 10_000_000  # a switch's release may cross ours, or come twice, within this time
LAG_US = 25_000  # a turn that took longer to let its bytes leave moves the waits that begin with them: the
# module's margin (50 ms) bears what is shorter
LAST_DELAY_US = 1_000_000  # the retry-after of calls that are refused because the router ends
UNPROVEN = (api.Outcome.TIMED_OUT, api.Outcome.CUT, api.Outcome.CALLED_OFF)

Item = TypeVar("Item")
Result = TypeVar("Result")

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Record:
    """One call, from its offer until it is answered and, if it stood, over."""

    offer: Offer
    deadline: int
    out: Attempt | None = None
    sends: int = 0
    not_before: int = 0  # the release of the last attempt must be awaited
    answered: bool = False
    stands: Attempt | None = None
    stands_since: int = 0


Due = Attempt | api.TimerDue | Record


class Ledger:
    def __init__(
        self,
        settings: api.Settings,
        classes: Mapping[str, int],
        agent: CallAgent,
        links: Links,
        heir: Front | None = None,
        share: Member | None = None,
    ) -> None:
        self.settings = settings
        self.classes = classes
        self.agent = agent
        self.links = links
        self.heir = heir  # hears the end of calls that an earlier run left standing
        self.share = share  # of cold switches, where this process has further routers
        self.records: dict[str, Record] = {}
        self.listed: dict[str, api.ListEntry] = {}
        self.dues: list[tuple[int, int, Due]] = []
        self.kept_dues = 0  # that were left when it was last cleared of stale ones
        self.serial = 0
        self.events: list[api.Event] = []  # for the module
        self.overdue: list[Record] = []  # calls past their deadline
        self.over: list[str] = []  # calls to be forgotten when the turn ends
        self.past: OrderedDict[str, int] = OrderedDict()  # calls that are over: since when
        self.now = 0
        self.freed: list[Record] = []  # whose release is awaited from this turn on
        self.totals = Totals()
        self.turn_serial = 0  # of the first entry of the timer heap made in this turn

    # The turn

    def turn(self, now: int, inputs: Iterable[Input]) -> None:
        self.now = now
        self.freed.clear()
        self.turn_serial = self.serial
        for item in inputs:
            self.shielded(self.take, item)
        self.expire()
        self.consult()
        for record in self.overdue:
            self.shielded(self.end_overdue, record)
        self.overdue.clear()
        self.consult()
        for call in self.over:
            self.records.pop(call, None)
            self.past[call] = now
        self.over.clear()
        while self.past and now - next(iter(self.past.values())) > PAST_US:
            self.past.popitem(last=False)
        if len(self.dues) > 2 * self.kept_dues + SPARE_DUES:
            self.clear_dues()

    def consult(self) -> None:
        """Hands the module what has happened, in one go, and carries out what it says."""
        while self.events:
            batch, self.events = self.events, []
            actions: list[api.Action] = []
            for event in batch:
                actions += self.shielded(self.decide, event) or []
            for action in actions:
                self.shielded(self.carry_out, action)

    def left_by(self, now: int) -> None:
        """The bytes of the last turn have left by now: waits for a release count from when they did.

        Where a host holds the interpreter, a turn may stop anywhere for hundreds of milliseconds.
        """
        lag = now - self.now
        if lag > LAG_US:
            for record in self.freed:
                record.not_before += lag
            self.dues = [
                (due + lag if at > self.turn_serial and isinstance(item, api.TimerDue) else due, at, item)
                for due, at, item in self.dues
            ]
            heapq.heapify(self.dues)
        self.freed.clear()

    def next_due(self) -> int | None:
        return self.dues[0][0] if self.dues else None

    def owed(self) -> int:
        """How many calls still wait for their final answer."""
        return sum(not record.answered for record in self.records.values())

    def may_leave(self, attempt: Attempt) -> bool:
        """Asked again when the bytes leave: it may have been called off, or the switch drains by now."""
        record = self.records.get(attempt.call)
        return record is not None and record.out is attempt and self.is_up(attempt.exchange)

    def release_bound(self) -> None:
        """Ends the calls that can't stand without us, on both sides."""
        for record in list(self.records.values()):
            if record.stands is None:
                continue
            link = self.link(record.stands.exchange)
            if not (link.lasting and record.offer.front.lasting):
                link.release(record.offer.call, TEMPORARY_FAILURE)
                self.cut(record, Ending.ROUTER_STOPPED)

    def take(self, item: Input) -> None:
        match item:
            case Offer():
                self.on_offer(item)
            case Cancelled():
                self.on_cancelled(item.call)
            case Released():
                self.on_released(item)
            case Answered():
                self.on_answered(item)
            case AttemptOver():
                record = self.records.get(item.call)
                out = record.out if record else None
                if record and out and (out.exchange, out.number) == (item.exchange, item.attempt):
                    self.end_attempt(record, item.outcome, item.cause, item.report)
            case CallOver():
                self.on_call_over(item)
            case SwitchDown():
                self.cut_all(item.exchange, Ending.SWITCH_DOWN)
            case EndOwed():
                self.end_owed()
            case api.ExchangeList():
                self.on_list(item)
            case api.Reported():
                self.events.append(item)

    def expire(self) -> None:
        while self.dues and self.dues[0][0] <= self.now:
            self.shielded(self.on_due, heapq.heappop(self.dues)[2])

    def on_due(self, due: Due) -> None:
        match due:
            case api.TimerDue():
                self.events.append(due)
            case Attempt():
                if self.awaited(due):
                    self.call_off(self.records[due.call], api.Outcome.TIMED_OUT)
            case Record():
                self.overdue.append(due)

    def end_overdue(self, record: Record) -> None:
        """The net under the module, which ends its calls itself, be it in this same turn."""
        call = record.offer.call
        if self.records.get(call) is record and not record.answered:
            log.error("late_answer", extra={"call": call})
            self.events.append(api.HungUp(call))
            self.finish(record, Failure.GIVEN_UP)

    def clear_dues(self) -> None:
        """Drops what nobody waits for any more: a caller may name an hour and be refused at once."""
        self.dues = [entry for entry in self.dues if self.awaited(entry[2])]
        heapq.heapify(self.dues)
        self.kept_dues = len(self.dues)

    def awaited(self, due: Due) -> bool:
        match due:
            case Attempt():
                record = self.records.get(due.call)
                return record is not None and record.out is due
            case Record():
                return not due.answered
            case _:
                return True

    def link(self, exchange: str) -> SwitchLink:
        return self.links.get(exchange, GONE)

    def at(self, due: int, item: Due) -> None:
        self.serial += 1
        heapq.heappush(self.dues, (due, self.serial, item))

    def shielded(self, step: Callable[[Item], Result], item: Item) -> Result | None:
        """Keeps an exception to the one call that it arose in: that one fails, and the rest goes on."""
        try:
            return step(item)
        except Exception:
            call = getattr(item, "call", "")
            log.exception("call_fault", extra={"what": type(item).__name__, "call": call})
            record = self.records.get(call)
            if record is not None and not record.answered:
                self.events.append(api.HungUp(call))
                self.finish(record, Failure.FAULT)
            return None

    def end_owed(self) -> None:
        """Refuses every call that has no answer, or fails it if trying again could do harm."""
        for record in list(self.records.values()):
            if record.answered:
                continue
            kind = self.settings.classes[self.classes[record.offer.klass]]
            is_harmless = kind.effect is api.Effect.SAFE or record.sends == 0
            self.events.append(api.HungUp(record.offer.call))
            self.finish(record, LAST_DELAY_US if is_harmless else Failure.GIVEN_UP)

    # What fronts say

    def on_offer(self, offer: Offer) -> None:
        klass = self.classes.get(offer.klass)
        if klass is None or offer.call in self.records:
            log.warning("unfit_call", extra={"call": offer.call, "class": offer.klass})
            offer.front.fail(offer.call, Failure.UNFIT)
            return
        self.totals.add("offered")
        record = self.records[offer.call] = Record(offer, self.now + offer.left_us)
        self.at(record.deadline, record)
        self.events.append(
            api.Call(
                call=offer.call,
                klass=klass,
                key=offer.key,
                tenant=None,
                remaining_ns=offer.left_us * NS,
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
        if record.stands is not None:  # our answer crossed it, so the caller is told that the call is over
            self.link(record.stands.exchange).release(call, NORMAL_CLEARING)
            ending = Ending.CALLER_CANCELLED
            self.end_call(record, api.Outcome.CALLED_OFF, NO_REPORT, NORMAL_CLEARING, ending)
        elif not record.answered:
            self.events.append(api.HungUp(call))
            self.finish(record, Failure.CANCELLED)

    def on_released(self, item: Released) -> None:
        record = self.records.get(item.call)
        if record is not None and record.stands is not None:
            self.link(record.stands.exchange).release(item.call, item.cause)
            self.end_call(record, api.Outcome.CALLED_OFF, NO_REPORT, None, Ending.CALLER_RELEASED)

    # What switches say

    def on_answered(self, item: Answered) -> None:
        record = self.records.get(item.call)
        out = record.out if record else None
        if record is None or out is None or (out.exchange, out.number) != (item.exchange, item.attempt):
            standing = record.stands if record else None
            if standing is None or standing.exchange != item.exchange:  # it crossed our giving up
                self.link(item.exchange).release(item.call, NORMAL_CLEARING)
            return
        if self.now >= record.deadline:  # to the switch the call stands already, so it is released there
            self.link(item.exchange).release(item.call, NORMAL_CLEARING)
            self.end_attempt(record, api.Outcome.TIMED_OUT, None, NO_REPORT)
            return
        record.out, record.stands, record.stands_since = None, out, self.now
        delay = (self.now - out.sent) * NS
        self.events.append(api.Stands(item.call, out.number, out.exchange, delay))
        self.give_answer(record, item.text)

    def on_call_over(self, item: CallOver) -> None:
        record = self.records.get(item.call)
        if record is None:
            self.end_orphan(item)
        elif record.stands is not None and record.stands.exchange == item.exchange:
            if item.why is not Ending.SWITCH_RELEASED:
                self.cut(record, item.why)
                return
            done = item.outcome is api.Outcome.DONE
            cause = NORMAL_CLEARING if done else TEMPORARY_FAILURE
            self.end_call(record, item.outcome, item.report, cause, item.why)

    def end_orphan(self, item: CallOver) -> None:
        """A call that an earlier run left standing is over by its switch's word."""
        if self.heir is None or item.call in self.past or item.why is not Ending.SWITCH_RELEASED:
            return
        done = item.outcome is api.Outcome.DONE
        self.heir.release(item.call, NORMAL_CLEARING if done else TEMPORARY_FAILURE)

    def on_list(self, item: api.ExchangeList) -> None:
        self.events.append(item)
        before = self.listed
        self.listed = dict(before) if item.kind is api.ListKind.CHANGES else {}
        self.listed.update((entry.exchange, entry) for entry in item.entries)
        self.listed = {
            exchange: entry for exchange, entry in self.listed.items() if entry.state is not api.State.GONE
        }
        for exchange in before.keys() - self.listed.keys():
            self.end_attempts(exchange)

    def end_attempts(self, exchange: str) -> None:
        """Calls off every set-up at a removed switch; its link tells of the calls that stand there."""
        for record in list(self.records.values()):
            if record.out is not None and record.out.exchange == exchange:
                self.call_off(record, api.Outcome.CUT)

    def cut_all(self, exchange: str, why: Ending) -> None:
        """A switch's process is dead, and what stood or was being set up there with it."""
        for record in list(self.records.values()):
            if record.stands is not None and record.stands.exchange == exchange:
                self.cut(record, why)
            elif record.out is not None and record.out.exchange == exchange:
                self.call_off(record, api.Outcome.CUT)

    def is_up(self, exchange: str) -> bool:
        entry = self.listed.get(exchange)
        return entry is not None and entry.state is api.State.UP

    # The places where an attempt ends, a final answer is given, and a call that stood is over

    def call_off(self, record: Record, outcome: api.Outcome) -> None:
        """Ends the attempt from our side: the switch is told, and then the module."""
        assert record.out is not None
        self.link(record.out.exchange).call_off(record.offer.call)
        self.end_attempt(record, outcome, None, NO_REPORT)

    def end_attempt(
        self, record: Record, outcome: api.Outcome, cause: api.Cause | None, report: api.Report
    ) -> None:
        out, record.out = record.out, None
        assert out is not None
        if outcome in UNPROVEN:
            record.not_before = self.now + self.settings.release_ns // NS
            self.freed.append(record)
        self.ended(out, outcome, cause, report, record.answered)

    def ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        cause: api.Cause | None,
        report: api.Report,
        final: bool,
    ) -> None:
        self.totals.add(f"attempt_{outcome.name.lower()}")
        self.events.append(
            api.Ended(
                call=attempt.call,
                attempt=attempt.number,
                exchange=attempt.exchange,
                outcome=outcome,
                cause=cause,
                wait_ns=None,
                final=final,
                delay_ns=(self.now - attempt.sent) * NS,
                report=report,
            )
        )

    def give_answer(self, record: Record, answer: str | int | Failure) -> None:
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
        self.over.append(call)

    def cut(self, record: Record, why: Ending) -> None:
        """Ends a call that stood, but not by the word of its caller or of its switch."""
        assert record.stands is not None
        stood_ms = (self.now - record.stands_since) // 1000
        details = {"call": record.offer.call, "exchange": record.stands.exchange, "stood_ms": stood_ms}
        log.info("call_cut", extra={**details, "why": why.value})
        self.end_call(record, api.Outcome.CUT, NO_REPORT, TEMPORARY_FAILURE, why)

    def end_call(
        self,
        record: Record,
        outcome: api.Outcome,
        report: api.Report,
        tell_caller: int | None,
        why: Ending,
    ) -> None:
        stood, record.stands = record.stands, None
        assert stood is not None
        self.totals.add(f"ended_{why.value}")
        self.over.append(record.offer.call)
        if tell_caller is not None:
            record.offer.front.release(record.offer.call, tell_caller)
        self.ended(stood, outcome, None, report, True)

    # The module

    def decide(self, event: api.Event) -> list[api.Action]:
        return self.agent.handle(self.now * NS, event)

    def carry_out(self, action: api.Action) -> None:
        match action:
            case api.SetUp():
                self.set_up(action)
            case api.TurnAway():
                if action.call in self.records:
                    self.finish(self.records[action.call], action.stay_away_ns // NS)
            case api.GiveUp():
                if action.call in self.records:
                    self.finish(self.records[action.call], Failure.GIVEN_UP)
            case api.CallOff():
                record = self.records.get(action.call)
                if record is not None and record.out is not None and record.out.number == action.attempt:
                    self.call_off(record, api.Outcome.CALLED_OFF)
            case api.SetTimer():
                self.at(self.now + action.in_ns // NS, api.TimerDue(action.token))
            case api.Probe():
                if self.is_up(action.exchange):
                    self.link(action.exchange).probe()
            case api.Note():
                log.info("module_note", extra={"text": action.text})
            case api.Subscribe() | api.AskList():
                pass  # the change log is followed unasked

    def finish(self, record: Record, answer: int | Failure) -> None:
        """Answers a call that does not stand, and takes back what is still out for it."""
        self.give_answer(record, answer)
        if record.out is not None:
            self.call_off(record, api.Outcome.CALLED_OFF)

    def set_up(self, action: api.SetUp) -> None:
        record = self.records.get(action.call)
        if record is None:
            return
        offer = record.offer
        due = min(self.now + max(action.timeout_ns // NS, 0), record.deadline)
        attempt = Attempt(
            offer.call, record.sends, action.exchange, offer.klass, offer.key, offer.text, self.now, due
        )
        record.sends += 1
        broken = self.forbidden(record, attempt)
        if broken is not None:
            if not record.answered:  # after a hang-up in the same turn it is no fault
                log.warning("set_up_held_back", extra={"call": offer.call, "why": broken})
            self.ended(attempt, api.Outcome.NOT_SENT, None, NO_REPORT, record.answered)
            return
        if not self.within_share(action.exchange):  # as with no circuit: another way may have room
            cause = api.Cause.NO_CIRCUIT
            self.ended(attempt, api.Outcome.NOT_SENT, cause, NO_REPORT, record.answered)
            return
        record.out = attempt
        self.at(due, attempt)
        self.link(action.exchange).set_up(attempt)

    def forbidden(self, record: Record, attempt: Attempt) -> str | None:
        """The rule that this set-up would break."""
        if record.answered:
            return "answered"
        if record.out is not None:
            return "attempt_out"
        if self.now < record.not_before:
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

    def within_share(self, exchange: str) -> bool:
        """Whether the routers of this process together may send the switch one more set-up."""
        if self.share is None:
            return True
        return self.share.may_send(self.now, self.listed[exchange], len(self.listed) - 1)


def with_margin(settings: api.Settings, margin_us: int) -> api.Settings:
    """The settings for the module of a real router: it awaits a release a little longer than the rule says.

    The module counts from the start of the turn, the rule from when the last byte left.
    """
    return replace(settings, release_ns=settings.release_ns + margin_us * NS)
