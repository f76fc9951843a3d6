"""Takes callers' requests to the owners of their jobs, here or elsewhere."""

import asyncio
from dataclasses import dataclass, field
from itertools import count

import msgspec

from banyanwheel_jobs.messages import Answer, Ask
from banyanwheel_jobs.model import JobState, Step, Submission, partition_of
from banyanwheel_jobs.outcomes import RETRY_AFTER_MS, Outcome, Reply

__all__ = ["CallerDesk"]

RESEND_S = 0.6  # an owner answers within an append, also of a slow log
LOOK_AGAIN_S = 0.05  # for an owner, while a partition moves
UNOWNED_SUBMIT_S = 0.5  # a job that nobody can store is refused early
ANSWER_MARGIN_S = 0.15  # the answer travels before the caller's deadline
MIN_WAIT_S = 0.05
# A connection that has gone silent is replaced within a second.
CANCEL_REPEATS_S = (0.0, 0.4, 1.2)
CLOSING_FACTOR = 2.0  # over a job's estimate, on the slowest workers
PENDING_AGE_S = 1.9  # a count of another process may be this old


@dataclass(slots=True, eq=False)
class _Request:
    ask: Ask
    reply: object
    deadline: float
    begun: float
    open_copies: int = 0  # that an owner may have taken and has not answered
    timer: object = None
    done: bool = False


@dataclass(slots=True)
class _Counts:
    heard_at: float
    pending: dict = field(default_factory=dict)


