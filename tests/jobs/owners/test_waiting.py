"""The sum of the work that waits for room, which is kept as jobs come and go."""

from collections import Counter

import pytest

from .overload_world import Kind, OverloadWorld


class _CheckedWorld(OverloadWorld):
    checks = 0

    def _tick(self):
        super()._tick()
        for owner in self.owners:
            work = Counter()
            for job in owner._waiting.active:
                service = job.submission.queue.service
                work[service] += round(1000 * job.waiting_work_cpu_s)
            assert owner.waiting_cpu_ms == dict(+work)
            self.checks += bool(work)


@pytest.mark.parametrize("seed", [1, 2])
def test_the_sum_is_that_of_all_waiting_jobs(seed):
    """It drifts if a job that is placed, refused, retried or gone isn't counted."""
    kinds = Kind("check", 15, 8, 110), Kind("quote", 8, 4, 1_660)
    world = _CheckedWorld(kinds, (1.0,) * 5, 5, shares=(1, 1), seed=seed, losses={3: 2})
    world.play()
    assert world.checks
    assert all(not owner.waiting_cpu_ms for owner in world.owners)
