"""Parses the route of a set-up, such as dest:2;width:1;via:-1, as SIP and IAX2 callers send it.

Its integers are parsed by `parse_integer`, which SIP and HTTP headers use as well.
"""

from __future__ import annotations

from rowanmast.core.ports import Route


def parse_integer(text: str) -> int:
    """An integer of up to nine ASCII digits, possibly negative.

    `int` alone also accepts 1_000 and digits of any script.

    Raises ValueError. Its text reaches IAX2 callers and HTTP clients, so it has to stay as it is.
    """
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 9):
        raise ValueError(f"{text[:20]!r} is no figure")
    return int(text)


def parse_route(text: str, redialled: bool = False) -> Route:
    """Parses a route; `redialled` tells that the set-up states a redial outside of its route.

    Raises ValueError. Its text reaches IAX2 callers in a REJECT, so it has to stay as it is.
    """
    fields: dict[str, int] = {}
    for part in text.split(";"):
        if not part.strip():
            continue
        name, colon, value = part.strip().partition(":")
        if not colon:
            raise ValueError(f"route figure {part[:20]!r} has no value")
        fields[name.strip()] = parse_integer(value.strip())
    if "dest" not in fields:
        raise ValueError("the route names no destination")
    if fields["dest"] < 0 or fields.get("width", 1) < 1:
        raise ValueError("destination or width is out of range")
    via = fields.get("via", -1)
    return Route(
        dest=fields["dest"],
        width=fields.get("width"),
        via=None if via < 0 else via,
        redialled=redialled or fields.get("redial") == 1,
        transit=fields.get("transit") == 1,
        again=fields.get("again") == 1,
    )
