"""What a decision object asks its process to do.

Decision objects take typed messages and a time in seconds and return a list of these;
they hold no socket and read no clock.
"""

from dataclasses import dataclass

from .messages import Message, TaskStart
from .models import Answer, Reason

__all__ = [
    "Abort",
    "Answered",
    "Count",
    "Effect",
    "Execute",
    "Peer",
    "Send",
]


@dataclass(frozen=True, slots=True)
class Peer:
    """One run of one process."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to a peer."""

    peer: Peer
    message: Message


@dataclass(frozen=True, slots=True)
class Execute:
    """Sends a task to the backend server, once."""

    task: TaskStart


@dataclass(frozen=True, slots=True)
class Abort:
    """Asks the backend server to stop a running task."""

    job_id: str
    index: int


@dataclass(frozen=True, slots=True)
class Answered:
    """Gives the caller's request ``token`` its answer."""

    token: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Count:
    """Adds one to the counter ``name`` for ``reason``."""

    name: str
    reason: Reason


Effect = Send | Execute | Abort | Answered | Count
