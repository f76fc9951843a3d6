"""A simulation of owners, runners and workers in one process.

The test controls time and the network. Time passes only when the test advances it.
Messages are in flight until they are delivered; each connection keeps their order, and
a cut connection holds them back.
"""

from dataclasses import dataclass, field

from banyanwheel_jobs.messages import (
    EndsAcknowledged,
    Heartbeat,
    Report,
    StartTasks,
    StopTasks,
)
from banyanwheel_jobs.model import Queue, Resources, Step, Submission
from banyanwheel_jobs.owners.owner import Owner
from banyanwheel_jobs.placing.placement import Placement
from banyanwheel_jobs.placing.runner_view import RunnerView
from banyanwheel_jobs.ports import KeyedRecord
from banyanwheel_jobs.runners.runner import Runner

from .runners.worker_model import CAPACITY, LEASE_S, SERVICE, WorkerModel

PARTITIONS = 1
DISPATCHER_HEARTBEAT_S = 0.2
WORKER_HEARTBEAT_S = 1.5
TASK = Resources(1_000, 100, 0)
QUEUE = Queue("counter", SERVICE, 0, 3, 1.6, 60)


class EventRecorder:
    """Keeps the events and counts that were logged."""

    def __init__(self):
        self.events = []
        self.counts = {}

    def __call__(self, event, **fields):
        self.events.append((event, fields))

    def fault(self, error, **fields):
        self("process:fault", fault=repr(error), **fields)
        self.count("banyanwheel.faults", type(error).__name__)

    def count(self, name, reason, amount=1):
        key = (name, str(reason))
        self.counts[key] = self.counts.get(key, 0) + amount

    def observe(self, name, seconds, **attributes):
        pass


def lone_owner(partitions=1, send=None, store=None, interference=None):
    """Returns an owner without runners whose wall clock always reads 0."""
    return Owner(
        partitions,
        Placement("dc", 1.5, interference),
        retention_s=60,
        wall_ms=lambda: 0,
        send=send,
        store=store,
        event_log=EventRecorder(),
    )


@dataclass
class LogModel:
    """One partition of the log and the owner that it is assigned to."""

    epoch: int = 0
    generation: int = 0
    assigned_to: str = ""
    records: dict = field(default_factory=dict)

    def assign(self, owner):
        self.generation += 1
        self.assigned_to = owner

    def append(self, epoch, records):
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        for key, value in records:
            if value is None:
                self.records.pop(key, None)
            else:
                self.records[key] = value
        return True


@dataclass
class Link:
    """Messages in flight from an owner to a runner or back, in order."""

    messages: list = field(default_factory=list)
    cut: bool = False


