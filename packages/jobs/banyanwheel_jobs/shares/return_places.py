"""Places kept for callers that return at the time that a refusal named."""

import copy
from collections import OrderedDict

__all__ = ["ReturnPlaces"]

MAX_PLACES = 2_000  # overload refuses some 100 jobs a second at one dispatcher
# A caller may return so much before its time: clocks and rounding to whole ms.
EARLY_S = 0.05
KEPT_S = 2.0  # after that time; covers the way of a request and a slow caller


class ReturnPlaces:
    """The refused jobs whose callers were told when to return.

    A place belongs to one job id and is used up by the job's next submission, so that
    returning early, or repeatedly, gains nothing.
    """

    def __init__(self):
        self._due = OrderedDict()  # times by job id

    def __len__(self):
        """Returns the number of places."""
        return len(self._due)

    def copy(self):
        """Returns the same places, which can be used up without an effect on these."""
        other = copy.copy(self)
        other._due = self._due.copy()
        return other

    def keep(self, job_id, due_at, now):
        """Keeps a place from ``due_at`` on; drops the oldest beyond ``MAX_PLACES``."""
        self._due.pop(job_id, None)
        self._due[job_id] = due_at
        while len(self._due) > MAX_PLACES or self._is_over(now):
            self._due.popitem(last=False)

    def take(self, job_id, now):
        """Uses up the place of a job; returns whether its caller returned as told."""
        due_at = self._due.pop(job_id, None)
        return due_at is not None and due_at - EARLY_S <= now <= due_at + KEPT_S

    def _is_over(self, now):
        return bool(self._due) and next(iter(self._due.values())) + KEPT_S < now
