"""Runs that stand still or crawl, measured by their own progress."""

__all__ = ["is_straggling"]

MIN_AGE_S = 0.15  # before this, a percentage says little
STALLED_S = 0.3  # no progress at all for this and half the expected time
SLOW_FACTOR = 2.0  # what is left, over the expected time of a whole new run
MAX_RESTARTS = 3  # of one task
RESTART_S = 0.15  # stopping a run, its end in a report, and the new order


def is_straggling(percent, age_s, expected_s, *, stalled_s=None, restarts=0):
    """Tells whether a run is better stopped and started at another worker.

    ``expected_s`` is how long a run takes there by its estimate and the worker's speed;
    ``stalled_s`` is the time since its percentage rose, all its age where that is None.
    A task that has been restarted and crawls again is a long one, not a slow worker's.
    """
    if percent < 0 or age_s < MIN_AGE_S or restarts >= MAX_RESTARTS:
        return False
    if stalled_s is None:
        stalled_s = age_s if percent == 0 else 0.0
    if stalled_s > STALLED_S + expected_s / 2:
        return True
    if percent == 0 or restarts:
        return False
    remaining_s = age_s * (100 - percent) / percent
    return remaining_s > RESTART_S + SLOW_FACTOR * expected_s
