"""Two of three dispatchers are killed at once while jobs wait for room."""

import asyncio
import json
import signal
from pathlib import Path

from review.standins.case import main, trouble
from review.standins.system import System, job_ids

FILL_MS = 90_000
WAITING_JOBS = 90
VISIBLE_S = 5.0  # visible_ms and 2 s
DOWN_S = 2.0  # as the site file has it
KILLS = 4
GAP_S = 7.0
ASK_S = 0.03
FILL = {
    "spec": json.dumps({"run_ms": FILL_MS}),
    "steps": [{"count": 1, "cpu": 8_000, "memMb": 64, "estimateMs": FILL_MS}],
}


async def play(record):
    """Fills the workers, lets jobs wait, and asks a calm dispatcher for their count."""
    async with System(record, cpu=8_000) as system:
        ids = job_ids(1)
        survivor, *others = system.fronts
        for _ in system.sides:
            await system.submit(survivor, next(ids), FILL)
        await asyncio.sleep(1)
        for _ in range(WAITING_JOBS):
            await system.submit(survivor, next(ids), FILL)
        await asyncio.sleep(VISIBLE_S + 1)
        asking = asyncio.ensure_future(_ask(system, survivor))
        for _ in range(KILLS):
            await asyncio.sleep(GAP_S)
            if trouble():
                for front in others:
                    system.signal(front, signal.SIGKILL)
                await asyncio.gather(
                    *(system.restart(front, DOWN_S) for front in others)
                )
        await asyncio.sleep(GAP_S)
        asking.cancel()


async def _ask(system, front):
    while True:
        await system.pending(front)
        await asyncio.sleep(ASK_S)


def check(record):
    """Returns the answers that count under half of the jobs that wait."""
    accepted = [(now, f["job"]) for now, f in record.of("submit-answered", status=200)]
    begun = {}
    for run in record.intervals():
        begun.setdefault(run.task.partition(".")[0], run.start)
    breaches = []
    for now, found in record.of("pending", status=200):
        due = sum(
            at < now - VISIBLE_S and begun.get(job, now + 1) > now
            for at, job in accepted
        )
        count = json.loads(found["body"])["pending"]
        if 2 * count < due:
            breaches.append(
                f"MIXED: at {now:.3f} {found['by']} gives {count} pending of {due}"
            )
    return breaches


if __name__ == "__main__":
    main(play, check, Path(__file__).parent)
