"""Checks a history of a test run against every promise of the system at once."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise

import msgspec

from banyanwheel_core.models import JobState, Outcome, Reason

from .history import (
    CallerSent,
    CallerTold,
    ConfigurationInForce,
    ConfigurationPublished,
    LeaveAnnounced,
    ProcessEnded,
    ProcessPaused,
    ProcessResumed,
    ProcessStarted,
    StopRequested,
    TaskFinished,
    TaskStarted,
)

__all__ = ["Promise", "Violation", "check"]

# Reasons with which a coordinator settles a job as of unknown outcome. With any other
# reason, "unknown" is the word of a process that decides nothing about the job.
SETTLED_UNKNOWN = frozenset(
    {Reason.WORKER_LOST, Reason.LEASE_LAPSED, Reason.GRANT_FORGOTTEN}
)


class Promise(StrEnum):
    """What the system promises; the values are the tags of the scenarios."""

    AT_MOST_ONCE = "at-most-once"
    WHOLE_ANSWER = "whole-answer"
    OWN_ANSWER = "own-answer"
    NOT_RUN = "not-run"
    NON_IDEMPOTENT = "non-idempotent"
    LEAVING = "leaving"
    GRACEFUL_STOP = "graceful-stop"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise; ``place`` is a job id, a request or a process."""

    promise: Promise
    place: str
    message: str

    def __str__(self):
        return f"{self.promise}: {self.place}: {self.message}"


class _Answer(msgspec.Struct, frozen=True):
    """A caller's answer: a complete job, or the problem document of a failed one."""

    id: str = ""
    state: JobState | None = None
    results: tuple[msgspec.Raw, ...] = ()
    outcome: Outcome | None = None
    reason: Reason | None = None

    @property
    def complete(self):
        """Whether it says that every task ran."""
        return self.state is JobState.COMPLETE

    @property
    def failed(self):
        """Whether it says that the job failed, and what is known of it.

        A conflict says nothing of the job that the id belongs to.
        """
        marked = self.state in (None, JobState.FAILED)
        told = self.outcome is not None or self.reason is Reason.ID_CONFLICT
        return marked and told and not self.results

    @property
    def settled(self):
        """Whether it must agree with the other answers under its id."""
        if self.outcome is Outcome.UNKNOWN:
            return self.reason in SETTLED_UNKNOWN
        return bool(self.id) and self.reason is not Reason.ID_CONFLICT

    @property
    def not_run(self):
        """Whether it says that this caller's submission was not run."""
        return self.failed and self.outcome in (Outcome.NOT_RUN, None)


@dataclass(frozen=True, slots=True)
class _Request:
    """One sending by a caller with what it was told, if anything."""

    sent: CallerSent
    told: CallerTold | None
    answer: _Answer | None

    @property
    def place(self):
        """How findings name the request."""
        return self.sent.request

    @property
    def final(self):
        """The answer if it says what became of the job, else None."""
        answer = self.answer
        if answer is None or not (answer.complete or answer.failed):
            return None
        return answer

    @property
    def ids(self):
        """The job ids by which the caller knows this request."""
        answered = self.answer.id if self.answer else ""
        return {self.sent.job_id, answered} - {""}

    @property
    def tokens(self):
        """The tokens of its tasks' payloads."""
        payloads = (msgspec.json.decode(payload) for payload in self.sent.payloads)
        found = (p.get("token", "") for p in payloads if isinstance(p, dict))
        return {token for token in found if token}

    def in_progress(self, at):
        """Whether the caller was waiting for its answer at this time."""
        ended = self.told.at if self.told else float("inf")
        return self.sent.at < at < ended


class _Record:
    """A history indexed by what the checks look up."""

    def __init__(self, events):
        self._by_kind = defaultdict(list)
        for event in events:
            self._by_kind[type(event)].append(event)
        told = {event.request: event for event in self.of(CallerTold)}
        self.requests = [_request(e, told.get(e.request)) for e in self.of(CallerSent)]
        self.starts = self.of(TaskStarted)

    def of(self, *kinds):
        """The events of these kinds in order of time."""
        found = [event for kind in kinds for event in self._by_kind[kind]]
        return sorted(found, key=lambda event: event.at)

    def idempotent(self, job_id):
        """Whether a job is a single task that its caller marked as idempotent."""
        requests = [r for r in self.requests if job_id in r.ids]
        return bool(requests) and all(_repeatable(r.sent) for r in requests)


