"""The budget of connections to switches, on real sockets and over all limits of descriptors."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import OpenGate, RecordingInbox, wait_until

from rowanmast import interface as api
from rowanmast.app.daemon import RESERVED_DESCRIPTORS, DescriptorShares
from rowanmast.core.ports import Attempt, AttemptFailed
from rowanmast.net import jsonlines
from rowanmast.net.connection_budget import MAX_CONNECTIONS, ConnectionBudget
from rowanmast.net.input_queue import now_us
from rowanmast.net.peers import JsonSwitchLink

SOCKETS = 256  # file descriptors of a small router
SWITCHES_BEFORE, SWITCHES_AFTER = 7, 47


class AnsweringSwitch(asyncio.Protocol):
    """A switch that answers every set-up and records its connections in `opened`."""

    def __init__(self, opened: list[AnsweringSwitch]) -> None:
        self.opened = opened
        self.parser = jsonlines.Parser()
        self.is_open = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.is_open = True
        self.opened.append(self)
        transport.write(jsonlines.encode("status", "", {"load": "x0:30;x1:30"}))

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False

    def data_received(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "open":
                self.transport.write(jsonlines.encode("ready", line.sid, {}, text="here"))


class LinkFleet:
    """Links to one listening socket, with a common budget."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self.budget = budget
        self.inbox = RecordingInbox()
        self.opened: list[AnsweringSwitch] = []
        self.links: list[JsonSwitchLink] = []

    @property
    def open_count(self) -> int:
        return sum(one.is_open for one in self.opened)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: AnsweringSwitch(self.opened), "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    def add_links(self, count: int) -> None:
        for _ in range(count):
            name = f"x{len(self.links) + 1}"
            link = JsonSwitchLink(
                name, self.address, self.inbox, OpenGate(), 1.0, Random(1), budget=self.budget
            )
            self.links.append(link)

    def set_up(self, link: JsonSwitchLink, call: str) -> None:
        link.set_up(Attempt(call, 0, link.exchange, "plain", "77", "text", now_us(), 10**15))

    async def settled(self, count: int) -> None:
        """Waits until `count` connections are open, and a little longer for any more."""
        await wait_until(lambda: self.open_count == count)
        await asyncio.sleep(0.3)
        assert self.open_count == count

    def close(self) -> None:
        for link in self.links:
            link.close()
        self.server.close()


def run(total: int | None, test: Callable[[LinkFleet], Any]) -> None:
    async def main() -> None:
        fleet = LinkFleet(ConnectionBudget(total))
        await fleet.start()
        await asyncio.wait_for(test(fleet), 15)
        fleet.close()

    asyncio.run(main())


def test_links_to_a_grown_fleet_leave_the_descriptors_of_callers_alone() -> None:
    # review/7: four connections to each of 47 switches left 56 of 160 calls without an answer.
    shares = DescriptorShares.of(SOCKETS)

    async def test(fleet: LinkFleet) -> None:
        fleet.add_links(SWITCHES_BEFORE)
        await fleet.settled(SWITCHES_BEFORE * MAX_CONNECTIONS)
        fleet.add_links(SWITCHES_AFTER - SWITCHES_BEFORE)
        await fleet.settled(SWITCHES_AFTER * (shares.links // SWITCHES_AFTER))
        assert fleet.open_count <= SOCKETS - shares.callers - RESERVED_DESCRIPTORS
        for link in fleet.links[1:]:
            link.close()
        await fleet.settled(MAX_CONNECTIONS)  # a fleet that shrinks gives its connections back

    run(shares.links, test)


def test_a_surplus_connection_stays_open_until_the_calls_set_up_on_it_have_ended() -> None:
    async def test(fleet: LinkFleet) -> None:
        fleet.add_links(1)
        await fleet.settled(MAX_CONNECTIONS)
        (link,) = fleet.links
        calls = [f"c{number}" for number in range(MAX_CONNECTIONS)]
        for call in calls:
            fleet.set_up(link, call)
        await wait_until(lambda: len(link.liveness.by_call) == MAX_CONNECTIONS)
        fleet.add_links(1)
        await asyncio.sleep(0.3)
        assert len(link.connections) == MAX_CONNECTIONS
        for call in calls:
            link.release(call, 16)
        await wait_until(lambda: len(link.connections) == fleet.budget.per_link == 2)

    run(MAX_CONNECTIONS, test)


def test_a_reachability_check_opens_a_connection_and_replaces_an_unused_one() -> None:
    async def test(fleet: LinkFleet) -> None:
        fleet.add_links(1)
        await fleet.settled(MAX_CONNECTIONS)
        (link,) = fleet.links
        link.check_reachability()
        await wait_until(lambda: len(fleet.opened) == MAX_CONNECTIONS + 1)
        await fleet.settled(MAX_CONNECTIONS)
        for number in range(MAX_CONNECTIONS):
            fleet.set_up(link, f"c{number}")
        await wait_until(lambda: len(link.liveness.by_call) == MAX_CONNECTIONS)
        link.check_reachability()  # every connection carries a call: none is closed
        await fleet.settled(MAX_CONNECTIONS + 1)
        link.release("c3", 16)  # now one of the five is unused
        await fleet.settled(MAX_CONNECTIONS)

    run(None, test)


def test_a_link_without_a_connection_takes_an_idle_one_of_another_link() -> None:
    async def test(fleet: LinkFleet) -> None:
        fleet.add_links(3)
        await fleet.settled(2)
        fleet.set_up(fleet.links[0], "c0")
        (without,) = [link for link in fleet.links if not link.connections]
        fleet.set_up(without, "c1")
        await wait_until(lambda: "c1" in without.liveness.by_call)
        assert "c0" in fleet.links[0].liveness.by_call and fleet.open_count <= 3

    run(2, test)


def test_a_set_up_fails_at_once_if_no_connection_may_be_opened() -> None:
    async def test(fleet: LinkFleet) -> None:
        fleet.add_links(1)
        await fleet.settled(1)
        fleet.set_up(fleet.links[0], "c0")
        fleet.add_links(1)
        await wait_until(lambda: "c0" in fleet.links[0].liveness.by_call)
        fleet.inbox.take()
        fleet.set_up(fleet.links[1], "c1")
        assert fleet.inbox.take() == [AttemptFailed("x2", "c1", 0, api.Outcome.UNREACHED)]

    run(1, test)


@settings(derandomize=True, deadline=None)
@given(st.integers(64, 4096))
def test_the_shares_of_descriptors_stay_within_the_limit(limit: int) -> None:
    shares = DescriptorShares.of(limit)
    assert shares.callers >= limit // 3
    assert shares.callers + shares.links + RESERVED_DESCRIPTORS <= limit


@pytest.mark.parametrize("links", [0, 1, 2, 60, 1000])
def test_without_a_limit_every_link_may_hold_all_its_connections(links: int) -> None:
    budget = ConnectionBudget()
    budget.links = {object(): None for _ in range(links)}  # type: ignore[misc]
    assert budget.per_link == MAX_CONNECTIONS
