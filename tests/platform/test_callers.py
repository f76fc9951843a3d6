"""The interface for callers, as the platform speaks it."""

import asyncio
import json
import socket

import pytest

from banyanwheel_jobs.model import Queue
from banyanwheel_jobs.routing import RoutingTable
from banyanwheel_platform.callers import CallerServer, read_steps
from banyanwheel_platform.http import HttpClient, NoAnswer
from banyanwheel_platform.request_budget import (
    SERVING_SHARE,
    MachineLimits,
    RequestBudget,
)
from tests.standins.layout import Ports


@pytest.mark.parametrize(
    ("body", "place"),
    [
        ({"steps": []}, "$.steps"),
        ({"steps": [{"count": 0}]}, "$.steps[0].count"),
        ({"steps": [{"cpu": -1}]}, "$.steps[0].cpu"),
        ({"steps": [{"cpu": "much"}]}, "$.steps[0].cpu"),
        ({"steps": [{"after": [0]}]}, "$.steps[0].after"),
        ({"steps": [{"gang": True}]}, "$.steps[0].gang"),
        ({"steps": [{"count": 10_001}]}, "$.steps"),
        ({"times": 3, "steps": [{}]}, "$.times"),
        ({"spec": "x" * 4001, "steps": [{}]}, "$.spec"),
    ],
)
def test_a_bad_job_is_refused_with_its_place(body, place):
    with pytest.raises(ValueError, match="at `") as fault:
        read_steps(json.dumps(body).encode())
    assert place in str(fault.value)


def test_a_job_is_read_into_the_products_types():
    body = {
        "spec": "text",
        "bestEffort": True,
        "steps": [
            {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900},
            {"count": 3, "after": [0], "preferredRack": "r1", "maxPerServer": 1},
        ],
    }
    spec, (first, second), transient = read_steps(json.dumps(body).encode())
    assert (spec, transient) == ("text", True)
    assert (first.count, first.resources.cpu, first.resources.memory_mb) == (
        2,
        500,
        256,
    )
    assert (second.after, second.rack, second.max_per_worker) == ((0,), "r1", 1)


HOST = "127.0.0.1"


class Gateway:
    """A gateway with one queue in which no job waits."""

    queue = Queue("counter", "desk", 0, 3, 1.6, 60)
    routing = RoutingTable.build(1, [(HOST, "/", queue)], 1_000)

    def pending(self, queue):
        return 0


def connection_headers(draining):
    """Returns the Connection headers of an answer and of a refusal."""

    async def run():
        ports = Ports()
        address = ports.reserve()
        server = CallerServer(Gateway(), None)
        server.listen(address)
        if draining:
            server.drain()
        client = HttpClient(address)
        answers = [
            await client.call("GET", path, timeout_s=2.0)
            for path in ("/", "/no-job-id")
        ]
        client.close_idle()
        server.stop()
        await server.close()
        ports.close()
        assert [answer.code for answer in answers] == [200, 404]
        return [answer.headers.get("Connection") for answer in answers]

    return asyncio.run(run())


def test_callers_of_a_stopping_dispatcher_are_asked_to_leave():
    assert connection_headers(draining=True) == ["close", "close"]


def test_callers_keep_their_connections_otherwise():
    assert connection_headers(draining=False) == [None, None]


JOB_PATH = "/" + "a" * 16
JOB_BODY = json.dumps({"bestEffort": True, "steps": [{"cpu": 1}]}).encode()


class RunRecorder(Gateway):
    """Keeps whether the caller of each transient job was there as it was run."""

    def __init__(self):
        self.present = []

    def run(self, job_id, queue, spec, steps, reply, deadline_s, is_connected):
        self.present.append(is_connected())
        return lambda: None


