"""The choice of a runner among those that other placers use first."""

import pytest

from banyanwheel_jobs.durations.durations import Durations, Kind
from banyanwheel_jobs.messages import WorkerStatus
from banyanwheel_jobs.model import TRANSIENT_PARTITION, Resources, Step, Submission
from banyanwheel_jobs.owners.job import Job
from banyanwheel_jobs.placing.placement import Placement
from banyanwheel_jobs.placing.runner_view import RunnerView

from ..world import QUEUE

NOW = 100.0
CAPACITY = Resources(16_000)


def view(name, free, home=False, slowness=1.0):
    status = WorkerStatus(
        f"{name}@1", QUEUE.service, True, CAPACITY, Resources(free), (), slowness
    )
    return RunnerView(
        name, "dc", home, reconciled=True, worker=status, free=status.free
    )


def chosen(*views):
    steps = (Step(1, Resources(1_000), 120),)
    submission = Submission("a" * 16, QUEUE, "", steps, 0, transient=True)
    job = Job.from_submission(submission, TRANSIENT_PARTITION, 0, NOW)
    return Placement("dc", 1.5).choose(job, job.tasks[0][0], views, {}, NOW).name


def test_a_nearly_full_worker_at_home_elsewhere_is_left_to_its_placer():
    assert chosen(view("full", 1_600), view("idle", 15_000)) == "idle"
    assert chosen(view("idle", 15_000), view("full", 1_600)) == "idle"


def test_a_fast_worker_at_home_elsewhere_is_used_while_it_is_idle():
    slow = view("slow", 8_000, home=True, slowness=1.5)
    assert chosen(slow, view("fast", 15_000)) == "fast"
    assert chosen(slow, view("fast", 1_600)) == "slow"


@pytest.mark.parametrize("free", [1_600, 15_000])
def test_the_room_left_at_home_does_not_count(free):
    assert chosen(view("fast", free, home=True), view("b", 9_000, True, 1.1)) == "fast"


def tried(name, on_trial=False, runs=0, slowness=1.0):
    result = view(name, 8_000, home=True, slowness=slowness)
    result.pace.on_trial = on_trial
    result.listed = set(range(runs))
    return result


@pytest.mark.parametrize(("runs", "name"), [(0, "new"), (1, "new"), (2, "known")])
def test_a_worker_on_trial_gets_few_tasks(runs, name):
    """It may be slow or fail everything, and has most room."""
    new = tried("new", on_trial=True, runs=runs, slowness=0.5)
    assert chosen(new, tried("known")) == name


def test_workers_on_trial_are_used_while_most_are():
    """After a placer's start all of them are."""
    views = [tried(f"new-{n}", on_trial=True, runs=2, slowness=0.5) for n in range(2)]
    assert chosen(*views, tried("known")) == "new-0"


@pytest.mark.parametrize(("queue", "name"), [(QUEUE.name, "b"), ("other", "a")])
def test_a_worker_that_is_slow_for_one_kind_serves_the_others(queue, name):
    slow = tried("a", slowness=0.9)
    for number in range(8):
        slow.pace.record((0, 1), f"job-{number}", Kind(queue, 0), 5.0, NOW)
        slow.pace.record((0, 1), f"fast-{number}", Kind("fast", 0), 0.2, NOW)
    slow.refresh_pace(Durations(), NOW)
    assert chosen(slow, tried("b")) == name
