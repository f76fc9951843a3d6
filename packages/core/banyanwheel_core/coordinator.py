"""Decisions of a coordinator: it owns whole jobs, from their ids to their answers.

Times are seconds of a monotonic clock.
"""

from dataclasses import dataclass

from .admission import AT_ONCE_MS, RETRY_MS, Admission, Refusal
from .answers import AnswerStore
from .blocks import BlockTable, IdStatus
from .budget import RetryBudget
from .dispatcher import Dispatcher, fits
from .effects import Count, Peer, Send
from .errors import InvalidIdError
from .ids import JobId
from .jobs import Job, failed, refused
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
    ReservationQueued,
    ReservationRefused,
    StartRefused,
    StartTasks,
    SubmitJob,
    TaskResults,
    TaskStart,
)
from .models import JobState, Reason, TaskOutcome
from .policy import Policy
from .sent import SentTasks
from .timers import Timers

__all__ = ["Coordinator", "CoordinatorLimits"]

OVERDUE_FACTOR = 2.0  # of the expected run time, until a result is missed
MAX_OVERDUE_SECONDS = 1.0
LEAST_RUN_SHARE = 0.5  # of the usual run time, left before a job is given up
MAX_RESULT_BYTES = 8 * 2**20  # of all tasks of a job, half of a message
MAX_DETAIL = 500  # characters of a failed task's own answer


