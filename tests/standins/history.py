"""Events that processes of a test run record, as JSON lines.

Times are seconds of ``time.monotonic()``, which all processes of one machine share.
"""

import os
import time
from pathlib import Path

import msgspec

__all__ = [
    "CallerSent",
    "CallerTold",
    "ConfigurationInForce",
    "ConfigurationPublished",
    "Event",
    "History",
    "LeaveAnnounced",
    "ProcessEnded",
    "ProcessPaused",
    "ProcessResumed",
    "ProcessStarted",
    "StopRequested",
    "TaskFinished",
    "TaskStarted",
    "TaskStopped",
    "read_history",
]


class _Event(msgspec.Struct, frozen=True, tag=True, tag_field="event", kw_only=True):
    """Base of every event; ``process`` is the name of who recorded it."""

    process: str
    at: float = msgspec.field(default_factory=time.monotonic)


class CallerSent(_Event, frozen=True, tag=True):
    """A caller sent a submission; ``request`` is unique for each sending.

    ``job_id`` is empty in the short form, where the system chooses it. ``payloads``
    holds the JSON payload of each task; a member ``token`` in it marks the task
    whatever id it runs under.
    """

    request: str
    entry: str
    payloads: tuple[msgspec.Raw, ...]
    job_id: str = ""
    idempotent: bool = False


class CallerTold(_Event, frozen=True, tag=True):
    """A caller got its answer; ``status`` is 0 where the connection broke.

    ``refused`` tells that the connection was never made. ``answer`` is the JSON body
    as it came.
    """

    request: str
    status: int
    refused: bool = False
    answer: msgspec.Raw = msgspec.Raw(b"null")


class TaskStarted(_Event, frozen=True, tag=True):
    """A backend server started a task; ``token`` is that of the task's payload."""

    job_id: str
    index: int
    token: str = ""


class TaskFinished(_Event, frozen=True, tag=True):
    """A backend server ran a task to its end."""

    job_id: str
    index: int


class TaskStopped(_Event, frozen=True, tag=True):
    """A backend server stopped a task before its end."""

    job_id: str
    index: int
    reason: str


class LeaveAnnounced(_Event, frozen=True, tag=True):
    """A backend server first told its agent that it is leaving."""


class ConfigurationPublished(_Event, frozen=True, tag=True):
    """An operator's version was appended at ``offset``, and what came of it."""

    offset: int
    accepted: bool


class ConfigurationInForce(_Event, frozen=True, tag=True):
    """``process`` showed the version of ``offset`` as the one in force."""

    offset: int


class ProcessStarted(_Event, frozen=True, tag=True):
    """A process of the system was ready."""


class ProcessEnded(_Event, frozen=True, tag=True):
    """A process of the system ended or was killed."""


class ProcessPaused(_Event, frozen=True, tag=True):
    """A process of the system was frozen."""


class ProcessResumed(_Event, frozen=True, tag=True):
    """A frozen process of the system goes on."""


class StopRequested(_Event, frozen=True, tag=True):
    """A process was asked to stop gracefully."""


Event = (
    CallerSent
    | CallerTold
    | TaskStarted
    | TaskFinished
    | TaskStopped
    | LeaveAnnounced
    | ConfigurationPublished
    | ConfigurationInForce
    | ProcessStarted
    | ProcessEnded
    | ProcessPaused
    | ProcessResumed
    | StopRequested
)


class History:
    """Appends events to a file, each flushed at once."""

    def __init__(self, path):
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def record(self, event):
        """Writes one event as one line."""
        os.write(self._file, msgspec.json.encode(event) + b"\n")


def read_history(*paths):
    """Returns the events of all files, ordered by time."""
    decoder = msgspec.json.Decoder(Event)
    events = []
    for path in paths:
        events.extend(decoder.decode_lines(Path(path).read_bytes()))
    return sorted(events, key=lambda event: event.at)
