"""Shows a whole system on this machine: ``python -m benchmarks.demo``.

Starts a log, dispatchers, runners and workers, submits a job and a request through the
real command line, prints what ran where, and checks the history of the run.
"""

import json
import subprocess
import sys
from collections import Counter

from rich.console import Console
from rich.table import Table

from tests.standins.cluster import Cluster
from tests.standins.history import TaskEnded, TaskStarted
from tests.standins.layout import Layout
from tests.standins.process import ROOT, environment

__all__ = ["main"]

LAYOUT = Layout(dispatchers=2, runners=4, data_centres=2)
CLIENT_TIMEOUT_S = 60
RUN_MS = 120
TASKS = 20


def main():
    """Runs the demo; returns 0 only if every check holds."""
    console = Console()
    with Cluster(LAYOUT) as cluster:
        console.print(f"{len(cluster.daemons)} daemons run in 2 data centres")
        told = {
            "job": submit(cluster, TASKS, transient=False),
            "request": submit(cluster, 1, transient=True),
        }
        console.print(placement(cluster, told))
        faults = [*unfinished(told), *miscounted(cluster, told)]
        faults += [str(finding) for finding in cluster.findings()]
    for fault in faults:
        console.print(f"[red]{fault}")
    if not faults:
        console.print("each task ran once, every job is completed")
    return 1 if faults else 0


def submit(cluster, tasks, transient):
    """Submits with the command-line client; returns its answer."""
    job = {
        "queue": "counter",
        "spec": json.dumps({"run_ms": RUN_MS}),
        "steps": [{"count": tasks, "cpu": 1000, "estimate_ms": RUN_MS}],
        "transient": transient,
    }
    command = [sys.executable, "-m", "banyanwheel_client", "submit", "-", "--json"]
    for name in cluster.layout.dispatcher_names:
        command += ["--dispatcher", cluster.operators_url(name)]
    client = subprocess.run(
        command,
        cwd=ROOT,
        env=environment(),
        input=json.dumps(job).encode(),
        stdout=subprocess.PIPE,
        timeout=CLIENT_TIMEOUT_S,
        check=False,
    )
    return json.loads(client.stdout) | {"tasks": tasks}


def placement(cluster, told):
    """Returns a table of the tasks that each worker started."""
    starts = Counter(
        (start.process, start.job)
        for start in cluster.events
        if isinstance(start, TaskStarted)
    )
    table = Table("worker", "data centre", *(f"tasks of the {name}" for name in told))
    for runner in cluster.layout.runner_names:
        worker = runner.replace("runner", "worker")
        counts = [str(starts[worker, answer["id"]]) for answer in told.values()]
        table.add_row(worker, cluster.layout.data_centre(runner), *counts)
    return table


def unfinished(told):
    """Returns the jobs that are not completed."""
    return [
        f"the {name} is not completed: {answer}"
        for name, answer in told.items()
        if answer.get("state") != "completed"
    ]


def miscounted(cluster, told):
    """Returns the tasks that did not start and end exactly once."""
    faults = []
    for kind in (TaskStarted, TaskEnded):
        counts = Counter(e.task for e in cluster.events if isinstance(e, kind))
        for name, answer in told.items():
            for index in range(answer["tasks"]):
                count = counts[f"{answer['id']}.0.0.{index}"]
                if count != 1:
                    faults.append(f"{name}/{index}: {count} times {kind.__name__}")
    return faults


if __name__ == "__main__":
    sys.exit(main())
