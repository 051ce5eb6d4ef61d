"""The SIP front, checked against a model of callers' connections in random steps, and in single cases."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import FakeTransport, RecordingInbox

from rowanmast.core.ports import Cancelled, Failure, Offer, Released
from rowanmast.net import sip
from rowanmast.net.callers import (
    BYE_LIFETIME_US,
    BYE_RETRY_US,
    FIRST_BYTE_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    MAX_SET_UPS_PER_CONNECTION,
    MAX_UNACKNOWLEDGED_BYES,
    MAX_WRITE_BUFFER_BYTES,
    SHUTDOWN_IDLE_TIMEOUT_US,
    CallerConnection,
    SipFront,
)
from rowanmast.net.stream import MAX_COST_PER_TURN

ROUTE = "dest:2;width:1;via:-1"


def request(method: str, call: str, body: str = "", **headers: str) -> bytes:
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    start_line = f"{method} sip:7f3a@net SIP/2.0"
    return sip.encode(start_line, [("Call-ID", call), ("CSeq", f"1 {method}"), *named], body.encode())


def invite(call: str, body: str = "text é\r\n", left: str = "1500", route: str = ROUTE) -> bytes:
    return request("INVITE", call, body, X_Service="item-lookup", X_Setup_Ms=left, X_Route=route)


class UntimedSipFront(SipFront):
    """A front without a timer: the test calls `sweep` itself."""

    def schedule_sweep(self) -> None:
        pass


class Model:
    """Callers on several connections, and the core that the front reports to."""

    def __init__(self) -> None:
        self.inbox = RecordingInbox()
        self.front = UntimedSipFront(self.inbox, max_connections=3, clock=lambda: 0)
        self.transports: list[FakeTransport] = []
        self.unanswered: dict[str, FakeTransport] = {}  # the connection of each set-up
        self.standing: set[str] = set()
        self.unacknowledged: set[str] = set()  # calls whose BYE no caller has answered
        self.serial = 0

    def step(self, kind: str, number: int) -> None:
        open_, standing = sorted(self.unanswered), sorted(self.standing)
        if kind == "connect" and len(self.transports) < 3:
            transport = FakeTransport(CallerConnection(self.front))
            self.transports.append(transport)
            self.expect_byes(transport, self.unacknowledged if len(self.transports) == 1 else set())
        elif kind == "invite" and self.transports:
            self.serial += 1
            call = f"c{self.serial}"
            transport = self.transports[number % len(self.transports)]
            transport.protocol.data_received(invite(call))
            (item,) = self.inbox.take()
            assert isinstance(item, Offer) and (item.call, item.text) == (call, "text é\r\n")
            self.unanswered[call] = transport
        elif kind == "lose" and self.transports:
            transport = self.transports.pop(number % len(self.transports))
            transport.close()
            lost = {call for call, owner in self.unanswered.items() if owner is transport}
            assert {item.call for item in self.inbox.take() if isinstance(item, Cancelled)} == lost
            self.unanswered = {
                call: owner for call, owner in self.unanswered.items() if owner is not transport
            }
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
        elif kind == "acknowledge" and self.transports:
            for transport in self.transports:
                for message in sip.Parser().feed(transport.take()):
                    assert message.method == "BYE" and message.call_id in self.unacknowledged
                    self.unacknowledged.remove(message.call_id)
                    transport.protocol.data_received(sip.encode_response(message, 200))
            assert not self.unacknowledged, "a BYE was not sent, or only on a lost connection"
            assert not self.front.pending_byes

    def expect_byes(self, transport: FakeTransport, calls: set[str]) -> None:
        got = {message.call_id for message in sip.Parser().feed(transport.written)}
        assert got >= calls, "the next connection receives the BYE of every released call"

    def expect_final(self, call: str, status: int) -> sip.Message:
        transport = self.unanswered.pop(call)
        got = list(sip.Parser().feed(transport.written))
        (final,) = [message for message in got if message.call_id == call]
        assert final.status == status and final.cseq_method == "INVITE"
        assert final.body == ("answer é".encode() if status == 200 else b"")
        transport.written = b"".join(
            sip.encode_bye(message.call_id, 16) for message in got if message.method == "BYE"
        )
        return final


KINDS = ("connect", "invite", "invite", "lose", "answer", "refuse", "fail", "release", "acknowledge")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 5)), max_size=60))
def test_front_matches_its_model(drawn: list[tuple[str, int]]) -> None:
    model = Model()
    for kind, number in drawn:
        model.step(kind, number)
    model.step("connect", 0)
    model.step("acknowledge", 0)


now = [0]


def connected_front() -> tuple[UntimedSipFront, RecordingInbox, FakeTransport]:
    inbox = RecordingInbox()
    front = UntimedSipFront(inbox, max_connections=2, clock=lambda: now[0])
    return front, inbox, FakeTransport(CallerConnection(front))


def byes(transport: FakeTransport) -> list[str]:
    return [message.call_id for message in sip.Parser().feed(transport.take()) if message.method == "BYE"]


def statuses(transport: FakeTransport) -> list[int]:
    return [message.status for message in sip.Parser().feed(transport.take())]


def test_malformed_input_closes_only_that_connection() -> None:
    front, inbox, transport = connected_front()
    other = FakeTransport(CallerConnection(front))
    transport.protocol.data_received(invite("a") + invite("b") + b"nonsense\r\n\r\n")
    assert transport.closed and not other.closed
    assert [type(item) for item in inbox.take()] == [Offer, Offer, Cancelled, Cancelled]


def test_set_ups_with_missing_or_invalid_fields_are_answered_400() -> None:
    _, inbox, transport = connected_front()
    times = ("soon", "inf", "1e300", "-5", "1_000", "3600001", "")
    routes = ("width:1", "dest:-3", "dest:1;width:0", "dest:nan", "dest:x", "dest:" + "9" * 5000, "dest")
    for bad in (*(invite("a", left=left) for left in times), *(invite("b", route=route) for route in routes)):
        transport.protocol.data_received(bad)
    assert statuses(transport) == [400] * 14 and inbox.take() == []


def test_cancel_bye_and_options() -> None:
    front, inbox, transport = connected_front()
    transport.protocol.data_received(invite("a") + request("CANCEL", "a"))
    assert statuses(transport) == [200] and isinstance(inbox.take()[-1], Cancelled)
    front.fail("a", Failure.CANCELLED)
    assert statuses(transport) == [487]
    transport.protocol.data_received(request("BYE", "b", Reason="Q.850;cause=41"))
    assert statuses(transport) == [200] and inbox.take() == [Released("b", 41)]
    transport.protocol.data_received(request("OPTIONS", "p"))
    front.draining = True  # after SIGTERM, callers should use another router
    transport.protocol.data_received(request("OPTIONS", "q") + request("PUBLISH", "r") + request("ACK", "a"))
    assert statuses(transport) == [200, 503, 501]


def test_a_set_up_late_in_a_shutdown_is_refused_at_once() -> None:
    # Set-ups that arrived on open connections at the end of a shutdown were accepted and never answered.
    front, inbox, transport = connected_front()
    front.refusing = True
    transport.protocol.data_received(invite("a"))
    assert statuses(transport) == [503] and inbox.take() == [] and not front.pending_invites
    front.close()
    assert transport.closed


def test_a_call_id_in_use_is_refused_and_a_repeat_on_its_own_connection_closes_that() -> None:
    # Set-ups with a duplicate call id were ignored, and their senders received no response.
    front, inbox, transport = connected_front()
    other = FakeTransport(CallerConnection(front))
    transport.protocol.data_received(invite("a"))
    other.protocol.data_received(invite("a", "another text"))
    assert (statuses(transport), statuses(other)) == ([], [400]) and not other.closed
    transport.protocol.data_received(invite("a", "another text") + invite("b"))
    assert statuses(transport) == [400] and transport.closed and not front.pending_invites
    assert [type(item) for item in inbox.take()] == [Offer, Cancelled]


def test_a_flood_of_set_ups_on_one_connection_is_refused() -> None:
    _, inbox, transport = connected_front()
    flood = b"".join(invite(f"c{number}") for number in range(MAX_SET_UPS_PER_CONNECTION + 2))
    asyncio.run(transport.receive(flood))
    assert statuses(transport) == [503, 503] and len(inbox.take()) == MAX_SET_UPS_PER_CONNECTION


def test_at_the_connection_limit_an_idle_connection_is_closed_for_a_new_one() -> None:
    front, _, busy = connected_front()
    busy.protocol.data_received(invite("a"))
    idle = FakeTransport(CallerConnection(front))
    third = FakeTransport(CallerConnection(front))
    assert idle.closed and not busy.closed and not third.closed
    third.protocol.data_received(invite("b"))
    assert FakeTransport(CallerConnection(front)).closed  # all others are in use


def establish_call(front: UntimedSipFront, transport: FakeTransport, call: str) -> None:
    transport.protocol.data_received(invite(call))
    front.answer(call, "text")
    transport.protocol.data_received(request("ACK", call))
    transport.take()


def test_silent_connections_at_the_limit_replace_each_other_and_no_caller(
    caplog: pytest.LogCaptureFixture,
) -> None:
    front, _, caller = connected_front()
    establish_call(front, caller, "a")
    with caplog.at_level("WARNING"):
        crowd = [FakeTransport(CallerConnection(front)) for _ in range(5)]
    assert [transport.closed for transport in crowd] == [True] * 4 + [False] and not caller.closed
    assert [record.getMessage() for record in caplog.records] == ["caller_limit"], "logged once"


def test_silent_connections_are_closed_after_their_timeout() -> None:
    front, _, silent = connected_front()
    caller = FakeTransport(CallerConnection(front))
    caller.protocol.data_received(invite("a"))
    now[0] += FIRST_BYTE_TIMEOUT_US + 1
    front.sweep()
    assert silent.closed and not caller.closed
    partial = FakeTransport(CallerConnection(front))
    partial.protocol.data_received(b"INVITE sip:half")  # an incomplete message
    now[0] += IDLE_TIMEOUT_US
    front.sweep()
    assert not partial.closed
    now[0] += 1
    front.sweep()
    assert partial.closed and not caller.closed
    now[0] += IDLE_TIMEOUT_US
    front.sweep()
    assert not caller.closed, "it has an unanswered set-up"
    front.answer("a", "text")
    now[0] += IDLE_TIMEOUT_US
    front.sweep()
    assert not caller.closed, "it has a standing call, whose release is sent on it"
    front.release("a", 16)
    now[0] += IDLE_TIMEOUT_US
    front.sweep()
    assert caller.closed and not front.confirmed and not front.unconfirmed


def test_a_set_up_in_pieces_is_accepted_after_a_long_pause_between_them() -> None:
    # A connection without a complete message within 2.5 s was closed.
    front, inbox, transport = connected_front()
    for piece in (invite("a")[:40], invite("a")[40:]):
        now[0] += FIRST_BYTE_TIMEOUT_US + 500_000
        transport.protocol.data_received(piece)
        front.sweep()
    assert not transport.closed and isinstance(inbox.take()[0], Offer)


@pytest.mark.parametrize("end", ["released", "reset"])
def test_a_caller_that_half_closes_is_answered_and_then_closed(end: str) -> None:
    # Its set-up was cancelled, and the caller never received a response.
    front, inbox, transport = connected_front()
    transport.protocol.data_received(invite("a"))
    assert transport.protocol.eof_received(), "the connection stays open for the answer"
    front.sweep()
    front.answer("a", "text")
    assert statuses(transport) == [200] and not transport.closed
    inbox.take()
    if end == "reset":  # the caller had closed both directions and did not receive the answer
        transport.close()
        assert inbox.take() == [Released("a", 16)]
    else:
        front.release("a", 16)
        front.sweep()
        now[0] += 1
        front.sweep()
        assert byes(transport) == ["a"] and transport.closed and inbox.take() == []
    assert not front.standing


def test_during_shutdown_a_connection_is_closed_when_it_has_no_calls() -> None:
    front, _, busy = connected_front()
    front.max_connections = 4
    idle, last = (FakeTransport(CallerConnection(front)) for _ in range(2))
    for transport, call in ((busy, "a"), (idle, "b"), (last, "c")):
        establish_call(front, transport, call)
    for call in ("b", "c"):
        front.release(call, 16)
    front.refusing = True
    for transport in (idle, last):
        for call in byes(transport):
            transport.protocol.data_received(sip.encode_response(parse_one(sip.encode_bye(call, 16)), 200))
    front.sweep()
    assert not idle.closed, "a set-up may cross the close"
    now[0] += SHUTDOWN_IDLE_TIMEOUT_US + 1
    front.sweep()
    assert (busy.closed, idle.closed, last.closed) == (False, True, False)
    busy.protocol.data_received(invite("d"))
    assert statuses(busy) == [503], "the standing call stays, and new set-ups are refused"
    front.release("a", 16)
    now[0] += SHUTDOWN_IDLE_TIMEOUT_US - 1
    front.sweep()
    assert not busy.closed, "the release is not acknowledged"
    busy.protocol.data_received(sip.encode_response(parse_one(sip.encode_bye("a", 16)), 200))
    now[0] += SHUTDOWN_IDLE_TIMEOUT_US + 1
    front.sweep()
    assert (busy.closed, last.closed) == (False, True), "the most recently confirmed one stays open"


def test_a_release_goes_to_its_caller_and_to_another_one_if_unanswered() -> None:
    # Every BYE was sent on the oldest connection, where a client that made no calls never answered it.
    front, _, unconfirmed = connected_front()
    front.max_connections = 3
    unconfirmed.protocol.data_received(invite("x"))  # well formed, but its sender acknowledges nothing
    own, other = (FakeTransport(CallerConnection(front)) for _ in range(2))
    establish_call(front, own, "b")
    establish_call(front, other, "c")
    front.release("b", 16)
    assert [byes(transport) for transport in (unconfirmed, own, other)] == [[], ["b"], []]
    front.sweep()
    assert [byes(transport) for transport in (unconfirmed, own, other)] == [[], [], []], (
        "the retry is not due yet"
    )
    now[0] += BYE_RETRY_US
    front.sweep()
    assert [byes(transport) for transport in (unconfirmed, own, other)] == [[], [], ["b"]]
    other.protocol.data_received(sip.encode_response(parse_one(sip.encode_bye("b", 16)), 200))
    own.close()
    other.close()
    now[0] += 4 * BYE_RETRY_US
    front.sweep()
    assert byes(unconfirmed) == [] and not front.standing
    front.release("d", 16)
    assert byes(unconfirmed) == ["d"], "used if there is no other connection"


def parse_one(data: bytes) -> sip.Message:
    (message,) = sip.Parser().feed(data)
    return message


def test_the_connection_of_a_caller_that_does_not_read_is_closed() -> None:
    front, inbox, transport = connected_front()
    transport.protocol.data_received(invite("a") + invite("b"))
    inbox.take()
    transport.protocol.pause_writing()
    assert not transport.is_read
    transport.unsent_bytes = MAX_WRITE_BUFFER_BYTES
    front.fail("a", Failure.FAULT)
    assert not transport.closed
    transport.unsent_bytes += 1
    front.fail("b", Failure.FAULT)
    assert transport.closed


def test_nothing_more_is_read_from_a_caller_that_leaves_its_answers_unread() -> None:
    # One client that sent OPTIONS and read no answers filled the router's memory up to its limit.
    _, inbox, transport = connected_front()
    transport.protocol.pause_writing()
    transport.protocol.data_received(request("OPTIONS", "a") + invite("b"))
    assert not transport.written and not inbox.take() and not transport.is_read
    transport.protocol.resume_writing()
    assert statuses(transport) == [200] and len(inbox.take()) == 1 and transport.is_read
    transport.protocol.pause_writing()
    transport.protocol.close()  # what it does not read would keep the connection open
    assert transport.closed


def test_a_connection_handles_a_bounded_number_of_messages_in_one_turn() -> None:
    # One client at full speed took seconds of the other callers: all that it had sent was handled at once.
    count = 10 * MAX_COST_PER_TURN

    async def main() -> None:
        _, inbox, transport = connected_front()
        transport.protocol.data_received(b"".join(request("BYE", f"c{number}") for number in range(count)))
        turns = 0
        while transport.written:
            turns += 1
            assert len(statuses(transport)) == len(inbox.take()) == MAX_COST_PER_TURN
            assert not transport.is_read
            await asyncio.sleep(0)
        assert turns == count // MAX_COST_PER_TURN and transport.is_read

    asyncio.run(main())


def test_byes_without_an_answer_are_dropped_after_their_lifetime() -> None:
    front, _, transport = connected_front()
    front.release("a", 16)
    now[0] += BYE_LIFETIME_US + 1
    front.release("b", 16)
    front.sweep()
    assert list(front.pending_byes) == ["b"]
    transport.close()
    again = FakeTransport(CallerConnection(front))
    assert [message.call_id for message in sip.Parser().feed(again.take())] == ["b"]


def test_byes_that_one_caller_leaves_unacknowledged_do_not_overwhelm_others() -> None:
    # A client with thousands of calls left: all of its BYEs went to a usual caller, aborted as a slow reader.
    front, _, flooding = connected_front()
    for number in range(2 * MAX_UNACKNOWLEDGED_BYES):
        flooding.protocol.set_ups.clear()
        establish_call(front, flooding, f"c{number}")
    usual = FakeTransport(CallerConnection(front))
    for number in range(2 * MAX_UNACKNOWLEDGED_BYES):
        front.release(f"c{number}", 16)
    assert len(byes(flooding)) == 2 * MAX_UNACKNOWLEDGED_BYES  # each is sent to its own caller
    assert len(front.pending_byes) == flooding.protocol.unacknowledged_byes == MAX_UNACKNOWLEDGED_BYES
    usual.protocol.pause_writing()
    flooding.close()
    assert not usual.written  # it does not read as fast as that
    usual.protocol.resume_writing()
    front.sweep()
    sent = byes(usual)
    assert len(sent) == usual.protocol.unacknowledged_byes == MAX_UNACKNOWLEDGED_BYES
    for call in sent:
        usual.protocol.data_received(request("BYE", call))
    assert not front.pending_byes and usual.protocol.unacknowledged_byes == 0


def test_invalid_release_causes_are_taken_as_normal_clearing() -> None:
    _, inbox, transport = connected_front()
    transport.protocol.data_received(request("BYE", "c", Reason="Q.850;cause=99999"))
    assert inbox.take() == [Released("c", 16)]
