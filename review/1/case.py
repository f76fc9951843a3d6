"""A rolling restart stops a runner, then the dispatcher that owns its job."""

import asyncio
import json
import signal
from pathlib import Path

from review.standins.case import main, trouble
from review.standins.record import overlaps
from review.standins.system import System, job_ids

RUN_MS = 3_000
GAP_S = 1.3  # between the machines of a rolling restart, as the site file has it
JOBS = 3


async def play(record):
    """Runs a few stored jobs, and stops two machines in turn."""
    async with System(record) as system:
        ids = job_ids(1)
        jobs = [next(ids) for _ in range(JOBS)]
        body = {
            "spec": json.dumps({"run_ms": RUN_MS}),
            "steps": [
                {"count": 1, "cpu": 3_000, "memMb": 64, "estimateMs": RUN_MS},
            ],
        }
        front = system.fronts[0]
        for job in jobs:
            await system.submit(front, job, body)
        await asyncio.sleep(0.5)
        if trouble():
            await _stop_in_turn(system, record, jobs[0])
        await asyncio.sleep(7)
        for job in jobs:
            await system.state(system.fronts[0], job)


async def _stop_in_turn(system, record, job):
    """Stops the runner of a job, and then the owner of the job; both start again."""
    (worker,) = {i.worker for i in record.intervals() if i.task.startswith(job)}
    (side,) = [each for each in system.sides if each.worker.name == worker]
    owner = await system.owner(job)
    restarts = []
    for machine in (side, owner):
        system.signal(machine, signal.SIGTERM)
        restarts.append(asyncio.ensure_future(system.restart(machine)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)


def check(record):
    """Returns the tasks with two runs at the same time."""
    return [
        f"TWICE: {a.task} run {a.run} on {a.worker} {a.start:.3f}-{a.end:.3f} ({a.how})"
        f" and run {b.run} on {b.worker} {b.start:.3f}-{b.end:.3f} ({b.how})"
        for a, b in overlaps(record.intervals())
    ]


if __name__ == "__main__":
    main(play, check, Path(__file__).parent)
