"""HTTP for callers: job ids, jobs, health, readiness and metrics.

Every request is checked whole before anything starts, and every error is a problem
detail (RFC 9457), never an HTML page.
"""

import hashlib
from collections.abc import Callable
from typing import Protocol

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from banyanwheel_core.errors import InvalidIdError, ListenError
from banyanwheel_core.ids import JobId
from banyanwheel_core.models import (
    DEFAULT_DEADLINE_MS,
    Answer,
    JobSpec,
    JobState,
    Reason,
)
from banyanwheel_core.submissions import findings_of

from . import problems
from .handlers import BodyHandler, build_application, count_nothing, probe_routes
from .problems import ProblemError

__all__ = ["JobDesk", "WebServer", "fingerprint_of", "make_application"]

MAX_IDS = 1_000  # per request
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 30
IDLE_TIMEOUT_SECONDS = 300  # of a kept connection between two requests

_canonical = msgspec.json.Encoder(order="deterministic")


class JobDesk(Protocol):
    """What the HTTP side asks of the entry; refusals are raised as ProblemError."""

    @property
    def ready(self) -> bool:
        """Whether new work is welcome."""

    async def issue_ids(self, count: int) -> list[str]:
        """Returns fresh job ids."""

    async def submit(
        self, job_id: str | None, spec: JobSpec, fingerprint: str
    ) -> Answer:
        """Returns the job's answer; without an id the desk issues one."""

    async def query(self, job_id: str) -> Answer | None:
        """Returns the job's answer, or None while it is still running."""

    async def cancel(self, job_id: str) -> Answer:
        """Stops the job and returns the answer that tells what came of it."""


def fingerprint_of(spec):
    """Returns the SHA-256 of a submission, in hex, whatever its deadline."""
    undated = msgspec.structs.replace(spec, deadline_ms=DEFAULT_DEADLINE_MS)
    return hashlib.sha256(_canonical.encode(undated)).hexdigest()


class _DeskHandler(BodyHandler):
    """Base of the handlers that use the desk."""

    def initialize(self, desk):
        self._desk = desk

    def prepare(self):
        super().prepare()
        if not self._desk.ready:
            self.set_header("Connection", "close")

    def write_answer(self, answer):
        """Finishes with a complete answer, or with the problem of a failed job."""
        if answer.state is JobState.COMPLETE:
            self.write_json(answer)
        else:
            self.write_problem(problems.from_answer(answer))


class _IdsHandler(_DeskHandler):
    """``POST /v1/job-ids?count=N``."""

    async def post(self):
        ids = await self._desk.issue_ids(self._count())
        self.write_json({"ids": ids})

    def _count(self):
        text = self.get_query_argument("count", "1")
        if text.isascii() and text.isdecimal() and 1 <= int(text[:9]) <= MAX_IDS:
            return int(text)
        detail = f"count is '{text[:20]}' and must be a number from 1 to {MAX_IDS}"
        raise ProblemError(Reason.MALFORMED, detail, place="count")


class _SubmissionHandler(_DeskHandler):
    """Base of the handlers that take a submission."""

    async def submit(self, job_id):
        """Checks the submission, has it run and finishes with its answer."""
        spec = self._read_spec()
        answer = await self._desk.submit(job_id, spec, fingerprint_of(spec))
        self.write_answer(answer)

    def _read_spec(self):
        spec = self.read_json(JobSpec)
        findings = findings_of(spec)
        if findings:
            raise ProblemError.from_findings(findings)
        return spec


class _JobsHandler(_SubmissionHandler):
    """``POST /v1/jobs``: a submission under an id that the entry issues."""

    async def post(self):
        await self.submit(None)


class _JobHandler(_SubmissionHandler):
    """``PUT``, ``GET`` and ``DELETE /v1/jobs/{id}``."""

    async def put(self, job_id):
        _check_id(job_id)
        await self.submit(job_id)

    async def get(self, job_id):
        _check_id(job_id)
        answer = await self._desk.query(job_id)
        if answer is None:
            self.set_status(202)
            self.write_json({"id": job_id, "state": JobState.RUNNING})
        else:
            self.write_answer(answer)

    async def delete(self, job_id):
        _check_id(job_id)
        answer = await self._desk.cancel(job_id)
        if answer.reason is Reason.CANCELLED:
            self.write_json(answer)
        else:
            self.write_answer(answer)


class WebServer:
    """Serves an application and tells when no request is in progress."""

    def __init__(self, application):
        self._application = application
        self._server = HTTPServer(
            application,
            body_timeout=BODY_TIMEOUT_SECONDS,
            idle_connection_timeout=IDLE_TIMEOUT_SECONDS,
        )
        self._addresses = []

    @property
    def in_progress(self):
        """The number of requests with a body whose answer is not yet written out."""
        return len(self._application.settings["in_progress"])

    @property
    def addresses(self):
        """The bound addresses as ``ip:port``."""
        return tuple(self._addresses)

    def listen(self, host, port):
        """Accepts connections; port 0 lets the system choose one.

        Raises ListenError where the address can't be had.
        """
        try:
            sockets = bind_sockets(port, host)
        except OSError as error:
            raise ListenError(f"{host}:{port}: {error.strerror}") from error
        self._server.add_sockets(sockets)
        for bound in sockets:
            number, chosen = bound.getsockname()[:2]
            self._addresses.append(f"{number}:{chosen}")

    def stop_listening(self):
        """Refuses new connections; kept ones may still send requests."""
        self._server.stop()

    async def close(self):
        """Closes every connection."""
        self._server.stop()
        await self._server.close_all_connections()


def make_application(
    desk: JobDesk,
    render_metrics: Callable[[], bytes],
    *,
    count_refusal: Callable[[Reason], None] = count_nothing,
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    routes=(),
):
    """Returns the tornado application for callers; ``routes`` are added to its own.

    ``count_refusal`` is called for each request that this side refuses by itself;
    the entry counts what it answers with a refusal.
    """
    options = {"desk": desk}
    own = [
        (r"/v1/job-ids", _IdsHandler, options),
        (r"/v1/jobs", _JobsHandler, options),
        (r"/v1/jobs/([^/]+)", _JobHandler, options),
        *probe_routes(lambda: desk.ready, render_metrics),
    ]
    return build_application([*own, *routes], max_body_bytes, count_refusal)


def _check_id(job_id):
    try:
        JobId.parse(job_id)
    except InvalidIdError as error:
        raise ProblemError(Reason.UNKNOWN_ID, str(error), place="id") from None
