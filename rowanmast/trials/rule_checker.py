"""Checks the protocol's rules from what callers and switches observe, sharing no code with the router.

All times are seconds on one clock and are passed in; nothing here reads a clock or a socket. Each breach of a
rule is recorded as a `Violation`. The tolerance is the slack that the protocol grants on sockets plus the
largest lag of the trial's own event loop.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

PROTOCOL_TOLERANCE_S = 0.05
ANSWER_GRACE_S = 0.5  # an answer up to this long after the deadline has no worth but breaks no rule
RELEASE_DEADLINE_S = 1.0  # from the switch's release to the caller's
UNSENT_RELEASE_DEADLINE_S = 8.0  # from the end of a call whose switch could not send a release
RELEASE_GUARD_S = 0.2  # before an attempt if the last one timed out, was reset or cancelled
DRAIN_GRACE_S = 2.0
MAX_ATTEMPTS = 6
STATUS_STANDS = 200
RESEND_WINDOW_S = 0.05  # a caller resends a set-up sent at most this long before its connection closed
RECENT_END_WINDOW_S = 0.5  # a stopping router cannot know what happened at a silent switch this recently


class Rule(Enum):
    """A rule of the protocol; the value is its name in reports."""

    ONE_ANSWER = "one_answer"  # a call gets a single final answer
    ANSWER_IN_TIME = "answer_in_time"  # within the time that the caller allows, plus ANSWER_GRACE_S
    # An answer's description is one that a switch gave for the call; also: a caller sent each set-up.
    ANSWER_FROM_SWITCH = "answer_from_switch"
    ONE_ATTEMPT_OUT = "one_attempt_out"  # no attempt while another one is in flight or the call stands
    RELEASE_FIRST = "release_first"  # no attempt within RELEASE_GUARD_S of one whose end is unconfirmed
    ATTEMPTS = "attempts"  # at most MAX_ATTEMPTS for a call
    DRAIN = "drain"  # no set-up to a draining or removed switch after DRAIN_GRACE_S
    RELEASE_IN_TIME = "release_in_time"  # the caller of a call that has ended is released in time


@dataclass(frozen=True, slots=True)
class Violation:
    """One breach of a rule."""

    time_s: float
    rule: Rule
    call: str
    text: str


@dataclass(slots=True)
class ObservedCall:
    """What was observed of one call."""

    router: str
    offered_at: float
    answer_deadline: float
    final_answers: int = 0
    answered_status: int = 0
    cancelled: bool = False
    attempts: int = 0
    attempt_switch: str | None = None
    retry_not_before: float = 0.0
    descriptions: dict[str, str] = field(default_factory=dict)  # by switch: the answer's description
    standing_switch: str | None = None
    # Switches at which the set-up was cancelled before it reached them
    cancelled_before_arrival: set[str] = field(default_factory=set)
    cancelled_switches: set[str] = field(default_factory=set)  # later events from these are ignored
    ended_at: float = 0.0  # when the call ended at its switch
    release_deadline: float | None = None  # set once the call has ended
    released: bool = False
    exempt: bool = False  # its router's process has ended, so no rule applies any more
    history: list[tuple[float, str]] = field(default_factory=list)  # (time, event)


class RuleChecker:
    """Tracks all calls of one trial and records every breach of a rule."""

    def __init__(self) -> None:
        self.calls: dict[str, ObservedCall] = {}
        # By switch: when routers count as notified of its drain or removal
        self.drain_notified_at: dict[str, float] = {}
        self.violations: list[Violation] = []
        self.loop_lag_s = 0.0  # largest lag of the trial's own event loop

    def tolerance(self) -> float:
        """The time by which an event may be observed late, in seconds."""
        return PROTOCOL_TOLERANCE_S + self.loop_lag_s

    def add_violation(self, now: float, rule: Rule, call: str, text: str) -> None:
        self.violations.append(Violation(now, rule, call, text))

    def add_history(self, now: float, call: str, text: str) -> None:
        observed = self.calls.get(call)
        if observed is not None:
            observed.history.append((now, text))

    # Events at callers

    def offered(self, now: float, call: str, router: str, wait_s: float) -> None:
        """A caller sent the set-up to a router."""
        self.calls[call] = ObservedCall(router, now, now + wait_s)
        self.add_history(now, call, f"offered to {router}, for {wait_s} s")

    def answered(self, now: float, call: str, status: int, text: str) -> None:
        """The caller received a final answer; `text` is the description of a call that stands."""
        observed = self.calls[call]
        self.add_history(now, call, f"answered {status}")
        observed.final_answers += 1
        observed.answered_status = status
        if observed.final_answers > 1:
            self.add_violation(now, Rule.ONE_ANSWER, call, f"second answer, {status}")
        if now > observed.answer_deadline + ANSWER_GRACE_S + self.tolerance() and not observed.cancelled:
            self.add_violation(
                now, Rule.ANSWER_IN_TIME, call, f"answered {now - observed.answer_deadline:.3f} s late"
            )
        if status == STATUS_STANDS and text not in observed.descriptions.values():
            self.add_violation(now, Rule.ANSWER_FROM_SWITCH, call, "no switch gave this description")

    def cancelled(self, call: str) -> None:
        """The caller cancelled the set-up, so no answer is required."""
        self.calls[call].cancelled = True

    def connection_closed(self, now: float, call: str) -> None:
        """The router closed the connection of a call that had no answer yet."""
        observed = self.calls[call]
        self.add_history(now, call, "its connection was closed")
        if now - observed.offered_at <= RESEND_WINDOW_S:
            observed.cancelled = True  # a caller would resend it once; the trial's callers do not
            return
        if not observed.final_answers and not observed.cancelled and not observed.exempt:
            self.add_violation(now, Rule.ANSWER_IN_TIME, call, "connection closed without an answer")

    def release_received(self, now: float, call: str) -> None:
        """The caller received a release."""
        observed = self.calls.get(call)
        if observed is None:
            return
        self.add_history(now, call, "release received")
        if (
            observed.release_deadline is not None
            and not observed.released
            and now > observed.release_deadline + self.tolerance()
        ):
            self.add_violation(
                now, Rule.RELEASE_IN_TIME, call, f"released {now - observed.release_deadline:.3f} s late"
            )
        observed.released = True

    def router_ended(self, now: float, router: str, graceful: bool) -> None:
        """The router's process has ended, and its successor does not know its calls.

        After a `graceful` end, a shutdown signal followed by the full time to stop, every call must have been
        answered. The callers of standing calls that ended more than RECENT_END_WINDOW_S ago must have been
        released, as the next process cannot learn of such an end if the switch is silent or dead. So must
        those of calls at a switch that has been known to drain or to be removed for that long: it may stop
        without sending a release.
        """
        for call, observed in self.calls.items():
            if observed.router != router or observed.exempt:
                continue
            if graceful and not observed.final_answers and not observed.cancelled:
                self.add_violation(now, Rule.ANSWER_IN_TIME, call, "router ended without an answer")
            if (
                graceful
                and not observed.released
                and observed.answered_status == STATUS_STANDS
                and self.release_is_required(observed, now - RECENT_END_WINDOW_S)
            ):
                self.add_violation(
                    now, Rule.RELEASE_IN_TIME, call, "router ended without sending the release"
                )
            self.add_history(now, call, "router ended")
            observed.exempt = True

    def release_is_required(self, observed: ObservedCall, moment: float) -> bool:
        """Whether the call had ended by `moment`, or its switch was known then to drain or to be removed."""
        if observed.release_deadline is not None:
            return observed.ended_at < moment
        return self.drain_notified_at.get(observed.standing_switch or "", moment) < moment

    # Events at switches

    def set_up_received(self, now: float, switch: str, call: str) -> None:
        """A set-up reached a switch: checks the rules on attempts."""
        observed = self.calls.get(call)
        if observed is None:
            self.add_violation(now, Rule.ANSWER_FROM_SWITCH, call, "set-up that no caller sent")
            return
        if switch in observed.cancelled_before_arrival:
            observed.cancelled_before_arrival.discard(switch)
            observed.cancelled_switches.add(switch)
            self.add_history(now, call, f"cancelled set-up arrives at {switch}")
            return
        observed.attempts += 1
        self.add_history(now, call, f"attempt {observed.attempts} at {switch}")
        if observed.attempts > MAX_ATTEMPTS:
            self.add_violation(now, Rule.ATTEMPTS, call, f"attempt {observed.attempts}")
        if observed.attempt_switch is not None or observed.standing_switch is not None:
            self.add_violation(
                now,
                Rule.ONE_ATTEMPT_OUT,
                call,
                f"at {switch} and {observed.attempt_switch or observed.standing_switch}",
            )
        if now < observed.retry_not_before:
            self.add_violation(
                now, Rule.RELEASE_FIRST, call, f"{(observed.retry_not_before - now) * 1000:.0f} ms early"
            )
        if now > self.drain_notified_at.get(switch, now) + DRAIN_GRACE_S + self.tolerance():
            late = now - self.drain_notified_at[switch]
            self.add_violation(now, Rule.DRAIN, call, f"sent to {switch} {late:.3f} s after notification")
        observed.attempt_switch = switch
        observed.cancelled_switches.discard(switch)

    def attempt_cancelled(self, now: float, switch: str, call: str, arrived: bool) -> None:
        """The router cancels the set-up or closes its connection; the switch may learn of it later.

        `arrived` tells whether the set-up had reached the switch.
        """
        observed = self.calls.get(call)
        if observed is None or (
            switch == observed.standing_switch and observed.answered_status == STATUS_STANDS
        ):
            return  # this releases a standing call
        if switch not in (observed.attempt_switch, observed.standing_switch):
            if not arrived:
                observed.cancelled_before_arrival.add(switch)
            return
        self.add_history(now, call, f"cancelled at {switch}")
        observed.attempt_switch = observed.standing_switch = None
        observed.retry_not_before = now + RELEASE_GUARD_S
        observed.cancelled_switches.add(switch)

    def attempt_ended(self, now: float, switch: str, call: str, confirmed: bool) -> None:
        """The set-up ended at its switch; `confirmed` if the switch has said that none of it still runs."""
        observed = self.calls.get(call)
        if observed is not None and observed.attempt_switch == switch:
            self.add_history(
                now,
                call,
                f"ended at {observed.attempt_switch}, {'confirmed' if confirmed else 'unconfirmed'}",
            )
            observed.attempt_switch = None
            if not confirmed:
                observed.retry_not_before = now + RELEASE_GUARD_S

    def stood(self, now: float, switch: str, call: str, text: str) -> None:
        """The call stands at a switch, which has sent its answer."""
        observed = self.calls[call]
        self.add_history(now, call, f"stands at {switch}")
        if switch in observed.cancelled_switches:
            return
        observed.attempt_switch, observed.standing_switch = None, switch
        observed.descriptions[switch] = text

    def ended(self, now: float, switch: str, call: str, release_sent: bool) -> None:
        """A standing call ended at its switch; `release_sent` if the network accepted its release."""
        observed = self.calls.get(call)
        if observed is None or switch in observed.cancelled_switches:
            return
        self.add_history(now, call, f"call ended, release {'sent' if release_sent else 'not sent'}")
        if observed.release_deadline is None:
            observed.ended_at = now
            observed.release_deadline = now + UNSENT_RELEASE_DEADLINE_S
        observed.standing_switch = None
        if release_sent:
            observed.release_deadline = min(observed.release_deadline, now + RELEASE_DEADLINE_S)

    def release_failed(self, call: str) -> None:
        """The network accepted the switch's release but did not deliver it to the router."""
        observed = self.calls.get(call)
        if observed is not None and observed.release_deadline is not None and not observed.released:
            observed.release_deadline = observed.ended_at + UNSENT_RELEASE_DEADLINE_S

    def released_by_router(self, now: float, switch: str, call: str) -> None:
        """The router released the call at its switch; its caller must be released, unless it has been."""
        observed = self.calls.get(call)
        if observed is not None and observed.standing_switch == switch:
            self.add_history(now, call, f"released by the router at {observed.standing_switch}")
            observed.standing_switch = None
            observed.retry_not_before = now + RELEASE_GUARD_S
            if (
                observed.answered_status == STATUS_STANDS
                and observed.release_deadline is None
                and not observed.released
            ):
                observed.release_deadline = now + RELEASE_DEADLINE_S

    def drain_announced(self, switch: str, notified_at: float) -> None:
        """The switch drains or was removed, and routers count as notified at `notified_at`."""
        self.drain_notified_at[switch] = min(self.drain_notified_at.get(switch, notified_at), notified_at)

    # End of the trial

    def pending_count(self, now: float) -> int:
        """Counts the calls that still wait for an answer or for the release of an ended call."""
        return sum(self.is_pending(observed) for observed in self.calls.values())

    def is_pending(self, observed: ObservedCall) -> bool:
        """Whether the call still waits for an answer or for the release of an ended call."""
        if observed.exempt or observed.cancelled:
            return False
        if not observed.final_answers:
            return True
        return (
            observed.answered_status == STATUS_STANDS
            and observed.release_deadline is not None
            and not observed.released
        )

    def check_pending(self, now: float) -> None:
        """Records a violation for every call that has no answer or whose release is overdue by now."""
        for call, observed in self.calls.items():
            if not self.is_pending(observed):
                continue
            if not observed.final_answers:
                self.add_violation(now, Rule.ANSWER_IN_TIME, call, "never answered")
            elif observed.release_deadline is not None and now > observed.release_deadline + self.tolerance():
                self.add_violation(
                    now, Rule.RELEASE_IN_TIME, call, "its release was never sent to the caller"
                )
