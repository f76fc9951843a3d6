"""The checker accepts a good history and rejects each kind of bad one."""

import msgspec
import pytest
from msgspec import Raw

from tests.standins.checker import check
from tests.standins.history import (
    CallerSent,
    CallerTold,
    ConfigurationInForce,
    ConfigurationPublished,
    History,
    LeaveAnnounced,
    ProcessEnded,
    ProcessPaused,
    ProcessResumed,
    ProcessStarted,
    StopRequested,
    TaskFinished,
    TaskStarted,
    read_history,
)

JOB = "a1.0123456789abcdef.0.1"
PAYLOADS = [{"token": "t0"}, {"token": "t1"}]
UNKNOWN = {"id": JOB, "title": "T", "outcome": "unknown", "reason": "worker-lost"}
NOT_RUN = {"id": JOB, "title": "T", "outcome": "not-run", "reason": "queue-full"}
CONFLICT = {"id": JOB, "title": "T", "reason": "id-conflict"}
GONE = {**UNKNOWN, "reason": "coordinator-gone"}


def raw(value):
    return Raw(msgspec.json.encode(value))


def results(job=JOB, payloads=PAYLOADS):
    return [
        {"echo": payload, "worker": "w1", "job": job, "index": index}
        for index, payload in enumerate(payloads)
    ]


def complete(**changed):
    return {"id": JOB, "state": "complete", "results": results(), **changed}


def sent(at, request="r1", job=JOB, payloads=PAYLOADS, **others):
    payloads = tuple(raw(payload) for payload in payloads)
    fields = {"process": "caller", "entry": "e1", "request": request, "job_id": job}
    return CallerSent(**fields, payloads=payloads, at=at, **others)


def told(at, answer=None, request="r1", status=200, refused=False):
    body = raw(complete() if answer is None else answer)
    fields = {"process": "caller", "request": request, "status": status}
    return CallerTold(**fields, refused=refused, answer=body, at=at)


def ran(at, index, job=JOB, token=None, worker="w1"):
    token = f"t{index}" if token is None else token
    task = {"process": worker, "job_id": job, "index": index}
    return [TaskStarted(**task, token=token, at=at), TaskFinished(**task, at=at + 0.1)]


def in_force(at, offset, process="a1"):
    return ConfigurationInForce(process=process, offset=offset, at=at)


def job(answer=None, **others):
    return [sent(2, **others), *ran(2.1, 0), *ran(2.2, 1), told(3, answer)]


CONFIGURED = [
    ProcessStarted(process="a1", at=0),
    ProcessStarted(process="e1", at=0),
    in_force(0.5, -1),
    ConfigurationPublished(process="operator", offset=4, accepted=True, at=1),
    ConfigurationPublished(process="operator", offset=5, accepted=False, at=1),
    in_force(2, 4),
    in_force(2, 4, "e1"),
]
GOOD = [*CONFIGURED, *job()]
ONE = [{"token": "t0"}]
AGAIN = sent(4, "r2")
KILLED = ProcessEnded(process="e1", at=2.5)
STOPPED = StopRequested(process="a1", at=2.5)
ASKED = StopRequested(process="e1", at=1)
REFUSED = told(3, status=0, refused=True)
LEFT = LeaveAnnounced(process="w1", at=1)


def promises(events):
    events = sorted(events, key=lambda event: event.at)
    return {violation.promise for violation in check(events, 3, 3)}


