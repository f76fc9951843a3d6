"""Errors of the client, each with the exit status that it leads to."""

from http import HTTPStatus

from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.models import Outcome, Reason

from .status import ExitStatus

__all__ = [
    "ClientError",
    "ConflictError",
    "FailedError",
    "InterruptionError",
    "ProblemError",
    "RefusedError",
    "UnknownOutcomeError",
    "UnknownProblemError",
    "UnreachableError",
    "UsageError",
    "error_from_problem",
]

CONFLICT_REASONS = frozenset({Reason.ID_CONFLICT, ""})  # none: of a configuration
STATUSES_OF_LOST_JOBS = frozenset(
    {HTTPStatus.NOT_FOUND, HTTPStatus.GONE}
)  # no job, or one no longer known


class ClientError(BanyanwheelError):
    """Base of the client's errors."""

    status = ExitStatus.FAILED


class UsageError(ClientError):
    """Options, settings or a file that the client cannot use."""

    status = ExitStatus.USAGE


class UnreachableError(ClientError):
    """No entry answered, and nothing that takes effect was sent."""

    status = ExitStatus.UNREACHABLE


class UnknownOutcomeError(ClientError):
    """The work may or may not have taken effect."""

    status = ExitStatus.UNKNOWN


class InterruptionError(ClientError):
    """The person stopped the client before an answer came."""

    status = ExitStatus.INTERRUPTED


class ProblemError(ClientError):
    """An entry's ``application/problem+json`` answer, kept in ``problem``."""

    def __init__(self, problem):
        self.problem = problem
        super().__init__(problem.summary)


class RefusedError(ProblemError):
    """Refused, and certain not to have run."""

    status = ExitStatus.REFUSED


class FailedError(ProblemError):
    """Failed after some of the work ran."""

    status = ExitStatus.FAILED


class UnknownProblemError(ProblemError, UnknownOutcomeError):
    """An entry's answer that leaves the outcome unknown."""

    status = ExitStatus.UNKNOWN


class ConflictError(ProblemError):
    """Another body under the same id, or another version of the configuration."""

    status = ExitStatus.CONFLICT


def error_from_problem(problem):
    """Returns the error that stands for ``problem``."""
    if problem.reason in CONFLICT_REASONS and problem.status == HTTPStatus.CONFLICT:
        return ConflictError(problem)
    match problem.outcome:
        case Outcome.NOT_RUN:
            return RefusedError(problem)
        case Outcome.RAN:
            return FailedError(problem)
        case Outcome.UNKNOWN:
            return UnknownProblemError(problem)
    if problem.status in STATUSES_OF_LOST_JOBS or problem.status >= 500:
        return UnknownProblemError(problem)
    return RefusedError(problem)
