"""Sends jobs at given times, whether or not earlier ones are answered.

``python -m benchmarks.arrivals PLAN RESULTS`` reads a :class:`Plan` and writes a list
of :class:`Sample`, both JSON.
"""

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.netutil import Resolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from .deployment import Kind

__all__ = ["Plan", "Sample", "Stream", "main"]

MAX_CLIENTS = 20_000
CONNECT_TIMEOUT_S = 5.0
ALLOWANCE_S = 10.0


class Stream(msgspec.Struct, frozen=True):
    """Poisson arrivals of one kind; times in seconds from the start of the plan."""

    kind: Kind
    jobs_per_second: float
    begin: float
    end: float
    seed: int


class Plan(msgspec.Struct, frozen=True):
    """What one process sends; ``start`` is in seconds of ``time.monotonic()``."""

    service: str
    subsidiary: str
    doors: tuple[str, ...]
    start: float
    streams: tuple[Stream, ...]
    deadline_ms: int = 10_000


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """One job: when it was due, and what came of it.

    ``due`` is in seconds from the start of the plan, ``lag_ms`` the delay of this
    process in sending it, ``response_ms`` counted from when it was due, ``run_ms``
    the longest run time of its tasks at the speed factor 1. ``workers`` names the
    agent of each task of a completed job.
    """

    kind: str
    due: float
    lag_ms: float
    response_ms: float
    run_ms: int
    tasks: int
    status: int
    reason: str = ""
    outcome: str = ""
    detail: str = ""
    workers: tuple[str, ...] = ()


class _Arrival(msgspec.Struct, frozen=True):
    due: float
    kind: Kind
    runs_ms: tuple[int, ...]


class _NumericResolver(Resolver):
    """Resolves ``ip`` and port without a look-up, and so without a thread."""

    async def resolve(self, host, port, family=socket.AF_UNSPEC):
        return [(socket.AF_INET, (host, port))]


class _Sender:
    """Sends the arrivals of a plan and collects the samples."""

    def __init__(self, plan):
        self._plan = plan
        self._samples = []
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS, resolver=_NumericResolver()
        )

    async def run(self):
        """Returns the samples when the last job is answered."""
        sent = []
        for number, arrival in enumerate(_arrivals(self._plan)):
            pause = self._plan.start + arrival.due - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            door = self._plan.doors[number % len(self._plan.doors)]
            sent.append(asyncio.ensure_future(self._send(arrival, door)))
        await asyncio.gather(*sent)
        return self._samples

    async def _send(self, arrival, door):
        due_at = self._plan.start + arrival.due
        lag_ms = (time.monotonic() - due_at) * 1_000
        status, told = await self._fetch(arrival, door)
        self._samples.append(
            Sample(
                kind=arrival.kind.name,
                due=arrival.due,
                lag_ms=lag_ms,
                response_ms=(time.monotonic() - due_at) * 1_000,
                run_ms=max(arrival.runs_ms),
                tasks=len(arrival.runs_ms),
                status=status,
                reason=told.get("reason", ""),
                outcome=told.get("outcome", ""),
                detail=told.get("detail", ""),
                workers=tuple(told.get("workers", ())),
            )
        )

    async def _fetch(self, arrival, door):
        timeout = self._plan.deadline_ms / 1_000 + ALLOWANCE_S
        request = HTTPRequest(
            f"http://{door}/v1/jobs",
            method="POST",
            body=msgspec.json.encode(self._job(arrival)),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return 0, {"reason": type(error).__name__}
        return response.code, msgspec.json.decode(response.body)

    def _job(self, arrival):
        kind = arrival.kind
        return {
            "service": self._plan.service,
            "subsidiary": self._plan.subsidiary,
            "kind": kind.name,
            "idempotent": kind.idempotent,
            "deadline_ms": self._plan.deadline_ms,
            "tasks": [
                {"payload": {"run_ms": run_ms}, "declared_ms": int(kind.mean_ms)}
                for run_ms in arrival.runs_ms
            ],
        }


def main(plan_path, results_path):
    """Carries out a plan."""
    plan = msgspec.json.decode(Path(plan_path).read_bytes(), type=Plan)
    samples = asyncio.run(_run(plan))
    Path(results_path).write_bytes(msgspec.json.encode(samples))


async def _run(plan):
    return await _Sender(plan).run()


def _arrivals(plan):
    arrivals = [each for stream in plan.streams for each in _of_stream(stream)]
    return sorted(arrivals, key=lambda arrival: arrival.due)


def _of_stream(stream):
    source = random.Random(stream.seed)
    kind = stream.kind
    due = stream.begin + source.expovariate(stream.jobs_per_second)
    while due < stream.end:
        runs_ms = tuple(
            source.randint(kind.shortest_ms, kind.longest_ms) for _ in range(kind.tasks)
        )
        yield _Arrival(due, kind, runs_ms)
        due += source.expovariate(stream.jobs_per_second)


if __name__ == "__main__":
    main(*sys.argv[1:])
