"""A fleet of stand-in switches in a separate process, so that stalls of the test's process do not affect it.

It checks the rules that are visible at the switches: a single attempt in flight, the wait for a release,
drains and the number of attempts. It also records when set-ups reach each switch. It shares no code with the
router except the codec of JSON lines.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from collections import defaultdict
from multiprocessing.connection import Connection
from typing import Any

from rowanmast.lab.simulated import SimulatedChangeLog
from rowanmast.net import jsonlines

RELEASE_GUARD_S = 0.2  # before an attempt if the last one timed out, was reset or cancelled
DRAIN_GRACE_S = 2.0
ANSWER_DELAY_S = 0.01


class SwitchRuleChecker:
    """Tracks the calls at all switches of the fleet and records every breach of a rule seen there."""

    def __init__(self) -> None:
        self.in_flight: dict[str, str] = {}  # call: switch of its current attempt
        self.standing: dict[str, str] = {}  # call: switch at which it stands
        self.retry_not_before: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.arrivals: dict[str, list[float]] = defaultdict(list)  # by switch: when set-ups reached it
        self.attempts: dict[str, int] = defaultdict(int)
        self.retries = 0
        self.violations: list[str] = []

    def set_up_received(self, switch: str, call: str) -> None:
        """A set-up reached a switch: checks the rules on attempts."""
        now = time.monotonic()
        self.arrivals[switch].append(now)
        self.attempts[call] += 1
        self.retries += self.attempts[call] > 1
        if call in self.in_flight or call in self.standing:
            self.violations.append(f"two attempts in flight for {call}")
        if now < self.retry_not_before.get(call, 0.0):
            early = self.retry_not_before[call] - now
            self.violations.append(f"{call} retried {early * 1000:.1f} ms too early")
        if now > self.draining_since.get(switch, now) + DRAIN_GRACE_S:
            self.violations.append(f"sent to {switch}, which drains")
        if self.attempts[call] > 6:
            self.violations.append(f"too many attempts for {call}")
        self.in_flight[call] = switch

    def ended(self, call: str, unconfirmed: bool) -> None:
        """An attempt or call ended; `unconfirmed` if its release must be awaited before a retry."""
        was = self.in_flight.pop(call, None) or self.standing.pop(call, None)
        if was is not None and unconfirmed:
            self.retry_not_before[call] = time.monotonic() + RELEASE_GUARD_S


class FleetSwitch:
    """A switch that accepts set-ups and, if `answers_calls`, answers them."""

    def __init__(self, name: str, number: int, checker: SwitchRuleChecker, hold_s: float) -> None:
        self.name, self.number, self.checker, self.hold_s = name, number, checker, hold_s
        self.answers_calls = True
        self.connections: set[FleetSwitchConnection] = set()
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: FleetSwitchConnection(self), *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def reset(self) -> None:
        """Aborts every connection, which ends the set-ups on them."""
        for connection in list(self.connections):
            connection.transport.abort()

    def stop(self) -> None:
        """Stops listening, aborts every connection and ends all calls."""
        self.server.close()
        self.reset()
        for call, switch_name in list(self.checker.standing.items()):
            if switch_name == self.name:
                self.checker.ended(call, unconfirmed=True)

    def entry(self, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
        """The switch as the change log lists it."""
        where = "{}:{}".format(*self.address)
        return {
            "host": self.name,
            "dial": where,
            "site": "east",
            "block": self.number,
            "health": health,
            "born_ms": born_ms,
        }


class FleetSwitchConnection(asyncio.Protocol):
    """One connection of a router to a switch of the fleet."""

    def __init__(self, switch: FleetSwitch) -> None:
        self.switch, self.checker = switch, switch.checker
        self.parser = jsonlines.Parser()
        self.unanswered: set[str] = set()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.switch.connections.add(self)
        self.send("status", "", {"load": "x0:900;x1:900"})

    def connection_lost(self, exc: Exception | None) -> None:
        self.switch.connections.discard(self)
        for call in self.unanswered:
            self.checker.ended(call, unconfirmed=True)

    def send(self, msg: str, call: str, attrs: dict[str, str] | None = None, **more: Any) -> None:
        if not self.transport.is_closing():
            self.transport.write(jsonlines.encode(msg, call, attrs or {}, **more))

    def data_received(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "open":
                self.checker.set_up_received(self.switch.name, line.sid)
                self.unanswered.add(line.sid)
                if self.switch.answers_calls:
                    asyncio.get_running_loop().call_later(ANSWER_DELAY_S, self.stand, line.sid)
            elif line.msg == "close":
                self.unanswered.discard(line.sid)
                self.checker.ended(line.sid, unconfirmed=True)

    def stand(self, call: str) -> None:
        if call in self.unanswered and not self.transport.is_closing():
            self.unanswered.discard(call)
            self.checker.standing[call] = self.checker.in_flight.pop(call)
            self.send("ready", call, text=f"at {self.switch.name}")
            asyncio.get_running_loop().call_later(self.switch.hold_s, self.end_call, call)

    def end_call(self, call: str) -> None:
        if call in self.checker.standing:
            self.checker.ended(call, unconfirmed=False)
            self.send("close", call, code=16)


async def serve(numbers: list[int], hold_s: float, pipe: Connection) -> None:
    """Runs the fleet in its process and executes the commands that the test sends through the pipe."""
    loop = asyncio.get_running_loop()
    checker = SwitchRuleChecker()
    switches = {
        f"s{switch_number}": FleetSwitch(f"s{switch_number}", switch_number, checker, hold_s)
        for switch_number in numbers
    }
    change_log = SimulatedChangeLog()
    await change_log.start()
    for switch in switches.values():
        await switch.start()
    change_log.add(True, *(switch.entry() for switch in switches.values()))
    pipe.send(change_log.address)
    while True:
        command, *arguments = await loop.run_in_executor(None, pipe.recv)
        answer: Any = None
        if command == "stop":
            pipe.send(None)
            return
        if command == "report":
            answer = {
                "violations": checker.violations,
                "in_flight": len(checker.in_flight),
                "standing": len(checker.standing),
                "arrivals": dict(checker.arrivals),
                "retries": checker.retries,
                "attempts": dict(checker.attempts),
                "connections": {name: len(one.connections) for name, one in switches.items()},
            }
        elif command == "reset":
            switches[arguments[0]].reset()
        elif command == "mute":
            switches[arguments[0]].answers_calls = False
        elif command == "unmute":
            switches[arguments[0]].answers_calls = True
        elif command == "hold":
            for switch in switches.values():
                switch.hold_s = arguments[0]
        elif command == "remove_switch":
            switches[arguments[0]].stop()
            change_log.add(False, switches[arguments[0]].entry("gone"))
        elif command == "entries":
            answer = [one.entry() for one in switches.values()]
        elif command == "drain":
            switches[arguments[0]].checker.draining_since[arguments[0]] = time.monotonic()
            change_log.add(False, switches[arguments[0]].entry("draining"))
        elif command == "add_switch":  # a new switch, which has just started and is cold
            number = arguments[0]
            new = switches[f"s{number}"] = FleetSwitch(f"s{number}", number, checker, hold_s)
            await new.start()
            change_log.add(False, new.entry(born_ms=int(time.time() * 1000)))
        pipe.send(answer)


def main(numbers: list[int], hold_s: float, pipe: Connection) -> None:
    """Entry point of the fleet's process."""
    asyncio.run(serve(numbers, hold_s, pipe))


class Fleet:
    """The test's handle: starts the process, sends it commands and reads its report."""

    def __init__(self, numbers: list[int], hold_s: float = 0.2) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, child_pipe = context.Pipe()
        self.process = context.Process(target=main, args=(numbers, hold_s, child_pipe), daemon=True)

    def __enter__(self) -> Fleet:
        self.process.start()
        assert self.pipe.poll(30), "the fleet did not start in time"
        self.changelog: tuple[str, int] = tuple(self.pipe.recv())
        return self

    def __exit__(self, *_: object) -> None:
        self.pipe.send(("stop",))
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()

    def command(self, command: str, *arguments: Any) -> Any:
        self.pipe.send((command, *arguments))
        assert self.pipe.poll(10), f"the fleet did not answer the command {command}"
        return self.pipe.recv()

    def report(self) -> dict[str, Any]:
        found: dict[str, Any] = self.command("report")
        return found
