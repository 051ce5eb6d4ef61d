"""`rowanmast demo`: runs a router with simulated switches and stations on loopback for a few seconds."""

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
    seconds: Annotated[
        float, typer.Option(min=0.5, max=600, help="Seconds for which calls are placed.")
    ] = 5.0,
    rate: Annotated[float, typer.Option(min=0.1, max=2000, help="Mean calls per second.")] = 60.0,
    switches: Annotated[int, typer.Option(min=1, max=50, help="Simulated switches.")] = 5,
    circuits: Annotated[
        int, typer.Option(min=2, max=10_000, help="Circuits to each switch; every second switch gets half.")
    ] = 30,
    seed: Annotated[int, typer.Option(min=0, help="Seed of the random calls.")] = 1,
) -> None:
    """Place calls through a router on loopback and print their outcomes."""
    console = Console()
    plan = DemoPlan(seconds=seconds, rate=rate, switches=switches, circuits=circuits, seed=seed)
    with Live(Text("starting"), console=console, refresh_per_second=4, transient=True) as live:

        def progress(elapsed_s: float, counts: StationCounts) -> None:
            live.update(
                Text(
                    f"{elapsed_s:5.1f} s  offered {counts.offered}  stood {counts.stood}  "
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
    """Tables of the outcomes of all calls and of the calls taken by each switch."""
    counts = result.counts
    calls = Table(title="Calls")
    for heading in ("offered", "stood", "refused", "failed", "transited", "mean ms", "p50 ms", "p99 ms"):
        calls.add_column(heading, justify="right")
    figures = (counts.offered, counts.stood, counts.refused, counts.failed, result.tandem_calls)
    delays = (result.mean_ms(), result.percentile_ms(0.5), result.percentile_ms(0.99))
    calls.add_row(*map(str, figures), *(f"{delay:.1f}" for delay in delays))
    switches = Table(title="Switches")
    for heading in ("switch", "circuits", "taken", "passed on"):
        switches.add_column(heading, justify="left" if heading == "switch" else "right")
    for name, *row in result.by_switch:
        switches.add_row(name, *map(str, row))
    return Group(calls, switches)
