"""The links to all switches, updated from the change log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Protocol

from rowanmast import interface as api
from rowanmast.core.ports import SwitchLink
from rowanmast.net.changelog import Change

Address = tuple[str, int]


class ManagedLink(SwitchLink, Protocol):
    """A switch link with the life cycle that the router manages."""

    address: Address  # from the change log; another address means another machine

    def remove(self, on_removal_done: Callable[[], None]) -> None:
        """Discovery has removed the switch; standing calls remain.

        `on_removal_done` is called when all have ended.
        """

    def restore(self) -> None:
        """Discovery lists the removed switch again while calls still stand there."""

    def abandon(self) -> None:
        """The switch has moved to another machine: ends the calls on this link and closes it."""

    def verify_alive(self) -> None:
        """Probes the switch, so that `survives_restart` is true only if it answers."""

    def close(self) -> None:
        """Closes all sockets."""


class SwitchLinks:
    """One link for each listed switch and for each removed switch with standing calls."""

    def __init__(self, own_exchange: int, make_link: Callable[[str, Address], ManagedLink]) -> None:
        self.own_exchange = own_exchange
        self.make_link = make_link
        self.by_exchange: dict[str, SwitchLink] = {}  # all links, for the ledger
        self.listed: dict[str, ManagedLink] = {}
        self.entries: dict[str, api.ListEntry] = {}  # of the listed switches
        self.removed: dict[str, ManagedLink] = {}

    def with_displaced_removed(self, change: Change) -> Change:
        """The change, which also removes each listed switch whose address another one takes in it.

        "A new peer may take the address of a peer that has gone" (PROTOCOL, "The change log"), and the change
        log may tell of the new one first.
        """
        mentioned = {entry.exchange for entry in change.exchange_list.entries}
        taken = {
            change.addresses[entry.exchange]
            for entry in change.exchange_list.entries
            if entry.exchange in change.addresses and entry.state is not api.ExchangeState.GONE
        }
        displaced = [
            replace(self.entries[exchange], state=api.ExchangeState.GONE)
            for exchange, link in self.listed.items()
            if link.address in taken and exchange not in mentioned
        ]
        if not displaced or change.exchange_list.kind is api.ListKind.FULL:
            return change
        entries = (*change.exchange_list.entries, *displaced)
        return replace(change, exchange_list=replace(change.exchange_list, entries=entries))

    def update(self, change: Change) -> None:
        """Adds and removes links according to a change from the change log."""
        if change.exchange_list.kind is api.ListKind.FULL:
            for exchange in self.listed.keys() - {entry.exchange for entry in change.exchange_list.entries}:
                self.remove(exchange)
        for entry in change.exchange_list.entries:
            address = change.addresses.get(entry.exchange)
            if entry.state is api.ExchangeState.GONE:
                self.remove(entry.exchange)
            elif entry.number != self.own_exchange and address is not None:
                self.add(entry.exchange, address)
                self.entries[entry.exchange] = entry

    def add(self, exchange: str, address: Address) -> None:
        """Makes the link to a listed switch; an existing one is kept unless its address has changed."""
        known = self.listed.get(exchange)
        if known is not None and known.address == address:
            return
        former = known or self.removed.pop(exchange, None)
        if former is not None and former is not known and former.address == address:
            self.listed[exchange] = former
            former.restore()
            return
        if former is not None:
            former.abandon()
        self.by_exchange[exchange] = self.listed[exchange] = self.make_link(exchange, address)

    def remove(self, exchange: str) -> None:
        """Keeps the link to a switch that is no longer listed until its standing calls have ended."""
        link = self.listed.pop(exchange, None)
        self.entries.pop(exchange, None)
        if link is not None:
            self.removed[exchange] = link
            link.remove(partial(self.drop_removed, exchange, link))

    def drop_removed(self, exchange: str, link: ManagedLink) -> None:
        """Deletes the link to a removed switch once its last call has ended."""
        if self.removed.get(exchange) is link:
            del self.removed[exchange]
            del self.by_exchange[exchange]

    def verify_alive(self) -> None:
        """Probes all switches."""
        for link in (*self.listed.values(), *self.removed.values()):
            link.verify_alive()

    def close(self) -> None:
        for link in (*self.listed.values(), *self.removed.values()):
            link.close()
        self.listed.clear()
        self.entries.clear()
        self.removed.clear()
        self.by_exchange.clear()
