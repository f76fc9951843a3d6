"""What all HTTP handlers share: checked JSON bodies, problems, and probes."""

import json
import sys
from http import HTTPStatus

import msgspec
from eliot import write_traceback
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from tornado.web import Application, HTTPError, RequestHandler, stream_request_body

from banyanwheel_core import checking
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.models import Reason
from banyanwheel_core.submissions import MAX_NESTING, is_too_deep

from . import problems
from .problems import ProblemError

__all__ = [
    "BodyHandler",
    "JsonHandler",
    "NotFoundHandler",
    "build_application",
    "count_nothing",
    "probe_routes",
]

JSON_TYPE = "application/json"
OPENERS = (b"[", b"{")


class JsonHandler(RequestHandler):
    """Answers with JSON, and with a problem for every error."""

    def set_default_headers(self):
        """Leaves out the library's own name and version."""
        self.clear_header("Server")

    def compute_etag(self):
        """Returns None: no answer is cached."""

    def write_json(self, value, content_type=JSON_TYPE):
        """Finishes the request with ``value`` as JSON."""
        self.set_header("Content-Type", content_type)
        self.finish(msgspec.json.encode(value))

    def write_problem(self, problem):
        """Finishes the request with a problem."""
        self.set_status(problem.status)
        seconds = problem.retry_after_seconds
        if seconds is not None:
            self.set_header("Retry-After", str(seconds))
        self.write_json(problem, problems.CONTENT_TYPE)

    def write_error(self, status_code, **kwargs):
        """Turns any error that ends a request into a problem."""
        _, error, _ = kwargs.get("exc_info", (None, None, None))
        if status_code == HTTPStatus.METHOD_NOT_ALLOWED:
            self.set_header("Allow", ", ".join(self._methods()))
        if isinstance(error, ProblemError):
            self.write_problem(error.problem)
            return
        detail = (error.log_message or "") if isinstance(error, HTTPError) else ""
        self.write_problem(problems.from_status(status_code, detail))

    def log_exception(self, typ, value, tb):
        """Logs faults of this program, not those of the request."""
        if not isinstance(value, (ProblemError, HTTPError)):
            write_traceback(exc_info=(typ, value, tb))

    def _methods(self):
        """Returns the methods that this handler implements."""
        return [
            method
            for method in self.SUPPORTED_METHODS
            if getattr(type(self), method.lower())
            is not getattr(RequestHandler, method.lower())
        ]


@stream_request_body
class BodyHandler(JsonHandler):
    """Reads a bounded body; what is beyond the bound is read and let go.

    A connection closed before the whole body was read would lose the answer.
    The application's settings give the bound ``max_body_bytes``, a set
    ``in_progress`` that holds each handler until its answer is written out, and
    ``count_refusal(reason)``, which is called once for each refused request.
    """

    def prepare(self):
        """Lets the body through to this handler, whatever its size."""
        self.settings["in_progress"].add(self)
        self._body = bytearray()
        self._body_bytes = 0
        self.request.connection.set_max_body_size(sys.maxsize)

    def data_received(self, chunk):
        """Keeps a part of the body while it is within the bound."""
        self._body_bytes += len(chunk)
        if self._body_bytes <= self.settings["max_body_bytes"]:
            self._body += chunk
        else:
            self._body.clear()

    def finish(self, chunk=None):
        """Ends the request; it is in progress until the answer is written out."""
        written = super().finish(chunk)
        written.add_done_callback(self._leave)
        return written

    def on_connection_close(self):
        """Forgets a request that nobody waits for."""
        super().on_connection_close()
        self._leave()

    def write_error(self, status_code, **kwargs):
        """Counts a refusal, and turns any error into a problem."""
        _, error, _ = kwargs.get("exc_info", (None, None, None))
        if isinstance(error, ProblemError):
            self.settings["count_refusal"](error.problem.reason)
        super().write_error(status_code, **kwargs)

    def read_body(self, content_type):
        """Returns the body; raises ProblemError for another type, or one too large."""
        self._check_type(content_type)
        self._check_size()
        return bytes(self._body)

    def read_json(self, structure):
        """Returns the body as ``structure``; raises ProblemError for any fault."""
        body = self.read_body(JSON_TYPE)
        try:
            value = msgspec.json.decode(body, type=structure)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            value = _diagnose(body, structure)
        _check_nesting(body)
        return value

    def _leave(self, written=None):
        self.settings["in_progress"].discard(self)

    def _check_type(self, expected):
        header = self.request.headers.get("Content-Type", "")
        given = header.partition(";")[0].strip().lower()
        if given != expected:
            detail = f"the content type is '{given}' and must be {expected}"
            raise ProblemError(Reason.WRONG_TYPE, detail, place="Content-Type")

    def _check_size(self):
        limit = self.settings["max_body_bytes"]
        if self._body_bytes > limit:
            detail = f"the body has {self._body_bytes} bytes and may have {limit}"
            raise ProblemError(Reason.TOO_LARGE, detail)


