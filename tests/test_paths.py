"""Complete calls on loopback: SIP and IAX2 callers, one router, and JSON lines and IAX2 switches.

A rule checker observes both ends.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest
import uvloop
from standins import (
    Caller,
    IaxCaller,
    IaxCallHandler,
    LocalNetwork,
    SipCaller,
    Switch,
    free_ports,
    host_entry,
    new_frame_elements,
    wait_until,
)

from rowanmast.config import PairConfig
from rowanmast.core.ports import Answered
from rowanmast.iax2.frames import Frame, FrameType, Iax
from rowanmast.net.input_queue import now_us
from rowanmast.vrrp import Advert, Parameters

CALLER_KINDS = {"sip": SipCaller, "iax": IaxCaller}


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 30))


async def start_caller(network: LocalNetwork, kind: str) -> Any:
    caller = CALLER_KINDS[kind](network.checker, network.sip_port if kind == "sip" else network.iax_port)
    await caller.start()
    return caller


def add_switch(network: LocalNetwork, kind: str, name: str = "s1", number: int = 1, **more: Any) -> Any:
    return (network.add_json_switch if kind == "sip" else network.add_iax_switch)(name, number, **more)


# The caller's protocol and the switch's; a switch of kind "sip" speaks JSON lines.
PAIRS = [("sip", "sip"), ("sip", "iax"), ("iax", "sip"), ("iax", "iax")]


@pytest.mark.parametrize(("calling", "called"), PAIRS)
def test_call_stands_and_is_released_by_either_side(calling: str, called: str) -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = add_switch(network, called)
        async with network:
            caller = await start_caller(network, calling)
            caller.dial("71")
            assert await caller.wait_for_answer("71") == ("answer", "sdp 71 answered")
            await asyncio.wait_for(caller.end_events["71"].wait(), 5)  # released by the switch
            switch.hold_s = 60
            caller.dial("72")
            await caller.wait_for_answer("72")
            network.checker.ended_by_caller("72")
            hang_up(caller, "72")
            await wait_until(lambda: not switch.calls)
            network.checker.assert_all_answered()

    run(test)


def hang_up(caller: Any, key: str, method: str = "BYE") -> None:
    if isinstance(caller, SipCaller):
        caller.request(method, key)
    else:
        caller.legs[key].end(Iax.HANGUP)


@pytest.mark.parametrize(("calling", "called"), PAIRS)
def test_caller_cancels_its_set_up(calling: str, called: str) -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = add_switch(network, called)
        switch.answers_calls = False
        async with network:
            caller = await start_caller(network, calling)
            caller.dial("71")
            await wait_until(lambda: switch.accepted == 1)
            network.checker.ended_by_caller("71")
            hang_up(caller, "71", "CANCEL")
            await wait_until(lambda: not switch.calls)
            network.checker.assert_all_answered()

    run(test)


@pytest.mark.parametrize(("calling", "called"), PAIRS)
def test_call_to_unresponsive_switch_is_refused_in_time(calling: str, called: str) -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = add_switch(network, called)
        switch.answers_calls = False
        async with network:
            caller = await start_caller(network, calling)
            caller.dial("71", left_s=0.4)
            answer, details = await caller.wait_for_answer("71")
            assert answer == ("503" if calling == "sip" else "42")
            assert details == ("1" if calling == "sip" else "no way now, come back after 1 s")
            await wait_until(lambda: not switch.calls)
            network.checker.assert_all_answered()

    run(test)


def test_set_up_lost_by_reset_of_iax2_switch_is_not_repeated_too_soon() -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = network.add_iax_switch("s1", 1)
        other = network.add_json_switch("s2", 2)
        switch.answers_calls = False
        async with network:
            caller = await start_caller(network, "iax")
            caller.dial("71", left_s=6.0)
            await wait_until(lambda: switch.accepted == 1)
            switch.lose_state()  # it answers the next PING with INVAL, and the attempt ends as cut
            answer, _ = await caller.wait_for_answer("71")
            assert answer == "answer" and other.accepted == 1, "not rerouted over the other switch"
            await asyncio.wait_for(caller.end_events["71"].wait(), 5)
            network.checker.assert_all_answered()

    run(test)


def test_reset_of_iax2_caller_cancels_its_set_up() -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = network.add_json_switch("s1", 1)
        switch.answers_calls = False
        async with network:
            caller = await start_caller(network, "iax")
            caller.dial("71")
            await wait_until(lambda: switch.accepted == 1)
            network.checker.ended_by_caller("71")
            reused = caller.legs["71"].session.number
            caller.endpoint.legs.clear()  # it restarts and reuses the same call number
            caller.endpoint.last_call_number = reused - 1
            switch.answers_calls = True
            await asyncio.sleep(0.01)
            caller.dial("72")
            assert caller.legs["72"].session.number == reused
            assert (await caller.wait_for_answer("72"))[0] == "answer"
            assert list(switch.calls.values()) == ["72"]
            await asyncio.wait_for(caller.end_events["72"].wait(), 5)
            network.checker.assert_all_answered()

    run(test)


@pytest.mark.parametrize(("calling", "between"), [("iax", "sip"), ("sip", "iax")])
def test_call_transits_switch_of_other_protocol(calling: str, between: str) -> None:
    """The path is station - router 0 - tandem 2 - the tandem's own router 2 - switch 1.

    The station and the last switch use one protocol pair (SIP and JSON lines, or IAX2). The legs to the
    tandem and from it to its router use the other.
    """

    async def test() -> None:
        near, far = LocalNetwork(own_exchange=0), LocalNetwork(own_exchange=2)
        tandem = add_switch(near, between, "s2", 2)
        full = near.add_json_switch("s1", 1)  # the direct route, without a free circuit
        end = add_switch(far, calling)
        async with near, far:
            full.write("status", "", {"load": "x0:0;x1:500"})
            onward = await start_caller(far, between)
            connect_tandem(tandem, onward)
            await asyncio.sleep(0.05)
            caller = await start_caller(near, calling)
            caller.dial("71")
            assert await caller.wait_for_answer("71") == ("answer", "sdp 71 answered")
            assert (full.accepted, tandem.accepted, end.accepted) == (0, 1, 1)
            await asyncio.wait_for(caller.end_events["71"].wait(), 5)
            near.checker.assert_all_answered()
            far.checker.assert_all_answered()

    run(test)


def connect_tandem(tandem: Any, onward: Caller) -> None:
    """Makes a stand-in switch forward its calls to its own router, through the caller `onward`."""
    tandem.answers_calls = False
    original = tandem.set_up_received

    def set_up_received(call: Any, key: str, text: str) -> None:
        original(call, key, text)
        tasks.append(asyncio.get_running_loop().create_task(forward(call, key)))

    async def forward(call: Any, key: str) -> None:
        onward.dial(key, route="dest:1;width:1;via:0;transit:1")
        answer, details = await onward.wait_for_answer(key)
        assert answer == "answer"
        tandem.checker.stood(key)
        tandem.answer(call, details)
        await onward.end_events[key].wait()
        tandem.end_call(call)

    tasks: list[asyncio.Task[None]] = []
    tandem.set_up_received = set_up_received


def test_both_kinds_of_links_respect_draining() -> None:
    async def test() -> None:
        network = LocalNetwork()
        switches = [network.add_json_switch("s1", 1), network.add_iax_switch("s2", 2)]
        async with network:
            callers = [await start_caller(network, kind) for kind in CALLER_KINDS]
            network.change_log.add(
                False,
                *(host_entry(switch.name, switch.number, switch.port, "draining") for switch in switches),
            )
            await wait_until(lambda: not network.router.ledger.is_up("s2"))
            for switch in switches:
                # 2 s ago, so that the checker permits no more set-ups: the router already knows of the drain
                network.checker.draining_since[switch.name] = time.monotonic() - 2.0
            for index, caller in enumerate(callers):
                caller.dial(f"7{index}", route=f"dest:{1 + index};width:1")
            assert [(await one.wait_for_answer(f"7{index}"))[0] for index, one in enumerate(callers)] == [
                "503",
                "42",
            ]
            network.checker.assert_all_answered()

    run(test)


def test_mixed_traffic_at_120_percent_load_breaks_no_rule() -> None:
    async def test() -> None:
        network = LocalNetwork()
        switches = [
            network.add_json_switch("s1", 1, capacity=10),
            network.add_iax_switch("s2", 2, capacity=10),
        ]
        async with network:
            callers: list[Caller] = [await start_caller(network, kind) for kind in CALLER_KINDS]
            for switch in switches:
                switch.hold_s = 0.1
            # calls per second
            capacity = sum(switch.capacity / (switch.hold_s + 0.005) for switch in switches)
            started, duration_s, count = time.monotonic(), 3.0, 0
            while (elapsed := time.monotonic() - started) < duration_s:
                while count < elapsed * capacity * 1.2:
                    route = f"dest:{1 + count // 2 % 2};width:1;via:-1"
                    callers[count % 2].dial(f"n{count}", left_s=0.8, route=route)
                    count += 1
                await asyncio.sleep(0.002)
            answers = [await callers[index % 2].wait_for_answer(f"n{index}") for index in range(count)]
            stood = sum(answer == "answer" for answer, _ in answers)
            assert count > duration_s * capacity  # the offered load exceeded the capacity
            assert stood > count / 4  # and many calls stood, over both protocols
            assert all(switch.accepted > 50 for switch in switches)
            await wait_until(lambda: not network.checker.standing)
            await wait_until(lambda: not network.checker.release_sent_at)
            network.checker.assert_all_answered()

    run(test)


def test_poke_is_answered_and_frame_of_unknown_call_gets_inval() -> None:
    async def test() -> None:
        network = LocalNetwork()
        network.add_json_switch("s1", 1)
        async with network:
            caller = await start_caller(network, "iax")
            ponged = asyncio.Event()
            caller.endpoint.poke(("127.0.0.1", network.iax_port), ponged.set)
            await asyncio.wait_for(ponged.wait(), 2)
            lost = asyncio.Event()
            leg = caller.endpoint.open_leg(
                ("127.0.0.1", network.iax_port), IaxCallHandler(None, ended=lambda frame: lost.set())
            )
            leg.session.remote_number = 77  # unknown to the router
            leg.send(FrameType.IAX, Iax.PING)
            await asyncio.wait_for(lost.wait(), 2)

    run(test)


def test_malformed_new_is_rejected_with_cause() -> None:
    async def test() -> None:
        network = LocalNetwork()
        network.add_json_switch("s1", 1)
        async with network:
            caller = await start_caller(network, "iax")
            frames: asyncio.Queue[Any] = asyncio.Queue()
            for elements in (
                new_frame_elements("", 900, "dest:1"),
                new_frame_elements("7", 900, "width:1"),
                (),
            ):
                leg = caller.endpoint.open_leg(
                    ("127.0.0.1", network.iax_port), IaxCallHandler(None, ended=frames.put_nowait)
                )
                leg.send(FrameType.IAX, Iax.NEW, elements)
                rejected = await asyncio.wait_for(frames.get(), 2)
                assert rejected.is_iax(Iax.REJECT) and rejected.elements[-1] == (0x2A, b"\x60")

    run(test)


def test_only_active_router_of_pair_takes_new_iax2_calls() -> None:
    async def test() -> None:
        first, second = free_ports(2)
        networks = []
        for listen, peer, priority in ((first, second, 200), (second, first, 100)):
            network = LocalNetwork()
            network.add_json_switch("s1", 1).hold_s = 60
            here, there = ("127.0.0.1", listen), ("127.0.0.1", peer)
            network.pair = PairConfig(here, there, Parameters(7, priority, "127.0.0.9", interval=5))
            networks.append(network)
        async with networks[1]:
            callers = []
            async with networks[0]:
                await wait_until(networks[0].router.accepts_iax_calls)
                await asyncio.sleep(0.2)
                callers = [await start_caller(network, "iax") for network in networks]
                for caller in callers:
                    caller.dial("71")
                assert (await callers[0].wait_for_answer("71"))[0] == "answer"
                assert await callers[1].wait_for_answer("71") == ("41", "backup router, come back after 1 s")
                # a router of higher priority appears: this one becomes backup, and its call continues
                networks[0].router.pair.machine.receive(
                    now_us(), Advert(7, 255, 5, "127.0.0.9"), ("127.0.0.1", 1)
                )
                assert not networks[0].router.accepts_iax_calls()
                switch = networks[0].switches[0]
                assert list(switch.calls.values()) == ["71"]
                switch.end_call(next(iter(switch.calls)))
                await asyncio.wait_for(callers[0].end_events["71"].wait(), 2)
                networks[0].checker.assert_all_answered()
            await wait_until(networks[1].router.accepts_iax_calls)  # the first router has stopped
            callers[1].dial("72")
            assert (await callers[1].wait_for_answer("72"))[0] == "answer"
            networks[1].checker.ended_by_caller("72")
            hang_up(callers[1], "72")
            await wait_until(lambda: not networks[1].switches[0].calls)
            networks[1].checker.assert_all_answered()

    run(test)


def test_answer_and_callers_hangup_in_one_turn_release_call_at_switch() -> None:
    """Guards against a call left standing at the switch.

    The front has already removed the call when the answer, received just before, is passed on to it.
    """

    async def test() -> None:
        network = LocalNetwork()
        switch = network.add_json_switch("s1", 1)
        switch.answers_calls, switch.hold_s = False, 60
        async with network:
            caller = await start_caller(network, "iax")
            caller.dial("71")
            await wait_until(lambda: switch.accepted == 1)
            (call,) = switch.calls
            network.checker.ended_by_caller("71")
            network.router.post(Answered("s1", call, 0, "text"))
            front = network.router.iax_front
            front.legs[call].listener.frame_received(Frame(1, 1, 0, 1, 1, FrameType.IAX, Iax.HANGUP))
            await wait_until(lambda: not switch.calls)
            assert not front.legs and not network.router.ledger.records
            network.checker.assert_all_answered()

    run(test)


def test_call_standing_at_sigterm_survives_and_next_run_reports_its_end() -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = network.add_json_switch("s1", 1)
        switch.hold_s = 60
        async with network:
            config = network.router.config
            short = replace(config.settings.classes[0], deadline_ns=1_500_000_000)
            network.router.config = replace(config, settings=replace(config.settings, classes=(short,)))
            caller = await start_caller(network, "sip")
            caller.dial("71")
            await caller.wait_for_answer("71")
            started = time.monotonic()
            network.router.stop.set()
            await network.running
            # SIGKILL may come 0.7 s after the longest deadline, 1.5 s here; at most 3 s of it count.
            assert 1.5 + 0.2 < time.monotonic() - started < 1.5 + 0.7
            assert list(switch.calls) == ["sip71"] and not caller.end_events["71"].is_set()
            before = len(switch.transports)
            await network.start(config)
            await wait_until(lambda: len(switch.transports) > before)
            again = await start_caller(network, "sip")
            again.end_events["71"] = caller.end_events["71"]
            network.checker.released_by_switch("71")
            switch.write("close", "sip71", {}, code=16)
            await asyncio.wait_for(caller.end_events["71"].wait(), 1)

    run(test)


@pytest.mark.parametrize("health", ["draining", "gone"])
def test_call_at_draining_or_removed_switch_is_released_before_router_exits(health: str) -> None:
    # Guards against calls that no process can release: the next run learns nothing from a stopped switch.
    async def test() -> None:
        network = LocalNetwork()
        leaving, staying = network.add_json_switch("s1", 1), network.add_json_switch("s2", 2)
        leaving.hold_s = staying.hold_s = 60
        async with network:
            config = network.router.config
            short = replace(config.settings.classes[0], deadline_ns=1_500_000_000)
            network.router.config = replace(config, settings=replace(config.settings, classes=(short,)))
            caller = await start_caller(network, "sip")
            for number in ("1", "2"):
                caller.dial(f"7{number}", route=f"dest:{number};width:1")
                await caller.wait_for_answer(f"7{number}")
            network.change_log.add(False, host_entry("s1", 1, leaving.port, health))
            await wait_until(lambda: not network.router.ledger.is_up("s1"))
            network.router.stop.set()
            await network.running
            await wait_until(lambda: not leaving.calls)
            assert caller.end_events["71"].is_set() and not caller.end_events["72"].is_set()
            assert list(staying.calls) == ["sip72"]

    run(test)


def test_text_too_long_for_iax2_frame_is_refused_and_timers_continue() -> None:
    async def test() -> None:
        network = LocalNetwork()
        iax = network.add_iax_switch("s1", 1)
        plain = network.add_json_switch("s2", 2)
        async with network:
            station, caller = await start_caller(network, "sip"), await start_caller(network, "iax")
            station.dial("7" * 1500)
            assert (await station.wait_for_answer("7" * 1500))[0] == "503" and iax.accepted == 0
            plain.stand = lambda call, text: Switch.stand(plain, call, text * 300)  # type: ignore[method-assign]
            caller.dial("71", route="dest:2;width:1")
            assert (await caller.wait_for_answer("71"))[0] == "127"
            await wait_until(lambda: not plain.calls)
            caller.dial("72")
            assert (await caller.wait_for_answer("72"))[0] == "answer"
            await asyncio.wait_for(caller.end_events["72"].wait(), 5)

    run(test)
