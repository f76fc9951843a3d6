"""The pace of one worker's runs: how slow it is, by kind of task.

A task that takes long by itself says nothing of its worker, and all tasks of a job
share the error of their estimate. So a worker's pace is the median over jobs.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from .histogram import PRIOR_SPREAD

__all__ = ["SLOW_FACTOR", "Pace", "PaceEstimate"]

MAX_SAMPLES = 32  # runs remembered of a worker; about as many run there at a time
HALF_LIFE_S = 5.0  # of a sample
REPORTED_HALF_LIFE_S = 15.0  # a worker that was slow is tried again after some of these
PRIOR_JOBS = 4.0  # jobs that the slowness reported by the runner counts for
TRIAL_JOBS = 2.0  # jobs whose runs show the pace of a worker that is tried
MIN_OTHER_JOBS = 3  # jobs by which a slow worker is told from a long task
REFRESH_S = 0.2  # a heartbeat; it bounds the time spent on reports between
SLOW_FACTOR = 1.3  # a slower worker than this is worth a closer look
# The median of n jobs deviates by about 1.25 * PRIOR_SPREAD / sqrt(n); twice that is
# exceeded by chance by one of 40.
DOUBTED_SPREAD = 2 * 1.25 * PRIOR_SPREAD


@dataclass(frozen=True, slots=True)
class PaceEstimate:
    """A worker's slowness, the jobs it rests on and the age of its newest sample."""

    slowness: float
    jobs: float
    age_s: float


@dataclass(slots=True)
class _Sample:
    job: str
    kind: tuple
    log_ratio: float
    at: float  # when the run was first measured


@dataclass(frozen=True, slots=True)
class _JobPace:
    """The runs of one job and kind; ``weight`` is 1 for fresh ones."""

    job: str
    kind: tuple
    log_ratio: float
    weight: float


class Pace:
    """Run times over estimates of the recent runs at one worker, as one placer knows.

    A worker is ``on_trial`` from its start, or from a fault, until the runs of a few
    jobs have shown its pace. So is one that was slow, once its samples are too old.
    """

    def __init__(self):
        self.on_trial = True
        self.seems_slow = False
        self._samples = OrderedDict()  # by (task, run), the first measured first
        self._jobs = []  # a _JobPace each
        self._estimates = {}  # by (kind or None for all, reported slowness)
        self._now = None  # the time of the last refresh
        self._reported = None  # (slowness, since when)

    def due(self, now):
        """Returns whether to refresh the estimates, and to record progress before."""
        return self._now is None or now - self._now >= REFRESH_S

    def begin_trial(self):
        """Forgets the runs: the worker is new or back from a fault."""
        self._samples.clear()
        self._jobs = []
        self._estimates.clear()
        self.on_trial = True
        self.seems_slow = False

    def record(self, key, job, kind, ratio, now):
        """Records the ratio of a run's time to its estimate, or a better one.

        A run keeps its time of the first record: else long runs would count for longer
        than short ones, and the worker look slow.
        """
        sample = self._samples.get(key)
        if sample is not None:
            sample.log_ratio = math.log(ratio)
            return
        self._samples[key] = _Sample(job, kind, math.log(ratio), now)
        if len(self._samples) > MAX_SAMPLES:
            self._samples.popitem(last=False)

    def refresh(self, reported, durations, now):
        """Renews the estimates from the samples, at a report of the runner."""
        self._now = now
        self._jobs = self._group_by_job(now)
        self._estimates.clear()
        if self._reported is None or self._reported[0] != reported:
            self._reported = reported, now
        jobs, median = self._relative(durations, self._jobs)
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

        It is 1 if that can't be told from chance. Without the runs of ``job``, a long
        task or a bad estimate doesn't count against the worker.
        """
        others = [each for each in self._jobs if each.job != job]
        jobs, median = self._relative(durations, others)
        if jobs < MIN_OTHER_JOBS:
            return 1.0
        return max(1.0, math.exp(median - DOUBTED_SPREAD / math.sqrt(jobs)))

    def _group_by_job(self, now):
        groups = {}
        for sample in self._samples.values():
            groups.setdefault((sample.job, sample.kind), []).append(sample)
        return [
            _JobPace(
                job,
                kind,
                sum(sample.log_ratio for sample in samples) / len(samples),
                0.5 ** (max(0.0, now - samples[-1].at) / HALF_LIFE_S),
            )
            for (job, kind), samples in groups.items()
        ]

    def _estimate(self, reported, kind):
        prior = self._prior(reported)
        if kind is not None:
            prior = math.log(self.estimate(reported).slowness)
        rows = [each for each in self._jobs if kind in (None, each.kind)]
        jobs, median = _weighted_median((each.log_ratio, each.weight) for each in rows)
        log_slowness = (jobs * median + PRIOR_JOBS * prior) / (jobs + PRIOR_JOBS)
        newest = max((each.weight for each in rows), default=0.0)
        age_s = -HALF_LIFE_S * math.log2(newest) if newest else math.inf
        return PaceEstimate(math.exp(log_slowness), jobs, age_s)

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
