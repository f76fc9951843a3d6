"""The simulation under load with a cell in each of four data centres.

Placers take callers' jobs and forward them by the claims that they have heard.
"""

import math
from collections import Counter

from banyanwheel_jobs.cells.placers import Placers, offers_of
from banyanwheel_jobs.messages import Claims

from ..owners.overload_world import START_S, OverloadWorld

__all__ = ["CELLS", "CellsWorld", "exchanged"]

CELLS = 4
NEAR_CLAIMS_S = 0.2
REMOTE_CLAIMS_S = 1.0
OFFERS_MAX_AGE_S = 0.02
FORWARDING_S = 0.005  # of a message between data centres
WAVE = 0.55  # of the mean demand, from trough to crest
WAVE_S = 30.0  # from the trough to the crest in half of it
UNEVEN = (1.2, 1.0, 1.0, 0.8)  # mean demand of the cells


class CellsWorld(OverloadWorld):
    """Placer and worker number n belong to cell n modulo four.

    ``burst`` is a (cell, from, until, factor) row. Placers of the ``silent`` cell send
    no claims. With ``balanced`` false, claims carry no backlog.
    """

    def __init__(
        self, *arguments, placers=8, balanced=True, burst=None, silent=None, **options
    ):
        self._balanced = balanced
        self._burst = burst
        self._silent = silent
        self._offers = {}  # (time, offers) by placer
        self.forwarded = Counter()  # by (from cell, to cell, second)
        self.placers = [Placers() for _ in range(placers)]
        for number, known in enumerate(self.placers):
            own = range(number % CELLS, placers, CELLS)
            known.set_near(str(each) for each in own if each != number)
            known.set_own_cells((self._cell_name(number),))
        super().__init__(*arguments, shares=(1.0,) * placers, **options)

    @staticmethod
    def _cell_name(number):
        return f"dc-{number % CELLS}/0"

    def _build_owner(self, placer):
        owner = super()._build_owner(placer)
        for number, worker in enumerate(self._workers):
            if number % CELLS != placer % CELLS:
                del owner.views[worker.name]
        return owner

    def play(self):
        self._every(NEAR_CLAIMS_S, lambda: self._send_claims(near=True))
        for cell in range(CELLS):  # not all at the same time
            at = START_S + REMOTE_CLAIMS_S * (cell + 1) / CELLS - REMOTE_CLAIMS_S
            self._at(at, lambda cell=cell: self._start_claims(cell))
        super().play()

    def _start_claims(self, cell):
        self._send_claims(near=False, cell=cell)
        self._every(REMOTE_CLAIMS_S, lambda: self._send_claims(near=False, cell=cell))

    def _send_claims(self, near, cell=None):
        self._shares = [self._weight(each % CELLS) for each in range(len(self.owners))]
        for sender in range(len(self.owners)):
            if sender % CELLS == self._silent or cell not in (None, sender % CELLS):
                continue
            claims = Claims(
                (),
                {},
                (self._cell_name(sender),),
                self._offers_of(sender),
                round(self.now * 1000),
            )
            for number, known in enumerate(self.placers):
                if number != sender and (number % CELLS == sender % CELLS) == near:
                    known.hear(str(sender), "one", claims, self.now)

    def _offers_of(self, placer):
        at, offers = self._offers.get(placer, (0.0, ()))
        if self.now - at > OFFERS_MAX_AGE_S:
            owner, demand = self.owners[placer], self.placers[placer].demand
            facts = (owner.waiting_cpu_ms, demand) if self._balanced else ()
            offers = offers_of(owner.views.values(), self.now, *facts)
            self._offers[placer] = self.now, offers
        return offers

    # Demand

    def _weight(self, cell):
        elapsed = self.now - START_S
        phase = 2 * math.pi * (elapsed / WAVE_S + cell / CELLS)
        weight = UNEVEN[cell] * (1 + WAVE / 2 * math.sin(phase))
        if self._burst and self._burst[0] == cell:
            _, since, until, factor = self._burst
            weight *= factor if since <= elapsed < until else 1
        return weight

    def _rate(self, kind):
        return super()._rate(kind) * sum(self._shares) / len(self._shares)

    def _route(self, call):
        known, now = self.placers[call.placer], self.now
        known.demand.record(call.submission, now)
        placer = known.choose(call.submission, now, self._offers_of(call.placer))
        if placer is None:
            return super()._route(call)
        known.record_sent(placer, call.submission)
        number = int(placer.address)
        route = call.placer % CELLS, number % CELLS, int(now - START_S)
        self.forwarded[route] += 1
        return self.owners[number], FORWARDING_S

    # Workers

    def _report(self, worker, placer, ends=()):
        if worker.name in self.owners[placer].views:
            super()._report(worker, placer, ends)


def exchanged(world):
    """Returns the number of pairs of jobs that crossed within one second."""
    moved = world.forwarded
    return sum(min(moved[a, b, s], moved[b, a, s]) for a, b, s in list(moved) if a < b)
