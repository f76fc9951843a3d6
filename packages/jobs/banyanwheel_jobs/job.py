"""A job at its owner: which tasks may start, which run, which have ended."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from banyanwheel_core.charts import Chart

from .model import JobState, Submission, TaskId

__all__ = ["Job", "Task", "TaskState"]

LATE_FACTOR = 3  # a job counts, as late, up to this many times its objective
RUNS_PER_EPOCH = 1_000  # run numbers that one ownership may use for a task


class TaskState(StrEnum):
    """States of the chart ``task``."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


_JOB = Chart.load("job").bind(JobState)
_TASK = Chart.load("task").bind(TaskState)


@dataclass(slots=True)
class Task:
    """One task of a job.

    ``run`` is the number of its newest run. ``unsure_until`` is a time in seconds
    before which a run that its owner does not know of may still exist. ``avoided`` are
    the runners at which a run has failed.
    """

    id: TaskId
    state: TaskState = TaskState.WAITING
    run: int = 0
    runner: str = ""
    failed_runs: set = field(default_factory=set)
    stopping: bool = False
    unlisted_since: float | None = None
    restarts: int = 0  # runs that were stopped as stragglers
    percent: int = 0  # of its newest run
    last_progress_age_ms: int = 0  # age of that run when the percentage rose last
    checkpoint: str = ""
    unknown_run_until: float = 0.0
    avoided_runners: set = field(default_factory=set)

    def apply_event(self, event):
        """Moves to the chart's next state for an event; raises ChartError if none."""
        self.state = _TASK.next(self.state, event)

    def record_progress(self, percent, age_ms):
        """Notes what was read of its newest run; returns ms without progress."""
        if percent > self.percent:
            self.percent, self.last_progress_age_ms = percent, age_ms
        return age_ms - self.last_progress_age_ms


@dataclass(slots=True, eq=False)
class Job:
    """A stored job and its tasks.

    ``ending`` is the final state that is being stored. ``on_final`` are called once the
    job has ended. Times are seconds of the owner's clock.
    """

    submission: Submission
    partition: int
    accepted_epoch: int
    received_at: float
    tasks: list = field(default_factory=list)  # a list of tasks for each step
    state: JobState = JobState.QUEUED
    ending: JobState | None = None
    reason: str = ""
    progress_stored: bool = False
    unstored_ends: dict = field(default_factory=dict)  # runner by run that ended
    unstored_since: float = 0.0
    storing_ends: dict = field(default_factory=dict)  # the same, while being stored
    on_final: list = field(default_factory=list)
    expires_at: float | None = None
    on_runs_ended: list = field(default_factory=list)  # called once no run is left
    critical_path_s: float = field(init=False)  # estimate of its longest chain of steps
    on_time_until: float = field(init=False)
    late_until: float = field(init=False)  # from then on it counts for nothing
    min_task_cpu: int = field(init=False)  # of one task
    _open_steps: list = field(default_factory=list)

    def __post_init__(self):
        """Works out what every round of placing asks for."""
        submission = self.submission
        objective_s = submission.objective_ms / 1000
        self.critical_path_s = submission.critical_path_ms / 1000
        self.on_time_until = self.received_at + objective_s
        self.late_until = self.received_at + LATE_FACTOR * objective_s
        self.min_task_cpu = min(step.resources.cpu for step in submission.steps)

    @classmethod
    def from_submission(cls, submission, partition, epoch, received_at):
        """Returns a job none of whose tasks has started."""
        job = cls(submission, partition, epoch, received_at)
        for number, step in enumerate(submission.steps):
            ids = (
                TaskId(submission.job_id, 0, number, index)
                for index in range(step.count)
            )
            job.tasks.append([Task(task_id) for task_id in ids])
        job._open_steps = [len(tasks) for tasks in job.tasks]
        return job

    @property
    def id(self):
        """The caller's name for the job."""
        return self.submission.job_id

    @property
    def live(self):
        """Whether tasks of it may still start."""
        return not self.state.final and self.ending is None

    @property
    def complete(self):
        """Whether every task is done."""
        return not any(self._open_steps)

    def apply_event(self, event):
        """Moves to the chart's next state for an event; raises ChartError if none."""
        self.state = self.state_after(event)

    def state_after(self, event):
        """Returns the state that an event leads to."""
        return _JOB.next(self.state, event)

    def step_of(self, task):
        """Returns the step of a task."""
        return self.submission.steps[task.id.step]

    def find(self, task_id):
        """Returns a task, or None where the job has no such task."""
        if task_id.occurrence or not 0 <= task_id.step < len(self.tasks):
            return None
        tasks = self.tasks[task_id.step]
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def startable(self, now):
        """Yields the tasks that may be placed now."""
        if not self.live:
            return
        for number, step in enumerate(self.submission.steps):
            if not self._open_steps[number]:
                continue
            if any(self._open_steps[before] for before in step.after):
                continue
            for task in self.tasks[number]:
                if task.state is TaskState.WAITING and task.unknown_run_until <= now:
                    yield task

    def placed(self):
        """Returns the tasks that have a run at a runner."""
        return [
            task
            for tasks in self.tasks
            for task in tasks
            if task.state is TaskState.PLACED
        ]

    def place(self, task, runner, epoch):
        """Gives a task a new run at ``runner``."""
        base = (epoch - self.accepted_epoch) * RUNS_PER_EPOCH
        task.run = max(task.run, base) + 1
        task.apply_event("place")
        task.percent = task.last_progress_age_ms = 0
        task.runner = runner
        task.stopping = False
        self.apply_event("start")

    def adopt(self, task, run, runner):
        """Takes over a run that a former owner has placed."""
        task.run = max(task.run, run)
        task.apply_event("adopt")
        task.runner = runner
        self.apply_event("start")

    def release(self, task):
        """Notes that a task has no run any more and needs another."""
        task.apply_event("release")
        task.runner = ""
        task.stopping = False
        task.unlisted_since = None

    def finish(self, task, run):
        """Notes that a run has done its task."""
        if task.state is not TaskState.DONE:
            task.apply_event("finish")
            self._open_steps[task.id.step] -= 1
        task.run = run
        task.runner = ""

    def restore(self, progress):
        """Applies stored progress."""
        for step, index, run in progress.done:
            task = self.find(TaskId(self.id, 0, step, index))
            if task is not None:
                self.finish(task, run)
        for step, index, run in progress.failed:
            task = self.find(TaskId(self.id, 0, step, index))
            if task is not None:
                task.failed_runs.add(run)
        self.progress_stored = True
        self.apply_event("start")

    def on_worker(self, step, runner):
        """Returns how many tasks of a step have a run at ``runner``."""
        return Counter(task.runner for task in self.tasks[step])[runner]

    def done_runs(self):
        """Returns (step, index, run) of the tasks that are done."""
        return tuple(
            (task.id.step, task.id.index, task.run)
            for tasks in self.tasks
            for task in tasks
            if task.state is TaskState.DONE
        )

    def failed_runs(self):
        """Returns (step, index, run) of every run that has failed."""
        return tuple(
            (task.id.step, task.id.index, run)
            for tasks in self.tasks
            for task in tasks
            for run in sorted(task.failed_runs)
        )
