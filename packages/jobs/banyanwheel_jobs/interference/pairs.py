"""Estimates how much one kind of task slows another down, from run times.

A kind is (queue, step number). A run counts as exposed to the kinds that ran at its
worker when it started: what arrives later depends on how long the run takes, so that
long tasks would look slowed down by everything.
"""

from dataclasses import dataclass
from math import log, sqrt
from statistics import median
from typing import NamedTuple

__all__ = ["MIN_SLOWDOWN", "Estimate", "Sample", "find_causes"]

MIN_SLOWDOWN = 1.1  # less is not worth a worker that is a tenth slower
# Runs without the other kind at one worker, for its own median. On busy workers few
# runs are without it; the standard error counts how few.
MIN_CLEAR = 6
MIN_EXPOSED_EACH = 2  # exposed runs at a worker that counts
MIN_EXPOSED = 30  # exposed runs at all workers that count
MIN_WORKERS = 3  # two are left when one is left out
# The lower bound is this many standard errors below the estimate: some ten pairs of
# kinds are tested each few seconds, and one test in 4,000 exceeds it by chance.
STANDARD_ERRORS = 3.5
MEDIAN_ERROR_FACTOR = 1.2533  # standard error of a median over that of a mean
MAD_TO_DEVIATION = 1.4826  # median absolute deviation to standard deviation
MIN_DEVIATION = 0.02  # of the logarithm; measured times are no more exact than this


class Sample(NamedTuple):
    """The run time of one run; ``log_ratio`` is the logarithm of it over the estimate.

    ``alongside`` are the kinds that ran at the worker when the run started.
    """

    at: float
    worker: str
    log_ratio: float
    alongside: frozenset


@dataclass(frozen=True, slots=True)
class Estimate:
    """The logarithm of a slowdown, its lower bound, and the exposed runs behind it."""

    log_slowdown: float
    lower_bound: float
    runs: int

    @property
    def found(self):
        """Whether the slowdown is beyond chance and large enough to matter."""
        return self.lower_bound >= log(MIN_SLOWDOWN)

    @property
    def refuted(self):
        """Whether the runs show no slowdown that matters."""
        return self.log_slowdown < log(MIN_SLOWDOWN)


def find_causes(samples):
    """Returns the Estimate for each kind that the samples of one kind can tell about.

    Runs beside the strongest cause are left out before the next one is looked for, or
    kinds that often run together with a cause would be taken for causes as well.
    """
    causes = {}
    kinds = frozenset().union(*(sample.alongside for sample in samples))
    while kinds:
        estimates = {kind: _estimate(samples, kind) for kind in sorted(kinds)}
        estimates = {kind: each for kind, each in estimates.items() if each}
        strongest = max(
            estimates, key=lambda kind: estimates[kind].lower_bound, default=None
        )
        if strongest is None or not estimates[strongest].found:
            return {**estimates, **causes}
        causes[strongest] = estimates[strongest]
        samples = [each for each in samples if strongest not in each.alongside]
        kinds -= {strongest}
    return causes


def _estimate(samples, kind):
    """Returns the Estimate of the slowdown beside a kind, or None for too few runs.

    Each worker's exposed runs are compared with its own other runs, so that neither a
    slow worker nor one that is often shared is taken for interference.
    """
    differences, deviations = [], []  # a list of differences for each worker
    variance = 0.0
    for clear, exposed in _by_worker(samples, kind):
        if len(clear) < MIN_CLEAR or len(exposed) < MIN_EXPOSED_EACH:
            continue
        usual = median(clear)
        differences.append([value - usual for value in exposed])
        deviations += [abs(value - usual) for value in clear]
        variance += len(exposed) * (1 + len(exposed) / len(clear))
    runs = sum(len(each) for each in differences)
    if runs < MIN_EXPOSED or len(differences) < MIN_WORKERS:
        return None
    deviation = max(MIN_DEVIATION, MAD_TO_DEVIATION * median(deviations))
    error = MEDIAN_ERROR_FACTOR * deviation * sqrt(variance) / runs
    log_slowdown = _median_of(differences)
    lower_bound = log_slowdown - STANDARD_ERRORS * error
    if lower_bound >= log(MIN_SLOWDOWN):
        lower_bound = min(lower_bound, _least_without_one(differences))
    return Estimate(log_slowdown, lower_bound, runs)


def _median_of(lists):
    return median([value for values in lists for value in values])


def _least_without_one(lists):
    """Returns the least median without the runs of one worker.

    A single worker that changes its speed would otherwise look like interference.
    """
    return min(
        _median_of([*lists[:left_out], *lists[left_out + 1 :]])
        for left_out in range(len(lists))
    )


def _by_worker(samples, kind):
    """Returns (clear, exposed) lists of logarithms, one pair for each worker."""
    workers = {}
    for sample in samples:
        groups = workers.setdefault(sample.worker, ([], []))
        groups[kind in sample.alongside].append(sample.log_ratio)
    return workers.values()
