"""Blocks of job ids that a coordinator has issued."""

from dataclasses import dataclass, field
from enum import Enum

from .messages import IdBlock
from .models import Reason

__all__ = ["BlockTable", "IdStatus"]

MAX_BLOCK_SIZE = 1_000


class IdStatus(Enum):
    """What a coordinator knows of an id for which it holds no job."""

    FRESH = "fresh"  # issued, and never submitted
    REFUSED = "refused"  # submitted, and told "not run"
    EXPIRED = "expired"  # issued so long ago that its job may be forgotten
    NEVER_ISSUED = "never-issued"


@dataclass(slots=True)
class _Block:
    size: int
    expires_at: float
    refused: dict[int, Reason] = field(default_factory=dict)


class BlockTable:
    """Issues blocks and remembers them, and the ids refused, for their lifetime.

    A job's answer is kept at least as long as its block, so an id of a known block
    without a job has never been submitted.
    """

    def __init__(self, lifetime, max_blocks):
        self._lifetime = lifetime
        self._max_blocks = max_blocks
        self._blocks = {}
        self._next = 0

    def issue(self, size, now):
        """Issues a block; one of size 0 where the table is full."""
        self._expire(now)
        if len(self._blocks) >= self._max_blocks:
            return IdBlock(block=0, size=0, lifetime_ms=0)
        number = self._next
        self._next += 1
        size = min(size, MAX_BLOCK_SIZE)
        self._blocks[number] = _Block(size, now + self._lifetime)
        return IdBlock(number, size, int(self._lifetime * 1_000))

    def status(self, job_id, now):
        """Returns the IdStatus of an id of this coordinator's incarnation."""
        self._expire(now)
        block = self._blocks.get(job_id.block)
        if block is None:
            issued = job_id.block < self._next
            return IdStatus.EXPIRED if issued else IdStatus.NEVER_ISSUED
        if job_id.number >= block.size:
            return IdStatus.NEVER_ISSUED
        if job_id.number in block.refused:
            return IdStatus.REFUSED
        return IdStatus.FRESH

    def valid(self, now):
        """Returns the numbers of the blocks that have not expired."""
        self._expire(now)
        return tuple(self._blocks)

    def refuse(self, job_id, reason):
        """Remembers that the caller was told "not run" for this id."""
        self._blocks[job_id.block].refused[job_id.number] = reason

    def refusal(self, job_id):
        """Returns the reason with which an id was refused."""
        return self._blocks[job_id.block].refused[job_id.number]

    def _expire(self, now):
        while self._blocks:
            number, block = next(iter(self._blocks.items()))
            if block.expires_at > now:
                return
            del self._blocks[number]
