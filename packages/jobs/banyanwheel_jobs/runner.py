"""The only door to one worker: what starts there, what runs, what has ended.

The runner counts the worker's room, acts for an owner only as long as it may, and
reports to each owner all that it holds for it. Times are seconds of a clock that also
counts suspended time.
"""

from collections import deque
from dataclasses import dataclass, field

from .authority import LEASE_SLACK, Authority
from .cursor import Cursor
from .messages import Order, Report, RunEnd, RunStatus, WorkerStatus
from .model import TRANSIENT, EndKind, Resources, partition_of
from .ports import StartOutcome
from .runs import HeldEnd, HeldRun, RunState, room_used

__all__ = ["Runner"]

WAIT_FOR_ROOM_S = 0.4  # then the owner may place the task elsewhere
# Runs are stopped this long before their owner's authority ends, so that the lease,
# which ends with it, need not lapse for all other runs on the worker.
STOP_AHEAD_S = 0.25
TOMBSTONES = 4_000  # ended runs that are remembered, against late copies of orders
LAPSE_MARGIN_S = 0.15
SLOWNESS_MEMORY = 0.8  # weight of what was known before, at each end
MIN_ESTIMATE_MS = 20
SUPERSEDED_DRAIN_S = 1.5  # for runs to end before the lease lapses

_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "lapsed": EndKind.LAPSED,
}


@dataclass(slots=True)
class _Lapse:
    """A lease that must lapse before the worker is told of some ends."""

    since: float
    keys: set = field(default_factory=set)


