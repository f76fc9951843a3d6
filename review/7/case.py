"""The late DELETE of a worker's former life: tasks run twice at the same time."""

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
SIDES = 6
JOBS = 40
TASKS = 4
TASK_MS = 6000
DRAIN_S = 2.0  # `drainMs`
CUT_S = 3.5
RETRANSMITTED_S = 6.2  # after 0.2, 0.6, 1.4 and 3.0 s
PREFIX = "/trade/"
ROUTES = [
    {
        "name": "trade",
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        "completionTargetMs": 4000,
    }
]


def job():
    """Returns a stored job."""
    step = {"count": TASKS, "cpu": 1000, "memMb": 64, "estimateMs": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [step]}


async def leave_and_return(worker):
    """The worker leaves as planned, and starts again under its id.

    The disruption is a cut between it and its machine that begins before its DELETE.
    """
    worker.draining = True
    await worker.tell("PUT", worker.heartbeat())
    await asyncio.sleep(DRAIN_S + 0.2)
    if TROUBLE:
        worker.cut_off = True
        worker.record("cut", worker=worker.name)
    delay_s = RETRANSMITTED_S if TROUBLE else 0.0
    delete = asyncio.create_task(send_delete(worker, delay_s))
    await asyncio.sleep(0.1)
    worker.crash()
    await asyncio.sleep(1.0)
    worker.draining = False
    await worker.start()
    await asyncio.sleep(CUT_S - 1.1)
    worker.cut_off = False
    worker.record("whole", worker=worker.name)
    return delete


async def send_delete(worker, delay_s):
    """Sends the DELETE; behind the cut it gets through by a retransmission."""
    worker.record("delete-sent", worker=worker.name)
    await asyncio.sleep(delay_s)
    await worker.tell("DELETE")


def overlaps(system):
    """Returns (task, seconds) of the tasks with two runs at the same time."""
    spans = {}
    now = time.monotonic()
    for worker in system.workers:
        ends = {(task, run): at for at, task, run, _ in worker.ends}
        for at, task, run in worker.starts:
            spans.setdefault(task, []).append((at, ends.get((task, run), now)))
    found = []
    for task, rows in spans.items():
        rows.sort()
        for (_, first_end), (second_start, second_end) in zip(
            rows, rows[1:], strict=False
        ):
            if second_start < first_end:
                found.append(
                    (task, round(min(first_end, second_end) - second_start, 3))
                )
    return found


async def case():
    """Returns whether a task ran twice at the same time."""
    record = Record(Path(__file__).with_name("record.txt"))
    ids = job_ids(JOBS, SEED)
    async with System(record, ROUTES, fronts=3, sides=SIDES, seed=SEED) as system:
        await asyncio.sleep(3.0)
        delete = await leave_and_return(system.workers[0])
        await asyncio.sleep(1.2)
        for number, job_id in enumerate(ids):
            order = [system.fronts[(number + part) % 3] for part in range(3)]
            await system.submit(PREFIX + job_id, job(), order)
        await delete
        await asyncio.sleep(8.0)
        twice = overlaps(system)
        starts = sum(len(worker.starts) for worker in system.workers)
    for task, seconds in twice:
        record("twice", task=task, both_s=seconds)
    record("TWICE" if twice else "held", tasks=len(twice), starts=starts)
    print(f"{starts} starts, {len(twice)} tasks ran twice at the same time: {twice}")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(run_case(case))
