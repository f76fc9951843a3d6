"""Stand-in of a worker of the users' platform: leases, fences and lists."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field
from random import Random

import msgspec
import typer
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.locks import Condition
from tornado.web import Application, Finish

from .history import (
    EndTaken,
    History,
    LeaseLapsed,
    LeaveAnnounced,
    StoodStill,
    TaskEnded,
    TaskStarted,
)
from .serving import (
    FaultsHandler,
    StandInHandler,
    announce_ready,
    bind,
    count_down,
    run_until_terminated,
)

__all__ = ["main"]

HEARTBEAT_S = 0.5
LOOK_S = 0.01
STOOD_STILL_S = 0.1  # told in the history
HOLD_MAX_MS = 1_000
SILENCE_S = 30.0
LATE_S = (2.0, 12.0)  # an unanswered order is carried out so much later
MEMORY_MB = 4_096


class WorkerFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a worker; ``lose_start_answers`` counts down.

    ``hang`` lets runs stand still, ``slow_factor`` takes effect at a start. A lost
    answer is that of a start that was carried out. ``late_share`` of all orders, or
    ``late_stop_share`` of the stops, get no answer and are carried out later; ``seed``
    decides which ones, and when.
    """

    hang: bool = False
    fail_all: bool = False
    slow_factor: float = 1.0
    silent: bool = False
    garbage: bool = False
    lose_start_answers: int = 0
    refuse_starts: bool = False
    late_share: float = 0.0
    late_stop_share: float = 0.0
    seed: int = 0


@dataclass
class Run:
    """One run; times are the worker's clock in ms."""

    began: int
    ends: int
    held_up_ms: int = 0

    def percent(self, now):
        length = max(1, self.ends - self.began)
        return max(0, min(100, 100 * (now - self.began - self.held_up_ms) // length))


@dataclass
class Worker:
    """The runs of one life of a worker; times are its clock's ms."""

    name: str
    task_ms: int
    history: History | None
    cpu: int = 4_000
    label: str = "a"
    faults: WorkerFaults = WorkerFaults()
    fence: int = 0
    deadline_ms: int = 0
    running: dict = field(default_factory=dict)  # Run by (task, run)
    finished: list = field(default_factory=list)
    over: dict = field(default_factory=dict)
    starts: list = field(default_factory=list)
    number: int = 0
    draining: bool = False
    leave_told: bool = False
    lapsed: bool = True
    settled_at: int = 0
    changed: Condition = field(default_factory=Condition)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    began: float = field(default_factory=time.monotonic)
    random: Random = field(default_factory=Random)

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def set_faults(self, faults):
        self.faults = faults
        self.random.seed(f"{faults.seed}-{self.name}")

    def late_s(self, order):
        """Returns how much later an order is carried out without an answer, or 0."""
        share = self.faults.late_share
        if order == self.stop:
            share = max(share, self.faults.late_stop_share)
        return self.random.uniform(*LATE_S) if self.random.random() < share else 0.0

    def record(self, kind, *key, **fields):
        if self.history is not None:
            task = dict(zip(("task", "run"), key, strict=False))
            self.history.record(kind(process=self.name, **task, **fields))

    def extend(self, deadline_ms):
        most = self.clock_ms + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most))
        if self.deadline_ms > self.clock_ms:
            self.lapsed = False

    def settle(self):
        now = self.clock_ms
        if not self.lapsed and self.deadline_ms < now:
            self.lapsed = True
            self.record(LeaseLapsed, at=self.time_of(self.deadline_ms))
        for key, run in list(self.running.items()):
            if self.faults.hang:
                run.held_up_ms += now - max(self.settled_at, run.began)
            ends = run.ends + run.held_up_ms
            if self.lapsed and self.deadline_ms < ends:
                self.end(key, "lapsed", self.deadline_ms)
            elif ends <= now:
                self.end(key, "failed" if self.faults.fail_all else "done", ends)
        self.settled_at = now

    def time_of(self, clock_ms):
        """Returns the time of a reading of its clock that has passed."""
        return min(time.monotonic(), self.began + clock_ms / 1000)

    def end(self, key, how, ended_ms):
        del self.running[key]
        self.number += 1
        self.finished.append([self.number, *key, how, ""])
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        self.record(TaskEnded, *key, how=how, at=self.time_of(ended_ms))
        self.changed.notify_all()

    def take(self, cursor):
        """Forgets the ends up to the cursor."""
        for number, task, run, how, _ in self.finished:
            if number <= cursor:
                self.record(EndTaken, task, run, how=how)
        self.finished = [row for row in self.finished if row[0] > cursor]

    def obey(self, order, body):
        """Carries out an order; what is over by then has ended before."""
        self.settle()
        return order(body)

    # Orders; they return (status, reason).

    def start(self, body):
        task, run = body["task"], body["run"]
        if self.faults.refuse_starts:
            return 503, ""
        if body["fence"] < self.fence:
            return 409, "fence"
        self.fence = body["fence"]
        if (task, run) in self.running:
            return 200, ""
        if self.over.get(task, 0) >= run:
            return 409, "old"
        if body["deadlineMs"] <= self.clock_ms:
            return 409, "late"
        self.extend(body["deadlineMs"])
        now = self.clock_ms
        length = round(self.length_ms(body["spec"]) * self.faults.slow_factor)
        self.running[task, run] = Run(now, now + length)
        self.starts.append([task, run])
        self.record(TaskStarted, task, run)
        return 200, ""

    def stop(self, body):
        key = (body["task"], body["run"])
        if body["fence"] >= self.fence:
            self.fence = body["fence"]
            self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
            if key in self.running:
                self.end(key, "stopped", self.clock_ms)
        return 200, ""

    def hold(self, body):
        if body["fence"] < self.fence:
            return 409, "fence"
        self.fence = body["fence"]
        self.take(body["ackCursor"])
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        return 200, ""

    def length_ms(self, spec):
        """Reads the run time out of a spec such as ``{"run_ms": 50}``."""
        with contextlib.suppress(msgspec.MsgspecError):
            return msgspec.json.decode(spec, type=dict).get("run_ms", self.task_ms)
        return self.task_ms


