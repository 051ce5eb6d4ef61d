"""The link to a JSON-lines switch: a model of its connection, against which random steps are checked."""

from __future__ import annotations

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from standins import FakeTransport, Inbox, OpenGate

from rowanmast import interface as api
from rowanmast.core.ports import Answered, Attempt, AttemptEnded, CallEnded, SwitchDown
from rowanmast.net import jsonlines
from rowanmast.net.input_queue import now_us
from rowanmast.net.peers import (
    MAX_CONNECTIONS,
    MAX_STATUS_LAG_US,
    PROBE_ID,
    SILENCE_TIMEOUT_US,
    STATUS_SPREAD_US,
    JsonSwitchLink,
    SwitchConnection,
)


class ManualLink(JsonSwitchLink):
    """Its connects are the test's to grant or to fail."""

    connect_wanted = False

    def connect(self) -> None:
        self.connect_wanted = len(self.connections) < MAX_CONNECTIONS and not self.closed

    def schedule_reconnect(self) -> None:
        pass

    def schedule_liveness_check(self) -> None:
        pass


class Model:
    def __init__(self) -> None:
        self.inbox, self.gate = Inbox(), OpenGate()
        self.link = ManualLink("x1", ("127.0.0.1", 1), self.inbox, self.gate, 0.5, Random(1))
        self.transports: list[FakeTransport] = []
        self.call_states: dict[str, str] = {}  # of each call: waiting, out, standing or over
        self.transport_of: dict[str, FakeTransport] = {}  # the connection on which each set-up left
        self.queued_releases: list[str] = []  # that the switch must hear once it can
        self.serial = 0

    def calls(self, *states: str) -> list[str]:
        return [call for call, state in self.call_states.items() if state in states]

    def deliver(self, *lines: bytes, on: int = 0) -> None:
        self.transports[on % len(self.transports)].protocol.data_received(b"".join(lines))

    def written(self) -> list[tuple[str, str]]:
        got = []
        for line in self.transports:
            for message in jsonlines.Parser().feed(line.take()):
                got.append((message.msg, message.sid))
                if message.msg == "open":
                    self.transport_of[message.sid] = line
        return sorted(got)

    def step(self, kind: str, pick: int) -> None:
        before = dict(self.call_states)
        chosen = self.calls("waiting", "out", "standing")
        call = chosen[pick % len(chosen)] if chosen else ""
        state, expected = self.call_states.get(call, ""), []
        if kind == "set_up":
            self.serial += 1
            call = f"c{self.serial}"
            self.link.set_up(Attempt(call, 0, "x1", "plain", "77", "text é", now_us(), 10**15))
            self.call_states[call] = "out" if self.transports else "waiting"
            expected = [("open", call)] if self.transports else []
        elif kind == "up" and self.link.connect_wanted:
            self.link.connect_wanted = False
            self.transports.append(FakeTransport(SwitchConnection(self.link)))
            expected = [("close", one) for one in self.queued_releases]
            self.queued_releases = []
            for one in self.calls("waiting"):
                self.call_states[one] = "over" if self.gate.closed else "out"
                expected += [] if self.gate.closed else [("open", one)]
            self.expect_attempts_over(
                [one for one in before if before[one] == "waiting" != self.call_states[one] == "over"]
            )
            assert self.link.connect_wanted == (len(self.transports) < MAX_CONNECTIONS)
        elif kind == "fail" and self.link.connect_wanted:
            self.link.connect_failed(refused=pick % 2 == 0)
            if pick % 2 == 0 and not self.transports:  # last: else what was waiting would count as cut
                assert isinstance(self.inbox.items.pop(), SwitchDown)
            self.expect_attempts_over(self.calls("waiting"), api.Outcome.UNREACHED)
        elif kind == "lose" and self.transports:
            line = self.transports.pop(pick % len(self.transports))
            (line.close if pick % 2 else lambda: line.protocol.data_received(b"[]\n"))()
            assert line.closed
            self.expect_attempts_over(
                [one for one in self.calls("out") if self.transport_of[one] is line], api.Outcome.CUT
            )
        elif kind == "answer" and self.transports and state == "out":
            ready = jsonlines.encode("ready", call, {}, text="é")
            self.deliver(jsonlines.encode("trying", call, {}), ready, on=pick)
            assert self.inbox.take() == [Answered("x1", call, 0, "é")]
            self.call_states[call] = "standing"
        elif kind == "refuse" and self.transports and state in ("out", "standing"):
            self.deliver(jsonlines.encode("close", call, {"note": "via_said_no"}, code=34), on=pick)
            (item,) = self.inbox.take()
            if state == "out":
                assert isinstance(item, AttemptEnded) and item.cause is api.Cause.CRANKBACK
            else:
                assert item == CallEnded("x1", call, api.Outcome.CUT)
                expected = [("closed", call)]
            self.call_states[call] = "over"
        elif kind == "cancel" and state in ("waiting", "out"):
            self.link.cancel(call)
            expected = [("close", call)] if state == "out" else []
            self.call_states[call] = "over"
        elif kind == "release" and state == "standing":
            self.link.release(call, 16)
            self.call_states[call] = "over"
            if self.transports:
                expected = [("close", call)]
            else:
                self.queued_releases.append(call)
        elif kind == "gate":
            self.gate.closed = not self.gate.closed
        assert self.written() == sorted(expected)
        assert self.inbox.take() == []
        assert set(self.link.attempt_connections) == set(self.calls("out"))

    def expect_attempts_over(self, calls: list[str], outcome: api.Outcome = api.Outcome.NOT_SENT) -> None:
        items = sorted(self.inbox.take(), key=lambda item: item.call)  # type: ignore[union-attr]
        assert items == [AttemptEnded("x1", call, 0, outcome) for call in sorted(calls)]
        self.call_states.update(dict.fromkeys(calls, "over"))


