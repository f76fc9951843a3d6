"""Data types of jobs, steps, tasks and queues."""

import hashlib
import zlib
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from banyanwheel_core.documents import MAX_TASKS

__all__ = [
    "TRANSIENT_PARTITION",
    "EndKind",
    "JobState",
    "Queue",
    "Resources",
    "Step",
    "Submission",
    "TaskId",
    "partition_of",
]


TRANSIENT_PARTITION = -1  # partition number of jobs that are not stored
FINGERPRINT_BYTES = 8


class JobState(StrEnum):
    """The state of a job as reported to callers: the states of the chart ``job``."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"

    @property
    def final(self):
        """Whether the job has ended."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the worker's lease expired, or its incarnation is gone
    REFUSED = "refused"  # the run never started and never will


class TaskId(NamedTuple):
    """Identifies a task: its ``index`` within ``step`` of an occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resources of a worker or a task.

    ``cpu`` is in thousandths of a core and ``memory_mb`` in MiB; ``gpus`` counts
    accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def excess_over(self, other):
        """Returns by how much each amount exceeds that of ``other``, at least 0."""
        return Resources(
            max(0, self.cpu - other.cpu),
            max(0, self.memory_mb - other.memory_mb),
            max(0, self.gpus - other.gpus),
        )

    def fits(self, room):
        """Tells whether no amount exceeds that of ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: ``count`` tasks with the same requirements.

    ``resources`` are those of one task. ``estimate_ms`` is the submitter's estimate of
    the run time of one task. ``after`` holds the numbers of the steps that must be done
    before this one starts. ``label`` is a label that the worker must have; ``rack`` is
    the preferred rack, where the data is stored. Empty strings mean no requirement and
    no preference. ``max_per_worker`` limits the tasks of the step that run on one
    worker at a time; 0 means no limit.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    resources: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    checkpoints: bool = False

    @classmethod
    def from_document(cls, document):
        """Converts a :class:`banyanwheel_core.StepDocument` to a step."""
        return cls(
            document.count,
            Resources(document.cpu, document.memory_mb, document.gpus),
            document.estimate_ms,
            document.after,
            document.label,
            document.rack,
            document.max_per_worker,
            document.checkpoints,
        )


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """The settings of a queue.

    A job keeps the settings that were in force when it was accepted. ``priority`` 0 is
    the highest. A job is on time if it ends within ``slack_factor`` times its critical
    path plus ``target_ms``.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was submitted; ``received_ms`` is Unix time in ms.

    A ``transient`` job is not stored: its caller waits for its end, and submits it
    again if the answer is lost.
    """

    job_id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    received_ms: int
    transient: bool = False

    def __post_init__(self):
        """Raises ValueError for steps that can't be carried out."""
        if not self.steps:
            raise ValueError("no steps")
        for number, step in enumerate(self.steps):
            if any(not 0 <= before < number for before in step.after):
                raise ValueError(f"step {number} is after one that doesn't precede it")
        if sum(step.count for step in self.steps) > MAX_TASKS:
            raise ValueError(f"more than {MAX_TASKS} tasks")

    @property
    def labels(self):
        """The labels that its steps require, as a frozen set."""
        return frozenset(step.label for step in self.steps if step.label)

    @property
    def fingerprint(self):
        """A hash of queue, spec and steps.

        Distinguishes a repeated submission from another job with the same id.
        """
        content = msgspec.msgpack.encode((self.queue.name, self.spec, self.steps))
        return hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES).digest()

    @property
    def critical_path_ms(self):
        """The estimated duration of the longest chain of steps, in ms."""
        ends = []
        for step in self.steps:
            start = max((ends[before] for before in step.after), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends, default=0)

    @property
    def objective_ms(self):
        """The time from receipt within which the job must end to be on time, in ms."""
        return self.queue.slack_factor * self.critical_path_ms + self.queue.target_ms


def partition_of(job_id, partitions):
    """Returns the partition of the log that holds a job."""
    return zlib.crc32(job_id.encode()) % partitions
