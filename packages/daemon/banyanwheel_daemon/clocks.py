"""The clocks of a process."""

import time

__all__ = ["boot_time", "wall_ms"]


def boot_time():
    """Returns monotonic seconds since boot, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms():
    """Returns Unix time in ms."""
    return int(time.time() * 1000)
