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
    AskList,
    Call,
    Cause,
    Effect,
    Ended,
    Event,
    ExchangeList,
    GiveUp,
    HungUp,
    ListEntry,
    ListKind,
    Note,
    Outcome,
    Report,
    Reported,
    SetTimer,
    Settings,
    SetUp,
    Stands,
    State,
    Subscribe,
    TimerDue,
    TurnAway,
)

SECOND = 1_000_000_000
COUNTS = 12.0  # arrivals that T should hold: fewer are noise, more come late
T_MIN, T_MAX = SECOND // 4, 2 * SECOND  # bounds of T at any observed rate
JUDGED = SECOND  # set-up delays are judged over this span
THROTTLE = 0.8  # the rate let through, as a share of the level
CUT, RISE = 0.8, 1.3  # change of the level for a span over and under the delay target
RESEND_SHARE = 0.5  # delay target as a share of the resend time: a repeat is work that no count shows
AIM_SHARE = 0.25  # delay target as a share of the shortest aim, where nothing is sent again
WAY = 1.6  # an answer may take this many times the quickest seen: on a long way that takes about as long as
# the target, and a calm exchange would be late for ever
OUTLIER = 2  # limits that one delay counts as at most: a lone answer that was held up says little of the rest
RESERVE = 0.7  # square roots of a group's size kept from calls in transit
DRAWS = 6  # tandems drawn after a block, of which the one with most free circuits is taken
CHEAP = 0.5  # worth in means under which a call yields to fresh ones
CALM = 2 * SECOND  # time without a late set-up after which a far exchange has room for all
SCARCE = 0.25  # share of the usual rate under which a stated rate is obeyed: far above it, others leave room
HEED = 0.2  # share to hold back under which a report is noise
STALE = SECOND  # a report older than this says nothing of now
LATE = 1.0  # set-ups past the delay target that one far exchange may owe us, for a call of mean worth
OWN_LATE = 3.0  # the same for all far exchanges at once: then our own processor is late
DEAR = 3.0  # a call counts as at most this many of mean worth
FLOOR = 0.2  # share of the offered rate under which a level is never cut: a level of nothing stays shut
HOLD = 12 * SECOND  # mean length of a call, where the settings tell none
BACK, BACK_MAX = 0.08, 0.67  # first and longest pause of a detour that was turned back, in mean call lengths:
# circuits beyond come free within a small part of one
BUSY, BUSY_MAX = 0.02, 0.17  # the same for a number whose lines are busy
PAUSE_EACH = 0.15 * SECOND  # longest pause before a set-up asks a shut exchange, for each agent that asks
LOSING = 10 * SECOND  # time within which two lost answers tell that more get lost
SPREAD = 2.0  # mean deviations over the mean delay that answers usually take at most
COLD_SAFETY = 0.8  # share of a cold exchange's budget that is used: bursts and other agents' guesses


