"""Formats a trial for debugging: events at callers and switches and the routers' logs on one clock."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime

from rowanmast.trials.schedule import Schedule
from rowanmast.trials.trial import TrialResult

TIME_FIELD = "time="
MAX_CALLS = 5  # with a printed history
AROUND_S = 1.0  # not used: log lines are selected by their call


def timeline(schedule: Schedule, result: TrialResult) -> Iterator[str]:
    """The faults, the violations, and the histories of the first calls with a violation."""
    for fault in schedule.faults:
        yield (
            f"{fault.start_s:8.3f}  fault  {fault.kind.value} at {fault.target}, for {fault.duration_s:.3f} s"
        )
    for violation in result.violations:
        yield f"{violation.time_s:8.3f}  broken  {violation.rule.value}  {violation.call}: {violation.text}"
    for error in result.errors:
        yield f"          error  {error}"
    for call, history in list(result.histories.items())[:MAX_CALLS]:
        yield f"call {call}"
        yield from call_timeline(call, history, result)


def call_timeline(call: str, history: list[tuple[float, str]], result: TrialResult) -> Iterator[str]:
    """The events of one call, merged with the routers' log lines about it."""
    lines = [(at, "seen", text) for at, text in history]
    for router, log in result.logs.items():
        for line in log:
            if f"call={call}" in line:
                lines.append((log_time(line, result.began_unix_s), router, line.partition(" ")[2]))
    for at, source, text in sorted(lines):
        yield f"{at:8.3f}  {source}  {text}"


def log_lines(result: TrialResult, router: str) -> Iterator[str]:
    """The log of one router, on the trial's clock."""
    for line in result.logs[router]:
        yield f"{log_time(line, result.began_unix_s):8.3f}  {line.partition(' ')[2]}"


def log_time(line: str, began_unix_s: float) -> float:
    """Seconds from the trial's start to the line's time; 0 for a line without one."""
    field = line.partition(" ")[0]
    if not field.startswith(TIME_FIELD):
        return 0.0
    return datetime.fromisoformat(field.removeprefix(TIME_FIELD) + "+00:00").timestamp() - began_unix_s
