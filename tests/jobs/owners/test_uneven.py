"""Long tasks and slow workers: which runs are stopped, and which callers are late.

Pattern "long task": a task that takes several times its estimate is stopped, its work
thrown away and its worker avoided, though the worker is as fast as the others.

Pattern "slow worker": runs stay to their end at a worker that has become slow, though
they would end sooner elsewhere; or the worker is left out after it has recovered.
"""

from functools import cache

from .overload_world import Kind
from .uneven_world import UnevenWorld

KINDS = (
    Kind("short", per_second=12, tasks=8, run_ms=110),
    Kind("long", per_second=1.2, tasks=4, run_ms=1_660),
    Kind("medium", per_second=35, tasks=2, run_ms=370),
)
SPEEDS = (1.0, 1.3, 1.1, 1.2, 1.0, 1.3, 1.1, 1.2, 1.0, 1.3, 1.1, 1.2)
SIZES = (1.0, 1.5)
SECONDS = 10
SEEDS = (1, 2, 3)
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
        shares=(1, 1, 1),
        seed=seed,
        sizes=SIZES * 6,
        **SITUATIONS[situation],
    )
    world.play()
    return world
