"""Transient jobs that one dispatcher takes from callers and another one runs.

The caller's dispatcher is the entry, the other one the placer. An entry confirms its
open jobs with the placer's clock as it knows it; the placer passes on to the runners
which of their stamps it had received by then, and these may run a job only for
``TRANSIENT_AUTHORITY_S`` after that stamp. So neither a pause of one of the three nor a
delayed message can extend the time for which a job runs without its entry. An entry
that no longer hears its placer answers that the outcome is unknown. Entry and placer
act on messages and on the time passed to them.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..authority import TRANSIENT_AUTHORITY_S
from ..messages import (
    ForwardedReply,
    JobsAbandoned,
    JobsOpen,
    JobsUnknown,
    RunJob,
)
from ..model import Submission
from ..outcomes import RETRY_AFTER_MS, Outcome, Reply

__all__ = [
    "ENTRY_TIMEOUT_S",
    "ForwardedJobs",
    "HostedJobs",
    "may_outlast",
]

SHUTDOWN_ESTIMATE_FACTOR = 2.0  # over a job's estimate, on the slowest workers

# After this the runners stop a job anyway, so its placer drops it.
ENTRY_TIMEOUT_S = TRANSIENT_AUTHORITY_S
JOB_VALID_S = 0.35  # a RunJob that is held up for longer is not taken
ANSWER_RETENTION_S = 30.0  # longer than callers wait
MAX_ANSWERS = 5_000  # per entry


def may_outlast(submission, now, deadline):
    """Returns whether a job that starts now may not end before its process does."""
    estimate_s = SHUTDOWN_ESTIMATE_FACTOR * submission.critical_path_ms / 1000
    return now + estimate_s > deadline


@dataclass(slots=True, eq=False)
class _Forwarded:
    """A job at a placer; times in seconds of the entry's clock.

    ``valid_until_ms`` is on the placer's clock.
    """

    submission: Submission
    reply: object
    placer: object
    incarnation: str
    expires_at: float
    valid_until_ms: int = 0
    tried: set = field(default_factory=set)  # addresses that did not receive it


class ForwardedJobs:
    """The entry's side: jobs that other dispatchers run for its callers.

    ``send(address, incarnation, message)`` sends to a placer. ``is_silent(placer,
    now)`` returns whether it has been silent for too long. ``reroute(submission,
    tried)`` is called for a job that the placers ``tried`` have not received.
    """

    def __init__(self, numbers, send, is_silent, reroute, event_log):
        self._numbers = numbers
        self._send = send
        self._is_silent = is_silent
        self._reroute = reroute
        self._event_log = event_log
        self._jobs = {}  # _Forwarded by number

    def start(self, submission, reply, placer, now, expires_at, tried=()):
        """Sends a job to a placer; returns a function that abandons it."""
        number = next(self._numbers)
        job = _Forwarded(
            submission, reply, placer, placer.incarnation, expires_at, tried=set(tried)
        )
        self._jobs[number] = job
        sent_at_ms = placer.clock.stamp_at(now)
        job.valid_until_ms = sent_at_ms + round(JOB_VALID_S * 1000)
        self._event_log(
            "request:forwarded",
            job=submission.job_id,
            placer=placer.address,
            claims_age_ms=round((now - placer.heard_at) * 1000),
        )
        message = RunJob(
            number,
            submission,
            sent_at_ms,
            job.valid_until_ms,
            placer.clock.stamp_at(expires_at),
        )
        self._send(placer.address, placer.incarnation, message)

        def abandon():
            if self._jobs.pop(number, None) is not None:
                self._send(placer.address, job.incarnation, JobsAbandoned((number,)))

        return abandon

    def placer_of(self, job_id):
        """Returns the Placer at which a job is open, or None."""
        for job in self._jobs.values():
            if job.submission.job_id == job_id:
                return job.placer
        return None

    def handle_reply(self, answer):
        """Answers the caller; returns whether the number belongs to a job here."""
        job = self._jobs.pop(answer.number, None)
        if job is None:
            return False
        outcome = Outcome(answer.outcome)
        job.reply(Reply(outcome, answer.state, answer.retry_ms, answer.reason))
        return True

    def handle_unknown(self, address, message):
        """Sends jobs that their placer never received, and never will, elsewhere."""
        for number in message.numbers:
            job = self._jobs.get(number)
            if (
                job is None
                or job.placer.address != address
                or message.at_ms <= job.valid_until_ms
            ):
                continue
            del self._jobs[number]
            self._event_log.count("banyanwheel.retries", "job-not-received")
            # The placer may have received another copy of the job, and run it.
            has_copy = self.placer_of(job.submission.job_id) is job.placer
            tried = job.tried if has_copy else job.tried | {address}
            self._reroute(job.submission, tried)

    def tick(self, now):
        """Confirms the open jobs to their placers, and gives up those of lost ones."""
        open_numbers = {}
        for number, job in list(self._jobs.items()):
            placer = job.placer
            if job.incarnation != placer.incarnation:
                self._give_up(number, job, "placer-restarted")
            elif self._is_silent(placer, now):
                self._give_up(number, job, "placer-silent")
            elif now > job.expires_at:
                self._give_up(number, job, "deadline")
            else:
                open_numbers.setdefault(placer, []).append(number)
        for placer, numbers in open_numbers.items():
            message = JobsOpen(placer.clock.stamp_at(now), tuple(numbers))
            self._send(placer.address, placer.incarnation, message)

    def fail_all(self, reason):
        """Answers every caller that the outcome of its job is unknown."""
        for number, job in list(self._jobs.items()):
            self._give_up(number, job, reason)

    def _give_up(self, number, job, reason):
        del self._jobs[number]
        self._event_log(
            "request:given-up",
            job=job.submission.job_id,
            placer=job.placer.address,
            reason=reason,
        )
        self._event_log.count("banyanwheel.refusals", reason)
        abandoned = JobsAbandoned((number,))
        self._send(job.placer.address, job.incarnation, abandoned)
        job.reply(Reply(Outcome.IN_DOUBT))


@dataclass(slots=True, eq=False)
class _Entry:
    """What a placer keeps for one entry; times in seconds of the placer's clock."""

    confirmed_at: float = 0.0  # when it sent its last message, at the latest
    jobs: dict = field(default_factory=dict)  # (job id, reply) by number
    answers: OrderedDict = field(default_factory=OrderedDict)  # (time, message)


