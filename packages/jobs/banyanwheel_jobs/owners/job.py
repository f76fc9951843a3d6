"""The state of a job at its owner: waiting, placed and done tasks."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from banyanwheel_core.charts import Chart

from ..model import JobState, Submission, TaskId

__all__ = ["Job", "Task", "TaskState"]

LATE_FACTOR = 3  # a late job still counts up to this multiple of its objective
RUNS_PER_EPOCH = 1_000  # run numbers of a task that are reserved for each epoch


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

    ``run`` is the number of its newest run. ``failed_runs`` holds the numbers of the
    runs that failed. Until ``unknown_run_until``, in seconds of the owner's clock, a
    run that the owner does not know of may still exist. If the end of an earlier run is
    ``end_unknown``, the task is placed once the log has the number of the next run.
    ``avoided_runners`` are the runners at which a run has failed or was stopped as a
    straggler. Since ``deferred_since`` the task waits for a better runner than those
    with room.
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
    last_progress_age_ms: int = 0  # age of the newest run when its percentage last rose
    measured_run: int = 0  # the newest run counted in the durations of its kind
    checkpoint: str = ""
    unknown_run_until: float = 0.0
    end_unknown: bool = False
    avoided_runners: set = field(default_factory=set)
    deferred_since: float | None = None

    @property
    def has_unknown_end(self):
        """Whether the task waits, and an earlier run may have ended unheard."""
        return self.state is TaskState.WAITING and self.end_unknown

    def apply_event(self, event):
        """Applies an event; raises ChartError if the state doesn't allow it."""
        self.state = _TASK.next(self.state, event)

    def record_progress(self, percent, age_ms):
        """Records the progress of the newest run; returns ms without progress."""
        if percent > self.percent:
            self.percent, self.last_progress_age_ms = percent, age_ms
        return age_ms - self.last_progress_age_ms


