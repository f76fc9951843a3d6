"""Heartbeats at a runner's control address that aren't its worker's."""

import asyncio
import io
import json

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from banyanwheel_daemon import worker_heartbeats
from banyanwheel_daemon.addresses import Address
from banyanwheel_daemon.clocks import boot_time
from banyanwheel_daemon.context import Environment
from banyanwheel_daemon.runner import RunnerRole
from banyanwheel_daemon.settings import Log, Process, RunnerSettings, Worker
from banyanwheel_daemon.worker_verifier import MAX_CHECKS
from banyanwheel_jobs.messages import Assignment, Heartbeat, StartTasks
from banyanwheel_jobs.model import TRANSIENT_PARTITION, Resources, TaskId
from banyanwheel_platform.http import HttpClient, answer
from tests.jobs.world import EventRecorder
from tests.standins.layout import Ports

HANG_S = 30.0
WORKER, BORN = "i-1", 1_796_000_000_000
LATE_SEQUENCE = 1_000_000
OWNER = ("127.0.0.1:7001", "owner")
TASK = TaskId("a" * 16, 0, 0, 0)
NOBODY = "127.0.0.1:1"  # nothing listens there
# Id, birth (None: the worker's own) and fields of heartbeats of another writer.
FOREIGN = {
    "another id, service and address": (
        "i-2",
        BORN + 1,
        {"service": "unnamed", "address": NOBODY},
    ),
    "another id at the worker's address": ("i-2", BORN + 1, {}),
    "another id, born with the worker": ("i-2", BORN, {}),
    "another id without a birth": ("i-2", 0, {"service": "unnamed"}),
    "another id, born in the far future": ("i-2", 2**53, {"address": NOBODY}),
    "the worker's id, born later": (WORKER, BORN + 1, {}),
    "the worker's id, born in the far future": (WORKER, 2**53, {}),
    "the worker's id, born earlier": (WORKER, BORN - 1, {}),
    "the worker's id, born later, another address": (
        WORKER,
        BORN + 1,
        {"address": NOBODY},
    ),
    "the worker's life with another service": (WORKER, BORN, {"service": "unnamed"}),
    "the worker's life at another address": (WORKER, BORN, {"address": NOBODY}),
    "an id that no header can hold": ("%0Ai-\u00e9", BORN + 1, {"address": NOBODY}),
}
OUT_OF_USE = {
    "state": "draining",
    "capacity": {"cpu": 0, "memMb": 0, "gpu": 0},
    "labels": ["x"],
    "clockMs": 2**53,
}


class WorkerProcess:
    """A worker that answers as the platform's do, and lists what was started."""

    def __init__(self, worker_id=WORKER, born=BORN):
        (self._socket,) = bind_sockets(0, address="127.0.0.1")
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.worker_id = worker_id
        self.silent = False
        self.start(born)
        self._server = HTTPServer(self._handle)
        self._server.add_socket(self._socket)

    def start(self, born):
        """Begins a life."""
        self.born = born
        self.running = []
        self._fence = 0

    async def close(self):
        self._server.stop()
        await self._server.close_all_connections()

    def _handle(self, request):
        if self.silent:
            return
        if request.headers["Target-Instance"] != self.worker_id:
            answer(request, 421, b"{}")
            return
        body = json.loads(request.body)
        fields = {"clockMs": 7, "born": self.born}
        if body["fence"] < self._fence:
            answer(request, 409, json.dumps(fields | {"reason": "fence"}).encode())
            return
        self._fence = body["fence"]
        if request.path == "/run-start":
            self.running.append([body["task"], body["run"], "", 0])
        if request.path == "/hold":
            fields |= {"running": self.running, "finished": []}
        answer(request, 200, json.dumps(fields).encode())


class NoPeers:
    incarnation = "runner"

    def reply(self, address, incarnation, message):
        pass


