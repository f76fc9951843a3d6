"""Messages between the system's processes.

They are msgspec structures and not standard data classes: the codec can tell the
members of a union apart only by a structure's tag. Durations are milliseconds on the
receiver's own monotonic clock, counted from receipt.
"""

import msgspec

from .models import Answer, FlowKey, JobSpec, Reason, TaskOutcome

__all__ = [
    "BlockRequest",
    "CancelJob",
    "CancelTasks",
    "ConfigurationReply",
    "ConfigurationRequest",
    "Envelope",
    "Grant",
    "Handover",
    "HandoverTaken",
    "IdBlock",
    "InspectReply",
    "InspectRequest",
    "JobAccepted",
    "JobAnswer",
    "KnownMember",
    "Load",
    "MemberRecord",
    "MembersReply",
    "MembersRequest",
    "Message",
    "Misaddressed",
    "Ping",
    "Pong",
    "QueryJob",
    "QueryTasks",
    "ReservationQueued",
    "ReservationRefused",
    "Reserve",
    "StartRefused",
    "StartTasks",
    "SubmitJob",
    "TaskResult",
    "TaskResults",
    "TaskStart",
]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every message: tagged by class name, fields by position."""


class Ping(_Message):
    """Asks whether the connection still carries messages both ways."""

    number: int


class Pong(_Message):
    """Answers a :class:`Ping`."""

    number: int


class Misaddressed(_Message):
    """Tells a sender that the incarnation it addressed is not the one running."""

    incarnation: str


# Entry and coordinator.


class BlockRequest(_Message):
    """An entry asks a coordinator for a block of job ids."""

    size: int


class IdBlock(_Message):
    """A block of job ids, valid for ``lifetime_ms`` from the request."""

    block: int
    size: int
    lifetime_ms: int


class SubmitJob(_Message):
    """Submits a job under an issued id; may be repeated without effect."""

    job_id: str
    spec: JobSpec
    fingerprint: str
    remaining_ms: int


class JobAccepted(_Message):
    """The coordinator holds the job and will answer it."""

    job_id: str


class QueryJob(_Message):
    """Asks for a job's answer, or whether it is still running."""

    job_id: str


class CancelJob(_Message):
    """Asks to stop a job; the job's answer tells what came of it."""

    job_id: str


class JobAnswer(_Message):
    """The one answer of a job.

    ``fingerprint`` is that of the submission answered, empty after a question about
    a job that is not known; two callers may use one id at the same time.
    """

    answer: Answer
    fingerprint: str = ""


# Coordinator and executor.


class Reserve(_Message):
    """Raises or lowers the slots that a coordinator wants for one flow.

    ``upto`` counts all grants ever wanted from this executor for the flow, so a
    repeat or a late copy changes nothing; ``sequence`` orders two requests.
    ``granted`` counts those that the coordinator has seen.
    """

    flow: FlowKey
    sequence: int
    granted: int
    upto: int
    declared_ms: int


class ReservationQueued(_Message):
    """No slot is free now; ``wait_ms`` is the executor's estimate.

    ``granted`` counts as in :class:`Grant`, here and in a refusal, so that a
    coordinator that missed a grant can catch up.
    """

    flow: FlowKey
    wait_ms: int
    granted: int


class ReservationRefused(_Message):
    """The executor holds no reservation for the flow."""

    flow: FlowKey
    reason: Reason
    retry_after_ms: int
    granted: int


class Grant(_Message):
    """``slots`` free slots, held for ``validity_ms``.

    ``granted`` counts all slots ever granted to this coordinator for the flow.
    """

    grant: int
    flow: FlowKey
    slots: int
    granted: int
    validity_ms: int


class TaskStart(msgspec.Struct, frozen=True, array_like=True):
    """One task to start under a grant.

    ``attempt`` counts the earlier starts of an idempotent request; a task whose
    attempt is known already is not started again.
    """

    job_id: str
    index: int
    task: msgspec.Raw
    declared_ms: int
    remaining_ms: int
    attempt: int = 0


