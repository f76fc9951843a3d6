"""Plays random faults against real processes: ``python -m benchmarks.soak``.

Each seed starts a system behind proxies, has callers hand in jobs all the time, and
injects faults in series and overlapping. What callers and workers saw is checked
against every promise. The files of a seed that fails are kept.
"""

import shutil
import time
from pathlib import Path
from typing import Annotated

import typer

from tests.standins.chaos import Chaos
from tests.standins.cluster import Cluster
from tests.standins.layout import Layout
from tests.standins.load import Load

__all__ = ["app", "play"]

app = typer.Typer(add_completion=False)

CALLERS = 4
FINALS = {"completed", "failed"}
END_TIMEOUT_S = 30.0


def play(seed, directory, *, dispatchers=3, runners=4, faults=6):
    """Plays one seed; returns the broken promises and the faults that were injected."""
    layout = Layout(dispatchers, runners, proxied=True)
    with Cluster(layout, directory) as cluster:
        load = Load(cluster, CALLERS)
        load.start()
        try:
            injected = _disturb(cluster, seed, faults)
        finally:
            load.stop()
        findings = [*_unfinished(cluster, load), *map(str, cluster.findings())]
    return findings, injected


def _disturb(cluster, seed, count):
    """Disturbs two halves of the system at the same time; returns what was done."""
    numbers = list(range(1, cluster.layout.runners + 1))
    halves = numbers[::2], numbers[1::2]
    chaos = [
        Chaos(cluster, half, count, seed * len(halves) + index, restarts=True)
        for index, half in enumerate(halves)
    ]
    for one in chaos:
        one.start()
    for one in chaos:
        one.join()
    return [one.applied for one in chaos]


def _unfinished(cluster, load):
    """Yields the accepted jobs that do not end, or that the system is not whole."""
    try:
        cluster.wait_ready()
    except TimeoutError as error:
        yield f"the system comes back: {error}"
        return
    caller = cluster.caller("after")
    deadline = time.monotonic() + END_TIMEOUT_S
    for job_id, stored, told in load.told:
        state = "" if stored and told.accepted else "completed"
        while state not in FINALS and time.monotonic() < deadline:
            state = caller.state("dispatcher-1", job_id).state
        if state not in FINALS:
            yield f"accepted is kept: {job_id}: accepted, and then {state or 'unknown'}"


@app.command()
def main(
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 5,
    faults: Annotated[int, typer.Option(help="Faults on each half.")] = 6,
    dispatchers: int = 3,
    runners: int = 4,
    keep: Annotated[Path, typer.Option(help="Folder for failed seeds.")] = Path(
        "build/soak"
    ),
):
    """Plays seeds one after the other; exits with 1 if any broke a promise."""
    failed = []
    for seed in range(first, first + seeds):
        directory = keep / f"seed-{seed}"
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        findings, injected = play(
            seed, directory, dispatchers=dispatchers, runners=runners, faults=faults
        )
        for finding in findings:
            typer.echo(f"seed {seed}: {finding}")
        if findings:
            failed.append(seed)
            typer.echo(f"seed {seed}: {injected}; files in {directory}")
        else:
            typer.echo(f"seed {seed}: every promise is kept")
            shutil.rmtree(directory)
    typer.echo(f"{seeds - len(failed)} seeds kept every promise, {len(failed)} did not")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    app()