class World:
    """A simulated system of owners and of runners with one worker each.

    It also observes the workers: ``faults`` lists each guarantee that was violated.
    """

    def __init__(self, owners=2, runners=2, run_s=0.12, retention_s=60):
        self.now = 100.0
        self.retention_s = retention_s  # of the ends of jobs
        self.tick_number = 1
        self.run_s = run_s
        self.event_log = EventRecorder()
        self.workers = {}
        self.runners = {}
        self.owners = {}
        self.links = {}
        self.running = {}  # names of workers by task, as observed
        self.faults = []
        self.replies = {}
        self.generations = {}
        self.starts = {}  # times by task
        self.done = set()  # tasks with a run whose end is done
        # Tasks of stored jobs; those of transient jobs may run again from the start.
        self.acknowledged_done = set()
        self.transient = set()
        self.resubmitted = set()  # jobs whose callers left and came back
        self.log = LogModel()
        self.log_unreachable = set()
        self.holds_appends = False  # the log answers renewals only
        self.late_starts = set()  # runners whose starts reach the worker late
        self.lost_stops = set()  # runners whose stops do not reach the worker
        self.claims = {}
        for number in range(runners):
            name = f"runner-{number}"
            self.workers[name] = WorkerModel(self, name)
            self.start_runner(name)
        for number in range(owners):
            self.start_owner(f"owner-{number}")

    # Processes

    def start_owner(self, name):
        self.generations[name] = self.generations.get(name, 0) + 1
        owner = Owner(
            PARTITIONS,
            Placement("dc", 1.5),
            retention_s=self.retention_s,
            wall_ms=lambda: round(self.now * 1000),
            send=lambda runner, message: self._send(name, runner, message),
            store=lambda partition: None,
            event_log=self.event_log,
        )
        for runner in self.runners:
            owner.views[runner] = RunnerView(runner, "dc")
            self.links[name, runner] = Link()
            self.links[runner, name] = Link()
        self.owners[name] = owner
        self.claims[name] = ()

    def start_runner(self, name, announce=True):
        self.generations[name] = self.generations.get(name, 0) + 1
        runner = Runner(PARTITIONS, LEASE_S, self.event_log)
        self.runners[name] = runner
        if announce:
            runner.announce(self.workers[name].announcement(), self.now)

    def incarnation(self, name):
        return f"{name}#{self.generations[name]}"

    # Network

    def _send(self, sender, recipient, message):
        self.links[sender, recipient].messages.append(
            (
                self.incarnation(sender),
                self._recipient_incarnation(sender, recipient),
                message,
            )
        )

    def _recipient_incarnation(self, sender, recipient):
        if sender in self.owners:
            return self.owners[sender].views[recipient].incarnation
        return ""

    def deliver(self, sender, recipient, limit=None):
        link = self.links[sender, recipient]
        if link.cut:
            return
        count = len(link.messages) if limit is None else limit
        for _ in range(min(count, len(link.messages))):
            from_incarnation, to, message = link.messages.pop(0)
            if to and to != self.incarnation(recipient):
                continue
            self._receive(sender, from_incarnation, recipient, message)

    def _receive(self, sender, incarnation, recipient, message):
        if isinstance(message, Report):
            owner = self.owners[recipient]
            view = owner.views[sender]
            if view.incarnation not in ("", incarnation):
                view.trust.forget()
            view.trust.receive(message.sent_at_ms, self.now)
            owner.handle_report(view, incarnation, message, self.now)
            owner.dispatch(self.now)
            return
        runner = self.runners[recipient]
        origin = (sender, incarnation)
        match message:
            case Heartbeat():
                if message.runner != self.incarnation(recipient):
                    message = Heartbeat(message.claims, 0, 0, message.runner)
                runner.handle_dispatcher_heartbeat(origin, message, self.now)
                self._report(recipient, sender)
            case StartTasks():
                runner.handle_start(origin, message, self.now)
            case StopTasks():
                runner.handle_stop(origin, message, self.now)
            case EndsAcknowledged():
                runner.handle_end_acknowledgements(message, self.now)
        self.exchange_with_worker(recipient)

    def _report(self, runner, owner):
        origin = (owner, self.incarnation(owner))
        self._send(runner, owner, self.runners[runner].report(origin, self.now))

    # Calls from a runner to its worker

    def exchange_with_worker(self, name, lose_start=False):
        """Sends the due starts and stops, and polls the worker's lists of runs.

        With ``lose_start`` the worker carries out the starts but the answers are lost.
        """
        runner, worker = self.runners[name], self.workers[name]
        if worker.unresponsive:
            runner.record_unanswered_poll(self.now)
            runner.deadline_ms(self.now)
            return
        if self._is_replaced(runner, worker):
            worker.verify(runner.fence)
            runner.record_worker_replaced(worker.incarnation, self.now)
            return
        for run in runner.begin_due_starts(self.now):
            deadline_ms = runner.start_deadline_ms(run, self.now)
            if name in self.late_starts:
                worker.delay_start(run, deadline_ms, runner.fence, self.run_s)
                runner.record_unanswered_start(run, self.now)
                continue
            outcome = worker.start(run, deadline_ms, runner.fence, self.run_s)
            if lose_start:
                runner.record_unanswered_start(run, self.now)
            else:
                runner.record_start_outcome(run, outcome, self.now)
        for run in runner.begin_due_stops(self.now):
            if name in self.lost_stops:
                runner.record_unanswered_stop(run)
            else:
                worker.stop(run.key, runner.fence)
        if runner.needs_polling and runner.should_renew_lease:
            fence, acknowledged = runner.fence, runner.acknowledged
            lists = worker.renew_lease(
                fence, acknowledged, runner.deadline_ms(self.now)
            )
            if lists is None:
                runner.record_fenced_poll(fence)
            else:
                runner.reconcile(lists, fence, acknowledged, self.now, self.now)

    def _is_replaced(self, runner, worker):
        """Whether a call would reach another life than the one that was announced."""
        return (
            (runner.needs_polling or runner.run_count)
            and runner.worker is not None
            and runner.worker.incarnation != worker.incarnation
        )

    def step(self, seconds=0.05, frozen=()):
        """Advances the time; processes named in ``frozen`` do nothing meanwhile."""
        self.now += seconds
        self.tick_number += 1
        for worker in self.workers.values():
            worker.end_due_runs()
            worker.deliver_delayed_starts()
        for name, runner in self.runners.items():
            if name in frozen:
                continue
            if self.tick_number % round(WORKER_HEARTBEAT_S / 0.05) == 0:
                runner.announce(self.workers[name].announcement(), self.now)
            runner.tick(self.now)
            self.exchange_with_worker(name)
        for name, owner in self.owners.items():
            if name in frozen:
                continue
            self.renew_membership(name)
            owner.tick(self.now)
            self.append(name)
            if self.tick_number % round(DISPATCHER_HEARTBEAT_S / 0.05) == 0:
                self.send_heartbeats(name)
        self.exchange(frozen)

    def send_heartbeats(self, name):
        for runner, stop in self.owners[name].pending_stops():
            self._send(name, runner, stop)
        confirmed = self.owners[name].confirmed_stamps()
        for view in self.owners[name].views.values():
            message = Heartbeat(
                self.claims[name],
                view.trust.stamp,
                view.trust.newest,
                view.incarnation,
                tuple(confirmed.get(view.name, ())),
            )
            self.links[name, view.name].messages.append(
                (self.incarnation(name), "", message)
            )

    def exchange(self, frozen=()):
        """Delivers the messages in flight, twice, so that answers arrive as well."""
        for _ in range(2):
            for sender, recipient in list(self.links):
                if recipient not in frozen and sender not in frozen:
                    self.deliver(sender, recipient)
        for name in self.runners:
            if name in frozen:
                continue
            for owner in self.owners:
                self._report(name, owner)

    def cut(self, one, other, cut=True):
        self.links[one, other].cut = cut
        self.links[other, one].cut = cut

    # The log

    def renew_membership(self, name):
        """Renews an owner's group membership, and opens or closes its partition."""
        owner = self.owners[name]
        if name in self.log_unreachable:
            return
        for view in owner.views.values():
            view.trust.renewal_sent()
            view.trust.renewal_confirmed()
        if self.log.assigned_to != name:
            self.claims[name] = ()
            owner.close(0, "dealt-elsewhere")
        elif 0 not in owner.partitions:
            epoch = self.log.generation
            if self.log.append(epoch, []):
                records = [
                    KeyedRecord(key, value, 0)
                    for key, value in self.log.records.items()
                ]
                now_ms = round(self.now * 1000)
                owner.open(0, epoch, records, self.now, now_ms)
        self.claims[name] = tuple(
            (number, partition.epoch) for number, partition in owner.partitions.items()
        )

    def append(self, name):
        """Appends the records that an owner has queued to the log."""
        owner = self.owners[name]
        partition = owner.partitions.get(0)
        if partition is None or name in self.log_unreachable or self.holds_appends:
            return
        while batch := partition.journal.next_batch():
            if not self.log.append(partition.epoch, batch.records):
                owner.close(0, "fenced")
                return
            partition.journal.mark_stored()

    # Callers

    def submit_stored(self, owner, job_id, tasks=2):
        submission = Submission(
            job_id,
            QUEUE,
            "text",
            (Step(tasks, TASK, round(self.run_s * 1000)),),
            round(self.now * 1000),
        )
        replies = self.replies.setdefault(job_id, [])
        self.owners[owner].submit(submission, replies.append, self.now)

    def state(self, job_id):
        """Returns the outcome and state that the owner answers, None without one."""
        answers = []
        owner = self.owners[self.log.assigned_to]
        owner.ask(job_id, answers.append)
        return (answers[0].outcome, answers[0].state) if answers else None

    def submit(self, owner, job_id, tasks=2, deadline_s=5.0):
        submission = Submission(
            job_id,
            QUEUE,
            "text",
            (Step(tasks, TASK, round(self.run_s * 1000)),),
            round(self.now * 1000),
            transient=True,
        )
        self.hand_in(owner, submission, deadline_s)

    def hand_in(self, owner, submission, deadline_s=5.0):
        """Submits a transient job as its caller does, the first time or again."""
        self.transient.add(submission.job_id)
        replies = self.replies.setdefault(submission.job_id, [])
        self.owners[owner].run_transient(
            submission, replies.append, self.now, self.now + deadline_s
        )

    def leave(self, owner, job_id):
        """Has the caller of a transient job break its connection."""
        self.resubmitted.add(job_id)
        job = self.owners[owner].transient.jobs[job_id]
        for reply in list(job.on_final):
            self.owners[owner].remove_transient_caller(job_id, reply)

    # Observation of the workers

    def record_start(self, worker, key):
        others = self.running.setdefault(key[0], set())
        if others:
            self.faults.append(f"{key[0]} runs on {others} and on {worker.name}")
        others.add(worker.name)
        self.starts.setdefault(key[0], []).append(self.now)
        if key[0] in self.acknowledged_done:
            self.faults.append(f"{key[0]} was started after its end was acknowledged")
        used_cpu = len(worker.running) * TASK.cpu
        if used_cpu > CAPACITY.cpu:
            self.faults.append(
                f"{worker.name} runs tasks of {used_cpu} millicores on {CAPACITY.cpu}"
            )

    def record_end(self, worker, key, kind):
        self.running.get(key[0], set()).discard(worker.name)
        if kind == "done":
            self.done.add(key[0])

    def record_acknowledged(self, worker, end):
        ended_at = worker.ended_at[end.number]
        if end.task.job in self.transient:
            return
        if end.kind != "done" or worker.lapsed_at > ended_at:
            return
        self.acknowledged_done.add(end.task)
        if any(started > ended_at for started in self.starts[end.task]):
            self.faults.append(
                f"{end.task} was started after an end that is now acknowledged"
            )

    def record_worker_loss(self, worker):
        for task, run in worker.running:
            self.record_end(worker, (task, run), "gone")
