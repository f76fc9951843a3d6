"""Runs that stand still or crawl, measured by their own progress."""

__all__ = ["is_straggling"]

MIN_AGE_S = 0.15  # before this, a percentage says little
STILL_AGE_S = 0.3  # no progress at all after this and half the expected time
SLOW_FACTOR = 2.0  # what is left, over the expected time of a whole new run
MAX_RESTARTS = 3  # of one task
RESTART_S = 0.15  # stopping a run, its end in a report, and the new order


def is_straggling(percent, age_s, expected_s, restarts=0):
    """Tells whether a run is better stopped and started at another worker.

    ``expected_s`` is how long a run takes there by its estimate and the worker's speed.
    A task that has been restarted and crawls again is a long one, not a slow worker's.
    """
    if percent < 0 or age_s < MIN_AGE_S or restarts >= MAX_RESTARTS:
        return False
    if percent > 0 and restarts:
        return False
    if percent == 0:
        return age_s > STILL_AGE_S + expected_s / 2
    remaining_s = age_s * (100 - percent) / percent
    return remaining_s > RESTART_S + SLOW_FACTOR * expected_s
