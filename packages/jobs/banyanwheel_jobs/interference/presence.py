"""Which kinds of tasks this placer's runs at each worker are of."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["PlacedRun", "Presence"]

# Per worker: 11 short tasks of 0.12 s at a time end 165 times while one of 1.8 s runs.
RECENT_ENDS = 256
START_TOLERANCE_S = 0.02  # tasks that are sent together start within this
SILENT_S = 10.0  # a worker without reports for this long is dropped


@dataclass(slots=True)
class PlacedRun:
    """A run at a worker; ``started_at`` is None until it is known to have started.

    It is at first that of the newest progress, which is a little late, and exact once
    the run has ended.
    """

    kind: tuple
    estimate_ms: int
    started_at: float | None = None

    def record_age(self, age_ms, now):
        """Records the age that a report shows; the earliest start is the best known."""
        started_at = now - age_ms / 1000
        if self.started_at is None or started_at < self.started_at:
            self.started_at = started_at


@dataclass(slots=True)
class _WorkerRuns:
    """The runs at one worker by (task, run), and (kind, start, end) of ended ones.

    ``kinds`` has the number of runs of each kind and the sum of their estimates in ms.
    """

    heard_at: float
    runs: dict = field(default_factory=dict)
    kinds: dict = field(default_factory=dict)
    ended: deque = field(default_factory=lambda: deque(maxlen=RECENT_ENDS))

    def add(self, key, kind, estimate_ms):
        """Adds a run that has been assigned."""
        self.remove(key)
        self.runs[key] = PlacedRun(kind, estimate_ms)
        count, total_ms = self.kinds.get(kind, (0, 0))
        self.kinds[kind] = (count + 1, total_ms + estimate_ms)

    def remove(self, key):
        """Removes a run, if it is known."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        count, total_ms = self.kinds[run.kind]
        if count == 1:
            del self.kinds[run.kind]
        else:
            self.kinds[run.kind] = (count - 1, total_ms - run.estimate_ms)

    def drop_lost(self, view):
        """Drops runs that are neither listed by the last report nor on their way."""
        for key in [key for key in self.runs if key not in view.listed]:
            if key not in view.outstanding:
                self.remove(key)

    def kinds_at(self, key, time):
        """Returns the kinds of the other runs that ran at a time.

        Returns None if runs that had ended by then may have been dropped already.
        """
        if len(self.ended) == RECENT_ENDS and time < self.ended[0][2]:
            return None
        latest_start = time + START_TOLERANCE_S
        kinds = {kind for kind, start, end in self.ended if start <= latest_start < end}
        kinds.update(
            run.kind
            for other, run in self.runs.items()
            if other != key
            and run.started_at is not None
            and run.started_at <= latest_start
        )
        return frozenset(kinds)

    def remove_ended(self, ends, now):
        """Removes runs; returns (end, run, kinds alongside) for each that had started.

        All starts are recorded before the first run is removed, so that runs which end
        in one report are seen beside each other.
        """
        ended = [(end, self.runs[key]) for key, end in ends.items() if end.run_ms > 0]
        for end, run in ended:
            run.started_at = now - end.run_ms / 1000
        alongside = [
            self.kinds_at((end.task, end.run), run.started_at) for end, run in ended
        ]
        for key in ends:
            self.remove(key)
        self.ended.extend((run.kind, run.started_at, now) for _, run in ended)
        return [(*each, kinds) for each, kinds in zip(ended, alongside, strict=True)]


class Presence:
    """The runs that this placer knows of, by worker.

    It knows them from their assignment on. Runs of other placers are not listed in the
    reports that it gets, and runs that a former owner placed are not counted.
    """

    def __init__(self):
        self._workers = {}

    def place(self, worker, key, kind, estimate_ms, now):
        """Records an assignment under ``key``, its (task, run)."""
        at_worker = self._workers.get(worker)
        if at_worker is None:
            at_worker = self._workers[worker] = _WorkerRuns(now)
        at_worker.add(key, kind, estimate_ms)

    def observe(self, view, report, now):
        """Updates the runs of a worker from a report.

        Returns (end, run, kinds) for each run that has ended; ``kinds`` are those of
        the other runs there when it started, None if that is no longer known.
        """
        at_worker = self._workers.get(view.name)
        if at_worker is None:
            return []
        at_worker.heard_at = now
        at_worker.drop_lost(view)
        runs = at_worker.runs
        for status in report.runs:
            run = runs.get((status.task, status.run))
            if run is not None and status.percent >= 0:
                run.record_age(status.age_ms, now)
        ends = {(end.task, end.run): end for end in report.ends}
        known = {key: end for key, end in ends.items() if key in runs}
        return at_worker.remove_ended(known, now) if known else []

    def at(self, worker):
        """Returns (count, sum of estimates in ms) of the runs at a worker, by kind."""
        at_worker = self._workers.get(worker)
        return {} if at_worker is None else at_worker.kinds

    def drop_silent(self, now):
        """Drops the workers without reports for ``SILENT_S``."""
        for name, at_worker in list(self._workers.items()):
            if now - at_worker.heard_at > SILENT_S:
                del self._workers[name]
