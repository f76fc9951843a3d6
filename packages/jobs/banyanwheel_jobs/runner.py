"""The only door to one worker: what starts there, what runs, what has ended.

The runner counts the worker's room, acts for an owner only as long as it may, and
reports to each owner all that it holds for it. Times are seconds of a clock that also
counts suspended time.
"""

from collections import deque

from .authority import LEASE_SLACK, Authority
from .cursor import Cursor
from .model import TRANSIENT, EndKind, Resources
from .orders import Orders
from .ports import StartOutcome
from .runs import RunState, room_used
from .worker_lists import WorkerLists

__all__ = ["Runner"]

WAIT_FOR_ROOM_S = 0.4  # then the owner may place the task elsewhere
# Runs are stopped this long before their owner's authority ends, so that the lease,
# which ends with it, need not lapse for all other runs on the worker.
STOP_AHEAD_S = 0.25
TOMBSTONES = 4_000  # ended runs that are remembered, against late copies of orders
LAPSE_MARGIN_S = 0.15
LOOK_WAIT_S = 0.2  # for news; well within the lease, which each answer extends
LOOK_RETRY_S = 0.05
SILENT_WAIT_S = 0.1  # at a silent worker; of the 0.4 s in which a short job is on time
WORKER_SILENT_S = 0.3  # more than a look takes; then the lease is left to lapse
LIFE_SILENT_S = 3.2  # two heartbeats of a worker
SUPERSEDED_DRAIN_S = 1.5  # for runs to end before the lease lapses


class Runner(WorkerLists, Orders):
    """The runs on one worker, for all owners."""

    def __init__(self, partitions, lease_s, event_log):
        self._partitions = partitions
        self._lease_s = lease_s
        self._event_log = event_log
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
        self._unanswered_since = None  # when the first look without an answer was sent
        self._unanswered_looks = 0  # in a row
        self._heard_at = float("-inf")  # when the worker's life in use last spoke
        self._clock = (0, 0.0)  # the worker's ms, and when they were read
        self._news = set()  # owners who have not been told of an end
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
            or self._unanswered_since is not None
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

    def take_news(self):
        """Returns the owners whom ends since the last call concern."""
        news, self._news = self._news, set()
        return news

    def _add_news(self, partition, owner):
        if partition != TRANSIENT:
            owner = self._authority.owner(partition)
        self._news.add(owner)
        self.version += 1

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
                self._heard_at = now
                self._gone = False
                if announcement.draining:
                    self._refuse_waiting("draining")
            return False
        if known is not None and self._is_outdated(announcement, now):
            self._event_log(
                "worker:old-heartbeat", incarnation=announcement.incarnation
            )
            return False
        self._begin_life(announcement, now)
        return True

    def _is_outdated(self, announcement, now):
        """Tells whether a heartbeat is a delayed one of a former life.

        A later life may have an earlier birth where the clock was set back; then the
        life in use no longer speaks.
        """
        earlier = announcement.born_ms < self._announced.born_ms
        return earlier and now - self._heard_at < LIFE_SILENT_S

    def _begin_life(self, announcement, now):
        self._event_log("worker:new", incarnation=announcement.incarnation)
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
        self._worker_answered()
        self._heard_at = now
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

    def look_unanswered(self, sent_at):
        """Notes a look at the worker's lists that had no answer."""
        self._unanswered_looks += 1
        if self._unanswered_since is None:
            self._unanswered_since = sent_at

    def _worker_answered(self):
        self._unanswered_looks = 0
        self._unanswered_since = None

    def next_look(self):
        """Returns the pause before the next look, and how long it waits for news.

        One call may be lost alone: the first look without an answer is followed by
        another at once, which is to be answered at once.
        """
        if self._unanswered_looks:
            return (LOOK_RETRY_S if self._unanswered_looks > 1 else 0), 0
        return 0, LOOK_WAIT_S if self.settled else 0

    def _is_silent(self, now):
        since = self._unanswered_since
        return since is not None and now - since > WORKER_SILENT_S

    def deadline_ms(self, now):
        """Returns a lease deadline on the worker's clock, and notes it as given.

        It is no later than the authority behind any run that is there. For a silent
        worker it is None: its lease is left to lapse, since looks without an answer
        might extend it for good.
        """
        if self._is_silent(now):
            return None
        clock_ms, read_at = self._clock
        until = min(
            (self._until(run) for run in self._runs.values() if run.on_worker),
            default=now + self._lease_s,
        )
        lease_s = max(0.0, min(self._lease_s, until - now))
        end = now + lease_s * LEASE_SLACK + LAPSE_MARGIN_S
        self._lease_until = max(self._lease_until, end)
        return int(clock_ms + (now - read_at + lease_s) * 1000)

    def start_deadline_ms(self, run, now):
        """Returns the lease deadline to start a run with, None not to start it now.

        Between the choice of a run and its start, the run may have ended.
        """
        if run.state is not RunState.STARTING:
            return None
        return self.deadline_ms(now)

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

    @property
    def standing(self):
        """What owners have to know at once: whether settled, and whether accepting."""
        accepting = self._announced is not None and self._accepting
        return self.settled, accepting and self._unanswered_since is None

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
        if self._announced is None or not self._accepting or self._is_silent(now):
            return []
        free = self._free()
        due = []
        waiting = [run for run in self._runs.values() if run.state is RunState.WAITING]
        for run in sorted(waiting, key=lambda run: run.due):
            if self._until(run) < now + 2 * STOP_AHEAD_S:
                continue
            if run.order.resources.fits(free):
                free = free - run.order.resources
                run.step("send")
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
                self._event_log.count("banyanwheel.retries", f"start-{outcome.value}")
                run.step("put-back")
            case _:
                self._end_here(run, EndKind.REFUSED, f"worker-{outcome.value}", now)

    def start_unanswered(self, run, now):
        """Notes a start that may have been carried out, or may yet be."""
        if run.key in self._runs and run.state is RunState.STARTING:
            run.step("lose-answer")
            run.resolved_by = self.raise_fence()
            self._event_log("run:doubtful", task=str(run.order.task), run=run.order.run)
            self._event_log.count("banyanwheel.retries", "start-unanswered")

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
                    self._event_log(
                        "run:unauthorized", task=str(run.order.task), reason=reason
                    )
                    self._event_log.count("banyanwheel.stops", reason)
                run.step("stop")
                due.append(run)
        return due

    def stop_unanswered(self, run):
        """Has a stop sent again."""
        if run.state is RunState.STOPPING:
            run.step("lose-stop")

    def tick(self, now):
        """Does what is due; returns whether there is news for owners."""
        before = self.version
        silent = self._is_silent(now)
        patience_s = SILENT_WAIT_S if silent else WAIT_FOR_ROOM_S
        for run in list(self._runs.values()):
            if run.state is RunState.WAITING and now - run.queued_at > patience_s:
                reason = "worker-silent" if silent else "no-room"
                self._end_here(run, EndKind.REFUSED, reason, now)
            elif self._has_lapsed(run, now):
                self._end_here(run, EndKind.LAPSED, "worker-silent", now)
        self._finish_lapse(now)
        return self.version != before

    def _has_lapsed(self, run, now):
        """Tells whether a run is over since the worker's lease is.

        A start that is on its way renews the lease; without an answer it is in doubt.
        """
        if not run.on_worker or run.state is RunState.STARTING:
            return False
        return bool(self._lease_until) and now > self._lease_until

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
