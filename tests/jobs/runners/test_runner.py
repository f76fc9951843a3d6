"""How a runner handles messages and events that fall between two of its steps."""

from dataclasses import replace

import msgspec
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

TASK_ID = TaskId("a" * 16, 0, 0, 0)
ORIGIN = ("owner-0", "owner-0#1")
TICK_S = 0.05


def idle_world():
    """Returns a world whose workers have been idle for longer than a lease."""
    world = World(owners=1, runners=1)
    for _ in range(60):
        world.step()
    return world


def two_runners_world():
    """Returns a world of two runners, so that a task can be run elsewhere."""
    world = World(owners=1, runners=2, run_s=2.0)
    for _ in range(20):
        world.step()
    return world


@pytest.fixture
def world():
    return idle_world()


@pytest.fixture
def paired_world():
    return two_runners_world()


def send_assignment(world, **fields):
    runner = world.runners["runner-0"]
    message = StartTasks(
        partition=TRANSIENT_PARTITION,
        epoch=0,
        worker=runner.worker.incarnation,
        spec="text",
        urgency=0.0,
        valid_until_ms=round(world.now * 1000) + 350,
        expires_at_ms=0,
        assignments=(Assignment(TASK_ID, 1, TASK, 120),),
    )
    message = msgspec.structs.replace(message, **fields)
    assert runner.handle_start(ORIGIN, message, world.now)
    return runner


def refusal(world, runner, origin=ORIGIN):
    """Returns the reason for which the only assignment was refused."""
    assert runner.begin_due_starts(world.now) == []
    (end,) = runner.report(origin, world.now).ends
    assert end.kind is EndKind.REFUSED
    return end.reason


def test_a_start_about_to_be_sent_does_not_lapse_with_an_expired_lease(world):
    """The lease of an idle worker has expired before a run starts there.

    A tick between the choice of the run and its start took the run for lapsed, and the
    owner placed the task a second time. Found with magridge-ops, rule TWICE:
    mix --seed 399565753612.
    """
    runner = send_assignment(world)
    (run,) = runner.begin_due_starts(world.now)
    runner.tick(world.now)
    assert runner.report(ORIGIN, world.now).ends == ()
    assert runner.start_deadline_ms(run, world.now) is not None
    runner.record_start_outcome(run, StartOutcome.STARTED, world.now)
    (status,) = runner.report(ORIGIN, world.now).runs
    assert status.run == 1


@pytest.mark.parametrize("end", ["record_worker_left", "announce"])
def test_a_run_that_ended_before_its_start_was_sent_is_not_sent(world, end):
    runner = send_assignment(world)
    (run,) = runner.begin_due_starts(world.now)
    if end == "record_worker_left":
        runner.record_worker_left(world.now)
    else:
        world.workers["runner-0"].crash()
        runner.announce(world.workers["runner-0"].announcement(), world.now)
    assert runner.start_deadline_ms(run, world.now) is None


def test_a_message_that_the_worker_has_left_ends_no_runs(world):
    """It names no incarnation and may be late: the runs of the next one went on.

    They were started again elsewhere beside themselves (review/7).
    """
    runner = send_assignment(world)
    (run,) = runner.begin_due_starts(world.now)
    runner.record_start_outcome(run, StartOutcome.STARTED, world.now)
    runner.record_leave_announced()
    assert runner.report(ORIGIN, world.now).ends == ()
    assert runner.needs_polling


def test_a_worker_that_announced_its_leave_and_is_not_there_has_left(world):
    runner = send_assignment(world)
    (run,) = runner.begin_due_starts(world.now)
    runner.record_start_outcome(run, StartOutcome.STARTED, world.now)
    assert not runner.record_refused_poll(world.now)
    assert runner.report(ORIGIN, world.now).ends == ()
    runner.record_leave_announced()
    assert runner.record_refused_poll(world.now)
    (end,) = runner.report(ORIGIN, world.now).ends
    assert (end.kind, end.reason) == (EndKind.LAPSED, "worker-left")
    assert not runner.needs_polling
    assert runner.availability == (True, False)


def test_a_heartbeat_after_the_message_shows_that_the_worker_lives(world):
    runner = send_assignment(world)
    runner.record_leave_announced()
    runner.announce(world.workers["runner-0"].announcement(), world.now)
    assert not runner.record_refused_poll(world.now)
    assert runner.report(ORIGIN, world.now).ends == ()


