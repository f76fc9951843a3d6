"""A model of a worker, built from its published behaviour."""

from dataclasses import dataclass, field

from banyanwheel_jobs.model import Resources
from banyanwheel_jobs.ports import (
    StartOutcome,
    WorkerEnd,
    WorkerHeartbeat,
    WorkerListing,
    WorkerRun,
)

LEASE_S = 1.0
START_DELAY_S = 0.3  # longer than a runner waits for the answer
SERVICE = "desk"
CAPACITY = Resources(2_000, 1_000, 0)


@dataclass
class WorkerModel:
    """A worker that reports its starts and ends to the world, which checks them."""

    world: object
    name: str
    incarnation_number: int = 0
    began_at: float = 0.0
    born_offset_ms: int = 0  # how far its wall clock is ahead of the world's
    clock_rate: float = 1.0  # of its steady clock
    lease_expires_at: float = 0.0
    fence: int = 0
    running: dict = field(default_factory=dict)  # end time by (task, run)
    ended: list = field(default_factory=list)
    last_ended_run: dict = field(default_factory=dict)  # highest ended run by task
    number: int = 0
    lapsed_at: float = 0.0
    stuck: bool = False
    unresponsive: bool = False
    slowness: float = 1.0  # of the runs that it starts
    refusing: bool = False  # refuses starts, as an unhealthy worker does
    run_durations_s: dict = field(default_factory=dict)
    ended_at: dict = field(default_factory=dict)
    stalled_at: dict = field(default_factory=dict)  # time by (task, run)
    delayed_starts: list = field(default_factory=list)  # (due time, incarnation, start)

    @property
    def incarnation(self):
        return f"{self.name}@{self.incarnation_number}"

    @property
    def clock_ms(self):
        return round((self.world.now - self.began_at) * 1000 * self.clock_rate) + 1

    @property
    def born_ms(self):
        return round(self.began_at * 1000) + self.born_offset_ms

    def end_due_runs(self):
        """Ends the runs that are complete or whose lease has expired."""
        if self.lease_expires_at < self.world.now:
            self.lapsed_at = self.world.now
        for key, end in sorted(self.running.items(), key=lambda item: item[1]):
            if self.stuck and end <= self.lease_expires_at:
                continue
            if min(end, self.lease_expires_at) <= self.world.now:
                self._end(key, "done" if end <= self.lease_expires_at else "lapsed")

    def _end(self, key, kind):
        del self.running[key]
        self.number += 1
        self.last_ended_run[key[0]] = max(self.last_ended_run.get(key[0], 0), key[1])
        self.ended.append(WorkerEnd(self.number, *key, kind, ""))
        self.ended_at[self.number] = self.world.now
        self.world.record_end(self, key, kind)

    def delay_start(self, *start):
        """Delays a start until after its sender has aborted the call."""
        self.delayed_starts.append(
            (self.world.now + START_DELAY_S, self.incarnation_number, start)
        )

    def deliver_delayed_starts(self):
        """Carries out the delayed starts that are due, none from before a crash."""
        due = [entry for entry in self.delayed_starts if entry[0] <= self.world.now]
        self.delayed_starts = [
            entry for entry in self.delayed_starts if entry[0] > self.world.now
        ]
        for _, incarnation_number, start in due:
            if incarnation_number == self.incarnation_number:
                self.start(*start)

    def start(self, run, deadline_ms, fence, run_s):
        self.end_due_runs()
        if self.refusing:
            return StartOutcome.UNHEALTHY
        key = run.key
        if fence < self.fence:
            return StartOutcome.FENCED
        self.fence = fence
        if key in self.running:
            return StartOutcome.STARTED
        if self.last_ended_run.get(key[0], 0) >= key[1]:
            return StartOutcome.OUTDATED
        if deadline_ms <= self.clock_ms:
            return StartOutcome.LATE
        self._extend_lease(deadline_ms)
        run_s *= self.slowness
        self.running[key] = self.world.now + run_s
        self.run_durations_s[key] = run_s
        self.world.record_start(self, key)
        return StartOutcome.STARTED

    def stop(self, key, fence):
        self.end_due_runs()
        if fence >= self.fence and key in self.running:
            self._end(key, "stopped")

    def renew_lease(self, fence, acknowledged, deadline_ms):
        self.end_due_runs()
        if fence < self.fence:
            return None
        self.fence = fence
        for end in self.ended:
            if end.number <= acknowledged:
                self.world.record_acknowledged(self, end)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        self._extend_lease(deadline_ms)
        running = tuple(WorkerRun(*key, "", self._percent(key)) for key in self.running)
        return WorkerListing(self.clock_ms, running, tuple(self.ended))

    def verify(self, fence):
        """Answers the call that shows a runner which life it reaches."""
        self.fence = max(self.fence, fence)

    def stall(self):
        """Stalls all runs at the progress that they have made."""
        for key, end in self.running.items():
            self.stalled_at[key] = self.world.now
            self.running[key] = end + 10_000.0

    def _percent(self, key):
        if self.stuck:
            return 0
        if key in self.stalled_at:
            began = self.running[key] - 10_000.0 - self.run_durations_s[key]
            return round(
                100 * (self.stalled_at[key] - began) / self.run_durations_s[key]
            )
        remaining_s = max(0.0, self.running[key] - self.world.now)
        return round(100 * (1 - remaining_s / self.run_durations_s[key]))

    def _extend_lease(self, deadline_ms):
        if deadline_ms is None:
            return
        lease_s = min(LEASE_S, (deadline_ms - self.clock_ms) / 1000)
        expires_at = self.world.now + lease_s / self.clock_rate
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def crash(self, set_back_s=0.0):
        """Begins a new life; its wall clock may be set back meanwhile."""
        self.world.record_worker_loss(self)
        self.incarnation_number += 1
        self.began_at = self.world.now
        self.born_offset_ms -= round(set_back_s * 1000)
        self.fence = self.number = 0
        self.running, self.ended, self.last_ended_run, self.ended_at = {}, [], {}, {}
        self.lease_expires_at = 0.0

    def announcement(self, draining=False):
        return WorkerHeartbeat(
            worker_id=self.name,
            incarnation=self.incarnation,
            born_ms=self.born_ms,
            service=SERVICE,
            address="",
            draining=draining,
            capacity=CAPACITY,
            labels=("a", "r1"),
            sequence=self.world.tick_number,
            clock_ms=self.clock_ms,
        )
