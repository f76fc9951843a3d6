"""The room that an owner sees at a runner."""

import pytest

from banyanwheel_jobs.durations.durations import Durations, Kind
from banyanwheel_jobs.messages import Report, WorkerStatus
from banyanwheel_jobs.model import Resources
from banyanwheel_jobs.placing.runner_view import RunnerView

TASK = Resources(2_000, 100)
NOW = 100.0


def report(free_cpu, incarnation="w@1"):
    capacity = Resources(8_000, 1_000)
    free = Resources(free_cpu, 1_000)
    worker = WorkerStatus(incarnation, "desk", True, capacity, free, (), 1.0)
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


@pytest.fixture
def known():
    known = view(True, 4_000)
    for number in range(8):
        known.pace.record((number, 1), f"job-{number}", Kind("check", 0), 3.0, NOW)
    known.refresh_pace(Durations(), NOW)
    return known


def test_a_worker_whose_pace_is_known_is_not_on_trial(known):
    assert not known.pace.on_trial
    assert known.slowness > 2.0


def test_a_new_incarnation_starts_from_the_prior(known):
    known.apply_report(report(4_000, "w@2"))
    assert known.pace.on_trial
    assert known.slowness == 1.0


def test_a_worker_back_from_a_fault_is_tried_first(known):
    known.suspect(NOW)
    known.refresh_pace(Durations(), NOW + 3.0)
    assert not known.suspected(NOW + 3.0)
    assert known.pace.on_trial
