"""Transient jobs: a task has one run at a time, whatever the network does."""

import pytest

from ..world import World

WARM_UP_STEPS = 20


@pytest.fixture
def world():
    world = World()
    for _ in range(WARM_UP_STEPS):
        world.step()
    return world


def run(world, seconds, frozen=()):
    for _ in range(round(seconds / 0.05)):
        world.step(frozen=frozen)


def states(world, job_id):
    return [str(reply.state or reply.outcome) for reply in world.replies[job_id]]


def test_a_job_is_answered_when_all_its_tasks_are_done(world):
    world.submit("owner-0", "a" * 16, tasks=4)
    run(world, 1.0)
    assert states(world, "a" * 16) == ["completed"]
    assert world.faults == []


def test_tasks_beyond_the_free_capacity_wait_for_it(world):
    world.submit("owner-0", "a" * 16, tasks=9)
    world.submit("owner-1", "b" * 16, tasks=9)
    run(world, 4.0)
    assert states(world, "a" * 16) == ["completed"]
    assert states(world, "b" * 16) == ["completed"]
    assert world.faults == []


def test_a_delayed_assignment_starts_nothing(world):
    """The task has been placed elsewhere while the assignment was in flight."""
    world.run_s = 3.0
    world.cut("owner-0", "runner-0")
    world.cut("owner-0", "runner-1")
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    sent_to = [name for name in world.runners if start_messages(world, name)]
    assert len(sent_to) == 1
    other = next(name for name in world.runners if name not in sent_to)
    world.cut("owner-0", other, cut=False)
    run(world, 2.0)
    world.cut("owner-0", sent_to[0], cut=False)
    run(world, 8.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["completed"]


def start_messages(world, runner):
    messages = world.links["owner-0", runner].messages
    return [m for _, _, m in messages if type(m).__name__ == "StartTasks"]


def test_runs_of_a_dead_dispatcher_end_before_its_callers_submit_again(world):
    world.run_s = 5.0
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 0.3)
    assert sum(len(worker.running) for worker in world.workers.values()) == 2
    world.start_owner("owner-0")  # replaces the process, which loses its state
    run(world, 1.3)
    world.submit("owner-1", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 8.0)
    assert world.faults == []
    assert states(world, "a" * 16)[-1] == "completed"


def test_a_caller_that_leaves_ends_the_runs(world):
    world.run_s = 5.0
    replies = world.replies.setdefault("a" * 16, [])
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 0.3)
    job = world.owners["owner-0"].transient.jobs["a" * 16]
    world.owners["owner-0"].remove_transient_caller("a" * 16, job.on_final[0])
    run(world, 0.5)
    assert not any(worker.running for worker in world.workers.values())
    assert replies == []


# Guards against a run that begins after its caller has left: an assignment that was
# lost with a connection was sent again although its job was over.
def test_an_assignment_of_a_job_that_is_over_is_not_sent_again(world):
    world.run_s = 20.0
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=60.0)
    world.leave("owner-0", "a" * 16)
    for runner in world.runners:
        world.links["owner-0", runner].messages.clear()  # the connection is reset
    run(world, 2.0)
    assert world.starts == {}
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=60.0)
    run(world, 0.5)
    assert len(world.starts) == 1
    assert world.faults == []


def test_the_stops_of_a_job_are_pending_until_its_runs_are_over(world):
    world.run_s = 20.0
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=60.0)
    run(world, 0.2)
    world.lost_stops.update(world.runners)
    world.leave("owner-0", "a" * 16)
    run(world, 0.4)
    stops = world.owners["owner-0"].pending_stops()
    assert {run.task.job for _, stop in stops for run in stop.runs} == {"a" * 16}
    world.lost_stops.clear()
    run(world, 0.2)
    assert world.owners["owner-0"].pending_stops() == []


def test_a_job_submitted_again_waits_for_the_end_of_its_earlier_runs(world):
    world.run_s = 1.0
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=0.2)
    run(world, 0.25)
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 4.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["in-doubt", "completed"]


def test_a_canceled_job_is_not_run_by_a_late_copy(world):
    world.run_s = 5.0
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 0.3)
    for owner in world.owners.values():
        owner.cancel_transient("a" * 16)
    run(world, 0.5)
    world.submit("owner-1", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 1.0)
    assert states(world, "a" * 16) == ["canceled", "canceled"]
    assert not any(worker.running for worker in world.workers.values())


def test_a_dispatcher_that_reaches_no_runner_refuses_early(world):
    for name in world.runners:
        world.cut("owner-0", name)
    run(world, 2.0)
    world.submit("owner-0", "a" * 16, deadline_s=20.0)
    run(world, 0.1)
    assert states(world, "a" * 16) == ["not-stored"]


def test_a_dispatcher_that_starts_waits_for_its_runners():
    world = World(owners=0)
    world.run_s = 0.5
    world.start_owner("owner-0")
    for name in world.runners:
        world.cut("owner-0", name)
    world.submit("owner-0", "a" * 16, deadline_s=20.0)
    run(world, 1.0)
    for name in world.runners:
        world.cut("owner-0", name, cut=False)
    run(world, 2.0)
    assert states(world, "a" * 16) == ["completed"]


