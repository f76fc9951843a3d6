"""Shows a whole system on this machine: ``python -m benchmarks.demo``.

Starts a log service, entries, agents and backend servers, submits a job and a
non-idempotent request through the real client, prints what ran where, and checks the
history of the run.
"""

import subprocess
import sys
from collections import Counter
from dataclasses import dataclass

import msgspec
from rich.console import Console
from rich.table import Table

from tests.standins.caller import Told, job_of
from tests.standins.cluster import Cluster
from tests.standins.history import TaskFinished, TaskStarted
from tests.standins.layout import Layout
from tests.standins.process import ROOT, environment

__all__ = ["main"]

LAYOUT = Layout(entries=2, agents=4, data_centres=2)
TASKS = 20
SHORTEST_MS = 50
LONGEST_MS = 200
CLIENT_TIMEOUT_S = 60


@dataclass(frozen=True, slots=True)
class Submission:
    """A job with the name under which the demo shows it."""

    name: str
    job: object


def main():
    """Runs the demo; returns 0 only if every check holds."""
    console = Console()
    with Cluster(LAYOUT) as cluster:
        console.print(f"{len(cluster.daemons)} daemons run in 2 data centres")
        told = {s.name: submit(cluster, s) for s in submissions()}
        console.print(placement(cluster, told))
        faults = [*unanswered(told), *miscounted(cluster, told)]
        faults += cluster.findings()
    for fault in faults:
        console.print(f"[red]{fault}")
    if not faults:
        console.print("each task started once, every answer is whole")
    return 1 if faults else 0


def submissions():
    """Returns a job of many tasks and a request that must not run twice."""
    step = (LONGEST_MS - SHORTEST_MS) / (TASKS - 1)
    runs = [round(SHORTEST_MS + number * step) for number in range(TASKS)]
    tasks = [{"token": f"price-{n}", "run_ms": ms} for n, ms in enumerate(runs)]
    reservation = {"token": "reservation", "run_ms": SHORTEST_MS, "part": "fork seal"}
    return (
        Submission("job", job_of(tasks, kind="trade-in")),
        Submission("request", job_of([reservation], kind="reservation")),
    )


def submit(cluster, submission):
    """Submits with the command-line client; returns what it was told."""
    caller = cluster.caller("demo")
    entry = next(iter(cluster.entries))
    caller.record_sent(submission.name, entry, submission.job)
    told = run_client(cluster.entries.values(), submission.job)
    caller.record_told(submission.name, told)
    return told


def run_client(entries, job):
    """Runs ``banyanwheel submit`` with the job on its standard input."""
    command = [sys.executable, "-m", "banyanwheel_client", "submit", "-", "--json"]
    for address in entries:
        command += ["--entry", f"http://{address}"]
    client = subprocess.run(
        command,
        cwd=ROOT,
        env=environment(),
        input=msgspec.json.encode(job),
        stdout=subprocess.PIPE,
        timeout=CLIENT_TIMEOUT_S,
        check=False,
    )
    # The client tells a failure by its exit status and prints the problem.
    return Told(500 if client.returncode else 200, client.stdout)


def placement(cluster, told):
    """Returns a table of the tasks that each backend server started."""
    starts = Counter(
        (start.process, start.job_id)
        for start in cluster.events
        if isinstance(start, TaskStarted)
    )
    table = Table("server", "data centre", *(f"tasks of the {name}" for name in told))
    for number in cluster.layout.agent_numbers:
        server = f"server-{number}"
        counts = [starts[server, answer.answer.get("id")] for answer in told.values()]
        data_centre = cluster.layout.data_centre(server)
        table.add_row(server, data_centre, *map(str, counts))
    return table


def unanswered(told):
    """Returns the submissions that are not complete."""
    return [
        f"the {name} is not complete: {answer.body.decode()}"
        for name, answer in told.items()
        if not answer.complete
    ]


def miscounted(cluster, told):
    """Returns the tasks that did not start and finish exactly once."""
    events = cluster.events
    faults = []
    for kind in (TaskStarted, TaskFinished):
        counts = Counter((e.job_id, e.index) for e in events if isinstance(e, kind))
        for name, submission in zip(told, submissions(), strict=True):
            job_id = told[name].answer.get("id")
            for index in range(len(submission.job.tasks)):
                count = counts[job_id, index]
                if count != 1:
                    faults.append(f"{name}/{index}: {count} times {kind.__name__}")
    return faults


if __name__ == "__main__":
    sys.exit(main())
