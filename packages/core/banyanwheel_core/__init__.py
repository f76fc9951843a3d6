"""Decisions of the dispatcher, apart from input and output.

The data and errors that all programs use are exported here; the decision objects are
imported from their modules, so that the client's start does not pay for them.
"""

from .documents import Document
from .effects import Abort, Answered, Count, Effect, Execute, Peer, Send
from .errors import BanyanwheelError, FindingsError
from .findings import Finding
from .ids import JobId
from .models import (
    Announcement,
    Answer,
    FlowKey,
    JobSpec,
    JobState,
    Needs,
    Outcome,
    Reason,
    TaskOutcome,
    TaskSpec,
)

__all__ = [
    "Abort",
    "Announcement",
    "Answer",
    "Answered",
    "BanyanwheelError",
    "Count",
    "Document",
    "Effect",
    "Execute",
    "Finding",
    "FindingsError",
    "FlowKey",
    "JobId",
    "JobSpec",
    "JobState",
    "Needs",
    "Outcome",
    "Peer",
    "Reason",
    "Send",
    "TaskOutcome",
    "TaskSpec",
]
