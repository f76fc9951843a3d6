"""The data centres that the platform's operator has evacuated.

Nothing may be started on the workers of such a data centre.
"""

from dataclasses import dataclass

__all__ = ["EvacuationRecord", "Evacuations", "Update"]


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """A record of the log that sets or lifts an evacuation.

    ``fault`` tells what can't be read of it. Without a readable ``data_centre``, which
    is empty then, it has no effect.
    """

    key: str
    offset: int
    data_centre: str
    in_force: bool
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Update:
    """What some records have changed, as names of data centres in order.

    ``unreadable`` are the EvacuationRecords with a fault not reported before.
    """

    begun: tuple = ()
    lifted: tuple = ()
    unreadable: tuple = ()


class Evacuations:
    """The evacuations in force, as far as the log has been read.

    They are unknown until the first read; until then every data centre counts as
    evacuated.
    """

    def __init__(self):
        self._names = None
        self._reported_faults = {}  # offset of the last one by key
        self._unmatched = frozenset()

    @classmethod
    def not_followed(cls):
        """Returns those of a process that follows no evacuations: none, ever."""
        evacuations = cls()
        evacuations._names = frozenset()
        return evacuations

    @property
    def known(self):
        """Whether the set in force has been read."""
        return self._names is not None

    @property
    def names(self):
        """The evacuated data centres, a frozen set; empty until they are known."""
        return self._names or frozenset()

    def covers(self, data_centre):
        """Returns whether nothing may be started in a data centre."""
        return not self.known or data_centre in self._names

    def replace(self, records):
        """Puts in force what the newest records of all keys say; returns an Update."""
        keys = {record.key for record in records}
        for key in self._reported_faults.keys() - keys:
            del self._reported_faults[key]
        return self._apply(frozenset(), records)

    def update(self, records):
        """Applies later records in their order; returns an Update."""
        return self._apply(self.names, records)

    def _apply(self, names, records):
        names, before = set(names), self.names
        unreadable = []
        for record in records:
            if record.fault and self._reported_faults.get(record.key) != record.offset:
                self._reported_faults[record.key] = record.offset
                unreadable.append(record)
            if not record.in_force:
                self._reported_faults.pop(record.key, None)
                names.discard(record.data_centre)
            elif record.data_centre:
                names.add(record.data_centre)
        self._names = frozenset(names)
        return Update(
            tuple(sorted(self._names - before)),
            tuple(sorted(before - self._names)),
            tuple(unreadable),
        )

    def newly_unmatched(self, data_centres):
        """Returns the evacuations that name none of ``data_centres``, each once."""
        unmatched = self.names - data_centres
        new, self._unmatched = unmatched - self._unmatched, unmatched
        return tuple(sorted(new))
