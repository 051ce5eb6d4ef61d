"""The SIP front: a model of callers' connections, against which random steps are checked."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import FakeTransport, Inbox

from rowanmast.core.ports import Cancelled, Failure, Offer, Released
from rowanmast.net import sip
from rowanmast.net.callers import (
    BYE_LIFETIME_US,
    BYE_RETRY_US,
    FIRST_BYTE_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    MAX_SET_UPS_PER_CONNECTION,
    SHUTDOWN_IDLE_TIMEOUT_US,
    CallerConnection,
    SipFront,
)

ROUTE = "dest:2;width:1;via:-1"


def request(method: str, call: str, body: str = "", **headers: str) -> bytes:
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    first = f"{method} sip:7f3a@net SIP/2.0"
    return sip.encode(first, [("Call-ID", call), ("CSeq", f"1 {method}"), *named], body.encode())


def invite(call: str, body: str = "text é\r\n", left: str = "1500", route: str = ROUTE) -> bytes:
    return request("INVITE", call, body, X_Service="item-lookup", X_Setup_Ms=left, X_Route=route)


class UntimedSipFront(SipFront):
    """Its sweeps are the test's to make."""

    def schedule_sweep(self) -> None:
        pass


class Model:
    """Callers on several connections, and the core on the other side of the port."""

    def __init__(self) -> None:
        self.inbox = Inbox()
        self.front = UntimedSipFront(self.inbox, max_connections=3, clock=lambda: 0)
        self.transports: list[FakeTransport] = []
        self.unanswered: dict[str, FakeTransport] = {}  # set-ups that are owed an answer, by their connection
        self.standing: set[str] = set()
        self.unacknowledged: set[str] = set()  # releases whose BYE no caller has answered
        self.serial = 0

    def step(self, kind: str, number: int) -> None:
        open_, standing = sorted(self.unanswered), sorted(self.standing)
        if kind == "connect" and len(self.transports) < 3:
            line = FakeTransport(CallerConnection(self.front))
            self.transports.append(line)
            self.expect_byes(line, self.unacknowledged if len(self.transports) == 1 else set())
        elif kind == "invite" and self.transports:
            self.serial += 1
            call = f"c{self.serial}"
            line = self.transports[number % len(self.transports)]
            line.protocol.data_received(invite(call))
            (item,) = self.inbox.take()
            assert isinstance(item, Offer) and (item.call, item.text) == (call, "text é\r\n")
            self.unanswered[call] = line
        elif kind == "lose" and self.transports:
            line = self.transports.pop(number % len(self.transports))
            line.close()
            lost = {call for call, owner in self.unanswered.items() if owner is line}
            assert {item.call for item in self.inbox.take() if isinstance(item, Cancelled)} == lost
            self.unanswered = {call: owner for call, owner in self.unanswered.items() if owner is not line}
        elif kind == "answer" and open_:
            call = open_[number % len(open_)]
            self.front.answer(call, "answer é")
            self.expect_final(call, 200)
            self.standing.add(call)
        elif kind == "refuse" and open_:
            call = open_[number % len(open_)]
            self.front.refuse(call, 1_200_000)
            assert self.expect_final(call, 503).get("retry-after") == "2"
        elif kind == "fail" and open_:
            call = open_[number % len(open_)]
            self.front.fail(call, Failure.GIVEN_UP)
            self.expect_final(call, 500)
        elif kind == "release" and standing:
            call = standing[number % len(standing)]
            self.standing.remove(call)
            self.unacknowledged.add(call)
            self.front.release(call, 16)
        elif kind == "hear" and self.transports:
            for line in self.transports:
                for message in sip.Parser().feed(line.take()):
                    assert message.method == "BYE" and message.call_id in self.unacknowledged
                    self.unacknowledged.remove(message.call_id)
                    line.protocol.data_received(sip.encode_response(message, 200))
            assert not self.unacknowledged, "a BYE was never sent, or only on a connection that is lost"
            assert not self.front.pending_byes

    def expect_byes(self, line: FakeTransport, calls: set[str]) -> None:
        got = {message.call_id for message in sip.Parser().feed(line.written)}
        assert got >= calls, "the next connection hears of every release"

    def expect_final(self, call: str, status: int) -> sip.Message:
        line = self.unanswered.pop(call)
        got = list(sip.Parser().feed(line.written))
        (final,) = [message for message in got if message.call_id == call]
        assert final.status == status and final.cseq_method == "INVITE"
        assert final.body == ("answer é".encode() if status == 200 else b"")
        line.written = b"".join(
            sip.encode_bye(message.call_id, 16) for message in got if message.method == "BYE"
        )
        return final


