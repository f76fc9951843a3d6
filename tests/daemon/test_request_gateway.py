import asyncio

import pytest

from banyanwheel_core.documents import JobDocument
from banyanwheel_daemon.partition_requests import MAX_UNCONFIRMED
from banyanwheel_daemon.request_gateway import OWNER_RETRY_S, RESEND_S
from banyanwheel_jobs.messages import Claims, ForwardedReply, ForwardedRequest
from banyanwheel_jobs.model import JobState, Queue, Resources, Step, Submission
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.ports import KeyedRecord
from banyanwheel_jobs.records import Accepted, encode, job_key
from banyanwheel_jobs.routing import RoutingTable
from tests.daemon.gateways import NOW, build_gateway
from tests.jobs.world import lone_owner

QUEUE = Queue("counter", "desk", 0, 3, 1.6, 60)


@pytest.fixture
def gateway():
    owner = lone_owner(4)
    return build_gateway(owner, 4, send=lambda *sent: None)


def run_job(gateway, estimate_ms):
    replies = []
    steps = (Step(1, Resources(1_000), estimate_ms),)
    abandon = gateway.run("a" * 16, QUEUE, "", steps, replies.append, 5.0)
    return replies, abandon


def test_a_stopping_dispatcher_refuses_jobs_that_may_outlast_it(gateway):
    """An accepted transient job was lost when its dispatcher stopped before its end.

    Seen with mix --seed 165548887919 of magridge-ops, rule LOST.
    """
    gateway.start_shutdown(NOW + 1.0)
    replies, _ = run_job(gateway, estimate_ms=1_800)
    assert [reply.outcome for reply in replies] == [Outcome.NOT_STORED]
    assert replies[0].retry_ms > 0
    assert gateway.open_requests == 0


def test_a_stopping_dispatcher_still_accepts_short_jobs(gateway):
    gateway.start_shutdown(NOW + 1.0)
    replies, _ = run_job(gateway, estimate_ms=120)
    assert replies == []
    assert gateway.open_requests == 1


def test_open_requests_are_answered_before_the_process_ends(gateway):
    replies, _ = run_job(gateway, estimate_ms=120)
    gateway.fail_open_requests()
    assert [reply.outcome for reply in replies] == [Outcome.IN_DOUBT]
    assert gateway.open_requests == 0


def test_an_abandoned_job_is_no_open_request(gateway):
    replies, abandon = run_job(gateway, estimate_ms=120)
    abandon()
    assert gateway.open_requests == 0
    assert replies == []


def test_a_submission_returns_when_its_caller_disconnects(gateway):
    """Without a reply the awaiting task never ended: one leaked per such caller."""
    gateway.routing = RoutingTable.build(0, [("desk.example", "/", QUEUE)], 1_000)
    asyncio.run(_disconnect(gateway))


async def _disconnect(gateway):
    document = JobDocument.from_json(
        b'{"queue": "counter", "transient": true,'
        b' "steps": [{"count": 1, "cpu": 1000, "estimate_ms": 120}]}'
    )
    callbacks = []
    call = asyncio.create_task(
        gateway.submit_document("a" * 16, document, 5.0, callbacks.append)
    )
    await asyncio.sleep(0)
    (caller_left,) = callbacks
    caller_left()
    async with asyncio.timeout(1):
        await call
    assert gateway.open_requests == 0


def test_a_submission_is_refused_only_after_all_copies_are_answered():
    """A job was reported as not stored, but a copy of the request was stored later.

    Seen with stored jobs: scale-1, rule REFUSED.
    """
    asyncio.run(_refuse_copies())


