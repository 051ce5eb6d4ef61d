"""A stand-in switch that speaks JSON lines, reached through a fault proxy, and can crash, vanish or hang."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import cast

from rowanmast.causes import NORMAL_CLEARING
from rowanmast.net import jsonlines
from rowanmast.trials.proxy import FaultProxy
from rowanmast.trials.watch import Watch

NO_CIRCUIT = 34


class Condition(Enum):
    """What the switch's process does."""

    WELL = "well"
    HUNG = "hung"  # takes connections and bytes, does nothing
    DEAD = "dead"


@dataclass(slots=True)
class SwitchCall:
    """A call at the switch, from its set-up to its end."""

    side: SwitchSide
    text: str
    stands: bool = False
    timer: asyncio.TimerHandle | None = None


class TrialSwitch:
    """One switch process: set-ups take `work_s`, calls stand for `hold_s` in the mean."""

    def __init__(
        self,
        name: str,
        number: int,
        watch: Watch,
        clock: Callable[[], float],
        *,
        hold_s: float = 2.0,
        work_s: float = 0.01,
        circuits: int = 200,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.number = number
        self.watch = watch
        self.clock = clock
        self.hold_s = hold_s
        self.work_s = work_s
        self.circuits = circuits
        self.random = Random(seed * 1009 + number)
        self.proxy = FaultProxy()
        self.proxy.observe = lambda: RouterObserver(self)
        self.calls: dict[str, SwitchCall] = {}
        self.unsent: list[str] = []  # releases that found no connection
        self.unheard: dict[str, SwitchSide] = {}  # releases that the router has not acknowledged
        self.sides: list[SwitchSide] = []
        self.condition = Condition.WELL
        self.unread: list[tuple[SwitchSide, bytes]] = []  # what came while it hung
        self.server: asyncio.Server | None = None
        self.taken = 0
        self.arrived: set[str] = set()  # calls whose set-up has reached the process

    async def start(self) -> None:
        """Starts the process, and the proxy in front of it. Raises OSError."""
        self.condition = Condition.WELL
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchSide(self), "127.0.0.1", 0)
        self.proxy.target = self.server.sockets[0].getsockname()
        if self.proxy.listener is None:
            self.proxy.start()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.proxy.close()

    # Faults

    def crash(self) -> None:
        """The process dies: its connections are reset, new ones are refused."""
        self.die(release_sent=False)
        self.proxy.refuse()
        self.proxy.reset()

    def vanish(self) -> None:
        """The machine is gone without a sign: its connections stay open and silent, none comes up."""
        self.proxy.silence()
        self.die(release_sent=False)

    def die(self, release_sent: bool) -> None:
        self.condition = Condition.DEAD
        if self.server is not None:
            self.server.close()
        now = self.clock()
        for name, call in self.calls.items():
            if call.timer is not None:
                call.timer.cancel()
            if call.stands:
                self.watch.ended(now, self.name, name, release_sent)
            else:
                self.watch.attempt_ended(now, self.name, name, proven=False)
        for name in (*self.unsent, *self.unheard):
            self.watch.release_failed(name)
        self.unheard.clear()
        self.calls.clear()
        self.unsent.clear()
        self.unread.clear()
        sides, self.sides = self.sides, []
        for side in sides:
            side.transport.abort()

    async def restart(self, keep_old_silent: bool) -> None:
        """A new process at the same address. Old connections stay silent for good, or are reset."""
        if keep_old_silent:
            self.proxy.abandon()
        else:
            self.proxy.reset()
        await self.start()
        self.proxy.heal()

    def hang(self) -> None:
        self.condition = Condition.HUNG

    def recover(self) -> None:
        """Goes on after a hang with all that came meanwhile."""
        if self.condition is not Condition.HUNG:
            return
        self.condition = Condition.WELL
        unread, self.unread = self.unread, []
        for side, data in unread:
            side.data_received(data)
        for side in self.sides:
            side.greet()
        self.send_releases()

    # Calls

    def reachable(self) -> bool:
        return self.condition is Condition.WELL and not self.proxy.is_silent

    def opened(self, side: SwitchSide, line: jsonlines.Line) -> None:
        self.arrived.add(line.sid)
        self.watch.set_up_arrived(self.clock(), self.name, line.sid)
        if len(self.calls) >= self.circuits:
            self.watch.attempt_ended(self.clock(), self.name, line.sid, proven=True)
            side.write("close", line.sid, {"note": "all_trunks_busy"}, code=NO_CIRCUIT)
            return
        self.taken += 1
        call = self.calls[line.sid] = SwitchCall(side, f"{line.text} at {self.name}")
        work = self.work_s * self.random.uniform(0.5, 1.5)
        call.timer = asyncio.get_running_loop().call_later(work, self.stand, line.sid)

    def stand(self, name: str) -> None:
        call = self.calls.get(name)
        if call is None:
            return
        if not self.reachable():  # it answers once it can
            call.timer = asyncio.get_running_loop().call_later(self.work_s, self.stand, name)
            return
        call.stands = True
        self.watch.stood(self.clock(), self.name, name, call.text)
        call.side.write("ready", name, {}, text=call.text)
        hold = self.random.expovariate(1 / self.hold_s)
        call.timer = asyncio.get_running_loop().call_later(hold, self.finish, name)

    def finish(self, name: str) -> None:
        """The call ends; its release goes out on its own connection, another open one or the next one."""
        call = self.calls.pop(name, None)
        if call is None:
            return
        side = call.side if call.side in self.sides else next(iter(self.sides), None)
        sent = side is not None and self.reachable()
        told = sent and not cast(SwitchSide, side).abandoned()
        self.watch.ended(self.clock(), self.name, name, told)
        if sent and side is not None:
            side.release(name)
        else:
            self.unsent.append(name)

    def send_releases(self) -> None:
        if not self.sides or not self.reachable():
            return
        for name in self.unsent:
            self.watch.ended(self.clock(), self.name, name, release_sent=True)
            self.sides[-1].release(name)
        self.unsent.clear()

    def closed(self, name: str) -> None:
        """The router gives up a set-up or releases a call."""
        call = self.calls.pop(name, None)
        if call is None:
            return
        if call.timer is not None:
            call.timer.cancel()
        if call.stands:
            self.watch.taken_back(self.clock(), self.name, name)
        else:
            self.watch.attempt_ended(self.clock(), self.name, name, proven=False)

    def side_lost(self, side: SwitchSide) -> None:
        """Set-ups of a connection that closes are given up; calls that stand belong to none."""
        if side not in self.sides:
            return
        self.sides.remove(side)
        self.unread = [(other, data) for other, data in self.unread if other is not side]
        for name in [name for name, told in self.unheard.items() if told is side]:
            del self.unheard[name]
            self.unsent.append(name)
            self.watch.release_failed(name)
        for name, call in list(self.calls.items()):
            if call.side is side and not call.stands:
                self.closed(name)

    def load(self) -> str:
        return f"x0:{self.circuits - len(self.calls)};x1:{self.circuits};queue:0"


