"""Whether there is memory for one more job."""

from types import SimpleNamespace

import pytest

from banyanwheel_jobs.cells.forwarding import HostedJobs
from banyanwheel_jobs.messages import RunJob
from banyanwheel_jobs.model import Queue, Resources, Step, Submission
from banyanwheel_jobs.open_work import HeldTable, WorkLimit, job_bytes, submission_bytes
from banyanwheel_jobs.outcomes import Outcome
from tests.jobs.world import EventRecorder, lone_owner

QUEUE = Queue("counter", "desk", 0, 3, 1.6, 60)

WIDE = (Step(10_000, Resources(1), 1),)
MANY_STEPS = tuple(Step(1, Resources(1), 1) for _ in range(10_000))
ORDINARY = (Step(8, Resources(2_800), 120),)
LIMIT = 32 * 1024 * 1024


def submission_of(steps, spec=""):
    return SimpleNamespace(steps=steps, spec=spec)


def job_of(steps):
    return SimpleNamespace(submission=submission_of(steps))


def admitted(steps):
    """Returns how many jobs of these steps are admitted before the first refusal."""
    table = HeldTable.of_jobs()
    limit = WorkLimit(LIMIT, lambda: table.held_bytes)
    while limit.admits(submission_of(steps)):
        table[len(table)] = job_of(steps)
    return len(table)


@pytest.mark.parametrize("steps", [WIDE, MANY_STEPS])
def test_few_of_the_largest_jobs_are_open_at_once(steps):
    """Sixty jobs of 10,000 tasks took 450 MB."""
    assert 0 < admitted(steps) <= 4


def test_thousands_of_ordinary_jobs_are_open_at_once():
    assert admitted(ORDINARY) > 2_000


@pytest.mark.parametrize("steps", [WIDE, MANY_STEPS])
def test_a_single_job_of_legal_size_is_always_admitted(steps):
    assert WorkLimit(1, lambda: 0).admits(submission_of(steps))
    assert not WorkLimit(1, lambda: 1).admits(submission_of(steps))


@pytest.mark.parametrize(
    ("character", "width"), [("x", 1), ("–", 2), ("\N{GRINNING FACE}", 4)]
)
def test_texts_count_with_their_memory(character, width):
    """Jobs took six times as much as they were counted with."""
    text = "x" * 3_900 + character
    steps = (Step(1, Resources(1), 1, label=text, rack=text),)
    counted = submission_bytes(submission_of(steps, text))
    assert counted > 3 * width * len(text)


def test_jobs_that_are_gone_take_no_memory():
    table = HeldTable.of_jobs()
    table["a"] = job_of(WIDE)
    table["a"] = job_of(ORDINARY)
    assert table.held_bytes == job_bytes(submission_of(ORDINARY))
    assert table.pop("b") is None
    table["b"] = job_of(WIDE)
    assert table.pop("b").submission.steps is WIDE
    del table["a"]
    assert (table.held_bytes, len(table)) == (0, 0)


def test_a_placer_without_memory_leaves_new_jobs_to_others():
    """Many dispatchers forward to one, each within its own limit."""
    owner, answers = lone_owner(), []
    admitted = [True, False]
    hosted = HostedJobs(
        owner,
        lambda entry, message: answers.append((message.number, message.outcome)),
        lambda: True,
        EventRecorder(),
        admits=lambda submission: admitted.pop(0),
    )
    for number, job_id in ((1, "a" * 16), (2, "a" * 16), (3, "b" * 16)):
        submission = Submission(job_id, QUEUE, "", ORDINARY, 0, transient=True)
        message = RunJob(number, submission, 0, 350, 60_000)
        hosted.handle_run(("entry", "entry#1"), message, 0.0)
    assert list(owner.transient.jobs) == ["a" * 16]
    assert answers == [(3, Outcome.NOT_STORED)]
