"""The modes in which a test can run its router: in the test's loop, embedded in a host, or as a process.

Tests do not depend on the mode: they talk to sockets and look inside the router only through
`LocalNetwork.router`. A test that looks inside a router in another process is skipped, naming the attribute.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import enum
import json
import os
import subprocess
import sys
import tempfile
import threading
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from rowanmast import interface as api
from rowanmast.config import Config, IaxConfig
from rowanmast.embed import (
    CallRequest,
    EmbeddedRouter,
    EndedBy,
    Failed,
    Failure,
    Refused,
    RequestError,
    StandingCall,
    Stands,
)
from rowanmast.net import sip
from rowanmast.routes import parse_integer, parse_route

MODES = ("in-process", "embedded", "daemon")
ROOT = Path(__file__).resolve().parent.parent
FAILURE_STATUS = {Failure.GIVEN_UP: 500, Failure.CANCELLED: 487, Failure.FAULT: 500, Failure.UNFIT: 400}
PLAIN_TYPES = (str, int, float, bool, enum.Enum, type(None))


class HostGateway(asyncio.Protocol):
    """One connection of a host application that accepts SIP calls and places them through the library."""

    def __init__(self, router: EmbeddedRouter) -> None:
        self.router = router
        self.parser = sip.Parser()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.standing: dict[str, StandingCall] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        for call, task in list(self.tasks.items()):
            if call not in self.standing:
                task.cancel()

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if message.method == "INVITE":
                served = asyncio.get_running_loop().create_task(self.serve(message))
                self.tasks[message.call_id] = served
                served.add_done_callback(lambda _, call=message.call_id: self.tasks.pop(call, None))
            elif message.method == "CANCEL":
                self.write(sip.encode_response(message, 200))
                if message.call_id in self.tasks:
                    self.tasks[message.call_id].cancel()
            elif message.method == "BYE":
                self.write(sip.encode_response(message, 200))
                if message.call_id in self.standing:
                    self.standing[message.call_id].release()

    async def serve(self, invite: sip.Message) -> None:
        try:
            outcome = await self.router.place(read_request(invite))
        except (RequestError, ValueError):
            self.write(sip.encode_response(invite, 400))
            return
        except asyncio.CancelledError:
            self.write(sip.encode_response(invite, 487))
            raise
        match outcome:
            case Stands():
                call = self.standing[invite.call_id] = outcome.call
                self.write(sip.encode_response(invite, 200, body=call.text.encode()))
                ending = await call.over()
                del self.standing[invite.call_id]
                if ending.by is not EndedBy.HOST:
                    self.write(sip.encode_bye(invite.call_id, ending.cause))
            case Refused():
                self.write(sip.encode_response(invite, 503, (("Retry-After", str(outcome.retry_after)),)))
            case Failed():
                self.write(sip.encode_response(invite, FAILURE_STATUS[outcome.why]))


def read_request(invite: sip.Message) -> CallRequest:
    """The library's request for a call that arrived by SIP."""
    route = parse_route(invite.get("x-route"))
    return CallRequest(
        number=invite.user,
        dest=route.dest,
        klass=invite.get("x-service"),
        wait_s=parse_integer(invite.get("x-setup-ms")) / 1000,
        text=invite.body.decode(),
        width=route.width,
        advised=route.via,
        transit=route.transit,
    )


