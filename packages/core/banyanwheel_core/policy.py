"""The part of the operators' configuration that decisions read."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from .documents import Drains
from .findings import Finding

__all__ = ["FlowPolicy", "Policy"]

DEFAULT_MAX_QUEUE = 256  # tasks of one flow at one worker
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
    drains: Drains = Drains()
    headroom_slots: int = DEFAULT_HEADROOM
    max_tasks: int = 1_000
    max_deadline_ms: int = 600_000
    max_payload_bytes: int = 2**20

    @classmethod
    def from_document(cls, document):
        """Takes what decisions need out of a configuration document."""
        subsidiaries, kinds = document.subsidiaries, document.kinds
        limits = document.limits
        return cls(
            subsidiary_weights={name: s.weight for name, s in subsidiaries.items()},
            quotas={name: s.quota for name, s in subsidiaries.items()},
            kind_weights={name: kind.weight for name, kind in kinds.items()},
            max_queues={name: kind.max_queue for name, kind in kinds.items()},
            drains=document.drains,
            headroom_slots=limits.headroom_slots,
            max_tasks=limits.max_tasks,
            max_deadline_ms=limits.max_deadline_ms,
            max_payload_bytes=limits.max_payload_bytes,
        )

    def flow(self, key):
        """Returns the FlowPolicy of a flow: the weights multiply."""
        subsidiary = self.subsidiary_weights.get(key.subsidiary, 1.0)
        return FlowPolicy(
            weight=subsidiary * self.kind_weights.get(key.kind, 1.0),
            quota=self.quotas.get(key.subsidiary, 1.0),
            max_queue=self.max_queues.get(key.kind, DEFAULT_MAX_QUEUE),
        )

    def fault_in(self, spec):
        """Returns the Finding of a bound that a submission passes, or None."""
        if len(spec.tasks) > self.max_tasks:
            return Finding("tasks", f"a job may have {self.max_tasks} tasks")
        if spec.deadline_ms > self.max_deadline_ms:
            message = f"a deadline may be {self.max_deadline_ms} ms away"
            return Finding("deadline_ms", message)
        for index, task in enumerate(spec.tasks):
            if len(msgspec.json.encode(task.payload)) > self.max_payload_bytes:
                message = f"a payload may have {self.max_payload_bytes} bytes"
                return Finding(f"tasks[{index}].payload", message)
        return None
