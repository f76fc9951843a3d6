"""Plays random faults against real processes: ``python -m benchmarks.soak``.

Each seed starts a system behind proxies, has callers hand in jobs all the time, and
injects faults in series and overlapping. With ``--wide`` orders are also late, herds
are killed in series, and callers leave and come back; with ``--crowds`` clients that
don't behave come in crowds beside the faults. With ``--doubts`` runners are cut off
until their tasks run elsewhere, dispatchers are lost then, the log is away for seconds,
and callers cancel their jobs meanwhile. What callers and workers saw is
checked against every promise. The files of a seed that fails are kept.
"""

import shutil
import time
from pathlib import Path
from typing import Annotated

import typer

from tests.standins.chaos import (
    crowd_chaos,
    doubt_chaos,
    mixed_chaos,
    play as inject,
    wide_chaos,
)
from tests.standins.cluster import Cluster
from tests.standins.crowds import usage
from tests.standins.layout import RARE_LABEL, Layout
from tests.standins.load import CancelingLoad, Load, WideLoad

__all__ = ["app", "play"]

app = typer.Typer(add_completion=False)

CALLERS = 4
FINALS = {"completed", "failed"}
END_TIMEOUT_S = 30.0
MEMORY_MB = 128  # that a daemon assumes without settings


def play(
    seed,
    directory,
    *,
    dispatchers=3,
    runners=4,
    faults=6,
    wide=False,
    doubts=False,
    crowds=0,
):
    """Plays one seed; returns the broken promises and the faults that were injected."""
    if wide:
        layout = Layout.uneven(dispatchers, runners)
    else:
        layout = Layout(dispatchers, runners, proxied=True)
    with Cluster(layout, directory) as cluster:
        load = _load(cluster, seed, wide, doubts)
        load.start()
        try:
            chaos = _chaos(cluster, faults, seed, wide, doubts)
            injected = inject([*chaos, *crowd_chaos(cluster, crowds, seed)])
        finally:
            load.stop()
        findings = [
            *_unfinished(cluster, load),
            *_beyond_memory(cluster),
            *map(str, cluster.findings()),
        ]
    return findings, injected


def _load(cluster, seed, wide, doubts):
    if doubts:
        return CancelingLoad(cluster, seed)
    return WideLoad(cluster, RARE_LABEL) if wide else Load(cluster, CALLERS)


def _chaos(cluster, faults, seed, wide, doubts):
    if doubts:
        return doubt_chaos(cluster, faults, seed)
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


def _beyond_memory(cluster):
    """Yields the daemons whose peak of resident memory is above their limit."""
    for name in cluster.daemons:
        if cluster.running(name):
            peak_mb, _ = usage(cluster.pid(name))
            if peak_mb >= MEMORY_MB:
                yield f"memory: {name} took {peak_mb:.0f} MB"


@app.command()
def main(
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 5,
    faults: Annotated[int, typer.Option(help="Faults in each series.")] = 6,
    dispatchers: int = 3,
    runners: int = 4,
    wide: Annotated[bool, typer.Option(help="The wider set of faults.")] = False,
    doubts: Annotated[bool, typer.Option(help="Cuts, outages and cancels.")] = False,
    crowds: Annotated[int, typer.Option(help="Crowds of clients, one by one.")] = 0,
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
            doubts=doubts,
            crowds=crowds,
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
