"""Group commit on one partition of the log.

Only one append is in flight at a time; records that are added meanwhile are sent
together in the next one. An append without an answer is repeated under the same
sequence number, so that the log carries it out only once.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["Batch", "Journal"]

MAX_BATCH_BYTES = 512 * 1024  # a quarter of what the log accepts in one call
FRAME_BYTES = 5  # the lengths of the record and of its key


@dataclass(slots=True)
class Batch:
    """Records that are stored by one append, and the entries that they belong to."""

    sequence: int
    records: list
    entries: list
    sent: bool = False


@dataclass(slots=True)
class _Entry:
    records: list
    on_stored: object
    on_abandoned: object
    bytes: int


@dataclass(slots=True)
class Journal:
    """Records of a partition that are not stored yet, for one ownership of it."""

    epoch: int
    _sequence: int = 0
    _pending: deque = field(default_factory=deque)
    _in_flight: Batch | None = None

    @property
    def idle(self):
        """Whether all records are stored."""
        return not self._pending and self._in_flight is None

    @property
    def in_flight(self):
        """The batch that waits for its answer, or None."""
        return self._in_flight

    def add(self, records, on_stored, on_abandoned=None):
        """Queues records; ``on_stored()`` is called once all of them are stored.

        ``on_abandoned(sent)`` is called instead if the ownership ends before that, or
        if the log is unavailable before they are sent. ``sent`` tells whether the
        records may be stored nevertheless.
        """
        size = sum(FRAME_BYTES + len(key) + len(value or b"") for key, value in records)
        self._pending.append(_Entry(records, on_stored, on_abandoned, size))

    def next_batch(self):
        """Returns the next batch to send.

        Returns None if a batch is in flight or nothing is pending.
        """
        if self._in_flight is not None or not self._pending:
            return None
        batch = Batch(self._sequence, [], [])
        size = 0
        while self._pending and size + self._pending[0].bytes <= MAX_BATCH_BYTES:
            entry = self._pending.popleft()
            batch.records.extend(entry.records)
            batch.entries.append(entry)
            size += entry.bytes
        self._sequence += 1
        self._in_flight = batch
        return batch

    def resequence(self, expected):
        """Continues at the sequence number that the log expects."""
        self._in_flight.sequence = expected
        self._sequence = expected + 1

    def mark_stored(self):
        """Ends the batch in flight as stored and calls its ``on_stored`` callbacks."""
        batch, self._in_flight = self._in_flight, None
        for entry in batch.entries:
            entry.on_stored()

    def abandon(self):
        """Drops all records that are not stored and calls ``on_abandoned`` for them."""
        batch, self._in_flight = self._in_flight, None
        pending, self._pending = self._pending, deque()
        for entry in batch.entries if batch else ():
            _abandon(entry, batch.sent)
        for entry in pending:
            _abandon(entry, False)

    def refuse_pending(self):
        """Drops the pending entries with an ``on_abandoned`` callback and calls it."""
        refused = [entry for entry in self._pending if entry.on_abandoned]
        self._pending = deque(
            entry for entry in self._pending if not entry.on_abandoned
        )
        for entry in refused:
            _abandon(entry, False)


def _abandon(entry, sent):
    if entry.on_abandoned:
        entry.on_abandoned(sent)
