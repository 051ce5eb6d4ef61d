"""Leases of the calls that stand at a switch, renewed by any data from its process. No I/O, no clock.

A switch that has vanished closes no connection, and a new process may answer at its address. Each call
therefore belongs to an incarnation of the switch: one process, with the connections that are known to lead
to it. Any data received from an incarnation renews the lease of all its calls. If it is silent, the
connections that carry calls are probed. When a lease expires, its calls are ended: callers must be notified
within 8 s of the end of a call whose switch can send no release (PROTOCOL, "The rules on sockets").

Where the settings forbid probes, the link opens a new connection instead. To a machine that has vanished none
comes up, and a new process would have reset the connections of the former one, so a connect renews the leases
of the calls whose connections are still open.

Two connections lead to the same process if data that arrives on the older one was sent after the younger one
was opened, or if one of them brings the end of a call that was set up on the other. All times are
microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

PROBE_IDLE_US = 3_000_000  # silence of a process with calls after which one of its connections is probed
CONNECTION_PROBE_IDLE_US = 4_500_000  # silence of a connection that carries calls after which it is probed
PROBE_TIMEOUT_US = 1_000_000  # a connection that has not answered a probe by then is unresponsive
LEASE_US = 7_000_000  # since the last data from an incarnation; leaves 1 s of the 8 s to notify callers
# Once the switch is removed, that is, no longer listed in the change log, silent connections are probed and
# calls are given up sooner.
REMOVED_PROBE_IDLE_US = 500_000
REMOVED_LEASE_US = 2_500_000
REMOVED_GRACE_US = 1_000_000  # minimum time after the removal in which the switch may answer a probe
LOSS_DETECTION_US = 5_000_000  # TCP detects a lost connection at most this long after its peer's last segment
MAX_DELIVERY_DELAY_US = 1_000_000  # data is taken to arrive at most this long after it was sent
# A check that runs more than this late was held up by the router itself. The data that has arrived meanwhile
# is read first, and the check is made after STALL_RECHECK_US.
STALL_THRESHOLD_US = 500_000
STALL_RECHECK_US = 250_000
MIN_CHECK_INTERVAL_US = 10_000
MAX_CHECK_INTERVAL_US = 1_000_000  # events between two checks may call for an earlier one than was scheduled
NEVER_US = 1 << 62


@dataclass(slots=True, eq=False)
class Incarnation:
    """One process of the switch, with the connections that lead to it and the calls that stand there."""

    heard_at: int  # when data was last received from it
    connections: set[int] = field(default_factory=set)
    calls: dict[str, int] = field(default_factory=dict)  # call id -> connection on which it was set up
    call_counts: Counter[int] = field(default_factory=Counter)  # connection -> number of calls set up on it
    reached_at: int = 0  # when a connect last succeeded while its own connections were open

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
    """The state of an open connection."""

    opened_at: int
    heard_at: int  # when data was last received on it
    incarnation: Incarnation
    probed_at: int | None = None  # time of the unanswered probe, if there is one


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Send a probe on this connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class ReplaceConnection:
    """This connection is unresponsive: send no more set-ups or releases on it, and open another if allowed.

    The link closes it, or keeps it if it is the only one that leads to a process with calls.
    """

    connection: int


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease of these calls has expired: they have to be ended."""

    calls: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CheckReachability:
    """Open a new connection, in place of an unused one if there are as many as allowed."""


LivenessAction = SendProbe | ReplaceConnection | LeaseExpired | CheckReachability


