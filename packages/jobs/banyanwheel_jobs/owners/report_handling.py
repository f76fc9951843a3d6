"""Handling of the runners' reports by the owner of the jobs."""

from ..messages import EndsAcknowledged, StopTasks, TaskRun
from ..model import TRANSIENT_PARTITION, EndKind
from .job import TaskState

__all__ = ["ReportHandling"]

# Ends that a task records; an end of another kind only leads to a new run.
COUNTED_KINDS = (EndKind.DONE, EndKind.FAILED)
# Refusals by the worker itself. Such a worker has room all the time, so that a task
# which went back to it at once would wait there beside others.
REFUSED_BY_WORKER = ("worker-unhealthy", "worker-invalid", "worker-no-room")
# Refusals of a run number that was used before, perhaps by the same run: the refused
# assignment may have been a repetition.
NUMBER_USED = ("outdated", "worker-outdated")


class ReportHandling:
    """The part of an owner that handles reports."""

    def handle_report(self, view, incarnation, report, now):
        """Updates a runner's view and tasks from a report of its ``incarnation``.

        Runs and ends count only in a reconciled report. Acknowledges the ends that
        need not be stored; ``_acknowledge_ends`` does so for stored ones.
        """
        if view.reject_stale(incarnation, report.sent_at_ms):
            # The report was delayed on a connection that has since been replaced.
            return
        restarted = view.incarnation not in ("", incarnation)
        view.heard_at = now
        if not restarted:
            view.incarnation_heard_at = now
        view.reconciled = report.reconciled
        view.epochs = dict(report.epochs)
        if restarted:
            view.outstanding.clear()
        view.apply_report(report)
        if not report.reconciled:
            return
        if restarted:
            for partition in self.all_partitions:
                listed = view.listed if self._reports_on(view, partition) else None
                self._release_runs(partition, view, "runner-restarted", now, listed)
        view.incarnation = incarnation
        view.incarnation_heard_at = now
        self._learn_interference(view, report, now)
        for status in report.runs:
            self._handle_run_status(view, status, now)
        acknowledged, superseded = [], []
        for end in report.ends:
            self._handle_run_end(view, end, now, acknowledged, superseded)
        view.refresh_pace(self._durations, now)
        if acknowledged or superseded:
            self._send(
                view.name, EndsAcknowledged(tuple(acknowledged), tuple(superseded))
            )

    def _learn_interference(self, view, report, now):
        if self._placement.interference is not None:
            self._placement.interference.observe(view, report, now)

    def _handle_run_status(self, view, status, now):
        partition, job, task = self.find(status.partition, status.task)
        if partition is None:
            return
        if task is not None and status.percent >= 0:
            job.begin()
        if task is None or not job.live or task.state is TaskState.DONE:
            self._stop(partition, view, status, "job-over")
        elif task.state is TaskState.PLACED:
            if (task.runner, task.run) != (view.name, status.run):
                self._stop(partition, view, status, "placed-elsewhere")
            elif not task.stopping:
                self._check_progress(partition, job, task, view, status, now)
        elif status.run >= task.run:
            job.adopt(task, status.run, view.name)
            self._event_log("task:adopted", task=str(task.id), run=status.run)
        else:
            self._stop(partition, view, status, "outdated")

    def _stop(self, partition, view, status, reason):
        run = TaskRun(status.task, status.run)
        self._send(view.name, StopTasks(partition.number, partition.epoch, (run,)))
        self._event_log(
            "task:stopped",
            task=str(status.task),
            run=status.run,
            runner=view.name,
            percent=status.percent,
            age_ms=status.age_ms,
            reason=reason,
        )

    def _handle_run_end(self, view, end, now, acknowledged, superseded):
        partition, job, task = self.find(end.partition, end.task)
        if partition is None:
            return
        run = TaskRun(end.task, end.run)
        if task is not None:
            self._record_start(job, view, end)
        if task is None:
            ended = partition.ended.get(end.task.job)
            if (
                end.kind in COUNTED_KINDS
                and ended is not None
                and ended.supersedes(end.task, end.run)
            ):
                self._supersede(run, superseded)
            else:
                acknowledged.append(run)
        elif (end.task, end.run) in job.unstored_ends or (
            (end.task, end.run) in job.storing_ends
        ):
            return
        elif self._is_current(task, view, end):
            self._apply_end(partition, job, task, view, end, now, acknowledged)
        elif end.kind not in COUNTED_KINDS or self._is_recorded(task, end):
            acknowledged.append(run)
        else:
            self._supersede(run, superseded)

    def _supersede(self, run, superseded):
        superseded.append(run)
        self._event_log("task:superseded", task=str(run.task), run=run.run)

    def _record_start(self, job, view, end):
        """Records whether a run that has ended had started, if its end tells."""
        if end.kind is EndKind.REFUSED:
            if end.reason not in NUMBER_USED:
                job.rule_out(end.task, end.run, view.name)
        elif end.kind in COUNTED_KINDS or end.run_ms:
            job.begin()

    def _is_current(self, task, view, end):
        """Returns whether an end is that of the task's newest run."""
        match task.state:
            case TaskState.PLACED:
                return (task.runner, task.run) == (view.name, end.run)
            case TaskState.WAITING:
                return end.run >= task.run and end.run not in task.failed_runs
        return False

    def _is_recorded(self, task, end):
        """Returns whether the task has already recorded this end."""
        if end.kind is EndKind.DONE:
            return task.state is TaskState.DONE and task.run == end.run
        return end.run in task.failed_runs

    def _apply_end(self, partition, job, task, view, end, now, acknowledged):
        task.run = end.run
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        counted = end.kind in COUNTED_KINDS
        refused = end.kind is EndKind.REFUSED and end.reason in REFUSED_BY_WORKER
        if counted or refused:
            view.record_end(end.kind is not EndKind.DONE, now)
        if refused:
            task.avoided_runners.add(view.name)
        if counted and partition.number != TRANSIENT_PARTITION:
            if not job.unstored_ends:
                job.unstored_since = now
            job.unstored_ends[end.task, end.run] = view.name
        else:
            acknowledged.append(TaskRun(end.task, end.run))
        match end.kind:
            case EndKind.DONE:
                self._learn(job, task, view, end.run_ms, now)
                job.finish(task, end.run)
                if job.complete and job.live:
                    self._end_job(partition, job, "complete")
                else:
                    self._waiting.try_again(job)
            case EndKind.FAILED:
                self._fail_run(partition, job, task, view, end)
            case _:
                self._retry(job, task, end.reason or end.kind, view, end)
        if partition.number == TRANSIENT_PARTITION:
            self.close_transient(job, now)
            self._return_refused(job, end, now)

    def _fail_run(self, partition, job, task, view, end):
        task.failed_runs.add(end.run)
        task.avoided_runners.add(view.name)
        max_runs = job.submission.queue.max_attempts
        if len(task.failed_runs) >= max_runs and job.live:
            job.release(task)
            reason = f"task {task.id} failed {max_runs} times"
            self._end_job(partition, job, "fail", reason)
        else:
            self._retry(job, task, "failed", view, end)

    def _retry(self, job, task, reason, view, end):
        job.release(task)
        if job.live:
            self._waiting.add(job)
        self._event_log(
            "task:retry",
            task=str(task.id),
            run=end.run,
            reason=reason,
            runner=view.name,
            run_ms=end.run_ms,
        )
        self._event_log.count("banyanwheel.retries", reason)

    def _acknowledge_ends(self, job, ends=None):
        """Tells the runners that stored ends need not be reported again.

        ``ends`` maps (task, run) to the runner; None stands for all ends of the job.
        """
        if ends is None:
            ends = {**job.unstored_ends, **job.storing_ends}
            job.unstored_ends = {}
        by_runner = {}
        for (task, run), runner in ends.items():
            job.storing_ends.pop((task, run), None)
            by_runner.setdefault(runner, []).append(TaskRun(task, run))
        for runner, runs in by_runner.items():
            self._send(runner, EndsAcknowledged(tuple(runs)))
