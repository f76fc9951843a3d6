"""The stand-ins of the platform as processes, over HTTP."""

import json
import socket
import time
from http.client import HTTPConnection, RemoteDisconnected

import pytest

from tests.standins import platform_worker
from tests.standins.calls import TIMEOUT_S, call
from tests.standins.history import (
    EndTaken,
    LeaseLapsed,
    TaskEnded,
    TaskStarted,
    read_history as read,
)
from tests.standins.process import StandIns

NOBODY = "127.0.0.1:9"  # the discard port, where no runner listens
LONG_MS = 60_000
SHORT_LEASE_MS = 300
UNANSWERED_S = 0.2  # shorter than the earliest late order
STOPPED_RUN = 1_000_000  # more than are started until a late order is carried out


@pytest.fixture
def start(tmp_path):
    with StandIns(tmp_path) as stand_ins:
        yield stand_ins.start


@pytest.fixture
def worker(start, tmp_path):
    path = tmp_path / "worker.history"
    address = start("platform_worker", runner=NOBODY, history=path).ready["address"]
    return Worker(address, path)


class Worker:
    def __init__(self, address, path):
        self.address = address
        self.path = path
        self.fence = 0  # the highest that it has seen

    def post(self, path, **body):
        return call("POST", self.address, path, body)

    def start(self, task="j.0.0.0", run=1, fence=1, run_ms=LONG_MS, lease_ms=LONG_MS):
        return self.post(
            "/run-start",
            task=task,
            run=run,
            fence=fence,
            spec=f'{{"run_ms": {run_ms}}}',
            deadlineMs=self.clock() + lease_ms,
        )

    def hold(self, fence=1, cursor=0, **fields):
        return self.post("/hold", fence=fence, ackCursor=cursor, **fields)[1]

    def wait_finished(self):
        """Returns the worker's ended runs once there are any."""
        rows = []
        while not rows:
            rows = self.hold()["finished"]
        return rows

    def clock(self):
        return self.hold(fence=self.fence)["clockMs"]

    def faults(self, **faults):
        call("PUT", self.address, "/faults", faults)

    def kinds(self):
        return [type(event) for event in read(self.path)]


def test_a_worker_starts_a_run_once_and_lists_it(worker):
    assert worker.start()[0] == 200
    worker.fence = 1
    assert worker.start()[0] == 200
    (row,) = worker.hold()["running"]
    assert (row[0], row[1]) == ("j.0.0.0", 1)
    assert worker.kinds().count(TaskStarted) == 1


def test_a_worker_obeys_no_lower_fence_and_no_late_start(worker):
    worker.start(fence=5)
    worker.fence = 5
    status, answer = worker.start(task="j.0.0.1", fence=4)
    assert (status, answer["reason"]) == (409, "fence")
    status, answer = worker.start(task="j.0.0.1", fence=5, lease_ms=-1)
    assert (status, answer["reason"]) == (409, "late")


def test_an_end_is_listed_until_it_is_taken_and_its_run_is_old(worker):
    worker.start(run_ms=1)
    worker.fence = 1
    assert worker.wait_finished() == [[1, "j.0.0.0", 1, "done", ""]]
    assert worker.hold(cursor=1)["finished"] == []
    assert worker.start()[1]["reason"] == "old"
    assert [k for k in worker.kinds() if k is not LeaseLapsed] == [
        TaskStarted,
        TaskEnded,
        EndTaken,
    ]


def test_a_lease_that_lapses_ends_what_runs(worker):
    worker.start(lease_ms=50)
    worker.fence = 1
    assert worker.wait_finished()[0][3] == "lapsed"
    assert LeaseLapsed in worker.kinds()


