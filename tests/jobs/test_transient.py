"""Jobs that are not stored: one run of a task at a time, whatever the network does."""

import pytest

from .world import World

SETTLE_STEPS = 20


@pytest.fixture
def world():
    world = World()
    for _ in range(SETTLE_STEPS):
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


def test_more_tasks_than_room_wait_for_it(world):
    world.submit("owner-0", "a" * 16, tasks=9)
    world.submit("owner-1", "b" * 16, tasks=9)
    run(world, 4.0)
    assert states(world, "a" * 16) == ["completed"]
    assert states(world, "b" * 16) == ["completed"]
    assert world.faults == []


def test_an_order_that_was_held_up_starts_nothing(world):
    """The task has been placed elsewhere while the order was on its way."""
    world.run_s = 3.0
    world.cut("owner-0", "runner-0")
    world.cut("owner-0", "runner-1")
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    sent_to = [name for name in world.runners if orders(world, name)]
    assert len(sent_to) == 1
    other = next(name for name in world.runners if name not in sent_to)
    world.cut("owner-0", other, cut=False)
    run(world, 2.0)
    world.cut("owner-0", sent_to[0], cut=False)
    run(world, 8.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["completed"]


def orders(world, runner):
    messages = world.links["owner-0", runner].messages
    return [m for _, _, m in messages if type(m).__name__ == "StartTasks"]


def test_runs_of_a_dead_dispatcher_are_over_before_its_callers_come_again(world):
    world.run_s = 5.0
    world.submit("owner-0", "a" * 16, tasks=2, deadline_s=20.0)
    run(world, 0.3)
    assert sum(len(worker.running) for worker in world.workers.values()) == 2
    world.start_owner("owner-0")  # nothing is left of the former process
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


def test_a_job_sent_again_waits_for_the_end_of_its_earlier_runs(world):
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


def test_a_job_that_can_not_count_any_more_is_refused(world):
    """Its objective is 0.25 s, three times that counts as late."""
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


def test_a_runner_that_restarts_stops_what_it_finds(world):
    world.run_s = 1.0
    world.submit("owner-0", "a" * 16, tasks=4, deadline_s=20.0)
    run(world, 0.3)
    world.start_runner("runner-0")
    run(world, 4.0)
    assert world.faults == []
    assert states(world, "a" * 16) == ["completed"]


def test_a_run_that_its_runner_has_forgotten_is_placed_again(world):
    """The end of a run is lost with the reports of a dispatcher that seemed gone."""
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


def test_a_start_without_an_answer_is_settled_by_the_worker(world):
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


def test_tasks_at_a_worker_without_a_sign_of_life_are_run_elsewhere(world):
    """Looks without an answer must not be taken to extend its lease for good."""
    world.run_s = 1.5
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    run(world, 0.2)
    dead = next(worker for worker in world.workers.values() if worker.running)
    dead.unresponsive = True
    world.record_worker_loss(dead)
    dead.running = {}
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


def test_a_life_that_seems_older_is_taken_once_the_former_one_is_silent(world):
    """The clock may have been set back before the worker started again."""
    worker, runner = world.workers["runner-0"], world.runners["runner-0"]
    worker.incarnation_number = -5
    runner.announce(worker.announcement(), world.now)
    assert runner.worker.incarnation == "runner-0@0"
    world.now += 4.0
    runner.announce(worker.announcement(), world.now)
    assert runner.worker.incarnation == "runner-0@-5"


def test_a_runner_that_has_not_seen_its_worker_says_nothing_of_its_runs(world):
    """Those of its former process go on until the lease lapses."""
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
    """Its last renewal of the lease must not outlast what it may act on."""
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
