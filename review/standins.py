"""Stand-ins for the cases of this review: switches, change log, callers, the platform that starts routers.

Written from the protocol page alone; nothing here imports the project. One process runs all stand-ins on one
event loop with the real clock; the routers are processes of their own, started with the deploy file's `run`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000
CLASS = "item-lookup"
SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, who: str, text: str) -> None:
        self.file.write(f"{self.now():9.4f}  {who:10}  {text}\n")

    def note(self, text: str) -> None:
        self.write("note", text)
        print(f"{self.now():9.4f}  {text}", flush=True)


def free_port() -> int:
    """A free port below those that the kernel gives to outgoing connections, which could take it."""
    while True:
        with socket.socket() as one, contextlib.suppress(OSError):
            one.bind(("127.0.0.1", random.randrange(15000, 32000)))
            return int(one.getsockname()[1])


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a reset, as the kernel does when its process dies."""
    if transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


# The platform's side: settings, configuration, processes


def settings(
    own: int, routers: int, hold_s: float, idempotency: str = "safe", zones: tuple[str, ...] = ("brisbane",)
) -> dict[str, Any]:
    """The settings of the deployment `coral-coast-sorting`, from its site file and the example of WIRE."""
    return {
        "accounts": [],
        "balancers": routers,
        "clients": {"marks_retry": True},
        "costs": {"late_fail": 0.05, "probe": 0.004, "waste": 0.02, "connection": 0.0, "cross_zone": 0.0},
        "counted_by": "request",
        "discovery": "automatic",
        "family_info": {
            "advice": False,
            "class_hold_ns": [int(hold_s * SECOND)],
            "guard_ns": SECOND // 5,
            "network_form": "meshed",
            "remote_load": "inline",
            "retry_hint": False,
            "self_no": own,
            "skilled_pools": [],
            "t1_ns": SECOND // 2,
            "widths": [1],
        },
        "goal": {"whole": 0.7, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.3},
        "guarantees": {
            "ask_within_ns": 10 * SECOND,
            "cold_from": 0.34,
            "cold_ns": 14 * SECOND,
            "drain_grace_ns": 2 * SECOND,
            "fall_multiple": 2.0,
            "grace_to_answer_ns": SECOND // 50,
            "tip_after_ns": SECOND,
        },
        "limits": {
            "cancel": True,
            "connect_timeout_ns": SECOND // 2,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400000,
            "idle_close_ns": 600 * SECOND,
            "max_attempts": 6,
            "max_open": 20000,
            "max_retry_after_ns": 2 * SECOND,
            "multiplex": 1048576,
            "peers": False,
            "probes": True,
            "retry_after": False,
            "second_copies": False,
        },
        "my_number": own,
        "my_zone": zones[0],
        "over_share_worth": 0.1,
        "period_ns": SECOND // 200,
        "report": {"columns": ["spare", "total", "utilization", "backlog"], "via": "inline"},
        "services": [
            {
                "credit": 1.0,
                "hard_limit_ns": 9 * SECOND,
                "idempotency": idempotency,
                "key_scope": "all",
                "late_worth": 0.25,
                "name": CLASS,
                "objective_ns": 3 * SECOND // 2,
                "stream": True,
                "window_ns": 5 * SECOND,
            }
        ],
        "tier": 0,
        "tiers": ["centre-switches"],
        "weights": "off",
        "workload": "trunks",
        "zones": list(zones),
    }


