"""A stand-in switch that speaks JSON lines behind a fault proxy and can crash, vanish or hang."""

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
from rowanmast.trials.rule_checker import RuleChecker

CAUSE_NO_CIRCUIT = 34


class ProcessState(Enum):
    """State of the switch's process."""

    RUNNING = "running"
    HUNG = "hung"  # accepts connections and bytes but does not process them
    DEAD = "dead"


@dataclass(slots=True)
class SwitchCall:
    """A call at the switch, from its set-up to its end."""

    connection: SwitchConnection
    text: str
    stands: bool = False
    timer: asyncio.TimerHandle | None = None


class TrialSwitch:
    """One switch process: a set-up takes `processing_s` on average, a call stands for `hold_s` on average."""

    def __init__(
        self,
        name: str,
        number: int,
        checker: RuleChecker,
        clock: Callable[[], float],
        *,
        hold_s: float = 2.0,
        processing_s: float = 0.01,
        circuits: int = 200,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.number = number
        self.checker = checker
        self.clock = clock
        self.hold_s = hold_s
        self.processing_s = processing_s
        self.circuits = circuits
        self.random = Random(seed * 1009 + number)
        self.proxy = FaultProxy()
        self.proxy.make_observer = lambda: RouterObserver(self)
        self.calls: dict[str, SwitchCall] = {}
        self.unsent_releases: list[str] = []  # calls whose release could not be sent or was not acknowledged
        # By call: the connection on which its release was sent
        self.unacknowledged_releases: dict[str, SwitchConnection] = {}
        self.connections: list[SwitchConnection] = []
        self.state = ProcessState.RUNNING
        self.unread: list[tuple[SwitchConnection, bytes]] = []  # received while the process hung
        self.server: asyncio.Server | None = None
        self.accepted = 0
        self.arrived_set_ups: set[str] = set()  # calls whose set-up has ever reached the switch

    async def start(self) -> None:
        """Starts the process and the proxy in front of it. Raises OSError."""
        self.state = ProcessState.RUNNING
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: SwitchConnection(self), "127.0.0.1", 0)
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
        self.terminate(release_sent=False)
        self.proxy.refuse()
        self.proxy.reset()

    def vanish(self) -> None:
        """The machine disappears: its connections stay open and silent, new ones are not accepted."""
        self.proxy.silence()
        self.terminate(release_sent=False)

    def terminate(self, release_sent: bool) -> None:
        """Ends the process and all its calls; releases that were not delivered are lost."""
        self.state = ProcessState.DEAD
        if self.server is not None:
            self.server.close()
        now = self.clock()
        for name, call in self.calls.items():
            if call.timer is not None:
                call.timer.cancel()
            if call.stands:
                self.checker.ended(now, self.name, name, release_sent)
            else:
                self.checker.attempt_ended(now, self.name, name, confirmed=False)
        for name in (*self.unsent_releases, *self.unacknowledged_releases):
            self.checker.release_failed(name)
        self.unacknowledged_releases.clear()
        self.calls.clear()
        self.unsent_releases.clear()
        self.unread.clear()
        connections, self.connections = self.connections, []
        for connection in connections:
            connection.transport.abort()

    async def restart(self, keep_old_silent: bool) -> None:
        """Starts a new process at the same address. Old connections stay silent for good or are reset."""
        if keep_old_silent:
            self.proxy.abandon()
        else:
            self.proxy.reset()
        await self.start()
        self.proxy.restore()

    def hang(self) -> None:
        self.state = ProcessState.HUNG

    def recover(self) -> None:
        """Ends a hang and processes everything received meanwhile."""
        if self.state is not ProcessState.HUNG:
            return
        self.state = ProcessState.RUNNING
        unread, self.unread = self.unread, []
        for connection, data in unread:
            connection.data_received(data)
        for connection in self.connections:
            connection.send_status()
        self.send_releases()

    # Calls

    def is_reachable(self) -> bool:
        return self.state is ProcessState.RUNNING and not self.proxy.is_silent

    def set_up_received(self, connection: SwitchConnection, line: jsonlines.Line) -> None:
        """Accepts a set-up, or refuses it if all circuits are in use."""
        self.arrived_set_ups.add(line.sid)
        self.checker.set_up_received(self.clock(), self.name, line.sid)
        if len(self.calls) >= self.circuits:
            self.checker.attempt_ended(self.clock(), self.name, line.sid, confirmed=True)
            connection.write("close", line.sid, {"note": "all_trunks_busy"}, code=CAUSE_NO_CIRCUIT)
            return
        self.accepted += 1
        call = self.calls[line.sid] = SwitchCall(connection, f"{line.text} at {self.name}")
        work = self.processing_s * self.random.uniform(0.5, 1.5)
        call.timer = asyncio.get_running_loop().call_later(work, self.stand, line.sid)

    def stand(self, name: str) -> None:
        """Answers a set-up; the call then stands for a random time."""
        call = self.calls.get(name)
        if call is None:
            return
        if not self.is_reachable():  # tries again until the answer can be sent
            call.timer = asyncio.get_running_loop().call_later(self.processing_s, self.stand, name)
            return
        call.stands = True
        self.checker.stood(self.clock(), self.name, name, call.text)
        call.connection.write("ready", name, {}, text=call.text)
        hold = self.random.expovariate(1 / self.hold_s)
        call.timer = asyncio.get_running_loop().call_later(hold, self.end_call, name)

    def end_call(self, name: str) -> None:
        """Ends a call; its release is sent on its own connection, another open one or the next to open."""
        call = self.calls.pop(name, None)
        if call is None:
            return
        connection = (
            call.connection if call.connection in self.connections else next(iter(self.connections), None)
        )
        sent = connection is not None and self.is_reachable()
        delivered = sent and not cast(SwitchConnection, connection).is_abandoned()
        self.checker.ended(self.clock(), self.name, name, delivered)
        if sent and connection is not None:
            connection.send_release(name)
        else:
            self.unsent_releases.append(name)

    def send_releases(self) -> None:
        """Sends the releases that could not be sent before, if the switch is reachable now."""
        if not self.connections or not self.is_reachable():
            return
        for name in self.unsent_releases:
            self.checker.ended(self.clock(), self.name, name, release_sent=True)
            self.connections[-1].send_release(name)
        self.unsent_releases.clear()

    def closed_by_router(self, name: str) -> None:
        """The router cancels a set-up or releases a call."""
        call = self.calls.pop(name, None)
        if call is None:
            return
        if call.timer is not None:
            call.timer.cancel()
        if call.stands:
            self.checker.released_by_router(self.clock(), self.name, name)
        else:
            self.checker.attempt_ended(self.clock(), self.name, name, confirmed=False)

    def connection_closed(self, connection: SwitchConnection) -> None:
        """Cancels the set-ups of a closed connection and queues its unacknowledged releases again.

        Standing calls do not depend on a connection.
        """
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self.unread = [(other, data) for other, data in self.unread if other is not connection]
        for name in [name for name, carrier in self.unacknowledged_releases.items() if carrier is connection]:
            del self.unacknowledged_releases[name]
            self.unsent_releases.append(name)
            self.checker.release_failed(name)
        for name, call in list(self.calls.items()):
            if call.connection is connection and not call.stands:
                self.closed_by_router(name)

    def load_report(self) -> str:
        return f"x0:{self.circuits - len(self.calls)};x1:{self.circuits};queue:0"