def test_a_lease_lapses_on_time_though_its_worker_stands_still(start, tmp_path):
    """Its process may stand still under load; the platform ends runs by its clock."""
    path = tmp_path / "worker.history"
    process = start("platform_worker", runner=NOBODY, history=path)
    worker = Worker(process.ready["address"], path)
    worker.start(lease_ms=SHORT_LEASE_MS)
    process.freeze()
    renewal = {"fence": 1, "ackCursor": 0, "deadlineMs": LONG_MS}
    connection = send_unanswered(worker, "/hold", **renewal)
    time.sleep(2 * SHORT_LEASE_MS / 1000)
    thawed_at = time.monotonic()
    process.thaw()
    connection.getresponse().close()
    assert worker.wait_finished()[0][3] == "lapsed"
    at = {type(event): event.at for event in read(path)}
    assert at[LeaseLapsed] == at[TaskEnded] < thawed_at


def test_a_stop_keeps_a_run_from_starting_later(worker):
    assert worker.post("/run-stop", task="j.0.0.0", run=1, fence=1)[0] == 200
    worker.fence = 1
    assert worker.start()[1]["reason"] == "old"


def test_faults_of_a_worker(worker):
    worker.faults(lose_start_answers=1)
    with pytest.raises(RemoteDisconnected):
        worker.start()
    worker.fence = 1
    assert len(worker.hold()["running"]) == 1
    worker.faults(garbage=True)
    with pytest.raises(ValueError):
        worker.hold()
    worker.faults(fail_all=True)
    worker.start(task="j.0.0.1", run_ms=1)
    rows = []
    while not rows:
        rows = worker.hold()["finished"]
    assert rows[0][3] == "failed"
    assert call("PUT", worker.address, "/faults", {"unknown": 1})[0] == 400


def test_a_worker_that_refuses_starts_runs_nothing(worker):
    worker.faults(refuse_starts=True)
    assert worker.start()[0] == 503
    assert worker.hold()["running"] == []
    worker.faults()
    assert worker.start()[0] == 200


def send_unanswered(worker, path, **body):
    """Sends an order and leaves without its answer."""
    host, _, port = worker.address.rpartition(":")
    connection = HTTPConnection(host, int(port))
    connection.request("POST", path, json.dumps(body))
    return connection


@pytest.mark.parametrize("fault", ["late_share", "late_stop_share"])
def test_a_stop_without_an_answer_is_carried_out_later(worker, fault):
    worker.faults(**{fault: 1.0})
    stop = {"task": "j.0.0.0", "run": STOPPED_RUN, "fence": 0}
    connection = send_unanswered(worker, "/run-stop", **stop)
    with pytest.raises(TimeoutError):
        connection.sock.settimeout(UNANSWERED_S)
        connection.getresponse()
    connection.close()
    worker.faults()
    assert worker.start(fence=0, run_ms=1)[0] == 200
    reason = ""
    for run in range(2, STOPPED_RUN):
        reason = worker.start(fence=0, run=run, run_ms=1)[1]["reason"]
        if reason == "old":
            break
    assert reason == "old"


def test_a_worker_that_leaves_stops_alone_unanswered_answers_others(worker):
    worker.faults(late_stop_share=1.0)
    assert worker.start()[0] == 200
    assert len(worker.hold()["running"]) == 1


def test_a_worker_leaves_the_same_share_of_orders_unanswered_for_a_seed():
    def delays(seed):
        worker = platform_worker.Worker("worker-1", 100, None)
        worker.set_faults(platform_worker.WorkerFaults(late_share=0.5, seed=seed))
        return [worker.late_s(worker.hold) for _ in range(100)]

    assert delays(1) == delays(1) != delays(2)
    late = [delay_s for delay_s in delays(1) if delay_s]
    assert 0 < len(late) < len(delays(1))
    assert all(2.0 <= delay_s <= 12.0 for delay_s in late)


def test_a_worker_reports_again_after_its_runner_stood_still(start, tmp_path):
    """Seen in the soak, seed 107: its heartbeats ended with the first timeout."""
    silent = socket.create_server(("127.0.0.1", 0))
    silent.settimeout(TIMEOUT_S)
    address = "{}:{}".format(*silent.getsockname())
    start("platform_worker", runner=address)
    for _ in range(2):
        connection, _ = silent.accept()
        assert connection.recv(100).startswith(b"PUT /instances/i-worker-1")
    silent.close()
