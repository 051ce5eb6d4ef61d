"""The figures of a set-up, such as dest:2;width:1;via:-1, in which both fronts carry its route."""

from __future__ import annotations

from rowanmast.core.ports import Route


def parse_integer(text: str) -> int:
    """A whole number of up to nine digits; `int` alone also takes 1_000 and digits of any script."""
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 9):
        raise ValueError(f"{text[:20]!r} is no figure")
    return int(text)


def parse_route(text: str, redialled: bool = False) -> Route:
    """The route in such figures; `redialled` where the wire says that elsewhere. Raises ValueError."""
    figures: dict[str, int] = {}
    for part in text.split(";"):
        if not part.strip():
            continue
        name, colon, value = part.strip().partition(":")
        if not colon:
            raise ValueError(f"route figure {part[:20]!r} has no value")
        figures[name.strip()] = parse_integer(value.strip())
    if "dest" not in figures:
        raise ValueError("the route names no destination")
    if figures["dest"] < 0 or figures.get("width", 1) < 1:
        raise ValueError("destination or width is out of range")
    via = figures.get("via", -1)
    return Route(
        dest=figures["dest"],
        width=figures.get("width"),
        via=None if via < 0 else via,
        redialled=redialled or figures.get("redial") == 1,
        transit=figures.get("transit") == 1,
        again=figures.get("again") == 1,
    )
