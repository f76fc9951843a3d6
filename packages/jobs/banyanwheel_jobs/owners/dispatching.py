"""The part of an owner that places tasks and sends the assignments."""

from dataclasses import dataclass

import msgspec

from ..messages import NOT_FORWARDED, Assignment, StartTasks
from ..placing.placement import rank
from ..placing.room import Room
from .job import TaskState

__all__ = ["Dispatching"]

# An assignment expires before its owner releases the tasks of an unresponsive runner
# and places them elsewhere: REPORT_TIMEOUT_S + ASSIGNMENT_VALID_S is less than
# TRANSIENT_AUTHORITY_S.
ASSIGNMENT_VALID_S = 0.35
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
        room = Room(usable, now)
        self._waiting.unpark_possible(room)
        order = self._update_order(room, now)
        largest_cpu = room.largest_cpu
        if largest_cpu < order.least_cpu:
            return
        waiting = self._waiting.active
        for job in order:
            if job not in waiting or largest_cpu < job.min_task_cpu:
                continue
            if self._place_job(job, room, now):
                self._waiting.reorder(job)
                largest_cpu = room.largest_cpu
                if largest_cpu < order.least_cpu:
                    return

    def _update_order(self, room, now):
        """Returns the order in which the waiting jobs get room.

        Jobs of different services don't compete, so that each service's order counts
        only among its own jobs.
        """

        short = {
            service for service in self.shares.services if room.pool(service, "").busy
        }

        def key(job):
            if job.submission.queue.service in short:
                return self.shares.precedence(job, now)
            return rank(job, now)

        added = self._waiting.take_added()
        if self._order.is_due(short, now):
            self._order.rebuild(self._waiting.active, key, short, now)
        else:
            self._order.add(added, key)
        return self._order

    def _usable_views(self, now):
        return [
            view
            for view in self._views.values()
            if view.usable(now) and not self.drains.cover(view)
        ]

    def _place_job(self, job, room, now):
        """Places the tasks of a job that find a runner; returns whether any did.

        Parks a job that no worker may run.
        """
        service = job.submission.queue.service
        assignments_by_view = {}
        complete = True
        possible, impossible = False, set()
        for step, tasks in job.startable_steps(now):
            pool = room.pool(service, step.label)
            if pool.usable.has_room(step.resources):
                possible = True
                if not self._place_step(job, tasks, pool, assignments_by_view, now):
                    complete = False
                continue
            complete = False
            if pool.may_run(step.resources):
                possible = True
            else:
                impossible.add((service, step.label, step.resources))
        for view, assignments in assignments_by_view.items():
            self._send_assignments(job, view, assignments, now)
        if assignments_by_view:
            room.recount()
            self._waiting.recount(job)
        if impossible and not possible and not job.placed():
            self._waiting.park(job, frozenset(impossible), room.supply)
        elif complete and not self._has_waiting(job):
            self._waiting.discard(job)
        return bool(assignments_by_view)

    def _place_step(self, job, tasks, pool, assignments_by_view, now):
        """Places tasks of one step; returns whether all of them were placed."""
        complete = True
        # What keeps one task that avoids no runner from being placed keeps all others.
        blocked = False
        for task in tasks:
            reserved = not pool.headroom.admits(
                job, now
            ) or self.shares.must_leave_room(job, now)
            if reserved and pool.busy:
                return False
            view = None
            if not reserved and (task.avoided_runners or not blocked):
                view = self._choose(job, task, pool, assignments_by_view, now)
            if view is None:
                complete = False
                blocked = blocked or not task.avoided_runners
                if not _deferral_over(task, now):
                    continue
                view = self._choose_any(job, task, pool, assignments_by_view, now)
                if view is None:
                    return False
            assignment = self._assign(job, task, view, now)
            pool.headroom.subtract(assignment.resources.cpu)
            assignments_by_view.setdefault(view, []).append(assignment)
        return complete

    def _choose(self, job, task, pool, used, now):
        """Returns the view of the best runner with room, or None to wait."""
        if not pool.preferred.has_room(job.step_of(task).resources):
            return None
        return self._placement.choose(job, task, pool.preferred.views, used, now)

    def _choose_any(self, job, task, pool, used, now):
        """Returns the view of any runner with room, for a task that has waited long."""
        fallback = pool.fallback
        if not fallback.has_room(job.step_of(task).resources):
            return None
        return self._placement.choose(
            job, task, fallback.views, used, now, any_runner=True
        )

    def _assign(self, job, task, view, now):
        """Places a task at a runner; returns the Assignment, which is not sent yet."""
        partition = self._partition(job.partition)
        job.place(task, view.name, partition.epoch)
        step = job.step_of(task)
        if self._placement.interference is not None:
            self._placement.interference.record_placed(view.name, job, task, now)
        view.add_assignment(
            (task.id, task.run), _UnreportedAssignment(step.resources, None, now)
        )
        return Assignment(
            task.id, task.run, step.resources, step.estimate_ms, task.checkpoint
        )

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
            view.trust.newest,
        )


def _deferral_over(task, now):
    """Returns whether a task has waited for a better runner for ``MAX_DEFERRAL_S``.

    The first call for a run of the task starts that time.
    """
    if task.deferred_since is None:
        task.deferred_since = now
    return now - task.deferred_since > MAX_DEFERRAL_S
