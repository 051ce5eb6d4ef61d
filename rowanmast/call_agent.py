"""Decides routes and admission for one exchange's call agent; its types are in `interface.py`.

The mechanism is Call Count Control: fresh arrivals are counted over an interval, and when they came
faster than a level, only a set rate is let through in the next one. The parts: the gate, the far
exchanges, the call ledger, and the agent that routes by them.
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

SECOND = 1_000_000_000
ARRIVALS_PER_T = 12.0  # arrivals that T should hold: fewer are noise, more come late
T_MIN_NS, T_MAX_NS = SECOND // 4, 2 * SECOND  # bounds of T at any observed rate
EVALUATION_NS = SECOND  # set-up delays are judged over this span
THROTTLE_RATIO = 0.8  # the rate let through, as a share of the level
LEVEL_CUT, LEVEL_RISE = 0.8, 1.3  # change of the level for a span over and under the delay target
RETRANSMIT_FRACTION = 0.5  # delay target as a share of the resend time: a repeat is work that no count shows
OBJECTIVE_FRACTION = 0.25  # delay target as a share of the shortest aim, where nothing is sent again
MIN_DELAY_FACTOR = 1.6  # limit of a set-up delay, in quickest delays: a long path takes about the target

DELAY_CAP = 2  # delay limits; cap for one sample: a single slow answer says little of the rest
TRUNK_RESERVATION = 0.7  # square roots of a group's size kept from calls in transit
TANDEM_CANDIDATES = 6  # tandems drawn after a block, of which the one with most free circuits is taken
LOW_PRIORITY = 0.5  # worth in means under which a call yields to fresh ones
RECOVERY_NS = 2 * SECOND  # time without a late set-up after which a far exchange has room for all
LOW_RATE = 0.25  # fraction of the usual rate below which an accept rate is applied; above, others leave room
MIN_THROTTLE = 0.2  # share to hold back under which a report is noise
REPORT_TTL_NS = SECOND  # a report older than this says nothing of now
MAX_LATE = 1.0  # set-ups past the delay target that one far exchange may owe us, for a call of mean worth
MAX_LATE_TOTAL = 3.0  # the same for all far exchanges at once: then our own processor is late
MAX_PRIORITY = 3.0  # a call counts as at most this many of mean worth
MIN_LEVEL_FRACTION = 0.2  # least level, as a fraction of the offered rate: a level of zero never recovers
DEFAULT_HOLD_NS = 12 * SECOND  # mean length of a call, where the settings tell none
DETOUR_MIN, DETOUR_MAX = 0.08, 0.67  # of mean call lengths: onward circuits come free in a small part of one

BUSY_MIN, BUSY_MAX = 0.02, 0.17  # the same for a number whose lines are busy
PAUSE_PER_AGENT_NS = 0.15 * SECOND  # longest pause before an unresponsive exchange is retried, for each agent
LOSS_WINDOW_NS = 10 * SECOND  # time within which two lost answers tell that more get lost
DEVIATION_FACTOR = 2.0  # mean deviations over the mean delay that answers usually take at most
COLD_USE = 0.8  # share of a cold exchange's budget that is used: bursts and other agents' guesses


class AdmissionGate:
    """One Call Count Control: counts arrivals over T and throttles the next T when they exceed a level."""

    def __init__(self, now: int) -> None:
        self.level = math.inf
        self.rate = 0.0  # arrivals a second, smoothed
        self.interval_start, self.span, self.arrivals = now, T_MIN_NS, 0
        self.throttled = False
        self.credit, self.credit_time = 1.0, now
        self.evaluation_start, self.admitted = now, 0

    def advance(self, now: int) -> None:
        """Closes the counting interval when its time is over."""
        past = now - self.interval_start
        if past >= self.span:
            counted = self.arrivals * SECOND / past
            weight = min(1.0, past / T_MAX_NS)
            self.rate += weight * (counted - self.rate)
            self.throttled = counted > self.level
            self.span = int(min(max(ARRIVALS_PER_T / max(self.rate, 0.001) * SECOND, T_MIN_NS), T_MAX_NS))
            self.interval_start, self.arrivals = now, 0

    def adjust_level(self, now: int, late: bool) -> None:
        """Moves the level by whether set-ups of the span that ends now were late."""
        let_through = self.admitted * SECOND / max(now - self.evaluation_start, 1)
        if late:
            self.level = let_through if math.isinf(self.level) else self.level * LEVEL_CUT
            self.level = max(self.level, self.rate * MIN_LEVEL_FRACTION, 1.0)
        elif not math.isinf(self.level):
            self.level *= LEVEL_RISE
            if self.level > 2 * max(self.rate, 1.0):
                self.level = math.inf
        self.evaluation_start, self.admitted = now, 0

    def admit(self, now: int, priority: float) -> bool:
        """Counts one arrival and tells whether it is let through, evenly spread when throttled.

        Worth (1 is the mean) decides who gets the rate: dear calls draw on half an interval ahead.
        """
        self.arrivals += 1
        rate = self.level * THROTTLE_RATIO if self.throttled else 0.0
        self.credit = min(2.0, self.credit + (now - self.credit_time) * rate / SECOND)
        self.credit_time = now
        ahead = rate * self.span / SECOND / 2 * (1.0 - 1.0 / priority) if priority > 1.0 else priority - 1.0
        if self.throttled and self.credit < 1.0 - ahead:
            return False
        self.credit -= 1.0 if self.throttled else 0.0
        self.admitted += 1
        return True


@dataclass(slots=True)
class FarExchange:
    """What is known of one exchange."""

    entry: ListEntry
    free: float | None = None
    group_size: float | None = None
    cold_sends: list[int] = field(default_factory=list)  # when set-ups went to it while it was cold
    unanswered: dict[tuple[str, int], int] = field(default_factory=dict)  # when sent
    delay_sum: int = 0  # of set-ups answered in the judged span, summed
    answers: int = 0
    min_delay: int = 0  # delay of the quickest answer: the way and the work, without a wait
    failures: int = 0  # set-ups that it did not take, since the last that it did
    last_failure: int = 0  # when the last of these was heard of
    paused_until: int = 0
    last_timeout: int = -LOSS_WINDOW_NS  # when a set-up to it last timed out, with no answer since
    last_late: int = -RECOVERY_NS  # when it last owed or answered a set-up past the target
    throttle: float = 0.0  # share of new set-ups that its last report asks to keep back
    throttled_at: int = 0  # when that report came
    credit: float = 0.0  # set-ups that may go while it asks so
    aged: deque[tuple[int, tuple[str, int]]] = field(default_factory=deque)  # past the target: sent, which

    def late_count(self, since: int, enough: float) -> int:
        """How many unanswered set-ups were sent up to `since`, counted no further than `enough`."""
        count = 0
        for sent in self.unanswered.values():
            if sent > since or count >= enough:
                break
            count += 1
        return count

    def late_count_after(self, since: int, after: int, enough: float) -> int:
        """The same of those sent later than `after`, a time that never goes back."""
        while self.aged and (
            self.aged[0][0] <= after or self.unanswered.get(self.aged[0][1]) != self.aged[0][0]
        ):
            self.aged.popleft()
        count = 0
        for sent, which in self.aged:
            if sent > since or count >= enough:
                break
            count += self.unanswered.get(which) == sent
        return count

    def apply_report(self, report: LoadReport, now: int, usual: float) -> None:
        if report.free_circuits is not None:
            self.free = report.free_circuits
        if report.group_size is not None:
            self.group_size = report.group_size
        if report.throttle_fraction is not None:
            self.throttle, self.throttled_at = min(report.throttle_fraction, 1.0), now
        elif report.accept_rate is not None and usual > 0:
            self.throttle, self.throttled_at = max(0.0, 1.0 - report.accept_rate / (usual * LOW_RATE)), now


@dataclass(slots=True)
class PendingCall:
    """A call for which the final answer is still owed."""

    call: Call
    width: int
    deadline: int
    objective: int = 0  # until when it stands in time
    priority: float = 1.0  # what it may still earn, in means
    attempts: int = 0
    in_flight: bool = False  # an attempt has no outcome yet
    ran_at: str | None = None  # exchange of the first attempt that may have run
    ran_sent: int = 0  # when that attempt was sent
    not_before: int = 0  # the release must be waited for
    tried: list[str] = field(default_factory=list)


class CallAgent:
    """Makes the decisions of one call agent: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.config = settings
        self.random = Random(seed)
        self.exchanges: dict[str, FarExchange] = {}
        self.active: dict[int, FarExchange] = {}  # by number, the exchange that takes new calls
        self.candidates: list[FarExchange] = []  # the same, to draw from
        self.tandems: dict[int, str] = {}
        self.paused: dict[tuple[str, int], tuple[float, int]] = {}  # detours turned back: pause, its end
        self.pending: dict[str, PendingCall] = {}
        self.gate: AdmissionGate | None = None
        self.first_dialled: OrderedDict[str, int] = OrderedDict()  # by number, to recognise redials
        self.busy: dict[str, tuple[float, int]] = {}  # numbers with all lines busy: pause, its end
        self.mean_worth = 0.0
        self.level_cut_at = 0  # when the gate's level was last cut
        self.last_on_time = 0  # when the last set-up left that was answered within the target
        self.recent_sends: deque[tuple[int, FarExchange, tuple[str, int]]] = deque()  # set-ups as they left
        self.late_exchanges: dict[str, FarExchange] = {}  # with unanswered set-ups past the target
        self.actions: list[Action] = []
        self.now = 0
        self.send_rate = 0.0  # set-ups a second to one warm exchange, smoothed
        self.sent_count, self.sent_since = 0, 0
        self.last_losses = (-LOSS_WINDOW_NS, -LOSS_WINDOW_NS)  # when answers were last seen to be lost
        self.mean_delay = self.deviation = float(settings.period_ns)  # of answers: mean and mean deviation
        self.cold_exchanges: list[FarExchange] = []  # exchanges that are cold
        self.cold_budget, self.credited = 0.0, 0  # set-ups to cold ones, last credited
        self.unusable = not settings.classes or settings.period_ns <= 0 or settings.agents <= 0
        self.unusable_logged = False
        aims = [item.objective_ns for item in settings.classes if item.objective_ns > 0] or [SECOND]
        resend = int(settings.retransmit_ns * RETRANSMIT_FRACTION)
        holds = [item.mean_hold_ns for item in settings.classes if item.mean_hold_ns] or [DEFAULT_HOLD_NS]
        self.hold = sum(holds) / len(holds)
        self.delay_target = min(filter(None, (resend, int(min(aims) * OBJECTIVE_FRACTION))))

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        self.now, self.actions = now_ns, []
        if self.gate is None:
            self.gate, self.sent_since = AdmissionGate(now_ns), now_ns
        self.gate.advance(now_ns)
        if now_ns - self.gate.evaluation_start >= EVALUATION_NS:
            self.evaluate()
        match event:
            case Call():
                self.on_call(event)
            case CallAnswered():
                self.on_answered(event)
            case AttemptEnded():
                self.on_ended(event)
            case LoadReported():
                if event.exchange in self.exchanges:
                    self.apply_report(self.exchanges[event.exchange], event.report)
            case CallerHungUp():
                self.pending.pop(event.call, None)
            case TimerExpired():
                self.on_timer(event.token)
            case ExchangeList():
                self.on_list(event)
        return self.actions

    def evaluate(self) -> None:
        """Judges the gate by delay that most far ends share: the rest is theirs, not our processor's."""
        assert self.gate is not None
        means = [(far.delay_sum // far.answers, far) for far in self.exchanges.values() if far.answers]
        late = bool(means) and all(mean > self.delay_limit(far) for mean, far in means)
        if late:
            self.level_cut_at = self.now
        if means or not any(far.unanswered for far in self.exchanges.values()):
            self.gate.adjust_level(self.now, late)
        else:
            self.gate.evaluation_start, self.gate.admitted = self.now, 0
        for far in self.exchanges.values():
            far.delay_sum = far.answers = 0

    # The list of exchanges

    def on_list(self, event: ExchangeList) -> None:
        if event.kind is ListKind.FAILED:
            self.actions.append(SetTimer(int(SECOND * self.random.uniform(0.5, 1.5)), "list"))
            return
        named = {entry.exchange: entry for entry in event.entries}
        if event.kind is not ListKind.CHANGES:
            self.exchanges = {key: far for key, far in self.exchanges.items() if key in named}
        for key, entry in named.items():
            if entry.state is ExchangeState.GONE:
                self.exchanges.pop(key, None)
                continue
            far = self.exchanges.setdefault(key, FarExchange(entry))
            if far.entry.started_ns != entry.started_ns:  # what was known of the old process is void
                far = self.exchanges[key] = FarExchange(entry, far.free, far.group_size)
            far.entry = entry
        self.active = {}
        for far in self.exchanges.values():
            other = self.active.get(far.entry.number)
            newer = other is None or (far.entry.started_ns or 0) >= (other.entry.started_ns or 0)
            if far.entry.state is ExchangeState.UP and newer:
                self.active[far.entry.number] = far
        self.candidates = list(self.active.values())
        self.paused = {way: back for way, back in self.paused.items() if way[0] in self.exchanges}
        if not self.cold_exchanges:
            self.cold_budget, self.credited = (
                (self.config.agent_index + 0.5) / max(self.config.agents, 1) % 1.0,
                self.now,
            )
        self.cold_exchanges = [far for far in self.candidates if self.is_cold(far)]
        if self.config.must_subscribe and event.kind is ListKind.SAVED:
            self.actions.append(Subscribe())

    def is_cold(self, far: FarExchange) -> bool:
        started = far.entry.started_ns
        return started is not None and self.now - started < self.config.cold_ns

    def has_budget(self, far: FarExchange) -> bool:
        """Rule 4: our share of what cold exchanges can take, judged from the rate that warm ones take.

        The share of one exchange is less than a set-up where agents are many, so it is one credit for all
        that are cold now; it grows from a part of one by the agent's number, so that agents come in turn.
        """
        if not self.is_cold(far):
            return True
        self.cold_exchanges = [other for other in self.cold_exchanges if self.is_cold(other)]
        window = self.config.collapse_after_ns
        cap = 2 * self.send_rate * self.config.cold_share * self.config.collapse_load * COLD_USE / SECOND
        rate = cap * len(self.cold_exchanges)
        self.cold_budget = min(self.cold_budget + rate * (self.now - self.credited), max(rate * window, 1.0))
        self.credited = self.now
        far.cold_sends = [sent for sent in far.cold_sends if self.now - sent < window]
        return self.cold_budget >= 1.0 and len(far.cold_sends) < max(2 * cap * window, 1.0)

    # Calls

    def on_call(self, call: Call) -> None:
        if self.unusable or not 0 <= call.klass < len(self.config.classes):
            if not self.unusable_logged:
                self.actions.append(LogMessage("settings are not fit to act on: calls are refused"))
            self.unusable_logged = True
            self.actions.append(RefuseCall(call.call, 0))
            return
        width = call.width or self.config.classes[call.klass].width
        held = PendingCall(call, width, self.now + call.remaining_ns)
        self.pending[call.call] = held
        held.priority = self.compute_priority(held)
        assert self.gate is not None
        if self.config.meshed and (call.dest not in self.active or call.dest == self.config.own_exchange):
            self.refuse(held)  # no way leads there, so it is no arrival that the gate need count
            return
        lines = call.transit or self.now >= self.busy.get(call.key, (0, 0))[1]
        let = lines and self.gate.admit(self.now, held.priority) and not self.must_yield(held)
        enough = MAX_LATE_TOTAL * (1 + self.tolerance()) * held.priority
        if let and self.total_late(enough) < enough:
            self.route(held)
        else:
            self.refuse(held)

    def must_yield(self, held: PendingCall) -> bool:
        """Whether a call past its aim would take work that fresh ones want: its way was late of late."""
        assert self.gate is not None
        far = self.active.get(held.call.dest)
        busy = not math.isinf(self.gate.level) or (far is not None and self.now - far.last_late < RECOVERY_NS)
        return busy and held.priority < LOW_PRIORITY

    def compute_priority(self, held: PendingCall) -> float:
        """What the call may still earn against the mean: a redial past its aim earns the late share."""
        call = held.call
        kind = self.config.classes[call.klass]
        worth = kind.worth
        held.objective = self.now + kind.objective_ns
        if not call.transit:
            for key, seen in list(islice(self.first_dialled.items(), 2)):  # the oldest come first
                if self.now - seen > kind.deadline_ns:
                    del self.first_dialled[key]
            first = self.first_dialled.setdefault(call.key, self.now) if call.key else self.now
            held.objective = first + kind.objective_ns
            if self.now + self.delay_target > held.objective:
                worth *= kind.late_worth
        self.mean_worth += (kind.worth - self.mean_worth) * (0.02 if self.mean_worth else 1.0)
        return min(worth / max(self.mean_worth, 1e-9), MAX_PRIORITY)

    def total_late(self, enough: float) -> int:
        """Late set-ups that left after the last one answered quickly: delay common to all is our own.

        Counted no further than `enough`, and only where some have aged, so that its cost stays the same.
        """
        while self.recent_sends and self.recent_sends[0][0] <= self.now - self.delay_target:
            sent, far, which = self.recent_sends.popleft()
            if sent > self.last_on_time and far.unanswered.get(which) == sent:
                far.aged.append((sent, which))
                self.late_exchanges[far.entry.exchange] = far
        count = 0
        for exchange, far in list(self.late_exchanges.items()):
            known = self.exchanges.get(exchange) is far
            count += far.late_count_after(self.cutoff(far), self.last_on_time, enough - count) * (
                known and not far.failures
            )
            if not (known and far.aged):
                del self.late_exchanges[exchange]
            if count >= enough:
                break
        return count

    def delay_limit(self, far: FarExchange) -> int:
        """How long a set-up to this exchange may take before it is late."""
        return max(self.delay_target, int(far.min_delay * MIN_DELAY_FACTOR))

    def cutoff(self, far: FarExchange) -> int:
        """Until when a set-up must have left that is late now."""
        return self.now - self.delay_limit(far)

    def route(self, held: PendingCall) -> None:
        """Sends the call on its way, or refuses it when no way is left."""
        if self.now < held.not_before:
            return
        spent = held.attempts >= self.config.max_attempts or self.now >= held.deadline - self.config.period_ns
        far = None if spent else self.direct_route(held) or self.tandem_route(held)
        if far is not None and self.may_repeat(held, far) and self.passes_throttle(far, held):
            self.send(held, far)
        elif far is not None or spent or not self.schedule_retry(held):
            self.refuse(held)

    def schedule_retry(self, held: PendingCall) -> bool:
        """Keeps a call for a shut destination, to be tried again, while it can still stand in time.

        That costs no processor anything, and a caller who is refused comes back past the aim.
        """
        far = self.active.get(held.call.dest)
        assert self.gate is not None
        if far is None or not far.failures or held.call.transit or not math.isinf(self.gate.level):
            return False
        wait = max(far.paused_until - self.now, int(self.delay_target * self.random.uniform(0.5, 1.0)))
        if self.now + wait + self.delay_target > min(held.objective, held.deadline):
            return False
        if far.entry.exchange in held.tried:
            held.tried.remove(far.entry.exchange)
        self.actions.append(SetTimer(wait, "call " + held.call.call))
        return True

    def apply_report(self, far: FarExchange, report: LoadReport) -> None:
        far.apply_report(report, self.now, self.send_rate * (self.config.agents - 1))

    def passes_throttle(self, far: FarExchange, held: PendingCall) -> bool:
        """Keeps back the share that the exchange asks for, while its word is fresh; dear calls go first."""
        if self.now - far.throttled_at > REPORT_TTL_NS or far.throttle < MIN_THROTTLE:
            return True
        far.credit = min(1.0, far.credit + 1.0 - far.throttle)
        if far.credit * held.priority < 1.0:
            return False
        far.credit -= 1.0
        return True

    def usable(self, far: FarExchange, held: PendingCall, reserved: float) -> bool:
        if far.entry.number == self.config.own_exchange or far.entry.exchange in held.tried:
            return False
        pools = self.config.classes[held.call.klass].skilled_pools
        if not self.config.meshed and pools and far.entry.number not in pools:
            return False
        if far.failures > self.tolerance() and (far.unanswered or self.now < far.paused_until):
            return False  # it took nothing: one set-up at a time asks whether it is back
        enough = (MAX_LATE + self.tolerance()) * held.priority
        if far.unanswered and far.late_count(self.cutoff(far), enough) >= enough:
            return False
        return (far.free is None or far.free >= held.width + reserved) and self.has_budget(far)

    def direct_route(self, held: PendingCall) -> FarExchange | None:
        far = self.active.get(held.call.dest)
        if far is None:
            return None
        kept = self.reserved_circuits(far, held) if held.call.transit else 0.0
        return far if self.usable(far, held, kept) else None

    def tandem_route(self, held: PendingCall) -> FarExchange | None:
        """The tandem remembered for the destination; after a block the advised one, else one drawn."""
        dest = held.call.dest
        if held.call.transit or (self.config.meshed and dest not in self.active) or self.bars_tandems(dest):
            return None
        known = self.exchanges.get(self.tandems.get(dest, ""))
        if known is not None and self.usable_tandem(known, held):
            return known
        chosen = self.active.get(-1 if held.call.advised is None else held.call.advised)
        if chosen is None or not self.usable_tandem(chosen, held):
            drawn = self.random.sample(self.candidates, min(TANDEM_CANDIDATES, len(self.candidates)))
            ways = [far for far in drawn if self.usable_tandem(far, held)]
            chosen = max(ways, key=lambda far: far.free or 0.0, default=None)
        if chosen is not None:
            self.tandems[dest] = chosen.entry.exchange
        return chosen

    def bars_tandems(self, dest: int) -> bool:
        """A detour is a third more work for all: none while a gate throttles or set-ups are late.

        Nor does one help a destination that is itself shut or still cold.
        """
        assert self.gate is not None
        far = self.active.get(dest)
        if far is not None and (far.failures > self.tolerance() or far.late_count(self.cutoff(far), 1)):
            return True
        if far is not None and not self.has_budget(far):
            return True
        return self.gate.throttled or self.total_late(1) > 0

    def usable_tandem(self, far: FarExchange, held: PendingCall) -> bool:
        """Whether a detour by this exchange leaves room for its direct calls, and none waits there."""
        if far.entry.number == held.call.dest or self.active.get(far.entry.number) is not far:
            return False
        kept = self.reserved_circuits(far, held)
        _, end = self.paused.get((far.entry.exchange, held.call.dest), (0, 0))
        return self.now >= end and self.usable(far, held, kept) and far.late_count(self.cutoff(far), 1) == 0

    @staticmethod
    def reserved_circuits(far: FarExchange, held: PendingCall) -> float:
        """Circuits kept back from detours: fewer from a dear call, which may well be worth two."""
        return TRUNK_RESERVATION * math.sqrt(far.group_size or 0.0) / max(held.priority, LOW_PRIORITY)

    def may_repeat(self, held: PendingCall, far: FarExchange) -> bool:
        """Rule 2: a call whose class forbids repeats is sent again only where a repeat is dropped."""
        kind = self.config.classes[held.call.klass]
        if held.ran_at is None or kind.idempotency is Idempotency.SAFE:
            return True
        if kind.idempotency is Idempotency.UNSAFE or self.now - held.ran_sent >= kind.dedup_window_ns:
            return False
        first = self.exchanges.get(held.ran_at)
        if kind.key_scope == "all" or first is None:
            return kind.key_scope == "all"
        if kind.key_scope == "zone":
            return first.entry.zone is not None and first.entry.zone == far.entry.zone
        return first.entry.number == far.entry.number

    def send(self, held: PendingCall, far: FarExchange) -> None:
        held.in_flight = True
        held.attempts += 1
        held.tried.append(far.entry.exchange)
        if held.ran_at is None:
            held.ran_sent = self.now
        which = held.call.call, held.attempts - 1
        far.unanswered[which] = self.now
        self.recent_sends.append((self.now, far, which))
        if self.is_cold(far):
            far.cold_sends.append(self.now)
            self.cold_budget -= 1.0
        self.count_send()
        timeout = max(min(held.deadline - self.now - self.config.period_ns, self.answer_timeout(held)), 1)
        self.actions.append(SetUp(held.call.call, far.entry.exchange, timeout))

    def answer_timeout(self, held: PendingCall) -> int:
        """How long to wait for an answer: while some get lost, as long as leaves time to try again.

        A set-up that is merely slow would be done twice, so this acts only on answers seen to be lost, and
        where a further attempt is allowed and can still stand within the call's aim.
        """
        assert self.gate is not None
        usual = int(self.mean_delay + DEVIATION_FACTOR * self.deviation)
        left = held.objective - self.now - self.config.release_guard_ns - usual
        again = not held.call.transit and self.config.classes[held.call.klass].idempotency is Idempotency.SAFE
        spare = math.isinf(self.gate.level)  # else a fresh call wants the work
        return left if again and spare and self.answers_lost() and left > usual else held.deadline - self.now

    def answers_lost(self) -> bool:
        return self.now - self.last_losses[0] < LOSS_WINDOW_NS

    def tolerance(self) -> int:
        """Set-ups without an answer that tell nothing: one while answers get lost, else none."""
        return 1 if self.answers_lost() else 0

    def detect_losses(self, far: FarExchange, sent: int) -> None:
        """An exchange works in turn: direct set-ups that left well before one now answered are lost.

        They tell nothing of how late it is, so they are owed no more. Well before is more than jitter makes
        up, for which the quickest answer's delay stands: by the time that a set-up counts as late, others
        that left after it have told.
        """
        margin = min(far.min_delay or self.delay_target, self.delay_target)
        lost = far.last_timeout > self.now - LOSS_WINDOW_NS
        far.last_timeout = -LOSS_WINDOW_NS
        for (call, attempt), _ in list(takewhile(lambda it: it[1] <= sent - margin, far.unanswered.items())):
            held = self.pending.get(call)
            if held is not None and held.call.dest == far.entry.number:
                del far.unanswered[call, attempt]
                lost = True
        if lost:
            self.last_losses = (self.last_losses[1], self.now)

    def count_send(self) -> None:
        self.sent_count += 1
        past = self.now - self.sent_since
        if past >= T_MAX_NS:
            each = self.sent_count * SECOND / past / max(len(self.active) - 1, 1)
            self.send_rate += (each - self.send_rate) * (0.3 if self.send_rate else 1.0)
            self.sent_count, self.sent_since = 0, self.now

    def refuse(self, held: PendingCall) -> None:
        del self.pending[held.call.call]
        kind = self.config.classes[held.call.klass]
        if held.ran_at is not None and kind.idempotency is not Idempotency.SAFE:
            self.actions.append(FailCall(held.call.call))
        else:
            self.actions.append(RefuseCall(held.call.call, self.retry_after(held.call)))

    def retry_after(self, call: Call) -> int:
        """How long it is of no use to come back: until the next interval, or until a pause is over."""
        assert self.gate is not None
        ends = [self.busy.get(call.key, (0, 0))[1]]
        if self.gate.throttled:
            ends.append(self.gate.interval_start + self.gate.span)
        far = self.active.get(call.dest)
        if far is not None and far.failures:
            ends.append(far.paused_until)
        return min(max(max(ends) - self.now, 0), self.config.max_retry_after_ns)

    # Outcomes

    def on_answered(self, event: CallAnswered) -> None:
        held = self.pending.pop(event.call, None)
        if held is not None:
            self.paused.pop((event.exchange, held.call.dest), None)
        far = self.exchanges.get(event.exchange)
        if far is not None:
            far.failures = 0
            far.unanswered.pop((event.call, event.attempt), None)
            self.detect_losses(far, self.now - event.delay_ns)
            if event.delay_ns <= self.delay_target:  # one that has waited tells nothing of the way
                far.min_delay = min(far.min_delay or event.delay_ns, event.delay_ns)
            if self.now - event.delay_ns >= self.level_cut_at:  # earlier ones tell of the time before the cut
                far.delay_sum += min(event.delay_ns, DELAY_CAP * self.delay_limit(far))
                far.answers += 1
            if event.delay_ns > self.delay_limit(far):
                far.last_late = self.now
            else:
                self.last_on_time = max(self.last_on_time, self.now - event.delay_ns)
        self.deviation += (abs(event.delay_ns - self.mean_delay) - self.deviation) * 0.05
        self.mean_delay += (event.delay_ns - self.mean_delay) * 0.05

    def on_ended(self, event: AttemptEnded) -> None:
        far = self.exchanges.get(event.exchange)
        if far is not None:
            self.apply_report(far, event.report)
            unanswered = far.unanswered.pop((event.call, event.attempt), None) is not None
            if unanswered:
                self.on_failed(far, event)
        held = self.pending.get(event.call)
        if held is None:
            return
        held.in_flight = False
        if event.final:
            del self.pending[event.call]
            return
        if event.outcome not in (Outcome.FULL, Outcome.UNREACHED, Outcome.NOT_SENT) and held.ran_at is None:
            held.ran_at = event.exchange
        if event.cause is Cause.LINES_BUSY:
            self.on_busy(held)
        if event.outcome in (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CALLED_OFF):
            if event.outcome is Outcome.TIMED_OUT and self.answers_lost() and event.exchange in held.tried:
                held.tried.remove(event.exchange)  # it did the work; its next answer may well come
            self.await_release(held)
        elif self.may_reroute(event):
            if self.tandems.get(held.call.dest) == event.exchange:
                del self.tandems[held.call.dest]
            if event.outcome is Outcome.BUSY and far is self.active.get(held.call.dest):
                held.tried = []  # no other way goes round the destination
            self.route(held)
        elif event.cause is not Cause.PROCESSOR_FULL or not self.schedule_retry(held):
            self.refuse(held)

    def on_failed(self, far: FarExchange, event: AttemptEnded) -> None:
        """Shuts the gate to an exchange that takes nothing, be it full, hung, dead or cut off."""
        if event.cause is Cause.DESTINATION_FULL:
            held = self.pending.get(event.call)
            beyond = self.active.get(held.call.dest) if held else None
            if beyond is None:
                return
            far = beyond
        if event.outcome is Outcome.BUSY or event.cause is Cause.CRANKBACK:
            far.failures = 0
            self.on_crankback(event)
            return
        full = event.cause in (Cause.PROCESSOR_FULL, Cause.DESTINATION_FULL)
        if event.outcome not in (Outcome.TIMED_OUT, Outcome.UNREACHED) and not full:
            return
        if far.failures and self.now - event.delay_ns <= far.last_failure:
            return  # it left before that and tells nothing new
        far.failures += 1
        far.last_failure = self.now
        if event.outcome is Outcome.TIMED_OUT:
            far.last_timeout = self.now
        longest = PAUSE_PER_AGENT_NS * self.config.agents * self.random.uniform(0.75, 1.25)
        pause = longest * min(0.125 * 2.0**far.failures, 1.0)
        far.paused_until = max(far.paused_until, self.now + max(int(pause), event.retry_after_ns or 0))

    def on_busy(self, held: PendingCall) -> None:
        """Shuts the gate to a number whose lines are busy, for a pause by how often they were found so."""
        for key in [key for key, (_, end) in self.busy.items() if self.now - end > BUSY_MAX * self.hold][:2]:
            del self.busy[key]
        pause = min(self.busy.get(held.call.key, (BUSY_MIN * self.hold / 2, 0))[0] * 2, BUSY_MAX * self.hold)
        self.busy[held.call.key] = (pause, self.now + int(pause * self.random.uniform(0.75, 1.25)))

    def on_crankback(self, event: AttemptEnded) -> None:
        """Lets a detour rest that had no circuit onward: it costs two processors work each time."""
        held = self.pending.get(event.call)
        if held is not None and event.cause is Cause.CRANKBACK:
            way = (event.exchange, held.call.dest)
            pause = min(self.paused.get(way, (DETOUR_MIN * self.hold / 2, 0))[0] * 2, DETOUR_MAX * self.hold)
            self.paused[way] = (pause, self.now + int(pause * self.random.uniform(0.75, 1.25)))

    @staticmethod
    def may_reroute(event: AttemptEnded) -> bool:
        """Whether a further set-up may do better: not when the destination or our own processor is full.

        An error without a cause is a signalling fault, which tells nothing of the next set-up.
        """
        if event.outcome is Outcome.UNREACHED or (event.outcome is Outcome.BUSY and event.cause is None):
            return True
        return event.cause in (Cause.NO_CIRCUIT, Cause.CRANKBACK)

    def await_release(self, held: PendingCall) -> None:
        """Rule 5: what the attempt held may still be taken, so the call waits or is given up."""
        held.not_before = self.now + self.config.release_guard_ns
        if held.not_before + self.config.period_ns >= held.deadline or held.call.transit:
            self.refuse(held)
        else:
            self.actions.append(SetTimer(self.config.release_guard_ns, "call " + held.call.call))

    def on_timer(self, token: str) -> None:
        if token == "list":
            self.actions.append(Subscribe() if self.config.must_subscribe else RequestList())
        held = self.pending.get(token.removeprefix("call "))
        if held is not None and not held.in_flight:
            self.route(held)