def presence(leave):
    """Returns whether callers were there, where ``leave(socket)`` follows a request."""

    async def run():
        ports = Ports()
        address = ports.reserve()
        gateway = RunRecorder()
        server = CallerServer(gateway, None)
        server.listen(address)
        host, _, port = address.rpartition(":")
        # The loop stands still until the request is there, and the caller's end.
        with socket.create_connection((host, int(port))) as caller:
            head = f"POST {JOB_PATH} HTTP/1.1\r\nHost: {HOST}\r\n"
            head += f"Content-Length: {len(JOB_BODY)}\r\n\r\n"
            caller.sendall(head.encode() + JOB_BODY)
            leave(caller)
            async with asyncio.timeout(5):
                while not gateway.present:
                    await asyncio.sleep(0.001)
        server.stop()
        await server.close()
        ports.close()
        return gateway.present

    return asyncio.run(run())


def test_a_caller_that_waits_is_there():
    assert presence(lambda caller: None) == [True]


def test_a_caller_that_left_before_its_request_was_read_is_not_there():
    assert presence(socket.socket.close) == [False]


def test_jobs_beyond_those_that_may_be_open_are_refused_with_a_time():
    """Jobs that wait for long held all connections, and nobody else got an answer."""
    connections = 8
    allowed = int(connections * SERVING_SHARE)

    async def run():
        calls = []
        ports = Ports()
        address = ports.reserve()
        gateway = RunRecorder()
        limits = MachineLimits(2**20, 2**20, connections)
        server = CallerServer(gateway, None, RequestBudget(limits))
        server.listen(address)
        clients = [HttpClient(address) for _ in range(allowed)]
        for number, client in enumerate(clients, start=1):
            calls.append(
                asyncio.ensure_future(
                    client.call("POST", JOB_PATH, body=JOB_BODY, timeout_s=20)
                )
            )
            async with asyncio.timeout(5):
                while len(gateway.present) < number:
                    await asyncio.sleep(0.001)
        other = HttpClient(address)
        refusal = await other.call("POST", JOB_PATH, body=JOB_BODY, timeout_s=20)
        count = await other.call("GET", "/", timeout_s=20)
        for call in calls:
            call.cancel()
        server.stop()
        await server.close()
        ports.close()
        assert len(gateway.present) == allowed
        return refusal, count

    refusal, count = asyncio.run(run())
    assert (refusal.code, count.code) == (503, 200)
    assert int(refusal.headers["Retry-After"]) > 0


class StateRecorder(Gateway):
    """Leaves requests for states without an answer; keeps those given up."""

    waiting_requests = 0

    def __init__(self):
        self.asked = []
        self.left = []

    def state(self, job_id, reply, deadline_s):
        self.asked.append(job_id)
        return lambda: self.left.append(job_id)


def ask_state(gateway, timeout_s):
    """Returns the answer to a request for a state, None for a client that leaves."""

    async def run():
        ports = Ports()
        address = ports.reserve()
        limits = MachineLimits(2**20, 2**20, 16)
        server = CallerServer(gateway, None, RequestBudget(limits))
        server.listen(address)
        client = HttpClient(address)
        try:
            response = await client.call("GET", JOB_PATH, timeout_s=timeout_s)
        except NoAnswer:
            response = None
        async with asyncio.timeout(5):
            while not gateway.left:
                await asyncio.sleep(0.001)
        client.close_idle()
        server.stop()
        await server.close()
        ports.close()
        return response

    return asyncio.run(run())


def test_a_request_for_a_state_ends_when_its_caller_leaves():
    gateway = StateRecorder()
    assert ask_state(gateway, timeout_s=0.5) is None
    assert gateway.asked == gateway.left == ["a" * 16]


def test_a_request_for_a_state_is_refused_while_too_many_wait():
    gateway = StateRecorder()
    gateway.waiting_requests = 16
    refusal = ask_state(gateway, timeout_s=20)
    assert refusal.code == 503
    assert int(refusal.headers["Retry-After"]) > 0
    assert gateway.left == ["a" * 16]
