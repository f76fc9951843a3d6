"""Forwarded jobs: answered, and with one run of a task at a time."""

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from banyanwheel_jobs.authority import TRANSIENT_AUTHORITY_S
from banyanwheel_jobs.cells.forwarding import ForwardedJobs, HostedJobs
from banyanwheel_jobs.cells.placers import Placers
from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations
from banyanwheel_jobs.messages import (
    Claims,
    JobsAbandoned,
    JobsOpen,
    JobsUnknown,
    RunJob,
)
from banyanwheel_jobs.model import Step, Submission
from banyanwheel_jobs.outcomes import EVACUATED, Outcome

from ..world import QUEUE, TASK, EventRecorder, lone_owner
from .entry_world import CALLER_RETRY_S, EntryWorld

JOB = "a" * 16
WARM_UP_S = 1.5
RECOVERY_S = 20.0


def warm_world(run_s=0.12):
    world = EntryWorld(run_s=run_s)
    run(world, WARM_UP_S)
    return world


@pytest.fixture
def world():
    return warm_world()


def run(world, seconds, frozen=()):
    for _ in range(round(seconds / 0.05)):
        world.step(frozen=frozen)


def running(world):
    return sum(len(worker.running) for worker in world.workers.values())


def placer_of(world, job_id=JOB):
    return next(
        name for name, owner in world.owners.items() if job_id in owner.transient.jobs
    )


def other(names, name):
    return next(each for each in names if each != name)


def test_a_job_is_run_by_a_placer_and_answered(world):
    world.submit_at("entry-0", JOB, tasks=4)
    run(world, 1.0)
    assert world.completed(JOB)
    assert world.faults == []


def test_a_long_job_runs_on_while_its_entry_confirms_it():
    world = warm_world(run_s=6.0)
    world.submit_at("entry-0", JOB)
    run(world, 8.0)
    assert [reply.state for reply in world.replies[JOB]] == ["completed"]
    assert len(world.starts) == sum(len(starts) for starts in world.starts.values())


def test_a_request_that_is_lost_goes_to_another_placer(world):
    world.submit_at("entry-0", JOB)
    for owner in world.owners:
        link = world.links["entry-0", owner]
        link.messages = [item for item in link.messages if _kind(item) != "RunJob"]
    run(world, 1.5)
    assert world.completed(JOB)
    assert world.faults == []


def test_an_answer_that_is_lost_is_repeated():
    world = warm_world(run_s=0.3)
    world.submit_at("entry-0", JOB, tasks=1)
    for _ in range(20):
        world.step()
        for owner in world.owners:
            link = world.links[owner, "entry-0"]
            link.messages = [
                item for item in link.messages if _kind(item) != "ForwardedReply"
            ]
    assert world.completed(JOB)
    assert sum(len(starts) for starts in world.starts.values()) == 1


def _kind(item):
    return type(item[2]).__name__


def test_a_request_that_was_held_up_is_not_run(world):
    """Another placer gets it, and the late copy must not be run as well."""
    world.submit_at("entry-0", JOB)
    owner = next(name for name in world.owners if world.links["entry-0", name].messages)
    world.cut("entry-0", owner)
    run(world, 0.5)
    world.cut("entry-0", owner, cut=False)
    run(world, 0.05)
    assert running(world) == 0
    assert JOB not in world.owners[owner].transient.jobs
    run(world, 1.0)
    assert world.completed(JOB)
    assert world.faults == []


