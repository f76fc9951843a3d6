"""Stand-in of a worker of the users' platform: leases, fences and lists."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

import msgspec
import typer
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.locks import Condition
from tornado.web import Application

from .serving import StandInHandler, announce_ready, bind, run_until_terminated

__all__ = ["main"]

HEARTBEAT_S = 0.5
LOOK_S = 0.01
HOLD_MAX_MS = 1_000


@dataclass
class Worker:
    """The runs of one life of a worker; times are its clock's ms."""

    task_ms: int
    fence: int = 0
    deadline_ms: int = 0
    running: dict = field(default_factory=dict)  # end by (task, run)
    finished: list = field(default_factory=list)
    over: dict = field(default_factory=dict)
    starts: list = field(default_factory=list)
    number: int = 0
    draining: bool = False
    changed: Condition = field(default_factory=Condition)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    began: float = field(default_factory=time.monotonic)

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def extend(self, deadline_ms):
        most = self.clock_ms + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most))

    def settle(self):
        now = self.clock_ms
        for key, end in list(self.running.items()):
            if end <= now:
                self.end(key, "done")
            elif self.deadline_ms < now:
                self.end(key, "lapsed")

    def end(self, key, how):
        del self.running[key]
        self.number += 1
        self.finished.append([self.number, *key, how, ""])
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        self.changed.notify_all()

    def start(self, task, run, deadline_ms, fence):
        """Returns (status, reason)."""
        if fence < self.fence:
            return 409, "fence"
        self.fence = fence
        if (task, run) in self.running:
            return 200, ""
        if self.over.get(task, 0) >= run:
            return 409, "old"
        if deadline_ms <= self.clock_ms:
            return 409, "late"
        self.extend(deadline_ms)
        self.running[task, run] = self.clock_ms + self.task_ms
        self.starts.append([task, run])
        return 200, ""


class Handler(StandInHandler):
    def initialize(self, worker):
        self.worker = worker

    def answer(self, status=200, **fields):
        worker = self.worker
        fields |= {"clockMs": worker.clock_ms, "born": worker.born}
        self.write_json(fields, status)

    def body(self):
        return msgspec.json.decode(self.request.body)


class Start(Handler):
    def post(self):
        body = self.body()
        status, reason = self.worker.start(
            body["task"], body["run"], body["deadlineMs"], body["fence"]
        )
        self.answer(status, reason=reason)


class Stop(Handler):
    def post(self):
        body = self.body()
        key = (body["task"], body["run"])
        if body["fence"] >= self.worker.fence and key in self.worker.running:
            self.worker.end(key, "stopped")
        self.answer()


class Hold(Handler):
    async def post(self):
        worker, body = self.worker, self.body()
        if body["fence"] < worker.fence:
            self.answer(409, reason="fence")
            return
        worker.fence = body["fence"]
        worker.finished = [row for row in worker.finished if row[0] > body["ackCursor"]]
        if "deadlineMs" in body:
            worker.extend(body["deadlineMs"])
        if body.get("waitMs") and not worker.finished:
            await worker.changed.wait(timeout=time.time() + body["waitMs"] / 1000)
        running = [[task, run, "", 50] for task, run in worker.running]
        self.answer(running=running, finished=worker.finished)


class Seen(Handler):
    """Not the platform's: what the worker has started, for a test."""

    def get(self):
        self.write_json({"starts": self.worker.starts})


async def _beat(worker, worker_id, address, runner):
    client, sequence = AsyncHTTPClient(), 0
    while True:
        sequence += 1
        beat = {
            "service": "desk",
            "address": address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if worker.draining else "ready",
            "warmupLeftMs": 0,
            "capacity": {"cpu": 4000, "memMb": 4096, "gpu": 0},
            "labels": ["a", "r-1"],
            "clockMs": worker.clock_ms,
            "seq": sequence,
            "born": worker.born,
        }
        with contextlib.suppress(OSError):  # the runner may not listen yet
            await client.fetch(
                f"http://{runner}/instances/{worker_id}",
                method="PUT",
                body=msgspec.json.encode(beat),
                raise_error=False,
            )
        await asyncio.sleep(HEARTBEAT_S)


async def _settle(worker):
    while True:
        worker.settle()
        await asyncio.sleep(LOOK_S)


def main(
    runner: str = typer.Option(),
    name: str = "i-1",
    task_ms: int = 100,
    listen: str = "127.0.0.1:0",
):
    """Serves a worker whose heartbeats go to ``runner``."""

    async def serve(terminated):
        worker = Worker(task_ms)
        routes = [
            ("/run-start", Start),
            ("/run-stop", Stop),
            ("/hold", Hold),
            ("/test/seen", Seen),
        ]
        application = Application(
            [(path, kind, {"worker": worker}) for path, kind in routes]
        )
        sockets, address = bind(listen)
        HTTPServer(application).add_sockets(sockets)
        announce_ready(address)
        loops = [
            asyncio.create_task(_beat(worker, name, address, runner)),
            asyncio.create_task(_settle(worker)),
        ]
        await terminated.wait()
        for loop in loops:
            loop.cancel()

    run_until_terminated(serve)


if __name__ == "__main__":
    typer.run(main)
