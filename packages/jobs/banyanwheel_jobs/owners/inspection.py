"""Rows of the operators' tables, from the state of one dispatcher."""

from ..model import TRANSIENT_PARTITION, JobState
from ..placing.placement import rank
from .explaining import explain
from .job import TaskState

__all__ = [
    "LEAVES_ROOM",
    "job_rows",
    "partition_rows",
    "queue_shares",
    "task_rows",
    "why_rows",
    "worker_rows",
]

# Also the answer of a dry run.
LEAVES_ROOM = (
    "room is short and it is unlikely to be on time: it leaves half of the room to "
    "jobs that can be"
)


def job_rows(owner, dispatcher, now):
    """Returns a row for each job that has not ended."""
    return [
        _job_row(owner, dispatcher, partition, job, now)
        for partition in owner.all_partitions
        for job in partition.jobs.values()
    ]


def _job_row(owner, dispatcher, partition, job, now):
    tasks = [task for tasks in job.tasks for task in tasks]
    states = [task.state for task in tasks]
    return {
        "job": job.id,
        "queue": job.submission.queue.name,
        "service": job.submission.queue.service,
        "state": str(job.state),
        "dispatcher": dispatcher,
        "stored": partition.number != TRANSIENT_PARTITION,
        "tasks": len(tasks),
        "waiting": states.count(TaskState.WAITING),
        "placed": states.count(TaskState.PLACED),
        "done": states.count(TaskState.DONE),
        "failed_runs": sum(len(task.failed_runs) for task in tasks),
        "age_ms": round((now - job.received_at) * 1000),
        "slack_ms": round(rank(job, now).urgency(now) * 1000),
        "why": _why(owner, job, now),
    }


def queue_shares(owner, queue):
    """Returns the cells of the table of queues that tell what a queue receives here."""
    account = owner.shares.queue_account(queue.service, queue.name)
    share = account.total.share if account else None
    return {
        "demand_cpu": round(account.demand_cpu) if account else 0,
        "served_percent": None if share is None else round(100 * share),
        "below_floor": owner.shares.classes_below_floor(queue.service, queue.name),
    }


def _why(owner, job, now):
    if any(job.startable(now)) and owner.shares.must_leave_room(job, now):
        return LEAVES_ROOM
    return explain(job, owner.views.values(), owner.drains, owner.placement, now)


def task_rows(owner):
    """Returns a row for each task of the jobs that have not ended."""
    return [
        {
            "job": job.id,
            "step": task.id.step,
            "index": task.id.index,
            "state": str(task.state),
            "runner": task.runner or None,
            "run": task.run,
            "failed_runs": len(task.failed_runs),
            "restarts": task.restarts,
        }
        for partition in owner.all_partitions
        for job in partition.jobs.values()
        for tasks in job.tasks
        for task in tasks
    ]


def worker_rows(owner, now):
    """Returns a row for each runner whose worker is known."""
    return [
        {
            "worker": view.worker.worker_id,
            "runner": view.name,
            "data_centre": view.data_centre,
            "service": view.worker.service,
            "labels": list(view.worker.labels),
            "cpu": view.worker.capacity.cpu,
            "free_cpu": view.free.cpu,
            "memory_mb": view.worker.capacity.memory_mb,
            "free_memory_mb": view.free.memory_mb,
            "gpus": view.worker.capacity.gpus,
            "slowness": round(view.slowness, 2),
            "accepting": view.usable(now),
            "suspected": view.suspected(now),
            "on_trial": view.pace.on_trial,
            "drained": owner.drains.cover(view),
            "evacuated": view.evacuated,
            "age_ms": round((now - view.heard_at) * 1000),
        }
        for view in owner.views.values()
        if view.worker is not None
    ]


def partition_rows(owner, dispatcher, is_stalled):
    """Returns a row for each partition that the dispatcher owns."""
    return [
        {
            "partition": partition.number,
            "dispatcher": dispatcher,
            "epoch": partition.epoch,
            "jobs": len(partition.jobs),
            "ended": len(partition.ended),
            "surveyed": partition.surveyed,
            "stalled": is_stalled(partition),
        }
        for partition in owner.partitions.values()
    ]


def why_rows(owner, dispatcher, job_id, now):
    """Returns one row that explains a job, or no rows if the job is unknown."""
    base = {"job": job_id, "dispatcher": dispatcher}
    for partition in owner.all_partitions:
        job = partition.jobs.get(job_id)
        if job is not None:
            row = _job_row(owner, dispatcher, partition, job, now)
            return [{**base, "state": row["state"], "why": row["why"]}]
        ended = partition.ended.get(job_id)
        if ended is not None:
            return [{**base, "state": str(ended.state), "why": ended.reason or "done"}]
    if job_id in owner.transient.closing:
        job = owner.transient.closing[job_id]
        why = f"ended: {job.reason}; its runs are being stopped"
        return [{**base, "state": str(job.state), "why": why}]
    if job_id in owner.refused:
        why = f"not run: {owner.refused[job_id]}"
        return [{**base, "state": "refused", "why": why}]
    if owner.was_canceled(job_id):
        return [{**base, "state": str(JobState.CANCELED), "why": "canceled"}]
    return []
