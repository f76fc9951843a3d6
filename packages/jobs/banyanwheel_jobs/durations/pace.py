"""The pace of one worker's runs: how slow it is, by kind of task.

A task that takes long by itself says nothing of its worker, and all tasks of a job
share the error of their estimate. So a worker's pace is the median over jobs.
"""

import copy
import math
from dataclasses import dataclass
from statistics import median_high, median_low

from .histogram import PRIOR_SPREAD

__all__ = ["MIN_SIBLINGS", "SLOW_FACTOR", "Pace", "PaceEstimate", "sibling_factor"]

MAX_JOBS = 16  # remembered of a worker; their median is within 13% (one deviation)
MAX_RUNS = 32  # remembered of a job at a worker; about as many run there at a time
HALF_LIFE_S = 5.0  # of what is known of a job
MIN_WEIGHT = 1 / 64  # 16 jobs of less weight count for less than a quarter of one
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
REPORTED_HALF_LIFE_S = 15.0  # a worker that was slow is tried again after some of these
PRIOR_JOBS = 4.0  # jobs that the slowness reported by the runner counts for
TRIAL_JOBS = 1.25  # fresh jobs that show a pace: a new one, and one two half-lives old
MIN_OTHER_JOBS = 3  # jobs by which a slow worker is told from a long task
REFRESH_S = 0.2  # a heartbeat; it bounds the time spent on reports between
SLOW_FACTOR = 1.3  # a worker is slow from here on; sound ones differ by as much
# The median of n jobs deviates by about 1.25 * PRIOR_SPREAD / sqrt(n). Three times that
# is exceeded by chance by one of 740; each worker is looked at five times a second.
DOUBTED_SPREAD = 3 * 1.25 * PRIOR_SPREAD
# The same for the tasks of one job, which share the error of the estimate. Their spread
# is not known; this is wider than a job's where callers fan out equal parts.
DOUBTED_SIBLING_SPREAD = 3 * 1.25 * 0.25
MIN_SIBLINGS = 2  # at the worker beside the run; both are long by chance once in 1,100
MIN_SIBLINGS_ELSEWHERE = 3


@dataclass(frozen=True, slots=True)
class PaceEstimate:
    """A worker's slowness, the jobs it rests on and the age of its newest sample."""

    slowness: float
    jobs: float
    age_s: float


class _JobPace:
    """The runs of a job and kind; ``weight`` is 1 for fresh ones."""

    __slots__ = ("_median", "_ratios", "at", "job", "kind", "weight")

    def __init__(self, job, kind):
        self.job = job
        self.kind = kind
        self.at = 0.0  # when its newest run was first measured
        self.weight = 1.0
        self._ratios = {}  # logarithms by (task's index, run)
        self._median = None  # None if they have changed

    @property
    def log_ratio(self):
        """The median of the logarithms of run time over estimate.

        Of two runs it is the lower one, since the other may be long by itself.
        """
        if self._median is None:
            self._median = median_low(self._ratios.values())
        return self._median

    def record(self, key, log_ratio, now):
        """Records a run; it keeps the time of its first record."""
        if key not in self._ratios:
            if len(self._ratios) >= MAX_RUNS:
                return
            self.at = now
        self._ratios[key] = log_ratio
        self._median = None

    def ratios(self, without=None):
        """Returns the logarithms of run time over estimate, but for one run's."""
        return [ratio for key, ratio in self._ratios.items() if key != without]


