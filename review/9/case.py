"""A switch vanishes where the settings forbid probes; its callers are never told, though it is listed `gone`.

PROBES=1 plays the same with settings that allow probes: then the callers are told.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import parties2 as parties

CALLS = 4
HOLD_S = 12.0
NOTICED_S = 5.0  # after which the change log says that the switch is gone; 4.7 to 11 s in the site file
TOLD_S = 1.0 + 0.05  # from the release by the switch
UNSENT_TOLD_S = 8.0 + 0.05  # from the end of a call whose release could not be sent


async def case(world: parties.World) -> None:
    switch = world.add_switch(1, hold_s=HOLD_S)
    for number in (2, 3, 4):  # the one that vanishes is a quarter of them
        world.add_switch(number)
    await world.open(probes=os.environ.get("PROBES") == "1")
    calls = [await world.callers.dial(1) for _ in range(CALLS)]
    await asyncio.gather(*(call.done.wait() for call in calls))
    if any(call.status != 200 for call in calls):
        raise parties.CannotRun("a call did not stand")
    await asyncio.sleep(2.0)
    if world.trouble:
        switch.vanish()
        await asyncio.sleep(NOTICED_S)
        await world.log.add([switch.entry | {"health": "gone"}])
    while len(switch.over) < CALLS:
        await asyncio.sleep(0.1)
    await asyncio.sleep(UNSENT_TOLD_S + 4.0)
    for call in calls:
        over_at, how = switch.over[call.sid]
        bound = TOLD_S if how == "its end" else UNSENT_TOLD_S
        if call.released_at is None or call.released_at > over_at + bound:
            world.breach(f"{call.sid} ended at {over_at:.3f} s ({how}); caller told at {call.released_at}")


parties.play(case)
