"""Divides the file descriptors that the limits leave for links among the links to all switches. No I/O.

Every link may hold up to MAX_CONNECTIONS, fewer where there are many switches: callers' connections must not
fail because the fleet has grown. A link closes surplus connections once no call needs them. Beyond the limit
a link still gets a connection that a set-up or release waits for, in place of an idle one of another link.
"""

from __future__ import annotations

import logging
from typing import Protocol

MAX_CONNECTIONS = 4  # per switch: losing one fails only the set-ups that are in flight on it

log = logging.getLogger(__name__)


class BudgetedLink(Protocol):
    """A link as the budget sees it."""

    @property
    def connection_count(self) -> int:
        """The number of its connections, including one that is being opened."""

    @property
    def usable_count(self) -> int:
        """Those of them on which set-ups may be sent."""

    def budget_changed(self) -> None:
        """Closes connections that no call needs, or opens further ones, as the budget now allows."""

    def close_idle_connection(self) -> bool:
        """Closes a connection on which nothing is expected; False if there is none."""


class ConnectionBudget:
    """The connections that all links of one router may hold together."""

    def __init__(self, total: int | None = None) -> None:
        """`total` is None where only the limit of each link applies."""
        self.total = total
        self.links: dict[BudgetedLink, None] = {}  # in the order in which they were added

    @property
    def per_link(self) -> int:
        """How many connections each link may hold."""
        if self.total is None or not self.links:
            return MAX_CONNECTIONS
        return min(max(self.total // len(self.links), 1), MAX_CONNECTIONS)

    def add(self, link: BudgetedLink) -> None:
        before = self.per_link
        self.links[link] = None
        self.announce_change(before)

    def remove(self, link: BudgetedLink) -> None:
        before = self.per_link
        self.links.pop(link, None)
        self.announce_change(before)

    def announce_change(self, before: int) -> None:
        """Tells all links if their limit has changed, which happens a few times as a fleet grows."""
        if self.per_link != before:
            log.info("link_connections", extra={"links": len(self.links), "each": self.per_link})
            for link in list(self.links):
                link.budget_changed()

    def may_open(self, link: BudgetedLink, needed: bool) -> bool:
        """Whether the link may open a connection; `needed` if a set-up or release waits for it.

        Loops over all links, as connections are opened rarely.
        """
        if link.usable_count >= self.per_link or link.connection_count >= MAX_CONNECTIONS:
            return False
        if self.total is None or sum(one.connection_count for one in self.links) < self.total:
            return True
        return needed and any(other.close_idle_connection() for other in self.links if other is not link)
