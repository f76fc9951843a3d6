"""The process of a runner: its stop, and its dealings with its worker."""

import asyncio
import io

import pytest

from banyanwheel_daemon.addresses import Address
from banyanwheel_daemon.configuration_feed import EvacuationReader
from banyanwheel_daemon.context import Environment
from banyanwheel_daemon.runner import RunnerRole
from banyanwheel_daemon.settings import Log, Process, RunnerSettings, Worker
from banyanwheel_jobs.messages import Assignment, Heartbeat, StartTasks
from banyanwheel_jobs.model import TRANSIENT_PARTITION, Resources, TaskId
from banyanwheel_jobs.ports import KeyedRecord, WorkerHeartbeat
from tests.jobs.world import EventRecorder

ADDRESS = "127.0.0.1:7000"
OWNER = ("127.0.0.1:7001", "owner")
INCARNATION = "w@1"
TASK = TaskId("a" * 16, 0, 0, 0)
HEARTBEAT = WorkerHeartbeat(
    worker_id="w",
    incarnation=INCARNATION,
    born_ms=1,
    service="desk",
    address="127.0.0.1:7002",
    draining=False,
    capacity=Resources(1_000, 1_000, 0),
    labels=(),
    sequence=1,
    clock_ms=1,
)


class MembersRecorder:
    """Keeps the addresses that left the list of members."""

    def __init__(self):
        self.removed = []

    async def keep_registered(self, address, member, is_known):
        await asyncio.Event().wait()

    async def remove(self, address):
        self.removed.append(address)


class NoPeers:
    incarnation = "present"

    def reply(self, address, incarnation, message):
        pass

    def close(self, linger_ms=0):
        pass


@pytest.fixture
def role():
    settings = RunnerSettings(
        process=Process(
            name="one", data_centre="dc", address=Address(ADDRESS), grace_s=0.9
        ),
        log=Log(address=Address("127.0.0.1:0"), partitions=4),
        worker=Worker(heartbeats=Address("127.0.0.1:0")),
    )
    role = RunnerRole(settings, Environment(io.StringIO(), io.StringIO()))
    role.event_log = EventRecorder()
    role._members = MembersRecorder()
    role._peers = NoPeers()
    return role


def stop(role):
    async def run():
        role._registration = asyncio.create_task(role._register())
        await role._stop_runs()

    asyncio.run(run())


def test_a_runner_without_runs_leaves_the_list_as_it_stops(role):
    stop(role)
    assert role._members.removed == [ADDRESS]


def test_a_runner_that_stops_with_a_run_stays_on_the_list(role):
    """A new owner would not wait for the run, and start its task beside it."""
    role._runner.announce(HEARTBEAT, 0.0)
    run = Assignment(TASK, 1, Resources(500, 1, 0), 100)
    message = StartTasks(TRANSIENT_PARTITION, 0, INCARNATION, "", 0.0, 2**40, 0, (run,))
    role._runner.handle_start(OWNER, message, 0.0)
    assert role._runner.busy
    stop(role)
    assert role._members.removed == []


@pytest.mark.parametrize("runner", ["present", "former"])
def test_stamps_of_a_former_process_extend_no_authority(role, runner):
    """Its machine may have started again since, so that they are of another clock."""
    until = role._runner._authority.until
    role._receive(*OWNER, Heartbeat(((0, 1),), 5_000, 5_000, runner))
    authorized = runner == "present"
    assert (until(0) > 0) is authorized
    assert (until(TRANSIENT_PARTITION, OWNER) > 0) is authorized
    assert role._runner._authority.epoch(0) == 1


def test_a_runner_follows_the_evacuation_of_its_own_data_centre(role):
    reader = EvacuationReader(role._evacuations, role._evacuate, role.event_log)
    reader.replace([KeyedRecord("evacuate/other", b"{}", 1)])
    assert not role._runner.evacuated
    reader.update([KeyedRecord("evacuate/dc", b"{}", 2)])
    assert role._runner.evacuated
    reader.replace([])
    assert not role._runner.evacuated
