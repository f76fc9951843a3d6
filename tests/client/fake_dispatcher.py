"""A dispatcher over real HTTP that counts what it is handed and can misbehave."""

import asyncio
import io
import socket
import threading
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from banyanwheel_client.context import Environment

JOB = '{"queue": "counter", "steps": [{}]}'
JOB_ID = "5c0e7a21d94b36f8"
CONFIGURATION = (
    '{"queues": [{"name": "q", "host": "h", "prefix": "/p/", "service": "s"}]}'
)


@dataclass
class Jobs:
    """What all dispatchers of a test share: the one owner's view."""

    bodies: dict = field(default_factory=dict)
    puts: list = field(default_factory=list)
    commands: list = field(default_factory=list)
    states: list = field(default_factory=list)  # told by questions, in order

    @property
    def job_id(self):
        (job_id,) = self.bodies
        return job_id


def refusal(reason, outcome, status=503, retry_after_ms=0):
    """A handler function that answers with a problem document."""

    def answer(handler):
        handler.set_status(status)
        handler.set_header("Content-Type", "application/problem+json")
        body = {"title": reason, "reason": reason, "outcome": outcome, "detail": "why"}
        handler.finish(body | {"retry_after_ms": retry_after_ms})

    return answer


async def cut(handler):
    """Closes the connection without an answer."""
    handler.detach().close()


async def hang(handler):
    """Gives no answer for longer than any client of these tests waits."""
    await asyncio.sleep(30)


class FakeDispatcher:
    """Serves the operators' interface; ``faults`` are used up by its requests.

    A fault of ``after`` applies once the job was taken, one of ``before`` instead.
    """

    def __init__(self, jobs, before=(), after=(), rows=(), stored=False):
        self.jobs = jobs
        self.before = list(before)
        self.after = list(after)
        self.rows = rows
        self.stored = stored
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
            ("/v1/jobs/(.*)", _Job, {"dispatcher": self}),
            ("/v1/commands", _Commands, {"dispatcher": self}),
            ("/v1/where", _Commands, {"dispatcher": self}),
        ]
        server = HTTPServer(Application(routes, log_function=lambda handler: None))
        server.add_sockets(sockets)
        await self._stopped.wait()
        server.stop()

    def close(self):
        self._loop.call_soon_threadsafe(self._stopped.set)
        self._thread.join()
        self._loop.close()


class _Handler(RequestHandler):
    def initialize(self, dispatcher):
        self.dispatcher = dispatcher

    async def misbehave(self, faults):
        fault = faults.pop(0) if faults else None
        if fault is None:
            return False
        result = fault(self)
        if result is not None:
            await result
        return True


class _Job(_Handler):
    async def put(self, job_id):
        dispatcher = self.dispatcher
        dispatcher.jobs.puts.append(job_id)
        if await self.misbehave(dispatcher.before):
            return
        dispatcher.jobs.bodies.setdefault(job_id, self.request.body)
        if await self.misbehave(dispatcher.after):
            return
        state = "queued" if dispatcher.stored else "completed"
        self.set_status(202 if dispatcher.stored else 200)
        self.finish({"id": job_id, "state": state})

    async def get(self, job_id):
        self.finish({"id": job_id, "state": self.dispatcher.jobs.states.pop(0)})


class _Commands(_Handler):
    async def post(self):
        if await self.misbehave(self.dispatcher.before):
            return
        self.dispatcher.jobs.commands.append(self.request.body.decode())
        if not await self.misbehave(self.dispatcher.after):
            self.set_header("Content-Type", "application/x-ndjson")
            self.finish("".join(row + "\n" for row in self.dispatcher.rows))


def dead_url():
    """A URL at which nothing listens."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{listener.getsockname()[1]}"


def environment(directory, stdin="", terminal=False, **variables):
    """An environment whose streams a test can read."""
    streams = (io.StringIO(stdin), io.StringIO(), io.StringIO())
    return Environment(*streams, directory, terminal, variables)
