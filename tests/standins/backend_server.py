"""Stand-in of a backend server: runs tasks under leases, beside an agent."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
import typer
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from banyanwheel_core.models import Announcement

from .history import (
    History,
    LeaveAnnounced,
    TaskFinished,
    TaskStarted,
    TaskStopped,
)
from .serving import (
    FaultsHandler,
    StandInHandler,
    announce_ready,
    bind,
    count_down,
    run_until_terminated,
)

__all__ = ["BackendFaults", "BackendServer", "main"]

DEFAULT_RUN_MS = 100
DEFAULT_LIFETIME_MS = 10_000
ANNOUNCE_RETRY_S = 0.1
ANNOUNCE_TIMEOUT_S = 2.0
LEAVE_GRACE_S = 0.5  # without any task, before a leaving backend server exits
LEAVE_LIMIT_S = 2.0  # for an agent that does not take the word


class BackendFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a backend server; ``close_instead_of_answer`` counts down."""

    fail_all: bool = False
    garbage: bool = False
    never_answer: bool = False
    slow_factor: float = 1.0
    close_instead_of_answer: int = 0


@dataclass(eq=False, slots=True)
class _Run:
    """One task that runs; ``stopped`` is set with ``reason`` if it is cut short."""

    job_id: str
    index: int
    stopped: asyncio.Event = field(default_factory=asyncio.Event)
    reason: str = ""
    lease: asyncio.TimerHandle | None = None

    @property
    def key(self):
        """What the task's requests name it by."""
        return self.job_id, self.index

    def renew(self, lease_ms):
        """Lets the lease last ``lease_ms`` from now."""
        self.release()
        loop = asyncio.get_running_loop()
        self.lease = loop.call_later(lease_ms / 1_000, self.stop, "lease-lapsed")

    def release(self):
        """Ends the lease without stopping the task."""
        if self.lease is not None:
            self.lease.cancel()

    def stop(self, reason):
        """Cuts the task short."""
        self.reason = self.reason or reason
        self.stopped.set()


class BackendServer:
    """The running tasks, the faults, and whether the server is leaving."""

    def __init__(self, name, slots, speed_factor, history):
        self.name = name
        self.faults = BackendFaults()
        self.leaving = asyncio.Event()
        self._slots = slots
        self._speed_factor = speed_factor
        self._history = history
        self._runs = []

    @property
    def running(self):
        """Number of tasks in progress."""
        return len(self._runs)

    @property
    def full(self):
        """Whether every slot is taken."""
        return self.running >= self._slots

    def set_faults(self, faults):
        """Puts faults in force for the tasks that end from now on."""
        self.faults = faults

    def leave(self):
        """Marks the server as leaving."""
        self.leaving.set()

    def record_leave(self):
        """Notes in the history that the agent is being told of the leaving."""
        self._history.record(LeaveAnnounced(process=self.name))

    def renew(self, key, lease_ms):
        """Renews the leases of a task; says whether it still runs."""
        runs = [run for run in self._runs if run.key == key and not run.reason]
        for run in runs:
            run.renew(lease_ms)
        return bool(runs)

    def stop(self, key):
        """Stops a task if it runs."""
        for run in self._runs:
            if run.key == key:
                run.stop("stopped")

    def take_close(self):
        """Says whether this answer is replaced by a closed connection."""
        due, self.faults = count_down(self.faults, "close_instead_of_answer")
        return due

    async def run(self, key, token, run_ms, lease_ms):
        """Runs a task; returns the reason if it was stopped, else an empty text."""
        run = _Run(*key)
        self._runs.append(run)
        self._record(TaskStarted, run, token=token)
        run.renew(lease_ms)
        seconds = run_ms / 1_000 * self._speed_factor * self.faults.slow_factor
        try:
            await asyncio.wait_for(run.stopped.wait(), seconds)
        except TimeoutError:
            self._record(TaskFinished, run)
        else:
            self._record(TaskStopped, run, reason=run.reason)
        finally:
            run.release()
            self._runs.remove(run)
        return run.reason

    def _record(self, kind, run, **fields):
        event = kind(process=self.name, job_id=run.job_id, index=run.index, **fields)
        self._history.record(event)


class _BackendHandler(StandInHandler):
    """Base of the handlers of tasks."""

    def initialize(self, server):
        self._server = server

    def _lease_ms(self):
        try:
            return int(self.request.headers["Lease-Ms"])
        except (KeyError, ValueError):
            self.bad_request("the header Lease-Ms is missing or not a whole number")
            return None


