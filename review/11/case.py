"""A side machine is cut off, its task runs again elsewhere, and the job is canceled."""

import asyncio
import json
from pathlib import Path

from review.standins_3.checks import started_after_noted_end, wait_for
from review.standins_3.system import System, run_case

JOB = "5c0e7a21d94b36f8"
RUN_MS = 900
CUT_S = 5.5
WATCH_S = 6.0


def job_body():
    """Returns a job of one task."""
    steps = [{"count": 1, "cpu": 3100, "memMb": 64, "estimateMs": RUN_MS}]
    return json.dumps({"spec": json.dumps({"ms": [RUN_MS]}), "steps": steps})


async def case(record, trouble):
    """Plays the case; returns the broken rules."""
    async with System(record, sides=6, proxied=True) as system:
        status, _ = await system.call("front-1", "POST", JOB, job_body())
        if status != 200:
            raise RuntimeError("the job was not accepted")
        if not await wait_for(lambda: record.find("start"), 3):
            raise RuntimeError("no task was started")
        side = record.find("start")[0][1]["worker"].replace("worker", "side")
        await asyncio.sleep(0.3)
        if trouble:
            system.cut(side, True)
        healed = asyncio.get_running_loop().time() + CUT_S
        # The client waits for its answer, and gives the job up as it is still running.
        await wait_for(lambda: len(record.find("start")) > 1, CUT_S - 0.4)
        await asyncio.sleep(0.15)
        await system.call("front-1", "GET", JOB)
        await system.call("front-1", "DELETE", JOB)
        await asyncio.sleep(max(0.0, healed - asyncio.get_running_loop().time()))
        if trouble:
            system.cut(side, False)
        await asyncio.sleep(WATCH_S)
        await system.call("front-1", "GET", JOB)
        return list(started_after_noted_end(record))


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
