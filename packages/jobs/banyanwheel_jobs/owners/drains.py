"""Drained workers, racks and data centres, which get no new tasks."""

from dataclasses import dataclass

from banyanwheel_core.drains import DrainKind

__all__ = ["Drains"]


@dataclass(frozen=True, slots=True)
class Drains:
    """The names of drained workers, racks and data centres, as (kind, name).

    A rack is named by a label of its workers, or as ``data-centre/rack``.
    """

    names: frozenset = frozenset()

    def cover(self, view):
        """Tells whether the worker of a runner is drained."""
        if not self.names or view.worker is None:
            return False
        return any(name in self.names for name in self._names_of(view))

    @staticmethod
    def _names_of(view):
        yield DrainKind.WORKER, view.worker.worker_id
        yield DrainKind.DATA_CENTRE, view.data_centre
        for label in view.worker.labels:
            yield DrainKind.RACK, label
            yield DrainKind.RACK, f"{view.data_centre}/{label}"
