"""Whether a worker that a heartbeat names answers its runner."""

import asyncio

from banyanwheel_jobs.ports import WorkerFenced, WorkerReplaced, WorkerUnavailable
from banyanwheel_platform.worker import WorkerClient

__all__ = ["WorkerVerifier"]

TRIES = 5
RETRY_DELAY_S = 0.05


class WorkerVerifier:
    """Checks whether those that heartbeats name are workers of this machine.

    A worker answers only calls from its own machine, and only those that name its id;
    its lists say when it was born. ``on_answer(heartbeat, client)`` is called for one
    that answers, ``on_refusal(heartbeat, reason)`` for any other. ``runner`` is the
    Runner, whose fence the calls carry, and ``spawn(coroutine)`` runs a task.
    """

    def __init__(self, runner, on_answer, on_refusal, spawn):
        self._runner = runner
        self._on_answer = on_answer
        self._on_refusal = on_refusal
        self._spawn = spawn
        self._heartbeats = {}  # the newest by what is checked

    def verify(self, heartbeat):
        """Checks the sender of a heartbeat, unless that is under way."""
        key = (heartbeat.incarnation, heartbeat.service, heartbeat.address)
        known = self._heartbeats.get(key)
        if known is None or heartbeat.sequence > known.sequence:
            self._heartbeats[key] = heartbeat
        if known is None:
            self._spawn(self._check(key, heartbeat))

    async def _check(self, key, heartbeat):
        client = WorkerClient(heartbeat.address, heartbeat.worker_id, heartbeat.born_ms)
        try:
            reason = await self._refusal_reason(client)
        finally:
            newest = self._heartbeats.pop(key)
        if reason:
            client.close()
            self._on_refusal(newest, reason)
        else:
            self._on_answer(newest, client)

    async def _refusal_reason(self, client):
        """Returns why a sender is not used, an empty string for one that answers."""
        for _ in range(TRIES):
            try:
                await client.renew_lease(fence=self._runner.fence, acknowledged=0)
            except WorkerFenced:
                # An earlier process of this runner has called it.
                return "fenced" if self._runner.worker else ""
            except WorkerReplaced:
                return "other-life"
            except WorkerUnavailable:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return ""
        return "no-answer"
