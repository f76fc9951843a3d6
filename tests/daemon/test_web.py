import asyncio
import hashlib
import re
from pathlib import Path

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient

from banyanwheel_core.models import Answer, JobSpec, JobState, Outcome, Reason
from banyanwheel_daemon import problems
from banyanwheel_daemon.problems import ProblemError
from banyanwheel_daemon.web import WebServer, fingerprint_of, make_application

HANG_SECONDS = 20
MAX_BODY_BYTES = 2_000
JOB_ID = "gulf-1.0123456789abcdef.1.1"
SPEC = {
    "service": "counter",
    "subsidiary": "magnolia-ridge",
    "kind": "price",
    "tasks": [{"payload": {"bike": 7}}, {"payload": None}],
}
COMPLETE = Answer(
    JOB_ID,
    JobState.COMPLETE,
    (msgspec.Raw(b'{"price": 1}'), msgspec.Raw(b"null")),
    workers=("gulf-1", "gulf-2"),
)


class Desk:
    """A desk that gives scripted answers and keeps what it was asked."""

    def __init__(self, answer=COMPLETE, ready=True):
        self.ready = ready
        self.calls = []
        self._answer = answer

    async def issue_ids(self, count):
        return [f"{JOB_ID}{number}" for number in range(count)]

    async def submit(self, job_id, spec, fingerprint):
        return self._give("submit", job_id, spec, fingerprint)

    async def query(self, job_id):
        return self._give("query", job_id)

    async def cancel(self, job_id):
        return self._give("cancel", job_id)

    def _give(self, *call):
        self.calls.append(call)
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer


class Reply:
    """An HTTP answer with its JSON body."""

    def __init__(self, response):
        self.status = response.code
        self.headers = response.headers
        self.raw = response.body
        self.kind = response.headers["Content-Type"]

    @property
    def json(self):
        return msgspec.json.decode(self.raw)


def serve(desk, scenario):
    """Runs ``scenario(server, address)`` against a server of ``desk``."""

    async def main():
        application = make_application(
            desk, lambda: b"# metrics\n", max_body_bytes=MAX_BODY_BYTES
        )
        server = WebServer(application)
        server.listen("127.0.0.1", 0)
        try:
            async with asyncio.timeout(HANG_SECONDS):
                return await scenario(server, server.addresses[0])
        finally:
            await server.close()

    return asyncio.run(main())


def call(method, path, body=None, desk=None, content_type="application/json"):
    async def scenario(server, address):
        response = await AsyncHTTPClient().fetch(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Content-Type": content_type} if content_type else None,
            allow_nonstandard_methods=True,
            raise_error=False,
        )
        return Reply(response)

    return serve(desk or Desk(), scenario)


def put(body=None, desk=None, **options):
    body = msgspec.json.encode(SPEC) if body is None else body
    return call("PUT", f"/v1/jobs/{JOB_ID}", body, desk, **options)


def refused(body, **options):
    """Puts a faulty submission; returns the problem of a desk never asked."""
    desk = Desk()
    reply = put(body, desk, **options)
    assert desk.calls == []
    assert reply.kind == "application/problem+json"
    assert reply.json["outcome"] == "not-run"
    return reply


@pytest.mark.parametrize(
    ("method", "path", "job_id"),
    [("PUT", f"/v1/jobs/{JOB_ID}", JOB_ID), ("POST", "/v1/jobs", None)],
)
def test_a_submission_is_answered_with_its_results_in_order(method, path, job_id):
    desk = Desk()
    reply = call(method, path, msgspec.json.encode(SPEC), desk)
    assert reply.status == 200
    assert reply.kind == "application/json"
    assert reply.json == {
        "id": JOB_ID,
        "state": "complete",
        "results": [{"price": 1}, None],
        "workers": ["gulf-1", "gulf-2"],
    }
    spec = msgspec.convert(SPEC, JobSpec)
    assert desk.calls == [("submit", job_id, spec, fingerprint_of(spec))]


