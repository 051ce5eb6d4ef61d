"""The fleet grows; the links to its switches take the descriptors that the callers' connections need."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import parties2 as parties

SOCKETS = 256  # the router's limit
BEFORE, AFTER = 7, 47  # other switches before and after the growth
CONNECTIONS = 80  # of the callers, one after the other, two calls on each; a third of the limit are 85
WAIT_S = 3.0
LATE_S = 0.5 + 0.05  # an answer up to this long after the caller's wait breaks no rule


async def case(world: parties.World) -> None:
    for number in range(1, AFTER + 1):
        world.add_switch(number, hold_s=12.0)
    later = world.switches[BEFORE:]
    del world.switches[BEFORE:]
    await world.open(sockets=SOCKETS)
    if world.trouble:
        for switch in later:
            await switch.start()
        await world.log.add([one.entry for one in later])
    await asyncio.sleep(5.0)
    calls = []
    for number in range(CONNECTIONS):
        line = await world.callers.connect()
        for _ in range(2):
            calls.append(await world.callers.dial(1 + number % BEFORE, WAIT_S, line))
        await asyncio.sleep(0.04)
    held = world.router.descriptors()
    world.record.write("platform", f"the router holds {held} descriptors, its limit is {SOCKETS}")
    await asyncio.sleep(WAIT_S + LATE_S)
    unanswered = [call for call in calls if not call.answers]
    world.record.write("caller", f"{len(unanswered)} of {len(calls)} calls have no answer")
    for call in unanswered:
        if 1 not in call.places:  # the first set-up on a connection that is closed at once is excused
            how = "closed" if call.lost else "still open"
            world.breach(f"{call.sid}, written at {call.sent:.3f} s, has no answer; its connection is {how}")


parties.play(case)