def test_a_heartbeat_that_a_newer_one_has_overtaken_is_ignored(world):
    runner = world.runners["runner-0"]
    newest = runner.worker
    late = replace(newest, sequence=newest.sequence - 1, draining=True)
    assert not runner.announce(late, world.now)
    assert runner.worker is newest


def test_a_reading_of_the_clock_that_a_newer_one_has_overtaken_is_ignored(world):
    """Leases would be too short, and lapse under running tasks."""
    runner = world.runners["runner-0"]
    clock_ms, read_at = runner._worker_clock
    runner.update_worker_clock(clock_ms - 1, world.now + 1)
    assert runner._worker_clock == (clock_ms, read_at)


def test_a_start_to_an_unresponsive_worker_returns_to_waiting(world):
    runner = send_assignment(world)
    (run,) = runner.begin_due_starts(world.now)
    runner.record_unanswered_poll(world.now - 1.0)
    assert runner.start_deadline_ms(run, world.now) is None
    runner.record_start_outcome(run, StartOutcome.LATE, world.now)
    (status,) = runner.report(ORIGIN, world.now).runs
    assert status.run == 1


def test_tasks_waiting_for_an_unresponsive_worker_are_refused_soon(world):
    """Jobs were late by 0.4 s and more in incident inc-6b54 of magridge-ops."""
    runner = send_assignment(world)
    runner.record_unanswered_poll(world.now - 0.4)
    assert runner.begin_due_starts(world.now) == []
    assert not runner.tick(world.now + 0.09)
    assert runner.tick(world.now + 0.11)
    (end,) = runner.report(ORIGIN, world.now).ends
    assert (end.kind, end.reason) == (EndKind.REFUSED, "worker-silent")


def test_a_run_whose_room_is_taken_is_refused_at_the_next_tick(world):
    """A short job is late if its task waits there while others have room."""
    everything = Assignment(TASK_ID, 1, world.runners["runner-0"].worker.capacity, 120)
    runner = send_assignment(world, assignments=(everything,))
    assert len(runner.begin_due_starts(world.now)) == 1
    other = Assignment(TaskId("b" * 16, 0, 0, 0), 1, TASK, 120)
    send_assignment(world, assignments=(other,))
    world.now += TICK_S
    assert runner.tick(world.now)
    assert refusal(world, runner) == "no-room"


def test_a_run_with_room_is_kept_while_it_may_not_start_yet(world):
    runner = send_assignment(world, expires_at_ms=round(world.now * 1000) + 200)
    world.now += TICK_S
    assert not runner.tick(world.now)
    assert runner.run_count == 1


def test_an_unanswered_poll_is_repeated_at_once(world):
    """Polls went unanswered one by one in incident inc-6b54 of magridge-ops."""
    runner = world.runners["runner-0"]
    _, idle_wait_s = runner.next_poll()
    assert idle_wait_s > 0
    runner.record_unanswered_poll(world.now)
    assert runner.next_poll() == (0, 0)
    runner.record_unanswered_poll(world.now)
    pause_s, wait_s = runner.next_poll()
    assert (pause_s > 0, wait_s) == (True, 0)
    world.exchange_with_worker("runner-0")
    assert runner.next_poll() == (0, idle_wait_s)


def test_an_unresponsive_worker_without_runs_is_polled_until_it_answers(world):
    """Otherwise it would get no more tasks until its next incarnation."""
    runner = world.runners["runner-0"]
    assert not runner.needs_polling
    runner.record_unanswered_poll(world.now)
    assert not runner.report(ORIGIN, world.now).worker.accepting
    assert runner.needs_polling
    world.exchange_with_worker("runner-0")
    assert runner.report(ORIGIN, world.now).worker.accepting
    assert not runner.needs_polling


def test_a_delayed_assignment_is_refused(world):
    """Its owner may have placed the task elsewhere in the meantime."""
    runner = send_assignment(world, valid_until_ms=round(world.now * 1000) - 1)
    assert refusal(world, runner) == "held-up"


def test_an_assignment_for_another_incarnation_is_refused(world):
    runner = send_assignment(world, worker="another")
    assert refusal(world, runner) == "other-incarnation"


