"""The links to all switches, kept in step with what discovery tells of them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from rowanmast import interface as api
from rowanmast.core.ports import SwitchLink
from rowanmast.net.changelog import Change

Address = tuple[str, int]


class ManagedLink(SwitchLink, Protocol):
    """A switch link as the assembly holds it."""

    address: Address  # as the change log gives it; a new one tells of a new machine

    def remove(self, on_empty: Callable[[], None]) -> None:
        """Removed by discovery. Calls that stand may stay; `on_empty` is called after them."""

    def restore(self) -> None:
        """Discovery lists it again, before all was over."""

    def abandon(self) -> None:
        """Its machine is another one now: what stands there is over."""

    def verify_alive(self) -> None:
        """Asks for a sign of life, so that `survives_restart` is true only if one comes."""

    def close(self) -> None:
        """Lets go of every socket."""


class SwitchLinks:
    """One link for each switch listed, and for each removed one on which calls still stand."""

    def __init__(self, own_exchange: int, make_link: Callable[[str, Address], ManagedLink]) -> None:
        self.own_exchange = own_exchange
        self.make_link = make_link
        self.by_exchange: dict[str, SwitchLink] = {}  # all of them, as the ledger uses them
        self.listed: dict[str, ManagedLink] = {}
        self.removed: dict[str, ManagedLink] = {}

    def update(self, change: Change) -> None:
        if change.exchange_list.kind is api.ListKind.FULL:
            for exchange in self.listed.keys() - {entry.exchange for entry in change.exchange_list.entries}:
                self.remove(exchange)
        for entry in change.exchange_list.entries:
            address = change.addresses.get(entry.exchange)
            if entry.state is api.ExchangeState.GONE:
                self.remove(entry.exchange)
            elif entry.number != self.own_exchange and address is not None:
                self.add(entry.exchange, address)

    def add(self, exchange: str, address: Address) -> None:
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
        link = self.listed.pop(exchange, None)
        if link is not None:
            self.removed[exchange] = link
            link.remove(partial(self.drop_removed, exchange, link))

    def drop_removed(self, exchange: str, link: ManagedLink) -> None:
        """Nothing is left on the link of a switch that was removed."""
        if self.removed.get(exchange) is link:
            del self.removed[exchange]
            del self.by_exchange[exchange]

    def verify_alive(self) -> None:
        for link in (*self.listed.values(), *self.removed.values()):
            link.verify_alive()

    def close(self) -> None:
        for link in (*self.listed.values(), *self.removed.values()):
            link.close()
        self.listed.clear()
        self.removed.clear()
        self.by_exchange.clear()