class Site:
    """A runner with its worker, and whoever else calls its control address."""

    def __init__(self, control):
        settings = RunnerSettings(
            process=Process(
                name="one", data_centre="dc", address=Address("127.0.0.1:0")
            ),
            log=Log(address=Address("127.0.0.1:0"), partitions=4),
            worker=Worker(heartbeats=Address(control)),
        )
        self.role = RunnerRole(settings, Environment(io.StringIO(), io.StringIO()))
        self.role._peers = NoPeers()
        self.role.event_log = self.log = EventRecorder()
        self.runner = self.role._runner
        self.worker = WorkerProcess()
        self._client = HttpClient(control)

    async def put(self, worker_id, born, sequence, **fields):
        beat = {
            "service": "desk",
            "address": self.worker.address,
            "state": "ready",
            "seq": sequence,
            "capacity": {"cpu": 4_000, "memMb": 4_096, "gpu": 0},
            "labels": ["a", "r-1"],
            "clockMs": 5,
            "born": born,
        }
        path = f"/instances/{worker_id}"
        body = json.dumps(beat | fields).encode()
        await self._client.call("PUT", path, body=body, timeout_s=HANG_S)

    async def put_own(self, sequence, **fields):
        """Sends a heartbeat of the worker itself."""
        await self.put(self.worker.worker_id, self.worker.born, sequence, **fields)

    async def start_run(self):
        """Starts a run that its owner keeps for an hour."""
        stamp = round((boot_time() + 3_600) * 1000)
        contact = Heartbeat((), 0, stamp, NoPeers.incarnation)
        self.role._receive(*OWNER, contact)
        run = Assignment(TASK, 1, Resources(500, 1, 0), 100)
        message = StartTasks(
            TRANSIENT_PARTITION,
            0,
            self.runner.worker.incarnation,
            "{}",
            0.0,
            2**40,
            0,
            (run,),
        )
        self.role._receive(*OWNER, message)
        await until(lambda: self.worker.running)

    @property
    def in_use(self):
        worker = self.runner.worker
        return worker is not None and (
            (worker.worker_id, worker.born_ms, worker.service, worker.address)
            == (self.worker.worker_id, self.worker.born, "desk", self.worker.address)
            and not worker.draining
            and worker.capacity.cpu == 4_000
            and self.runner.availability == (True, True)
        )

    @property
    def refusals(self):
        counts = self.log.counts.items()
        return sum(n for (name, _), n in counts if name.endswith("heartbeats.refused"))


async def until(condition):
    async with asyncio.timeout(HANG_S):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Has no worker count as silent, however slow the machine is."""
    monkeypatch.setattr(worker_heartbeats, "INCARNATION_TIMEOUT_S", 3_600)


def play(scenario):
    """Runs ``scenario(site)``."""

    async def run():
        ports = Ports()
        control = ports.reserve()
        site = Site(control)
        role = site.role
        role._heartbeats.listen(control)
        role.spawn(role.keep_running(role._poll_worker))
        try:
            await scenario(site)
        finally:
            for task in list(role._tasks):
                task.cancel()
            role._heartbeats.stop()
            await site.worker.close()
            ports.close()
        assert [event for event, _ in site.log.events if event == "process:fault"] == []

    asyncio.run(run())


@pytest.mark.parametrize("name", FOREIGN)
@pytest.mark.parametrize("state", [{}, OUT_OF_USE], ids=["usable", "out of use"])
def test_a_foreign_heartbeat_leaves_the_worker_in_use(name, state):
    """One took the worker's place for some 4 s, and its runs were started again."""
    worker_id, born, fields = FOREIGN[name]

    async def scenario(site):
        await site.put_own(1)
        await until(lambda: site.in_use)
        await site.start_run()
        await site.put(worker_id, born, LATE_SEQUENCE, **fields, **state)
        assert site.in_use
        await until(lambda: site.refusals)
        assert site.in_use
        assert site.runner.run_count == 1
        await site.put_own(2)
        assert site.runner.worker.sequence == 2
        assert site.in_use

    play(scenario)


