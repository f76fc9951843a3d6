"""Answers to HTTP requests that went wrong, as problem details (RFC 9457)."""

import math
from http import HTTPStatus

import msgspec

from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.models import Outcome, Reason

__all__ = [
    "CONTENT_TYPE",
    "Problem",
    "ProblemError",
    "STATUSES",
    "from_answer",
    "from_status",
    "status_of",
]

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:banyanwheel:reason:"
PLAIN_TYPE = "about:blank"
DEFAULT_RETRY_AFTER_MS = 1_000

STATUSES = {
    Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.WRONG_TYPE: HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
    Reason.UNKNOWN_SERVICE: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.NEVER_RUNNABLE: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.UNKNOWN_ID: HTTPStatus.NOT_FOUND,
    Reason.ID_CONFLICT: HTTPStatus.CONFLICT,
    Reason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.TABLE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.DEADLINE_INFEASIBLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.NO_COORDINATOR: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_WORKER: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.CANCELLED: HTTPStatus.CONFLICT,
    Reason.TASK_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.COORDINATOR_GONE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.EXPIRED_ID: HTTPStatus.GONE,
    Reason.WORKER_LOST: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.LEASE_LAPSED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.GRANT_LAPSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.GRANT_REVOKED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.GRANT_FORGOTTEN: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CONNECT_FAILED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.PEER_SILENT: HTTPStatus.GATEWAY_TIMEOUT,
}

RETRIABLE_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class _PlaceOfFault(msgspec.Struct, frozen=True):
    """One fault of a request body."""

    place: str
    message: str


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details with this project's extension members.

    ``retry_after_ms`` is positive only where the work was not run.
    """

    type: str
    title: str
    status: int
    detail: str = ""
    reason: Reason | None = None
    outcome: Outcome | None = None
    id: str = ""
    place: str = ""
    retry_after_ms: int = 0
    findings: tuple[_PlaceOfFault, ...] = ()

    @property
    def retry_after_seconds(self):
        """The ``Retry-After`` header's value, or None where there is none."""
        if not self.retry_after_ms:
            return None
        return max(1, math.ceil(self.retry_after_ms / 1000))


class ProblemError(BanyanwheelError):
    """A request that can't be answered otherwise than by a problem."""

    def __init__(
        self,
        reason,
        detail,
        *,
        outcome=Outcome.NOT_RUN,
        id="",
        place="",
        retry_after_ms=0,
        findings=(),
    ):
        super().__init__(detail)
        self.problem = _from_reason(
            reason, outcome, retry_after_ms, detail=detail, id=id, place=place
        )
        if findings:
            faults = tuple(_PlaceOfFault(f.place, f.message) for f in findings)
            self.problem = msgspec.structs.replace(self.problem, findings=faults)

    @classmethod
    def from_findings(cls, findings):
        """Returns the error that tells all faults of a request body."""
        return cls(
            Reason.MALFORMED,
            "; ".join(str(finding) for finding in findings),
            place=findings[0].place,
            findings=findings,
        )


def status_of(reason, outcome):
    """Returns the HTTP status; a caller may not repeat what may have run."""
    status = STATUSES[reason]
    if outcome is not Outcome.NOT_RUN and status in RETRIABLE_STATUSES:
        return HTTPStatus.GATEWAY_TIMEOUT
    return status


def from_answer(answer):
    """Returns the problem that tells of a failed job."""
    return _from_reason(
        answer.reason or Reason.OUTCOME_UNKNOWN,
        answer.outcome,
        answer.retry_after_ms,
        detail=answer.detail,
        id=answer.id,
        place=answer.place,
    )


def from_status(status, detail=""):
    """Returns the problem for a plain HTTP error such as an unknown route."""
    status = HTTPStatus(status)
    outcome = Outcome.NOT_RUN if status < 500 else Outcome.UNKNOWN
    return Problem(PLAIN_TYPE, status.phrase, status, detail, outcome=outcome)


def _from_reason(reason, outcome, retry_after_ms, **members):
    status = status_of(reason, outcome)
    if status in RETRIABLE_STATUSES:
        retry_after_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
    return Problem(
        type=TYPE_PREFIX + reason,
        title=reason.replace("-", " ").capitalize(),
        status=status,
        reason=reason,
        outcome=outcome,
        retry_after_ms=retry_after_ms,
        **members,
    )
