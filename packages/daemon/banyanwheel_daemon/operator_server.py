"""The HTTP server for metrics, health, operators' commands and jobs."""

import asyncio
import re
from functools import partial

import msgspec

from banyanwheel_core.documents import JobDocument
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.ids import is_job_id, new_job_id
from banyanwheel_core.problems import CONTENT_TYPE, Problem, Reason
from banyanwheel_jobs.model import JobState
from banyanwheel_jobs.outcomes import RETRY_AFTER_MS, Outcome
from banyanwheel_platform.decoding import decode_whole_number
from banyanwheel_platform.http import is_connected
from banyanwheel_platform.http_server import MAX_BODY_BYTES, HttpServer

from .http import answer, answer_json, answer_problem

__all__ = ["OperatorServer"]

NDJSON_TYPE = "application/x-ndjson"
DEFAULT_WAIT_MS = 10_000
MAX_WAIT_MS = 600_000
_JOB_PATH = re.compile(r"/v1/jobs/([^/]+)")


class OperatorServer:
    """Serves metrics and health, and with a ``gateway`` also commands and jobs.

    ``gateway`` is a RequestGateway. ``operations()`` returns the Operations; it is
    called for each command and not before the first. ``budget`` is the RequestBudget
    of the process.
    """

    def __init__(self, metrics, event_log, gateway=None, operations=None, budget=None):
        self._metrics = metrics
        self._event_log = event_log
        self._gateway = gateway
        self._operations = operations
        self._server = HttpServer(
            self._handle,
            budget,
            max_body_bytes=self._max_body_bytes,
            describe=_describe,
        )
        self._tasks = set()

    def listen(self, address):
        """Binds the server to an Address; raises OSError where that fails."""
        self._server.listen(address.host, address.port)

    def _max_body_bytes(self):
        routing = self._gateway.routing if self._gateway is not None else None
        return routing.max_body_bytes if routing is not None else MAX_BODY_BYTES

    def _handle(self, request):
        match (request.method, request.path):
            case ("GET", "/health"):
                answer_json(request, {"status": "ok"})
            case ("GET", "/metrics"):
                body = self._metrics.render()
                answer(request, 200, body, self._metrics.content_type)
            case _:
                self._spawn(request, self._serve(request))

    def _spawn(self, request, coroutine):
        task = asyncio.ensure_future(self._handle_errors(request, coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_errors(self, request, coroutine):
        try:
            await coroutine
        except FindingsError as error:
            answer_problem(request, Problem.of_findings(error.findings))
        except Exception as error:
            self._event_log.fault(error, path=request.path)
            detail = "internal error of the dispatcher; see its log"
            answer_problem(request, Problem.of(Reason.IN_DOUBT, detail))

    async def _serve(self, request):
        if self._gateway is None:
            answer_problem(request, _no_such_path(request))
            return
        job = _JOB_PATH.fullmatch(request.path)
        match request.method:
            case "POST" if request.path == "/v1/commands":
                await self._run_command(request)
            case "POST" if request.path == "/v1/where":
                self._explain_where(request)
            case "PUT" if job:
                await self._put_job(request, job[1])
            case "GET" | "DELETE" if job:
                await self._reply_to(request, job[1])
            case _:
                answer_problem(request, _no_such_path(request))

    # Commands

    async def _run_command(self, request):
        from banyanwheel_core.language import LanguageError, parse

        from .operations import OperationError

        if not self._may_wait(request):
            return
        try:
            command = parse(request.body.decode())
            request.release_body()
            reply = await self._operations().execute(command)
        except UnicodeDecodeError as error:
            detail = f"not UTF-8 at byte {error.start}"
            answer_problem(request, Problem.of(Reason.MALFORMED, detail))
        except LanguageError as error:
            detail = f"{error.sentence}\n{error.excerpt}"
            problem = Problem.of(Reason.MALFORMED, detail, place=error.place)
            answer_problem(request, problem)
        except OperationError as error:
            answer_problem(request, error.problem)
        else:
            lines = list(reply.rows)
            if reply.unresponsive:
                lines.append({"incomplete": reply.unresponsive})
            _answer_rows(request, lines)

    def _explain_where(self, request):
        job_id = request.argument("id") or new_job_id()
        if not _check_id(request, job_id):
            return
        if not self._server.budget.may_serve():
            answer_problem(request, _BUSY)
            return
        job = JobDocument.from_json(request.body)
        request.release_body()
        reply, rows = self._operations().where(job_id, job, _wait_s(request))
        if reply is not None:
            self._answer(request, job_id, reply)
        else:
            _answer_rows(request, rows)

    # Jobs

    async def _put_job(self, request, job_id):
        if not _check_id(request, job_id):
            return
        if not self._server.budget.may_serve():
            answer_problem(request, _BUSY)
            return
        job = JobDocument.from_json(request.body)
        request.release_body()
        reply = await self._gateway.submit_document(
            job_id,
            job,
            _wait_s(request),
            _on_disconnect(request),
            partial(is_connected, request),
        )
        if reply.outcome is Outcome.ACCEPTED:
            body = {"id": job_id, "state": str(JobState.QUEUED)}
            answer_json(request, body, 202)
        else:
            self._answer(request, job_id, reply)

    async def _reply_to(self, request, job_id):
        """Answers with the state of a job, which DELETE cancels."""
        if not (_check_id(request, job_id) and self._may_wait(request)):
            return
        wait_s = _wait_s(request)
        if request.method == "DELETE":
            reply = await self._gateway.await_cancel(job_id, wait_s)
        else:
            reply = await self._gateway.await_state(
                job_id, wait_s, _on_disconnect(request)
            )
        self._answer(request, job_id, reply)

    def _may_wait(self, request):
        """Whether one more request may wait; answers it otherwise."""
        if self._server.budget.may_wait(len(self._tasks)):
            return True
        answer_problem(request, _BUSY)
        return False

    def _answer(self, request, job_id, reply):
        if reply.outcome is Outcome.STATE:
            answer_json(request, {"id": job_id, "state": str(reply.state)})
            return
        reason, detail = _PROBLEMS[reply.outcome]
        problem = Problem.of(
            reason, detail, job_id=job_id, retry_after_ms=reply.retry_ms
        )
        answer_problem(request, problem)


_PROBLEMS = {
    Outcome.NOT_STORED: (
        Reason.NOT_ACCEPTED,
        "the job was not accepted and will not run",
    ),
    Outcome.IN_DOUBT: (
        Reason.IN_DOUBT,
        "it is not known whether the job was stored or has run",
    ),
    Outcome.NOT_OWNER: (
        Reason.IN_DOUBT,
        "the dispatcher that owns the job did not answer",
    ),
    Outcome.UNKNOWN_JOB: (Reason.UNKNOWN_JOB, "no such job, or its record has expired"),
    Outcome.CONFLICT: (Reason.ID_CONFLICT, "another job has this id"),
    Outcome.NO_QUEUE: (Reason.UNKNOWN_QUEUE, "the configuration has no such queue"),
    Outcome.NO_CONFIGURATION: (
        Reason.NO_CONFIGURATION,
        "the dispatcher has no configuration yet",
    ),
}


_BUSY = Problem.of(
    Reason.NOT_ACCEPTED, "too many open requests", retry_after_ms=RETRY_AFTER_MS
)


def _answer_rows(request, rows):
    body = b"".join(msgspec.json.encode(row) + b"\n" for row in rows)
    answer(request, 200, body, NDJSON_TYPE)


def _check_id(request, job_id):
    if is_job_id(job_id):
        return True
    detail = f"'{job_id[:40]}' is not 16 hexadecimal digits"
    answer_problem(request, Problem.of(Reason.MALFORMED, detail, place="id"))
    return False


def _describe(message):
    problem = Problem.of(Reason.TOO_LARGE, message)
    return CONTENT_TYPE, msgspec.json.encode(problem)


def _no_such_path(request):
    return Problem.of(Reason.NO_SUCH_PATH, f"{request.method} {request.path[:80]}")


def _wait_s(request):
    text = request.argument("wait_ms")
    return decode_whole_number(text, DEFAULT_WAIT_MS, MAX_WAIT_MS) / 1000


def _on_disconnect(request):
    """Returns a function that registers a callback for the end of the connection."""
    return request.connection.set_close_callback
