"""A side machine is cut off, its tasks run again, and then their owner is killed."""

import asyncio
import json
from pathlib import Path

from review.standins_3.checks import started_after_noted_end, wait_for
from review.standins_3.system import System, run_case

RUN_MS = 900
JOBS = 10
SIDES = 6
WARM_UP_JOBS = 60
WARM_UP_MS = 200
CUT_S = 5.5
KILL_S = 4.95  # after the cut; the tasks run again by then
DOWN_S = 3.5  # until the killed process is started again
WATCH_S = 8.0
IN_ZONE_S = 0.0002
CROSS_ZONE_S = 0.0009


def job_body(rack, run_ms):
    """Returns a job of one task, whose data is on a rack."""
    step = {"count": 1, "cpu": 3100, "memMb": 64, "estimateMs": run_ms}
    steps = [step | {"preferredRack": f"r1-{rack}"}]
    return json.dumps({"spec": json.dumps({"ms": [run_ms]}), "steps": steps})


async def warm_up(system):
    """Sends jobs for all racks, so that the fronts know the pace of all workers."""
    front = system.fronts[0]
    for number in range(WARM_UP_JOBS):
        body = job_body(number % SIDES, WARM_UP_MS)
        await system.call(front, "POST", f"00000000000{number:05x}", body)
        await asyncio.sleep(0.04)
    await asyncio.sleep(2.0)


def jobs_of(system, front):
    """Returns ids of jobs whose partitions a front holds."""
    ids = (f"5c0e7a21d94b{number:04x}" for number in range(1_000))
    return [job for job in ids if system.owner(job) == front][:JOBS]


async def case(record, trouble):
    """Plays the case; returns the broken rules."""
    async with System(
        record, sides=SIDES, proxied=True, near_s=IN_ZONE_S, far_s=CROSS_ZONE_S
    ) as system:
        first, second = system.fronts
        await warm_up(system)
        jobs = jobs_of(system, first)
        # The side in the zone of the front that will take the jobs over.
        side = second.replace("front", "side")
        worker = side.replace("side", "worker")
        rack = int(side.rpartition("-")[2]) - 1
        begun = len(record.find("start", worker=worker))
        answers = await asyncio.gather(
            *(system.call(second, "POST", job, job_body(rack, RUN_MS)) for job in jobs)
        )
        if [status for status, _ in answers] != [200] * JOBS:
            raise RuntimeError("a job was not accepted")
        if not await wait_for(
            lambda: len(record.find("start", worker=worker)) > begun, 3
        ):
            raise RuntimeError(f"no task was started on {worker}")
        await asyncio.sleep(0.3)
        if trouble:
            system.cut(side, True)
        await asyncio.sleep(KILL_S)
        if trouble:
            system.kill(first)
        await asyncio.sleep(CUT_S - KILL_S)
        if trouble:
            system.cut(side, False)
            await asyncio.sleep(DOWN_S - (CUT_S - KILL_S))
            system.start(first)
        await asyncio.sleep(WATCH_S)
        for job in jobs:
            await system.call(second, "GET", job)
        return list(started_after_noted_end(record))


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
