import asyncio
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
JOB = f"/v1/jobs/{JOB_ID}"
TASKS = [{"payload": {"bike": 7}}, {"payload": None}]
SPEC = {"service": "counter", "subsidiary": "magnolia", "kind": "price", "tasks": TASKS}
RESULTS = (msgspec.Raw(b'{"price": 1}'), msgspec.Raw(b"null"))
COMPLETE = Answer(JOB_ID, JobState.COMPLETE, RESULTS, workers=("gulf-1", "gulf-2"))


def failed(reason, outcome=Outcome.NOT_RUN, **members):
    return Answer(JOB_ID, JobState.FAILED, outcome=outcome, reason=reason, **members)


class Desk:
    """Gives a scripted answer, once ``go_on`` is set, and keeps what it was asked."""

    def __init__(self, answer=COMPLETE, ready=True):
        self.ready = ready
        self.calls = []
        self.refusals = []
        self.asked = asyncio.Event()
        self.go_on = asyncio.Event()
        self.go_on.set()
        self._answer = answer

    async def issue_ids(self, count):
        return [f"{JOB_ID}{number}" for number in range(count)]

    async def submit(self, *call):
        self.calls.append(call)
        self.asked.set()
        await self.go_on.wait()
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer

    query = cancel = submit


def serve(desk, scenario):
    """Runs ``scenario(server, address)`` against a server of ``desk``."""

    async def main():
        application = make_application(
            desk,
            lambda: b"# metrics\n",
            count_refusal=desk.refusals.append,
            max_body_bytes=MAX_BODY_BYTES,
        )
        server = WebServer(application)
        server.listen("127.0.0.1", 0)
        try:
            async with asyncio.timeout(HANG_SECONDS):
                return await scenario(server, server.addresses[0])
        finally:
            await server.close()

    return asyncio.run(main())


def fetch(address, method, path, body=None, content_type="application/json"):
    return AsyncHTTPClient().fetch(
        f"http://{address}{path}",
        method=method,
        body=msgspec.json.encode(body) if isinstance(body, dict) else body,
        headers={"Content-Type": content_type},
        allow_nonstandard_methods=True,
        raise_error=False,
    )


def call(method, path, body=None, desk=None, **options):
    """Returns the response and its JSON body."""

    async def scenario(server, address):
        return await fetch(address, method, path, body, **options)

    response = serve(desk or Desk(), scenario)
    kind = response.headers["Content-Type"]
    assert (response.code >= 400) == (kind == "application/problem+json")
    return response, msgspec.json.decode(response.body)


@pytest.mark.parametrize(
    ("method", "path", "job_id"), [("PUT", JOB, JOB_ID), ("POST", "/v1/jobs", None)]
)
def test_a_submission_is_answered_with_its_results_in_order(method, path, job_id):
    desk = Desk()
    response, answer = call(method, path, SPEC, desk)
    assert response.code == 200
    assert (answer["id"], answer["state"]) == (JOB_ID, "complete")
    assert answer["results"] == [{"price": 1}, None]
    assert answer["workers"] == ["gulf-1", "gulf-2"]
    spec = msgspec.convert(SPEC, JobSpec)
    assert desk.calls == [(job_id, spec, fingerprint_of(spec))]


def test_a_fingerprint_tells_work_apart_and_not_its_writing_or_deadline():
    start = b'{"service":"a","subsidiary":"b","kind":"c",'
    one, two, other = (
        fingerprint_of(msgspec.json.decode(start + rest, type=JobSpec))
        for rest in (
            b'"tasks":[{"payload":{"x":1,"y":2}}]}',
            b'"deadline_ms": 1, "tasks": [{"payload": {"y": 2, "x": 1}}]}',
            b'"tasks":[{"payload":{"x":1,"y":3}}]}',
        )
    )
    assert one == two != other


@pytest.mark.parametrize(("query", "count"), [("", 1), ("?count=1000", 1_000)])
def test_ids_are_issued_as_many_as_asked(query, count):
    assert len(call("POST", f"/v1/job-ids{query}", b"")[1]["ids"]) == count


