"""What each queue and width class of a service requested and received recently."""

import math
from dataclasses import dataclass, field

from .widths import RecentWidths, WidthClass

__all__ = ["QueueAccount", "ServiceAccount", "Tally"]

HALF_LIFE_S = 3.0  # as long as the shortest bursts: older demand says little
# Tallies below this number of settled jobs, decayed, say nothing about a share.
MIN_SETTLED_JOBS = 4.0
FLOOR_SHARE = 0.5  # of what the queue, or the mean of all queues, is served
# The effect of going first shows in the account only when jobs have ended, so that a
# class goes first before it has reached its floor.
LEAD = 1.2
# Room is short once the demand exceeds this share of the capacity. Above it, bursts of
# a few wide or long jobs take all room for moments, and estimates may be too low.
SHORT_SHARE = 0.75


@dataclass(slots=True)
class Tally:
    """Decayed sums over settled jobs; work in core-ms."""

    jobs: float = 0.0
    served_jobs: float = 0.0
    requested_core_ms: float = 0.0
    received_core_ms: float = 0.0

    @property
    def share(self):
        """The share of the jobs that were served, None if too few have settled."""
        if self.jobs < MIN_SETTLED_JOBS:
            return None
        return self.served_jobs / self.jobs

    def add(self, core_ms, served):
        """Adds a job that was served, refused or given up."""
        self.jobs += 1
        self.requested_core_ms += core_ms
        if served:
            self.served_jobs += 1
            self.received_core_ms += core_ms

    def decay(self, factor):
        """Lets all sums shrink."""
        self.jobs *= factor
        self.served_jobs *= factor
        self.requested_core_ms *= factor
        self.received_core_ms *= factor


@dataclass(slots=True)
class QueueAccount:
    """The account of one queue; work in core-ms."""

    total: Tally = field(default_factory=Tally)
    classes: dict = field(
        default_factory=lambda: {each: Tally() for each in WidthClass}
    )
    widths: RecentWidths = field(default_factory=RecentWidths)
    _arrived_jobs: float = 0.0
    _arrived_core_ms: float = 0.0

    @property
    def mean_core_ms(self):
        """The mean work of the jobs that have arrived recently."""
        return self._arrived_core_ms / self._arrived_jobs if self._arrived_jobs else 0.0

    @property
    def demand_cpu(self):
        """The work that arrived in a second lately, in thousandths of a core-second."""
        return self._arrived_core_ms * math.log(2) / HALF_LIFE_S

    def arrive(self, width, core_ms):
        """Records a new job; returns its WidthClass."""
        self._arrived_jobs += 1
        self._arrived_core_ms += core_ms
        return self.widths.add(width)

    def settle(self, width_class, core_ms, served):
        """Records that a job was served, refused or given up."""
        self.total.add(core_ms, served)
        self.classes[width_class].add(core_ms, served)

    def decay(self, factor):
        """Lets all sums shrink."""
        self._arrived_jobs *= factor
        self._arrived_core_ms *= factor
        for tally in (self.total, *self.classes.values()):
            tally.decay(factor)

    def classes_below(self, floor):
        """Yields the classes that are served less than ``floor`` or half their queue.

        ``floor`` is a share of the jobs.
        """
        share = self.total.share
        if share is None:
            return
        for width_class, tally in self.classes.items():
            served = share if tally.share is None else tally.share
            if served < LEAD * max(floor, FLOOR_SHARE * share):
                yield width_class


class ServiceAccount:
    """The accounts of the queues whose jobs share the workers of one service."""

    def __init__(self):
        self.queues = {}
        self.below_floor = frozenset()  # (queue's name, width class) pairs
        self.short = False  # whether work for most of the capacity arrives
        self._decayed_at = None

    @property
    def demand_cpu(self):
        """The work that arrives in a second, in thousandths of a core-second."""
        return sum(account.demand_cpu for account in self.queues.values())

    def queue(self, name):
        """Returns the account of a queue, which is new if it has none."""
        account = self.queues.get(name)
        if account is None:
            account = self.queues[name] = QueueAccount()
        return account

    def refresh(self, now, capacity_cpu_s):
        """Lets the sums shrink with time; finds the classes below their floor.

        ``capacity_cpu_s`` is what the workers do in a second, in thousandths of a
        core-second.
        """
        elapsed_s = 0.0 if self._decayed_at is None else now - self._decayed_at
        self._decayed_at = now
        factor = 0.5 ** (max(0.0, elapsed_s) / HALF_LIFE_S)
        for account in self.queues.values():
            account.decay(factor)
        self.short = self.demand_cpu > SHORT_SHARE * capacity_cpu_s
        shares = [account.total.share for account in self.queues.values()]
        known = [share for share in shares if share is not None]
        floor = FLOOR_SHARE * sum(known) / len(known) if known else 0.0
        self.below_floor = frozenset(
            (name, width_class)
            for name, account in self.queues.items()
            for width_class in account.classes_below(floor)
        )
