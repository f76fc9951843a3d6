"""Interfaces to the platform's log and to workers.

Adapters implement them; the stand-ins of the tests speak the protocols of the adapters.
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
    "WorkerFenced",
    "WorkerGone",
    "WorkerPort",
    "WorkerReplaced",
    "WorkerRun",
    "WorkerUnavailable",
]


class LogUnavailable(BanyanwheelError):
    """The log did not answer a call, or refused it.

    ``sent`` tells whether the call may still take effect.
    """

    def __init__(self, message, *, sent=False):
        super().__init__(message)
        self.sent = sent


class LogTruncated(BanyanwheelError):
    """The log no longer has the records at an offset.

    ``first`` is the oldest offset that it still has.
    """

    def __init__(self, first):
        super().__init__(f"records before offset {first} are no longer in the log")
        self.first = first


class WorkerUnavailable(BanyanwheelError):
    """The worker did not return a valid answer; the call may still take effect."""


class WorkerGone(WorkerUnavailable):
    """Nothing listens at the worker's address; the call was not made."""


class WorkerFenced(WorkerUnavailable):
    """The worker has seen a higher fence; the call was not carried out."""


class WorkerReplaced(WorkerUnavailable):
    """Another incarnation of the worker answers; the call was not made."""

    def __init__(self, incarnation):
        super().__init__(f"answered by {incarnation}")
        self.incarnation = incarnation


class AppendOutcome(Enum):
    """The outcome of an append that the log has answered."""

    STORED = "stored"
    FENCED = "fenced"
    OUT_OF_SEQUENCE = "out of sequence"
    MOVED = "moved"  # the partition does not end at the offset that the append named


@dataclass(frozen=True, slots=True)
class AppendResult:
    """The log's answer to an append.

    ``expected`` is the sequence number that the log expects next.
    """

    outcome: AppendOutcome
    offset: int = -1
    expected: int = -1


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key, or None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class Membership:
    """The generation of a group and the partitions assigned to a member."""

    generation: int
    partitions: frozenset[int]


class Log(Protocol):
    """The calls of the platform's log that banyanwheel uses."""

    async def append(self, topic, partition, records, *, epoch, sequence, at=None):
        """Stores all of the records or none; returns an AppendResult.

        Records are pairs of key and bytes, or None to delete the key. With ``at``, they
        are stored only if the partition ends at that offset.
        """

    async def newest(self, topic, partition):
        """Returns the newest record of each key, and the offset to follow from."""

    async def follow(self, topic, partition, offset, hold_ms):
        """Returns the records from an offset on; waits ``hold_ms`` for one."""

    async def join(self, group, member, topic, generation):
        """Joins a group or renews a membership; returns a Membership."""

    async def leave(self, group, member):
        """Ends a membership and frees its partitions at once."""


class StartOutcome(Enum):
    """A worker's answer to a request to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"  # the worker has already had this run or a later one
    LATE = "late"
    NO_ROOM = "no-room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other-incarnation"


@dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """A worker's heartbeat.

    ``incarnation`` identifies one lifetime of the worker, which began at ``born_ms``,
    Unix time in ms.
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
    """A run that a worker lists as running."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class WorkerEnd:
    """An ended run that a worker lists; ``kind`` is the worker's own term."""

    number: int
    task: TaskId
    run: int
    kind: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """The running and ended runs of a worker, with its clock in ms.

    ``complete`` tells whether ``ended`` lists every end.
    """

    clock_ms: int
    running: tuple[WorkerRun, ...]
    ended: tuple[WorkerEnd, ...]
    complete: bool = True


class WorkerPort(Protocol):
    """One incarnation of a worker; a call that would reach another is not made.

    It raises WorkerReplaced then.
    """

    async def start(self, assignment, spec, *, deadline_ms, fence):
        """Starts a run of a task; returns a StartOutcome and the worker's clock."""

    async def stop(self, task, run, *, fence):
        """Asks the worker to stop a run; the end then appears in its listing."""

    async def renew_lease(self, *, fence, acknowledged, deadline_ms=None, wait_ms=0):
        """Extends the lease; returns a WorkerListing."""
