"""The run times that are learned by kind, their prior, and their bounds."""

import math
from statistics import NormalDist

import pytest

from banyanwheel_jobs.durations.durations import (
    MAX_KINDS,
    Durations,
    Kind,
    ratio_of,
    total_ms_of,
)
from banyanwheel_jobs.durations.histogram import LOG_STEP, PRIOR_SPREAD

NOW = 100.0
KIND = Kind("check", 0)
WITHIN = math.exp(LOG_STEP)  # a quantile is known within a bucket
QUANTILES = (0.1, 0.5, 0.9, 0.97)


def learned(ratios, since=NOW, step_s=0.01):
    durations = Durations()
    for number, ratio in enumerate(ratios):
        durations.record(KIND, ratio, since + number * step_s)
    return durations


def near(ratio):
    return pytest.approx(ratio, rel=WITHIN - 1)


@pytest.mark.parametrize("share", QUANTILES)
def test_an_unknown_kind_has_the_spread_of_estimates(share):
    prior = math.exp(NormalDist(0, PRIOR_SPREAD).inv_cdf(share))
    assert Durations().ratio(KIND, share, NOW) == near(prior)
    assert Durations().seconds(KIND, 2_000, share, NOW) == near(2 * prior)


def test_a_heavy_tail_shows_in_the_upper_quantiles_only():
    durations = learned([7.0 if number % 20 == 0 else 1.0 for number in range(400)])
    now = NOW + 4.0
    assert durations.ratio(KIND, 0.5, now) == near(1.0)
    assert durations.ratio(KIND, 0.97, now) == near(7.0)


def test_old_runs_are_forgotten():
    """What was learned must not outlast the demand that it was learned from."""
    durations = learned([4.0] * 200)
    for number in range(200):
        durations.record(KIND, 1.0, NOW + 60 + number * 0.01)
    assert durations.ratio(KIND, 0.9, NOW + 62) < 2.0
    assert durations.samples(KIND, NOW + 62) < 200
    later = NOW + 3_600
    assert durations.ratio(KIND, 0.9, later) == near(Durations().ratio(KIND, 0.9, NOW))


def test_the_number_of_kinds_is_bounded():
    durations = Durations()
    for number in range(MAX_KINDS + 1):
        durations.record(Kind(f"queue-{number}", 0), 1.0, NOW)
        durations.log_median(Kind(f"queue-{number}", 0), NOW)
    assert durations.samples(Kind("queue-0", 0), NOW) == 0
    assert durations.samples(Kind("queue-1", 0), NOW) == 1


def test_progress_tells_the_remaining_time():
    assert Durations().remaining_s(KIND, 100, 25, 1_000, 0.5, NOW) == 3.0


def test_without_progress_the_remaining_time_is_that_of_runs_as_old():
    """A run that has outlasted most others is one of the long ones."""
    durations = learned([7.0 if number % 20 == 0 else 1.0 for number in range(400)])
    now = NOW + 4.0
    assert durations.remaining_s(KIND, 1_000, -1, 0, 0.5, now) == near(1.0)
    assert durations.remaining_s(KIND, 1_000, 0, 4_000, 0.5, now) > 2.0
    assert durations.remaining_s(KIND, 1_000, 0, 10**9, 0.5, now) == 0.0


@pytest.mark.parametrize(
    ("percent", "age_ms", "total_ms"),
    [(-1, 0, None), (0, 900, None), (2, 900, None), (50, 100, None), (50, 900, 1800)],
)
def test_little_progress_says_nothing(percent, age_ms, total_ms):
    assert total_ms_of(percent, age_ms) == total_ms


@pytest.mark.parametrize("ratio", [ratio_of(0, 0), ratio_of(10**9, 0)])
def test_any_ratio_is_counted(ratio):
    durations = learned([ratio] * 100)
    assert 0 < durations.ratio(KIND, 0.5, NOW + 1) < math.inf
