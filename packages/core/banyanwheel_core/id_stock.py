"""Job ids that an entry holds in advance, and the choice of the next coordinator."""

from collections import deque
from dataclasses import dataclass, field

from .effects import Peer, Send
from .ids import JobId
from .messages import BlockRequest
from .partners import rank

__all__ = ["IdStock", "NoIdsError"]

BLOCK_SIZE = 200  # ids asked for at once
LOW_WATER = 100  # ids of a coordinator below which more are asked for
COORDINATORS = 48  # whose ids are held, as far as there are any
FAR_SHARE = 4  # one in four stands in another data centre
REQUEST_SECONDS = 1.0  # until ids are asked for again
SAMPLES = 4  # coordinators compared for one job
REPORT_VALID_SECONDS = 1.0  # an older report of a load counts as none


class NoIdsError(Exception):
    """No coordinator has issued ids to this entry."""


@dataclass(slots=True)
class _Shelf:
    """Ids of one coordinator that are not used yet."""

    ids: deque = field(default_factory=deque)
    expires_at: float = 0.0
    requested_at: float | None = None


@dataclass(slots=True)
class _Report:
    """The last load of an agent, less what was sent there since."""

    free_slots: int
    queued_ms: int
    pace: float
    at: float


class IdStock:
    """Keeps ids of several coordinators; times are monotonic seconds."""

    def __init__(self, name, data_centre, members, random):
        self._name = name
        self._data_centre = data_centre
        self._members = members
        self._random = random
        self._shelves = {}
        self._reports = {}
        self._gone = {}
        self._chosen = ()
        self._chosen_version = None

    def __bool__(self):
        return any(shelf.ids for shelf in self._shelves.values())

    @property
    def requested(self):
        """Names of the coordinators that owe a block."""
        return {
            peer.name for peer, shelf in self._shelves.items() if shelf.requested_at
        }

    def loaded(self, name, load, now):
        """Takes in a load that an agent reported."""
        self._reports[name] = _Report(load.free_slots, load.queued_ms, load.pace, now)

    def fetch(self, now):
        """Asks for ids before those at hand run out."""
        self._drop_stale(now)
        effects = []
        for member in self._coordinators():
            peer = Peer(member.name, member.incarnation)
            shelf = self._shelves.setdefault(peer, _Shelf())
            asked = shelf.requested_at
            if len(shelf.ids) < LOW_WATER and (
                asked is None or now - asked >= REQUEST_SECONDS
            ):
                shelf.requested_at = now
                effects.append(Send(peer, BlockRequest(BLOCK_SIZE)))
        return effects

    def stock(self, sender, block, now):
        """Takes in a block; one of size 0 means that none can be had now."""
        shelf = self._shelves.setdefault(sender, _Shelf())
        shelf.requested_at = None
        if not block.size:
            return
        # Half of the lifetime is left to the caller that uses the id.
        shelf.expires_at = now + block.lifetime_ms / 2_000
        shelf.ids.extend(
            str(JobId(sender, block.block, number)) for number in range(block.size)
        )

    def take(self, now):
        """Takes an id of the least loaded in a sample of coordinators with ids."""
        self._drop_stale(now)
        usable = [
            peer
            for peer, shelf in self._shelves.items()
            if shelf.ids and self._members.usable(peer.name, now)
        ]
        if not usable:
            raise NoIdsError("no coordinator has issued ids to this entry")
        sample = self._random.sample(usable, min(SAMPLES, len(usable)))
        chosen = min(sample, key=lambda peer: self._cost(peer, now))
        report = self._reports.get(chosen.name)
        if report is not None:
            report.free_slots -= 1
        return self._shelves[chosen].ids.popleft()

    def silent(self, name):
        """Asks again for what was asked over a connection that is gone."""
        for peer, shelf in self._shelves.items():
            if peer.name == name:
                shelf.requested_at = None

    def replaced(self, name, incarnation):
        """Drops the ids of the earlier incarnations of a coordinator."""
        member = self._members.find(name)
        if member is not None and member.incarnation != incarnation:
            self._gone[name] = member.incarnation
            self._chosen_version = None
        for peer in [peer for peer in self._shelves if peer.name == name]:
            if peer.incarnation != incarnation:
                del self._shelves[peer]

    def _coordinators(self):
        """The members whose ids are held, most of them in the own data centre."""
        if self._chosen_version != self._members.version:
            self._chosen_version = self._members.version
            self._chosen = self._choose()
        return self._chosen

    def _choose(self):
        members = [
            member
            for member in rank(self._name, self._members.members)
            if not member.leaving and self._gone.get(member.name) != member.incarnation
        ]
        near = [m for m in members if m.data_centre == self._data_centre]
        far = [m for m in members if m.data_centre != self._data_centre]
        near = near[: COORDINATORS - COORDINATORS // FAR_SHARE]
        return tuple(near + far[: COORDINATORS - len(near)])

    def _drop_stale(self, now):
        for peer, shelf in list(self._shelves.items()):
            member = self._members.find(peer.name)
            current = (
                member is not None
                and not member.leaving
                and member.incarnation == peer.incarnation
            )
            if not current or (shelf.ids and shelf.expires_at <= now):
                del self._shelves[peer]

    def _cost(self, peer, now):
        """Orders coordinators: free slots on a fast worker first, then the queue."""
        report = self._reports.get(peer.name)
        if report is None or now - report.at > REPORT_VALID_SECONDS:
            return (False, 1.0, 0)
        busy = report.free_slots <= 0
        return (busy, report.queued_ms if busy else report.pace, -report.free_slots)
