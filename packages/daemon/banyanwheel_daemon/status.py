"""Exit statuses of ``banyanwheeld``."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """The exit statuses that a service manager sees."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    INTERRUPTED = 130
