import asyncio

import pytest

from banyanwheel_core.documents import JobDocument
from banyanwheel_daemon.caller_desk import RESEND_S, CallerDesk
from banyanwheel_jobs.messages import Claims, ForwardedReply
from banyanwheel_jobs.model import Queue, Resources, Step
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.routing import RoutingTable
from tests.jobs.world import EventRecorder, lone_owner

QUEUE = Queue("counter", "desk", 0, 3, 1.6, 60)
NOW = 100.0


@pytest.fixture
def desk():
    owner = lone_owner(4)
    clocks = (lambda: NOW, lambda: 0)
    return CallerDesk(
        owner, 4, clocks, EventRecorder(), send=lambda *sent: None, ownership=None
    )


def submit(desk, estimate_ms):
    replies = []
    steps = (Step(1, Resources(1_000), estimate_ms),)
    leave = desk.run("a" * 16, QUEUE, "", steps, replies.append, 5.0)
    return replies, leave


def test_a_stopping_dispatcher_takes_no_job_that_it_can_not_end(desk):
    """Seen in a hunt: mix --seed 165548887919 of magridge-ops, rule LOST."""
    desk.close_at(NOW + 1.0)
    replies, _ = submit(desk, estimate_ms=1_800)
    assert [reply.outcome for reply in replies] == [Outcome.NOT_STORED]
    assert replies[0].retry_ms > 0
    assert desk.open_requests == 0


def test_a_stopping_dispatcher_still_takes_short_jobs(desk):
    desk.close_at(NOW + 1.0)
    replies, _ = submit(desk, estimate_ms=120)
    assert replies == []
    assert desk.open_requests == 1


def test_open_requests_are_answered_before_the_process_ends(desk):
    replies, _ = submit(desk, estimate_ms=120)
    desk.give_up_all()
    assert [reply.outcome for reply in replies] == [Outcome.IN_DOUBT]
    assert desk.open_requests == 0


def test_a_caller_that_leaves_is_not_counted_any_more(desk):
    replies, leave = submit(desk, estimate_ms=120)
    leave()
    assert desk.open_requests == 0
    assert replies == []


def test_a_call_ends_when_its_caller_leaves(desk):
    """Found by reading: the call waited for good, one task for each such caller."""
    desk.routing = RoutingTable.build(0, [("desk.example", "/", QUEUE)], 1_000)
    asyncio.run(_leave(desk))


async def _leave(desk):
    document = JobDocument.from_json(
        b'{"queue": "counter", "transient": true,'
        b' "steps": [{"count": 1, "cpu": 1000, "estimate_ms": 120}]}'
    )
    leaves = []
    call = asyncio.create_task(desk.hand_in("a" * 16, document, 5.0, leaves.append))
    await asyncio.sleep(0)
    (leave,) = leaves
    leave()
    async with asyncio.timeout(1):
        await call
    assert desk.open_requests == 0


def test_not_accepted_is_said_only_when_no_copy_is_left():
    """Seen in a trial with jobs that have to be stored: scale-1, rule REFUSED."""
    asyncio.run(_not_accepted())


async def _not_accepted():
    sent, replies = [], []
    owner = lone_owner(4)
    clocks = (lambda: NOW, lambda: 0)
    desk = CallerDesk(
        owner,
        4,
        clocks,
        EventRecorder(),
        send=lambda address, message: sent.append(message),
        ownership=None,
    )
    desk.take_claims("other", Claims((0, 1, 2, 3), {}))
    steps = (Step(1, Resources(1_000), 100),)
    desk.submit("a" * 16, QUEUE, "", steps, replies.append, 5.0)
    await asyncio.sleep(RESEND_S + 0.1)
    assert len(sent) == 2
    answer = ForwardedReply(sent[0].number, Outcome.NOT_STORED)
    desk.take_answer(answer)
    assert replies == []
    desk.take_answer(answer)
    assert [reply.outcome for reply in replies] == [Outcome.NOT_STORED]
