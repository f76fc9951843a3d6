"""The slowness that a runner reports, from the ends of its runs."""

import pytest

from banyanwheel_jobs.runners.slowness import updated_slowness

ESTIMATE_MS = 100


def after(*run_ms, slowness=0.0):
    for value in run_ms:
        slowness = updated_slowness(slowness, value, ESTIMATE_MS)
    return slowness


def test_one_long_task_hardly_makes_its_worker_slow():
    """Else no placer would use the worker, at which nothing is wrong."""
    usual = after(*[100] * 10)
    assert usual == pytest.approx(1.0)
    assert after(700, slowness=usual) < 1.25
    assert after(7_000, slowness=usual) == after(700, slowness=usual)


@pytest.mark.parametrize("factor", [0.5, 1.8, 5.0])
def test_many_runs_show_how_slow_a_worker_is(factor):
    runs = [factor * ESTIMATE_MS] * 40
    assert after(*runs) == pytest.approx(factor, rel=0.01)
    assert after(*runs, slowness=1 / factor) == pytest.approx(factor, rel=0.01)


def test_any_run_time_and_estimate_is_taken():
    assert 0 < updated_slowness(1.0, 0, 0) < 1.0
