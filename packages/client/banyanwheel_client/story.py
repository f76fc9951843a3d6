"""One request's lines out of the logs of several processes, in order.

Each file's own order is kept, whatever its clock did; lines of different files are
merged by their timestamps, which differ by as much as the machines' clocks.
"""

import heapq
from dataclasses import dataclass
from pathlib import Path

import msgspec

from .errors import UsageError

__all__ = ["Story"]

EVENT = "message_type"
LEFT_OUT = "log:lines-left-out"
_ENVELOPE = (EVENT, "timestamp", "task_uuid", "task_level")


@dataclass(frozen=True, slots=True)
class Story:
    """Rows in order; ``unreadable`` counts lines that are no JSON objects."""

    rows: tuple[dict, ...]
    unreadable: int

    @classmethod
    def from_files(cls, request_id, files):
        """Reads the lines that name a request; raises UsageError for a file."""
        unreadable = 0
        told = []
        for file in files:
            lines, faults = _lines(file)
            unreadable += faults
            told.append(_relevant(request_id, file, lines))
        merged = heapq.merge(*told, key=lambda line: line[0])
        return cls(tuple(row for _, row in merged), unreadable)


def _lines(file):
    try:
        text = Path(file).read_bytes()
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    lines, faults = [], 0
    for data in text.splitlines():
        try:
            line = msgspec.json.decode(data, type=dict)
        except msgspec.MsgspecError:
            faults += 1
            continue
        lines.append(line)
    return lines, faults


def _relevant(request_id, file, lines):
    """Yields (time, row); the time never falls within a file."""
    latest = 0.0
    left_out = 0
    for line in lines:
        latest = max(latest, line.get("timestamp", 0.0))
        if line.get(EVENT) == LEFT_OUT:
            left_out += line.get("lines", 0)
        elif _names(line, request_id):
            if left_out:
                yield latest, _row(latest, file, LEFT_OUT, {"lines": left_out})
                left_out = 0
            fields = {
                name: value for name, value in line.items() if name not in _ENVELOPE
            }
            yield latest, _row(latest, file, line.get(EVENT, ""), fields)


def _names(line, request_id):
    """Tells whether a line is about a job, one of its tasks or one of its runs."""
    if line.get("job") == request_id:
        return True
    task = line.get("task", "")
    return isinstance(task, str) and task.split(".", 1)[0] == request_id


def _row(time, file, event, fields):
    return {
        "time": round(time, 4),
        "process": Path(file).stem,
        "event": event,
        **{name: value for name, value in fields.items() if name != "job"},
    }