@pytest.mark.parametrize("count", ["0", "1001", "x", "-1", "9" * 20, ""])
def test_a_count_of_ids_out_of_bounds_is_refused(count):
    desk = Desk()
    response, problem = call("POST", f"/v1/job-ids?count={count}", b"", desk)
    assert (response.code, problem["place"]) == (400, "count")
    assert desk.refusals == [Reason.MALFORMED]


def spec_with(**change):
    return msgspec.json.encode(SPEC | change)


def nested(depth):
    payload = msgspec.Raw(b"[" * depth + b"]" * depth)
    return spec_with(tasks=[{"payload": payload}])


@pytest.mark.parametrize(
    ("body", "reason", "place"),
    [
        (
            spec_with(tasks=[{}, {"declared_ms": 0}]),
            "malformed",
            "tasks[1].declared_ms",
        ),
        (spec_with(tasks=[]), "malformed", "tasks"),
        (spec_with(service="Not A Name"), "malformed", "service"),
        (spec_with(needs={"memory_mb": -1}), "malformed", "needs.memory_mb"),
        (spec_with(idempotent=True), "malformed", "idempotent"),
        (spec_with(deadline=5), "malformed", "deadline"),
        (b'{"service": "a",\n "kind": tru}', "malformed", "line 2 column 10"),
        (b'{"service": "a"', "malformed", "line 1 column 16"),
        (b"", "malformed", "line 1 column 1"),
        (b'{"service":\n"\xff"}', "malformed", "line 2 column 2"),
        (b'{"service": NaN}', "malformed", None),
        (nested(150), "malformed", None),
        (nested(900), "malformed", None),
        (b" " * (MAX_BODY_BYTES + 1), "too-large", None),
        (b" " * 8_000_000, "too-large", None),
    ],
)
def test_a_faulty_submission_is_refused_before_anything_starts(body, reason, place):
    desk = Desk()
    response, problem = call("PUT", JOB, body, desk)
    assert (problem["reason"], problem.get("place")) == (reason, place)
    assert response.code == problem["status"] == problems.STATUSES[Reason(reason)]
    assert problem["outcome"] == "not-run"
    assert desk.calls == []
    assert desk.refusals == [reason]


def test_nesting_up_to_the_bound_is_taken():
    payload = msgspec.Raw(b"[" * 97 + b"1" + b"]" * 97)  # below object, list, object
    body = spec_with(tasks=[{"payload": payload}])
    assert call("PUT", JOB, body)[0].code == 200


def test_several_faults_are_told_together_with_the_nearest_name():
    body = b'{"service": 1, "subsidary": "b", "kind": "c", "tasks": [{}]}'
    _, problem = call("PUT", JOB, body)
    findings = {item["place"]: item["message"] for item in problem["findings"]}
    assert set(findings) == {"service", "subsidary", "subsidiary"}
    assert "subsidiary" in findings["subsidary"]


@pytest.mark.parametrize("content_type", ["text/plain", "", "application/json+x"])
def test_another_content_type_is_refused(content_type):
    desk = Desk()
    response, problem = call("PUT", JOB, SPEC, desk, content_type=content_type)
    assert (response.code, problem["reason"]) == (415, "wrong-content-type")
    assert desk.refusals == [Reason.WRONG_TYPE]


@pytest.mark.parametrize("method", ["PUT", "GET", "DELETE"])
def test_an_id_that_the_system_never_issues_is_unknown(method):
    desk = Desk()
    body = SPEC if method == "PUT" else None
    response, problem = call(method, "/v1/jobs/nonsense", body, desk)
    assert (response.code, problem["reason"]) == (404, "unknown-id")
    assert desk.calls == []
    assert desk.refusals == [Reason.UNKNOWN_ID]


