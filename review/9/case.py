"""The router is restarted, then a switch dies; nobody tells the callers whose calls stood there.

TROUBLE=switch lets the switch die without a restart before: then the callers are told.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import parties2 as parties

CALLS = 4
HOLD_S = 12.0
EXIT_S = 3.7  # SIGKILL comes no earlier than this after SIGTERM
TOLD_S = 1.0 + 0.05  # from the release by the switch
UNSENT_TOLD_S = 8.0 + 0.05  # from the end of a call whose release could not be sent


async def case(world: parties.World) -> None:
    switch = world.add_switch(1, hold_s=HOLD_S)
    world.add_switch(2)
    await world.open()
    calls = [await world.callers.dial(1) for _ in range(CALLS)]
    await asyncio.gather(*(call.done.wait() for call in calls))
    if any(call.status != 200 for call in calls):
        raise parties.CannotRun("a call did not stand")
    await asyncio.sleep(1.0)
    if world.trouble and os.environ.get("TROUBLE") != "switch":
        world.router.signal(signal.SIGTERM)
        if await world.router.wait_for_exit(EXIT_S) is None:
            world.router.signal(signal.SIGKILL)
            await world.router.wait_for_exit(1.0)
        world.router.start()
        await world.router.ready(world.callers)
    await asyncio.sleep(1.0)
    other = await world.callers.dial(
        2
    )  # the callers have a connection, and the router knows that they use it
    await other.done.wait()
    await asyncio.sleep(1.0)
    if world.trouble:
        switch.kill()
    while len(switch.over) < CALLS:
        await asyncio.sleep(0.1)
    await asyncio.sleep(UNSENT_TOLD_S + 1.0)
    for call in calls:
        over_at, how = switch.over[call.sid]
        bound = TOLD_S if how == "its end" else UNSENT_TOLD_S
        if call.released_at is None or call.released_at > over_at + bound:
            world.breach(f"{call.sid} ended at {over_at:.3f} s ({how}); caller told at {call.released_at}")


parties.play(case)