class StartTasks(_Message):
    """Uses a grant; slots that it has no task for return to the executor."""

    grant: int
    tasks: tuple[TaskStart, ...]


class StartRefused(_Message):
    """None of the tasks of this grant started, and none will."""

    grant: int
    reason: Reason


class TaskResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of one task; ``body`` is the backend server's JSON answer.

    ``grant`` names the start that is answered: a late copy of an earlier answer must
    not be taken for that of a later start at the same executor.
    """

    job_id: str
    index: int
    outcome: TaskOutcome
    body: msgspec.Raw = msgspec.Raw(b"null")
    reason: Reason | None = None
    run_ms: int = 0
    grant: int = -1


class TaskResults(_Message):
    """Results of tasks, gathered over one turn of the loop."""

    results: tuple[TaskResult, ...]


class QueryTasks(_Message):
    """Asks what became of the tasks sent under a grant.

    An unused grant is revoked by the question, so that a copy of
    :class:`StartTasks` still on its way starts nothing.
    """

    grant: int
    tasks: tuple[tuple[str, int], ...]


class CancelTasks(_Message):
    """Asks to stop the tasks of a job at one executor."""

    job_id: str


# Any process to any other.


class Load(msgspec.Struct, frozen=True, array_like=True):
    """An agent's load, sent along with other messages.

    ``pace`` is the run time of tasks at its backend server over the fleet's.
    """

    free_slots: int
    queued_ms: int
    pace: float = 1.0


class MemberRecord(msgspec.Struct, frozen=True):
    """An agent's announcement on the system's own stream."""

    name: str
    incarnation: str
    address: str
    data_centre: str
    rack: str
    services: tuple[str, ...]
    slots: int
    memory_mb: int = 0
    accelerators: int = 0
    lifetime_ms: int = 300_000
    leaving: bool = False
    successor: str = ""


class MembersRequest(_Message):
    """Asks a peer for its view of the membership."""


class KnownMember(msgspec.Struct, frozen=True, array_like=True):
    """A member as a peer knows it; ``offset`` is -1 for a record not on the log."""

    record: MemberRecord
    age_ms: int
    offset: int = -1


class MembersReply(_Message):
    """Members with the age and offset of each announcement."""

    members: tuple[KnownMember, ...]


class ConfigurationRequest(_Message):
    """Asks a peer for the configuration in force."""


class ConfigurationReply(_Message):
    """A configuration in force at the sender; ``document`` is JSON."""

    offset: int
    document: msgspec.Raw


class Handover(_Message):
    """Answers that a leaving coordinator hands to its successor.

    ``part`` of ``parts`` counts from 0; ``blocks`` are those that have not expired;
    each answer stands beside its fingerprint.
    """

    name: str
    incarnation: str
    part: int
    parts: int
    blocks: tuple[int, ...]
    answers: tuple[tuple[str, Answer], ...]


class HandoverTaken(_Message):
    """The successor holds the answers of this incarnation."""

    incarnation: str


class InspectRequest(_Message):
    """An operator's question: ``what`` names a table of the query language."""

    number: int
    what: str


class InspectReply(_Message):
    """Rows of the asked table, as JSON objects."""

    number: int
    rows: msgspec.Raw


Message = (
    Ping
    | Pong
    | Misaddressed
    | BlockRequest
    | IdBlock
    | SubmitJob
    | JobAccepted
    | QueryJob
    | CancelJob
    | JobAnswer
    | Reserve
    | ReservationQueued
    | ReservationRefused
    | Grant
    | StartTasks
    | StartRefused
    | TaskResults
    | QueryTasks
    | CancelTasks
    | MembersRequest
    | MembersReply
    | ConfigurationRequest
    | ConfigurationReply
    | Handover
    | HandoverTaken
    | InspectRequest
    | InspectReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """All messages from one process to another in one turn of the loop.

    ``recipient`` is the incarnation addressed, empty where it is not known yet.
    ``configuration`` is the offset of the version in force at the sender, or -1.
    """

    sender: str
    incarnation: str
    recipient: str
    configuration: int
    load: Load | None
    messages: tuple[Message, ...]
