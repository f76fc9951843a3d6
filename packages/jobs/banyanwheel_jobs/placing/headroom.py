"""CPU capacity that is reserved for urgent jobs."""

__all__ = ["Headroom"]

RESERVED_SHARE = 0.05  # of a pool; about one of the widest jobs of short tasks
URGENT_SLACK_S = 0.25  # jobs with more slack may not use the reserve
BUSY_SHARE = 0.5  # in use


class Headroom:
    """The free CPU of some runners, in thousandths of a core, and its reserved part.

    The runners are those that may run the same tasks. The room of any others must not
    count: it is of no use to these tasks.
    """

    def __init__(self, views):
        self._views = views
        self._capacity = sum(view.worker.capacity.cpu for view in views)
        self._free = None  # summed up when it is next needed

    @property
    def free(self):
        """The free CPU of all runners."""
        if self._free is None:
            self._free = sum(max(0, view.free.cpu) for view in self._views)
        return self._free

    @property
    def busy(self):
        """Whether ``BUSY_SHARE`` of the CPU is in use."""
        return self.free <= (1 - BUSY_SHARE) * self._capacity

    def admits(self, job, now):
        """Returns whether another task of a job may be placed.

        Once only the reserve is free, the job needs a slack below ``URGENT_SLACK_S``.
        """
        if self.free > RESERVED_SHARE * self._capacity:
            return True
        return job.on_time_until - job.critical_path_s - now < URGENT_SLACK_S

    def subtract(self, cpu):
        """Subtracts the CPU of a task that has been placed at one of the runners."""
        self._free = self.free - cpu

    def recount(self):
        """Has the free CPU summed up anew, after tasks have been placed."""
        self._free = None
