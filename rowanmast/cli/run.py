"""`rowanmast run`: runs the daemon."""

from __future__ import annotations

from typing import Annotated

import typer

from rowanmast.app import daemon


def run(
    config: Annotated[
        str | None, typer.Option(envvar="PROXY_CONFIG", help="Platform configuration file (JSON).")
    ] = None,
    settings: Annotated[
        str | None,
        typer.Option(envvar="ROWANMAST_SETTINGS", help="Rowanmast settings file (protobuf text format)."),
    ] = None,
) -> None:
    """Run a call router until SIGTERM."""
    raise typer.Exit(daemon.start(config, settings))
