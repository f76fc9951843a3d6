"""A simulation of placers under load, with workers of different speeds.

Only what decides about service under load is simulated: arrivals, room, run times, the
delay of messages, and workers that leave. No message is lost, and no process fails.
"""

import heapq
import random
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from banyanwheel_jobs.messages import (
    Report,
    RunEnd,
    RunStatus,
    StartTasks,
    StopTasks,
    WorkerStatus,
)
from banyanwheel_jobs.model import (
    TRANSIENT_PARTITION,
    EndKind,
    Resources,
    Step,
    Submission,
)
from banyanwheel_jobs.owners.owner import Owner
from banyanwheel_jobs.placing.placement import Placement
from banyanwheel_jobs.placing.runner_view import RunnerView
from banyanwheel_jobs.runners.overdue import ROOM_WAIT_S

from ..world import EventRecorder
from .overload_calls import Call, Kind

__all__ = ["Call", "Kind", "OverloadWorld"]

START_S = 100.0
DELAY_S = 0.002  # of a message
TICK_S = 0.05
HEARTBEAT_S = 0.2
REMOTE_RACK_FACTOR = 1.5  # on run times of tasks away from the rack with their data
RACKS = 4
SETTLE_S = 15.0  # after the last arrival
RUN_SPREAD = 0.4  # of the logarithm of a job's run time, among those of a kind
ESTIMATE_SPREAD = 0.4  # of the logarithm of the submitter's estimate
TASK_SPREAD = 0.15  # of the logarithm of a task's run time, among those of a job
OTHER_PLACERS_REPORT_S = 0.1  # between reports to placers that are not at home


@dataclass(slots=True)
class _Worker:
    name: str
    speed: float
    slowness: float  # as reported
    free: int
    capacity: int
    rack: str
    accepting: bool = True
    runs: dict = field(default_factory=dict)  # _Run by (task, run)
    waiting: list = field(default_factory=list)  # of _Run
    reported_at: dict = field(default_factory=dict)  # by placer
    report_due: set = field(default_factory=set)  # placers


@dataclass(slots=True, eq=False)
class _Run:
    """A run at a worker; ``began_at`` is None while it waits for room."""

    assignment: object
    placer: int
    due_at: float
    queued_at: float
    began_at: float | None = None
    ends_at: float = 0.0

    @property
    def key(self):
        return self.assignment.task, self.assignment.run


