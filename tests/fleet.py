"""A fleet of stand-in switches in a process of its own, so that no host's stalls reach its clock.

It keeps the rules that can be seen from the switches' side: two attempts out, waits for a release, drains,
and the set-ups that reach each switch. It shares no code with the router but the codec of JSON lines.
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

RELEASE_GUARD_S = 0.2
DRAIN_GRACE_S = 2.0
ANSWER_DELAY_S = 0.01


class RuleChecker:
    """What all switches of the fleet see of the calls, and the rules that it breaks."""

    def __init__(self) -> None:
        self.in_flight: dict[str, str] = {}
        self.standing: dict[str, str] = {}
        self.retry_not_before: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.attempts: dict[str, int] = defaultdict(int)
        self.retries = 0
        self.violations: list[str] = []

    def set_up_received(self, switch: str, call: str) -> None:
        now = time.monotonic()
        self.arrivals[switch].append(now)
        self.attempts[call] += 1
        self.retries += self.attempts[call] > 1
        if call in self.in_flight or call in self.standing:
            self.violations.append(f"two attempts out for {call}")
        if now < self.retry_not_before.get(call, 0.0):
            early = self.retry_not_before[call] - now
            self.violations.append(f"{call} sent again {early * 1000:.1f} ms too early")
        if now > self.draining_since.get(switch, now) + DRAIN_GRACE_S:
            self.violations.append(f"sent to {switch}, which drains")
        if self.attempts[call] > 6:
            self.violations.append(f"too many attempts for {call}")
        self.in_flight[call] = switch

    def ended(self, call: str, unconfirmed: bool) -> None:
        was = self.in_flight.pop(call, None) or self.standing.pop(call, None)
        if was is not None and unconfirmed:
            self.retry_not_before[call] = time.monotonic() + RELEASE_GUARD_S


class FleetSwitch:
    """`answers`: takes set-ups and answers; else takes them and is silent."""

    def __init__(self, name: str, number: int, checker: RuleChecker, hold_s: float) -> None:
        self.name, self.number, self.checker, self.hold_s = name, number, checker, hold_s
        self.answers_calls = True
        self.connections: set[FleetSwitchConnection] = set()
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: FleetSwitchConnection(self), *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def reset(self) -> None:
        """Every connection breaks: the set-ups on them are given up."""
        for side in list(self.connections):
            side.transport.abort()

    def stop(self) -> None:
        self.server.close()
        self.reset()
        for call, at in list(self.checker.standing.items()):
            if at == self.name:
                self.checker.ended(call, unconfirmed=True)

    def entry(self, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
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
    loop = asyncio.get_running_loop()
    judge = RuleChecker()
    switches = {f"s{at}": FleetSwitch(f"s{at}", at, judge, hold_s) for at in numbers}
    changes = SimulatedChangeLog()
    await changes.start()
    for switch in switches.values():
        await switch.start()
    changes.add(True, *(switch.entry() for switch in switches.values()))
    pipe.send(changes.address)
    while True:
        word, *arguments = await loop.run_in_executor(None, pipe.recv)
        answer: Any = None
        if word == "stop":
            pipe.send(None)
            return
        if word == "report":
            answer = {
                "violations": judge.violations,
                "in_flight": len(judge.in_flight),
                "standing": len(judge.standing),
                "arrivals": dict(judge.arrivals),
                "retries": judge.retries,
                "connections": {name: len(one.connections) for name, one in switches.items()},
            }
        elif word == "reset":
            switches[arguments[0]].reset()
        elif word == "mute":
            switches[arguments[0]].answers_calls = False
        elif word == "unmute":
            switches[arguments[0]].answers_calls = True
        elif word == "hold":
            for switch in switches.values():
                switch.hold_s = arguments[0]
        elif word == "die":
            switches[arguments[0]].stop()
            changes.add(False, switches[arguments[0]].entry("gone"))
        elif word == "drain":
            switches[arguments[0]].checker.draining_since[arguments[0]] = time.monotonic()
            changes.add(False, switches[arguments[0]].entry("draining"))
        elif word == "add_switch":  # a new switch, cold
            number = arguments[0]
            new = switches[f"s{number}"] = FleetSwitch(f"s{number}", number, judge, hold_s)
            await new.start()
            changes.add(False, new.entry(born_ms=int(time.time() * 1000)))
        pipe.send(answer)


def main(numbers: list[int], hold_s: float, pipe: Connection) -> None:
    asyncio.run(serve(numbers, hold_s, pipe))


class Fleet:
    """The test's side: starts the process, tells it what shall break, and reads what it saw."""

    def __init__(self, numbers: list[int], hold_s: float = 0.2) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, far = context.Pipe()
        self.process = context.Process(target=main, args=(numbers, hold_s, far), daemon=True)

    def __enter__(self) -> Fleet:
        self.process.start()
        assert self.pipe.poll(30), "the fleet does not start"
        self.changelog: tuple[str, int] = tuple(self.pipe.recv())
        return self

    def __exit__(self, *_: object) -> None:
        self.pipe.send(("stop",))
        self.process.join(5)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()

    def command(self, word: str, *arguments: Any) -> Any:
        self.pipe.send((word, *arguments))
        assert self.pipe.poll(10), f"the fleet does not answer {word}"
        return self.pipe.recv()

    def report(self) -> dict[str, Any]:
        found: dict[str, Any] = self.command("report")
        return found
