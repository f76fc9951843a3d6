"""Checks of the users' rules, from what workers and clients have seen."""

import asyncio

__all__ = ["started_after_noted_end", "wait_for"]


async def wait_for(condition, timeout_s):
    """Waits until ``condition()`` is true; returns whether it is."""
    for _ in range(round(timeout_s / 0.01)):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


def started_after_noted_end(record):
    """Yields each start of a task after one of its runs had ended done (TWICE).

    It counts if that end is taken note of at any time, unless the worker's lease has
    lapsed between the two.
    """
    for ended_at, end in record.find("end", how="done"):
        run = {key: end[key] for key in ("worker", "task", "run")}
        noted = [at for at, _ in record.find("noted", **run)]
        lapses = [at for at, _ in record.find("lapse", worker=end["worker"])]
        if not noted or any(ended_at < at < noted[0] for at in lapses):
            continue
        for started_at, start in record.find("start", task=end["task"]):
            if started_at > ended_at:
                yield (
                    f"TWICE task={end['task']} run={start['run']} started at "
                    f"{started_at:.3f} on {start['worker']}, run={end['run']} on "
                    f"{end['worker']} had ended done at {ended_at:.3f}, "
                    f"noted at {noted[0]:.3f}"
                )
