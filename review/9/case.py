"""A task that failed once waits for a full worker though its first one is idle."""

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
LABELS = [*["a"] * (SIDES - 2), "b", "b"]
GREY_S = 5.5
LONG_MS = 60_000
FILLING_TASKS = 32
RETRIED_JOBS = 8
FINISH_S = 14.0
STUCK_S = 3.0
PREFIX = "/part/"
ROUTES = [
    {
        "name": "part",
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        "completionTargetMs": 60,
    }
]


def job(label, count, ms):
    """Returns a job for the workers with a label; each task needs a core."""
    step = {"count": count, "cpu": 1000, "memMb": 64, "estimateMs": ms}
    step["requiredLabel"] = label
    return {"spec": json.dumps({"ms": ms}), "steps": [step]}


async def hand_in(system, ids, body):
    """Hands jobs in; returns the accepted ids."""
    accepted = []
    for number, job_id in enumerate(ids):
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
        if len(done) < 1 and not active:
            idle.append(job_id)
    return idle


async def case():
    """Returns whether jobs have nothing running, though a worker is idle."""
    record = Record(Path(__file__).with_name("record.txt"))
    ids = job_ids(RETRIED_JOBS + 1, SEED)
    async with System(
        record, ROUTES, fronts=3, sides=SIDES, racks=RACKS, labels=LABELS, seed=SEED
    ) as system:
        grey = system.workers[-2]
        await asyncio.sleep(3.0)
        # The tasks of this job fill the last worker.
        await hand_in(system, ids[:1], job(RACKS[-1], FILLING_TASKS, LONG_MS))
        await asyncio.sleep(1.0)
        if TROUBLE:
            grey.failing = True
            record("failing", worker=grey.name)
        accepted = await hand_in(system, ids[1:], job("b", 1, 1000))
        record("traffic-ends")
        await asyncio.sleep(GREY_S)
        grey.failing = False
        record("sound", worker=grey.name)
        await asyncio.sleep(FINISH_S - GREY_S)
        began_at = time.monotonic()
        await asyncio.sleep(STUCK_S)
        stuck = stuck_jobs(system, accepted, began_at, time.monotonic())
        for number, job_id in enumerate(stuck):
            await system.ask(system.fronts[number % 3], "GET", PREFIX + job_id)
    record("accepted", jobs=len(accepted))
    record("LOST" if stuck else "held", stuck=len(stuck), jobs=stuck)
    print(f"{len(accepted)} jobs, {len(stuck)} with nothing running")
    return bool(stuck)


if __name__ == "__main__":
    sys.exit(run_case(case))
