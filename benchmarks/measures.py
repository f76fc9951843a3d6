"""Histograms and counts of what callers saw."""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["KindMeasure", "placements", "refusals", "summary"]

SCALE = 1_000  # histograms hold whole thousandths
HIGHEST = 3_600_000 * SCALE
DIGITS = 3
REFUSED = "not-run"


class KindMeasure:
    """Response times of the completed jobs of one kind within one phase."""

    def __init__(self, seconds):
        self._seconds = seconds
        self._ratios = HdrHistogram(1, HIGHEST, DIGITS)
        self._responses = HdrHistogram(1, HIGHEST, DIGITS)
        self._offered = 0
        self._completed = 0
        self._others = Counter()

    @property
    def completed_per_second(self):
        """Completed tasks a second."""
        return self._completed / self._seconds

    @property
    def offered_per_second(self):
        """Tasks a second of the jobs that were sent."""
        return self._offered / self._seconds

    @property
    def p99_ms(self):
        """Response time that 99% of the completed jobs don't pass."""
        return self._responses.get_value_at_percentile(99) / SCALE

    def add(self, sample, ideal_ms):
        """Takes in a job whose ideal response time is ``ideal_ms``."""
        self._offered += sample.tasks
        if sample.status != 200:
            self._others[f"{sample.reason} ({sample.outcome})"] += 1
            return
        self._completed += sample.tasks
        self._ratios.record_value(round(sample.response_ms / ideal_ms * SCALE))
        self._responses.record_value(round(sample.response_ms * SCALE))

    def to_dict(self):
        """Returns the figures."""
        return {
            "jobs": self._responses.get_total_count(),
            "offered_tasks_s": round(self.offered_per_second, 1),
            "completed_tasks_s": round(self.completed_per_second, 1),
            "ratio_p50": self._ratio(50),
            "ratio_p90": self._ratio(90),
            "ratio_p99": self._ratio(99),
            "response_p50_ms": round(
                self._responses.get_value_at_percentile(50) / SCALE, 1
            ),
            "response_p99_ms": round(self.p99_ms, 1),
            "not_completed": dict(self._others),
        }

    def _ratio(self, percentile):
        return round(self._ratios.get_value_at_percentile(percentile) / SCALE, 3)


def summary(samples, begin, end, ideal_of):
    """Returns a KindMeasure by kind, and ``all``, of jobs due in the phase."""
    measures = {}
    for sample in samples:
        if not begin <= sample.due < end:
            continue
        for name in (sample.kind, "all"):
            if name not in measures:
                measures[name] = KindMeasure(end - begin)
            measures[name].add(sample, ideal_of(sample))
    return dict(sorted(measures.items()))


def placements(deployment, samples, begin, end, network_ms):
    """Returns for single-task jobs the share and the other time by speed factor.

    The other time is the response less the run time there and the network's
    ``network_ms``: waiting for a slot, and what the processes take.
    """
    by_factor = {}
    for sample in samples:
        if len(sample.workers) != 1 or not begin <= sample.due < end:
            continue
        factor = deployment.factor(sample.workers[0])
        other_ms = sample.response_ms - sample.run_ms * factor - network_ms
        by_factor.setdefault(factor, []).append(other_ms)
    total = sum(map(len, by_factor.values()))
    return {
        factor: {"share": round(len(others) / total, 3), **_percentiles(others)}
        for factor, others in sorted(by_factor.items())
    }


def _percentiles(values):
    ordered = sorted(values)
    return {
        f"other_p{percent}_ms": round(ordered[len(ordered) * percent // 100], 1)
        for percent in (50, 90, 99)
    }


def refusals(samples, begin, end, network_ms):
    """Returns by reason the count and the time in ms from the sending to a refusal.

    ``network_ms`` of a client's round trip are taken off.
    """
    by_reason = {}
    for sample in samples:
        refused = sample.status != 200 and sample.outcome == REFUSED
        if refused and begin <= sample.due < end:
            histogram = by_reason.setdefault(
                sample.reason, HdrHistogram(1, HIGHEST, DIGITS)
            )
            taken_ms = sample.response_ms - sample.lag_ms - network_ms
            histogram.record_value(max(1, round(taken_ms * SCALE)))
    return {
        reason: {
            "count": histogram.get_total_count(),
            **{
                f"p{percentile}_ms": round(
                    histogram.get_value_at_percentile(percentile) / SCALE, 1
                )
                for percentile in (50, 90, 99)
            },
        }
        for reason, histogram in sorted(by_reason.items())
    }
