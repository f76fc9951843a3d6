"""A dispatcher that is killed and restarted while the store is down loses jobs."""

import asyncio
import json
import os
import sys
from pathlib import Path

from review.standins_2.record import Record
from review.standins_2.system import HOST, SERVICE, System, job_ids, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
FRONTS = 2
SHORT_JOBS = 48
LONG_JOBS = 48
STORE_DOWN_S = 3.0
VISIBLE_S = 3.0
QUEUE = "hold"
PREFIX = "/hold/"
ROUTES = [
    {
        "name": QUEUE,
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        "completionTargetMs": 4000,
    }
]


def job(ms):
    """Returns a job of one task that runs for ``ms``."""
    step = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": ms}
    return {"spec": json.dumps({"ms": ms}), "steps": [step]}


async def hand_in(system, ids, ms):
    """Hands jobs in; returns the time of acceptance by id."""
    accepted = {}

    async def one(number, job_id):
        order = [system.fronts[(number + part) % FRONTS] for part in range(FRONTS)]
        status = await system.submit(PREFIX + job_id, job(ms), order)
        if status == 200:
            accepted[job_id] = system.record.now

    for number, job_id in enumerate(ids):
        await one(number, job_id)
    return accepted


async def restart_while_store_is_down(system, front):
    """The disruption: a process is killed while the store refuses all calls."""
    system.log.set_down(True)
    await asyncio.sleep(0.3)
    system.kill(front)
    system.start(front)
    await asyncio.sleep(STORE_DOWN_S - 0.3)
    system.log.set_down(False)


async def ask_until_known(system, front, job_id):
    """Asks for a job until it gets an answer other than 504; returns the status."""
    for _ in range(10):
        status, _ = await system.ask(front, "GET", PREFIX + job_id)
        if status in (200, 410):
            return status
        await asyncio.sleep(0.3)
    return status


async def case():
    """Returns whether an accepted job is unknown to a front in touch."""
    record = Record(Path(__file__).with_name("record.txt"))
    ids = job_ids(SHORT_JOBS + LONG_JOBS, SEED)
    async with System(record, ROUTES, fronts=FRONTS, sides=3, seed=SEED) as system:
        await hand_in(system, ids[:SHORT_JOBS], 100)
        await asyncio.sleep(2.0)
        name = system.log.last_to_join()
        front = next(front for front in system.fronts if front.name == name)
        other = next(each for each in system.fronts if each is not front)
        if TROUBLE:
            await restart_while_store_is_down(system, front)
        await asyncio.sleep(4.0)
        await system.wait_ready(system.fronts)
        accepted = await hand_in(system, ids[SHORT_JOBS:], 12_000)
        # Planned work: the front is stopped, and its partitions move.
        system.terminate(front)
        await system.ended(front)
        await asyncio.sleep(VISIBLE_S)
        unknown = [
            job_id
            for job_id in accepted
            if await ask_until_known(system, other, job_id) == 410
        ]
    record("accepted", jobs=len(accepted))
    record("LOST" if unknown else "held", unknown=len(unknown), jobs=unknown)
    print(f"{len(accepted)} jobs accepted, {len(unknown)} answered with 410")
    return bool(unknown)


if __name__ == "__main__":
    sys.exit(run_case(case))
