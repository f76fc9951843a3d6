"""The dispatchers that place tasks, as one dispatcher hears of them, and their choice.

A job goes to a placer of its caller's data centre if that has what the job needs and
room for it, else to one elsewhere that has much room. Between cells that tell what
waits there, the balance of their waits decides.
"""

import copy
import zlib
from collections import Counter
from dataclasses import dataclass, field

from ..authority import StampTracker
from ..messages import UNKNOWN_BACKLOG, ServiceOffer
from .balance import CellLoad, DemandMeter, choose_cell, spread_job, work_cpu_ms
from .election import CLAIMS_TIMEOUT_S
from .rules import Rule

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
    # Work sent there since its last claims, by service, in thousandths of a core x ms.
    sent_cpu_ms: Counter = field(default_factory=Counter)


class Placers:
    """The other dispatchers that sent claims, by address.

    A task takes ``remote_rack_factor`` times as long away from its data. ``demand``
    measures what the callers of this dispatcher submit, and those of dispatchers of
    this data centre that place no tasks.
    """

    def __init__(self, remote_rack_factor=1.0, event_log=None):
        self._remote_rack_factor = remote_rack_factor
        self._placers = {}
        self._near = frozenset()
        self._own_cells = ()
        self._event_log = event_log
        self.demand = DemandMeter()

    @property
    def near(self):
        """The addresses of the dispatchers that send claims often."""
        return self._near

    def set_near(self, addresses):
        """Sets the dispatchers of this data centre, which send claims often."""
        self._near = frozenset(addresses)

    def set_own_cells(self, names):
        """Sets the names of the cells in which this dispatcher places tasks."""
        self._own_cells = tuple(names)

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
        placer.sent_cpu_ms.clear()
        placer.clock.receive(claims.sent_at_ms, now)

    @staticmethod
    def record_sent(placer, submission):
        """Records that a job was sent to a placer, whose last claims don't show it."""
        service = submission.queue.service
        placer.sent_cpu_ms[service] += work_cpu_ms(submission)

    def record_hosted(self, address, submission, now):
        """Records a job that another dispatcher has sent here, for the demand."""
        placer = self._placers.get(address)
        if address in self._near and (placer is None or not placer.cells):
            self.demand.record(submission, now)

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
        return self._choose(submission, now, own_offers, excluded)[0]

    def explain(self, submission, now, own_offers=None, excluded=()):
        """Returns what :meth:`choose` would return and its Rule; logs nothing."""
        quiet = copy.copy(self)
        quiet._event_log = None
        return quiet._choose(submission, now, own_offers, excluded)

    def _choose(self, submission, now, own_offers, excluded):
        candidates = self._candidates(now, excluded)
        if own_offers is not None and _keeps(own_offers, submission):
            return None, Rule.ROOM_HERE
        near = [placer for placer in candidates if placer.address in self._near]
        if own_offers is None:
            roomy = [placer for placer in near if _keeps(placer.offers, submission)]
            if roomy:
                return _by_job(roomy, submission.job_id), Rule.ROOM_NEAR
        far = [placer for placer in candidates if placer.address not in self._near]
        own, others = self._loads(submission, candidates, own_offers, now)
        roomy = _with_room(far, submission, ROOMY_SHARE)
        known = bool(others) if own is None else own.known
        if known and not _racks(submission):
            # Much room there now is no reason for all cells to send all their jobs.
            roomy = [
                placer for placer in roomy if not _knows_backlog(placer, submission)
            ]
        if roomy:
            rule = Rule.DATA if _racks(submission) else Rule.MUCH_ROOM
            return _by_job(roomy, submission.job_id), rule
        if known:
            cell = self._balance(submission, own, others, now)
            if cell is not own:
                return _by_job(cell.placers, submission.job_id), Rule.LESS_WAIT
        if own_offers is not None and suits(own_offers, submission):
            return None, Rule.LEAST_WAIT_HERE if known else Rule.SUITABLE_HERE
        return self._last_resort(near, far, submission, own_offers)

    def _loads(self, submission, candidates, own_offers, now):
        """Returns the CellLoad of the own cell, None for none, and those of others.

        For a dispatcher that places no tasks, the own cell is a near one.
        """
        service = submission.queue.service
        loads = {}
        own_offer = None if own_offers is None else _offer_for(own_offers, submission)
        if own_offer is not None:
            own = CellLoad.from_offer(None, own_offer, now, now)
            loads[self._own_cells] = own
        for placer in candidates:
            offer = _offer_for(placer.offers, submission)
            if offer is None or not offer.capacity_cpu:
                continue
            load = placer, offer, placer.heard_at, now, placer.sent_cpu_ms[service]
            if placer.cells in loads:
                loads[placer.cells].add(*load)
            else:
                loads[placer.cells] = CellLoad.from_offer(*load)
        if own_offers is None:
            own = self._near_load(submission, loads)
        elif own_offer is None:
            own = None
        return own, [load for load in loads.values() if load is not own and load.known]

    def _near_load(self, submission, loads):
        """Returns the CellLoad of the near placer that gets a job at the latest."""
        near = [
            placer
            for load in loads.values()
            for placer in load.placers
            if placer.address in self._near
        ]
        return loads[_by_job(near, submission.job_id).cells] if near else None

    def _balance(self, submission, own, others, now):
        """Returns the CellLoad to which the waits send a job, which may be its own."""
        extra_s = self._extra_s(submission)
        if own is None:
            demand_cpu, _ = self.demand.rate(submission.queue.service, now)
            return spread_job(submission, others, demand_cpu, extra_s)
        if _has_room(own.offer, submission):
            # Only the job's data is elsewhere.
            others = [load for load in others if not extra_s(load)]
        cell = choose_cell(submission, own, others, extra_s)
        if cell is None:
            return own
        if self._event_log is not None:
            self._log_move(submission, own, cell)
        return cell

    def _log_move(self, submission, own, cell):
        run_ms = submission.critical_path_ms
        self._event_log(
            "request:balanced",
            job=submission.job_id,
            cells=cell.placers[0].cells,
            wait_ms=round(1000 * own.expected_wait_s(run_ms)),
            wait_there_ms=round(1000 * cell.expected_wait_s(run_ms)),
        )
        self._event_log.count("banyanwheel.forwards", "less-wait")

    def _extra_s(self, submission):
        """Returns a function: how much longer a job runs in a cell without its data."""
        racks = _racks(submission)
        longer = max(0.0, self._remote_rack_factor - 1)
        extra_s = longer * submission.critical_path_ms / 1000

        def extra(cell):
            return extra_s if racks and racks.isdisjoint(cell.offer.labels) else 0.0

        return extra

    def has_room(self, submission, now, excluded):
        """Returns whether a placer that is not excluded has room for a job."""
        candidates = self._candidates(now, excluded)
        return any(_keeps(placer.offers, submission) for placer in candidates)

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
        """Returns a placer without enough room, the best of its kind, and the Rule."""
        suitable = [
            group
            for group in (
                [placer for placer in near if suits(placer.offers, submission)],
                [placer for placer in far if suits(placer.offers, submission)],
            )
            if group
        ]
        if suitable:
            return _by_job(suitable[0], submission.job_id), Rule.SUITABLE_THERE
        if own_offers is not None or not (near or far):
            return None, Rule.NONE_SUITABLE
        return _by_job(near or far, submission.job_id), Rule.NONE_SUITABLE


