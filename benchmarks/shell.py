"""Processor time of the transport, the entry's HTTP side and the backend client.

Each case runs against a child process on 127.0.0.1 and prints one line of JSON.
Times are microseconds of processor time, of user and system together.
"""

import asyncio
import os
import resource
import subprocess
import sys
import time
from contextlib import contextmanager

import msgspec
import typer
from tornado.httpserver import HTTPServer
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from banyanwheel_core.effects import Peer
from banyanwheel_core.messages import (
    Load,
    StartTasks,
    TaskResult,
    TaskResults,
    TaskStart,
)
from banyanwheel_core.models import Answer, JobState, TaskOutcome
from banyanwheel_daemon.backend import BackendClient, NumericResolver
from banyanwheel_daemon.transport import Transport
from banyanwheel_daemon.web import WebServer, make_application

JOB_ID = "gulf-1.0123456789abcdef.1.1"
ECHO = Peer("echo", "00000000000000ec")
DRIVER = Peer("driver", "00000000000000d1")
PAYLOAD = msgspec.Raw(b'{"bike": "xl-883", "dealer": 4711}')
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@contextmanager
def child(kind):
    """Runs ``benchmarks.shell serve-<kind>``; yields its process and address."""
    arguments = [sys.executable, "-m", "benchmarks.shell", f"serve-{kind}"]
    process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
    try:
        yield process, process.stdout.readline().strip()
    finally:
        process.terminate()
        process.wait()


def child_seconds(process):
    with open(f"/proc/{process.pid}/stat") as stream:
        fields = stream.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def report(case, **figures):
    rounded = {
        name: round(value, 1) if isinstance(value, float) else value
        for name, value in figures.items()
    }
    print(msgspec.json.encode({"case": case, **rounded}).decode(), flush=True)


