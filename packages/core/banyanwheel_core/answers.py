"""Answers that a coordinator keeps for repeats, its own and those handed to it."""

from dataclasses import dataclass

import msgspec

from .messages import Handover
from .models import Answer

__all__ = ["AnswerStore", "Inheritance", "Kept"]

HANDOVER_PART = 500  # answers in one message


@dataclass(frozen=True, slots=True)
class Kept:
    """An answer kept for repeats; ``size`` is its encoded size in bytes."""

    fingerprint: str
    answer: Answer
    size: int


class Inheritance:
    """What a coordinator that left has handed over, gathered from its parts."""

    def __init__(self, message):
        self._missing = set(range(message.parts))
        self.blocks = message.blocks
        self.answers = {}

    @property
    def whole(self):
        """Whether every part has come."""
        return not self._missing

    def add(self, message):
        """Takes in one part; a repeat changes nothing."""
        self._missing.discard(message.part)
        for fingerprint, answer in message.answers:
            self.answers[answer.id] = Kept(fingerprint, answer, 0)

    def never_submitted(self, job_id):
        """Tells whether this id is certain never to have been accepted.

        Only with every part at hand, and for a block that was valid at the handover:
        the answers of older blocks may have been forgotten by then.
        """
        known = str(job_id) in self.answers
        return self.whole and job_id.block in self.blocks and not known


class AnswerStore:
    """Holds each answer for the retention time."""

    def __init__(self, retention, timers):
        self._retention = retention
        self._timers = timers
        self._kept = {}
        self._handed = {}
        self._size = 0

    def __len__(self):
        return len(self._kept)

    @property
    def size(self):
        """Bytes of the answers kept, as encoded."""
        return self._size

    def keep(self, job, answer, now):
        """Keeps the answer of a job that has ended."""
        size = len(msgspec.json.encode(answer))
        self._kept[job.id] = Kept(job.fingerprint, answer, size)
        self._size += size
        self._timers.set(("kept", job.id), now + self._retention)

    def find(self, job_id):
        """Returns the Kept of a job, or None."""
        kept = self._kept.get(job_id)
        if kept is not None:
            return kept
        for inheritance in self._handed.values():
            if job_id in inheritance.answers:
                return inheritance.answers[job_id]
        return None

    def forget(self, job_id):
        """Drops an answer whose retention time is over."""
        self._size -= self._kept.pop(job_id).size

    def parts(self, identity, blocks):
        """Returns the messages that hand every answer held to a successor.

        Answers inherited from coordinators that left before go along, each under its
        own coordinator.
        """
        messages = _parts(identity, blocks, self._kept)
        for owner, inheritance in self._handed.items():
            if inheritance.whole:
                messages += _parts(owner, inheritance.blocks, inheritance.answers)
        return messages

    def inherit(self, owner, message, now):
        """Takes in a part of a handover; tells whether all parts are here."""
        inheritance = self._handed.setdefault(owner, Inheritance(message))
        inheritance.add(message)
        self._timers.set(("handed", owner), now + self._retention)
        return inheritance.whole

    def disinherit(self, owner):
        """Drops what a coordinator handed over, when the retention time is over."""
        del self._handed[owner]

    def never_submitted(self, job_id):
        """Tells whether a coordinator that left never accepted this id."""
        inheritance = self._handed.get(job_id.coordinator)
        return inheritance is not None and inheritance.never_submitted(job_id)


def _parts(owner, blocks, kept_by_id):
    answers = [(kept.fingerprint, kept.answer) for kept in kept_by_id.values()]
    starts = range(0, len(answers) or 1, HANDOVER_PART)
    parts = [tuple(answers[start : start + HANDOVER_PART]) for start in starts]
    return [
        Handover(owner.name, owner.incarnation, number, len(parts), blocks, part)
        for number, part in enumerate(parts)
    ]
