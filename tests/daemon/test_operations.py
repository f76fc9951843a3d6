import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.language import Table, parse
from banyanwheel_core.models import Answer, JobState, Outcome, Reason
from banyanwheel_daemon.commands import CommandsHandler
from banyanwheel_daemon.handlers import build_application
from banyanwheel_daemon.operations import (
    Inspection,
    NotPublished,
    OperationError,
    Operations,
    PublishConflict,
    Published,
)

JOBS = [f"gulf-1.0123456789abcdef.1.{number}" for number in range(6)]
ANSWERS = [
    Answer(JOBS[0], JobState.COMPLETE),
    Answer(JOBS[1], JobState.FAILED, outcome=Outcome.NOT_RUN, reason=Reason.CANCELLED),
    Answer(JOBS[2], JobState.FAILED, outcome=Outcome.RAN, reason=Reason.CANCELLED),
    Answer(JOBS[3], JobState.FAILED, outcome=Outcome.NOT_RUN, reason=Reason.QUOTA),
    Answer(JOBS[4], JobState.FAILED, outcome=Outcome.UNKNOWN, reason=Reason.CANCELLED),
]
RESULTS = [
    "complete",
    "cancelled, not run",
    "failed, ran",
    "failed, not run",
    "failed, outcome unknown",
    "outcome unknown",
]


def job_row(job_id, kind="price"):
    flow = {"service": "counter", "subsidiary": "south", "kind": kind}
    counts = {"waiting": 2, "running": 1}
    return {"extra": 1, "coordinator": "gulf-1", **counts, **flow, "job": job_id}


class FakeDesk:
    """Keeps one configuration; ``rivals`` publish before it does, one a try."""

    def __init__(self, document=None, rivals=(), silent=()):
        self.offset = 10
        self.document = document or {"quotas": {"south": 0.5}}
        self.rivals = list(rivals)
        self.silent = silent
        self.cancelled = []

    async def inspect(self, table):
        assert table is Table.JOBS
        rows = [job_row(job_id) for job_id in JOBS]
        rows.append(job_row("gulf-1.0123456789abcdef.1.9", "other"))
        return Inspection(tuple(rows), self.silent)

    async def why(self, job_id):
        return [{"job": job_id, "why": "every slot is taken"}]

    async def submit(self, spec):
        return Answer(JOBS[0], JobState.COMPLETE)

    async def cancel(self, job_id):
        self.cancelled.append(job_id)
        for answer in ANSWERS:
            if answer.id == job_id:
                return answer
        raise BanyanwheelError("the coordinator did not answer")

    def configuration(self):
        return self.offset, self.document

    async def publish(self, document, base):
        if self.rivals:
            self.offset += 1
            self.document = self.rivals.pop(0)
        if base != self.offset:
            return PublishConflict(self.offset)
        self.offset += 1
        self.document = document
        return Published(self.offset)


def execute(desk, text):
    operations = Operations(desk, conflict_pause_s=0)
    return asyncio.run(operations.execute(parse(text)))


def test_rows_are_filtered_in_column_order_and_silent_members_told():
    desk = FakeDesk(silent=("gulf-2",))
    reply = execute(desk, "show jobs where kind = other")
    (row,) = reply.rows
    assert row["kind"] == "other"
    assert [*row][:3] == ["job", "service", "subsidiary"]
    assert [*row][-1] == "extra"
    assert reply.silent == ("gulf-2",)


def test_flows_are_summed_over_jobs():
    (row,) = execute(FakeDesk(), "show flows where kind = price").rows
    assert (row["jobs"], row["waiting"], row["running"]) == (6, 12, 6)


def test_the_configuration_is_shown_by_path():
    reply = execute(FakeDesk(), "show configuration where path ~ south")
    assert reply.rows == ({"offset": 10, "path": "quotas.south", "value": "0.5"},)


def test_cancelling_by_filter_tells_what_came_of_each_job():
    desk = FakeDesk()
    reply = execute(desk, "cancel jobs where kind = price")
    assert [row["result"] for row in reply.rows] == RESULTS
    assert sorted(desk.cancelled) == JOBS


def test_a_drain_is_added_to_the_configuration_in_force():
    desk = FakeDesk()
    (row,) = execute(desk, "drain data-centre cairns").rows
    assert row["result"] == "drained"
    assert row["offset"] == desk.offset == 11
    assert desk.document == {
        "quotas": {"south": 0.5},
        "drains": {"data_centres": ["cairns"]},
    }


