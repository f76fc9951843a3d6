"""How a slow worker is told from a long task and from a bad estimate."""

import random

import pytest

from banyanwheel_jobs.durations.durations import Durations, Kind
from banyanwheel_jobs.durations.pace import (
    MAX_JOBS,
    MIN_OTHER_JOBS,
    SLOW_FACTOR,
    Pace,
    sibling_factor,
)

NOW = 100.0
KIND = Kind("check", 0)
OTHER = Kind("wear", 0)


def paced(ratios, kind=KIND, durations=None, job="job"):
    """Returns the pace of a worker with a run of a job each."""
    pace = Pace()
    for number, ratio in enumerate(ratios):
        pace.record((f"{kind}{number}", 1), f"{job}-{number}", kind, ratio, NOW)
    pace.refresh(0.0, durations or Durations(), NOW)
    return pace


def test_a_long_task_does_not_make_its_worker_slow():
    usual, with_one = paced([1.0] * 8), paced([1.0] * 7 + [7.0])
    assert with_one.estimate(0.0).slowness == usual.estimate(0.0).slowness
    assert not with_one.seems_slow


def test_one_long_task_of_each_of_many_jobs_does_not_make_its_worker_slow():
    """With eight tasks each, a fifth of the jobs have a long one."""
    pace = paced([1.0] * 8)
    for number in range(8):
        pace.record((f"long{number}", 1), f"job-{number}", KIND, 7.0, NOW)
    pace.refresh(0.0, Durations(), NOW)
    assert not pace.seems_slow


def test_a_bad_estimate_of_one_job_does_not_make_its_worker_slow():
    """Its tasks are all as far off, however many of them run there."""
    pace = paced([1.0] * 4)
    for number in range(12):
        pace.record((f"bad{number}", 1), "bad", KIND, 5.0, NOW)
    pace.refresh(0.0, Durations(), NOW + 1.0)
    assert not pace.seems_slow
    assert pace.slow_factor("other", Durations()) == 1.0


def test_a_worker_is_slow_if_the_runs_of_most_jobs_are():
    pace = paced([5.0] * 8)
    assert pace.seems_slow
    assert 2.0 < pace.slow_factor("job-0", Durations()) < 5.0


def test_a_kind_that_takes_longer_everywhere_makes_no_worker_slow():
    durations = Durations()
    for number in range(400):
        durations.record(KIND, 3.0, NOW - 4.0 + number * 0.01)
    assert not paced([3.0] * 8, durations=durations).seems_slow


@pytest.mark.parametrize("jobs", range(MIN_OTHER_JOBS + 1))
def test_too_few_other_jobs_tell_nothing(jobs):
    """The run's own job doesn't count, and is among these."""
    assert paced([5.0] * jobs).slow_factor("job-0", Durations()) == 1.0


def test_usual_workers_rarely_look_slow():
    numbers = random.Random(1)
    factors = [
        paced([numbers.lognormvariate(0, 0.4) for _ in range(jobs)]).slow_factor(
            "", Durations()
        )
        for jobs in (4, 8, 16)
        for _ in range(400)
    ]
    assert sum(factor > 1.0 for factor in factors) <= len(factors) / 40


def test_speed_is_known_by_kind_with_age_and_jobs():
    pace = paced([1.0] * 6)
    for number in range(6):
        pace.record((f"wear{number}", 1), f"wear-{number}", OTHER, 4.0, NOW)
    pace.refresh(0.0, Durations(), NOW + 1.0)
    check, wear = pace.estimate(0.0, KIND), pace.estimate(0.0, OTHER)
    assert check.slowness < 2.0 < wear.slowness
    assert check.jobs == pytest.approx(wear.jobs)
    assert check.age_s == pytest.approx(1.0)
    assert pace.estimate(0.0, Kind("new", 0)).jobs == 0


def test_without_runs_the_reported_slowness_counts_and_fades():
    """A slow worker that gets no tasks must not stay slow for ever."""
    pace = paced([])
    pace.refresh(4.0, Durations(), NOW)
    assert pace.estimate(4.0).slowness == pytest.approx(4.0)
    pace.refresh(4.0, Durations(), NOW + 60.0)
    assert 1.0 < pace.estimate(4.0).slowness < 1.2


def test_a_worker_that_was_slow_is_tried_anew():
    pace = paced([5.0] * 8)
    assert not pace.on_trial
    pace.refresh(0.0, Durations(), NOW + 30.0)
    assert pace.on_trial
    for number in range(4):
        pace.record((f"new{number}", 1), f"new-{number}", KIND, 1.0, NOW + 31.0)
    pace.refresh(0.0, Durations(), NOW + 31.0)
    assert not pace.on_trial
    assert not pace.seems_slow


def test_a_run_counts_from_its_first_measure_on():
    """Else long runs would stay fresh beside short ones that have ended."""
    pace = paced([1.0])
    pace.record((f"{KIND}0", 1), "job-0", KIND, 2.0, NOW + 5.0)
    pace.refresh(0.0, Durations(), NOW + 5.0)
    assert pace.estimate(0.0).jobs == pytest.approx(0.5)


def test_the_number_of_jobs_is_bounded():
    pace = paced([1.0] * (10 * MAX_JOBS))
    assert pace.estimate(0.0).jobs == MAX_JOBS


@pytest.mark.parametrize(
    ("here", "elsewhere", "slow"),
    [
        ([1.8] * 2, [0.0] * 3, True),
        ([1.8] * 2, [0.0] * 2, False),  # too few
        ([1.8], [0.0] * 8, False),
        ([0.0, 1.9], [0.0] * 8, False),  # one of them is long by itself
        ([1.8] * 4, [1.8] * 8, False),  # the estimate is bad
        ([1.8] * 4, [0.0, 1.8, 1.8, 0.0], False),
        ([0.3] * 8, [0.0] * 8, False),  # workers differ by as much
        ([0.0] * 4, [1.8] * 8, False),
    ],
)
def test_a_job_with_many_tasks_shows_a_slow_worker(here, elsewhere, slow):
    """While no other job runs, a wide one would stay at a slow worker to its end."""
    assert (sibling_factor(here, elsewhere) >= SLOW_FACTOR) is slow


def test_a_run_is_no_sign_of_its_own_worker():
    pace = paced([5.0])
    assert pace.ratios_of("job-0", KIND, without=(f"{KIND}0", 1)) == []
    assert len(pace.ratios_of("job-0", KIND)) == 1
    assert pace.ratios_of("job-0", OTHER) == []