class Handler(StandInHandler):
    def initialize(self, worker):
        self.worker = worker

    async def prepare(self):
        if self.worker.faults.silent:
            await asyncio.sleep(SILENCE_S)
            self.cut()
        elif self.worker.faults.garbage:
            self.finish(b"\xff{")

    def answer(self, status=200, **fields):
        worker = self.worker
        fields |= {"clockMs": worker.clock_ms, "born": worker.born}
        self.write_json(fields, status)

    def body(self):
        return msgspec.json.decode(self.request.body)

    async def carry_out(self, order):
        """Carries out an order, which may happen late and without an answer."""
        delay_s = self.worker.late_s(order)
        if not delay_s:
            return self.worker.obey(order, self.body())
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.worker.obey, order, self.body())
        await asyncio.sleep(SILENCE_S)
        self.cut()
        raise Finish


class Start(Handler):
    async def post(self):
        status, reason = await self.carry_out(self.worker.start)
        lost, self.worker.faults = count_down(self.worker.faults, "lose_start_answers")
        if lost:
            self.cut()
        else:
            self.answer(status, reason=reason)


class Stop(Handler):
    async def post(self):
        await self.carry_out(self.worker.stop)
        self.answer()


class Hold(Handler):
    async def post(self):
        worker, body = self.worker, self.body()
        status, reason = await self.carry_out(worker.hold)
        if status != 200:
            self.answer(status, reason=reason)
            return
        if body.get("waitMs") and not worker.finished:
            await worker.changed.wait(timeout=time.time() + body["waitMs"] / 1000)
        now = worker.clock_ms
        running = [[*key, "", run.percent(now)] for key, run in worker.running.items()]
        self.answer(running=running, finished=worker.finished)


class Leave(StandInHandler):
    """Not the platform's: has the worker say that it leaves."""

    def initialize(self, worker):
        self.worker = worker

    def put(self):
        self.worker.draining = True
        self.write_json({})


async def _beat(worker, address, runner, delay_s):
    client, sequence = AsyncHTTPClient(), 0
    await asyncio.sleep(delay_s)
    while True:
        sequence += 1
        draining = worker.draining
        beat = {
            "service": "desk",
            "address": address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if draining else "ready",
            "warmupLeftMs": 0,
            "capacity": {"cpu": worker.cpu, "memMb": MEMORY_MB, "gpu": 0},
            "labels": [worker.label, "r-1"],
            "clockMs": worker.clock_ms,
            "seq": sequence,
            "born": worker.born,
        }
        # The runner may not listen yet, or stand still.
        with contextlib.suppress(OSError, HTTPClientError):
            response = await client.fetch(
                f"http://{runner}/instances/i-{worker.name}",
                method="PUT",
                body=msgspec.json.encode(beat),
                raise_error=False,
                request_timeout=1.0,
            )
            if response.code == 200 and draining and not worker.leave_told:
                worker.leave_told = True
                worker.record(LeaveAnnounced)
        await asyncio.sleep(HEARTBEAT_S)


async def _settle(worker):
    looked_at, used_s = time.monotonic(), time.process_time()
    while True:
        seconds = time.monotonic() - looked_at
        processor_s = time.process_time() - used_s
        if seconds > STOOD_STILL_S:
            worker.record(StoodStill, seconds=seconds, processor_s=processor_s)
        looked_at, used_s = time.monotonic(), time.process_time()
        worker.settle()
        await asyncio.sleep(LOOK_S)


def main(
    runner: str = typer.Option(),
    name: str = "worker-1",
    task_ms: int = 100,
    history: str = "",
    listen: str = "127.0.0.1:0",
    first_heartbeat_ms: int = 0,
    cpu: int = 4_000,
    label: str = "a",
):
    """Serves a worker whose heartbeats go to ``runner``.

    The first one is sent ``first_heartbeat_ms`` after the start.
    """

    async def serve(terminated):
        written = History(history) if history else None
        worker = Worker(name, task_ms, written, cpu, label)
        options = {"worker": worker}
        routes = [
            ("/run-start", Start, options),
            ("/run-stop", Stop, options),
            ("/hold", Hold, options),
            ("/leave", Leave, options),
            ("/faults", FaultsHandler, {"service": worker}),
        ]
        sockets, address = bind(listen)
        application = Application(routes, log_function=lambda handler: None)
        HTTPServer(application).add_sockets(sockets)
        announce_ready(address)
        loops = [
            asyncio.create_task(
                _beat(worker, address, runner, first_heartbeat_ms / 1000)
            ),
            asyncio.create_task(_settle(worker)),
        ]
        await terminated.wait()
        for loop in loops:
            loop.cancel()

    run_until_terminated(serve)


if __name__ == "__main__":
    typer.run(main)
