"""The room of a worker for some time after the evacuation of its data centre."""

import msgspec

__all__ = ["SlowStart"]

FIRST_SHARE = 0.25  # of the worker's cores
GROWTH_FACTOR = 2
MAX_DURATION_S = 5.0  # a worker that gets no tasks meanwhile has all of its room then
# Of the expected run time. By the platform's figures a cold worker takes 1.5 times as
# long, so a run that took longer is no reason for more room.
IN_TIME_FACTOR = 1.5


class SlowStart:
    """Limits the cores in use at a worker that may be cold.

    It starts with a quarter of them. That doubles each time as many cores' worth of
    runs have ended in time.
    """

    def __init__(self):
        self._share = 1.0
        self._until = 0.0
        self._slowness = 1.0
        self._ended_cpu = 0

    def begin(self, slowness, now):
        """Starts over; ``slowness`` is the worker's before, 0 for an unknown one."""
        self._share = FIRST_SHARE
        self._until = now + MAX_DURATION_S
        self._slowness = slowness or 1.0
        self._ended_cpu = 0

    def cancel(self):
        """Lifts the limit."""
        self._share = 1.0

    def share(self, now):
        """Returns the share of the worker's cores that may be used."""
        return self._share if now < self._until else 1.0

    def limit(self, capacity, now):
        """Returns the resources of a worker that may be used.

        Only cores are limited: a cold worker is slower, but has all of its memory.
        """
        share = self.share(now)
        if share >= 1.0:
            return capacity
        return msgspec.structs.replace(capacity, cpu=int(capacity.cpu * share))

    def record_end(self, cpu, run_ms, estimate_ms, capacity, now):
        """Records a run that is done."""
        share = self.share(now)
        if share >= 1.0 or run_ms > IN_TIME_FACTOR * self._slowness * estimate_ms:
            return
        self._ended_cpu += cpu
        if self._ended_cpu >= capacity.cpu * share:
            self._share = min(1.0, share * GROWTH_FACTOR)
            self._ended_cpu = 0
