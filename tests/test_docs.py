"""The documentation matches the code, and its library example runs."""

from __future__ import annotations

import contextlib
import re
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from rowanmast import embed

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))


def test_api_page_matches_code() -> None:
    from tools.api_reference import PAGE_PATH, page

    assert PAGE_PATH.read_text(encoding="utf-8") == page(), "run `make api`"
    assert all(f"`{name}" in page() for name in embed.__all__)


def test_every_log_event_is_on_the_on_call_page() -> None:
    on_call = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    events = set()
    for path in (ROOT / "rowanmast").rglob("*.py"):
        source = path.read_text(encoding="utf-8")
        events |= set(re.findall(r'log\.(?:info|warning|error|exception)\(\s*"(\w+)"', source))
    assert len(events) > 25
    assert not sorted(event for event in events if f"`{event}`" not in on_call)


def test_embedded_example_places_its_call() -> None:
    switch = subprocess.Popen([sys.executable, "examples/toy_switch.py"], cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        for _ in range(200):
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", 7102), 0.1):
                break
            time.sleep(0.02)
        done = subprocess.run(
            [sys.executable, "-m", "examples.embedded"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            check=True,
        )
    finally:
        switch.kill()
        switch.wait()
    assert done.stdout == "stands: bin 17\nover: switch\n"


@pytest.mark.parametrize("page", ["README.md", "docs/embedding.md", "docs/architecture.md", "docs/iax2.md"])
def test_files_named_by_a_page_exist(page: str) -> None:
    text = (ROOT / page).read_text(encoding="utf-8")
    named = re.findall(r"`((?:docs|deploy|examples|rowanmast|benchmarks|tests|tools)/[\w./]*\w)/?`", text)
    assert named and not [name for name in named if not (ROOT / name).exists()]
