"""The checker finds each broken promise, and nothing in a run that keeps them."""

import pytest

from tests.standins.checker import Promise, check
from tests.standins.history import (
    CallerSent,
    CallerTold,
    ConfigurationInForce,
    ConfigurationPublished,
    EndTaken,
    LeaseLapsed,
    LeaveAnnounced,
    ProcessEnded,
    ProcessStarted,
    StopRequested,
    TaskEnded,
    TaskStarted,
)

JOB = "a" * 16
TASK = f"{JOB}.0.0.0"
LEAVE_S = 2.0
CONFIGURATION_S = 12.0


def sent(at, request="r-1", verb="submit", stored=True, tasks=1):
    return CallerSent(
        process="caller",
        at=at,
        request=request,
        dispatcher="dispatcher-1",
        verb=verb,
        job=JOB,
        tasks=tasks,
        stored=stored,
    )


def told(at, status=200, state="", request="r-1", refused=False):
    return CallerTold(
        process="caller",
        at=at,
        request=request,
        status=status,
        state=state,
        refused=refused,
    )


def started(at, worker="worker-1", run=1):
    return TaskStarted(process=worker, at=at, task=TASK, run=run)


def ended(at, worker="worker-1", run=1, how="done"):
    return TaskEnded(process=worker, at=at, task=TASK, run=run, how=how)


def taken(at, worker="worker-1", run=1, how="done"):
    return EndTaken(process=worker, at=at, task=TASK, run=run, how=how)


def promises(*events):
    return [found.promise for found in check(list(events), LEAVE_S, CONFIGURATION_S)]


SOUND = [
    [sent(0), told(1), started(2), ended(3), taken(4)],
    [sent(0), started(1), ended(2, how="lapsed"), started(3, "worker-2", 2)],
    [started(1), ProcessEnded(process="worker-1", at=2), started(3, "worker-2", 2)],
    [sent(0), told(1, 503)],
    [sent(0), told(1, 503), sent(2, "r-2"), told(3, request="r-2"), started(4)],
    [sent(0), told(1, 504), started(2)],
    [
        sent(0),
        started(1),
        ended(2),
        LeaseLapsed(process="worker-1", at=3),
        started(4, "worker-2", 2),
    ],
    [
        sent(0),
        started(1),
        ended(2),
        started(3, "worker-2", 2),
        LeaseLapsed(process="worker-1", at=4),
        taken(5),
    ],
    [
        sent(0, stored=False),
        sent(1, "r-2", "cancel", stored=False),
        told(2, 410, request="r-2"),
        started(6),
    ],
    [LeaveAnnounced(process="worker-1", at=0), started(1)],
    [
        sent(0),
        StopRequested(process="dispatcher-1", at=1),
        told(2),
        ProcessEnded(process="dispatcher-1", at=3),
    ],
    [
        ConfigurationPublished(process="operator", at=0, version=3),
        ConfigurationInForce(process="d", at=5, version=2),
        ConfigurationInForce(process="d", at=11, version=3),
        ProcessStarted(process="d", at=12),
        ConfigurationInForce(process="d", at=13, version=2),
        ConfigurationInForce(process="d", at=14, version=3),
    ],
]


@pytest.mark.parametrize("events", SOUND)
def test_a_run_that_keeps_the_promises_has_no_findings(events):
    assert promises(*events) == []


BROKEN = [
    (Promise.AT_MOST_ONCE, [started(1), started(2, "worker-2", 2)]),
    (Promise.AT_MOST_ONCE, [started(1), started(2)]),
    (
        Promise.NON_IDEMPOTENT,
        [sent(0), started(1), ended(2), taken(3), started(4, "worker-2", 2)],
    ),
    (
        Promise.NON_IDEMPOTENT,
        [sent(0), started(1), ended(2), started(3, "worker-2", 2), taken(4)],
    ),
    (
        Promise.WHOLE_ANSWER,
        [sent(0, tasks=2), started(1), ended(2), told(3, state="completed")],
    ),
    (Promise.WHOLE_ANSWER, [sent(0), started(1), told(2, state="completed")]),
    (
        Promise.OWN_ANSWER,
        [
            sent(0, tasks=0),
            told(1, state="completed"),
            sent(2, "r-2", "state"),
            told(3, state="failed", request="r-2"),
        ],
    ),
    (
        Promise.OWN_ANSWER,
        [sent(0), told(1), sent(2, "r-2", "state"), told(3, 410, request="r-2")],
    ),
    (Promise.NOT_RUN, [sent(0), told(1, 503), started(2)]),
    (Promise.NOT_RUN, [sent(0), told(1, 0, refused=True), started(2)]),
    (
        Promise.NOT_RUN,
        [
            sent(0),
            told(1),
            sent(2, "r-2", "cancel"),
            told(3, state="canceled", request="r-2"),
            started(6.5),
        ],
    ),
    (
        Promise.NOT_RUN,
        [
            sent(0),
            told(1, 504),
            sent(2, "r-2", "cancel"),
            told(3, 410, request="r-2"),
            started(6.5),
        ],
    ),
    (Promise.LEAVING, [LeaveAnnounced(process="worker-1", at=0), started(2.5)]),
    (
        Promise.GRACEFUL_STOP,
        [
            sent(0),
            StopRequested(process="dispatcher-1", at=1),
            told(2, 0),
            ProcessEnded(process="dispatcher-1", at=2.1),
        ],
    ),
    (
        Promise.CONFIGURATION,
        [
            ConfigurationInForce(process="d", at=0, version=3),
            ConfigurationInForce(process="d", at=1, version=2),
        ],
    ),
    (
        Promise.CONFIGURATION,
        [
            ConfigurationPublished(process="operator", at=0, version=3),
            ConfigurationInForce(process="d", at=13, version=2),
        ],
    ),
]


@pytest.mark.parametrize(("promise", "events"), BROKEN)
def test_each_broken_promise_is_found(promise, events):
    assert promises(*events) == [promise]
