"""Deployments to measure, read from TOML files beside this module."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["Deployment", "Kind"]

DIRECTORY = Path(__file__).parent

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Delay = Annotated[int, Meta(ge=0)]  # milliseconds, one way
Slots = Annotated[int, Meta(ge=0)]


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of work; ``share`` is its part of all slot time.

    Run times are drawn evenly between the two bounds, in milliseconds on a backend
    server with the speed factor 1.
    """

    name: str
    weight: Positive
    share: Positive
    tasks: Count
    shortest_ms: Count
    longest_ms: Count
    idempotent: bool

    @property
    def mean_ms(self):
        """Mean run time of a task."""
        return (self.shortest_ms + self.longest_ms) / 2

    def stretched(self, factor):
        """Returns this kind with its run times multiplied."""
        return msgspec.structs.replace(
            self,
            shortest_ms=round(self.shortest_ms * factor),
            longest_ms=round(self.longest_ms * factor),
        )


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes, delays and work of one user's system.

    A speed factor multiplies the run times at one backend server; there are as many
    workers as speed factors. One flow leaves ``headroom_slots`` of each worker free.
    """

    service: str
    subsidiary: str
    data_centres: Count
    entries: Count
    client_delay_ms: Delay
    data_centre_delay_to_ms: Delay
    data_centre_delay_back_ms: Delay
    slots: Count
    connections: Count
    speed_factors: tuple[Positive, ...]
    most_urgent: str
    least_urgent: str
    kinds: tuple[Kind, ...]
    headroom_slots: Slots = 1

    @classmethod
    def from_name(cls, name):
        """Reads the file ``name``.toml; raises ValueError for a fault in it."""
        path = DIRECTORY / f"{name}.toml"
        return msgspec.convert(tomllib.loads(path.read_text()), cls)

    @property
    def slot_seconds(self):
        """Work in seconds, at the speed factor 1, that all slots do in a second."""
        return sum(self.slots / factor for factor in self.speed_factors)

    @property
    def fastest(self):
        """The smallest speed factor."""
        return min(self.speed_factors)

    def stretched(self, factor):
        """Returns this deployment with all run times multiplied, and so fewer jobs."""
        kinds = tuple(kind.stretched(factor) for kind in self.kinds)
        return msgspec.structs.replace(self, kinds=kinds)

    def with_headroom(self, slots):
        """Returns this deployment with another headroom."""
        return msgspec.structs.replace(self, headroom_slots=slots)

    def factor(self, agent):
        """The speed factor of the backend server beside the agent ``agent-N``."""
        return self.speed_factors[int(agent.rpartition("-")[2]) - 1]

    def kind(self, name):
        """Returns the kind of work with this name."""
        return next(kind for kind in self.kinds if kind.name == name)

    def jobs_per_second(self, kind, load):
        """Jobs of a kind whose work is ``load`` of what all slots can do."""
        return load * self.slot_seconds / (kind.mean_ms / 1_000 * kind.tasks)

    def round_trips_ms(self, delays):
        """Client to entry and entry to worker, there and back, each once."""
        if not delays:
            return 0
        between = self.data_centre_delay_to_ms + self.data_centre_delay_back_ms
        return 2 * self.client_delay_ms + between

    def configuration(self):
        """Returns the operators' document: weights of the kinds, and the headroom."""
        return {
            "kinds": {kind.name: {"weight": kind.weight} for kind in self.kinds},
            "limits": {"headroom_slots": self.headroom_slots},
        }