class RouterObserver:
    """Tells the watch when a router gives up a set-up, however late the switch hears of it."""

    def __init__(self, switch: TrialSwitch) -> None:
        self.switch = switch
        self.parser = jsonlines.Parser()
        self.set_ups: set[str] = set()

    def sent(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "open":
                self.set_ups.add(line.sid)
            elif line.msg == "close":
                self.give_up(line.sid)

    def closed(self) -> None:
        for call in list(self.set_ups):
            self.give_up(call)

    def give_up(self, call: str) -> None:
        was_sent = call in self.set_ups
        self.set_ups.discard(call)
        arrived = not was_sent or call in self.switch.arrived
        self.switch.watch.given_up(self.switch.clock(), self.switch.name, call, arrived)


class SwitchSide(asyncio.Protocol):
    """One connection to the switch, which comes from its proxy."""

    def __init__(self, switch: TrialSwitch) -> None:
        self.switch = switch
        self.parser = jsonlines.Parser()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.switch.sides.append(self)
        if self.switch.condition is Condition.WELL:
            self.greet()
            self.switch.send_releases()

    def greet(self) -> None:
        self.write("status", "", {"load": self.switch.load()})

    def abandoned(self) -> bool:
        """Whether the proxy forwards nothing on it any more."""
        port = self.transport.get_extra_info("peername")[1]
        for pair in self.switch.proxy.pairs:
            target = pair.target.transport
            if target is not None and target.get_extra_info("sockname")[1] == port:
                return pair.abandoned
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.switch.side_lost(self)

    def release(self, call: str) -> None:
        self.switch.unheard[call] = self
        self.write("close", call, {"load": self.switch.load()}, code=NORMAL_CLEARING)

    def write(self, msg: str, sid: str, attrs: dict[str, str], **more: str | int) -> None:
        if not self.transport.is_closing():
            self.transport.write(jsonlines.write(msg, sid, attrs, **more))

    def data_received(self, data: bytes) -> None:
        if self.switch.condition is Condition.HUNG:
            self.switch.unread.append((self, data))
            return
        for line in self.parser.feed(data):
            match line.msg:
                case "open":
                    self.switch.opened(self, line)
                case "close":
                    self.switch.closed(line.sid)
                case "closed":
                    self.switch.unheard.pop(line.sid, None)
                case "probe":
                    self.write("probed", line.sid, {"load": self.switch.load()}, code=1)