class SwitchLiveness:
    """The incarnations of one switch. Connections are identified by numbers that are never reused."""

    def __init__(self, may_probe: bool) -> None:
        """Without `may_probe`, the switch is checked by new connections instead of probes."""
        self.may_probe = may_probe
        self.removed_at: int | None = None  # when the switch was removed; None while it is listed
        self.connections: dict[int, ConnectionState] = {}
        self.incarnations: list[Incarnation] = []  # those with connections or calls
        self.by_call: dict[str, Incarnation] = {}  # the incarnation at which each call stands
        self.next_check_at: int | None = None  # when `check` has to be called next
        self.reachability_checked_at = 0  # when a new connection was last asked for

    # Events

    def connection_opened(self, now: int, connection: int) -> None:
        incarnation = Incarnation(now, {connection})
        self.incarnations.append(incarnation)
        self.connections[connection] = ConnectionState(now, now, incarnation)

    def connect_succeeded(self, now: int) -> None:
        """The switch has accepted, or refused, a further connection: its machine is there."""
        for incarnation in self.incarnations:
            if incarnation.connections:
                incarnation.reached_at = now

    def data_received(self, now: int, connection: int) -> None:
        state = self.connections.get(connection)
        if state is None:
            return
        state.heard_at = state.incarnation.heard_at = now
        state.probed_at = None
        if len(self.incarnations) > 1:
            self.merge_younger(now, state)

    def connection_lost(self, now: int, connection: int) -> None:
        """The connection was closed by either side. Calls stand until their lease expires."""
        state = self.connections.pop(connection, None)
        if state is None:
            return
        incarnation = state.incarnation
        incarnation.connections.discard(connection)
        if not incarnation.connections:
            incarnation.heard_at = max(incarnation.heard_at, now - LOSS_DETECTION_US)
            incarnation.reached_at = 0  # by another process
            self.remove_if_empty(incarnation)

    def call_answered(self, call: str, connection: int) -> None:
        """The switch answered the set-up of a call on this connection, so that the call stands."""
        state = self.connections.get(connection)
        if state is not None and call not in self.by_call:
            state.incarnation.add(call, connection)
            self.by_call[call] = state.incarnation

    def call_released(self, call: str, connection: int | None = None) -> bool:
        """The call has ended; `connection` is the one that brought the release, if the switch released it.

        Returns False if the call did not stand here.
        """
        incarnation = self.by_call.pop(call, None)
        if incarnation is None:
            return False
        incarnation.discard(call)
        source = None if connection is None else self.connections.get(connection)
        if source is not None and source.incarnation is not incarnation:
            self.merge(incarnation, source.incarnation)
        self.remove_if_empty(incarnation)
        return True

    def switch_removed(self, now: int) -> None:
        """The switch is no longer listed: shorter probe intervals and leases apply."""
        self.removed_at = now

    def switch_restored(self) -> None:
        """The switch is listed again."""
        self.removed_at = None

    def end_all_calls(self) -> tuple[str, ...]:
        """Ends all leases and returns the calls that stood."""
        calls = tuple(self.by_call)
        for incarnation in list(self.incarnations):
            incarnation.clear()
            self.remove_if_empty(incarnation)
        self.by_call.clear()
        return calls

    # Queries

    def has_calls(self) -> bool:
        return bool(self.by_call)

    def carries_calls(self, connection: int) -> bool:
        """Whether releases of calls may arrive on this connection."""
        state = self.connections.get(connection)
        return state is not None and bool(state.incarnation.calls)

    def may_receive_release(self, connection: int) -> bool:
        """Whether releases of standing calls are expected on this connection rather than on others."""
        state = self.connections.get(connection)
        if state is None or not state.incarnation.calls:
            return False
        return connection in self.call_connections_of(state.incarnation)

    def is_sole_connection(self, connection: int) -> bool:
        """Whether this is the only connection known to lead to its process, and calls stand there."""
        state = self.connections.get(connection)
        return state is not None and bool(state.incarnation.calls) and len(state.incarnation.connections) == 1

    def all_heard_since(self, moment: int) -> bool:
        """Whether data has been received from every process with standing calls since then."""
        return all(one.heard_at >= moment for one in self.incarnations if one.calls)

    # Checks

    def check(self, now: int) -> list[LivenessAction]:
        """Returns the actions that are due. `next_check_at` is the time of the next check, if calls stand."""
        stalled = self.next_check_at is not None and now > self.next_check_at + STALL_THRESHOLD_US
        actions: list[LivenessAction] = []
        for incarnation in [one for one in self.incarnations if one.calls]:
            if stalled:
                self.restart_probes(now, incarnation)
            elif now >= self.lease_expires_at(incarnation):
                actions.append(LeaseExpired(self.expire_lease(incarnation)))
            elif self.may_probe:
                actions += self.probe_incarnation(now, incarnation)
            elif now >= self.reachability_check_at(incarnation):
                self.reachability_checked_at = now
                actions.append(CheckReachability())
        self.schedule_check(now, STALL_RECHECK_US if stalled else MIN_CHECK_INTERVAL_US)
        return actions

    def probe_all(self, now: int) -> list[LivenessAction]:
        """Probes every connection that carries calls, at once."""
        actions: list[LivenessAction] = []
        if self.may_probe:
            for connection in self.call_connections():
                self.connections[connection].probed_at = now
                actions.append(SendProbe(connection))
        self.schedule_check(now, 0)
        return actions

    def schedule_check(self, now: int, min_delay: int) -> None:
        """Sets the time of the next check, no sooner than `min_delay` from now."""
        times = [self.next_event_at(one) for one in self.incarnations if one.calls]
        latest = now + self.probe_interval(MAX_CHECK_INTERVAL_US)
        self.next_check_at = max(min(*times, latest), now + min_delay) if times else None

    def probe_interval(self, regular: int) -> int:
        """The interval to use: `regular`, or a shorter one for a removed switch."""
        return regular if self.removed_at is None else REMOVED_PROBE_IDLE_US

    def next_event_at(self, incarnation: Incarnation) -> int:
        """When the lease expires, a probe times out or a probe has to be sent, whichever is first."""
        earliest = self.lease_expires_at(incarnation)
        if not self.may_probe:
            return min(earliest, self.reachability_check_at(incarnation))
        if not incarnation.connections:
            return earliest
        states = [self.connections[connection] for connection in self.call_connections_of(incarnation)]
        timeouts = [state.probed_at + PROBE_TIMEOUT_US for state in states if state.probed_at is not None]
        if not timeouts:
            earliest = min(earliest, incarnation.heard_at + self.probe_interval(PROBE_IDLE_US))
        last_heard = [state.heard_at for state in states if state.probed_at is None]
        probes = [heard_at + self.probe_interval(CONNECTION_PROBE_IDLE_US) for heard_at in last_heard]
        return min(earliest, *timeouts, *probes)

    def lease_expires_at(self, incarnation: Incarnation) -> int:
        last_sign_at = self.last_sign_at(incarnation)
        expires_at = last_sign_at + LEASE_US
        if self.removed_at is None:
            return expires_at
        if not self.may_probe:  # a removed switch is no longer checked, and may just have nothing to send
            return max(expires_at, self.removed_at + REMOVED_GRACE_US)
        sooner = max(last_sign_at + REMOVED_LEASE_US, self.removed_at + REMOVED_GRACE_US)
        return min(expires_at, sooner)

    def last_sign_at(self, incarnation: Incarnation) -> int:
        """When the incarnation was last known to be alive."""
        return incarnation.heard_at if self.may_probe else max(incarnation.heard_at, incarnation.reached_at)

    def reachability_check_at(self, incarnation: Incarnation) -> int:
        """When a new connection is due, where probes are forbidden.

        None is opened to a removed switch, as another one may have taken its address.
        """
        if not incarnation.connections or self.removed_at is not None:
            return NEVER_US
        due = self.last_sign_at(incarnation) + PROBE_IDLE_US
        return max(due, self.reachability_checked_at + PROBE_TIMEOUT_US)

    def call_connections(self) -> Iterable[int]:
        for incarnation in self.incarnations:
            if incarnation.calls:
                yield from self.call_connections_of(incarnation)

    def call_connections_of(self, incarnation: Incarnation) -> Collection[int]:
        """The connections on which releases of the calls may arrive.

        These are the ones on which calls were set up, or all connections once one of those has been lost.
        """
        connections = incarnation.call_counts.keys()
        return connections if connections <= incarnation.connections else incarnation.connections

    def probe_incarnation(self, now: int, incarnation: Incarnation) -> list[LivenessAction]:
        """Probes one connection first, as probes have a cost, and the others once it has not answered.

        A connection that is silent for CONNECTION_PROBE_IDLE_US is probed even if others receive data.
        """
        candidates = sorted(
            self.call_connections_of(incarnation), key=lambda one: -self.connections[one].heard_at
        )
        probed = [one for one in candidates if self.connections[one].probed_at is not None]
        unresponsive = [
            one for one in probed if now >= (self.connections[one].probed_at or 0) + PROBE_TIMEOUT_US
        ]
        to_probe = [one for one in candidates if one not in probed and self.is_silent(now, one)]
        if now >= incarnation.heard_at + self.probe_interval(PROBE_IDLE_US):
            if unresponsive:
                to_probe = [one for one in candidates if one not in probed]
            elif not probed:
                to_probe = to_probe or candidates[:1]
        for connection in (*unresponsive, *to_probe):
            # An unresponsive one is reported again after PROBE_TIMEOUT_US if the link has to keep it.
            self.connections[connection].probed_at = now
        return [*map(ReplaceConnection, unresponsive), *map(SendProbe, to_probe)]

    def is_silent(self, now: int, connection: int) -> bool:
        return now >= self.connections[connection].heard_at + self.probe_interval(CONNECTION_PROBE_IDLE_US)

    def restart_probes(self, now: int, incarnation: Incarnation) -> None:
        """Restarts the time-outs of pending probes after a stall."""
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

    # Connections that lead to the same process

    def merge_younger(self, now: int, receiver: ConnectionState) -> None:
        """Merges in the incarnations of younger connections, opened before the data just received was sent.

        The process that sent the data on `receiver` must have accepted these connections.
        """
        for state in list(self.connections.values()):
            same_process = receiver.opened_at <= state.opened_at <= now - MAX_DELIVERY_DELAY_US
            if same_process and state.incarnation is not receiver.incarnation:
                self.merge(state.incarnation, receiver.incarnation)

    def merge(self, source: Incarnation, target: Incarnation) -> None:
        for connection in source.connections:
            self.connections[connection].incarnation = target
        for call in source.calls:
            self.by_call[call] = target
        target.connections |= source.connections
        target.calls |= source.calls
        target.call_counts += source.call_counts
        target.heard_at = max(target.heard_at, source.heard_at)
        target.reached_at = max(target.reached_at, source.reached_at)
        source.connections.clear()
        source.clear()
        self.remove_if_empty(source)

    def remove_if_empty(self, incarnation: Incarnation) -> None:
        if not incarnation.connections and not incarnation.calls and incarnation in self.incarnations:
            self.incarnations.remove(incarnation)
