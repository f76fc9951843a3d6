"""A full service keeps the jobs of another, idle service from running."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from review.standins_2.record import Record
from review.standins_2.system import CPU, HOST, SERVICE, System, job_ids, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
SMALL_SERVICE = "lookup"
KINDS = [(SMALL_SERVICE, 4_000), *[(SERVICE, CPU)] * 3]
USUAL_JOBS = 3
BURST_JOBS = 7  # 2.33 times the usual ones
LARGE_TASKS = 15
LARGE_MS = 40_000
SMALL_JOBS = 10
FINISH_S = 14.0
STUCK_S = 3.0


def route(name, service):
    """Returns the route of a queue."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        "completionTargetMs": 30_000,
    }


ROUTES = [route("trade", SERVICE), route("vin", SMALL_SERVICE)]


def job(count, ms):
    """Returns a job of one step, each task of which needs one core."""
    step = {"count": count, "cpu": 1000, "memMb": 64, "estimateMs": ms}
    return {"spec": json.dumps({"ms": ms}), "steps": [step]}


async def hand_in(system, prefix, ids, body):
    """Hands jobs in; returns the accepted ids."""
    accepted = []
    for number, job_id in enumerate(ids):
        order = [system.fronts[(number + part) % 3] for part in range(3)]
        if await system.submit(prefix + job_id, body, order) == 200:
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
    """Returns whether jobs of an idle service have nothing running."""
    record = Record(Path(__file__).with_name("record.txt"))
    large = BURST_JOBS if TROUBLE else USUAL_JOBS
    ids = job_ids(large + SMALL_JOBS, SEED)
    async with System(
        record, ROUTES, fronts=3, sides=len(KINDS), kinds=KINDS, seed=SEED
    ) as system:
        await asyncio.sleep(3.0)
        record("burst" if TROUBLE else "usual", jobs=large)
        await hand_in(system, "/trade/", ids[:large], job(LARGE_TASKS, LARGE_MS))
        await asyncio.sleep(1.0)
        accepted = await hand_in(system, "/vin/", ids[large:], job(1, 1_000))
        record("traffic-ends")
        await asyncio.sleep(FINISH_S)
        began_at = time.monotonic()
        await asyncio.sleep(STUCK_S)
        stuck = stuck_jobs(system, accepted, began_at, time.monotonic())
        for number, job_id in enumerate(stuck):
            await system.ask(system.fronts[number % 3], "GET", f"/vin/{job_id}")
    record("accepted", jobs=len(accepted))
    record("LOST" if stuck else "held", stuck=len(stuck), jobs=stuck)
    print(f"{len(accepted)} jobs of the idle service, {len(stuck)} not running")
    return bool(stuck)


if __name__ == "__main__":
    sys.exit(run_case(case))
