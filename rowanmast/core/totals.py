"""Counts of what became of calls and attempts, for the log: monitoring without a line for each call."""

from __future__ import annotations

from collections import Counter


class Totals:
    """Running totals since the start, by name; a name is made of words joined by underscores."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.last_reported: Counter[str] = Counter()  # as they were when `changes` was last asked

    def add(self, name: str) -> None:
        self.counts[name] += 1

    def changed_totals(self) -> dict[str, int]:
        """The totals, or nothing if they are as they were at the last report."""
        if self.counts == self.last_reported:
            return {}
        self.last_reported = self.counts.copy()
        return dict(sorted(self.counts.items()))
