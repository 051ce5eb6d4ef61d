"""Leases of standing calls with processes that live, vanish and are replaced, in simulated time."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from rowanmast.liveness.machine import (
    CONNECTION_PROBE_IDLE_US,
    LEASE_US,
    MAX_DELIVERY_DELAY_US,
    PROBE_IDLE_US,
    PROBE_TIMEOUT_US,
    REMOVED_LEASE_US,
    STALL_THRESHOLD_US,
    CheckReachability,
    LeaseExpired,
    LivenessAction,
    ReplaceConnection,
    SendProbe,
    SwitchLiveness,
)

SECOND = 1_000_000
DEADLINE_US = 8 * SECOND  # for notifying the caller of the end of a call whose switch can send no release
PROBE_ROUND_TRIP_US = 50_000
MAX_CONNECTIONS = 4  # of a link


class SimulatedSwitch:
    """A switch: the process that listens now, and the process that each open connection leads to."""

    def __init__(self, may_probe: bool = True) -> None:
        self.now = 100 * SECOND
        self.machine = SwitchLiveness(may_probe)
        self.process = 0
        self.died_at: dict[int, int] = {}  # process -> time at which it died without closing connections
        self.process_of: dict[int, int] = {}  # open connection -> process
        self.answers: list[tuple[int, int]] = []  # time and connection of each pending answer to a probe
        self.calls: dict[str, int] = {}  # standing call -> process
        self.ended_unreported: dict[str, int] = {}  # call without a release -> time of its end
        self.accepts_connections = True  # a vanished machine does not
        self.serial = 0
        for _ in range(MAX_CONNECTIONS):
            self.connect()

    def connect(self) -> None:
        if len(self.process_of) < MAX_CONNECTIONS:
            self.serial += 1
            self.process_of[self.serial] = self.process
            self.machine.connection_opened(self.now, self.serial)
            self.receive(self.serial)  # the first status line

    def receive(self, connection: int) -> None:
        if self.process_of.get(connection) == self.process:
            self.machine.data_received(self.now, connection)

    def stand(self, connection: int) -> str:
        self.serial += 1
        call = f"c{self.serial}"
        self.receive(connection)
        self.machine.call_answered(call, connection)
        self.calls[call] = self.process_of[connection]
        return call

    def finish(self, call: str) -> None:
        """The process that has the call releases it, on any connection that leads to that process."""
        source = next((one for one, process in self.process_of.items() if process == self.calls[call]), None)
        if source is not None and self.calls[call] == self.process:
            del self.calls[call]
            self.receive(source)
            assert self.machine.call_released(call, source)

    def replace_process(self) -> None:
        """The process dies with its connections left open; another one listens at its address."""
        for call, process in self.calls.items():
            if process == self.process:
                self.ended_unreported[call] = self.now
        self.died_at[self.process] = self.now
        self.process += 1

    def lose(self, connection: int) -> None:
        del self.process_of[connection]
        self.machine.connection_lost(self.now, connection)

    def advance(self, by: int) -> None:
        """Lets time pass; checks are made and answers to probes arrive when they are due."""
        end = self.now + by
        while True:
            due = [at for at, _ in self.answers]
            if self.machine.next_check_at is not None:
                due.append(self.machine.next_check_at)
            if not due or min(due) > end:
                break
            self.now = max(self.now, min(due))
            answered = [one for at, one in self.answers if at <= self.now]
            self.answers = [(at, one) for at, one in self.answers if at > self.now]
            for connection in answered:
                self.receive(connection)
            if self.machine.next_check_at is not None and self.machine.next_check_at <= self.now:
                self.execute(self.machine.check(self.now))
        self.now = end

    def execute(self, actions: list[LivenessAction]) -> None:
        for action in actions:
            match action:
                case SendProbe(connection):
                    self.answers.append((self.now + PROBE_ROUND_TRIP_US, connection))
                case ReplaceConnection(connection) if self.process_of[connection] != self.process:
                    self.lose(connection)
                    self.connect()
                case CheckReachability() if self.accepts_connections:
                    self.machine.connect_succeeded(self.now)
                case ReplaceConnection(connection):
                    raise AssertionError("a responsive connection was replaced")
                case LeaseExpired(calls):
                    for call in calls:
                        assert (
                            call in self.ended_unreported
                            or self.calls[call] != self.process
                            or self.is_cut_off(call)
                        )
                        self.calls.pop(call)
                        self.ended_unreported.pop(call, None)

    def is_cut_off(self, call: str) -> bool:
        """Whether all connections known to lead to the call's process may have been lost."""
        return call in self.cut_off_calls

    cut_off_calls: frozenset[str] = frozenset()

    def reset_all(self) -> None:
        """Resets all connections at once; the process lives, but can't be known to be the same one."""
        self.cut_off_calls |= self.calls.keys()
        for connection in list(self.process_of):
            self.lose(connection)
        self.connect()

    def check_deadlines(self) -> None:
        for call, ended in self.ended_unreported.items():
            assert self.now < ended + DEADLINE_US, f"{call} ended {self.now - ended} us ago, unreported"


