"""Dispatchers and runners as processes, against stand-ins of the platform."""

import asyncio
import threading
from collections import Counter

import pytest

from .site import JOB, Site

TRANSIENT = {**JOB, "bestEffort": True}


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    try:
        asyncio.run(site.configure())
        site.wait_ready()
        yield site
    finally:
        site.close()


def job_id(number):
    return f"{number:016x}"


def test_a_transient_job_is_answered_at_its_end(site):
    answer = site.request("POST", job_id(1), TRANSIENT)
    assert answer == (200, {"state": "completed"})
    assert site.request("GET", job_id(1)) == (410, {"error": "no such job"})


def test_a_stored_job_is_known_everywhere(site):
    assert site.request("POST", job_id(2), JOB)[0] == 200
    assert site.request("POST", job_id(2), JOB, at="dispatcher-1")[0] == 200
    site.wait_state(job_id(2), "completed", at="dispatcher-1")
    starts = Counter(task for task, _ in site.starts() if task.startswith(job_id(2)))
    assert sorted(starts.values()) == [1, 1, 1]


def test_stored_jobs_outlive_all_dispatchers(site):
    for number in range(10, 20):
        assert site.request("POST", job_id(number), JOB)[0] == 200
    for process in site.dispatchers.values():
        process.kill()
    for name in list(site.dispatchers):
        site.start_dispatcher(name)
    site.wait_ready()
    for number in range(10, 20):
        site.wait_state(job_id(number), "completed")


def test_a_canceled_job_stays_canceled(site):
    body = {"spec": "", "steps": [{"count": 40, "cpu": 4000, "estimateMs": 100}]}
    assert site.request("POST", job_id(3), body)[0] == 200
    assert site.request("DELETE", job_id(3), at="dispatcher-1")[0] == 200
    site.wait_state(job_id(3), "canceled")


def test_a_dispatcher_that_stops_answers_its_open_requests(site):
    body = {
        "bestEffort": True,
        "steps": [{"count": 20, "cpu": 4000, "estimateMs": 100}],
    }
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(site.request("POST", job_id(4), body))
    )
    caller.start()
    while not any(task.startswith(job_id(4)) for task, _ in site.starts()):
        pass
    site.dispatchers["dispatcher-0"].terminate()
    caller.join()
    assert answers == [(200, {"state": "completed"})]
    assert site.dispatchers["dispatcher-0"].wait() == 0


def test_a_stopped_dispatchers_jobs_are_told_by_the_other(site):
    assert site.request("POST", job_id(5), JOB)[0] == 200
    site.dispatchers["dispatcher-0"].terminate()
    assert site.dispatchers["dispatcher-0"].wait() == 0
    site.wait_state(job_id(5), "completed", at="dispatcher-1")


def test_no_job_is_accepted_while_the_log_is_away(site):
    site.set_log_down(True)
    status, answer = site.request("POST", job_id(6), JOB)
    assert status in (503, 504), answer
    assert site.request("POST", job_id(7), TRANSIENT)[0] == 200
    site.set_log_down(False)


@pytest.mark.parametrize(
    ("body", "place"),
    [
        ({"steps": []}, "$.steps"),
        ({"steps": [{"count": 0}]}, "$.steps[0].count"),
        ({"steps": [{"cpu": -1}]}, "$.steps[0].cpu"),
        ({"steps": [{"cpu": "much"}]}, "$.steps[0].cpu"),
        ({"steps": [{"after": [0]}]}, "$.steps[0].after"),
        ({"spec": "x" * 4001, "steps": [{}]}, "$.spec"),
    ],
)
def test_a_bad_job_is_refused_with_its_place(body, place):
    import json

    from banyanwheel_platform.callers import read_steps

    with pytest.raises(ValueError, match="at `") as fault:
        read_steps(json.dumps(body).encode())
    assert place in str(fault.value)
