"""Room that is kept for work that can't wait."""

__all__ = ["Headroom"]

RESERVED_SHARE = 0.05  # of all room: about one job of the widest kind of short tasks
URGENT_SLACK_S = 0.25  # a job that can wait longer than this leaves the headroom alone


class Headroom:
    """What is free at the runners in a round of placing, in thousandths of a core."""

    def __init__(self, views):
        self._views = views
        self._free = sum(max(0, view.free.cpu) for view in views)
        self._reserve = RESERVED_SHARE * sum(view.worker.capacity.cpu for view in views)
        self._largest = self._find_largest()

    @property
    def largest(self):
        """The most that is free at one runner."""
        return self._largest

    def admits(self, job, now):
        """Tells whether another task of a job may be placed."""
        if self._free > self._reserve:
            return True
        return job.on_time_until - job.critical_path_s - now < URGENT_SLACK_S

    def take(self, resources):
        """Notes that a task has been placed."""
        self._free -= resources.cpu
        self._largest = self._find_largest()

    def _find_largest(self):
        return max((view.free.cpu for view in self._views), default=0)
