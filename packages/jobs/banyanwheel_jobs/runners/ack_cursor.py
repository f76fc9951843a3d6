"""Tracks up to which number a worker's ends can be acknowledged."""

__all__ = ["AckCursor"]


class AckCursor:
    """Holds the highest number up to which all listed ends are acknowledged.

    Ends may be acknowledged in any order; the worker takes a single number.
    """

    def __init__(self):
        self._acknowledged = None
        self._unacknowledged = {}  # number by (task, run)
        self._acknowledged_ahead = set()

    @property
    def acknowledged(self):
        """The number to send to the worker, 0 before the first end is listed."""
        return self._acknowledged or 0

    @property
    def has_unacknowledged(self):
        """Whether the worker lists ends that have not been acknowledged."""
        return bool(self._unacknowledged)

    def record_listed(self, number, key):
        """Records an end in the worker's list; returns whether it is a new one."""
        if self._acknowledged is None:
            self._acknowledged = number - 1
        if number <= self._acknowledged or number in self._acknowledged_ahead:
            return False
        known = key in self._unacknowledged
        self._unacknowledged[key] = number
        return not known

    def acknowledge(self, key):
        """Records that an end is acknowledged; an unlisted one is ignored."""
        number = self._unacknowledged.pop(key, None)
        if number is None:
            return
        self._acknowledged_ahead.add(number)
        while self._acknowledged + 1 in self._acknowledged_ahead:
            self._acknowledged += 1
            self._acknowledged_ahead.discard(self._acknowledged)
