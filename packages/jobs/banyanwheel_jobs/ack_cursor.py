"""Up to which of its ends a worker may be told that they are taken."""

__all__ = ["AckCursor"]


class AckCursor:
    """The highest number below which every listed end has been taken."""

    def __init__(self):
        self._acknowledged = None
        self._unacknowledged = {}  # number by (task, run)
        self._acknowledged_ahead = set()

    @property
    def acknowledged(self):
        """The number to send to the worker."""
        return self._acknowledged or 0

    @property
    def has_unacknowledged(self):
        """Whether ends are listed that have not been taken."""
        return bool(self._unacknowledged)

    def record_listed(self, number, key):
        """Notes an end in the worker's list; returns whether it is a new one."""
        if self._acknowledged is None:
            self._acknowledged = number - 1
        if number <= self._acknowledged or number in self._acknowledged_ahead:
            return False
        known = key in self._unacknowledged
        self._unacknowledged[key] = number
        return not known

    def acknowledge(self, key):
        """Notes that the owner has taken an end."""
        number = self._unacknowledged.pop(key, None)
        if number is None:
            return
        self._acknowledged_ahead.add(number)
        while self._acknowledged + 1 in self._acknowledged_ahead:
            self._acknowledged += 1
            self._acknowledged_ahead.discard(self._acknowledged)
