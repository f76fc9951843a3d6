"""A job has begun once one of its tasks is known to have started, not before."""

import pytest

from banyanwheel_core.drains import DrainKind
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.owners.drains import Drains
from banyanwheel_jobs.owners.inspection import job_rows, why_rows

from ..world import World
from .fleet import Fleet, FleetWorker

JOB = "a" * 16
QUEUE = "counter"


def run(world, seconds):
    for _ in range(round(seconds / 0.05)):
        world.step()


def ready_world(**options):
    """Returns a world whose first owner owns the partition and knows the runners."""
    world = World(**options)
    world.log.assign("owner-0")
    run(world, 1.0)
    return world


def shown(owner, now):
    """Returns the job's state in the list of jobs and in ``why``, and the reason."""
    (listed,) = job_rows(owner, "d", now)
    (explained,) = why_rows(owner, "d", listed["job"], now)
    return listed["state"], explained["state"], explained["why"]


def test_jobs_whose_starts_were_refused_are_pending():
    """They weren't counted for as long as their worker refused (REPORT-2)."""
    worker = FleetWorker("one", 8_000, refusing=True)
    fleet = Fleet(worker)
    ids = [fleet.submit(number) for number in range(4)]
    for _ in range(60):
        fleet.step()
        assert fleet.owner.pending == {"q-desk": 4}
    assert any(task.run for job_id in ids for task in fleet.tasks(job_id))
    assert {fleet.state(job_id) for job_id in ids} == {"queued"}
    assert {row["state"] for row in job_rows(fleet.owner, "d", fleet.now)} == {"queued"}
    worker.refusing = False
    while not worker.running:
        fleet.step()
    fleet.step()
    assert fleet.owner.pending == {}
    assert {fleet.state(job_id) for job_id in ids} == {"running"}


def test_a_job_that_has_begun_is_not_pending_again_while_starts_are_refused():
    worker = FleetWorker("one", 1_000)
    fleet = Fleet(worker)
    job_id = fleet.submit(1, count=2, estimate_ms=100)
    while not worker.running:
        fleet.step()
    worker.refusing = True
    fleet.run(1.0)
    assert not worker.running
    assert fleet.owner.pending == {}
    assert fleet.state(job_id) == "running"


def test_a_job_with_an_unanswered_start_is_pending_until_a_run_is_found():
    world = ready_world(run_s=30.0)
    owner = world.owners["owner-0"]
    world.late_starts.update(world.runners)
    world.submit_stored("owner-0", JOB, tasks=1)
    world.append("owner-0")
    for _ in range(40):
        world.step()
        assert owner.pending == {QUEUE: 1}
        assert shown(owner, world.now)[:2] == ("queued", "queued")
    assert not world.starts
    world.late_starts.clear()
    run(world, 2.0)
    assert world.starts
    assert owner.pending == {}
    assert shown(owner, world.now)[:2] == ("running", "running")


def test_a_job_whose_assignment_waits_at_its_runner_is_pending():
    world = ready_world(run_s=30.0)
    owner = world.owners["owner-0"]
    for worker in world.workers.values():
        worker.unresponsive = True
    world.submit_stored("owner-0", JOB, tasks=1)
    world.append("owner-0")
    listed = False
    for _ in range(40):
        world.step()
        listed = listed or any(
            run.task.job == JOB
            for _, _, report in world.links["runner-0", "owner-0"].messages
            for run in report.runs
        )
        assert owner.pending == {QUEUE: 1}
    assert listed
    for worker in world.workers.values():
        worker.unresponsive = False
    run(world, 5.0)
    assert owner.pending == {}


def test_an_assignment_that_no_report_shows_is_explained_as_such():
    world = ready_world(run_s=30.0)
    owner = world.owners["owner-0"]
    world.submit_stored("owner-0", JOB, tasks=2)
    world.append("owner-0")
    for name in world.runners:
        world.cut("owner-0", name)
    run(world, 0.2)
    state = shown(owner, world.now)
    assert state == ("queued", "queued", "assigned, none has begun: 2 at runner-0")
    for name in world.runners:
        world.cut("owner-0", name, cut=False)
    run(world, 1.0)
    assert shown(owner, world.now) == ("running", "running", "runs: 2 at runner-0")