@dataclass(slots=True, eq=False)
class Job:
    """A job and its tasks.

    ``state`` is QUEUED until a task is known to have started. ``unproven_runs`` are the
    runs of which that isn't known either way, as (task, run, runner). ``ending`` is the
    final state that is being stored. The callbacks of ``on_final`` are called once the
    job has ended. Times are seconds of the owner's clock. A job with callers at other
    dispatchers only was last confirmed by one of them at ``confirmed_at``, None for
    other jobs.
    """

    submission: Submission
    partition: int
    accepted_epoch: int
    received_at: float
    tasks: list = field(default_factory=list)  # one list of tasks per step
    # By task id, the run that replaces one whose end is unknown.
    replacements: dict = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    unproven_runs: set = field(default_factory=set)
    ending: JobState | None = None
    reason: str = ""
    progress_stored: bool = False
    unstored_ends: dict = field(default_factory=dict)  # runner by ended run
    unstored_since: float = 0.0
    storing_ends: dict = field(default_factory=dict)  # the same, being stored
    on_final: list = field(default_factory=list)
    expires_at: float | None = None
    confirmed_at: float | None = None
    # Repeated submissions, which wait until no run is left.
    resubmissions: list = field(default_factory=list)
    critical_path_s: float = field(init=False)  # estimate of the longest chain of steps
    on_time_until: float = field(init=False)
    late_until: float = field(init=False)  # a job that ends after this no longer counts
    min_task_cpu: int = field(init=False)  # the least that one of its tasks needs
    _open_steps: list = field(default_factory=list)  # tasks not done, per step

    def __post_init__(self):
        """Computes the values that each placement round needs."""
        submission = self.submission
        objective_s = submission.objective_ms / 1000
        self.critical_path_s = submission.critical_path_ms / 1000
        self.on_time_until = self.received_at + objective_s
        self.late_until = self.received_at + LATE_FACTOR * objective_s
        self.min_task_cpu = min(step.resources.cpu for step in submission.steps)

    @classmethod
    def from_submission(cls, submission, partition, epoch, received_at):
        """Returns a new job; all its tasks are waiting."""
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
        """The id that the caller chose for the job."""
        return self.submission.job_id

    @property
    def live(self):
        """Whether tasks of the job may still start."""
        return not self.state.final and self.ending is None

    @property
    def may_have_begun(self):
        """Whether a task has started, or may have, for all that is known."""
        return self.state is not JobState.QUEUED or bool(self.unproven_runs)

    @property
    def complete(self):
        """Whether every task is done."""
        return not any(self._open_steps)

    def apply_event(self, event):
        """Applies an event; raises ChartError if the state doesn't allow it."""
        self.state = self.state_after(event)

    def state_after(self, event):
        """Returns the state after an event; raises ChartError if it isn't allowed."""
        return _JOB.next(self.state, event)

    @property
    def waiting_work_cpu_s(self):
        """The estimated work of the waiting tasks, in thousandths of a core-second."""
        work = 0.0
        for step, tasks in zip(self.submission.steps, self.tasks, strict=True):
            waiting = sum(task.state is TaskState.WAITING for task in tasks)
            work += waiting * step.resources.cpu * step.estimate_ms / 1000
        return work

    @property
    def waiting_path_s(self):
        """The estimate of the longest chain of steps with waiting tasks, 0 for none.

        Tasks that run may end at any moment and count nothing.
        """
        ends = []
        for step, tasks in zip(self.submission.steps, self.tasks, strict=True):
            waits = any(task.state is TaskState.WAITING for task in tasks)
            start_s = max((ends[before] for before in step.after), default=0.0)
            ends.append(start_s + (step.estimate_ms / 1000 if waits else 0.0))
        return max(ends, default=0.0)

    def step_of(self, task):
        """Returns the step of a task."""
        return self.submission.steps[task.id.step]

    def find(self, task_id):
        """Returns the task with an id, or None if the job has no such task."""
        if task_id.occurrence or not 0 <= task_id.step < len(self.tasks):
            return None
        tasks = self.tasks[task_id.step]
        return tasks[task_id.index] if 0 <= task_id.index < len(tasks) else None

    def startable_steps(self, now):
        """Yields the steps whose turn it is, each with its tasks to be placed now."""
        if not self.live:
            return
        for number, step in enumerate(self.submission.steps):
            if not self._open_steps[number]:
                continue
            if not any(self._open_steps[before] for before in step.after):
                yield step, self._startable_of(number, now)

    def _startable_of(self, number, now):
        for task in self.tasks[number]:
            if task.state is not TaskState.WAITING or task.end_unknown:
                continue
            if task.unknown_run_until <= now:
                yield task

    def startable(self, now):
        """Yields the tasks that may be placed now."""
        for _, tasks in self.startable_steps(now):
            yield from tasks

    def placed(self):
        """Returns the tasks that are placed at a runner."""
        return [
            task
            for tasks in self.tasks
            for task in tasks
            if task.state is TaskState.PLACED
        ]

    def place(self, task, runner, epoch):
        """Places a task at ``runner`` under a new run number."""
        task.run = self._next_run(task, epoch)
        task.apply_event("place")
        task.percent = task.last_progress_age_ms = 0
        task.runner = runner
        task.stopping = False
        task.deferred_since = None
        self.unproven_runs.add((task.id, task.run, runner))

    def _next_run(self, task, epoch):
        base = (epoch - self.accepted_epoch) * RUNS_PER_EPOCH
        return max(task.run, base) + 1

    def reserve_replacement(self, task, epoch):
        """Reserves the number of the run that replaces one whose end is unknown."""
        task.end_unknown = True
        self.replacements[task.id] = self._next_run(task, epoch)

    def adopt(self, task, run, runner):
        """Takes over a run that a former owner placed."""
        task.run = max(task.run, run)
        task.apply_event("adopt")
        task.runner = runner
        task.end_unknown = False
        self.unproven_runs.add((task.id, run, runner))

    def begin(self):
        """Records that a task of the job has started."""
        self.unproven_runs.clear()
        if self.live and self.state is JobState.QUEUED:
            self.apply_event("start")

    def rule_out(self, task_id, run, runner):
        """Records that a run never started and never will."""
        # Of another runner it would be that of an earlier submission of this job, whose
        # runs had the same numbers.
        self.unproven_runs.discard((task_id, run, runner))

    def release(self, task):
        """Makes a task wait for another run."""
        task.apply_event("release")
        task.runner = ""
        task.stopping = False
        task.unlisted_since = None

    def finish(self, task, run):
        """Records that ``run`` completed its task."""
        if task.state is not TaskState.DONE:
            task.apply_event("finish")
            self._open_steps[task.id.step] -= 1
        task.run = run
        task.runner = ""

    def restore(self, progress):
        """Applies the progress that is stored on the log."""
        for step, index, run in progress.done:
            task = self.find(TaskId(self.id, 0, step, index))
            if task is not None:
                self.finish(task, run)
        for step, index, run in progress.failed:
            task = self.find(TaskId(self.id, 0, step, index))
            if task is not None:
                task.failed_runs.add(run)
        for step, index, run in progress.replacements:
            task = self.find(TaskId(self.id, 0, step, index))
            if task is not None:
                self.replacements[task.id] = run
                task.run = max(task.run, run)
        self.progress_stored = True
        if progress.done or progress.failed:
            self.apply_event("start")

    def replacement_runs(self):
        """Returns (step, index, run) of the reserved replacements."""
        return tuple(
            (task_id.step, task_id.index, run)
            for task_id, run in self.replacements.items()
        )

    def on_worker(self, step, runner):
        """Returns the number of tasks of a step that are placed at ``runner``."""
        return Counter(task.runner for task in self.tasks[step])[runner]

    def done_runs(self):
        """Returns (step, index, run) of every task that is done."""
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
