"""Starts, tracks and stops the runs on one worker; nothing else calls that worker.

The runner accounts for the worker's free resources, acts for an owner only while it is
authorized to, and reports to each owner all of its runs and ends. Times are seconds of
a clock that also counts suspended time.
"""

from collections import deque

from ..authority import Authority
from ..model import TRANSIENT_PARTITION, EndKind, Resources
from ..outcomes import EVACUATED
from ..ports import StartOutcome
from .ack_cursor import AckCursor
from .lease import MAX_LEASE_S, Lease
from .overdue import Overdue
from .owner_messages import OwnerMessages
from .runs import RunState, resources_used
from .slow_start import SlowStart
from .worker_reconciliation import WorkerReconciliation

__all__ = ["Runner"]

# Runs are stopped this long before their owner's authority ends. The worker's lease
# ends with that authority, and its lapse would end all other runs on the worker too.
STOP_MARGIN_S = 0.25
MAX_TOMBSTONES = 4_000  # ended runs remembered, to refuse late copies of assignments
POLL_WAIT_S = 0.2  # time an answer is held; well within the lease, which it extends
POLL_RETRY_S = 0.05
# Longer than a poll takes; afterwards the lease is no longer renewed.
WORKER_TIMEOUT_S = 0.3
FENCE_STEP_MS = 500  # doubled at each rejection of the fence
INCARNATION_TIMEOUT_S = 3.2  # two heartbeat intervals of a worker


