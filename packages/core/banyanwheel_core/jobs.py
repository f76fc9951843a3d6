"""Jobs that a coordinator owns, and the answers it keeps."""

from dataclasses import dataclass, field

import msgspec

from .charts import Chart
from .effects import Peer
from .models import Answer, JobSpec, JobState, Outcome, Reason

__all__ = ["Job", "Task", "failed", "refused"]

JOB_CHART = Chart.load("job")
TASK_CHART = Chart.load("task")


@dataclass(slots=True)
class Task:
    """One task; ``sent`` is the (executor, grant number) that it was sent under.

    ``earlier`` holds the states in which earlier attempts of an idempotent request
    ended.
    """

    state: str = TASK_CHART.initial
    sent: tuple[Peer, int] | None = None
    earlier: tuple[str, ...] = ()
    body: msgspec.Raw | None = None
    worker: str = ""

    def step(self, event):
        """Moves along the task chart."""
        self.state = TASK_CHART.next(self.state, event)


@dataclass(slots=True)
class Job:
    """One job from its submission to its answer."""

    id: str
    spec: JobSpec
    fingerprint: str
    deadline_at: float
    submitted_at: float
    state: str = JOB_CHART.initial
    tasks: list[Task] = field(default_factory=list)
    payloads: tuple[msgspec.Raw, ...] = ()
    waiters: set[Peer] = field(default_factory=set)
    undone: int = 0
    cancelled: bool = False

    @classmethod
    def from_submission(cls, message, now):
        """Makes the job of a SubmitJob message."""
        spec = message.spec
        return cls(
            id=message.job_id,
            spec=spec,
            fingerprint=message.fingerprint,
            deadline_at=now + message.remaining_ms / 1_000,
            submitted_at=now,
            tasks=[Task() for _ in spec.tasks],
            payloads=tuple(
                msgspec.Raw(msgspec.json.encode(task.payload)) for task in spec.tasks
            ),
            undone=len(spec.tasks),
        )

    def step(self, event):
        """Moves along the job chart."""
        self.state = JOB_CHART.next(self.state, event)

    def complete(self):
        """Ends the job with the results of all its tasks, in task order."""
        self.step("complete")
        return Answer(
            self.id,
            JobState.COMPLETE,
            results=tuple(task.body for task in self.tasks),
            workers=tuple(task.worker for task in self.tasks),
        )

    def fail(self, reason, detail):
        """Ends the job as failed, with what is known of its tasks."""
        self.step("fail")
        return Answer(
            self.id,
            JobState.FAILED,
            outcome=self.outcome,
            reason=reason,
            detail=detail,
        )

    @property
    def outcome(self):
        """What is known now of whether the job ran."""
        states = {task.state for task in self.tasks}
        states.update(state for task in self.tasks for state in task.earlier)
        if states & {"running", "unknown"}:
            return Outcome.UNKNOWN
        if states & {"done", "failed"}:
            return Outcome.RAN
        return Outcome.NOT_RUN


def refused(job_id, reason, detail, retry_after_ms=0, place=""):
    """Answers a submission of which nothing was run, and nothing will be."""
    return Answer(
        job_id,
        JobState.FAILED,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        detail=detail,
        place=place,
        retry_after_ms=retry_after_ms,
    )


def failed(job_id, reason, detail, outcome=Outcome.UNKNOWN):
    """Answers a submission of which this process cannot say that it was not run."""
    return Answer(
        job_id, JobState.FAILED, outcome=outcome, reason=Reason(reason), detail=detail
    )
