"""Weighted fair service between the flows at one executor.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each flow carries a virtual
finish time that advances by cost over weight, and the flow with the smallest virtual
start is served next. A flow that was idle starts at the current virtual time, so it
gathers no credit.
"""

from dataclasses import dataclass

__all__ = ["FairQueue"]

ACTIVE_SECONDS = 5.0  # a flow counts as active this long after its last request


@dataclass(slots=True)
class _Share:
    finish: float = 0.0
    occupied: int = 0
    active_until: float = 0.0


class FairQueue:
    """Chooses which flow gets the next free slot, and how many it may hold."""

    def __init__(self, slots):
        self._slots = slots
        self._virtual = 0.0
        self._shares = {}

    @property
    def slots(self):
        """Slots shared between the flows."""
        return self._slots

    @slots.setter
    def slots(self, value):
        self._slots = value

    def occupied(self, flow):
        """Slots that a flow holds now, granted or running."""
        share = self._shares.get(flow)
        return share.occupied if share else 0

    def occupied_by(self, subsidiary):
        """Slots that all flows of a subsidiary hold now."""
        return sum(
            share.occupied
            for flow, share in self._shares.items()
            if flow.subsidiary == subsidiary
        )

    def touch(self, flow, now):
        """Notes that work of this flow has been asked for."""
        share = self._shares.setdefault(flow, _Share())
        share.active_until = now + ACTIVE_SECONDS

    def limit(self, flow, headroom, now):
        """Slots that this flow may hold at most.

        A flow that is alone may use every slot. Beside other active flows it leaves
        ``headroom`` slots free, so that their next task need not wait.
        """
        for other, share in self._shares.items():
            if other != flow and (share.active_until > now or share.occupied):
                return max(1, self._slots - headroom)
        return self._slots

    def choose(self, flows):
        """Returns the flow to serve next out of ``flows``."""
        return min(flows, key=self._start)

    def take(self, flow, cost, weight):
        """Charges one slot of expected ``cost`` milliseconds to a flow."""
        share = self._shares.setdefault(flow, _Share())
        start = max(share.finish, self._virtual)
        self._virtual = start
        share.finish = start + cost / weight
        share.occupied += 1

    def give_back(self, flow):
        """Frees one slot of a flow."""
        self._shares[flow].occupied -= 1

    def forget_idle(self, now):
        """Drops flows that hold nothing and have not asked for anything lately."""
        idle = [
            flow
            for flow, share in self._shares.items()
            if not share.occupied and share.active_until <= now
        ]
        for flow in idle:
            del self._shares[flow]

    def _start(self, flow):
        share = self._shares.get(flow)
        return max(share.finish if share else 0.0, self._virtual)