@pytest.mark.parametrize(
    "events",
    [
        pytest.param([*GOOD, AGAIN, told(5, request="r2")], id="repeat"),
        pytest.param([*GOOD, AGAIN, told(5, GONE, "r2")], id="coordinator gone"),
        pytest.param([sent(2), *ran(2.1, 0), told(3, UNKNOWN)], id="unknown"),
        pytest.param([sent(2), told(3, NOT_RUN)], id="not run"),
        pytest.param([sent(2), told(3, {**NOT_RUN, "state": "failed"})], id="failed"),
        pytest.param(
            [sent(1, "r0", job=""), told(1.5, {**NOT_RUN, "id": "x"}, "r0"), *job()],
            id="not run and later sent under another id",
        ),
        pytest.param(
            [
                *job(),
                sent(4, "r2", payloads=[{"token": "other"}]),
                told(5, CONFLICT, "r2"),
            ],
            id="another body under the id",
        ),
        pytest.param(
            [sent(2, payloads=ONE, idempotent=True), *ran(2.1, 0), *ran(2.2, 0)]
            + [told(3, complete(results=results(payloads=ONE)))],
            id="idempotent request started twice",
        ),
        pytest.param([sent(2), KILLED, told(3, status=0)], id="entry killed"),
        pytest.param([*job(), STOPPED], id="graceful stop"),
        pytest.param([ASKED, sent(2), REFUSED], id="refused by a stopping entry"),
        pytest.param([LEFT, *job()], id="start soon after the word to leave"),
        pytest.param(
            [*CONFIGURED[:4], in_force(2, 4, "e1")]
            + [
                ProcessPaused(process="a1", at=1.5),
                ProcessResumed(process="a1", at=9),
                in_force(10, 4),
            ],
            id="configured after a pause",
        ),
    ],
)
def test_accepts_good_histories(events):
    assert promises(events) == set()


@pytest.mark.parametrize(
    ("promise", "events"),
    [
        ("at-most-once", [*job(), *ran(4, 0, token="")]),
        (
            "at-most-once",
            [sent(2, idempotent=True), *ran(2.1, 0), *ran(2.2, 0), *ran(2.3, 1)]
            + [told(3)],
        ),
        ("non-idempotent", [*job(), *ran(4, 0, job="other")]),
        ("whole-answer", job(complete(results=results()[:1]))),
        ("whole-answer", job({**UNKNOWN, "results": results()})),
        ("whole-answer", job({"id": JOB, "state": "failed"})),
        ("whole-answer", job({"id": JOB, "state": "running"})),
        ("whole-answer", job({"error": "proxy"})),
        ("whole-answer", job({"id": JOB, "title": "T", "reason": "worker-lost"})),
        ("whole-answer", [sent(2)]),
        ("whole-answer", [sent(2), told(3, status=0)]),
        ("whole-answer", [sent(2), REFUSED]),
        ("whole-answer", [ASKED, sent(2), told(3, status=0)]),
        ("whole-answer", [sent(2), *ran(2.1, 0), told(3)]),
        ("own-answer", job(complete(results=results()[::-1]))),
        ("own-answer", job(complete(results=results(job="other")))),
        ("own-answer", job(complete(results=["x", "y"]))),
        ("own-answer", [sent(2, job="other"), *job()[1:]]),
        ("own-answer", [*job(), AGAIN, told(5, UNKNOWN, "r2")]),
        ("own-answer", [*job(UNKNOWN), AGAIN, told(5, NOT_RUN, "r2")]),
        ("not-run", job(NOT_RUN)),
        ("not-run", job(CONFLICT)),
        ("not-run", [sent(2), told(3, NOT_RUN), *ran(9, 0)]),
        ("not-run", [sent(2, job=""), told(3, NOT_RUN), *ran(2.5, 0, job="other")]),
        ("not-run", [sent(2, payloads=[1]), told(3, NOT_RUN), *ran(9, 0, token="")]),
        ("leaving", [LEFT, *job(), *ran(4.5, 2)]),
        ("configuration", CONFIGURED[:-1]),
        ("configuration", [*CONFIGURED[:-1], in_force(4.5, 4, "e1")]),
        ("configuration", [*CONFIGURED, in_force(5, 3)]),
        ("configuration", [*CONFIGURED, in_force(5, 5)]),
        ("graceful-stop", [sent(2), STOPPED, told(3, status=0)]),
        ("graceful-stop", [sent(2), STOPPED, told(3, UNKNOWN)]),
        ("graceful-stop", [sent(2), LeaveAnnounced(process="w1", at=2.1)]),
    ],
)
def test_rejects_a_history_that_breaks_a_promise(promise, events):
    assert promise in promises(events)


def test_history_survives_its_file(tmp_path):
    events = sorted([*GOOD, KILLED, STOPPED], key=lambda event: event.at)
    paths = tmp_path / "one", tmp_path / "two"
    histories = [History(path) for path in paths]
    for number, event in enumerate(events):
        histories[number % 2].record(event)
    assert check(read_history(*paths), 3, 3) == check(events, 3, 3) == ()
    assert len(read_history(*paths)) == len(events)
