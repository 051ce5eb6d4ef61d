"""`rowanmast check`: validates configuration and settings files."""

from __future__ import annotations

from typing import Annotated

import typer

from rowanmast.config import ConfigError, read_config
from rowanmast.net.changelog import Reader
from rowanmast.options.reader import read_options


def check(
    files: Annotated[
        list[str],
        typer.Argument(help="Platform configurations (.json) or Rowanmast settings files (any other name)."),
    ],
) -> None:
    """Check configuration files. The exit code is 1 if a file is invalid."""
    invalid = 0
    for name in files:
        try:
            typer.echo(f"{name}: {summarize(name)}")
        except ConfigError as error:
            invalid += 1
            typer.echo(str(error), err=True)
    raise typer.Exit(1 if invalid else 0)


def summarize(name: str) -> str:
    """A one-line summary of a file. Raises ConfigError."""
    if name.endswith(".json"):
        config = read_config(name, Reader())
        switches = sum(len(change.exchange_list.entries) for change in config.known)
        classes = ", ".join(config.classes)
        return f"valid: router {config.name}, classes {classes}, {switches} switches known"
    options = read_options(name)
    if options.iax is None:
        return "valid: no IAX2"
    pair = "with a VRRP pair" if options.iax.pair is not None else "without a VRRP pair"
    return f"valid: IAX2 at {options.iax.listen[0]}:{options.iax.listen[1]}, {pair}"