class NotFoundHandler(JsonHandler):
    """Answers for paths that don't exist."""

    def prepare(self):
        """Ends the request."""
        raise HTTPError(404, "no such path")


class _HealthHandler(JsonHandler):
    """``GET /health``: answers as long as the loop runs."""

    def get(self):
        self.write_json({"status": "ok"})


class _ReadyHandler(JsonHandler):
    """``GET /ready``: whether new work is welcome."""

    def initialize(self, is_ready):
        self._is_ready = is_ready

    def get(self):
        if not self._is_ready():
            raise ProblemError(Reason.STOPPING, "takes no new work")
        self.write_json({"status": "ready"})


class _MetricsHandler(JsonHandler):
    """``GET /metrics``, in the Prometheus text format."""

    def initialize(self, render):
        self._render = render

    def get(self):
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(self._render())


def probe_routes(is_ready, render_metrics):
    """Returns the routes ``/health``, ``/ready`` and ``/metrics``."""
    return [
        (r"/health", _HealthHandler),
        (r"/ready", _ReadyHandler, {"is_ready": is_ready}),
        (r"/metrics", _MetricsHandler, {"render": render_metrics}),
    ]


def count_nothing(reason):
    """Stands in for ``count_refusal`` where refusals are not counted."""


def build_application(routes, max_body_bytes, count_refusal=count_nothing):
    """Returns an application whose every error is a problem.

    ``count_refusal(reason)`` is called for each request that is refused here.
    """
    return Application(
        routes,
        default_handler_class=NotFoundHandler,
        log_function=_log_nothing,
        max_body_bytes=max_body_bytes,
        count_refusal=count_refusal,
        in_progress=set(),
    )


def _log_nothing(handler):
    """Leaves access lines out: each job has its own log lines."""


def _diagnose(body, structure):
    """Raises a ProblemError that tells all faults of a body, with their places."""
    try:
        data = msgspec.json.decode(body)
    except RecursionError:
        raise _too_deep() from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _syntax_problem(body, str(error)) from None
    try:
        return checking.convert(data, structure)
    except FindingsError as error:
        raise ProblemError.from_findings(error.findings) from None


def _syntax_problem(body, fault):
    """Returns the ProblemError for a body that isn't JSON, with line and column.

    The standard library's decoder knows the place; ``fault`` is for what it accepts
    all the same, such as ``NaN``.
    """
    try:
        json.loads(body)
    except RecursionError:
        return _too_deep()
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        fault = error.msg
    except UnicodeDecodeError as error:
        line = body.count(b"\n", 0, error.start) + 1
        column = error.start - body.rfind(b"\n", 0, error.start)
        place = f"line {line} column {column}"
    else:
        place = ""
    detail = f"{place}: {fault}" if place else fault
    return ProblemError(Reason.MALFORMED, detail, place=place)


def _check_nesting(body):
    """Looks into those bodies that have enough brackets to be too deep."""
    brackets = sum(body.count(opener) for opener in OPENERS)
    if brackets > MAX_NESTING and is_too_deep(body):
        raise _too_deep()


def _too_deep():
    detail = f"arrays and objects are nested more than {MAX_NESTING} levels deep"
    return ProblemError(Reason.MALFORMED, detail)
