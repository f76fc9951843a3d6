"""The part of a runner that exchanges messages with the owners of jobs."""

from dataclasses import dataclass, field

from ..authority import TRANSIENT_AUTHORITY_S
from ..messages import NOT_FORWARDED, Report, RunStatus, WorkerStatus
from ..model import TRANSIENT_PARTITION, EndKind, Resources
from ..outcomes import EVACUATED
from .runs import RunState, TrackedRun

__all__ = ["OwnerMessages"]


@dataclass(slots=True)
class _PendingLapse:
    """A lease that must lapse before the worker gets acknowledgements of some ends."""

    since: float
    keys: set = field(default_factory=set)  # of (task, run)


class OwnerMessages:
    """Processes the messages of owners, and reports to each its runs and ends."""

    def handle_dispatcher_heartbeat(self, owner, heartbeat, now):
        """Extends the authority to act for an owner by its heartbeat."""
        trusted_at = (
            heartbeat.trusted_report_ms / 1000 if heartbeat.trusted_report_ms else None
        )
        seen_at = (
            heartbeat.newest_report_ms / 1000 if heartbeat.newest_report_ms else None
        )
        self._authority.accept_claims(owner, heartbeat.claims, trusted_at, seen_at)
        confirmed = dict(heartbeat.confirmed)
        for run in self._runs.values() if confirmed else ():
            stamp = confirmed.get(run.order.task.job)
            if stamp and run.owner == owner:
                until = stamp / 1000 + TRANSIENT_AUTHORITY_S
                run.confirmed_until = max(run.confirmed_until, until)

    def forget_owner(self, owner):
        """Drops the ends of a departed dispatcher's transient jobs."""
        self._authority.forget(owner)
        for key, entry in list(self._ends.items()):
            if entry.owner == owner and entry.end.partition == TRANSIENT_PARTITION:
                del self._ends[key]

    def handle_start(self, owner, message, now):
        """Adds a run for each new assignment; returns whether there is any.

        A refused assignment is new too: the refusal is reported as its end.
        """
        if message.newest_report_ms:
            seen_at = message.newest_report_ms / 1000
            self._authority.accept_claims(owner, (), None, seen_at)
        refusal = self._refusal_reason(owner, message, now)
        any_new = False
        for assignment in message.assignments:
            key = (assignment.task, assignment.run)
            if key in self._runs or self._has_end(key, owner):
                continue
            any_new = True
            run = TrackedRun(
                assignment,
                message.partition,
                message.epoch,
                owner,
                message.spec,
                now + message.urgency,
                now,
            )
            if message.expires_at_ms:
                run.expires_at = message.expires_at_ms / 1000
            if message.confirmed_ms != NOT_FORWARDED:
                run.confirmed_until = (
                    message.confirmed_ms / 1000 + TRANSIENT_AUTHORITY_S
                )
            self._runs[key] = run
            # Another dispatcher, which had the job before, used this run number.
            used = key in self._tombstones or key in self._ends
            reason = "outdated" if used else refusal
            if reason:
                self._end_locally(run, EndKind.REFUSED, reason, now)
        return any_new

    def _has_end(self, key, owner):
        entry = self._ends.get(key)
        if entry is None:
            return False
        return entry.end.partition != TRANSIENT_PARTITION or entry.owner == owner

    def _refusal_reason(self, owner, message, now):
        if now * 1000 > message.valid_until_ms:
            return "held-up"
        if message.epoch < self._authority.epoch(message.partition):
            return "former-owner"
        if self.stopping:
            return "runner-stopping"
        if self.evacuated:
            return EVACUATED
        worker = self._worker_heartbeat
        if worker is None or self._worker_gone or worker.incarnation != message.worker:
            return "other-incarnation"
        return "draining" if worker.draining else ""

    def handle_stop(self, owner, message, now):
        """Ends waiting runs; :meth:`begin_due_stops` will return the others.

        An unknown run is remembered, so that a late assignment of it is refused.
        """
        if message.epoch < self._authority.epoch(message.partition):
            return
        for item in message.runs:
            key = (item.task, item.run)
            run = self._runs.get(key)
            if run is None:
                if key not in self._ends:
                    self._add_tombstone(key)
            elif message.partition == TRANSIENT_PARTITION and run.owner != owner:
                continue
            elif run.state is RunState.WAITING:
                self._end_locally(run, EndKind.STOPPED, "stopped", now)
            else:
                self._request_stop(run, now)

    def handle_end_acknowledgements(self, message, now):
        """Forgets ends that their owner has stored.

        Superseded ends are kept until the worker's lease has lapsed, and so are those
        that are so old that their owner may not know any more how the job ended.
        """
        for item in message.runs:
            key = (item.task, item.run)
            entry = self._ends.get(key)
            if entry is not None and entry.listed and entry.is_old(now):
                self._wait_for_lapse(key, now)
            else:
                self._forget_end(key)
        for item in message.superseded:
            key = (item.task, item.run)
            entry = self._ends.get(key)
            if entry is None:
                continue  # it was acknowledged while the message was on its way
            if entry.listed:
                self._wait_for_lapse(key, now)
            else:
                self._forget_end(key)

    def _forget_end(self, key):
        self._ends.pop(key, None)
        self._add_tombstone(key)
        self._cursor.acknowledge(key)

    def _wait_for_lapse(self, key, now):
        if self._pending_lapse is None:
            self._pending_lapse = _PendingLapse(now)
            self._event_log("worker:lapse", task=str(key[0]), run=key[1])
        self._pending_lapse.keys.add(key)

    def report(self, owner, now):
        """Returns a Report with all runs and ends that concern ``owner``."""
        claimed = self._authority.claims_of(owner)
        partitions = {partition for partition, _ in claimed}

        def concerns(partition, of):
            return (
                of == owner
                if partition == TRANSIENT_PARTITION
                else partition in partitions
            )

        runs = tuple(
            RunStatus(
                run.partition,
                run.order.task,
                run.order.run,
                run.percent,
                run.percent_age_ms,
            )
            for run in self._runs.values()
            if concerns(run.partition, run.owner) and not run.is_orphan
        )
        ends = tuple(
            entry.end
            for entry in self._ends.values()
            if concerns(entry.end.partition, entry.owner)
        )
        return Report(
            int(now * 1000),
            self.reconciled,
            self._worker_status(now),
            claimed,
            runs,
            ends,
        )

    def _worker_status(self, now):
        worker = self._worker_heartbeat
        if worker is None or self._worker_gone:
            return None
        _, accepting = self.availability
        waiting = Resources()
        for run in self._runs.values():
            if run.state is RunState.WAITING:
                waiting = waiting + run.order.resources
        return WorkerStatus(
            worker.incarnation,
            worker.service,
            accepting,
            worker.capacity,
            self._free_resources(now) - waiting,
            worker.labels,
            self._slowness,
            self.evacuated,
        )
