"""How long the runs on a worker may go on."""

import pytest

from banyanwheel_jobs.messages import (
    Assignment,
    Heartbeat,
    StartTasks,
    StopTasks,
    TaskRun,
)
from banyanwheel_jobs.model import TRANSIENT_PARTITION, EndKind, TaskId
from banyanwheel_jobs.ports import StartOutcome

from ..world import TASK, World

JOB = "a" * 16
STEP_S = 0.05
# Callers submit a transient job again this long after their connection broke.
RESUBMISSION_S = 1.3


def running_world(run_s=20.0):
    """Returns a world in which a transient job of owner-0 runs."""
    world = World(owners=2, runners=2, run_s=run_s)
    for _ in range(20):
        world.step()
    world.submit("owner-0", JOB, tasks=2, deadline_s=60.0)
    for _ in range(4):
        world.step()
    assert len(world.starts) == 2
    return world


def pass_time(world, seconds):
    for _ in range(round(seconds / STEP_S)):
        world.step()


def start_message(world):
    """Returns an assignment for runner-0."""
    return StartTasks(
        partition=TRANSIENT_PARTITION,
        epoch=0,
        worker=world.runners["runner-0"].worker.incarnation,
        spec="text",
        urgency=0.0,
        valid_until_ms=round(world.now * 1000) + 350,
        expires_at_ms=0,
        assignments=(Assignment(TaskId(JOB, 0, 0, 0), 1, TASK, 120),),
    )


def lapses(world):
    return [fields for event, fields in world.event_log.events if event == "run:lapsed"]


def test_a_lapse_is_logged_with_what_the_runner_knew():
    world = running_world()
    for worker in world.workers.values():
        worker.unresponsive = True
    pass_time(world, 2.0)
    fields = lapses(world)[0]
    assert fields["task"].startswith(JOB)
    assert (fields["stop_age_ms"], fields["found"]) == (None, False)
    assert fields["unanswered_polls"] > 0


# Guards against two runs of a task at once: the lease of a run that had to stop was
# renewed while its stops went unanswered, and its caller submitted the job again.
@pytest.mark.parametrize("offset_steps", range(4))
def test_a_run_whose_stops_are_lost_is_over_before_its_caller_comes_back(offset_steps):
    world = running_world()
    pass_time(world, offset_steps * STEP_S)
    world.lost_stops.update(world.runners)
    world.leave("owner-0", JOB)
    pass_time(world, RESUBMISSION_S)
    assert not any(worker.running for worker in world.workers.values())
    world.submit("owner-1", JOB, tasks=2, deadline_s=60.0)
    pass_time(world, 3.0)
    assert world.faults == []
    assert {fields["stop_age_ms"] is None for fields in lapses(world)} == {False}


# Guards against two runs of a task at once: a stop that arrived late, and wasn't
# answered either, left the run with a whole lease more.
def test_a_stop_does_not_extend_the_lease_in_force():
    world = running_world()
    world.lost_stops.update(world.runners)
    name = next(name for name in world.runners if world.workers[name].running)
    runner, worker = world.runners[name], world.workers[name]
    for _ in range(4):
        world.step(frozen=set(world.runners))  # no poll renews the lease
    runs = tuple(TaskRun(*key) for key in worker.running)
    origin = ("owner-0", world.incarnation("owner-0"))
    now_ms = round(world.now * 1000)
    heartbeat = Heartbeat((), 0, now_ms, world.incarnation(name))
    runner.handle_dispatcher_heartbeat(origin, heartbeat, world.now)
    runner.handle_stop(origin, StopTasks(TRANSIENT_PARTITION, 0, runs), world.now)
    pass_time(world, 0.8)
    assert not any(run == 1 for _, run in worker.running)


# Guards against a run that begins after its stop: the worker rejected a start while the
# stop arrived, and the start was sent again.
@pytest.mark.parametrize("outcome", [StartOutcome.FENCED, StartOutcome.LATE])
def test_a_start_that_was_rejected_after_its_stop_is_not_sent_again(outcome):
    world = World(owners=1, runners=1, run_s=20.0)
    pass_time(world, 1.0)
    runner = world.runners["runner-0"]
    origin = ("owner-0", world.incarnation("owner-0"))
    runner.handle_start(origin, start_message(world), world.now)
    (run,) = runner.begin_due_starts(world.now)
    runner.handle_stop(
        origin, StopTasks(TRANSIENT_PARTITION, 0, (TaskRun(*run.key),)), world.now
    )
    runner.record_start_outcome(run, outcome, world.now)
    assert runner.begin_due_starts(world.now) == []
    (end,) = runner.report(origin, world.now).ends
    assert end.kind is EndKind.STOPPED


