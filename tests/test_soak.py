"""A seeded soak of one router process: bad clients and faults of switches in turn, beside usual callers.

ROWANMAST_SOAK_S sets its length in seconds, ROWANMAST_SOAK_SEED its seed; both are in the test's output.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path

from crowd import CROWD_S, CROWDS, play
from flood import FLOOD_LEAD_S, FLOODS, Latencies, RouterUnderLoad, background, flood
from flood_peers import IAX_FLOODS, iax_flood
from test_departed_clients import send_and_leave

from rowanmast.lab.ports import free_address

SOAK_S = float(os.environ.get("ROWANMAST_SOAK_S", "60"))
SEED = int(os.environ.get("ROWANMAST_SOAK_SEED", "1"))
SWITCHES = 3
SOCKETS, MEMORY_MB = 1024, 192
FLOOD_S = 1.5
PAUSE_S = 0.5  # after each disturbance
SETTLE_S = 12.0  # idle connections and the ids of ended calls are forgotten by then
DESCRIPTORS_AT_REST = 60  # more than the links to all switches and the router's own need


class Soak:
    """The router, what usual callers see of it, and the disturbances that are drawn."""

    def __init__(self, router: RouterUnderLoad, draw: random.Random) -> None:
        self.router = router
        self.draw = draw
        self.played: list[str] = []
        self.kinds: list[Callable[[], None]] = [
            self.play_flood,
            self.play_iax_flood,
            self.play_crowd,
            self.play_departed_clients,
            self.play_resets,
        ]

    def play_flood(self) -> None:
        kind, reads = self.draw.choice(list(FLOODS)), self.draw.random() < 0.5
        self.played.append(f"flood: {kind}, answers read: {reads}")
        with background(flood, self.router.address, kind, FLOOD_S + FLOOD_LEAD_S, reads):
            time.sleep(FLOOD_S + FLOOD_LEAD_S)

    def play_iax_flood(self) -> None:
        kind = self.draw.choice(list(IAX_FLOODS))
        self.played.append(f"iax2 flood: {kind}")
        with background(iax_flood, self.router.iax_address, kind):
            time.sleep(FLOOD_S + FLOOD_LEAD_S)

    def play_crowd(self) -> None:
        crowd = self.draw.choice(list(CROWDS))
        self.played.append(f"crowd: {crowd}")
        with background(play, self.router.address, crowd):
            time.sleep(CROWD_S)

    def play_departed_clients(self) -> None:
        stay_s = self.draw.choice((0.0, 0.002, 0.02))
        self.played.append(f"clients that leave after {stay_s} s and come again")
        calls = [secrets.token_hex(8) for _ in range(100)]
        with contextlib.suppress(OSError):
            send_and_leave(self.router.address, calls, stay_s)
        with contextlib.suppress(OSError):
            send_and_leave(self.router.address, calls, 0.5)

    def play_resets(self) -> None:
        switch = f"s{self.draw.randint(1, SWITCHES)}"
        self.played.append(f"connections of {switch} are reset")
        for _ in range(3):
            self.router.fleet.command("reset", switch)
            time.sleep(0.3)

    async def run(self, seconds: float) -> Latencies:
        """Plays drawn disturbances one after the other while usual callers place calls."""
        callers = asyncio.create_task(self.router.call_politely(seconds))
        end = time.monotonic() + seconds - CROWD_S
        while time.monotonic() < end:
            await asyncio.to_thread(self.draw.choice(self.kinds))
            await asyncio.sleep(PAUSE_S)
        return await callers

    def descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.router.process.pid}/fd").iterdir()))


def test_usual_callers_are_served_and_nothing_grows_through_a_soak() -> None:
    router = RouterUnderLoad(switches=SWITCHES, sockets=SOCKETS, memory_mb=MEMORY_MB)
    router.iax_address = free_address()
    with router:
        soak = Soak(router, random.Random(SEED))
        try:
            seen = asyncio.run(soak.run(SOAK_S))
        finally:
            print(f"soak of {SOAK_S} s, seed {SEED}:", *soak.played, sep="\n  ")
        time.sleep(SETTLE_S)
        peak_mb, descriptors = router.resident_mb(), soak.descriptors()
        report = router.fleet.report()
        log = router.log_text()
    print(
        f"{len(seen.delays)} calls, median {seen.median:.4f} s, worst {seen.worst:.3f} s, peak {peak_mb} MB"
    )
    assert seen.delays and not seen.unanswered and not seen.closed_in_call
    assert not report["violations"] and not report["in_flight"] and not report["standing"]
    assert "level=error" not in log
    assert peak_mb < MEMORY_MB
    assert descriptors < DESCRIPTORS_AT_REST
