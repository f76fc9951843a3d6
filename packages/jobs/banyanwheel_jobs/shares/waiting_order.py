"""The order of the waiting jobs, kept between the rounds of placing."""

from bisect import insort
from itertools import count

__all__ = ["WaitingOrder"]

# The order changes with time only slowly. Sorting at each of some hundred rounds a
# second would make a round's cost grow with the jobs that wait.
REBUILD_S = 0.05


class WaitingOrder:
    """Jobs by a key that is computed at least every ``REBUILD_S``.

    Jobs that no longer wait stay until then; the caller passes over them.
    """

    def __init__(self):
        self._entries = []
        self._numbers = count()
        self._rebuilt_at = float("-inf")
        self._short = None
        self.least_cpu = 0  # the least that a task of one of the jobs needs

    def is_due(self, short, now):
        """Returns whether the order has to be computed anew.

        ``short`` are the services whose room is short: keys depend on that.
        """
        return short != self._short or not 0 <= now - self._rebuilt_at < REBUILD_S

    def rebuild(self, jobs, key, short, now):
        """Puts ``jobs`` in the order of ``key(job)``."""
        self._rebuilt_at, self._short = now, short
        self._entries = sorted(self._entry(job, key) for job in jobs)
        self.least_cpu = min((job.min_task_cpu for job in jobs), default=0)

    def add(self, jobs, key):
        """Adds jobs that have come, or moves those whose key has changed."""
        for job in jobs:
            if not self._entries or job.min_task_cpu < self.least_cpu:
                self.least_cpu = job.min_task_cpu
            insort(self._entries, self._entry(job, key))

    def __iter__(self):
        """Yields the jobs, those that have been added again more than once."""
        return (entry[-1] for entry in list(self._entries))

    def _entry(self, job, key):
        # Equal jobs are ordered by id, so that the order does not vary between runs.
        return key(job), job.id, next(self._numbers), job
