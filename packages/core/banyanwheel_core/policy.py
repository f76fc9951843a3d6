"""The part of the operators' configuration that decisions read."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["FlowPolicy", "Policy"]

DEFAULT_MAX_QUEUE = 64  # tasks of one flow at one worker
DEFAULT_HEADROOM = 1  # slots of a worker that one flow leaves to the others


@dataclass(frozen=True, slots=True)
class FlowPolicy:
    """Weight and bounds of one flow."""

    weight: float = 1.0
    quota: float = 1.0
    max_queue: int = DEFAULT_MAX_QUEUE


@dataclass(frozen=True, slots=True)
class Policy:
    """Weights, quotas and bounds in force; names without an entry get defaults."""

    subsidiary_weights: Mapping[str, float] = field(default_factory=dict)
    quotas: Mapping[str, float] = field(default_factory=dict)
    kind_weights: Mapping[str, float] = field(default_factory=dict)
    max_queues: Mapping[str, int] = field(default_factory=dict)
    headroom_slots: int = DEFAULT_HEADROOM
    max_tasks: int = 1_000
    max_deadline_ms: int = 600_000

    def flow(self, key):
        """Returns the FlowPolicy of a flow: the weights multiply."""
        subsidiary = self.subsidiary_weights.get(key.subsidiary, 1.0)
        return FlowPolicy(
            weight=subsidiary * self.kind_weights.get(key.kind, 1.0),
            quota=self.quotas.get(key.subsidiary, 1.0),
            max_queue=self.max_queues.get(key.kind, DEFAULT_MAX_QUEUE),
        )