class Runner:
    """The runs on one worker, for all owners."""

    def __init__(self, partitions, lease_s, note):
        self._partitions = partitions
        self._lease_s = lease_s
        self._note = note
        self._authority = Authority()
        self._announced = None  # a WorkerAnnouncement
        self._gone = False
        self._runs = {}  # HeldRun by (task, run)
        self._ends = {}  # HeldEnd by (task, run)
        self._tombstones = deque(maxlen=TOMBSTONES)
        self._buried = set()
        self._cursor = Cursor()
        self._told = 0  # the last acknowledgement that the worker has answered
        self._lapse = None
        self._slowness = 0.0
        self._lease_until = 0.0  # the latest time at which the lease can end
        self._clock = (0, 0.0)  # the worker's ms, and when they were read
        self.settled = False
        self.stopping = False
        self.fence = 0
        self.version = 0  # rises with each end

    @property
    def worker(self):
        """The WorkerAnnouncement of the worker in use, or None."""
        return self._announced

    @property
    def acknowledged(self):
        """The number of the last end that the worker may forget."""
        return self._cursor.acknowledged

    @property
    def watching(self):
        """Whether the worker's lists are of interest now."""
        return (
            not self.settled
            or self._cursor.open
            or self._told < self.acknowledged
            or any(run.on_worker for run in self._runs.values())
        )

    @property
    def held(self):
        """The number of runs that wait, run or are being stopped."""
        return len(self._runs)

    @property
    def untaken(self):
        """The number of ends that their owners have not taken."""
        return len(self._ends)

    @property
    def busy(self):
        """Whether anything runs, waits, or has ended without being taken."""
        return bool(self._runs or self._ends)

    # The worker

    def announce(self, announcement, now):
        """Takes a heartbeat of the worker in; returns whether it is a new life."""
        known = self._announced
        if known is not None and announcement.incarnation == known.incarnation:
            if announcement.sequence > known.sequence:
                self._announced = announcement
                self._gone = False
                if announcement.draining:
                    self._refuse_waiting("draining")
            return False
        if known is not None and not _is_later(announcement, known):
            self._note("worker:old-heartbeat", incarnation=announcement.incarnation)
            return False
        self._begin_life(announcement, now)
        return True

    def _begin_life(self, announcement, now):
        self._note("worker:new", incarnation=announcement.incarnation)
        for run in list(self._runs.values()):
            self._end_here(run, EndKind.LAPSED, "worker-restarted", now)
        for held in self._ends.values():
            held.number = None
        self._announced = announcement
        self._gone = False
        self._cursor = Cursor()
        self._told = 0
        self._lapse = None
        self._lease_until = 0.0
        self._slowness = 0.0
        self._clock = (announcement.clock_ms, now)
        self.fence = max(1, announcement.clock_ms)
        self.settled = False

    def worker_left(self, now):
        """Notes that the worker has ended."""
        self._gone = True
        self.settled = True
        for run in list(self._runs.values()):
            self._end_here(run, EndKind.LAPSED, "worker-left", now)

    def raise_fence(self):
        """Makes all orders sent so far void at the worker, once it has seen it."""
        self.fence = max(self.fence + 1, self._clock[0])
        return self.fence

    def read_clock(self, clock_ms, now):
        """Notes the worker's clock."""
        if clock_ms >= self._clock[0]:
            self._clock = (clock_ms, now)

    def deadline_ms(self, now):
        """Returns a lease deadline on the worker's clock, and notes it as given.

        It is no later than the authority behind any run that is there.
        """
        clock_ms, read_at = self._clock
        until = min(
            (self._until(run) for run in self._runs.values() if run.on_worker),
            default=now + self._lease_s,
        )
        lease_s = max(0.0, min(self._lease_s, until - now))
        end = now + lease_s * LEASE_SLACK + LAPSE_MARGIN_S
        self._lease_until = max(self._lease_until, end)
        return int(clock_ms + (now - read_at + lease_s) * 1000)

    def _until(self, run):
        """Returns the time until which a run may go on."""
        if run.foreign:
            return float("inf")
        authority = self._authority.until(run.partition, run.owner)
        return min(authority, run.expires)

    @property
    def holds_lease(self):
        """Whether the lease is to be renewed; not while it has to lapse."""
        return self._lapse is None or any(run.on_worker for run in self._runs.values())

    def take_holdings(self, holdings, fence, acknowledged, sent_at, now):
        """Takes in the worker's lists, the answer to what was sent at ``sent_at``."""
        self.read_clock(holdings.clock_ms, now)
        if self._announced is None or (
            holdings.incarnation != self._announced.incarnation
        ):
            return
        self._told = max(self._told, acknowledged)
        listed = set()
        for ended in holdings.ended:
            listed.add((ended.task, ended.run))
            self._take_listed_end(ended, now)
        for running in holdings.running:
            listed.add((running.task, running.run))
            self._take_listed_run(running, now)
        for run in list(self._runs.values()):
            if run.key not in listed:
                self._check_missing(run, fence, sent_at, now)
        if not self.settled and not any(run.foreign for run in self._runs.values()):
            self.settled = True
            self.version += 1

    def _take_listed_end(self, ended, now):
        key = (ended.task, ended.run)
        if not self._cursor.list(ended.number, key):
            return
        run = self._runs.pop(key, None)
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
        self.version += 1
        self._note(
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
        run.checkpoint = running.checkpoint

    def _find_foreign(self, running, now):
        order = Order(running.task, running.run, Resources(), 0)
        partition, owner = self._scope_of(None, running.task)
        run = HeldRun(order, partition, -1, owner, "", now, now, RunState.RUNNING)
        run.foreign = True
        self._runs[run.key] = run
        self._note("run:found", task=str(running.task), run=running.run)
        return run

    def _mark_running(self, run, now):
        if run.state in (RunState.STARTING, RunState.DOUBTFUL):
            run.state = RunState.RUNNING
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
        run_ms = round((now - run.started_at) * 1000) if run.started_at else 0
        end = RunEnd(run.partition, *run.key, kind, run.checkpoint, run_ms, reason)
        self._ends[run.key] = HeldEnd(end, run.owner)
        self.version += 1
        self._bury(run.key)
        self._note(
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

    # Owners

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
                self._note("worker:lapse", task=str(item.task), run=item.run)
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
                round((now - (run.started_at or run.queued_at)) * 1000),
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
        waiting = Resources()
        for run in self._runs.values():
            if run.state is RunState.WAITING:
                waiting = waiting + run.order.resources
        return WorkerStatus(
            worker.incarnation,
            worker.service,
            self._accepting,
            worker.capacity,
            self._free() - waiting,
            worker.labels,
            self._slowness,
        )

    @property
    def _accepting(self):
        return not (
            self.stopping
            or self._lapse is not None
            or self._announced.draining
            or not self.settled
        )

    def _free(self):
        if any(run.foreign for run in self._runs.values()):
            return Resources()
        return self._announced.capacity - room_used(self._runs.values())

    # Work for the daemon

    def starts_due(self, now):
        """Marks the runs that fit as starting, and returns them, most urgent first."""
        if self._announced is None or not self._accepting:
            return []
        free = self._free()
        due = []
        waiting = [run for run in self._runs.values() if run.state is RunState.WAITING]
        for run in sorted(waiting, key=lambda run: run.due):
            if self._until(run) < now + 2 * STOP_AHEAD_S:
                continue
            if run.order.resources.fits(free):
                free = free - run.order.resources
                run.state = RunState.STARTING
                due.append(run)
        return due

    def start_answered(self, run, outcome, now):
        """Takes a worker's answer to a start in."""
        if run.key not in self._runs or run.state is not RunState.STARTING:
            return
        match outcome:
            case StartOutcome.STARTED:
                self._mark_running(run, now)
            case StartOutcome.FENCED | StartOutcome.LATE:
                self._note.count("banyanwheel.retries", f"start-{outcome.value}")
                run.state = RunState.WAITING
            case _:
                self._end_here(run, EndKind.REFUSED, f"worker-{outcome.value}", now)

    def start_unanswered(self, run, now):
        """Notes a start that may have been carried out, or may yet be."""
        if run.key in self._runs and run.state is RunState.STARTING:
            run.state = RunState.DOUBTFUL
            run.resolved_by = self.raise_fence()
            self._note("run:doubtful", task=str(run.order.task), run=run.order.run)
            self._note.count("banyanwheel.retries", "start-unanswered")

    @property
    def doubtful(self):
        """Whether a start is in doubt and the worker must be asked."""
        return any(run.state is RunState.DOUBTFUL for run in self._runs.values())

    def stops_due(self, now):
        """Returns the runs that have to be stopped and are not being stopped yet."""
        due = []
        for run in self._runs.values():
            if run.state is not RunState.RUNNING:
                continue
            unauthorized = self._until(run) < now + STOP_AHEAD_S
            if run.foreign or run.stop_asked or unauthorized:
                if unauthorized and not (run.foreign or run.stop_asked):
                    expired = run.expires < now + STOP_AHEAD_S
                    reason = "expired" if expired else "owner-silent"
                    self._note(
                        "run:unauthorized", task=str(run.order.task), reason=reason
                    )
                    self._note.count("banyanwheel.stops", reason)
                run.state = RunState.STOPPING
                due.append(run)
        return due

    def stop_unanswered(self, run):
        """Has a stop sent again."""
        if run.state is RunState.STOPPING:
            run.state = RunState.RUNNING

    def tick(self, now):
        """Does what is due; returns whether there is news for owners."""
        before = self.version
        for run in list(self._runs.values()):
            if run.state is RunState.WAITING and now - run.queued_at > WAIT_FOR_ROOM_S:
                self._end_here(run, EndKind.REFUSED, "no-room", now)
            elif run.on_worker and self._lease_until and now > self._lease_until:
                self._end_here(run, EndKind.LAPSED, "worker-silent", now)
        self._finish_lapse(now)
        return self.version != before

    def _finish_lapse(self, now):
        if self._lapse is None:
            return
        running = [run for run in self._runs.values() if run.on_worker]
        if running and now - self._lapse.since > SUPERSEDED_DRAIN_S:
            for run in running:
                run.stop_asked = True
        if running or now < self._lease_until + LAPSE_MARGIN_S:
            return
        for key in self._lapse.keys:
            self._ends.pop(key, None)
            self._bury(key)
            self._cursor.take(key)
        self._lapse = None

    def _refuse_waiting(self, reason):
        for run in list(self._runs.values()):
            if run.state is RunState.WAITING:
                self._end_here(run, EndKind.REFUSED, reason, run.queued_at)

    def stop(self):
        """Takes no new task from now on."""
        self.stopping = True
        self._refuse_waiting("runner-stopping")

    def stop_all(self):
        """Stops whatever runs; their ends tell the owners."""
        for run in self._runs.values():
            run.stop_asked = True


def _is_later(announcement, known):
    """Tells whether a heartbeat is of a later life than the known one."""
    return announcement.born_ms >= known.born_ms
