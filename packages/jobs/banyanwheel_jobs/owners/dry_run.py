"""Finds out what a new job would get now, on a copy of an owner's state.

The copy decides with the owner's own code, and its messages are sent nowhere.
"""

import copy
import dataclasses
from collections import Counter, OrderedDict

from ..durations.durations import Kind
from ..open_work import HeldTable
from ..shares.waiting_order import WaitingOrder
from ..silent_log import SilentLog
from .explaining import obstacle
from .inspection import LEAVES_ROOM
from .job import TaskState
from .partition import Partition
from .waiting import WaitingJobs

__all__ = ["dry_run"]


def dry_run(owner, submission, now, wait_s):
    """Returns a row on the admission of a new job, and rows on each of its steps.

    ``submission`` is transient, or belongs to a partition of the owner. Its caller
    waits for ``wait_s``. What waits already has been offered the present room.
    """
    clone = _copy_of(owner)
    replies = []
    if submission.transient:
        clone.run_transient(submission, replies.append, now, now + wait_s)
        job = clone.transient.jobs.get(submission.job_id)
    else:
        job = _add_stored(clone, submission, now)
    if job is not None:
        steps = _step_rows(owner, clone, job, now)
        if submission.transient:
            _refuse_as_due(owner, clone, job, now)
    if replies:
        return [_refusal(clone, submission.job_id, replies[0])]
    waiting = sum(task.state is TaskState.WAITING for task in _tasks(job))
    result = "hold" if waiting == len(_tasks(job)) else "admit"
    return [{"about": "admission", "result": result, "tasks": waiting}, *steps]


def _copy_of(owner):
    """Returns an owner with copies of all that a job and its placing change."""
    clone = copy.copy(owner)
    clone._event_log = SilentLog()
    clone._send = lambda runner, message: None
    clone._placement = owner.placement.copy()
    clone._views = {name: view.copy() for name, view in owner.views.items()}
    clone._transient = Partition.transient(now=0.0)
    clone._partitions = {
        number: dataclasses.replace(partition, jobs=HeldTable.of_jobs())
        for number, partition in owner.partitions.items()
    }
    clone._waiting = WaitingJobs()
    clone._order = WaitingOrder()
    clone._refused = OrderedDict()
    clone._return_places = owner._return_places.copy()
    clone.shares = owner.shares.copy()
    return clone


def _refuse_as_due(owner, clone, job, now):
    """Refuses the job in the copy if the owner's next tick would refuse it."""
    clone._waiting.update(owner._waiting.active)
    too_late = clone._hopeless(now)
    if job in too_late:
        retry_ms = clone._retry_times(too_late, now)[job]
        clone._refuse_transient(job, "too-late", now, retry_ms)
    elif not job.may_have_begun and not clone.has_reachable_runner(now):
        clone._refuse_transient(job, "no-runner", now)


def _add_stored(clone, submission, now):
    partition = clone.partition_for(submission.job_id)
    clone._add_job(partition, submission, now)
    clone.dispatch(now)
    return partition.jobs[submission.job_id]


def _tasks(job):
    return [task for tasks in job.tasks for task in tasks]


def _refusal(clone, job_id, reply):
    return {
        "about": "admission",
        "result": "refuse",
        "why": clone.refused.get(job_id) or str(reply.state),
        "retry_after_ms": reply.retry_ms,
    }


def _step_rows(owner, clone, job, now):
    rows = []
    startable = {id(step) for step, _ in job.startable_steps(now)}
    for number, (step, tasks) in enumerate(
        zip(job.submission.steps, job.tasks, strict=True)
    ):
        base = {"about": "step", "step": number}
        if id(step) not in startable:
            why = f"after steps {', '.join(map(str, step.after))}"
            rows.append({**base, "result": "wait", "tasks": step.count, "why": why})
            continue
        placed = Counter(task.runner for task in tasks if task.runner)
        for name, count in placed.items():
            row = {**base, "result": "place", "tasks": count}
            rows.append(row | _factors(owner, job, step, number, name))
        waiting = [task for task in tasks if task.state is TaskState.WAITING]
        if waiting:
            why = _why_waiting(clone, job, waiting[0], now)
            row = {**base, "result": "wait", "tasks": len(waiting), "why": why}
            rows.append(row | _passed_over(owner, job, step, now))
    return rows


def _factors(owner, job, step, number, name):
    """Returns the cells on a worker, as it is before the job's tasks."""
    view = owner.views[name]
    kind = Kind(job.submission.queue.name, number)
    return {
        "worker": view.worker.worker_id,
        "runner": name,
        "data_centre": view.data_centre,
        "slowness": round(view.copy().slowness_for(kind), 2),
        "rack_factor": owner.placement.rack_factor(step, view),
        "home": view.home,
        "on_trial": view.pace.on_trial,
        "free_cpu": view.free.cpu,
    }


def _passed_over(owner, job, step, now):
    """Returns how many workers of the job's service are not used, by cause."""
    views = [
        view
        for view in owner.views.values()
        if view.worker is not None
        and view.worker.service == job.submission.queue.service
    ]
    return {
        "workers": len(views),
        "drained": sum(owner.drains.cover(view) for view in views),
        "evacuated": sum(view.evacuated for view in views),
        "suspected": sum(view.suspected(now) for view in views),
        "trial_full": sum(view.trial_full for view in views),
        "full": sum(not view.room_for(step.resources) for view in views),
    }


def _why_waiting(clone, job, task, now):
    if clone.shares.must_leave_room(job, now):
        return LEAVES_ROOM
    views = clone.views.values()
    return obstacle(job, task, views, clone.drains, clone.placement, now)
