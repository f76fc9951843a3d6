"""An owner's view of one runner and the worker beside it."""

from dataclasses import dataclass, field

from .authority import StampTracker
from .model import Resources

__all__ = ["RunnerView"]

REPORT_TIMEOUT_S = 0.7  # three heartbeats
FAILURE_MEMORY = 0.8  # weight of what was known before, at each end
FAILING_SHARE = 0.5
SUSPECT_S = (
    2.0  # a worker whose runs fail or stand still gets no new ones for this long
)
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0


@dataclass(slots=True, eq=False)
class RunnerView:
    """What an owner knows of a runner; ``name`` is the address it listens on.

    ``incarnation`` is that of the runner's process. ``outstanding`` are the orders that
    no report has shown yet, by (task, run).
    """

    name: str
    data_centre: str
    incarnation: str = ""
    reconciled: bool = False
    worker: object = None  # a WorkerStatus
    heard_at: float = float("-inf")
    known_at: float = float("-inf")  # the same for its process ``incarnation``
    epochs: dict = field(default_factory=dict)
    trust: StampTracker = field(default_factory=StampTracker)
    outstanding: dict = field(default_factory=dict)
    free: Resources = Resources()  # what is left after the orders since the last report
    listed: set = field(default_factory=set)  # (task, run) of the last report
    reported: tuple = ("", 0)  # incarnation and stamp of the last report
    failure_share: float = 0.0
    suspect_until: float = 0.0
    reopened_at: float = 0.0

    def usable(self, now):
        """Tells whether tasks may be placed there at all."""
        return (
            self.reconciled
            and self.worker is not None
            and self.worker.accepting
            and now - self.heard_at < REPORT_TIMEOUT_S
        )

    def add_assignment(self, key, order):
        """Notes an order that no report shows yet."""
        self.outstanding[key] = order
        self.free = self.free - order.resources

    def drop_assignment(self, key):
        """Forgets an order that will not be carried out any more."""
        if self.outstanding.pop(key, None) is not None:
            self._count_free()

    def _count_free(self):
        free = self.worker.free if self.worker is not None else Resources()
        for order in self.outstanding.values():
            free = free - order.resources
        self.free = free

    @property
    def slowness(self):
        """The expected run time over a task's estimate."""
        known = self.worker.slowness or 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, known))

    def suspected(self, now):
        """Whether runs there have failed or stood still a short while ago."""
        return now < self.suspect_until

    def suspect(self, now):
        """Notes that a run stands still there."""
        self.suspect_until = now + SUSPECT_S

    def record_end(self, failed, now):
        """Takes an end into the share of failures."""
        self.failure_share *= FAILURE_MEMORY
        if failed:
            self.failure_share += 1 - FAILURE_MEMORY
            if self.failure_share > FAILING_SHARE:
                self.suspect(now)

    def apply_report(self, report):
        """Notes what a report shows, and drops the orders among it."""
        self.worker = report.worker
        self.listed = {(status.task, status.run) for status in report.runs}
        self.listed.update((end.task, end.run) for end in report.ends)
        if self.outstanding:
            for key in self.listed:
                self.outstanding.pop(key, None)
        self._count_free()

    def reject_stale(self, incarnation, stamp):
        """Tells whether a report is older than the last one, and notes it if not."""
        if self.reported[0] == incarnation and stamp < self.reported[1]:
            return True
        self.reported = (incarnation, stamp)
        return False

    def room_for(self, resources):
        """Tells whether a task fits in what is left."""
        return resources.fits(self.free)