class RouterProcess:
    """One real call router, started by the deploy file's `run`; the same name and address at each start."""

    def __init__(self, record: Record, name: str, info: dict[str, Any], changelog: str, sockets: int = 1024):
        self.record, self.name, self.info, self.changelog = record, name, info, changelog
        self.sockets = sockets
        self.listen = ("127.0.0.1", free_port())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.config = self.folder / "config.json"
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.command = str(deploy["run"])

    def write_config(self, known: dict[str, Any]) -> None:
        document = {
            "name": self.name,
            "listen": "{}:{}".format(*self.listen),
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "changelog": self.changelog,
            "known": known,
            "settings": self.info,
        }
        part = self.config.with_suffix(".part")
        part.write_text(json.dumps(document))
        part.replace(self.config)

    def start(self, known: dict[str, Any], prefix: str = "", **env: str) -> None:
        self.starts += 1
        self.write_config(known)
        scratch = self.folder / f"tmp{self.starts}"
        scratch.mkdir()
        environment = {
            **{key: value for key, value in os.environ.items() if key != "ROWANMAST_SETTINGS"},
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "{}:{}".format(*self.listen),
            "PROXY_CONFIG": str(self.config),
            "TMPDIR": str(scratch),
            **env,
        }
        self.log = (self.folder / f"log{self.starts}.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", prefix + self.command],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.note(f"{self.name}: start {self.starts}, pid {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record.note(f"{self.name}: {number.name}")
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def wait_exit(self, within_s: float) -> bool:
        assert self.process is not None
        end = time.monotonic() + within_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        gone = self.process.poll() is not None
        if gone:
            self.record.note(f"{self.name}: exit {self.process.returncode}")
        return gone

    async def wait_ready(self, callers: Callers, within_s: float = 30.0) -> bool:
        """The front's test, ten times a second, until it is passed."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.running and await passes_test(callers):
                self.record.note(f"{self.name}: passed the front's test")
                return True
            await asyncio.sleep(0.1)
        return False

    def logs(self) -> str:
        paths = sorted(self.folder.glob("log*.txt"))
        return "".join(f"-- {path.name}\n{path.read_text(errors='replace')}" for path in paths)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def passes_test(callers: Callers) -> bool:
    """One test by the front: OPTIONS on a new connection, which takes releases like any other of its own."""
    loop = asyncio.get_running_loop()
    passed: asyncio.Future[bool] = loop.create_future()
    try:
        transport, _ = await asyncio.wait_for(
            loop.create_connection(lambda: TestConnection(callers, passed), *callers.address), 1.0
        )
    except (OSError, TimeoutError):
        return False
    try:
        return await asyncio.wait_for(passed, 1.0)
    except TimeoutError:
        return False
    finally:
        transport.close()


# The change log


class ChangeLog:
    """Numbered events over HTTP/1.1 long polls. All events are kept, so one log serves every router."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.asked = asyncio.Event()  # set by each request
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def known(self) -> dict[str, Any]:
        return {"seq": len(self.events), "results": list(self.events)}

    def publish(self, whole: bool, *hosts: dict[str, Any]) -> None:
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": list(hosts)}})
        for host in hosts:
            self.record.write("changelog", f"event {seq}: {host['host']} {host['health']}")
        old, self.changed = self.changed, asyncio.Event()
        old.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.asked.set()
                query = re.search(rb"since=(\d+)&timeout=(\d+)", head)
                since, wait_ms = (int(query[1]), min(int(query[2]), 5000)) if query else (0, 0)
                end = time.monotonic() + wait_ms / 1000
                while len(self.events) <= since and time.monotonic() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(end - time.monotonic(), 0.001))
                    except TimeoutError:
                        break
                body = json.dumps({"seq": len(self.events), "results": self.events[since:]}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + str(len(body)).encode()
                    + b"\r\n\r\n"
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the router has gone, or the case ends
        finally:
            writer.close()


# Switches


class Call:
    def __init__(self, connection: SwitchConnection) -> None:
        self.connection = connection
        self.stands = False
        self.timer: asyncio.TimerHandle | None = None


class Switch:
    """A centre switch's peer side: answers set-ups after a short time and releases calls when they end."""

    def __init__(self, record: Record, name: str, number: int, hold_s: float, circuits: int = 300) -> None:
        self.record, self.name, self.number = record, name, number
        self.hold_s, self.circuits = hold_s, circuits
        self.work_s = 0.03
        self.random = random.Random(number)
        self.calls: dict[str, Call] = {}
        self.connections: list[SwitchConnection] = []
        self.unsent: list[str] = []  # releases that no connection could take yet
        self.to_repeat: list[str] = []  # released; sent once more on the next connection opened
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.fillers: list[socket.socket] = []
        self.silent = False
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.on_attempt: Callable[[str], None] = lambda call: None
        self.on_stood: Callable[[str], None] = lambda call: None
        self.on_ended: Callable[[str, str], None] = lambda call, how: None

    async def start(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.address = self.listener.getsockname()
        self.accept_again()

    def accept_again(self) -> None:
        assert self.listener is not None
        self.listener.listen(128)
        self.accepting = asyncio.get_running_loop().create_task(self.accept(self.listener))

    async def accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, address = await loop.sock_accept(listener)
            if any(filler.getsockname() == address for filler in self.fillers):
                client.close()
                continue
            await loop.connect_accepted_socket(lambda: SwitchConnection(self), client)

    def entry(self, health: str, born_ms: int = 0) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": "{}:{}".format(*self.address),
            "site": "brisbane",
            "class": "standard",
            "block": self.number,
            "health": health,
            "share": 1,
            "born_ms": born_ms,
        }

    def load(self) -> str:
        return f"x0:{self.circuits - len(self.calls)};x1:{self.circuits};util:0.4;queue:0"

    def set_up(self, connection: SwitchConnection, message: dict[str, Any]) -> None:
        name = message["sid"]
        self.record.write(self.name, f"set-up {name}")
        self.on_attempt(name)
        call = self.calls[name] = Call(connection)
        call.timer = asyncio.get_running_loop().call_later(
            self.work_s * self.random.uniform(0.5, 1.5), self.stand, name, str(message.get("text", ""))
        )

    def stand(self, name: str, text: str) -> None:
        call = self.calls.get(name)
        if call is None:
            return
        call.stands = True
        self.record.write(self.name, f"answer {name}")
        self.on_stood(name)
        call.connection.send("ready", name, {"load": self.load()}, text=f"{text} at {self.name}")
        hold = self.random.expovariate(1 / self.hold_s)
        call.timer = asyncio.get_running_loop().call_later(hold, self.end, name)

    def end(self, name: str) -> None:
        """The call comes to its end: released on its connection, else any, and on the next one opened."""
        call = self.calls.pop(name)
        mine = [one for one in self.connections if one is call.connection] or self.connections[:1]
        self.record.write(self.name, f"end of {name}" + ("" if mine else ", no release could be sent"))
        self.on_ended(name, "released" if mine else "unsent")
        if mine:
            mine[0].send("close", name, {"load": self.load()}, code=16)
            self.to_repeat.append(name)
        else:
            self.unsent.append(name)

    def opened(self, connection: SwitchConnection) -> None:
        self.connections.append(connection)
        connection.send("status", "", {"load": self.load()})
        for name in [*self.unsent, *self.to_repeat]:
            connection.send("close", name, {"load": self.load()}, code=16)
        self.to_repeat, self.unsent = self.unsent, []

    def lost(self, connection: SwitchConnection) -> None:
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        for name, call in list(self.calls.items()):
            if call.connection is connection and not call.stands:
                self.drop(name, "given up with its connection")

    def drop(self, name: str, why: str) -> None:
        call = self.calls.pop(name, None)
        if call is None:
            return
        if call.timer is not None:
            call.timer.cancel()
        self.record.write(self.name, f"{name} {why}")
        self.on_ended(name, "router" if call.stands else "attempt")

    def cut_all(self) -> None:
        """The process is gone: its calls are cut without a word."""
        for name, call in self.calls.items():
            if call.timer is not None:
                call.timer.cancel()
            if call.stands:
                self.record.write(self.name, f"{name} cut")
                self.on_ended(name, "cut")
        self.calls.clear()
        self.unsent.clear()
        self.to_repeat.clear()

    def reset_connections(self) -> None:
        connections, self.connections = self.connections, []
        for connection in connections:
            reset(connection.transport)

    def lose_connections(self, kind: str) -> None:
        """All connections are lost at once; the process and the calls that stand go on.

        They are reset by the network, closed by the switch, or forgotten by it: open and silent for good.
        """
        standing = sum(call.stands for call in self.calls.values())
        self.record.note(f"{self.name}: its connections are lost ({kind}); {standing} calls stand")
        for connection in list(self.connections):
            if kind == "reset":
                reset(connection.transport)
            elif kind == "close":
                connection.transport.close()
            else:
                connection.transport.pause_reading()
                self.lost(connection)

    def die(self) -> None:
        """The process dies: connections are reset, new ones refused, its calls are cut without a word."""
        standing = sum(call.stands for call in self.calls.values())
        self.record.note(f"{self.name}: its process stops; {standing} calls stood")
        self.stop_listening()
        self.cut_all()
        self.reset_connections()

    def stop_politely(self) -> None:
        """The process stops and says so on an open connection, if there is one: each call was cut."""
        standing = sum(call.stands for call in self.calls.values())
        self.record.note(
            f"{self.name}: stops, ready to say so; {standing} calls stood, "
            f"{len(self.connections)} connections open"
        )
        self.stop_listening()
        if self.connections:
            for name, call in self.calls.items():
                if call.stands:
                    self.connections[0].send("close", name, {"load": self.load()}, code=41)
        self.cut_all()
        for connection in list(self.connections):
            connection.transport.close()

    def vanish(self) -> None:
        """The machine vanishes: open connections stay open and silent, new ones never come up."""
        standing = sum(call.stands for call in self.calls.values())
        self.record.note(f"{self.name}: its machine vanishes; {standing} calls stood")
        assert self.listener is not None and self.accepting is not None
        self.silent = True
        self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(2):  # they fill the queue of connections, so that the kernel takes no more
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)
        for connection in self.connections:
            connection.transport.pause_reading()
        self.cut_all()

    def come_back(self) -> None:
        """Another process at the same address: it knows nothing of the old connections and resets them."""
        self.record.note(f"{self.name}: its machine is back with a new process")
        self.silent = False
        self.accept_again()
        self.reset_connections()

    def stop_listening(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for filler in self.fillers:
            filler.close()

    def stop(self) -> None:
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.abort()


class SwitchConnection(asyncio.Protocol):
    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.switch.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.switch.lost(self)

    def send(self, msg: str, sid: str, attrs: dict[str, str], **more: str | int) -> None:
        if not self.transport.is_closing() and not self.switch.silent:
            line = json.dumps({"msg": msg, "sid": sid, "attrs": attrs, **more}, ensure_ascii=False)
            self.transport.write(line.encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if not line.strip():
                continue
            message = json.loads(line)
            match message["msg"]:
                case "open":
                    self.switch.set_up(self, message)
                case "close":
                    self.switch.drop(message["sid"], "ended by the router")
                case "closed":
                    pass  # free; the page has a release repeated on the next connection all the same
                case "probe":
                    self.send("probed", message["sid"], {"load": self.switch.load()}, code=1)


# Callers


class Placed:
    """One set-up and what its caller saw of it."""

    def __init__(self, name: str, at: float, wait_s: float) -> None:
        self.name, self.at, self.wait_s = name, at, wait_s
        self.answers: list[tuple[float, int, str]] = []
        self.released_at: float | None = None
        self.closed_at: float | None = None  # its connection ended before the answer
        self.resent = False


class Callers:
    """The callers of one router: a few shared connections, as the front keeps them."""

    def __init__(self, record: Record, address: tuple[str, int], connections: int = 2) -> None:
        self.record, self.address, self.wanted = record, address, connections
        self.calls: dict[str, Placed] = {}
        self.connections: list[CallerConnection] = []
        self.random = random.Random(7)
        self.refused_connects = 0
        self.none_open: list[float] = []  # when the last open connection ended
        self.on_release: Callable[[str], None] = lambda call: None

    async def connect(self) -> None:
        while len(self.connections) < self.wanted:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: CallerConnection(self), *self.address
                )
            except OSError:
                self.refused_connects += 1
                return

    async def dial(self, dest: int, wait_s: float = 3.0, text: str = "") -> Placed | None:
        await self.connect()
        if not self.connections:
            return None
        name = f"{self.random.getrandbits(64):016x}"
        call = self.calls[name] = Placed(name, self.record.now(), wait_s)
        self.record.write("caller", f"INVITE {name} to {dest}")
        connection = self.random.choice(self.connections)
        connection.invite(call, dest, text or f"{name}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n")
        return call

    async def dial_at(self, rate: float, dests: list[int], until: float, going: Callable[[], bool]) -> None:
        """Dials at random times until the record's clock shows `until`, while `going()`."""
        while self.record.now() < until:
            await asyncio.sleep(self.random.expovariate(rate))
            if going():
                await self.dial(self.random.choice(dests))

    def drop(self, connection: CallerConnection) -> None:
        self.connections.remove(connection)
        if not self.connections:
            self.none_open.append(self.record.now())

    def released(self, name: str) -> None:
        for connection in self.connections:
            if name in connection.standing:
                connection.standing.discard(name)
                connection.check_idle()

    def close(self) -> None:
        for connection in self.connections:
            connection.transport.abort()


class CallerConnection(asyncio.Protocol):
    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.buffer = b""
        self.open: dict[str, Placed] = {}
        self.standing: set[str] = set()  # calls set up on this connection
        self.idle_timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.callers.connections.append(self)
        self.check_idle()

    def check_idle(self) -> None:
        """Callers close a connection that carries no call after 4 s."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
        if not self.open and not self.standing:
            self.idle_timer = asyncio.get_running_loop().call_later(4.0, self.close_idle)

    def close_idle(self) -> None:
        if self in self.callers.connections:
            self.callers.drop(self)
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self in self.callers.connections:
            self.callers.drop(self)
        for name, call in self.open.items():
            call.closed_at = self.callers.record.now()
            self.callers.record.write("caller", f"connection of {name} ended before its answer")

    def send(self, first: str, headers: list[tuple[str, str]], body: str = "") -> None:
        if self.transport.is_closing():
            return
        raw = body.encode()
        lines = [first, *(f"{key}: {value}" for key, value in headers), f"Content-Length: {len(raw)}"]
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + raw)

    def invite(self, call: Placed, dest: int, text: str) -> None:
        self.open[call.name] = call
        self.check_idle()
        self.send(
            f"INVITE sip:{call.name[::-1]}@net SIP/2.0",
            [
                ("Via", "SIP/2.0/TCP peer"),
                ("Call-ID", call.name),
                ("CSeq", "1 INVITE"),
                ("X-Service", CLASS),
                ("X-Setup-Ms", str(int(call.wait_s * 1000))),
                ("X-Route", f"dest:{dest};width:1;via:-1"),
            ],
            text,
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while True:
            head, blank, rest = self.buffer.partition(b"\r\n\r\n")
            if not blank:
                return
            lines = head.decode().split("\r\n")
            pairs = (line.partition(":") for line in lines[1:])
            headers = {key.strip().lower(): value.strip() for key, _, value in pairs}
            length = int(headers["content-length"])
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.message(lines[0], headers, rest[:length].decode())

    def message(self, first: str, headers: dict[str, str], body: str) -> None:
        callers, name = self.callers, headers.get("call-id", "")
        call = callers.calls.get(name)
        if first.startswith("BYE "):
            callers.record.write("caller", f"BYE {name}")
            if call is not None and call.released_at is None:
                call.released_at = callers.record.now()
                callers.on_release(name)
                callers.released(name)
            self.send("SIP/2.0 200 OK", [(k, headers[k.lower()]) for k in ("Via", "Call-ID", "CSeq")])
            return
        if not first.startswith("SIP/2.0 ") or not headers.get("cseq", "").endswith("INVITE"):
            return
        status = int(first.split()[1])
        if status < 200 or call is None:
            return
        self.open.pop(name, None)
        callers.record.write("caller", f"{status} {name}")
        call.answers.append((callers.record.now(), status, body))
        if status == 200:
            self.standing.add(name)
        self.check_idle()
        self.send(
            f"ACK sip:{name}@net SIP/2.0",
            [("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", "1 ACK")],
        )


class TestConnection(CallerConnection):
    """The front's test. It is one of the callers' connections, so a release may come on it, too."""

    def __init__(self, callers: Callers, passed: asyncio.Future[bool]) -> None:
        super().__init__(callers)
        self.passed = passed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        name = f"{random.getrandbits(64):016x}"
        headers = [("Via", "SIP/2.0/TCP front"), ("Call-ID", name), ("CSeq", "1 OPTIONS")]
        self.send("OPTIONS sip:ping@net SIP/2.0", headers)

    def message(self, first: str, headers: dict[str, str], body: str) -> None:
        if headers.get("cseq", "").endswith("OPTIONS"):
            if not self.passed.done():
                self.passed.set_result(first.startswith("SIP/2.0 200"))
            return
        super().message(first, headers, body)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.passed.done():
            self.passed.set_result(False)


def run(main: Callable[[Record, bool], Any], case: str) -> int:
    """Runs one case; its exit code is that of run.sh."""
    folder = Path(case).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {trouble}")

    async def guarded() -> int:
        task = asyncio.ensure_future(main(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return int(await asyncio.wait_for(task, 115))

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"could not run: {error!r}")
        traceback.print_exc()
        code = 2
    words = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}
    record.note(words[code])
    record.file.close()
    return code
