"""The figures of a set-up, such as dest:2;width:1;via:-1, in which both fronts carry its route."""

from __future__ import annotations

from rowanmast.core.ports import Route


def read_route(text: str) -> Route:
    figures: dict[str, int] = {}
    for part in filter(None, map(str.strip, text.split(";"))):
        name, colon, value = part.partition(":")
        if not colon:
            raise ValueError(f"route figure {part!r} has no value")
        figures[name.strip()] = int(value)
    if "dest" not in figures:
        raise ValueError("the route names no destination")
    via = figures.get("via", -1)
    return Route(
        dest=figures["dest"],
        width=figures.get("width"),
        via=None if via < 0 else via,
        redialled=figures.get("redial") == 1,
        transit=figures.get("transit") == 1,
        again=figures.get("again") == 1,
    )