def test_a_dead_entrys_runs_end_before_its_callers_return():
    world = warm_world(run_s=5.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    assert running(world) == 2
    placer = placer_of(world)
    world.start_entry("entry-0")
    run(world, CALLER_RETRY_S - 0.05)
    assert running(world) == 0
    assert JOB not in world.owners[placer].transient.jobs
    run(world, RECOVERY_S)
    assert world.completed(JOB)
    assert world.faults == []


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.4, 0.6, 0.8, 1.0])
@pytest.mark.parametrize("fault", ["freeze", "cut"])
def test_entry_and_placer_are_lost_one_after_the_other(delay_s, fault):
    """The times for which each may act must not add up."""
    world = warm_world(run_s=5.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    placer = placer_of(world)
    world.start_entry("entry-0")
    run(world, delay_s)
    if fault == "cut":
        for runner in world.runners:
            world.cut(placer, runner)
    frozen = {placer} if fault == "freeze" else ()
    run(world, CALLER_RETRY_S - delay_s - 0.05, frozen)
    assert running(world) == 0
    run(world, 4.0, frozen)
    for link in world.links.values():
        link.cut = False
    run(world, RECOVERY_S)
    assert world.completed(JOB)
    assert world.faults == []


def test_a_frozen_entry_runs_nothing_twice():
    world = warm_world(run_s=5.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    run(world, TRANSIENT_AUTHORITY_S + 0.1, frozen={"entry-0"})
    assert running(world) == 0
    world.submit_at("entry-1", JOB)
    run(world, 2.0, frozen={"entry-0"})
    run(world, RECOVERY_S)
    assert world.completed(JOB)
    assert world.faults == []


@pytest.mark.parametrize("both_ways", [True, False])
def test_an_entry_that_is_cut_from_its_placer_tells_its_caller(both_ways):
    world = warm_world(run_s=5.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    placer = placer_of(world)
    world.links[placer, "entry-0"].cut = True
    world.links["entry-0", placer].cut = both_ways
    run(world, 1.5)
    assert [str(reply.outcome) for reply in world.replies[JOB]] == ["in-doubt"]
    run(world, RECOVERY_S)
    assert world.completed(JOB)
    assert world.faults == []


def test_a_placer_that_restarts_loses_the_job_and_its_caller_is_told():
    world = warm_world(run_s=5.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    world.start_owner(placer_of(world))
    run(world, 0.5)
    assert [str(reply.outcome) for reply in world.replies[JOB]] == ["in-doubt"]
    run(world, RECOVERY_S)
    assert world.completed(JOB)
    assert world.faults == []


def test_a_caller_that_leaves_ends_the_runs():
    world = warm_world(run_s=5.0)
    entry = world.entries["entry-0"]
    submission = _submission(world)
    placer = entry.placers.choose(submission, world.now)
    abandon = entry.forwarded.start(
        submission, lambda reply: None, placer, world.now, world.now + 9.0
    )
    run(world, 0.5)
    assert running(world) == 2
    abandon()
    run(world, 0.3)
    assert running(world) == 0


def _submission(world):
    submissions = []
    entry = world.entries["entry-0"]
    route, entry.route = entry.route, lambda *call: submissions.append(call[0])
    world.submit_at("entry-0", JOB)
    entry.route = route
    return submissions[0]


def test_a_caller_of_the_placer_keeps_a_job_that_its_entry_has_given_up():
    world = warm_world(run_s=4.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    placer = placer_of(world)
    world.submit(placer, JOB, deadline_s=20.0)
    world.cut("entry-0", placer)
    run(world, 5.0)
    assert world.completed(JOB)
    assert world.faults == []


def test_a_placer_that_stops_refuses_what_it_may_not_end_and_another_runs_it():
    world = warm_world(run_s=2.0)
    world.submit_at("entry-0", JOB)
    (placer,) = [name for name in world.owners if world.links["entry-0", name].messages]
    world.hosted[placer].start_shutdown(world.now + 3.0)
    run(world, 0.1)
    assert [str(reply.outcome) for reply in world.replies[JOB]] == ["not-stored"]
    assert len(world.hosted[placer]) == 0


def test_a_dispatcher_that_has_stepped_down_refuses_jobs(world):
    """Its claims reached the entry before it stepped down, the job afterwards."""
    world.submit_at("entry-0", JOB)
    (placer,) = [name for name in world.owners if world.links["entry-0", name].messages]
    world.stepped_down.add(placer)
    run(world, 0.1)
    assert [str(reply.outcome) for reply in world.replies[JOB]] == ["not-stored"]
    assert JOB not in world.owners[placer].transient.jobs
    assert len(world.hosted[placer]) == 0


def test_an_evacuated_placer_tells_the_entry_why_it_returns_a_job(world):
    """Guards against a refusal, since only this reason leads to cells without room."""
    for owner in world.owners.values():
        owner.evacuations = Evacuations()
        owner.evacuations.replace([EvacuationRecord("e/dc", 1, "dc", True)])
        owner.apply_evacuations(world.now)
    world.submit_at("entry-0", JOB)
    run(world, 0.1)
    assert [reply.reason for reply in world.replies[JOB]] == [EVACUATED]
    assert sum(len(hosted) for hosted in world.hosted.values()) == 0


def test_a_job_that_its_placer_cannot_handle_is_answered_at_once():
    sent = []
    owner = lone_owner()
    hosted = HostedJobs(
        owner, lambda *message: sent.append(message), lambda: True, EventRecorder()
    )
    steps = (Step(1, None, 120),)  # nothing expects a step without resources
    submission = Submission(JOB, QUEUE, "", steps, 0, transient=True)
    message = RunJob(1, submission, 100_000, 100_350, 130_000)
    with pytest.raises(AttributeError):
        hosted.handle_run(("entry-0", "1"), message, 100.0)
    ((_, answer),) = sent
    assert (answer.number, answer.outcome) == (1, Outcome.IN_DOUBT)
    assert len(hosted) == 0
    assert not owner.has_waiting_jobs


# Guards against two runs of a task at once: a list of open jobs that arrived late over
# a replaced connection confirmed a job that its entry had given up meanwhile.
def test_an_old_list_of_open_jobs_confirms_them_for_its_own_time_only():
    owner = lone_owner()
    entry, answers = ("entry", "entry#1"), []
    hosted = HostedJobs(
        owner,
        send=lambda entry, message: answers.append(message),
        placing=lambda: True,
        event_log=EventRecorder(),
    )
    submission = Submission(JOB, QUEUE, "", (Step(1, TASK, 50),), 0, transient=True)
    hosted.handle_run(entry, RunJob(1, submission, 0, 350, 60_000), 0.0)
    hosted.handle_open(entry, JobsOpen(900, ()), 0.9)
    hosted.handle_open(entry, JobsOpen(200, (1,)), 0.95)
    assert owner.transient.jobs[JOB].confirmed_at == 0.2


def test_an_entry_that_starts_again_uses_the_numbers_of_the_one_before():
    """Each counts from 1, so that a number alone names no job."""
    owner = lone_owner()
    hosted = HostedJobs(owner, lambda *message: None, lambda: True, EventRecorder())
    former, present = ("entry", "entry#1"), ("entry", "entry#2")
    for entry, job_id in ((former, JOB), (present, "b" * 16)):
        submission = Submission(
            job_id, QUEUE, "", (Step(1, TASK, 50),), 0, transient=True
        )
        hosted.handle_run(entry, RunJob(1, submission, 0, 350, 60_000), 0.0)
    assert len(hosted) == 2
    hosted.handle_abandoned(former, JobsAbandoned((1,)))
    assert list(owner.transient.jobs) == ["b" * 16]


def test_a_job_is_unknown_to_the_placer_that_it_was_sent_to_alone():
    placers, rerouted = Placers(), []
    placers.hear("placer", "placer#1", Claims((), {}, sent_at_ms=1_000), 1.0)
    forwarded = ForwardedJobs(
        iter([1]),
        lambda *message: None,
        placers.is_silent,
        lambda submission, tried: rerouted.append(tried),
        EventRecorder(),
    )
    submission = Submission(JOB, QUEUE, "", (Step(1, TASK, 50),), 0, transient=True)
    forwarded.start(submission, None, placers.get("placer"), 1.0, 9.0)
    forwarded.handle_unknown("other", JobsUnknown(5_000, (1,)))
    assert rerouted == []
    forwarded.handle_unknown("placer", JobsUnknown(5_000, (1,)))
    assert rerouted == [{"placer"}]


def test_a_placer_that_ends_tells_the_entries_of_its_open_jobs():
    world = warm_world(run_s=5.0)
    world.submit_at("entry-0", JOB)
    run(world, 0.5)
    placer = placer_of(world)
    assert len(world.hosted[placer]) == 1
    world.hosted[placer].fail_all(world.now)
    run(world, 0.05)
    assert [str(reply.outcome) for reply in world.replies[JOB]] == ["in-doubt"]
    assert len(world.hosted[placer]) == 0


FAULTS = st.sampled_from(
    ["kill-entry", "kill-owner", "freeze-entry", "freeze-owner", "cut", "cut-one-way"]
)


@settings(
    max_examples=120,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(
    run_s=st.sampled_from([0.3, 1.5, 4.0]),
    faults=st.lists(
        st.tuples(
            FAULTS, st.integers(0, 1), st.sampled_from([0.1, 0.3, 0.5, 1.0, 2.0])
        ),
        min_size=1,
        max_size=6,
    ),
)
def test_nothing_runs_twice_at_once_whatever_fails(run_s, faults):
    world = warm_world(run_s)
    frozen = set()
    for number, (fault, index, wait_s) in enumerate(faults):
        world.submit_at(f"entry-{number % 2}", f"{number:016x}")
        run(world, 0.2, frozen)
        _apply(world, fault, index, frozen)
        run(world, wait_s, frozen)
        assert world.faults == []
    for link in world.links.values():
        link.cut = False
    run(world, RECOVERY_S)
    assert world.faults == []
    assert all(world.completed(f"{number:016x}") for number in range(len(faults)))


def _apply(world, fault, index, frozen):
    entry, owner = f"entry-{index}", f"owner-{index}"
    match fault:
        case "kill-entry":
            frozen.discard(entry)
            world.start_entry(entry)
        case "kill-owner":
            frozen.discard(owner)
            world.start_owner(owner)
        case "freeze-entry":
            frozen ^= {entry}
        case "freeze-owner":
            frozen ^= {owner}
        case "cut":
            world.cut(entry, owner)
        case "cut-one-way":
            world.links[owner, entry].cut = True
