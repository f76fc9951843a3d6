"""Decisions of an entry: ids in advance, the coordinator of a job, and its answer.

An entry keeps nothing that matters: a caller that repeats an id through another entry
gets the same answer. Times are seconds of a monotonic clock.
"""

from collections import defaultdict
from dataclasses import dataclass

from .effects import Answered, Count, Send
from .errors import InvalidIdError
from .id_stock import IdStock, NoIdsError
from .ids import JobId
from .jobs import failed, refused
from .messages import (
    CancelJob,
    IdBlock,
    JobAccepted,
    JobAnswer,
    QueryJob,
    SubmitJob,
)
from .models import Answer, JobSpec, Reason
from .policy import Policy
from .timers import Timers

__all__ = ["Entry", "EntryLimits", "NoIdsError"]

OVERDUE_FACTOR = 2.0  # of the usual response time, until an answer is missed
MIN_OVERDUE_SECONDS = 0.1
MAX_OVERDUE_SECONDS = 1.0
RESPONSE_WEIGHT = 0.1  # of the newest response time in the moving average
MAX_FLOWS = 1_000  # whose response times are kept
MOVABLE = {Reason.STOPPING, Reason.TABLE_FULL, Reason.UNKNOWN_ID, Reason.NO_WORKER}


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Bounds of an entry; times in seconds."""

    deadline_margin: float = 1.0
    lost_patience: float = 2.0
    max_pending: int = 20_000
    max_tries: int = 4


@dataclass(slots=True)
class _Pending:
    """A caller's request that waits for an answer."""

    token: int
    job_id: str
    message: object
    deadline_at: float
    short_form: bool = False
    fingerprint: str = ""
    spec: JobSpec | None = None
    tries: int = 1
    query: bool = False
    opened_at: float = 0.0
    due: float = 0.0


