"""Routing and admission decisions of one exchange's call agent; the types are in `interface.py`.

Admission is Call Count Control: new calls are counted over an interval T, and when their rate exceeds a
level, only a set rate is admitted in the next interval. A call is routed direct to its destination or by an
alternative route: over a tandem or, where exchanges are pools, to another pool.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import islice, takewhile
from random import Random

from rowanmast.interface import (
    Action,
    AttemptEnded,
    Call,
    CallAnswered,
    CallerHungUp,
    Cause,
    Event,
    ExchangeList,
    ExchangeState,
    FailCall,
    Idempotency,
    ListEntry,
    ListKind,
    LoadReport,
    LoadReported,
    LogMessage,
    Outcome,
    RefuseCall,
    RequestList,
    SetTimer,
    Settings,
    SetUp,
    Subscribe,
    TimerExpired,
)

SECOND = 1_000_000_000  # nanoseconds
# Arrivals that an interval T should hold: fewer give a noisy rate, more delay the reaction to overload.
ARRIVALS_PER_INTERVAL = 12.0
MIN_INTERVAL_NS, MAX_INTERVAL_NS = SECOND // 4, 2 * SECOND  # bounds of T at any observed rate
EVALUATION_INTERVAL_NS = SECOND  # set-up delays are evaluated over this interval
THROTTLE_RATIO = 0.8  # admitted rate while throttled, as a fraction of the level
# Factors applied to the level after an evaluation interval in which set-ups were late or not late.
LEVEL_DECREASE_FACTOR, LEVEL_INCREASE_FACTOR = 0.8, 1.3
# The delay target as a fraction of the retransmission time: a retransmitted set-up is work that no counter
# shows, so set-ups should be answered well before it.
RETRANSMIT_FRACTION = 0.5
# The delay target as a fraction of the shortest objective. It applies where set-ups are not retransmitted, or
# where it is less than the fraction of the retransmission time.
OBJECTIVE_FRACTION = 0.25
# An answer is late above this many times the minimum delay, if that is more than the delay target. On a long
# path even an idle exchange takes about as long as the target, and would otherwise count as late for ever.
MIN_DELAY_FACTOR = 1.6
# In the mean of an evaluation interval, one delay counts as at most this many delay limits: a single answer
# that was held up says little of the rest.
DELAY_CAP_FACTOR = 2
TRUNK_RESERVATION_FACTOR = 0.7  # circuits reserved for direct calls, in square roots of the group size
# Exchanges drawn at random if neither the last tandem nor the advised one can be used; of those that can be,
# the one with most free circuits is used.
TANDEM_CANDIDATES = 6
# Under load, a call of lower priority than this (in mean worths of a call) is refused in favour of others.
LOW_PRIORITY = 0.5
RECOVERY_NS = 2 * SECOND  # an exchange without a late answer for this long gets calls of any priority
# A reported accept rate throttles set-ups only if it is below this fraction of the usual rate of the other
# agents: well above it, the other agents leave room for this one.
LOW_ACCEPT_RATE_FRACTION = 0.25
MIN_THROTTLE_FRACTION = 0.2  # a smaller fraction to hold back is treated as noise
REPORT_TTL_NS = SECOND  # an older request to hold back does not describe the present load
# Late unanswered set-ups at one exchange that stop further calls of mean priority to it.
MAX_LATE_PER_EXCHANGE = 1.0
# Late set-ups over all exchanges that stop all calls of mean priority: then the own processor is late.
MAX_LATE_TOTAL = 3.0
MAX_PRIORITY = 3.0  # upper bound of a call's priority, in mean worths of a call
# Lowest level, as a fraction of the offered rate: a level of zero would admit nothing and never rise again.
MIN_LEVEL_FRACTION = 0.2
DEFAULT_HOLD_NS = 12 * SECOND  # mean holding time of a call, where the settings give none
# First and longest pause of a tandem after crankback, in mean holding times. An onward circuit becomes free
# within a small part of one holding time.
MIN_TANDEM_PAUSE_HOLDS, MAX_TANDEM_PAUSE_HOLDS = 0.08, 0.67
# First and longest pause of a number whose lines are all busy, in mean holding times.
MIN_BUSY_PAUSE_HOLDS, MAX_BUSY_PAUSE_HOLDS = 0.02, 0.17
# The longest mean pause before a set-up probes a failing exchange is this times the number of agents of the
# network, as all of them probe it. An exchange may ask for a longer pause.
PAUSE_PER_AGENT_NS = 0.15 * SECOND
MAX_FIRST_DIALLED = 20_000  # numbers whose time of first dialling is kept
LOSS_WINDOW_NS = 10 * SECOND  # two lost answers within this time mean that more are being lost
DEVIATION_FACTOR = 2.0  # an answer usually comes within the mean delay plus this many mean deviations
# The fraction that is used of the load at which a cold exchange is estimated to collapse. The rest is a
# margin for bursts and for the error of the other agents' estimates.
COLD_BUDGET_FRACTION = 0.8


class AdmissionGate:
    """Call Count Control: counts arrivals over an interval T, and throttles the next T above a level.

    Times are in nanoseconds, rates per second.
    """

    def __init__(self, now: int) -> None:
        self.level = math.inf  # arrival rate above which the next T is throttled; inf: no level is set
        self.rate = 0.0  # arrival rate, smoothed
        self.interval_start, self.interval_ns, self.arrivals = now, MIN_INTERVAL_NS, 0  # of the current T
        self.throttled = False
        # Number of calls that may be admitted while throttled, and when it was last updated.
        self.credit, self.credit_time = 1.0, now
        self.evaluation_start, self.admitted_count = now, 0  # of the current evaluation interval

    def advance(self, now: int) -> None:
        """Closes the counting interval T once it has elapsed and sets the length of the next."""
        elapsed = now - self.interval_start
        if elapsed >= self.interval_ns:
            counted = self.arrivals * SECOND / elapsed
            weight = min(1.0, elapsed / MAX_INTERVAL_NS)
            self.rate += weight * (counted - self.rate)
            self.throttled = counted > self.level
            self.interval_ns = int(
                min(
                    max(ARRIVALS_PER_INTERVAL / max(self.rate, 0.001) * SECOND, MIN_INTERVAL_NS),
                    MAX_INTERVAL_NS,
                )
            )
            self.interval_start, self.arrivals = now, 0

    def adjust_level(self, now: int, late: bool) -> None:
        """Adjusts the level at the end of an evaluation interval; `late`: whether its set-ups were late."""
        admitted_rate = self.admitted_count * SECOND / max(now - self.evaluation_start, 1)
        if late:
            self.level = admitted_rate if math.isinf(self.level) else self.level * LEVEL_DECREASE_FACTOR
            self.level = max(self.level, self.rate * MIN_LEVEL_FRACTION, 1.0)
        elif not math.isinf(self.level):
            self.level *= LEVEL_INCREASE_FACTOR
            if self.level > 2 * max(self.rate, 1.0):
                self.level = math.inf
        self.evaluation_start, self.admitted_count = now, 0

    def admit(self, now: int, priority: float) -> bool:
        """Counts one arrival and returns whether it is admitted; throttled admissions are evenly spaced.

        The priority (1 is the mean) decides which calls use the admitted rate.
        """
        self.arrivals += 1
        rate = self.level * THROTTLE_RATIO if self.throttled else 0.0
        self.credit = min(2.0, self.credit + (now - self.credit_time) * rate / SECOND)
        self.credit_time = now
        # A call of high priority may use credit in advance: that of half an interval, times 1 - 1/priority
        # (a third of an interval at MAX_PRIORITY). One of a priority below the mean waits for more credit.
        ahead = (
            rate * self.interval_ns / SECOND / 2 * (1.0 - 1.0 / priority)
            if priority > 1.0
            else priority - 1.0
        )
        if self.throttled and self.credit < 1.0 - ahead:
            return False
        self.credit -= 1.0 if self.throttled else 0.0
        self.admitted_count += 1
        return True


@dataclass(slots=True)
class FarExchange:
    """The state of one other exchange, as far as it is known. Times are in nanoseconds."""

    entry: ListEntry
    free_circuits: float | None = None  # circuits free on the group to it; None: unknown
    group_size: float | None = None  # circuits of that group; None: unknown
    cold_send_times: list[int] = field(default_factory=list)  # times of set-ups sent while it was cold
    # When each set-up without an answer was sent, by (call, attempt), in the order sent.
    unanswered: dict[tuple[str, int], int] = field(default_factory=dict)
    # Sum of the delays, each capped, and number of the set-ups answered in this evaluation interval, without
    # those sent before the level was last cut.
    delay_sum: int = 0
    answer_count: int = 0
    # Of the quickest answer: path and processing, without queueing; 0: none yet within the delay target.
    min_delay: int = 0
    # Set-ups that timed out, did not reach it or found it full, since the last answer, BUSY outcome or
    # crankback. Those sent before the last failure was known count as one.
    consecutive_failures: int = 0
    last_failure: int = 0  # when the latest of these was reported
    paused_until: int = 0  # no set-ups until then, after failures
    last_timeout: int = -LOSS_WINDOW_NS  # when a set-up last timed out, if none was answered since
    last_late: int = -RECOVERY_NS  # when an answer last came after the delay limit
    throttle_fraction: float = 0.0  # fraction of new set-ups to hold back, by its last report
    throttled_at: int = 0  # when that report arrived
    throttle_credit: float = 0.0  # set-ups that may be sent while it is throttled
    # Set-ups that were still unanswered after the delay target: (when sent, attempt), in the order sent.
    aged_attempts: deque[tuple[int, tuple[str, int]]] = field(default_factory=deque)

    def late_count(self, sent_until: int, limit: float) -> int:
        """How many unanswered set-ups were sent up to `sent_until`; stops counting at `limit`."""
        count = 0
        for sent in self.unanswered.values():
            if sent > sent_until or count >= limit:
                break
            count += 1
        return count

    def late_count_after(self, sent_until: int, sent_after: int, limit: float) -> int:
        """How many aged attempts, still unanswered, were sent after `sent_after` and up to `sent_until`.

        It stops counting at `limit`. `sent_after` must not decrease from call to call: attempts sent up to it
        are dropped for good, as are those that are no longer unanswered.
        """
        while self.aged_attempts and (
            self.aged_attempts[0][0] <= sent_after
            or self.unanswered.get(self.aged_attempts[0][1]) != self.aged_attempts[0][0]
        ):
            self.aged_attempts.popleft()
        count = 0
        for sent, attempt in self.aged_attempts:
            if sent > sent_until or count >= limit:
                break
            count += self.unanswered.get(attempt) == sent
        return count

    def apply_report(self, report: LoadReport, now: int, usual_rate: float) -> None:
        """Stores a load report; `usual_rate` is the set-ups per second that all other agents send to it."""
        if report.free_circuits is not None:
            self.free_circuits = report.free_circuits
        if report.group_size is not None:
            self.group_size = report.group_size
        if report.throttle_fraction is not None:
            self.throttle_fraction, self.throttled_at = min(report.throttle_fraction, 1.0), now
        elif report.accept_rate is not None and usual_rate > 0:
            self.throttle_fraction, self.throttled_at = (
                max(0.0, 1.0 - report.accept_rate / (usual_rate * LOW_ACCEPT_RATE_FRACTION)),
                now,
            )


@dataclass(slots=True)
class PendingCall:
    """A call that has not had its final answer yet. Times are in nanoseconds."""

    call: Call
    width: int
    deadline_ns: int  # when the final answer is due
    objective_end_ns: int = 0  # the call counts as in time if it stands by then
    priority: float = 1.0  # the worth that it may still earn, in mean worths
    attempts: int = 0
    in_flight: bool = False  # an attempt has no outcome yet
    may_have_run_on: str | None = None  # exchange of the first attempt that may have taken effect
    may_have_run_sent_ns: int = 0  # when that attempt was sent; without one, when the last attempt was
    not_before_ns: int = 0  # end of the wait for the release of the last attempt; no new one before
    tried_exchanges: list[str] = field(default_factory=list)  # exchanges excluded from the next attempt


class CallAgent:
    """Makes the decisions of one call agent: takes events, returns actions. Reads no clock, does no I/O."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.exchanges: dict[str, FarExchange] = {}
        self.active_exchanges: dict[int, FarExchange] = {}  # by exchange number: those that accept new calls
        self.active_list: list[FarExchange] = []  # the same as a list, to draw alternative routes from
        self.last_alternatives: dict[int, str] = {}  # by destination: the tandem or pool used last
        # By (tandem, destination): length and end of the pause after crankback.
        self.paused_tandems: dict[tuple[str, int], tuple[float, int]] = {}
        self.pending_calls: dict[str, PendingCall] = {}
        self.gate: AdmissionGate | None = None
        # By number called: when it was first dialled; a later call to it may be a redial.
        self.first_dialled: OrderedDict[str, int] = OrderedDict()
        # By number called, if all its lines are busy: length and end of the pause.
        self.busy_numbers: dict[str, tuple[float, int]] = {}
        self.mean_worth = 0.0
        self.level_cut_at = 0  # when the gate's level was last cut
        self.last_on_time_sent = 0  # when the latest set-up was sent that was answered within its limit
        # Set-ups as (when sent, exchange, attempt), in the order sent. `total_late` removes those older than
        # the delay target.
        self.recent_sends: deque[tuple[int, FarExchange, tuple[str, int]]] = deque()
        self.late_exchanges: dict[str, FarExchange] = {}  # by id: those with `aged_attempts`
        self.actions: list[Action] = []
        self.now = 0
        # Set-ups per second to one other exchange, averaged over the active ones, cold ones too; smoothed.
        self.send_rate = 0.0
        self.sent_count, self.sent_since = 0, 0  # set-ups counted for the send rate; since when
        # The last two times at which answers were found to be lost.
        self.last_losses = (-LOSS_WINDOW_NS, -LOSS_WINDOW_NS)
        # Mean and mean deviation of the delays of answers, smoothed; they start at the margin that the
        # settings reserve before deadlines.
        self.mean_delay_ns = self.delay_deviation_ns = float(settings.deadline_margin_ns)
        self.cold_exchanges: list[FarExchange] = []
        # Number of set-ups that may be sent to cold exchanges, and when it was last updated.
        self.cold_budget, self.cold_budget_updated = 0.0, 0
        self.settings_unusable = (
            not settings.classes or settings.deadline_margin_ns <= 0 or settings.agents <= 0
        )
        self.unusable_logged = False
        objectives = [item.objective_ns for item in settings.classes if item.objective_ns > 0] or [SECOND]
        resend = int(settings.retransmit_ns * RETRANSMIT_FRACTION)
        holds = [item.mean_hold_ns for item in settings.classes if item.mean_hold_ns] or [DEFAULT_HOLD_NS]
        self.mean_hold_ns = sum(holds) / len(holds)
        self.delay_target_ns = min(filter(None, (resend, int(min(objectives) * OBJECTIVE_FRACTION))))

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Processes one event and returns the actions that follow from it."""
        self.now, self.actions = now_ns, []
        if self.gate is None:
            self.gate, self.sent_since = AdmissionGate(now_ns), now_ns
        self.gate.advance(now_ns)
        if now_ns - self.gate.evaluation_start >= EVALUATION_INTERVAL_NS:
            self.evaluate()
        match event:
            case Call():
                self.on_call(event)
            case CallAnswered():
                self.on_answered(event)
            case AttemptEnded():
                self.on_attempt_ended(event)
            case LoadReported():
                if event.exchange in self.exchanges:
                    self.apply_report(self.exchanges[event.exchange], event.report)
            case CallerHungUp():
                self.pending_calls.pop(event.call, None)
            case TimerExpired():
                self.on_timer(event.token)
            case ExchangeList():
                self.on_list(event)
        return self.actions

    def evaluate(self) -> None:
        """Adjusts the gate by the set-up delays of the interval.

        Set-ups count as late only if they are late at all exchanges that answered: a delay that all have in
        common is that of this agent's processor, any other is that of an exchange or its path.
        """
        assert self.gate is not None
        means = [
            (exchange.delay_sum // exchange.answer_count, exchange)
            for exchange in self.exchanges.values()
            if exchange.answer_count
        ]
        late = bool(means) and all(mean > self.delay_limit(exchange) for mean, exchange in means)
        if late:
            self.level_cut_at = self.now
        if means or not any(exchange.unanswered for exchange in self.exchanges.values()):
            self.gate.adjust_level(self.now, late)
        else:
            self.gate.evaluation_start, self.gate.admitted_count = self.now, 0
        for exchange in self.exchanges.values():
            exchange.delay_sum = exchange.answer_count = 0

    # The list of exchanges

    def on_list(self, event: ExchangeList) -> None:
        """Applies a list of exchanges, or its changes; sets a timer to request one if none was obtained."""
        if event.kind is ListKind.FAILED:
            self.actions.append(SetTimer(int(SECOND * self.random.uniform(0.5, 1.5)), "list"))
            return
        listed = {entry.exchange: entry for entry in event.entries}
        if event.kind is not ListKind.CHANGES:
            self.exchanges = {
                exchange_id: exchange
                for exchange_id, exchange in self.exchanges.items()
                if exchange_id in listed
            }
        for exchange_id, entry in listed.items():
            if entry.state is ExchangeState.GONE:
                self.exchanges.pop(exchange_id, None)
                continue
            exchange = self.exchanges.setdefault(exchange_id, FarExchange(entry))
            # A new process: what was known of the old one is void, apart from the circuits.
            if exchange.entry.started_ns != entry.started_ns:
                exchange = self.exchanges[exchange_id] = FarExchange(
                    entry, exchange.free_circuits, exchange.group_size
                )
            exchange.entry = entry
        self.active_exchanges = {}
        for exchange in self.exchanges.values():
            other = self.active_exchanges.get(exchange.entry.number)
            newer = other is None or (exchange.entry.started_ns or 0) >= (other.entry.started_ns or 0)
            if exchange.entry.state is ExchangeState.UP and newer:
                self.active_exchanges[exchange.entry.number] = exchange
        self.active_list = list(self.active_exchanges.values())
        self.paused_tandems = {
            route: pause for route, pause in self.paused_tandems.items() if route[0] in self.exchanges
        }
        if not self.cold_exchanges:
            self.cold_budget, self.cold_budget_updated = (
                (self.settings.agent_index + 0.5) / max(self.settings.agents, 1) % 1.0,
                self.now,
            )
        self.cold_exchanges = [exchange for exchange in self.active_list if self.is_cold(exchange)]
        if self.settings.must_subscribe and event.kind is ListKind.SAVED:
            self.actions.append(Subscribe())

    def is_cold(self, exchange: FarExchange) -> bool:
        """Whether the exchange was started less than the cold time ago."""
        started = exchange.entry.started_ns
        return started is not None and self.now - started < self.settings.cold_ns

    def cold_budget_allows(self, exchange: FarExchange) -> bool:
        """Whether the budget for cold exchanges allows a set-up to this one; always true for a warm one.

        The budget is this agent's share of what cold exchanges can take, estimated from the mean rate of
        set-ups to one active exchange. With many agents the part for one cold exchange is less than one
        set-up, so all exchanges that are cold at the time draw on one budget. It starts at a fraction given
        by the agent's index, so that the agents take turns.
        """
        if not self.is_cold(exchange):
            return True
        self.cold_exchanges = [other for other in self.cold_exchanges if self.is_cold(other)]
        window = self.settings.collapse_after_ns
        rate_per_exchange = (
            2  # a warm exchange can take at least twice what this agent sends it
            * self.send_rate
            * self.settings.initial_capacity_fraction
            * self.settings.collapse_multiple
            * COLD_BUDGET_FRACTION
            / SECOND
        )
        rate = rate_per_exchange * len(self.cold_exchanges)
        self.cold_budget = min(
            self.cold_budget + rate * (self.now - self.cold_budget_updated), max(rate * window, 1.0)
        )
        self.cold_budget_updated = self.now
        exchange.cold_send_times = [sent for sent in exchange.cold_send_times if self.now - sent < window]
        # Besides, one exchange gets at most twice its own part, or one set-up if that is more: the budget is
        # common to all cold exchanges.
        return self.cold_budget >= 1.0 and len(exchange.cold_send_times) < max(
            2 * rate_per_exchange * window, 1.0
        )

    # Calls

    def on_call(self, call: Call) -> None:
        """Admits and routes a call, or refuses it."""
        if self.settings_unusable or not 0 <= call.klass < len(self.settings.classes):
            if not self.unusable_logged:
                self.actions.append(LogMessage("settings are not fit to act on: calls are refused"))
            self.unusable_logged = True
            self.actions.append(RefuseCall(call.call, 0))
            return
        width = call.width or self.settings.classes[call.klass].width
        pending = PendingCall(call, width, self.now + call.remaining_ns)
        self.pending_calls[call.call] = pending
        pending.priority = self.record_and_prioritize(pending)
        assert self.gate is not None
        if self.settings.meshed and (
            call.dest not in self.active_exchanges or call.dest == self.settings.own_exchange
        ):
            self.refuse(pending)  # no route exists, so the gate does not count it
            return
        line_free = call.transit or self.now >= self.busy_numbers.get(call.key, (0, 0))[1]
        admitted = line_free and self.gate.admit(self.now, pending.priority) and not self.must_yield(pending)
        limit = MAX_LATE_TOTAL * (1 + self.lost_answer_allowance()) * pending.priority
        if admitted and self.total_late(limit) < limit:
            self.route(pending)
        else:
            self.refuse(pending)

    def must_yield(self, pending: PendingCall) -> bool:
        """Whether the call is refused for low priority, such as that of a redial past its objective.

        That is so while a level is set or answers from its destination were late recently: its set-up would
        take processor time that fresh calls need.
        """
        assert self.gate is not None
        exchange = self.active_exchanges.get(pending.call.dest)
        busy = not math.isinf(self.gate.level) or (
            exchange is not None and self.now - exchange.last_late < RECOVERY_NS
        )
        return busy and pending.priority < LOW_PRIORITY

    def record_and_prioritize(self, pending: PendingCall) -> float:
        """Records a new call and returns its priority: the worth that it may still earn, in mean worths.

        A redial past the objective has the late worth of its class. Recorded are the end of the call's
        objective, the time at which its number was first dialled, and its worth in the mean; old times of
        first dialling are deleted.
        """
        call = pending.call
        call_class = self.settings.classes[call.klass]
        worth = call_class.worth
        pending.objective_end_ns = self.now + call_class.objective_ns
        if not call.transit:
            for key, seen in list(islice(self.first_dialled.items(), 2)):  # oldest first
                if self.now - seen > call_class.deadline_ns or len(self.first_dialled) >= MAX_FIRST_DIALLED:
                    del self.first_dialled[key]
            first = self.first_dialled.setdefault(call.key, self.now) if call.key else self.now
            pending.objective_end_ns = first + call_class.objective_ns
            if self.now + self.delay_target_ns > pending.objective_end_ns:
                worth *= call_class.late_worth
        self.mean_worth += (call_class.worth - self.mean_worth) * (0.02 if self.mean_worth else 1.0)
        return min(worth / max(self.mean_worth, 1e-9), MAX_PRIORITY)

    def total_late(self, limit: float) -> int:
        """How many late set-ups were sent after the latest one that was answered in time.

        If no exchange answers in time, the delay is that of this agent's own processor. Failing exchanges are
        left out. The method stops counting at `limit` and looks only at exchanges with aged attempts, so that
        its cost stays bounded.
        """
        while self.recent_sends and self.recent_sends[0][0] <= self.now - self.delay_target_ns:
            sent, exchange, attempt = self.recent_sends.popleft()
            if sent > self.last_on_time_sent and exchange.unanswered.get(attempt) == sent:
                exchange.aged_attempts.append((sent, attempt))
                self.late_exchanges[exchange.entry.exchange] = exchange
        count = 0
        for exchange_id, exchange in list(self.late_exchanges.items()):
            is_current = self.exchanges.get(exchange_id) is exchange
            count += exchange.late_count_after(
                self.late_sent_until(exchange), self.last_on_time_sent, limit - count
            ) * (is_current and not exchange.consecutive_failures)
            if not (is_current and exchange.aged_attempts):
                del self.late_exchanges[exchange_id]
            if count >= limit:
                break
        return count

    def delay_limit(self, exchange: FarExchange) -> int:
        """The delay above which a set-up to this exchange is late."""
        return max(self.delay_target_ns, int(exchange.min_delay * MIN_DELAY_FACTOR))

    def late_sent_until(self, exchange: FarExchange) -> int:
        """An unanswered set-up to this exchange is late if it was sent at or before the returned time."""
        return self.now - self.delay_limit(exchange)

    def route(self, pending: PendingCall) -> None:
        """Sends a set-up for the call, schedules a retry, or refuses the call.

        Does nothing while the release of the last attempt is awaited; a timer is set for its end.
        """
        if self.now < pending.not_before_ns:
            return
        spent = (
            pending.attempts >= self.settings.max_attempts
            or self.now >= pending.deadline_ns - self.settings.deadline_margin_ns
        )
        exchange = None if spent else self.direct_route(pending) or self.alternative_route(pending)
        if (
            exchange is not None
            and self.may_repeat(pending, exchange)
            and self.passes_throttle(exchange, pending)
        ):
            self.send(pending, exchange)
        elif exchange is not None or spent or not self.schedule_retry(pending):
            self.refuse(pending)

    def schedule_retry(self, pending: PendingCall) -> bool:
        """Schedules a retry of a call to a failing destination, if the call can still stand in time.

        Returns whether it did. Waiting costs no processor time, whereas a refused caller redials, and does so
        past the objective.
        """
        exchange = self.active_exchanges.get(pending.call.dest)
        assert self.gate is not None
        if (
            exchange is None
            or not exchange.consecutive_failures
            or pending.call.transit
            or not math.isinf(self.gate.level)
        ):
            return False
        wait = max(
            exchange.paused_until - self.now, int(self.delay_target_ns * self.random.uniform(0.5, 1.0))
        )
        if self.now + wait + self.delay_target_ns > min(pending.objective_end_ns, pending.deadline_ns):
            return False
        if exchange.entry.exchange in pending.tried_exchanges:
            pending.tried_exchanges.remove(exchange.entry.exchange)
        self.actions.append(SetTimer(wait, "call " + pending.call.call))
        return True

    def apply_report(self, exchange: FarExchange, report: LoadReport) -> None:
        """Stores a load report, taking this agent's rate of set-ups as that of each other agent."""
        exchange.apply_report(report, self.now, self.send_rate * (self.settings.agents - 1))

    def passes_throttle(self, exchange: FarExchange, pending: PendingCall) -> bool:
        """Whether a recent load report lets the set-up pass.

        A call of a priority below the mean never passes while the report holds set-ups back, as the credit is
        at most 1.
        """
        if (
            self.now - exchange.throttled_at > REPORT_TTL_NS
            or exchange.throttle_fraction < MIN_THROTTLE_FRACTION
        ):
            return True
        exchange.throttle_credit = min(1.0, exchange.throttle_credit + 1.0 - exchange.throttle_fraction)
        if exchange.throttle_credit * pending.priority < 1.0:
            return False
        exchange.throttle_credit -= 1.0
        return True

    def is_usable(self, exchange: FarExchange, pending: PendingCall, reserved: float) -> bool:
        """Whether a set-up may be sent there, leaving `reserved` circuits free."""
        if (
            exchange.entry.number == self.settings.own_exchange
            or exchange.entry.exchange in pending.tried_exchanges
        ):
            return False
        pools = self.settings.classes[pending.call.klass].skilled_pools
        if not self.settings.meshed and pools and exchange.entry.number not in pools:
            return False
        if exchange.consecutive_failures > self.lost_answer_allowance() and (
            exchange.unanswered or self.now < exchange.paused_until
        ):
            return False  # one set-up at a time probes a failing exchange
        limit = (MAX_LATE_PER_EXCHANGE + self.lost_answer_allowance()) * pending.priority
        if exchange.unanswered and exchange.late_count(self.late_sent_until(exchange), limit) >= limit:
            return False
        return (
            exchange.free_circuits is None or exchange.free_circuits >= pending.width + reserved
        ) and self.cold_budget_allows(exchange)

    def direct_route(self, pending: PendingCall) -> FarExchange | None:
        """The destination itself, if it is usable; a call in transit leaves the reserved circuits free."""
        exchange = self.active_exchanges.get(pending.call.dest)
        if exchange is None:
            return None
        reserved = self.reserved_circuits(exchange, pending) if pending.call.transit else 0.0
        return exchange if self.is_usable(exchange, pending, reserved) else None

    def alternative_route(self, pending: PendingCall) -> FarExchange | None:
        """The tandem last used for the destination; if it may not be used, the advised one, else one drawn.

        Where exchanges are pools, it is another pool instead of a tandem.
        """
        dest = pending.call.dest
        if (
            pending.call.transit
            or (self.settings.meshed and dest not in self.active_exchanges)
            or self.bars_alternative_routes(dest)
        ):
            return None
        last_used = self.exchanges.get(self.last_alternatives.get(dest, ""))
        if last_used is not None and self.is_usable_alternative(last_used, pending):
            return last_used
        chosen = self.active_exchanges.get(-1 if pending.call.advised is None else pending.call.advised)
        if chosen is None or not self.is_usable_alternative(chosen, pending):
            drawn = self.random.sample(self.active_list, min(TANDEM_CANDIDATES, len(self.active_list)))
            usable = [exchange for exchange in drawn if self.is_usable_alternative(exchange, pending)]
            chosen = max(usable, key=lambda exchange: exchange.free_circuits or 0.0, default=None)
        if chosen is not None:
            self.last_alternatives[dest] = chosen.entry.exchange
        return chosen

    def bars_alternative_routes(self, dest: int) -> bool:
        """Whether calls to the destination may go only direct, not by a tandem or to another pool.

        A call by a tandem is a third more work for all processors, so there is none while the gate throttles
        or set-ups are late. Nor does a tandem help where the destination itself is failing, late, or cold
        and without budget.
        """
        assert self.gate is not None
        exchange = self.active_exchanges.get(dest)
        if exchange is not None and (
            exchange.consecutive_failures > self.lost_answer_allowance()
            or exchange.late_count(self.late_sent_until(exchange), 1)
        ):
            return True
        if exchange is not None and not self.cold_budget_allows(exchange):
            return True
        return self.gate.throttled or self.total_late(1) > 0

    def is_usable_alternative(self, exchange: FarExchange, pending: PendingCall) -> bool:
        """Whether the call may go by this exchange as its tandem, or to it as another pool.

        It must not be paused or have late set-ups, and must have circuits beyond the reserved ones.
        """
        if (
            exchange.entry.number == pending.call.dest
            or self.active_exchanges.get(exchange.entry.number) is not exchange
        ):
            return False
        reserved = self.reserved_circuits(exchange, pending)
        _, end = self.paused_tandems.get((exchange.entry.exchange, pending.call.dest), (0, 0))
        return (
            self.now >= end
            and self.is_usable(exchange, pending, reserved)
            and exchange.late_count(self.late_sent_until(exchange), 1) == 0
        )

    @staticmethod
    def reserved_circuits(exchange: FarExchange, pending: PendingCall) -> float:
        """Circuits that the call leaves free for direct calls: the higher its priority, the fewer.

        A call of mean priority leaves TRUNK_RESERVATION_FACTOR times the square root of the group size. This
        is divided by the priority, LOW_PRIORITY to MAX_PRIORITY: a call may be worth that many direct ones.
        """
        return (
            TRUNK_RESERVATION_FACTOR
            * math.sqrt(exchange.group_size or 0.0)
            / max(pending.priority, LOW_PRIORITY)
        )

    def may_repeat(self, pending: PendingCall, exchange: FarExchange) -> bool:
        """Whether the call may be sent there, although an earlier attempt may have taken effect.

        A safe call may, an unsafe one may not, a keyed one only where duplicates are still dropped.
        """
        call_class = self.settings.classes[pending.call.klass]
        if pending.may_have_run_on is None or call_class.idempotency is Idempotency.SAFE:
            return True
        if (
            call_class.idempotency is Idempotency.UNSAFE
            or self.now - pending.may_have_run_sent_ns >= call_class.dedup_window_ns
        ):
            return False
        first = self.exchanges.get(pending.may_have_run_on)
        if call_class.key_scope == "all" or first is None:
            return call_class.key_scope == "all"
        if call_class.key_scope == "zone":
            return first.entry.zone is not None and first.entry.zone == exchange.entry.zone
        return first.entry.number == exchange.entry.number

    def send(self, pending: PendingCall, exchange: FarExchange) -> None:
        """Sends the next attempt of the call to the exchange."""
        pending.in_flight = True
        pending.attempts += 1
        pending.tried_exchanges.append(exchange.entry.exchange)
        if pending.may_have_run_on is None:
            pending.may_have_run_sent_ns = self.now
        attempt = pending.call.call, pending.attempts - 1
        exchange.unanswered[attempt] = self.now
        self.recent_sends.append((self.now, exchange, attempt))
        if self.is_cold(exchange):
            exchange.cold_send_times.append(self.now)
            self.cold_budget -= 1.0
        self.count_send()
        timeout = max(
            min(
                pending.deadline_ns - self.now - self.settings.deadline_margin_ns,
                self.answer_timeout(pending),
            ),
            1,
        )
        self.actions.append(SetUp(pending.call.call, exchange.entry.exchange, timeout))

    def answer_timeout(self, pending: PendingCall) -> int:
        """How long to wait for an answer; while answers are being lost, short enough to allow a retry.

        Repeating a set-up that is only slow does the work twice, so the time is cut only when answers are
        known to be lost, and when the call may be repeated and can still stand within its objective then.
        """
        assert self.gate is not None
        usual_delay = int(self.mean_delay_ns + DEVIATION_FACTOR * self.delay_deviation_ns)
        shortened = pending.objective_end_ns - self.now - self.settings.release_guard_ns - usual_delay
        may_retry = (
            not pending.call.transit
            and self.settings.classes[pending.call.klass].idempotency is Idempotency.SAFE
        )
        # While a level is set, fresh calls need the capacity.
        has_capacity = math.isinf(self.gate.level)
        return (
            shortened
            if may_retry and has_capacity and self.answers_lost() and shortened > usual_delay
            else pending.deadline_ns - self.now
        )

    def answers_lost(self) -> bool:
        """Whether two losses were detected within the loss window."""
        return self.now - self.last_losses[0] < LOSS_WINDOW_NS

    def lost_answer_allowance(self) -> int:
        """How many failures and late set-ups of one exchange are put down to lost answers and disregarded.

        It is 1 while answers are being lost, else 0. The limit on late set-ups over all exchanges doubles.
        """
        return 1 if self.answers_lost() else 0

    def detect_losses(self, exchange: FarExchange, sent: int) -> None:
        """Takes unanswered direct set-ups sent well before the one now answered to be lost.

        An exchange answers in the order of arrival, so an answer overtaken by a later one is lost. Such a
        set-up shows nothing of the exchange's delay and no longer counts as unanswered. "Well before" must
        be more than jitter accounts for; the delay of the quickest answer serves as this margin. As a rule,
        answers to later set-ups show the loss before the lost one would count as late.
        """
        margin = min(exchange.min_delay or self.delay_target_ns, self.delay_target_ns)
        # If a set-up to this exchange timed out in the last LOSS_WINDOW_NS, its answer was lost, too.
        lost = exchange.last_timeout > self.now - LOSS_WINDOW_NS
        exchange.last_timeout = -LOSS_WINDOW_NS
        for (call, attempt), _ in list(
            takewhile(lambda item: item[1] <= sent - margin, exchange.unanswered.items())
        ):
            pending = self.pending_calls.get(call)
            if pending is not None and pending.call.dest == exchange.entry.number:
                del exchange.unanswered[call, attempt]
                lost = True
        if lost:
            self.last_losses = (self.last_losses[1], self.now)

    def count_send(self) -> None:
        """Counts a set-up, to a warm or a cold exchange, for the mean rate to one active exchange."""
        self.sent_count += 1
        elapsed = self.now - self.sent_since
        if elapsed >= MAX_INTERVAL_NS:
            rate_per_exchange = self.sent_count * SECOND / elapsed / max(len(self.active_exchanges) - 1, 1)
            self.send_rate += (rate_per_exchange - self.send_rate) * (0.3 if self.send_rate else 1.0)
            self.sent_count, self.sent_since = 0, self.now

    def refuse(self, pending: PendingCall) -> None:
        """Refuses the call, or fails it if a repeat by the caller could do harm."""
        del self.pending_calls[pending.call.call]
        call_class = self.settings.classes[pending.call.klass]
        if pending.may_have_run_on is not None and call_class.idempotency is not Idempotency.SAFE:
            self.actions.append(FailCall(pending.call.call))
        else:
            self.actions.append(RefuseCall(pending.call.call, self.retry_after(pending.call)))

    def retry_after(self, call: Call) -> int:
        """Nanoseconds until a redial may succeed: until the next T or the end of a pause, up to a limit."""
        assert self.gate is not None
        ends = [self.busy_numbers.get(call.key, (0, 0))[1]]
        if self.gate.throttled:
            ends.append(self.gate.interval_start + self.gate.interval_ns)
        exchange = self.active_exchanges.get(call.dest)
        if exchange is not None and exchange.consecutive_failures:
            ends.append(exchange.paused_until)
        return min(max(max(ends) - self.now, 0), self.settings.max_retry_after_ns)

    # Outcomes

    def on_answered(self, event: CallAnswered) -> None:
        """Deletes the call's pending record; updates the delays and losses of the exchange that answered."""
        pending = self.pending_calls.pop(event.call, None)
        if pending is not None:
            self.paused_tandems.pop((event.exchange, pending.call.dest), None)
        exchange = self.exchanges.get(event.exchange)
        if exchange is not None:
            exchange.consecutive_failures = 0
            exchange.unanswered.pop((event.call, event.attempt), None)
            self.detect_losses(exchange, self.now - event.delay_ns)
            # A set-up that was queued does not show the path delay.
            if event.delay_ns <= self.delay_target_ns:
                exchange.min_delay = min(exchange.min_delay or event.delay_ns, event.delay_ns)
            # Set-ups sent before the level was cut show the load before the cut.
            if self.now - event.delay_ns >= self.level_cut_at:
                exchange.delay_sum += min(event.delay_ns, DELAY_CAP_FACTOR * self.delay_limit(exchange))
                exchange.answer_count += 1
            if event.delay_ns > self.delay_limit(exchange):
                exchange.last_late = self.now
            else:
                self.last_on_time_sent = max(self.last_on_time_sent, self.now - event.delay_ns)
        self.delay_deviation_ns += (abs(event.delay_ns - self.mean_delay_ns) - self.delay_deviation_ns) * 0.05
        self.mean_delay_ns += (event.delay_ns - self.mean_delay_ns) * 0.05

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Makes another attempt, waits for the release of this one, or gives the final answer."""
        exchange = self.exchanges.get(event.exchange)
        if exchange is not None:
            self.apply_report(exchange, event.report)
            unanswered = exchange.unanswered.pop((event.call, event.attempt), None) is not None
            if unanswered:
                self.on_attempt_failed(exchange, event)
        pending = self.pending_calls.get(event.call)
        if pending is None:
            return
        pending.in_flight = False
        if event.final:
            del self.pending_calls[event.call]
            return
        # FULL, UNREACHED and NOT_SENT show that the attempt took no effect. After any other outcome, BUSY
        # with or without a cause included, it may have taken effect.
        if (
            event.outcome not in (Outcome.FULL, Outcome.UNREACHED, Outcome.NOT_SENT)
            and pending.may_have_run_on is None
        ):
            pending.may_have_run_on = event.exchange
        if event.cause is Cause.LINES_BUSY:
            self.on_lines_busy(pending)
        if event.outcome in (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CALLED_OFF):
            if (
                event.outcome is Outcome.TIMED_OUT
                and self.answers_lost()
                and event.exchange in pending.tried_exchanges
            ):
                pending.tried_exchanges.remove(event.exchange)  # only its answer was lost
            self.await_release(pending)
        elif self.may_reroute(event):
            if self.last_alternatives.get(pending.call.dest) == event.exchange:
                del self.last_alternatives[pending.call.dest]
            if event.outcome is Outcome.BUSY and exchange is self.active_exchanges.get(pending.call.dest):
                # The fault was at the destination, where every route ends: the retry excludes no exchange.
                pending.tried_exchanges = []
            self.route(pending)
        elif event.cause is not Cause.PROCESSOR_FULL or not self.schedule_retry(pending):
            self.refuse(pending)

    def on_attempt_failed(self, exchange: FarExchange, event: AttemptEnded) -> None:
        """Pauses an exchange that is full, unresponsive or unreachable, and a tandem after crankback."""
        if event.cause is Cause.DESTINATION_FULL:
            pending = self.pending_calls.get(event.call)
            destination = self.active_exchanges.get(pending.call.dest) if pending else None
            if destination is None:
                return
            exchange = destination
        if event.outcome is Outcome.BUSY or event.cause is Cause.CRANKBACK:
            exchange.consecutive_failures = 0
            self.pause_tandem_on_crankback(event)
            return
        full = event.cause in (Cause.PROCESSOR_FULL, Cause.DESTINATION_FULL)
        if event.outcome not in (Outcome.TIMED_OUT, Outcome.UNREACHED) and not full:
            return
        if exchange.consecutive_failures and self.now - event.delay_ns <= exchange.last_failure:
            return  # sent before the last failure was known, so it says nothing new
        exchange.consecutive_failures += 1
        exchange.last_failure = self.now
        if event.outcome is Outcome.TIMED_OUT:
            exchange.last_timeout = self.now
        longest = PAUSE_PER_AGENT_NS * self.settings.agents * self.random.uniform(0.75, 1.25)
        pause = longest * min(0.125 * 2.0**exchange.consecutive_failures, 1.0)
        exchange.paused_until = max(
            exchange.paused_until, self.now + max(int(pause), event.retry_after_ns or 0)
        )

    def on_lines_busy(self, pending: PendingCall) -> None:
        """Pauses calls to a number whose lines are busy; the pause doubles each time, up to a limit."""
        for key in [
            key
            for key, (_, end) in self.busy_numbers.items()
            if self.now - end > MAX_BUSY_PAUSE_HOLDS * self.mean_hold_ns
        ][:2]:
            del self.busy_numbers[key]
        pause = min(
            self.busy_numbers.get(pending.call.key, (MIN_BUSY_PAUSE_HOLDS * self.mean_hold_ns / 2, 0))[0] * 2,
            MAX_BUSY_PAUSE_HOLDS * self.mean_hold_ns,
        )
        self.busy_numbers[pending.call.key] = (pause, self.now + int(pause * self.random.uniform(0.75, 1.25)))

    def pause_tandem_on_crankback(self, event: AttemptEnded) -> None:
        """Pauses a tandem that had no onward circuit: each such attempt costs work on two processors.

        Does nothing if the cause is not crankback.
        """
        pending = self.pending_calls.get(event.call)
        if pending is not None and event.cause is Cause.CRANKBACK:
            key = (event.exchange, pending.call.dest)
            pause = min(
                self.paused_tandems.get(key, (MIN_TANDEM_PAUSE_HOLDS * self.mean_hold_ns / 2, 0))[0] * 2,
                MAX_TANDEM_PAUSE_HOLDS * self.mean_hold_ns,
            )
            self.paused_tandems[key] = (pause, self.now + int(pause * self.random.uniform(0.75, 1.25)))

    @staticmethod
    def may_reroute(event: AttemptEnded) -> bool:
        """Whether another set-up may succeed: not after busy lines or a full processor, whichever exchange's.

        It may after no connection, no circuit, crankback or a signalling fault, that is a BUSY outcome
        without a cause, which says nothing of the next set-up.
        """
        if event.outcome is Outcome.UNREACHED or (event.outcome is Outcome.BUSY and event.cause is None):
            return True
        return event.cause in (Cause.NO_CIRCUIT, Cause.CRANKBACK)

    def await_release(self, pending: PendingCall) -> None:
        """Waits for the release, as the attempt may still occupy circuits (`release_first` in the trials).

        The call is refused or fails instead if it is in transit or no time is left.
        """
        pending.not_before_ns = self.now + self.settings.release_guard_ns
        if (
            pending.not_before_ns + self.settings.deadline_margin_ns >= pending.deadline_ns
            or pending.call.transit
        ):
            self.refuse(pending)
        else:
            self.actions.append(SetTimer(self.settings.release_guard_ns, "call " + pending.call.call))

    def on_timer(self, token: str) -> None:
        """Requests the list of exchanges again, or routes the call that the token names."""
        if token == "list":
            self.actions.append(Subscribe() if self.settings.must_subscribe else RequestList())
        pending = self.pending_calls.get(token.removeprefix("call "))
        if pending is not None and not pending.in_flight:
            self.route(pending)
