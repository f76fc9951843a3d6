"""A clock for lifetimes of records that only a readable, moving log can renew."""

from math import inf

__all__ = ["LogClock"]


class LogClock:
    """Monotonic time without the stretches in which the log told nothing.

    It stands still while the log cannot be read, and once no record has arrived
    for the quiet time given with the last one. The second rule covers a log that
    answers reads and takes no appends, and a reader that was itself paused: in both
    cases records are missing though their owners live. Times are in seconds.
    """

    def __init__(self):
        self._stopped = 0.0
        self._limit = None
        self._lost_at = None

    @property
    def started(self):
        """Whether a record has been heard."""
        return self._limit is not None

    def at(self, time):
        """Returns the reading for a past moment since the last stop."""
        return time - self._stopped

    def read(self, now):
        """Returns the reading; before the first record it is minus infinity."""
        if self._limit is None:
            return -inf
        return min(now, self._end()) - self._stopped

    def heard(self, written_at, quiet_s):
        """Notes a record; the clock runs until ``quiet_s`` after it was written."""
        limit = written_at + quiet_s
        if self._limit is None:
            self._limit = limit
        elif limit > self._limit:
            self._stopped += max(0.0, written_at - self._limit)
            self._limit = limit

    def lost(self, now):
        """Notes that the log cannot be read."""
        if self._lost_at is None:
            self._lost_at = now

    def seen(self, now):
        """Notes that the log answered a read."""
        if self._lost_at is None:
            return
        if self._limit is not None:
            unused_s = max(0.0, self._limit - self._lost_at)
            self._stopped += max(0.0, now - self._end())
            self._limit = now + unused_s
        self._lost_at = None

    def _end(self):
        return self._limit if self._lost_at is None else min(self._limit, self._lost_at)