class _TaskHandler(_BackendHandler):
    """``POST`` and ``DELETE /tasks/{job}/{index}``."""

    async def post(self, job_id, index):
        lease_ms = self._lease_ms()
        if lease_ms is None:
            return
        if self.request.headers.get("Idempotency-Key") != f"{job_id}/{index}":
            self.bad_request("the header Idempotency-Key does not name the task")
            return
        try:
            payload = json.loads(self.request.body)
        except ValueError as error:
            self.bad_request(str(error))
            return
        if self._server.full:
            self.set_header("Not-Started", "true")
            self.write_json({"error": "no free slot"}, status=503)
            return
        await self._run((job_id, int(index)), payload, lease_ms)

    def delete(self, job_id, index):
        self._server.stop((job_id, int(index)))
        self.set_status(204)

    async def _run(self, key, payload, lease_ms):
        asked = payload if isinstance(payload, dict) else {}
        failing = self._server.faults.fail_all or asked.get("fail", False)
        run_ms = 0 if self._server.faults.fail_all else asked.get("run_ms")
        run_ms = DEFAULT_RUN_MS if run_ms is None else run_ms
        token = str(asked.get("token", ""))
        stopped = await self._server.run(key, token, run_ms, lease_ms)
        if self._server.faults.never_answer:
            await asyncio.Event().wait()
        if self._server.take_close():
            self.cut()
        elif stopped:
            self.write_json({"error": stopped}, status=410)
        elif failing:
            self.write_json({"error": "the task failed"}, status=500)
        elif self._server.faults.garbage:
            self.finish(b'{"echo": \xff\x00 not JSON')
        else:
            self._answer(key, payload)

    def _answer(self, key, payload):
        job_id, index = key
        self.write_json(
            {
                "echo": payload,
                "worker": self._server.name,
                "job": job_id,
                "index": index,
            }
        )


class _LeaseHandler(_BackendHandler):
    """``PUT /tasks/{job}/{index}/lease``."""

    def put(self, job_id, index):
        lease_ms = self._lease_ms()
        if lease_ms is None:
            return
        renewed = self._server.renew((job_id, int(index)), lease_ms)
        self.set_status(204 if renewed else 410)


class _LeaveHandler(_BackendHandler):
    """``PUT /leave``."""

    def put(self):
        self._server.leave()
        self.set_status(204)


class _Announcer:
    """Keeps telling the agent what this backend server offers."""

    def __init__(self, agent, announcement, server):
        self.leave_taken = asyncio.Event()
        self._agent = agent
        self._announcement = announcement
        self._server = server
        self._client = AsyncHTTPClient()

    async def run(self):
        """Announces until cancelled, and at once when the server leaves."""
        renewal_s = self._announcement.lifetime_ms / 3 / 1_000
        recorded = False
        while True:
            leaving = self._server.leaving.is_set()
            if leaving and not recorded:
                self._server.record_leave()
                recorded = True
            taken = await self._announce(leaving)
            if leaving and taken:
                self.leave_taken.set()
            await self._pause(renewal_s if taken else ANNOUNCE_RETRY_S, leaving)

    async def _announce(self, leaving):
        if not self._agent:
            return True
        word = msgspec.structs.replace(self._announcement, leaving=leaving)
        request = HTTPRequest(
            f"http://{self._agent}/v1/backend",
            method="PUT",
            body=msgspec.json.encode(word),
            headers={"Content-Type": "application/json"},
            connect_timeout=ANNOUNCE_TIMEOUT_S,
            request_timeout=ANNOUNCE_TIMEOUT_S,
        )
        try:
            await self._client.fetch(request)
        except ConnectionRefusedError:
            # A leaving server need not wait for an agent that is gone.
            return leaving
        except (HTTPError, OSError):
            return False
        return True

    async def _pause(self, seconds, leaving):
        if leaving:
            await asyncio.sleep(seconds)
            return
        try:
            await asyncio.wait_for(self._server.leaving.wait(), seconds)
        except TimeoutError:
            return


async def _leave(server, announcer):
    """Returns when the agent knows of the leaving and no task is in progress."""
    server.leave()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(announcer.leave_taken.wait(), LEAVE_LIMIT_S)
    idle_s = 0.0
    while idle_s < LEAVE_GRACE_S:
        await asyncio.sleep(0.05)
        idle_s = 0.0 if server.running else idle_s + 0.05


def _application(server):
    arguments = {"server": server}
    return Application(
        [
            (r"/tasks/([^/]+)/(\d+)", _TaskHandler, arguments),
            (r"/tasks/([^/]+)/(\d+)/lease", _LeaseHandler, arguments),
            (r"/leave", _LeaveHandler, arguments),
            (r"/faults", FaultsHandler, {"service": server}),
        ],
        log_function=lambda handler: None,
    )


def main(
    name: str = "worker",
    agent: str = "",
    history: str = "/dev/null",
    listen: str = "127.0.0.1:0",
    service: Annotated[list[str], typer.Option()] = ("counter",),
    slots: int = 8,
    connections: int = 60,
    memory_mb: int = 65_536,
    accelerators: int = 0,
    lifetime_ms: int = DEFAULT_LIFETIME_MS,
    speed_factor: float = 1.0,
):
    """Serves tasks until SIGTERM, then announces that it leaves and finishes."""

    async def serve(terminated):
        server = BackendServer(name, slots, speed_factor, History(history))
        sockets, address = bind(listen)
        HTTPServer(_application(server)).add_sockets(sockets)
        announcement = Announcement(
            address=address,
            services=tuple(service),
            slots=slots,
            connections=connections,
            memory_mb=memory_mb,
            accelerators=accelerators,
            lifetime_ms=lifetime_ms,
        )
        announcer = _Announcer(agent, announcement, server)
        announcing = asyncio.create_task(announcer.run())
        announce_ready(address)
        await terminated.wait()
        await _leave(server, announcer)
        announcing.cancel()

    run_until_terminated(serve)


if __name__ == "__main__":
    typer.run(main)
