"""Decisions of a coordinator: it owns whole jobs, from their ids to their answers.

Times are seconds of a monotonic clock.
"""

from collections import defaultdict
from dataclasses import dataclass

import msgspec

from .blocks import BlockTable, IdStatus
from .budget import RetryBudget
from .effects import Count, Peer, Send
from .errors import InvalidIdError
from .ids import JobId
from .jobs import Inheritance, Job, Kept, failed, refused
from .messages import (
    BlockRequest,
    CancelJob,
    CancelTasks,
    Grant,
    Handover,
    HandoverTaken,
    JobAccepted,
    JobAnswer,
    QueryJob,
    QueryTasks,
    ReservationQueued,
    ReservationRefused,
    Reserve,
    StartRefused,
    StartTasks,
    SubmitJob,
    TaskResults,
    TaskStart,
)
from .models import JobState, Reason, TaskOutcome
from .placement import Candidate
from .policy import Policy
from .reservations import FlowQueue, Reservation
from .timers import Timers

__all__ = ["Coordinator", "CoordinatorLimits"]

HANDOVER_PART = 500  # answers in one message
QUEUE_RETRY_MS = 1_000


@dataclass(frozen=True, slots=True)
class CoordinatorLimits:
    """Bounds of a coordinator's tables; times in seconds."""

    retention: float = 240.0
    block_lifetime: float = 120.0
    max_blocks: int = 2_000
    max_jobs: int = 50_000
    max_answer_bytes: int = 64 * 2**20
    max_attempts: int = 3
    partners: int = 32
    lost_worker_patience: float = 2.0
    move_wait_ms: int = 20
    reservation_refresh: float = 1.5


