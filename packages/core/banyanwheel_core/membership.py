"""Which agents there are, from their announcements on the log and from peers."""

from dataclasses import dataclass, replace

from .effects import Peer
from .log_clock import LogClock
from .messages import KnownMember, MemberRecord, MembersReply
from .partners import choose_partners
from .suspicion import Suspicions

__all__ = ["Membership"]

QUIET_SHARE = 0.5  # of a lifetime; members announce at a third
READ_SPACING_S = 0.01  # per member
MAX_READ_SPACING_S = 2.0
MAX_HANDOVERS = 8  # in a row
NOT_ON_LOG = -1


@dataclass(frozen=True, slots=True)
class _Entry:
    """The newest announcement under a name.

    ``offset`` is the record's own, ``highest`` the highest known under the name,
    ``written_at`` in monotonic seconds, ``expires_at`` by the log clock.
    """

    record: MemberRecord
    offset: int
    highest: int
    written_at: float
    expires_at: float

    @property
    def key(self):
        return self.record.name, self.record.incarnation


class Membership:
    """One process's view of the agents; times are monotonic seconds.

    Two records under one name are ordered by their offsets on the log. A record
    that is not on the log, learnt from a peer in an outage, is ordered by its age.
    Leaving is final for an incarnation and says nothing of another one under the
    same name, so a leave record that lands late does not hide the replacement.
    """

    def __init__(self, name, data_centre, rack, *, random):
        self._name = name
        self._data_centre = data_centre
        self._rack = rack
        self._clock = LogClock()
        self._suspicions = Suspicions(random)
        self._entries = {}
        self._left = {}
        self._partners = {}
        self._version = 0

    @property
    def members(self):
        """All known member records, leaving ones included."""
        return tuple(entry.record for entry in self._entries.values())

    @property
    def read_spacing_s(self):
        """Seconds between two reads of the stream, so that its load stays even.

        Each of n members announces itself to n readers; reading in proportion to n
        keeps the reads per second the same, up to the longest spacing.
        """
        return min(MAX_READ_SPACING_S, READ_SPACING_S * len(self._entries))

    @property
    def version(self):
        """A number that grows with each change of a member's record."""
        return self._version

    def apply(self, record, offset, age_ms, now):
        """Takes in a record read from the log, ``age_ms`` old at ``now``.

        The own record, before it is on the log, has the offset -1.
        """
        written_at = now - age_ms / 1000
        if offset != NOT_ON_LOG:
            self._clock.heard(written_at, QUIET_SHARE * record.lifetime_ms / 1000)
        self._learn(self._entry(record, offset, written_at))

    def merge(self, members, now):
        """Takes in the :class:`KnownMember` of a peer's :class:`MembersReply`."""
        for known in members:
            written_at = now - known.age_ms / 1000
            self._learn(self._entry(known.record, known.offset, written_at))

    def reply(self, now):
        """Returns this view for a peer; ages are by the log clock."""
        entries = {entry.key: entry for entry in self._entries.values()}
        entries.update(self._left)
        return MembersReply(
            tuple(self._known(entry, now) for entry in entries.values())
        )

    def log_lost(self, now):
        """Notes that the log cannot be read; nothing expires until it can."""
        self._clock.lost(now)

    def log_seen(self, now):
        """Notes that the log answered a read."""
        self._clock.seen(now)

    def tick(self, now):
        """Drops expired members and returns their records; call it after each page."""
        time = self._clock.read(now)
        gone = [entry for entry in self._entries.values() if entry.expires_at <= time]
        for entry in gone:
            del self._entries[entry.record.name]
            self._suspicions.clear(entry.record.name)
        self._left = {
            key: entry for key, entry in self._left.items() if entry.expires_at > time
        }
        if gone:
            self._changed()
        return tuple(entry.record for entry in gone)

    def find(self, name):
        """Returns the newest record under a name, or None."""
        entry = self._entries.get(name)
        return entry.record if entry else None

    def departed(self, name, incarnation):
        """Returns the leave record of an incarnation, or None; it names a successor."""
        entry = self._left.get((name, incarnation))
        return entry.record if entry else None

    def holder(self, peer):
        """Returns who holds the kept answers of a process that may have left.

        That is the process itself, or the end of the chain of successors. A leave
        record names its successor as ``name.incarnation``, or as ``name`` for the
        incarnation known now. None stands for a successor that is not known.
        """
        for _ in range(MAX_HANDOVERS):
            record = self.departed(peer.name, peer.incarnation)
            if record is None or not record.successor:
                break
            name, _, incarnation = record.successor.partition(".")
            successor = self.find(name)
            if not incarnation and successor is None:
                return None
            peer = Peer(name, incarnation or successor.incarnation)
        return peer

    def eligible(self, service):
        """Returns the members that may get new work of a service."""
        return tuple(
            record
            for record in self.members
            if not record.leaving and service in record.services
        )

    def partners(self, service, count):
        """Returns the few members that this sender deals with for a service."""
        key = service, count
        if key not in self._partners:
            self._partners[key] = choose_partners(
                self._name, self._data_centre, self._rack, self.eligible(service), count
            )
        return self._partners[key]

    def suspect(self, name, now):
        """Notes that a member left this sender without an answer."""
        if name in self._entries:
            self._suspicions.suspect(name, now)

    def cleared(self, name):
        """Notes that a member answered this sender."""
        self._suspicions.clear(name)

    def usable(self, name, now):
        """Tells whether a known member may be tried by this sender."""
        return name in self._entries and self._suspicions.usable(name, now)

    def _entry(self, record, offset, written_at):
        expires_at = self._clock.at(written_at) + record.lifetime_ms / 1000
        return _Entry(record, offset, offset, written_at, expires_at)

    def _learn(self, new):
        if new.record.leaving:
            self._note_left(new)
        elif new.key in self._left:
            return
        current = self._entries.get(new.record.name)
        if current is None:
            self._store(new)
        elif _replaces(new, current):
            self._store(_noting(new, current))
        else:
            self._store(_noting(current, new))

    def _note_left(self, new):
        known = self._left.get(new.key)
        if known is None or new.record.successor and not known.record.successor:
            self._left[new.key] = new

    def _store(self, entry):
        previous = self._entries.get(entry.record.name)
        self._entries[entry.record.name] = entry
        if previous is None or previous.record != entry.record:
            self._changed()
        if previous is not None and previous.key != entry.key:
            self._suspicions.clear(entry.record.name)

    def _changed(self):
        self._version += 1
        self._partners.clear()

    def _known(self, entry, now):
        time = self._clock.read(now) if self._clock.started else now
        lifetime_s = entry.record.lifetime_ms / 1000
        age_s = max(0.0, time - (entry.expires_at - lifetime_s))
        return KnownMember(entry.record, int(age_s * 1000), entry.offset)


def _replaces(new, current):
    """Decides between two records under one name."""
    if new.record.leaving and not current.record.leaving:
        return new.key == current.key
    return _is_later(new, current)


def _is_later(new, current):
    if NOT_ON_LOG < new.offset <= current.highest:
        return False
    if new.offset > NOT_ON_LOG and current.offset > NOT_ON_LOG:
        return True
    return new.written_at > current.written_at


def _noting(entry, other):
    return replace(entry, highest=max(entry.highest, other.highest))
