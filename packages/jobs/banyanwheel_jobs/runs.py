"""The runs that a runner holds, and the room that they take on the worker."""

from dataclasses import dataclass
from enum import StrEnum

from banyanwheel_core.charts import Chart

from .messages import Assignment
from .model import Resources

__all__ = ["UnacknowledgedEnd", "TrackedRun", "RunState", "resources_used"]


class RunState(StrEnum):
    """States of the chart ``run``."""

    WAITING = "waiting"  # for room; nothing has been sent
    STARTING = "starting"  # the start has been sent
    DOUBTFUL = "doubtful"  # the start had no answer
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


_RUN_CHART = Chart.load("run").bind(RunState)
STATES_ON_WORKER = frozenset(RunState) - {RunState.WAITING, RunState.ENDED}


@dataclass(slots=True, eq=False)
class TrackedRun:
    """A run at its runner; times are in the runner's seconds.

    ``foreign`` runs were found in the worker's list and their size is not known.
    ``resolved_by`` is the fence that settles whether a doubtful run is there.
    """

    order: Assignment
    partition: int
    epoch: int
    owner: object  # who sent the order
    spec: str
    due_at: float
    queued_at: float
    state: RunState = RunState.WAITING
    started_at: float = 0.0
    percent: int = -1
    percent_read_at: float = 0.0  # when the worker said so
    checkpoint: str = ""
    is_orphan: bool = False
    expires_at: float = float("inf")
    resolving_fence: int = 0
    stop_requested: bool = False

    def transition(self, event):
        """Takes the step of the chart for an event."""
        self.state = _RUN_CHART.next(self.state, event)

    @property
    def key(self):
        """The task and the number of the run."""
        return self.order.task, self.order.run

    @property
    def percent_age_ms(self):
        """How long the run had lasted when its percentage was read."""
        return max(0, round((self.percent_read_at - self.started_at) * 1000))

    @property
    def on_worker(self):
        """Whether it takes room on the worker, or may."""
        return self.state in STATES_ON_WORKER


@dataclass(slots=True)
class UnacknowledgedEnd:
    """An end that its owner has not taken yet.

    ``number`` is the worker's number of it, None where the worker did not list it.
    """

    end: object  # a RunEnd
    owner: object
    number: int | None = None


def resources_used(runs):
    """Returns the room of all runs that are, or may be, on the worker."""
    used = Resources()
    for run in runs:
        if run.on_worker:
            used = used + run.order.resources
    return used
