"""Explains to operators why a job waits, or where it runs."""

from collections import Counter

from ..model import JobState
from .job import TaskState

__all__ = ["explain"]

SHOWN_RUNNERS = 8  # runners named in one answer; the others are only counted


def explain(job, views, drains, placement, now):
    """Returns a one-line explanation of the state of a job that has not ended."""
    if job.ending is not None:
        return f"its final state {job.ending} is being stored"
    waiting = list(job.startable(now))
    texts = []
    if waiting:
        reason = _obstacle(job, waiting[0], views, drains, placement, now)
        texts.append(f"{len(waiting)} tasks wait: {reason}")
    texts.append(_places(job))
    if not any(texts):
        texts.append(_unstartable(job, now))
    if placement.interference is not None:
        texts.append(placement.interference.describe(job))
    return "; ".join(text for text in texts if text)


def _places(job):
    counts = Counter(task.runner for task in job.placed())
    if not counts:
        return ""
    shown = [f"{count} at {name}" for name, count in counts.most_common(SHOWN_RUNNERS)]
    more = len(counts) - len(shown)
    suffix = f" and {more} more runners" if more else ""
    begun = job.state is not JobState.QUEUED
    word = "runs" if begun else "assigned, none has begun"
    return f"{word}: {', '.join(shown)}{suffix}"


def _unstartable(job, now):
    remaining = [
        task.unknown_run_until - now
        for tasks in job.tasks
        for task in tasks
        if task.state is TaskState.WAITING and task.unknown_run_until > now
    ]
    if remaining:
        return (
            f"searching for runs of a former owner, for {max(remaining):.1f} s at most"
        )
    return "its tasks wait for earlier steps"


def _obstacle(job, task, views, drains, placement, now):
    """Returns the reason why a task is not placed."""
    step = job.step_of(task)
    service = job.submission.queue.service
    usable = [view for view in views if view.usable(now)]
    if not usable:
        return "no runner with a worker is heard"
    open_views = [view for view in usable if not drains.cover(view)]
    if not open_views:
        return "every worker is drained"
    serving = [view for view in open_views if view.worker.service == service]
    if not serving:
        return f"no worker of service {service} is available"
    allowed = [
        view for view in serving if placement.allowed(job, task, step, view, service)
    ]
    if not allowed:
        return (
            "no worker has the required label, or all are at the step's limit of tasks"
        )
    if not any(step.resources.fits(view.worker.capacity) for view in allowed):
        return "no worker is large enough for a task"
    if not any(view.room_for(step.resources) for view in allowed):
        return "no worker has room"
    return "waiting for a faster worker, or room is reserved for more urgent jobs"