class Runner(WorkerReconciliation, OwnerMessages, Lease, Overdue):
    """Decides on the runs of one worker for all owners."""

    def __init__(self, partitions, lease_s, event_log):
        self._partitions = partitions
        self._lease_s = min(lease_s, MAX_LEASE_S)
        self._event_log = event_log
        self._authority = Authority()
        self._worker_heartbeat = None  # the newest, or None
        self._worker_gone = False
        self._leave_announced = False  # by this incarnation or an earlier one
        self._successor = ""  # the incarnation that has answered in the worker's place
        self._runs = {}  # TrackedRun by (task, run)
        self._ends = {}  # UnacknowledgedEnd by (task, run)
        self._tombstone_queue = deque(maxlen=MAX_TOMBSTONES)
        self._tombstones = set()
        self._cursor = AckCursor()
        # The highest acknowledgement that the worker has answered.
        self._acknowledged_at_worker = 0
        self._pending_lapse = None
        self._slowness = 0.0
        self._lease_until = 0.0  # the latest that the worker was given
        self._lease_expires_at = 0.0  # the latest possible time
        self._unanswered_since = None  # when the first unanswered poll was sent
        self._unanswered_polls = 0  # in a row
        # Time of the last message from the worker's current incarnation.
        self._last_seen_at = float("-inf")
        self._worker_clock = (0, 0.0)  # ms on its clock, and when read
        self._fence_step_ms = FENCE_STEP_MS
        self._owners_to_notify = set()  # of ends not reported yet
        self._slow_start = SlowStart()
        self.evacuated = False
        self.reconciled = False
        self.stopping = False
        self.fence = 0
        self.version = 0  # increases with each end

    @property
    def worker(self):
        """The newest WorkerHeartbeat of the current incarnation, or None."""
        return self._worker_heartbeat

    @property
    def acknowledged(self):
        """The number up to which the worker may forget its ends."""
        return self._cursor.acknowledged

    @property
    def needs_polling(self):
        """Whether the worker's lists have to be polled now."""
        return not self._worker_gone and (
            not self.reconciled
            or self._leave_announced
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
        """The number of ends that their owners have not acknowledged."""
        return len(self._ends)

    def pop_owners_to_notify(self):
        """Returns the owners of the runs that ended since the last call."""
        owners, self._owners_to_notify = self._owners_to_notify, set()
        return owners

    def _add_owner_to_notify(self, partition, owner):
        if partition != TRANSIENT_PARTITION:
            owner = self._authority.owner(partition)
        self._owners_to_notify.add(owner)
        self.version += 1

    @property
    def busy(self):
        """Whether there are runs or unacknowledged ends."""
        return bool(self._runs or self._ends)

    # The worker

    def announce(self, heartbeat, now):
        """Processes a worker heartbeat; returns whether it starts a new incarnation."""
        known = self._worker_heartbeat
        if known is not None and heartbeat.incarnation == known.incarnation:
            if heartbeat.sequence > known.sequence:
                self._worker_heartbeat = heartbeat
                self._last_seen_at = now
                self._worker_gone = self._leave_announced = False
                if heartbeat.draining:
                    self._refuse_waiting("draining")
            return False
        if known is not None and self._is_outdated(heartbeat, now):
            self._event_log("worker:old-heartbeat", incarnation=heartbeat.incarnation)
            return False
        self._begin_incarnation(heartbeat, now)
        return True

    def _is_outdated(self, heartbeat, now):
        """Returns whether a heartbeat is a delayed one of an earlier incarnation.

        After a clock is set back, a later incarnation may have an earlier birth time;
        the current incarnation then sends nothing any more.
        """
        if heartbeat.incarnation == self._successor:
            return False
        earlier = heartbeat.born_ms < self._worker_heartbeat.born_ms
        return earlier and now - self._last_seen_at < INCARNATION_TIMEOUT_S

    def _begin_incarnation(self, heartbeat, now):
        self._event_log("worker:new", incarnation=heartbeat.incarnation)
        first = self._worker_heartbeat is None
        for run in list(self._runs.values()):
            self._end_locally(run, EndKind.LAPSED, "worker-restarted", now)
        for entry in self._ends.values():
            entry.number = None
        self._worker_heartbeat = heartbeat
        self._worker_gone = self._leave_announced = False
        self._cursor = AckCursor()
        self._acknowledged_at_worker = 0
        self._pending_lapse = None
        # An earlier process of this runner may have renewed the lease until now.
        self._lease_until = now + self._lease_s if first else 0.0
        self._lease_expires_at = self._lease_end(now, self._lease_s) if first else 0.0
        self._reset_unanswered_polls()
        self._fence_step_ms = FENCE_STEP_MS
        self._last_seen_at = now
        self._slowness = 0.0
        self._worker_clock = (heartbeat.clock_ms, now)
        self.raise_fence()
        self.reconciled = False

    def record_leave_announced(self):
        """Has the worker polled, since a message says that it has left.

        The message may be from an earlier incarnation, so that it ends no runs.
        """
        self._leave_announced = True

    def record_refused_poll(self, now):
        """Records that nothing listens at the worker's address; returns if it has left.

        That is so if its leave was announced: its process and all runs have ended.
        """
        if not self._leave_announced:
            return False
        self.record_worker_left(now)
        return True

    def record_worker_left(self, now):
        """Ends all runs as lapsed, since the worker has left."""
        self._lose_worker("worker-left", now)

    def record_worker_replaced(self, incarnation, now):
        """Ends all runs as lapsed, since another incarnation answers at the address.

        It gets no calls before its first heartbeat, which tells what it can run.
        """
        self._event_log("worker:replaced", incarnation=incarnation)
        self._successor = incarnation
        self._lose_worker("worker-restarted", now)

    def _lose_worker(self, reason, now):
        self._worker_gone = True
        self._leave_announced = False
        self.reconciled = True
        self._reset_unanswered_polls()
        for run in list(self._runs.values()):
            self._end_locally(run, EndKind.LAPSED, reason, now)

    def raise_fence(self):
        """Raises the fence; a worker that has seen it rejects all earlier requests.

        It is the worker's time, Unix ms by its steady clock, so that it rises over the
        worker's incarnations and over processes of this runner as well.
        """
        worker_time_ms = self._worker_heartbeat.born_ms + self._worker_clock[0]
        self.fence = max(self.fence + 1, worker_time_ms)
        return self.fence

    def record_fenced_poll(self, fence):
        """Raises the fence further, since the worker has seen one above ``fence``.

        An earlier process of this runner used it, before the worker's wall clock was
        set back.
        """
        if fence == self.fence:
            self._fence_step_ms *= 2
            self.fence += self._fence_step_ms

    def record_unanswered_poll(self, sent_at):
        """Records a poll of the worker's lists that was not answered."""
        self._unanswered_polls += 1
        if self._unanswered_since is None:
            self._unanswered_since = sent_at

    def _reset_unanswered_polls(self):
        self._unanswered_polls = 0
        self._unanswered_since = None

    def next_poll(self):
        """Returns the pause before the next poll and how long its answer may be held.

        Both are in seconds. A single call may get lost, so the first unanswered poll
        is repeated immediately, without a wait at the worker.
        """
        if self._unanswered_polls:
            return (POLL_RETRY_S if self._unanswered_polls > 1 else 0), 0
        return 0, POLL_WAIT_S if self.reconciled else 0

    def _is_unresponsive(self, now):
        since = self._unanswered_since
        return since is not None and now - since > WORKER_TIMEOUT_S

    @property
    def availability(self):
        """Whether reconciled and whether accepting; owners must know immediately."""
        accepting = self._worker_heartbeat is not None and self._accepting
        return self.reconciled, accepting and self._unanswered_since is None

    @property
    def _accepting(self):
        return not (
            self.stopping
            or self.evacuated
            or self._worker_gone
            or self._pending_lapse is not None
            or self._worker_heartbeat.draining
            or not self.reconciled
        )

    def _free_resources(self, now):
        if any(run.is_orphan for run in self._runs.values()):
            return Resources()
        room = self._slow_start.limit(self._worker_heartbeat.capacity, now)
        return room - resources_used(self._runs.values())

    def set_evacuated(self, evacuated, now):
        """Follows the evacuation of the data centre; refuses what waits for a start.

        Once it is lifted, the worker may be cold and starts slowly.
        """
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        if evacuated:
            self._slow_start.cancel()
            self._refuse_waiting(EVACUATED)
        else:
            self._slow_start.begin(self._slowness, now)

    # Starts and stops

    def begin_due_starts(self, now):
        """Marks the runs that fit as starting, and returns them, most urgent first."""
        if (
            self._worker_heartbeat is None
            or not self._accepting
            or self._is_unresponsive(now)
        ):
            return []
        free = self._free_resources(now)
        due = []
        waiting = [run for run in self._runs.values() if run.state is RunState.WAITING]
        for run in sorted(waiting, key=lambda run: run.due_at):
            if not self._has_time_to_start(run, now):
                continue
            if run.order.resources.fits(free):
                free = free - run.order.resources
                run.transition("send")
                due.append(run)
        return due

    def record_start_outcome(self, run, outcome, now):
        """Processes the worker's answer to a start."""
        if run.key not in self._runs or run.state is not RunState.STARTING:
            return
        match outcome:
            case StartOutcome.STARTED:
                self._mark_running(run, now)
            case StartOutcome.FENCED | StartOutcome.LATE:
                self._event_log.count("banyanwheel.retries", f"start-{outcome.value}")
                if run.stop_requested:
                    self._end_locally(run, EndKind.STOPPED, "stopped", now)
                elif self.evacuated:
                    self._end_locally(run, EndKind.REFUSED, EVACUATED, now)
                else:
                    run.transition("put-back")
            case _:
                self._end_locally(run, EndKind.REFUSED, f"worker-{outcome.value}", now)

    def record_unanswered_start(self, run, now):
        """Marks a start as doubtful: it may have taken effect, or may still do so."""
        if run.key in self._runs and run.state is RunState.STARTING:
            run.transition("lose-answer")
            run.resolving_fence = self.raise_fence()
            self._event_log("run:doubtful", task=str(run.order.task), run=run.order.run)
            self._event_log.count("banyanwheel.retries", "start-unanswered")

    @property
    def has_doubtful_start(self):
        """Whether a start is in doubt, so that the worker must be polled."""
        return any(run.state is RunState.DOUBTFUL for run in self._runs.values())

    def begin_due_stops(self, now):
        """Marks the running runs that must stop as stopping, and returns them."""
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
        """Lets :meth:`begin_due_stops` return the run again."""
        if run.state is RunState.STOPPING:
            run.transition("lose-stop")

    def stop(self):
        """Refuses waiting runs and all later assignments."""
        self.stopping = True
        self._refuse_waiting("runner-stopping")

    def stop_all(self, now):
        """Requests the stop of all runs; owners learn of it from the ends."""
        for run in self._runs.values():
            self._request_stop(run, now)
