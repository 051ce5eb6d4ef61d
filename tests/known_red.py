"""Tests that are known to fail because of an open fault, as listed in KNOWN-RED.txt at the root.

Each line has the test's id, the cause and the issue, separated by ` | `. Listed tests run, but their failure
does not fail the suite; the summary names each with its outcome. No other failure is tolerated.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

LIST_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read_list(text: str) -> list[KnownFailure]:
    """Parses the list. Raises ValueError for too many lines and TypeError for a line of another form."""
    lines = [line.strip() for line in text.splitlines()]
    failures = [KnownFailure(*line.split(" | ")) for line in lines if line and not line.startswith("#")]
    if len(failures) > MAX_KNOWN_FAILURES:
        raise ValueError(f"KNOWN-RED.txt lists {len(failures)} tests; {MAX_KNOWN_FAILURES} are allowed")
    return failures


def known_failures() -> list[KnownFailure]:
    """The listed tests; none if the list does not exist."""
    return read_list(LIST_PATH.read_text()) if LIST_PATH.exists() else []


def mark_expected_failures(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected to fail."""
    by_test = {known.test: known for known in known_failures()}
    for item in items:
        known = by_test.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})"))


def report_outcomes(terminal: Any) -> None:
    """Writes a summary line with the outcome of each listed test."""
    for known in known_failures():
        outcomes = [
            outcome
            for outcome in ("xfailed", "xpassed")
            if any(report.nodeid == known.test for report in terminal.stats.get(outcome, []))
        ]
        state = {"xfailed": "failed", "xpassed": "passed"}.get("".join(outcomes), "not run")
        terminal.write_line(f"KNOWN RED, {state}: {known.test}: {known.cause} ({known.issue})")
