"""An owner's view of one runner and the worker beside it."""

import copy
from dataclasses import dataclass, field

from ..authority import StampTracker
from ..durations.pace import Pace
from ..model import Resources

__all__ = ["RunnerView"]

REPORT_TIMEOUT_S = 0.7  # three heartbeats
FAILURE_MEMORY = 0.8  # weight of the previous failure share at each end of a run
FAILING_SHARE = 0.5  # a worker with a higher failure share is suspected
SUSPECT_S = 2.0  # a worker whose runs fail or stall gets no new ones for this long
TRIAL_RUNS = 2  # at once at a worker on trial; enough to show its pace


@dataclass(slots=True, eq=False)
class RunnerView:
    """What an owner knows of a runner; ``name`` is the address it listens on.

    The runner is at ``home`` with one of the placers of its cell, which uses its room
    first. ``incarnation`` is that of the runner's process. ``outstanding`` holds the
    assignments that no report has shown yet, by (task, run). The owner knows whether
    the data centre is under an ``evacuation``. A runner that is ``borrowed`` belongs to
    a cell in which its owner places no tasks otherwise. Times are seconds of the
    owner's clock.
    """

    name: str
    data_centre: str
    home: bool = True
    incarnation: str = ""
    reconciled: bool = False
    worker: object = None  # a WorkerStatus
    heard_at: float = float("-inf")  # when the last report arrived
    # When the last report of the process ``incarnation`` arrived.
    incarnation_heard_at: float = float("-inf")
    epochs: dict = field(default_factory=dict)
    trust: StampTracker = field(default_factory=StampTracker)
    outstanding: dict = field(default_factory=dict)
    free: Resources = Resources()  # less the outstanding assignments
    newly_freed: Resources = Resources()  # by the last report
    listed: set = field(default_factory=set)  # (task, run) in the last report
    reported: tuple = ("", 0)  # incarnation and stamp of the last report
    failure_share: float = 0.0
    suspect_until: float = 0.0
    reopened_at: float = 0.0
    evacuation: bool = False
    borrowed: bool = False
    pace: Pace = field(default_factory=Pace)

    @property
    def evacuated(self):
        """Whether nothing may be started there, by the owner's or the runner's word."""
        return self.evacuation or (self.worker is not None and self.worker.evacuated)

    def usable(self, now):
        """Returns whether tasks may be placed at the runner at all."""
        return self.heard(now) and self.worker.accepting and not self.evacuated

    def heard(self, now):
        """Returns whether the runner has reported lately, and has a worker."""
        return (
            self.reconciled
            and self.worker is not None
            and now - self.heard_at < REPORT_TIMEOUT_S
        )

    def copy(self):
        """Returns a view at which tasks can be placed without an effect on this one."""
        other = copy.copy(self)
        other.outstanding = dict(self.outstanding)
        other.pace = self.pace.copy()
        return other

    def add_assignment(self, key, assignment):
        """Records an assignment and subtracts its resources from the free ones."""
        self.outstanding[key] = assignment
        self.free = self.free - assignment.resources

    def drop_assignment(self, key):
        """Drops an assignment that will not be carried out any more."""
        if self.outstanding.pop(key, None) is not None:
            self._count_free()

    def _count_free(self):
        free = self.worker.free if self.worker is not None else Resources()
        for assignment in self.outstanding.values():
            free = free - assignment.resources
        self.free = free

    @property
    def slowness(self):
        """The ratio of the expected run time to a task's estimate, within limits."""
        return self.slowness_for(None)

    def slowness_for(self, kind):
        """Returns the slowness for tasks of one kind, or all of them if it is None."""
        return self.pace.estimate(self.worker.slowness, kind).slowness

    def refresh_pace(self, durations, now):
        """Renews what is known of the worker's pace, if that is due."""
        if self.worker is not None and self.pace.due(now):
            self.pace.refresh(self.worker.slowness, durations, now)

    @property
    def trial_full(self):
        """Whether the worker is on trial and has as many runs as it is tried with."""
        return (
            self.pace.on_trial
            and len(self.listed) + len(self.outstanding) >= TRIAL_RUNS
        )

    def suspected(self, now):
        """Returns whether runs at the worker have recently failed or stalled."""
        return now < self.suspect_until

    def suspect(self, now):
        """Keeps new runs away from the worker for ``SUSPECT_S``, then tries it."""
        self.suspect_until = now + SUSPECT_S
        self.pace.begin_trial()

    def record_end(self, failed, now):
        """Updates the failure share; suspects the worker if too many runs fail."""
        self.failure_share *= FAILURE_MEMORY
        if failed:
            self.failure_share += 1 - FAILURE_MEMORY
            if self.failure_share > FAILING_SHARE:
                self.suspect(now)

    def apply_report(self, report):
        """Updates the view; assignments that the report shows are not outstanding."""
        if self.worker is not None and report.worker is not None:
            if report.worker.incarnation != self.worker.incarnation:
                self.pace.begin_trial()
            self.newly_freed = report.worker.free.excess_over(self.worker.free)
        self.worker = report.worker
        self.listed = {(status.task, status.run) for status in report.runs}
        self.listed.update((end.task, end.run) for end in report.ends)
        if self.outstanding:
            for key in self.listed:
                self.outstanding.pop(key, None)
        self._count_free()

    def reject_stale(self, incarnation, stamp):
        """Returns True if a report is older than the last one; records it otherwise."""
        if self.reported[0] == incarnation and stamp < self.reported[1]:
            return True
        self.reported = (incarnation, stamp)
        return False

    def room_for(self, resources):
        """Returns whether a task fits into the free resources.

        At a runner that is at home elsewhere, only resources that were free in the last
        two reports count: the other placer has had the time to use them.
        """
        free = self.free if self.home else self.free - self.newly_freed
        return resources.fits(free)