def check(events, leave_bound_s, configuration_bound_s):
    """Returns the broken promises of a history as a tuple.

    A start later than ``leave_bound_s`` after its backend server said that it leaves
    is one, and so is an accepted configuration that is not seen in force within
    ``configuration_bound_s`` in each live process. All answers under one id must
    agree, but for those of processes that do not decide on the job.
    """
    record = _Record(events)
    return (
        *_check_starts(record),
        *_check_tokens(record),
        *_check_answers(record),
        *_check_not_run(record),
        *_check_leaving(record, leave_bound_s),
        *_check_versions(record),
        *_check_propagation(record, configuration_bound_s),
        *_check_graceful_stop(record),
        *_check_agreement(record),
    )


def _request(sent, told):
    answer = None
    if told is not None and told.status:
        try:
            answer = msgspec.json.decode(told.answer, type=_Answer)
        except msgspec.DecodeError:
            answer = None
    return _Request(sent, told, answer)


def _repeatable(sent):
    return sent.idempotent and len(sent.payloads) == 1


def _check_starts(record):
    counts = Counter((start.job_id, start.index) for start in record.starts)
    for (job_id, index), count in counts.items():
        if count > 1 and not record.idempotent(job_id):
            message = f"task {index} started {count} times"
            yield Violation(Promise.AT_MOST_ONCE, job_id, message)


def _check_tokens(record):
    """Finds tasks that started more than once, under whatever ids."""
    counts = Counter(start.token for start in record.starts if start.token)
    for request in record.requests:
        if _repeatable(request.sent):
            continue
        for token in sorted(request.tokens):
            if counts[token] > 1:
                message = f"the task {token} started {counts[token]} times"
                yield Violation(Promise.NON_IDEMPOTENT, request.place, message)


def _check_answers(record):
    for request in record.requests:
        if request.told is None:
            message = "the caller got no answer"
            yield Violation(Promise.WHOLE_ANSWER, request.place, message)
        elif request.told.status == 0:
            yield from _check_broken(record, request)
        elif request.final is None:
            message = f"neither complete nor failed: {bytes(request.told.answer)!r}"
            yield Violation(Promise.WHOLE_ANSWER, request.place, message)
        elif request.final.complete:
            yield from _check_complete(record, request)


def _check_broken(record, request):
    """A connection may break only if the entry at its other end was hit.

    It may be refused also if that entry had been asked to stop.
    """
    hits = record.of(ProcessEnded, ProcessPaused)
    if request.told.refused:
        hits += record.of(StopRequested)
    entry = request.sent.entry
    if not any(hit.process == entry and hit.at <= request.told.at for hit in hits):
        message = f"the connection to {entry} broke, but nothing happened to it"
        yield Violation(Promise.WHOLE_ANSWER, request.place, message)


def _check_complete(record, request):
    answer = request.final
    payloads = request.sent.payloads
    if len(answer.results) != len(payloads):
        message = f"{len(answer.results)} results for {len(payloads)} tasks"
        yield Violation(Promise.WHOLE_ANSWER, request.place, message)
    if request.sent.job_id not in ("", answer.id):
        message = f"asked for {request.sent.job_id}, got the answer of {answer.id}"
        yield Violation(Promise.OWN_ANSWER, request.place, message)
    finished = {(e.job_id, e.index) for e in record.of(TaskFinished)}
    pairs = zip(answer.results, payloads, strict=False)
    for index, (result, payload) in enumerate(pairs):
        if not _own_result(result, answer.id, index, payload):
            message = f"result {index} is not this task's: {bytes(result)!r}"
            yield Violation(Promise.OWN_ANSWER, request.place, message)
        if (answer.id, index) not in finished:
            message = f"told complete, but task {index} never finished"
            yield Violation(Promise.WHOLE_ANSWER, request.place, message)


def _own_result(result, job_id, index, payload):
    result = msgspec.json.decode(result)
    if not isinstance(result, dict):
        return False
    found = result.get("job"), result.get("index"), result.get("echo")
    return found == (job_id, index, msgspec.json.decode(payload))


