"""Whether a worker that a heartbeat names answers its runner."""

import asyncio
from dataclasses import dataclass

from banyanwheel_jobs.ports import WorkerFenced, WorkerReplaced, WorkerUnavailable
from banyanwheel_platform.worker import WorkerClient

__all__ = ["MAX_CHECKS", "WorkerVerifier"]

MAX_CHECKS = 8  # at a time; each holds a heartbeat and a connection
TRIES = 5
RETRY_DELAY_S = 0.05


@dataclass(slots=True, eq=False)
class _Check:
    heartbeat: object  # the newest of its sender
    task: object = None


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
        self._checks = {}  # by what is checked, the oldest first

    def verify(self, heartbeat):
        """Checks the sender of a heartbeat, unless that is under way.

        Beyond ``MAX_CHECKS`` the oldest one is given up: the worker of this machine
        answers at once.
        """
        key = (heartbeat.incarnation, heartbeat.service, heartbeat.address)
        known = self._checks.get(key)
        if known is not None:
            if heartbeat.sequence > known.heartbeat.sequence:
                known.heartbeat = heartbeat
            return
        if len(self._checks) >= MAX_CHECKS:
            displaced = self._checks.pop(next(iter(self._checks)))
            displaced.task.cancel()
            # The frame of the task refers to the check, and a cycle would keep both.
            displaced.task = None
            self._on_refusal(displaced.heartbeat, "displaced")
        check = self._checks[key] = _Check(heartbeat)
        check.task = self._spawn(self._check(key, check))

    async def _check(self, key, check):
        first = check.heartbeat
        client = WorkerClient(first.address, first.worker_id, first.born_ms)
        try:
            reason = await self._refusal_reason(client)
        except BaseException:
            client.close()
            raise
        finally:
            if self._checks.get(key) is check:
                del self._checks[key]
            check.task = None
        if reason:
            client.close()
            self._on_refusal(check.heartbeat, reason)
        else:
            self._on_answer(check.heartbeat, client)

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
