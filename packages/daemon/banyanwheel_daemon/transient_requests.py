"""Callers' transient jobs: run here, or forwarded to a dispatcher that places tasks."""

from dataclasses import dataclass, field
from functools import partial

from banyanwheel_jobs.cells.forwarding import ForwardedJobs, may_outlast
from banyanwheel_jobs.cells.placers import suits
from banyanwheel_jobs.cells.rules import Rule
from banyanwheel_jobs.model import Submission
from banyanwheel_jobs.open_work import submission_bytes
from banyanwheel_jobs.outcomes import EVACUATED, RETRY_AFTER_MS, Outcome, Reply
from banyanwheel_jobs.placing.placement import may_end_in_time

__all__ = ["TransientRequests"]

# After a power loss of all machines, a placer is heard of within this time.
UNROUTED_TIMEOUT_S = 2.5
MAX_PLACERS_TRIED = 3
# A process that has done nothing for so long has stood still. Callers that left
# meanwhile come again after 1.3 s, so this is well within their time.
PAUSE_S = 0.3
SELF = ""  # stands for this dispatcher among the placers that were tried


def _not_running():
    """Withdraws nothing: the job runs nowhere yet."""


def _is_always_connected():
    """Stands for the check of a caller that has no connection of its own."""
    return True


@dataclass(slots=True, eq=False)
class _Request:
    """A caller's transient job; times in seconds of this process's clock.

    ``evacuated`` are the placers that returned it because their suitable workers are
    evacuated.
    """

    submission: Submission
    reply: object
    received_at: float
    expires_at: float
    is_connected: object = _is_always_connected
    done: bool = False
    abandon: object = field(default=_not_running)  # withdraws it where it runs
    evacuated: set = field(default_factory=set)


