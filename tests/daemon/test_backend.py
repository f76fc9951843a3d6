import asyncio
import socket
from contextlib import closing

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from banyanwheel_core.messages import TaskStart
from banyanwheel_core.models import Announcement, Reason, TaskOutcome
from banyanwheel_daemon.announcements import make_application
from banyanwheel_daemon.backend import BackendClient

HANG_SECONDS = 20
LONG_LEASE_MS = 60_000
TASK = TaskStart("gulf-1.0000000000000001.1.1", 3, msgspec.Raw(b'{"a": 1}'), 100, 9_000)


class Server:
    """A backend server whose answers a test scripts."""

    def __init__(self):
        self.requests = []
        self.answer = self.echo
        self.lease_status = 204
        self.arrived = asyncio.Event()
        self.released = asyncio.Event()
        sock, port = bind_unused_port()
        self.address = f"127.0.0.1:{port}"
        self._http = HTTPServer(Application([(r"(.*)", _Handler, {"server": self})]))
        self._http.add_sockets([sock])

    def count(self, method):
        return sum(request.method == method for request in self.requests)

    def echo(self, handler):
        handler.finish(handler.request.body)

    async def close(self):
        self._http.stop()
        await self._http.close_all_connections()


class _Handler(RequestHandler):
    def initialize(self, server):
        self._server = server

    def prepare(self):
        self._server.requests.append(self.request)
        self._server.arrived.set()

    async def post(self, path):
        answering = self._server.answer(self)
        if answering is not None:
            await answering

    def put(self, path):
        self.set_status(self._server.lease_status)

    def delete(self, path):
        self.set_status(204)


class Clock:
    """Monotonic seconds that a test moves."""

    def __init__(self):
        self.now = 1_000.0

    def __call__(self):
        return self.now


def run(scenario, lease_ms=LONG_LEASE_MS, **options):
    async def main():
        server = Server()
        client = BackendClient(server.address, 10, lease_ms=lease_ms, **options)
        try:
            async with asyncio.timeout(HANG_SECONDS):
                await scenario(server, client)
        finally:
            server.released.set()
            client.close()
            await server.close()

    asyncio.run(main())


def outcome_of(answer, lease_ms=LONG_LEASE_MS, task=TASK, **options):
    """Returns the result of one task, sent once."""
    results = []

    async def scenario(server, client):
        server.answer = answer
        results.append(await client.run(task))
        assert server.count("POST") == 1

    run(scenario, lease_ms, **options)
    return results[0]


def reply(status, body=b"", **headers):
    def answer(handler):
        handler.set_status(status)
        for name, value in headers.items():
            handler.set_header(name.replace("_", "-"), value)
        if body is not None:
            handler.write(body)

    return answer


def raw_reply(data):
    """Writes bytes in place of an HTTP answer and closes the connection."""

    async def answer(handler):
        stream = handler.detach()
        if data:
            await stream.write(data)
        stream.close()

    return answer


def test_a_task_is_sent_once_with_its_key_and_lease():
    async def scenario(server, client):
        result = await client.run(TASK)
        (request,) = server.requests
        assert request.uri == f"/tasks/{TASK.job_id}/3"
        assert request.headers["Idempotency-Key"] == f"{TASK.job_id}/3"
        assert request.headers["Lease-Ms"] == str(LONG_LEASE_MS)
        assert request.headers["Content-Type"] == "application/json"
        assert result.outcome is TaskOutcome.DONE
        assert bytes(result.body) == bytes(TASK.task) == request.body

    run(scenario)


