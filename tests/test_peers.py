"""The link to a JSON lines switch, checked against a model in random steps, and in single cases."""

from __future__ import annotations

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from standins import FakeTransport, OpenGate, RecordingInbox

from rowanmast import interface as api
from rowanmast.core.ports import Answered, Attempt, AttemptFailed, CallEnded, SwitchDown
from rowanmast.net import jsonlines
from rowanmast.net.connection_budget import MAX_CONNECTIONS
from rowanmast.net.input_queue import now_us
from rowanmast.net.peers import (
    LOAD_PROBE_ID,
    MAX_STATUS_LAG_US,
    SILENCE_TIMEOUT_US,
    STATUS_SPREAD_US,
    JsonSwitchLink,
    SwitchConnection,
    close_line,
)
from rowanmast.net.pending_releases import DELIVERY_TIMEOUT_US, MAX_PENDING, PendingReleases


class ManualLink(JsonSwitchLink):
    """A link without timers, whose connects succeed or fail as the test decides."""

    connect_wanted = False

    def connect(self) -> None:
        self.connect_wanted = len(self.connections) < MAX_CONNECTIONS and not self.closed

    def schedule_reconnect(self) -> None:
        pass

    def schedule_liveness_check(self) -> None:
        pass


class Model:
    """The expected state of a link's calls and connections."""

    def __init__(self) -> None:
        self.inbox, self.gate = RecordingInbox(), OpenGate()
        self.link = ManualLink("x1", ("127.0.0.1", 1), self.inbox, self.gate, 0.5, Random(1))
        self.transports: list[FakeTransport] = []
        self.call_states: dict[str, str] = {}  # by call: queued, in_flight, standing or ended
        self.transport_of: dict[str, FakeTransport] = {}  # the connection on which each set-up was sent
        self.queued_releases: list[str] = []  # to be sent on the next connection
        self.release_transport: dict[str, FakeTransport] = {}  # where each release was sent last
        self.serial = 0

    def calls(self, *states: str) -> list[str]:
        return [call for call, state in self.call_states.items() if state in states]

    def deliver(self, *lines: bytes, on: int = 0) -> None:
        self.transports[on % len(self.transports)].protocol.data_received(b"".join(lines))

    def written(self) -> list[tuple[str, str]]:
        got = []
        for transport in self.transports:
            for message in jsonlines.Parser().feed(transport.take()):
                got.append((message.msg, message.sid))
                if message.msg == "open":
                    self.transport_of[message.sid] = transport
                elif message.msg == "close":
                    self.release_transport[message.sid] = transport
        return sorted(got)

    def step(self, kind: str, pick: int) -> None:
        before = dict(self.call_states)
        chosen = self.calls("queued", "in_flight", "standing")
        call = chosen[pick % len(chosen)] if chosen else ""
        state, expected = self.call_states.get(call, ""), []
        if kind == "set_up":
            self.serial += 1
            call = f"c{self.serial}"
            self.link.set_up(Attempt(call, 0, "x1", "plain", "77", "text é", now_us(), 10**15))
            self.call_states[call] = "in_flight" if self.transports else "queued"
            expected = [("open", call)] if self.transports else []
        elif kind == "up" and self.link.connect_wanted:
            self.link.connect_wanted = False
            self.transports.append(FakeTransport(SwitchConnection(self.link)))
            expected = [("close", one) for one in self.queued_releases]
            self.queued_releases = []
            for one in self.calls("queued"):
                self.call_states[one] = "ended" if self.gate.closed else "in_flight"
                expected += [] if self.gate.closed else [("open", one)]
            self.expect_attempts_failed(
                [one for one in before if before[one] == "queued" != self.call_states[one] == "ended"]
            )
            assert self.link.connect_wanted == (len(self.transports) < MAX_CONNECTIONS)
        elif kind == "fail" and self.link.connect_wanted:
            self.link.connect_failed(refused=pick % 2 == 0)
            if pick % 2 == 0 and not self.transports:  # posted last, or queued set-ups would count as cut
                assert isinstance(self.inbox.items.pop(), SwitchDown)
            self.expect_attempts_failed(self.calls("queued"), api.Outcome.UNREACHED)
        elif kind == "lose" and self.transports:
            transport = self.transports.pop(pick % len(self.transports))
            (transport.close if pick % 2 else lambda: transport.protocol.data_received(b"[]\n"))()
            assert transport.closed
            cut = [one for one in self.calls("in_flight") if self.transport_of[one] is transport]
            self.expect_attempts_failed(cut, api.Outcome.CUT)
            # The switch may have answered those, and may not have read what was released on this connection.
            undelivered = cut + [
                one for one, sent_on in self.release_transport.items() if sent_on is transport
            ]
            if self.transports:
                expected = [("close", one) for one in undelivered]
            else:
                self.queued_releases += undelivered
                self.release_transport.clear()
        elif kind == "answer" and self.transports and state == "in_flight":
            ready = jsonlines.encode("ready", call, {}, text="é")
            self.deliver(jsonlines.encode("trying", call, {}), ready, on=pick)
            assert self.inbox.take() == [Answered("x1", call, 0, "é")]
            self.call_states[call] = "standing"
        elif kind == "refuse" and self.transports and state in ("in_flight", "standing"):
            self.deliver(jsonlines.encode("close", call, {"note": "via_said_no"}, code=34), on=pick)
            (item,) = self.inbox.take()
            if state == "in_flight":
                assert isinstance(item, AttemptFailed) and item.cause is api.Cause.CRANKBACK
            else:
                assert item == CallEnded("x1", call, api.Outcome.CUT)
                expected = [("closed", call)]
            self.call_states[call] = "ended"
        elif kind == "cancel" and state in ("queued", "in_flight"):
            self.link.cancel(call)
            expected = [("close", call)] if state == "in_flight" else []
            self.call_states[call] = "ended"
        elif kind == "release" and state == "standing":
            self.link.release(call, 16)
            self.call_states[call] = "ended"
            if self.transports:
                expected = [("close", call)]
            else:
                self.queued_releases.append(call)
        elif kind == "gate":
            self.gate.closed = not self.gate.closed
        assert self.written() == sorted(expected)
        assert self.inbox.take() == []
        assert set(self.link.attempt_connections) == set(self.calls("in_flight"))

    def expect_attempts_failed(self, calls: list[str], outcome: api.Outcome = api.Outcome.NOT_SENT) -> None:
        items = sorted(self.inbox.take(), key=lambda item: item.call)  # type: ignore[union-attr]
        assert items == [AttemptFailed("x1", call, 0, outcome) for call in sorted(calls)]
        self.call_states.update(dict.fromkeys(calls, "ended"))


