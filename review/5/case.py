"""Jobs that can never be done come again and again, and then many users at once."""

import asyncio
import json
from pathlib import Path

from review.standins.case import main, trouble
from review.standins.record import stuck_jobs
from review.standins.system import System, job_ids

SIDES = 4
HOLDS_PER_S = 50  # jobs with tasks of 400 ms, as the sheet has it
CHECKS_PER_S = 8  # jobs of 8 tasks of 120 ms; the sheet has 17 for 11 workers
HOPELESS_SHARE = 0.05  # of the messages of a kind, for 3 s, as the site file has it
HOPELESS_S, PAUSE_S = 3.0, 1.0
BURST_AT_S, BURST_S, BURST_X = 56.0, 4.0, 1.8  # as the site file has it
TRAFFIC_S = 62.0
FINISH_S = 14.0
IDLE_S = 3.0


def _body(count, run_ms, **more):
    step = {"count": count, "cpu": 3_100, "memMb": 64, "estimateMs": run_ms} | more
    return {"spec": json.dumps({"run_ms": run_ms}), "steps": [step]}


HOLD = _body(1, 400)
HOPELESS = _body(1, 400, requiredLabel="none-has-this")
CHECK = _body(8, 120)


async def play(record):
    """Submits jobs of two kinds; asks for all that can be done at the end."""
    async with System(record, sides=SIDES) as system:
        ids, jobs, calls = job_ids(1), [], []

        def submit(body):
            job = next(ids)
            front = system.fronts[len(calls) % len(system.fronts)]
            if body is HOPELESS:
                record.add("hopeless", job=job)
            else:
                jobs.append(job)
            calls.append(asyncio.ensure_future(system.submit(front, job, body)))

        await asyncio.gather(_submit_holds(submit), _submit_checks(submit))
        await asyncio.gather(*calls)
        await asyncio.sleep(FINISH_S)
        await system.ask_twice(jobs, IDLE_S)


async def _submit_holds(submit):
    due = 0.0
    async for now in _moments(0.0, HOLDS_PER_S):
        hopeless = trouble() and now % (HOPELESS_S + PAUSE_S) < HOPELESS_S
        due += HOPELESS_SHARE if hopeless else 0
        submit(HOPELESS if due >= 1 else HOLD)
        due -= due >= 1


async def _submit_checks(submit):
    async for _ in _moments(BURST_AT_S - 2, CHECKS_PER_S):
        submit(CHECK)


async def _moments(start_s, per_s):
    """Yields the seconds since the start, ``per_s`` times a second, more in a burst."""
    loop = asyncio.get_running_loop()
    began, now = loop.time(), start_s
    while now < TRAFFIC_S:
        await asyncio.sleep(began + now - loop.time())
        yield now
        burst = trouble() and BURST_AT_S <= now < BURST_AT_S + BURST_S
        now += 1 / (per_s * (BURST_X if burst else 1))


def check(record):
    """Returns the jobs that stay open while nothing of them runs and workers idle."""
    return stuck_jobs(record, IDLE_S)


if __name__ == "__main__":
    main(play, check, Path(__file__).parent)
