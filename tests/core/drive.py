"""Drives decision objects in one thread: a coordinator and its executors."""

from collections import deque
from random import Random

import msgspec

from banyanwheel_core.coordinator import Coordinator
from banyanwheel_core.effects import Answered, Execute, Peer, Send
from banyanwheel_core.executor import Executor
from banyanwheel_core.membership import Membership
from banyanwheel_core.messages import (
    BlockRequest,
    IdBlock,
    JobAnswer,
    MemberRecord,
    SubmitJob,
    TaskResult,
)
from banyanwheel_core.models import Announcement, JobSpec, TaskOutcome, TaskSpec
from banyanwheel_core.placement import Placement

ENTRY = Peer("entry-1", "e" * 16)
SERVICE = "counter"


def spec(tasks=1, **fields):
    defaults = {"service": SERVICE, "subsidiary": "magnolia", "kind": "price"}
    specs = tuple(TaskSpec(payload=number) for number in range(tasks))
    return JobSpec(**{**defaults, **fields}, tasks=specs)


class World:
    """Messages wait in ``wire`` until the test delivers, repeats or loses them."""

    def __init__(self, executors=2, slots=2, seed=1):
        self.now = 100.0
        self.wire = deque()
        self.running = []
        self.starts = []
        self.answers = []
        self.blocks = []
        self.members = Membership("c", "gulf", "r1", random=Random(seed))
        self.coordinator = Coordinator(
            Peer("c", "c" * 16), self.members, Placement("c", "gulf", Random(seed))
        )
        self.executors = {}
        for number in range(executors):
            self.add_executor(f"x{number}", slots)

    def add_executor(self, name, slots=2, incarnation="1" * 16):
        peer = Peer(name, incarnation)
        executor = Executor(peer)
        announcement = Announcement("127.0.0.1:1", (SERVICE,), slots, lifetime_ms=9_999)
        executor.announced(announcement, self.now)
        self.executors[peer] = executor
        record = MemberRecord(
            name, incarnation, "127.0.0.1:1", "gulf", "r1", (SERVICE,), slots
        )
        self.members.apply(record, len(self.executors), 0, self.now)
        return peer

    def perform(self, actor, effects):
        for effect in effects:
            match effect:
                case Send(peer=peer, message=message):
                    self.wire.append((actor, peer, message))
                case Execute(task=task):
                    self.running.append((actor, task))
                    self.starts.append((task.job_id, task.index))
                case Answered():
                    self.answers.append(effect)

    def deliver(self, letter):
        sender, recipient, message = letter
        if recipient == ENTRY:
            match message:
                case JobAnswer(answer=answer):
                    self.answers.append(answer)
                case IdBlock():
                    self.blocks.append(message)
            return
        decision = self.executors.get(recipient, self.coordinator)
        self.perform(recipient, decision.handle(sender, message, self.now))

    def deliver_all(self):
        while self.wire:
            self.deliver(self.wire.popleft())

    def deliver_until(self, kind):
        """Delivers in order until a message of the class ``kind`` is the next."""
        while not isinstance(self.wire[0][2], kind):
            self.deliver(self.wire.popleft())

    def finish(self, number=0, outcome=TaskOutcome.DONE, body=None):
        peer, task = self.running.pop(number)
        body = msgspec.Raw(body or msgspec.json.encode([task.job_id, task.index]))
        result = TaskResult(task.job_id, task.index, outcome, body, run_ms=100)
        self.perform(peer, self.executors[peer].finished(result, self.now))

    def finish_all(self):
        self.deliver_all()
        while self.running:
            self.finish()
            self.deliver_all()

    def advance(self, seconds):
        self.now += seconds
        for peer, executor in self.executors.items():
            self.perform(peer, executor.tick(self.now))
        self.perform(self.me, self.coordinator.tick(self.now))

    @property
    def me(self):
        return Peer("c", "c" * 16)

    def job_id(self):
        self.deliver((ENTRY, self.me, BlockRequest(1)))
        self.deliver_all()
        return f"c.{'c' * 16}.{self.blocks[-1].block}.0"

    def submit(self, job_spec, job_id=None, fingerprint="f"):
        job_id = job_id or self.job_id()
        message = SubmitJob(job_id, job_spec, fingerprint, job_spec.deadline_ms)
        self.deliver((ENTRY, self.me, message))
        return job_id
