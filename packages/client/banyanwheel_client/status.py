"""Exit statuses of the command line."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """What a script learns from a run without reading its output."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    CONFLICT = 6
    INCOMPLETE = 7
    INTERRUPTED = 130
