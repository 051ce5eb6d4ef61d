"""The change log accepts connections and says nothing for a while: do calls still get their final answers?"""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import SLACK_S, Callers, ChangeLog, Record, RouterProcess, Switch, run, settings

HOLD_S = 11.5  # site file: hold_s = [10, 13]
RATE = 9.0  # 71 calls a second over 8 centres
WAIT_S = 3.0  # site file: try_share = [0.3, 0.4] of the deadline of 9 s
ANSWER_GRACE_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing
SILENT_AT = 10.0
SILENT_S = float(os.environ.get("SILENT_S", "8"))
INTO_POLL_S = 0.97  # after a request; the router asks to be answered within a second
DIAL_UNTIL = SILENT_AT + SILENT_S + 10.0
END_AT = DIAL_UNTIL + WAIT_S + ANSWER_GRACE_S + 0.5


class SilentLog(ChangeLog):
    """A change log that can fall silent: it takes connections and requests, and answers when it is back."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.speaks = asyncio.Event()
        self.speaks.set()
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.record.write("changelog", f"connection {self.connections} opened")
        await super().serve(reader, SpeakingWriter(self, writer))  # type: ignore[arg-type]


class SpeakingWriter:
    """Holds back what is written while the log is silent."""

    def __init__(self, log: SilentLog, writer: asyncio.StreamWriter) -> None:
        self.log, self.writer = log, writer
        self.waiting: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.waiting.append(data)

    async def drain(self) -> None:
        await self.log.speaks.wait()
        for data in self.waiting:
            self.writer.write(data)
        self.waiting.clear()
        await self.writer.drain()

    def close(self) -> None:
        self.writer.close()


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def main(record: Record, trouble: bool) -> int:
    log = SilentLog(record)
    await log.start()
    switches = [Switch(record, f"s-{number}", number, HOLD_S) for number in (1, 2, 3, 4)]
    for switch in switches:
        await switch.start()
    log.publish(True, *(switch.entry("ready") for switch in switches))
    router = RouterProcess(record, "n0", settings(0, 5, HOLD_S), log.address)
    callers = Callers(record, router.listen)
    try:
        router.start(log.known())
        if not await router.wait_ready(callers):
            return 2
        dialling = asyncio.create_task(callers.dial_at(RATE, [1, 2, 3, 4], DIAL_UNTIL, lambda: True))
        if trouble:
            await asyncio.sleep(SILENT_AT - record.now())
            log.asked.clear()
            await log.asked.wait()
            await asyncio.sleep(INTO_POLL_S)
            record.note("the change log falls silent")
            log.speaks.clear()
            await asyncio.sleep(SILENT_S)
            record.note("the change log speaks again")
            log.speaks.set()
        await asyncio.sleep(END_AT - record.now())
        dialling.cancel()
        assert router.process is not None
        before = cpu_s(router.process.pid) if router.running else 0.0
        await asyncio.sleep(1.0)
        if router.running:
            record.note(
                f"processor time of the router in the last second: {cpu_s(router.process.pid) - before:.2f} s"
            )
        lost = twice = 0
        for call in callers.calls.values():
            limit = call.at + call.wait_s + ANSWER_GRACE_S + SLACK_S
            if len(call.answers) > 1:
                twice += 1
                record.write("rule", f"{call.name}: {len(call.answers)} final answers")
            if not call.answers or call.answers[0][0] > limit:
                lost += 1
                when = f"at {call.answers[0][0]:.3f}" if call.answers else "never"
                record.write(
                    "rule", f"{call.name}: sent at {call.at:.3f}, due by {limit:.3f}, answered {when}"
                )
        answered = max((call.answers[0][0] for call in callers.calls.values() if call.answers), default=0.0)
        record.note(
            f"{len(callers.calls)} calls placed, {lost} without a final answer in time, {twice} with two; "
            f"the last answer came at {answered:.3f}"
        )
        if router.running:
            router.signal(signal.SIGTERM)
            if not await router.wait_exit(3.7):
                record.note("n0: still runs 3.7 s after SIGTERM")
        return 1 if lost or twice else 0
    finally:
        record.write("n0", "log:\n" + re.sub(r"(?m)^.*event=connection_opened.*\n", "", router.logs()))
        router.close()
        callers.close()
        for switch in switches:
            switch.stop()


if __name__ == "__main__":
    sys.exit(run(main, __file__))
