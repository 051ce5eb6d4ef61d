"""Leases of calls that stand at a switch, renewed by what is heard from its process. No I/O, no clock.

A switch that has vanished gives no sign, and a new process may answer at its address. So each call belongs
to an incarnation of the switch: one process, as far as connections prove that they lead to the same one.
Whatever is heard from an incarnation renews the lease of all its calls. Where nothing comes by itself, the
connections that carry calls are probed. A lease that runs out ends its calls: their callers have to know
within 8 s of the end of a call whose switch can send no release (PROTOCOL, "The rules on sockets").

Two connections lead to the same process where the older one is heard after the younger one came up, or where
one of them brings the end of a call that was set up on the other. All times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

PROBE_IDLE_US = 3_000_000  # silence of a process with calls after which one of its connections is probed
CONNECTION_PROBE_IDLE_US = 4_500_000  # silence of a connection that carries calls after which it is probed
PROBE_TIMEOUT_US = 1_000_000  # a connection that has not answered a probe by then is unresponsive
LEASE_US = (
    7_000_000  # since the last word of an incarnation; leaves 1 s of the protocol's 8 s to tell callers
)
REMOVED_PROBE_IDLE_US = 500_000  # the same as these, once discovery has removed the switch: silence is
REMOVED_LEASE_US = 2_500_000  # believed sooner,
REMOVED_GRACE_US = 1_000_000  # but it has this long to answer after the removal
LOSS_DETECTION_US = (
    5_000_000  # a lost connection was silent for no longer than this before it was known to be lost
)
MAX_DELIVERY_DELAY_US = (
    1_000_000  # what is heard so long after a connection came up was sent after it came up
)
STALL_THRESHOLD_US = (
    500_000  # a check that comes later than this was held up: what has arrived is read first,
)
STALL_RECHECK_US = 250_000  # and the check is made after this
MIN_CHECK_INTERVAL_US = 10_000  # between two checks at least
MAX_CHECK_INTERVAL_US = (
    1_000_000  # between two checks at most: what happens in between may make an earlier one due
)
NEVER_US = 1 << 62


@dataclass(slots=True, eq=False)
class Incarnation:
    """One process of the switch: the connections that lead to it and the calls that stand on it."""

    heard_at: int
    connections: set[int] = field(default_factory=set)
    calls: dict[str, int] = field(default_factory=dict)  # the connection on which each was set up
    call_counts: Counter[int] = field(
        default_factory=Counter
    )  # how many calls were set up on each connection

    def add(self, call: str, connection: int) -> None:
        self.calls[call] = connection
        self.call_counts[connection] += 1

    def discard(self, call: str) -> None:
        connection = self.calls.pop(call)
        self.call_counts[connection] -= 1
        if not self.call_counts[connection]:
            del self.call_counts[connection]

    def clear(self) -> None:
        self.calls.clear()
        self.call_counts.clear()


@dataclass(slots=True)
class ConnectionState:
    """An open connection: since when, when something last came on it, and a probe without an answer."""

    opened_at: int
    heard_at: int
    incarnation: Incarnation
    probed_at: int | None = None


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask for a sign of life on this connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class ReplaceConnection:
    """This connection answers no probe: nothing more should be sent on it, and another one opened."""

    connection: int


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """These calls can't be believed to stand any more."""

    calls: tuple[str, ...]


LivenessAction = SendProbe | ReplaceConnection | LeaseExpired


