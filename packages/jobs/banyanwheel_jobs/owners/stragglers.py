"""Detection of stalled runs, and of runs that would end sooner at another worker."""

from dataclasses import dataclass

from ..durations.durations import MIN_AGE_S
from ..model import Resources

__all__ = ["RESTART_S", "PromisedRoom", "is_stalled", "is_straggling"]

STALLED_S = 0.3  # stalled: no progress for this plus half the expected time
MAX_RESTARTS = 3  # of one task, as a straggler
RESTART_S = 0.15  # to stop a run, get its end reported and assign the new one


def is_straggling(
    percent, age_s, expected_s, *, stalled_s=None, restarts=0, elsewhere_s=None
):
    """Returns whether a run is better stopped and started at another worker.

    ``expected_s`` is how long a run takes there by its estimate and the worker's speed.
    ``stalled_s`` is the time since its percentage rose; if None, it is the run's age at
    0 percent and else 0. ``restarts`` counts the task's runs stopped as stragglers.
    ``elsewhere_s`` is how long a new run takes at another worker that has room, None
    unless the worker is known to be slow: a task that is long by itself stays.
    """
    if is_stalled(percent, age_s, expected_s, stalled_s=stalled_s, restarts=restarts):
        return True
    if elsewhere_s is None or restarts or percent <= 0 or age_s < MIN_AGE_S:
        return False
    return age_s * (100 - percent) / percent > RESTART_S + elsewhere_s


def is_stalled(percent, age_s, expected_s, *, stalled_s=None, restarts=0):
    """Returns whether a run stands still, whatever its worker's speed."""
    if percent < 0 or age_s < MIN_AGE_S or restarts >= MAX_RESTARTS:
        return False
    if stalled_s is None:
        stalled_s = age_s if percent == 0 else 0.0
    return stalled_s > STALLED_S + expected_s / 2


@dataclass(frozen=True, slots=True)
class _Promise:
    runner: str
    resources: Resources
    until: float


class PromisedRoom:
    """Room that runs moved lately will use, so that no two are moved for the same."""

    def __init__(self):
        self._promises = []

    def add(self, view, resources, now):
        """Promises room at a runner until the task should have been placed there."""
        self._promises.append(_Promise(view.name, resources, now + RESTART_S))

    def has_room(self, view, resources, now):
        """Returns whether a runner has room for a task beside what was promised."""
        self._promises = [each for each in self._promises if now < each.until]
        for promise in self._promises:
            if promise.runner == view.name:
                resources = resources + promise.resources
        return view.room_for(resources)
