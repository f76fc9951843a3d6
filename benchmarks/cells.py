"""Simulates four uneven cells under load: ``python -m benchmarks.cells``.

Demand comes in waves out of phase. The table shows, with and without the balance
between cells, the share of each cell's callers that were served in time, if only late,
the shares of jobs on time, of the worth earned and of jobs moved, and of the moved jobs
those for which another went the opposite way in the same second.
"""

from statistics import fmean
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from banyanwheel_jobs.owners.job import LATE_FACTOR
from tests.jobs.cells.cells_world import CELLS, CellsWorld, exchanged
from tests.jobs.owners.overload_world import Kind

__all__ = ["app"]

app = typer.Typer(add_completion=False)

CORES = 32
SPEEDS = tuple(speed for speed in (0.55, 0.8, 1.0, 1.2, 0.9, 1.1) for _ in range(CELLS))
SECONDS = 16
TASK_CPU = 2_800
MEAN_OVER_MEDIAN = 1.083  # of widths and run times with a spread of 0.4
# By queue: jobs per second, tasks and seconds of a task (means), weight on time.
QUEUES = {
    "short": (103, 8, 0.12, 0.00485),
    "long": (18.8, 4, 1.8, 0.0267),
    "medium": (300, 2, 0.4, 0.00167),
}
LATE_WEIGHT = 0.2
BURST = (2, 3.0, 8.0, 1.8)  # cell, from, until, factor


def _kinds(load):
    work = sum(rate * tasks * run_s for rate, tasks, run_s, _ in QUEUES.values())
    part = load * CORES * sum(SPEEDS) / (work * TASK_CPU / 1_000)
    return [
        Kind(
            name,
            rate * part,
            tasks / MEAN_OVER_MEDIAN,
            run_s * 1_000 / MEAN_OVER_MEDIAN,
            TASK_CPU,
        )
        for name, (rate, tasks, run_s, _) in QUEUES.items()
    ]


def _weight(call):
    _, tasks, run_s, weight = QUEUES[call.kind.name]
    work = call.submission.steps[0].count * call.run_s / (tasks * run_s)
    return weight * (0.3 + 0.7 * work)


def _in_time(call):
    return call.done and call.waited_s <= LATE_FACTOR * call.objective_s


def _earned(call):
    if call.on_time:
        return _weight(call)
    return LATE_WEIGHT * _weight(call) if _in_time(call) else 0.0


def _figures(world):
    calls = world.calls
    by_cell = [[c for c in calls if c.placer % CELLS == cell] for cell in range(CELLS)]
    moved = sum(world.forwarded.values())
    return (
        *(fmean(map(_in_time, each)) for each in by_cell),
        fmean(call.on_time for call in calls),
        sum(map(_earned, calls)) / sum(map(_weight, calls)),
        moved / len(calls),
        2 * exchanged(world) / max(1, moved),
    )


def _play(load, seed, balanced, burst):
    world = CellsWorld(
        _kinds(load),
        SPEEDS,
        SECONDS,
        cpu=CORES * 1_000,
        seed=seed,
        balanced=balanced,
        burst=BURST if burst else None,
    )
    world.play()
    return _figures(world)


@app.command()
def measure(
    seeds: Annotated[int, typer.Option(help="Number of seeds, from 0 on.")] = 4,
    load: Annotated[
        list[float] | None, typer.Option(help="Demand over room; repeatable.")
    ] = None,
    burst: Annotated[bool, typer.Option(help="With a burst in one cell.")] = False,
):
    """Plays each load with and without the balance; prints means over the seeds."""
    cells = [f"served {cell}" for cell in range(CELLS)]
    table = Table("load", "", *cells, "on time", "worth", "moved", "opposed")
    for each in load or (1.0, 1.2, 1.5):
        for balanced in (False, True):
            runs = [_play(each, seed, balanced, burst) for seed in range(seeds)]
            means = [f"{fmean(column):.3f}" for column in zip(*runs, strict=True)]
            table.add_row(str(each), "after" if balanced else "before", *means)
    Console(width=120).print(table)


if __name__ == "__main__":
    app()
