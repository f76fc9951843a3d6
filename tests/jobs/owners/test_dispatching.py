"""No task waits for long while a worker that may run it has room."""

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
