"""The expected duration of tasks, learned by kind."""

import math
from collections import OrderedDict
from typing import NamedTuple

from .histogram import RatioHistogram

__all__ = ["MIN_AGE_S", "Durations", "Kind", "ratio_of", "total_ms_of"]

MAX_KINDS = 64  # a histogram takes about 3 KB
MIN_ESTIMATE_MS = 20  # below it, delays count for more than run time
MIN_AGE_S = 0.15  # the percentage of a younger run says little
MIN_PERCENT = 3  # a lower one may be off by a third, since it is a whole number
MEDIAN_S = 0.25  # a median is worked out again after this time


class Kind(NamedTuple):
    """A kind of task: a queue's name and the number of a step of its jobs."""

    queue: str
    step: int

    @classmethod
    def from_task(cls, job, task):
        """Returns the kind of a task of a job."""
        return cls(job.submission.queue.name, task.id.step)


def ratio_of(total_ms, estimate_ms):
    """Returns the ratio of a run time to the estimate of its task."""
    return max(1.0, total_ms) / max(MIN_ESTIMATE_MS, estimate_ms)


def total_ms_of(percent, age_ms):
    """Returns the run time that a run's progress leads to, None if it says little."""
    if percent < MIN_PERCENT or age_ms < MIN_AGE_S * 1000:
        return None
    return age_ms * 100 / percent


class Durations:
    """Quantiles of run time over estimate for each kind of task, at one placer.

    The kinds whose runs were measured least recently are dropped.
    """

    def __init__(self):
        self._histograms = OrderedDict()
        self._medians = {}  # (log of the median, when worked out) by kind

    def record(self, kind, ratio, now):
        """Counts a run, by the ratio of its run time to the estimate."""
        histogram = self._histograms.pop(kind, None) or RatioHistogram()
        self._histograms[kind] = histogram
        histogram.add(ratio, now)
        if len(self._histograms) > MAX_KINDS:
            dropped, _ = self._histograms.popitem(last=False)
            self._medians.pop(dropped, None)

    def samples(self, kind, now):
        """Returns how many fresh samples the runs of a kind are worth."""
        histogram = self._histograms.get(kind)
        return histogram.samples(now) if histogram else 0.0

    def ratio(self, kind, share, now, above=0.0):
        """Returns a quantile of run time over estimate, of those over ``above``."""
        histogram = self._histograms.get(kind) or _UNKNOWN
        return histogram.quantile(share, now, above)

    def seconds(self, kind, estimate_ms, share, now):
        """Returns the time in which ``share`` of the tasks of a kind end.

        It is that of a usual worker; one of slowness S takes S times as long.
        """
        scale_s = max(MIN_ESTIMATE_MS, estimate_ms) / 1000
        return self.ratio(kind, share, now) * scale_s

    def remaining_s(self, kind, estimate_ms, percent, age_ms, share, now):
        """Returns the time in which ``share`` of such runs end from now on.

        It follows from the run's progress, or as long as that says little, from the
        runs of its kind that took longer than it has by now.
        """
        total_ms = total_ms_of(percent, age_ms)
        if total_ms is not None:
            return (total_ms - age_ms) / 1000
        age_ms = max(0, age_ms)
        scale_ms = max(MIN_ESTIMATE_MS, estimate_ms)
        return (
            self.ratio(kind, share, now, age_ms / scale_ms) * scale_ms - age_ms
        ) / 1000

    def log_median(self, kind, now):
        """Returns the logarithm of a kind's median ratio, up to ``MEDIAN_S`` old."""
        histogram = self._histograms.get(kind)
        if histogram is None:
            return 0.0
        median, read_at = self._medians.get(kind, (0.0, float("-inf")))
        if now - read_at > MEDIAN_S:
            median = math.log(histogram.quantile(0.5, now))
            self._medians[kind] = median, now
        return median


_UNKNOWN = RatioHistogram()
