"""Deadlines of a decision object, kept in order."""

import heapq
import itertools

__all__ = ["Timers"]


class Timers:
    """A heap of (time, key); a key set again replaces its earlier time."""

    def __init__(self):
        self._heap = []
        self._current = {}
        self._order = itertools.count()

    @property
    def next_due(self):
        """The earliest time set, or None."""
        self._drop_stale()
        return self._heap[0][0] if self._heap else None

    def set(self, key, at):
        """Sets the time of a key."""
        entry = (at, next(self._order), key)
        self._current[key] = entry
        heapq.heappush(self._heap, entry)

    def passed(self, key, now):
        """Tells whether a key's time has come and it has not been returned yet."""
        entry = self._current.get(key)
        return entry is not None and entry[0] <= now

    def cancel(self, key):
        """Forgets a key, if it is set."""
        self._current.pop(key, None)

    def due(self, now):
        """Removes and yields the keys whose time has come, the earliest first.

        A key that is cancelled while an earlier one is handled does not come.
        """
        while self._heap and self._heap[0][0] <= now:
            entry = heapq.heappop(self._heap)
            if self._current.get(entry[2]) is entry:
                del self._current[entry[2]]
                yield entry[2]

    def _drop_stale(self):
        while self._heap and self._current.get(self._heap[0][2]) is not self._heap[0]:
            heapq.heappop(self._heap)