def test_a_run_that_a_new_owner_finds_has_begun():
    world = ready_world(run_s=30.0)
    world.submit_stored("owner-0", JOB, tasks=1)
    run(world, 0.5)
    world.log.assign("owner-1")
    run(world, 1.0)
    owner = world.owners["owner-1"]
    assert owner.pending == {}
    assert shown(owner, world.now) == ("running", "running", "runs: 1 at runner-0")


@pytest.mark.parametrize("seconds", [0.5, 1.0, 2.0, 5.0])
def test_a_job_is_not_said_not_run_while_an_assignment_is_on_its_way(seconds):
    """It may still be started, or have been, though it can't end in time any more."""
    world = ready_world()
    for name in world.runners:
        world.links[name, "owner-0"].cut = True
    world.submit("owner-0", JOB, tasks=1, deadline_s=20.0)
    run(world, seconds)
    assert world.starts
    assert Outcome.NOT_STORED not in [reply.outcome for reply in world.replies[JOB]]


def test_a_job_all_of_whose_starts_were_refused_is_said_not_run_once_it_is_too_late():
    """Its caller was held until the deadline, without a word that nothing ran."""
    world = ready_world()
    for worker in world.workers.values():
        worker.refusing = True
    world.submit("owner-0", JOB, tasks=1, deadline_s=20.0)
    run(world, 0.1)
    world.owners["owner-0"].drains = Drains(frozenset({(DrainKind.DATA_CENTRE, "dc")}))
    run(world, 2.0)
    assert not world.starts
    assert [reply.outcome for reply in world.replies[JOB]] == [Outcome.NOT_STORED]


def test_a_refusal_of_an_earlier_submission_says_nothing_of_a_repeated_one():
    """Its runs are numbered from 1 again, and the refusal may be reported again."""
    world = ready_world(run_s=0.5)
    owner = world.owners["owner-0"]
    world.workers["runner-0"].refusing = True
    owner.drains = Drains(frozenset({(DrainKind.WORKER, "runner-1")}))
    world.submit("owner-0", JOB, tasks=1, deadline_s=20.0)
    world.exchange()
    owner.drains = Drains(frozenset({(DrainKind.DATA_CENTRE, "dc")}))
    world.links["owner-0", "runner-0"].cut = True
    run(world, 3.0)
    assert [reply.outcome for reply in world.replies[JOB]] == [Outcome.NOT_STORED]
    owner.drains = Drains(frozenset({(DrainKind.WORKER, "runner-0")}))
    world.links["runner-1", "owner-0"].cut = True
    world.submit("owner-0", JOB, tasks=1, deadline_s=20.0)
    run(world, 5.0)
    assert world.starts
    assert Outcome.NOT_STORED not in [reply.outcome for reply in world.replies[JOB][1:]]


def test_a_refusal_of_a_used_run_number_does_not_show_that_nothing_ran():
    """The run that used it may have been one of this job."""
    world = ready_world(run_s=10.0)
    world.owners["owner-0"].drains = Drains(frozenset({(DrainKind.WORKER, "runner-1")}))
    world.submit("owner-0", JOB, tasks=1, deadline_s=20.0)
    run(world, 0.3)
    world.start_owner("owner-0")
    owner = world.owners["owner-0"]
    owner.drains = Drains(frozenset({(DrainKind.WORKER, "runner-1")}))
    run(world, 3.0)
    world.submit("owner-0", JOB, tasks=1, deadline_s=20.0)
    owner.drains = Drains(frozenset({(DrainKind.DATA_CENTRE, "dc")}))
    run(world, 19.0)
    assert ("banyanwheel.retries", "outdated") in world.event_log.counts
    assert Outcome.NOT_STORED not in [reply.outcome for reply in world.replies[JOB]]
