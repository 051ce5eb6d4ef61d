"""Leases of calls that stand, against processes that live, vanish and are replaced, in simulated time."""

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
    LeaseExpired,
    LivenessAction,
    ReplaceConnection,
    SendProbe,
    SwitchLiveness,
)

SECOND = 1_000_000
DEADLINE_US = 8 * SECOND  # from the end of a call whose switch can send no release until its caller knows
PROBE_ROUND_TRIP_US = 50_000  # until a live process has answered a probe
MAX_CONNECTIONS = 4  # connections that a link keeps


class SimulatedSwitch:
    """One switch: the process that listens now, and for each open connection the process that it leads to."""

    def __init__(self, may_probe: bool = True) -> None:
        self.now = 100 * SECOND
        self.machine = SwitchLiveness(may_probe)
        self.process = 0
        self.died_at: dict[int, int] = {}  # processes: when they died in silence
        self.process_of: dict[int, int] = {}  # open connections
        self.answers: list[tuple[int, int]] = []  # of probes: when, on which connection
        self.calls: dict[str, int] = {}  # calls that stand, by the process that holds them
        self.ended_unreported: dict[str, int] = {}  # calls that ended untold: when
        self.serial = 0
        for _ in range(MAX_CONNECTIONS):
            self.connect()

    def connect(self) -> None:
        if len(self.process_of) < MAX_CONNECTIONS:
            self.serial += 1
            self.process_of[self.serial] = self.process
            self.machine.connection_opened(self.now, self.serial)
            self.receive(self.serial)  # its first state

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
        """The process that holds the call says that it is over, on any connection that leads to it."""
        teller = next((one for one, process in self.process_of.items() if process == self.calls[call]), None)
        if teller is not None and self.calls[call] == self.process:
            del self.calls[call]
            self.receive(teller)
            assert self.machine.call_released(call, teller)

    def replace_process(self) -> None:
        """It dies in silence, with its connections open; another one listens at its address."""
        for call, process in self.calls.items():
            if process == self.process:
                self.ended_unreported[call] = self.now
        self.died_at[self.process] = self.now
        self.process += 1

    def lose(self, connection: int) -> None:
        del self.process_of[connection]
        self.machine.connection_lost(self.now, connection)

    def advance(self, by: int) -> None:
        """Lets time pass, with the checks and the answers to probes when they are due."""
        end = self.now + by
        while True:
            moments = [at for at, _ in self.answers]
            if self.machine.next_check_at is not None:
                moments.append(self.machine.next_check_at)
            if not moments or min(moments) > end:
                break
            self.now = max(self.now, min(moments))
            answered = [one for at, one in self.answers if at <= self.now]
            self.answers = [(at, one) for at, one in self.answers if at > self.now]
            for connection in answered:
                self.receive(connection)
            if self.machine.next_check_at is not None and self.machine.next_check_at <= self.now:
                self.carry_out(self.machine.check(self.now))
        self.now = end

    def carry_out(self, orders: list[LivenessAction]) -> None:
        for order in orders:
            match order:
                case SendProbe(connection):
                    self.answers.append((self.now + PROBE_ROUND_TRIP_US, connection))
                case ReplaceConnection(connection) if self.process_of[connection] != self.process:
                    self.lose(connection)
                    self.connect()
                case ReplaceConnection(connection):
                    raise AssertionError("a connection that answers was replaced")
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
        """Whether no connection that was open with the call's own leads to its process any more."""
        return call in self.cut_off_calls

    cut_off_calls: frozenset[str] = frozenset()

    def reset_all(self) -> None:
        """All connections at once; the process lives, but nothing proves that it is the same one."""
        self.cut_off_calls |= self.calls.keys()
        for connection in list(self.process_of):
            self.lose(connection)
        self.connect()

    def check_deadlines(self) -> None:
        for call, ended in self.ended_unreported.items():
            assert self.now < ended + DEADLINE_US, f"{call} ended {self.now - ended} us ago, untold"


STEPS = st.one_of(
    st.tuples(st.just("advance"), st.integers(0, 4 * SECOND)),
    st.tuples(st.sampled_from(["stand", "stand", "finish", "hear", "connect", "lose"]), st.integers(0, 9)),
    st.tuples(st.sampled_from(["replace", "reset_all"]), st.just(0)),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(STEPS, max_size=60))
def test_ends_are_known_in_time_and_calls_on_a_live_process_are_kept(steps: list[tuple[str, int]]) -> None:
    world = SimulatedSwitch()
    for kind, pick in steps:
        live = [one for one, process in world.process_of.items() if process == world.process]
        match kind:
            case "advance":
                world.advance(pick)
            case "stand" if live:
                world.stand(live[pick % len(live)])
            case "finish" if world.calls:
                world.finish(sorted(world.calls)[pick % len(world.calls)])
            case "hear" if live:
                world.receive(live[pick % len(live)])
            case "connect":
                world.connect()
            case "lose" if len(live) > 1:
                world.lose(live[pick % len(live)])
                world.cut_off_calls |= world.calls.keys()  # unless the rest is known to lead there, too
            case "replace":
                world.replace_process()
            case "reset_all":
                world.reset_all()
        if world.machine.next_check_at is None:
            world.machine.schedule_check(world.now, 0)
        world.check_deadlines()
    world.advance(DEADLINE_US)
    world.check_deadlines()
    assert world.machine.by_call.keys() == world.calls.keys()


