"""The rows and explanations of jobs, tasks, workers and partitions for operators."""

import pytest

from banyanwheel_core.drains import DrainKind
from banyanwheel_core.language import COLUMNS, Kind, Table
from banyanwheel_jobs.owners import inspection
from banyanwheel_jobs.owners.drains import Drains

from ..world import World

JOB = "a" * 16
PYTHON_TYPES = {
    Kind.TEXT: str,
    Kind.NUMBER: (int, float),
    Kind.DURATION: int,
    Kind.FLAG: bool,
    Kind.LIST: list,
}


@pytest.fixture
def world():
    world = World(owners=1)
    world.log.assign("owner-0")
    for _ in range(20):
        world.step()
    return world


def why(world):
    (row,) = inspection.why_rows(world.owners["owner-0"], "d", JOB, world.now)
    return row["state"], row["why"]


def rows_of(world, table):
    owner = world.owners["owner-0"]
    match table:
        case Table.JOBS:
            return inspection.job_rows(owner, "d", world.now)
        case Table.TASKS:
            return inspection.task_rows(owner)
        case Table.WORKERS:
            return inspection.worker_rows(owner, world.now)
    return inspection.partition_rows(owner, "d", lambda partition: False)


@pytest.mark.parametrize(
    "table", [Table.JOBS, Table.TASKS, Table.WORKERS, Table.PARTITIONS]
)
def test_rows_have_the_columns_of_their_table(world, table):
    world.submit_stored("owner-0", JOB, tasks=10)
    world.append("owner-0")
    world.owners["owner-0"].dispatch(world.now)
    rows = rows_of(world, table)
    assert rows
    for row in rows:
        assert set(row) == {column.name for column in COLUMNS[table]}
        for column in COLUMNS[table]:
            cell = row[column.name]
            assert cell is None or isinstance(cell, PYTHON_TYPES[column.kind])


def test_a_running_and_a_completed_job_are_explained(world):
    world.submit_stored("owner-0", JOB, tasks=2)
    world.append("owner-0")
    world.step()
    assert why(world) == ("queued", "assigned, none has begun: 2 at runner-0")
    world.step()
    assert why(world) == ("running", "runs: 2 at runner-0")
    world.owners["owner-0"].dispatch(world.now)
    for _ in range(20):
        world.step()
    assert why(world) == ("completed", "done")


def test_tasks_without_room_are_explained(world):
    world.submit_stored("owner-0", JOB, tasks=10)
    world.append("owner-0")
    world.owners["owner-0"].dispatch(world.now)
    state, text = why(world)
    assert state == "queued"
    assert text.startswith("6 tasks wait: no worker has room; assigned, none has ")
    world.step()
    world.step()
    state, text = why(world)
    assert state == "running"
    assert text.startswith("6 tasks wait: no worker has room; runs: ")


def test_a_job_that_waits_for_the_end_of_a_trial_is_explained(world):
    world.submit_stored("owner-0", JOB, tasks=10)
    world.append("owner-0")
    for view in world.owners["owner-0"].views.values():
        view.listed = {("a", 1), ("b", 1)}
    state, text = why(world)
    assert state == "queued"
    assert "are new or were slow, and are tried with few" in text


def test_a_job_whose_workers_are_drained_waits_and_is_explained(world):
    owner = world.owners["owner-0"]
    owner.drains = Drains(frozenset({(DrainKind.DATA_CENTRE, "dc")}))
    world.submit_stored("owner-0", JOB)
    world.append("owner-0")
    world.step()
    assert why(world) == ("queued", "2 tasks wait: every worker is drained")
    owner.drains = Drains()
    for _ in range(20):
        world.step()
    assert why(world) == ("completed", "done")


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (DrainKind.WORKER, "runner-0"),
        (DrainKind.RACK, "r1"),
        (DrainKind.RACK, "dc/r1"),
        (DrainKind.DATA_CENTRE, "dc"),
    ],
)
def test_a_drain_covers_its_workers_and_no_others(world, kind, name):
    view = world.owners["owner-0"].views["runner-0"]
    assert Drains(frozenset({(kind, name)})).cover(view)
    assert not Drains(frozenset({(kind, name + "x")})).cover(view)
    assert not Drains().cover(view)


def test_a_refused_and_a_canceled_transient_job_are_explained(world):
    owner = world.owners["owner-0"]
    for name in world.workers:
        world.cut("owner-0", name)
    for _ in range(40):
        world.step()
    world.submit("owner-0", JOB)
    for _ in range(40):
        world.step()
    state, text = why(world)
    assert state == "refused"
    assert text in ("not run: no-runner", "not run: too-late")
    owner.cancel_transient("b" * 16)
    (row,) = inspection.why_rows(owner, "d", "b" * 16, world.now)
    assert row["state"] == "canceled"


def test_an_unknown_job_has_no_rows(world):
    assert inspection.why_rows(world.owners["owner-0"], "d", JOB, world.now) == []
