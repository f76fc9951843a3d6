"""The runs that a runner tracks, and the resources that they use on the worker."""

from dataclasses import dataclass
from enum import StrEnum

from banyanwheel_core.charts import Chart

from ..messages import Assignment
from ..model import Resources

__all__ = ["UnacknowledgedEnd", "TrackedRun", "RunState", "resources_used"]


class RunState(StrEnum):
    """The states of the state chart ``run``."""

    WAITING = "waiting"  # for free resources; the start has not been sent
    STARTING = "starting"  # the start is in flight
    DOUBTFUL = "doubtful"  # the start was not answered
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


# Less than owners remember how a job ended, whatever their settings.
MAX_END_AGE_S = 20.0

_RUN_CHART = Chart.load("run").bind(RunState)
STATES_ON_WORKER = frozenset(RunState) - {RunState.WAITING, RunState.ENDED}


@dataclass(slots=True, eq=False)
class TrackedRun:
    """A run as its runner tracks it; times are in seconds of the runner's clock.

    A run with ``is_orphan`` was found in the worker's list without an assignment; its
    resources are unknown. A run of a forwarded job may continue until
    ``confirmed_until`` at most. ``resolving_fence`` is the fence from which on the
    worker's list shows whether a doubtful run was started; 0 for none.
    """

    order: Assignment
    partition: int
    epoch: int
    owner: object  # the dispatcher that sent the assignment
    spec: str
    due_at: float  # runs with an earlier time start first
    queued_at: float
    state: RunState = RunState.WAITING
    started_at: float = 0.0
    percent: int = -1
    percent_read_at: float = 0.0  # when the worker reported it
    checkpoint: str = ""
    is_orphan: bool = False
    expires_at: float = float("inf")
    confirmed_until: float = float("inf")
    resolving_fence: int = 0
    stop_requested_at: float | None = None

    def transition(self, event):
        """Moves to the state that the chart gives for ``event``."""
        self.state = _RUN_CHART.next(self.state, event)

    @property
    def key(self):
        """The task and the number of the run."""
        return self.order.task, self.order.run

    @property
    def stop_requested(self):
        """Whether the run has to be stopped, and not for want of authority."""
        return self.stop_requested_at is not None

    @property
    def percent_age_ms(self):
        """How long the run had been running when its percentage was read."""
        return max(0, round((self.percent_read_at - self.started_at) * 1000))

    @property
    def on_worker(self):
        """Whether the run uses, or may use, resources on the worker."""
        return self.state in STATES_ON_WORKER


@dataclass(slots=True)
class UnacknowledgedEnd:
    """An end that its owner has not acknowledged yet.

    ``number`` is the worker's number for it, None if the worker did not list it.
    ``known_at`` is in seconds of the runner's clock.
    """

    end: object  # a RunEnd
    owner: object
    known_at: float
    number: int | None = None

    @property
    def listed(self):
        """Whether the worker lists the end, until it is acknowledged."""
        return self.number is not None

    def is_old(self, now):
        """Tells whether the owner may have forgotten how the job ended."""
        return now - self.known_at > MAX_END_AGE_S


def resources_used(runs):
    """Returns the resources of all runs that are, or may be, on the worker."""
    used = Resources()
    for run in runs:
        if run.on_worker:
            used = used + run.order.resources
    return used
