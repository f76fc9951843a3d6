import pytest

from banyanwheel_jobs.model import Resources, Step, Submission
from banyanwheel_jobs.owners.stragglers import RESTART_S, PromisedRoom, is_straggling
from banyanwheel_jobs.placing.runner_view import RunnerView

from ..world import QUEUE, World

MOVING = "task:moving"


def stall_worker_of_new_run(world):
    """Stalls the run that has just been started; returns its worker."""
    world.step()
    holder = next(w for w in world.workers.values() if w.running)
    holder.stuck = True
    return holder


@pytest.mark.parametrize(
    ("percent", "age_s", "expected_s", "straggling"),
    [
        (-1, 5.0, 0.1, False),  # waits for capacity
        (0, 0.1, 0.1, False),
        (0, 0.5, 0.1, True),
        (0, 0.5, 2.0, False),
        (50, 1.0, 1.8, False),
        (10, 1.0, 1.8, False),  # long by itself
        (90, 5.0, 0.1, False),
        (99, 5.0, 1.8, False),
    ],
)
def test_progress_identifies_stragglers(percent, age_s, expected_s, straggling):
    assert is_straggling(percent, age_s, expected_s) is straggling


@pytest.mark.parametrize(
    ("percent", "age_s", "elsewhere_s", "straggling"),
    [
        (-1, 5.0, 0.1, False),
        (10, 0.1, 0.1, False),
        (10, 1.0, 1.8, True),
        (90, 5.0, 0.1, True),
        (90, 5.0, 0.5, False),  # ends 0.1 s sooner where it is
        (50, 1.0, 0.8, True),
        (50, 1.0, 0.9, False),  # the stop takes longer than is gained
        (99, 5.0, 0.1, False),
    ],
)
def test_a_run_on_a_slow_worker_straggles_if_another_ends_sooner(
    percent, age_s, elsewhere_s, straggling
):
    found = is_straggling(percent, age_s, 1.8, elsewhere_s=elsewhere_s)
    assert found is straggling


def test_a_task_is_not_restarted_again_and_again():
    assert is_straggling(10, 1.0, 0.1, elsewhere_s=0.1)
    assert not is_straggling(10, 1.0, 0.1, elsewhere_s=0.1, restarts=1)
    assert not is_straggling(0, 9.0, 0.1, restarts=3)


def test_no_two_runs_are_moved_for_the_same_room():
    """A slow worker has several runs, and all see the same room elsewhere."""
    view = RunnerView("runner-0", "dc", free=Resources(3_000))
    promised, task = PromisedRoom(), Resources(2_000)
    assert promised.has_room(view, task, 100.0)
    promised.add(view, task, 100.0)
    assert not promised.has_room(view, task, 100.0 + RESTART_S / 2)
    assert promised.has_room(view, Resources(1_000), 100.0 + RESTART_S / 2)
    assert promised.has_room(RunnerView("b", "dc", free=task), task, 100.0)
    assert promised.has_room(view, task, 100.0 + RESTART_S)


def test_a_run_that_stalls_midway_is_straggling_even_after_a_restart():
    """A run on a worker that hangs shows a few percent; others may hang as well."""
    assert is_straggling(3, 2.0, 0.3, stalled_s=1.5, restarts=1)
    assert not is_straggling(3, 2.0, 0.3, stalled_s=0.1, restarts=1)
    assert not is_straggling(60, 2.0, 1.8, stalled_s=0.5)
    assert is_straggling(60, 3.0, 1.8, stalled_s=1.5)


def test_a_task_whose_second_run_stalls_midway_is_run_a_third_time():
    world = World(owners=1, runners=3, run_s=0.5)
    for _ in range(20):
        world.step()
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=60.0)
    holder = stall_worker_of_new_run(world)
    for _ in range(40):
        world.step()
        second = next((w for w in world.workers.values() if w.running), holder)
        if second is not holder:
            break
    for _ in range(3):
        world.step()
    second.stall()
    for _ in range(80):
        world.step()
    assert [str(reply.state) for reply in world.replies["a" * 16]] == ["completed"]
    assert world.faults == []


def test_a_task_waits_rather_than_returns_to_a_worker_where_it_stalled():
    world = World(owners=1, runners=2, run_s=0.5)
    for _ in range(20):
        world.step()
    world.submit("owner-0", "b" * 16, tasks=4, deadline_s=60.0)
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=60.0)
    owner = world.owners["owner-0"]
    task = owner.transient.jobs["a" * 16].tasks[0][0]
    task.avoided_runners.add("runner-0")
    for _ in range(60):
        world.step()
    runs = [f for e, f in world.event_log.events if e == "task:placed"]
    assert [f["runner"] for f in runs if f["job"] == "a" * 16] == ["runner-1"]


def test_a_task_avoided_everywhere_still_runs():
    world = World(owners=1, runners=2)
    for _ in range(20):
        world.step()
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=60.0)
    task = world.owners["owner-0"].transient.jobs["a" * 16].tasks[0][0]
    task.avoided_runners.update(["runner-0", "runner-1"])
    for _ in range(40):
        world.step()
    assert [str(reply.state) for reply in world.replies["a" * 16]] == ["completed"]


def test_a_percentage_is_dated_to_the_time_at_which_it_was_read():
    """The lists are polled every 0.2 s; an old percentage must not look slow."""
    world = World(owners=1, runners=1, run_s=1.0)
    for _ in range(20):
        world.step()
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    world.step(0.1)
    world.step(0.1)
    origin = ("owner-0", world.incarnation("owner-0"))
    (status,) = world.runners["runner-0"].report(origin, world.now + 5.0).runs
    assert status.percent > 0
    assert status.age_ms <= 200


def test_a_stalled_task_is_run_elsewhere():
    world = World()
    for _ in range(20):
        world.step()
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    stall_worker_of_new_run(world)
    for _ in range(60):
        world.step()
    assert [str(reply.state) for reply in world.replies["a" * 16]] == ["completed"]
    assert world.faults == []


@pytest.mark.parametrize(("count", "tasks"), [(24, 1), (1, 24)])
def test_runs_leave_a_slow_worker_as_soon_as_others_have_room(count, tasks):
    """Whether other jobs or the job's other tasks show that the worker is slow."""
    world = World(owners=1, runners=3, run_s=1.0)
    for _ in range(20):
        world.step()
    world.workers["runner-0"].slowness = 6.0
    steps = (Step(tasks, Resources(250), 1_000),)
    jobs = [f"{number:016x}" for number in range(count)]
    for job in jobs:
        submission = Submission(job, QUEUE, "", steps, 0, transient=True)
        world.hand_in("owner-0", submission, 60.0)
    for _ in range(100):
        world.step()
    moves = [fields for event, fields in world.event_log.events if event == MOVING]
    assert len(moves) == len({move["task"] for move in moves}) == 8
    assert {move["runner"] for move in moves} == {"runner-0"}
    assert {str(world.replies[job][0].state) for job in jobs} == {"completed"}
    # The model of a worker counts a whole core for each run; these need a quarter.
    assert [fault for fault in world.faults if "millicores" not in fault] == []
