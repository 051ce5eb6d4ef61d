"""Stand-ins of the second review: switches, their network, the change log, callers, and the router's process.

They follow the protocol's pages, use the standard library alone and share no code with the router. Every
party writes what it sends, hears and decides into one record, whose times are seconds since the start.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s, so that closing sends a reset
CLASS = "item-lookup"
LONGEST_MESSAGE = 16 * 1024  # bytes
CROSSED_S = 0.05  # a set-up written this long before its connection closed is sent again, once
CAUSE_NORMAL, CAUSE_FULL, CAUSE_CUT = 16, 34, 41
READY_S = 15.0  # a router that is not ready by then can't be judged


class CannotRun(Exception):
    """The case can't run here; this says nothing of the rule."""


class Record:
    """What was sent, heard and run, a line each."""

    def __init__(self, path: Path) -> None:
        self.start = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.start

    def write(self, who: str, text: str) -> float:
        now = self.now()
        self.file.write(f"{now:9.3f}  {who:<10} {text}\n")
        self.file.flush()
        return now


GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """A loopback port below the ephemeral range that is free now for TCP and UDP, each once."""
    for _ in range(500):
        port = random.randrange(12_000, 30_000)
        if port in GIVEN_PORTS:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        GIVEN_PORTS.add(port)
        return port
    raise CannotRun("no free port")


# Switches


class Call:
    """A call at a switch, from its set-up to its end."""

    def __init__(self, wire: Wire, text: str) -> None:
        self.wire = wire
        self.text = text
        self.stands = False
        self.timer: asyncio.TimerHandle | None = None


class Wire(asyncio.Protocol):
    """One connection of the router to a switch, with the network between them.

    Lines take `delay_s` in each direction. `loses` of the switch may lose one: then the connection is reset
    at both ends, as a network does that drops a connection under a message.
    """

    def __init__(self, switch: Switch) -> None:
        self.switch = switch
        self.buffer = b""
        self.open = False  # at the router's end
        self.held = False  # at the switch's end
        self.number = 0
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.open = self.held = True
        self.switch.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The router has closed the connection; the switch hears so after what was sent before."""
        if self.open:
            self.open = False
            why = "closed by the router" if exc is None else type(exc).__name__
            self.switch.loop.call_later(self.switch.delay_s, self.let_go, why)

    def let_go(self, why: str) -> None:
        if self.held:
            self.held = False
            self.switch.closed(self, why)

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if line.strip():
                self.switch.loop.call_later(self.switch.delay_s, self.arrive, line)

    def arrive(self, data: bytes) -> None:
        """A line of the router reaches the switch, unless the network loses it."""
        if not (self.held and self.switch.alive):
            return
        if len(data) + 1 > LONGEST_MESSAGE:
            self.switch.note(f"a message of {len(data) + 1} bytes on {self.number}: closed")
            self.open = False
            self.transport.close()
            self.let_go("the switch can't read it")
            return
        line = json.loads(data)
        if self.switch.loses(self, line, True):
            self.reset(f"lost on its way to the switch: {line['msg']} {line['sid']}")
        else:
            self.switch.heard(self, line)

    def write(self, msg: str, sid: str, **fields: Any) -> None:
        if self.held and self.switch.alive:
            line = {"msg": msg, "sid": sid, **fields}
            self.switch.loop.call_later(self.switch.delay_s, self.leave, line)

    def leave(self, line: dict[str, Any]) -> None:
        """A line of the switch reaches the router, unless the network loses it."""
        if not (self.open and self.switch.alive):
            return
        if self.switch.loses(self, line, False):
            self.reset(f"lost on its way to the router: {line['msg']} {line['sid']}")
        else:
            self.transport.write(json.dumps(line).encode() + b"\n")

    def cut(self) -> None:
        """Resets the connection at the router's end."""
        if self.open:
            self.open = False
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()

    def reset(self, why: str) -> None:
        """The network resets the connection at both ends."""
        self.cut()
        self.let_go(f"reset by the network; {why}")