def test_a_drain_that_is_in_force_is_not_published_again():
    desk = FakeDesk({"drains": {"workers": ["w-1"]}})
    (row,) = execute(desk, "drain worker w-1").rows
    assert (row["result"], desk.offset) == ("already drained", 10)


def test_a_drain_that_meets_a_conflict_keeps_the_winner_s_change():
    rival = {"quotas": {"south": 0.9}, "drains": {"racks": ["r-1"], "workers": ["w-2"]}}
    desk = FakeDesk(rivals=[rival])
    execute(desk, "drain rack r-2")
    assert desk.document["quotas"] == {"south": 0.9}
    assert desk.document["drains"] == {"racks": ["r-1", "r-2"], "workers": ["w-2"]}
    execute(desk, "undrain rack r-1")
    assert desk.document["drains"]["racks"] == ["r-2"]


def test_a_drain_gives_up_after_a_bounded_number_of_conflicts():
    desk = FakeDesk(rivals=[{}] * 1000)
    with pytest.raises(OperationError) as caught:
        execute(desk, "drain rack r-2")
    assert caught.value.problem.status == 409
    assert desk.rivals


@pytest.mark.parametrize("text", ["reconfigure {}", "reconfigure {} from 9"])
def test_a_conflict_is_reported_and_never_overwritten(text):
    rival = {"quotas": {"south": 0.9}}
    desk = FakeDesk(rivals=[rival])
    with pytest.raises(OperationError) as caught:
        execute(desk, text)
    assert caught.value.problem.outcome is Outcome.NOT_RUN
    assert "offset 11 came first" in caught.value.problem.detail
    assert desk.document == rival


def test_an_unanswered_append_is_told_as_unknown():
    desk = FakeDesk()

    async def publish(document, base):
        return NotPublished(Outcome.UNKNOWN, "the log did not answer")

    desk.publish = publish
    with pytest.raises(OperationError) as caught:
        execute(desk, "drain rack r-2")
    assert caught.value.problem.outcome is Outcome.UNKNOWN


def post(desk, body, content_type="text/plain; charset=utf-8"):
    """Posts over real HTTP; returns the status and the body's lines."""

    async def run():
        routes = [("/v1/commands", CommandsHandler, {"operations": Operations(desk)})]
        server = HTTPServer(build_application(routes, max_body_bytes=1000))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}/v1/commands"
        headers = {"Content-Type": content_type}
        client = AsyncHTTPClient(force_instance=True)
        response = await client.fetch(
            url, method="POST", body=body, headers=headers, raise_error=False
        )
        client.close()
        server.stop()
        await server.close_all_connections()
        return response

    response = asyncio.run(run())
    lines = [json.loads(line) for line in response.body.splitlines()]
    return response.code, response.headers["Content-Type"], lines


def test_rows_come_as_json_lines_with_what_is_missing_last():
    desk = FakeDesk(silent=("gulf-2",))
    status, content_type, lines = post(desk, "show jobs limit 2")
    assert (status, content_type) == (200, "application/x-ndjson")
    assert [line.get("job") for line in lines] == [*JOBS[:2], None]
    assert lines[-1] == {"incomplete": ["gulf-2"]}


@pytest.mark.parametrize(
    ("body", "content_type", "status", "expected"),
    [
        ("show job", "text/plain", 400, {"place": "1:6", "reason": "malformed"}),
        (b"show \xff", "text/plain", 400, {"reason": "malformed"}),
        ("show jobs", "application/json", 415, {"reason": "wrong-content-type"}),
        ("show jobs" + " " * 2000, "text/plain", 413, {"reason": "too-large"}),
        ('reconfigure {"kinds": 3}', "text/plain", 400, {"place": "kinds"}),
        ("reconfigure {} from 3", "text/plain", 409, {"outcome": "not-run"}),
    ],
)
def test_a_refusal_is_a_problem(body, content_type, status, expected):
    got, kind, (problem,) = post(FakeDesk(), body, content_type)
    assert (got, kind) == (status, "application/problem+json")
    assert expected.items() <= problem.items()


def test_a_language_error_shows_the_place_in_the_text():
    _, _, (problem,) = post(FakeDesk(), "show jobs\nwhere knid = x")
    assert problem["detail"].endswith("where knid = x\n      ^")