# Guards against two runs of a task at once: a process that took over from a killed one
# renewed the worker's lease while the stops of what it had found went unanswered.
@pytest.mark.parametrize("down_s", [0.0, 0.4, 0.8])
def test_a_run_found_by_a_new_process_is_over_before_its_task_is_placed_again(down_s):
    world = running_world()
    world.lost_stops.update(world.runners)
    for _ in range(round(down_s / STEP_S)):
        world.step(frozen=set(world.runners))
    for name in list(world.runners):
        world.start_runner(name)
    pass_time(world, RESUBMISSION_S - down_s)
    assert not any(
        run == 1 for worker in world.workers.values() for _, run in worker.running
    )
    pass_time(world, 3.0)
    assert world.faults == []
    assert all(runner.reconciled for runner in world.runners.values())


def order_from_a_frozen_owner(world, frozen_s):
    """Has runner-0 start a task of owner-0, which has stood still for a while."""
    for _ in range(round(frozen_s / STEP_S)):
        world.step(frozen={"owner-0"})
    runner = world.runners["runner-0"]
    origin = ("owner-0", world.incarnation("owner-0"))
    runner.handle_start(origin, start_message(world), world.now)
    world.exchange_with_worker("runner-0")


def test_a_job_close_to_its_deadline_starts_beside_others():
    """Its authority has to cover the lease in force, its deadline need not."""
    world = running_world()
    world.submit("owner-1", "b" * 16, tasks=2, deadline_s=0.8)
    pass_time(world, 0.1)
    assert len(world.starts) == 4


def latest_end(world):
    """Returns when the last run of the job has ended, while owner-0 stands still."""
    for _ in range(round(RESUBMISSION_S / STEP_S)):
        if not any(task.job == JOB for task, _ in world.workers["runner-0"].running):
            return world.now
        world.step(frozen={"owner-0"})
    return float("inf")


# Guards against two runs of a task at once: a run was started under a lease that had
# been renewed for longer than its own dispatcher's authority.
@pytest.mark.parametrize("frozen_s", [0.4, 0.5])
def test_a_run_started_under_a_longer_lease_is_over_with_its_authority(frozen_s):
    world = World(owners=2, runners=1, run_s=20.0)
    pass_time(world, 1.0)
    world.submit("owner-1", "b" * 16, tasks=1, deadline_s=60.0)
    pass_time(world, 0.2)
    world.lost_stops.update(world.runners)
    frozen_at = world.now
    order_from_a_frozen_owner(world, frozen_s)
    assert latest_end(world) < frozen_at + RESUBMISSION_S


# Guards against two runs of a task at once: the lease was reckoned from a reading of
# the worker's clock that was as old as the worker had been idle.
def test_a_slow_clock_of_an_idle_worker_makes_no_lease_longer():
    world = World(owners=1, runners=1, run_s=20.0)
    world.workers["runner-0"].crash()
    world.workers["runner-0"].clock_rate = 0.98
    pass_time(world, 40.0)
    world.lost_stops.update(world.runners)
    frozen_at = world.now
    order_from_a_frozen_owner(world, 0.4)
    assert latest_end(world) < frozen_at + RESUBMISSION_S


# Guards against a lapse of all runs on a worker: an older list, which a newer one had
# overtaken, showed a run that had ended, and the lease was no longer renewed.
def test_a_list_that_was_overtaken_finds_no_run():
    world = running_world()
    name = next(name for name in world.runners if world.workers[name].running)
    runner, worker = world.runners[name], world.workers[name]
    key = next(iter(worker.running))
    older = worker.renew_lease(runner.fence, runner.acknowledged, None)
    worker.stop(key, runner.fence)
    newer = worker.renew_lease(runner.fence, runner.acknowledged, None)
    for listing in (newer, older):
        runner.reconcile(listing, runner.fence, 0, world.now, world.now)
    assert "run:found" not in {event for event, _ in world.event_log.events}


# Guards against runs that lapse right after their start: the first lease after an idle
# time was shorter by 2% of it, and none at all after 46 s.
def test_the_clock_of_an_idle_worker_is_read_again():
    world = World(owners=1, runners=1)
    runner = world.runners["runner-0"]
    pass_time(world, 4.0)
    assert not runner.has_old_clock(world.now)
    pass_time(world, 2.0)
    assert runner.has_old_clock(world.now)
    assert runner.deadline_ms(world.now) is None
