"""`rowanmast demo`: a router with toy switches and stations on loopback, for a few seconds."""

from __future__ import annotations

from typing import Annotated

import typer
import uvloop
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from rowanmast.lab.demo import DemoPlan, DemoResult, run_demo
from rowanmast.lab.simulated import StationCounts


def demo(
    seconds: Annotated[float, typer.Option(min=0.5, max=600, help="How long calls come.")] = 5.0,
    rate: Annotated[float, typer.Option(min=0.1, max=2000, help="Calls a second, in the mean.")] = 60.0,
    switches: Annotated[int, typer.Option(min=1, max=50, help="Toy switches.")] = 5,
    circuits: Annotated[int, typer.Option(min=2, max=10_000, help="Circuits to each, half to some.")] = 30,
    seed: Annotated[int, typer.Option(min=0, help="For the same calls again.")] = 1,
) -> None:
    """Place calls through a router on loopback and print what became of them."""
    console = Console()
    plan = DemoPlan(seconds=seconds, rate=rate, switches=switches, circuits=circuits, seed=seed)
    with Live(Text("starting"), console=console, refresh_per_second=4, transient=True) as live:

        def progress(past: float, counts: StationCounts) -> None:
            live.update(
                Text(
                    f"{past:5.1f} s  offered {counts.offered}  stood {counts.stood}  "
                    f"refused {counts.refused}  failed {counts.failed}"
                )
            )

        result = uvloop.run(run_demo(plan, progress))
    console.print(result_tables(result))
    counts = result.counts
    answered = counts.stood + counts.refused + counts.failed
    if answered != counts.offered or counts.released != counts.stood:
        console.print(
            f"lost: {counts.unanswered}, not released: {counts.stood - counts.released}", style="red"
        )
        raise typer.Exit(1)


def result_tables(result: DemoResult) -> Group:
    """The outcome of all calls, and what each switch took."""
    counts = result.counts
    calls = Table(title="Calls")
    for head in ("offered", "stood", "refused", "failed", "transited", "mean ms", "p50 ms", "p99 ms"):
        calls.add_column(head, justify="right")
    figures = (counts.offered, counts.stood, counts.refused, counts.failed, result.tandem_calls)
    delays = (result.mean_ms(), result.percentile_ms(0.5), result.percentile_ms(0.99))
    calls.add_row(*map(str, figures), *(f"{delay:.1f}" for delay in delays))
    switches = Table(title="Switches")
    for head in ("switch", "circuits", "taken", "passed on"):
        switches.add_column(head, justify="left" if head == "switch" else "right")
    for name, *row in result.by_switch:
        switches.add_row(name, *map(str, row))
    return Group(calls, switches)