KINDS = ("connect", "invite", "invite", "lose", "answer", "refuse", "fail", "release", "hear")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 5)), max_size=60))
def test_connections_against_their_model(drawn: list[tuple[str, int]]) -> None:
    model = Model()
    for kind, number in drawn:
        model.step(kind, number)
    model.step("connect", 0)
    model.step("hear", 0)


now = [0]


def connected_front() -> tuple[UntimedSipFront, Inbox, FakeTransport]:
    inbox = Inbox()
    callers = UntimedSipFront(inbox, max_connections=2, clock=lambda: now[0])
    return callers, inbox, FakeTransport(CallerConnection(callers))


def byes(line: FakeTransport) -> list[str]:
    return [message.call_id for message in sip.Parser().feed(line.take()) if message.method == "BYE"]


def statuses(line: FakeTransport) -> list[int]:
    return [message.status for message in sip.Parser().feed(line.take())]


def test_malformed_bytes_close_that_connection_only() -> None:
    callers, inbox, line = connected_front()
    other = FakeTransport(CallerConnection(callers))
    line.protocol.data_received(invite("a") + invite("b") + b"nonsense\r\n\r\n")
    assert line.closed and not other.closed
    assert [type(item) for item in inbox.take()] == [Offer, Offer, Cancelled, Cancelled]


def test_set_ups_without_what_they_need_are_answered_400() -> None:
    _, inbox, line = connected_front()
    times = ("soon", "inf", "1e300", "-5", "1_000", "3600001", "")
    routes = ("width:1", "dest:-3", "dest:1;width:0", "dest:nan", "dest:x", "dest:" + "9" * 5000, "dest")
    for bad in (*(invite("a", left=left) for left in times), *(invite("b", route=route) for route in routes)):
        line.protocol.data_received(bad)
    assert statuses(line) == [400] * 14 and inbox.take() == []


def test_cancel_bye_and_options() -> None:
    callers, inbox, line = connected_front()
    line.protocol.data_received(invite("a") + request("CANCEL", "a"))
    assert statuses(line) == [200] and isinstance(inbox.take()[-1], Cancelled)
    callers.fail("a", Failure.CANCELLED)
    assert statuses(line) == [487]
    line.protocol.data_received(request("BYE", "b", Reason="Q.850;cause=41"))
    assert statuses(line) == [200] and inbox.take() == [Released("b", 41)]
    line.protocol.data_received(request("OPTIONS", "p"))
    callers.draining = True  # once SIGTERM has come, the front should look elsewhere
    line.protocol.data_received(request("OPTIONS", "q") + request("PUBLISH", "r") + request("ACK", "a"))
    assert statuses(line) == [200, 503, 501]


def test_a_set_up_that_comes_too_late_in_a_stop_is_refused_at_once() -> None:
    # Calls that came on open connections in the last moment were taken and never answered.
    callers, inbox, line = connected_front()
    callers.refusing = True
    line.protocol.data_received(invite("a"))
    assert statuses(line) == [503] and inbox.take() == [] and not callers.pending_invites
    callers.close()
    assert line.closed


def test_an_id_in_use_is_refused_and_closes_the_connection_that_has_it_already() -> None:
    # Such set-ups were passed over in silence, and their senders left to wait.
    callers, inbox, line = connected_front()
    other = FakeTransport(CallerConnection(callers))
    line.protocol.data_received(invite("a"))
    other.protocol.data_received(invite("a", "another text"))
    assert (statuses(line), statuses(other)) == ([], [400]) and not other.closed
    line.protocol.data_received(invite("a", "another text") + invite("b"))
    assert statuses(line) == [400] and line.closed and not callers.pending_invites
    assert [type(item) for item in inbox.take()] == [Offer, Cancelled]


