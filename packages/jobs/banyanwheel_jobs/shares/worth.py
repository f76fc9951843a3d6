"""What a job is expected to be worth if its remaining tasks start now."""

from dataclasses import dataclass

from ..owners.job import LATE_FACTOR

__all__ = ["Worth", "work_core_ms"]

LATE_WORTH = 0.2  # of a late job; callers count it one fifth
# A job counts partly by itself and partly by its work relative to its queue's mean.
FIXED_PART = 0.3
# The longest of a job's tasks takes about this multiple of a typical one: of 8 tasks
# whose logarithms have a standard deviation of 0.15, the mean of the longest.
LONGEST_TASK_FACTOR = 1.25
# Steepness of the chance to end in time over the time waited: the logistic curve of an
# estimate whose logarithm has a standard deviation of 0.4 (1.7 / 0.4).
STEEPNESS = 4.0
MIN_SLACK_S = 0.001  # avoids a division by zero for queues without slack


@dataclass(frozen=True, slots=True)
class Worth:
    """The worth of a job, in core-ms of a job of mean work that is on time.

    A job that starts ``on_time_wait_s`` after its receipt is on time with a chance of
    one half, and one that starts after ``late_wait_s`` is at least late.
    """

    value: float
    on_time_wait_s: float
    late_wait_s: float

    @classmethod
    def from_submission(cls, submission, core_ms, mean_core_ms):
        """Returns the worth of a job from its queue's settings and its work."""
        path_s = submission.critical_path_ms / 1000 * LONGEST_TASK_FACTOR
        objective_s = submission.objective_ms / 1000
        value = FIXED_PART * (mean_core_ms or core_ms) + (1 - FIXED_PART) * core_ms
        return cls(
            max(1.0, value),
            max(MIN_SLACK_S, objective_s - path_s),
            max(MIN_SLACK_S, LATE_FACTOR * objective_s - path_s),
        )

    def probably_on_time(self, waited_s):
        """Returns whether a job that starts now is more likely on time than not."""
        return waited_s <= self.on_time_wait_s

    def density(self, waited_s, remaining_core_ms):
        """Returns the expected worth per core-ms that is still to be spent."""
        on_time = _chance(waited_s, self.on_time_wait_s)
        late = _chance(waited_s, self.late_wait_s)
        expected = self.value * ((1 - LATE_WORTH) * on_time + LATE_WORTH * late)
        return expected / max(1.0, remaining_core_ms)


def _chance(waited_s, limit_s):
    return 1 / (1 + (max(0.0, waited_s) / limit_s) ** STEEPNESS)


def work_core_ms(submission):
    """Returns the estimated work of all tasks of a job in core-ms."""
    return sum(
        step.count * step.resources.cpu / 1000 * step.estimate_ms
        for step in submission.steps
    )
