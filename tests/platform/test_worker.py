"""Calls to one life of a worker, which may start again under its id and address."""

import asyncio
import json
from collections import Counter

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from banyanwheel_jobs.messages import Assignment
from banyanwheel_jobs.model import Resources, TaskId
from banyanwheel_jobs.ports import (
    StartOutcome,
    WorkerGone,
    WorkerReplaced,
    WorkerUnavailable,
)
from banyanwheel_platform.http import answer
from banyanwheel_platform.worker import WorkerClient, incarnation_of

WORKER = "i-1"
FIRST, SECOND = 1_000, 2_000  # when its lives began
ASSIGNMENT = Assignment(TaskId("a" * 16, 0, 0, 0), 1, Resources(1_000), 100)


class Worker:
    """Counts what each of its lives carries out; starts again at its address."""

    def __init__(self):
        (self._holder,) = bind_sockets(0, address="127.0.0.1")
        self.address = f"127.0.0.1:{self._holder.getsockname()[1]}"
        self.calls = {}

    def start(self, born):
        self._born = born
        self.calls[born] = Counter()
        self._server = HTTPServer(self._handle)
        self._server.add_socket(self._holder.dup())

    async def crash(self):
        self._server.stop()
        await self._server.close_all_connections()

    def end(self):
        """Gives the address up."""
        self._holder.close()

    def _handle(self, request):
        body = json.loads(request.body)
        calls = self.calls[self._born]
        calls[request.path] += 1
        calls["acknowledged"] = max(calls["acknowledged"], body.get("ackCursor", 0))
        fields = {"clockMs": 7}
        if request.path == "/hold":
            fields |= {"born": self._born, "running": [], "finished": []}
        answer(request, 200, json.dumps(fields).encode())


async def start(client):
    return await client.start(ASSIGNMENT, "", deadline_ms=1_000, fence=1)


async def acknowledge(client):
    return await client.renew_lease(fence=1, acknowledged=57)


async def stop(client):
    return await client.stop(ASSIGNMENT.task, 1, fence=1)


def play(scenario):
    async def run():
        worker = Worker()
        worker.start(FIRST)
        try:
            return await scenario(worker, WorkerClient(worker.address, WORKER, FIRST))
        finally:
            await worker.crash()

    return asyncio.run(run())


@pytest.mark.parametrize("call", [start, acknowledge, stop])
@pytest.mark.parametrize("used_before", [True, False])
def test_no_call_reaches_a_later_life_of_a_worker(call, used_before):
    """Ends of the later life were wiped out, and their tasks started again.

    A runner without runs did not notice that its worker had started again; it sent it
    starts, and with its next poll the acknowledgements of the life before.
    """

    async def scenario(worker, client):
        if used_before:
            await call(client)
        await worker.crash()
        worker.start(SECOND)
        with pytest.raises(WorkerReplaced) as error:
            await call(client)
        assert error.value.incarnation == incarnation_of(WORKER, SECOND)
        return worker.calls[SECOND]

    calls = play(scenario)
    assert set(calls) <= {"/hold", "acknowledged"}
    assert calls["acknowledged"] == 0


def test_a_connection_is_verified_once():
    async def scenario(worker, client):
        for _ in range(3):
            outcome, clock_ms = await start(client)
            assert (outcome, clock_ms) == (StartOutcome.STARTED, 7)
        return worker.calls[FIRST]

    assert play(scenario) == {"/hold": 1, "/run-start": 3, "acknowledged": 0}


def test_only_a_worker_without_a_listener_is_gone():
    """Its process has ended then; one that is silent or cut off may still run tasks."""

    async def run():
        worker = Worker()
        worker.start(FIRST)
        client = WorkerClient(worker.address, WORKER, FIRST)
        await acknowledge(client)
        await worker.crash()
        with pytest.raises(WorkerUnavailable) as silent:
            await acknowledge(client)
        worker.end()
        with pytest.raises(WorkerGone):
            await acknowledge(client)
        return silent.type

    assert asyncio.run(run()) is WorkerUnavailable
