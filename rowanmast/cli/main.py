"""The command `rowanmast` and its sub-commands."""

from __future__ import annotations

import typer

from rowanmast.cli import check, demo, run, trial

app = typer.Typer(
    help="The call router of Coral Coast Mail Sorting.", no_args_is_help=True, add_completion=False
)
app.command("run")(run.run)
app.command("check")(check.check)
app.command("demo")(demo.demo)
app.add_typer(trial.app, name="trial")