class Switch:
    """A centre switch: answers set-ups after `work_s`; a call stands for `hold_s` unless it is released."""

    def __init__(
        self,
        record: Record,
        name: str,
        number: int,
        *,
        hold_s: float = 12.0,
        work_s: float = 0.01,
        delay_s: float = 0.005,
        circuits: int = 60,
        admits: int = 1000,
    ) -> None:
        self.record = record
        self.name = name
        self.number = number
        self.hold_s = hold_s
        self.work_s = work_s
        self.delay_s = delay_s
        self.circuits = circuits
        self.admits = (
            admits  # connections that it holds at most; while it holds them, it refuses further ones
        )
        self.loop = asyncio.get_running_loop()
        self.port = free_port()
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.attaching: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []  # they occupy the accept queue of a machine that has vanished
        self.wires: list[Wire] = []
        self.calls: dict[str, Call] = {}
        self.ended: list[str] = []  # calls whose release goes on the next connection opened as well
        self.stood: dict[str, float] = {}
        self.over: dict[str, tuple[float, str]] = {}  # when and how a call that stood ended
        self.set_ups: list[tuple[float, str]] = []
        self.alive = True
        self.count = 0
        self.status_timer: asyncio.TimerHandle | None = None
        self.loses: Callable[[Wire, dict[str, Any], bool], bool] = lambda wire, line, to_switch: False

    @property
    def entry(self) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": f"{LOOPBACK}:{self.port}",
            "site": "cairns",
            "class": "standard",
            "block": self.number,
            "health": "ready",
            "share": 1,
            "born_ms": 0,
        }

    def note(self, text: str) -> float:
        return self.record.write(self.name, text)

    async def start(self) -> None:
        self.listen()

    def listen(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((LOOPBACK, self.port))
        self.listener.listen(64)
        self.accepting = self.loop.create_task(self.accept(self.listener))

    async def accept(self, listener: socket.socket) -> None:
        while True:
            connection, _ = await self.loop.sock_accept(listener)
            # In a task of its own, as `opened` may end this one.
            task = self.loop.create_task(self.attach(connection))
            self.attaching.add(task)
            task.add_done_callback(self.attaching.discard)

    async def attach(self, connection: socket.socket) -> None:
        await self.loop.connect_accepted_socket(lambda: Wire(self), connection)

    def refuse(self) -> None:
        """Refuses further connections; those that are open go on."""
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def load(self) -> str:
        return f"x0:{self.circuits - len(self.calls)};x1:{self.circuits};util:0.5;queue:0"

    def opened(self, wire: Wire) -> None:
        self.count += 1
        wire.number = self.count
        self.wires.append(wire)
        self.note(f"connection {wire.number} opened, {len(self.wires)} open")
        wire.write("status", "", attrs={"load": self.load()})
        for call in self.ended:
            wire.write("close", call, attrs={"load": self.load()}, code=CAUSE_NORMAL)
        self.ended.clear()
        if len(self.wires) >= self.admits and self.listener is not None:
            self.refuse()
            self.note("holds as many connections as it admits: further ones are refused")

    def admit_again(self) -> None:
        """Listens again once it holds fewer connections than it admits."""
        if self.alive and self.listener is None and len(self.wires) < self.admits:
            self.note("admits connections again")
            self.listen()

    def closed(self, wire: Wire, why: str) -> None:
        self.wires.remove(wire)
        self.note(f"connection {wire.number} gone ({why}), {len(self.wires)} open")
        for sid, call in list(self.calls.items()):
            if call.wire is wire and not call.stands:
                self.note(f"set-up {sid} given up with its connection")
                self.drop(sid)
        self.admit_again()

    def heard(self, wire: Wire, line: dict[str, Any]) -> None:
        msg, sid = line["msg"], line["sid"]
        if msg == "open":
            self.set_ups.append((self.note(f"set-up {sid} arrived on {wire.number}"), sid))
            if len(self.calls) >= self.circuits:
                attrs = {"note": "all_trunks_busy", "load": self.load()}
                wire.write("close", sid, attrs=attrs, code=CAUSE_FULL)
                return
            call = self.calls[sid] = Call(wire, f"{line['text']}at {self.name}\r\n")
            call.timer = self.loop.call_later(self.work_s, self.stand, sid)
            self.tell_status()
        elif msg == "close":
            call_ = self.calls.get(sid)
            what = "unknown here" if call_ is None else "it stood" if call_.stands else "set-up given up"
            self.note(f"release of {sid} by the router, cause {line.get('code')}: {what}")
            self.drop(sid, "released by the router")
            wire.write("closed", sid, attrs={})
        elif msg == "probe":
            wire.write("probed", sid, attrs={"load": self.load()}, code=1)

    def stand(self, sid: str) -> None:
        call = self.calls[sid]
        call.stands = True
        self.stood[sid] = self.note(f"call {sid} stands: answer written on {call.wire.number}")
        call.wire.write("ready", sid, attrs={"load": self.load()}, text=call.text)
        call.timer = self.loop.call_later(self.hold_s, self.end, sid)

    def end(self, sid: str) -> None:
        call = self.calls[sid]
        self.note(f"call {sid} came to its end: release written")
        wire = call.wire if call.wire.held else next(iter(self.wires), None)
        if wire is not None:
            wire.write("close", sid, attrs={"load": self.load()}, code=CAUSE_NORMAL)
        self.ended.append(sid)
        self.drop(sid, "its end")

    def drop(self, sid: str, why: str = "") -> None:
        call = self.calls.pop(sid, None)
        if call is not None:
            if call.timer is not None:
                call.timer.cancel()
            if call.stands:
                self.over[sid] = (self.record.now(), why)
            self.tell_status()

    def tell_status(self) -> None:
        if self.status_timer is None:
            self.status_timer = self.loop.call_later(0.05, self.send_status)

    def send_status(self) -> None:
        self.status_timer = None
        for wire in self.wires[:4]:
            wire.write("status", "", attrs={"load": self.load()})

    def kill(self) -> None:
        """The process dies: its connections are reset, its calls are cut, new connections are refused."""
        self.note(f"killed; calls cut: {' '.join(sid for sid, one in self.calls.items() if one.stands)}")
        self.alive = False
        self.refuse()
        for wire in list(self.wires):
            wire.reset("the process died")
        for sid in list(self.calls):
            self.drop(sid, "cut by the death of the switch")

    def vanish(self) -> None:
        """The machine vanishes: its connections stay open and silent, new ones never come up."""
        self.note(f"vanished; calls cut: {' '.join(sid for sid, one in self.calls.items() if one.stands)}")
        self.alive = False
        for sid in list(self.calls):
            self.drop(sid, "cut as the machine vanished")
        if self.accepting is not None and self.listener is not None:
            self.accepting.cancel()
            self.listener.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((LOOPBACK, self.port))
                self.fillers.append(filler)


# The change log


class ChangeLog:
    """Numbered events over HTTP with long polls."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Condition()
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port, reuse_address=True)

    async def add(self, hosts: list[dict[str, Any]], whole: bool = False) -> None:
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": hosts}})
        names = [f"{one['host']}={one['health']}" for one in hosts]
        self.record.write("changelog", f"event {seq}: {' '.join(names)[:300]}")
        async with self.changed:
            self.changed.notify_all()

    def document(self) -> dict[str, Any]:
        return {"seq": len(self.events), "results": list(self.events)}

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(one.split("=") for one in head.split()[1].partition("?")[2].split("&"))
                since, wait = int(query["since"]), min(int(query["timeout"]), 5000) / 1000
                async with self.changed:
                    try:
                        async with asyncio.timeout(wait):
                            await self.changed.wait_for(lambda since=since: len(self.events) > since)
                    except TimeoutError:
                        pass
                body = json.dumps({"seq": len(self.events), "results": self.events[since:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            self.writers.discard(writer)


# Callers


class Dialled:
    """A call as its caller sees it."""

    def __init__(self, sid: str, sent: float, wait_s: float) -> None:
        self.sid = sid
        self.sent = sent
        self.wait_s = wait_s
        self.status = 0
        self.answers = 0
        self.text = ""
        self.answered_at = 0.0
        self.released_at: float | None = None  # when the router released it
        self.hung_up_at: float | None = None
        self.lost = False  # its connection ended before an answer
        self.invite: tuple[str, dict[str, str], str] = ("", {}, "")  # number called, fields, description
        self.places: list[int] = []  # its place among the set-ups of each connection that it was sent on
        self.done = asyncio.Event()


class Callers:
    """The callers of one router; any connection may carry any call's messages."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.calls: dict[str, Dialled] = {}
        self.lines: list[Line] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def connect(self) -> Line:
        loop = asyncio.get_running_loop()
        _, line = await loop.create_connection(lambda: Line(self), LOOPBACK, self.port)
        return line

    async def dial(self, dest: int, wait_s: float = 3.0, line: Line | None = None, more: str = "") -> Dialled:
        """Places a call, on an open connection unless one is given; its description ends with `more`."""
        if line is None:
            line = next((one for one in self.lines if one.open), None) or await self.connect()
        sid = f"{random.getrandbits(64):016x}"
        call = self.calls[sid] = Dialled(sid, self.record.now(), wait_s)
        head = {
            "X-Service": CLASS,
            "X-Setup-Ms": str(int(wait_s * 1000)),
            "X-Route": f"dest:{dest};width:1;via:-1",
        }
        body = (
            f"{random.getrandbits(64):016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 3100 RTP/AVP 0 8 101\r\n{more}"
        )
        call.invite = (f"{random.getrandbits(64):016x}", head, body)
        size = line.set_up(call)
        call.sent = self.record.write("caller", f"INVITE {sid} to {dest}, {size} bytes, waits {wait_s} s")
        return call

    async def send_again(self, calls: list[Dialled]) -> None:
        """Sends set-ups that crossed the close of their connection again, on a new one."""
        try:
            line = await self.connect()
        except OSError:
            return
        for call in calls:
            line.set_up(call)
            self.record.write("caller", f"INVITE {call.sid} again, on a new connection")

    async def hang_up(self, call: Dialled) -> None:
        line = next((one for one in self.lines if one.open), None) or await self.connect()
        line.request("BYE", call.sid, call.sid, {"Reason": "Q.850;cause=16"})
        call.hung_up_at = self.record.write("caller", f"BYE {call.sid}")


class Line(asyncio.Protocol):
    """One connection of the callers."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.buffer = b""
        self.open = False
        self.calls: dict[str, float] = {}  # unanswered set-ups on it, and when they were written
        self.set_ups = 0
        self.tests: list[asyncio.Future[int]] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.open = True
        self.callers.lines.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.callers.lines.remove(self)
        record = self.callers.record
        again = []
        for sid, written_at in self.calls.items():
            call = self.callers.calls[sid]
            if len(call.places) == 1 and record.now() - written_at <= CROSSED_S:
                again.append(call)
                continue
            call.lost = True
            record.write("caller", f"connection of {sid} ended without an answer")
            call.done.set()
        if again:
            task = asyncio.get_running_loop().create_task(self.callers.send_again(again))
            self.callers.tasks.add(task)
            task.add_done_callback(self.callers.tasks.discard)
        for test in self.tests:
            if not test.done():
                test.set_result(0)

    def set_up(self, call: Dialled) -> int:
        """Sends the set-up of a call; returns its bytes."""
        self.set_ups += 1
        call.places.append(self.set_ups)
        self.calls[call.sid] = self.callers.record.now()
        user, head, body = call.invite
        return self.request("INVITE", call.sid, user, head, body)

    def request(self, method: str, sid: str, user: str, head: dict[str, str], body: str = "") -> int:
        """Sends a request; returns its bytes."""
        lines = [
            f"{method} sip:{user}@net SIP/2.0",
            "Via: SIP/2.0/TCP caller",
            f"Call-ID: {sid}",
            f"CSeq: 1 {method}",
            *(f"{name}: {value}" for name, value in head.items()),
            f"Content-Length: {len(body.encode())}",
        ]
        message = ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
        if self.open:
            self.transport.write(message)
        return len(message)

    async def test(self) -> int:
        """The status that the router answers to a test; 0 if the connection ends before."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.tests.append(future)
        self.request("OPTIONS", "test", "ping", {})
        return await future

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            start, *lines = head.decode().split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (one.partition(":") for one in lines)}
            length = int(fields.get("content-length", "0"))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.message(start, fields, rest[:length].decode())

    def message(self, start: str, fields: dict[str, str], body: str) -> None:
        sid, method = fields.get("call-id", ""), fields.get("cseq", "").rpartition(" ")[2]
        call = self.callers.calls.get(sid)
        write = self.callers.record.write
        if start.startswith("SIP/2.0 "):
            status = int(start.split()[1])
            if method == "OPTIONS" and self.tests:
                self.tests.pop(0).set_result(status)
            elif method == "BYE":
                write("caller", f"{status} to BYE {sid}")
            elif method == "INVITE" and status >= 200 and call is not None:
                call.answers += 1
                call.status, call.text = status, body
                call.answered_at = write("caller", f"answer {status} to {sid}")
                self.calls.pop(sid, None)
                self.request("ACK", sid, sid, {})
                call.done.set()
        elif start.startswith("BYE "):
            now = write("caller", f"BYE {sid} from the router, {fields.get('reason', '')}")
            if call is not None and call.released_at is None:
                call.released_at = now
            reply = ["SIP/2.0 200 OK", f"Call-ID: {sid}", f"CSeq: {fields['cseq']}", "Content-Length: 0"]
            if self.open:
                self.transport.write(("\r\n".join(reply) + "\r\n\r\n").encode())


