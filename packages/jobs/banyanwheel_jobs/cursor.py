"""Up to which of its ends a worker may be told that they are taken."""

__all__ = ["Cursor"]


class Cursor:
    """The highest number below which every listed end has been taken."""

    def __init__(self):
        self._acknowledged = None
        self._open = {}  # number by (task, run)
        self._taken = set()

    @property
    def acknowledged(self):
        """The number to send to the worker."""
        return self._acknowledged or 0

    @property
    def open(self):
        """Whether ends are listed that have not been taken."""
        return bool(self._open)

    def list(self, number, key):
        """Notes an end in the worker's list; returns whether it is a new one."""
        if self._acknowledged is None:
            self._acknowledged = number - 1
        if number <= self._acknowledged or number in self._taken:
            return False
        known = key in self._open
        self._open[key] = number
        return not known

    def take(self, key):
        """Notes that the owner has taken an end."""
        number = self._open.pop(key, None)
        if number is None:
            return
        self._taken.add(number)
        while self._acknowledged + 1 in self._taken:
            self._acknowledged += 1
            self._taken.discard(self._acknowledged)