KINDS = (
    "set_up", "set_up", "set_up", "up", "up", "up", "fail", "lose", "answer", "answer", "refuse", "cancel",
    "release", "gate",
)  # fmt: skip


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 5)), max_size=60))
def test_connection_against_its_model(drawn: list[tuple[str, int]]) -> None:
    model = Model()
    for kind, pick in drawn:
        model.step(kind, pick)


def connected_model() -> Model:
    model = Model()
    model.step("up", 0)
    return model


def test_group_states_and_probes_are_reported() -> None:
    model = connected_model()
    model.deliver(jsonlines.encode("status", "", {"load": "x0:12;x1:40;queue:3"}))
    report = api.LoadReport(free_circuits=12, group_size=40, queued=3)
    assert model.inbox.take() == [api.LoadReported("x1", True, 0, report)]
    model.link.probe()
    assert model.written() == [("probe", PROBE_ID)]
    model.deliver(jsonlines.encode("probed", PROBE_ID, {}, code=0))
    (item,) = model.inbox.take()
    assert isinstance(item, api.LoadReported) and not item.answered


def test_an_answer_that_crosses_a_call_off_is_told_as_no_attempt_of_ours() -> None:
    model = connected_model()
    model.step("set_up", 0)
    model.step("cancel", 0)
    model.deliver(jsonlines.encode("ready", "c1", {}, text="late"))
    assert model.inbox.take() == [Answered("x1", "c1", -1, "late")]


def test_malformed_and_unread_bytes_cost_their_connection_and_no_other() -> None:
    for harm in ("data", "pause"):
        model = connected_model()
        model.step("up", 0)
        model.step("set_up", 0)
        model.step("set_up", 0)
        spoiled, other = model.transports
        if harm == "data":  # what came whole before it in the same read counts
            spoiled.protocol.data_received(jsonlines.encode("close", "c9", {}, code=16) + b"[]\n")
            assert model.inbox.items.pop(0) == CallEnded("x1", "c9", api.Outcome.DONE)
        else:
            spoiled.protocol.pause_writing()
        assert spoiled.closed and not other.closed
        assert model.inbox.take() == [AttemptEnded("x1", "c1", 0, api.Outcome.CUT)]