class Entry:
    """Forwards each job to the one coordinator that decides on it."""

    def __init__(self, identity, members, random, limits=None, data_centre=""):
        self._identity = identity
        self._members = members
        self._limits = limits or EntryLimits()
        self._stock = IdStock(identity.name, data_centre, members, random)
        self._pending = {}
        self._by_job = defaultdict(dict)
        self._timers = Timers()
        self._policy = Policy()
        self._response_seconds = {}

    @property
    def pending(self):
        """Requests that wait for an answer."""
        return len(self._pending)

    @property
    def ready(self):
        """Whether ids are at hand."""
        return bool(self._stock)

    @property
    def next_tick(self):
        """When :meth:`tick` is wanted next, or None."""
        return self._timers.next_due

    def awaited(self, now):
        """Names of coordinators from which a message should have come by now."""
        names = {
            self._owner(pending.job_id).name
            for pending in self._pending.values()
            if pending.due <= now
        }
        return names | self._stock.requested

    def configure(self, policy):
        """Puts the operators' bounds on submissions in force."""
        self._policy = policy

    def loaded(self, name, load, now):
        """Takes in a load that an agent reported."""
        self._stock.loaded(name, load, now)

    def fetch_ids(self, now):
        """Asks for ids before those at hand run out."""
        return self._stock.fetch(now)

    def take_ids(self, count, now):
        """Returns ids for a caller that submits later; raises NoIdsError."""
        ids = []
        while len(ids) < count:
            ids.append(self._stock.take(now))
        return ids

    def submit(self, token, job_id, spec, fingerprint, now):
        """Forwards a submission; without an id, one is taken here."""
        fault = self._policy.fault_in(spec) if job_id is None else None
        if fault is not None:
            answer = refused("", Reason.TOO_LARGE, fault.message, place=fault.place)
            return [Answered(token, answer), _refusal(Reason.TOO_LARGE)]
        if len(self._pending) >= self._limits.max_pending:
            return self._refuse_unsent(token, job_id, Reason.QUEUE_FULL)
        short_form = job_id is None
        if short_form:
            try:
                job_id = self._stock.take(now)
            except NoIdsError:
                return self._refuse_unsent(token, "", Reason.NO_COORDINATOR)
        deadline_at = now + spec.deadline_ms / 1_000
        message = SubmitJob(job_id, spec, fingerprint, spec.deadline_ms)
        pending = _Pending(
            token, job_id, message, deadline_at, short_form, fingerprint, spec
        )
        return self._open(pending, now)

    def query(self, token, job_id, now):
        """Asks for the state of a job; JobAccepted answers it as running."""
        pending = _Pending(token, job_id, QueryJob(job_id), now + 5.0, query=True)
        return self._open(pending, now)

    def cancel(self, token, job_id, now):
        """Asks to cancel a job; its answer tells what came of it."""
        return self._open(_Pending(token, job_id, CancelJob(job_id), now + 30.0), now)

    def handle(self, sender, message, now):
        """Takes a coordinator's message and returns the effects."""
        match message:
            case IdBlock():
                self._stock.stock(sender, message, now)
            case JobAnswer():
                return self._answered(message, now)
            case JobAccepted(job_id=job_id):
                return self._accepted(job_id)
        return []

    def tick(self, now):
        """Acts on the deadlines that have come."""
        effects = []
        for key in self._timers.due(now):
            match key:
                case ("lost", name):
                    effects += self._give_up(name)
                case token:
                    effects += self._timed_out(self._pending[token])
        return effects

    # Requests.

    def _owner(self, job_id):
        """The process to ask: the coordinator, or the successor it named."""
        owner = JobId.parse(job_id).coordinator
        return self._members.holder(owner) or owner

    def _open(self, pending, now):
        try:
            owner = self._owner(pending.job_id)
        except InvalidIdError as error:
            answer = refused(pending.job_id, Reason.UNKNOWN_ID, str(error))
            return [Answered(pending.token, answer), _refusal(Reason.UNKNOWN_ID)]
        if not self._reachable(owner):
            return self._unreachable(pending)
        pending.opened_at = now
        pending.due = now + self._overdue_after(pending)
        self._pending[pending.token] = pending
        self._by_job[pending.job_id][pending.token] = pending
        margin = self._limits.deadline_margin
        self._timers.set(pending.token, pending.deadline_at + margin)
        return [Send(owner, pending.message)]

    def _reachable(self, owner):
        member = self._members.find(owner.name)
        return member is not None and member.incarnation == owner.incarnation

    def _unreachable(self, pending):
        detail = "the job's coordinator is gone"
        answer = failed(pending.job_id, Reason.COORDINATOR_GONE, detail)
        return [Answered(pending.token, answer), _failure(Reason.COORDINATOR_GONE)]

    def _refuse_unsent(self, token, job_id, reason):
        """Refuses what this entry has not sent; with a caller's id, it can't know."""
        if job_id:
            detail = "this entry can take no more requests"
            answer = failed(job_id, reason, detail)
        else:
            detail = "no coordinator can be asked now"
            answer = refused(job_id or "", reason, detail, 1_000)
        return [Answered(token, answer), _refusal(reason)]

    def _answered(self, message, now):
        answer = message.answer
        effects = []
        for pending in list(self._by_job.get(answer.id, {}).values()):
            if not _answers(message, pending):
                continue
            if self._may_move(pending, answer):
                effects += self._move(pending, answer, now)
            else:
                self._close(pending)
                self._learn(pending, now)
                effects.append(Answered(pending.token, answer))
        return effects

    def _overdue_after(self, pending):
        """Seconds after which an answer to this request is missed."""
        if pending.spec is None:
            return MIN_OVERDUE_SECONDS
        usual = self._response_seconds.get(pending.spec.flow, 0.0)
        overdue = OVERDUE_FACTOR * usual
        return min(MAX_OVERDUE_SECONDS, max(MIN_OVERDUE_SECONDS, overdue))

    def _learn(self, pending, now):
        if pending.spec is None:
            return
        flow = pending.spec.flow
        if flow not in self._response_seconds:
            while len(self._response_seconds) >= MAX_FLOWS:
                del self._response_seconds[next(iter(self._response_seconds))]
        taken = now - pending.opened_at
        usual = self._response_seconds.get(flow, taken)
        self._response_seconds[flow] = usual + RESPONSE_WEIGHT * (taken - usual)

    def _may_move(self, pending, answer):
        """Only a short form that was certainly not accepted goes elsewhere."""
        return (
            pending.short_form
            and answer.reason in MOVABLE
            and answer.outcome == "not-run"
            and pending.tries < self._limits.max_tries
        )

    def _move(self, pending, answer, now):
        self._close(pending)
        left_ms = int((pending.deadline_at - now) * 1_000)
        try:
            job_id = self._stock.take(now)
        except NoIdsError:
            return [Answered(pending.token, answer)]
        if left_ms <= 0:
            return [Answered(pending.token, answer)]
        message = SubmitJob(job_id, pending.spec, pending.fingerprint, left_ms)
        moved = _Pending(
            pending.token,
            job_id,
            message,
            pending.deadline_at,
            True,
            pending.fingerprint,
            pending.spec,
            pending.tries + 1,
        )
        return [Count("retries", answer.reason), *self._open(moved, now)]

    def _accepted(self, job_id):
        effects = []
        for pending in list(self._by_job.get(job_id, {}).values()):
            if pending.query:
                self._close(pending)
                effects.append(Answered(pending.token, _running(job_id)))
        return effects

    def _close(self, pending):
        self._timers.cancel(pending.token)
        del self._pending[pending.token]
        waiting = self._by_job[pending.job_id]
        del waiting[pending.token]
        if not waiting:
            del self._by_job[pending.job_id]

    def _timed_out(self, pending):
        self._close(pending)
        detail = "the coordinator did not answer in time"
        answer = failed(pending.job_id, Reason.OUTCOME_UNKNOWN, detail)
        return [Answered(pending.token, answer), _failure(Reason.OUTCOME_UNKNOWN)]

    # Peers.

    def peer_silent(self, name, now):
        """A new connection has replaced a silent one: repeat what is unanswered."""
        effects = [Count("retries", Reason.PEER_SILENT)]
        for pending in self._pending.values():
            owner = self._owner(pending.job_id)
            if owner.name == name:
                effects.append(Send(owner, self._repeat(pending, now)))
        self._stock.silent(name)
        return effects

    def peer_lost(self, name, now):
        """A coordinator answers no connection: wait a little longer for it."""
        self._timers.set(("lost", name), now + self._limits.lost_patience)

    def peer_heard(self, name):
        """A coordinator that was lost answers again."""
        self._timers.cancel(("lost", name))

    def _give_up(self, name):
        effects = []
        for pending in list(self._pending.values()):
            if self._owner(pending.job_id).name == name:
                self._close(pending)
                effects += self._unreachable(pending)
        return effects

    def _repeat(self, pending, now):
        match pending.message:
            case SubmitJob(job_id=job_id, spec=spec, fingerprint=fingerprint):
                left_ms = max(1, int((pending.deadline_at - now) * 1_000))
                return SubmitJob(job_id, spec, fingerprint, left_ms)
        return pending.message

    def peer_replaced(self, name, incarnation, now):
        """Another incarnation runs under this name: the earlier one is gone."""
        self._stock.replaced(name, incarnation)
        effects = []
        for pending in list(self._pending.values()):
            owner = JobId.parse(pending.job_id).coordinator
            if owner.name == name and owner.incarnation != incarnation:
                effects += self._redirect(pending, owner)
        return effects

    def members_changed(self, now):
        """Sends what waits for a coordinator that has left to its successor."""
        effects = []
        for pending in list(self._pending.values()):
            owner = JobId.parse(pending.job_id).coordinator
            if self._owner(pending.job_id) != owner:
                effects += self._redirect(pending, owner)
        return effects

    def _redirect(self, pending, owner):
        successor = self._owner(pending.job_id)
        if successor != owner:
            return [Send(successor, pending.message)]
        self._close(pending)
        return self._unreachable(pending)


def _answers(message, pending):
    """Tells whether an answer is meant for this caller's request."""
    if message.fingerprint == pending.fingerprint:
        return True
    conflict = message.answer.reason is Reason.ID_CONFLICT
    return not pending.fingerprint and not conflict


def _running(job_id):
    return Answer(job_id, state="running")


def _refusal(reason):
    return Count("refusals", reason)


def _failure(reason):
    return Count("failures", reason)
