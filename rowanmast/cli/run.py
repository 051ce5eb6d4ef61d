"""`rowanmast run`: the daemon."""

from __future__ import annotations

from typing import Annotated

import typer

from rowanmast.app import daemon


def run(
    config: Annotated[
        str | None, typer.Option(envvar="PROXY_CONFIG", help="The platform's configuration, JSON.")
    ] = None,
    settings: Annotated[
        str | None,
        typer.Option(envvar="ROWANMAST_SETTINGS", help="Our own settings, protobuf text format."),
    ] = None,
) -> None:
    """Serve as one call router until SIGTERM."""
    raise typer.Exit(daemon.start(config, settings))
