"""Workers on which some kinds of tasks slow others down, under a random load.

A kind is the name of a queue; jobs have one step. Run times are spread about their
estimates, and some tasks take much longer than theirs.
"""

import random
from dataclasses import dataclass, field

from banyanwheel_jobs.interference.interference import Interference
from banyanwheel_jobs.messages import Report, RunEnd, RunStatus, WorkerStatus
from banyanwheel_jobs.model import EndKind, Queue, Resources, Step, Submission

from ..owners.fleet import STEP_S, Fleet
from ..world import EventRecorder

__all__ = ["SharedFleet", "SharedWorker"]

SPREAD = 0.4  # standard deviation of the logarithm of run time over estimate
TAIL_SHARE, TAIL_FACTOR = 0.03, 7
RECEIPT_INTERVAL_S = 1e-7


@dataclass
class _Run:
    kind: str
    left_s: float  # of its run time alone on a worker of slowness 1
    resources: Resources
    started_at: float


@dataclass
class SharedWorker:
    """A worker; ``factors`` has the slowdown by (victim, cause)."""

    name: str
    cpu: int
    slowness: float = 1.0
    factors: dict = field(default_factory=dict)
    home: bool = True
    heard: bool = True
    running: dict = field(default_factory=dict)
    ends: dict = field(default_factory=dict)

    def start(self, message, now):
        for run in message.assignments:
            key = (run.task, run.run)
            if key not in self.running and key not in self.ends:
                chance = random.Random(str(run.task))
                seconds = run.estimate_ms / 1000 * chance.lognormvariate(0, SPREAD)
                if chance.random() < TAIL_SHARE:
                    seconds *= TAIL_FACTOR
                self.running[key] = _Run(message.spec, seconds, run.resources, now)

    def end_due_runs(self, now):
        kinds = [run.kind for run in self.running.values()]
        for key, run in list(self.running.items()):
            slowdown = max(self.factors.get((run.kind, other), 1.0) for other in kinds)
            run.left_s -= STEP_S / (self.slowness * slowdown)
            if run.left_s <= 0:
                del self.running[key]
                run_ms = round((now - run.started_at) * 1000)
                self.ends[key] = RunEnd(0, *key, EndKind.DONE, "", run_ms)

    def report(self, now):
        used = sum(run.resources.cpu for run in self.running.values())
        status = WorkerStatus(
            f"{self.name}@1",
            "desk",
            True,
            Resources(self.cpu),
            Resources(self.cpu - used),
            (),
            self.slowness,
        )
        runs = tuple(RunStatus(0, *key, 0, 0) for key in self.running)
        stamp = round(now * 1000)
        return Report(stamp, True, status, ((0, 1),), runs, tuple(self.ends.values()))


class SharedFleet(Fleet):
    """A fleet that gets tasks of several kinds at random times.

    ``rates`` are jobs of one task per second, by kind. Without ``separate`` nothing is
    learned.
    """

    def __init__(self, *workers, seed=1, rates=None, separate=True):
        self.events = EventRecorder()
        self.interference = Interference(self.events) if separate else None
        super().__init__(*workers, interference=self.interference)
        self.rates = rates or {}
        self.submitted = dict.fromkeys(self.rates, 0)
        self.target_ms = 60_000
        self._random = random.Random(seed)
        self._seed = seed

    @property
    def found(self):
        """The pairs that were ever found, as (victim, cause)."""
        return {
            (fields["victim"], fields["cause"])
            for event, fields in self.events.events
            if event == "interference:found"
        }

    def submit_kind(self, kind, estimate_ms=500, slack_factor=1.6):
        number = sum(self.submitted.values())
        self.submitted[kind] = self.submitted.get(kind, 0) + 1
        queue = Queue(kind, "desk", 0, 4, slack_factor, self.target_ms)
        steps = (Step(1, Resources(1_000), estimate_ms),)
        job_id = f"{self._seed:04x}{number:012x}"
        submission = Submission(job_id, queue, kind, steps, round(self.now * 1000))
        # Jobs that were received at the same time would be placed in any order.
        received_at = self.now + number * RECEIPT_INTERVAL_S
        self.owner.submit(submission, lambda reply: None, received_at)
        return job_id

    def step(self):
        for kind, rate in self.rates.items():
            whole, chance = divmod(rate * STEP_S, 1)
            for _ in range(int(whole) + (self._random.random() < chance)):
                self.submit_kind(kind)
        super().step()