def idle_switch(seconds: int = 30) -> tuple[SimulatedSwitch, str]:
    """One call stands, and nothing else is said for so long."""
    world = SimulatedSwitch()
    call = world.stand(1)
    world.machine.schedule_check(world.now, 0)
    world.advance(seconds * SECOND)
    return world, call


def test_a_quiet_call_on_a_process_that_answers_probes_is_kept() -> None:
    world, call = idle_switch()
    assert list(world.calls) == [call] and world.machine.has_calls()


def test_a_call_is_given_up_within_a_lease_of_the_last_sign_of_life() -> None:
    world, call = idle_switch()
    world.replace_process()
    world.advance(LEASE_US - PROBE_IDLE_US - PROBE_ROUND_TRIP_US - 1)
    assert call in world.ended_unreported, "not sooner than it has to be"
    world.advance(PROBE_IDLE_US + PROBE_ROUND_TRIP_US + 1)
    assert (
        not world.ended_unreported and not world.machine.has_calls() and world.machine.next_check_at is None
    )


def test_the_word_of_a_call_proves_that_a_new_connection_leads_to_the_same_process() -> None:
    world, call = idle_switch()
    other = world.stand(2)
    world.reset_all()
    world.advance(SECOND)
    (new,) = world.process_of
    del world.calls[other]
    assert world.machine.call_released(other, new)
    world.cut_off_calls = frozenset()
    world.advance(30 * SECOND)
    assert list(world.calls) == [call]


def test_a_removed_switch_that_is_silent_is_given_up_soon_and_one_that_answers_is_not() -> None:
    world, call = idle_switch()
    world.machine.switch_removed(world.now)
    world.carry_out(world.machine.probe_all(world.now))
    world.advance(20 * SECOND)
    assert list(world.calls) == [call]
    world.replace_process()
    world.advance(REMOVED_LEASE_US)
    assert not world.calls


def test_after_a_stall_of_ours_what_has_arrived_is_read_before_anything_is_judged() -> None:
    world, call = idle_switch()
    world.now += LEASE_US + STALL_THRESHOLD_US
    assert world.machine.check(world.now) == []
    for connection in world.process_of:
        world.receive(connection)
    world.advance(10 * SECOND)
    assert list(world.calls) == [call]


def test_without_probes_silence_proves_nothing_but_lost_connections_do() -> None:
    world = SimulatedSwitch(may_probe=False)
    call = world.stand(1)
    world.machine.schedule_check(world.now, 0)
    world.advance(60 * SECOND)
    assert list(world.calls) == [call]
    world.replace_process()
    for connection in list(world.process_of):
        world.lose(connection)
    world.machine.schedule_check(world.now, 0)
    world.advance(LEASE_US)
    assert not world.calls


def test_a_forgotten_connection_that_carries_a_call_is_replaced_while_its_process_is_heard() -> None:
    machine = SwitchLiveness(may_probe=True)
    for connection in (1, 2):
        machine.connection_opened(0, connection)
        machine.data_received(0, connection)
    machine.call_answered("c1", 1)
    orders: list[LivenessAction] = []
    for now in range(SECOND, CONNECTION_PROBE_IDLE_US + PROBE_TIMEOUT_US + SECOND, SECOND // 2):
        machine.data_received(now, 2)
        orders += machine.check(now)
    assert orders == [SendProbe(1), ReplaceConnection(1)]


def test_one_connection_is_asked_first_and_the_others_once_it_does_not_answer() -> None:
    machine = SwitchLiveness(may_probe=True)
    for connection in (1, 2, 3):
        machine.connection_opened(0, connection)
    for connection in (3, 2, 1):
        machine.data_received(MAX_DELIVERY_DELAY_US, connection)
    for connection in (1, 2, 3):
        machine.call_answered(f"c{connection}", connection)
    begun = MAX_DELIVERY_DELAY_US + PROBE_IDLE_US
    assert machine.check(begun) == [SendProbe(1)]
    assert machine.check(begun + PROBE_TIMEOUT_US - 1) == []
    assert machine.check(begun + PROBE_TIMEOUT_US) == [ReplaceConnection(1), SendProbe(2), SendProbe(3)]


def test_a_connection_that_answers_no_probe_is_replaced() -> None:
    machine = SwitchLiveness(may_probe=True)
    machine.connection_opened(0, 1)
    machine.data_received(0, 1)
    machine.call_answered("c1", 1)
    assert machine.check(PROBE_IDLE_US) == [SendProbe(1)]
    assert machine.is_sole_connection(1)
    assert machine.check(PROBE_IDLE_US + PROBE_TIMEOUT_US) == [ReplaceConnection(1)]