def offers_of(views, now, waiting_cpu_ms=None, demand=None):
    """Returns the ServiceOffer of each service for the usable ones of ``views``.

    ``waiting_cpu_ms`` is the work that waits for room, by service, and ``demand`` the
    DemandMeter of this dispatcher's callers; both are None where they don't matter.
    """
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
            UNKNOWN_BACKLOG
            if waiting_cpu_ms is None
            else max(0, waiting_cpu_ms.get(service, 0)),
            *((0, 0) if demand is None else demand.rate(service, now)),
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
    racks = _racks(submission)
    if racks and racks.isdisjoint(offer.labels):
        return -1.0
    return offer.free_cpu / offer.capacity_cpu


def _racks(submission):
    return {step.rack for step in submission.steps if step.rack}


def _knows_backlog(placer, submission):
    """Returns whether a placer tells what waits for room there."""
    offer = _offer_for(placer.offers, submission)
    return offer is not None and offer.waiting_cpu_ms != UNKNOWN_BACKLOG


def _keeps(offers, submission):
    """Returns whether a job stays in a cell without regard to others."""
    return _free_share(offers, submission) > CROWDED_SHARE and _has_room(
        _offer_for(offers, submission), submission
    )


def _has_room(offer, submission):
    """Returns whether a cell has room, wherever the data of a job is.

    Beside tasks of 2.8 cores, full workers of 32 have 4% left, too little for another
    one, and the reserve for urgent jobs is 5%. So what waits decides, unless there is
    much room.
    """
    free_share = offer.free_cpu / max(1, offer.capacity_cpu)
    wait_ms = offer.waiting_cpu_ms / max(1, offer.capacity_cpu)
    return free_share > ROOMY_SHARE or (
        free_share > CROWDED_SHARE and wait_ms <= submission.queue.target_ms
    )


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
