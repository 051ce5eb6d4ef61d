"""`make bench`: measures the bare ledger, then the library and the daemon with the same simulated switch."""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks.bare_ledger import measure
from benchmarks.parties import resident_kb
from rowanmast.lab.demo import config_document

SWITCHES, RATES = (8, 60, 500), (100, 1_000, 10_000)
HOLD_S = 1.5
STANDING_CALLS = 5_000


def start_party(name: str, **arguments: Any) -> subprocess.Popen[str]:
    """Starts a process of `benchmarks.parties`."""
    command = [sys.executable, "-m", "benchmarks.parties", name, json.dumps(arguments)]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)


def read_result(process: subprocess.Popen[str]) -> dict[str, Any]:
    """Reads the JSON line that a party prints."""
    assert process.stdout is not None
    result: dict[str, Any] = json.loads(process.stdout.readline())
    return result


@contextmanager
def switch(hold_s: float) -> Iterator[dict[str, Any]]:
    """Runs the switch and its change log; yields their addresses."""
    process = start_party("switch", hold_s=hold_s)
    try:
        yield read_result(process)
    finally:
        process.kill()
        process.wait()


@contextmanager
def daemon(changelog: tuple[str, int], port: int) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a daemon with the demonstration's settings."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config_document(("127.0.0.1", port), changelog, 1)))
        process = subprocess.Popen(
            [sys.executable, "-m", "rowanmast"],
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        try:
            time.sleep(1.0)
            yield process
        finally:
            process.kill()
            process.wait()


def run_load(name: str, **arguments: Any) -> dict[str, Any]:
    """Runs a load to its end and returns its result."""
    process = start_party(name, **arguments)
    result = read_result(process)
    process.wait()
    return result


def process_cpu_s(process: int) -> float:
    """Processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def percentile_ms(delays: list[float], fraction: float) -> float:
    """A percentile of the delays, in milliseconds; 0 without delays."""
    ordered = sorted(delays)
    return 1000 * ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def print_ledger_table(quick: bool) -> float:
    """Measures the bare ledger; returns its calls/s of one core with one switch and 1,000 calls/s offered."""
    print("| switches | offered a second | calls/s of one core | µs a call |")
    print("| ---: | ---: | ---: | ---: |")
    for switches in SWITCHES:
        for rate in RATES[:2] if quick else RATES:
            result = measure(switches, rate, span_s=2.0 if quick else 5.0)
            per_call = 1e6 * result.cpu_s / result.calls
            print(f"| {switches} | {rate} | {result.calls_per_s:.0f} | {per_call:.0f} |", flush=True)
    return measure(1, 1000, span_s=2.0 if quick else 5.0).calls_per_s


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=1000.0, help="calls a second through each front")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--port", type=int, default=17105)
    parser.add_argument("--quick", action="store_true", help="fewer and shorter runs of the bare ledger")
    arguments = parser.parse_args()
    bare = print_ledger_table(arguments.quick)
    rate, seconds = arguments.rate, arguments.seconds
    rows: list[tuple[str, dict[str, Any], float]] = []
    with switch(HOLD_S) as addresses:
        rows.append(
            ("no router", run_load("direct", at=addresses["switch"], rate=rate, seconds=seconds), 0.0)
        )
    with switch(HOLD_S) as addresses:
        result = run_load("library", changelog=addresses["changelog"], rate=rate, seconds=seconds)
        rows.append(("library, host and router", result, result["cpu_s"]))
        rows.append(("library, router's thread alone", result, result["router_cpu_s"]))
    with switch(HOLD_S) as addresses, daemon(addresses["changelog"], arguments.port) as process:
        before = process_cpu_s(process.pid)
        result = run_load("sip", listen=("127.0.0.1", arguments.port), rate=rate, seconds=seconds)
        rows.append(("daemon, SIP", result, process_cpu_s(process.pid) - before))
    base = rows[0][1]["delays"]
    print()
    print("| way | stood | CPU ms a call | calls/s of one core | of bare | added p50 ms | added p99 ms |")
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    print(f"| bare ledger, one switch | | {1000 / bare:.3f} | {bare:.0f} | 1.00 | | |")
    for name, result, used in rows:
        per_call = used / max(result["stood"], 1)
        core = f"{1 / per_call:.0f} | {1 / per_call / bare:.2f}" if per_call else "|"
        added = [
            percentile_ms(result["delays"], fraction) - percentile_ms(base, fraction)
            for fraction in (0.5, 0.99)
        ]
        stood = result["stood"] / max(result["offered"], 1)
        print(f"| {name} | {stood:.4f} | {1000 * per_call:.3f} | {core} | {added[0]:.2f} | {added[1]:.2f} |")
    print()
    print_memory(arguments.port + 1)


def print_memory(port: int) -> None:
    """Prints the memory used by 1,000 standing calls in the library and in the daemon."""
    with switch(600.0) as addresses:
        result = run_load(
            "library", changelog=addresses["changelog"], rate=0, seconds=0, standing=STANDING_CALLS
        )
        print(f"memory of 1,000 standing calls, library with its host: {result['resident_kb']} kB")
    with switch(600.0) as addresses, daemon(addresses["changelog"], port) as process:
        before = resident_kb(str(process.pid))
        run_load("sip", listen=("127.0.0.1", port), rate=1000, seconds=STANDING_CALLS / 1000)
        per_call = (resident_kb(str(process.pid)) - before) * 1000 // STANDING_CALLS
        print(f"memory of 1,000 standing calls, daemon: {per_call} kB")


if __name__ == "__main__":
    main()
