"""The dispatchers that place tasks, as one dispatcher hears of them, and their choice.

A job goes to a placer of its caller's data centre if that has what the job needs and
room for it, else to the one elsewhere that has most room.
"""

import zlib
from dataclasses import dataclass, field

from ..authority import StampTracker
from ..messages import ServiceOffer
from .election import CLAIMS_TIMEOUT_S

__all__ = ["Placer", "Placers", "offers_of", "suits"]

# Placers that are not of this data centre, or that have nothing to do with this
# dispatcher, send their claims more rarely.
REMOTE_CLAIMS_TIMEOUT_S = 2.5
CROWDED_SHARE = 0.03  # of a cell's capacity; with less free room, jobs go elsewhere
ROOMY_SHARE = 0.10  # another cell needs this much free room to get them


@dataclass(slots=True, eq=False)
class Placer:
    """A dispatcher as its claims describe it.

    ``clock`` tracks the stamps of its claims; ``heard_at`` is in seconds of the own
    clock.
    """

    address: str
    incarnation: str = ""
    cells: tuple[str, ...] = ()
    offers: tuple[ServiceOffer, ...] = ()
    heard_at: float = float("-inf")
    clock: StampTracker = field(default_factory=StampTracker)


class Placers:
    """The other dispatchers that sent claims, by address."""

    def __init__(self):
        self._placers = {}
        self._near = frozenset()

    @property
    def near(self):
        """The addresses of the dispatchers that send claims often."""
        return self._near

    def set_near(self, addresses):
        """Sets the dispatchers of this data centre, which send claims often."""
        self._near = frozenset(addresses)

    def get(self, address):
        """Returns the Placer of an address, or None."""
        return self._placers.get(address)

    def hear(self, address, incarnation, claims, now):
        """Records claims; the clock of a new incarnation starts anew."""
        placer = self._placers.setdefault(address, Placer(address))
        if placer.incarnation != incarnation:
            placer.clock.forget()
        placer.incarnation = incarnation
        placer.cells = claims.cells
        placer.offers = claims.offers
        placer.heard_at = now
        placer.clock.receive(claims.sent_at_ms, now)

    def forget_absent(self, addresses):
        """Drops the dispatchers that are no longer members and send nothing."""
        for address in set(self._placers) - set(addresses):
            if not self._placers[address].cells:
                del self._placers[address]

    def is_silent(self, placer, now):
        """Returns whether a placer has sent no claims for longer than it should."""
        near = placer.address in self._near
        timeout_s = CLAIMS_TIMEOUT_S if near else REMOTE_CLAIMS_TIMEOUT_S
        return now - placer.heard_at > timeout_s

    def live(self, now):
        """Returns the addresses of the placers heard of lately, by cell."""
        live = {}
        for placer in self._placers.values():
            if not self.is_silent(placer, now):
                for cell in placer.cells:
                    live.setdefault(cell, set()).add(placer.address)
        return live

    def _candidates(self, now, excluded):
        return [
            placer
            for placer in self._placers.values()
            if placer.cells
            and placer.clock.newest
            and placer.address not in excluded
            and not self.is_silent(placer, now)
        ]

    def choose(self, submission, now, own_offers=None, excluded=()):
        """Returns the Placer for a job, or None for this dispatcher itself.

        ``own_offers`` are what this dispatcher can place on, None if it places no
        tasks. None is also returned if no placer is known.
        """
        candidates = self._candidates(now, excluded)
        if (
            own_offers is not None
            and _free_share(own_offers, submission) > CROWDED_SHARE
        ):
            return None
        near = [placer for placer in candidates if placer.address in self._near]
        if own_offers is None:
            roomy = _with_room(near, submission, CROWDED_SHARE)
            if roomy:
                return _by_job(roomy, submission.job_id)
        far = [placer for placer in candidates if placer.address not in self._near]
        roomy = _with_room(far, submission, ROOMY_SHARE)
        if roomy:
            return _by_job(roomy, submission.job_id)
        if own_offers is not None and suits(own_offers, submission):
            return None
        return self._last_resort(near, far, submission, own_offers)

    def has_room(self, submission, now, excluded):
        """Returns whether a placer that is not excluded has room for a job."""
        candidates = self._candidates(now, excluded)
        return bool(_with_room(candidates, submission, CROWDED_SHARE))

    def has_suitable(self, submission, now, excluded):
        """Returns whether a placer that is not excluded has workers for a job."""
        candidates = self._candidates(now, excluded)
        return any(suits(placer.offers, submission) for placer in candidates)

    def has_roomy_offer(self, submission, now):
        """Returns whether a placer has much room for a job, on any rack."""
        for placer in self._candidates(now, ()):
            offer = _offer_for(placer.offers, submission)
            if offer and offer.free_cpu > ROOMY_SHARE * offer.capacity_cpu:
                return True
        return False

    @staticmethod
    def _last_resort(near, far, submission, own_offers):
        """Returns a placer without enough room, the best of its kind."""
        suitable = [
            group
            for group in (
                [placer for placer in near if suits(placer.offers, submission)],
                [placer for placer in far if suits(placer.offers, submission)],
            )
            if group
        ]
        if suitable:
            return _by_job(suitable[0], submission.job_id)
        if own_offers is not None or not (near or far):
            return None
        return _by_job(near or far, submission.job_id)


def offers_of(views, now):
    """Returns the ServiceOffer of each service for the usable ones of ``views``."""
    by_service = {}
    for view in views:
        if view.usable(now):
            by_service.setdefault(view.worker.service, []).append(view)
    return tuple(
        ServiceOffer(
            service,
            sum(max(0, view.free.cpu) for view in group),
            sum(view.worker.capacity.cpu for view in group),
            tuple(sorted({label for view in group for label in view.worker.labels})),
        )
        for service, group in sorted(by_service.items())
    )


def suits(offers, submission):
    """Returns whether offers have the service and the labels that a job requires."""
    return _offer_for(offers, submission) is not None


def _offer_for(offers, submission):
    """Returns the offer of the job's service if it has the labels, else None."""
    for offer in offers:
        if offer.service == submission.queue.service:
            return offer if submission.labels.issubset(offer.labels) else None
    return None


def _free_share(offers, submission):
    """Returns the free share of the capacity that suits a job, -1 for none.

    A cell without the rack that holds the job's data has no room for it, as long as
    another one has.
    """
    offer = _offer_for(offers, submission)
    if offer is None or not offer.capacity_cpu:
        return -1.0
    racks = {step.rack for step in submission.steps if step.rack}
    if racks and racks.isdisjoint(offer.labels):
        return -1.0
    return offer.free_cpu / offer.capacity_cpu


def _with_room(placers, submission, share):
    return [
        placer for placer in placers if _free_share(placer.offers, submission) > share
    ]


def _by_job(placers, job_id):
    """Returns the same placer for the same job, wherever it is submitted."""
    return max(
        placers,
        key=lambda placer: zlib.crc32(f"{job_id}|{placer.address}".encode()),
    )
