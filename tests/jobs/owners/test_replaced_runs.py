"""Runs that were replaced while their ends were unknown, and are heard of later."""

import pytest

from banyanwheel_jobs.model import JobState, TaskId
from banyanwheel_jobs.records import Ended

from .test_stored import JOB, owned_world, run

RETENTION_S = 95.0  # longer than the owners here keep the ends of jobs
CUT_S = 5.5  # longer than an owner waits before it replaces the runs of a silent runner


def unheard_world():
    """Returns a world with one job and its runner, which is now cut off."""
    world = owned_world()
    world.run_s = 0.9
    world.submit_stored("owner-0", JOB, tasks=1)
    run(world, 0.3)
    holder = next(name for name in world.runners if world.workers[name].running)
    cut_off(world, holder)
    return world, holder


def replaced_world():
    """Returns a world in which run 1 has ended unheard, and names of both runners.

    The first is cut off from both owners; run 2 has been started on the other.
    """
    world, holder = unheard_world()
    run(world, CUT_S)
    assert [len(times) for times in world.starts.values()] == [2]
    return world, holder, next(name for name in world.runners if name != holder)


def cut_off(world, runner, cut=True):
    for owner in world.owners:
        world.cut(owner, runner, cut)


def cancel(world, owner="owner-0"):
    replies = []
    world.owners[owner].cancel(JOB, replies.append, world.now)
    run(world, 0.1)
    assert [reply.state for reply in replies] == [JobState.CANCELED]


def move(world, owner="owner-1"):
    """Kills the owner of the partition, and another takes it over."""
    cut = {link for link, state in world.links.items() if state.cut}
    world.start_owner(world.log.assigned_to)
    for link in cut:
        world.links[link].cut = True
    world.log.assign(owner)
    run(world, 0.3)


# Guards against an end that is acknowledged as its job was canceled (review/11).
@pytest.mark.parametrize("killed", [False, True])
def test_the_end_of_a_replaced_run_of_a_canceled_job_waits_for_a_lapse(killed):
    world, holder, _ = replaced_world()
    cancel(world)
    if killed:
        move(world)
    cut_off(world, holder, cut=False)
    run(world, 4.0)
    assert world.faults == []
    assert not world.workers[holder].ended


# Guards against the same once the owner has forgotten the canceled job.
def test_the_end_of_a_replaced_run_of_a_forgotten_job_waits_for_a_lapse():
    world, holder, _ = replaced_world()
    cancel(world)
    run(world, RETENTION_S)
    assert not world.owners["owner-0"].partitions[0].ended
    cut_off(world, holder, cut=False)
    run(world, 4.0)
    assert world.faults == []
    assert not world.workers[holder].ended


# Guards against a new owner that hears of run 1 before it hears of run 2 (review/12).
def test_a_new_owner_that_hears_of_a_replaced_run_first_does_not_take_its_end():
    world, holder, other = replaced_world()
    cut_off(world, other)
    move(world)
    cut_off(world, holder, cut=False)
    run(world, 1.0)
    cut_off(world, other, cut=False)
    run(world, 12.0)
    assert world.faults == []
    assert world.state(JOB) == ("state", JobState.COMPLETED)


# Guards against the same where run 2 has left no trace at its worker (review/12).
@pytest.mark.parametrize("canceled", [False, True])
def test_a_new_owner_knows_of_a_replaced_run_that_no_worker_remembers(canceled):
    world, holder, other = replaced_world()
    world.workers[other].crash()
    run(world, 0.2)
    cut_off(world, other)
    move(world)
    if canceled:
        cancel(world, "owner-1")
    cut_off(world, holder, cut=False)
    run(world, 1.0)
    cut_off(world, other, cut=False)
    run(world, 12.0)
    assert world.faults == []


# Guards against a replacement by an owner that never heard of the first run.
def test_a_run_that_is_replaced_after_a_takeover_is_known_to_the_owner_after_it():
    world, holder = unheard_world()
    move(world)
    run(world, CUT_S - 0.5)
    assert [len(times) for times in world.starts.values()] == [2]
    cut_off(world, next(name for name in world.runners if name != holder))
    move(world, "owner-0")
    cut_off(world, holder, cut=False)
    run(world, 12.0)
    assert world.faults == []


def test_a_task_is_not_placed_again_before_the_log_knows_it():
    world, _ = unheard_world()
    world.holds_appends = True
    run(world, CUT_S)
    assert [len(times) for times in world.starts.values()] == [1]
    stored = [name for name, _ in world.event_log.events if "replacement" in name]
    assert stored == ["task:replacement-storing"]
    world.holds_appends = False
    run(world, 4.0)
    assert world.state(JOB) == ("state", JobState.COMPLETED)


# Guards against a run that an owner gives up as its runner follows the next owner.
def test_a_former_owner_does_not_replace_the_runs_that_the_new_owner_knows():
    world = owned_world()
    world.run_s = 30.0
    world.submit_stored("owner-0", JOB, tasks=1)
    run(world, 0.5)
    holder, other = sorted(
        world.runners, key=lambda name: not world.workers[name].running
    )
    world.runners[holder].stop()
    world.log_unreachable.add("owner-0")
    world.cut("owner-1", other)
    world.log.assign("owner-1")
    run(world, 8.0)
    assert world.faults == []


@pytest.mark.parametrize(
    ("run_number", "done", "replacements", "superseded"),
    [
        (1, (), (), False),
        (1, (), ((0, 0, 2),), True),
        (2, (), ((0, 0, 2),), False),
        (1, (), ((0, 1, 2),), False),
        (1, ((0, 0, 2),), (), True),
        (2, ((0, 0, 2),), ((0, 0, 2),), False),
        (1, ((0, 0, 1),), ((0, 0, 2),), False),
    ],
)
def test_an_ended_job_knows_which_ends_are_superseded(
    run_number, done, replacements, superseded
):
    ended = Ended(JobState.CANCELED, 0, done, replacements=replacements)
    assert ended.supersedes(TaskId(JOB, 0, 0, 0), run_number) is superseded
