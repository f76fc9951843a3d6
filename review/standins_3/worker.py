"""A worker: leases, fences, its lists of runs, and its heartbeats."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass, field

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.locks import Condition
from tornado.web import Application, RequestHandler

__all__ = ["Worker"]

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1_000
STEP_S = 0.005
CPU = 32_000
MEMORY_MB = 65_536


@dataclass
class Worker:
    """One life of a worker; its clock counts ms from its start.

    A job's spec such as ``{"ms": [900, 300]}`` gives the run time of the tasks of each
    step. ``record(line)`` writes down what the worker has seen.
    """

    name: str
    service: str
    zone: str
    rack: str
    record: object
    fence: int = 0
    deadline_ms: int = 0
    lapsed: bool = True
    draining: bool = False
    running: dict = field(default_factory=dict)  # (began, ends) by (task, run)
    finished: list = field(default_factory=list)
    over: dict = field(default_factory=dict)  # highest run that has ended, by task
    count: int = 0
    changed: Condition = field(default_factory=Condition)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    began_at: float = field(default_factory=time.monotonic)
    address: str = ""

    @property
    def id(self):
        """The id under which the worker announces itself."""
        return f"i-{self.name}"

    @property
    def clock_ms(self):
        """The worker's clock."""
        return int((time.monotonic() - self.began_at) * 1000) + 1

    def settle(self):
        """Ends the runs whose time is over, and all of them if the lease has lapsed."""
        now = self.clock_ms
        lapses = not self.lapsed and self.deadline_ms < now
        for key, (_, ends) in list(self.running.items()):
            if ends <= now and not (lapses and self.deadline_ms < ends):
                self._end(key, "done")
        if lapses:
            self.lapsed = True
            self.record(f"lapse worker={self.name}")
            for key in list(self.running):
                self._end(key, "lapsed")

    def _end(self, key, how):
        del self.running[key]
        self.count += 1
        self.finished.append([self.count, *key, how, ""])
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        self.record(f"end worker={self.name} task={key[0]} run={key[1]} how={how}")
        self.changed.notify_all()

    def _extend(self, deadline_ms):
        longest = self.clock_ms + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))
        if self.deadline_ms > self.clock_ms:
            self.lapsed = False

    def start(self, body):
        """Carries out a start; returns the status and the reason of a refusal."""
        key = task, run = body["task"], body["run"]
        fault = self._refusal(key, body)
        if fault == "old":
            self._extend(body["deadlineMs"])
        if fault:
            return 409, fault
        self._extend(body["deadlineMs"])
        if key not in self.running:
            step = int(task.split(".")[2])
            now = self.clock_ms
            self.running[key] = now, now + json.loads(body["spec"])["ms"][step]
            self.record(f"start worker={self.name} task={task} run={run}")
        return 200, ""

    def _refusal(self, key, body):
        if body["fence"] < self.fence:
            return "fence"
        self.fence = body["fence"]
        if key not in self.running and self.over.get(key[0], 0) >= key[1]:
            return "old"
        return "late" if body["deadlineMs"] <= self.clock_ms else ""

    def stop(self, body):
        """Carries out a stop."""
        if body["fence"] < self.fence:
            return 409, "fence"
        self.fence = body["fence"]
        key = task, run = body["task"], body["run"]
        self.over[task] = max(self.over.get(task, 0), run)
        if key in self.running:
            self._end(key, "stopped")
        return 200, ""

    def hold(self, body):
        """Extends the lease and forgets the ends up to the cursor."""
        if body["fence"] < self.fence:
            return 409, "fence"
        self.fence = body["fence"]
        for number, task, run, how, _ in self.finished:
            if number <= body["ackCursor"]:
                self.record(f"noted worker={self.name} task={task} run={run} how={how}")
        self.finished = [row for row in self.finished if row[0] > body["ackCursor"]]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        return 200, ""

    def lists(self):
        """Returns what runs, and the ends that have not been taken note of."""
        now = self.clock_ms
        running = [
            [*key, "", max(0, min(100, 100 * (now - began) // max(1, ends - began))), 0]
            for key, (began, ends) in self.running.items()
        ]
        return {"running": running, "finished": self.finished[:500]}

    def application(self):
        """Returns the application that serves the worker."""
        handlers = [
            ("/run-start", _Order, {"worker": self, "order": self.start}),
            ("/run-stop", _Order, {"worker": self, "order": self.stop}),
            ("/hold", _Hold, {"worker": self, "order": self.hold}),
        ]
        return Application(handlers, log_function=lambda handler: None)

    async def live(self):
        """Lets time pass for the runs."""
        while True:
            self.settle()
            await asyncio.sleep(STEP_S)

    async def announce(self, control):
        """Sends heartbeats to the control address of its machine."""
        client, sequence = AsyncHTTPClient(), 0
        while True:
            sequence += 1
            with contextlib.suppress(OSError, HTTPClientError):
                await client.fetch(
                    f"http://{control}/instances/{self.id}",
                    method="PUT",
                    body=json.dumps(self._heartbeat(sequence)),
                    request_timeout=1.0,
                )
                await asyncio.sleep(HEARTBEAT_S - 0.2)
            await asyncio.sleep(0.2)

    def _heartbeat(self, sequence):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0,
            "capacity": {"cpu": CPU, "memMb": MEMORY_MB, "gpu": 0},
            "labels": ["a", self.rack],
            "clockMs": self.clock_ms,
            "seq": sequence,
            "born": self.born,
        }


class _Order(RequestHandler):
    def initialize(self, worker, order):
        self.worker = worker
        self._order = order

    def reply(self, status=200, **fields):
        worker = self.worker
        fields |= {"clockMs": worker.clock_ms, "born": worker.born}
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(fields))

    def carry_out(self):
        """Returns the order's body, None if it was refused and answered."""
        worker = self.worker
        if self.request.headers.get("Target-Instance", worker.id) != worker.id:
            self.reply(421)
            return None
        body = json.loads(self.request.body)
        worker.settle()
        status, reason = self._order(body)
        if status != 200:
            self.reply(status, reason=reason)
            return None
        return body

    def post(self):
        if self.carry_out() is not None:
            self.reply()


class _Hold(_Order):
    async def post(self):
        body = self.carry_out()
        if body is None:
            return
        wait_ms = body.get("waitMs", 0)
        if wait_ms and not self.worker.finished:
            await self.worker.changed.wait(timeout=time.time() + wait_ms / 1000)
        self.reply(**self.worker.lists())
