"""Plays random faults against real processes: ``python -m benchmarks.soak``.

Each seed starts a system behind proxies, has callers hand in jobs all the time, and
injects faults in series and overlapping. With ``--wide`` orders are also late, herds
are killed in series, and callers leave and come back. What callers and workers saw is
checked against every promise. The files of a seed that fails are kept.
"""

import shutil
import time
from pathlib import Path
from typing import Annotated

import typer

from tests.standins.chaos import mixed_chaos, play as inject, wide_chaos
from tests.standins.cluster import Cluster
from tests.standins.layout import RARE_LABEL, Layout
from tests.standins.load import Load, WideLoad

__all__ = ["app", "play"]

app = typer.Typer(add_completion=False)

CALLERS = 4
FINALS = {"completed", "failed"}
END_TIMEOUT_S = 30.0


def play(seed, directory, *, dispatchers=3, runners=4, faults=6, wide=False):
    """Plays one seed; returns the broken promises and the faults that were injected."""
    if wide:
        layout = Layout.uneven(dispatchers, runners)
    else:
        layout = Layout(dispatchers, runners, proxied=True)
    with Cluster(layout, directory) as cluster:
        load = WideLoad(cluster, RARE_LABEL) if wide else Load(cluster, CALLERS)
        load.start()
        try:
            injected = inject(_chaos(cluster, faults, seed, wide))
        finally:
            load.stop()
        findings = [*_unfinished(cluster, load), *map(str, cluster.findings())]
    return findings, injected


def _chaos(cluster, faults, seed, wide):
    if wide:
        return wide_chaos(cluster, faults, seed)
    return mixed_chaos(cluster, faults, seed, restarts=True)


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
    faults: Annotated[int, typer.Option(help="Faults in each series.")] = 6,
    dispatchers: int = 3,
    runners: int = 4,
    wide: Annotated[bool, typer.Option(help="The wider set of faults.")] = False,
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
            seed,
            directory,
            dispatchers=dispatchers,
            runners=runners,
            faults=faults,
            wide=wide,
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