class RouterObserver:
    """Tells the rule checker when a router cancels a set-up, however late that reaches the switch."""

    def __init__(self, switch: TrialSwitch) -> None:
        self.switch = switch
        self.parser = jsonlines.Parser()
        self.set_ups: set[str] = set()  # calls whose set-up was sent on this connection

    def sent(self, data: bytes) -> None:
        for line in self.parser.feed(data):
            if line.msg == "open":
                self.set_ups.add(line.sid)
            elif line.msg == "close":
                self.set_up_cancelled(line.sid)

    def closed(self) -> None:
        for call in list(self.set_ups):
            self.set_up_cancelled(call)

    def set_up_cancelled(self, call: str) -> None:
        was_sent = call in self.set_ups
        self.set_ups.discard(call)
        # A set-up that was not sent on this connection went over another one and counts as arrived.
        arrived = not was_sent or call in self.switch.arrived_set_ups
        self.switch.checker.attempt_cancelled(self.switch.clock(), self.switch.name, call, arrived)


class SwitchConnection(asyncio.Protocol):
    """One connection from the proxy to the switch."""

    def __init__(self, switch: TrialSwitch) -> None:
        self.switch = switch
        self.parser = jsonlines.Parser()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.switch.connections.append(self)
        if self.switch.state is ProcessState.RUNNING:
            self.send_status()
            self.switch.send_releases()

    def send_status(self) -> None:
        self.write("status", "", {"load": self.switch.load_report()})

    def is_abandoned(self) -> bool:
        """Whether the proxy has stopped forwarding on this connection for good or has closed it."""
        port = self.transport.get_extra_info("peername")[1]
        for pair in self.switch.proxy.pairs:
            target = pair.target.transport
            if target is not None and target.get_extra_info("sockname")[1] == port:
                return pair.abandoned
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.switch.connection_closed(self)

    def send_release(self, call: str) -> None:
        self.switch.unacknowledged_releases[call] = self
        self.write("close", call, {"load": self.switch.load_report()}, code=NORMAL_CLEARING)

    def write(self, msg: str, sid: str, attrs: dict[str, str], **more: str | int) -> None:
        if not self.transport.is_closing():
            self.transport.write(jsonlines.encode(msg, sid, attrs, **more))

    def data_received(self, data: bytes) -> None:
        if self.switch.state is ProcessState.HUNG:
            self.switch.unread.append((self, data))
            return
        for line in self.parser.feed(data):
            match line.msg:
                case "open":
                    self.switch.set_up_received(self, line)
                case "close":
                    self.switch.closed_by_router(line.sid)
                case "closed":
                    self.switch.unacknowledged_releases.pop(line.sid, None)
                case "probe":
                    self.write("probed", line.sid, {"load": self.switch.load_report()}, code=1)
