"""The room that an owner sees at a runner."""

from banyanwheel_jobs.messages import Report, WorkerStatus
from banyanwheel_jobs.model import Resources
from banyanwheel_jobs.placing.runner_view import RunnerView

TASK = Resources(2_000, 100)


def report(free_cpu):
    capacity = Resources(8_000, 1_000)
    free = Resources(free_cpu, 1_000)
    worker = WorkerStatus("w@1", "desk", True, capacity, free, (), 1.0)
    return Report(1, True, worker, (), (), ())


def view(home, *free_cpus):
    view = RunnerView("runner", "dc", home=home)
    for free_cpu in free_cpus:
        view.apply_report(report(free_cpu))
    return view


def test_the_placer_at_home_uses_new_room_at_once():
    assert view(True, 0, 4_000).room_for(TASK)


def test_other_placers_leave_new_room_to_the_one_at_home():
    """Several placers saw the same room, and each placed a task there."""
    assert not view(False, 0, 4_000).room_for(TASK)
    assert view(False, 0, 4_000, 4_000).room_for(TASK)


def test_other_placers_use_the_room_that_was_free_before():
    assert view(False, 2_000, 4_000).room_for(TASK)
    assert not view(False, 1_000, 4_000).room_for(TASK)


def test_room_that_has_been_used_again_is_not_free():
    assert not view(False, 4_000, 1_000).room_for(TASK)


def test_a_report_that_a_newer_one_has_overtaken_is_rejected():
    view = RunnerView("runner", "dc")
    assert not view.reject_stale("present", 2_000)
    assert view.reject_stale("present", 1_000)
    assert not view.reject_stale("next", 1_000)
