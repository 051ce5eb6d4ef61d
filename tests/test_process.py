"""The router as a process: start, configuration, signals, and the behaviour of the change log."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop
from standins import (
    AssertingRuleChecker,
    ChangeLogServer,
    JsonSwitch,
    LocalNetwork,
    SipCaller,
    free_ports,
    host_entry,
    wait_until,
)

from rowanmast import interface as api
from rowanmast.net.peer_connection import KEEPALIVE_OPTIONS

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = json.loads((ROOT / "examples" / "config.json").read_text())


def start(tmp_path: Path, config: Any, **env: str) -> subprocess.Popen[str]:
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "rowanmast"],
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(path), **env},
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_until_ready(process: subprocess.Popen[str]) -> str:
    """Returns what the router logs up to the `ready` event, which follows the opening of its links."""
    assert process.stderr is not None
    lines = [process.stderr.readline()]
    while "event=ready" not in lines[-1]:
        lines.append(process.stderr.readline())
        assert lines[-1], "the process ended before it was ready"
    return "".join(lines)


@pytest.mark.parametrize(
    ("config", "message"),
    [
        ("{", "Expect|Unexpected|when decoding"),
        ({**EXAMPLE, "listen": "nowhere"}, "'nowhere' is not a host:port address"),
        ({**EXAMPLE, "settings": {}}, "no classes of call"),
        ({key: value for key, value in EXAMPLE.items() if key != "seed"}, "'seed' is missing"),
        (
            {**EXAMPLE, "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"hosts": [{}]}}]}},
            "malformed list",
        ),
    ],
)
def test_an_invalid_configuration_ends_with_a_one_line_error(
    tmp_path: Path, config: Any, message: str
) -> None:
    process = start(tmp_path, config)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1
    assert re.fullmatch(rf"rowanmast: .*({message}).*\n", errors)


def test_a_missing_configuration_or_settings_file_ends_with_a_one_line_error(tmp_path: Path) -> None:
    process = start(tmp_path, EXAMPLE, ROWANMAST_SETTINGS=str(tmp_path / "none.txtpb"))
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1 and errors.count("\n") == 1 and "No such file" in errors
    process = start(tmp_path, EXAMPLE, PROXY_CONFIG="")
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1 and errors == "rowanmast: PROXY_CONFIG is not set\n"


def test_after_sigterm_all_calls_are_answered_including_late_ones(tmp_path: Path) -> None:
    async def test() -> None:
        checker = AssertingRuleChecker(time.monotonic, 0.2, tolerance_s=0.07)
        listen, log, at = free_ports(3)
        switch = JsonSwitch("s1", 1, at, checker)
        switch.hold_s = 0.2
        await switch.start()
        document = {
            "seq": 1,
            "results": [{"seq": 1, "fleet": {"whole": True, "hosts": [host_entry("s1", 1, at)]}}],
        }
        config = {
            **EXAMPLE,
            "listen": f"127.0.0.1:{listen}",
            "changelog": f"127.0.0.1:{log}",
            "known": document,
        }
        config["settings"]["services"][0]["name"] = "plain"
        process = start(tmp_path, config)
        try:
            caller = SipCaller(checker, listen)
            errors = await asyncio.to_thread(wait_until_ready, process)
            await wait_until(lambda: bool(switch.transports))
            await caller.start()
            caller.dial("71")
            await caller.wait_for_answer("71")
            switch.answers_calls = False
            caller.dial("72", left_s=1.5)
            await wait_until(lambda: switch.accepted == 2)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            switch.answers_calls = True
            switch.stand("sip72", "sdp 72")
            assert (await caller.wait_for_answer("72"))[0] == "answer"
            late = SipCaller(checker, listen)  # new calls are still accepted for a short time
            await late.start()
            late.dial("73")
            assert (await late.wait_for_answer("73"))[0] == "answer"
            await wait_until(lambda: process.poll() is not None, 6)
        finally:
            process.kill()
        errors += process.communicate()[1]
        assert process.returncode == 0
        assert "event=stopped owed=0" in errors and "level=error" not in errors
        assert all(re.match(r"time=\S+ level=\w+ part=\S+ event=\S+", line) for line in errors.splitlines())
        checker.assert_all_answered()
        switch.stop()

    uvloop.run(test())


def test_sighup_switches_the_change_log_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    async def test() -> None:
        listen, first, second = free_ports(3)
        logs = [ChangeLogServer(first), ChangeLogServer(second)]
        for log in logs:
            await log.start()
        config = {**EXAMPLE, "listen": f"127.0.0.1:{listen}", "changelog": f"127.0.0.1:{first}"}
        process = start(tmp_path, config)
        try:
            await wait_until(lambda: logs[0].requested_since == [1], 10)
            (tmp_path / "config.json").write_text("{")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert process.poll() is None and logs[1].requested_since == []
            config["changelog"] = f"127.0.0.1:{second}"
            config["name"] = "other"
            (tmp_path / "config.json").write_text(json.dumps(config))
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: logs[1].requested_since == [1], 1)
            logs[1].events = [{"seq": 1}, {"seq": 2}]
            logs[1].send_changes()
            await wait_until(lambda: logs[1].requested_since == [1, 2], 1)
            requests = len(logs[0].requested_since)
            process.send_signal(signal.SIGTERM)
            await wait_until(lambda: process.poll() is not None, 5)
            assert len(logs[0].requested_since) == requests, "the former change log got another request"
        finally:
            process.kill()
        errors = process.communicate()[1]
        assert process.returncode == 0
        assert errors.count("level=warning") == errors.count("event=bad_configuration") + 1 == 2
        assert "event=restart_needed changed=name" in errors and "event=list seq=2" in errors

    uvloop.run(test())


def test_a_change_log_that_stalls_is_requested_again_in_time() -> None:
    async def test() -> None:
        network = LocalNetwork()
        network.add_json_switch("s1", 1)
        async with network:
            stopped = network.change_log.transport
            # The response to the pending request stalls in the middle, and the connection stays silent.
            network.change_log.pending_request = None
            stopped.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"seq"')
            await wait_until(lambda: network.change_log.transport is not stopped, 2.5)

    uvloop.run(test())


def test_changes_are_applied_as_they_are_made_and_after_a_lost_connection() -> None:
    async def test() -> None:
        network = LocalNetwork()
        old = network.add_json_switch("s1", 1)
        new = JsonSwitch("s2", 2, old.port, network.checker)
        async with network:
            ledger = network.router.ledger
            network.change_log.transport.abort()
            network.change_log.add(False, host_entry("s1", 1, old.port, "draining"))
            await wait_until(lambda: ledger.listed["s1"].state is api.ExchangeState.DRAINING)
            old.stop()  # a new machine takes over the address
            await new.start()
            network.change_log.add(
                False, host_entry("s1", 1, old.port, "gone"), host_entry("s2", 2, old.port)
            )
            await wait_until(lambda: ledger.is_up("s2") and bool(new.transports))
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            caller.dial("71", route="dest:2;width:1")
            assert (await caller.wait_for_answer("71"))[0] == "answer"
            assert new.accepted == 1
            assert list(network.router.listed_links) == list(network.router.links) == ["s2"], (
                "a link to a removed switch was not deleted"
            )
            network.change_log.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{")  # not JSON
            await asyncio.sleep(0.3)
            network.change_log.add(False, host_entry("s2", 2, old.port, "draining"))
            await wait_until(lambda: not ledger.is_up("s2"))
            await asyncio.wait_for(caller.end_events["71"].wait(), 5)
            new.stop()

    uvloop.run(test())


def test_links_missing_from_a_full_list_are_closed_once_their_calls_have_ended() -> None:
    async def test() -> None:
        network = LocalNetwork()
        first, second = network.add_json_switch("s1", 1), network.add_json_switch("s2", 2)
        first.hold_s = 3.0
        async with network:
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            caller.dial("71")
            await caller.wait_for_answer("71")
            network.change_log.add(True, host_entry("s2", 2, second.port))
            await wait_until(lambda: sum(not one.is_closing() for one in first.transports) == 1, 1)
            caller.dial("72", left_s=0.3)
            assert (await caller.wait_for_answer("72"))[0] == "503" and first.accepted == 1
            await asyncio.sleep(2.5)  # the lease of a removed switch, which its answers to probes renew
            assert not caller.end_events["71"].is_set()
            await asyncio.wait_for(caller.end_events["71"].wait(), 1.5)
            await wait_until(lambda: all(one.is_closing() for one in first.transports), 1)
            assert not second.transport.is_closing()
            network.checker.assert_all_answered()

    uvloop.run(test())


@pytest.mark.parametrize("end", ["closed", "silent", "moved"])
def test_calls_on_a_removed_switch_end_when_it_is_lost(end: str) -> None:
    async def test() -> None:
        network = LocalNetwork()
        first, second = network.add_json_switch("s1", 1), network.add_json_switch("s2", 2)
        first.hold_s = 60
        async with network:
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            caller.dial("71")
            await caller.wait_for_answer("71")
            first.answers_probes = end != "silent"
            if end == "moved":  # listed at another address: another machine
                network.checker.released_by_switch("71")
                network.change_log.add(False, host_entry("s1", 1, network.spare_ports.pop()))
            else:
                network.change_log.add(True, host_entry("s2", 2, second.port))
            if end == "closed":
                await wait_until(lambda: sum(not one.is_closing() for one in first.transports) == 1, 1)
                network.checker.released_by_switch("71")
                first.stop()
            await asyncio.wait_for(caller.end_events["71"].wait(), 3.5 if end == "silent" else 1)
            left = ["s1", "s2"] if end == "moved" else ["s2"]
            await wait_until(
                lambda: sorted(network.router.links) == sorted(network.router.listed_links) == left, 1
            )

    uvloop.run(test())

    uvloop.run(test())


def test_calls_on_silent_switches_are_released_in_time_over_json_lines_and_iax2() -> None:
    async def test() -> None:
        network = LocalNetwork()
        json_switch, iax_switch = network.add_json_switch("s1", 1), network.add_iax_switch("s2", 2)
        json_switch.hold_s = iax_switch.hold_s = 60
        async with network:
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            for key, route in (("71", "dest:1;width:1"), ("72", "dest:2;width:1")):
                caller.dial(key, route=route)
                assert (await caller.wait_for_answer(key))[0] == "answer"
            assert (json_switch.accepted, iax_switch.accepted) == (1, 1)
            json_switch.line_received = lambda line: None  # type: ignore[method-assign]
            iax_switch.endpoint.datagram_received = lambda *_: None  # type: ignore[method-assign]
            await asyncio.wait_for(asyncio.gather(*(one.wait() for one in caller.end_events.values())), 8)

    uvloop.run(test())


def test_a_refused_connect_proves_the_process_dead_and_cuts_its_calls() -> None:
    async def test() -> None:
        network = LocalNetwork()
        first, second = network.add_json_switch("s1", 1), network.add_json_switch("s2", 2)
        first.hold_s = 60
        async with network:
            caller = SipCaller(network.checker, network.sip_port)
            await caller.start()
            caller.dial("71")
            await caller.wait_for_answer("71")
            network.checker.released_by_switch("71")
            first.stop()  # the process dies: its connections are reset and its calls are cut
            await asyncio.wait_for(caller.end_events["71"].wait(), 1)
            started_at = time.monotonic()
            caller.dial("72", left_s=0.3)  # too short to wait for the switch to come back
            assert (await caller.wait_for_answer("72"))[0] == "503" and second.accepted == 0
            assert time.monotonic() - started_at < 0.2, (
                "waited for a release although the connect was refused"
            )
            network.checker.assert_all_answered()

    uvloop.run(test())


def test_connections_to_switches_have_kernel_timeouts_for_silence() -> None:
    async def test() -> None:
        network = LocalNetwork()
        network.add_json_switch("s1", 1)
        async with network:
            connection = network.router.listed_links["s1"].connections[0]  # type: ignore[union-attr]
            assert connection.transport is not None
            socket = connection.transport.get_extra_info("socket")
            for level, option, value in KEEPALIVE_OPTIONS:
                assert socket.getsockopt(level, option) == value

    uvloop.run(test())
