"""The order of jobs, and the choice of a runner for a task."""

import copy
from typing import NamedTuple

from ..durations.durations import Kind
from ..owners.job import LATE_FACTOR

__all__ = [
    "ON_TIME_TIER",
    "Placement",
    "Rank",
    "cannot_end_in_time",
    "cannot_finish",
    "may_end_in_time",
    "rank",
]

OTHER_DATA_CENTRE_FACTOR = 1.02  # traffic between data centres costs money
SAME_JOB_FACTOR = 0.98  # the job's spec is sent only once to each runner
NOT_HOME_FACTOR = 1.3  # another placer of the cell uses the worker first
# The fuller such a worker is, the sooner its own placer takes the room that is left:
# this share is added to its cost when it is full, and none when it is idle.
BUSY_ELSEWHERE_SHARE = 0.5
MIN_TRIED_SHARE = 0.5  # below it, as after a placer's start, all workers are as new
TIER_S = 1_000.0
ON_TIME_TIER = 0
WAIT_FOR_FASTER_S = 1.0  # short, so that free room isn't left unused for long


class Rank(NamedTuple):
    """The rank of a job; the lowest goes first.

    ``tier`` 0 is for jobs that can end on time, 1 for jobs that can end late, and 2
    for the rest.
    """

    tier: int
    latest_start: float

    def urgency(self, now):
        """Returns the rank as seconds from now, for runners to compare."""
        return self.tier * TIER_S + self.latest_start - now


def rank(job, now):
    """Returns the Rank of a job: by least slack, in tier 2 by time of receipt."""
    on_time = job.on_time_until - job.critical_path_s
    if now <= on_time:
        return Rank(ON_TIME_TIER, on_time)
    late = job.late_until - job.critical_path_s
    return Rank(1, late) if now <= late else Rank(2, job.received_at)


def cannot_end_in_time(job, now):
    """Tells whether a job that has not started can't end in time, not even late."""
    return now + job.critical_path_s > min(
        job.late_until, job.expires_at or job.late_until
    )


def cannot_finish(job, now, contended):
    """Tells whether a job that has started is given up.

    That is so if tasks that still wait can't end before its callers leave. If room is
    ``contended``, it is so too if they can't end in time, not even late.
    """
    limit = min(job.expires_at, job.late_until) if contended else job.expires_at
    if now + job.critical_path_s <= limit:
        return False
    remaining_s = job.waiting_path_s
    return remaining_s > 0 and now + remaining_s > limit


def may_end_in_time(submission, received_at, expires_at, now):
    """Tells whether a job that has not started may end in time, if only late."""
    late_until = received_at + LATE_FACTOR * submission.objective_ms / 1000
    return now + submission.critical_path_ms / 1000 <= min(late_until, expires_at)


class Placement:
    """Chooses the runner at which a task is expected to end first.

    With an :class:`Interference`, tasks that slow each other down are kept apart.
    """

    def __init__(self, data_centre, remote_rack_factor, interference=None):
        self._data_centre = data_centre
        self._remote_rack_factor = remote_rack_factor
        self._interference = interference

    @property
    def interference(self):
        """What is learned about interfering tasks, None if that is switched off."""
        return self._interference

    def copy(self):
        """Returns a policy that learns and counts nothing for this one."""
        other = copy.copy(self)
        if self._interference is not None:
            other._interference = self._interference.copy()
        return other

    def choose(self, job, task, views, used, now, *, any_runner=False):
        """Returns the best of ``views`` with enough room, or None to wait.

        ``used`` are the views of the runners that get other tasks of the job in this
        round. With ``any_runner`` the task neither avoids a runner nor waits for a
        faster one.
        """
        step = job.step_of(task)
        service = job.submission.queue.service
        allowed = [
            view for view in views if self.allowed(job, task, step, view, service)
        ]
        # A worker whose runs fail or stall always has room, so a retry avoids it.
        others = [view for view in allowed if view.name not in task.avoided_runners]
        if any_runner or not others:
            others = allowed
        elif any(view.pace.on_trial for view in others):
            others = _without_full_trials(others)
        kind = Kind.from_task(job, task)
        best, least, fastest = None, float("inf"), float("inf")
        for view in others:
            cost = self._cost(step, view, used, kind)
            fastest = min(fastest, cost)
            if cost < least and view.room_for(step.resources):
                best, least = view, cost
        if best is None:
            return None
        if not any_runner and _worth_waiting(job, step, least, fastest, now):
            return None
        if self._interference is None or not self._interference.concerns(job, task):
            return best
        return self._keep_apart(job, task, others, used, best, now)

    def _keep_apart(self, job, task, views, used, best, now):
        """Returns the view with room that costs least, interference included.

        ``best`` is that without it, and is kept if only there the task ends on time. A
        task that is to wait never gets here: interference makes no task wait.
        """
        step = job.step_of(task)
        kind = Kind.from_task(job, task)
        chosen, least, own_cost = best, float("inf"), {}
        for view in views:
            if not view.room_for(step.resources):
                continue
            suffered, caused = self._interference.slowdowns(job, task, view.name)
            cost = self._cost(step, view, used, kind)
            own_cost[view] = cost * suffered
            if cost * (suffered + caused) < least:
                chosen, least = view, cost * (suffered + caused)
        limit = (job.on_time_until - now) / max(0.001, step.estimate_ms / 1000)
        if chosen is best or own_cost[chosen] > limit >= own_cost[best]:
            return best
        self._interference.count_separated(job, task)
        return chosen

    def allowed(self, job, task, step, view, service):
        """Tells whether a worker may run a task, regardless of its free room."""
        worker = view.worker
        if worker.service != service:
            return False
        if step.label and step.label not in worker.labels:
            return False
        limit = step.max_per_worker
        return not limit or job.on_worker(task.id.step, view.name) < limit

    def rack_factor(self, step, view):
        """Returns how much longer a task takes for want of its rack's data."""
        remote = step.rack and step.rack not in view.worker.labels
        return self._remote_rack_factor if remote else 1.0

    def _cost(self, step, view, used, kind):
        cost = view.slowness_for(kind) * self.rack_factor(step, view)
        if view.data_centre != self._data_centre:
            cost *= OTHER_DATA_CENTRE_FACTOR
        if not view.home:
            used_share = 1 - max(0, view.free.cpu) / max(1, view.worker.capacity.cpu)
            cost *= NOT_HOME_FACTOR * (1 + BUSY_ELSEWHERE_SHARE * used_share)
        if view in used:
            cost *= SAME_JOB_FACTOR
        return cost


def _without_full_trials(views):
    """Leaves out workers on trial that have enough runs, while most are not on trial.

    A new worker, or one back from a fault, may be slow or fail, and has most room.
    """
    tried = [view for view in views if not view.pace.on_trial]
    if len(tried) < MIN_TRIED_SHARE * len(views):
        return views
    return [view for view in views if not view.trial_full]


def _worth_waiting(job, step, least, fastest, now):
    """Tells whether only a worker without room now would end a task on time."""
    if now - job.received_at > WAIT_FOR_FASTER_S:
        return False
    estimate_s = step.estimate_ms / 1000
    limit = job.on_time_until
    return now + estimate_s * least > limit >= now + estimate_s * fastest
