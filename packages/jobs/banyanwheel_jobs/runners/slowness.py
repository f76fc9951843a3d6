"""The slowness of a worker, from the run times of the tasks that it has done."""

__all__ = ["MIN_ESTIMATE_MS", "updated_slowness"]

SLOWNESS_SMOOTHING = 0.8  # weight of the previous value when a run ends
MIN_ESTIMATE_MS = 20


def updated_slowness(slowness, run_ms, estimate_ms):
    """Returns the slowness after a run has ended; 0 is that of a new worker."""
    ratio = run_ms / max(MIN_ESTIMATE_MS, estimate_ms)
    if not slowness:
        return ratio
    return SLOWNESS_SMOOTHING * slowness + (1 - SLOWNESS_SMOOTHING) * ratio
