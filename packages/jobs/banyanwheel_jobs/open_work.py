"""Memory of open jobs, and whether there is enough for one more.

A submission here is anything with the ``spec`` and the ``steps`` of a job.
"""

from sys import getsizeof

__all__ = ["HeldTable", "WorkLimit", "job_bytes", "submission_bytes"]

# Measured on CPython 3.11, rounded up.
JOB_BYTES = 2_048
TASK_BYTES = 800  # with its sets of failed runs and avoided runners
STEP_BYTES = 256
DEPENDENCY_BYTES = 8


def submission_bytes(submission):
    """Returns the memory of a submission whose tasks are kept elsewhere, or not yet."""
    size = JOB_BYTES + getsizeof(submission.spec)
    for step in submission.steps:
        # One wide character makes a text take four bytes for each.
        texts = getsizeof(step.label) + getsizeof(step.rack)
        size += STEP_BYTES + texts + len(step.after) * DEPENDENCY_BYTES
    return size


def job_bytes(submission):
    """Returns the memory of a job with all of its tasks."""
    tasks = sum(step.count for step in submission.steps)
    return submission_bytes(submission) + tasks * TASK_BYTES


class HeldTable(dict):
    """Values by key, and the memory that they take; ``size_of(value)`` is fixed.

    It is changed by item assignment, ``del`` and ``pop`` only.
    """

    def __init__(self, size_of):
        super().__init__()
        self.held_bytes = 0
        self._size_of = size_of

    @classmethod
    def of_jobs(cls):
        """Returns a table of jobs with their tasks."""
        return cls(lambda job: job_bytes(job.submission))

    def __setitem__(self, key, value):
        if key in self:
            del self[key]
        super().__setitem__(key, value)
        self.held_bytes += self._size_of(value)

    def __delitem__(self, key):
        value = self[key]
        super().__delitem__(key)
        self.held_bytes -= self._size_of(value)

    def pop(self, key, default=None):
        """Removes a key and returns its value, or the default."""
        value = self.get(key, default)
        if key in self:
            del self[key]
        return value


class WorkLimit:
    """Admits jobs while all open ones fit into ``max_bytes``.

    ``held_bytes()`` returns what the open ones take. A job that no other is beside is
    always admitted: the limits on bodies and tasks bound it.
    """

    def __init__(self, max_bytes, held_bytes):
        self._max_bytes = max_bytes
        self._held_bytes = held_bytes

    def admits(self, submission):
        """Returns whether there is memory for one more job."""
        held = self._held_bytes()
        return not held or held + job_bytes(submission) <= self._max_bytes
