"""Writes docs/api.md from the library's public names, their signatures and docstrings: `make api`."""

from __future__ import annotations

import enum
import inspect
import re
from pathlib import Path
from typing import Any

from rowanmast import embed, middleware

PAGE_PATH = Path(__file__).resolve().parent.parent / "docs" / "api.md"
PAGE_HEADER = """# API of the library

Made by `make api` from the code; a test holds the two together. How to use it: `embedding.md`.
"""


def signature(thing: Any) -> str:
    try:
        text = str(inspect.signature(thing))
    except (ValueError, TypeError):
        return ""
    text = re.sub(r"(: |-> )'([^']*)'", r"\1\2", text)
    return (
        text.replace("(self, ", "(")
        .replace("(self)", "()")
        .replace("<built-in function monotonic_ns>", "...")
    )


def prose(thing: Any) -> str:
    return inspect.cleandoc(inspect.getdoc(thing) or "").strip()


def is_plain(name: str, member: Any) -> bool:
    return not name.startswith("_") and (inspect.isfunction(member) or isinstance(member, property))


def describe(name: str, thing: Any) -> list[str]:
    if not inspect.isclass(thing):
        if callable(thing) and not isinstance(thing, type):
            return [f"### `{name}{signature(thing)}`", "", prose(thing), ""]
        return [f"### `{name}`", "", f"`{thing}`".replace("rowanmast.embed.outcomes.", ""), ""]
    bases = [base.__name__ for base in thing.__bases__ if base not in (object, enum.Enum)]
    kind = f" ({', '.join(bases)})" if bases else ""
    if issubclass(thing, enum.Enum):
        values = ", ".join(f"`{member.name}`" for member in thing)
        return [f"### `{name}`{kind}", "", prose(thing), "", f"Values: {values}.", ""]
    lines = [f"### `{name}{signature(thing)}`{kind}", "", prose(thing), ""]
    for member_name, member in vars(thing).items():
        if is_plain(member_name, member) and inspect.getdoc(member):
            call = "" if isinstance(member, property) else signature(member)
            wait = "await " if inspect.iscoroutinefunction(member) else ""
            lines.append(f"- `{wait}{member_name}{call}`: {' '.join(prose(member).split())}")
    return [*lines, ""] if lines[-1] else lines


def page() -> str:
    lines = [PAGE_HEADER]
    for module in (embed, middleware):
        lines += [f"## `{module.__name__}`", ""]
        for name in sorted(module.__all__):
            lines += describe(name, getattr(module, name))
    return "\n".join(lines).rstrip() + "\n"


if __name__ == "__main__":
    PAGE_PATH.write_text(page(), encoding="utf-8")
