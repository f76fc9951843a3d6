"""Decisions of an executor: the only door to its backend server.

It queues reservations, grants free slots in fair order, starts each task of a grant
once, and remembers what became of it. Times are seconds of a monotonic clock.
"""

import hashlib
from collections import defaultdict
from dataclasses import dataclass

import msgspec

from .charts import Chart
from .effects import Abort, Count, Execute, Peer, Send
from .fairness import FairQueue
from .messages import (
    CancelTasks,
    Grant,
    Load,
    QueryTasks,
    ReservationQueued,
    ReservationRefused,
    Reserve,
    StartRefused,
    StartTasks,
    TaskResult,
    TaskResults,
)
from .models import FlowKey, Reason, TaskOutcome
from .policy import Policy
from .timers import Timers

__all__ = ["Executor", "ExecutorLimits"]

DEFAULT_RUN_MS = 100.0
LEARNING_RATE = 0.1  # weight of the newest run time in the moving average
REFUSAL_RETRY_MS = 1_000


@dataclass(frozen=True, slots=True)
class ExecutorLimits:
    """Bounds of an executor's tables; times in seconds."""

    grant_validity: float = 0.25
    retention: float = 240.0
    reservation_lifetime: float = 5.0
    notice_ms: int = 250  # a shorter wait is not worth a message
    max_tasks: int = 100_000


@dataclass(slots=True)
class _Demand:
    """What one coordinator wants for one flow."""

    flow: FlowKey
    owner: Peer
    sequence: int = -1
    upto: int = 0
    granted: int = 0

    @property
    def open(self):
        return max(0, self.upto - self.granted)


@dataclass(slots=True)
class _GrantRecord:
    owner: Peer
    flow: FlowKey
    slots: int
    state: str
    refusal: Reason | None = None


@dataclass(slots=True)
class _TaskRecord:
    owner: Peer
    flow: FlowKey
    grant: int
    attempt: int
    outcome: TaskOutcome = TaskOutcome.RUNNING
    result: TaskResult | None = None
    aborted: bool = False


