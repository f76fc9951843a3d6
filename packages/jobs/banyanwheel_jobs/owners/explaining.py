"""Explains to operators why a job waits, or where it runs."""

from collections import Counter

from ..model import JobState
from .job import TaskState

__all__ = ["explain", "obstacle"]

SHOWN_RUNNERS = 8  # runners named in one answer; the others are only counted


def explain(job, views, drains, placement, now):
    """Returns a one-line explanation of the state of a job that has not ended."""
    if job.ending is not None:
        return f"its final state {job.ending} is being stored"
    waiting = list(job.startable(now))
    texts = []
    if waiting:
        reason = obstacle(job, waiting[0], views, drains, placement, now)
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
    if any(task.has_unknown_end for tasks in job.tasks for task in tasks):
        return "waits for the log to store that tasks are placed again"
    return "its tasks wait for earlier steps"


def obstacle(job, task, views, drains, placement, now):
    """Returns the reason why a task is not placed."""
    step = job.step_of(task)
    service = job.submission.queue.service
    # A runner that knows of its evacuation accepts nothing, but it is heard.
    heard = [view for view in views if view.usable(now) or _is_evacuated(view, now)]
    if not heard:
        return "no runner with a worker is heard"
    if closed := _closed(heard, drains):
        return f"every worker is {closed}"
    serving = [view for view in heard if view.worker.service == service]
    if not serving:
        return f"no worker of service {service} is available"
    if closed := _closed(serving, drains):
        return f"every worker of service {service} is {closed}"
    serving = [view for view in serving if not _closures(view, drains)]
    allowed = [
        view for view in serving if placement.allowed(job, task, step, view, service)
    ]
    if not allowed:
        return (
            "no worker has the required label, or all are at the step's limit of tasks"
        )
    if not any(step.resources.fits(view.worker.capacity) for view in allowed):
        return "no worker is large enough for a task"
    roomy = [view for view in allowed if view.room_for(step.resources)]
    if not roomy:
        return "no worker has room"
    if all(view.trial_full for view in roomy):
        return "the workers with room are new or were slow, and are tried with few"
    return "waiting for a faster worker, or room is reserved for more urgent jobs"


def _is_evacuated(view, now):
    return view.evacuated and view.heard(now)


def _closures(view, drains):
    """Returns the words for what keeps tasks away from a worker."""
    words = {"evacuated"} if view.evacuated else set()
    return words | ({"drained"} if drains.cover(view) else set())


def _closed(views, drains):
    """Returns what keeps tasks away from all workers, empty if one is open."""
    closures = [_closures(view, drains) for view in views]
    return " or ".join(sorted(set().union(*closures))) if all(closures) else ""
