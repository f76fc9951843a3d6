"""A runner whose data centre is evacuated, and its worker afterwards."""

import pytest

from banyanwheel_jobs.model import Resources
from banyanwheel_jobs.outcomes import EVACUATED
from banyanwheel_jobs.ports import StartOutcome
from banyanwheel_jobs.runners.slow_start import MAX_DURATION_S, SlowStart

from ..world import World
from .worker_model import CAPACITY

JOB = "a" * 16
NAME = "runner-0"
NOW = 50.0
WORKER = Resources(32_000, 1_000, 1)


@pytest.fixture
def world():
    world = World(owners=1, runners=1)
    run(world, 2.0)
    return world


def run(world, seconds):
    for _ in range(round(seconds / 0.05)):
        world.step()


def evacuate(world, evacuated=True):
    world.runners[NAME].set_evacuated(evacuated, world.now)


def report(world):
    return world.runners[NAME].report(("owner-0", "owner-0#1"), world.now)


def reasons(world):
    return {end.reason for end in report(world).ends}


def deliver_assignments(world, tasks):
    """Has the runner get assignments, without a call to its worker."""
    runner = world.runners[NAME]
    world.submit("owner-0", JOB, tasks=tasks)
    for _, _, message in world.links["owner-0", NAME].messages:
        if type(message).__name__ == "StartTasks":
            runner.handle_start(("owner-0", "owner-0#1"), message, world.now)
    return runner


def test_a_dispatcher_that_has_not_heard_starts_nothing(world):
    evacuate(world)
    assert not report(world).worker.accepting
    deliver_assignments(world, tasks=2)
    assert reasons(world) == {EVACUATED}
    run(world, 1.0)
    assert world.starts == {}


def test_runs_that_wait_end_and_those_on_the_worker_go_on(world):
    world.run_s = 1.0
    world.submit("owner-0", JOB, tasks=2)
    run(world, 0.2)
    runner = world.runners[NAME]
    evacuate(world)
    run(world, 0.3)
    assert len(world.workers[NAME].running) == 2
    assert runner.run_count == 2
    run(world, 1.0)
    assert [reply.state for reply in world.replies[JOB]] == ["completed"]


def test_a_run_that_waits_for_its_start_is_refused(world):
    runner = deliver_assignments(world, tasks=1)
    assert runner.run_count == 1
    evacuate(world)
    assert runner.begin_due_starts(world.now) == []
    assert reasons(world) == {EVACUATED}
    run(world, 1.0)
    assert world.starts == {}


def test_a_start_that_is_due_is_not_sent_any_more(world):
    """Guards against a start between the decision and the call to the worker."""
    runner = deliver_assignments(world, tasks=1)
    (due,) = runner.begin_due_starts(world.now)
    evacuate(world)
    assert runner.start_deadline_ms(due, world.now) is None
    runner.record_start_outcome(due, StartOutcome.LATE, world.now)
    assert reasons(world) == {EVACUATED}
    assert runner.run_count == 0


def test_a_worker_starts_slowly_once_the_evacuation_is_lifted(world):
    evacuate(world)
    run(world, 0.5)
    evacuate(world, False)
    status = report(world).worker
    assert status.accepting
    assert (status.capacity, status.free.cpu) == (CAPACITY, CAPACITY.cpu // 4)
    assert status.free.memory_mb == CAPACITY.memory_mb
    run(world, MAX_DURATION_S + 0.1)
    assert report(world).worker.free == CAPACITY


def test_an_evacuation_that_is_unchanged_starts_nothing_over(world):
    evacuate(world, False)
    assert report(world).worker.free == CAPACITY


def test_one_set_again_within_a_second_refuses_again(world):
    for evacuated in (True, False, True):
        evacuate(world, evacuated)
        run(world, 0.3)
    deliver_assignments(world, tasks=1)
    run(world, 1.0)
    assert world.starts == {}


@pytest.fixture
def slow_start():
    slow_start = SlowStart()
    slow_start.begin(2.0, NOW)
    return slow_start


def end_runs(slow_start, count, run_ms=200):
    """Ends runs of a quarter of the first room each, on a worker of half speed."""
    for _ in range(count):
        slow_start.record_end(2_000, run_ms, 100, WORKER, NOW + 1)
    return slow_start.limit(WORKER, NOW + 1).cpu


def test_room_doubles_each_time_as_much_work_as_it_had_has_ended(slow_start):
    assert slow_start.limit(WORKER, NOW) == Resources(8_000, 1_000, 1)
    assert end_runs(slow_start, 3) == 8_000
    assert end_runs(slow_start, 1) == 16_000
    assert end_runs(slow_start, 7) == 16_000
    assert end_runs(slow_start, 1) == 32_000
    assert end_runs(slow_start, 100) == 32_000


def test_runs_that_took_longer_than_expected_bring_no_room(slow_start):
    assert end_runs(slow_start, 100, run_ms=301) == 8_000
    assert end_runs(slow_start, 4, run_ms=300) == 16_000


def test_all_room_is_back_in_time(slow_start):
    assert slow_start.limit(WORKER, NOW + MAX_DURATION_S - 0.1).cpu == 8_000
    assert slow_start.limit(WORKER, NOW + MAX_DURATION_S) == WORKER


def test_it_starts_over_at_each_evacuation(slow_start):
    end_runs(slow_start, 12)
    slow_start.begin(0.0, NOW + 2)
    assert slow_start.limit(WORKER, NOW + 2).cpu == 8_000
    slow_start.cancel()
    assert slow_start.limit(WORKER, NOW + 2) == WORKER
