"""Messages between dispatchers and runners.

A dispatcher owns partitions of the jobs; a runner is the only process that calls the
worker on its host. Every start or stop names the partition and the epoch of the
dispatcher's ownership, so that a runner can refuse those of a former owner.
"""

from typing import Annotated

import msgspec

from .model import EndKind, Queue, Resources, Step, Submission, TaskId

__all__ = [
    "ForwardedReply",
    "ForwardedRequest",
    "Claims",
    "Heartbeat",
    "EndsAcknowledged",
    "Envelope",
    "InspectionRequest",
    "InspectionResult",
    "JobsAbandoned",
    "JobsOpen",
    "JobsUnknown",
    "Message",
    "Misaddressed",
    "NOT_FORWARDED",
    "Assignment",
    "Report",
    "RunEnd",
    "RunJob",
    "RunStatus",
    "ServiceOffer",
    "StartTasks",
    "StopTasks",
    "TaskRun",
    "UNKNOWN_BACKLOG",
    "WorkerStatus",
]


NOT_FORWARDED = -1
UNKNOWN_BACKLOG = -1
Count = Annotated[int, msgspec.Meta(ge=0, le=2**40)]  # sums of them can be encoded


class TaskRun(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one run of a task."""

    task: TaskId
    run: int


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """A run to start, with the room it takes and the checkpoint to resume from.

    ``estimate_ms`` is the submitter's estimate of its run time.
    """

    task: TaskId
    run: int
    resources: Resources
    estimate_ms: int
    checkpoint: str = ""


class RunStatus(msgspec.Struct, frozen=True, array_like=True):
    """A run that waits at a runner, runs or is being stopped.

    ``percent`` is the progress that the worker reported at the run's age of ``age_ms``;
    -1 before its first report.
    """

    partition: int
    task: TaskId
    run: int
    percent: int
    age_ms: int


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """How a run ended; ``run_ms`` is its run time, 0 where it never started."""

    partition: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str = ""
    run_ms: int = 0
    reason: str = ""


class WorkerStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of a runner's worker.

    ``free`` is the capacity less the resources of all runs that run, may run or wait
    there. ``slowness`` is the ratio of recent run times to their estimates, 0 where
    none is known. It accepts nothing while its data centre is ``evacuated``.
    """

    incarnation: str
    service: str
    accepting: bool
    capacity: Resources
    free: Resources
    labels: tuple[str, ...]
    slowness: float
    evacuated: bool = False

    @property
    def worker_id(self):
        """The worker's id, which is the same in its later incarnations."""
        return self.incarnation.rpartition("@")[0]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Heartbeat(_Message, tag="Contact"):
    """A dispatcher's heartbeat to a runner.

    ``claims`` are the (partition, epoch) pairs that the dispatcher owns.
    ``newest_report_ms`` is the newest :attr:`Report.sent_at_ms` received, and
    ``trusted_report_ms`` the newest received before the renewal of the dispatcher's
    group membership that was confirmed last; 0 for none. Both come from the runner's
    incarnation ``runner``. ``confirmed`` has the (job, stamp) pairs of forwarded jobs:
    the newest stamp received before the caller's dispatcher last confirmed the job.
    The runner is at ``home`` with the dispatcher that uses its room first.
    """

    claims: tuple[tuple[int, int], ...]
    trusted_report_ms: int
    newest_report_ms: int
    runner: str
    confirmed: tuple[tuple[str, int], ...] = ()
    home: bool = False


class Report(_Message):
    """A runner's answer to a heartbeat, also sent in between when a run ends.

    ``sent_at_ms`` is the runner's clock, which also counts suspended time. ``epochs``
    are the (partition, epoch) claims that it has accepted from this dispatcher;
    ``runs`` and ``ends`` list every run and every unacknowledged end of these
    partitions. It is ``reconciled`` once it has compared them with the worker's lists.
    """

    sent_at_ms: int
    reconciled: bool
    worker: WorkerStatus | None
    epochs: tuple[tuple[int, int], ...]
    runs: tuple[RunStatus, ...]
    ends: tuple[RunEnd, ...]


class StartTasks(_Message):
    """Tasks of one job for one incarnation of a worker; lower ``urgency`` goes first.

    Times are in ms of the runner's clock: after ``valid_until_ms`` the runner refuses
    the message, and at ``expires_at_ms`` it stops the runs; 0 for never.
    ``confirmed_ms`` is the stamp of a forwarded job as in :class:`Heartbeat`, and
    ``NOT_FORWARDED`` for other jobs. ``newest_report_ms`` is as there too.
    """

    partition: int
    epoch: int
    worker: str
    spec: str
    urgency: float
    valid_until_ms: int
    expires_at_ms: int
    assignments: tuple[Assignment, ...]
    confirmed_ms: int = NOT_FORWARDED
    newest_report_ms: int = 0


class StopTasks(_Message):
    """Stops runs, and keeps those from starting that have not started yet."""

    partition: int
    epoch: int
    runs: tuple[TaskRun, ...]


class EndsAcknowledged(_Message, tag="EndsTaken"):
    """Acknowledges ends, which need not be reported again.

    The tasks of the ends in ``superseded`` have been started elsewhere: the worker's
    lease must lapse once before these ends are acknowledged to the worker.
    """

    runs: tuple[TaskRun, ...]
    superseded: tuple[TaskRun, ...] = ()


class InspectionRequest(_Message, tag="Inspect"):
    """An operator's query for another dispatcher, as text of the query language.

    ``number`` matches the :class:`InspectionResult` to it.
    """

    number: int
    command: str


class InspectionResult(_Message, tag="Inspection"):
    """The rows for an :class:`InspectionRequest` as JSON, or what was wrong with it."""

    number: int
    rows: bytes
    fault: str = ""


class ServiceOffer(msgspec.Struct, frozen=True, array_like=True):
    """The workers of one service at which a dispatcher places tasks.

    ``free_cpu`` and ``capacity_cpu`` are sums in thousandths of a core; ``labels`` are
    those of any of the workers. ``waiting_cpu_ms`` is the estimated work that waits at
    the dispatcher for room, in thousandths of a core x ms; ``UNKNOWN_BACKLOG`` from a
    dispatcher that does not count it. ``demand_cpu`` is the estimated work that its
    callers submit, in thousandths of a core, averaged over about a second;
    ``demand_trend_cpu`` is the change of that per second.
    """

    service: str
    free_cpu: int
    capacity_cpu: int
    labels: tuple[str, ...]
    waiting_cpu_ms: int = UNKNOWN_BACKLOG
    demand_cpu: int = 0
    demand_trend_cpu: int = 0


class Claims(_Message):
    """A dispatcher's heartbeat to other dispatchers.

    It lists the partitions that it owns; ``pending`` counts jobs by queue. ``cells``
    are those in which it places tasks, and ``offers`` what it has there.
    ``sent_at_ms`` is its clock, which also counts suspended time.
    """

    partitions: tuple[int, ...]
    pending: dict[str, Count]
    cells: tuple[str, ...] = ()
    offers: tuple[ServiceOffer, ...] = ()
    sent_at_ms: int = 0


class RunJob(_Message):
    """A transient job for a dispatcher that places tasks, from the caller's dispatcher.

    Times are in ms of the recipient's clock: ``sent_at_ms`` is no later than the true
    time of sending, after ``valid_until_ms`` the job is not taken, and at
    ``expires_at_ms`` it is given up. A :class:`ForwardedReply` of the same ``number``
    answers it.
    """

    number: int
    submission: Submission
    sent_at_ms: int
    valid_until_ms: int
    expires_at_ms: int


class JobsOpen(_Message):
    """Lists the numbers of all unanswered :class:`RunJob` messages to the recipient.

    The recipient may run them for a bounded time from ``sent_at_ms``, which is no later
    than the true time of sending on its clock.
    """

    sent_at_ms: int
    numbers: tuple[int, ...]


class JobsUnknown(_Message):
    """Numbers of a :class:`JobsOpen` that the sender had not received at ``at_ms``."""

    at_ms: int
    numbers: tuple[int, ...]


class JobsAbandoned(_Message):
    """Numbers of :class:`RunJob` messages whose callers have left."""

    numbers: tuple[int, ...]


class ForwardedRequest(_Message, tag="Ask"):
    """A caller's request, forwarded to the dispatcher that owns the job.

    ``verb`` is ``submit``, ``state``, ``cancel`` or ``cancel-transient``;
    ``received_ms`` is Unix time.
    """

    number: int
    verb: str
    job_id: str
    queue: Queue | None = None
    spec: str = ""
    steps: tuple[Step, ...] = ()
    received_ms: int = 0


class ForwardedReply(_Message, tag="Answer"):
    """The reply to a :class:`ForwardedRequest` or :class:`RunJob` of its ``number``.

    ``outcome`` is a value of :class:`banyanwheel_jobs.outcomes.Outcome`; ``reason`` is
    that of :class:`banyanwheel_jobs.outcomes.Reply`.
    """

    number: int
    outcome: str
    state: str = ""
    retry_ms: int = 0
    reason: str = ""


class Misaddressed(_Message):
    """Tells a sender that the incarnation it addressed no longer runs here."""

    incarnation: str


Message = (
    Heartbeat
    | Report
    | StartTasks
    | StopTasks
    | EndsAcknowledged
    | Claims
    | ForwardedRequest
    | ForwardedReply
    | RunJob
    | JobsOpen
    | JobsUnknown
    | JobsAbandoned
    | InspectionRequest
    | InspectionResult
    | Misaddressed
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """All messages from one process to another in one turn of the event loop.

    ``recipient`` is the incarnation addressed, empty for any.
    """

    sender: str
    incarnation: str
    recipient: str
    messages: tuple[Message, ...]
