"""Stand-in of a worker: leases, fences, lists, and heartbeats to its runner."""

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass, field

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httpserver import HTTPServer

from .http import listen, send

__all__ = ["Worker"]

HOLD_MAX_MS = 1_000
HEARTBEAT_S = 1.5
FIRST_HEARTBEAT_S = (0.02, 0.32)  # after the start; on the users' bench 0 to 0.5
ANSWER_S = 0.001
STOP_S = 0.02  # at most 50 ms are allowed
LOOK_S = 0.005
MAX_ENDS = 500


@dataclass
class _Run:
    """One run; times are the worker's clock in ms."""

    began: int
    length_ms: int
    stopping: bool = False

    def percent(self, now):
        """Returns the share of the work that is done, in percent."""
        return min(100, 100 * (now - self.began) // max(1, self.length_ms))


@dataclass
class _Life:
    """What a worker holds and knows in one life; it starts anew with each."""

    number: int
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    began: float = field(default_factory=time.monotonic)
    sequence: int = 0
    known: bool = False  # to its runner
    fence: int = 0
    deadline_ms: int = 0
    leased: bool = False
    running: dict = field(default_factory=dict)  # _Run by (task, run)
    finished: list = field(default_factory=list)
    over: dict = field(default_factory=dict)  # highest run stopped or ended, by task
    ends: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def clock_ms(self):
        """The worker's clock, which starts with the life."""
        return int((time.monotonic() - self.began) * 1000) + 1


class Worker:
    """One worker beside the runner of a side machine.

    The ``spec`` of a task is JSON with ``run_ms``, the time that it runs.
    """

    def __init__(self, name, service, address, runner, labels, record, **options):
        self.name = name
        self._service = service
        self._address = address
        self._runner = runner
        self._labels = labels
        self._record = record
        self._cpu = options.get("cpu", 32_000)
        self._first_heartbeat_s = options.get("first_heartbeat_s", FIRST_HEARTBEAT_S)
        self._life = None
        self._lives = 0
        self._server = None
        self._tasks = []

    # Lives

    def start(self):
        """Begins a life: listens, and announces itself soon."""
        self._lives += 1
        self._life = _Life(self._lives)
        self._server = listen(self._accept, self._address)
        self._tasks = [
            asyncio.ensure_future(self._beat(self._life)),
            asyncio.ensure_future(self._work(self._life)),
        ]
        self._record.add("worker-up", worker=self.name, life=self._lives)

    async def crash(self):
        """Ends the life without a word: all that runs on it is gone."""
        life, self._life = self._life, None
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        await _close(self._server)
        for key in list(life.running):
            self._end(life, key, "crashed")
        self._record.add("worker-down", worker=self.name, life=life.number)

    async def close(self):
        """Ends the worker."""
        if self._life is not None:
            await self.crash()

    # Calls

    def _accept(self, request):
        asyncio.ensure_future(self._handle(request))

    async def _handle(self, request):
        life = self._life
        await asyncio.sleep(ANSWER_S)
        if life is None or life is not self._life:
            return
        body = json.loads(request.body) if request.body else {}
        target = request.headers.get("Target-Instance", self._id)
        if target != self._id:
            self._answer(request, life, 421)
            return
        match request.path:
            case "/run-start":
                self._start_run(request, life, body)
            case "/run-stop":
                self._stop_run(request, life, body)
            case "/hold":
                await self._hold(request, life, body)
            case _:
                self._answer(request, life, 404)

    @property
    def _id(self):
        return f"i-{self.name}"

    def _answer(self, request, life, code=200, **fields):
        fields |= {"clockMs": life.clock_ms, "born": life.born}
        send(request, code, fields)

    def _start_run(self, request, life, body):
        key = body["task"], body["run"]
        reason = self._refusal(life, body, key)
        if reason != "fence":
            life.fence = body["fence"]
            if reason in ("", "old"):
                self._extend(life, body["deadlineMs"])
        if reason:
            self._record.add(
                "run-refused", worker=self.name, task=key[0], run=key[1], reason=reason
            )
            self._answer(request, life, 409, reason=reason)
            return
        if key not in life.running:
            spec = json.loads(body["spec"])
            life.running[key] = _Run(life.clock_ms, spec["run_ms"])
            self._record.add(
                "run-started",
                worker=self.name,
                life=life.number,
                task=key[0],
                run=key[1],
                fence=body["fence"],
            )
        self._answer(request, life)

    def _refusal(self, life, body, key):
        if body["fence"] < life.fence:
            return "fence"
        if key in life.running:
            return ""
        if life.over.get(key[0], 0) >= key[1]:
            return "old"
        return "late" if body["deadlineMs"] <= life.clock_ms else ""

    def _extend(self, life, deadline_ms):
        most = life.clock_ms + HOLD_MAX_MS
        life.deadline_ms = max(life.deadline_ms, min(deadline_ms, most))
        life.leased = True

    def _stop_run(self, request, life, body):
        if body["fence"] < life.fence:
            self._answer(request, life, 409, reason="fence")
            return
        life.fence = body["fence"]
        key = body["task"], body["run"]
        life.over[key[0]] = max(life.over.get(key[0], 0), key[1])
        run = life.running.get(key)
        if run is not None and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, life, key, "stopped"
            )
        self._answer(request, life)

    async def _hold(self, request, life, body):
        if body["fence"] < life.fence:
            self._answer(request, life, 409, reason="fence")
            return
        life.fence = body["fence"]
        self._forget(life, body["ackCursor"])
        if "deadlineMs" in body:
            self._extend(life, body["deadlineMs"])
        if body.get("waitMs") and not life.finished:
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await life.changed.wait()
            except TimeoutError:
                pass
        now = life.clock_ms
        running = [[*key, "", run.percent(now)] for key, run in life.running.items()]
        finished = life.finished[:MAX_ENDS]
        self._answer(request, life, running=running, finished=finished)

    def _forget(self, life, cursor):
        for number, task, run, how, _ in life.finished:
            if number <= cursor:
                self._record.add(
                    "end-noted",
                    worker=self.name,
                    life=life.number,
                    task=task,
                    run=run,
                    how=how,
                )
        life.finished = [row for row in life.finished if row[0] > cursor]

    # Work

    async def _work(self, life):
        while True:
            now = life.clock_ms
            for key, run in list(life.running.items()):
                if now > life.deadline_ms:
                    self._end(life, key, "lapsed")
                elif now - run.began >= run.length_ms and not run.stopping:
                    self._end(life, key, "done")
            if life.leased and now > life.deadline_ms:
                life.leased = False
                self._record.add("lease-lapsed", worker=self.name, life=life.number)
            await asyncio.sleep(LOOK_S)

    def _end(self, life, key, how):
        if life.running.pop(key, None) is None:
            return
        life.ends += 1
        life.finished.append([life.ends, *key, how, ""])
        life.over[key[0]] = max(life.over.get(key[0], 0), key[1])
        life.changed.set()
        life.changed = asyncio.Event()
        self._record.add(
            "run-ended",
            worker=self.name,
            life=life.number,
            task=key[0],
            run=key[1],
            how=how,
        )

    async def _beat(self, life):
        client = AsyncHTTPClient()
        host, port = self._address
        await asyncio.sleep(random.uniform(*self._first_heartbeat_s))
        while True:
            life.sequence += 1
            beat = {
                "service": self._service,
                "address": f"{host}:{port}",
                "zone": self._labels[1],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "warmupLeftMs": 0,
                "capacity": {"cpu": self._cpu, "memMb": 65_536, "gpu": 0},
                "labels": self._labels,
                "clockMs": life.clock_ms,
                "seq": life.sequence,
                "born": life.born,
            }
            # The runner may not listen yet, or stand still.
            with contextlib.suppress(OSError, HTTPClientError):
                await client.fetch(
                    f"http://{self._runner}/instances/{self._id}",
                    method="PUT",
                    body=json.dumps(beat),
                    request_timeout=1.0,
                )
                if not life.known:
                    life.known = True
                    self._record.add("worker-known", worker=self.name, life=life.number)
            await asyncio.sleep(HEARTBEAT_S)


async def _close(server: HTTPServer):
    with contextlib.suppress(OSError):
        await server.close_all_connections()
