"""No task waits for long while a worker that may run it has room."""

import pytest

from banyanwheel_jobs.model import Resources, Step
from banyanwheel_jobs.placing.placement import WAIT_FOR_FASTER_S
from banyanwheel_jobs.placing.runner_view import SUSPECT_S

from .fleet import Fleet, FleetWorker

LONGEST_IDLE_S = 3.0  # that a job may have nothing running while a worker has room


def test_a_task_returns_to_a_worker_where_it_failed_while_others_are_full():
    """It waited for their room as long as they were full (review/9)."""
    full = FleetWorker("full", 4_000, labels=("a",))
    grey = FleetWorker("grey", 4_000, failing=True)
    fleet = Fleet(full, grey)
    fleet.submit(0, count=4, estimate_ms=60_000, label="a")
    fleet.run(0.1)
    assert full.used == full.cpu
    job_id = fleet.submit(1, estimate_ms=200)
    fleet.run(0.5)
    grey.failing = False
    assert fleet.waiting(job_id)
    fleet.run(LONGEST_IDLE_S)
    assert fleet.state(job_id) == "completed"


def test_a_task_does_not_go_back_and_forth_to_a_worker_that_refuses_it():
    """It was sent to the rack with its data again each time, beside idle workers."""
    refusing = FleetWorker("refusing", 8_000, labels=("r1",), refusing=True)
    fleet = Fleet(refusing, FleetWorker("sound", 8_000))
    ids = [fleet.submit(number, rack="r1", estimate_ms=100) for number in range(4)]
    fleet.run(0.5)
    assert {fleet.state(job_id) for job_id in ids} == {"completed"}


def test_a_failed_task_goes_elsewhere_as_soon_as_there_is_room():
    fleet = Fleet(FleetWorker("sound", 1_000), FleetWorker("grey", 1_000))
    fleet.workers["grey"].failing = True
    fleet.submit(1, estimate_ms=1_000)
    job_id = fleet.submit(2, estimate_ms=200)
    fleet.run(1.6)
    assert fleet.state(job_id) == "completed"


def test_tasks_do_not_wait_for_long_for_a_worker_that_is_always_suspected():
    """Others that fail one by one there kept it out of use as long as they came."""
    full = FleetWorker("full", 1_000, labels=("a",))
    fleet = Fleet(full, FleetWorker("grey", 8_000))
    fleet.submit(0, estimate_ms=60_000, label="a")
    fleet.run(0.1)
    assert full.running
    job_id = fleet.submit(1, estimate_ms=200)
    view = fleet.owner.views["grey"]
    for _ in range(round(LONGEST_IDLE_S / 0.05)):
        view.suspect(fleet.now)
        fleet.step()
    fleet.run(0.5)
    assert fleet.state(job_id) == "completed"


@pytest.mark.parametrize("count", [1, 32, 33, 1_000, 50_000])
def test_jobs_that_no_worker_may_run_do_not_keep_others_waiting(count):
    """From 32 such jobs on, none that came later was placed (review/5)."""
    fleet = Fleet(FleetWorker("one", 4_000))
    needs = [{"label": "none"}, {"resources": Resources(5_000)}]
    for number in range(count):
        fleet.submit(number, target_ms=1, estimate_ms=1, **needs[number % 2])
    fleet.run(1.0)
    job_id = fleet.submit(count, target_ms=1, estimate_ms=1)
    fleet.run(0.2)
    assert fleet.state(job_id) == "completed"
    assert len(fleet.jobs) == count


def test_jobs_of_many_needs_without_room_do_not_keep_others_waiting():
    fleet = Fleet(FleetWorker("full", 4_000, labels=("a",)), FleetWorker("free", 1_000))
    fleet.submit(0, count=4, label="a", estimate_ms=60_000)
    fleet.run(0.1)
    for number in range(1, 200):
        fleet.submit(number, target_ms=1, label="a", resources=Resources(500 + number))
    fleet.run(1.0)
    job_id = fleet.submit(200, target_ms=1, estimate_ms=1)
    fleet.run(0.2)
    assert fleet.state(job_id) == "completed"


def test_a_job_is_run_once_a_worker_comes_that_may_run_it():
    fleet = Fleet(FleetWorker("one", 4_000))
    labelled = fleet.submit(1, label="late", estimate_ms=1)
    large = fleet.submit(2, resources=Resources(8_000), estimate_ms=1)
    elsewhere = fleet.submit(3, service="other", estimate_ms=1)
    fleet.run(1.0)
    fleet.add(FleetWorker("two", 4_000, labels=("late",)))
    fleet.run(0.3)
    assert fleet.state(labelled) == "completed"
    fleet.add(FleetWorker("three", 8_000))
    fleet.run(0.3)
    assert fleet.state(large) == "completed"
    assert fleet.state(elsewhere) == "queued"


