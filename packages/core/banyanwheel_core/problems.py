"""Answers to requests that went wrong, as problem details (RFC 9457)."""

import math
from enum import StrEnum
from http import HTTPStatus

import msgspec

__all__ = ["CONTENT_TYPE", "Effect", "Fault", "Problem", "Reason"]

CONTENT_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:banyanwheel:reason:"


class Effect(StrEnum):
    """What is known of the work behind a request that went wrong."""

    NOT_RUN = "not-run"  # nothing of it has run, and nothing will
    UNKNOWN = "unknown"  # it may have run, or may yet


class Reason(StrEnum):
    """Stable reasons of refusals and failures."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    NO_SUCH_PATH = "no-such-path"
    NO_SUCH_METHOD = "no-such-method"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    ID_CONFLICT = "id-conflict"
    NO_CONFIGURATION = "no-configuration"
    NOT_ACCEPTED = "not-accepted"
    IN_DOUBT = "in-doubt"
    LOG_UNAVAILABLE = "log-unavailable"
    OPERATORS_ONLY = "operators-only"


_STATUSES = {
    Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.NO_SUCH_PATH: HTTPStatus.NOT_FOUND,
    Reason.NO_SUCH_METHOD: HTTPStatus.METHOD_NOT_ALLOWED,
    Reason.UNKNOWN_QUEUE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_JOB: HTTPStatus.GONE,
    Reason.ID_CONFLICT: HTTPStatus.CONFLICT,
    Reason.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NOT_ACCEPTED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.IN_DOUBT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.LOG_UNAVAILABLE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.OPERATORS_ONLY: HTTPStatus.FORBIDDEN,
}
_UNKNOWN_EFFECT = frozenset(
    {Reason.IN_DOUBT, Reason.UNKNOWN_JOB, Reason.LOG_UNAVAILABLE}
)


class Fault(msgspec.Struct, frozen=True):
    """One fault of a request body."""

    place: str
    message: str


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details; ``retry_after_ms`` only with ``not-run``."""

    type: str = "about:blank"
    title: str = ""
    status: int = 0
    detail: str = ""
    reason: str = ""
    outcome: str = ""
    id: str = ""
    place: str = ""
    retry_after_ms: int = 0
    findings: tuple[Fault, ...] = ()

    @classmethod
    def of(cls, reason, detail, *, job_id="", place="", retry_after_ms=0, findings=()):
        """Returns the problem for a reason."""
        effect = Effect.UNKNOWN if reason in _UNKNOWN_EFFECT else Effect.NOT_RUN
        return cls(
            _TYPE_PREFIX + reason,
            reason.replace("-", " ").capitalize(),
            _STATUSES[reason],
            detail,
            str(reason),
            str(effect),
            job_id,
            place,
            retry_after_ms,
            findings,
        )

    @classmethod
    def of_findings(cls, findings):
        """Returns the problem that tells all faults of a request's body."""
        faults = tuple(Fault(finding.place, finding.message) for finding in findings)
        detail = "; ".join(str(finding) for finding in findings)
        place = findings[0].place
        return cls.of(Reason.MALFORMED, detail, place=place, findings=faults)

    @property
    def retry_after_s(self):
        """Whole seconds for the ``Retry-After`` header, 0 for none."""
        return math.ceil(self.retry_after_ms / 1000)