class RouterThreadProxy:
    """Proxy of an object on the router's thread: every access and call from the test is carried out there."""

    def __init__(self, target: Any, embedded: EmbeddedRouter) -> None:
        object.__setattr__(self, "_target", target)
        object.__setattr__(self, "_embedded", embedded)

    def _on_router_thread(self, action: Any) -> Any:
        thread, loop = self._embedded.thread, self._embedded.desk.loop
        if loop is None or threading.current_thread() is thread:
            return self._wrap(action())
        done: concurrent.futures.Future[Any] = concurrent.futures.Future()

        def run() -> None:
            try:
                done.set_result(action())
            except Exception as error:
                done.set_exception(error)

        loop.call_soon_threadsafe(run)
        return self._wrap(done.result(5))

    def _wrap(self, value: Any) -> Any:
        return value if isinstance(value, PLAIN_TYPES) else RouterThreadProxy(value, self._embedded)

    def __getattr__(self, name: str) -> Any:
        return self._on_router_thread(lambda: getattr(self._target, name))

    def __call__(self, *arguments: Any) -> Any:
        return self._on_router_thread(lambda: self._target(*arguments))

    def __iter__(self) -> Any:
        return iter([self._wrap(item) for item in list(self._target)])

    def __contains__(self, item: Any) -> bool:
        return bool(self._on_router_thread(lambda: item in self._target))

    def __getitem__(self, key: Any) -> Any:
        return self._on_router_thread(lambda: self._target[key])

    def __bool__(self) -> bool:
        return bool(self._on_router_thread(lambda: bool(self._target)))

    def __eq__(self, other: object) -> bool:
        return bool(self._target == other)

    __hash__ = None  # type: ignore[assignment]


class Embedded:
    """An embedded router behind a host application that speaks SIP."""

    def __init__(self, config: Config, iax: IaxConfig | None, addresses: Any) -> None:
        self.listen = config.listen
        self.embedded = EmbeddedRouter(config, iax=iax, addresses=addresses)
        self.stop = asyncio.Event()
        self.ready = asyncio.Event()

    async def run(self) -> None:
        async with self.embedded:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(lambda: HostGateway(self.embedded), *self.listen)
            self.ready.set()
            await self.stop.wait()
            server.close()

    @property
    def iax_front(self) -> Any:
        part = self.embedded.router.components[0]  # type: ignore[union-attr]
        return RouterThreadProxy(part.front, self.embedded)  # type: ignore[attr-defined]

    @property
    def pair(self) -> Any:
        return RouterThreadProxy(self.embedded.router.components[0].pair, self.embedded)  # type: ignore[union-attr, attr-defined]

    def accepts_iax_calls(self) -> bool:
        return bool(self.embedded.router.components[0].accepts_calls())  # type: ignore[union-attr, attr-defined]

    def __getattr__(self, name: str) -> Any:
        if name == "config":
            pytest.skip("calls of an embedded router end with its host, so none stands across a restart")
        return RouterThreadProxy(getattr(self.embedded.router, name), self.embedded)


