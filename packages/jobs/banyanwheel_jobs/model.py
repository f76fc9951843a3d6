"""What a job is made of."""

import hashlib
import zlib
from enum import StrEnum
from typing import NamedTuple

import msgspec

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


TRANSIENT_PARTITION = -1  # takes the place of a partition where a job is not stored
FINGERPRINT_BYTES = 8


class JobState(StrEnum):
    """What a caller is told of a job: the states of the chart ``job``."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"

    @property
    def final(self):
        """Whether the job has ended for good."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the worker's lease ran out, or its incarnation is gone
    REFUSED = "refused"  # it never started and never will


class TaskId(NamedTuple):
    """Names a task: ``index`` of ``step`` of a job's occurrence."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Room on a worker: thousandths of a core, MiB of memory, accelerators."""

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

    def fits(self, room):
        """Tells whether this much is within ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks alike; ``after`` names the steps that must be done before.

    ``estimate_ms`` is the submitter's rough figure for one task. ``rack`` is where the
    data lies, ``label`` one that the worker must have; both empty where any will do.
    ``max_per_worker`` 0 means no such limit.
    """

    count: int
    resources: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    checkpoints: bool = False

    @classmethod
    def from_document(cls, document):
        """Returns the step of a :class:`banyanwheel_core.StepDocument`."""
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
    """The terms under which a job was taken; they stay with it.

    ``priority`` 0 comes first. A job is on time if it ends within ``slack_factor``
    times its longest chain of work and ``target_ms`` more.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was handed in; ``received_ms`` is Unix time.

    A ``transient`` job is not stored: its caller waits for its end, and hands it in
    again if the answer is lost.
    """

    job_id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    received_ms: int
    transient: bool = False

    @property
    def fingerprint(self):
        """A hash of what was asked for; tells a repeat from another job."""
        content = msgspec.msgpack.encode((self.queue.name, self.spec, self.steps))
        return hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES).digest()

    @property
    def critical_path_ms(self):
        """The estimated length of the longest chain of steps, in ms."""
        ends = []
        for step in self.steps:
            begun = max((ends[before] for before in step.after), default=0)
            ends.append(begun + step.estimate_ms)
        return max(ends, default=0)

    @property
    def objective_ms(self):
        """The time within which the job is on time, in ms from its receipt."""
        return self.queue.slack_factor * self.critical_path_ms + self.queue.target_ms


def partition_of(job_id, partitions):
    """Returns the partition of the log that holds a job."""
    return zlib.crc32(job_id.encode()) % partitions