class HostedJobs:
    """The placer's side: jobs that it runs for the callers of other dispatchers.

    ``send(entry, message)`` sends to an entry, an (address, incarnation). ``placing()``
    tells whether this dispatcher places tasks at present, ``admits(job)`` whether it
    has memory for one more job. ``on_hosted(address, submission, now)`` is called for
    each job that is taken.
    """

    def __init__(
        self,
        owner,
        send,
        placing,
        event_log,
        on_hosted=None,
        admits=lambda steps: True,
    ):
        self._owner = owner
        self._send = send
        self._placing = placing
        self._on_hosted = on_hosted
        self._admits = admits
        self._event_log = event_log
        self._entries = {}  # _Entry by (address, incarnation)
        self._shutdown_deadline = float("inf")

    def __len__(self):
        """Returns the number of jobs that run for other dispatchers."""
        return sum(len(state.jobs) for state in self._entries.values())

    @property
    def addresses(self):
        """The addresses of the entries with jobs here."""
        return {entry[0] for entry, state in self._entries.items() if state.jobs}

    def handle_run(self, entry, message, now):
        """Runs a job, unless the message was held up or has been received before."""
        if now * 1000 > message.valid_until_ms:
            self._event_log.count("banyanwheel.retries", "job-held-up")
            return
        state = self._entries.setdefault(entry, _Entry())
        state.confirmed_at = max(state.confirmed_at, message.sent_at_ms / 1000)
        number, submission = message.number, message.submission
        if number in state.jobs or number in state.answers:
            return

        def reply(result):
            if state.jobs.pop(number, None) is not None:
                answer = ForwardedReply(
                    number,
                    result.outcome,
                    result.state,
                    result.retry_ms,
                    result.reason,
                )
                self._answer(entry, state, answer, now)

        state.jobs[number] = (submission.job_id, reply)
        try:
            self._host(entry, message, reply, now)
        except Exception:
            # Without an answer the caller would wait until its deadline.
            reply(Reply(Outcome.IN_DOUBT))
            raise

    def _host(self, entry, message, reply, now):
        submission = message.submission
        reason = self._refusal_reason(submission, now)
        if reason:
            self._event_log("request:not-hosted", job=submission.job_id, reason=reason)
            self._event_log.count("banyanwheel.refusals", reason)
            reply(Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))
            return
        self._event_log(
            "request:hosted",
            job=submission.job_id,
            entry=entry[0],
            delay_ms=round(now * 1000) - message.sent_at_ms,
        )
        if self._on_hosted is not None:
            self._on_hosted(entry[0], submission, now)
        confirmed_at = message.sent_at_ms / 1000
        expires_at = message.expires_at_ms / 1000
        self._owner.run_transient(submission, reply, now, expires_at, confirmed_at)

    def _refusal_reason(self, submission, now):
        """Returns why a job is left to another placer, empty if it is taken."""
        if may_outlast(submission, now, self._shutdown_deadline):
            return "dispatcher-stopping"
        if not self._placing():
            return "not-placing"
        known = self._owner.has_transient(submission.job_id)
        return "" if known or self._admits(submission) else "work-limit"

    def start_shutdown(self, deadline):
        """Refuses jobs that may not end by the deadline, for another placer to run."""
        self._shutdown_deadline = deadline

    def fail_all(self, now):
        """Tells all entries that the outcome of their jobs is unknown."""
        for entry, state in self._entries.items():
            self._fail(entry, state, now)

    def _answer(self, entry, state, answer, now):
        state.answers[answer.number] = (now, answer)
        if len(state.answers) > MAX_ANSWERS:
            state.answers.popitem(last=False)
        self._send(entry, answer)

    def handle_open(self, entry, message, now):
        """Confirms an entry's open jobs, and repeats answers that were lost."""
        state = self._entries.setdefault(entry, _Entry())
        state.confirmed_at = max(state.confirmed_at, message.sent_at_ms / 1000)
        listed = set(message.numbers)
        for number in state.answers.keys() - listed:
            del state.answers[number]
        unknown = []
        for number in message.numbers:
            if number in state.answers:
                self._send(entry, state.answers[number][1])
            elif number in state.jobs:
                job_id, _ = state.jobs[number]
                self._owner.confirm_transient(job_id, message.sent_at_ms / 1000)
            else:
                unknown.append(number)
        if unknown:
            self._send(entry, JobsUnknown(int(now * 1000), tuple(unknown)))

    def handle_abandoned(self, entry, message):
        """Drops the callers of jobs; a job without any other caller is aborted."""
        state = self._entries.get(entry)
        if state is None:
            return
        for number in message.numbers:
            self._drop(state, number)

    def _drop(self, state, number):
        job_id, reply = state.jobs.pop(number, (None, None))
        if job_id is not None:
            self._owner.remove_transient_caller(job_id, reply)

    def tick(self, now):
        """Aborts the jobs of entries that have not confirmed them in time."""
        for entry, state in list(self._entries.items()):
            if now > state.confirmed_at + ENTRY_TIMEOUT_S and state.jobs:
                self._abort(entry, state, now)
            oldest = now - ANSWER_RETENTION_S
            while state.answers and next(iter(state.answers.values()))[0] < oldest:
                state.answers.popitem(last=False)
            if not state.jobs and not state.answers:
                del self._entries[entry]

    def _abort(self, entry, state, now):
        self._event_log(
            "request:entry-silent",
            entry=entry[0],
            jobs=len(state.jobs),
            silent_ms=round((now - state.confirmed_at) * 1000),
        )
        self._event_log.count("banyanwheel.refusals", "entry-silent", len(state.jobs))
        self._fail(entry, state, now)

    def _fail(self, entry, state, now):
        for number in list(state.jobs):
            self._drop(state, number)
            answer = ForwardedReply(number, Outcome.IN_DOUBT)
            self._answer(entry, state, answer, now)
