"""An entry over real HTTP that counts what it runs and can misbehave."""

import asyncio
import io
import socket
import threading
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from banyanwheel_client.context import Environment

IMPATIENT_S = 0.05
JOB_ID = "gulf-1.0123456789abcdef.1.{}"
JOB = '{"service": "counter", "subsidiary": "south", "kind": "price", "tasks": [{}]}'


@dataclass
class Jobs:
    """What all entries of a test share: the one coordinator's view."""

    issued: int = 0
    bodies: dict = field(default_factory=dict)
    puts: list = field(default_factory=list)
    commands: list = field(default_factory=list)


def refusal(reason, outcome, status=503, **headers):
    """A handler function that answers with a problem document."""

    def answer(handler):
        handler.set_status(status)
        handler.set_header("Content-Type", "application/problem+json")
        for name, value in headers.items():
            handler.set_header(name.replace("_", "-"), value)
        body = {"title": reason, "reason": reason, "outcome": outcome, "detail": "why"}
        handler.finish(body)

    return answer


async def cut(handler):
    """Closes the connection without an answer."""
    handler.detach().close()


async def hang(handler):
    """Gives no answer for longer than any client of these tests waits."""
    await asyncio.sleep(30)


async def dawdle(handler):
    """Gives its answer after a while, longer than ``IMPATIENT_S``."""
    await asyncio.sleep(10 * IMPATIENT_S)
    handler.finish()


class FakeEntry:
    """Serves the callers' interface; ``faults`` are used up by its requests.

    A fault of ``after`` applies once the job has run, one of ``before`` instead.
    """

    def __init__(self, jobs, ids=(), before=(), after=(), rows=()):
        self.jobs = jobs
        self.ids = list(ids)
        self.before = list(before)
        self.after = list(after)
        self.rows = rows
        sockets = bind_sockets(0, "127.0.0.1")
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        self._loop = asyncio.new_event_loop()
        self._stopped = asyncio.Event()
        self._thread = threading.Thread(
            target=self._loop.run_until_complete, args=(self._serve(sockets),)
        )
        self._thread.start()

    async def _serve(self, sockets):
        routes = [
            ("/v1/job-ids", _Ids, {"entry": self}),
            ("/v1/jobs/(.*)", _Job, {"entry": self}),
            ("/v1/commands", _Commands, {"entry": self}),
        ]
        server = HTTPServer(Application(routes))
        server.add_sockets(sockets)
        await self._stopped.wait()
        server.stop()

    def close(self):
        self._loop.call_soon_threadsafe(self._stopped.set)
        self._thread.join()
        self._loop.close()


class _Handler(RequestHandler):
    def initialize(self, entry):
        self.entry = entry

    async def misbehave(self, faults):
        fault = faults.pop(0) if faults else None
        if fault is None:
            return False
        result = fault(self)
        if result is not None:
            await result
        return True


class _Ids(_Handler):
    async def post(self):
        if await self.misbehave(self.entry.ids):
            return
        self.entry.jobs.issued += 1
        self.write({"ids": [JOB_ID.format(self.entry.jobs.issued)]})


class _Job(_Handler):
    async def put(self, job_id):
        self.entry.jobs.puts.append(job_id)
        if await self.misbehave(self.entry.before):
            return
        self.entry.jobs.bodies.setdefault(job_id, self.request.body)
        if not await self.misbehave(self.entry.after):
            answer = {"id": job_id, "state": "complete", "results": [{"price": 7}]}
            self.finish(answer)


class _Commands(_Handler):
    async def post(self):
        if await self.misbehave(self.entry.before):
            return
        self.entry.jobs.commands.append(self.request.body.decode())
        if not await self.misbehave(self.entry.after):
            self.set_header("Content-Type", "application/x-ndjson")
            self.finish("".join(row + "\n" for row in self.entry.rows))


def dead_url():
    """A URL at which nothing listens."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{listener.getsockname()[1]}"


def environment(directory, stdin="", terminal=False, **variables):
    """An environment whose streams a test can read."""
    streams = (io.StringIO(stdin), io.StringIO(), io.StringIO())
    return Environment(*streams, directory, terminal, variables)
