"""An answer is lost with its connection; the call is set up a second time while it stands."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import parties2 as parties

CALLS = 4  # whose answers are lost, one at a time
APART_S = 1.5  # so that all resets fall within 6 s
LONGEST_S = 3.5  # a caller's wait, and some more


async def case(world: parties.World) -> None:
    first, second, third = (world.add_switch(number) for number in (1, 2, 3))
    await world.open()
    marked: set[str] = set()

    def loses(wire: parties.Wire, line: dict[str, Any], to_switch: bool) -> bool:
        """The network resets a connection while the answer of a marked call is on it, once for each."""
        if to_switch or line["msg"] != "ready" or line["sid"] not in marked:
            return False
        marked.remove(line["sid"])
        return world.trouble

    first.loses = loses
    for _ in range(CALLS):
        for switch in (first, second, third):
            await world.callers.dial(switch.number)
        call = await world.callers.dial(first.number)
        marked.add(call.sid)
        await asyncio.sleep(APART_S)
    await asyncio.sleep(LONGEST_S)
    for sid, stood_at in first.stood.items():
        over_at, how = first.over.get(sid, (world.record.now(), "nobody has released it yet"))
        for other in (second, third):
            for arrived_at, set_up in other.set_ups:
                if set_up == sid and stood_at < arrived_at < over_at:
                    world.breach(
                        f"{sid} stood at {first.name} from {stood_at:.3f} to {over_at:.3f} s ({how}), "
                        f"and was sent to {other.name} at {arrived_at:.3f} s"
                    )


parties.play(case)
