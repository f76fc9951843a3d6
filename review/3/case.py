"""Idle workers crash in turn and start again under their ids, before work comes."""

import asyncio
import json
from pathlib import Path

from review.standins.case import main, trouble
from review.standins.record import starts_after_done
from review.standins.system import System, job_ids

RUN_MS = 120
JOBS_PER_WAVE = 8
WAVE_S = 2.4
CALM_WAVES = 2
ROUNDS = 3  # of crashes, one before a wave
DOWN_S = 0.3
UP_S = 0.1  # until the next wave
WORKERS_AFTER_S = 3.0  # the workers start when their runners listen
FIRST_HEARTBEAT_S = (0.0, 0.5)
BODY = {
    "spec": json.dumps({"run_ms": RUN_MS}),
    "steps": [{"count": 8, "cpu": 3_100, "memMb": 64, "estimateMs": RUN_MS}],
}


async def play(record):
    """Submits waves of jobs; before each, another worker crashes for a moment."""
    async with System(
        record, workers_after_s=WORKERS_AFTER_S, first_heartbeat_s=FIRST_HEARTBEAT_S
    ) as system:
        ids = job_ids(1)
        for _ in range(CALM_WAVES):
            await _submit_wave(system, ids)
            await asyncio.sleep(WAVE_S)
        for side in system.sides * ROUNDS:
            await asyncio.sleep(WAVE_S - DOWN_S - UP_S)
            if trouble():
                await side.worker.crash()
            await asyncio.sleep(DOWN_S)
            if trouble():
                side.worker.start()
            await asyncio.sleep(UP_S)
            await _submit_wave(system, ids)
        await asyncio.sleep(5)


async def _submit_wave(system, ids):
    """Submits jobs that fill all workers, and waits until they are accepted."""
    calls = []
    for number in range(JOBS_PER_WAVE):
        front = system.fronts[number % len(system.fronts)]
        calls.append(system.submit(front, next(ids), BODY))
    await asyncio.gather(*calls)


def check(record):
    """Returns the tasks that were started again after they had ended ``done``."""
    return starts_after_done(record)


if __name__ == "__main__":
    main(play, check, Path(__file__).parent)