def test_a_job_that_would_end_too_late_is_refused(world):
    """Its objective is 0.25 s; an end after three times that is too late to count."""
    world.run_s = 3.0
    world.submit("owner-0", "b" * 16, tasks=4, deadline_s=20.0)
    run(world, 0.5)
    world.run_s = 0.12
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    run(world, 1.0)
    assert states(world, "a" * 16) == ["not-stored"]


def test_a_worker_that_crashes_has_its_tasks_run_elsewhere(world):
    world.run_s = 1.0
    world.submit("owner-0", "a" * 16, tasks=4, deadline_s=20.0)
    run(world, 0.3)
    worker = world.workers["runner-0"]
    worker.crash()
    world.runners["runner-0"].announce(worker.announcement(), world.now)
    run(world, 4.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["completed"]


def test_a_runner_that_restarts_stops_the_runs_that_it_finds(world):
    world.run_s = 1.0
    world.submit("owner-0", "a" * 16, tasks=4, deadline_s=20.0)
    run(world, 0.3)
    world.start_runner("runner-0")
    run(world, 4.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["completed"]


def test_a_run_that_its_runner_has_forgotten_is_placed_again(world):
    """The end of a run is lost when the runner drops a dispatcher that seems dead."""
    world.run_s = 0.5
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    run(world, 0.2)
    origin = ("owner-0", world.incarnation("owner-0"))
    for name in world.runners:
        world.links[name, "owner-0"].cut = True
    run(world, 0.6)
    for name, runner in world.runners.items():
        runner.forget_owner(origin)
        world.links[name, "owner-0"].messages.clear()
        world.links[name, "owner-0"].cut = False
    run(world, 6.0)
    assert states(world, "a" * 16) == ["completed"]


def test_an_unanswered_start_is_reconciled_with_the_worker(world):
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    for name in world.runners:
        for message in list(world.links["owner-0", name].messages):
            runner = world.runners[name]
            origin = ("owner-0", world.incarnation("owner-0"))
            if type(message[2]).__name__ == "StartTasks":
                world.links["owner-0", name].messages.remove(message)
                runner.handle_start(origin, message[2], world.now)
                world.exchange_with_worker(name, lose_start=True)
    run(world, 2.0)
    assert states(world, "a" * 16) == ["completed"]
    assert world.faults == []


def test_tasks_at_an_unresponsive_worker_are_run_elsewhere(world):
    """Unanswered polls must not be taken to extend the worker's lease forever."""
    world.run_s = 1.5
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    run(world, 0.2)
    lost = next(worker for worker in world.workers.values() if worker.running)
    lost.unresponsive = True
    world.record_worker_loss(lost)
    lost.running = {}
    run(world, 3.5)
    assert states(world, "a" * 16) == ["completed"]
    assert world.faults == []


def test_tasks_of_a_runner_that_restarts_do_not_wait_for_its_worker(world):
    """The next heartbeat of a worker may be seconds away."""
    world.run_s = 0.5
    world.submit("owner-0", "a" * 16, tasks=4, deadline_s=20.0)
    run(world, 0.2)
    world.start_runner("runner-0", announce=False)
    run(world, 2.5)
    assert states(world, "a" * 16) == ["completed"]
    assert world.faults == []


def test_a_seemingly_older_incarnation_replaces_an_unresponsive_one(world):
    """The clock may have been set back before the worker restarted."""
    worker, runner = world.workers["runner-0"], world.runners["runner-0"]
    worker.incarnation_number = worker.born_offset_ms = -5
    runner.announce(worker.announcement(), world.now)
    assert runner.worker.incarnation == "runner-0@0"
    world.now += 4.0
    runner.announce(worker.announcement(), world.now)
    assert runner.worker.incarnation == "runner-0@-5"


def test_a_runner_that_has_not_seen_its_worker_reports_none_of_its_runs(world):
    """Runs that its former process started continue until the lease lapses."""
    world.run_s = 5.0
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 0.3)
    holder = next(name for name in world.runners if world.workers[name].running)
    world.start_runner(holder, announce=False)
    run(world, 8.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["completed"]


@pytest.mark.parametrize("cut_s", [0.2, 0.3, 0.4, 0.5, 0.6, 0.9])
def test_a_runner_that_is_cut_off_and_freezes_runs_nothing_twice(cut_s):
    """The lease that it renewed last must not outlast its authority to act."""
    world = World(owners=1, run_s=30.0)
    run(world, 1.0)
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=60.0)
    run(world, 0.5)
    holder = next(name for name in world.runners if world.workers[name].running)
    world.cut("owner-0", holder)
    run(world, cut_s)
    run(world, 3.0, frozen={holder})
    assert len(world.starts) == 1
    (times,) = world.starts.values()
    assert len(times) == 2
    assert world.faults == []
