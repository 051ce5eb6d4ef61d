"""The README's example of the decision module runs as written."""

from __future__ import annotations

import re
from pathlib import Path

from conftest import SETTINGS, START, exchange_list, list_entry

from rowanmast.interface import Action, ListKind


def test_readme_example_runs() -> None:
    page = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    (example,) = re.findall(r"```python\n(.*?)```", page, re.DOTALL)
    actions: list[Action] = []
    event = exchange_list(list_entry(1), kind=ListKind.SAVED)
    names = {"settings": SETTINGS, "seed": 1, "now_ns": START, "event": event, "carry_out": actions.append}
    exec(example, names)
    assert list(names["agent"].active_exchanges) == [1]  # type: ignore[attr-defined]
