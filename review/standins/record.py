"""What a case saw: one line an event, on one clock."""

import json
import time
from dataclasses import dataclass, field

__all__ = ["Interval", "Record", "overlaps", "starts_after_done", "stuck_jobs"]

OPEN = ("queued", "running")


@dataclass(frozen=True)
class Interval:
    """One run of a task at a worker; times in seconds of the record."""

    task: str
    run: int
    worker: str
    life: int
    start: float
    end: float
    how: str


@dataclass
class Record:
    """Events in the order in which they were seen, with seconds since the start."""

    began: float = field(default_factory=time.monotonic)
    lines: list = field(default_factory=list)
    events: list = field(default_factory=list)

    def now(self):
        """Returns the seconds since the record began."""
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        """Adds an event and returns its time."""
        now = self.now()
        self.events.append((now, kind, fields))
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{now:8.3f} {kind} {shown}")
        return now

    def of(self, kind, **fields):
        """Returns (time, fields) of the events of a kind that have these fields."""
        return [
            (now, found)
            for now, name, found in self.events
            if name == kind and fields.items() <= found.items()
        ]

    def intervals(self):
        """Returns an Interval for each run that a worker started."""
        ended = {}
        for now, found in self.of("run-ended"):
            key = (found["worker"], found["life"], found["task"], found["run"])
            ended[key] = (now, found["how"])
        result = []
        for start, found in self.of("run-started"):
            key = (found["worker"], found["life"], found["task"], found["run"])
            end, how = ended.get(key, (self.now(), "still runs"))
            result.append(
                Interval(
                    found["task"],
                    found["run"],
                    found["worker"],
                    found["life"],
                    start,
                    end,
                    how,
                )
            )
        return result

    def write(self, path):
        """Writes all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def overlaps(intervals):
    """Returns pairs of runs of one task that were at work at the same time."""
    pairs = []
    for place, first in enumerate(intervals):
        for second in intervals[place + 1 :]:
            if (
                first.task == second.task
                and first.start < second.end
                and second.start < first.end
            ):
                pairs.append((first, second))
    return pairs


def starts_after_done(record):
    """Returns lines on starts after another run of the task had ended ``done``.

    An end counts once it is taken note of, unless the worker's lease lapsed between.
    """
    runs = {}
    for run in record.intervals():
        runs.setdefault(run.task, []).append(run)
    lines = []
    for now, found in record.of("end-noted", how="done"):
        life = found["worker"], found["life"]
        key = *life, found["run"]
        same_task = runs[found["task"]]
        (done,) = [run for run in same_task if (run.worker, run.life, run.run) == key]
        if _lapsed(record, life, done.end, now):
            continue
        lines.extend(
            f"TWICE: {done.task} run {done.run} ended done on {done.worker} at"
            f" {done.end:.3f}, taken note of at {now:.3f}; run {later.run} started on"
            f" {later.worker} at {later.start:.3f} ({later.how})"
            for later in same_task
            if later.start > done.end
        )
    return lines


def _lapsed(record, life, since, until):
    """Returns whether a worker's lease lapsed in one life in a span of time."""
    worker, number = life
    lapses = record.of("lease-lapsed", worker=worker, life=number)
    return any(since <= now <= until for now, _ in lapses)


def stuck_jobs(record, idle_s):
    """Returns lines on accepted jobs that are open while all workers idle.

    A job counts if each answer on its state shows it as open, and no worker has run
    anything for ``idle_s`` before the first of these answers.
    """
    accepted = {found["job"] for _, found in record.of("submit-answered", status=200)}
    ends, answers = {}, {}
    for run in record.intervals():
        ends.setdefault(run.task.partition(".")[0], []).append(run.how)
    for now, found in record.of("state"):
        answers.setdefault(found["job"], []).append((now, _state_of(found)))
    busy_until = max(run.end for run in record.intervals())
    lines = []
    for job in sorted(accepted & answers.keys()):
        if any(state not in OPEN for _, state in answers[job]):
            continue
        if answers[job][0][0] - busy_until > idle_s:
            now, state = answers[job][-1]
            runs = ", ".join(sorted(ends.get(job, ()))) or "none"
            lines.append(
                f"LOST: {job} is {state} at {now:.3f}; no worker has run anything since"
                f" {busy_until:.3f}; its runs: {runs}"
            )
    return lines


def _state_of(found):
    if found["status"] != 200:
        return ""
    return json.loads(found["body"]).get("state")