class TransientRequests:
    """The open transient jobs of callers.

    ``own_offers()`` returns the ServiceOffers of this dispatcher, None if it places no
    tasks; ``peek_offers()`` does so without an effect. ``send(address, incarnation,
    message)`` sends to another dispatcher; ``numbers`` yields the numbers of requests.
    ``admits(submission)`` tells whether there is memory for one more job.
    """

    def __init__(
        self,
        owner,
        placers,
        clocks,
        event_log,
        *,
        send,
        numbers,
        own_offers,
        peek_offers=None,
        admits=lambda submission: True,
    ):
        self._owner = owner
        self._placers = placers
        self._now, self._wall_ms = clocks
        self._event_log = event_log
        self._own_offers = own_offers
        self._peek_offers = peek_offers or own_offers
        self._admits = admits
        self._requests = set()
        self._held_bytes = 0
        self._unrouted = []
        self._shutdown_deadline = float("inf")
        self._active_at = self._now()  # when this process last did anything
        # From then on, a placer that was not heard of has left or is cut off.
        self._placers_known_at = self._active_at + UNROUTED_TIMEOUT_S
        self._forwarded = ForwardedJobs(
            numbers, send, placers.is_silent, self._reroute, event_log
        )

    def __len__(self):
        """Returns the number of unanswered jobs."""
        return len(self._requests)

    @property
    def held_bytes(self):
        """The memory that the submissions of unanswered jobs take."""
        return self._held_bytes

    def run(self, job_id, queue, spec, steps, reply, deadline_s, is_connected=None):
        """Runs a transient job and returns a function that abandons it.

        ``reply`` is called with the Reply when the job has ended or was refused, but
        not after the job was abandoned. ``is_connected()`` tells whether its caller is
        still there. Nothing is run for one that has left: the request may have waited
        while this process stood still, and the job may run elsewhere by now.
        """
        self.check_pause()
        is_connected = is_connected or _is_always_connected
        if not is_connected():
            self._log_caller_left(job_id)
            return _not_running
        now = self._now()
        submission = Submission(
            job_id, queue, spec, steps, self._wall_ms(), transient=True
        )
        self._event_log(
            "request:run",
            job=job_id,
            queue=queue.name,
            tasks=sum(step.count for step in steps),
            deadline_ms=round(deadline_s * 1000),
        )
        self._placers.demand.record(submission, now)
        request = _Request(submission, reply, now, now + deadline_s, is_connected)
        reason = self._refusal_reason(submission, now)
        self._requests.add(request)
        self._held_bytes += submission_bytes(submission)
        if reason:
            self._refuse(request, reason)
        else:
            self._route(request, now)

        return partial(self._abandon, request)

    def explain(self, submission, now):
        """Returns the reason to refuse a new job, its Placer and the Rule.

        The reason is empty if the job is not refused here. The Placer is None for this
        dispatcher itself, or if none is known. Nothing changes.
        """
        if reason := self._refusal_reason(submission, now):
            return reason, None, ""
        if self._is_known(submission.job_id):
            return "", self._forwarded.placer_of(submission.job_id), Rule.OPEN
        placer, rule = self._choose_placer(
            submission, self._peek_offers(), now, (), self._placers.explain
        )
        return "", placer, rule

    @property
    def places_tasks(self):
        """Whether this dispatcher places tasks itself."""
        return self._peek_offers() is not None

    def admits(self, submission):
        """Returns whether there is memory for one more job."""
        return self._admits(submission)

    def _refusal_reason(self, submission, now):
        """Returns why a job is refused on arrival, empty if it is taken."""
        if not (self._is_known(submission.job_id) or self._admits(submission)):
            return "work-limit"
        stopping = may_outlast(submission, now, self._shutdown_deadline)
        return "dispatcher-stopping" if stopping else ""

    def _is_known(self, job_id):
        """Whether an earlier submission of a job is open, so that its tasks count."""
        return (
            self._owner.has_transient(job_id)
            or self._forwarded.placer_of(job_id) is not None
        )

    def _forget(self, request):
        if request in self._requests:
            self._requests.remove(request)
            self._held_bytes -= submission_bytes(request.submission)

    def _abandon(self, request):
        request.done = True
        self._forget(request)
        request.abandon()

    def check_pause(self):
        """Abandons the jobs of callers that left while this process stood still.

        To be called before any work: the loop reports the ends of their connections
        only after what else is due, and would first place tasks of these jobs.
        """
        now = self._now()
        paused = now - self._active_at > PAUSE_S
        self._active_at = now
        if not paused:
            return
        for request in [each for each in self._requests if not each.is_connected()]:
            self._log_caller_left(request.submission.job_id)
            self._abandon(request)

    def _log_caller_left(self, job_id):
        self._event_log("request:refused", job=job_id, reason="caller-left")
        self._event_log.count("banyanwheel.refusals", "caller-left")

    def _route(self, request, now, tried=()):
        """Runs a job here or at a placer; without any, it waits for one."""
        offers = self._own_offers()
        submission = request.submission
        placer = self._choose_placer(submission, offers, now, tried)

        def ended(answer):
            if answer.outcome is Outcome.NOT_STORED:
                self._route_elsewhere(request, placer, tried, answer)
            else:
                self._finish(request, answer)

        if placer is not None:
            self._placers.record_sent(placer, submission)
            request.abandon = self._forwarded.start(
                submission, ended, placer, now, request.expires_at, tried
            )
        elif offers is not None or self._owner.has_transient(submission.job_id):
            request.abandon = lambda: self._owner.remove_transient_caller(
                submission.job_id, ended
            )
            self._owner.run_transient(submission, ended, now, request.expires_at)
        else:
            request.abandon = _not_running
            self._unrouted.append(request)

    def _choose_placer(self, submission, offers, now, tried, choose=None):
        """Returns the Placer for a job, or None for this dispatcher itself.

        While an earlier submission of the job is open, a repeated one goes where that
        is: two dispatchers would run its tasks twice. ``choose`` may take the place of
        :meth:`Placers.choose`, and its answer is returned.
        """
        if self._owner.has_transient(submission.job_id):
            return None
        holder = self._forwarded.placer_of(submission.job_id)
        if holder is not None and holder.address not in tried:
            return holder
        # A dispatcher that stops gives its jobs to others as long as there are any.
        stopping = self._shutdown_deadline < float("inf")
        preferred = None if stopping or SELF in tried else offers
        choose = choose or self._placers.choose
        return choose(submission, now, preferred, tried)

    def _route_elsewhere(self, request, placer, tried, refusal):
        """Gives a job that one placer has refused to another one, if it may help."""
        now = self._now()
        address = placer.address if placer is not None else SELF
        tried = {*tried, address}
        if refusal.reason == EVACUATED:
            request.evacuated.add(address)
        if request.done or not may_end_in_time(
            request.submission, request.received_at, request.expires_at, now
        ):
            self._finish(request, refusal)
        elif refusal.reason == EVACUATED:
            self._leave_evacuated(request, tried, now, refusal)
        elif self._may_try_another(request, tried, now):
            self._event_log.count("banyanwheel.retries", "refused-by-placer")
            self._route(request, now, tried)
        else:
            self._finish(request, refusal)

    def _may_try_another(self, request, tried, now):
        """Returns whether another placer has room for a job that one has refused."""
        refusals = len(tried - request.evacuated)
        return refusals < MAX_PLACERS_TRIED and self._placers.has_room(
            request.submission, now, tried
        )

    def _has_suitable(self, submission, now, tried):
        """Returns whether a placer not yet tried, or this one, may run a job."""
        offers = () if SELF in tried else self._own_offers() or ()
        return suits(offers, submission) or self._placers.has_suitable(
            submission, now, tried
        )

    def _leave_evacuated(self, request, tried, now, refusal):
        """Gives a job that an evacuated cell has returned to another cell.

        It may wait for room there. It is refused if no cell has suitable workers, as
        soon as all placers have had the time to send their claims.
        """
        if self._has_suitable(request.submission, now, tried):
            self._event_log.count("banyanwheel.retries", EVACUATED)
            self._route(request, now, tried)
        elif now < self._placers_known_at:
            request.abandon = _not_running
            self._unrouted.append(request)
        else:
            self._finish(request, refusal)

    def _reroute(self, submission, tried):
        """Routes a job again that the placer it was sent to has not received."""
        for request in self._requests:
            if request.submission is submission:
                self._route(request, self._now(), tried)
                return

    def _finish(self, request, answer):
        if request.done:
            return
        request.done = True
        self._forget(request)
        self._event_log.observe(
            "banyanwheel.request.duration",
            self._now() - request.received_at,
            queue=request.submission.queue.name,
            outcome=str(answer.state or answer.outcome),
        )
        request.reply(answer)

    def _refuse(self, request, reason):
        self._event_log(
            "request:refused",
            job=request.submission.job_id,
            reason=reason,
            waited_ms=round((self._now() - request.received_at) * 1000),
        )
        self._event_log.count("banyanwheel.refusals", reason)
        self._finish(request, Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))

    def handle_reply(self, answer):
        """Handles a ForwardedReply; returns whether it answers a job here."""
        return self._forwarded.handle_reply(answer)

    def handle_unknown(self, address, message):
        """Handles the numbers of jobs that a placer has not received."""
        self._forwarded.handle_unknown(address, message)

    def confirm(self):
        """Confirms the forwarded jobs to their placers; gives up those of lost ones."""
        self._forwarded.tick(self._now())

    def tick(self):
        """Routes the jobs that wait for a placer, or refuses them in time."""
        waiting, self._unrouted = self._unrouted, []
        now = self._now()
        for request in waiting:
            if request.done:
                continue
            if now - request.received_at > UNROUTED_TIMEOUT_S:
                self._refuse(request, EVACUATED if request.evacuated else "no-placer")
            elif request.evacuated and not self._has_suitable(
                request.submission, now, request.evacuated
            ):
                self._unrouted.append(request)
            else:
                self._route(request, now, request.evacuated)

    def start_shutdown(self, deadline):
        """Refuses new jobs that may not end by the deadline."""
        self._shutdown_deadline = deadline

    def fail_all(self):
        """Answers every open job without its result, before the process ends."""
        self._forwarded.fail_all("dispatcher-stopping")
        for job_id in list(self._owner.transient.jobs):
            self._owner.abort_transient(job_id, "dispatcher-stopping")
        for request in list(self._requests):
            self._refuse(request, "dispatcher-stopping")
