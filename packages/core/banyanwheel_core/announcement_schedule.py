"""When a member announces itself again."""

__all__ = ["AnnouncementSchedule"]

LIFETIME_SHARE = 3  # an announcement may be lost twice before it expires
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 10.0
PAUSE_FACTOR = 2.0


class AnnouncementSchedule:
    """The next time of an announcement, with random spread; times in seconds."""

    def __init__(self, lifetime_s, random):
        self._interval_s = lifetime_s / LIFETIME_SHARE
        self._random = random
        self._next_at = None
        self._pause_s = FIRST_PAUSE_S

    def due(self, now):
        """Tells whether to announce now; true until the first success."""
        return self._next_at is None or now >= self._next_at

    def succeeded(self, now):
        """Notes that an announcement is on the log."""
        self._pause_s = FIRST_PAUSE_S
        self._next_at = now + self._random.uniform(0.8, 1.0) * self._interval_s

    def failed(self, now):
        """Notes that an announcement failed or may have failed."""
        self._next_at = now + self._random.uniform(0.5, 1.0) * self._pause_s
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * PAUSE_FACTOR)