@dataclass(frozen=True, slots=True)
class CoordinatorLimits:
    """Bounds of a coordinator's tables; times in seconds."""

    retention: float = 240.0
    block_lifetime: float = 120.0
    max_blocks: int = 2_000
    max_jobs: int = 50_000
    max_answer_bytes: int = 16 * 2**20
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
        self._sent = SentTasks()
        self._timers = Timers()
        self._answers = AnswerStore(self._limits.retention, self._timers)
        self._dispatcher = Dispatcher(members, placement, self._limits, self._timers)
        self._admission = Admission(members, self._dispatcher, placement)
        self._stopping = False

    @classmethod
    def from_settings(cls, identity, members, placement, settings):
        """Makes a coordinator with the bounds that an agent's settings name."""
        retention = settings.retention_ms / 1_000
        limits = CoordinatorLimits(
            retention=retention,
            block_lifetime=retention / 2,
            max_jobs=settings.max_jobs,
            max_answer_bytes=settings.max_answer_bytes,
        )
        return cls(identity, members, placement, limits)

    @property
    def idle(self):
        """Whether every job is answered."""
        return not self._jobs

    @property
    def next_tick(self):
        """When :meth:`tick` is wanted next, or None."""
        return self._timers.next_due

    def awaited(self, now):
        """Names of executors from which a message should have come by now."""
        names = self._sent.overdue(now) | self._dispatcher.awaited
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
                return self._dispatcher.queued(sender, message, now)
            case ReservationRefused():
                return self._dispatcher.refused(sender, message, now)
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
                    self._answers.forget(job_id)
                case ("handed", peer):
                    self._answers.disinherit(peer)
                case ("place", flow):
                    effects += self._dispatcher.place(flow, now)
                case ("refresh", flow):
                    effects += self._dispatcher.refresh(flow, now)
                case ("lost", peer):
                    effects += self._give_up(peer, Reason.WORKER_LOST, now)
        return effects

    # Submission.

    def _submit(self, sender, message, now):
        job_id = message.job_id
        known = self._known_answer(sender, message, now)
        if known is not None:
            return known
        refusal = self._refusal(message)
        if refusal is not None:
            return self._refuse(sender, message, refusal)
        job = Job.from_submission(message, now)
        job.waiters.add(sender)
        self._jobs[job_id] = job
        self._timers.set(("job", job_id), job.deadline_at)
        if job.spec.idempotent:
            self._budget.earn()
        queue = self._dispatcher.queue(job.spec.flow)
        self._placement.declared(job.spec.flow, job.spec.tasks[0].declared_ms)
        for index in range(len(job.tasks)):
            queue.add(job.spec.needs, (job_id, index))
        return self._dispatcher.place(job.spec.flow, now)

    def _known_answer(self, sender, message, now):
        """Answers a repeat, or an id on which nothing can be run; else None."""
        job_id, fingerprint = message.job_id, message.fingerprint
        job = self._jobs.get(job_id)
        kept = self._answers.find(job_id)
        if (job or kept) and (job or kept).fingerprint != fingerprint:
            detail = "the id belongs to another submission; this one was not run"
            answer = failed(job_id, Reason.ID_CONFLICT, detail, outcome=None)
            return self._tell(sender, answer, fingerprint)
        if job is not None:
            job.waiters.add(sender)
            return [Send(sender, JobAccepted(job_id))]
        if kept is not None:
            return [Send(sender, JobAnswer(kept.answer, fingerprint))]
        answer = self._answer_without_job(job_id, now)
        return None if answer is None else self._tell(sender, answer, fingerprint)

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
                return refused(job_id, reason, "refused before", RETRY_MS)
            case IdStatus.EXPIRED:
                detail = "the id is older than the answers that are kept"
                return failed(job_id, Reason.EXPIRED_ID, detail)
        return refused(job_id, Reason.UNKNOWN_ID, "this id was never issued")

    def _answer_for_other(self, job_id, parsed):
        if self._answers.never_submitted(parsed):
            detail = "the coordinator left and had not accepted the job; take a new id"
            return refused(job_id, Reason.STOPPING, detail, AT_ONCE_MS)
        detail = "the job's coordinator is gone"
        return failed(job_id, Reason.COORDINATOR_GONE, detail)

    def _refusal(self, message):
        """Returns the Refusal of a submission, or None."""
        if self._stopping:
            return Refusal(Reason.STOPPING, "the coordinator is stopping", AT_ONCE_MS)
        held = len(self._jobs) + len(self._answers)
        full = self._answers.size >= self._limits.max_answer_bytes
        if full or held >= self._limits.max_jobs:
            return Refusal(Reason.TABLE_FULL, "no room for another job", RETRY_MS)
        return self._admission.check(message, self._policy)

    def _refuse(self, sender, message, refusal):
        self._blocks.refuse(JobId.parse(message.job_id), refusal.reason)
        answer = refused(
            message.job_id, refusal.reason, refusal.detail, refusal.retry_after_ms
        )
        return self._tell(sender, answer, message.fingerprint)

    def _tell(self, sender, answer, fingerprint=""):
        return [
            Send(sender, JobAnswer(answer, fingerprint)),
            Count("refusals", answer.reason),
        ]

    def _query(self, sender, job_id, now):
        job = self._jobs.get(job_id)
        if job is not None:
            return [Send(sender, JobAccepted(job_id))]
        kept = self._answers.find(job_id)
        if kept is not None:
            return [Send(sender, JobAnswer(kept.answer, kept.fingerprint))]
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

    def _granted(self, sender, message, now):
        if not self._dispatcher.granted(sender, message):
            return [Send(sender, StartTasks(message.grant, ()))]
        queue = self._dispatcher.queue(message.flow)
        member = self._members.find(sender.name)
        late = self._fail_late(queue, now)
        starts = self._pick(queue, member, message.slots, now)
        keys = {(start.job_id, start.index) for start in starts}
        effects = [Send(sender, StartTasks(message.grant, tuple(starts)))]
        if keys:
            due = now + self._overdue_after(message.flow)
            self._sent.add(sender, message.grant, keys, due)
            self._mark_sent(keys, sender, message.grant)
            queue.started(len(keys), now)
            self._placement.started(sender.name, len(keys))
        else:
            effects.append(Count("grants_unused", Reason.GRANT_LAPSED))
        return effects + late + self._dispatcher.place(message.flow, now)

    def _fail_late(self, queue, now):
        """Answers "not run" for jobs at the head that can't end in time any more."""
        least = LEAST_RUN_SHARE * self._placement.fleet_run_ms(queue.flow) / 1_000
        effects = []
        for job_id, _ in queue.heads(self._is_waiting):
            job = self._jobs.get(job_id)
            if job is None or job.state != "waiting" or job.deadline_at - now >= least:
                continue
            detail = "it waited so long that it can't be done by its deadline"
            effects += self._fail(job, Reason.DEADLINE_INFEASIBLE, detail, now)
        return effects

    def _overdue_after(self, flow):
        run_seconds = self._placement.fleet_run_ms(flow) / 1_000
        return min(MAX_OVERDUE_SECONDS, OVERDUE_FACTOR * run_seconds)

    def _pick(self, queue, member, slots, now):
        starts = []
        while len(starts) < slots and member is not None:
            key = queue.pop(lambda needs: fits(member, needs), self._is_waiting)
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
                    len(job.tasks[index].earlier),
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

    # Results.

    def _start_refused(self, sender, message, now):
        keys = self._sent.pop_grant(sender, message.grant)
        effects = [Count("retries", message.reason)] if keys else []
        flows = set()
        for key in sorted(keys, reverse=True):
            flows |= self._requeue(key)
        for job_id in sorted({job_id for job_id, _ in keys}):
            job = self._jobs.get(job_id)
            if job is not None and job.cancelled:
                effects += self._settle_cancelled(job, now)
        for flow in flows:
            effects += self._dispatcher.place(flow, now)
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
        self._dispatcher.queue(job.spec.flow).add(job.spec.needs, key, first=True)
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
        if task.sent != (sender, result.grant):
            return []
        self._sent.remove(task.sent, (result.job_id, result.index))
        if result.outcome is TaskOutcome.NOT_STARTED:
            return self._not_started(sender, job, result, now)
        if result.outcome is TaskOutcome.DONE:
            return self._done(sender, job, task, result, now)
        return self._task_failed(sender, job, task, result, now)

    def _not_started(self, sender, job, result, now):
        reason = result.reason or Reason.CONNECT_FAILED
        if reason is Reason.CONNECT_FAILED:
            self._placement.failed(sender.name, now)
        flows = self._requeue((result.job_id, result.index))
        if job.cancelled:
            return self._settle_cancelled(job, now)
        effects = [Count("retries", reason)]
        for flow in flows:
            effects += self._dispatcher.place(flow, now)
        return effects

    def _done(self, sender, job, task, result, now):
        task.step("done")
        # A copy: the decoded value would keep its whole envelope alive.
        task.body = result.body.copy()
        task.sent = None
        job.undone -= 1
        self._placement.succeeded(sender.name, job.spec.flow, result.run_ms)
        if not job.undone:
            return self._complete(job, now)
        if job.cancelled:
            return self._settle_cancelled(job, now)
        return []

    def _complete(self, job, now):
        size = sum(len(bytes(task.body)) for task in job.tasks)
        if size > MAX_RESULT_BYTES:
            detail = f"the results have {size} bytes, more than one answer may have"
            return self._fail(job, Reason.TASK_FAILED, detail, now)
        return self._answer(job, job.complete(), now)

    def _task_failed(self, sender, job, task, result, now):
        task.step("failed" if result.outcome is TaskOutcome.FAILED else "unknown")
        task.sent = None
        self._placement.failed(sender.name, now)
        reason = result.reason or Reason.TASK_FAILED
        if self._may_retry(job, task):
            return self._retry(job, result.index, reason, now)
        if job.cancelled:
            return self._settle_cancelled(job, now)
        text = bytes(result.body).decode(errors="replace")[:MAX_DETAIL]
        detail = f"task {result.index} at worker {sender.name}: {result.outcome} {text}"
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
        queue = self._dispatcher.queue(job.spec.flow)
        queue.add(job.spec.needs, (job.id, index), first=True)
        return [Count("retries", reason), *self._dispatcher.place(job.spec.flow, now)]

    def _deadline(self, job_id, now):
        job = self._jobs[job_id]
        return self._fail(job, Reason.DEADLINE_PASSED, "the deadline passed", now)

    def _fail(self, job, reason, detail, now):
        effects = self._stop_running(job)
        self._drop_waiting(job)
        answer = job.fail(reason, detail)
        for index, task in enumerate(job.tasks):
            if task.sent is not None:
                self._sent.remove(task.sent, (job.id, index))
        effects += [Count("failures", reason)]
        return effects + self._answer(job, answer, now)

    def _drop_waiting(self, job):
        queue = self._dispatcher.queue(job.spec.flow)
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
        self._answers.keep(job, answer, now)
        waiters = sorted(job.waiters, key=lambda peer: peer.name)
        message = JobAnswer(answer, job.fingerprint)
        return [Send(waiter, message) for waiter in waiters]

    # Peers that fall silent, come back, are replaced or are lost.

    def peer_silent(self, name, now):
        """A new connection has replaced a silent one: ask what became of things."""
        count = Count("retries", Reason.PEER_SILENT)
        repeated = self._dispatcher.repeat(name, now)
        return [count, *self._sent.questions(name), *repeated]

    def peer_lost(self, name, now):
        """A peer answers no connection: place its reservations elsewhere."""
        for peer in self._sent.incarnations(name):
            at = now + self._limits.lost_worker_patience
            self._timers.set(("lost", peer), at)
        return self._dispatcher.withdraw(name, now)

    def peer_heard(self, name):
        """A peer that was lost answers again."""
        for peer in self._sent.incarnations(name):
            self._timers.cancel(("lost", peer))

    def peer_replaced(self, name, incarnation, now):
        """Another incarnation runs under this name: the earlier one is gone."""
        effects = []
        for peer in self._sent.incarnations(name):
            if peer.incarnation != incarnation:
                effects += self._give_up(peer, Reason.WORKER_LOST, now)
        return effects + self._dispatcher.replaced(name, incarnation, now)

    def _give_up(self, peer, reason, now):
        """Takes as unknown what was sent to an executor that will not answer."""
        effects = []
        for job_id, index in self._sent.pop_executor(peer):
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
        return self._answers.parts(self._identity, self._blocks.valid(now))

    def _take_over(self, sender, message, now):
        if self._stopping:
            return []
        owner = Peer(message.name, message.incarnation)
        if not self._answers.inherit(owner, message, now):
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
        return self._dispatcher.why(job.spec.flow)

    def explain(self, job_id, now):
        """Rows that tell why a job waits, was refused, or runs where it does."""
        job = self._jobs.get(job_id)
        if job is not None:
            rows = self._dispatcher.estimates(job.spec.flow, job.spec.needs, now)
            return [{"job": job_id, "state": job.state, "why": self._why(job)}, *rows]
        kept = self._answers.find(job_id)
        answer = kept.answer if kept else self._answer_without_job(job_id, now)
        if answer is None:
            return [{"job": job_id, "state": "never submitted", "why": ""}]
        return [
            {
                "job": job_id,
                "state": answer.state,
                "why": answer.detail or "every task was answered",
                "reason": answer.reason,
                "outcome": answer.outcome,
                "workers": ",".join(sorted(set(answer.workers))),
            }
        ]
