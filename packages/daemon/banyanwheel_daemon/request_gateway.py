"""Routes callers' requests to the dispatchers that own their jobs."""

import asyncio
from dataclasses import dataclass, field
from functools import partial

from banyanwheel_jobs.messages import ForwardedRequest
from banyanwheel_jobs.model import JobState, Step, partition_of
from banyanwheel_jobs.open_work import HeldTable, submission_bytes
from banyanwheel_jobs.outcomes import RETRY_AFTER_MS, Outcome, Reply

from .partition_requests import PartitionRequests

__all__ = ["RequestGateway"]

RESEND_S = 0.6  # an owner answers within one append, even if the log is slow
OWNER_RETRY_S = 0.05  # while a partition moves to another owner
UNOWNED_SUBMIT_TIMEOUT_S = 0.5  # refuses early what no dispatcher can store
ANSWER_MARGIN_S = 0.15  # leaves time for the answer to reach the caller
MIN_WAIT_S = 0.05
# The last resend comes after a dead connection is replaced, which takes up to a second.
CANCEL_RESENDS_S = (0.0, 0.4, 1.2)
MAX_PENDING_COUNT_AGE_S = 1.9


@dataclass(slots=True, eq=False)
class _Request:
    ask: ForwardedRequest
    reply: object
    deadline: float
    started_at: float
    copies_in_flight: int = 0  # sent to an owner and not answered yet
    timer: object = None
    cancel_wait: object = None  # ends the wait for a confirmation by the log
    done: bool = False


@dataclass(slots=True)
class _PendingCounts:
    heard_at: float
    pending: dict = field(default_factory=dict)


