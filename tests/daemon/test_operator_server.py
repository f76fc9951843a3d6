"""The HTTP interface for operators of one dispatcher without runners."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient

from banyanwheel_daemon.addresses import Address
from banyanwheel_daemon.inspector import Inspector
from banyanwheel_daemon.metrics import Metrics
from banyanwheel_daemon.operations import Operations
from banyanwheel_daemon.operator_server import OperatorServer
from banyanwheel_jobs.model import Queue
from banyanwheel_jobs.ports import LogUnavailable
from banyanwheel_jobs.routing import RoutingTable
from tests.daemon.gateways import NOW, build_gateway
from tests.jobs.world import EventRecorder, lone_owner
from tests.standins.layout import Ports

QUEUE = Queue("counter", "desk", 0, 3, 1.6, 60)
JOB = {"queue": "counter", "steps": [{"count": 2, "cpu": 100, "estimate_ms": 50}]}
JOB_ID = "5c0e7a21d94b36f8"


class Ownership:
    """An ownership that confirms at once; its log is stalled if ``log_stalled``."""

    log_stalled = False

    def stalled(self, partition):
        return self.log_stalled

    def call_when_confirmed(self, callback):
        callback()


class MembersInMemory:
    """No known processes; drains are kept in memory.

    Changes fail with LogUnavailable if ``log_unavailable``.
    """

    def __init__(self):
        self.known = {}
        self.drains = set()
        self.log_unavailable = False

    async def drain(self, kind, name, drained):
        if self.log_unavailable:
            raise LogUnavailable("no answer", sent=True)
        changed = ((kind, name) in self.drains) != drained
        self.drains ^= {(kind, name)} if changed else set()
        return changed


class Site:
    """The parts of one dispatcher, with a log that stores records at once."""

    def __init__(self, routing=True):
        self.owner = lone_owner(send=lambda runner, message: None, store=self.store)
        self.owner.open(0, 1, [], NOW, 0)
        self.ownership = Ownership()
        self.gateway = build_gateway(self.owner, 1, ownership=self.ownership)
        if routing:
            rows = [("h", "/p/", QUEUE)]
            self.gateway.routing = RoutingTable.build(7, rows, 1_000)
        self.members = MembersInMemory()
        self.metrics = Metrics("front-1", "dispatcher")
        self.inspector = Inspector(
            "front-1",
            self.owner,
            self.gateway,
            self.members,
            self.metrics,
            lambda: NOW,
            lambda partition: False,
            self.gateway._transient,
        )
        self.operations = Operations(
            self.inspector,
            self.gateway,
            self.members,
            1,
            others=list,
            send=None,
            send_reply=None,
        )

    def store(self, partition):
        while partition.journal.next_batch():
            partition.journal.mark_stored()


def serve(scenario, **options):
    """Runs ``scenario(site, request)`` against a server on the loopback interface."""

    async def run():
        ports = Ports()
        address = Address(ports.reserve())
        site = Site(**options)
        server = OperatorServer(
            site.metrics, EventRecorder(), site.gateway, lambda: site.operations
        )
        server.listen(address)
        client = AsyncHTTPClient(force_instance=True)

        async def request(method, path, body=None):
            response = await client.fetch(
                f"http://{address}{path}",
                method=method,
                body=json.dumps(body).encode() if isinstance(body, dict) else body,
                raise_error=False,
                allow_nonstandard_methods=True,
            )
            return response.code, response.body

        try:
            await scenario(site, request)
        finally:
            client.close()
            site.metrics.close()
            ports.close()

    asyncio.run(run())


async def command(request, text):
    code, body = await request("POST", "/v1/commands", text.encode())
    if code != 200:
        return code, json.loads(body)
    return code, [json.loads(line) for line in body.splitlines()]


def test_a_job_is_submitted_read_and_canceled():
    async def scenario(site, request):
        path = f"/v1/jobs/{JOB_ID}"
        code, body = await request("PUT", path, JOB)
        assert (code, json.loads(body)) == (202, {"id": JOB_ID, "state": "queued"})
        assert (await request("PUT", path, JOB))[0] == 202
        code, body = await request("GET", path)
        assert (code, json.loads(body)["state"]) == (200, "queued")
        code, body = await request("DELETE", path)
        assert (code, json.loads(body)["state"]) == (200, "canceled")
        code, body = await request("GET", path)
        assert json.loads(body)["state"] == "canceled"

    serve(scenario)


@pytest.mark.parametrize(
    ("method", "path", "body", "code", "reason", "outcome"),
    [
        ("GET", f"/v1/jobs/{JOB_ID}", None, 410, "unknown-job", "unknown"),
        ("GET", "/v1/jobs/nonsense", None, 400, "malformed", "not-run"),
        ("PUT", f"/v1/jobs/{JOB_ID}", b"{", 400, "malformed", "not-run"),
        (
            "PUT",
            f"/v1/jobs/{JOB_ID}",
            JOB | {"queue": "other"},
            404,
            "unknown-queue",
            "not-run",
        ),
        ("GET", "/nowhere", None, 404, "no-such-path", "not-run"),
        ("POST", f"/v1/jobs/{JOB_ID}", b"{}", 404, "no-such-path", "not-run"),
        ("POST", "/v1/commands", b"\xff", 400, "malformed", "not-run"),
    ],
)
def test_an_invalid_request_is_answered_with_a_problem(
    method, path, body, code, reason, outcome
):
    async def scenario(site, request):
        got, answer = await request(method, path, body)
        problem = json.loads(answer)
        assert (got, problem["reason"]) == (code, reason)
        assert (problem["status"], problem["outcome"]) == (code, outcome)

    serve(scenario)


def test_all_faults_of_a_job_are_reported_with_their_places():
    async def scenario(site, request):
        body = {"queue": 1, "steps": [{"cpu": -1}]}
        code, answer = await request("PUT", f"/v1/jobs/{JOB_ID}", body)
        assert code == 400
        places = {fault["place"] for fault in json.loads(answer)["findings"]}
        assert places == {"queue", "steps[0].cpu"}

    serve(scenario)


def test_an_id_of_a_different_job_is_a_conflict():
    async def scenario(site, request):
        path = f"/v1/jobs/{JOB_ID}"
        await request("PUT", path, JOB)
        code, answer = await request("PUT", path, JOB | {"spec": "other"})
        assert (code, json.loads(answer)["reason"]) == (409, "id-conflict")
        await request("DELETE", path)
        assert (await request("PUT", path, JOB | {"spec": "other"}))[0] == 409
        assert (await request("PUT", path, JOB))[0] == 202

    serve(scenario)


def test_an_ended_job_is_still_accepted_while_the_log_is_stalled():
    async def scenario(site, request):
        path = f"/v1/jobs/{JOB_ID}"
        await request("PUT", path, JOB)
        await request("DELETE", path)
        site.ownership.log_stalled = True
        assert (await request("PUT", path, JOB))[0] == 202
        code, answer = await request("PUT", f"/v1/jobs/{'0' * 16}", JOB)
        assert (code, json.loads(answer)["reason"]) == (503, "not-accepted")

    serve(scenario)


def test_without_a_configuration_a_job_is_refused_with_a_retry_delay():
    async def scenario(site, request):
        code, answer = await request("PUT", f"/v1/jobs/{JOB_ID}", JOB)
        problem = json.loads(answer)
        assert (code, problem["reason"]) == (503, "no-configuration")
        assert problem["retry_after_ms"] > 0

    serve(scenario, routing=False)


def test_commands_are_answered_with_rows():
    async def scenario(site, request):
        await request("PUT", f"/v1/jobs/{JOB_ID}", JOB)
        code, rows = await command(request, "show jobs where waiting = 2")
        assert code == 200
        assert (rows[0]["job"], rows[0]["state"]) == (JOB_ID, "queued")
        assert (await command(request, "show jobs where waiting > 2"))[1] == []
        assert len((await command(request, "show tasks"))[1]) == 2
        (queue,) = (await command(request, "show queues"))[1]
        assert (queue["version"], queue["pending"]) == (7, 1)
        (partition,) = (await command(request, "show partitions"))[1]
        assert (partition["jobs"], partition["surveyed"]) == (1, False)
        (why,) = (await command(request, f"why {JOB_ID}"))[1]
        assert why["why"] == "2 tasks wait: no runner with a worker is heard"

    serve(scenario)


def test_jobs_are_canceled_by_a_filter():
    async def scenario(site, request):
        for number in range(3):
            await request("PUT", f"/v1/jobs/{number:016x}", JOB)
        _, rows = await command(request, "cancel jobs where queue = counter")
        assert [row["result"] for row in rows] == ["canceled"] * 3
        _, rows = await command(request, f"cancel {JOB_ID}")
        assert rows == [{"job": JOB_ID, "result": "no such job"}]
        _, (why,) = await command(request, f"why {'0' * 16}")
        assert (why["state"], why["why"]) == ("canceled", "canceled")

    serve(scenario)


def test_a_job_is_explained_without_being_submitted():
    async def scenario(site, request):
        path = f"/v1/where?id={JOB_ID}"
        code, body = await request("POST", path, JOB)
        rows = [json.loads(line) for line in body.splitlines()]
        assert (code, rows[0]["result"], rows[1]["result"]) == (200, "here", "hold")
        assert (await command(request, "show jobs"))[1] == []
        for bad, wanted in ((JOB | {"steps": []}, 400), (JOB | {"queue": "x"}, 404)):
            code, body = await request("POST", path, bad)
            put = await request("PUT", f"/v1/jobs/{JOB_ID}", bad)
            assert (code, body) == put
            assert code == wanted
        code, body = await request("POST", "/v1/where?id=x", JOB)
        assert (code, json.loads(body)["place"]) == (400, "id")

    serve(scenario)


def test_a_drain_reports_whether_it_changed_anything():
    async def scenario(site, request):
        for text, result in (
            ("drain rack r-1", "drained"),
            ("drain rack r-1", "already drained"),
            ("undrain rack r-1", "not drained"),
            ("undrain rack r-1", "already not drained"),
        ):
            _, (row,) = await command(request, text)
            assert row == {"kind": "rack", "name": "r-1", "result": result}
        site.members.log_unavailable = True
        code, problem = await command(request, "drain rack r-1")
        assert (code, problem["reason"]) == (504, "log-unavailable")
        assert problem["outcome"] == "unknown"

    serve(scenario)


@pytest.mark.parametrize(
    ("text", "code", "reason", "place"),
    [
        ("show job", 400, "malformed", "1:6"),
        ("show jobs where tasks = x", 400, "malformed", "1:17"),
        (
            'reconfigure {"queues": []}',
            403,
            "operators-only",
            "",
        ),
    ],
)
def test_an_invalid_command_is_answered_with_a_problem(text, code, reason, place):
    async def scenario(site, request):
        got, problem = await command(request, text)
        assert (got, problem["reason"]) == (code, reason)
        assert problem.get("place", "") == place

    serve(scenario)


def test_a_command_submits_a_job():
    async def scenario(site, request):
        _, (row,) = await command(request, f"submit {json.dumps(JOB)}")
        assert row["result"] == "accepted"
        assert row["job"] in site.owner.partitions[0].jobs

    serve(scenario)


def test_health_and_metrics_are_served():
    async def scenario(site, request):
        assert (await request("GET", "/health"))[0] == 200
        site.metrics.count("banyanwheel.refusals", "too-late")
        code, text = await request("GET", "/metrics")
        assert code == 200
        assert b"banyanwheel_refusals_total" in text
        (row,) = (await command(request, "show refusals"))[1]
        assert (row["reason"], row["count"]) == ("too-late", 1)

    serve(scenario)
