"""A submission and its cancelling are in doubt while the store is down."""

import asyncio
import json
from pathlib import Path

from review.standins_3.system import System, run_case

JOB = "5c0e7a21d94b36f8"
RUN_MS = 900
STEPS = 6
DOWN_S = 4.5
CANCEL_MS = 3_000
STOP_MS = 50
CONTACT_MS = 3_000
WATCH_S = 9.0


def job_body():
    """Returns a job of tasks that run one after the other."""
    step = {"count": 1, "cpu": 3100, "memMb": 64, "estimateMs": RUN_MS}
    later = [step | {"after": [number]} for number in range(STEPS - 1)]
    spec = json.dumps({"ms": [RUN_MS] * STEPS})
    return json.dumps({"spec": spec, "steps": [step, *later]})


def started_after_cancel(record, store_back_at):
    """Yields the starts later than ``cancel_ms`` after the cancel's answer (UNASKED).

    They count from ``contactMs`` after the store is back, when it is stable.
    """
    answers = record.find("answer", method="DELETE", job=JOB)
    cancelled = [at for at, row in answers if row["status"] in ("200", "410")]
    if not cancelled:
        return
    stable_at = store_back_at + CONTACT_MS / 1000
    latest = max(cancelled[0] + CANCEL_MS / 1000, stable_at)
    for at, row in record.find("start"):
        if at > latest:
            yield (
                f"UNASKED task={row['task']} run={row['run']} started at {at:.3f}, "
                f"the cancel was acknowledged at {cancelled[0]:.3f}"
            )


async def submit(system):
    """Hands the job in; a client whose answer is lost does so again."""
    return (await system.call("front-1", "POST", JOB, job_body()))[0]


async def cancel(system):
    """Cancels the job, until that is acknowledged."""
    while True:
        status, _ = await system.call("front-2", "DELETE", JOB)
        if status in (200, 410):
            return status


async def case(record, trouble):
    """Plays the case; returns the broken rules."""
    async with System(record) as system:
        loop = asyncio.get_running_loop()
        back_at = loop.time() + DOWN_S
        if trouble:
            record("store down")
            system.log.set_down(True)
        # The client gets no clear answer, and gives the job up.
        await submit(system)
        canceling = asyncio.create_task(cancel(system))
        await asyncio.sleep(max(0.0, back_at - loop.time()))
        if trouble:
            system.log.set_down(False)
            record("store up")
        await canceling
        back = record.find("store")
        await asyncio.sleep(WATCH_S)
        await system.call("front-1", "GET", JOB)
        return list(started_after_cancel(record, back[-1][0] if back else 0.0))


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