class OverloadWorld:
    """Plays arrivals of ``kinds`` against placers that share workers of ``speeds``.

    ``surges`` are (kind's name, from, until, factor) rows, ``losses`` the times at
    which workers leave, by their index. ``shares`` gives each placer its part of the
    arrivals. ``cpu`` is that of each worker, or a list with one for each of them.
    Callers whose jobs were refused come again if ``callers_return``.
    """

    def __init__(
        self,
        kinds,
        speeds,
        seconds,
        surges=(),
        cpu=16_000,
        seed=1,
        shares=(1.0,),
        losses=None,
        callers_return=False,
    ):
        self.now = START_S
        self.calls = []
        self.held = []  # calls whose tasks waited for room until the caller left
        self.returned = []  # second calls, at the time that the refusal named
        self.begun = set()  # ids of jobs with a run at a worker
        self._seed = seed
        self._numbers = {kind: random.Random(f"{seed}/{kind.name}") for kind in kinds}
        self._order = count()
        self._events = []
        self._kinds = kinds
        self._surges = surges
        self._shares = shares
        self._callers_return = callers_return
        self._until = self.now + seconds
        sizes = [cpu] * len(speeds) if isinstance(cpu, int) else cpu
        self._workers = [
            _Worker(
                f"worker-{number:02}",
                speed,
                1 / speed,
                size,
                size,
                f"rack-{number % RACKS}",
            )
            for number, (speed, size) in enumerate(zip(speeds, sizes, strict=True))
        ]
        self.owners = [self._build_owner(number) for number in range(len(shares))]
        for number, at in (losses or {}).items():
            worker = self._workers[number]
            self._at(START_S + at, lambda worker=worker: self._lose(worker))

    def _build_owner(self, placer):
        workers = {worker.name: worker for worker in self._workers}

        def send(name, message):
            worker = workers[name]
            match message:
                case StartTasks():
                    self._later(lambda: self._start(placer, worker, message))
                case StopTasks():
                    self._later(lambda: self._stop(worker, message))

        owner = Owner(
            1,
            Placement("dc", REMOTE_RACK_FACTOR),
            retention_s=60,
            wall_ms=lambda: round(self.now * 1000),
            send=send,
            store=None,
            event_log=EventRecorder(),
        )
        for number, name in enumerate(workers):
            home = number % len(self._shares) == placer
            owner.views[name] = RunnerView(name, "dc", home)
        return owner

    def play(self):
        """Plays all arrivals and what comes of them."""
        self._every(HEARTBEAT_S, self._report_all)
        self._every(TICK_S, self._tick)
        self._report_all()
        for kind in self._kinds:
            self._schedule_arrival(kind)
        while self._events and self._events[0][0] < self._until + SETTLE_S:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def _at(self, when, act):
        heapq.heappush(self._events, (when, next(self._order), act))

    def _later(self, act):
        self._at(self.now + DELAY_S, act)

    def _every(self, seconds, act):
        def again():
            act()
            self._at(self.now + seconds, again)

        self._at(self.now + seconds, again)

    def _tick(self):
        for owner in self.owners:
            owner.tick(self.now)
        for worker in self._workers:
            for run in list(worker.waiting):
                if self.now - run.queued_at > ROOM_WAIT_S:
                    self._end(worker, run, EndKind.REFUSED, "no-room")

    def _report_all(self):
        for worker in self._workers:
            for placer in range(len(self.owners)):
                self._report(worker, placer)

    # Callers

    def _rate(self, kind):
        elapsed = self.now - START_S
        rate = kind.per_second
        for name, since, until, factor in self._surges:
            if name == kind.name and since <= elapsed < until:
                rate *= factor
        return rate

    def _schedule_arrival(self, kind):
        when = self.now + self._numbers[kind].expovariate(self._rate(kind))
        if when < self._until:
            self._at(when, lambda: self._arrive(kind))

    def _arrive(self, kind):
        numbers = self._numbers[kind]
        width = min(
            kind.max_tasks, max(1, round(kind.tasks * numbers.lognormvariate(0, 0.4)))
        )
        run_ms = kind.run_ms * numbers.lognormvariate(0, RUN_SPREAD)
        off = numbers.lognormvariate(0, ESTIMATE_SPREAD)
        estimate = max(1, round(run_ms * off))
        near = kind.rack and numbers.random() < kind.rack_share
        rack = kind.rack if near else ""
        submission = Submission(
            f"{len(self.calls):016x}",
            kind.queue,
            "",
            (Step(width, Resources(kind.cpu), estimate, rack=rack),),
            0,
            transient=True,
        )
        self.calls.append(self._submit(kind, submission, run_ms))
        self._schedule_arrival(kind)

    def _return(self, kind, submission, run_ms):
        if self._callers_return:
            self.returned.append(self._submit(kind, submission, run_ms))

    def _submit(self, kind, submission, run_ms):
        (placer,) = self._numbers[kind].choices(range(len(self.owners)), self._shares)
        call = Call(kind, submission, self.now, placer, run_ms / 1000)
        owner, delay_s = self._route(call)

        def reply(answer):
            call.answered_at, call.outcome = self.now + delay_s, answer.outcome
            if call.said_not_run:
                due_at = call.answered_at + answer.retry_ms / 1000
                self._at(due_at, lambda: self._return(kind, submission, run_ms))

        def leave():
            if call.answered_at is None:
                call.answered_at = self.now
                if list(owner.transient.jobs[submission.job_id].startable(self.now)):
                    self.held.append(call)
                owner.remove_transient_caller(submission.job_id, reply)

        expires_at = self.now + call.deadline_s
        run = partial(owner.run_transient, submission, reply)
        self._at(self.now + delay_s, lambda: run(self.now, expires_at))
        self._at(expires_at, leave)
        return call

    def _route(self, call):
        """Returns the owner that runs a job, and the delay of messages to it."""
        return self.owners[call.placer], 0.0

    # Workers

    def _lose(self, worker):
        worker.accepting = False
        for run in [*worker.waiting, *worker.runs.values()]:
            self._end(worker, run, EndKind.LAPSED, "worker-left")

    def _start(self, placer, worker, message):
        for assignment in message.assignments:
            due_at = self.now + message.urgency
            run = _Run(assignment, placer, due_at, self.now)
            worker.waiting.append(run)
            if not worker.accepting:
                self._end(worker, run, EndKind.REFUSED, "other-incarnation")
        self._start_waiting(worker)

    def _start_waiting(self, worker):
        for run in sorted(worker.waiting, key=lambda run: run.due_at):
            if run.assignment.resources.cpu > worker.free:
                continue
            worker.waiting.remove(run)
            worker.free -= run.assignment.resources.cpu
            run.began_at = self.now
            run.ends_at = self.now + self._run_s(worker, run.assignment.task)
            worker.runs[run.key] = run
            self.begun.add(run.assignment.task.job)
            self._at(run.ends_at, lambda run=run: self._end(worker, run, EndKind.DONE))

    def _run_s(self, worker, task):
        """Returns a task's run time at a worker, the same whatever ran before."""
        call = self.calls[int(task.job, 16)]
        off = random.Random(f"{self._seed}/{task}").lognormvariate(0, TASK_SPREAD)
        rack = call.submission.steps[0].rack
        far = REMOTE_RACK_FACTOR if rack and rack != worker.rack else 1.0
        return call.run_s * off * far / worker.speed

    def _stop(self, worker, message):
        stopped = {(item.task, item.run) for item in message.runs}
        for run in [*worker.waiting, *worker.runs.values()]:
            if run.key in stopped:
                self._end(worker, run, EndKind.STOPPED, "stopped")

    def _end(self, worker, run, kind, reason=""):
        if run in worker.waiting:
            worker.waiting.remove(run)
            run_s = 0.0
        elif worker.runs.pop(run.key, None) is not None:
            worker.free += run.assignment.resources.cpu
            run_s = self.now - run.began_at
        else:
            return
        end = RunEnd(
            TRANSIENT_PARTITION, *run.key, kind, "", round(run_s * 1000), reason
        )
        self._start_waiting(worker)
        self._later(lambda: self._report(worker, run.placer, (end,)))
        for placer, owner in enumerate(self.owners):
            if placer != run.placer and worker.name in owner.views:
                self._announce_room(worker, placer, owner.views[worker.name].home)

    def _announce_room(self, worker, placer, home):
        """Tells a placer of new room, at once where the worker is at home."""
        if placer in worker.report_due:
            return
        worker.report_due.add(placer)
        due_at = worker.reported_at.get(placer, 0.0) + OTHER_PLACERS_REPORT_S

        def report():
            worker.report_due.discard(placer)
            self._report(worker, placer)

        self._at(self.now + DELAY_S if home else max(self.now, due_at), report)

    def _report(self, worker, placer, ends=()):
        worker.reported_at[placer] = self.now
        waiting = sum(run.assignment.resources.cpu for run in worker.waiting)
        runs = tuple(
            RunStatus(TRANSIENT_PARTITION, *run.key, self._percent(run), run_ms)
            for run in [*worker.waiting, *worker.runs.values()]
            if run.placer == placer
            for run_ms in (round((self.now - (run.began_at or self.now)) * 1000),)
        )
        status = WorkerStatus(
            f"{worker.name}@1",
            "desk",
            worker.accepting,
            Resources(worker.capacity),
            Resources(worker.free - waiting),
            (worker.rack,),
            worker.slowness,
        )
        owner, view = self.owners[placer], self.owners[placer].views[worker.name]
        report = Report(round(self.now * 1000), True, status, (), runs, ends)
        view.trust.receive(report.sent_at_ms, self.now)
        owner.handle_report(view, "1", report, self.now)
        owner.dispatch(self.now)

    def _percent(self, run):
        if run.began_at is None:
            return -1
        return round(100 * (self.now - run.began_at) / (run.ends_at - run.began_at))