def test_a_flood_of_set_ups_on_one_connection_is_refused() -> None:
    _, inbox, line = connected_front()
    line.protocol.data_received(
        b"".join(invite(f"c{number}") for number in range(MAX_SET_UPS_PER_CONNECTION + 2))
    )
    assert statuses(line) == [503, 503] and len(inbox.take()) == MAX_SET_UPS_PER_CONNECTION


def test_at_the_limit_an_idle_connection_makes_room() -> None:
    callers, _, busy = connected_front()
    busy.protocol.data_received(invite("a"))
    idle = FakeTransport(CallerConnection(callers))
    third = FakeTransport(CallerConnection(callers))
    assert idle.closed and not busy.closed and not third.closed
    third.protocol.data_received(invite("b"))
    assert FakeTransport(CallerConnection(callers)).closed  # all are in use: the new one goes


def establish_call(callers: UntimedSipFront, line: FakeTransport, call: str) -> None:
    line.protocol.data_received(invite(call))
    callers.answer(call, "text")
    line.protocol.data_received(request("ACK", call))
    line.take()


def test_a_crowd_that_says_nothing_displaces_itself_and_no_caller(caplog: pytest.LogCaptureFixture) -> None:
    callers, _, caller = connected_front()
    establish_call(callers, caller, "a")
    with caplog.at_level("WARNING"):
        crowd = [FakeTransport(CallerConnection(callers)) for _ in range(5)]
    assert [line.closed for line in crowd] == [True] * 4 + [False] and not caller.closed
    assert [record.getMessage() for record in caplog.records] == ["caller_limit"], "one line tells it"


def test_connections_of_which_nothing_comes_are_closed_in_time() -> None:
    callers, _, silent = connected_front()
    caller = FakeTransport(CallerConnection(callers))
    caller.protocol.data_received(invite("a"))
    now[0] += FIRST_BYTE_TIMEOUT_US + 1
    callers.sweep()
    assert silent.closed and not caller.closed
    begun = FakeTransport(CallerConnection(callers))
    begun.protocol.data_received(b"INVITE sip:half")  # nothing whole
    now[0] += IDLE_TIMEOUT_US
    callers.sweep()
    assert not begun.closed
    now[0] += 1
    callers.sweep()
    assert begun.closed and not caller.closed
    now[0] += IDLE_TIMEOUT_US
    callers.sweep()
    assert not caller.closed, "a set-up is open on it"
    callers.answer("a", "text")
    now[0] += IDLE_TIMEOUT_US
    callers.sweep()
    assert not caller.closed, "a call that was set up on it stands, and its release goes there"
    callers.release("a", 16)
    now[0] += IDLE_TIMEOUT_US
    callers.sweep()
    assert caller.closed and not callers.confirmed and not callers.unconfirmed


def test_a_set_up_in_pieces_is_taken_however_long_the_pause_between_them() -> None:
    # Nothing whole within 2.5 s closed its connection.
    callers, inbox, line = connected_front()
    for piece in (invite("a")[:40], invite("a")[40:]):
        now[0] += FIRST_BYTE_TIMEOUT_US + 500_000
        line.protocol.data_received(piece)
        callers.sweep()
    assert not line.closed and isinstance(inbox.take()[0], Offer)


@pytest.mark.parametrize("end", ["released", "reset"])
def test_a_caller_that_closes_its_side_is_answered_and_then_closed(end: str) -> None:
    # Its set-up was given up, and it waited for an answer that never came.
    callers, inbox, line = connected_front()
    line.protocol.data_received(invite("a"))
    assert line.protocol.eof_received(), "it stays open for the answer"
    callers.sweep()
    callers.answer("a", "text")
    assert statuses(line) == [200] and not line.closed
    inbox.take()
    if end == "reset":  # it was closed on both sides: nobody heard the answer
        line.close()
        assert inbox.take() == [Released("a", 16)]
    else:
        callers.release("a", 16)
        callers.sweep()
        now[0] += 1
        callers.sweep()
        assert byes(line) == ["a"] and line.closed and inbox.take() == []
    assert not callers.standing


