"""What the decisions need from outside: the log and the worker.

An adapter implements these; the tests' stand-ins speak the adapter's protocol.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from banyanwheel_core.errors import BanyanwheelError

from .model import Resources, TaskId

__all__ = [
    "AppendOutcome",
    "AppendResult",
    "WorkerListing",
    "KeyedRecord",
    "Log",
    "LogTruncated",
    "LogUnavailable",
    "Membership",
    "StartOutcome",
    "WorkerHeartbeat",
    "WorkerEnd",
    "WorkerPort",
    "WorkerRun",
    "WorkerUnavailable",
]


class LogUnavailable(BanyanwheelError):
    """The log gave no answer, or turned the call away.

    ``sent`` tells whether the call may still take effect.
    """

    def __init__(self, message, *, sent=False):
        super().__init__(message)
        self.sent = sent


class LogTruncated(BanyanwheelError):
    """The records at an offset are gone; ``first`` is the oldest that is kept."""

    def __init__(self, first):
        super().__init__(f"records before offset {first} are gone")
        self.first = first


class WorkerUnavailable(BanyanwheelError):
    """The worker gave no usable answer; the call may still take effect."""


class AppendOutcome(Enum):
    """What came of an append that the log has answered."""

    STORED = "stored"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out of sequence"
    MOVED = "moved"  # the partition does not end where the append said


@dataclass(frozen=True, slots=True)
class AppendResult:
    """An answered append; ``expected`` is the sequence number that the log wants."""

    outcome: AppendOutcome
    offset: int = -1
    expected: int = -1


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key, None where the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class Membership:
    """An answered renewal: the group's generation and the partitions dealt."""

    generation: int
    partitions: frozenset[int]


class Log(Protocol):
    """The platform's log, as far as the product uses it."""

    async def append(self, topic, partition, records, *, epoch, sequence, at=None):
        """Stores records (pairs of key and bytes or None) all or none.

        With ``at``, only if the partition ends at that offset.
        """

    async def newest(self, topic, partition):
        """Returns the newest record of each key, and the offset after the last."""

    async def follow(self, topic, partition, offset):
        """Returns records from an offset on, held until there is one."""

    async def join(self, group, member, topic, generation):
        """Joins a group or renews a membership; returns a Membership."""

    async def leave(self, group, member):
        """Gives a member's partitions up at once."""


class StartOutcome(Enum):
    """A worker's answer to a start."""

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"  # this run, or a later one, has been there before
    LATE = "late"
    NO_ROOM = "no-room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-incarnation"


@dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """A worker's heartbeat.

    ``incarnation`` names one life of it, begun at the Unix time ``born_ms``.
    """

    worker_id: str
    incarnation: str
    born_ms: int
    service: str
    address: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    sequence: int
    clock_ms: int


@dataclass(frozen=True, slots=True)
class WorkerRun:
    """A run in a worker's list."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class WorkerEnd:
    """An end in a worker's list; ``kind`` is the worker's own word."""

    number: int
    task: TaskId
    run: int
    kind: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """Both lists of a worker, with its clock in ms and its incarnation.

    ``complete`` tells whether all ends are listed.
    """

    clock_ms: int
    incarnation: str
    running: tuple[WorkerRun, ...]
    ended: tuple[WorkerEnd, ...]
    complete: bool = True


class WorkerPort(Protocol):
    """One incarnation of a worker."""

    async def start(self, assignment, spec, *, deadline_ms, fence):
        """Starts a task; returns a StartOutcome and the worker's clock."""

    async def stop(self, task, run, *, fence):
        """Asks for the end of a run; the end shows in the lists."""

    async def renew_lease(self, *, fence, acknowledged, deadline_ms=None, wait_ms=0):
        """Extends the lease and returns the Holdings."""
