"""What the run times of one kind tell about the kinds beside it."""

import random
from math import log

import pytest

from banyanwheel_jobs.interference.pairs import MIN_EXPOSED, Sample, find_causes

CAUSE, COMPANION = ("cause", 0), ("companion", 0)
SEEDS = range(1, 6)


def samples(seed, count, draw, workers=6):
    """Returns samples whose (slowdown, kinds alongside) are ``draw(worker, random)``.

    Workers differ in speed by a factor of 2, estimates are off by 0.4 (standard
    deviation of the logarithm), and 3% of the tasks take 7 times as long.
    """
    chance = random.Random(seed)
    result = []
    for number in range(count):
        worker = number % workers
        slowdown, kinds = draw(worker, chance)
        ratio = slowdown * (1 + worker / workers) * chance.lognormvariate(0, 0.4)
        if chance.random() < 0.03:
            ratio *= 7
        result.append(Sample(0.0, f"w{worker}", log(ratio), frozenset(kinds)))
    return result


def found(some):
    return {kind for kind, estimate in find_causes(some).items() if estimate.found}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_kind_that_often_runs_beside_a_cause_is_none_itself(seed):
    def draw(worker, chance):
        caused = chance.random() < 0.4
        together = chance.random() < (0.8 if caused else 0.2)
        return 2.0 if caused else 1.0, [CAUSE] * caused + [COMPANION] * together

    assert found(samples(seed, 512, draw)) == {CAUSE}


@pytest.mark.parametrize("seed", SEEDS)
def test_two_causes_are_both_found(seed):
    def draw(worker, chance):
        one, two = chance.random() < 0.35, chance.random() < 0.35
        slowdown = 2.5 if one else 2.0 if two else 1.0
        return slowdown, [CAUSE] * one + [COMPANION] * two

    assert found(samples(seed, 1_000, draw)) == {CAUSE, COMPANION}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_kind_that_mostly_runs_at_slow_workers_is_no_cause(seed):
    def draw(worker, chance):
        return 1.0, [CAUSE] * (chance.random() < (0.7 if worker > 3 else 0.1))

    assert found(samples(seed, 512, draw)) == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_one_worker_does_not_make_a_pair(seed):
    """Something else at that worker may slow it down at such times."""

    def draw(worker, chance):
        exposed = chance.random() < (0.5 if worker == 0 else 0.1)
        return 4.0 if exposed and worker == 0 else 1.0, [CAUSE] * exposed

    assert found(samples(seed, 512, draw)) == set()


def test_nothing_is_said_about_a_kind_with_few_runs_beside_it():
    def exposed(count):
        many = samples(1, 512, lambda worker, chance: (1.0, []))
        few = samples(2, count, lambda worker, chance: (9.0, [CAUSE]))
        return find_causes(many + few)

    assert exposed(MIN_EXPOSED - 1) == {}
    assert exposed(MIN_EXPOSED)[CAUSE].found


def test_nothing_is_said_about_a_kind_that_is_always_there():
    assert find_causes(samples(1, 512, lambda worker, chance: (1.0, [CAUSE]))) == {}
