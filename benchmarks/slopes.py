"""Measures how each role's costs grow: ``python -m benchmarks.slopes SLOPE``.

Each slope is measured at four or more sizes; the table ends with the straight line
through them.
"""

import statistics
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from tests.standins.process import environment

from .deployment import Deployment, Kind
from .scrape import Messages, scrape
from .sending import Sending, base_streams
from .system import System, Usage

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, add_completion=False)

AGENTS = 8
SETTLE_S = 4.0
RECORDS_PER_LIFETIME = 3
LIFETIME_S = 300
TEAMS = 24
KINDS = 8
LIBRARIES = (
    "tornado.web, tornado.simple_httpclient, zmq, msgspec, eliot, typer, "
    "prometheus_client, opentelemetry.sdk.metrics, "
    "opentelemetry.exporter.prometheus, transitions, lark"
)
BARE = f"import {LIBRARIES}\nimport time\nprint(flush=True)\ntime.sleep(60)\n"
WITH_DAEMON = f"import banyanwheel_daemon.agent, banyanwheel_daemon.entry\n{BARE}"

Seconds = Annotated[float, typer.Option(help="length of each measurement")]
Save = Annotated[Path | None, typer.Option(help="file for the results as JSON")]


class Cost(msgspec.Struct, frozen=True):
    """What one process of a role used, the mean over those of the role.

    ``cpu_share`` is of one core; ``log_bytes_s`` go to and from the log service,
    ``peer_bytes_s`` are the bodies to and from other processes of the system.
    """

    cpu_share: float
    rss_mib: float
    log_bytes_s: float
    log_reads_s: float
    peer_bytes_s: float
    peer_messages_s: float


class Measured(msgspec.Struct, frozen=True):
    """One size and what it cost; ``others`` holds more figures by name."""

    size: float
    entry: Cost
    agent: Cost
    others: dict[str, float] = {}


@app.command()
def members(
    sizes: list[int] = (100, 200, 400, 690),
    tasks_per_agent: float = 0.0,
    seconds: Seconds = 15.0,
    save: Save = None,
):
    """Members of the system, announced by synthetic records on the log."""
    rows = [_with_members(size, tasks_per_agent, seconds) for size in sizes]
    _report("members", rows, save)


@app.command()
def rate(sizes: list[int] = (4, 8, 16, 30), seconds: Seconds = 12.0, save: Save = None):
    """Task starts a second for each agent, in jobs of one task of 100 ms."""
    rows = [_with_jobs(size, size, 1, seconds) for size in sizes]
    _report("tasks a second for each agent", rows, save)


@app.command()
def jobs(
    sizes: list[int] = (1, 20, 80, 260), seconds: Seconds = 15.0, save: Save = None
):
    """Tasks of a job, at 20 task starts a second for each agent."""
    rows = [_with_jobs(size, 20, size, seconds) for size in sizes]
    _report("tasks of a job", rows, save)


@app.command()
def changes(
    sizes: list[float] = (0.5, 1, 2, 4), seconds: Seconds = 12.0, save: Save = None
):
    """Changes of the configuration a second, for 24 teams with quotas."""
    rows = [_with_changes(size, seconds) for size in sizes]
    _report("configuration changes a second", rows, save)


@app.command()
def kept(
    sizes: list[int] = (1_000, 2_000, 3_000, 4_000), rate: int = 60, save: Save = None
):
    """Tasks kept at each agent: memory, at a rate with runs of 20 ms."""
    rows = _with_kept(sizes, rate)
    _report("tasks kept at each agent", rows, save)


@app.command()
def libraries():
    """Memory of a process that imports the libraries, and with the daemon's code."""
    console = Console()
    for name, code in (("libraries", BARE), ("with the daemon's code", WITH_DAEMON)):
        sizes = [_resident(code) for _ in range(3)]
        console.print(f"{name}: {', '.join(f'{size:.1f}' for size in sizes)} MiB")


def _resident(code):
    with subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, env=environment()
    ) as process:
        process.stdout.readline()
        size = Usage.of(process.pid).rss_mib
        process.kill()
    return size


def _deployment(kind, agents):
    return Deployment(
        service="counter",
        subsidiary="team-1",
        data_centres=1,
        entries=1,
        client_delay_ms=0,
        data_centre_delay_to_ms=0,
        data_centre_delay_back_ms=0,
        slots=8,
        connections=60,
        speed_factors=(1.0,) * agents,
        most_urgent=kind.name,
        least_urgent=kind.name,
        kinds=(kind,),
    )


