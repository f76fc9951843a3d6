"""Long tasks and slow workers: which runs are stopped, and which callers are late.

Pattern "long task": a task that takes several times its estimate is stopped, its work
thrown away and its worker avoided, though the worker is as fast as the others.

Pattern "slow worker": runs stay to their end at a worker that has become slow, though
they would end sooner elsewhere; or the worker is left out after it has recovered.
"""

from functools import cache

import pytest

from .overload_world import Kind
from .uneven_world import UnevenWorld

KINDS = (
    Kind("short", per_second=12, tasks=8, run_ms=110),
    Kind("long", per_second=1.2, tasks=4, run_ms=1_660),
    Kind("medium", per_second=35, tasks=2, run_ms=370),
)
SPEEDS = (1.0, 1.3, 1.1, 1.2, 1.0, 1.3, 1.1, 1.2, 1.0, 1.3, 1.1, 1.2)
SIZES = (1.0, 1.5)
CPU = 8_000  # of a worker of size 1; about 70% of it is in use
SECONDS = 10
SEEDS = (1, 2, 3)
SLOWED = "worker-03"
SITUATIONS = {
    "usual": {"tail_share": 0.0},
    "tail": {},
    "slow": {"slowdowns": ((3, 0.0, 60.0, 5.0),)},
    "recovers": {"slowdowns": ((3, 2.0, 5.0, 5.0), (8, 3.0, 6.0, 5.0))},
}


@cache
def play(situation, seed):
    world = UnevenWorld(
        KINDS,
        SPEEDS,
        SECONDS,
        cpu=CPU,
        shares=(1, 1, 1),
        seed=seed,
        sizes=SIZES * 6,
        **SITUATIONS[situation],
    )
    world.play()
    return world


@pytest.mark.parametrize("situation", ["usual", "tail"])
def test_tasks_are_left_alone_while_no_worker_is_slow(situation):
    assert not any(play(situation, seed).stops for seed in SEEDS)


def test_runs_leave_a_slow_worker():
    worlds = [play("recovers", seed) for seed in SEEDS]
    assert any(stop.worker == SLOWED for world in worlds for stop in world.stops)
    moves = [
        fields
        for world in worlds
        for owner in world.owners
        for event, fields in owner._event_log.events
        if event == "task:moving"
    ]
    assert len(moves) == sum(len(world.stops) for world in worlds)
    for move in moves:
        assert move["room_at"] != move["runner"]
        assert move["elsewhere_ms"] < move["remaining_ms"]


@pytest.mark.parametrize("situation", SITUATIONS)
def test_no_task_is_moved_twice(situation):
    for seed in SEEDS:
        tasks = [stop.task for stop in play(situation, seed).stops]
        assert len(tasks) == len(set(tasks))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_worker_that_has_recovered_gets_tasks_again(seed):
    until = SITUATIONS["recovers"]["slowdowns"][0][2]
    starts = play("recovers", seed).starts
    assert any(at > until and name == SLOWED for at, name in starts)