class Gate:
    """One Call Count Control: counts arrivals over T and throttles the next T when they exceed a level."""

    def __init__(self, now: int) -> None:
        self.level = math.inf
        self.rate = 0.0  # arrivals a second, smoothed
        self.begun, self.span, self.count = now, T_MIN, 0
        self.throttled = False
        self.credit, self.fed = 1.0, now
        self.judged, self.passed = now, 0

    def roll(self, now: int) -> None:
        """Closes the counting interval when its time is over."""
        past = now - self.begun
        if past >= self.span:
            counted = self.count * SECOND / past
            weight = min(1.0, past / T_MAX)
            self.rate += weight * (counted - self.rate)
            self.throttled = counted > self.level
            self.span = int(min(max(COUNTS / max(self.rate, 0.001) * SECOND, T_MIN), T_MAX))
            self.begun, self.count = now, 0

    def judge(self, now: int, late: bool) -> None:
        """Moves the level by whether set-ups of the span that ends now were late."""
        let_through = self.passed * SECOND / max(now - self.judged, 1)
        if late:
            self.level = let_through if math.isinf(self.level) else self.level * CUT
            self.level = max(self.level, self.rate * FLOOR, 1.0)
        elif not math.isinf(self.level):
            self.level *= RISE
            if self.level > 2 * max(self.rate, 1.0):
                self.level = math.inf
        self.judged, self.passed = now, 0

    def offer(self, now: int, worth: float) -> bool:
        """Counts one arrival and tells whether it is let through, evenly spread when throttled.

        Worth (1 is the mean) decides who gets the rate: dear calls draw on half an interval ahead.
        """
        self.count += 1
        rate = self.level * THROTTLE if self.throttled else 0.0
        self.credit = min(2.0, self.credit + (now - self.fed) * rate / SECOND)
        self.fed = now
        ahead = rate * self.span / SECOND / 2 * (1.0 - 1.0 / worth) if worth > 1.0 else worth - 1.0
        if self.throttled and self.credit < 1.0 - ahead:
            return False
        self.credit -= 1.0 if self.throttled else 0.0
        self.passed += 1
        return True


@dataclass(slots=True)
class Far:
    """What is known of one exchange."""

    entry: ListEntry
    free: float | None = None
    size: float | None = None
    sent: list[int] = field(default_factory=list)  # when set-ups went to it while it was cold
    owed: dict[tuple[str, int], int] = field(default_factory=dict)  # set-ups without an answer: when sent
    delays: int = 0  # of set-ups answered in the judged span, summed
    answers: int = 0
    quickest: int = 0  # delay of the quickest answer: the way and the work, without a wait
    strikes: int = 0  # set-ups that it did not take, since the last that it did
    struck: int = 0  # when the last of these was heard of
    shut_until: int = 0
    missed: int = -LOSING  # when a set-up to it last timed out, with no answer since
    slow_at: int = -CALM  # when it last owed or answered a set-up past the target
    hold: float = 0.0  # share of new set-ups that its last report asks to keep back
    told: int = 0  # when that report came
    credit: float = 0.0  # set-ups that may go while it asks so
    aged: deque[tuple[int, tuple[str, int]]] = field(default_factory=deque)  # past the target: sent, which

    def late(self, since: int, enough: float) -> int:
        """How many unanswered set-ups were sent up to `since`, counted no further than `enough`."""
        count = 0
        for sent in self.owed.values():
            if sent > since or count >= enough:
                break
            count += 1
        return count

    def late_after(self, since: int, after: int, enough: float) -> int:
        """The same of those sent later than `after`, a time that never goes back."""
        while self.aged and (self.aged[0][0] <= after or self.owed.get(self.aged[0][1]) != self.aged[0][0]):
            self.aged.popleft()
        count = 0
        for sent, which in self.aged:
            if sent > since or count >= enough:
                break
            count += self.owed.get(which) == sent
        return count

    def note(self, report: Report, now: int, usual: float) -> None:
        if report.free is not None:
            self.free = report.free
        if report.size is not None:
            self.size = report.size
        if report.hold_back is not None:
            self.hold, self.told = min(report.hold_back, 1.0), now
        elif report.takes is not None and usual > 0:
            self.hold, self.told = max(0.0, 1.0 - report.takes / (usual * SCARCE)), now


@dataclass(slots=True)
class Held:
    """A call for which the final answer is still owed."""

    call: Call
    width: int
    deadline: int
    aim_at: int = 0  # until when it stands in time
    worth: float = 1.0  # what it may still earn, in means
    attempts: int = 0
    out: bool = False  # an attempt has no outcome yet
    ran_at: str | None = None  # exchange of the first attempt that may have run
    ran_ns: int = 0  # when that attempt was sent
    not_before: int = 0  # the release must be waited for
    tried: list[str] = field(default_factory=list)