KINDS = (
    "set_up", "set_up", "set_up", "up", "up", "up", "fail", "lose", "answer", "answer", "refuse", "cancel",
    "release", "gate",
)  # fmt: skip


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 5)), max_size=60))
def test_link_matches_its_model(drawn: list[tuple[str, int]]) -> None:
    model = Model()
    for kind, pick in drawn:
        model.step(kind, pick)


def connected_model() -> Model:
    model = Model()
    model.step("up", 0)
    return model


def test_status_and_probe_results_are_reported() -> None:
    model = connected_model()
    model.deliver(jsonlines.encode("status", "", {"load": "x0:12;x1:40;queue:3"}))
    report = api.LoadReport(free_circuits=12, group_size=40, queued=3)
    assert model.inbox.take() == [api.LoadReported("x1", True, 0, report)]
    model.link.probe()
    assert model.written() == [("probe", LOAD_PROBE_ID)]
    model.deliver(jsonlines.encode("probed", LOAD_PROBE_ID, {}, code=0))
    (item,) = model.inbox.take()
    assert isinstance(item, api.LoadReported) and not item.answered


def test_an_answer_that_crosses_a_cancel_is_reported_without_an_attempt_number() -> None:
    model = connected_model()
    model.step("set_up", 0)
    model.step("cancel", 0)
    model.deliver(jsonlines.encode("ready", "c1", {}, text="late"))
    assert model.inbox.take() == [Answered("x1", "c1", -1, "late")]


def test_malformed_input_or_a_full_write_buffer_closes_only_that_connection() -> None:
    for fault in ("data", "pause"):
        model = connected_model()
        model.step("up", 0)
        model.step("set_up", 0)
        model.step("set_up", 0)
        broken, other = model.transports
        if fault == "data":  # a complete line before it in the same read is processed
            broken.protocol.data_received(jsonlines.encode("close", "c9", {}, code=16) + b"[]\n")
            assert model.inbox.items.pop(0) == CallEnded("x1", "c9", api.Outcome.DONE)
        else:
            broken.protocol.pause_writing()
        assert broken.closed and not other.closed
        assert model.inbox.take() == [AttemptFailed("x1", "c1", 0, api.Outcome.CUT)]


def test_nothing_is_sent_on_a_closing_connection() -> None:
    # Set-ups written to a connection that is about to close were dropped without an error.
    model = connected_model()
    (transport,) = model.transports
    transport.close = lambda: None  # type: ignore[method-assign]  # takes effect in a later iteration
    transport.protocol.data_received(b"noise\n")
    model.link.set_up(Attempt("c1", 0, "x1", "plain", "77", "text", now_us(), 10**15))
    assert transport.take() == b"" and list(model.link.queued_attempts) == ["c1"]


def test_a_call_whose_answer_is_lost_with_its_connection_is_released_at_the_switch() -> None:
    # review/8: the call stood at this switch for its whole length while it was set up at another one.
    model = connected_model()
    model.step("up", 0)
    model.step("set_up", 0)
    lost, other = model.transports
    lost.close()  # reset while the answer is on it
    assert model.inbox.take() == [AttemptFailed("x1", "c1", 0, api.Outcome.CUT)]
    assert other.take() == close_line("c1", 16)


