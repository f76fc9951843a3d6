"""An owner of stored jobs and any number of unlike workers, without a network.

Runners are left out: a worker gets the assignments in the step in which they are sent,
and each step ends with a report of every worker that is heard.
"""

from dataclasses import dataclass, field

from banyanwheel_jobs.messages import (
    EndsAcknowledged,
    Report,
    RunEnd,
    RunStatus,
    StartTasks,
    WorkerStatus,
)
from banyanwheel_jobs.model import EndKind, Queue, Resources, Step, Submission
from banyanwheel_jobs.owners.job import TaskState
from banyanwheel_jobs.placing.runner_view import RunnerView

from ..world import lone_owner

__all__ = ["Fleet", "FleetWorker"]

STEP_S = 0.05
BEGUN_PERCENT = 0  # the worker lists the run


@dataclass
class FleetWorker:
    """One worker; all times are in seconds of the fleet's clock.

    While it is ``failing``, its runs end as failed; while it is ``refusing``, it starts
    nothing; while it is not ``heard``, it sends no reports.
    """

    name: str
    cpu: int
    service: str = "desk"
    labels: tuple = ()
    slowness: float = 1.0
    home: bool = True
    failing: bool = False
    refusing: bool = False
    heard: bool = True
    running: dict = field(default_factory=dict)  # (end time, resources) by (task, run)
    ends: dict = field(default_factory=dict)  # RunEnd by (task, run)
    failed: int = 0  # runs

    @property
    def used(self):
        """The CPU in use, in thousandths of a core."""
        return sum(resources.cpu for _, resources in self.running.values())

    def start(self, message, now):
        for run in message.assignments:
            key = (run.task, run.run)
            if key in self.running or key in self.ends:
                continue
            if self.refusing:
                self._end(key, EndKind.REFUSED, "worker-unhealthy")
                continue
            seconds = run.estimate_ms / 1000 * self.slowness
            self.running[key] = (now + seconds, run.resources)

    def end_due_runs(self, now):
        for key, (end_at, _) in list(self.running.items()):
            if end_at <= now:
                del self.running[key]
                self._end(key, EndKind.FAILED if self.failing else EndKind.DONE)

    def _end(self, key, kind, reason=""):
        self.failed += kind is EndKind.FAILED
        run_ms = 0 if kind is EndKind.REFUSED else 1
        self.ends[key] = RunEnd(0, *key, kind, "", run_ms, reason)

    def report(self, now):
        free = Resources(self.cpu - self.used)
        status = WorkerStatus(
            f"{self.name}@1",
            self.service,
            True,
            Resources(self.cpu),
            free,
            self.labels,
            self.slowness,
        )
        runs = tuple(RunStatus(0, *key, BEGUN_PERCENT, 0) for key in self.running)
        stamp = round(now * 1000)
        return Report(stamp, True, status, ((0, 1),), runs, tuple(self.ends.values()))


class Fleet:
    """One owner of partition 0, its workers by name, and its jobs."""

    def __init__(self, *workers, interference=None):
        self.now = 100.0
        self.workers = {}
        self.owner = lone_owner(
            send=self._send, store=self._store, interference=interference
        )
        for worker in workers:
            self.add(worker)
        self.owner.open(0, 1, [], self.now, 0)
        self._report()

    @property
    def jobs(self):
        """The jobs that have not ended, by id."""
        return self.owner.partitions[0].jobs

    def add(self, worker):
        self.workers[worker.name] = worker
        view = RunnerView(worker.name, "dc", worker.home)
        self.owner.views[worker.name] = view
        return worker

    def remove(self, name):
        """Removes a worker without runs."""
        del self.workers[name], self.owner.views[name]

    def _send(self, runner, message):
        worker = self.workers.get(runner)
        match message:
            case StartTasks() if worker is not None:
                worker.start(message, self.now)
            case EndsAcknowledged() if worker is not None:
                for run in (*message.runs, *message.superseded):
                    worker.ends.pop((run.task, run.run), None)

    def _store(self, partition):
        while partition.journal.next_batch():
            partition.journal.mark_stored()

    def submit(self, number, **fields):
        """Submits a job of one step; returns its id."""
        step = {"count": 1, "resources": Resources(1_000), "estimate_ms": 1_000}
        of_job = {"service", "target_ms", "attempts"} & fields.keys()
        job_fields = {name: fields.pop(name) for name in of_job}
        return self.submit_steps(number, (Step(**step | fields),), **job_fields)

    def submit_steps(
        self, number, steps, *, service="desk", target_ms=60_000, attempts=4
    ):
        """Submits a job; returns its id."""
        queue = Queue(f"q-{service}", service, 0, attempts, 1.6, target_ms)
        job_id = f"{number:016x}"
        submission = Submission(job_id, queue, "", steps, round(self.now * 1000))
        self.owner.submit(submission, lambda reply: None, self.now)
        return job_id

    def state(self, job_id):
        """Returns the state of a job as its caller would be told."""
        answers = []
        self.owner.ask(job_id, answers.append)
        return str(answers[0].state)

    def step(self):
        """Advances the time by ``STEP_S``."""
        self.now += STEP_S
        for worker in self.workers.values():
            worker.end_due_runs(self.now)
        self._report()
        self.owner.tick(self.now)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def _report(self):
        for name, worker in list(self.workers.items()):
            if worker.heard:
                view = self.owner.views[name]
                self.owner.handle_report(view, "r", worker.report(self.now), self.now)

    def tasks(self, job_id):
        """Returns the tasks of a job, none once it has ended."""
        job = self.jobs.get(job_id)
        return [task for step in job.tasks for task in step] if job else []

    def waiting(self, job_id):
        """Returns the tasks of a job that wait."""
        return [task for task in self.tasks(job_id) if task.state is TaskState.WAITING]
