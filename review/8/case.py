"""A broken connection and unanswered orders: tasks run twice at the same time."""

import asyncio
import json
import os
import random
import socket
import struct
import sys
import time
from pathlib import Path

from review.standins_2.record import Record
from review.standins_2.system import HOST, SERVICE, System, job_ids, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
SIDES = 8
ROUNDS = 10
JOBS = 16
TASKS = 12
TASK_MS = 8000
LATE_SHARE = 0.5
LATE_FOR_S = 5.0
RESET_SHARE = 0.55
RETRY_DELAY_S = 1.3
DEADLINE_S = 20.0
PREFIX = "/quote/"
ROUTES = [
    {
        "name": "quote",
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "maxAttempts": 4,
        "slackFactor": 1.6,
        "completionTargetMs": 8000,
    }
]


def job():
    """Returns a job that needn't be stored."""
    step = {"count": TASKS, "cpu": 1000, "memMb": 64, "estimateMs": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [step], "bestEffort": True}


def reset(writer):
    """Resets a connection."""
    option = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, option
    )
    writer.transport.abort()


async def client(system, job_id, connections):
    """Hands a job in, and again after no answer, 502 or 504, as the pages say."""
    for attempt in range(3):
        front = system.fronts[attempt % 3]
        status, _ = await system.ask(
            front,
            "POST",
            PREFIX + job_id,
            job(),
            DEADLINE_S,
            lambda writer: connections.__setitem__(job_id, writer),
        )
        if status not in (None, 502, 504):
            return
        await asyncio.sleep(RETRY_DELAY_S)


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


async def disrupt(system, connections, chosen):
    """Leaves orders unanswered for a while, and resets connections to one front."""
    for worker in system.workers:
        worker.late_share = LATE_SHARE
    system.record("applied-late", share=LATE_SHARE)
    await asyncio.sleep(0.3)
    for job_id in chosen.sample(sorted(connections), round(RESET_SHARE * JOBS)):
        system.record("reset", job=job_id)
        reset(connections[job_id])
    await asyncio.sleep(LATE_FOR_S - 0.3)
    for worker in system.workers:
        worker.late_share = 0.0
    system.record("applied-late", share=0)


async def play_round(system, ids, chosen):
    """Hands jobs in, and disturbs them; their callers leave at the end."""
    connections = {}
    clients = [
        asyncio.create_task(client(system, job_id, connections)) for job_id in ids
    ]
    await asyncio.sleep(1.0)
    if TROUBLE:
        await disrupt(system, connections, chosen)
    await asyncio.sleep(1.0)
    for each in clients:
        each.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    await asyncio.sleep(2.0)


async def case():
    """Returns whether a task ran twice at the same time."""
    record = Record(Path(__file__).with_name("record.txt"))
    chosen = random.Random(SEED)
    ids = job_ids(JOBS * ROUNDS, SEED)
    async with System(record, ROUTES, fronts=3, sides=SIDES, seed=SEED) as system:
        await asyncio.sleep(3.0)
        for first in range(0, len(ids), JOBS):
            await play_round(system, ids[first : first + JOBS], chosen)
        twice = overlaps(system)
        starts = sum(len(worker.starts) for worker in system.workers)
    for task, seconds in twice:
        record("twice", task=task, both_s=seconds)
    record("TWICE" if twice else "held", tasks=len(twice), starts=starts)
    print(f"{starts} starts, {len(twice)} tasks ran twice at the same time: {twice}")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(run_case(case))
