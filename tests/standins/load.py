"""Callers that hand in one job after the other, as behind a balancer."""

import threading
from dataclasses import dataclass
from random import Random

from .caller import ANSWER_TIMEOUT_S, job_of
from .calls import call

__all__ = ["RESEND_S", "CancelingLoad", "Load", "WideLoad", "Work"]

PAUSE_S = 0.05
RESEND_S = 1.3  # a caller hands a job in again this long after a lost answer
TRIES = 6
CANCELERS = 24
CANCELED_RUN_MS = 2_000
CANCELED_CPU = 100  # many of them run at the same time
# While the submission may be in doubt, and after a run that was cut off is replaced.
CANCEL_DELAYS_S = ((0.0, 1.0), (4.7, 8.0))
CANCEL_TRIES = 20


@dataclass(frozen=True, slots=True)
class Work:
    """The jobs that callers hand in, and how.

    A caller leaves its first dispatcher after ``patience_s``, and waits for
    ``pause_s`` between two jobs. A dispatcher that isn't ready counts as a try.
    """

    tasks: int = 2
    run_ms: int = 50
    label: str = ""
    patience_s: float = ANSWER_TIMEOUT_S
    pause_s: float = 0.0
    tries: int = TRIES


class _Callers:
    """Threads of callers, which set ``_threads`` and end when ``_stopped`` is set."""

    def start(self):
        """Begins to submit."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Ends after the jobs in progress are answered."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()


class Load(_Callers):
    """Threads of callers, each of which uses the dispatchers that are ready, in turn.

    Every other job is stored, but for ``transient`` further callers that store none.
    ``told`` gathers (job id, stored, answer) of the last try of each job; a job
    without an answer is handed in again elsewhere. The callers are numbered from
    ``first``, and two loads have different numbers.
    """

    def __init__(self, cluster, callers, transient=0, work=None, first=0):
        self.told = []
        self._cluster = cluster
        self._storing = range(first, first + callers)
        self._names = list(cluster.layout.dispatcher_names)
        self._work = work or Work()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit_jobs, args=(number,), daemon=True)
            for number in range(first, first + callers + transient)
        ]

    def _submit_jobs(self, number):
        caller = self._cluster.caller(f"load-{number}")
        leaver = self._cluster.caller(
            f"leaver-{number}", patience_s=self._work.patience_s
        )
        count = 0
        while not self._stopped.is_set():
            count += 1
            job_id = f"{number:08x}{count:08x}"
            stored = number in self._storing and count % 2 == 0
            told = self._submit(leaver, caller, number + count, job_id, stored)
            if told is not None:
                self.told.append((job_id, stored, told))
            self._stopped.wait(self._work.pause_s)

    def _submit(self, leaver, caller, turn, job_id, stored):
        work, told = self._work, None
        job = job_of(work.tasks, work.run_ms, stored=stored, label=work.label)
        for offset in range(work.tries):
            name = self._names[(turn + offset) % len(self._names)]
            if not self._is_ready(name):
                self._stopped.wait(PAUSE_S)
                continue
            told = (caller if told else leaver).submit(name, job_id, job)
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


class CancelingLoad(_Callers):
    """Callers who hand stored jobs in and cancel them, or some of them.

    They don't wait for the answer to a submission, and cancel at another dispatcher
    until that is acknowledged. ``told`` has the jobs that they leave to end, as that of
    :class:`Load`.
    """

    def __init__(self, cluster, seed):
        self.told = []
        self._cluster = cluster
        self._names = list(cluster.layout.dispatcher_names)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, Random(seed + number)))
            for number in range(CANCELERS)
        ]

    def _run(self, number, random):
        caller = self._cluster.caller(f"canceler-{number}")
        count = 0
        while not self._stopped.is_set():
            count += 1
            job_id = f"d{number:07x}{count:08x}"
            first, second = random.sample(self._names, 2)
            job = job_of(1, CANCELED_RUN_MS, cpu=CANCELED_CPU)
            answer = caller.submit_later(first, job_id, job)
            threading.Event().wait(random.uniform(*random.choice(CANCEL_DELAYS_S)))
            if random.random() < 0.5:
                self._cancel(caller, second, job_id)
                answer()
            else:
                self.told.append((job_id, True, answer()))

    def _cancel(self, caller, dispatcher, job_id):
        for _ in range(CANCEL_TRIES):
            if caller.cancel(dispatcher, job_id).status in (200, 410):
                return
            threading.Event().wait(PAUSE_S)


class WideLoad:
    """Callers of small jobs, callers who leave, bursts of large jobs, a rare label."""

    def __init__(self, cluster, label):
        self._loads = [
            Load(cluster, *callers, work, first=100 * index)
            for index, (callers, work) in enumerate(_wide_work(label))
        ]

    @property
    def told(self):
        """(job id, stored, answer) of the last try of each job."""
        return [told for load in self._loads for told in load.told]

    def start(self):
        """Begins to submit."""
        for load in self._loads:
            load.start()

    def stop(self):
        """Ends after the jobs in progress are answered."""
        for load in self._loads:
            load.stop()


def _wide_work(label):
    """Returns ((storing, transient) callers, work) of each kind."""
    tries = 100
    return (
        ((2, 1), Work(tries=tries)),
        ((0, 3), Work(run_ms=4_000, patience_s=1.0, tries=tries)),
        ((0, 2), Work(tasks=24, run_ms=100, pause_s=2.0, tries=tries)),
        ((0, 1), Work(run_ms=300, label=label, tries=tries)),
    )
