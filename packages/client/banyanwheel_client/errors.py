"""Errors of the client, each with the exit status that it leads to."""

from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.problems import Effect, Reason

from .problem import summary
from .status import ExitStatus

__all__ = [
    "ClientError",
    "ConflictError",
    "FailedError",
    "InterruptionError",
    "ProblemError",
    "RefusedError",
    "UnknownOutcomeError",
    "UnreachableError",
    "UsageError",
    "error_from_problem",
]


class ClientError(BanyanwheelError):
    """Base of the client's errors."""

    status = ExitStatus.FAILED


class UsageError(ClientError):
    """Options, settings or a file that the client cannot use."""

    status = ExitStatus.USAGE


class FailedError(ClientError):
    """The work failed, or an answer can't be used."""


class UnreachableError(ClientError):
    """No dispatcher answered, and nothing that takes effect was sent."""

    status = ExitStatus.UNREACHABLE


class UnknownOutcomeError(ClientError):
    """The work may or may not have taken effect."""

    status = ExitStatus.UNKNOWN


class ConflictError(ClientError):
    """Another job under the same id, or another version came first."""

    status = ExitStatus.CONFLICT


class InterruptionError(ClientError):
    """The person stopped the client before an answer came."""

    status = ExitStatus.INTERRUPTED


class ProblemError(ClientError):
    """A dispatcher's problem document, kept in ``problem``."""

    def __init__(self, problem):
        self.problem = problem
        super().__init__(summary(problem))


class RefusedError(ProblemError):
    """Refused, and certain not to have run."""

    status = ExitStatus.REFUSED


class _UnknownProblemError(ProblemError, UnknownOutcomeError):
    """A dispatcher's answer that leaves the outcome unknown."""

    status = ExitStatus.UNKNOWN


class _ConflictProblemError(ProblemError, ConflictError):
    """Another job under the same id."""

    status = ExitStatus.CONFLICT


def error_from_problem(problem):
    """Returns the error that stands for ``problem``."""
    if problem.reason == Reason.ID_CONFLICT:
        return _ConflictProblemError(problem)
    if problem.outcome == Effect.NOT_RUN:
        return RefusedError(problem)
    if problem.outcome == Effect.UNKNOWN or problem.status >= 500:
        return _UnknownProblemError(problem)
    return RefusedError(problem)