STEPS = st.one_of(
    st.tuples(st.just("advance"), st.integers(0, 4 * SECOND)),
    st.tuples(st.sampled_from(["stand", "stand", "finish", "receive", "connect", "lose"]), st.integers(0, 9)),
    st.tuples(st.sampled_from(["replace", "reset_all"]), st.just(0)),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_ends_are_detected_in_time_and_calls_on_a_live_process_are_kept(steps: list[tuple[str, int]]) -> None:
    switch = SimulatedSwitch()
    for kind, pick in steps:
        live = [one for one, process in switch.process_of.items() if process == switch.process]
        match kind:
            case "advance":
                switch.advance(pick)
            case "stand" if live:
                switch.stand(live[pick % len(live)])
            case "finish" if switch.calls:
                switch.finish(sorted(switch.calls)[pick % len(switch.calls)])
            case "receive" if live:
                switch.receive(live[pick % len(live)])
            case "connect":
                switch.connect()
            case "lose" if len(live) > 1:
                switch.lose(live[pick % len(live)])
                # The remaining connections may not be known to lead to the same process.
                switch.cut_off_calls |= switch.calls.keys()
            case "replace":
                switch.replace_process()
            case "reset_all":
                switch.reset_all()
        if switch.machine.next_check_at is None:
            switch.machine.schedule_check(switch.now, 0)
        switch.check_deadlines()
    switch.advance(DEADLINE_US)
    switch.check_deadlines()
    assert switch.machine.by_call.keys() == switch.calls.keys()


def idle_switch(seconds: int = 30) -> tuple[SimulatedSwitch, str]:
    """A switch with one standing call, after `seconds` without any other event."""
    switch = SimulatedSwitch()
    call = switch.stand(1)
    switch.machine.schedule_check(switch.now, 0)
    switch.advance(seconds * SECOND)
    return switch, call


def test_a_call_on_a_silent_process_that_answers_probes_is_kept() -> None:
    switch, call = idle_switch()
    assert list(switch.calls) == [call] and switch.machine.has_calls()


def test_a_call_is_given_up_a_lease_after_the_last_data_from_its_process() -> None:
    switch, call = idle_switch()
    switch.replace_process()
    switch.advance(LEASE_US - PROBE_IDLE_US - PROBE_ROUND_TRIP_US - 1)
    assert call in switch.ended_unreported, "the call was given up before its lease expired"
    switch.advance(PROBE_IDLE_US + PROBE_ROUND_TRIP_US + 1)
    assert (
        not switch.ended_unreported
        and not switch.machine.has_calls()
        and switch.machine.next_check_at is None
    )


def test_a_release_proves_that_a_new_connection_leads_to_the_same_process() -> None:
    switch, call = idle_switch()
    other = switch.stand(2)
    switch.reset_all()
    switch.advance(SECOND)
    (new,) = switch.process_of
    del switch.calls[other]
    assert switch.machine.call_released(other, new)
    switch.cut_off_calls = frozenset()
    switch.advance(30 * SECOND)
    assert list(switch.calls) == [call]


def test_calls_on_a_removed_switch_are_given_up_soon_if_it_is_silent_and_kept_if_it_answers() -> None:
    switch, call = idle_switch()
    switch.machine.switch_removed(switch.now)
    switch.execute(switch.machine.probe_all(switch.now))
    switch.advance(20 * SECOND)
    assert list(switch.calls) == [call]
    switch.replace_process()
    switch.advance(REMOVED_LEASE_US)
    assert not switch.calls


def test_after_a_stall_of_the_router_received_data_is_read_before_leases_expire() -> None:
    switch, call = idle_switch()
    switch.now += LEASE_US + STALL_THRESHOLD_US
    assert switch.machine.check(switch.now) == []
    for connection in switch.process_of:
        switch.receive(connection)
    switch.advance(10 * SECOND)
    assert list(switch.calls) == [call]


def idle_switch_without_probes() -> tuple[SimulatedSwitch, str]:
    """A live switch that accepts connections and is silent on them, after a minute with one call."""
    switch = SimulatedSwitch(may_probe=False)
    call = switch.stand(1)
    switch.machine.schedule_check(switch.now, 0)
    switch.advance(60 * SECOND)
    assert list(switch.calls) == [call], "a call on a live switch was given up"
    return switch, call


def test_without_probes_a_call_is_given_up_a_lease_after_its_connections_are_lost() -> None:
    switch, _ = idle_switch_without_probes()
    switch.replace_process()
    for connection in list(switch.process_of):
        switch.lose(connection)
    switch.machine.schedule_check(switch.now, 0)
    switch.advance(LEASE_US)
    assert not switch.calls


def test_without_probes_calls_on_a_switch_that_vanished_with_open_connections_are_given_up() -> None:
    # review/9, and the same while the change log still lists the switch.
    switch, _ = idle_switch_without_probes()
    switch.replace_process()
    switch.accepts_connections = False
    switch.advance(DEADLINE_US - SECOND)
    assert not switch.calls


def test_without_probes_calls_on_a_removed_silent_switch_are_given_up() -> None:
    # review/9: callers were never told, though the list said that the switch is gone.
    for silent_us in (0, 5 * SECOND):
        switch = SimulatedSwitch(may_probe=False)
        switch.stand(1)
        switch.replace_process()
        switch.now += silent_us
        switch.machine.switch_removed(switch.now)
        switch.execute(switch.machine.probe_all(switch.now))
        switch.advance(LEASE_US - silent_us)
        assert not switch.calls


def test_without_probes_a_new_machine_at_the_address_does_not_renew_leases_of_lost_connections() -> None:
    switch, _ = idle_switch_without_probes()
    switch.replace_process()
    switch.advance(2 * SECOND)
    for connection in list(switch.process_of):  # reset by the new machine
        switch.lose(connection)
    switch.connect()
    switch.machine.connect_succeeded(switch.now)
    switch.advance(LEASE_US - 2 * SECOND)
    assert not switch.calls


def test_a_silent_connection_with_a_call_is_replaced_while_others_to_its_process_are_active() -> None:
    machine = SwitchLiveness(may_probe=True)
    for connection in (1, 2):
        machine.connection_opened(0, connection)
        machine.data_received(0, connection)
    machine.call_answered("c1", 1)
    actions: list[LivenessAction] = []
    for now in range(SECOND, CONNECTION_PROBE_IDLE_US + PROBE_TIMEOUT_US + SECOND, SECOND // 2):
        machine.data_received(now, 2)
        actions += machine.check(now)
    assert actions == [SendProbe(1), ReplaceConnection(1)]


def test_one_connection_is_probed_first_and_the_others_once_it_does_not_answer() -> None:
    machine = SwitchLiveness(may_probe=True)
    for connection in (1, 2, 3):
        machine.connection_opened(0, connection)
    for connection in (3, 2, 1):
        machine.data_received(MAX_DELIVERY_DELAY_US, connection)
    for connection in (1, 2, 3):
        machine.call_answered(f"c{connection}", connection)
    probed_at = MAX_DELIVERY_DELAY_US + PROBE_IDLE_US
    assert machine.check(probed_at) == [SendProbe(1)]
    assert machine.check(probed_at + PROBE_TIMEOUT_US - 1) == []
    assert machine.check(probed_at + PROBE_TIMEOUT_US) == [ReplaceConnection(1), SendProbe(2), SendProbe(3)]


def test_a_connection_that_answers_no_probe_is_replaced() -> None:
    machine = SwitchLiveness(may_probe=True)
    machine.connection_opened(0, 1)
    machine.data_received(0, 1)
    machine.call_answered("c1", 1)
    assert machine.check(PROBE_IDLE_US) == [SendProbe(1)]
    assert machine.is_sole_connection(1)
    assert machine.check(PROBE_IDLE_US + PROBE_TIMEOUT_US) == [ReplaceConnection(1)]
