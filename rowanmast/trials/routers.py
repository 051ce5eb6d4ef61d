"""Router processes of a trial: started as the platform does, stopped by signals, with their logs recorded."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from rowanmast.lab.demo import settings_document

READY_TIMEOUT_S = 15.0
LAST_LINES = 5  # of a router's log, reported if it does not start
CALL_CLASS = "item-lookup"


class StartError(Exception):
    """A router's process did not become ready."""


class RouterProcess:
    """One router, whose `name` and `listen` address survive restarts of its process."""

    def __init__(self, name: str, number: int, listen: tuple[str, int], folder: Path) -> None:
        self.name = name
        self.number = number
        self.listen = listen
        self.folder = folder
        self.log_lines: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self.log_reader: asyncio.Task[None] | None = None
        self.ready = asyncio.Event()
        self.starts = 0
        self.is_killed = False  # SIGKILL was sent, so no answers or releases are expected
        self.is_restarting = False  # a fault is replacing the process and the new one is not ready

    def configure(self, changelog: tuple[str, int], known: dict[str, Any], deadline_s: float) -> None:
        """Writes the configuration file in the platform's form; `known` is the state of the change log."""
        settings = settings_document()
        settings["services"][0] |= {"name": CALL_CLASS, "hard_limit_ns": int(deadline_s * 1e9)}
        settings["family_info"]["self_no"] = self.number
        document = {
            "name": self.name,
            "listen": "{}:{}".format(*self.listen),
            "seed": f"{self.number * 1000 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": "{}:{}".format(*changelog),
            "known": known,
            "settings": settings,
        }
        self.config_path.write_text(json.dumps(document))

    @property
    def config_path(self) -> Path:
        return self.folder / f"{self.name}.json"

    async def start(self) -> None:
        """Starts the process and waits until it listens. Raises StartError."""
        self.starts += 1
        self.is_killed = False
        self.ready.clear()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rowanmast",
            env={**os.environ, "PROXY_CONFIG": str(self.config_path)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.log_reader = asyncio.get_running_loop().create_task(self.read_log())
        ready = asyncio.ensure_future(self.ready.wait())
        # The log ends with the process.
        await asyncio.wait(
            (ready, self.log_reader), timeout=READY_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not self.ready.is_set():
            ready.cancel()
            what = "ended" if self.log_reader.done() else f"was not ready within {READY_TIMEOUT_S:g} s"
            raise StartError(f"{self.name} {what}; its last log lines: {self.log_lines[-LAST_LINES:]}")

    async def read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log_lines.append(line.decode().rstrip("\n"))
            if b"event=ready" in line:
                self.ready.set()

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None and not self.is_killed

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.is_killed |= number is signal.SIGKILL
            self.process.send_signal(number)

    async def wait_for_exit(self, within_s: float) -> int | None:
        """Returns the exit code, or None if the process still runs after `within_s`."""
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.log_reader is not None:
            await self.log_reader
