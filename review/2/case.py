"""A planned restart while a switch drains: are the callers of its calls released once it has stopped?"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import SLACK_S, Callers, ChangeLog, Record, RouterProcess, Switch, run, settings

HOLD_S = 11.5  # site file: hold_s = [10, 13]
RATE = 9.0  # 71 calls a second over 8 centres
DRAIN_S = 8.0  # site file: deploy, extra = [6.7, 9.7]
NOTICE_S = 2.0  # site file: notice_s = [0.95, 4.1]
SIGKILL_S = 3.7  # earliest after SIGTERM: 3 s (a longer deadline counts as 3 s) plus 0.7 s
UNSENT_RELEASE_S = 8.0  # the rule: no release could be sent
SENT_RELEASE_S = 1.0  # the rule: released by the switch or the router

# POLITE=1: the switch stops while no process of the router is up, and would say so if one were connected.
# Else its process dies some seconds after the new process of the router is up.
POLITE = os.environ.get("POLITE") == "1"
RESTART_AFTER_S = 1.0 if POLITE else 0.0

SWITCHES = [1, 2, 3, 4, 5, 6, 7]  # site file: servers = [6, 8]; with the router's own, 0
DRAIN_AT = 14.0
STOP_AT = DRAIN_AT + DRAIN_S
TERM_AT = STOP_AT - SIGKILL_S - 0.4 if POLITE else DRAIN_AT + 1.0
END_AT = STOP_AT + UNSENT_RELEASE_S + 2.0


async def main(record: Record, trouble: bool) -> int:
    log = ChangeLog(record)
    await log.start()
    switches = [Switch(record, f"s-{number}", number, HOLD_S) for number in SWITCHES]
    draining = switches[0]
    for switch in switches:
        await switch.start()
    log.publish(True, *(switch.entry("ready") for switch in switches))
    router = RouterProcess(record, "n0", settings(0, len(SWITCHES) + 1, HOLD_S), log.address)
    callers = Callers(record, router.listen)

    ended: dict[str, tuple[float, float]] = {}  # call -> (when it was over, latest release to its caller)
    cut: set[str] = set()

    def over(call: str, how: str) -> None:
        if how == "attempt":
            return
        limit = SENT_RELEASE_S if how in ("released", "router") else UNSENT_RELEASE_S
        ended[call] = (record.now(), record.now() + limit + SLACK_S)
        if how == "cut":
            cut.add(call)

    for switch in switches:
        switch.on_ended = over
    open_for_calls = False
    down: list[tuple[float, float]] = []
    try:
        router.start(log.known())
        if not await router.wait_ready(callers):
            return 2
        open_for_calls = True
        dialling = asyncio.create_task(callers.dial_at(RATE, SWITCHES, END_AT - 2.0, lambda: open_for_calls))
        if trouble:
            await asyncio.sleep(max(DRAIN_AT - record.now(), 0))
            record.note("s-1 drains")
            log.publish(False, draining.entry("draining"))
            await asyncio.sleep(max(TERM_AT - record.now(), 0))
            router.signal(signal.SIGTERM)
            went_down = record.now()
            await asyncio.sleep(0.4)  # new connections keep arriving for 0.2 to 0.4 s
            open_for_calls = False
            if not await router.wait_exit(SIGKILL_S - 0.4):
                router.signal(signal.SIGKILL)
                await router.wait_exit(1.0)
            if POLITE:
                await asyncio.sleep(max(STOP_AT - record.now(), 0))
                draining.stop_politely()
            await asyncio.sleep(max(went_down + SIGKILL_S + RESTART_AFTER_S - record.now(), 0))
            router.start(log.known())
            if not await router.wait_ready(callers):
                return 2
            down.append((went_down, record.now()))
            open_for_calls = True
            await callers.connect()
            if not POLITE:
                if record.now() > STOP_AT:
                    record.note("the new process was not up before the switch stopped")
                    return 2
                await asyncio.sleep(STOP_AT - record.now())
                draining.die()
            await asyncio.sleep(NOTICE_S)
            log.publish(False, draining.entry("gone"))
        await asyncio.sleep(max(END_AT - record.now(), 0))
        dialling.cancel()
        await asyncio.sleep(SENT_RELEASE_S + 2 * SLACK_S)
        if not router.running:
            record.note("the router is not running")
            return 1
        return judge(record, callers, ended, cut, down)
    finally:
        record.write("n0", "log:\n" + router.logs())
        router.close()
        callers.close()
        for switch in switches:
            switch.stop()


def judge(
    record: Record,
    callers: Callers,
    ended: dict[str, tuple[float, float]],
    cut: set[str],
    down: list[tuple[float, float]],
) -> int:
    late: list[str] = []
    stood = 0
    for name, call in callers.calls.items():
        if not any(status == 200 for _, status, _ in call.answers):
            continue
        stood += 1
        if name not in ended:
            continue
        over_at, limit = ended[name]
        # While no process of the router was up, nobody could release: that time is not counted.
        limit += sum(max(0.0, to - max(since, over_at)) for since, to in down if over_at < to)
        if limit > record.now() and call.released_at is None:
            continue
        if call.released_at is None or call.released_at > limit:
            when = "never" if call.released_at is None else f"at {call.released_at:.3f}"
            late.append(name)
            record.write(
                "rule",
                f"{name}: answered at {call.answers[0][0]:.3f}, over at {over_at:.3f} "
                f"({'cut' if name in cut else 'released'}), due by {limit:.3f}, released {when}",
            )
    left = [name for name in late if callers.calls[name].released_at is None]
    record.note(
        f"{len(callers.calls)} calls placed, {stood} stood, {len(cut)} were cut when the switch stopped, "
        f"{len(late)} not released in time, {len(left)} of these never"
    )
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(run(main, __file__))
