"""The part of a runner that deals with the owners of jobs."""

from dataclasses import dataclass, field

from .messages import Report, RunStatus, WorkerStatus
from .model import TRANSIENT, EndKind, Resources
from .runs import HeldRun, RunState

__all__ = ["Orders"]


@dataclass(slots=True)
class _Lapse:
    """A lease that must lapse before the worker is told of some ends."""

    since: float
    keys: set = field(default_factory=set)


class Orders:
    """Takes orders in, and reports to each owner what concerns it."""

    def take_contact(self, owner, contact, now):
        """Takes an owner's heartbeat in."""
        trusted_at = contact.trusted_stamp / 1000 if contact.trusted_stamp else None
        seen_at = contact.seen_stamp / 1000 if contact.seen_stamp else None
        self._authority.accept(owner, contact.claims, trusted_at, seen_at)

    def forget_owner(self, owner):
        """Drops the ends of transient jobs of a dispatcher that is gone."""
        self._authority.forget(owner)
        for key, held in list(self._ends.items()):
            if held.owner == owner and held.end.partition == TRANSIENT:
                del self._ends[key]

    def take_start(self, owner, message, now):
        """Takes orders in; returns whether any of them is new."""
        refusal = self._refusal(owner, message, now)
        fresh = False
        for order in message.orders:
            key = (order.task, order.run)
            if key in self._runs or self._has_end(key, owner):
                continue
            fresh = True
            run = HeldRun(
                order,
                message.partition,
                message.epoch,
                owner,
                message.spec,
                now + message.urgency,
                now,
            )
            if message.expires_stamp:
                run.expires = message.expires_stamp / 1000
            self._runs[key] = run
            # Another dispatcher, to which the job was sent before, used this number.
            used = key in self._buried or key in self._ends
            reason = "outdated" if used else refusal
            if reason:
                self._end_here(run, EndKind.REFUSED, reason, now)
        return fresh

    def _has_end(self, key, owner):
        held = self._ends.get(key)
        if held is None:
            return False
        return held.end.partition != TRANSIENT or held.owner == owner

    def _refusal(self, owner, message, now):
        if now * 1000 > message.valid_stamp:
            return "held-up"
        if message.epoch < self._authority.epoch(message.partition):
            return "former-owner"
        if self.stopping:
            return "runner-stopping"
        worker = self._announced
        if worker is None or self._gone or worker.incarnation != message.worker:
            return "other-incarnation"
        return "draining" if worker.draining else ""

    def take_stop(self, owner, message, now):
        """Takes stops in; the daemon sends them on by :meth:`stops_due`."""
        if message.epoch < self._authority.epoch(message.partition):
            return
        for item in message.runs:
            key = (item.task, item.run)
            run = self._runs.get(key)
            if run is None:
                if key not in self._ends:
                    self._bury(key)
            elif message.partition == TRANSIENT and run.owner != owner:
                continue
            elif run.state is RunState.WAITING:
                self._end_here(run, EndKind.STOPPED, "stopped", now)
            else:
                run.stop_asked = True

    def take_ends_taken(self, message, now):
        """Forgets ends that their owner has stored."""
        for item in message.runs:
            key = (item.task, item.run)
            self._ends.pop(key, None)
            self._bury(key)
            self._cursor.take(key)
        for item in message.superseded:
            if self._lapse is None:
                self._lapse = _Lapse(now)
                self._event_log("worker:lapse", task=str(item.task), run=item.run)
            self._lapse.keys.add((item.task, item.run))

    def report(self, owner, now):
        """Returns all that concerns ``owner``."""
        claimed = self._authority.owned_by(owner)
        partitions = {partition for partition, _ in claimed}

        def concerns(partition, of):
            return of == owner if partition == TRANSIENT else partition in partitions

        runs = tuple(
            RunStatus(
                run.partition,
                run.order.task,
                run.order.run,
                run.percent,
                run.percent_age_ms,
            )
            for run in self._runs.values()
            if concerns(run.partition, run.owner) and not run.foreign
        )
        ends = tuple(
            held.end
            for held in self._ends.values()
            if concerns(held.end.partition, held.owner)
        )
        return Report(
            int(now * 1000), self.settled, self._status(), claimed, runs, ends
        )

    def _status(self):
        worker = self._announced
        if worker is None or self._gone:
            return None
        _, accepting = self.standing
        waiting = Resources()
        for run in self._runs.values():
            if run.state is RunState.WAITING:
                waiting = waiting + run.order.resources
        return WorkerStatus(
            worker.incarnation,
            worker.service,
            accepting,
            worker.capacity,
            self._free() - waiting,
            worker.labels,
            self._slowness,
        )
