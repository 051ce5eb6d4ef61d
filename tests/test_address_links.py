"""Links to a switch that listens on IPv4, IPv6 and a Unix socket, some of which refuse or drop connects."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop
from standins import JsonSwitch, JsonSwitchConnection, LocalNetwork, SipCaller, free_ports, wait_until

from rowanmast.addresses.history import ConnectFailure
from rowanmast.addresses.order import read_endpoint
from rowanmast.options.reader import parse_options


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 30))


@contextlib.contextmanager
def black_hole() -> Iterator[tuple[str, int]]:
    """A loopback address that drops packets: a listener that accepts nothing and whose queue is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket(socket.AF_INET6))
        listener.bind(("::1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket(socket.AF_INET6))
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        time.sleep(0.05)
        yield listener.getsockname()[:2]


async def add_listeners(switch: JsonSwitch, path: Path, port: int) -> list[Any]:
    """Lets the switch listen on IPv6 and a Unix socket too; the caller closes the servers returned."""
    loop = asyncio.get_running_loop()
    return [
        await loop.create_server(lambda: JsonSwitchConnection(switch), "::1", port),
        await loop.create_unix_server(lambda: JsonSwitchConnection(switch), str(path)),
    ]


async def place_calls(network: LocalNetwork, count: int, left_s: float = 3.0) -> list[float]:
    """Sets up and releases calls one after the other; returns how long each took to set up, in seconds."""
    caller = SipCaller(network.checker, network.sip_port)
    await caller.start()
    durations = []
    for at in range(count):
        started_at = time.monotonic()
        caller.dial(f"7{at}", left_s=left_s)
        assert (await caller.wait_for_answer(f"7{at}"))[0] == "answer"
        durations.append(time.monotonic() - started_at)
        await asyncio.wait_for(caller.end_events[f"7{at}"].wait(), 5)
    network.checker.assert_all_answered()
    return durations


def families_of(switch: JsonSwitch) -> set[int]:
    open_transports = (one for one in switch.transports if not one.is_closing())
    return {int(one.get_extra_info("socket").family) for one in open_transports}


def test_an_address_that_drops_packets_costs_no_call_and_no_second_attempt(tmp_path: Path) -> None:
    async def test() -> None:
        with black_hole() as (host, port):
            network = LocalNetwork()
            switch = network.add_json_switch("s1", 1)
            network.addresses["s1"] = [
                read_endpoint(f"[{host}]:{port}"),
                read_endpoint(f"127.0.0.1:{switch.port}"),
            ]
            async with network:
                durations = await place_calls(network, 10)
                assert max(durations) < 0.2, "the link is already connected over the address that works"
                assert switch.accepted == 10 and max(network.checker.attempts.values()) == 1
                assert families_of(switch) == {socket.AF_INET}
                connector = network.router.listed_links["s1"].connector
                assert connector.history.record_of(network.addresses["s1"][0]).consecutive_failures >= 1
                await wait_until(lambda: len(switch.transports) == 4)
                await asyncio.sleep(0.6)
                assert len(switch.transports) == 4, "at most four connections per switch"

    run(test)


def test_a_switch_with_three_addresses_is_reachable_while_any_works(tmp_path: Path) -> None:
    async def test() -> None:
        network = LocalNetwork()
        switch = network.add_json_switch("s1", 1)
        path, (port,) = tmp_path / "s", free_ports(1)
        network.addresses["s1"] = [
            read_endpoint(f"127.0.0.1:{switch.port}"),
            read_endpoint(f"[::1]:{port}"),
            read_endpoint(f"unix:{path}"),
        ]
        async with network:
            assert families_of(switch) == {socket.AF_INET}, "only the IPv4 address listens yet"
            others = await add_listeners(switch, path, port)
            await place_calls(network, 2)
            switch.server.close()  # the IPv4 address fails, with its connections
            for transport in list(switch.transports):
                transport.abort()
            await wait_until(lambda: families_of(switch) <= {socket.AF_UNIX, socket.AF_INET6})
            await wait_until(lambda: bool(families_of(switch)))
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            caller.dial("91", left_s=3.0)
            assert (await caller.wait_for_answer("91"))[0] == "answer"
            await asyncio.wait_for(caller.end_events["91"].wait(), 5)
            assert max(network.checker.attempts.values()) == 1
            network.checker.assert_all_answered()
            for server in others:
                server.close()

    run(test)


def test_calls_are_cut_only_when_every_address_refuses(tmp_path: Path) -> None:
    async def test() -> None:
        with black_hole() as (host, port):
            network = LocalNetwork()
            switch = network.add_json_switch("s1", 1)
            network.addresses["s1"] = [
                read_endpoint(f"127.0.0.1:{switch.port}"),
                read_endpoint(f"[{host}]:{port}"),
            ]
            switch.hold_s = 60
            async with network:
                caller = SipCaller(network.checker, network.sip_port)
                await caller.start()
                caller.dial("71")
                await caller.wait_for_answer("71")
                switch.stop()  # its IPv4 address refuses from now on, the other one drops packets
                await asyncio.sleep(1.5)
                assert not caller.end_events["71"].is_set(), (
                    "calls are not cut while an address has not refused"
                )
                connector = network.router.listed_links["s1"].connector
                assert (
                    connector.history.record_of(network.addresses["s1"][0]).last_failure
                    is ConnectFailure.REFUSED
                )
                network.checker.ended_by_caller("71")
                network.checker.ended_at_switch("71")
                caller.request("BYE", "71")
                await asyncio.sleep(0.1)

    run(test)


def test_settings_list_addresses_and_families() -> None:
    options = parse_options(
        'switches { exchange: "s1" addresses: "10.1.0.9:2905" addresses: "unix:/run/s" }\nfamilies: "ip4"'
    )
    assert [str(one) for one in options.addresses["s1"]] == ["10.1.0.9:2905", "unix:/run/s"]
    assert [family.value for family in options.preference.families] == ["ip4"]


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ('switches { exchange: "s1" }', r"^f:1: switches\[0\].addresses: give 1 to 16 addresses"),
        (
            'switches {\n exchange: "s1"\n addresses: "10.1.0.9" }',
            r"^f:3: switches\[0\].addresses: '10.1.0.9': give a port",
        ),
        ('\nfamilies: "ip5"', "^f:2: families: 'ip5': give each of unix, ip6, ip4 once at most"),
    ],
)
def test_invalid_addresses_are_reported_with_their_field(text: str, error: str) -> None:
    with pytest.raises(ValueError, match=error):
        try:
            parse_options(text, "f")
        except Exception as caught:
            raise ValueError(str(caught)) from None
