"""`rowanmast check`: says whether files can be used, and where they can't, why."""

from __future__ import annotations

from typing import Annotated

import typer

from rowanmast.config import ConfigError, read_config
from rowanmast.net.changelog import Reader
from rowanmast.options.reader import read_options


def check(
    files: Annotated[
        list[str],
        typer.Argument(help="Configurations of the platform (.json) or settings of ours (any other name)."),
    ],
) -> None:
    """Check configuration files; exit code 1 if one can't be used."""
    wrong = 0
    for name in files:
        try:
            typer.echo(f"{name}: {summarize(name)}")
        except ConfigError as error:
            wrong += 1
            typer.echo(str(error), err=True)
    raise typer.Exit(1 if wrong else 0)


def summarize(name: str) -> str:
    """What a file says, in a few words. Raises ConfigError."""
    if name.endswith(".json"):
        config = read_config(name, Reader())
        switches = sum(len(change.exchange_list.entries) for change in config.known)
        classes = ", ".join(config.classes)
        return f"fit: router {config.name}, classes {classes}, {switches} switches known"
    options = read_options(name)
    if options.iax is None:
        return "fit: no IAX2"
    pair = "with a pair" if options.iax.pair is not None else "without a pair"
    return f"fit: IAX2 at {options.iax.listen[0]}:{options.iax.listen[1]}, {pair}"