async def _refuse_copies():
    sent, replies = [], []
    owner = lone_owner(4)
    gateway = build_gateway(
        owner, 4, send=lambda address, message: sent.append(message)
    )
    gateway.handle_claims("other", Claims((0, 1, 2, 3), {}))
    steps = (Step(1, Resources(1_000), 100),)
    gateway.submit("a" * 16, QUEUE, "", steps, replies.append, 5.0)
    await asyncio.sleep(RESEND_S + 0.1)
    assert len(sent) == 2
    answer = ForwardedReply(sent[0].number, Outcome.NOT_STORED)
    gateway.handle_reply(answer)
    assert replies == []
    gateway.handle_reply(answer)
    assert [reply.outcome for reply in replies] == [Outcome.NOT_STORED]


def open_owner():
    """Returns an owner with four open partitions that stores nothing by itself."""
    owner = lone_owner(4, store=lambda partition: None)
    for number in range(4):
        owner.open(number, 1, [], NOW, 0)
    return owner


class ConfirmingOwnership:
    """Keeps the callbacks that wait for a confirmation by the log."""

    def __init__(self):
        self.callbacks = []

    def call_when_confirmed(self, callback):
        self.callbacks.append(callback)

        def forget():
            if callback in self.callbacks:
                self.callbacks.remove(callback)

        return forget

    def confirm(self):
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


def test_a_request_is_answered_though_its_partition_moves_meanwhile():
    """A cancellation was reported as of unknown outcome, but it was carried out.

    The request had begun at the former owner, which didn't number it, and so the new
    owner's answer was dropped. Seen with the scenario "A job is seen, explained and
    canceled through the other dispatcher", in one run of five.
    """
    asyncio.run(_cancel_while_partition_moves())


async def _cancel_while_partition_moves():
    sent, replies = [], []
    owner = open_owner()
    ownership = ConfirmingOwnership()
    gateway = build_gateway(
        owner,
        4,
        send=lambda address, message: sent.append(message),
        ownership=ownership,
    )
    job_id = "a" * 16
    gateway.cancel(job_id, replies.append, 5.0)
    for number in list(owner.partitions):
        owner.close(number, "dealt-elsewhere")
    ownership.confirm()
    gateway.handle_claims("other", Claims((0, 1, 2, 3), {}))
    await asyncio.sleep(2 * OWNER_RETRY_S)
    (request,) = [message for message in sent if message.verb == "cancel"]
    gateway.handle_reply(
        ForwardedReply(request.number, Outcome.STATE, JobState.CANCELED)
    )
    assert [reply.state for reply in replies] == [JobState.CANCELED]
    assert gateway.open_requests == 0


def test_a_job_that_comes_back_with_its_partition_is_canceled():
    """Its state was reported in place of canceling it."""
    asyncio.run(_cancel_when_partition_returns())


async def _cancel_when_partition_returns():
    replies = []
    owner = open_owner()
    ownership = ConfirmingOwnership()
    gateway = build_gateway(
        owner, 4, send=lambda address, message: None, ownership=ownership
    )
    job_id = "a" * 16
    gateway.cancel(job_id, replies.append, 5.0)
    submission = Submission(job_id, QUEUE, "", (Step(1, Resources(1_000), 100),), 0)
    record = KeyedRecord(job_key(job_id), encode(Accepted(submission, 1)), 0)
    number = owner.partition_for(job_id).number
    owner.close(number, "dealt-elsewhere")
    partition = owner.open(number, 2, [record], NOW, 0)
    await asyncio.sleep(2 * OWNER_RETRY_S)
    assert replies == []
    partition.journal.next_batch()
    partition.journal.mark_stored()
    assert [reply.state for reply in replies] == [JobState.CANCELED]


def test_a_submission_that_its_former_owner_could_not_store_goes_to_the_new_one():
    """It was refused with 503, though the new owner had stored the same job.

    The former owner had not heard yet that its partition had moved, and was fenced.
    """
    asyncio.run(_submit_while_partition_moves())


