"""The simulation under load with tasks of a heavy tail and workers that become slow.

A worker's slowness is learned from the ends of its runs, as its runner does it.
"""

import random
from dataclasses import dataclass

from banyanwheel_jobs.messages import StopTasks
from banyanwheel_jobs.model import EndKind
from banyanwheel_jobs.runners.slowness import updated_slowness

from .overload_world import START_S, OverloadWorld

__all__ = ["Stop", "UnevenWorld"]

TAIL_SHARE = 0.03  # of the tasks, whatever their estimate says
TAIL_FACTOR = 7.0  # of their run time


@dataclass(frozen=True, slots=True)
class Stop:
    """A run that was stopped, though its caller still waited, after ``run_s``.

    It was ``needless`` if the worker was not slowed down.
    """

    task: object
    worker: str
    run_s: float
    cpu: int
    needless: bool


class UnevenWorld(OverloadWorld):
    """Adds a heavy tail of ``tail_share`` and ``slowdowns`` to the simulation.

    These are (worker's index, from, until, factor) rows. Workers have ``sizes`` times
    the usual capacity.
    """

    def __init__(
        self, *arguments, slowdowns=(), sizes=(), tail_share=TAIL_SHARE, **options
    ):
        super().__init__(*arguments, **options)
        self.stops = []
        self.starts = []  # (time, worker's name)
        self._tail_share = tail_share
        self._slowed = set()  # names of workers
        self._progress = {}  # (share done, time of reading) of runs by _Run
        for worker in self._workers:
            worker.slowness = 0.0
        for worker, size in zip(self._workers, sizes, strict=False):
            worker.free = worker.capacity = round(worker.capacity * size)
        for number, since, until, factor in slowdowns:
            self._slow_down(self._workers[number], since, factor)
            self._slow_down(self._workers[number], until, 1 / factor)

    def _slow_down(self, worker, at, factor):
        def change():
            worker.speed /= factor
            self._slowed ^= {worker.name}
            for run in worker.runs.values():
                self._progress[run] = self._share_done(run), self.now
                run.ends_at = self.now + (run.ends_at - self.now) * factor
                self._at(run.ends_at, lambda run=run: self._finish(worker, run))

        self._at(START_S + at, change)

    def _finish(self, worker, run):
        self._end(worker, run, EndKind.DONE)

    def _share_done(self, run):
        done, since = self._progress.get(run, (0.0, run.began_at))
        return done + (1 - done) * (self.now - since) / (run.ends_at - since)

    def _percent(self, run):
        return -1 if run.began_at is None else round(100 * self._share_done(run))

    def _run_s(self, worker, task):
        is_long = random.Random(f"{self._seed}/tail/{task}").random() < self._tail_share
        self.starts.append((self.now - START_S, worker.name))
        return super()._run_s(worker, task) * (TAIL_FACTOR if is_long else 1.0)

    def _stop(self, worker, message: StopTasks):
        for item in message.runs:
            run = worker.runs.get((item.task, item.run))
            call = self.calls[int(item.task.job, 16)]
            if run is not None and call.answered_at is None:
                self.stops.append(
                    Stop(
                        item.task,
                        worker.name,
                        self.now - run.began_at,
                        run.assignment.resources.cpu,
                        worker.name not in self._slowed,
                    )
                )
        super()._stop(worker, message)

    def _end(self, worker, run, kind, reason=""):
        if kind is EndKind.DONE:
            if run.key not in worker.runs or self.now < run.ends_at:
                return  # stopped, or slowed down since this end was scheduled
            worker.slowness = updated_slowness(
                worker.slowness,
                (self.now - run.began_at) * 1000,
                run.assignment.estimate_ms,
            )
        self._progress.pop(run, None)
        super()._end(worker, run, kind, reason)
