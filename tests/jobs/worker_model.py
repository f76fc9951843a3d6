"""A worker by its published behaviour, with the checks of an onlooker."""

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
LATE_START_S = 0.3  # more than a runner waits for the answer
SERVICE = "desk"
CAPACITY = Resources(2_000, 1_000, 0)


@dataclass
class WorkerModel:
    """A worker by its published behaviour, with the checks of an onlooker."""

    world: object
    name: str
    life: int = 0
    lease_until: float = 0.0
    fence: int = 0
    running: dict = field(default_factory=dict)  # end time by (task, run)
    ended: list = field(default_factory=list)
    over: dict = field(default_factory=dict)  # highest run over by task
    number: int = 0
    lapsed_at: float = 0.0
    stuck: bool = False
    silent: bool = False
    lengths: dict = field(default_factory=dict)
    ended_at: dict = field(default_factory=dict)
    stalled: dict = field(default_factory=dict)  # when a run came to a standstill
    late: list = field(default_factory=list)  # (time, life, start) on the way

    @property
    def incarnation(self):
        return f"{self.name}@{self.life}"

    @property
    def clock_ms(self):
        return round(self.world.now * 1000) + 1

    def settle(self):
        """Ends what is due."""
        if self.lease_until < self.world.now:
            self.lapsed_at = self.world.now
        for key, end in sorted(self.running.items(), key=lambda item: item[1]):
            if self.stuck and end <= self.lease_until:
                continue
            if min(end, self.lease_until) <= self.world.now:
                self._end(key, "done" if end <= self.lease_until else "lapsed")

    def _end(self, key, kind):
        del self.running[key]
        self.number += 1
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        self.ended.append(WorkerEnd(self.number, *key, kind, ""))
        self.ended_at[self.number] = self.world.now
        self.world.record_end(self, key, kind)

    def start_later(self, *start):
        """Takes a start whose sender has given the call up by the time it arrives."""
        self.late.append((self.world.now + LATE_START_S, self.life, start))

    def arrive(self):
        """Carries out what arrives late."""
        due = [entry for entry in self.late if entry[0] <= self.world.now]
        self.late = [entry for entry in self.late if entry[0] > self.world.now]
        for _, life, start in due:
            if life == self.life:
                self.start(*start)

    def start(self, run, deadline_ms, fence, run_s):
        self.settle()
        key = run.key
        if fence < self.fence:
            return StartOutcome.FENCED
        self.fence = fence
        if key in self.running:
            return StartOutcome.STARTED
        if self.over.get(key[0], 0) >= key[1]:
            return StartOutcome.OUTDATED
        if deadline_ms <= self.clock_ms:
            return StartOutcome.LATE
        self._extend(deadline_ms)
        self.running[key] = self.world.now + run_s
        self.lengths[key] = run_s
        self.world.record_start(self, key)
        return StartOutcome.STARTED

    def stop(self, key, fence):
        self.settle()
        if fence >= self.fence and key in self.running:
            self._end(key, "stopped")

    def renew_lease(self, fence, acknowledged, deadline_ms):
        self.settle()
        if fence < self.fence:
            return None
        self.fence = fence
        for end in self.ended:
            if end.number <= acknowledged:
                self.world.record_acknowledged(self, end)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        self._extend(deadline_ms)
        running = tuple(WorkerRun(*key, "", self._percent(key)) for key in self.running)
        return WorkerListing(
            self.clock_ms, self.incarnation, running, tuple(self.ended)
        )

    def stall(self):
        """Lets all that runs stand still where it is."""
        for key, end in self.running.items():
            self.stalled[key] = self.world.now
            self.running[key] = end + 10_000.0

    def _percent(self, key):
        if self.stuck:
            return 0
        if key in self.stalled:
            began = self.running[key] - 10_000.0 - self.lengths[key]
            return round(100 * (self.stalled[key] - began) / self.lengths[key])
        left = max(0.0, self.running[key] - self.world.now)
        return round(100 * (1 - left / self.lengths[key]))

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        most = self.world.now + LEASE_S
        asked = self.world.now + (deadline_ms - self.clock_ms) / 1000
        self.lease_until = max(self.lease_until, min(most, asked))

    def crash(self):
        self.world.record_worker_loss(self)
        self.life += 1
        self.fence = self.number = 0
        self.running, self.ended, self.over, self.ended_at = {}, [], {}, {}
        self.lease_until = 0.0

    def announcement(self, draining=False):
        return WorkerHeartbeat(
            worker_id=self.name,
            incarnation=self.incarnation,
            born_ms=self.life,
            service=SERVICE,
            address="",
            draining=draining,
            capacity=CAPACITY,
            labels=("a", "r1"),
            sequence=self.world.tick_number,
            clock_ms=self.clock_ms,
        )