async def _submit_while_partition_moves():
    sent, replies = [], []
    owner = open_owner()
    ownership = ConfirmingOwnership()
    ownership.stalled = lambda partition: False
    gateway = build_gateway(
        owner,
        4,
        send=lambda address, message: sent.append((address, message)),
        ownership=ownership,
    )
    steps = (Step(1, Resources(1_000), 100),)
    gateway.submit("a" * 16, QUEUE, "", steps, replies.append, 5.0)
    for number in list(owner.partitions):
        owner.close(number, "fenced")
    assert replies == []
    gateway.handle_claims("other", Claims((0, 1, 2, 3), {}))
    await asyncio.sleep(2 * OWNER_RETRY_S)
    ((address, request),) = sent
    assert (address, request.verb) == ("other", "submit")
    gateway.handle_reply(ForwardedReply(request.number, Outcome.ACCEPTED))
    assert [reply.outcome for reply in replies] == [Outcome.ACCEPTED]


def test_nothing_is_left_of_a_request_that_was_abandoned():
    """Requests whose callers had left stayed until the log answered."""

    async def run():
        ownership, replies = ConfirmingOwnership(), []
        gateway = build_gateway(open_owner(), 4, ownership=ownership)
        abandon = gateway.state("a" * 16, replies.append, 600.0)
        assert (gateway.waiting_requests, len(ownership.callbacks)) == (1, 1)
        abandon()
        assert (gateway.waiting_requests, ownership.callbacks) == (0, [])
        assert replies == []

    asyncio.run(run())


def test_copies_of_a_forwarded_request_wait_once():
    """Another dispatcher sends a request anew until it has an answer."""
    ownership, answers = ConfirmingOwnership(), []
    gateway = build_gateway(
        open_owner(),
        4,
        ownership=ownership,
        send_reply=lambda entry, answer: answers.append((entry, answer.number)),
    )
    for _ in range(3):
        for entry in ("one", 1), ("two", 1):
            gateway.handle_ask(entry, ForwardedRequest(7, "state", "a" * 16))
    assert len(ownership.callbacks) == 2
    ownership.confirm()
    assert answers == [(("one", 1), 7), (("two", 1), 7)]
    gateway.handle_ask(("one", 1), ForwardedRequest(7, "state", "a" * 16))
    assert len(ownership.callbacks) == 1


def test_requests_of_other_dispatchers_that_wait_are_bounded():
    ownership = ConfirmingOwnership()
    gateway = build_gateway(open_owner(), 4, ownership=ownership)
    for number in range(MAX_UNCONFIRMED + 10):
        gateway.handle_ask(("one", 1), ForwardedRequest(number, "state", "a" * 16))
    assert len(ownership.callbacks) == MAX_UNCONFIRMED


def test_a_cancel_that_is_not_stored_waits_for_the_log():
    """It was answered as unknown by a renewal that said nothing of its journal."""

    async def run():
        ownership, owner, replies = ConfirmingOwnership(), open_owner(), []
        gateway = build_gateway(owner, 4, ownership=ownership)
        gateway.cancel("a" * 16, replies.append, 600.0)
        journal = owner.partition_for("a" * 16).journal
        for _ in range(2):
            journal.refuse_pending()
            assert (replies, len(ownership.callbacks)) == ([], 1)
            ownership.confirm()
        assert replies == []
        journal.next_batch()
        journal.mark_stored()
        assert [reply.outcome for reply in replies] == [Outcome.UNKNOWN_JOB]
        assert (gateway.waiting_requests, ownership.callbacks) == (0, [])

    asyncio.run(run())


def test_nothing_is_left_of_a_request_that_waited_for_a_submission():
    async def run():
        ownership, owner, replies = ConfirmingOwnership(), open_owner(), []
        ownership.stalled = lambda partition: False
        gateway = build_gateway(owner, 4, ownership=ownership)
        steps = (Step(1, Resources(1_000), 100),)
        gateway.submit("a" * 16, QUEUE, "", steps, replies.append, 5.0)
        abandon = gateway.state("a" * 16, replies.append, 600.0)
        pending = owner.partition_for("a" * 16).pending_submissions["a" * 16]
        assert len(pending.requests) == 1
        abandon()
        assert (pending.requests, replies) == ([], [])

    asyncio.run(run())
