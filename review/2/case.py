"""Dispatchers are killed in turn under steady traffic, while the store is slow."""

import asyncio
import json
import signal
from pathlib import Path

from review.standins.case import main, trouble
from review.standins.system import System, job_ids

RUN_MS = 200
SLOW_FACTOR = 60  # of the store's answers, as the site file has it
SLOW_S = 4.5
JOBS_PER_S = 40  # at one dispatcher; the zones of the site have 41 to 54
BEFORE_KILL_S = 0.45
DOWN_S = (0.5, 0.8)  # until the dispatcher is started again
CALM_S = 4.0
TRAFFIC_S = 5.0
DEADLINE_S = 5.0
RETRY_S = 1.3  # retryDelayMs
FINISH_S = 14.0
BODY = {
    "spec": json.dumps({"run_ms": RUN_MS}),
    "steps": [{"count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": RUN_MS}],
}
UNKNOWN = (0, 502, 504)  # after these, the client sends the job again


async def play(record):
    """Kills two dispatchers in turn, each with submissions in flight."""
    async with System(record) as system:
        first, other, second = system.fronts
        jobs = []
        for entry, down_s in ((first, DOWN_S[0]), (second, DOWN_S[1])):
            jobs += await _disturb(system, entry, other, down_s)
            await asyncio.sleep(CALM_S)
        await asyncio.sleep(FINISH_S)
        await asyncio.gather(*(system.state(other, job) for job in jobs))


async def _disturb(system, entry, other, down_s):
    """Kills the dispatcher that takes the jobs; returns their ids."""
    traffic = asyncio.ensure_future(_submit_steadily(system, entry, other))
    if trouble():
        system.log.slow_factor = SLOW_FACTOR
        asyncio.get_running_loop().call_later(SLOW_S, _mend, system)
    await asyncio.sleep(BEFORE_KILL_S)
    if trouble():
        system.signal(entry, signal.SIGKILL)
        await system.restart(entry, down_s)
    return await traffic


def _mend(system):
    system.log.slow_factor = 1


async def _submit_steadily(system, entry, other):
    """Has clients of one zone submit jobs; returns the ids of all of them."""
    ids, jobs, calls = job_ids(round(system.record.now() * 1_000)), [], []
    for _ in range(round(TRAFFIC_S * JOBS_PER_S)):
        jobs.append(next(ids))
        calls.append(asyncio.ensure_future(_submit(system, entry, other, jobs[-1])))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*calls)
    return jobs


async def _submit(system, entry, other, job):
    """Submits a job, and once more elsewhere where the outcome is unknown."""
    code, _ = await system.submit(entry, job, BODY, DEADLINE_S)
    if code in UNKNOWN:
        await asyncio.sleep(RETRY_S)
        await system.submit(other, job, BODY, DEADLINE_S)


def check(record):
    """Returns the accepted jobs that aren't known at the end."""
    breaches = []
    for accepted_at, found in record.of("submit-answered", status=200):
        job = found["job"]
        started = any(i.task.startswith(job) for i in record.intervals())
        for asked_at, answer in record.of("state", job=job, status=410):
            breaches.append(
                f"LOST: {job} was accepted at {accepted_at:.3f} by {found['by']} and"
                f" answered 410 at {asked_at:.3f} by {answer['by']}; run: {started}"
            )
    return breaches


if __name__ == "__main__":
    main(play, check, Path(__file__).parent)
