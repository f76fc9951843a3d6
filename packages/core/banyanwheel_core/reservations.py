"""Waiting tasks of one flow at a coordinator, and the slots asked for them."""

from collections import deque
from dataclasses import dataclass

from .models import FlowKey, Needs

__all__ = ["FlowQueue", "Reservation"]

LEARNING_RATE = 0.2  # weight of the newest interval in the moving average


@dataclass(slots=True)
class Reservation:
    """What this coordinator has asked of one incarnation of one executor.

    ``upto`` and ``granted`` count slots from the first request on; ``refused_until``
    is a time before which the executor is not asked again.
    """

    incarnation: str
    sequence: int = 0
    upto: int = 0
    granted: int = 0
    refused_until: float = 0.0

    @property
    def open(self):
        """Slots asked for and not granted yet."""
        return max(0, self.upto - self.granted)


class FlowQueue:
    """First in, first out, apart for each set of needs."""

    def __init__(self, flow: FlowKey):
        self._flow = flow
        self._lines: dict[Needs, deque] = {}
        self._waiting: dict[Needs, int] = {}
        self._last_start = None
        self._start_interval = 0.0
        self.reservations: dict[str, Reservation] = {}

    @property
    def flow(self):
        """The flow that waits here."""
        return self._flow

    @property
    def waiting(self):
        """Tasks that wait."""
        return sum(self._waiting.values())

    @property
    def open(self):
        """Slots asked for at all executors and not granted yet."""
        return sum(reservation.open for reservation in self.reservations.values())

    @property
    def needs(self):
        """The sets of needs with waiting tasks, the most demanding first."""
        waiting = [needs for needs, count in self._waiting.items() if count]
        return sorted(
            waiting, key=lambda n: (n.accelerators, n.memory_mb), reverse=True
        )

    def waiting_with(self, needs):
        """Tasks that wait with these needs."""
        return self._waiting.get(needs, 0)

    def add(self, needs, key, first=False):
        """Queues a task, ahead of the others if it had been placed before."""
        line = self._lines.setdefault(needs, deque())
        if first:
            line.appendleft(key)
        else:
            line.append(key)
        self._waiting[needs] = self._waiting.get(needs, 0) + 1

    def dropped(self, needs):
        """Notes that a queued task no longer waits; its entry goes when reached."""
        self._waiting[needs] -= 1

    def pop(self, fits, is_waiting):
        """Removes and returns the next task whose needs fit, or None."""
        for needs in self.needs:
            if not fits(needs):
                continue
            line = self._lines[needs]
            while line:
                key = line.popleft()
                if is_waiting(key):
                    self._waiting[needs] -= 1
                    return key
        return None

    def heads(self, is_waiting):
        """Returns the next task of each set of needs."""
        keys = []
        for line in self._lines.values():
            while line and not is_waiting(line[0]):
                line.popleft()
            if line:
                keys.append(line[0])
        return keys

    def started(self, count, now):
        """Notes starts, from which the wait of later tasks is estimated."""
        if self._last_start is not None and self.waiting:
            interval = (now - self._last_start) / count
            change = interval - self._start_interval
            self._start_interval += LEARNING_RATE * change
        self._last_start = now

    def expected_wait(self):
        """Seconds that a task queued now would wait, from the recent starts."""
        return self.waiting * self._start_interval