def test_nothing_more_is_sent_on_a_connection_that_closes() -> None:
    # Set-ups were written to a connection in its close, which dropped them in silence.
    model = connected_model()
    (line,) = model.transports
    line.close = lambda: None  # type: ignore[method-assign]  # takes effect a turn later
    line.protocol.data_received(b"noise\n")
    model.link.set_up(Attempt("c1", 0, "x1", "plain", "77", "text", now_us(), 10**15))
    assert line.take() == b"" and list(model.link.queued_attempts) == ["c1"]


def test_a_connection_that_answers_nothing_in_time_is_given_up() -> None:
    model = connected_model()
    for age in (SILENCE_TIMEOUT_US // 2, SILENCE_TIMEOUT_US):
        sent = now_us() - age
        (line,) = model.transports
        line.protocol.heard_at = sent
        for call in ("c1", "c2"):
            model.link.set_up(Attempt(call, 0, "x1", "plain", "77", "text", sent, 10**15))
        model.link.cancel("c1")
        assert line.closed == (age == SILENCE_TIMEOUT_US)
        model.link.cancel("c2")
    assert model.inbox.take() == [AttemptEnded("x1", "c2", 0, api.Outcome.CUT)]


def test_a_connection_that_lacks_what_another_brings_is_left() -> None:
    # Set-ups went on to it for more than a second, each until its caller had given up.
    model = connected_model()
    model.step("up", 0)
    model.step("set_up", 0)
    model.step("set_up", 0)
    mute, other = model.transports
    status = jsonlines.encode("status", "", {"load": "x0:1"})
    for ago, left in (
        (STATUS_SPREAD_US // 2, False),
        (STATUS_SPREAD_US, False),
        (STATUS_SPREAD_US + MAX_STATUS_LAG_US, True),
    ):
        mute.protocol.heard_at = now_us() - ago
        mute.protocol.lagging_since = mute.protocol.lagging_since and now_us() - (ago - STATUS_SPREAD_US)
        other.protocol.data_received(status)
        assert mute.closed == left
    assert not other.closed and AttemptEnded("x1", "c1", 0, api.Outcome.CUT) in model.inbox.take()


def test_the_first_state_on_a_new_connection_tells_nothing_of_the_others() -> None:
    # It comes on the new one alone; two connects 100 ms apart closed a quiet one that was well.
    model = connected_model()
    status = jsonlines.encode("status", "", {"load": "x0:1"})
    (quiet,) = model.transports
    quiet.protocol.data_received(status)
    model.inbox.take()
    for _ in range(2):
        model.step("up", 0)
        quiet.protocol.heard_at = now_us() - STATUS_SPREAD_US - MAX_STATUS_LAG_US
        quiet.protocol.lagging_since = quiet.protocol.lagging_since and now_us() - MAX_STATUS_LAG_US
        model.transports[-1].protocol.data_received(status)
        model.inbox.take()
        assert not quiet.closed and not quiet.protocol.lagging_since


def test_a_line_that_stops_short_ends_its_connection() -> None:
    async def test() -> None:
        model = connected_model()
        (line,) = model.transports
        line.protocol.data_received(b'{"msg":"rea')
        await asyncio.sleep(0.15)
        line.protocol.data_received(b'dy","sid":"c9"}\n')  # slow, but whole
        await asyncio.sleep(0.15)
        assert not line.closed
        line.protocol.data_received(b'{"msg":')
        await asyncio.sleep(0.3)
        assert line.closed

    asyncio.run(test())


def test_a_switch_gone_from_the_list_is_not_connected_again() -> None:
    model = connected_model()
    model.link.connect_wanted = False
    model.link.close()
    assert not model.link.connect_wanted and model.transports[0].closed
