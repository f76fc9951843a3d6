"""Two workers crash, one after the other, and start again under their ids."""

import asyncio
import json
from pathlib import Path

from review.standins.case import main, trouble
from review.standins.record import stuck_jobs
from review.standins.system import System, job_ids

RUN_MS = 1_800
JOBS_PER_S = 6
TRAFFIC_S = 6.0
CRASHES = 2
GAP_S = 2.0
DOWN_S = 0.5
FINISH_S = 14.0
IDLE_S = 3.0
BODY = {
    "spec": json.dumps({"run_ms": RUN_MS}),
    "steps": [{"count": 4, "cpu": 3_100, "memMb": 64, "estimateMs": RUN_MS}],
}


async def play(record):
    """Crashes two workers under steady traffic; asks for all jobs at the end."""
    async with System(record) as system:
        traffic = asyncio.ensure_future(_submit_steadily(system))
        for side in system.sides[:CRASHES]:
            await asyncio.sleep(GAP_S)
            if trouble():
                await side.worker.crash()
                await asyncio.sleep(DOWN_S)
                side.worker.start()
        jobs = await traffic
        await asyncio.sleep(FINISH_S)
        await system.ask_twice(jobs, IDLE_S)


async def _submit_steadily(system):
    """Returns the ids of the jobs."""
    ids, jobs, calls = job_ids(1), [], []
    for number in range(round(TRAFFIC_S * JOBS_PER_S)):
        jobs.append(next(ids))
        front = system.fronts[number % len(system.fronts)]
        calls.append(asyncio.ensure_future(system.submit(front, jobs[-1], BODY)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*calls)
    return jobs


def check(record):
    """Returns the jobs that stay open while nothing of them runs and workers idle."""
    return stuck_jobs(record, IDLE_S)


if __name__ == "__main__":
    main(play, check, Path(__file__).parent)
