"""Jobs that no worker may run at present keep other jobs from running."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from review.standins_2.record import Record
from review.standins_2.system import HOST, SERVICE, System, job_ids, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
SIDES = 8
RACKS = [f"r1-{number + 1}" for number in range(SIDES)]
RACK_JOBS = 180
OTHER_JOBS = 20
FINISH_S = 14.0
STUCK_S = 3.0
PREFIX = "/trade/"
ROUTES = [
    {
        "name": "trade",
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        "completionTargetMs": 30_000,
    }
]


def rack_job():
    """Returns a job that only the workers of the last rack may run."""
    step = {"count": 1, "cpu": 200, "memMb": 64, "estimateMs": 1000}
    step["requiredLabel"] = RACKS[-1]
    return {"spec": json.dumps({"ms": 1000}), "steps": [step]}


def other_job():
    """Returns a job that any worker may run."""
    step = {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 1000}
    return {"spec": json.dumps({"ms": 1000}), "steps": [step]}


async def hand_in(system, jobs):
    """Hands jobs in by id; returns the accepted ids."""
    accepted = []
    for number, (job_id, body) in enumerate(jobs.items()):
        order = [system.fronts[(number + part) % 3] for part in range(3)]
        if await system.submit(PREFIX + job_id, body, order) == 200:
            accepted.append(job_id)
    return accepted


def stuck_jobs(system, ids, began_at, ended_at):
    """Returns the jobs that aren't done and have no run between two times."""
    idle = []
    for job_id in ids:
        starts, ends = {}, {}
        for worker in system.workers:
            starts.update({(t, r): at for at, t, r in worker.starts})
            ends.update({(t, r): (at, how) for at, t, r, how in worker.ends})
        mine = [key for key in starts if key[0].startswith(job_id)]
        done = {
            task for (task, run) in mine if ends.get((task, run), (0, ""))[1] == "done"
        }
        active = any(
            starts[key] < ended_at and ends.get(key, (ended_at, ""))[0] > began_at
            for key in mine
        )
        if len(done) < 2 and not active:
            idle.append(job_id)
    return idle


async def case():
    """Returns whether jobs that any worker may run have nothing running."""
    record = Record(Path(__file__).with_name("record.txt"))
    ids = job_ids(RACK_JOBS + OTHER_JOBS, SEED)
    async with System(
        record, ROUTES, fronts=3, sides=SIDES, racks=RACKS, seed=SEED
    ) as system:
        await asyncio.sleep(2.0)
        if TROUBLE:
            system.workers[-1].crash()
        await asyncio.sleep(2.0)
        await hand_in(system, dict.fromkeys(ids[:RACK_JOBS], rack_job()))
        await asyncio.sleep(1.0)
        others = dict.fromkeys(ids[RACK_JOBS:], other_job())
        accepted = await hand_in(system, others)
        record("traffic-ends")
        await asyncio.sleep(FINISH_S)
        began_at = time.monotonic()
        await asyncio.sleep(STUCK_S)
        stuck = stuck_jobs(system, accepted, began_at, time.monotonic())
        for number, job_id in enumerate(stuck):
            await system.ask(system.fronts[number % 3], "GET", PREFIX + job_id)
    record("accepted", jobs=len(accepted))
    record("LOST" if stuck else "held", stuck=len(stuck), jobs=stuck)
    print(f"{len(accepted)} jobs of any worker, {len(stuck)} with nothing running")
    return bool(stuck)


if __name__ == "__main__":
    sys.exit(run_case(case))
