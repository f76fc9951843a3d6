"""The configuration in force, agreed on by reading one guarded stream."""

from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

from .documents import Document
from .errors import FindingsError
from .messages import ConfigurationReply

__all__ = [
    "Accepted",
    "Configuration",
    "Conflict",
    "Invalid",
    "Verdict",
    "VersionRecord",
]

NO_VERSION = -1
MAX_VERDICTS = 1_024
MAX_REPEATS = 16
REPUBLISH_SHARE = 0.5  # of the stream's retention
REPUBLISH_SPREAD = 0.1  # of that share, so that processes rarely race


class VersionRecord(msgspec.Struct, frozen=True):
    """A version on the stream.

    ``base`` is the offset of the version it was made from, -1 for the first one;
    ``tag`` is unique to the attempt; ``document`` is a JSON document.
    """

    base: int
    tag: str
    document: msgspec.Raw


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record was in force from its offset on."""

    offset: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The record lost against ``in_force``, the version in force at its offset."""

    offset: int
    in_force: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The record's document has faults."""

    offset: int
    findings: tuple


Verdict = Accepted | Conflict | Invalid


@dataclass(frozen=True, slots=True)
class _Version:
    """A version; ``written_at`` is None where its record was not read.

    ``repeats`` holds the offsets of the versions that it repeats, newest last.
    """

    offset: int
    document: Document
    data: bytes
    written_at: float | None = None
    repeats: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Gap:
    """Records before ``end`` were not read; ``base`` is the highest base taken."""

    end: int
    base: int
    settled: bool = False


class Configuration:
    """One reader of the configuration stream; times are monotonic seconds.

    A record is accepted if its base is the version in force at its offset and its
    document is valid. So every reader of the whole stream accepts the same records.

    A reader that finds the records before some offset expired does not know which
    version was in force there. A peer's word is best: :meth:`adopt`. Without it,
    take the records whose base lies in the unread part: such a base was in force
    once, so the highest one was in force last, and the first record made from it
    was accepted. The rule holds while the version in force is published again
    before its record expires, since then an accepted record can be read. A record
    taken by it is replaced by a later one with a higher base, until another record
    is made from it, which shows that it was in force.
    """

    def __init__(self, *, retention_s, random):
        spread = random.uniform(1 - REPUBLISH_SPREAD, 1 + REPUBLISH_SPREAD)
        self._republish_after_s = REPUBLISH_SHARE * spread * retention_s
        document = Document()
        self._head = _Version(NO_VERSION, document, document.to_json())
        self._in_force = self._head
        self._position = 0
        self._gap = None
        self._verdicts = OrderedDict()

    @property
    def offset(self):
        """The offset of the version in force, -1 for none."""
        return self._in_force.offset

    @property
    def document(self):
        """The document in force."""
        return self._in_force.document

    @property
    def data(self):
        """The document in force as JSON bytes."""
        return self._in_force.data

    @property
    def position(self):
        """The offset to read the stream from; lower after some adoptions."""
        return self._position

    @property
    def settled(self):
        """Whether peers may be told of the version in force."""
        return self._gap is None or self._gap.settled

    @property
    def advertised(self):
        """The offset to send to peers, -1 for none."""
        return self.offset if self.settled else NO_VERSION

    def is_drained(self, member):
        """Tells whether a member takes no new work."""
        return self.document.drains.covers(member)

    def apply_page(self, page, now):
        """Takes in a :class:`Page`; returns whether another version is in force."""
        before = self.offset
        self._note_first(page.first)
        for record in page.records:
            if record.offset >= self._position:
                self._apply(record, now)
                self._position = record.offset + 1
        self._position = max(self._position, page.resume)
        if self._gap and not page.records:
            self._gap = replace(self._gap, settled=True)
        return self.offset != before

    def wants(self, offset):
        """Tells whether to ask a peer for its version at ``offset``.

        A reader without a gap has itself decided on every offset that it has read.
        """
        is_decided = self._gap is None and offset < self._position
        return offset > self.offset and not is_decided

    def adopt(self, offset, data):
        """Takes a version in force at a peer; returns whether it is in force now.

        Raises FindingsError for an invalid document.
        """
        if not self.wants(offset):
            return False
        version = _Version(offset, Document.from_json(data, "peer"), bytes(data))
        self._in_force = version
        if self._gap or self._position == 0:
            self._head = version
            self._position = offset
            self._gap = None
        return True

    def reply(self):
        """Returns the version in force for a peer, or None if there is none."""
        if self.advertised == NO_VERSION:
            return None
        return ConfigurationReply(self.offset, msgspec.Raw(self.data))

    def republish_due(self, now):
        """Tells whether to publish the version in force again before it expires."""
        version = self._in_force
        if version.offset == NO_VERSION or not self.settled:
            return False
        if version.written_at is None:
            return self._position > version.offset
        return now >= version.written_at + self._republish_after_s

    def rebased(self, base):
        """Returns the version in force if it just repeats ``base``, else ``base``."""
        return self.offset if base in self._in_force.repeats else base

    def verdict(self, tag):
        """Returns what became of the record with a tag, or None if it was not read."""
        return self._verdicts.get(tag)

    def _note_first(self, first):
        """Opens a gap where records before ``first`` expired unread."""
        if first <= self._position:
            return
        if self._in_force.offset > self._head.offset:
            self._head = self._in_force
            self._position = max(self._position, self._head.offset)
        if first > self._position:
            self._gap = _Gap(first, self._head.offset)

    def _apply(self, record, now):
        written_at = now - record.age_ms / 1000
        if record.offset == self._head.offset:
            self._move(replace(self._head, written_at=written_at))
            return
        try:
            version = msgspec.json.decode(record.data, type=VersionRecord)
        except (msgspec.DecodeError, RecursionError):
            return
        self._decide(version.tag, self._judge(record.offset, version, written_at))

    def _judge(self, offset, version, written_at):
        """Accepts or rejects a record, the same way in every reader."""
        if not self._follows(version.base):
            return Conflict(offset, self._head.offset)
        data = bytes(version.document)
        try:
            document = Document.from_json(data, f"offset {offset}")
        except FindingsError as error:
            return Invalid(offset, error.findings)
        self._close_gap(version.base)
        repeats = self._head_repeated_by(document)
        self._move(_Version(offset, document, data, written_at, repeats))
        return Accepted(offset)

    def _head_repeated_by(self, document):
        if document != self._head.document:
            return ()
        return (*self._head.repeats, self._head.offset)[-MAX_REPEATS:]

    def _follows(self, base):
        if base == self._head.offset:
            return True
        return self._gap is not None and self._gap.base < base < self._gap.end

    def _close_gap(self, base):
        if self._gap is None:
            return
        if base < self._gap.end:
            self._gap = replace(self._gap, base=base)
        else:
            self._gap = None

    def _move(self, version):
        self._head = version
        if version.offset >= self._in_force.offset:
            self._in_force = version

    def _decide(self, tag, verdict):
        if isinstance(self._verdicts.get(tag), Accepted):
            return
        self._verdicts[tag] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)
