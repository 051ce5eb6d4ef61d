"""Hundreds of clients at once must not take the router over its limit of memory."""

from __future__ import annotations

import asyncio

import pytest
from crowd import CROWD_S, CROWDS, play
from flood import RouterUnderLoad, background

from rowanmast.app.components import CALLER_BUFFER_BYTES
from rowanmast.app.daemon import DescriptorShares

MEMORY_MB = 192  # the platform's limit of a router
SOCKETS = 1024
# The kernel doubles the size that is set for a buffer; each connection has two.
KERNEL_MB = DescriptorShares.of(SOCKETS).callers * 2 * 2 * CALLER_BUFFER_BYTES / 2**20


@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_of_clients_stays_within_the_memory_and_others_are_served(crowd: str) -> None:
    # Heads of very many short fields took 225 MB, large set-ups 270 MB: the process would have been killed.
    with RouterUnderLoad(sockets=SOCKETS, memory_mb=MEMORY_MB) as router:
        router.fleet.command("mute", "s1")  # to which the crowd's set-ups go
        with background(play, router.address, crowd):
            seen = asyncio.run(router.call_politely(CROWD_S, places=(2, 3)))
        peak_mb = router.resident_mb()
    assert peak_mb + KERNEL_MB < MEMORY_MB
    assert seen.delays and not seen.unanswered