def test_while_the_router_ends_a_connection_is_closed_when_nothing_is_left_on_it() -> None:
    callers, _, busy = connected_front()
    callers.max_connections = 4
    idle, last = (FakeTransport(CallerConnection(callers)) for _ in range(2))
    for line, call in ((busy, "a"), (idle, "b"), (last, "c")):
        establish_call(callers, line, call)
    for call in ("b", "c"):
        callers.release(call, 16)
    callers.refusing = True
    for line in (idle, last):
        for call in byes(line):
            line.protocol.data_received(sip.encode_response(parse_one(sip.encode_bye(call, 16)), 200))
    callers.sweep()
    assert not idle.closed, "a set-up may be crossing"
    now[0] += SHUTDOWN_IDLE_TIMEOUT_US + 1
    callers.sweep()
    assert (busy.closed, idle.closed, last.closed) == (False, True, False)
    busy.protocol.data_received(invite("d"))
    assert statuses(busy) == [503], "what stands there stays, and new set-ups are refused"
    callers.release("a", 16)
    now[0] += SHUTDOWN_IDLE_TIMEOUT_US - 1
    callers.sweep()
    assert not busy.closed, "the release is not acknowledged"
    busy.protocol.data_received(sip.encode_response(parse_one(sip.encode_bye("a", 16)), 200))
    now[0] += SHUTDOWN_IDLE_TIMEOUT_US + 1
    callers.sweep()
    assert (busy.closed, last.closed) == (False, True), "the last to acknowledge something stays"


def test_a_release_goes_to_its_caller_and_to_another_one_if_unanswered() -> None:
    # Every BYE went to the oldest connection, where one that asked once and stayed never answered it.
    callers, _, stranger = connected_front()
    callers.max_connections = 3
    stranger.protocol.data_received(invite("x"))  # well formed, but its sender minds no call
    own, other = (FakeTransport(CallerConnection(callers)) for _ in range(2))
    establish_call(callers, own, "b")
    establish_call(callers, other, "c")
    callers.release("b", 16)
    assert [byes(line) for line in (stranger, own, other)] == [[], ["b"], []]
    callers.sweep()
    assert [byes(line) for line in (stranger, own, other)] == [[], [], []], "an answer is awaited"
    now[0] += BYE_RETRY_US
    callers.sweep()
    assert [byes(line) for line in (stranger, own, other)] == [[], [], ["b"]]
    other.protocol.data_received(sip.encode_response(parse_one(sip.encode_bye("b", 16)), 200))
    own.close()
    other.close()
    now[0] += 4 * BYE_RETRY_US
    callers.sweep()
    assert byes(stranger) == [] and not callers.standing
    callers.release("d", 16)
    assert byes(stranger) == ["d"], "better than none"


def parse_one(data: bytes) -> sip.Message:
    (message,) = sip.Parser().feed(data)
    return message


def test_a_caller_that_does_not_read_is_closed() -> None:
    _, inbox, line = connected_front()
    line.protocol.data_received(invite("a"))
    line.protocol.pause_writing()
    assert line.closed and isinstance(inbox.take()[-1], Cancelled)


def test_byes_that_nobody_answers_are_forgotten() -> None:
    callers, _, line = connected_front()
    callers.release("a", 16)
    now[0] += BYE_LIFETIME_US + 1
    callers.release("b", 16)
    callers.sweep()
    assert list(callers.pending_byes) == ["b"]
    line.close()
    again = FakeTransport(CallerConnection(callers))
    assert [message.call_id for message in sip.Parser().feed(again.take())] == ["b"]


def test_odd_causes_are_normal_ones() -> None:
    _, inbox, line = connected_front()
    line.protocol.data_received(request("BYE", "c", Reason="Q.850;cause=99999"))
    assert inbox.take() == [Released("c", 16)]