class SwitchLiveness:
    """The incarnations of one switch. Connections are named by numbers that are never used again."""

    def __init__(self, may_probe: bool) -> None:
        """Without probes, silence on an open connection proves nothing, and only lost ones end leases."""
        self.may_probe = may_probe
        self.removed_at: int | None = None  # by discovery
        self.connections: dict[int, ConnectionState] = {}
        self.incarnations: list[Incarnation] = []  # those with connections or calls
        self.by_call: dict[str, Incarnation] = {}
        self.next_check_at: int | None = None  # when `check` is next to be asked

    # What happens

    def connection_opened(self, now: int, connection: int) -> None:
        incarnation = Incarnation(now, {connection})
        self.incarnations.append(incarnation)
        self.connections[connection] = ConnectionState(now, now, incarnation)

    def data_received(self, now: int, connection: int) -> None:
        state = self.connections.get(connection)
        if state is None:
            return
        state.heard_at = state.incarnation.heard_at = now
        state.probed_at = None
        if len(self.incarnations) > 1:
            self.merge_younger(now, state)

    def connection_lost(self, now: int, connection: int) -> None:
        """The connection is closed, from whichever side. Calls stay until their lease runs out."""
        state = self.connections.pop(connection, None)
        if state is None:
            return
        incarnation = state.incarnation
        incarnation.connections.discard(connection)
        if not incarnation.connections:
            incarnation.heard_at = max(incarnation.heard_at, now - LOSS_DETECTION_US)
            self.remove_if_empty(incarnation)

    def call_answered(self, call: str, connection: int) -> None:
        """The switch has answered the set-up of a call on this connection."""
        state = self.connections.get(connection)
        if state is not None and call not in self.by_call:
            state.incarnation.add(call, connection)
            self.by_call[call] = state.incarnation

    def call_released(self, call: str, connection: int | None = None) -> bool:
        """The call is over, by the word on `connection` if that is given. False if it did not stand."""
        incarnation = self.by_call.pop(call, None)
        if incarnation is None:
            return False
        incarnation.discard(call)
        teller = None if connection is None else self.connections.get(connection)
        if teller is not None and teller.incarnation is not incarnation:
            self.merge(incarnation, teller.incarnation)
        self.remove_if_empty(incarnation)
        return True

    def switch_removed(self, now: int) -> None:
        """Discovery has removed the switch: silence is believed sooner."""
        self.removed_at = now

    def switch_restored(self) -> None:
        """Discovery lists it again."""
        self.removed_at = None

    def end_all_calls(self) -> tuple[str, ...]:
        """Ends every lease; the calls that stood."""
        calls = tuple(self.by_call)
        for incarnation in list(self.incarnations):
            incarnation.clear()
            self.remove_if_empty(incarnation)
        self.by_call.clear()
        return calls

    # What is known

    def has_calls(self) -> bool:
        return bool(self.by_call)

    def carries_calls(self, connection: int) -> bool:
        """Whether the ends of calls may come on this connection."""
        state = self.connections.get(connection)
        return state is not None and bool(state.incarnation.calls)

    def is_sole_connection(self, connection: int) -> bool:
        """Whether calls stand on the process behind this connection, and no other is known to lead to it."""
        state = self.connections.get(connection)
        return state is not None and bool(state.incarnation.calls) and len(state.incarnation.connections) == 1

    def all_heard_since(self, moment: int) -> bool:
        """Whether every process on which calls stand has been heard since then."""
        return all(one.heard_at >= moment for one in self.incarnations if one.calls)

    # What to do

    def check(self, now: int) -> list[LivenessAction]:
        """What is due. `due` says when to ask again; None if no call stands."""
        stalled = self.next_check_at is not None and now > self.next_check_at + STALL_THRESHOLD_US
        orders: list[LivenessAction] = []
        for incarnation in [one for one in self.incarnations if one.calls]:
            if stalled:
                self.restart_probes(now, incarnation)
            elif now >= self.lease_expires_at(incarnation):
                orders.append(LeaseExpired(self.expire_lease(incarnation)))
            elif self.may_probe:
                orders += self.probe_incarnation(now, incarnation)
        self.schedule_check(now, STALL_RECHECK_US if stalled else MIN_CHECK_INTERVAL_US)
        return orders

    def probe_all(self, now: int) -> list[LivenessAction]:
        """Probes at once every connection that carries calls."""
        orders: list[LivenessAction] = []
        if self.may_probe:
            for connection in self.call_connections():
                self.connections[connection].probed_at = now
                orders.append(SendProbe(connection))
        self.schedule_check(now, 0)
        return orders

    def schedule_check(self, now: int, at_least: int) -> None:
        """Sets `due`, no sooner than `at_least` from now."""
        moments = [self.next_event_at(one) for one in self.incarnations if one.calls]
        latest = now + self.probe_interval(MAX_CHECK_INTERVAL_US)
        self.next_check_at = max(min(*moments, latest), now + at_least) if moments else None

    def probe_interval(self, regular: int) -> int:
        """An interval of probes, which is shorter for a removed switch."""
        return regular if self.removed_at is None else REMOVED_PROBE_IDLE_US

    def next_event_at(self, incarnation: Incarnation) -> int:
        moment = self.lease_expires_at(incarnation)
        if not self.may_probe or not incarnation.connections:
            return moment
        states = [self.connections[connection] for connection in self.call_connections_of(incarnation)]
        answers = [state.probed_at + PROBE_TIMEOUT_US for state in states if state.probed_at is not None]
        if not answers:
            moment = min(moment, incarnation.heard_at + self.probe_interval(PROBE_IDLE_US))
        silences = [state.heard_at for state in states if state.probed_at is None]
        probes = [heard_at + self.probe_interval(CONNECTION_PROBE_IDLE_US) for heard_at in silences]
        return min(moment, *answers, *probes)

    def lease_expires_at(self, incarnation: Incarnation) -> int:
        if incarnation.connections and not self.may_probe:
            return NEVER_US
        expires_at = incarnation.heard_at + LEASE_US
        if self.removed_at is None:
            return expires_at
        sooner = max(incarnation.heard_at + REMOVED_LEASE_US, self.removed_at + REMOVED_GRACE_US)
        return min(expires_at, sooner)

    def call_connections(self) -> Iterable[int]:
        for incarnation in self.incarnations:
            if incarnation.calls:
                yield from self.call_connections_of(incarnation)

    def call_connections_of(self, incarnation: Incarnation) -> Iterable[int]:
        """The connections on which ends of calls may come: all, where a call's own connection is lost."""
        carrying = incarnation.call_counts.keys()
        return carrying if carrying <= incarnation.connections else incarnation.connections

    def probe_incarnation(self, now: int, incarnation: Incarnation) -> list[LivenessAction]:
        """Asks one connection first, as probes are priced; all of them once one has not answered."""
        carrying = sorted(
            self.call_connections_of(incarnation), key=lambda one: -self.connections[one].heard_at
        )
        asked = [one for one in carrying if self.connections[one].probed_at is not None]
        unanswered = [
            one for one in asked if now >= (self.connections[one].probed_at or 0) + PROBE_TIMEOUT_US
        ]
        silent = [one for one in carrying if one not in asked and self.is_silent(now, one)]
        if now >= incarnation.heard_at + self.probe_interval(PROBE_IDLE_US):
            if unanswered:
                silent = [one for one in carrying if one not in asked]
            elif not asked:
                silent = silent or carrying[:1]
        for connection in (*unanswered, *silent):
            self.connections[connection].probed_at = now  # one that has to stay unanswered is judged again
        return [*map(ReplaceConnection, unanswered), *map(SendProbe, silent)]

    def is_silent(self, now: int, connection: int) -> bool:
        return now >= self.connections[connection].heard_at + self.probe_interval(CONNECTION_PROBE_IDLE_US)

    def restart_probes(self, now: int, incarnation: Incarnation) -> None:
        for connection in incarnation.connections:
            state = self.connections[connection]
            if state.probed_at is not None:
                state.probed_at = now

    def expire_lease(self, incarnation: Incarnation) -> tuple[str, ...]:
        calls = tuple(incarnation.calls)
        for call in calls:
            del self.by_call[call]
        incarnation.clear()
        self.remove_if_empty(incarnation)
        return calls

    # Which connections lead to the same process

    def merge_younger(self, now: int, heard: ConnectionState) -> None:
        """What is heard now was sent after these came up, so its process was the one that accepted them."""
        for state in list(self.connections.values()):
            accepted = heard.opened_at <= state.opened_at <= now - MAX_DELIVERY_DELAY_US
            if accepted and state.incarnation is not heard.incarnation:
                self.merge(state.incarnation, heard.incarnation)

    def merge(self, gone: Incarnation, into: Incarnation) -> None:
        for connection in gone.connections:
            self.connections[connection].incarnation = into
        for call in gone.calls:
            self.by_call[call] = into
        into.connections |= gone.connections
        into.calls |= gone.calls
        into.call_counts += gone.call_counts
        into.heard_at = max(into.heard_at, gone.heard_at)
        gone.connections.clear()
        gone.clear()
        self.remove_if_empty(gone)

    def remove_if_empty(self, incarnation: Incarnation) -> None:
        if not incarnation.connections and not incarnation.calls and incarnation in self.incarnations:
            self.incarnations.remove(incarnation)
