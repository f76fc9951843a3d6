"""The only door to one worker: what starts there, what runs, what has ended.

The runner counts the worker's room, acts for an owner only as long as it may, and
reports to each owner all that it holds for it. Times are seconds of a clock that also
counts suspended time.
"""

from collections import deque

from .ack_cursor import AckCursor
from .authority import CLOCK_DRIFT_FACTOR, Authority
from .model import TRANSIENT_PARTITION, EndKind, Resources
from .owner_messages import OwnerMessages
from .ports import StartOutcome
from .runs import RunState, resources_used
from .worker_reconciliation import WorkerReconciliation

__all__ = ["Runner"]

ROOM_WAIT_S = 0.4  # then the owner may place the task elsewhere
# Runs are stopped this long before their owner's authority ends, so that the lease,
# which ends with it, need not lapse for all other runs on the worker.
STOP_MARGIN_S = 0.25
MAX_TOMBSTONES = 4_000  # ended runs that are remembered, against late copies of orders
LEASE_EXPIRY_MARGIN_S = 0.15
POLL_WAIT_S = 0.2  # for news; well within the lease, which each answer extends
POLL_RETRY_S = 0.05
UNRESPONSIVE_WAIT_S = (
    0.1  # at a silent worker; of the 0.4 s in which a short job is on time
)
WORKER_TIMEOUT_S = 0.3  # more than a look takes; then the lease is left to lapse
INCARNATION_TIMEOUT_S = 3.2  # two heartbeats of a worker
LAPSE_DRAIN_S = 1.5  # for runs to end before the lease lapses