def _check_not_run(record):
    for request in record.requests:
        if request.final is None or not request.final.not_run:
            continue
        for start in record.starts:
            if _belongs(record, request, start):
                message = f"told not-run, but task {start.index} started"
                yield Violation(Promise.NOT_RUN, request.place, message)


def _belongs(record, request, start):
    """Whether a start is of this request, and not of another under another id."""
    if not request.tokens:
        conflict = request.final.reason is Reason.ID_CONFLICT
        return start.job_id in request.ids and not conflict
    if start.token not in request.tokens:
        return False
    if start.job_id in request.ids:
        return True
    others = (r for r in record.requests if r is not request)
    return not any(
        start.job_id in other.ids and start.token in other.tokens for other in others
    )


def _check_leaving(record, bound_s):
    for leave in record.of(LeaveAnnounced):
        for start in record.starts:
            late_s = start.at - leave.at
            if start.process == leave.process and late_s > bound_s:
                message = f"{start.job_id}/{start.index} started {late_s:.2f} s after"
                yield Violation(Promise.LEAVING, leave.process, message)


def _check_versions(record):
    rejected = {e.offset for e in record.of(ConfigurationPublished) if not e.accepted}
    shown = {}
    for event in record.of(ConfigurationInForce, ProcessStarted):
        name = event.process
        if isinstance(event, ProcessStarted):
            shown.pop(name, None)
            continue
        if event.offset in rejected:
            message = f"the rejected version {event.offset} is in force"
            yield Violation(Promise.CONFIGURATION, name, message)
        if event.offset < shown.get(name, event.offset):
            message = f"version {event.offset} shown after {shown[name]}"
            yield Violation(Promise.CONFIGURATION, name, message)
        shown[name] = max(event.offset, shown.get(name, event.offset))


def _check_propagation(record, bound_s):
    for published in record.of(ConfigurationPublished):
        if not published.accepted:
            continue
        for name, began, ended in _lifetimes(record):
            due = max(began, published.at) + bound_s
            if ended <= due:
                continue
            if not _seen(record, name, published.offset, began, due):
                message = f"version {published.offset} not in force within {bound_s} s"
                yield Violation(Promise.CONFIGURATION, name, message)


def _lifetimes(record):
    """The spans of time in which each process lived and was not frozen."""
    kinds = ProcessStarted, ProcessResumed, ProcessPaused, ProcessEnded
    by_process = defaultdict(list)
    for event in record.of(*kinds):
        by_process[event.process].append(event)
    for name, events in by_process.items():
        for event, following in pairwise([*events, None]):
            if isinstance(event, (ProcessStarted, ProcessResumed)):
                yield name, event.at, following.at if following else float("inf")


def _seen(record, name, offset, began, due):
    return any(
        event.process == name and event.offset >= offset and began <= event.at <= due
        for event in record.of(ConfigurationInForce)
    )


def _check_graceful_stop(record):
    stops = record.of(StopRequested, LeaveAnnounced)
    hurt = _has_hard_faults(record)
    for request in record.requests:
        stopped = [stop.process for stop in stops if request.in_progress(stop.at)]
        if not stopped:
            continue
        if request.told is None or request.told.status == 0:
            yield _cut_off(request, stopped, "unanswered")
        elif not hurt and request.final and request.final.outcome is Outcome.UNKNOWN:
            yield _cut_off(request, stopped, "of unknown outcome")


def _cut_off(request, stopped, what):
    message = f"{what} after the graceful stop of {', '.join(stopped)}"
    return Violation(Promise.GRACEFUL_STOP, request.place, message)


def _has_hard_faults(record):
    """Whether any process was frozen, or ended without being asked to stop."""
    asked = {event.process for event in record.of(StopRequested)}
    ended = {event.process for event in record.of(ProcessEnded)}
    return bool(record.of(ProcessPaused)) or bool(ended - asked)


def _check_agreement(record):
    told = defaultdict(set)
    for request in record.requests:
        answer = request.final
        if answer is None or not answer.settled:
            continue
        results = tuple(bytes(result) for result in answer.results)
        told[answer.id].add((answer.outcome or answer.state, results))
    for job_id, answers in told.items():
        if len(answers) > 1:
            said = ", ".join(sorted(word for word, _ in answers))
            message = f"different answers under one id: {said}"
            yield Violation(Promise.OWN_ANSWER, job_id, message)
