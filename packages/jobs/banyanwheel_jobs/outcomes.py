"""Outcomes of callers' requests."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["EVACUATED", "RETRY_AFTER_MS", "Outcome", "Reply"]

# By then the log usually answers again, or the partition has a new owner.
RETRY_AFTER_MS = 1_000
# The reason of a refusal by a dispatcher whose suitable workers are all evacuated.
EVACUATED = "evacuated"


class Outcome(StrEnum):
    """The outcome of a caller's request."""

    ACCEPTED = "accepted"
    STATE = "state"
    UNKNOWN_JOB = "unknown-job"
    NOT_STORED = "not-stored"  # the job will never run
    IN_DOUBT = "in-doubt"  # the job may be stored
    NOT_OWNER = "not-owner"
    CONFLICT = "id-conflict"  # the id belongs to another job
    NO_QUEUE = "no-queue"
    NO_CONFIGURATION = "no-configuration"


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a caller's request.

    ``state`` is the state of the job, empty if the outcome has none. ``reason`` says
    why a job was refused, where that decides about another try.
    """

    outcome: Outcome
    state: str = ""
    retry_ms: int = 0
    reason: str = ""
