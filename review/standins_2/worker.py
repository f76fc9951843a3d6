"""Stand-in of a worker, after the page PROTOCOL: leases, fences and lists.

The ``spec`` of a job is JSON; ``ms`` is the run time of its tasks.
"""

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass, field

from .http import HANG, NoAnswer, call, serve

__all__ = ["Worker"]

HEARTBEAT_S = 1.5
LOOK_S = 0.005
LEASE_MS = 1_000
LISTED = 500
LATE_S = (2.0, 12.0)  # an unanswered order is carried out so much later


@dataclass
class _Run:
    began: int
    length: int

    def percent(self, now):
        return max(0, min(100, 100 * (now - self.began) // max(1, self.length)))


@dataclass
class Worker:
    """One worker and its lives.

    With a ``late_share``, so many of the orders get no answer and are carried out
    later. While it is ``shedding``, it refuses starts with 503 and does nothing. While
    it is ``failing``, all tasks end as failed; while it is ``cut_off``, nothing passes
    between it and its machine.
    ``starts`` and ``ends`` hold (time, task, run) and (time, task, run, how).
    """

    name: str
    service: str
    address: str
    control: str
    record: object
    labels: list
    cpu: int = 32_000
    late_share: float = 0.0
    shedding: bool = False
    failing: bool = False
    draining: bool = False
    cut_off: bool = False
    seed: int = 0
    starts: list = field(default_factory=list)
    ends: list = field(default_factory=list)
    taken: dict = field(default_factory=dict)  # time by (task, run)

    def __post_init__(self):
        """Begins the first life."""
        self._random = random.Random(f"{self.seed}-{self.name}")
        self._tasks = []
        self._server = None
        self._begin()

    def _begin(self):
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._fence = 0
        self._deadline = 0
        self._sequence = 0
        self._running = {}
        self._finished = []
        self._number = 0
        self._over = {}
        self._changed = asyncio.Event()

    @property
    def clock(self):
        """Its clock in ms."""
        return int((time.monotonic() - self._began) * 1000) + 1

    @property
    def up(self):
        """Whether it serves."""
        return self._server is not None

    async def start(self):
        """Begins a life: serves, and sends heartbeats."""
        self._begin()
        host, _, port = self.address.rpartition(":")
        self._server = await serve(host, int(port), self._handle)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._look()),
        ]
        self.record("worker-up", worker=self.name)

    def crash(self):
        """Ends the life without a word; all that runs ends with it."""
        for task in self._tasks:
            task.cancel()
        self._server.close()
        self._server = None
        for key in list(self._running):
            self._end(key, "crashed")
        self.record("worker-crashed", worker=self.name)

    async def tell(self, method, body=None):
        """Calls the control address of its machine; raises NoAnswer."""
        path = f"/instances/{self.name}"
        status, _ = await call(self.control, method, path, body, timeout_s=1.0)
        self.record("worker-tells", worker=self.name, call=method, status=status)

    def heartbeat(self):
        """Returns its next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock,
            "seq": self._sequence,
            "born": self.born,
        }

    async def _beat(self):
        while True:
            if not self.cut_off:
                with contextlib.suppress(NoAnswer):
                    await self.tell("PUT", self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def _look(self):
        while True:
            now = self.clock
            for key, run in list(self._running.items()):
                if run.began + run.length <= now:
                    self._end(key, "failed" if self.failing else "done")
                elif self._deadline < now:
                    self._end(key, "lapsed")
            await asyncio.sleep(LOOK_S)

    def _end(self, key, how):
        del self._running[key]
        self._number += 1
        self._finished.append([self._number, *key, how, ""])
        self._over[key[0]] = max(self._over.get(key[0], 0), key[1])
        self.ends.append((time.monotonic(), *key, how))
        self.record("end", worker=self.name, task=key[0], run=key[1], how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        if self.cut_off:
            return HANG
        if request.headers.get("target-instance") != self.name:
            return 421, {"clockMs": self.clock, "born": self.born}
        body = request.json
        order = getattr(self, "_on" + request.path.replace("/", "_").replace("-", "_"))
        if self._random.random() < self.late_share:
            delay_s = self._random.uniform(*LATE_S)
            self.record(
                "order-late",
                worker=self.name,
                call=request.path,
                task=body.get("task", ""),
                by_s=round(delay_s, 2),
            )
            born = self.born
            asyncio.get_running_loop().call_later(
                delay_s, lambda: self.born == born and self.up and order(body)
            )
            return HANG
        status, fields = order(body)
        if request.path == "/hold" and status == 200:
            await self._wait_for_end(body.get("waitMs", 0) / 1000)
            fields = self._lists()
        return status, fields | {"clockMs": self.clock, "born": self.born}

    async def _wait_for_end(self, wait_s):
        if wait_s and not self._finished:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()

    def _lists(self):
        now = self.clock
        running = [
            [*key, "", run.percent(now), 0] for key, run in self._running.items()
        ]
        return {"running": running, "finished": self._finished[:LISTED]}

    def _extend(self, deadline):
        self._deadline = max(self._deadline, min(deadline, self.clock + LEASE_MS))

    def _on_run_start(self, body):
        task, run = body["task"], body["run"]
        if self.shedding:
            return 503, {}
        if body["fence"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body["fence"]
        if (task, run) in self._running:
            return 200, {}
        if body["deadlineMs"] <= self.clock:
            return 409, {"reason": "late"}
        self._extend(body["deadlineMs"])
        if self._over.get(task, 0) >= run:
            return 409, {"reason": "old"}
        self._running[task, run] = _Run(self.clock, json.loads(body["spec"])["ms"])
        self.starts.append((time.monotonic(), task, run))
        self.record("start", worker=self.name, task=task, run=run)
        return 200, {}

    def _on_run_stop(self, body):
        key = body["task"], body["run"]
        if body["fence"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body["fence"]
        self._over[key[0]] = max(self._over.get(key[0], 0), key[1])
        if key in self._running:
            self._end(key, "stopped")
        return 200, {}

    def _on_hold(self, body):
        if body["fence"] < self._fence:
            return 409, {"reason": "fence"}
        self._fence = body["fence"]
        for number, task, run, *_ in self._finished:
            if number <= body["ackCursor"]:
                self.taken[task, run] = time.monotonic()
        self._finished = [row for row in self._finished if row[0] > body["ackCursor"]]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        return 200, {}