def test_a_release_lost_with_its_connection_is_sent_again_until_it_is_acknowledged() -> None:
    # A caller's hang-up, or the cancellation of a set-up, went down with its connection.
    model = connected_model()
    model.step("up", 0)
    link, (first, second) = model.link, model.transports
    second.protocol.heard_at = 0  # so that releases go to the first
    link.release("hung up", 16)
    link.set_up(Attempt("cancelled", 0, "x1", "plain", "77", "text", now_us(), 10**15))
    link.cancel("cancelled")
    link.release("acknowledged", 16)
    model.deliver(jsonlines.encode("closed", "acknowledged", {}), on=1)
    second.take()
    first.close()
    assert sorted(second.take().splitlines(True)) == [close_line("cancelled", 16), close_line("hung up", 16)]


def test_no_old_release_cuts_a_call_that_is_set_up_again_at_the_same_switch() -> None:
    model = connected_model()
    model.link.release("c1", 16)
    model.link.set_up(Attempt("c1", 1, "x1", "plain", "77", "text", now_us(), 10**15))
    model.deliver(jsonlines.encode("ready", "c1", {}))
    (lost,) = model.transports
    lost.close()
    assert not model.link.releases


def test_a_release_counts_as_received_after_the_delivery_timeout() -> None:
    releases = PendingReleases()
    releases.record_sent("c1", b"old", 1, 0)
    releases.record_sent("c2", b"new", 1, 1)
    releases.connection_lost(1, DELIVERY_TIMEOUT_US)
    assert releases.take_queued(2, DELIVERY_TIMEOUT_US) == [b"new"]
    for number in range(MAX_PENDING + 1):
        releases.queue(f"c{number}", b"line")
    assert len(releases.take_queued(3, DELIVERY_TIMEOUT_US)) == MAX_PENDING


def test_a_silent_connection_is_closed_when_a_set_up_on_it_is_cancelled() -> None:
    model = connected_model()
    for age in (SILENCE_TIMEOUT_US // 2, SILENCE_TIMEOUT_US):
        sent = now_us() - age
        (transport,) = model.transports
        transport.protocol.heard_at = sent
        for call in ("c1", "c2"):
            model.link.set_up(Attempt(call, 0, "x1", "plain", "77", "text", sent, 10**15))
        model.link.cancel("c1")
        assert transport.closed == (age == SILENCE_TIMEOUT_US)
        model.link.cancel("c2")
    assert model.inbox.take() == [AttemptFailed("x1", "c2", 0, api.Outcome.CUT)]


def test_a_connection_without_the_statuses_that_another_receives_is_closed() -> None:
    # A stalled connection was used for more than a second, and each set-up on it ran into its deadline.
    model = connected_model()
    model.step("up", 0)
    model.step("set_up", 0)
    model.step("set_up", 0)
    mute, other = model.transports
    status = jsonlines.encode("status", "", {"load": "x0:1"})
    for ago, closed in (
        (STATUS_SPREAD_US // 2, False),
        (STATUS_SPREAD_US, False),
        (STATUS_SPREAD_US + MAX_STATUS_LAG_US, True),
    ):
        mute.protocol.heard_at = now_us() - ago
        mute.protocol.lagging_since = mute.protocol.lagging_since and now_us() - (ago - STATUS_SPREAD_US)
        other.protocol.data_received(status)
        assert mute.closed == closed
    assert not other.closed and AttemptFailed("x1", "c1", 0, api.Outcome.CUT) in model.inbox.take()


def test_the_first_status_of_a_new_connection_does_not_make_others_lag() -> None:
    # It is sent on the new connection only: two connects 100 ms apart closed a quiet, working connection.
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


def test_an_incomplete_line_closes_its_connection_after_a_timeout() -> None:
    async def test() -> None:
        model = connected_model()
        (transport,) = model.transports
        transport.protocol.data_received(b'{"msg":"rea')
        await asyncio.sleep(0.15)
        transport.protocol.data_received(b'dy","sid":"c9"}\n')  # slow, but complete
        await asyncio.sleep(0.15)
        assert not transport.closed
        transport.protocol.data_received(b'{"msg":')
        await asyncio.sleep(0.3)
        assert transport.closed

    asyncio.run(test())


def test_a_switch_listed_again_gets_no_set_up_on_a_connection_to_its_former_process() -> None:
    # The former process had vanished with its connections open; set-ups for the new one were sent there.
    for heard_since in (False, True):
        model = connected_model()
        model.step("set_up", 0)
        model.step("answer", 0)
        (former,) = model.transports
        link = model.link
        link.remove(lambda: None)
        if heard_since:
            model.deliver(jsonlines.encode("probed", "0", {}, code=0))
            former.protocol.heard_at += 1
        link.restore()
        former.take()
        link.set_up(Attempt("new", 0, "x1", "plain", "77", "text", now_us(), 10**15))
        assert (b'"open"' in former.written) == heard_since
        assert ("new" in link.queued_attempts) == (not heard_since)


def test_a_closed_link_does_not_reconnect() -> None:
    model = connected_model()
    model.link.connect_wanted = False
    model.link.close()
    assert not model.link.connect_wanted and model.transports[0].closed
