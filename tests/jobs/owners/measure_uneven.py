"""Prints what a heavy tail and slow workers cost callers in the simulation.

python -m tests.jobs.owners.measure_uneven
"""

from statistics import quantiles

from .test_uneven import SEEDS, SITUATIONS, play

__all__ = ["main"]


def main():
    """Prints a line for each situation, summed over the seeds."""
    for name in SITUATIONS:
        worlds = [play(name, seed) for seed in SEEDS]
        stops = [stop for world in worlds for stop in world.stops]
        calls = [call for world in worlds for call in world.calls]
        lateness = [call.waited_s / call.objective_s for call in calls if call.done]
        print(
            f"{name:10} calls {len(calls)},"
            f" done {sum(call.done for call in calls) / len(calls):.4f},"
            f" on time {sum(call.on_time for call in calls) / len(calls):.4f},"
            f" p95 of time over objective {quantiles(lateness, n=20)[-1]:.2f},"
            f" stops {len(stops)}, needless {sum(stop.needless for stop in stops)},"
            f" thrown away"
            f" {sum(stop.run_s * stop.cpu for stop in stops) / 1000:.0f} core-s"
        )


if __name__ == "__main__":
    main()
