"""The slowness of a worker, from the run times of the tasks that it has done."""

import math

__all__ = ["MIN_ESTIMATE_MS", "updated_slowness"]

SLOWNESS_SMOOTHING = 0.8  # weight of the previous value when a run ends
# Of the logarithm of run time over slowness. Estimates are off by 0.4 (one deviation);
# what a run exceeds them by beyond this is no sign of its worker.
MAX_DEVIATION = 1.0
MIN_ESTIMATE_MS = 20


def updated_slowness(slowness, run_ms, estimate_ms):
    """Returns the slowness after a run has ended; 0 is that of a new worker.

    It is a mean of logarithms, in which a task that takes long by itself counts little.
    """
    before = math.log(slowness) if slowness else 0.0
    ratio = max(1.0, run_ms) / max(MIN_ESTIMATE_MS, estimate_ms)
    deviation = math.log(ratio) - before
    deviation = min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))
    return math.exp(before + (1 - SLOWNESS_SMOOTHING) * deviation)