class DaemonProcess:
    """The daemon, started as the platform does; its state is read from its log."""

    def __init__(self, document: dict[str, Any], options: str, change_log: Any) -> None:
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        (folder / "config.json").write_text(json.dumps(document))
        (folder / "settings.txtpb").write_text(options)
        self.environment = {
            **os.environ,
            "PROXY_CONFIG": str(folder / "config.json"),
            "ROWANMAST_SETTINGS": str(folder / "settings.txtpb"),
        }
        self.change_log = change_log
        self.log_lines: list[str] = []
        self.stop = asyncio.Event()
        self.ready = asyncio.Event()
        self.listed_links: dict[str, Any] = {}
        self.ledger = SimpleNamespace(unanswered_count=self.unanswered_count, is_up=self.is_up)

    async def run(self) -> None:
        """Runs the process until `stop` is set; fails on a bad exit code or a log line at level error."""
        loop = asyncio.get_running_loop()
        process = subprocess.Popen(
            [sys.executable, "-m", "rowanmast"],
            cwd=ROOT,
            env=self.environment,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert process.stderr is not None
        reading = loop.run_in_executor(None, self.read_log, process.stderr, loop)
        try:
            await self.stop.wait()
            process.terminate()
            await asyncio.wait_for(reading, 15)
            assert process.wait(5) == 0
        finally:
            process.kill()
            process.wait()
            self.folder.cleanup()
        assert not any("level=error" in line for line in self.log_lines), self.log_lines

    def read_log(self, stream: Any, loop: Any) -> None:
        for line in stream:
            self.log_lines.append(line)
            if "event=ready" in line:
                loop.call_soon_threadsafe(self.ready.set)

    def unanswered_count(self) -> int:
        (last,) = (line for line in self.log_lines if "event=stopped" in line)
        return int(last.partition("owed=")[2].split()[0])

    @property
    def listed(self) -> dict[str, api.ExchangeState]:
        """The switches in the part of the change log that the process has applied, each with its state."""
        applied = [line.partition("seq=")[2].split()[0] for line in self.log_lines if "event=list" in line]
        states: dict[str, api.ExchangeState] = {}
        for event in self.change_log.events[: max(map(int, applied), default=0)]:
            for entry in event["fleet"]["hosts"]:
                states[entry["host"]] = {"ready": api.ExchangeState.UP}.get(
                    entry["health"], api.ExchangeState.DRAINING
                )
        return states

    def is_up(self, exchange: str) -> bool:
        return self.listed.get(exchange) is api.ExchangeState.UP

    def __getattr__(self, name: str) -> Any:
        pytest.skip(f"uses the router's {name}, which is in another process here")


def settings_document(settings: api.Settings, names: list[str]) -> dict[str, Any]:
    """The settings in the platform's form, which `read_settings` reads."""
    services = [
        {
            "name": name,
            "objective_ns": kind.objective_ns,
            "hard_limit_ns": kind.deadline_ns,
            "credit": kind.worth,
            "late_worth": kind.late_worth,
            "idempotency": kind.idempotency.value,
            "key_scope": kind.key_scope,
            "window_ns": kind.dedup_window_ns,
        }
        for name, kind in zip(names, settings.classes, strict=True)
    ]
    return {
        "balancers": settings.agents,
        "my_number": settings.agent_index,
        "period_ns": settings.deadline_margin_ns,
        "services": services,
        "over_share_worth": settings.over_share_worth,
        "family_info": {
            "self_no": settings.own_exchange,
            "network_form": "meshed",
            "guard_ns": settings.release_guard_ns,
            "t1_ns": settings.retransmit_ns,
            "widths": [kind.width for kind in settings.classes],
            "class_hold_ns": [kind.mean_hold_ns for kind in settings.classes],
        },
        "goal": {
            "whole": settings.overall_weight,
            "worst_window": settings.worst_window_weight,
            "worst_class": settings.worst_class_weight,
        },
        "guarantees": {
            "ask_within_ns": settings.subscribe_within_ns,
            "grace_to_answer_ns": settings.answer_grace_ns,
            "drain_grace_ns": settings.drain_grace_ns,
            "cold_from": settings.initial_capacity_fraction,
            "cold_ns": settings.cold_ns,
            "fall_multiple": settings.collapse_multiple,
            "tip_after_ns": settings.collapse_after_ns,
        },
        "limits": {
            "max_attempts": settings.max_attempts,
            "cancel": settings.cancel_allowed,
            "retry_after": settings.retry_after_allowed,
            "max_retry_after_ns": settings.max_retry_after_ns,
            "probes": settings.probes,
        },
    }


def options_text(iax: IaxConfig) -> str:
    """The IAX2 settings in protobuf text format."""
    lines = ["iax {", f'  listen: "{iax.listen[0]}:{iax.listen[1]}"']
    for exchange, (where, port) in iax.switches.items():
        lines.append(f'  switches {{ exchange: "{exchange}" address: "{where}:{port}" }}')
    if iax.pair is not None:
        own = iax.pair.parameters
        lines += [
            "  vrrp {",
            f'    listen: "{iax.pair.listen[0]}:{iax.pair.listen[1]}"',
            f'    peer: "{iax.pair.peer[0]}:{iax.pair.peer[1]}"',
            f"    vrid: {own.vrid} priority: {own.priority} interval_cs: {own.interval}",
            f'    address: "{own.address}"',
            "  }",
        ]
    return "\n".join([*lines, "}"])