def test_a_parked_job_can_be_canceled():
    fleet = Fleet(FleetWorker("one", 4_000))
    job_id = fleet.submit(1, label="none")
    fleet.run(0.2)
    fleet.owner.cancel(job_id, lambda reply: None, fleet.now)
    fleet.add(FleetWorker("two", 4_000, labels=("none",)))
    fleet.run(0.2)
    assert fleet.state(job_id) == "canceled"
    assert not fleet.owner.has_waiting_jobs


def test_a_step_is_placed_though_another_one_of_its_job_has_no_worker():
    """Also one whose turn comes while the other one still has none."""
    fleet = Fleet(FleetWorker("one", 4_000))
    steps = (
        Step(1, Resources(1_000), 100, label="none"),
        Step(1, Resources(1_000), 100),
        Step(1, Resources(1_000), 100, after=(1,)),
    )
    job = fleet.submit_steps(1, steps)
    fleet.run(0.5)
    assert [task.state for task in fleet.tasks(job)] == ["waiting", "done", "done"]


def test_a_full_service_does_not_keep_an_idle_one_from_getting_work():
    """The reserve for urgent jobs was reckoned over all services (review/10)."""
    small = FleetWorker("small", 4_000, service="other")
    fleet = Fleet(FleetWorker("large", 96_000), small)
    fleet.submit(1, count=96, estimate_ms=60_000)
    fleet.run(0.2)
    job_id = fleet.submit(2, service="other", estimate_ms=100)
    fleet.run(0.3)
    assert fleet.state(job_id) == "completed"


def test_full_workers_do_not_keep_idle_ones_of_another_label_from_getting_work():
    """The same cause within one service: the full ones can't run these tasks."""
    small = FleetWorker("small", 4_000, labels=("b",))
    fleet = Fleet(FleetWorker("large", 96_000, labels=("a",)), small)
    fleet.submit(1, count=96, estimate_ms=60_000, label="a")
    fleet.run(0.2)
    job_id = fleet.submit(2, label="b", estimate_ms=100)
    fleet.run(0.3)
    assert fleet.state(job_id) == "completed"


def test_the_reserve_of_one_label_does_not_hold_while_its_service_is_mostly_free():
    """The 5% of the few workers with that label stayed free for a minute."""
    labelled = FleetWorker("labelled", 40_000, labels=("a",))
    fleet = Fleet(labelled, FleetWorker("other", 60_000))
    for number in range(40):
        fleet.submit(number, estimate_ms=60_000, label="a")
    fleet.run(LONGEST_IDLE_S)
    assert labelled.used == labelled.cpu


def test_only_urgent_jobs_use_the_reserve():
    fleet = Fleet(FleetWorker("one", 40_000))
    patient = fleet.submit(1, count=39, estimate_ms=60_000)
    fleet.run(0.2)
    assert len(fleet.waiting(patient)) == 1
    urgent = fleet.submit(2, count=2, estimate_ms=100, target_ms=50)
    fleet.run(0.3)
    assert fleet.state(urgent) == "completed"


def test_a_worker_that_fails_everything_does_not_swallow_a_flood():
    """It always has room; each time that it is tried, it gets as much as it takes."""
    grey = FleetWorker("grey", 4_000, failing=True)
    fleet = Fleet(grey, *(FleetWorker(f"sound-{n}", 4_000) for n in range(7)))
    ids = [fleet.submit(number, estimate_ms=500) for number in range(1_200)]
    seconds = 40
    fleet.run(seconds)
    assert {fleet.state(job_id) for job_id in ids} == {"completed"}
    tries = 1 + seconds / SUSPECT_S
    assert grey.failed <= 4 * tries


def test_a_task_waits_for_a_faster_worker_for_a_second_at_most():
    fast = FleetWorker("fast", 1_000, labels=("a",), slowness=0.5)
    slow = FleetWorker("slow", 4_000, slowness=3.0)
    fleet = Fleet(fast, slow)
    fleet.submit(1, label="a", estimate_ms=60_000)
    fleet.run(0.1)
    job_id = fleet.submit(2, target_ms=0, estimate_ms=1_000)
    fleet.run(WAIT_FOR_FASTER_S - 0.1)
    assert fleet.waiting(job_id)
    fleet.run(0.3)
    assert slow.running and not fleet.waiting(job_id)
