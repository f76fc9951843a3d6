"""Callers' jobs in the simulation of overload: their kinds, and what came of them."""

from dataclasses import dataclass

from banyanwheel_jobs.model import Queue, Submission
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.owners.job import LATE_FACTOR

__all__ = ["Call", "Kind"]

CALLER_PATIENCE_S = 1.5  # after the time until which a late answer is of use


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of jobs; widths and run times are medians."""

    name: str
    per_second: float
    tasks: int
    run_ms: int
    cpu: int = 1_600
    priority: int = 0
    weight: float = 1.0  # of a job of mean work that is on time
    max_tasks: int = 1_000
    rack: str = ""  # preferred by ``rack_share`` of the jobs
    rack_share: float = 0.0

    @property
    def queue(self):
        return Queue(self.name, "desk", self.priority, 3, 1.6, 60)


@dataclass(slots=True)
class Call:
    """A caller's job; ``answered_at`` is None while it waits.

    A task takes ``run_s`` on a worker of speed 1.
    """

    kind: Kind
    submission: Submission
    at: float
    placer: int
    run_s: float
    answered_at: float | None = None
    outcome: Outcome | None = None

    @property
    def waited_s(self):
        return self.answered_at - self.at

    @property
    def done(self):
        return self.outcome is Outcome.STATE

    @property
    def said_not_run(self):
        return self.outcome is Outcome.NOT_STORED

    @property
    def objective_s(self):
        queue = self.kind.queue
        return queue.slack_factor * self.run_s + queue.target_ms / 1000

    @property
    def deadline_s(self):
        return LATE_FACTOR * self.objective_s + CALLER_PATIENCE_S

    @property
    def on_time(self):
        return self.done and self.waited_s <= self.objective_s
