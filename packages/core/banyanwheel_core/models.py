"""Data that callers, backend servers and operators exchange with the system.

Durations are whole milliseconds, sizes are bytes unless a name says otherwise.
"""

from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

__all__ = [
    "Announcement",
    "Answer",
    "FlowKey",
    "JobSpec",
    "JobState",
    "Needs",
    "Outcome",
    "Reason",
    "TaskOutcome",
    "TaskSpec",
]

MAX_TASKS = 1_000  # per job
MAX_DECLARED_MS = 600_000
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_DECLARED_MS = 100
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Duration = Annotated[int, Meta(ge=1, le=MAX_DECLARED_MS)]
Count = Annotated[int, Meta(ge=0)]


class Outcome(StrEnum):
    """What is known of the work behind a failed job."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class TaskOutcome(StrEnum):
    """What became of one task."""

    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    NOT_STARTED = "not-started"
    RUNNING = "running"


class JobState(StrEnum):
    """States of the chart ``charts/job.toml``."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


class Reason(StrEnum):
    """Stable reasons of refusals, failures and retries; each has a counter."""

    # Refused before anything started: outcome is ``not-run``.
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    WRONG_TYPE = "wrong-content-type"
    UNKNOWN_SERVICE = "unknown-service"
    NEVER_RUNNABLE = "never-runnable"
    UNKNOWN_ID = "unknown-id"
    ID_CONFLICT = "id-conflict"
    QUEUE_FULL = "queue-full"
    TABLE_FULL = "table-full"
    QUOTA = "quota"
    DEADLINE_INFEASIBLE = "deadline-infeasible"
    DEADLINE_PASSED = "deadline-passed"
    NO_COORDINATOR = "no-coordinator"
    NO_WORKER = "no-worker"
    STOPPING = "stopping"
    DRAINING = "draining"
    CANCELLED = "cancelled"
    # Failed after a start was, or may have been, sent.
    TASK_FAILED = "task-failed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    COORDINATOR_GONE = "coordinator-gone"
    EXPIRED_ID = "expired-id"
    WORKER_LOST = "worker-lost"
    LEASE_LAPSED = "lease-lapsed"
    GRANT_FORGOTTEN = "grant-forgotten"
    # A start that is certain not to have happened.
    GRANT_LAPSED = "grant-lapsed"
    GRANT_REVOKED = "grant-revoked"
    CONNECT_FAILED = "connect-failed"
    # Causes of a retry or of a renewed connection.
    PEER_SILENT = "peer-silent"


class Needs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one task needs of a worker."""

    memory_mb: Count = 0
    accelerators: Count = 0


class TaskSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a submission; ``payload`` goes to the backend server as JSON."""

    payload: Any = None
    declared_ms: Duration = DEFAULT_DECLARED_MS


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A submission by a caller: a request is a job of one task."""

    service: Name
    subsidiary: Name
    kind: Name
    tasks: Annotated[tuple[TaskSpec, ...], Meta(min_length=1, max_length=MAX_TASKS)]
    idempotent: bool = False
    deadline_ms: Duration = DEFAULT_DEADLINE_MS
    needs: Needs = Needs()

    @property
    def flow(self):
        """The queue that this job's tasks share."""
        return FlowKey(self.service, self.subsidiary, self.kind)


class FlowKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the work that is queued, weighted and bounded together."""

    service: str
    subsidiary: str
    kind: str


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the caller is told of a job: whole, or failed with an outcome.

    ``results`` holds one value per task in task order when the job is complete and
    is empty otherwise. ``retry_after_ms`` is positive only with ``not-run``.
    """

    id: str
    state: JobState
    results: tuple[msgspec.Raw, ...] = ()
    outcome: Outcome | None = None
    reason: Reason | None = None
    detail: str = ""
    place: str = ""
    retry_after_ms: int = 0
    workers: tuple[str, ...] = ()


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a backend server declares to the agent beside it."""

    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$")]
    services: Annotated[tuple[Name, ...], Meta(min_length=1)]
    slots: Annotated[int, Meta(ge=1, le=1024)]
    connections: Annotated[int, Meta(ge=1, le=65_535)] = 60
    memory_mb: Count = 0
    accelerators: Count = 0
    lifetime_ms: Duration = 10_000
    leaving: bool = False
