"""The simulator host as a subprocess, and the paths in the deploy file."""

from __future__ import annotations

import inspect
import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

from rowanmast import CallAgent

ROOT = Path(__file__).resolve().parent.parent
INFO = {
    "balancers": 2,
    "period_ns": 5_000_000,
    "my_number": 0,
    "discovery": "automatic",
    "a_new_key": {"x": 1},
    "services": [
        {
            "name": "plain",
            "credit": 1.0,
            "late_worth": 0.1,
            "objective_ns": 2 * 10**9,
            "hard_limit_ns": 9 * 10**9,
            "idempotency": "safe",
            "key_scope": "all",
            "window_ns": 5 * 10**9,
        }
    ],
    "family_info": {
        "self_no": 0,
        "network_form": "meshed",
        "guard_ns": 300_000_000,
        "t1_ns": 0,
        "widths": [1],
    },
    "guarantees": {"cold_from": 0.3, "cold_ns": 10**10, "fall_multiple": 2.0, "tip_after_ns": 10**9},
    "limits": {"max_attempts": 5},
}
LINES = [
    {"exchange": "a:1", "place_no": 0, "condition": "up", "launched_ns": None},
    {"exchange": "b:1", "place_no": 1, "condition": "up", "launched_ns": None},
]
DEMAND = {"who": 3, "op_id": "rq_1", "profile": "plain", "remaining_ns": 3 * 10**9, "dest": 1, "circuits": 1}


def batch(*events: dict[str, Any], now: int = 1) -> str:
    return json.dumps({"t_ns": now, "events": list(events)})


def opening_events(who: int = 3) -> tuple[dict[str, Any], ...]:
    return (
        {"open_instance": {"who": who, "entropy": 5, "info": INFO}},
        {"define_list": {"ref": 0, "lines": LINES}},
        {"sync": {"who": who, "how": "SAVED", "seq_no": 1, "ref": 0}},
    )


def run_host(*lines: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "rowanmast.wirehost"]
    return subprocess.run(
        command,
        input="".join(line + "\n" for line in lines),
        text=True,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        check=False,
    )


def test_a_call_is_relayed_and_the_end_of_input_exits_cleanly() -> None:
    done = run_host(batch(), batch(*opening_events(), {"demand": DEMAND}))
    first, second = done.stdout.splitlines()
    assert json.loads(first) == {"decisions": []}
    (action,) = json.loads(second)["decisions"]
    assert action["relay"]["exchange"] == "b:1" and action["relay"]["op_id"] == "rq_1"
    assert done.returncode == 0 and done.stderr == ""


def test_instances_are_independent() -> None:
    info = {**INFO, "family_info": {**INFO["family_info"], "self_no": 1}}  # type: ignore[dict-item]
    other = {"open_instance": {"who": 4, "entropy": 5, "info": info}}
    sync = {"sync": {"who": 4, "how": "SAVED", "seq_no": 1, "ref": 0}}
    demand = {"demand": {**DEMAND, "who": 4, "op_id": "rq_2", "dest": 0}}
    done = run_host(batch(*opening_events(), other, sync, {"demand": DEMAND}, demand))
    sent = [action["relay"]["exchange"] for action in json.loads(done.stdout)["decisions"]]
    assert sent == ["b:1", "a:1"]


def test_malformed_input_ends_with_one_error_line() -> None:
    bad = {
        "not json": "not JSON",
        "[]": "not a batch",
        '{"t_ns":1}': "events",
        batch({"hangup": {"who": 3}}): "hangup: field op_id is missing",
        batch({"demand": {**DEMAND, "remaining_ns": "soon"}}): "demand: field remaining_ns is not an integer",
        batch({"define_list": {"ref": 0, "lines": [{}]}}): "define_list",
        batch(*opening_events(), {"sync": {"who": 3, "how": "ODD", "ref": 0}}): "sync: field how",
    }
    for line, words in bad.items():
        done = run_host(batch(), line)
        assert done.returncode == 1
        assert done.stdout == '{"decisions":[]}\n'
        assert done.stderr.count("\n") == 1 and done.stderr.startswith("line 2: ") and words in done.stderr


def test_unknown_events_and_events_without_an_instance_are_ignored() -> None:
    done = run_host(batch({"novelty": {"who": 9}}, {"hangup": {"who": 9, "op_id": "rq_9"}}))
    assert done.stdout == '{"decisions":[]}\n' and done.returncode == 0


def test_unusable_settings_refuse_calls_and_log_a_line() -> None:
    start = {"open_instance": {"who": 3, "entropy": 5, "info": {}}}
    done = run_host(batch(start, {"demand": DEMAND}))
    names = [next(iter(action)) for action in json.loads(done.stdout)["decisions"]]
    assert names == ["emit", "reject"] and done.returncode == 0


def test_an_exception_in_an_agent_affects_only_its_instance() -> None:
    code = (
        "import sys\nfrom rowanmast import call_agent, wirehost\n"
        "plain = call_agent.CallAgent.on_call\n"
        "def fail(self, call):\n    if call.call == 'rq_1':\n        raise ValueError('odd')\n"
        "    plain(self, call)\n"
        "call_agent.CallAgent.on_call = fail\n"
        "sys.exit(wirehost.serve(sys.stdin, sys.stdout, sys.stderr))\n"
    )
    lines = batch(
        *opening_events(3),
        *opening_events(4),
        {"demand": DEMAND},
        {"demand": {**DEMAND, "who": 4, "op_id": "rq_2"}},
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        input=lines + "\n",
        text=True,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        check=False,
    )
    first, second = json.loads(done.stdout)["decisions"]
    assert first == {"give_in": {"who": 3, "message": "ValueError: odd"}}
    assert second["relay"]["who"] == 4


def test_the_deploy_file_names_the_decision_module_and_only_files_that_exist() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == [str(Path(inspect.getfile(CallAgent)).relative_to(ROOT))]
    assert [name for name in deploy["policy"] + deploy["node"] if not (ROOT / name).exists()] == []
    lines = [line for name in deploy["policy"] for line in (ROOT / name).read_text().splitlines()]
    assert max(map(len, lines)) <= 110