def test_a_fingerprint_tells_work_apart_and_not_its_writing_or_deadline():
    spec = msgspec.convert(SPEC, JobSpec)
    other = msgspec.structs.replace(spec, deadline_ms=1)
    assert fingerprint_of(spec) == fingerprint_of(other)
    assert len(fingerprint_of(spec)) == 2 * hashlib.sha256().digest_size
    one, two = (
        msgspec.json.decode(text, type=JobSpec)
        for text in (
            b'{"service":"a","subsidiary":"b","kind":"c","tasks":[{"payload":'
            b'{"x":1,"y":2}}]}',
            b'{"tasks":[{"payload":{"y":2, "x":1}}],"kind":"c","subsidiary":"b",'
            b'"service":"a"}',
        )
    )
    assert fingerprint_of(one) == fingerprint_of(two) != fingerprint_of(spec)


def test_ids_are_issued_as_many_as_asked():
    assert len(call("POST", "/v1/job-ids?count=3", b"").json["ids"]) == 3
    assert len(call("POST", "/v1/job-ids", b"").json["ids"]) == 1


@pytest.mark.parametrize("count", ["0", "1001", "x", "-1", "9" * 20, ""])
def test_a_count_of_ids_out_of_bounds_is_refused(count):
    reply = call("POST", f"/v1/job-ids?count={count}", b"")
    assert (reply.status, reply.json["place"]) == (400, "count")


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"tasks": [{}, {"declared_ms": 0}]}, "tasks[1].declared_ms"),
        ({"tasks": []}, "tasks"),
        ({"service": "Not A Name"}, "service"),
        ({"needs": {"memory_mb": -1}}, "needs.memory_mb"),
        ({"idempotent": True}, "idempotent"),
        ({"deadline": 5}, "deadline"),
    ],
)
def test_a_fault_is_refused_with_its_place(change, place):
    reply = refused(msgspec.json.encode(SPEC | change))
    assert (reply.status, reply.json["reason"]) == (400, "malformed")
    assert reply.json["place"] == place


def test_several_faults_are_told_together_with_the_nearest_name():
    reply = refused(b'{"service": 1, "subsidary": "b", "kind": "c", "tasks": [{}]}')
    findings = {item["place"]: item["message"] for item in reply.json["findings"]}
    assert set(findings) == {"service", "subsidary", "subsidiary"}
    assert "subsidiary" in findings["subsidary"]


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b'{"service": "a",\n "kind": tru}', "line 2 column 10"),
        (b'{"service": "a"', "line 1 column 16"),
        (b"", "line 1 column 1"),
        (b'{"service":\n"\xff"}', "line 2 column 2"),
        (b'{"service": NaN}', None),
    ],
)
def test_a_syntax_error_is_refused_with_line_and_column(body, place):
    assert refused(body).json.get("place") == place


@pytest.mark.parametrize("depth", [150, 900])
def test_a_payload_nested_too_deep_is_refused(depth):
    payload = b"[" * depth + b"]" * depth
    body = msgspec.json.encode(SPEC | {"tasks": [{"payload": msgspec.Raw(payload)}]})
    assert "nested" in refused(body).json["detail"]


@pytest.mark.parametrize("content_type", ["text/plain", "", "application/json+x"])
def test_another_content_type_is_refused(content_type):
    reply = refused(msgspec.json.encode(SPEC), content_type=content_type)
    assert (reply.status, reply.json["reason"]) == (415, "wrong-content-type")


@pytest.mark.parametrize("size", [MAX_BODY_BYTES + 1, 8_000_000])
def test_a_body_above_the_bound_is_refused_with_an_answer(size):
    reply = refused(b" " * size)
    assert (reply.status, reply.json["reason"]) == (413, "too-large")


@pytest.mark.parametrize("method", ["PUT", "GET", "DELETE"])
def test_an_id_that_the_system_never_issues_is_unknown(method):
    desk = Desk()
    body = msgspec.json.encode(SPEC) if method == "PUT" else None
    reply = call(method, "/v1/jobs/nonsense", body, desk)
    assert (reply.status, reply.json["reason"]) == (404, "unknown-id")
    assert desk.calls == []


def test_a_refused_job_says_not_run_and_when_to_come_back():
    answer = Answer(
        JOB_ID,
        JobState.FAILED,
        outcome=Outcome.NOT_RUN,
        reason=Reason.QUEUE_FULL,
        detail="the queue is full",
        retry_after_ms=1_200,
    )
    reply = put(desk=Desk(answer))
    assert reply.status == 429
    assert reply.headers["Retry-After"] == "2"
    assert reply.json == {
        "type": "urn:banyanwheel:reason:queue-full",
        "title": "Queue full",
        "status": 429,
        "detail": "the queue is full",
        "reason": "queue-full",
        "outcome": "not-run",
        "id": JOB_ID,
        "retry_after_ms": 1_200,
    }