def test_a_refused_job_says_not_run_and_when_to_come_back():
    desk = Desk(failed(Reason.QUEUE_FULL, detail="full", retry_after_ms=1_200))
    response, problem = call("PUT", JOB, SPEC, desk)
    assert desk.refusals == []  # the desk counts its own
    assert response.code == 429
    assert response.headers["Retry-After"] == "2"
    assert problem == {
        "type": "urn:banyanwheel:reason:queue-full",
        "title": "Queue full",
        "status": 429,
        "detail": "full",
        "reason": "queue-full",
        "outcome": "not-run",
        "id": JOB_ID,
        "retry_after_ms": 1_200,
    }


@pytest.mark.parametrize("outcome", [*Outcome, None])
@pytest.mark.parametrize("reason", list(Reason))
def test_only_what_was_not_run_is_offered_for_a_retry(reason, outcome):
    problem = problems.from_answer(failed(reason, outcome))
    assert 400 <= problem.status < 600
    retriable = problem.status in (429, 503)
    assert retriable == (problem.retry_after_seconds is not None)
    assert not retriable or outcome is Outcome.NOT_RUN


EXPIRED = ProblemError(Reason.EXPIRED_ID, "gone", outcome=Outcome.UNKNOWN)


@pytest.mark.parametrize(
    ("method", "answer", "status"),
    [
        ("GET", COMPLETE, 200),
        ("GET", None, 202),
        ("GET", EXPIRED, 410),
        ("GET", failed(Reason.TASK_FAILED, Outcome.RAN), 502),
        ("GET", failed(Reason.CANCELLED), 409),
        ("DELETE", failed(Reason.CANCELLED), 200),
        ("DELETE", COMPLETE, 200),
        ("DELETE", failed(Reason.COORDINATOR_GONE, Outcome.UNKNOWN), 504),
    ],
)
def test_a_question_or_cancel_tells_what_became_of_a_job(method, answer, status):
    desk = Desk(answer)
    assert call(method, JOB, desk=desk)[0].code == status
    assert desk.calls == [(JOB_ID,)]


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nowhere", 404), ("DELETE", "/v1/jobs", 405), ("PATCH", "/v1/jobs", 405)],
)
def test_a_wrong_route_is_answered_by_a_problem(method, path, status):
    response, problem = call(method, path)
    assert response.code == problem["status"] == status


def test_a_fault_of_the_program_leaves_the_outcome_unknown():
    response, problem = call("PUT", JOB, SPEC, Desk(ZeroDivisionError()))
    assert (response.code, problem["outcome"]) == (500, "unknown")


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_readiness_follows_the_desk_and_health_does_not(ready, status):
    async def scenario(server, address):
        paths = ("/ready", "/health", "/metrics")
        return [await fetch(address, "GET", path) for path in paths]

    answers = serve(Desk(ready=ready), scenario)
    assert [answer.code for answer in answers] == [status, 200, 200]
    assert answers[2].body == b"# metrics\n"


@pytest.mark.parametrize("hangs_up", [False, True])
def test_a_request_is_in_progress_while_its_answer_is_awaited(hangs_up):
    desk = Desk()
    desk.go_on.clear()

    async def scenario(server, address):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        body = msgspec.json.encode(SPEC)
        writer.write(
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        await desk.asked.wait()
        server.stop_listening()
        assert server.in_progress == 1
        if hangs_up:
            writer.close()
        else:
            desk.go_on.set()
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        while server.in_progress:
            await asyncio.sleep(0.001)
        desk.go_on.set()

    serve(desk, scenario)


def test_the_page_on_interfaces_states_each_reason_with_its_status():
    page = (Path(__file__).parents[2] / "docs" / "INTERFACE.md").read_text()
    rows = re.findall(r"^\| `([a-z-]+)` \| (\d{3}) \|", page, re.MULTILINE)
    expected = [(reason.value, status) for reason, status in problems.STATUSES.items()]
    assert sorted((name, int(status)) for name, status in rows) == sorted(expected)
    assert len(rows) == len(Reason)