class Pace:
    """Run times over estimates of the recent runs at one worker, as one placer knows.

    A worker is ``on_trial`` from its start, or from a fault, until the runs of a few
    jobs have shown its pace. So is one that was slow, once its samples are too old.
    """

    def __init__(self):
        self.on_trial = True
        self.seems_slow = False
        self._jobs = {}  # _JobPace by (job, kind), the first measured first
        self._estimates = {}  # by (kind or None for all, reported slowness)
        self._now = None  # the time of the last refresh
        self._reported = None  # (slowness, since when)

    def copy(self):
        """Returns a Pace whose estimates are kept apart from those of this one."""
        other = copy.copy(self)
        other._jobs = {key: copy.copy(each) for key, each in self._jobs.items()}
        other._estimates = dict(self._estimates)
        return other

    def due(self, now):
        """Returns whether to refresh the estimates, and to record progress before."""
        return self._now is None or now - self._now >= REFRESH_S

    def begin_trial(self):
        """Forgets the runs: the worker is new or back from a fault."""
        self._jobs.clear()
        self._estimates.clear()
        self.on_trial = True
        self.seems_slow = False

    def record(self, key, job, kind, ratio, now):
        """Records the ratio of a run's time to its estimate, or a better one.

        A run keeps the time of its first record: else long runs would count for longer
        than short ones, and the worker would look slow.
        """
        of_job = self._jobs.get((job, kind))
        if of_job is None:
            if len(self._jobs) >= MAX_JOBS:
                del self._jobs[next(iter(self._jobs))]
            of_job = self._jobs[job, kind] = _JobPace(job, kind)
        of_job.record(key, math.log(ratio), now)

    def refresh(self, reported, durations, now):
        """Renews the estimates from the samples, at a report of the runner."""
        self._now = now
        self._estimates.clear()
        for key, of_job in list(self._jobs.items()):
            of_job.weight = 0.5 ** ((now - of_job.at) / HALF_LIFE_S)
            if of_job.weight < MIN_WEIGHT:
                del self._jobs[key]
        if self._reported is None or self._reported[0] != reported:
            self._reported = reported, now
        jobs, median = self._relative(durations, self._jobs.values())
        if jobs >= TRIAL_JOBS:
            self.on_trial = False
            self.seems_slow = median > math.log(SLOW_FACTOR)
        elif self.seems_slow:
            self.on_trial = True

    def estimate(self, reported, kind=None):
        """Returns the PaceEstimate of the worker, or of the worker for one kind.

        Few samples count less than ``reported``, which the runner has from all its
        runs, and those of one kind less than all.
        """
        key = kind, reported
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = self._estimate(reported, kind)
        return estimate

    def slow_factor(self, job, durations):
        """Returns how much slower than usual the worker is at least, by other jobs.

        It is 1 if the worker isn't slow, or may look so by chance. Without the runs of
        ``job``, a long task or a bad estimate doesn't count against the worker.
        """
        others = [each for each in self._jobs.values() if each.job != job]
        jobs, median = self._relative(durations, others)
        if jobs < MIN_OTHER_JOBS:
            return 1.0
        factor = math.exp(median - DOUBTED_SPREAD / math.sqrt(jobs))
        return factor if factor >= SLOW_FACTOR else 1.0

    def ratios_of(self, job, kind, without=None):
        """Returns the logarithms of the ratios of a job's runs, but for one run's."""
        of_job = self._jobs.get((job, kind))
        return of_job.ratios(without) if of_job is not None else []

    def _estimate(self, reported, kind):
        prior = self._prior(reported)
        if kind is not None:
            prior = math.log(self.estimate(reported).slowness)
        rows = [each for each in self._jobs.values() if kind in (None, each.kind)]
        jobs, median = _weighted_median((each.log_ratio, each.weight) for each in rows)
        log_slowness = (jobs * median + PRIOR_JOBS * prior) / (jobs + PRIOR_JOBS)
        newest = max((each.weight for each in rows), default=0.0)
        age_s = -HALF_LIFE_S * math.log2(newest) if newest else math.inf
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, math.exp(log_slowness)))
        return PaceEstimate(slowness, jobs, age_s)

    def _prior(self, reported):
        """Returns the logarithm of the reported slowness, nearer to 0 with its age."""
        if not reported:
            return 0.0
        age_s = 0.0
        if self._reported is not None and self._reported[0] == reported:
            age_s = self._now - self._reported[1]
        return math.log(reported) * 0.5 ** (age_s / REPORTED_HALF_LIFE_S)

    def _relative(self, durations, rows):
        """Returns jobs and median of paces, relative to all runs of their kinds."""
        return _weighted_median(
            (each.log_ratio - durations.log_median(each.kind, self._now), each.weight)
            for each in rows
        )


def sibling_factor(here, elsewhere):
    """Returns how much slower a job's runs at a worker are at least than elsewhere.

    Both are logarithms of ratios. It is 1 if that is little, or may be chance.
    """
    if len(here) < MIN_SIBLINGS or len(elsewhere) < MIN_SIBLINGS_ELSEWHERE:
        return 1.0
    doubt = DOUBTED_SIBLING_SPREAD * math.sqrt(1 / len(here) + 1 / len(elsewhere))
    factor = math.exp(median_low(here) - median_high(elsewhere) - doubt)
    return factor if factor >= SLOW_FACTOR else 1.0


def _weighted_median(pairs):
    """Returns the sum of the weights, and the median of the values."""
    pairs = sorted(pairs)
    total = sum(weight for _, weight in pairs)
    reached = 0.0
    for value, weight in pairs:
        reached += weight
        if reached >= total / 2:
            return total, value
    return 0.0, 0.0