async def spread(total, in_flight, work):
    """Awaits ``work()`` ``total`` times, ``in_flight`` at once."""

    async def repeat(count):
        for _ in range(count):
            await work()

    await asyncio.gather(*(repeat(total // in_flight) for _ in range(in_flight)))


async def measure(case, process, total, in_flight, work):
    await spread(total // 10, in_flight, work)
    served, used, began = child_seconds(process), time.process_time(), time.monotonic()
    await spread(total, in_flight, work)
    report(
        case,
        in_flight=in_flight,
        total=total,
        wall_us_each=(time.monotonic() - began) / total * 1e6,
        driver_us_each=(time.process_time() - used) / total * 1e6,
        child_us_each=(child_seconds(process) - served) / total * 1e6,
    )


# Transport: StartTasks of one task out, TaskResults of one task back.


@app.command()
def serve_echo():
    """Answers each start with a result, as an executor does."""

    async def main():
        def receive(envelope):
            peer = Peer(envelope.sender, envelope.incarnation)
            for message in envelope.messages:
                results = tuple(
                    TaskResult(task.job_id, task.index, TaskOutcome.DONE, task.task)
                    for task in message.tasks
                )
                answer = TaskResults(results)
                transport.send(peer, None, answer, configuration=7, load=Load(3, 40))

        transport = Transport(ECHO.name, ECHO.incarnation, "127.0.0.1:0", receive)
        print(transport.address, flush=True)
        await asyncio.Event().wait()

    asyncio.run(main())


class Driver:
    """Sends a start and waits for its result."""

    def __init__(self, address, clock=time.monotonic):
        self._address = address
        self._waiting = {}
        self._index = 0
        self.transport = Transport(
            DRIVER.name, DRIVER.incarnation, "127.0.0.1:0", self._receive, clock=clock
        )

    async def __call__(self):
        self._index += 1
        future = self._waiting[self._index] = asyncio.get_running_loop().create_future()
        task = TaskStart(JOB_ID, self._index, PAYLOAD, 100, 9_000)
        self.transport.send(
            ECHO,
            self._address,
            StartTasks(self._index, (task,)),
            configuration=7,
        )
        await future

    def _receive(self, envelope):
        for message in envelope.messages:
            for result in message.results:
                self._waiting.pop(result.index).set_result(None)


@app.command()
def transport(total: int = 40_000):
    """Round trips of one message each way."""

    async def main(process, address):
        driver = Driver(address)
        for in_flight in (1, 64):
            await measure("transport", process, total, in_flight, driver)
        counts = driver.transport.counts
        report(
            "transport-bytes",
            bytes_out_each=counts.bytes_out / counts.messages_out,
            envelopes_out=counts.envelopes_out,
            messages_out=counts.messages_out,
        )
        driver.transport.close()

    with child("echo") as (process, address):
        asyncio.run(main(process, address))


@app.command()
def serve_peers():
    """Takes connections, as a peer that many others write to."""

    async def main():
        transport = Transport("peers", "2", "127.0.0.1:0", lambda envelope: None)
        print(transport.address, flush=True)
        await asyncio.Event().wait()

    raise_open_files()
    asyncio.run(main())


@app.command()
def connections(count: int = 690, settle_seconds: float = 5.0):
    """Resident memory for ``count`` connections, at the end that opened them
    (``driver``) and at the other (``child``).
    """

    async def main(process, address):
        mine = Transport("mine", "1", "127.0.0.1:0", lambda envelope: None)
        before = resident_kb("self"), resident_kb(process.pid)
        for number in range(count):
            peer = Peer(f"worker-{number}", "2")
            mine.send(peer, address, PING, configuration=0)
        await asyncio.sleep(settle_seconds)
        report(
            "connections",
            count=mine.connections,
            driver_kb_each=(resident_kb("self") - before[0]) / count,
            child_kb_each=(resident_kb(process.pid) - before[1]) / count,
        )
        mine.close()

    raise_open_files()
    with child("peers") as (process, address):
        asyncio.run(main(process, address))


PING = StartTasks(1, ())


def resident_kb(pid):
    with open(f"/proc/{pid}/statm") as stream:
        return int(stream.read().split()[1]) * PAGE_BYTES / 1024


def raise_open_files():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


# Entry: HTTP in front of a desk that answers at once.


class InstantDesk:
    """Answers every job at once."""

    ready = True

    async def submit(self, job_id, spec, fingerprint):
        results = tuple(PAYLOAD for _ in spec.tasks)
        return Answer(job_id, JobState.COMPLETE, results, workers=("gulf-1",))


@app.command()
def serve_entry():
    """Serves callers in front of an instant desk."""

    async def main():
        server = WebServer(make_application(InstantDesk(), bytes))
        server.listen("127.0.0.1", 0)
        print(server.addresses[0], flush=True)
        await asyncio.Event().wait()

    asyncio.run(main())


class Caller:
    """Puts one submission again and again, on kept connections or fresh ones."""

    def __init__(self, address, tasks, kept):
        self._host, port = address.split(":")
        self._port = int(port)
        self._kept = kept
        self._idle = []
        spec = {"service": "counter", "subsidiary": "magnolia", "kind": "price"}
        spec["tasks"] = [{"payload": PAYLOAD} for _ in range(tasks)]
        body = msgspec.json.encode(spec)
        head = (
            f"PUT /v1/jobs/{JOB_ID} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._request = head.encode() + body

    async def __call__(self):
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self._host, self._port)
        writer.write(self._request)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        await reader.readexactly(length)
        if self._kept:
            self._idle.append((reader, writer))
        else:
            writer.close()


@app.command()
def entry(total: int = 10_000):
    """Requests at the entry; ``child_us_each`` is the entry's processor time."""

    async def main(process, address):
        for tasks, kept, in_flight in (
            (1, True, 1),
            (1, True, 16),
            (1, False, 16),
            (20, True, 16),
            (260, True, 16),
        ):
            caller = Caller(address, tasks, kept)
            case = f"entry-{tasks}-tasks-{'kept' if kept else 'fresh'}-connections"
            count = total if tasks < 100 else total // 5
            await measure(case, process, count, in_flight, caller)

    with child("entry") as (process, address):
        asyncio.run(main(process, address))


# Backend client.


class EchoHandler(RequestHandler):
    """Gives the payload back."""

    def post(self):
        self.set_header("Content-Type", "application/json")
        self.finish(self.request.body)


@app.command()
def serve_backend():
    """Runs tasks that take no time."""

    async def main():
        server = HTTPServer(
            Application([(r".*", EchoHandler)], log_function=lambda handler: None)
        )
        socket, port = bind_unused_port()
        server.add_sockets([socket])
        print(f"127.0.0.1:{port}", flush=True)
        await asyncio.Event().wait()

    asyncio.run(main())


@app.command()
def backend(total: int = 6_000):
    """Tasks on the backend server; ``driver_us_each`` is the agent's part."""

    async def main(process, address):
        client = BackendClient(address, 60, lease_ms=2_000)
        host, port = address.split(":")
        connector = TCPClient(NumericResolver())

        async def run():
            result = await client.run(TaskStart(JOB_ID, 1, PAYLOAD, 100, 9_000))
            assert result.outcome is TaskOutcome.DONE, result

        async def connect():
            stream = await connector.connect(host, int(port))
            stream.close()

        for in_flight in (1, 8):
            await measure("backend-run", process, total, in_flight, run)
            await measure("backend-connect-only", process, total, in_flight, connect)

    with child("backend") as (process, address):
        asyncio.run(main(process, address))


if __name__ == "__main__":
    app()
