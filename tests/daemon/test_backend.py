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
from banyanwheel_daemon.backend import BackendClient
from banyanwheel_daemon.backend_endpoint import make_application
from banyanwheel_daemon.web import WebServer

HANG_SECONDS = 20
LONG_LEASE_MS = 60_000
TASK = TaskStart("gulf-1.0000000000000001.1.1", 3, msgspec.Raw(b'{"a": 1}'), 100, 9_000)
PATH = f"/tasks/{TASK.job_id}/3"
UNKNOWN = (TaskOutcome.UNKNOWN, Reason.OUTCOME_UNKNOWN)
LAPSED = (TaskOutcome.UNKNOWN, Reason.LEASE_LAPSED)
FAILED = (TaskOutcome.FAILED, Reason.TASK_FAILED)
NOT_STARTED = (TaskOutcome.NOT_STARTED, Reason.CONNECT_FAILED)
DONE = (TaskOutcome.DONE, None)


class Server:
    """A backend server whose answers a test scripts."""

    def __init__(self):
        self.requests = []
        self.answer = echo
        self.lease_status = 204
        self.arrived = asyncio.Event()
        self.released = asyncio.Event()
        sock, port = bind_unused_port()
        self.address = f"127.0.0.1:{port}"
        self.http = HTTPServer(Application([(r".*", _Handler, {"server": self})]))
        self.http.add_sockets([sock])

    def count(self, method):
        return sum(request.method == method for request in self.requests)

    async def hold(self, handler):
        """Answers once the test releases it."""
        await self.released.wait()
        handler.finish(b"7")


class _Handler(RequestHandler):
    def initialize(self, server):
        self.server = server

    def prepare(self):
        self.server.requests.append(self.request)
        self.server.arrived.set()

    async def post(self):
        await self.server.answer(self)

    def put(self):
        self.set_status(self.server.lease_status)

    def delete(self):
        self.set_status(204)


async def echo(handler):
    handler.finish(handler.request.body)


def reply(status, body=None, **headers):
    async def answer(handler):
        handler.set_status(status)
        for name, value in headers.items():
            handler.set_header(name.replace("_", "-"), value)
        handler.finish(body)

    return answer


def raw_reply(data):
    """Writes bytes in place of an HTTP answer and closes the connection."""

    async def answer(handler):
        stream = handler.detach()
        await stream.write(data)
        stream.close()

    return answer


class Clock:
    """Monotonic seconds that a test moves."""

    now = 1_000.0

    def __call__(self):
        return self.now


def run(scenario, connections=10, lease_ms=LONG_LEASE_MS, **options):
    async def main():
        server = Server()
        client = BackendClient(
            server.address, connections, lease_ms=lease_ms, **options
        )
        try:
            async with asyncio.timeout(HANG_SECONDS):
                await scenario(server, client)
        finally:
            server.released.set()
            server.http.stop()
            await server.http.close_all_connections()

    asyncio.run(main())


def told(result):
    return result.outcome, result.reason


def test_a_task_is_sent_once_with_its_key_and_lease():
    async def scenario(server, client):
        result = await client.run(TASK)
        (request,) = server.requests
        assert request.uri == PATH
        assert request.headers["Idempotency-Key"] == f"{TASK.job_id}/3"
        assert request.headers["Lease-Ms"] == str(LONG_LEASE_MS)
        assert request.headers["Content-Type"] == "application/json"
        assert told(result) == DONE
        assert bytes(result.body) == bytes(TASK.task) == request.body

    run(scenario)


CUT = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (reply(200, b"{not json"), UNKNOWN),
        (reply(200, b'"\xff"'), UNKNOWN),
        (reply(204), UNKNOWN),
        (reply(307, Location="/x"), UNKNOWN),
        (reply(422, b"no"), FAILED),
        (reply(500), FAILED),
        (reply(503), FAILED),
        (reply(410), LAPSED),
        (reply(503, Not_Started="true"), NOT_STARTED),
        (raw_reply(b""), UNKNOWN),
        (raw_reply(b"garbage\r\n\r\n"), UNKNOWN),
        (raw_reply(CUT), UNKNOWN),
        (raw_reply(CUT + b"\r\n12"), UNKNOWN),
        (raw_reply(CUT + b"Content-Length: 9\r\n\r\n12"), UNKNOWN),
        (raw_reply(CUT + b"Transfer-Encoding: chunked\r\n\r\n2\r\n12\r\n"), UNKNOWN),
    ],
)
def test_each_kind_of_answer_tells_what_is_known(answer, expected):
    async def scenario(server, client):
        server.answer = answer
        assert told(await client.run(TASK)) == expected
        assert server.count("POST") == 1

    run(scenario)


