"""What a dispatcher sends for the messages that it receives."""

import asyncio

import pytest

from banyanwheel_daemon.addresses import Address
from banyanwheel_daemon.context import Environment
from banyanwheel_daemon.dispatcher import Dispatcher
from banyanwheel_daemon.members import Member
from banyanwheel_daemon.role import RUNNER
from banyanwheel_daemon.settings import (
    Callers,
    DispatcherSettings,
    Jobs,
    Log,
    Process,
)
from banyanwheel_jobs.messages import (
    ForwardedReply,
    ForwardedRequest,
    InspectionRequest,
    InspectionResult,
)
from banyanwheel_jobs.model import Queue, Resources, Step
from banyanwheel_jobs.placing.runner_view import RunnerView
from banyanwheel_jobs.ports import KeyedRecord
from tests.jobs.world import EventRecorder

ANYWHERE = Address("127.0.0.1:0")
JOB = "a" * 16
QUEUE = Queue("counter", "desk", 0, 3, 1.6, 60)
STEPS = (Step(1, Resources(1_000), 100),)
REQUESTS = (
    (ForwardedRequest(7, "state", JOB), ForwardedReply),
    (ForwardedRequest(7, "cancel", JOB), ForwardedReply),
    (ForwardedRequest(7, "submit", JOB, QUEUE, "", STEPS), ForwardedReply),
    (InspectionRequest(7, "show queues"), InspectionResult),
    (InspectionRequest(7, "show nothing"), InspectionResult),
)


class PeersRecorder:
    """Keeps (address, incarnation, message) of all that is sent."""

    def __init__(self):
        self.sent = []

    def send(self, address, message, incarnation=""):
        self.sent.append((address, incarnation, message))


def new_dispatcher(**jobs):
    settings = DispatcherSettings(
        process=Process(
            name="one", data_centre="dc", address=Address("127.0.0.1:7000")
        ),
        log=Log(address=Address("127.0.0.1:1"), partitions=4),
        callers=Callers(listen=ANYWHERE, ready=ANYWHERE),
        jobs=Jobs(**jobs),
    )
    dispatcher = Dispatcher(settings, Environment(None, None))
    dispatcher._peers = PeersRecorder()
    return dispatcher


@pytest.mark.parametrize(("request_", "kind"), REQUESTS)
def test_a_reply_is_for_the_incarnation_that_asked(request_, kind):
    """A restarted dispatcher took replies to its predecessor for its own.

    Both number their requests from 1: a job that no owner had stored was accepted.
    """

    async def run():
        dispatcher = new_dispatcher()
        dispatcher._receive("b:1", "earlier", request_)
        return dispatcher._peers.sent

    ((address, incarnation, message),) = asyncio.run(run())
    assert (address, incarnation, type(message)) == ("b:1", "earlier", kind)
    assert message.number == 7


@pytest.mark.parametrize("evacuation_ms", [None, 5_000])
def test_a_dispatcher_follows_evacuations_only_with_the_setting(evacuation_ms):
    dispatcher = new_dispatcher(evacuation_ms=evacuation_ms)
    follows = evacuation_ms is not None
    assert dispatcher._owner.evacuations.covers("dc") is follows
    assert (dispatcher._evacuation_reader in dispatcher._feed._readers) is follows


def test_an_evacuation_reaches_the_views_and_an_unmatched_one_is_logged_once():
    dispatcher = new_dispatcher(evacuation_ms=5_000)
    events = dispatcher._evacuation_reader._event_log = EventRecorder()
    view = dispatcher._views["r:1"] = RunnerView("r:1", "dc-1")
    reader = dispatcher._evacuation_reader
    records = [KeyedRecord(f"evacuate/{name}", b"{}", 1) for name in ("dc-1", "dc-9")]
    reader.replace(records)
    assert view.evacuated
    reader.update([KeyedRecord("evacuate/dc-1", None, 2)])
    assert not view.evacuated
    dispatcher._members.known["r:1"] = Member(RUNNER, "dc-1")
    for _ in range(2):
        dispatcher._members_changed()
    unmatched = [f for name, f in events.events if name.endswith("no-such-data-centre")]
    assert unmatched == [{"data_centre": "dc-9"}]


@pytest.mark.parametrize("separate", [False, True])
def test_interference_is_learned_only_where_it_is_set(separate):
    """Without the setting there is nothing to learn from, to ask or to show."""

    async def run():
        dispatcher = new_dispatcher(separate_interfering=separate)
        dispatcher._register_gauges()
        return dispatcher._owner.placement.interference, dispatcher.metrics.render()

    interference, metrics = asyncio.run(run())
    assert (interference is not None) is separate
    assert (b"banyanwheel_interference_pairs" in metrics) is separate
