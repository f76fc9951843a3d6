"""Log lines in JSON, one eliot task per job across all processes.

The id of a job is also the id of its eliot task, so no message has to carry one.
"""

import sys
import zlib
from enum import IntEnum

from eliot import Action, FileDestination, add_destinations, remove_destination

__all__ = ["Branch", "JsonLines", "continue_job"]


class Branch(IntEnum):
    """First level of a job's action tree, one for each part of the work."""

    ENTRY = 1
    COORDINATOR = 2
    EXECUTOR = 3


class JsonLines:
    """Writes each log message as one line of JSON to a file or stream."""

    def __init__(self, stream, *, closes=False):
        self._stream = stream
        self._closes = closes
        self._destination = FileDestination(file=stream)

    @classmethod
    def from_settings(cls, settings, stdout=None):
        """Opens the file that a :class:`LogFile` names; ``-`` is ``stdout``."""
        if settings.file == "-":
            return cls(stdout or sys.stdout)
        stream = open(settings.file, "a", encoding="utf-8")  # noqa: SIM115
        return cls(stream, closes=True)

    def start(self):
        """Begins to write."""
        add_destinations(self._destination)

    def stop(self):
        """Ends writing and closes a file that was opened here."""
        remove_destination(self._destination)
        if self._closes:
            self._stream.close()


def continue_job(job_id, branch, name, **fields):
    """Returns a started action for one process's part in a job.

    Finish it with ``action.finish()``, or use it as a context manager where the part
    ends within one function. ``name`` is the process's own; it keeps the levels of
    several executors of one job apart.
    """
    level = f"/{branch.value}/{zlib.crc32(name.encode())}"
    return Action.continue_task(
        task_id=f"{job_id}@{level}",
        action_type=f"banyanwheel:{branch.name.lower()}",
        process=name,
        **fields,
    )
