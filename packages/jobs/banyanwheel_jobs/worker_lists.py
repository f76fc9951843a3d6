"""The part of a runner that takes in the worker's own lists."""

from .messages import Order, RunEnd
from .model import TRANSIENT, EndKind, Resources, partition_of
from .runs import HeldEnd, HeldRun, RunState

__all__ = ["WorkerLists"]

SLOWNESS_MEMORY = 0.8  # weight of what was known before, at each end
MIN_ESTIMATE_MS = 20

_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "lapsed": EndKind.LAPSED,
}


class WorkerLists:
    """Compares what is held with what the worker lists."""

    def take_holdings(self, holdings, fence, acknowledged, sent_at, now):
        """Takes in the worker's lists, the answer to what was sent at ``sent_at``."""
        if self._announced is None:
            return
        self._worker_answered()
        if holdings.incarnation != self._announced.incarnation:
            self._lose_life(holdings.incarnation, now)
            return
        self._heard_at = now
        self.read_clock(holdings.clock_ms, now)
        self._told = max(self._told, acknowledged)
        listed = set()
        for ended in holdings.ended:
            listed.add((ended.task, ended.run))
            self._take_listed_end(ended, now)
        for running in holdings.running:
            listed.add((running.task, running.run))
            self._take_listed_run(running, now)
        for run in list(self._runs.values()):
            if run.key not in listed and holdings.complete:
                self._check_missing(run, fence, sent_at, now)
        if not self.settled and not any(run.foreign for run in self._runs.values()):
            self.settled = True
            self.version += 1

    def _lose_life(self, incarnation, now):
        """Ends all runs: another life answers, which will send a heartbeat."""
        self._event_log("worker:other-life", incarnation=incarnation)
        self.settled = False
        for run in list(self._runs.values()):
            self._end_here(run, EndKind.LAPSED, "worker-restarted", now)

    def _take_listed_end(self, ended, now):
        key = (ended.task, ended.run)
        if not self._cursor.list(ended.number, key):
            return
        run = self._runs.pop(key, None)
        if run is not None:
            run.step("end")
        if key in self._buried:
            # The owner was told before that the lease had lapsed, and it has.
            self._cursor.take(key)
            return
        run_ms = round((now - run.started_at) * 1000) if run and run.started_at else 0
        kind = _KINDS.get(ended.kind, EndKind.STOPPED)
        partition, owner = self._scope_of(run, ended.task)
        end = RunEnd(
            partition,
            ended.task,
            ended.run,
            kind,
            ended.checkpoint,
            run_ms,
            ended.kind,
        )
        self._ends[key] = HeldEnd(end, owner, ended.number)
        if partition == TRANSIENT:
            # Such a job is not stored: its end need not wait for its owner.
            self._cursor.take(key)
        self._add_news(partition, owner)
        self._event_log(
            "run:ended",
            task=str(ended.task),
            run=ended.run,
            kind=ended.kind,
            run_ms=run_ms,
        )
        if run and kind is EndKind.DONE:
            self._learn_speed(run, run_ms)

    def _scope_of(self, run, task):
        """Returns the partition and the owner of a run, also of an unknown one."""
        if run is not None and not run.foreign:
            return run.partition, run.owner
        return partition_of(task.job, self._partitions), None

    def _learn_speed(self, run, run_ms):
        ratio = run_ms / max(MIN_ESTIMATE_MS, run.order.estimate_ms)
        if not self._slowness:
            self._slowness = ratio
            return
        self._slowness = (
            SLOWNESS_MEMORY * self._slowness + (1 - SLOWNESS_MEMORY) * ratio
        )

    def _take_listed_run(self, running, now):
        key = (running.task, running.run)
        run = self._runs.get(key)
        if run is None:
            run = self._find_foreign(running, now)
        if run.state in (RunState.STARTING, RunState.DOUBTFUL):
            self._mark_running(run, now)
        run.percent = running.percent
        run.percent_at = now
        run.checkpoint = running.checkpoint

    def _find_foreign(self, running, now):
        order = Order(running.task, running.run, Resources(), 0)
        partition, owner = self._scope_of(None, running.task)
        run = HeldRun(order, partition, -1, owner, "", now, now, RunState.RUNNING)
        run.foreign = True
        self._runs[run.key] = run
        self._event_log("run:found", task=str(running.task), run=running.run)
        return run

    def _mark_running(self, run, now):
        if run.state in (RunState.STARTING, RunState.DOUBTFUL):
            run.step("confirm")
            run.started_at = run.started_at or now

    def _check_missing(self, run, fence, sent_at, now):
        match run.state:
            case RunState.DOUBTFUL if fence >= run.resolved_by > 0:
                self._end_here(run, EndKind.REFUSED, "start-unanswered", now)
            case RunState.RUNNING | RunState.STOPPING if run.started_at < sent_at:
                self._end_here(run, EndKind.LAPSED, "not-listed", now)

    def _end_here(self, run, kind, reason, now):
        """Ends a run that the worker doesn't list, and never will as alive."""
        self._runs.pop(run.key, None)
        run.step("end")
        run_ms = round((now - run.started_at) * 1000) if run.started_at else 0
        end = RunEnd(run.partition, *run.key, kind, run.checkpoint, run_ms, reason)
        self._ends[run.key] = HeldEnd(end, run.owner)
        self._add_news(run.partition, run.owner)
        self._bury(run.key)
        self._event_log(
            "run:ended",
            task=str(run.order.task),
            run=run.order.run,
            kind=kind,
            reason=reason,
            run_ms=run_ms,
        )

    def _bury(self, key):
        if key in self._buried:
            return
        if len(self._tombstones) == self._tombstones.maxlen:
            self._buried.discard(self._tombstones[0])
        self._tombstones.append(key)
        self._buried.add(key)