def test_the_text_of_a_failure_is_kept_as_a_json_string():
    async def scenario(server, client):
        server.answer = reply(500, b'out of "stock"')
        result = await client.run(TASK)
        assert msgspec.json.decode(result.body) == 'out of "stock"'

    run(scenario)


def test_a_refused_connection_means_not_started():
    async def scenario(server, client):
        with closing(socket.socket()) as bound:
            bound.bind(("127.0.0.1", 0))  # never listens
            address = f"127.0.0.1:{bound.getsockname()[1]}"
            refused = BackendClient(address, 10, lease_ms=LONG_LEASE_MS)
            assert told(await refused.run(TASK)) == NOT_STARTED

    run(scenario)


def test_no_free_connection_in_time_means_not_started():
    async def scenario(server, client):
        server.answer = server.hold
        held = asyncio.ensure_future(client.run(TASK))
        await server.arrived.wait()
        assert told(await client.run(TASK)) == NOT_STARTED
        server.released.set()
        assert told(await held) == DONE
        assert server.count("POST") == 1

    run(scenario, connections=1, connect_timeout=0.05)


def test_a_closed_client_starts_nothing_and_finishes_what_runs():
    async def scenario(server, client):
        server.answer = server.hold
        running = asyncio.ensure_future(client.run(TASK))
        await server.arrived.wait()
        client.close()
        assert (await client.run(TASK)).outcome is TaskOutcome.NOT_STARTED
        server.released.set()
        assert told(await running) == DONE
        assert server.count("POST") == 1

    run(scenario)


def test_silence_after_the_request_means_unknown():
    async def scenario(server, client):
        server.answer = server.hold
        task = msgspec.structs.replace(TASK, remaining_ms=1)
        assert told(await client.run(task)) == UNKNOWN
        assert server.count("POST") == 1

    run(scenario, allowance_ms=20)


def test_a_lease_is_renewed_while_the_task_runs():
    async def scenario(server, client):
        async def wait(handler):
            while server.count("PUT") < 4:
                await asyncio.sleep(0.005)
            handler.finish(b"7")

        server.answer = wait
        assert told(await client.run(TASK)) == DONE
        renewal = next(r for r in server.requests if r.method == "PUT")
        assert renewal.uri == f"{PATH}/lease"
        assert renewal.headers["Lease-Ms"] == "600"

    run(scenario, lease_ms=600)


def test_a_lease_that_the_backend_server_let_go_means_unknown():
    async def scenario(server, client):
        server.answer = server.hold
        server.lease_status = 410
        assert told(await client.run(TASK)) == LAPSED

    run(scenario, lease_ms=60)


@pytest.mark.parametrize("answers", [True, False])
def test_a_pause_longer_than_the_lease_means_unknown(answers):
    clock = Clock()

    async def scenario(server, client):
        async def answer(handler):
            clock.now += 0.6  # the agent slept
            await (echo if answers else server.hold)(handler)

        server.answer = answer
        assert told(await client.run(TASK)) == LAPSED

    run(scenario, lease_ms=600, clock=clock)


def test_a_task_is_stopped_by_its_name():
    async def scenario(server, client):
        await client.stop(TASK.job_id, TASK.index)
        (request,) = server.requests
        assert (request.method, request.uri) == ("DELETE", PATH)

    run(scenario)


def announce(body):
    """Puts a body to an agent's endpoint; returns its answer and what it took."""
    taken = []

    async def main():
        server = WebServer(
            make_application("gulf-1", taken.append, lambda: True, bytes)
        )
        server.listen("127.0.0.1", 0)
        response = await AsyncHTTPClient().fetch(
            f"http://{server.addresses[0]}/v1/backend",
            method="PUT",
            headers={"Content-Type": "application/json"},
            body=body,
            raise_error=False,
        )
        await server.close()
        return response.code, msgspec.json.decode(response.body)

    return *asyncio.run(main()), taken


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
