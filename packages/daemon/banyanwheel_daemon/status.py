"""Exit statuses of ``banyanwheeld``."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """What the service manager learns from a run."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    INTERRUPTED = 130
