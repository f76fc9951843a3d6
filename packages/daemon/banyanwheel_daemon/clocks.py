"""The clocks that decisions use."""

import time

__all__ = ["boot_time", "wall_ms"]


def boot_time():
    """Returns seconds that also count the time for which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms():
    """Returns Unix time in ms."""
    return int(time.time() * 1000)