def _kind(tasks=1, run_ms=100):
    return Kind("kind-1", 1.0, 1.0, tasks, run_ms, run_ms, False)


def _with_members(size, tasks_per_agent, seconds):
    deployment = _deployment(_kind(), AGENTS)
    with System(deployment, metered=True) as system:
        system.configure()
        others = size - AGENTS
        for number in range(others):
            system.append("members", _record(number))
        system.wait_for(lambda: _known(system) >= size, "not all members are known")
        pace = RECORDS_PER_LIFETIME * others / LIFETIME_S
        with _Repeater(pace, lambda n: system.append("members", _record(n % others))):
            return _measure(system, deployment, size, tasks_per_agent, seconds)


def _with_jobs(size, tasks_per_agent, tasks, seconds):
    deployment = _deployment(_kind(tasks), AGENTS // 2)
    with System(deployment, metered=True) as system:
        system.configure()
        return _measure(system, deployment, size, tasks_per_agent, seconds)


def _with_changes(size, seconds):
    deployment = _deployment(_kind(), AGENTS // 2)
    with System(deployment, metered=True) as system:
        publisher = _Publisher(system)
        publisher.publish(0)
        with _Repeater(size, publisher.publish):
            measured = _measure(system, deployment, size, 0.0, seconds)
        in_force_ms = publisher.time_in_force_ms()
    return msgspec.structs.replace(measured, others={"in_force_ms": in_force_ms})


def _with_kept(sizes, rate):
    agents = AGENTS // 2
    deployment = _deployment(_kind(run_ms=20), agents)
    rows = []
    with System(deployment, metered=True) as system:
        system.configure()
        end = max(sizes) / rate
        streams = base_streams(deployment, _load(deployment, rate), end, 1)
        sending = Sending(deployment, system.doors.values(), [streams])
        for size in sizes:
            sending.wait_until(size / rate)
            costs = _Costs(system)
            rows.append(costs.between(size, costs, 1.0))
        sending.samples()
    return rows


def _measure(system, deployment, size, tasks_per_agent, seconds):
    if not tasks_per_agent:
        time.sleep(SETTLE_S)
        before = _Costs(system)
        time.sleep(seconds)
        return before.between(size, _Costs(system), seconds)
    load = _load(deployment, tasks_per_agent)
    streams = base_streams(deployment, load, SETTLE_S + seconds, 1)
    sending = Sending(deployment, system.doors.values(), [streams])
    sending.wait_until(SETTLE_S)
    before = _Costs(system)
    sending.wait_until(SETTLE_S + seconds)
    after = _Costs(system)
    samples = [s for s in sending.samples() if s.due >= SETTLE_S]
    return before.between(size, after, seconds, samples)


def _load(deployment, tasks_per_agent):
    """The share of all slots that this many tasks a second for each agent take."""
    agents = len(deployment.speed_factors)
    (kind,) = deployment.kinds
    return tasks_per_agent * agents * kind.mean_ms / 1_000 / deployment.slot_seconds


def _known(system):
    entry = system.layout.entry_names[0]
    readings = [scrape([system.http(name)]) for name in (entry, "agent-1")]
    return min(each.gauges["members"] for each in readings)


def _record(number):
    return {
        "name": f"other-{number}",
        "incarnation": f"{number:016x}",
        "address": f"127.0.0.1:{10_000 + number}",
        "data_centre": "dc-1",
        "rack": f"rack-{number // 3}",
        "services": ["other"],
        "slots": 8,
        "memory_mb": 65_536,
        "accelerators": 0,
        "lifetime_ms": LIFETIME_S * 1_000,
        "leaving": False,
        "successor": "",
    }


class _Repeater:
    """Calls ``action(number)`` at an even pace in a thread."""

    def __init__(self, per_second, action):
        self._pause = 1 / per_second
        self._action = action
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._done.set()
        self._thread.join()

    def _run(self):
        due = time.monotonic()
        number = 1
        while not self._done.is_set():
            self._action(number)
            number += 1
            due += self._pause
            self._done.wait(max(0.0, due - time.monotonic()))


class _Publisher:
    """Publishes versions of a configuration, each made from the one before."""

    def __init__(self, system):
        self._system = system
        self._base = -1

    def publish(self, number):
        """Publishes one version."""
        document = {
            "subsidiaries": {
                f"team-{team}": {
                    "weight": 1.0,
                    "quota": round(0.5 + number % 5 / 10, 1),
                }
                for team in range(TEAMS)
            },
            "kinds": {f"kind-{kind}": {"weight": 1.0 + kind} for kind in range(KINDS)},
        }
        record = {"base": self._base, "tag": f"change-{number}", "document": document}
        self._base = self._system.append("configuration", record)

    def time_in_force_ms(self):
        """Milliseconds from an append until all daemons show the version."""
        self.publish(-1)
        begin = time.monotonic()
        self._system.wait_for(self._is_in_force, "the version is not in force")
        return round((time.monotonic() - begin) * 1_000, 1)

    def _is_in_force(self):
        readings = [scrape([self._system.http(n)]) for n in self._system.daemons]
        return all(r.gauges["configuration_offset"] >= self._base for r in readings)


class _Costs:
    """What all daemons have used up to a moment."""

    def __init__(self, system):
        self._system = system
        self._names = system.daemons
        self._usage = system.usage()
        self._log = {name: system.meters.bytes(name) for name in self._names}
        self._reads = {name: system.meters.connections(name) for name in self._names}
        self._readings = {name: scrape([system.http(name)]) for name in self._names}

    def between(self, size, later, seconds, samples=()):
        """Returns the Measured between this moment and a later one."""
        others = self._others(later, samples) if samples else {}
        return Measured(
            size=size,
            entry=self._mean("entry", later, seconds),
            agent=self._mean("agent", later, seconds),
            others=others,
        )

    def _others(self, later, samples):
        tasks = sum(sample.tasks for sample in samples)
        messages = _sum(later._readings) - _sum(self._readings)
        per_task = Messages.from_readings(messages, tasks).to_dict()
        completed = sum(sample.tasks for sample in samples if sample.status == 200)
        return {
            "tasks": tasks,
            "completed": completed,
            "messages_per_task": per_task["messages"],
            "wasted_per_task": per_task["wasted"],
        }

    def _mean(self, role, later, seconds):
        names = [name for name in self._names if name.startswith(role)]

        def mean(of):
            return statistics.fmean(of(name) for name in names)

        def gauge(name, field):
            after = later._readings[name].gauges
            before = self._readings[name].gauges
            return sum(
                after[f"transport_{field}_{way}"] - before[f"transport_{field}_{way}"]
                for way in ("in", "out")
            )

        return Cost(
            cpu_share=mean(
                lambda n: (later._usage[n].cpu_s - self._usage[n].cpu_s) / seconds
            ),
            rss_mib=mean(lambda n: later._usage[n].rss_mib),
            log_bytes_s=mean(lambda n: (later._log[n] - self._log[n]) / seconds),
            log_reads_s=mean(lambda n: (later._reads[n] - self._reads[n]) / seconds),
            peer_bytes_s=mean(lambda n: gauge(n, "bytes") / seconds),
            peer_messages_s=mean(lambda n: gauge(n, "messages") / seconds),
        )


def _sum(readings):
    total = None
    for each in readings.values():
        total = each if total is None else total + each
    return total


def _report(title, rows, save):
    console = Console()
    for role in ("entry", "agent"):
        console.print(_table(title, role, rows))
    for row in rows:
        if row.others:
            console.print(f"{title} {row.size}: {row.others}")
    if save is not None:
        save.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


def _table(title, role, rows):
    fields = Cost.__struct_fields__
    table = Table(title, *fields, title=f"each {role}")
    for row in rows:
        cost = getattr(row, role)
        table.add_row(str(row.size), *(f"{getattr(cost, f):.4g}" for f in fields))
    lines = [_line(rows, role, field) for field in fields]
    table.add_row("at 0", *(f"{line.intercept:.4g}" for line in lines))
    table.add_row("for each", *(f"{line.slope:.4g}" for line in lines))
    return table


def _line(rows, role, field):
    sizes = [row.size for row in rows]
    values = [getattr(getattr(row, role), field) for row in rows]
    return statistics.linear_regression(sizes, values)


if __name__ == "__main__":
    sys.exit(app())