class RequestGateway:
    """The open requests of callers, local and forwarded by other dispatchers.

    Requests for a job of a local partition are served here, all others are forwarded
    to the dispatcher that owns the job's partition.

    ``clocks`` are a function for the monotonic time in seconds and one for the wall
    clock in milliseconds. ``send(address, message)`` sends to another dispatcher,
    ``send_reply(entry, message)`` to one incarnation of it, an (address, incarnation).
    ``ownership.stalled(partition)`` returns whether the log doesn't answer for a
    partition; ``ownership.call_when_confirmed(callback)`` calls back once the log has
    confirmed again which partitions are assigned to this dispatcher. ``transient`` are
    the TransientRequests; ``numbers`` yields the numbers of requests, any of which may
    have to be forwarded. ``admits(ask)`` tells whether its job fits into memory.
    """

    def __init__(
        self,
        owner,
        partitions,
        clocks,
        event_log,
        *,
        send,
        send_reply,
        ownership,
        transient,
        numbers,
        admits=lambda ask: True,
    ):
        self._owner = owner
        self._partitions = partitions
        self._now, self._wall_ms = clocks
        self._event_log = event_log
        self._send = send
        self._local = PartitionRequests(owner, self._now, ownership, admits, send_reply)
        self._owner_addresses = {}  # by partition
        self._pending_counts = {}  # by address of the dispatcher
        self._requests = HeldTable(lambda each: submission_bytes(each.ask))
        self._admits = admits
        self._numbers = numbers
        self._transient = transient
        self.routing = None

    @property
    def version(self):
        """The version of the configuration in force, -1 for none."""
        return self.routing.version if self.routing else -1

    @property
    def open_requests(self):
        """The number of requests that have not been answered."""
        return len(self._requests) + len(self._transient)

    @property
    def waiting_requests(self):
        """The number of unanswered requests, but for transient jobs."""
        return len(self._requests)

    @property
    def held_bytes(self):
        """The memory that the submissions of unanswered requests take."""
        return self._requests.held_bytes + self._transient.held_bytes

    def heard_at(self, address):
        """Returns when another dispatcher last sent its partitions, None for never."""
        counts = self._pending_counts.get(address)
        return counts.heard_at if counts else None

    def owner_of(self, partition):
        """Returns the address of another dispatcher that owns a partition, or None."""
        return self._owner_addresses.get(partition)

    # Requests of callers

    async def await_state(self, job_id, deadline_s, on_disconnect):
        """Requests a job's state and returns the Reply.

        ``on_disconnect(callback)`` registers a function to be called when the caller
        disconnects, which ends the wait.
        """
        future = asyncio.get_running_loop().create_future()
        abandon = self.state(job_id, _result_setter(future), deadline_s)
        if not future.done():
            on_disconnect(_leave_function(future, abandon))
        return await future

    async def await_cancel(self, job_id, deadline_s):
        """Cancels a job and returns the Reply."""
        future = asyncio.get_running_loop().create_future()
        self.cancel(job_id, _result_setter(future), deadline_s)
        return await future

    async def submit_document(
        self, job_id, document, deadline_s, on_disconnect=None, is_connected=None
    ):
        """Submits the job of a JobDocument and returns the Reply.

        ``on_disconnect(callback)`` registers a function to be called when the caller
        of a transient job disconnects; ``is_connected`` is as for
        :meth:`TransientRequests.run`.
        """
        if self.routing is None:
            return Reply(Outcome.NO_CONFIGURATION, retry_ms=RETRY_AFTER_MS)
        queue = self.routing.find(document.queue)
        if queue is None:
            return Reply(Outcome.NO_QUEUE)
        steps = tuple(Step.from_document(step) for step in document.steps)
        future = asyncio.get_running_loop().create_future()
        arguments = (
            job_id,
            queue,
            document.spec,
            steps,
            _result_setter(future),
            deadline_s,
        )
        if not document.transient:
            self.submit(*arguments)
            return await future
        abandon = self.run(*arguments, is_connected)
        if on_disconnect is not None and not future.done():
            on_disconnect(_leave_function(future, abandon))
        return await future

    def submit(self, job_id, queue, spec, steps, reply, deadline_s):
        """Submits a job to be stored; ``reply`` is called with a Reply."""
        details = (queue, spec, steps, self._wall_ms())
        ask = ForwardedRequest(next(self._numbers), "submit", job_id, *details)
        forwarded = self._partition_of(job_id) not in self._owner.partitions
        if forwarded and not self._admits(ask):
            # Its owner may have the job from an earlier request.
            reply(Reply(Outcome.IN_DOUBT))
            return
        self._start_request(ask, reply, deadline_s)

    def run(self, job_id, queue, spec, steps, reply, deadline_s, is_connected=None):
        """Runs a transient job; see :meth:`TransientRequests.run`."""
        return self._transient.run(
            job_id, queue, spec, steps, reply, deadline_s, is_connected
        )

    def state(self, job_id, reply, deadline_s):
        """Requests a job's state and returns a function that abandons the request.

        ``reply`` is called with a Reply, but not after the request was abandoned.
        """
        job = self._owner.transient.jobs.get(job_id)
        if job is not None:
            reply(Reply(Outcome.STATE, job.state))
            return _nothing
        ask = ForwardedRequest(next(self._numbers), "state", job_id)
        return partial(self._abandon, self._start_request(ask, reply, deadline_s))

    def cancel(self, job_id, reply, deadline_s):
        """Cancels a stored or transient job at whichever dispatcher has it.

        ``reply`` is called with a Reply.
        """
        if self._owner.cancel_transient(job_id):
            reply(Reply(Outcome.STATE, JobState.CANCELED))
            return
        for delay_s in CANCEL_RESENDS_S:
            asyncio.get_running_loop().call_later(
                delay_s, self._broadcast_cancel, job_id
            )
        ask = ForwardedRequest(next(self._numbers), "cancel", job_id)
        self._start_request(ask, reply, deadline_s)

    def _broadcast_cancel(self, job_id):
        for address in self._pending_counts:
            self._send(address, ForwardedRequest(0, "cancel-transient", job_id))

    def pending(self, queue):
        """Returns the number of pending jobs of a queue over all dispatchers.

        The counts of other dispatchers are left out once they are older than
        ``MAX_PENDING_COUNT_AGE_S``.
        """
        oldest = self._now() - MAX_PENDING_COUNT_AGE_S
        others = sum(
            counts.pending.get(queue.name, 0)
            for counts in self._pending_counts.values()
            if counts.heard_at >= oldest
        )
        return self._owner.pending.get(queue.name, 0) + others

    def _start_request(self, ask, reply, deadline_s):
        now = self._now()
        deadline = now + max(MIN_WAIT_S, deadline_s - ANSWER_MARGIN_S)
        self._requests[ask.number] = request = _Request(ask, reply, deadline, now)
        self._try_request(request)
        return request

    def _partition_of(self, job_id):
        return partition_of(job_id, self._partitions)

    def _try_request(self, request):
        if request.done:
            return
        now = self._now()
        if now >= request.deadline:
            self._fail(request)
            return
        if self._partition_of(request.ask.job_id) in self._owner.partitions:
            request.copies_in_flight += 1
            self._local.serve(
                request.ask,
                lambda answer: self._take_reply(request, answer),
                lambda cancel: setattr(request, "cancel_wait", cancel),
            )
            self._schedule_timeout(request)
            return
        address = self._owner_addresses.get(self._partition_of(request.ask.job_id))
        if address is None:
            if (
                request.ask.verb == "submit"
                and not request.copies_in_flight
                and (now - request.started_at > UNOWNED_SUBMIT_TIMEOUT_S)
            ):
                self._fail(request)
                return
            self._schedule_try(request, OWNER_RETRY_S)
            return
        request.copies_in_flight += 1
        self._send(address, request.ask)
        self._schedule_try(request, RESEND_S)

    def _schedule_try(self, request, delay_s):
        loop = asyncio.get_running_loop()
        if request.timer is not None:
            request.timer.cancel()
        request.timer = loop.call_later(delay_s, self._try_request, request)

    def _schedule_timeout(self, request):
        """Ensures that a request served locally is answered by its deadline."""
        if not request.done:
            self._schedule_try(request, max(0.0, request.deadline - self._now()))

    def _fail(self, request):
        if request.ask.verb == "submit" and not request.copies_in_flight:
            self._finish(request, Reply(Outcome.NOT_STORED, retry_ms=RETRY_AFTER_MS))
        else:
            self._finish(request, Reply(Outcome.IN_DOUBT))

    def _take_reply(self, request, reply):
        if request.done:
            return
        request.copies_in_flight -= 1
        if reply.outcome is Outcome.NOT_OWNER:
            self._schedule_try(request, OWNER_RETRY_S)
            return
        if reply.outcome is Outcome.NOT_STORED and request.copies_in_flight:
            # The job may still be stored from another copy of the request.
            return
        self._finish(request, reply)

    def _abandon(self, request):
        """Ends a request without a reply."""
        request.done = True
        if request.timer is not None:
            request.timer.cancel()
        if request.cancel_wait is not None:
            request.cancel_wait()
        self._requests.pop(request.ask.number, None)

    def _finish(self, request, reply):
        self._abandon(request)
        if reply.outcome in (Outcome.NOT_STORED, Outcome.IN_DOUBT):
            self._event_log(
                "request:refused",
                job=request.ask.job_id,
                verb=request.ask.verb,
                outcome=reply.outcome,
                waited_ms=round((self._now() - request.started_at) * 1000),
                owner=self._owner_addresses.get(self._partition_of(request.ask.job_id)),
            )
            self._event_log.count("banyanwheel.refusals", reply.outcome)
        request.reply(reply)

    def start_shutdown(self, deadline):
        """Refuses new transient jobs that may not end by the deadline."""
        self._transient.start_shutdown(deadline)

    def fail_open_requests(self):
        """Answers every open request without its result, before the process ends."""
        for request in list(self._requests.values()):
            self._fail(request)
        self._transient.fail_all()

    # Messages from other dispatchers

    def handle_ask(self, entry, ask):
        """Serves another dispatcher's request; see PartitionRequests."""
        self._local.handle_ask(entry, ask)

    def handle_reply(self, answer):
        """Completes a forwarded request with its owner's answer."""
        if self._transient.handle_reply(answer):
            return
        request = self._requests.get(answer.number)
        if request is not None:
            outcome = Outcome(answer.outcome)
            self._take_reply(request, Reply(outcome, answer.state, answer.retry_ms))

    def handle_claims(self, address, claims):
        """Stores another dispatcher's partitions and its counts of pending jobs."""
        for partition, known in list(self._owner_addresses.items()):
            if known == address and partition not in claims.partitions:
                del self._owner_addresses[partition]
        for partition in claims.partitions:
            self._owner_addresses[partition] = address
        self._pending_counts[address] = _PendingCounts(self._now(), claims.pending)


def _nothing():
    pass


def _leave_function(future, abandon):
    """Returns a function for the end of the connection of a caller that waits."""

    def caller_left():
        if not future.done():
            abandon()
            # Nobody reads this reply, but without it the awaiting task never ends.
            future.set_result(Reply(Outcome.IN_DOUBT))

    return caller_left


def _result_setter(future):
    """Returns a function that sets the result of a future unless it is done."""

    def set_result(result):
        if not future.done():
            future.set_result(result)

    return set_result