# The router


class Router:
    """The project's daemon, started as the platform does: by the deploy file's `run`."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        log: ChangeLog,
        balancers: int,
        *,
        sockets: int = 1024,
        probes: bool = True,
    ) -> None:
        """`sockets` is the limit of descriptors, which the platform enforces."""
        self.record = record
        self.folder = folder
        self.log = log
        self.balancers = balancers
        self.sockets = sockets
        self.probes = probes
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.settings_file: Path | None = None

    def configure(self) -> Path:
        document = json.loads((ROOT / "examples" / "config.json").read_text())
        settings = document["settings"]
        settings["balancers"] = self.balancers
        settings["limits"]["probes"] = self.probes
        document |= {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "changelog": f"{LOOPBACK}:{self.log.port}",
            "known": self.log.document(),
        }
        path = self.folder / "config.json"
        part = self.folder / "config.part"
        part.write_text(json.dumps(document))
        part.replace(path)
        return path

    def start(self) -> None:
        self.starts += 1
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        config = self.configure()
        scratch = self.folder / f"tmp{self.starts}"
        scratch.mkdir()
        env = {
            **os.environ,
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": f"{LOOPBACK}:{self.port}",
            "PROXY_CONFIG": str(config),
            "TMPDIR": str(scratch),
        }
        if self.settings_file is not None:
            env["ROWANMAST_SETTINGS"] = str(self.settings_file)
        command = f"ulimit -n {self.sockets} && {deploy['run']}"
        with (self.folder / f"router{self.starts}.log").open("wb") as output:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.write("platform", f"router started, run {self.starts}")

    async def ready(self, callers: Callers) -> None:
        """Waits until the router passes a test."""
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if self.process is None or self.process.poll() is not None:
                raise CannotRun("the router ended at its start")
            try:
                if await (await callers.connect()).test() == 200:
                    self.record.write("platform", "the router passed a test")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record.write("platform", f"{number.name} to the router")
            self.process.send_signal(number)

    async def wait_for_exit(self, within_s: float) -> int | None:
        end = time.monotonic() + within_s
        while self.process is not None and time.monotonic() < end:
            if self.process.poll() is not None:
                self.record.write("platform", f"the router ended with {self.process.returncode}")
                return self.process.returncode
            await asyncio.sleep(0.02)
        return None

    def crashed(self) -> bool:
        return self.process is None or self.process.poll() is not None

    def descriptors(self) -> int:
        """How many descriptors the process holds, as the platform counts them."""
        return 0 if self.process is None else len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def logged(self) -> list[str]:
        return [
            f"run {number}: {line}"
            for number in range(1, self.starts + 1)
            for line in (self.folder / f"router{number}.log").read_text(errors="replace").splitlines()
        ]


class World:
    """One small deployment: the router, `switches` others, the change log and the callers."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.log = ChangeLog(record)
        self.switches: list[Switch] = []
        self.routers: list[Router] = []
        self.router: Router
        self.callers: Callers
        self.broken: list[str] = []

    def add_switch(self, number: int, **details: Any) -> Switch:
        switch = Switch(self.record, f"s-{number:08x}", number, **details)
        self.switches.append(switch)
        return switch

    async def open(self, **details: Any) -> None:
        """Starts everything and waits until the router may be used."""
        for switch in self.switches:
            await switch.start()
        await self.log.start()
        await self.log.add([one.entry for one in self.switches], whole=True)
        self.router = Router(self.record, self.folder, self.log, len(self.switches) + 1, **details)
        self.routers.append(self.router)
        self.callers = Callers(self.record, self.router.port)
        self.router.start()
        await self.router.ready(self.callers)
        await asyncio.sleep(1.0)  # the links to the switches come up

    def breach(self, text: str) -> None:
        self.record.write("RULE", f"broken: {text}")
        self.broken.append(text)


def play(case: Callable[[World], Awaitable[None]], limit_s: float = 100.0) -> None:
    """Plays a case and ends with 0 (the rule held), 1 (it was broken) or 2 (the case couldn't run)."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the router is ended then, too
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    code = 2

    async def run(world: World) -> None:
        async with asyncio.timeout(limit_s):
            await case(world)
        if any(one.crashed() for one in world.routers):
            raise CannotRun("a router ended before the case did")
        world.log.stop()

    with tempfile.TemporaryDirectory() as temporary:
        worlds: list[World] = []

        async def begin() -> None:
            worlds.append(World(record, Path(temporary)))
            await run(worlds[0])

        try:
            asyncio.run(begin())
            code = 1 if worlds[0].broken else 0
        except Exception as error:
            record.write("case", f"could not run: {type(error).__name__} {error}")
        finally:
            for router in worlds[0].routers if worlds else []:
                router.stop()
                for line in router.logged():
                    record.file.write(f"log  {line}\n")
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
    record.write("verdict", verdict)
    print(verdict)
    sys.exit(10 + code)  # Python itself exits with 1; run.sh takes the 10 off and anything else for a 2