# Nothing tells the first heartbeat that names the worker's life from the worker's own.
@pytest.mark.parametrize(
    "name",
    [name for name in FOREIGN if name != "the worker's life with another service"],
)
def test_a_foreign_heartbeat_before_the_first_one_keeps_no_worker_out(name):
    worker_id, born, fields = FOREIGN[name]

    async def scenario(site):
        await site.put(worker_id, born, LATE_SEQUENCE, **fields, **OUT_OF_USE)
        await site.put_own(1)
        await until(lambda: site.in_use)

    play(scenario)


@pytest.mark.parametrize("born", [BORN + 5, BORN - 5])
def test_a_worker_that_starts_again_under_its_id_is_used(born):
    async def scenario(site):
        await site.put_own(1)
        await until(lambda: site.in_use)
        await site.start_run()
        site.worker.start(born)
        await until(lambda: site.runner.availability != (True, True))
        await site.put_own(1)
        await until(lambda: site.in_use)

    play(scenario)


def test_a_worker_that_starts_again_under_another_id_is_used():
    async def scenario(site):
        await site.put_own(1)
        await until(lambda: site.in_use)
        site.worker.start(BORN + 5)
        site.worker.worker_id = "i-2"
        await site.put_own(1)
        await until(lambda: site.in_use)

    play(scenario)


def test_a_worker_that_was_silent_as_it_started_is_used_from_a_later_heartbeat_on():
    async def scenario(site):
        site.worker.silent = True
        await site.put_own(1)
        await until(lambda: site.refusals)
        assert site.runner.worker is None
        site.worker.silent = False
        await site.put_own(2)
        await until(lambda: site.in_use)

    play(scenario)


def test_the_newest_heartbeat_of_a_worker_counts_once_it_has_answered():
    """A worker that drains meanwhile gets nothing to start."""

    async def scenario(site):
        await site.put_own(1)
        await site.put_own(2, state="draining")
        await until(lambda: site.runner.worker is not None)
        await until(lambda: site.runner.worker.draining)

    play(scenario)


def test_two_heartbeats_that_contradict_each_other_leave_the_first_one_in_force():
    """Both name the worker's life, and both are checked at the same time."""

    async def scenario(site):
        await site.put_own(1)
        await site.put_own(LATE_SEQUENCE, service="unnamed", **OUT_OF_USE)
        await until(lambda: site.refusals)
        await until(lambda: site.in_use)
        assert site.runner.worker.sequence == 1

    play(scenario)


def test_another_service_counts_once_the_worker_has_been_silent(monkeypatch):
    monkeypatch.setattr(worker_heartbeats, "INCARNATION_TIMEOUT_S", 0)

    async def scenario(site):
        await site.put_own(1, service="unnamed")
        await until(lambda: site.runner.worker is not None)
        await site.put_own(2)
        await until(lambda: site.in_use)

    play(scenario)


def test_an_earlier_process_of_the_runner_keeps_no_worker_out():
    """The worker has seen its fence, and answers lower ones with 409 alone."""

    async def scenario(site):
        site.worker._fence = BORN + 1_000
        await site.put_own(1)
        await until(lambda: site.in_use)

    play(scenario)


def test_a_worker_is_checked_again_after_an_unexpected_error(monkeypatch):
    async def scenario(site):
        def fail(*arguments):
            raise RuntimeError

        with monkeypatch.context() as patch:
            patch.setattr(site.role._verifier, "_refusal_reason", fail)
            await site.put_own(1)
            await until(lambda: faults(site.log))
        site.log.events.clear()
        await site.put_own(2)
        await until(lambda: site.in_use)

    play(scenario)


def faults(log):
    """Returns the unexpected errors in a log."""
    return [event for event, _ in log.events if event == "process:fault"]


def test_a_worker_is_used_beside_any_number_of_strangers():
    """Each of them was called, and held its heartbeat, for seconds."""

    async def scenario(site):
        stranger = WorkerProcess("stranger")
        stranger.silent = True
        for number in range(3 * MAX_CHECKS):
            await site.put(f"s-{number}", BORN, 1, address=stranger.address)
        assert site.refusals == 2 * MAX_CHECKS
        await site.put_own(1)
        await until(lambda: site.in_use)
        assert site.refusals == 2 * MAX_CHECKS + 1
        await stranger.close()

    play(scenario)