def test_an_assignment_of_a_former_owner_is_refused(world):
    runner = world.runners["runner-0"]
    for epoch, owner in ((1, ORIGIN), (2, ("owner-1", "owner-1#1"))):
        heartbeat = Heartbeat(((0, epoch),), 0, 0, world.incarnation("runner-0"))
        runner.handle_dispatcher_heartbeat(owner, heartbeat, world.now)
    send_assignment(world, partition=0, epoch=1)
    assert refusal(world, runner, owner) == "former-owner"


def test_an_assignment_that_arrives_after_its_stop_is_refused(world):
    runner = world.runners["runner-0"]
    stop = StopTasks(TRANSIENT_PARTITION, 0, (TaskRun(TASK_ID, 1),))
    runner.handle_stop(ORIGIN, stop, world.now)
    send_assignment(world)
    assert refusal(world, runner) == "outdated"


@pytest.mark.parametrize(("partition", "epoch"), [(0, 2), (TRANSIENT_PARTITION, 0)])
def test_a_stop_of_another_owner_leaves_a_run_as_it_is(world, partition, epoch):
    """A stored job's former owner names a lower epoch, a transient job's has none."""
    runner = world.runners["runner-0"]
    heartbeat = Heartbeat(((0, 2),), 0, 0, world.incarnation("runner-0"))
    runner.handle_dispatcher_heartbeat(ORIGIN, heartbeat, world.now)
    send_assignment(world, partition=partition, epoch=epoch)
    former = StopTasks(partition, max(0, epoch - 1), (TaskRun(TASK_ID, 1),))
    runner.handle_stop(("owner-1", "owner-1#1"), former, world.now)
    assert not any(run.stop_requested for run in runner._runs.values())
    assert runner.run_count == 1


def test_a_job_is_confirmed_by_the_dispatcher_that_sent_it_alone(world):
    runner = send_assignment(world, confirmed_ms=round(world.now * 1000))
    (run,) = runner._runs.values()
    until, stamp = run.confirmed_until, round(world.now * 1000) + 500
    heartbeat = Heartbeat((), 0, 0, "", ((TASK_ID.job, stamp),))
    runner.handle_dispatcher_heartbeat(("owner-0", "owner-0#0"), heartbeat, world.now)
    assert run.confirmed_until == until
    runner.handle_dispatcher_heartbeat(ORIGIN, heartbeat, world.now)
    assert run.confirmed_until == pytest.approx(until + 0.5)


def test_a_start_that_reaches_its_worker_late_starts_nothing(paired_world):
    """By then the owner knows that the task was not started, and starts it again."""
    world = paired_world
    world.late_starts.update(world.runners)
    world.submit("owner-0", TASK_ID.job, tasks=2, deadline_s=20.0)
    for _ in range(10):
        world.step()
    assert world.starts == {}
    world.late_starts.clear()
    for _ in range(100):
        world.step()
    assert [reply.state for reply in world.replies[TASK_ID.job]] == ["completed"]
    assert world.faults == []


def test_a_worker_that_answers_before_its_first_heartbeat_is_used_again(paired_world):
    """Its jobs hung for good, since its runner went back to a lower fence.

    The new life had seen the fence of the one before, a reading of the older clock.
    """
    world = paired_world
    world.submit("owner-0", TASK_ID.job, tasks=4, deadline_s=30.0)
    world.step()
    world.workers["runner-0"].crash()
    for _ in range(200):
        world.step()
    assert world.runners["runner-0"].reconciled
    assert world.runners["runner-0"].fence >= world.workers["runner-0"].fence
    assert [reply.state for reply in world.replies[TASK_ID.job]] == ["completed"]
    assert world.faults == []


@pytest.mark.parametrize("set_back_s", [0.0, 3_600.0])
def test_a_new_process_gets_past_the_fence_of_the_one_before(paired_world, set_back_s):
    """That one may have shown the present life of the worker a fence of another."""
    world = paired_world
    worker = world.workers["runner-0"]
    world.submit("owner-0", TASK_ID.job, tasks=4, deadline_s=30.0)
    world.step()
    worker.crash(set_back_s)
    for _ in range(2):
        world.step()
    assert worker.fence > 0
    world.start_runner("runner-0")
    for _ in range(40):
        world.step()
    assert world.runners["runner-0"].reconciled
    assert world.faults == []