class Executor:
    """Grants slots, starts tasks at most once, and answers for them."""

    def __init__(self, identity, limits=None, policy=None):
        self._identity = identity
        self._limits = limits or ExecutorLimits()
        self._policy = policy or Policy()
        self._chart = Chart.load("grant")
        self._backend_chart = Chart.load("backend_server")
        self._backend = self._backend_chart.initial
        self._services = frozenset()
        self._fair = FairQueue(0)
        self._demands = {}
        self._grants = {}
        self._next_grant = 0
        self._tasks = {}
        self._jobs = defaultdict(set)
        self._held = 0
        self._running = 0
        self._run_ms = {}
        self._timers = Timers()
        self._stopping = False
        self._drained = False
        self.pace = 1.0

    @classmethod
    def from_settings(cls, identity, settings):
        """Makes an executor with the bounds that an agent's settings name."""
        limits = ExecutorLimits(
            retention=settings.retention_ms / 1_000, max_tasks=settings.max_tasks
        )
        return cls(identity, limits)

    @property
    def backend_state(self):
        """State of the chart ``backend_server``."""
        return self._backend

    @property
    def serving(self):
        """Whether new work is taken."""
        return self._refusal is None

    @property
    def services(self):
        """Services that the backend server offers."""
        return self._services

    @property
    def slots(self):
        """Slots of the backend server, 0 before it has announced itself."""
        return self._fair.slots

    @property
    def free_slots(self):
        """Slots neither granted nor running."""
        return max(0, self._fair.slots - self._held - self._running)

    @property
    def running(self):
        """Tasks sent to the backend server and not answered yet."""
        return self._running

    @property
    def idle(self):
        """Whether no task runs and no grant is held."""
        return not self._running and not self._held

    @property
    def load(self):
        """The load to send along with messages."""
        # Free slots beside waiting work are headroom, which that work may not use.
        waits = any(demand.open for demand in self._demands.values())
        free = self.free_slots if self.serving and not waits else 0
        return Load(free, int(self._queued_ms()), round(self.pace, 3))

    @property
    def next_tick(self):
        """When :meth:`tick` is wanted next, or None."""
        return self._timers.next_due

    @property
    def _refusal(self):
        if self._stopping or self._backend == "leaving":
            return Reason.STOPPING
        if self._drained:
            return Reason.DRAINING
        if self._backend != "serving":
            return Reason.NO_WORKER
        return None

    def configure(self, policy, drained, now):
        """Puts the operators' weights, bounds and drains in force."""
        self._policy = policy
        self._drained = drained
        if drained:
            return self._refuse_all()
        return self._dispatch(now)

    def announced(self, announcement, now):
        """Takes in what the backend server says of itself."""
        self._services = frozenset(announcement.services)
        self._fair.slots = min(announcement.slots, announcement.connections)
        if announcement.leaving:
            if self._backend_chart.allows(self._backend, "leave"):
                self._backend = self._backend_chart.next(self._backend, "leave")
            self._timers.cancel(("backend",))
            return self._refuse_all()
        event = "return" if self._backend == "leaving" else "announce"
        self._backend = self._backend_chart.next(self._backend, event)
        self._timers.set(("backend",), now + announcement.lifetime_ms / 1_000)
        return self._dispatch(now)

    def stop(self):
        """Refuses all new work from now on; running tasks go on."""
        self._stopping = True
        return self._refuse_all()

    def handle(self, sender, message, now):
        """Takes a coordinator's message and returns the effects."""
        match message:
            case Reserve():
                return self._reserve(sender, message, now)
            case StartTasks():
                return self._start(sender, message, now)
            case QueryTasks():
                return self._query(sender, message, now)
            case CancelTasks(job_id=job_id):
                return self._cancel(sender, job_id)
        return []

    def finished(self, result, now):
        """Takes the result of an :class:`Execute` effect."""
        key = (result.job_id, result.index)
        record = self._tasks[key]
        result = msgspec.structs.replace(result, grant=record.grant)
        record.outcome = result.outcome
        record.result = result
        self._running -= 1
        self._fair.give_back(record.flow)
        if result.outcome is TaskOutcome.DONE:
            self._learn(record.flow, result.run_ms)
        self._timers.set(("task", key), now + self._limits.retention)
        reply = Send(record.owner, TaskResults((result,)))
        return [reply, *self._dispatch(now)]

    def tick(self, now):
        """Acts on the deadlines that have come."""
        effects = []
        for key in self._timers.due(now):
            match key:
                case ("grant", number):
                    self._lapse(number, now)
                case ("forget-grant", number):
                    del self._grants[number]
                case ("task", task_key):
                    self._forget_task(task_key)
                case ("demand", demand_key):
                    self._demands.pop(demand_key, None)
                case ("backend",):
                    self._backend = self._backend_chart.next(self._backend, "expire")
                    effects += self._refuse_all()
        self._fair.forget_idle(now)
        return effects + self._dispatch(now)

    def task_rows(self):
        """Rows for operators: the tasks that run here."""
        return [
            {
                "job": job_id,
                "task": index,
                "worker": self._identity.name,
                "state": str(record.outcome),
                **msgspec.structs.asdict(record.flow),
            }
            for (job_id, index), record in self._tasks.items()
            if record.outcome is TaskOutcome.RUNNING
        ]

    def queue_rows(self):
        """Rows for operators: the reservations that wait here, and why."""
        return [
            {
                "worker": self._identity.name,
                **msgspec.structs.asdict(demand.flow),
                "coordinator": demand.owner.name,
                "waiting": demand.open,
                "held": self._fair.occupied(demand.flow),
                "why": self._waiting_reason(demand.flow),
            }
            for demand in self._demands.values()
            if demand.open
        ]

    # Reservations and grants.

    def _reserve(self, sender, message, now):
        refusal = self._refuse_reservation(message.flow)
        key = (message.flow, sender)
        demand = self._demands.get(key)
        if refusal is not None:
            granted = demand.granted if demand else 0
            return self._refuse(sender, message.flow, refusal, granted)
        if demand is None:
            demand = _Demand(message.flow, sender, granted=message.granted)
            self._demands[key] = demand
        self._timers.set(("demand", key), now + self._limits.reservation_lifetime)
        repeated = message.upto == demand.upto
        if message.sequence >= demand.sequence:
            demand.sequence = message.sequence
            demand.upto = message.upto
        self._fair.touch(message.flow, now)
        if message.flow not in self._run_ms:
            self._run_ms[message.flow] = float(message.declared_ms)
        return self._answer_reservation(demand, repeated, now)

    def _answer_reservation(self, demand, repeated, now):
        wanted = demand.open
        effects = self._dispatch(now)
        wait_ms = int(self.expected_wait_ms(demand.flow)) if demand.open else 0
        if wait_ms > self._limits.notice_ms or (demand.open and repeated):
            queued = ReservationQueued(demand.flow, wait_ms, demand.granted)
            effects.append(Send(demand.owner, queued))
        elif not wanted and demand.upto < demand.granted:
            queued = ReservationQueued(demand.flow, 0, demand.granted)
            effects.append(Send(demand.owner, queued))
        return effects

    def _refuse_reservation(self, flow):
        if self._refusal is not None:
            return self._refusal
        if flow.service not in self._services:
            return Reason.UNKNOWN_SERVICE
        if not self._quota_slots(flow):
            return Reason.QUOTA
        waiting = sum(d.open for d in self._demands.values() if d.flow == flow)
        if waiting >= self._policy.flow(flow).max_queue:
            return Reason.QUEUE_FULL
        if len(self._tasks) >= self._limits.max_tasks:
            return Reason.TABLE_FULL
        return None

    def _refuse(self, owner, flow, reason, granted):
        retry_ms = REFUSAL_RETRY_MS
        if reason is Reason.QUEUE_FULL:
            retry_ms = int(self.expected_wait_ms(flow))
        refusal = ReservationRefused(flow, reason, retry_ms, granted)
        return [Send(owner, refusal), Count("reservations_refused", reason)]

    def _refuse_all(self):
        effects = []
        reason = self._refusal or Reason.NO_WORKER
        for demand in self._demands.values():
            if demand.open:
                demand.upto = demand.granted
                effects += self._refuse(
                    demand.owner, demand.flow, reason, demand.granted
                )
        return effects

    def _dispatch(self, now):
        """Grants free slots, one at a time in fair order, sent per coordinator."""
        if not self.serving:
            return []
        picked = {}
        while self.free_slots:
            demand = self._next_demand(now)
            if demand is None:
                break
            self._take_slot(demand)
            key = (demand.flow, demand.owner)
            picked[key] = picked.get(key, 0) + 1
        return [
            self._grant(self._demands[key], slots, now) for key, slots in picked.items()
        ]

    def _next_demand(self, now):
        waiting = defaultdict(list)
        for demand in self._demands.values():
            if demand.open:
                waiting[demand.flow].append(demand)
        allowed = [flow for flow in waiting if self._may_grow(flow, now)]
        if not allowed:
            return None
        flow = self._fair.choose(allowed)
        return min(waiting[flow], key=lambda demand: demand.granted)

    def _may_grow(self, flow, now):
        limit = self._fair.limit(flow, self._policy.headroom_slots, now)
        if self._fair.occupied(flow) >= limit:
            return False
        quota = self._quota_slots(flow)
        if quota >= self._fair.slots:
            return True
        return self._fair.occupied_by(flow.subsidiary) < quota

    def _quota_slots(self, flow):
        """The subsidiary's slots here; a fraction is kept by a share of the workers.

        Each worker rounds up or down by a hash, so the fleet holds the quota on
        average with no counter that all share.
        """
        exact = self._policy.flow(flow).quota * self._fair.slots
        whole = int(exact)
        text = f"{flow.subsidiary}/{self._identity.name}".encode()
        digest = hashlib.blake2b(text, digest_size=4).digest()
        fraction = int.from_bytes(digest, "big") / 2**32
        return whole + (fraction < exact - whole)

    def _take_slot(self, demand):
        weight = self._policy.flow(demand.flow).weight
        self._fair.take(demand.flow, self._expected_ms(demand.flow), weight)
        demand.granted += 1
        self._held += 1

    def _grant(self, demand, slots, now):
        number = self._next_grant
        self._next_grant += 1
        self._grants[number] = _GrantRecord(
            demand.owner, demand.flow, slots, self._chart.initial
        )
        self._timers.set(("grant", number), now + self._limits.grant_validity)
        validity_ms = int(self._limits.grant_validity * 1_000)
        message = Grant(number, demand.flow, slots, demand.granted, validity_ms)
        return Send(demand.owner, message)

    def _close_grant(self, number, event, now):
        """Ends a held grant and frees its slots; a late start is refused."""
        record = self._grants[number]
        record.state = self._chart.next(record.state, event)
        self._held -= record.slots
        self._timers.cancel(("grant", number))
        self._timers.set(("forget-grant", number), now + self._limits.retention)
        return record

    def _lapse(self, number, now):
        record = self._close_grant(number, "lapse", now)
        record.refusal = Reason.GRANT_LAPSED
        self._free(record.flow, record.slots)

    def _free(self, flow, slots):
        for _ in range(slots):
            self._fair.give_back(flow)

    # Starts and questions.

    def _start(self, sender, message, now):
        record = self._grants.get(message.grant)
        if record is None or record.owner != sender:
            return self._forgotten(sender, message)
        if record.state == "used":
            keys = [(task.job_id, task.index) for task in message.tasks]
            return self._report(sender, message.grant, keys)
        if record.state == "held" and self._timers.passed(
            ("grant", message.grant), now
        ):
            self._lapse(message.grant, now)
        if record.state == "held" and self._refusal is not None:
            self._close_grant(message.grant, "revoke", now)
            record.refusal = self._refusal
            self._free(record.flow, record.slots)
        if record.state != "held":
            if not message.tasks:
                return self._dispatch(now)
            refused = StartRefused(message.grant, record.refusal)
            return [Send(sender, refused), Count("starts_refused", record.refusal)]
        return self._use(sender, message, now)

    def _use(self, sender, message, now):
        record = self._close_grant(message.grant, "use", now)
        effects = []
        started = 0
        for task in message.tasks[: record.slots]:
            key = (task.job_id, task.index)
            known = self._tasks.get(key)
            if known is not None and not _may_start(known, task):
                known.grant = message.grant
                effects += self._report(sender, message.grant, [key])
                continue
            self._tasks[key] = _TaskRecord(
                sender, record.flow, message.grant, task.attempt
            )
            self._timers.cancel(("task", key))
            self._jobs[task.job_id].add(key)
            started += 1
            effects.append(Execute(task))
        self._running += started
        self._free(record.flow, record.slots - started)
        return effects + self._dispatch(now)

    def _forgotten(self, sender, message):
        results = tuple(
            TaskResult(
                task.job_id,
                task.index,
                TaskOutcome.UNKNOWN,
                reason=Reason.GRANT_FORGOTTEN,
                grant=message.grant,
            )
            for task in message.tasks
        )
        if not results:
            return []
        count = Count("starts_refused", Reason.GRANT_FORGOTTEN)
        return [Send(sender, TaskResults(results)), count]

    def _query(self, sender, message, now):
        record = self._grants.get(message.grant)
        if record is not None and record.owner == sender and record.state == "held":
            self._close_grant(message.grant, "revoke", now)
            record.refusal = Reason.GRANT_REVOKED
            self._free(record.flow, record.slots)
            return [*self._report(sender, message.grant, message.tasks)] + (
                self._dispatch(now)
            )
        return self._report(sender, message.grant, message.tasks)

    def _report(self, sender, grant, keys):
        """Answers what became of tasks that were sent under a grant."""
        results = tuple(self._state_of(sender, grant, tuple(key)) for key in keys)
        return [Send(sender, TaskResults(results))] if results else []

    def _state_of(self, sender, grant, key):
        job_id, index = key
        task = self._tasks.get(key)
        if task is not None and task.owner == sender and task.grant == grant:
            result = task.result or TaskResult(job_id, index, TaskOutcome.RUNNING)
            return msgspec.structs.replace(result, grant=grant)
        record = self._grants.get(grant)
        outcome, reason = TaskOutcome.UNKNOWN, Reason.GRANT_FORGOTTEN
        if record is not None and record.owner == sender and record.state != "used":
            outcome, reason = TaskOutcome.NOT_STARTED, record.refusal
        return TaskResult(job_id, index, outcome, reason=reason, grant=grant)

    def _cancel(self, sender, job_id):
        effects = []
        for key in sorted(self._jobs.get(job_id, ())):
            record = self._tasks[key]
            running = record.outcome is TaskOutcome.RUNNING
            if running and record.owner == sender and not record.aborted:
                record.aborted = True
                effects.append(Abort(*key))
        return effects

    def _forget_task(self, key):
        self._tasks.pop(key, None)
        keys = self._jobs.get(key[0])
        if keys is not None:
            keys.discard(key)
            if not keys:
                del self._jobs[key[0]]

    # Estimates.

    def expected_wait_ms(self, flow):
        """Milliseconds until a new task of this flow would get a slot."""
        if not self._fair.slots:
            return REFUSAL_RETRY_MS
        waiting = sum(d.open for d in self._demands.values() if d.flow == flow)
        share = self._policy.flow(flow).weight / self._active_weight(flow)
        slots = max(1.0, self._fair.slots * share)
        return (waiting + 0.5) * self._expected_ms(flow) / slots

    def _active_weight(self, flow):
        flows = {demand.flow for demand in self._demands.values() if demand.open}
        flows.add(flow)
        return sum(self._policy.flow(active).weight for active in flows)

    def _queued_ms(self):
        if not self._fair.slots:
            return REFUSAL_RETRY_MS
        total = sum(d.open * self._expected_ms(d.flow) for d in self._demands.values())
        return total / self._fair.slots

    def _expected_ms(self, flow):
        return max(1.0, self._run_ms.get(flow, DEFAULT_RUN_MS))

    def _learn(self, flow, run_ms):
        old = self._run_ms.get(flow, float(run_ms))
        self._run_ms[flow] = old + LEARNING_RATE * (run_ms - old)

    def _waiting_reason(self, flow):
        if self._refusal is not None:
            return str(self._refusal)
        if not self.free_slots:
            return "every slot is taken"
        if self._fair.occupied_by(flow.subsidiary) >= self._quota_slots(flow):
            return "the subsidiary holds its quota of slots"
        return "the flow leaves the headroom slots free for others"


def _may_start(known, task):
    """Tells whether a task that is known here may be started again."""
    if known.outcome is TaskOutcome.NOT_STARTED:
        return True
    finished = known.outcome is not TaskOutcome.RUNNING
    return finished and task.attempt > known.attempt