class Runner(WorkerReconciliation, OwnerMessages):
    """The runs on one worker, for all owners."""

    def __init__(self, partitions, lease_s, event_log):
        self._partitions = partitions
        self._lease_s = lease_s
        self._event_log = event_log
        self._authority = Authority()
        self._announcement = None  # a WorkerAnnouncement
        self._worker_gone = False
        self._runs = {}  # HeldRun by (task, run)
        self._ends = {}  # HeldEnd by (task, run)
        self._tombstone_queue = deque(maxlen=MAX_TOMBSTONES)
        self._tombstones = set()
        self._cursor = AckCursor()
        self._acknowledged_at_worker = (
            0  # the last acknowledgement that the worker has answered
        )
        self._pending_lapse = None
        self._slowness = 0.0
        self._lease_expires_at = 0.0  # the latest time at which the lease can end
        self._unanswered_since = None  # when the first look without an answer was sent
        self._unanswered_polls = 0  # in a row
        self._last_seen_at = float("-inf")  # when the worker's life in use last spoke
        self._worker_clock = (0, 0.0)  # the worker's ms, and when they were read
        self._owners_to_notify = set()  # owners who have not been told of an end
        self.reconciled = False
        self.stopping = False
        self.fence = 0
        self.version = 0  # rises with each end

    @property
    def worker(self):
        """The WorkerAnnouncement of the worker in use, or None."""
        return self._announcement

    @property
    def acknowledged(self):
        """The number of the last end that the worker may forget."""
        return self._cursor.acknowledged

    @property
    def needs_polling(self):
        """Whether the worker's lists are of interest now."""
        return (
            not self.reconciled
            or self._unanswered_since is not None
            or self._cursor.has_unacknowledged
            or self._acknowledged_at_worker < self.acknowledged
            or any(run.on_worker for run in self._runs.values())
        )

    @property
    def run_count(self):
        """The number of runs that wait, run or are being stopped."""
        return len(self._runs)

    @property
    def unacknowledged_count(self):
        """The number of ends that their owners have not taken."""
        return len(self._ends)

    def pop_owners_to_notify(self):
        """Returns the owners whom ends since the last call concern."""
        news, self._owners_to_notify = self._owners_to_notify, set()
        return news

    def _add_owner_to_notify(self, partition, owner):
        if partition != TRANSIENT_PARTITION:
            owner = self._authority.owner(partition)
        self._owners_to_notify.add(owner)
        self.version += 1

    @property
    def busy(self):
        """Whether anything runs, waits, or has ended without being taken."""
        return bool(self._runs or self._ends)

    # The worker

    def announce(self, announcement, now):
        """Takes a heartbeat of the worker in; returns whether it is a new life."""
        known = self._announcement
        if known is not None and announcement.incarnation == known.incarnation:
            if announcement.sequence > known.sequence:
                self._announcement = announcement
                self._last_seen_at = now
                self._worker_gone = False
                if announcement.draining:
                    self._refuse_waiting("draining")
            return False
        if known is not None and self._is_outdated(announcement, now):
            self._event_log(
                "worker:old-heartbeat", incarnation=announcement.incarnation
            )
            return False
        self._begin_incarnation(announcement, now)
        return True

    def _is_outdated(self, announcement, now):
        """Tells whether a heartbeat is a delayed one of a former life.

        A later life may have an earlier birth where the clock was set back; then the
        life in use no longer speaks.
        """
        earlier = announcement.born_ms < self._announcement.born_ms
        return earlier and now - self._last_seen_at < INCARNATION_TIMEOUT_S

    def _begin_incarnation(self, announcement, now):
        self._event_log("worker:new", incarnation=announcement.incarnation)
        for run in list(self._runs.values()):
            self._end_locally(run, EndKind.LAPSED, "worker-restarted", now)
        for entry in self._ends.values():
            entry.number = None
        self._announcement = announcement
        self._worker_gone = False
        self._cursor = AckCursor()
        self._acknowledged_at_worker = 0
        self._pending_lapse = None
        self._lease_expires_at = 0.0
        self._reset_unanswered_polls()
        self._last_seen_at = now
        self._slowness = 0.0
        self._worker_clock = (announcement.clock_ms, now)
        self.fence = max(1, announcement.clock_ms)
        self.reconciled = False

    def record_worker_left(self, now):
        """Notes that the worker has ended."""
        self._worker_gone = True
        self.reconciled = True
        for run in list(self._runs.values()):
            self._end_locally(run, EndKind.LAPSED, "worker-left", now)

    def raise_fence(self):
        """Makes all orders sent so far void at the worker, once it has seen it."""
        self.fence = max(self.fence + 1, self._worker_clock[0])
        return self.fence

    def update_worker_clock(self, clock_ms, now):
        """Notes the worker's clock."""
        if clock_ms >= self._worker_clock[0]:
            self._worker_clock = (clock_ms, now)

    def record_unanswered_poll(self, sent_at):
        """Notes a look at the worker's lists that had no answer."""
        self._unanswered_polls += 1
        if self._unanswered_since is None:
            self._unanswered_since = sent_at

    def _reset_unanswered_polls(self):
        self._unanswered_polls = 0
        self._unanswered_since = None

    def next_poll(self):
        """Returns the pause before the next look, and how long it waits for news.

        One call may be lost alone: the first look without an answer is followed by
        another at once, which is to be answered at once.
        """
        if self._unanswered_polls:
            return (POLL_RETRY_S if self._unanswered_polls > 1 else 0), 0
        return 0, POLL_WAIT_S if self.reconciled else 0

    def _is_unresponsive(self, now):
        since = self._unanswered_since
        return since is not None and now - since > WORKER_TIMEOUT_S

    def deadline_ms(self, now):
        """Returns a lease deadline on the worker's clock, and notes it as given.

        It is no later than the authority behind any run that is there. For a silent
        worker it is None: its lease is left to lapse, since looks without an answer
        might extend it for good.
        """
        if self._is_unresponsive(now):
            return None
        clock_ms, read_at = self._worker_clock
        until = min(
            (
                self._authorized_until(run)
                for run in self._runs.values()
                if run.on_worker
            ),
            default=now + self._lease_s,
        )
        lease_s = max(0.0, min(self._lease_s, until - now))
        end = now + lease_s * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_S
        self._lease_expires_at = max(self._lease_expires_at, end)
        return int(clock_ms + (now - read_at + lease_s) * 1000)

    def start_deadline_ms(self, run, now):
        """Returns the lease deadline to start a run with, None not to start it now.

        Between the choice of a run and its start, the run may have ended.
        """
        if run.state is not RunState.STARTING:
            return None
        return self.deadline_ms(now)

    def _authorized_until(self, run):
        """Returns the time until which a run may go on."""
        if run.is_orphan:
            return float("inf")
        authority = self._authority.until(run.partition, run.owner)
        return min(authority, run.expires_at)

    @property
    def should_renew_lease(self):
        """Whether the lease is to be renewed; not while it has to lapse."""
        return self._pending_lapse is None or any(
            run.on_worker for run in self._runs.values()
        )

    @property
    def availability(self):
        """What owners have to know at once: whether settled, and whether accepting."""
        accepting = self._announcement is not None and self._accepting
        return self.reconciled, accepting and self._unanswered_since is None

    @property
    def _accepting(self):
        return not (
            self.stopping
            or self._pending_lapse is not None
            or self._announcement.draining
            or not self.reconciled
        )

    def _free_resources(self):
        if any(run.is_orphan for run in self._runs.values()):
            return Resources()
        return self._announcement.capacity - resources_used(self._runs.values())

    # Work for the daemon

    def begin_due_starts(self, now):
        """Marks the runs that fit as starting, and returns them, most urgent first."""
        if (
            self._announcement is None
            or not self._accepting
            or self._is_unresponsive(now)
        ):
            return []
        free = self._free_resources()
        due = []
        waiting = [run for run in self._runs.values() if run.state is RunState.WAITING]
        for run in sorted(waiting, key=lambda run: run.due_at):
            if self._authorized_until(run) < now + 2 * STOP_MARGIN_S:
                continue
            if run.order.resources.fits(free):
                free = free - run.order.resources
                run.transition("send")
                due.append(run)
        return due

    def record_start_outcome(self, run, outcome, now):
        """Takes a worker's answer to a start in."""
        if run.key not in self._runs or run.state is not RunState.STARTING:
            return
        match outcome:
            case StartOutcome.STARTED:
                self._mark_running(run, now)
            case StartOutcome.FENCED | StartOutcome.LATE:
                self._event_log.count("banyanwheel.retries", f"start-{outcome.value}")
                run.transition("put-back")
            case _:
                self._end_locally(run, EndKind.REFUSED, f"worker-{outcome.value}", now)

    def record_unanswered_start(self, run, now):
        """Notes a start that may have been carried out, or may yet be."""
        if run.key in self._runs and run.state is RunState.STARTING:
            run.transition("lose-answer")
            run.resolving_fence = self.raise_fence()
            self._event_log("run:doubtful", task=str(run.order.task), run=run.order.run)
            self._event_log.count("banyanwheel.retries", "start-unanswered")

    @property
    def has_doubtful_start(self):
        """Whether a start is in doubt and the worker must be asked."""
        return any(run.state is RunState.DOUBTFUL for run in self._runs.values())

    def begin_due_stops(self, now):
        """Returns the runs that have to be stopped and are not being stopped yet."""
        due = []
        for run in self._runs.values():
            if run.state is not RunState.RUNNING:
                continue
            unauthorized = self._authorized_until(run) < now + STOP_MARGIN_S
            if run.is_orphan or run.stop_requested or unauthorized:
                if unauthorized and not (run.is_orphan or run.stop_requested):
                    expired = run.expires_at < now + STOP_MARGIN_S
                    reason = "expired" if expired else "owner-silent"
                    self._event_log(
                        "run:unauthorized", task=str(run.order.task), reason=reason
                    )
                    self._event_log.count("banyanwheel.stops", reason)
                run.transition("stop")
                due.append(run)
        return due

    def record_unanswered_stop(self, run):
        """Has a stop sent again."""
        if run.state is RunState.STOPPING:
            run.transition("lose-stop")

    def tick(self, now):
        """Does what is due; returns whether there is news for owners."""
        before = self.version
        silent = self._is_unresponsive(now)
        patience_s = UNRESPONSIVE_WAIT_S if silent else ROOM_WAIT_S
        for run in list(self._runs.values()):
            if run.state is RunState.WAITING and now - run.queued_at > patience_s:
                reason = "worker-silent" if silent else "no-room"
                self._end_locally(run, EndKind.REFUSED, reason, now)
            elif self._has_lapsed(run, now):
                self._end_locally(run, EndKind.LAPSED, "worker-silent", now)
        self._finish_lapse(now)
        return self.version != before

    def _has_lapsed(self, run, now):
        """Tells whether a run is over since the worker's lease is.

        A start that is on its way renews the lease; without an answer it is in doubt.
        """
        if not run.on_worker or run.state is RunState.STARTING:
            return False
        return bool(self._lease_expires_at) and now > self._lease_expires_at

    def _finish_lapse(self, now):
        if self._pending_lapse is None:
            return
        running = [run for run in self._runs.values() if run.on_worker]
        if running and now - self._pending_lapse.since > LAPSE_DRAIN_S:
            for run in running:
                run.stop_requested = True
        if running or now < self._lease_expires_at + LEASE_EXPIRY_MARGIN_S:
            return
        for key in self._pending_lapse.keys:
            self._ends.pop(key, None)
            self._add_tombstone(key)
            self._cursor.acknowledge(key)
        self._pending_lapse = None

    def _refuse_waiting(self, reason):
        for run in list(self._runs.values()):
            if run.state is RunState.WAITING:
                self._end_locally(run, EndKind.REFUSED, reason, run.queued_at)

    def stop(self):
        """Takes no new task from now on."""
        self.stopping = True
        self._refuse_waiting("runner-stopping")

    def stop_all(self):
        """Stops whatever runs; their ends tell the owners."""
        for run in self._runs.values():
            run.stop_requested = True