class CallerDesk:
    """Open requests of callers, and those passed on by other dispatchers.

    ``send(address, message)`` reaches another dispatcher; ``stalled(partition)`` tells
    whether the log gives no answers for it; ``confirm(callback)`` calls back once the
    ownership was confirmed anew.
    """

    def __init__(self, owner, partitions, clocks, note, *, send, ownership):
        self._owner = owner
        self._partitions = partitions
        self._now, self._wall_ms = clocks
        self._note = note
        self._send = send
        self._ownership = ownership
        self._owners = {}  # address by partition
        self._counts = {}  # by address
        self._requests = {}
        self._numbers = count(1)
        self._transient_open = 0
        self._closes_at = float("inf")
        self.routing = None

    @property
    def version(self):
        """The version of the configuration in force, -1 for none."""
        return self.routing.version if self.routing else -1

    @property
    def open_requests(self):
        """The number of requests that have not been answered."""
        return len(self._requests) + self._transient_open

    def heard_at(self, address):
        """When another dispatcher was heard last, None for never."""
        counts = self._counts.get(address)
        return counts.heard_at if counts else None

    def owner_of(self, partition):
        """Returns the address of the other dispatcher that owns a partition."""
        return self._owners.get(partition)

    # The callers' side

    async def call(self, method, job_id, deadline_s):
        """Returns the Reply of ``state`` or ``cancel``."""
        future = asyncio.get_running_loop().create_future()
        method(job_id, _setter(future), deadline_s)
        return await future

    async def hand_in(self, job_id, document, deadline_s, on_leave=None):
        """Hands in a job by its document; returns the Reply.

        ``on_leave(leave)`` has ``leave()`` called when the caller goes.
        """
        if self.routing is None:
            return Reply(Outcome.NO_CONFIGURATION, retry_ms=RETRY_AFTER_MS)
        queue = self.routing.find(document.queue)
        if queue is None:
            return Reply(Outcome.NO_QUEUE)
        steps = tuple(Step.from_document(step) for step in document.steps)
        future = asyncio.get_running_loop().create_future()
        arguments = (job_id, queue, document.spec, steps, _setter(future), deadline_s)
        if not document.transient:
            self.submit(*arguments)
            return await future
        leave = self.run(*arguments)

        def caller_left():
            if not future.done():
                leave()
                # Nobody reads it; who awaits this call is not to wait for good.
                future.set_result(Reply(Outcome.IN_DOUBT))

        if on_leave is not None and not future.done():
            on_leave(caller_left)
        return await future

    def submit(self, job_id, queue, spec, steps, reply, deadline_s):
        """Hands a job in."""
        self._begin(
            Ask(0, "submit", job_id, queue, spec, steps, self._wall_ms()),
            reply,
            deadline_s,
        )

    def run(self, job_id, queue, spec, steps, reply, deadline_s):
        """Runs a job that is not stored; returns a function that ends the waiting."""
        now = self._now()
        submission = Submission(
            job_id, queue, spec, steps, self._wall_ms(), transient=True
        )
        self._note(
            "request:run",
            job=job_id,
            queue=queue.name,
            tasks=sum(step.count for step in steps),
            deadline_ms=round(deadline_s * 1000),
        )

        if now + CLOSING_FACTOR * submission.chain_ms / 1000 > self._closes_at:
            self._note("request:refused", job=job_id, reason="dispatcher-stopping")
            self._note.count("banyanwheel.refusals", "dispatcher-stopping")
            reply(Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))
            return lambda: None
        self._transient_open += 1

        def answered(answer):
            self._transient_open -= 1
            self._note.observe(
                "banyanwheel.request.duration",
                self._now() - now,
                queue=queue.name,
                outcome=str(answer.state or answer.outcome),
            )
            reply(answer)

        self._owner.run_transient(submission, answered, now, now + deadline_s)

        def leave():
            self._transient_open -= 1
            self._owner.leave_transient(job_id, answered)

        return leave

    def state(self, job_id, reply, deadline_s):
        """Asks for a job's state."""
        job = self._owner.transient.jobs.get(job_id)
        if job is not None:
            reply(Reply(Outcome.STATE, job.state))
            return
        self._begin(Ask(0, "state", job_id), reply, deadline_s)

    def cancel(self, job_id, reply, deadline_s):
        """Cancels a job, wherever it is."""
        if self._owner.cancel_transient(job_id):
            reply(Reply(Outcome.STATE, JobState.CANCELED))
            return
        for delay_s in CANCEL_REPEATS_S:
            asyncio.get_running_loop().call_later(delay_s, self._spread_cancel, job_id)
        self._begin(Ask(0, "cancel", job_id), reply, deadline_s)

    def _spread_cancel(self, job_id):
        for address in self._counts:
            self._send(address, Ask(0, "cancel-transient", job_id))

    def pending(self, queue):
        """Returns how many jobs of a queue have not begun, over all owners."""
        oldest = self._now() - PENDING_AGE_S
        others = sum(
            counts.pending.get(queue.name, 0)
            for counts in self._counts.values()
            if counts.heard_at >= oldest
        )
        return self._owner.pending.get(queue.name, 0) + others

    def _begin(self, ask, reply, deadline_s):
        now = self._now()
        deadline = now + max(MIN_WAIT_S, deadline_s - ANSWER_MARGIN_S)
        request = _Request(ask, reply, deadline, now)
        if self._partition_of(ask.job_id) in self._owner.partitions:
            self._requests[id(request)] = request
            request.open_copies += 1
            self._serve(ask, lambda answer: self._answered(request, answer))
            if not request.done:
                self._watch(request)
            return
        number = next(self._numbers)
        request.ask = msgspec.structs.replace(ask, number=number)
        self._requests[number] = request
        self._try(request)

    def _partition_of(self, job_id):
        return partition_of(job_id, self._partitions)

    def _try(self, request):
        if request.done:
            return
        now = self._now()
        if now >= request.deadline:
            self._give_up(request)
            return
        if self._partition_of(request.ask.job_id) in self._owner.partitions:
            request.open_copies += 1
            self._serve(request.ask, lambda answer: self._answered(request, answer))
            self._watch(request)
            return
        address = self._owners.get(self._partition_of(request.ask.job_id))
        if address is None:
            if (
                request.ask.verb == "submit"
                and not request.open_copies
                and (now - request.begun > UNOWNED_SUBMIT_S)
            ):
                self._give_up(request)
                return
            self._again(request, LOOK_AGAIN_S)
            return
        request.open_copies += 1
        self._send(address, request.ask)
        self._again(request, RESEND_S)

    def _again(self, request, delay_s):
        loop = asyncio.get_running_loop()
        if request.timer is not None:
            request.timer.cancel()
        request.timer = loop.call_later(delay_s, self._try, request)

    def _watch(self, request):
        """Has a request that waits for an owner here answered by its deadline."""
        if not request.done:
            self._again(request, max(0.0, request.deadline - self._now()))

    def _give_up(self, request):
        if request.ask.verb == "submit" and not request.open_copies:
            self._finish(request, Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))
        else:
            self._finish(request, Reply(Outcome.IN_DOUBT))

    def _answered(self, request, reply):
        if request.done:
            return
        request.open_copies -= 1
        if reply.outcome is Outcome.NOT_OWNER:
            self._again(request, LOOK_AGAIN_S)
            return
        if reply.outcome is Outcome.NOT_STORED and request.open_copies:
            # Another copy is on its way and may be stored yet.
            return
        self._finish(request, reply)

    def _finish(self, request, reply):
        request.done = True
        if request.timer is not None:
            request.timer.cancel()
        self._requests.pop(request.ask.number or id(request), None)
        if reply.outcome in (Outcome.NOT_STORED, Outcome.IN_DOUBT):
            self._note(
                "request:refused",
                job=request.ask.job_id,
                verb=request.ask.verb,
                outcome=reply.outcome,
                waited_ms=round((self._now() - request.begun) * 1000),
                owner=self._owners.get(self._partition_of(request.ask.job_id)),
            )
            self._note.count("banyanwheel.refusals", reply.outcome)
        request.reply(reply)

    def close_at(self, when):
        """Refuses, from now on, transient jobs that may not end by then."""
        self._closes_at = when

    def give_up_all(self):
        """Answers every open request, before the process ends."""
        for request in list(self._requests.values()):
            self._give_up(request)
        for job_id in list(self._owner.transient.jobs):
            self._owner.give_up_transient(job_id, "dispatcher-stopping")

    # The owner's side

    def _serve(self, ask, reply):
        match ask.verb:
            case "submit":
                self._serve_submit(ask, reply)
            case "state":
                self._owner.ask(ask.job_id, self._sure(ask, reply))
            case "cancel":
                self._owner.cancel(ask.job_id, self._sure(ask, reply), self._now())

    def _serve_submit(self, ask, reply):
        partition = self._owner.partition_for(ask.job_id)
        new = partition is not None and not (
            partition.knows(ask.job_id) or ask.job_id in partition.storing
        )
        if new and self._ownership.stalled(partition):
            reply(Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))
            return
        submission = Submission(
            ask.job_id, ask.queue, ask.spec, ask.steps, ask.received_ms
        )
        self._owner.submit(submission, reply, self._now())

    def _sure(self, ask, reply):
        """Lets "unknown job" pass only once the ownership was confirmed anew."""

        def checked(answer):
            if answer.outcome is not Outcome.UNKNOWN_JOB:
                reply(answer)
            else:
                self._ownership.call_when_confirmed(
                    lambda: self._owner.ask(ask.job_id, reply)
                )

        return checked

    # Other dispatchers

    def take_ask(self, address, ask):
        """Serves a request that another dispatcher passed on."""
        if ask.verb == "cancel-transient":
            self._owner.cancel_transient(ask.job_id)
            return

        def reply(answer):
            self._send(
                address,
                Answer(ask.number, answer.outcome, answer.state, answer.retry_ms),
            )

        self._serve(ask, reply)

    def take_answer(self, answer):
        """Takes the answer to a request that was passed on."""
        request = self._requests.get(answer.number)
        if request is not None:
            outcome = Outcome(answer.outcome)
            self._answered(request, Reply(outcome, answer.state, answer.retry_ms))

    def take_claims(self, address, claims):
        """Notes what another dispatcher owns."""
        for partition, known in list(self._owners.items()):
            if known == address and partition not in claims.partitions:
                del self._owners[partition]
        for partition in claims.partitions:
            self._owners[partition] = address
        self._counts[address] = _Counts(self._now(), claims.pending)


def _setter(future):
    """Returns a function that sets the result of a future that still waits."""

    def reply(answer):
        if not future.done():
            future.set_result(answer)

    return reply
