"""The link to a JSON-lines switch: a model of its connection, against which random steps are checked."""

from __future__ import annotations

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from standins import FakeTransport, Inbox, OpenGate

from rowanmast import interface as api
from rowanmast.core.ports import Answered, Attempt, AttemptOver, CallOver, SwitchDown
from rowanmast.net import jsonlines
from rowanmast.net.peers import BEHIND_US, MOST, PING, SAME_US, SILENT_US, Connection, PeerLink
from rowanmast.net.turn import now_us


class Link(PeerLink):
    """Its connects are the test's to grant or to fail."""

    wanted = False

    def connect(self) -> None:
        self.wanted = len(self.connections) < MOST and not self.closed

    def retry_later(self) -> None:
        pass

    def schedule_check(self) -> None:
        pass


class Model:
    def __init__(self) -> None:
        self.inbox, self.gate = Inbox(), OpenGate()
        self.link = Link("x1", ("127.0.0.1", 1), self.inbox, self.gate, 0.5, Random(1))
        self.lines: list[FakeTransport] = []
        self.state: dict[str, str] = {}  # of each call: waiting, out, standing or over
        self.place: dict[str, FakeTransport] = {}  # the connection on which each set-up left
        self.releases: list[str] = []  # that the switch must hear once it can
        self.serial = 0

    def calls(self, *states: str) -> list[str]:
        return [call for call, state in self.state.items() if state in states]

    def hear(self, *lines: bytes, on: int = 0) -> None:
        self.lines[on % len(self.lines)].protocol.data_received(b"".join(lines))

    def written(self) -> list[tuple[str, str]]:
        got = []
        for line in self.lines:
            for message in jsonlines.Parser().feed(line.take()):
                got.append((message.msg, message.sid))
                if message.msg == "open":
                    self.place[message.sid] = line
        return sorted(got)

    def step(self, kind: str, pick: int) -> None:
        before = dict(self.state)
        chosen = self.calls("waiting", "out", "standing")
        call = chosen[pick % len(chosen)] if chosen else ""
        state, expected = self.state.get(call, ""), []
        if kind == "set_up":
            self.serial += 1
            call = f"c{self.serial}"
            self.link.set_up(Attempt(call, 0, "x1", "plain", "77", "text é", now_us(), 10**15))
            self.state[call] = "out" if self.lines else "waiting"
            expected = [("open", call)] if self.lines else []
        elif kind == "up" and self.link.wanted:
            self.link.wanted = False
            self.lines.append(FakeTransport(Connection(self.link)))
            expected = [("close", one) for one in self.releases]
            self.releases = []
            for one in self.calls("waiting"):
                self.state[one] = "over" if self.gate.shut else "out"
                expected += [] if self.gate.shut else [("open", one)]
            self.expect_over([one for one in before if before[one] == "waiting" != self.state[one] == "over"])
            assert self.link.wanted == (len(self.lines) < MOST)
        elif kind == "fail" and self.link.wanted:
            self.link.failed(refused=pick % 2 == 0)
            if pick % 2 == 0 and not self.lines:  # last: else what was waiting would count as cut
                assert isinstance(self.inbox.items.pop(), SwitchDown)
            self.expect_over(self.calls("waiting"), api.Outcome.UNREACHED)
        elif kind == "lose" and self.lines:
            line = self.lines.pop(pick % len(self.lines))
            (line.close if pick % 2 else lambda: line.protocol.data_received(b"[]\n"))()
            assert line.closed
            self.expect_over([one for one in self.calls("out") if self.place[one] is line], api.Outcome.CUT)
        elif kind == "answer" and self.lines and state == "out":
            ready = jsonlines.write("ready", call, {}, text="é")
            self.hear(jsonlines.write("trying", call, {}), ready, on=pick)
            assert self.inbox.take() == [Answered("x1", call, 0, "é")]
            self.state[call] = "standing"
        elif kind == "refuse" and self.lines and state in ("out", "standing"):
            self.hear(jsonlines.write("close", call, {"note": "via_said_no"}, code=34), on=pick)
            (item,) = self.inbox.take()
            if state == "out":
                assert isinstance(item, AttemptOver) and item.cause is api.Cause.TURNED_BACK
            else:
                assert item == CallOver("x1", call, api.Outcome.CUT)
                expected = [("closed", call)]
            self.state[call] = "over"
        elif kind == "call_off" and state in ("waiting", "out"):
            self.link.call_off(call)
            expected = [("close", call)] if state == "out" else []
            self.state[call] = "over"
        elif kind == "release" and state == "standing":
            self.link.release(call, 16)
            self.state[call] = "over"
            if self.lines:
                expected = [("close", call)]
            else:
                self.releases.append(call)
        elif kind == "gate":
            self.gate.shut = not self.gate.shut
        assert self.written() == sorted(expected)
        assert self.inbox.take() == []
        assert set(self.link.out) == set(self.calls("out"))

    def expect_over(self, calls: list[str], outcome: api.Outcome = api.Outcome.NOT_SENT) -> None:
        items = sorted(self.inbox.take(), key=lambda item: item.call)  # type: ignore[union-attr]
        assert items == [AttemptOver("x1", call, 0, outcome) for call in sorted(calls)]
        self.state.update(dict.fromkeys(calls, "over"))


