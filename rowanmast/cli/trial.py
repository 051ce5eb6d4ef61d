"""`rowanmast trial`: runs fault trials of router processes on loopback."""

from __future__ import annotations

import asyncio
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import track
from rich.table import Table

from rowanmast.trials.schedule import draw_schedule
from rowanmast.trials.timeline import log_lines, timeline
from rowanmast.trials.trial import TrialResult, run_trial, write_report

app = typer.Typer(help="Fault trials of router processes on loopback.", no_args_is_help=True)


def run_seed(seed: int) -> TrialResult:
    """Runs the trial of one seed in this process."""
    return asyncio.run(run_trial(draw_schedule(seed)))


def parse_seeds(text: str) -> list[int]:
    """Parses a seed such as `7`, or an inclusive range such as `1..50`. Raises typer.BadParameter."""
    first, dots, last = text.partition("..")
    try:
        return list(range(int(first), int(last) + 1)) if dots else [int(first)]
    except ValueError:
        raise typer.BadParameter(f"{text!r} is neither a seed nor a range such as 1..50") from None


@app.command("run")
def run(
    seeds: Annotated[str, typer.Option(help="A seed, or a range such as 1..50.")] = "1..10",
    jobs: Annotated[int, typer.Option(min=1, max=16, help="Trials run in parallel.")] = 2,
    report: Annotated[Path | None, typer.Option(help="Write a JSON report to this file.")] = None,
    folder: Annotated[
        Path | None, typer.Option(help="Write the timeline of each failed trial to this folder.")
    ] = None,
) -> None:
    """Run the trials of the given seeds. The exit code is 1 if a rule was broken."""
    console = Console()
    numbers = parse_seeds(seeds)
    with ProcessPoolExecutor(jobs) as pool:
        done = track(pool.map(run_seed, numbers), "trials", total=len(numbers), console=console)
        results = list(done)
    console.print(results_table(results))
    if report is not None:
        write_report(results, report)
    failed = [result for result in results if not result.passed]
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        for result in failed:
            write_timeline(result, folder)
    console.print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    raise typer.Exit(bool(failed))


@app.command("show")
def show(seed: Annotated[int, typer.Argument(min=0)]) -> None:
    """Run one seed and print its faults, the broken rules and the events of the calls concerned."""
    for line in timeline(draw_schedule(seed), run_seed(seed)):
        print(line)


def write_timeline(result: TrialResult, folder: Path) -> None:
    schedule = draw_schedule(result.seed)
    (folder / f"{result.seed}.txt").write_text("\n".join(timeline(schedule, result)) + "\n")
    for router in result.logs:
        (folder / f"{result.seed}-{router}.log").write_text("\n".join(log_lines(result, router)) + "\n")


def results_table(results: list[TrialResult]) -> Table:
    """A table of the trials in which a rule was broken."""
    table = Table(title="Trials")
    for heading in ("seed", "offered", "stood", "refused", "failed", "lag ms", "broken"):
        table.add_column(heading, justify="left" if heading == "broken" else "right")
    for result in results:
        if not result.passed:
            table.add_row(str(result.seed), *count_cells(result), f"{result.by_rule()} {result.errors[:1]}")
    return table


def count_cells(result: TrialResult) -> list[str]:
    counts = result.counts
    numbers = (counts.offered, counts.stood, counts.refused, counts.failed)
    return [*map(str, numbers), f"{result.max_lag_s * 1000:.0f}"]
