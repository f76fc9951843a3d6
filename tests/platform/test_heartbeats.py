"""Heartbeats of the worker beside a runner, and what another writer sends."""

import asyncio
import json

import pytest

from banyanwheel_platform.heartbeats import HeartbeatServer
from banyanwheel_platform.http import HttpClient
from tests.jobs.world import EventRecorder
from tests.standins.layout import Ports

GOOD = {
    "service": "desk",
    "address": "10.0.0.1:8080",
    "state": "ready",
    "seq": 1,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
    "labels": ["a", "r1"],
    "clockMs": 5,
    "born": 1_796_000_000_000,
}
DEEP = "[" * 100_000 + "]" * 100_000
ODD_FIELDS = [
    {"address": "10.0.0.1:99999"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1"},
    {"address": "host.example:80"},
    {"address": ""},
    {"seq": 2**70},
    {"seq": -1},
    {"clockMs": 10**30},
    {"clockMs": -1},
    {"born": 2**63},
    {"capacity": {"cpu": 2**63}},
    {"capacity": {"cpu": -1}},
    {"state": "resting"},
    {"labels": 7},
]


def put_all(bodies):
    """Sends heartbeats in turn; returns the codes and the sequences passed on."""

    async def run():
        ports, heard = Ports(), []
        address = ports.reserve()
        server = HeartbeatServer(heard.append, None, EventRecorder())
        server.listen(address)
        client = HttpClient(address)
        codes = []
        for body in bodies:
            response = await client.call(
                "PUT", "/instances/i-1", body=body, timeout_s=5.0
            )
            codes.append(response.code)
        client.close_idle()
        server.stop()
        ports.close()
        return codes, [heartbeat.sequence for heartbeat in heard]

    return asyncio.run(run())


@pytest.mark.parametrize("odd", ODD_FIELDS, ids=str)
def test_an_odd_heartbeat_is_refused_and_the_next_one_holds(odd):
    """One with an odd address or number ended the runner's calls to its worker."""
    bodies = [json.dumps(body).encode() for body in (GOOD | odd, GOOD)]
    assert put_all(bodies) == ([400, 200], [1])


def test_a_heartbeat_that_is_nested_too_deeply_is_refused():
    good = json.dumps(GOOD)
    deep = good.replace("{", '{"x":' + DEEP + ",", 1)
    assert put_all([deep.encode(), good.encode()]) == ([400, 200], [1])