@pytest.mark.parametrize(
    ("answer", "outcome", "reason"),
    [
        (reply(200, b"{not json"), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (reply(200, b'"\xff"'), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (reply(204, None), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (reply(307, Location="/x"), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (reply(422, b"no"), TaskOutcome.FAILED, Reason.TASK_FAILED),
        (reply(500), TaskOutcome.FAILED, Reason.TASK_FAILED),
        (reply(503), TaskOutcome.FAILED, Reason.TASK_FAILED),
        (reply(410), TaskOutcome.UNKNOWN, Reason.LEASE_LAPSED),
        (
            reply(503, Not_Started="true"),
            TaskOutcome.NOT_STARTED,
            Reason.CONNECT_FAILED,
        ),
        (raw_reply(b""), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (raw_reply(b"HTTP/1.1 2"), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (raw_reply(b"garbage\r\n\r\n"), TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN),
        (
            raw_reply(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12"),
            TaskOutcome.UNKNOWN,
            Reason.OUTCOME_UNKNOWN,
        ),
        (
            raw_reply(b"HTTP/1.1 200 OK\r\n\r\n12"),
            TaskOutcome.UNKNOWN,
            Reason.OUTCOME_UNKNOWN,
        ),
        (
            raw_reply(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n"
            ),
            TaskOutcome.UNKNOWN,
            Reason.OUTCOME_UNKNOWN,
        ),
    ],
)
def test_each_kind_of_answer_tells_what_is_known(answer, outcome, reason):
    result = outcome_of(answer)
    assert (result.outcome, result.reason) == (outcome, reason)


def test_the_text_of_a_failure_is_kept_as_a_json_string():
    result = outcome_of(reply(500, b'out of "stock"'))
    assert msgspec.json.decode(result.body) == 'out of "stock"'


def test_a_refused_connection_means_not_started():
    with closing(socket.socket()) as bound:
        bound.bind(("127.0.0.1", 0))  # never listens

        async def main():
            address = f"127.0.0.1:{bound.getsockname()[1]}"
            return await BackendClient(address, 10, lease_ms=1_000).run(TASK)

        result = asyncio.run(main())
    assert result.outcome is TaskOutcome.NOT_STARTED
    assert result.reason is Reason.CONNECT_FAILED


def test_no_free_connection_in_time_means_not_started():
    async def scenario(server, client):
        async def wait(handler):
            await server.released.wait()

        server.answer = wait
        held = asyncio.ensure_future(client.run(TASK))
        await server.arrived.wait()
        queued = await client.run(TASK)  # its only connection is taken
        assert queued.outcome is TaskOutcome.NOT_STARTED
        server.released.set()
        assert (await held).outcome is not TaskOutcome.NOT_STARTED
        assert server.count("POST") == 1

    async def main():
        server = Server()
        client = BackendClient(
            server.address, 1, lease_ms=LONG_LEASE_MS, connect_timeout=0.05
        )
        await scenario(server, client)
        await server.close()

    asyncio.run(main())


def test_silence_after_the_request_means_unknown():
    async def scenario(server, client):
        async def wait(handler):
            await server.released.wait()

        server.answer = wait
        task = msgspec.structs.replace(TASK, remaining_ms=1)
        result = await client.run(task)
        assert result.outcome is TaskOutcome.UNKNOWN
        assert result.reason is Reason.OUTCOME_UNKNOWN
        assert server.count("POST") == 1

    run(scenario, allowance_ms=20)


def test_a_lease_is_renewed_while_the_task_runs():
    async def scenario(server, client):
        async def wait(handler):
            while server.count("PUT") < 4:
                await asyncio.sleep(0.005)
            handler.finish(b"7")

        server.answer = wait
        result = await client.run(TASK)
        assert result.outcome is TaskOutcome.DONE
        renewal = next(r for r in server.requests if r.method == "PUT")
        assert renewal.uri == f"/tasks/{TASK.job_id}/3/lease"
        assert renewal.headers["Lease-Ms"] == "600"

    run(scenario, lease_ms=600)


def test_a_lease_that_the_backend_server_let_go_means_unknown():
    async def scenario(server, client):
        async def wait(handler):
            await server.released.wait()

        server.answer = wait
        server.lease_status = 410
        result = await client.run(TASK)
        assert result.outcome is TaskOutcome.UNKNOWN
        assert result.reason is Reason.LEASE_LAPSED

    run(scenario, lease_ms=60)


def test_an_answer_after_a_pause_longer_than_the_lease_means_unknown():
    clock = Clock()

    async def scenario(server, client):
        def answer(handler):
            clock.now += LONG_LEASE_MS / 1000  # the agent slept, the answer waited
            handler.finish(b"7")

        server.answer = answer
        result = await client.run(TASK)
        assert result.outcome is TaskOutcome.UNKNOWN
        assert result.reason is Reason.LEASE_LAPSED

    run(scenario, clock=clock)


def test_a_task_is_stopped_by_its_name():
    async def scenario(server, client):
        await client.stop(TASK.job_id, TASK.index)
        (request,) = server.requests
        assert (request.method, request.uri) == ("DELETE", f"/tasks/{TASK.job_id}/3")

    run(scenario)


def announce(body):
    """Puts a body to an agent's endpoint; returns its answer and what it took."""
    taken = []

    async def main():
        application = make_application("gulf-1", taken.append, lambda: True, bytes)
        server = HTTPServer(application)
        sock, port = bind_unused_port()
        server.add_sockets([sock])
        response = await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{port}/v1/backend",
            method="PUT",
            headers={"Content-Type": "application/json"},
            body=body,
            raise_error=False,
        )
        server.stop()
        await server.close_all_connections()
        return response

    response = asyncio.run(main())
    return response.code, msgspec.json.decode(response.body), taken


def test_a_backend_server_is_told_when_to_announce_itself_again():
    announcement = Announcement("127.0.0.1:80", ("counter",), 8, lifetime_ms=9_000)
    status, answer, taken = announce(msgspec.json.encode(announcement))
    assert (status, taken) == (200, [announcement])
    assert answer == {"worker": "gulf-1", "renew_within_ms": 3_000}


def test_every_fault_of_an_announcement_is_told_with_its_place():
    body = b'{"address": "here", "services": ["counter"], "slots": 0, "slot": 1}'
    status, answer, taken = announce(body)
    assert (status, taken) == (400, [])
    places = [finding["place"] for finding in answer["findings"]]
    assert sorted(places) == ["address", "slot", "slots"]
