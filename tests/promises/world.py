"""What the steps of one scenario share."""

import itertools
import json
import threading
import time
import urllib.request
from dataclasses import dataclass, field

from banyanwheel_jobs.cells.cell import CELL_PLACERS
from tests.standins.caller import ANSWER_TIMEOUT_S, job_of
from tests.standins.cluster import Cluster, command
from tests.standins.history import TaskStarted
from tests.standins.load import RESEND_S, Load

__all__ = ["World"]

ASK_PAUSE_S = 0.1
LEAVERS_PATIENCE_S = 0.2
LEAVERS_RUN_MS = 1_000
RUNNING_PATIENCE_S = 2.0  # of callers whose tasks run when they leave
CANCEL_CALLERS = 4


@dataclass
class World:
    """The system, the job that a scenario speaks of, and what was answered."""

    cluster: Cluster
    load: Load | None = None
    job: dict = field(default_factory=dict)
    job_id: str = ""
    submitted_to: str = ""
    answers: list = field(default_factory=list)
    leaving: dict = field(default_factory=dict)  # answer by job
    owner: str = ""
    entry: str = ""
    runner: str = ""
    worker: str = ""
    jobs: int = 0
    canceled: list = field(default_factory=list)
    completed: list = field(default_factory=list)
    published: list = field(default_factory=list)
    drained_at: float = 0.0
    evacuated_at: float = 0.0

    @property
    def told(self):
        """The answers of all submissions in order; waits for them."""
        return [answer() for answer in self.answers]

    @property
    def dispatchers(self):
        """The names of the dispatchers."""
        return self.cluster.layout.dispatcher_names

    @property
    def last_told(self):
        """The answer of the last submission; waits for that one only."""
        return self.answers[-1]()

    @property
    def stored(self):
        return not self.job.get("bestEffort", False)

    def new_job_id(self):
        self.jobs += 1
        return f"{self.jobs:016x}"

    def submit(self, dispatcher, job=None):
        self.submitted_to = dispatcher
        caller = self.cluster.caller(f"caller-{len(self.answers)}")
        answer = caller.submit_later(dispatcher, self.job_id, job or self.job)
        self.answers.append(answer)

    def submit_new(self, kind, tasks, run_ms, dispatcher):
        self.job = job_of(tasks, run_ms, stored=kind == "stored")
        self.job_id = self.new_job_id()
        self.submit(dispatcher)
        if self.stored:
            assert self.last_told.status in (0, 200, 202, 503, 504)

    def leave_for_others(self, frozen, count):
        """Has callers leave a frozen dispatcher and submit their jobs to the others.

        It goes on while the tasks of these jobs run.
        """
        others = [name for name in self.dispatchers if name != frozen]
        job = job_of(1, LEAVERS_RUN_MS, stored=False)
        jobs = self._new_job_ids(count)
        self.cluster.freeze(frozen)
        leaving = [
            self._submit_for(frozen, each, job, LEAVERS_PATIENCE_S) for each in jobs
        ]
        assert {told().status for told in leaving} == {0}
        time.sleep(RESEND_S)
        again = [
            self._submit_for(others[number % len(others)], each, job)
            for number, each in enumerate(jobs)
        ]
        time.sleep(LEAVERS_RUN_MS / 3_000)
        self.cluster.thaw(frozen)
        self.answers += again
        for told in again:
            told()

    def submit_and_leave(self, count, tasks, run_ms):
        """Has callers submit jobs that they leave soon; returns when all have begun."""
        self.job = job_of(tasks, run_ms, stored=False)
        jobs = self._new_job_ids(count)
        names = itertools.cycle(self.dispatchers)
        self.leaving = {
            each: self._submit_for(next(names), each, self.job, RUNNING_PATIENCE_S)
            for each in jobs
        }
        self.cluster.wait_for(
            lambda: {event.job for event in self.starts("ff")} >= set(jobs),
            "not all of these jobs have begun",
        )

    def come_back(self):
        """Has the callers that leave submit their jobs again, elsewhere."""
        assert {told().status for told in self.leaving.values()} == {0}
        time.sleep(RESEND_S)
        names = itertools.cycle(self.dispatchers[1:] + self.dispatchers[:1])
        self.answers += [
            self._submit_for(next(names), each, self.job) for each in self.leaving
        ]

    def _new_job_ids(self, count):
        return [f"ff{self.new_job_id()[2:]}" for _ in range(count)]

    def _submit_for(self, dispatcher, job_id, job, patience_s=ANSWER_TIMEOUT_S):
        name = f"caller-{dispatcher}-{job_id}"
        caller = self.cluster.caller(name, patience_s=patience_s)
        return caller.submit_later(dispatcher, job_id, job)

    def starts(self, job_id=""):
        return [
            event
            for event in self.cluster.events
            if isinstance(event, TaskStarted) and event.job.startswith(job_id)
        ]

    def operator_rows(self, dispatcher, text):
        return command(self.address(dispatcher), text)

    def address(self, dispatcher):
        return self.cluster.operators_url(dispatcher).removeprefix("http://")

    def find(self, who):
        """Returns the name of the process that a step speaks of."""
        if who == "the owner":
            self.owner = self.owner or self._ask_for_owner()
            return self.owner
        if who == "an entry":
            self.entry = self.entry or self._wait_for_entry()
            return self.entry
        if who == "a runner with tasks":
            self.runner = self.runner or self._busy_runner()
            return self.runner
        if who == "the placer":
            return next(name for name in self.dispatchers if self._hosts_job(name))
        return who

    def _busy_runner(self):
        return self.starts(self.job_id)[0].process.replace("worker", "runner")

    def _wait_for_entry(self):
        """Returns a dispatcher that forwards its jobs; all place some at startup."""
        count = len(self.dispatchers) - CELL_PLACERS

        def entries():
            placers = self.placers
            return [name for name in self.dispatchers if name not in placers]

        self.cluster.wait_for(
            lambda: len(entries()) == count, "too many dispatchers place tasks"
        )
        return entries()[0]

    @property
    def placers(self):
        """The running dispatchers that place tasks, as their logs tell."""
        return [
            name
            for name in self.dispatchers
            if self.cluster.running(name) and self._last_cells(name)
        ]

    def _last_cells(self, name):
        cells = [
            line["cells"]
            for line in self.cluster.lines(name)
            if line.get("message_type") == "cells:placing"
        ]
        return cells[-1] if cells else []

    def _hosts_job(self, name):
        return any(
            line.get("message_type") == "request:hosted" and line["job"] == self.job_id
            for line in self.cluster.lines(name)
        )

    def other_dispatcher(self):
        names = self.cluster.layout.dispatcher_names
        return next(name for name in names if name != self.owner)

    def _ask_for_owner(self):
        rows = self.operator_rows("dispatcher-1", f"why {self.job_id}")
        return rows[0]["dispatcher"]

    def wait_state(self, state, dispatcher):
        """Asks until the job has a state."""
        caller = self.cluster.caller(f"asker-{time.monotonic_ns()}")
        told = None

        def reached():
            nonlocal told
            told = caller.state(dispatcher, self.job_id)
            if told.state != state:
                time.sleep(ASK_PAUSE_S)
            return told.state == state

        self.cluster.wait_for(reached, f"{self.job_id} is not {state}")

    def cancel_wave(self, count, tasks, run_ms):
        """Submits and cancels jobs from several threads, each at its own pace."""
        names = self.cluster.layout.dispatcher_names
        numbers = list(range(count))

        def run(number):
            caller = self.cluster.caller(f"wave-{number}")
            for index in numbers[number::CANCEL_CALLERS]:
                job_id = f"{index + 1:016x}"
                dispatcher = names[index % len(names)]
                caller.submit(dispatcher, job_id, job_of(tasks, run_ms))
                time.sleep(index * run_ms / 1000 / count)
                if caller.cancel(names[(index + 1) % len(names)], job_id).state == (
                    "canceled"
                ):
                    self.canceled.append(job_id)

        threads = [
            threading.Thread(target=run, args=(number,))
            for number in range(CANCEL_CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def ask_incomplete(self, dispatcher, text):
        """Returns the names of the dispatchers that gave no rows."""
        request = urllib.request.Request(
            f"http://{self.address(dispatcher)}/v1/commands",
            data=text.encode(),
            method="POST",
        )
        with urllib.request.urlopen(request, timeout=30) as response:
            lines = response.read().splitlines()
        return json.loads(lines[-1]).get("incomplete", []) if lines else []
