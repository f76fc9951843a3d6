"""The part of an owner that places tasks and sends the orders."""

from dataclasses import dataclass

from .headroom import Headroom
from .job import TaskState
from .messages import Assignment, StartTasks
from .placement import rank

__all__ = ["Dispatching"]

# An order is void well before its owner gives a silent runner up and places the task
# elsewhere: REPORT_TIMEOUT_S and this are less than TRANSIENT_AUTHORITY_S.
ASSIGNMENT_VALID_S = 0.35
MIN_UNSUSPECTED_SHARE = 0.5  # of the runners, below which suspicion is not acted on
MAX_UNPLACED_JOBS_PER_ROUND = 32  # jobs without a place that a round passes over


@dataclass(slots=True)
class _UnreportedAssignment:
    """An order that no report has shown yet."""

    resources: object
    message: StartTasks
    sent_at: float


class Dispatching:
    """Places the tasks that may start at runners with room."""

    def dispatch(self, now):
        """Places the tasks that may start, most urgent job first."""
        if not self._waiting:
            return
        views = self._usable_views(now)
        if not views:
            return
        headroom = Headroom(views)
        least = min(job.min_task_cpu for job in self._waiting)
        unplaced_jobs = 0
        for job in sorted(self._waiting, key=lambda job: rank(job, now)):
            if headroom.largest < least or unplaced_jobs >= MAX_UNPLACED_JOBS_PER_ROUND:
                return
            if headroom.largest < job.min_task_cpu or not headroom.admits(job, now):
                continue
            if not self._place_job(job, views, headroom, now):
                unplaced_jobs += 1

    def _usable_views(self, now):
        """Returns the usable runners, only unsuspected ones where these are enough."""
        usable = [
            view
            for view in self._views.values()
            if view.usable(now) and not self.drains.cover(view)
        ]
        unsuspected = [view for view in usable if not view.suspected(now)]
        # Where most seem unsound, the fault lies with the jobs.
        return (
            unsuspected
            if len(unsuspected) >= MIN_UNSUSPECTED_SHARE * len(usable)
            else usable
        )

    def _place_job(self, job, views, headroom, now):
        """Places what it can of a job; returns False where a task found no room."""
        used = {}
        complete = True
        for task in list(job.startable(now)):
            view = self._placement.choose(job, task, views, used, now)
            if view is None or not headroom.admits(job, now):
                complete = False
                break
            partition = self._partition(job.partition)
            job.place(task, view.name, partition.epoch)
            step = job.step_of(task)
            order = Assignment(
                task.id, task.run, step.resources, step.estimate_ms, task.checkpoint
            )
            view.add_assignment(
                (task.id, task.run), _UnreportedAssignment(step.resources, None, now)
            )
            headroom.take(step.resources)
            used.setdefault(view, []).append(order)
        for view, orders in used.items():
            self._send_assignments(job, view, orders, now)
        if complete and not self._has_waiting(job):
            self._waiting.discard(job)
        return complete

    def _has_waiting(self, job):
        return job.live and any(
            task.state is TaskState.WAITING for tasks in job.tasks for task in tasks
        )

    def _send_assignments(self, job, view, orders, now):
        partition = self._partition(job.partition)
        expires = view.trust.stamp_at(job.expires_at) if job.expires_at else 0
        urgency = rank(job, now).urgency(now)
        spec = job.submission.spec
        incarnation = view.worker.incarnation
        valid = view.trust.stamp_at(now + ASSIGNMENT_VALID_S)

        def message(chosen):
            return StartTasks(
                partition.number,
                partition.epoch,
                incarnation,
                spec,
                urgency,
                valid,
                expires,
                chosen,
            )

        self._event_log(
            "task:placed",
            job=job.id,
            runner=view.name,
            runs=[f"{order.task}#{order.run}" for order in orders],
            slack_ms=round(urgency * 1000),
            report_age_ms=round((now - view.heard_at) * 1000),
            free_cpu=view.free.cpu,
            slowness=round(view.slowness, 2),
        )
        self._send(view.name, message(tuple(orders)))
        for order in orders:
            sent = view.outstanding[order.task, order.run]
            sent.message = message((order,))
