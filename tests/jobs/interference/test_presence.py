"""Which kinds of tasks are known to run beside others at a worker."""

import pytest

from banyanwheel_jobs.interference.presence import (
    RECENT_ENDS,
    SILENT_S,
    Presence,
)
from banyanwheel_jobs.messages import Report, RunEnd, RunStatus
from banyanwheel_jobs.model import EndKind, TaskId
from banyanwheel_jobs.placing.runner_view import RunnerView

A, B = ("a", 0), ("b", 0)


class Worker:
    """A worker of which a Presence learns."""

    def __init__(self):
        self.presence = Presence()
        self.view = RunnerView("w", "dc")

    @property
    def kinds(self):
        return {kind: count for kind, (count, _) in self.presence.at("w").items()}

    def place(self, name, kind):
        key = (TaskId(name, 0, 0, 0), 1)
        self.presence.place("w", key, kind, 500, 100.0)
        self.view.outstanding[key] = None

    def report(self, now, running=(), ended=()):
        """Reports names with ages in ms; returns the kinds beside each ended run."""
        runs = [RunStatus(0, TaskId(n, 0, 0, 0), 1, 0, age) for n, age in running]
        ends = [
            RunEnd(0, TaskId(n, 0, 0, 0), 1, EndKind.DONE, "", age) for n, age in ended
        ]
        self.view.listed = {(each.task, each.run) for each in (*runs, *ends)}
        self.view.outstanding.clear()
        report = Report(0, True, None, (), tuple(runs), tuple(ends))
        return {
            end.task.job: kinds
            for end, _, kinds in self.presence.observe(self.view, report, now)
        }


@pytest.fixture
def worker():
    worker = Worker()
    worker.place("one", A)
    worker.place("two", B)
    return worker


def test_a_run_is_beside_what_ran_when_it_started(worker):
    worker.report(100.5, [("one", 500), ("two", 200)])
    assert worker.report(101.0, [("one", 1_000)], [("two", 700)]) == {"two": {A}}
    # Runs that come later depend on how long a run takes.
    assert worker.report(102.0, [], [("one", 2_000)]) == {"one": frozenset()}


def test_runs_that_end_in_one_report_have_been_beside_each_other(worker):
    ended = [("one", 400), ("two", 300)]
    assert worker.report(100.5, [], ended) == {"one": frozenset(), "two": {A}}


def test_a_run_that_ended_meanwhile_still_counts(worker):
    worker.report(100.5, [("two", 100)], [("one", 400)])
    assert worker.report(102.0, [], [("two", 1_600)]) == {"two": {A}}


def test_an_end_that_is_reported_again_counts_once(worker):
    assert worker.report(100.5, [], [("one", 400)])
    assert worker.report(100.6, [], [("one", 400)]) == {}


def test_nothing_is_claimed_once_earlier_ends_may_have_been_dropped(worker):
    worker.report(101.0, [("two", 900)])
    for number in range(RECENT_ENDS):
        worker.place(f"short-{number}", A)
        worker.report(102.0, [("two", 1_900)], [(f"short-{number}", 100)])
    assert worker.report(103.0, [], [("two", 2_900)]) == {"two": None}


def test_runs_are_counted_from_their_assignment_until_they_end_or_are_lost(worker):
    assert worker.kinds == {A: 1, B: 1}
    worker.place("three", A)
    worker.report(100.5, [("one", 100), ("two", 100), ("three", 100)])
    assert worker.kinds == {A: 2, B: 1}
    worker.report(100.6, [("three", 200)], [("one", 200)])
    assert worker.kinds == {A: 1}
    worker.report(100.7)
    assert worker.kinds == {}


def test_a_silent_worker_is_dropped(worker):
    worker.report(100.5, [("one", 100), ("two", 100)])
    worker.presence.drop_silent(100.5 + SILENT_S)
    assert worker.kinds == {A: 1, B: 1}
    worker.presence.drop_silent(101.0 + SILENT_S)
    assert worker.kinds == {}