class CallAgent:
    """Makes the decisions of one call agent: events in, actions out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set = settings
        self.random = Random(seed)
        self.fars: dict[str, Far] = {}
        self.up: dict[int, Far] = {}  # by number, the exchange that takes new calls
        self.ready: list[Far] = []  # the same, to draw from
        self.tandems: dict[int, str] = {}
        self.backs: dict[tuple[str, int], tuple[float, int]] = {}  # detours turned back: pause, its end
        self.held: dict[str, Held] = {}
        self.gate: Gate | None = None
        self.seen: OrderedDict[str, int] = (
            OrderedDict()
        )  # when a number was first dialled by a caller who may dial again
        self.busy: dict[str, tuple[float, int]] = {}  # numbers with all lines busy: pause, its end
        self.mean_worth = 0.0
        self.cut_at = 0  # when the gate's level was last cut
        self.quick = 0  # when the last set-up left that was answered within the target
        self.young: deque[tuple[int, Far, tuple[str, int]]] = deque()  # set-ups as they left
        self.slow: dict[str, Far] = {}  # exchanges with set-ups that have aged without an answer
        self.actions: list[Action] = []
        self.now = 0
        self.sends = 0.0  # set-ups a second to one warm exchange, smoothed
        self.sent_count, self.sent_since = 0, 0
        self.lost = (-LOSING, -LOSING)  # when answers were last seen to be lost
        self.delay = self.spread = float(settings.period_ns)  # of answers: mean and mean deviation
        self.colds: list[Far] = []  # exchanges that are cold
        self.budget, self.fed = 0.0, 0  # set-ups that may go to cold ones, and when that last grew
        self.ill = not settings.classes or settings.period_ns <= 0 or settings.agents <= 0
        self.said_ill = False
        aims = [item.aim_ns for item in settings.classes if item.aim_ns > 0] or [SECOND]
        resend = int(settings.resend_ns * RESEND_SHARE)
        holds = [item.hold_ns for item in settings.classes if item.hold_ns] or [HOLD]
        self.hold = sum(holds) / len(holds)
        self.target = min(filter(None, (resend, int(min(aims) * AIM_SHARE))))

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        self.now, self.actions = now_ns, []
        if self.gate is None:
            self.gate, self.sent_since = Gate(now_ns), now_ns
        self.gate.roll(now_ns)
        if now_ns - self.gate.judged >= JUDGED:
            self.judge()
        match event:
            case Call():
                self.on_call(event)
            case Stands():
                self.on_stands(event)
            case Ended():
                self.on_ended(event)
            case Reported():
                if event.exchange in self.fars:
                    self.note(self.fars[event.exchange], event.report)
            case HungUp():
                self.held.pop(event.call, None)
            case TimerDue():
                self.on_timer(event.token)
            case ExchangeList():
                self.on_list(event)
        return self.actions

    def judge(self) -> None:
        """Judges the gate by delay that most far ends share: the rest is theirs, not our processor's."""
        assert self.gate is not None
        means = [(far.delays // far.answers, far) for far in self.fars.values() if far.answers]
        late = bool(means) and all(mean > self.limit(far) for mean, far in means)
        if late:
            self.cut_at = self.now
        if means or not any(far.owed for far in self.fars.values()):
            self.gate.judge(self.now, late)
        else:
            self.gate.judged, self.gate.passed = self.now, 0
        for far in self.fars.values():
            far.delays = far.answers = 0

    # The list of exchanges

    def on_list(self, event: ExchangeList) -> None:
        if event.kind is ListKind.FAILED:
            self.actions.append(SetTimer(int(SECOND * self.random.uniform(0.5, 1.5)), "list"))
            return
        named = {entry.exchange: entry for entry in event.entries}
        if event.kind is not ListKind.CHANGES:
            self.fars = {key: far for key, far in self.fars.items() if key in named}
        for key, entry in named.items():
            if entry.state is State.GONE:
                self.fars.pop(key, None)
                continue
            far = self.fars.setdefault(key, Far(entry))
            if far.entry.started_ns != entry.started_ns:  # what was known of the old process is void
                far = self.fars[key] = Far(entry, far.free, far.size)
            far.entry = entry
        self.up = {}
        for far in self.fars.values():
            other = self.up.get(far.entry.number)
            newer = other is None or (far.entry.started_ns or 0) >= (other.entry.started_ns or 0)
            if far.entry.state is State.UP and newer:
                self.up[far.entry.number] = far
        self.ready = list(self.up.values())
        self.backs = {way: back for way, back in self.backs.items() if way[0] in self.fars}
        if not self.colds:
            self.budget, self.fed = (self.set.own_agent + 0.5) / max(self.set.agents, 1) % 1.0, self.now
        self.colds = [far for far in self.ready if self.cold(far)]
        if self.set.must_ask and event.kind is ListKind.SAVED:
            self.actions.append(Subscribe())

    def cold(self, far: Far) -> bool:
        started = far.entry.started_ns
        return started is not None and self.now - started < self.set.cold_ns

    def has_budget(self, far: Far) -> bool:
        """Rule 4: our share of what cold exchanges can take, judged from the rate that warm ones take.

        The share of one exchange is less than a set-up where agents are many, so it is one credit for all
        that are cold now; it grows from a part of one by the agent's number, so that agents come in turn.
        """
        if not self.cold(far):
            return True
        self.colds = [other for other in self.colds if self.cold(other)]
        window = self.set.fall_ns
        takes = 2 * self.sends * self.set.cold_from * self.set.fall_multiple * COLD_SAFETY / SECOND
        rate = takes * len(self.colds)
        self.budget = min(self.budget + rate * (self.now - self.fed), max(rate * window, 1.0))
        self.fed = self.now
        far.sent = [sent for sent in far.sent if self.now - sent < window]
        return self.budget >= 1.0 and len(far.sent) < max(2 * takes * window, 1.0)

    # Calls

    def on_call(self, call: Call) -> None:
        if self.ill or not 0 <= call.klass < len(self.set.classes):
            if not self.said_ill:
                self.actions.append(Note("settings are not fit to act on: calls are refused"))
            self.said_ill = True
            self.actions.append(TurnAway(call.call, 0))
            return
        width = call.width or self.set.classes[call.klass].width
        held = Held(call, width, self.now + call.remaining_ns)
        self.held[call.call] = held
        held.worth = self.worth(held)
        assert self.gate is not None
        if self.set.meshed and (call.dest not in self.up or call.dest == self.set.own_exchange):
            self.refuse(held)  # no way leads there, so it is no arrival that the gate need count
            return
        lines = call.transit or self.now >= self.busy.get(call.key, (0, 0))[1]
        let = lines and self.gate.offer(self.now, held.worth) and not self.displaces(held)
        enough = OWN_LATE * (1 + self.spared()) * held.worth
        if let and self.own_late(enough) < enough:
            self.route(held)
        else:
            self.refuse(held)

    def displaces(self, held: Held) -> bool:
        """Whether a call past its aim would take work that fresh ones want: its way was late of late."""
        assert self.gate is not None
        far = self.up.get(held.call.dest)
        strained = not math.isinf(self.gate.level) or (far is not None and self.now - far.slow_at < CALM)
        return strained and held.worth < CHEAP

    def worth(self, held: Held) -> float:
        """What the call may still earn against the mean: a redial past its aim earns the late share."""
        call = held.call
        kind = self.set.classes[call.klass]
        worth = kind.worth
        held.aim_at = self.now + kind.aim_ns
        if not call.transit:
            for key, seen in list(islice(self.seen.items(), 2)):  # the oldest come first
                if self.now - seen > kind.deadline_ns:
                    del self.seen[key]
            first = self.seen.setdefault(call.key, self.now) if call.key else self.now
            held.aim_at = first + kind.aim_ns
            if self.now + self.target > held.aim_at:
                worth *= kind.late_worth
        self.mean_worth += (kind.worth - self.mean_worth) * (0.02 if self.mean_worth else 1.0)
        return min(worth / max(self.mean_worth, 1e-9), DEAR)

    def own_late(self, enough: float) -> int:
        """Late set-ups that left after the last one answered quickly: delay common to all is our own.

        Counted no further than `enough`, and only where some have aged, so that its cost stays the same.
        """
        while self.young and self.young[0][0] <= self.now - self.target:
            sent, far, which = self.young.popleft()
            if sent > self.quick and far.owed.get(which) == sent:
                far.aged.append((sent, which))
                self.slow[far.entry.exchange] = far
        count = 0
        for exchange, far in list(self.slow.items()):
            known = self.fars.get(exchange) is far
            count += far.late_after(self.since(far), self.quick, enough - count) * (known and not far.strikes)
            if not (known and far.aged):
                del self.slow[exchange]
            if count >= enough:
                break
        return count

    def limit(self, far: Far) -> int:
        """How long a set-up to this exchange may take before it is late."""
        return max(self.target, int(far.quickest * WAY))

    def since(self, far: Far) -> int:
        """Until when a set-up must have left that is late now."""
        return self.now - self.limit(far)

    def route(self, held: Held) -> None:
        """Sends the call on its way, or refuses it when no way is left."""
        if self.now < held.not_before:
            return
        spent = held.attempts >= self.set.max_attempts or self.now >= held.deadline - self.set.period_ns
        far = None if spent else self.direct(held) or self.alternative(held)
        if far is not None and self.may_run(held, far) and self.let(far, held):
            self.send(held, far)
        elif far is not None or spent or not self.waits(held):
            self.refuse(held)

    def waits(self, held: Held) -> bool:
        """Keeps a call for a shut destination, to be tried again, while it can still stand in time.

        That costs no processor anything, and a caller who is refused comes back past the aim.
        """
        far = self.up.get(held.call.dest)
        assert self.gate is not None
        if far is None or not far.strikes or held.call.transit or not math.isinf(self.gate.level):
            return False
        wait = max(far.shut_until - self.now, int(self.target * self.random.uniform(0.5, 1.0)))
        if self.now + wait + self.target > min(held.aim_at, held.deadline):
            return False
        if far.entry.exchange in held.tried:
            held.tried.remove(far.entry.exchange)
        self.actions.append(SetTimer(wait, "call " + held.call.call))
        return True

    def note(self, far: Far, report: Report) -> None:
        far.note(report, self.now, self.sends * (self.set.agents - 1))

    def let(self, far: Far, held: Held) -> bool:
        """Keeps back the share that the exchange asks for, while its word is fresh; dear calls go first."""
        if self.now - far.told > STALE or far.hold < HEED:
            return True
        far.credit = min(1.0, far.credit + 1.0 - far.hold)
        if far.credit * held.worth < 1.0:
            return False
        far.credit -= 1.0
        return True

    def usable(self, far: Far, held: Held, kept: float) -> bool:
        if far.entry.number == self.set.own_exchange or far.entry.exchange in held.tried:
            return False
        pools = self.set.classes[held.call.klass].pools
        if not self.set.meshed and pools and far.entry.number not in pools:
            return False
        if far.strikes > self.spared() and (far.owed or self.now < far.shut_until):
            return False  # it took nothing: one set-up at a time asks whether it is back
        enough = (LATE + self.spared()) * held.worth
        if far.owed and far.late(self.since(far), enough) >= enough:
            return False
        return (far.free is None or far.free >= held.width + kept) and self.has_budget(far)

    def direct(self, held: Held) -> Far | None:
        far = self.up.get(held.call.dest)
        if far is None:
            return None
        kept = self.kept(far, held) if held.call.transit else 0.0
        return far if self.usable(far, held, kept) else None

    def alternative(self, held: Held) -> Far | None:
        """The tandem remembered for the destination; after a block the advised one, else one drawn."""
        dest = held.call.dest
        if held.call.transit or (self.set.meshed and dest not in self.up) or self.pressed(dest):
            return None
        known = self.fars.get(self.tandems.get(dest, ""))
        if known is not None and self.spare(known, held):
            return known
        chosen = self.up.get(-1 if held.call.advised is None else held.call.advised)
        if chosen is None or not self.spare(chosen, held):
            drawn = self.random.sample(self.ready, min(DRAWS, len(self.ready)))
            ways = [far for far in drawn if self.spare(far, held)]
            chosen = max(ways, key=lambda far: far.free or 0.0, default=None)
        if chosen is not None:
            self.tandems[dest] = chosen.entry.exchange
        return chosen

    def pressed(self, dest: int) -> bool:
        """A detour is a third more work for all: none while a gate throttles or set-ups are late.

        Nor does one help a destination that is itself shut or still cold.
        """
        assert self.gate is not None
        far = self.up.get(dest)
        if far is not None and (far.strikes > self.spared() or far.late(self.since(far), 1)):
            return True
        if far is not None and not self.has_budget(far):
            return True
        return self.gate.throttled or self.own_late(1) > 0

    def spare(self, far: Far, held: Held) -> bool:
        """Whether a detour by this exchange leaves room for its direct calls, and none waits there."""
        if far.entry.number == held.call.dest or self.up.get(far.entry.number) is not far:
            return False
        kept = self.kept(far, held)
        _, end = self.backs.get((far.entry.exchange, held.call.dest), (0, 0))
        return self.now >= end and self.usable(far, held, kept) and far.late(self.since(far), 1) == 0

    @staticmethod
    def kept(far: Far, held: Held) -> float:
        """Circuits kept back from detours: fewer from a dear call, which may well be worth two."""
        return RESERVE * math.sqrt(far.size or 0.0) / max(held.worth, CHEAP)

    def may_run(self, held: Held, far: Far) -> bool:
        """Rule 2: a call whose class forbids repeats is sent again only where a repeat is dropped."""
        kind = self.set.classes[held.call.klass]
        if held.ran_at is None or kind.effect is Effect.SAFE:
            return True
        if kind.effect is Effect.UNSAFE or self.now - held.ran_ns >= kind.window_ns:
            return False
        first = self.fars.get(held.ran_at)
        if kind.key_scope == "all" or first is None:
            return kind.key_scope == "all"
        if kind.key_scope == "zone":
            return first.entry.zone is not None and first.entry.zone == far.entry.zone
        return first.entry.number == far.entry.number

    def send(self, held: Held, far: Far) -> None:
        held.out = True
        held.attempts += 1
        held.tried.append(far.entry.exchange)
        if held.ran_at is None:
            held.ran_ns = self.now
        which = held.call.call, held.attempts - 1
        far.owed[which] = self.now
        self.young.append((self.now, far, which))
        if self.cold(far):
            far.sent.append(self.now)
            self.budget -= 1.0
        self.count_send()
        timeout = max(min(held.deadline - self.now - self.set.period_ns, self.patience(held)), 1)
        self.actions.append(SetUp(held.call.call, far.entry.exchange, timeout))

    def patience(self, held: Held) -> int:
        """How long to wait for an answer: while some get lost, as long as leaves time to try again.

        A set-up that is merely slow would be done twice, so this acts only on answers seen to be lost, and
        where a further attempt is allowed and can still stand within the call's aim.
        """
        assert self.gate is not None
        usual = int(self.delay + SPREAD * self.spread)
        left = held.aim_at - self.now - self.set.release_ns - usual
        again = not held.call.transit and self.set.classes[held.call.klass].effect is Effect.SAFE
        spare = math.isinf(self.gate.level)  # else a fresh call wants the work
        return left if again and spare and self.losing() and left > usual else held.deadline - self.now

    def losing(self) -> bool:
        return self.now - self.lost[0] < LOSING

    def spared(self) -> int:
        """Set-ups without an answer that tell nothing: one while answers get lost, else none."""
        return 1 if self.losing() else 0

    def note_lost(self, far: Far, sent: int) -> None:
        """An exchange works in turn: direct set-ups that left well before one now answered are lost.

        They tell nothing of how late it is, so they are owed no more. Well before is more than jitter makes
        up, for which the quickest answer's delay stands: by the time that a set-up counts as late, others
        that left after it have told.
        """
        well_before = min(far.quickest or self.target, self.target)
        lost = far.missed > self.now - LOSING
        far.missed = -LOSING
        for (call, attempt), _ in list(takewhile(lambda it: it[1] <= sent - well_before, far.owed.items())):
            held = self.held.get(call)
            if held is not None and held.call.dest == far.entry.number:
                del far.owed[call, attempt]
                lost = True
        if lost:
            self.lost = (self.lost[1], self.now)

    def count_send(self) -> None:
        self.sent_count += 1
        past = self.now - self.sent_since
        if past >= T_MAX:
            each = self.sent_count * SECOND / past / max(len(self.up) - 1, 1)
            self.sends += (each - self.sends) * (0.3 if self.sends else 1.0)
            self.sent_count, self.sent_since = 0, self.now

    def refuse(self, held: Held) -> None:
        del self.held[held.call.call]
        kind = self.set.classes[held.call.klass]
        if held.ran_at is not None and kind.effect is not Effect.SAFE:
            self.actions.append(GiveUp(held.call.call))
        else:
            self.actions.append(TurnAway(held.call.call, self.stay_away(held.call)))

    def stay_away(self, call: Call) -> int:
        """How long it is of no use to come back: until the next interval, or until a pause is over."""
        assert self.gate is not None
        ends = [self.busy.get(call.key, (0, 0))[1]]
        if self.gate.throttled:
            ends.append(self.gate.begun + self.gate.span)
        far = self.up.get(call.dest)
        if far is not None and far.strikes:
            ends.append(far.shut_until)
        return min(max(max(ends) - self.now, 0), self.set.max_stay_away_ns)

    # Outcomes

    def on_stands(self, event: Stands) -> None:
        held = self.held.pop(event.call, None)
        if held is not None:
            self.backs.pop((event.exchange, held.call.dest), None)
        far = self.fars.get(event.exchange)
        if far is not None:
            far.strikes = 0
            far.owed.pop((event.call, event.attempt), None)
            self.note_lost(far, self.now - event.delay_ns)
            if event.delay_ns <= self.target:  # one that has waited tells nothing of the way
                far.quickest = min(far.quickest or event.delay_ns, event.delay_ns)
            if self.now - event.delay_ns >= self.cut_at:  # earlier ones tell of the time before the cut
                far.delays += min(event.delay_ns, OUTLIER * self.limit(far))
                far.answers += 1
            if event.delay_ns > self.limit(far):
                far.slow_at = self.now
            else:
                self.quick = max(self.quick, self.now - event.delay_ns)
        self.spread += (abs(event.delay_ns - self.delay) - self.spread) * 0.05
        self.delay += (event.delay_ns - self.delay) * 0.05

    def on_ended(self, event: Ended) -> None:
        far = self.fars.get(event.exchange)
        if far is not None:
            self.note(far, event.report)
            unanswered = far.owed.pop((event.call, event.attempt), None) is not None
            if unanswered:
                self.on_refused(far, event)
        held = self.held.get(event.call)
        if held is None:
            return
        held.out = False
        if event.final:
            del self.held[event.call]
            return
        if event.outcome not in (Outcome.FULL, Outcome.UNREACHED, Outcome.NOT_SENT) and held.ran_at is None:
            held.ran_at = event.exchange
        if event.cause is Cause.LINES_BUSY:
            self.on_busy(held)
        if event.outcome in (Outcome.TIMED_OUT, Outcome.CUT, Outcome.CALLED_OFF):
            if event.outcome is Outcome.TIMED_OUT and self.losing() and event.exchange in held.tried:
                held.tried.remove(event.exchange)  # it did the work; its next answer may well come
            self.await_release(held)
        elif self.way_left(event):
            if self.tandems.get(held.call.dest) == event.exchange:
                del self.tandems[held.call.dest]
            if event.outcome is Outcome.BUSY and far is self.up.get(held.call.dest):
                held.tried = []  # no other way goes round the destination
            self.route(held)
        elif event.cause is not Cause.PROCESSOR_FULL or not self.waits(held):
            self.refuse(held)

    def on_refused(self, far: Far, event: Ended) -> None:
        """Shuts the gate to an exchange that takes nothing, be it full, hung, dead or cut off."""
        if event.cause is Cause.FULL_BEYOND:
            held = self.held.get(event.call)
            beyond = self.up.get(held.call.dest) if held else None
            if beyond is None:
                return
            far = beyond
        if event.outcome is Outcome.BUSY or event.cause is Cause.TURNED_BACK:
            far.strikes = 0
            self.on_turned_back(event)
            return
        full = event.cause in (Cause.PROCESSOR_FULL, Cause.FULL_BEYOND)
        if event.outcome not in (Outcome.TIMED_OUT, Outcome.UNREACHED) and not full:
            return
        if far.strikes and self.now - event.delay_ns <= far.struck:
            return  # it left before that and tells nothing new
        far.strikes += 1
        far.struck = self.now
        if event.outcome is Outcome.TIMED_OUT:
            far.missed = self.now
        longest = PAUSE_EACH * self.set.agents * self.random.uniform(0.75, 1.25)
        pause = longest * min(0.125 * 2.0**far.strikes, 1.0)
        far.shut_until = max(far.shut_until, self.now + max(int(pause), event.wait_ns or 0))

    def on_busy(self, held: Held) -> None:
        """Shuts the gate to a number whose lines are busy, for a pause by how often they were found so."""
        for key in [key for key, (_, end) in self.busy.items() if self.now - end > BUSY_MAX * self.hold][:2]:
            del self.busy[key]
        pause = min(self.busy.get(held.call.key, (BUSY * self.hold / 2, 0))[0] * 2, BUSY_MAX * self.hold)
        self.busy[held.call.key] = (pause, self.now + int(pause * self.random.uniform(0.75, 1.25)))

    def on_turned_back(self, event: Ended) -> None:
        """Lets a detour rest that had no circuit onward: it costs two processors work each time."""
        held = self.held.get(event.call)
        if held is not None and event.cause is Cause.TURNED_BACK:
            way = (event.exchange, held.call.dest)
            pause = min(self.backs.get(way, (BACK * self.hold / 2, 0))[0] * 2, BACK_MAX * self.hold)
            self.backs[way] = (pause, self.now + int(pause * self.random.uniform(0.75, 1.25)))

    @staticmethod
    def way_left(event: Ended) -> bool:
        """Whether a further set-up may do better: not when the destination or our own processor is full.

        An error without a cause is a signalling fault, which tells nothing of the next set-up.
        """
        if event.outcome is Outcome.UNREACHED or (event.outcome is Outcome.BUSY and event.cause is None):
            return True
        return event.cause in (Cause.NO_CIRCUIT, Cause.TURNED_BACK)

    def await_release(self, held: Held) -> None:
        """Rule 5: what the attempt held may still be taken, so the call waits or is given up."""
        held.not_before = self.now + self.set.release_ns
        if held.not_before + self.set.period_ns >= held.deadline or held.call.transit:
            self.refuse(held)
        else:
            self.actions.append(SetTimer(self.set.release_ns, "call " + held.call.call))

    def on_timer(self, token: str) -> None:
        if token == "list":
            self.actions.append(Subscribe() if self.set.must_ask else AskList())
        held = self.held.get(token.removeprefix("call "))
        if held is not None and not held.out:
            self.route(held)
