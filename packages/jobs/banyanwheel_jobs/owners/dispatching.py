"""The part of an owner that places tasks and sends the assignments."""

from dataclasses import dataclass

import msgspec

from ..messages import NOT_FORWARDED, Assignment, StartTasks
from ..placing.headroom import Headroom
from ..placing.placement import rank
from .job import TaskState

__all__ = ["Dispatching"]

# An assignment expires before its owner releases the tasks of an unresponsive runner
# and places them elsewhere: REPORT_TIMEOUT_S + ASSIGNMENT_VALID_S is less than
# TRANSIENT_AUTHORITY_S.
ASSIGNMENT_VALID_S = 0.35
MIN_UNSUSPECTED_SHARE = 0.5  # of the usable runners; below it suspicion is ignored
MAX_UNPLACED_JOBS_PER_ROUND = 32  # a round ends after this many
# How long a task waits for a better runner while another that may run it has room. Of
# the 3 s that a job may have nothing running, it leaves time for reports and starts.
MAX_DEFERRAL_S = 2.5


@dataclass(slots=True)
class _UnreportedAssignment:
    """An assignment that no report has shown yet, and the message to resend it."""

    resources: object
    message: StartTasks
    sent_at: float


class Dispatching:
    """Places startable tasks at runners that have room for them."""

    def dispatch(self, now):
        """Places startable tasks, those of the most urgent job first."""
        if not self._waiting:
            return
        usable = self._usable_views(now)
        if not usable:
            return
        views = _preferred(usable, now)
        headroom = Headroom(usable)
        least_cpu = min(job.min_task_cpu for job in self._waiting)
        unplaced_jobs = 0
        for job in sorted(self._waiting, key=lambda job: rank(job, now)):
            if (
                headroom.largest < least_cpu
                or unplaced_jobs >= MAX_UNPLACED_JOBS_PER_ROUND
            ):
                return
            if headroom.largest < job.min_task_cpu or not headroom.admits(job, now):
                continue
            if not self._place_job(job, views, usable, headroom, now):
                unplaced_jobs += 1

    def _usable_views(self, now):
        return [
            view
            for view in self._views.values()
            if view.usable(now) and not self.drains.cover(view)
        ]

    def _choose(self, job, task, preferred, usable, used, now):
        """Returns the view of the runner for a task, or None to wait.

        A task waits for a better runner only for ``MAX_DEFERRAL_S``, then any one that
        may run it will do.
        """
        view = self._placement.choose(job, task, preferred, used, now)
        if view is not None:
            return view
        fallback = self._placement.choose(job, task, usable, used, now, any_runner=True)
        if fallback is None:
            return None
        if task.deferred_since is None:
            task.deferred_since = now
        return fallback if now - task.deferred_since > MAX_DEFERRAL_S else None

    def _place_job(self, job, views, usable, headroom, now):
        """Places tasks of a job; returns False if one of them found no room."""
        assignments_by_view = {}
        complete = True
        for task in list(job.startable(now)):
            view = self._choose(job, task, views, usable, assignments_by_view, now)
            if view is None or not headroom.admits(job, now):
                complete = False
                break
            partition = self._partition(job.partition)
            job.place(task, view.name, partition.epoch)
            step = job.step_of(task)
            assignment = Assignment(
                task.id, task.run, step.resources, step.estimate_ms, task.checkpoint
            )
            view.add_assignment(
                (task.id, task.run), _UnreportedAssignment(step.resources, None, now)
            )
            headroom.subtract(step.resources)
            assignments_by_view.setdefault(view, []).append(assignment)
        for view, assignments in assignments_by_view.items():
            self._send_assignments(job, view, assignments, now)
        if complete and not self._has_waiting(job):
            self._waiting.discard(job)
        return complete

    def _has_waiting(self, job):
        return job.live and any(
            task.state is TaskState.WAITING for tasks in job.tasks for task in tasks
        )

    def _send_assignments(self, job, view, assignments, now):
        message = self._start_message(job, view, tuple(assignments), now)
        self._event_log(
            "task:placed",
            job=job.id,
            runner=view.name,
            runs=[f"{assignment.task}#{assignment.run}" for assignment in assignments],
            slack_ms=round(message.urgency * 1000),
            report_age_ms=round((now - view.heard_at) * 1000),
            free_cpu=view.free.cpu,
            slowness=round(view.slowness, 2),
        )
        self._send(view.name, message)
        for assignment in assignments:
            sent = view.outstanding[assignment.task, assignment.run]
            sent.message = msgspec.structs.replace(message, assignments=(assignment,))

    def _start_message(self, job, view, assignments, now):
        partition = self._partition(job.partition)
        confirmed = (
            NOT_FORWARDED
            if job.confirmed_at is None
            else view.trust.newest_before(job.confirmed_at)
        )
        return StartTasks(
            partition.number,
            partition.epoch,
            view.worker.incarnation,
            job.submission.spec,
            rank(job, now).urgency(now),
            view.trust.stamp_at(now + ASSIGNMENT_VALID_S),
            view.trust.stamp_at(job.expires_at) if job.expires_at else 0,
            assignments,
            confirmed,
        )


def _preferred(usable, now):
    """Returns the unsuspected ones of some views, or all if most are suspected."""
    unsuspected = [view for view in usable if not view.suspected(now)]
    # If most runners are suspected, the fault lies with the jobs.
    enough = len(unsuspected) >= MIN_UNSUSPECTED_SHARE * len(usable)
    return unsuspected if enough else usable
