"""What an owner learns from the progress of runs, and the moves of runs."""

import math

from ..durations.durations import Kind, ratio_of, total_ms_of
from ..durations.pace import MIN_SIBLINGS, sibling_factor
from .stragglers import is_stalled, is_straggling

__all__ = ["ProgressHandling"]


class ProgressHandling:
    """The part of an owner that judges runs by their progress."""

    def _learn(self, job, task, view, total_ms, now):
        """Records the run time of a task's newest run, or what it will be."""
        if not total_ms:
            return
        step = job.step_of(task)
        kind = Kind.from_task(job, task)
        ratio = ratio_of(total_ms, step.estimate_ms)
        ratio /= self._placement.rack_factor(step, view)
        view.pace.record((task.id.index, task.run), job.id, kind, ratio, now)
        if task.measured_run != task.run:
            task.measured_run = task.run
            self._durations.record(kind, ratio, now)

    def _check_progress(self, partition, job, task, view, status, now):
        """Stops a run that is a straggler, so that its task is placed elsewhere.

        A stalled run casts suspicion on its worker. A slow one does not: the worker's
        pace counts when tasks are placed.
        """
        expected_s = job.step_of(task).estimate_ms / 1000 * max(1.0, view.slowness)
        stalled_ms = task.record_progress(status.percent, status.age_ms)
        progress = status.percent, status.age_ms / 1000, expected_s
        history = {"stalled_s": stalled_ms / 1000, "restarts": task.restarts}
        if is_stalled(*progress, **history):
            view.suspect(now)
            self._move(partition, task, view, status, "straggling")
            return
        if not view.pace.due(now):
            return
        total_ms = total_ms_of(status.percent, status.age_ms)
        if total_ms is None:
            return
        self._learn(job, task, view, total_ms, now)
        if task.restarts:
            return
        other, elsewhere_s = self._elsewhere(job, task, view, total_ms, now)
        if is_straggling(*progress, **history, elsewhere_s=elsewhere_s):
            self._promised_room.add(other, job.step_of(task).resources, now)
            self._event_log(
                "task:moving",
                task=str(task.id),
                run=task.run,
                runner=view.name,
                room_at=other.name,
                remaining_ms=round(total_ms * (100 - status.percent) / 100),
                elsewhere_ms=round(elsewhere_s * 1000),
            )
            self._move(partition, task, view, status, "slow-worker")

    def _move(self, partition, task, view, status, reason):
        task.stopping = True
        task.restarts += 1
        task.avoided_runners.add(view.name)
        self._stop(partition, view, status, reason)
        self._event_log.count("banyanwheel.stops", reason)

    def _slow_factor(self, job, task, view):
        """Returns how much slower a worker is at least, 1 if it isn't known to be.

        Shown by other jobs there, or by the other tasks of the job here and elsewhere.
        """
        kind = Kind.from_task(job, task)
        factor = 1.0
        if view.pace.seems_slow:
            factor = view.pace.slow_factor(job.id, self._durations)
        here = view.pace.ratios_of(job.id, kind, without=(task.id.index, task.run))
        if len(here) < MIN_SIBLINGS:
            return factor
        elsewhere = [
            ratio
            for other in self._views.values()
            if other is not view
            for ratio in other.pace.ratios_of(job.id, kind)
        ]
        return max(factor, sibling_factor(here, elsewhere))

    def _elsewhere(self, job, task, view, total_ms, now):
        """Returns where a task on a slow worker would run now, and for how long.

        Both are None if the worker isn't known to be slow, or no other one has room.
        """
        factor = self._slow_factor(job, task, view)
        if factor == 1.0:
            return None, None
        step = job.step_of(task)
        others = [
            other
            for other in self._usable_views(now)
            if other is not view
            and other.name not in task.avoided_runners
            and not other.suspected(now)
            and not other.trial_full
            and self._promised_room.has_room(other, step.resources, now)
        ]
        other = self._placement.choose(job, task, others, {}, now, any_runner=True)
        if other is None:
            return None, None
        kind = Kind.from_task(job, task)
        usual = math.exp(self._durations.log_median(kind, now))
        speedup = factor * usual / other.slowness_for(kind)
        rack = self._placement.rack_factor(step, other)
        rack /= self._placement.rack_factor(step, view)
        return other, total_ms / 1000 / speedup * rack
