import asyncio
import json
import re

import pytest
from tornado.httpclient import AsyncHTTPClient

from banyanwheel_daemon.entry import EntryNode
from banyanwheel_daemon.settings import EntrySettings

SETTINGS = """
[process]
name = "entry-1"
data_centre = "gulf-a"
[entry]
http = "127.0.0.1:0"
address = "127.0.0.1:0"
[log_service]
url = "http://127.0.0.1:1"
[limits]
max_body_bytes = 1000
"""
IDEMPOTENT = {
    "service": "counter",
    "subsidiary": "south",
    "kind": "price",
    "tasks": [{}, {}],
    "idempotent": True,
}
JSON = "application/json"
TEXT = "text/plain"


@pytest.fixture
def post(tmp_path):
    """Posts to an entry that knows no agent; returns the problem and the counters."""
    path = tmp_path / "entry.toml"
    path.write_text(SETTINGS)
    settings = EntrySettings.from_file(path)

    async def run(path, body, content_type):
        node = EntryNode(settings)
        base = f"http://{node.http_address}"
        client = AsyncHTTPClient(force_instance=True)
        try:
            response = await client.fetch(
                base + path,
                method="POST",
                body=body,
                headers={"Content-Type": content_type},
                raise_error=False,
            )
            metrics = await client.fetch(base + "/metrics")
        finally:
            client.close()
            node.close()
        line = r'^banyanwheel_refusals_total\{.*reason="([a-z-]+)".*\} ([0-9.]+)$'
        counts = re.findall(line, metrics.body.decode(), re.MULTILINE)
        return json.loads(response.body), counts

    return lambda *request: asyncio.run(run(*request))


@pytest.mark.parametrize(
    ("path", "body", "content_type", "reason"),
    [
        ("/v1/jobs", "{}", JSON, "malformed"),
        ("/v1/jobs", json.dumps(IDEMPOTENT), JSON, "malformed"),
        ("/v1/jobs", "{}", TEXT, "wrong-content-type"),
        ("/v1/jobs", " " * 2000, JSON, "too-large"),
        ("/v1/job-ids", "", JSON, "no-coordinator"),
        ("/v1/job-ids?count=0", "", JSON, "malformed"),
        ("/v1/commands", "show job", TEXT, "malformed"),
        ("/v1/commands", 'reconfigure {"kinds": 3}', TEXT, "malformed"),
        ("/v1/commands", f"submit {json.dumps(IDEMPOTENT)}", TEXT, "malformed"),
        ("/v1/commands", "show jobs", JSON, "wrong-content-type"),
        ("/v1/commands", " " * 2000, TEXT, "too-large"),
    ],
)
def test_each_refused_request_is_counted_once(post, path, body, content_type, reason):
    problem, counts = post(path, body, content_type)
    assert (problem["reason"], problem["outcome"]) == (reason, "not-run")
    assert counts == [(reason, "1.0")]
