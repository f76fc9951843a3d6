"""The stand-ins as processes, over HTTP."""

import threading
from http.client import RemoteDisconnected

import pytest

from tests.standins.calls import TIMEOUT_S, call, in_thread
from tests.standins.history import (
    LeaveAnnounced,
    TaskFinished,
    TaskStarted,
    TaskStopped,
    read_history,
)
from tests.standins.process import StandIns


@pytest.fixture
def start(tmp_path):
    with StandIns(tmp_path) as stand_ins:
        yield stand_ins.start


def run_task(address, payload, index=0, lease_ms=60_000, job="job"):
    key = f"{job}/{index}"
    headers = {"Idempotency-Key": key, "Lease-Ms": str(lease_ms)}
    return call("POST", address, f"/tasks/{key}", payload, **headers)


def wait_for_events(path, kind, count=1):
    done = threading.Event()
    for _ in range(TIMEOUT_S * 100):
        events = [event for event in read_history(path) if isinstance(event, kind)]
        if len(events) >= count:
            return events
        done.wait(0.01)
    raise AssertionError(f"no {count} events of {kind.__name__}")


def test_log_counts_offsets_per_stream(start):
    log = start("log_service").ready["address"]
    offsets = [call("POST", log, f"/streams/{n}/records", [n])[1] for n in "aab"]
    assert [answer["offset"] for answer in offsets] == [0, 1, 0]
    status, answer = call("GET", log, "/streams/a/records?from=1&limit=5")
    assert status == 200
    assert (answer["first"], answer["next"]) == (0, 2)
    assert [(r["offset"], r["data"]) for r in answer["records"]] == [(1, ["a"])]


def test_log_expires_records_and_offsets_go_on(start):
    log = start("log_service", retention_ms=1).ready["address"]
    call("POST", log, "/streams/a/records", 1)
    threading.Event().wait(0.05)
    answer = call("GET", log, "/streams/a/records?from=0")[1]
    assert answer == {"first": 1, "next": 1, "records": []}
    assert call("POST", log, "/streams/a/records", 2)[1] == {"offset": 1}


def test_log_read_waits_for_the_next_record(start):
    log = start("log_service").ready["address"]
    path = "/streams/a/records?from=0&wait_ms=60000"
    result = in_thread(call, "GET", log, path)
    call("POST", log, "/streams/a/records", {"x": 1})
    assert [r["data"] for r in result()[1]["records"]] == [{"x": 1}]


def test_log_loses_answers_after_the_effect_and_goes_down(start):
    log = start("log_service").ready["address"]
    call("PUT", log, "/faults", {"lose_append_answers": 1})
    with pytest.raises(RemoteDisconnected):
        call("POST", log, "/streams/a/records", 1)
    assert call("POST", log, "/streams/a/records", 2)[1] == {"offset": 1}
    call("PUT", log, "/faults", {"down": True})
    with pytest.raises(RemoteDisconnected):
        call("GET", log, "/streams/a/records")
    assert call("GET", log, "/faults")[1]["down"] is True


def test_log_rejects_bad_input(start):
    log = start("log_service").ready["address"]
    assert call("GET", log, "/streams/a/records?from=x")[0] == 400
    assert call("PUT", log, "/faults", {"unknown": 1})[0] == 400


def test_backend_runs_a_task_and_records_it(start, tmp_path):
    path = tmp_path / "history"
    server = start("backend_server", name="w1", history=path).ready["address"]
    status, answer = run_task(server, {"run_ms": 1, "x": 2}, index=3)
    assert status == 200
    assert answer == {
        "echo": {"run_ms": 1, "x": 2},
        "worker": "w1",
        "job": "job",
        "index": 3,
    }
    started, finished = read_history(path)
    assert isinstance(started, TaskStarted)
    assert isinstance(finished, TaskFinished)
    assert (started.process, started.job_id, started.index) == ("w1", "job", 3)


def test_backend_refuses_beyond_its_slots_and_stops_on_delete(start, tmp_path):
    path = tmp_path / "history"
    server = start("backend_server", slots=1, history=path).ready["address"]
    result = in_thread(run_task, server, {"run_ms": 60_000})
    wait_for_events(path, TaskStarted)
    assert run_task(server, {}, index=1)[0] == 503
    assert call("DELETE", server, "/tasks/job/0")[0] == 204
    assert result()[0] == 410
    assert wait_for_events(path, TaskStopped)[0].reason == "stopped"


def test_backend_stops_a_task_whose_lease_lapsed(start, tmp_path):
    path = tmp_path / "history"
    server = start("backend_server", history=path).ready["address"]
    assert run_task(server, {"run_ms": 60_000}, lease_ms=20)[0] == 410
    lease = "/tasks/job/0/lease"
    assert call("PUT", server, lease, Lease_Ms="20")[0] == 410
    result = in_thread(run_task, server, {"run_ms": 60_000}, 1)
    wait_for_events(path, TaskStarted, 2)
    assert call("PUT", server, "/tasks/job/1/lease", Lease_Ms="20")[0] == 204
    assert result()[0] == 410


def test_backend_faults(start):
    server = start("backend_server").ready["address"]
    call("PUT", server, "/faults", {"fail_all": True})
    assert run_task(server, {})[0] == 500
    call("PUT", server, "/faults", {"garbage": True})
    with pytest.raises(ValueError):
        run_task(server, {"run_ms": 1})
    call("PUT", server, "/faults", {"close_instead_of_answer": 1})
    with pytest.raises(RemoteDisconnected):
        run_task(server, {"run_ms": 1})
    assert run_task(server, {"run_ms": 1})[0] == 200


def test_leaving_backend_finishes_its_tasks_before_it_exits(start, tmp_path):
    path = tmp_path / "history"
    agent = "127.0.0.1:9"  # the discard port, where no agent listens
    process = start("backend_server", history=path, agent=agent)
    result = in_thread(run_task, process.ready["address"], {"run_ms": 1_000})
    wait_for_events(path, TaskStarted)
    process.terminate()
    assert result()[0] == 200
    assert process.wait() == 0
    wait_for_events(path, LeaveAnnounced)
