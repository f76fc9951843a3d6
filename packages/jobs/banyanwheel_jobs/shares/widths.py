"""Width classes of a queue's jobs, from a sample of recent widths."""

from bisect import bisect_left, insort
from collections import deque
from enum import IntEnum

__all__ = ["RecentWidths", "WidthClass"]

MAX_SAMPLE = 200  # jobs; the widest tenth are 20 of them
MIN_SAMPLE = 20  # jobs; in fewer, the widest tenth is less than two
WIDEST_SHARE = 0.1
WIDE_SHARE = 0.3  # the widest tenth and the fifth below it


class WidthClass(IntEnum):
    """The place of a job's number of tasks among those of its queue."""

    USUAL = 0
    WIDE = 1  # the fifth below the widest tenth
    WIDEST = 2  # the widest tenth


class RecentWidths:
    """The numbers of tasks of a queue's newest jobs."""

    def __init__(self):
        self._newest = deque()
        self._sorted = []

    def add(self, width):
        """Adds the width of a new job; returns its class among those before it."""
        wider = len(self._sorted) - bisect_left(self._sorted, width)
        share = wider / len(self._sorted) if self._sorted else 1.0
        few = len(self._sorted) < MIN_SAMPLE
        self._newest.append(width)
        insort(self._sorted, width)
        if len(self._newest) > MAX_SAMPLE:
            del self._sorted[bisect_left(self._sorted, self._newest.popleft())]
        if few or share > WIDE_SHARE:
            return WidthClass.USUAL
        return WidthClass.WIDE if share > WIDEST_SHARE else WidthClass.WIDEST
