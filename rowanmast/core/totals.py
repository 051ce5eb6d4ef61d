"""Counts the results of calls and attempts for the log, so that monitoring needs no line for each call."""

from __future__ import annotations

from collections import Counter


class Totals:
    """Totals since the start of the process, by name; the names are log keys in snake case."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.last_reported: Counter[str] = Counter()  # as of the last `changed_totals`

    def add(self, name: str) -> None:
        self.counts[name] += 1

    def changed_totals(self) -> dict[str, int]:
        """All totals, or an empty dict if none has changed since they were last returned."""
        if self.counts == self.last_reported:
            return {}
        self.last_reported = self.counts.copy()
        return dict(sorted(self.counts.items()))
