"""The part of a runner that reconciles its runs with the worker's lists."""

from ..messages import Assignment, RunEnd
from ..model import TRANSIENT_PARTITION, EndKind, Resources, partition_of
from .runs import RunState, TrackedRun, UnacknowledgedEnd
from .slowness import MIN_ESTIMATE_MS, updated_slowness

__all__ = ["WorkerReconciliation"]

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "lapsed": EndKind.LAPSED,
}


class WorkerReconciliation:
    """Compares the tracked runs and ends with the worker's lists."""

    def reconcile(self, holdings, fence, acknowledged, sent_at, now):
        """Processes the worker's lists, which answer a poll sent at ``sent_at``.

        ``fence`` and ``acknowledged`` are the values that this poll carried.
        """
        if self._worker_heartbeat is None or self._worker_gone:
            return
        self._reset_unanswered_polls()
        self._last_seen_at = now
        self.update_worker_clock(holdings.clock_ms, now)
        self._acknowledged_at_worker = max(self._acknowledged_at_worker, acknowledged)
        listed = set()
        for ended in holdings.ended:
            listed.add((ended.task, ended.run))
            self._reconcile_end(ended, now)
        for running in holdings.running:
            listed.add((running.task, running.run))
            self._reconcile_run(running, now)
        for run in list(self._runs.values()):
            if run.key not in listed and holdings.complete:
                self._reconcile_missing(run, fence, sent_at, now)
        if not self.reconciled and not any(
            run.is_orphan for run in self._runs.values()
        ):
            self.reconciled = True
            self.version += 1

    def _reconcile_end(self, ended, now):
        key = (ended.task, ended.run)
        if not self._cursor.record_listed(ended.number, key):
            return
        run = self._runs.pop(key, None)
        if run is not None:
            run.transition("end")
        if key in self._tombstones:
            # The run was already reported as lapsed, and its lease has lapsed.
            self._cursor.acknowledge(key)
            return
        run_ms = round((now - run.started_at) * 1000) if run and run.started_at else 0
        kind = _END_KINDS.get(ended.kind, EndKind.STOPPED)
        partition, owner = self._partition_and_owner(run, ended.task)
        end = RunEnd(
            partition,
            ended.task,
            ended.run,
            kind,
            ended.checkpoint,
            run_ms,
            ended.kind,
        )
        self._ends[key] = UnacknowledgedEnd(end, owner, now, ended.number)
        if partition == TRANSIENT_PARTITION:
            # Transient jobs are not stored, so their ends need not wait for the owner.
            self._cursor.acknowledge(key)
        self._add_owner_to_notify(partition, owner)
        self._event_log(
            "run:ended",
            task=str(ended.task),
            run=ended.run,
            kind=ended.kind,
            run_ms=run_ms,
        )
        if run and kind is EndKind.LAPSED:
            self._log_lapse(run, now)
        if run and kind is EndKind.DONE:
            self._slowness = updated_slowness(
                self._slowness, run_ms, run.order.estimate_ms
            )
            self._slow_start.record_end(
                run.order.resources.cpu,
                run_ms,
                max(MIN_ESTIMATE_MS, run.order.estimate_ms),
                self._worker_heartbeat.capacity,
                now,
            )

    def _partition_and_owner(self, run, task):
        """Returns the partition and the owner of a run, None for an unknown owner."""
        if run is not None and not run.is_orphan:
            return run.partition, run.owner
        return partition_of(task.job, self._partitions), None

    def _reconcile_run(self, running, now):
        key = (running.task, running.run)
        run = self._runs.get(key)
        if run is None and self._is_listed_as_ended(key):
            return  # an older list, which a newer one has overtaken
        if run is None:
            run = self._add_orphan(running, now)
        if run.state in (RunState.STARTING, RunState.DOUBTFUL):
            self._mark_running(run, now)
        run.percent = running.percent
        run.percent_read_at = now
        run.checkpoint = running.checkpoint

    def _is_listed_as_ended(self, key):
        entry = self._ends.get(key)
        return entry is not None and entry.number is not None

    def _add_orphan(self, running, now):
        assignment = Assignment(running.task, running.run, Resources(), 0)
        partition, owner = self._partition_and_owner(None, running.task)
        run = TrackedRun(
            assignment, partition, -1, owner, "", now, now, RunState.RUNNING
        )
        run.is_orphan = True
        # Nobody here may run it, so nothing extends the lease that it has.
        run.expires_at = now
        self._runs[run.key] = run
        self._event_log("run:found", task=str(running.task), run=running.run)
        return run

    def _mark_running(self, run, now):
        if run.state in (RunState.STARTING, RunState.DOUBTFUL):
            run.transition("confirm")
            run.started_at = run.started_at or now

    def _reconcile_missing(self, run, fence, sent_at, now):
        match run.state:
            case RunState.DOUBTFUL if fence >= run.resolving_fence > 0:
                self._end_locally(run, EndKind.REFUSED, "start-unanswered", now)
            case RunState.RUNNING | RunState.STOPPING if run.started_at < sent_at:
                self._end_locally(run, EndKind.LAPSED, "not-listed", now)

    def _end_locally(self, run, kind, reason, now):
        """Ends a run that the worker doesn't list and will never list as running."""
        self._runs.pop(run.key, None)
        run.transition("end")
        run_ms = round((now - run.started_at) * 1000) if run.started_at else 0
        end = RunEnd(run.partition, *run.key, kind, run.checkpoint, run_ms, reason)
        self._ends[run.key] = UnacknowledgedEnd(end, run.owner, now)
        self._add_owner_to_notify(run.partition, run.owner)
        self._add_tombstone(run.key)
        self._event_log(
            "run:ended",
            task=str(run.order.task),
            run=run.order.run,
            kind=kind,
            reason=reason,
            run_ms=run_ms,
        )

    def _add_tombstone(self, key):
        if key in self._tombstones:
            return
        if len(self._tombstone_queue) == self._tombstone_queue.maxlen:
            self._tombstones.discard(self._tombstone_queue[0])
        self._tombstone_queue.append(key)
        self._tombstones.add(key)