@pytest.mark.parametrize("outcome", [Outcome.UNKNOWN, Outcome.RAN])
@pytest.mark.parametrize("reason", list(Reason))
def test_what_may_have_run_is_never_offered_for_a_retry(reason, outcome):
    answer = Answer(JOB_ID, JobState.FAILED, outcome=outcome, reason=reason)
    problem = problems.from_answer(answer)
    assert problem.status >= 400
    assert problem.status not in (429, 503)
    assert problem.retry_after_seconds is None


@pytest.mark.parametrize("reason", list(Reason))
def test_every_reason_has_an_error_status(reason):
    assert 400 <= problems.STATUSES[reason] < 600
    problem = ProblemError(reason, "x").problem
    assert (problem.retry_after_seconds is not None) == (problem.status in (429, 503))


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (COMPLETE, 200),
        (None, 202),
        (ProblemError(Reason.EXPIRED_ID, "gone", outcome=Outcome.UNKNOWN), 410),
        (
            Answer(
                JOB_ID, JobState.FAILED, outcome=Outcome.RAN, reason=Reason.TASK_FAILED
            ),
            502,
        ),
    ],
)
def test_a_query_tells_what_became_of_a_job(answer, status):
    desk = Desk(answer)
    reply = call("GET", f"/v1/jobs/{JOB_ID}", desk=desk)
    assert reply.status == status
    assert desk.calls == [("query", JOB_ID)]


def test_a_cancelled_job_is_told_to_who_cancelled_it():
    cancelled = Answer(
        JOB_ID, JobState.FAILED, outcome=Outcome.NOT_RUN, reason=Reason.CANCELLED
    )
    desk = Desk(cancelled)
    reply = call("DELETE", f"/v1/jobs/{JOB_ID}", desk=desk)
    assert (reply.status, reply.json["reason"]) == (200, "cancelled")
    assert desk.calls == [("cancel", JOB_ID)]
    assert put(desk=desk).status == 409


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nowhere", 404), ("DELETE", "/v1/jobs", 405), ("PATCH", "/v1/jobs", 405)],
)
def test_a_wrong_route_is_answered_by_a_problem(method, path, status):
    reply = call(method, path)
    assert reply.status == reply.json["status"] == status
    assert reply.kind == "application/problem+json"


def test_a_fault_of_the_program_leaves_the_outcome_unknown():
    reply = put(desk=Desk(ZeroDivisionError()))
    assert reply.status == 500
    assert reply.kind == "application/problem+json"
    assert reply.json["outcome"] == "unknown"


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_readiness_follows_the_desk_and_health_does_not(ready, status):
    desk = Desk(ready=ready)
    assert call("GET", "/ready", desk=desk).status == status
    assert call("GET", "/health", desk=desk).status == 200
    assert call("GET", "/metrics", desk=desk).raw == b"# metrics\n"


class SlowDesk(Desk):
    """A desk that answers when the test lets it."""

    def __init__(self):
        super().__init__()
        self.asked = asyncio.Event()
        self.go_on = asyncio.Event()

    async def submit(self, job_id, spec, fingerprint):
        self.asked.set()
        await self.go_on.wait()
        return COMPLETE


def test_a_request_is_in_progress_until_its_answer_is_written():
    desk = SlowDesk()

    async def scenario(server, address):
        answering = AsyncHTTPClient().fetch(
            f"http://{address}/v1/jobs",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(SPEC),
        )
        await desk.asked.wait()
        server.stop_listening()
        assert server.in_progress == 1
        desk.go_on.set()
        assert (await answering).code == 200
        assert server.in_progress == 0

    serve(desk, scenario)


def test_the_page_on_interfaces_states_each_reason_with_its_status():
    page = (Path(__file__).parents[2] / "docs" / "INTERFACE.md").read_text()
    rows = re.findall(r"^\| `([a-z-]+)` \| (\d{3}) \|", page, re.MULTILINE)
    expected = {reason.value: status for reason, status in problems.STATUSES.items()}
    assert {reason: int(status) for reason, status in rows} == expected
    assert len(rows) == len(Reason)
