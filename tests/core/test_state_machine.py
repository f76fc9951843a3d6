"""Promises of the decision objects under loss, repeats, delays and replacements."""

from collections import Counter, defaultdict

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from banyanwheel_core.messages import CancelJob
from banyanwheel_core.models import Answer, JobState, Outcome, Reason, TaskOutcome
from tests.core.drive import ENTRY, World, spec

# Sampled, since Hypothesis draws integers near constants of the modules loaded, and
# these differ between a run of this test alone and one of the whole suite.
NUMBERS = st.sampled_from(range(1_001))
OUTCOMES = st.sampled_from(
    [
        TaskOutcome.DONE,
        TaskOutcome.DONE,
        TaskOutcome.DONE,
        TaskOutcome.FAILED,
        TaskOutcome.UNKNOWN,
        TaskOutcome.NOT_STARTED,
    ]
)
DEADLINE_MS = 3_000


class Dispatch(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = None
        self.specs = {}
        self.generation = 1

    @initialize(executors=st.integers(1, 3), slots=st.integers(1, 3), seed=NUMBERS)
    def begin(self, executors, slots, seed):
        self.world = World(executors, slots, seed)

    def pick(self, items, number):
        return items[number % len(items)]

    @rule(tasks=st.integers(1, 5), idempotent=st.booleans())
    def submit(self, tasks, idempotent):
        job = spec(tasks, idempotent=idempotent and tasks == 1, deadline_ms=DEADLINE_MS)
        job_id = self.world.job_id()
        self.specs[job_id] = job
        self.world.submit(job, job_id)

    @precondition(lambda self: self.specs)
    @rule(number=NUMBERS)
    def repeat(self, number):
        job_id = self.pick(list(self.specs), number)
        self.world.submit(self.specs[job_id], job_id)

    @precondition(lambda self: self.specs)
    @rule(number=NUMBERS)
    def cancel(self, number):
        job_id = self.pick(list(self.specs), number)
        self.world.deliver((ENTRY, self.world.me, CancelJob(job_id)))

    @precondition(lambda self: self.world.wire)
    @rule(number=NUMBERS)
    def deliver(self, number):
        position = number % len(self.world.wire)
        letter = self.world.wire[position]
        del self.world.wire[position]
        self.world.deliver(letter)

    @precondition(lambda self: self.world.wire)
    @rule(number=NUMBERS)
    def duplicate(self, number):
        self.world.wire.append(self.pick(self.world.wire, number))

    @precondition(lambda self: self.world.wire)
    @rule(number=NUMBERS)
    def lose(self, number):
        del self.world.wire[number % len(self.world.wire)]

    @precondition(lambda self: self.world.running)
    @rule(number=NUMBERS, outcome=OUTCOMES)
    def finish(self, number, outcome):
        position = number % len(self.world.running)
        if outcome is TaskOutcome.NOT_STARTED:
            _, task = self.world.running[position]
            self.world.starts.remove((task.job_id, task.index))
        self.world.finish(position, outcome)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 6.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(number=NUMBERS)
    def notice_silence(self, number):
        peer = self.pick(list(self.world.executors), number)
        effects = self.world.coordinator.peer_silent(peer.name, self.world.now)
        self.world.perform(self.world.me, effects)

    @rule(number=NUMBERS)
    def lose_peer(self, number):
        peer = self.pick(list(self.world.executors), number)
        effects = self.world.coordinator.peer_lost(peer.name, self.world.now)
        self.world.perform(self.world.me, effects)

    @rule(number=NUMBERS)
    def replace(self, number):
        old = self.pick(list(self.world.executors), number)
        del self.world.executors[old]
        self.world.running = [(p, t) for p, t in self.world.running if p != old]
        self.generation += 1
        new = self.world.add_executor(old.name, incarnation=f"{self.generation:016x}")
        effects = self.world.coordinator.peer_replaced(
            old.name, new.incarnation, self.world.now
        )
        self.world.perform(self.world.me, effects)

    @invariant()
    def starts_once(self):
        if self.world is None:
            return
        for (job_id, index), count in Counter(self.world.starts).items():
            if not self.specs[job_id].idempotent:
                assert count <= 1, (job_id, index)

    @invariant()
    def answers_are_whole_and_agree(self):
        if self.world is None:
            return
        by_id = defaultdict(set)
        for answer in self.world.answers:
            by_id[answer.id].add(msgspec.json.encode(answer))
            self.check_whole(answer)
        started = {job_id for job_id, _ in self.world.starts}
        for job_id, texts in by_id.items():
            answers = [msgspec.json.decode(text, type=Answer) for text in texts]
            outcomes = {(answer.state, answer.outcome) for answer in answers}
            assert len(outcomes) == 1, answers
            if answers[0].outcome is Outcome.NOT_RUN:
                assert job_id not in started, answers[0]

    def check_whole(self, answer):
        if answer.state != JobState.COMPLETE:
            assert answer.results == ()
            return
        expected = [[answer.id, n] for n in range(len(self.specs[answer.id].tasks))]
        assert [msgspec.json.decode(body) for body in answer.results] == expected

    def teardown(self):
        """Whatever happened, each job has an answer once its deadline is over."""
        if self.world is None:
            return
        self.world.finish_all()
        self.world.advance(DEADLINE_MS / 1_000 + 1)
        self.world.finish_all()
        for job_id in self.specs:
            self.world.submit(self.specs[job_id], job_id)
        self.world.deliver_all()
        self.starts_once()
        self.answers_are_whole_and_agree()
        answered = {answer.id for answer in self.world.answers}
        assert answered >= set(self.specs)
        assert all(a.reason is not Reason.UNKNOWN_ID for a in self.world.answers)


def test_promises_hold_whatever_is_lost_repeated_late_or_replaced():
    run_state_machine_as_test(
        Dispatch,
        settings=settings(
            max_examples=300, stateful_step_count=60, derandomize=True, deadline=None
        ),
    )