KINDS = (
    "set_up", "set_up", "set_up", "up", "up", "up", "fail", "lose", "answer", "answer", "refuse", "call_off",
    "release", "gate",
)  # fmt: skip


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 5)), max_size=60))
def test_connection_against_its_model(drawn: list[tuple[str, int]]) -> None:
    model = Model()
    for kind, pick in drawn:
        model.step(kind, pick)


def connected() -> Model:
    model = Model()
    model.step("up", 0)
    return model


def test_group_states_and_probes_are_reported() -> None:
    model = connected()
    model.hear(jsonlines.write("status", "", {"load": "x0:12;x1:40;queue:3"}))
    report = api.Report(free=12, size=40, waiting=3)
    assert model.inbox.take() == [api.Reported("x1", True, 0, report)]
    model.link.probe()
    assert model.written() == [("probe", PING)]
    model.hear(jsonlines.write("probed", PING, {}, code=0))
    (item,) = model.inbox.take()
    assert isinstance(item, api.Reported) and not item.answered


def test_an_answer_that_crosses_a_call_off_is_told_as_no_attempt_of_ours() -> None:
    model = connected()
    model.step("set_up", 0)
    model.step("call_off", 0)
    model.hear(jsonlines.write("ready", "c1", {}, text="late"))
    assert model.inbox.take() == [Answered("x1", "c1", -1, "late")]


def test_malformed_and_unread_bytes_cost_their_connection_and_no_other() -> None:
    for harm in ("data", "pause"):
        model = connected()
        model.step("up", 0)
        model.step("set_up", 0)
        model.step("set_up", 0)
        spoiled, other = model.lines
        if harm == "data":  # what came whole before it in the same read counts
            spoiled.protocol.data_received(jsonlines.write("close", "c9", {}, code=16) + b"[]\n")
            assert model.inbox.items.pop(0) == CallOver("x1", "c9", api.Outcome.DONE)
        else:
            spoiled.protocol.pause_writing()
        assert spoiled.closed and not other.closed
        assert model.inbox.take() == [AttemptOver("x1", "c1", 0, api.Outcome.CUT)]


def test_nothing_more_is_sent_on_a_connection_that_closes() -> None:
    # Set-ups were written to a connection in its close, which dropped them in silence.
    model = connected()
    (line,) = model.lines
    line.close = lambda: None  # type: ignore[method-assign]  # takes effect a turn later
    line.protocol.data_received(b"noise\n")
    model.link.set_up(Attempt("c1", 0, "x1", "plain", "77", "text", now_us(), 10**15))
    assert line.take() == b"" and list(model.link.waiting) == ["c1"]


def test_a_connection_that_answers_nothing_in_time_is_given_up() -> None:
    model = connected()
    for age in (SILENT_US // 2, SILENT_US):
        sent = now_us() - age
        (line,) = model.lines
        line.protocol.heard_at = sent
        for call in ("c1", "c2"):
            model.link.set_up(Attempt(call, 0, "x1", "plain", "77", "text", sent, 10**15))
        model.link.call_off("c1")
        assert line.closed == (age == SILENT_US)
        model.link.call_off("c2")
    assert model.inbox.take() == [AttemptOver("x1", "c2", 0, api.Outcome.CUT)]


def test_a_connection_that_lacks_what_another_brings_is_left() -> None:
    # Set-ups went on to it for more than a second, each until its caller had given up.
    model = connected()
    model.step("up", 0)
    model.step("set_up", 0)
    model.step("set_up", 0)
    mute, other = model.lines
    status = jsonlines.write("status", "", {"load": "x0:1"})
    for ago, left in ((SAME_US // 2, False), (SAME_US, False), (SAME_US + BEHIND_US, True)):
        mute.protocol.heard_at = now_us() - ago
        mute.protocol.behind_since = mute.protocol.behind_since and now_us() - (ago - SAME_US)
        other.protocol.data_received(status)
        assert mute.closed == left
    assert not other.closed and AttemptOver("x1", "c1", 0, api.Outcome.CUT) in model.inbox.take()


def test_the_first_state_on_a_new_connection_tells_nothing_of_the_others() -> None:
    # It comes on the new one alone; two connects 100 ms apart closed a quiet one that was well.
    model = connected()
    status = jsonlines.write("status", "", {"load": "x0:1"})
    (quiet,) = model.lines
    quiet.protocol.data_received(status)
    model.inbox.take()
    for _ in range(2):
        model.step("up", 0)
        quiet.protocol.heard_at = now_us() - SAME_US - BEHIND_US
        quiet.protocol.behind_since = quiet.protocol.behind_since and now_us() - BEHIND_US
        model.lines[-1].protocol.data_received(status)
        model.inbox.take()
        assert not quiet.closed and not quiet.protocol.behind_since


def test_a_line_that_stops_short_ends_its_connection() -> None:
    async def test() -> None:
        model = connected()
        (line,) = model.lines
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
    model = connected()
    model.link.wanted = False
    model.link.close()
    assert not model.link.wanted and model.lines[0].closed
