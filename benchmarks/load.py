"""Measures a system on this machine under load: ``python -m benchmarks.load``.

Jobs of three kinds arrive by a Poisson process, as on the users' sheets but smaller.
For each kind the table shows the response over the ideal, which is the time of its
longest task, and the share that ended on time.
"""

import json
import statistics
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from tests.standins.caller import job_of
from tests.standins.cluster import Cluster
from tests.standins.history import TaskStarted
from tests.standins.layout import Layout

__all__ = ["app"]

app = typer.Typer(add_completion=False)

SLACK_FACTOR = 1.6  # of the users' sheets
TARGET_S = 0.06
POLL_S = 0.02
WAIT_S = 15.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of work; ``share`` is of all jobs, ``cpu`` in thousandths of a core."""

    name: str
    share: float
    tasks: int
    run_ms: int
    cpu: int


KINDS = (
    Kind("short", 0.25, 8, 60, 400),
    Kind("long", 0.05, 4, 900, 400),
    Kind("common", 0.70, 2, 200, 400),
)


@dataclass(frozen=True, slots=True)
class Sample:
    """What came of one job."""

    kind: str
    seconds: float
    completed: bool

    def on_time(self, kind):
        """Whether it ended within its objective."""
        objective_s = SLACK_FACTOR * kind.run_ms / 1000 + TARGET_S
        return self.completed and self.seconds <= objective_s


@app.command()
def main(
    jobs_per_s: Annotated[float, typer.Option(help="Arrivals.")] = 10.0,
    seconds: Annotated[float, typer.Option(help="Length of the load.")] = 15.0,
    runners: int = 4,
    dispatchers: int = 2,
    stored: Annotated[bool, typer.Option(help="Store the jobs on the log.")] = False,
    fault: Annotated[
        list[str] | None,
        typer.Option(help="A fault such as worker-1:hang, from a third to two thirds."),
    ] = None,
    seed: int = 1,
    save: Annotated[Path | None, typer.Option(help="File for the samples.")] = None,
):
    """Runs one load and prints what callers saw."""
    layout = Layout(dispatchers=dispatchers, runners=runners)
    with Cluster(layout) as cluster:
        load = _Arrivals(cluster, jobs_per_s, seconds, stored, Random(seed))
        load.run([text.partition(":")[::2] for text in fault or ()])
        starts = sum(isinstance(event, TaskStarted) for event in cluster.events)
        findings = cluster.findings()
    _report(load.samples, starts, findings)
    if save is not None:
        rows = [[s.kind, s.seconds, s.completed] for s in load.samples]
        save.write_text(json.dumps(rows))
    raise typer.Exit(1 if findings else 0)


class _Arrivals:
    """Hands in jobs at random times, each from a thread of its own."""

    def __init__(self, cluster, jobs_per_s, seconds, stored, random):
        self.samples = []
        self._cluster = cluster
        self._jobs_per_s = jobs_per_s
        self._seconds = seconds
        self._stored = stored
        self._random = random

    def run(self, faults):
        """Carries out the load; ``faults`` are (process, name of the fault)."""
        start = time.monotonic()
        threads = []
        number, due, broken = 0, 0.0, False
        while due < self._seconds:
            time.sleep(max(0.0, start + due - time.monotonic()))
            third = int(3 * due / self._seconds)
            if faults and broken != (third == 1):
                broken = third == 1
                self._apply(faults, broken)
            number += 1
            (kind,) = self._random.choices(KINDS, [kind.share for kind in KINDS])
            thread = threading.Thread(target=self._hand_in, args=(number, kind))
            thread.start()
            threads.append(thread)
            due += self._random.expovariate(self._jobs_per_s)
        for thread in threads:
            thread.join()

    def _apply(self, faults, broken):
        for process, name in faults:
            self._cluster.set_faults(process, **({name: True} if broken else {}))

    def _hand_in(self, number, kind):
        names = self._cluster.layout.dispatcher_names
        dispatcher = names[number % len(names)]
        caller = self._cluster.caller(f"load-{number}")
        job_id = f"{number:016x}"
        job = job_of(kind.tasks, kind.run_ms, stored=self._stored, cpu=kind.cpu)
        begun = time.monotonic()
        told = caller.submit(dispatcher, job_id, job)
        state = told.state
        while (
            self._stored and told.accepted and state not in ("completed", "failed")
        ) and time.monotonic() - begun < WAIT_S:
            time.sleep(POLL_S)
            state = caller.state(dispatcher, job_id).state
        seconds = time.monotonic() - begun
        self.samples.append(Sample(kind.name, seconds, state == "completed"))


def _report(samples, starts, findings):
    console = Console()
    table = Table("kind", "jobs", "completed", "on time", "p50 over ideal", "p99")
    for kind in KINDS:
        own = [sample for sample in samples if sample.kind == kind.name]
        done = sorted(s.seconds * 1000 / kind.run_ms for s in own if s.completed)
        on_time = sum(sample.on_time(kind) for sample in own)
        table.add_row(
            kind.name,
            str(len(own)),
            str(len(done)),
            f"{on_time / max(1, len(own)):.2f}",
            f"{statistics.median(done):.2f}" if done else "-",
            f"{done[int(0.99 * (len(done) - 1))]:.2f}" if done else "-",
        )
    console.print(table)
    console.print(f"{starts} starts")
    for finding in findings:
        console.print(f"[red]{finding}")


if __name__ == "__main__":
    app()
