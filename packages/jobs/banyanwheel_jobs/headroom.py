"""Room that is kept for work that can't wait."""

__all__ = ["Headroom"]

SHARE = 0.05  # of all room: about one job of the widest kind of short tasks
SLACK_S = 0.25  # a job that can wait longer than this leaves the headroom alone


class Headroom:
    """What is free over all runners in a round of placing, in thousandths of a core."""

    def __init__(self, free, reserve):
        self._free = free
        self._reserve = reserve

    @classmethod
    def of(cls, views):
        """Returns the headroom of the runners that may be used."""
        free = sum(max(0, view.free.cpu) for view in views)
        capacity = sum(view.worker.capacity.cpu for view in views)
        return cls(free, SHARE * capacity)

    def admits(self, job, now):
        """Tells whether another task of a job may be placed."""
        slack_s = job.on_time_until - job.submission.chain_ms / 1000 - now
        return slack_s < SLACK_S or self._free > self._reserve

    def take(self, resources):
        """Notes that a task has been placed."""
        self._free -= resources.cpu
