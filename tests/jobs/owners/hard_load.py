"""The load of docs/design/hard-load.md, and the weight that its callers earn.

    python -m tests.jobs.owners.hard_load [SEEDS]

prints a table of the weight earned of the weight owed.
"""

import math
import sys
from dataclasses import replace
from statistics import mean

from banyanwheel_jobs.owners.job import LATE_FACTOR

from .overload_calls import Kind
from .overload_world import RUN_SPREAD, OverloadWorld

__all__ = ["KINDS", "earned", "owed", "play_hard_load", "share", "width_classes"]

SPREAD_FACTOR = math.exp(-(RUN_SPREAD**2) / 2)  # the median of a mean of 1
MAX_WIDTH_FACTOR = 4
LATE_WEIGHT = 0.2
WORST_S = 2.0
SECONDS = 14.0
# One cell of the page's first deployment.
SPEEDS = (0.55, 1.2, 0.8, 1.0, 0.9, 0.65, 1.1, 0.75, 0.95, 1.2, 0.85, 0.6, 1.05)
CPU = tuple(48_000 if number % 2 else 32_000 for number in range(len(SPEEDS)))


def _kind(name, priority, per_second, tasks, run_s, weight):
    return Kind(
        name,
        per_second,
        tasks * SPREAD_FACTOR,
        1000 * run_s * SPREAD_FACTOR,
        2_800,
        priority,
        weight,
        MAX_WIDTH_FACTOR * tasks,
    )


SHORT = _kind("short", 0, 103, 8, 0.12, 0.00485)
LONG = _kind("long", 2, 18.8, 4, 1.8, 0.0267)
MEDIUM = _kind("medium", 1, 300, 2, 0.4, 0.00167)
KINDS = (SHORT, LONG, MEDIUM)


def _work(call):
    """Returns the work of a call's job, relative to the mean of its kind."""
    kind = call.kind
    mean_work = kind.tasks * kind.run_ms / SPREAD_FACTOR**2
    return call.submission.steps[0].count * call.run_s * 1000 / mean_work


def owed(call):
    """Returns the weight of a call that is answered on time."""
    return call.kind.weight * (0.3 + 0.7 * _work(call))


def earned(call):
    """Returns the weight that a call has earned."""
    if call.on_time:
        return owed(call)
    if call.done and call.waited_s <= LATE_FACTOR * call.objective_s:
        return LATE_WEIGHT * owed(call)
    return 0.0


def share(calls):
    """Returns the share of the owed weight that was earned, 1 if none was owed."""
    total = sum(map(owed, calls))
    return sum(map(earned, calls)) / total if total else 1.0


def worst_share(world, seconds=SECONDS):
    """Returns the least share of the calls that arrived within ``WORST_S``."""
    start = min(call.at for call in world.calls)
    return min(
        share([c for c in world.calls if since <= c.at - start < since + WORST_S])
        for since in range(1, int(seconds - WORST_S) + 1)
    )


def width_classes(calls):
    """Returns the calls of the usual widths, the widest fifth below, and the tenth."""
    by_width = sorted(calls, key=lambda call: call.submission.steps[0].count)
    usual, wide = round(0.7 * len(calls)), round(0.9 * len(calls))
    return by_width[:usual], by_width[usual:wide], by_width[wide:]


def play_hard_load(demand, seconds=SECONDS, changes=None, **arguments):
    """Plays the page's load at ``demand`` times the workers' room.

    ``changes`` are fields of kinds, by the kind's name, that differ from the page.
    """
    room = sum(speed * cpu for speed, cpu in zip(SPEEDS, CPU, strict=True))
    load = sum(
        kind.per_second * kind.tasks * kind.run_ms * kind.cpu / 1000 for kind in KINDS
    )
    factor = demand * room / (load / SPREAD_FACTOR**2)
    kinds = [
        replace(
            kind,
            per_second=kind.per_second * factor,
            **(changes or {}).get(kind.name, {}),
        )
        for kind in KINDS
    ]
    world = OverloadWorld(
        kinds, SPEEDS, seconds, cpu=CPU, shares=(1, 1, 1), **arguments
    )
    world.play()
    return world


BURSTS = {
    "long": [("long", 3, 9, 2.35)],
    "short": [("short", 3, 8, 1.65)],
    "both": [("short", 3, 8, 1.65), ("long", 3, 8, 2.35)],
}
CASES = {
    "calm 0.6": (0.6, {}),
    "1.0": (1.0, {}),
    "1.2": (1.2, {}),
    "1.5": (1.5, {}),
    "2.0": (2.0, {}),
    "0.75, bursts": (0.75, {"surges": BURSTS["both"]}),
    "0.85, long": (0.85, {"surges": BURSTS["long"]}),
    "0.75, bursts, quarter lost": (
        0.75,
        {"surges": BURSTS["both"], "losses": {1: 4.0, 4: 4.0, 9: 4.0}},
    ),
}


def main(seeds, chosen=None):
    print(f"{'demand':27} worst  whole  score  queues; width classes; served")
    total = []
    for name, (demand, arguments) in CASES.items():
        worlds = [
            play_hard_load(demand, seed=seed, **arguments) for seed in range(seeds)
        ]
        calls = [call for world in worlds for call in world.calls]
        by_queue = [
            [call for call in calls if call.kind.name == kind.name] for kind in KINDS
        ]
        worst = mean(map(worst_share, worlds))
        queues = [share(each) for each in by_queue]
        score = 0.5 * worst + 0.35 * share(calls) + 0.15 * min(queues)
        total.append(score)
        print(
            f"{name:27} {worst:.3f}  {share(calls):.3f}  {score:.3f} ",
            *(f"{each:.3f}" for each in queues),
            ";",
            *(
                "/".join(
                    f"{mean(c.done for c in part):.2f}" for part in width_classes(each)
                )
                for each in by_queue
            ),
            "; held",
            sum(len(w.held) for w in worlds),
        )
    print(f"mean score {mean(total):.4f}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 2)
