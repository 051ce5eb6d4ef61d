"""Generates docs/api.md from the library's public names, signatures and docstrings (`make api`)."""

from __future__ import annotations

import enum
import inspect
import re
from pathlib import Path
from typing import Any

from rowanmast import embed, middleware

PAGE_PATH = Path(__file__).resolve().parent.parent / "docs" / "api.md"
PAGE_HEADER = """# API of the library

Made by `make api` from the code; a test checks that they match. How to use it: `embedding.md`.
"""


def signature(target: Any) -> str:
    """The signature as text, without `self` and quotes around annotations; empty if there is none."""
    try:
        text = str(inspect.signature(target))
    except (ValueError, TypeError):
        return ""
    text = re.sub(r"(: |-> )'([^']*)'", r"\1\2", text)
    return (
        text.replace("(self, ", "(")
        .replace("(self)", "()")
        .replace("<built-in function monotonic_ns>", "...")
    )


def docstring(target: Any) -> str:
    """The docstring without its indentation."""
    return inspect.cleandoc(inspect.getdoc(target) or "").strip()


def is_public_member(name: str, member: Any) -> bool:
    """Whether a member is a public method or property; class methods are not included."""
    return not name.startswith("_") and (inspect.isfunction(member) or isinstance(member, property))


def describe(name: str, target: Any) -> list[str]:
    """The Markdown lines of one public name."""
    if not inspect.isclass(target):
        if callable(target) and not isinstance(target, type):
            return [f"### `{name}{signature(target)}`", "", docstring(target), ""]
        return [f"### `{name}`", "", f"`{target}`".replace("rowanmast.embed.outcomes.", ""), ""]
    bases = [base.__name__ for base in target.__bases__ if base not in (object, enum.Enum)]
    kind = f" ({', '.join(bases)})" if bases else ""
    if issubclass(target, enum.Enum):
        values = ", ".join(f"`{member.name}`" for member in target)
        return [f"### `{name}`{kind}", "", docstring(target), "", f"Values: {values}.", ""]
    lines = [f"### `{name}{signature(target)}`{kind}", "", docstring(target), ""]
    for member_name, member in vars(target).items():
        if is_public_member(member_name, member) and inspect.getdoc(member):
            call = "" if isinstance(member, property) else signature(member)
            wait = "await " if inspect.iscoroutinefunction(member) else ""
            lines.append(f"- `{wait}{member_name}{call}`: {' '.join(docstring(member).split())}")
    return [*lines, ""] if lines[-1] else lines


def page() -> str:
    """The whole page as Markdown."""
    lines = [PAGE_HEADER]
    for module in (embed, middleware):
        lines += [f"## `{module.__name__}`", ""]
        for name in sorted(module.__all__):
            lines += describe(name, getattr(module, name))
    return "\n".join(lines).rstrip() + "\n"


if __name__ == "__main__":
    PAGE_PATH.write_text(page(), encoding="utf-8")
