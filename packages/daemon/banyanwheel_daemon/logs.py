"""Log lines in JSON, one eliot task per job across all processes.

The id of a job is also the id of its eliot task, so no message has to carry one.
"""

import os
import sys
import zlib
from enum import IntEnum

from eliot import Action, FileDestination, add_destinations, remove_destination

__all__ = ["Branch", "JsonLines", "LossyStream", "continue_job"]


class Branch(IntEnum):
    """First level of a job's action tree, one for each part of the work."""

    ENTRY = 1
    COORDINATOR = 2
    EXECUTOR = 3


class LossyStream:
    """Writes to a descriptor without ever waiting for its reader.

    What does not fit is dropped by whole lines; ``lost`` counts them.
    """

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b""  # the end of a line that was written in part
        self.lost = 0

    def write(self, line):
        """Writes a line of bytes, or drops it."""
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.lost += 1
            return
        rest = data[written:]
        # Without a line break at the cut, the rest must follow before other lines.
        self._rest = b"" if data[:written].endswith(b"\n") else rest
        if rest and not self._rest:
            self.lost += 1

    def flush(self):
        """Does nothing: nothing is kept back on purpose."""


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
