"""Stored jobs: a job is accepted once it is in the log, and a stored end is final."""

import pytest

from banyanwheel_jobs.outcomes import Outcome

from ..world import World

JOB = "a" * 16


def owned_world():
    """Returns a world of two owners, the first of which owns the partition."""
    world = World()
    world.log.assign("owner-0")
    run(world, 1.0)
    return world


@pytest.fixture
def world():
    return owned_world()


def run(world, seconds, frozen=()):
    for _ in range(round(seconds / 0.05)):
        world.step(frozen=frozen)


def test_a_job_is_accepted_once_it_is_stored(world):
    world.log_unreachable.add("owner-0")
    world.submit_stored("owner-0", JOB)
    run(world, 0.3)
    assert world.replies[JOB] == []
    world.log_unreachable.clear()
    run(world, 0.1)
    assert [reply.outcome for reply in world.replies[JOB]] == [Outcome.ACCEPTED]


def test_a_job_completes(world):
    world.submit_stored("owner-0", JOB, tasks=3)
    run(world, 1.0)
    assert world.state(JOB) == (Outcome.STATE, "completed")
    assert world.faults == []


def test_a_job_outlives_its_owner(world):
    world.run_s = 1.0
    world.submit_stored("owner-0", JOB, tasks=3)
    run(world, 0.5)
    world.start_owner("owner-0")
    world.log.assign("owner-1")
    run(world, 10.0)
    assert world.state(JOB) == (Outcome.STATE, "completed")
    assert world.faults == []


def test_runs_continue_under_a_new_owner(world):
    world.run_s = 2.0
    world.submit_stored("owner-0", JOB, tasks=2)
    run(world, 0.5)
    world.log.assign("owner-1")
    run(world, 4.0)
    assert world.state(JOB) == (Outcome.STATE, "completed")
    assert all(len(times) == 1 for times in world.starts.values())
    assert world.faults == []


def test_a_former_owner_stores_nothing_more(world):
    """It doesn't refuse the job either: the new owner may have it, or take it."""
    world.log_unreachable.add("owner-0")
    world.log.assign("owner-1")
    run(world, 0.5)
    world.submit_stored("owner-0", JOB)
    world.log_unreachable.clear()
    run(world, 1.0)
    assert [reply.outcome for reply in world.replies[JOB]] == [Outcome.NOT_OWNER]
    assert world.state(JOB) == (Outcome.UNKNOWN_JOB, "")


def test_a_former_owner_and_its_runner_cut_off_run_nothing_twice(world):
    """Both keep running; the new owner waits until their authority has expired."""
    world.run_s = 30.0
    world.submit_stored("owner-0", JOB, tasks=2)
    run(world, 0.5)
    world.log_unreachable.add("owner-0")
    for name in world.runners:
        world.cut("owner-1", name)
    world.cut("owner-1", "runner-1", cut=False)
    world.log.assign("owner-1")
    run(world, 12.0)
    assert world.faults == []


def test_a_canceled_job_runs_no_more(world):
    world.run_s = 5.0
    world.submit_stored("owner-0", JOB, tasks=2)
    run(world, 0.5)
    replies = []
    world.owners["owner-0"].cancel(JOB, replies.append, world.now)
    run(world, 0.5)
    assert [reply.outcome for reply in replies] == [Outcome.STATE]
    assert not any(worker.running for worker in world.workers.values())
    assert world.state(JOB) == (Outcome.STATE, "canceled")


def test_ends_are_not_acknowledged_while_the_log_is_unreachable(world):
    world.submit_stored("owner-0", JOB, tasks=2)
    run(world, 0.1)
    world.log_unreachable.add("owner-0")
    run(world, 3.0)
    assert world.acknowledged_done == set()
    world.log_unreachable.clear()
    run(world, 1.0)
    assert world.state(JOB) == (Outcome.STATE, "completed")
    assert len(world.acknowledged_done) == 2
    assert world.faults == []


def test_an_end_of_a_task_started_elsewhere_waits_for_the_lease_to_lapse(world):
    world.run_s = 1.0
    world.submit_stored("owner-0", JOB, tasks=1)
    run(world, 0.8)
    holder = next(name for name in world.runners if world.workers[name].running)
    world.submit_stored("owner-0", "b" * 16, tasks=1)
    world.cut("owner-0", holder)
    run(world, 8.0)
    world.cut("owner-0", holder, cut=False)
    run(world, 8.0)
    assert world.state(JOB) == (Outcome.STATE, "completed")
    assert world.faults == []
