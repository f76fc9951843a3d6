"""Callers that hand in one job after the other, as behind a balancer."""

import threading

from .caller import job_of
from .calls import call

__all__ = ["RESEND_S", "Load"]

PAUSE_S = 0.05
RESEND_S = 1.3  # a caller hands a job in again this long after a lost answer
TRIES = 6


class Load:
    """Threads of callers, each of which uses the dispatchers that are ready, in turn.

    Every other job is stored, but for ``transient`` further callers that store none.
    ``told`` gathers (job id, stored, answer) of the last try of each job; a job
    without an answer is handed in again elsewhere.
    """

    def __init__(self, cluster, callers, transient=0, tasks=2, run_ms=50):
        self.told = []
        self._cluster = cluster
        self._storing = range(callers)
        self._names = list(cluster.layout.dispatcher_names)
        self._tasks = tasks
        self._run_ms = run_ms
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit_jobs, args=(number,), daemon=True)
            for number in range(callers + transient)
        ]

    def start(self):
        """Begins to submit."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Ends after the jobs in progress are answered."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _submit_jobs(self, number):
        caller = self._cluster.caller(f"load-{number}")
        count = 0
        while not self._stopped.is_set():
            count += 1
            job_id = f"{number:08x}{count:08x}"
            stored = number in self._storing and count % 2 == 0
            job = job_of(self._tasks, self._run_ms, stored=stored)
            told = self._submit(caller, number + count, job_id, job)
            if told is not None:
                self.told.append((job_id, stored, told))

    def _submit(self, caller, turn, job_id, job):
        told = None
        for offset in range(TRIES):
            name = self._names[(turn + offset) % len(self._names)]
            if not self._is_ready(name):
                self._stopped.wait(PAUSE_S)
                continue
            told = caller.submit(name, job_id, job)
            if told.status not in (0, 502, 504):
                return told
            if not told.refused:
                threading.Event().wait(RESEND_S)
        return told

    def _is_ready(self, name):
        try:
            return call("GET", self._cluster.ready_address(name), "/ready")[0] == 200
        except OSError:
            return False
