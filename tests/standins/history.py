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
    "EndTaken",
    "Event",
    "History",
    "LeaseLapsed",
    "LeaveAnnounced",
    "ProcessEnded",
    "ProcessPaused",
    "ProcessResumed",
    "ProcessStarted",
    "StoodStill",
    "StopRequested",
    "TaskEnded",
    "TaskStarted",
    "read_history",
]


class _Event(msgspec.Struct, frozen=True, tag=True, tag_field="event", kw_only=True):
    """Base of every event; ``process`` is the name of who recorded it."""

    process: str
    at: float = msgspec.field(default_factory=time.monotonic)


class CallerSent(_Event, frozen=True, tag=True):
    """A caller sent a request; ``request`` is unique for each sending.

    ``verb`` is ``submit``, ``state`` or ``cancel``; ``tasks`` is the number of the
    job's tasks.
    """

    request: str
    dispatcher: str
    verb: str
    job: str
    tasks: int = 0
    stored: bool = True


class CallerTold(_Event, frozen=True, tag=True):
    """A caller got its answer; ``status`` is 0 where the connection broke.

    ``refused`` tells that the connection was never made.
    """

    request: str
    status: int
    state: str = ""
    refused: bool = False


class TaskStarted(_Event, frozen=True, tag=True):
    """A worker started a run; ``task`` is its whole name."""

    task: str
    run: int

    @property
    def job(self):
        """The id of the job."""
        return self.task.partition(".")[0]


class TaskEnded(_Event, frozen=True, tag=True):
    """A run has ended at a worker."""

    task: str
    run: int
    how: str


class EndTaken(_Event, frozen=True, tag=True):
    """A worker was told that the end of a run is taken note of."""

    task: str
    run: int
    how: str


class LeaseLapsed(_Event, frozen=True, tag=True):
    """A worker's lease ran out."""


class StoodStill(_Event, frozen=True, tag=True):
    """A stand-in did nothing for a while, with so much of its processor's time."""

    seconds: float
    processor_s: float


class LeaveAnnounced(_Event, frozen=True, tag=True):
    """A runner acknowledged that its worker leaves."""


class ConfigurationPublished(_Event, frozen=True, tag=True):
    """An operator's version is on the log."""

    version: int


class ConfigurationInForce(_Event, frozen=True, tag=True):
    """``process`` showed a version as the one in force."""

    version: int


class ProcessStarted(_Event, frozen=True, tag=True):
    """A process was started."""


class ProcessEnded(_Event, frozen=True, tag=True):
    """A process ended or was killed."""


class ProcessPaused(_Event, frozen=True, tag=True):
    """A process was frozen."""


class ProcessResumed(_Event, frozen=True, tag=True):
    """A frozen process goes on."""


class StopRequested(_Event, frozen=True, tag=True):
    """A process was asked to stop gracefully."""


Event = (
    CallerSent
    | CallerTold
    | TaskStarted
    | TaskEnded
    | EndTaken
    | LeaseLapsed
    | LeaveAnnounced
    | StoodStill
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

    def close(self):
        """Closes the file."""
        os.close(self._file)


def read_history(*paths):
    """Returns the events of all files, ordered by time."""
    decoder = msgspec.json.Decoder(Event)
    events = []
    for path in paths:
        events.extend(decoder.decode_lines(Path(path).read_bytes()))
    return sorted(events, key=lambda event: event.at)
