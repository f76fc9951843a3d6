"""Operators are told of the place that a job then gets, and asking changes nothing."""

from collections import Counter
from types import FunctionType, MethodType

import pytest

from banyanwheel_core.drains import DrainKind
from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations
from banyanwheel_jobs.interference.interference import Interference
from banyanwheel_jobs.model import Resources, Step, Submission
from banyanwheel_jobs.owners.drains import Drains
from banyanwheel_jobs.owners.dry_run import dry_run

from ..world import QUEUE, TASK, EventRecorder, World

JOB = "a" * 16
WAIT_S = 5.0


def snapshot(value, seen=None):
    """Returns plain data that is equal for equal states of an object graph."""
    seen = {} if seen is None else seen
    if isinstance(value, int | float | str | bytes | None):
        return value
    if isinstance(value, FunctionType | MethodType | type):
        return type(value).__name__
    if id(value) in seen:
        return seen[id(value)]
    seen[id(value)] = f"seen {len(seen)}"
    if isinstance(value, dict):
        items = [
            (snapshot(key, seen), snapshot(each, seen)) for key, each in value.items()
        ]
        return (
            type(value).__name__,
            items,
            snapshot(getattr(value, "__dict__", None), seen),
        )
    if isinstance(value, set | frozenset):
        return sorted(
            repr(each) if type(each).__repr__ is not object.__repr__ else id(each)
            for each in value
        )
    try:
        return [snapshot(each, seen) for each in value]
    except TypeError:
        names = {
            n for cls in type(value).__mro__ for n in getattr(cls, "__slots__", ())
        }
        names.update(getattr(value, "__dict__", ()))
        names.update(getattr(value, "__struct_fields__", ()))
        return [
            (name, snapshot(getattr(value, name, None), seen)) for name in sorted(names)
        ]


def started(runners=3):
    world = World(owners=1, runners=runners)
    world.log.assign("owner-0")
    for _ in range(20):
        world.step()
    return world, world.owners["owner-0"]


def job(world, tasks=2, transient=True, **step):
    steps = (Step(tasks, TASK, 120, **step),)
    return Submission(JOB, QUEUE, "text", steps, round(world.now * 1000), transient)


def placed(rows):
    return {row["runner"]: row["tasks"] for row in rows if row["result"] == "place"}


def test_a_job_goes_where_it_was_said_to_go():
    """A placement of its own would drift from that of real jobs."""
    for busy in range(6):
        for tasks in (1, 2, 4, 8):
            world, owner = started()
            if busy:
                world.submit("owner-0", "b" * 16, tasks=busy)
            rows = dry_run(owner, job(world, tasks), world.now, WAIT_S)
            world.hand_in("owner-0", job(world, tasks))
            real = owner.transient.jobs[JOB]
            assert placed(rows) == Counter(task.runner for task in real.placed())
            waiting = sum(row["tasks"] for row in rows if row["result"] == "wait")
            assert waiting == tasks - len(real.placed())


def test_a_stored_job_goes_where_it_was_said_to_go():
    world, owner = started()
    rows = dry_run(owner, job(world, 5, transient=False), world.now, WAIT_S)
    world.submit_stored("owner-0", JOB, tasks=5)
    world.append("owner-0")
    owner.dispatch(world.now)
    real = owner.partitions[0].jobs[JOB]
    assert placed(rows) == Counter(task.runner for task in real.placed())


@pytest.mark.parametrize("transient", [True, False])
@pytest.mark.parametrize("open_jobs", [0, 2, 60])  # with room, without, hopeless
def test_asking_changes_nothing(transient, open_jobs):
    world, owner = started()
    owner.placement._interference = Interference(EventRecorder())
    for number in range(open_jobs):
        world.submit("owner-0", f"{number:016x}", tasks=4)
    before = snapshot(owner), snapshot(world.links), snapshot(world.event_log)
    for tasks in (1, 4, 30):
        dry_run(owner, job(world, tasks, transient), world.now, WAIT_S)
    assert (snapshot(owner), snapshot(world.links), snapshot(world.event_log)) == before


def test_the_comparison_sees_what_a_real_job_changes():
    """A comparison that sees nothing would prove nothing."""
    world, owner = started()
    before = snapshot(owner)
    world.submit("owner-0", JOB, tasks=1)
    assert snapshot(owner) != before


def test_a_job_that_would_be_refused_is_told_when_to_return():
    world, owner = started(runners=1)
    for number in range(60):
        world.submit("owner-0", f"{number:016x}", tasks=4)
    # Wider than the others, it is behind them all: the order of equal jobs is open.
    rows = dry_run(owner, job(world, 12), world.now, WAIT_S)
    world.hand_in("owner-0", job(world, 12))
    owner.tick(world.now)
    (reply,) = world.replies[JOB]
    (row,) = rows
    assert (row["result"], row["why"]) == ("refuse", owner.refused[JOB])
    assert row["why"] == "too-late"
    assert row["retry_after_ms"] == reply.retry_ms > 0


def test_what_keeps_a_job_waiting_is_told_with_the_workers_passed_over():
    world, owner = started(runners=2)
    owner.drains = Drains(frozenset({(DrainKind.DATA_CENTRE, "dc")}))
    admission, step = dry_run(owner, job(world), world.now, WAIT_S)
    assert admission["result"] == "hold"
    assert step["why"] == "every worker is drained"
    assert (step["workers"], step["drained"]) == (2, 2)


def test_a_step_waits_for_earlier_ones():
    world, owner = started()
    steps = (Step(1, TASK, 120), Step(1, Resources(1), 120, after=(0,)))
    submission = Submission(JOB, QUEUE, "", steps, 0, transient=True)
    _, first, second = dry_run(owner, submission, world.now, WAIT_S)
    assert (first["result"], second["result"]) == ("place", "wait")
    assert second["why"] == "after steps 0"


def test_an_evacuated_cell_returns_the_job():
    world, owner = started()
    owner.evacuations = Evacuations()
    owner.evacuations.replace([EvacuationRecord("dc", 1, "dc", True)])
    owner.apply_evacuations(world.now)
    (row,) = dry_run(owner, job(world), world.now, WAIT_S)
    assert (row["result"], row["why"]) == ("refuse", "evacuated")