class Coordinator:
    """Queues tasks, places them late, and answers each job once."""

    def __init__(self, identity, members, placement, limits=None, policy=None):
        self._identity = identity
        self._members = members
        self._placement = placement
        self._limits = limits or CoordinatorLimits()
        self._policy = policy or Policy()
        self._blocks = BlockTable(self._limits.block_lifetime, self._limits.max_blocks)
        self._budget = RetryBudget()
        self._jobs = {}
        self._kept = {}
        self._kept_bytes = 0
        self._handed = {}
        self._flows = {}
        self._sent = defaultdict(dict)
        self._timers = Timers()
        self._stopping = False

    @classmethod
    def from_settings(cls, identity, members, placement, settings):
        """Makes a coordinator with the bounds that an agent's settings name."""
        retention = settings.retention_ms / 1_000
        limits = CoordinatorLimits(
            retention=retention,
            block_lifetime=retention / 2,
            max_jobs=settings.max_jobs,
        )
        return cls(identity, members, placement, limits)

    @property
    def idle(self):
        """Whether every job is answered."""
        return not self._jobs

    @property
    def open_jobs(self):
        """Jobs not answered yet."""
        return len(self._jobs)

    @property
    def next_tick(self):
        """When :meth:`tick` is wanted next, or None."""
        return self._timers.next_due

    @property
    def awaited(self):
        """Names of executors from which something is awaited."""
        names = {peer.name for peer, grants in self._sent.items() if grants}
        for queue in self._flows.values():
            names.update(n for n, r in queue.reservations.items() if r.open)
        return names - {self._identity.name}

    def configure(self, policy):
        """Puts the operators' weights and bounds in force."""
        self._policy = policy

    def stop(self):
        """Refuses new jobs from now on; those accepted go on."""
        self._stopping = True

    def handle(self, sender, message, now):  # noqa: C901
        """Takes a message and returns the effects."""
        match message:
            case SubmitJob():
                return self._submit(sender, message, now)
            case Grant():
                return self._granted(sender, message, now)
            case TaskResults(results=results):
                return self._results(sender, results, now)
            case ReservationQueued():
                return self._queued(sender, message, now)
            case ReservationRefused():
                return self._reservation_refused(sender, message, now)
            case StartRefused():
                return self._start_refused(sender, message, now)
            case BlockRequest(size=size):
                size = 0 if self._stopping else size
                return [Send(sender, self._blocks.issue(size, now))]
            case QueryJob(job_id=job_id):
                return self._query(sender, job_id, now)
            case CancelJob(job_id=job_id):
                return self._cancel(sender, job_id, now)
            case Handover():
                return self._take_over(sender, message, now)
        return []

    def tick(self, now):
        """Acts on the deadlines that have come."""
        effects = []
        for key in self._timers.due(now):
            match key:
                case ("job", job_id):
                    effects += self._deadline(job_id, now)
                case ("kept", job_id):
                    self._kept_bytes -= self._kept.pop(job_id).size
                case ("handed", peer):
                    del self._handed[peer]
                case ("place", flow):
                    effects += self._place(flow, now)
                case ("refresh", flow):
                    effects += self._refresh(flow, now)
                case ("lost", peer):
                    effects += self._give_up(peer, Reason.WORKER_LOST, now)
        return effects

    # Submission.

    def _submit(self, sender, message, now):
        job_id = message.job_id
        known = self._known_answer(sender, message, now)
        if known is not None:
            return known
        refusal = self._admission(message)
        if refusal is not None:
            return self._refuse(sender, job_id, *refusal)
        job = Job.from_submission(message, now)
        job.waiters.add(sender)
        self._jobs[job_id] = job
        self._timers.set(("job", job_id), job.deadline_at)
        if job.spec.idempotent:
            self._budget.earn()
        queue = self._queue(job.spec.flow)
        for index in range(len(job.tasks)):
            queue.add(job.spec.needs, (job_id, index))
        return self._place(job.spec.flow, now)

    def _known_answer(self, sender, message, now):
        """Answers a repeat, or an id on which nothing can be run; else None."""
        job_id, fingerprint = message.job_id, message.fingerprint
        job = self._jobs.get(job_id)
        kept = self._find_kept(job_id)
        if (job or kept) and (job or kept).fingerprint != fingerprint:
            detail = "the id belongs to another submission; this one was not run"
            answer = failed(job_id, Reason.ID_CONFLICT, detail, outcome=None)
            return [Send(sender, JobAnswer(answer)), _refusal(Reason.ID_CONFLICT)]
        if job is not None:
            job.waiters.add(sender)
            return [Send(sender, JobAccepted(job_id))]
        if kept is not None:
            return [Send(sender, JobAnswer(kept.answer))]
        answer = self._answer_without_job(job_id, now)
        return None if answer is None else self._tell(sender, answer)

    def _answer_without_job(self, job_id, now):
        """What to say of an id without a job; None if it was never submitted."""
        try:
            parsed = JobId.parse(job_id)
        except InvalidIdError as error:
            return refused(job_id, Reason.UNKNOWN_ID, str(error))
        if parsed.coordinator != self._identity:
            return self._answer_for_other(job_id, parsed)
        match self._blocks.status(parsed, now):
            case IdStatus.FRESH:
                return None
            case IdStatus.REFUSED:
                reason = self._blocks.refusal(parsed)
                return refused(job_id, reason, "refused before", QUEUE_RETRY_MS)
            case IdStatus.EXPIRED:
                detail = "the id is older than the answers that are kept"
                return failed(job_id, Reason.EXPIRED_ID, detail)
        return refused(job_id, Reason.UNKNOWN_ID, "this id was never issued")

    def _answer_for_other(self, job_id, parsed):
        handed = self._handed.get(parsed.coordinator)
        if handed is not None and handed.never_submitted(parsed):
            detail = "the coordinator left and had not accepted the job; take a new id"
            return refused(job_id, Reason.STOPPING, detail, 1)
        detail = "the job's coordinator is gone"
        return failed(job_id, Reason.COORDINATOR_GONE, detail)

    def _admission(self, message):
        """Returns (reason, detail, retry in ms) of a refusal, or None."""
        spec = message.spec
        if self._stopping:
            return Reason.STOPPING, "the coordinator is stopping", 1
        if len(self._jobs) + len(self._kept) >= self._limits.max_jobs or (
            self._kept_bytes >= self._limits.max_answer_bytes
        ):
            return Reason.TABLE_FULL, "no room for another job", QUEUE_RETRY_MS
        return self._admit_service(spec) or self._admit_queue(spec, message)

    def _admit_service(self, spec):
        members = [m for m in self._members.members if spec.service in m.services]
        if not members:
            detail = f"no backend server offers {spec.service!r}"
            return Reason.UNKNOWN_SERVICE, detail, 0
        if not any(_fits(member, spec.needs) for member in members):
            detail = "no worker has the memory or accelerators that the tasks need"
            return Reason.NEVER_RUNNABLE, detail, 0
        if not self._executors(spec.service):
            return Reason.NO_WORKER, "every worker is leaving", QUEUE_RETRY_MS
        return None

    def _admit_queue(self, spec, message):
        queue = self._queue(spec.flow)
        wait_ms = int(queue.expected_wait() * 1_000)
        if queue.waiting >= self._policy.flow(spec.flow).max_queue:
            detail = f"{queue.waiting} tasks of this kind wait here already"
            return Reason.QUEUE_FULL, detail, max(wait_ms, 1)
        if wait_ms > message.remaining_ms:
            detail = f"a task waits about {wait_ms} ms now"
            return Reason.DEADLINE_INFEASIBLE, detail, wait_ms
        return None

    def _refuse(self, sender, job_id, reason, detail, retry_after_ms):
        self._blocks.refuse(JobId.parse(job_id), reason)
        answer = refused(job_id, reason, detail, retry_after_ms)
        return self._tell(sender, answer)

    def _tell(self, sender, answer):
        return [Send(sender, JobAnswer(answer)), _refusal(answer.reason)]

    def _query(self, sender, job_id, now):
        job = self._jobs.get(job_id)
        if job is not None:
            return [Send(sender, JobAccepted(job_id))]
        kept = self._find_kept(job_id)
        if kept is not None:
            return [Send(sender, JobAnswer(kept.answer))]
        answer = self._answer_without_job(job_id, now)
        if answer is None:
            detail = "nothing has been submitted under this id yet"
            answer = failed(job_id, Reason.UNKNOWN_ID, detail, outcome=None)
        return self._tell(sender, answer)

    def _cancel(self, sender, job_id, now):
        job = self._jobs.get(job_id)
        if job is None:
            return self._query(sender, job_id, now)
        job.waiters.add(sender)
        effects = self._stop_running(job)
        self._drop_waiting(job)
        job.cancelled = True
        return effects + self._settle_cancelled(job, now)

    def _settle_cancelled(self, job, now):
        """Answers a cancelled job once none of its tasks runs any more."""
        if any(task.state == "running" for task in job.tasks):
            return []
        return self._fail(job, Reason.CANCELLED, "cancelled", now)

    # Placement.

    def _queue(self, flow):
        if flow not in self._flows:
            self._flows[flow] = FlowQueue(flow)
        return self._flows[flow]

    def _place(self, flow, now):
        """Asks executors for as many slots as tasks wait without one."""
        queue = self._queue(flow)
        asked = defaultdict(int)
        for needs in queue.needs:
            candidates = self._candidates(queue, needs, now)
            names = {candidate.name for candidate in candidates}
            reservations = queue.reservations.items()
            within = sum(r.open for n, r in reservations if n in names)
            want = queue.waiting_with(needs) - within
            want = min(want, queue.waiting - queue.open)
            self._spread(queue, candidates, want, asked, now)
        if queue.waiting > queue.open:
            self._timers.set(("place", flow), now + self._placement_pause(queue, now))
        effects = [self._reserve(queue, name, now) for name in asked]
        return effects + self._return_surplus(queue, now)

    def _placement_pause(self, queue, now):
        """Seconds until an executor that was left out may be asked again."""
        times = [r.refused_until - now for r in queue.reservations.values()]
        return min([time for time in times if time > 0], default=0.1)

    def _candidates(self, queue, needs, now):
        return [
            Candidate(member.name, member.data_centre, member.slots)
            for member in self._executors(queue.flow.service)
            if _fits(member, needs)
            and self._members.usable(member.name, now)
            and self._reservation(queue, member).refused_until <= now
        ]

    def _executors(self, service):
        """The partners that offer a service and have slots at present."""
        partners = self._members.partners(service, self._limits.partners)
        return [member for member in partners if member.slots]

    def _reservation(self, queue, member):
        known = queue.reservations.get(member.name)
        if known is None or known.incarnation != member.incarnation:
            known = queue.reservations[member.name] = Reservation(member.incarnation)
        return known

    def _spread(self, queue, candidates, want, asked, now):
        while want > 0:
            chosen = self._placement.choose(queue.flow, candidates, now)
            if chosen is None:
                return
            share = self._placement.share(chosen.name, want, len(candidates))
            queue.reservations[chosen.name].upto += share
            asked[chosen.name] += share
            self._placement.asked(chosen.name, share)
            want -= share

    def _reserve(self, queue, name, now):
        reservation = queue.reservations[name]
        reservation.sequence += 1
        self._timers.set(
            ("refresh", queue.flow), now + self._limits.reservation_refresh
        )
        message = Reserve(
            queue.flow,
            reservation.sequence,
            reservation.granted,
            reservation.upto,
            self._declared_ms(queue.flow),
        )
        return Send(Peer(name, reservation.incarnation), message)

    def _declared_ms(self, flow):
        return int(self._placement.fleet_run_ms(flow))

    def _refresh(self, flow, now):
        """Repeats the reservations that still wait, so that they do not expire."""
        queue = self._queue(flow)
        return [
            self._reserve(queue, name, now)
            for name, reservation in queue.reservations.items()
            if reservation.open
        ]

    def _return_surplus(self, queue, now):
        """Gives back slots asked for that no waiting task needs any more."""
        effects = []
        surplus = queue.open - queue.waiting
        for name, reservation in queue.reservations.items():
            if surplus <= 0:
                break
            returned = min(surplus, reservation.open)
            if returned:
                surplus -= returned
                self._lower(reservation, name, returned)
                effects.append(self._reserve(queue, name, now))
        return effects

    def _lower(self, reservation, name, slots):
        reservation.upto -= slots
        self._placement.asked(name, -slots)

    def _granted(self, sender, message, now):
        queue = self._queue(message.flow)
        reservation = queue.reservations.get(sender.name)
        if reservation is None or reservation.incarnation != sender.incarnation:
            return [Send(sender, StartTasks(message.grant, ()))]
        self._catch_up(reservation, sender.name, message.granted)
        member = self._members.find(sender.name)
        starts = self._pick(queue, member, message.slots, now)
        keys = {(start.job_id, start.index) for start in starts}
        effects = [Send(sender, StartTasks(message.grant, tuple(starts)))]
        if keys:
            self._sent[sender][message.grant] = keys
            self._mark_sent(keys, sender, message.grant)
            queue.started(len(keys), now)
            self._placement.started(sender.name, len(keys))
        else:
            effects.append(Count("grants_unused", Reason.GRANT_LAPSED))
        return effects + self._place(message.flow, now)

    def _catch_up(self, reservation, name, granted):
        """Takes in the executor's own count of the slots it has granted."""
        before = reservation.open
        reservation.granted = max(reservation.granted, granted)
        reservation.upto = max(reservation.upto, reservation.granted)
        self._placement.asked(name, reservation.open - before)

    def _pick(self, queue, member, slots, now):
        starts = []
        while len(starts) < slots and member is not None:
            key = queue.pop(lambda needs: _fits(member, needs), self._is_waiting)
            if key is None:
                break
            job, index = self._jobs[key[0]], key[1]
            starts.append(
                TaskStart(
                    job.id,
                    index,
                    job.payloads[index],
                    job.spec.tasks[index].declared_ms,
                    max(1, int((job.deadline_at - now) * 1_000)),
                )
            )
        return starts

    def _is_waiting(self, key):
        job = self._jobs.get(key[0])
        return job is not None and job.tasks[key[1]].state == "waiting"

    def _mark_sent(self, keys, executor, grant):
        for job_id, index in keys:
            job = self._jobs[job_id]
            task = job.tasks[index]
            task.step("send")
            task.sent = (executor, grant)
            task.worker = executor.name
            job.step("start")

    def _queued(self, sender, message, now):
        queue = self._queue(message.flow)
        reservation = queue.reservations.get(sender.name)
        if reservation is None or reservation.incarnation != sender.incarnation:
            return []
        self._catch_up(reservation, sender.name, message.granted)
        if message.wait_ms > self._limits.move_wait_ms:
            return self._move(queue, sender.name, now) + self._place(queue.flow, now)
        return self._place(queue.flow, now)

    def _move(self, queue, name, now):
        """Moves a reservation that must wait to executors with free slots."""
        reservation = queue.reservations[name]
        free = [
            candidate
            for needs in queue.needs[-1:]
            for candidate in self._candidates(queue, needs, now)
            if candidate.name != name and self._placement.has_free(candidate.name)
        ]
        target = self._placement.choose(queue.flow, free, now)
        if target is None or not reservation.open:
            return []
        moved = min(reservation.open, self._placement.free(target.name))
        self._lower(reservation, name, moved)
        queue.reservations[target.name].upto += moved
        self._placement.asked(target.name, moved)
        return [
            self._reserve(queue, name, now),
            self._reserve(queue, target.name, now),
        ]

    def _reservation_refused(self, sender, message, now):
        queue = self._queue(message.flow)
        reservation = queue.reservations.get(sender.name)
        if reservation is None or reservation.incarnation != sender.incarnation:
            return []
        self._catch_up(reservation, sender.name, message.granted)
        self._lower(reservation, sender.name, reservation.open)
        reservation.refused_until = now + message.retry_after_ms / 1_000
        count = Count("placements_moved", message.reason)
        return [count, *self._place(queue.flow, now)]

    # Results.

    def _start_refused(self, sender, message, now):
        keys = self._sent[sender].pop(message.grant, set())
        effects = [Count("retries", message.reason)] if keys else []
        flows = set()
        for key in sorted(keys, reverse=True):
            flows |= self._requeue(key)
        for job_id in sorted({job_id for job_id, _ in keys}):
            job = self._jobs.get(job_id)
            if job is not None and job.cancelled:
                effects += self._settle_cancelled(job, now)
        for flow in flows:
            effects += self._place(flow, now)
        return effects

    def _requeue(self, key):
        """Puts a task that certainly did not start back into its queue."""
        job = self._jobs.get(key[0])
        if job is None:
            return set()
        task = job.tasks[key[1]]
        task.step("refuse")
        task.sent = None
        if job.cancelled:
            task.step("drop")
            return set()
        self._queue(job.spec.flow).add(job.spec.needs, key, first=True)
        return {job.spec.flow}

    def _results(self, sender, results, now):
        effects = []
        for result in results:
            effects += self._result(sender, result, now)
        return effects

    def _result(self, sender, result, now):
        job = self._jobs.get(result.job_id)
        if job is None or result.outcome is TaskOutcome.RUNNING:
            return []
        task = job.tasks[result.index]
        if task.sent is None or task.sent[0] != sender:
            return []
        self._forget_sent(task.sent, (result.job_id, result.index))
        if result.outcome is TaskOutcome.NOT_STARTED:
            return self._not_started(sender, job, result, now)
        if result.outcome is TaskOutcome.DONE:
            return self._done(sender, job, task, result, now)
        return self._task_failed(sender, job, task, result, now)

    def _forget_sent(self, sent, key):
        executor, grant = sent
        keys = self._sent[executor].get(grant)
        if keys is not None:
            keys.discard(key)
            if not keys:
                del self._sent[executor][grant]

    def _not_started(self, sender, job, result, now):
        reason = result.reason or Reason.CONNECT_FAILED
        if reason is Reason.CONNECT_FAILED:
            self._placement.failed(sender.name, now)
        flows = self._requeue((result.job_id, result.index))
        if job.cancelled:
            return self._settle_cancelled(job, now)
        effects = [Count("retries", reason)]
        for flow in flows:
            effects += self._place(flow, now)
        return effects

    def _done(self, sender, job, task, result, now):
        task.step("done")
        task.body = result.body
        task.sent = None
        job.undone -= 1
        self._placement.succeeded(sender.name, job.spec.flow, result.run_ms)
        if not job.undone:
            return self._answer(job, job.complete(), now)
        if job.cancelled:
            return self._settle_cancelled(job, now)
        return []

    def _task_failed(self, sender, job, task, result, now):
        task.step("failed" if result.outcome is TaskOutcome.FAILED else "unknown")
        task.sent = None
        self._placement.failed(sender.name, now)
        reason = result.reason or Reason.TASK_FAILED
        if self._may_retry(job, task):
            return self._retry(job, result.index, reason, now)
        if job.cancelled:
            return self._settle_cancelled(job, now)
        detail = f"task {result.index} at worker {sender.name}: {result.outcome}"
        return self._fail(job, reason, detail, now)

    def _may_retry(self, job, task):
        if not job.spec.idempotent or job.cancelled:
            return False
        if len(task.earlier) + 1 >= self._limits.max_attempts:
            return False
        return self._budget.spend()

    def _retry(self, job, index, reason, now):
        task = job.tasks[index]
        task.earlier += (task.state,)
        task.step("retry")
        queue = self._queue(job.spec.flow)
        queue.add(job.spec.needs, (job.id, index), first=True)
        return [Count("retries", reason), *self._place(job.spec.flow, now)]

    def _deadline(self, job_id, now):
        job = self._jobs[job_id]
        return self._fail(job, Reason.DEADLINE_PASSED, "the deadline passed", now)

    def _fail(self, job, reason, detail, now):
        effects = self._stop_running(job)
        self._drop_waiting(job)
        answer = job.fail(reason, detail)
        for index, task in enumerate(job.tasks):
            if task.sent is not None:
                self._forget_sent(task.sent, (job.id, index))
        effects += [Count("failures", reason)]
        return effects + self._answer(job, answer, now)

    def _drop_waiting(self, job):
        queue = self._queue(job.spec.flow)
        for task in job.tasks:
            if task.state == "waiting":
                task.step("drop")
                queue.dropped(job.spec.needs)

    def _stop_running(self, job):
        """Asks each executor once to stop what it runs of this job."""
        if job.cancelled:
            return []
        peers = {task.sent[0] for task in job.tasks if task.sent is not None}
        ordered = sorted(peers, key=lambda peer: peer.name)
        return [Send(peer, CancelTasks(job.id)) for peer in ordered]

    def _answer(self, job, answer, now):
        del self._jobs[job.id]
        self._timers.cancel(("job", job.id))
        self._keep(job, answer, now)
        waiters = sorted(job.waiters, key=lambda peer: peer.name)
        return [Send(waiter, JobAnswer(answer)) for waiter in waiters]

    def _keep(self, job, answer, now):
        size = len(msgspec.msgpack.encode(answer))
        self._kept[job.id] = Kept(job.fingerprint, answer, size)
        self._kept_bytes += size
        self._timers.set(("kept", job.id), now + self._limits.retention)

    def _find_kept(self, job_id):
        kept = self._kept.get(job_id)
        if kept is not None:
            return kept
        for handed in self._handed.values():
            if job_id in handed.answers:
                return handed.answers[job_id]
        return None

    # Peers that fall silent, come back, are replaced or are lost.

    def peer_silent(self, name, now):
        """A new connection has replaced a silent one: ask what became of things."""
        effects = [Count("retries", Reason.PEER_SILENT)]
        for peer, grants in self._sent.items():
            if peer.name != name:
                continue
            for grant, keys in grants.items():
                effects.append(Send(peer, QueryTasks(grant, tuple(sorted(keys)))))
        for queue in self._flows.values():
            reservation = queue.reservations.get(name)
            if reservation is not None and reservation.open:
                effects.append(self._reserve(queue, name, now))
        return effects

    def peer_lost(self, name, now):
        """A peer answers no connection: place its reservations elsewhere."""
        for peer, grants in self._sent.items():
            if peer.name == name and grants:
                at = now + self._limits.lost_worker_patience
                self._timers.set(("lost", peer), at)
        return self._drop_reservations(name, now)

    def peer_heard(self, name):
        """A peer that was lost answers again."""
        for peer in self._sent:
            if peer.name == name:
                self._timers.cancel(("lost", peer))

    def peer_replaced(self, name, incarnation, now):
        """Another incarnation runs under this name: the earlier one is gone."""
        effects = []
        for peer in [peer for peer in self._sent if peer.name == name]:
            if peer.incarnation != incarnation:
                effects += self._give_up(peer, Reason.WORKER_LOST, now)
        stale = any(
            queue.reservations[name].incarnation != incarnation
            for queue in self._flows.values()
            if name in queue.reservations
        )
        return effects + (self._drop_reservations(name, now) if stale else [])

    def _drop_reservations(self, name, now):
        effects = []
        for queue in list(self._flows.values()):
            reservation = queue.reservations.get(name)
            if reservation is not None and reservation.open:
                self._lower(reservation, name, reservation.open)
                effects += self._place(queue.flow, now)
        return effects

    def _give_up(self, peer, reason, now):
        """Takes as unknown what was sent to an executor that will not answer."""
        grants = self._sent.pop(peer, {})
        effects = []
        for job_id, index in sorted(key for keys in grants.values() for key in keys):
            job = self._jobs.get(job_id)
            if job is None:
                continue
            task = job.tasks[index]
            task.step("unknown")
            task.sent = None
            if self._may_retry(job, task):
                effects += self._retry(job, index, reason, now)
            else:
                detail = f"worker {peer.name} was lost with task {index}"
                effects += self._fail(job, reason, detail, now)
        return effects

    # Handing over at a graceful stop.

    def abandon(self, now):
        """Answers the jobs that are still open when the grace time is over."""
        effects = []
        for job in list(self._jobs.values()):
            effects += self._fail(job, Reason.STOPPING, "the coordinator left", now)
        return effects

    def handover(self, now):
        """Returns the messages that carry every kept answer to a successor."""
        answers = [(kept.fingerprint, kept.answer) for kept in self._kept.values()]
        starts = range(0, len(answers) or 1, HANDOVER_PART)
        parts = [tuple(answers[start : start + HANDOVER_PART]) for start in starts]
        peer = self._identity
        blocks = self._blocks.valid(now)
        return [
            Handover(peer.name, peer.incarnation, number, len(parts), blocks, part)
            for number, part in enumerate(parts)
        ]

    def _take_over(self, sender, message, now):
        owner = Peer(message.name, message.incarnation)
        if sender != owner:
            return []
        handed = self._handed.setdefault(owner, Inheritance(message))
        handed.add(message)
        self._timers.set(("handed", owner), now + self._limits.retention)
        if not handed.whole:
            return []
        return [Send(sender, HandoverTaken(message.incarnation))]

    # Operators.

    def rows(self):
        """Rows for operators: the jobs that are open here."""
        return [self._row(job) for job in self._jobs.values()]

    def _row(self, job):
        workers = sorted({task.worker for task in job.tasks if task.worker})
        states = [task.state for task in job.tasks]
        return {
            "job": job.id,
            "state": str(job.state),
            "service": job.spec.service,
            "subsidiary": job.spec.subsidiary,
            "kind": job.spec.kind,
            "tasks": len(job.tasks),
            "waiting": states.count("waiting"),
            "running": states.count("running"),
            "done": states.count("done"),
            "coordinator": self._identity.name,
            "workers": ",".join(workers),
            "why": self._why(job),
        }

    def _why(self, job):
        if job.state != JobState.WAITING:
            return "tasks run at " + ", ".join(
                sorted({task.worker for task in job.tasks if task.state == "running"})
            )
        queue = self._queue(job.spec.flow)
        asked = [name for name, r in queue.reservations.items() if r.open]
        if asked:
            return f"{queue.waiting} tasks of its kind wait for a slot at " + ", ".join(
                sorted(asked)
            )
        return "no worker that offers the service can be asked now"


def _fits(member, needs):
    return (
        needs.memory_mb <= member.memory_mb
        and needs.accelerators <= member.accelerators
    )


def _refusal(reason):
    return Count("refusals", reason)
