"""An owner whose runners lie in data centres that are evacuated."""

import pytest

from banyanwheel_core.drains import DrainKind
from banyanwheel_jobs.cells.placers import offers_of
from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations
from banyanwheel_jobs.messages import StartTasks, StopTasks
from banyanwheel_jobs.outcomes import EVACUATED, Outcome
from banyanwheel_jobs.owners import inspection
from banyanwheel_jobs.owners.drains import Drains
from banyanwheel_jobs.placing.room import Room

from ..world import World

JOB = "a" * 16
OTHER_JOB = "b" * 16
HERE, THERE = "runner-0", "runner-1"  # each in a data centre of its name


class Site:
    """An owner with a runner in each of two data centres."""

    def __init__(self):
        self.world = World(owners=1, runners=2)
        self.owner = self.world.owners["owner-0"]
        for view in self.owner.views.values():
            view.data_centre = view.name
        self.run(1.0)

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.world.step()

    def evacuate(self, *names):
        """Has the owner learn that just these are evacuated; not so the runners."""
        if not self.owner.evacuations.known or not self.owner.evacuations.names:
            self.owner.evacuations = Evacuations()
        records = [EvacuationRecord(name, 1, name, True) for name in names]
        self.owner.evacuations.replace(records)
        self.owner.apply_evacuations(self.world.now)

    def submit(self, job_id=JOB, **options):
        self.world.submit("owner-0", job_id, **options)
        return self.world.replies[job_id]

    def started(self, name):
        worker = self.world.workers[name]
        return [*worker.last_ended_run, *worker.running]

    @property
    def reasons(self):
        return [reply.reason for reply in self.world.replies[JOB]]

    def why(self):
        (row,) = inspection.why_rows(self.owner, "d", JOB, self.world.now)
        return row["why"]


@pytest.fixture
def site():
    return Site()


def test_no_task_is_placed_in_an_evacuated_data_centre(site):
    site.evacuate(HERE)
    replies = site.submit(tasks=9)
    site.run(3.0)
    assert [reply.state for reply in replies] == ["completed"]
    assert site.started(HERE) == []


def test_nothing_is_placed_before_the_evacuations_are_known(site):
    site.owner.evacuations = Evacuations()
    site.owner.apply_evacuations(site.world.now)
    replies = site.submit()
    site.run(0.3)
    assert (replies, site.started(HERE), site.started(THERE)) == ([], [], [])
    assert not site.owner.needs_all_runners(site.world.now)
    site.evacuate(HERE)
    site.run(1.0)
    assert [reply.state for reply in replies] == ["completed"]
    assert site.started(HERE) == []


def test_evacuated_runners_are_neither_offered_nor_counted_as_supply(site):
    now, views = site.world.now, site.owner.views.values()
    (whole,) = offers_of(views, now)
    site.evacuate(HERE)
    (half,) = offers_of(views, now)
    assert 2 * half.capacity_cpu == whole.capacity_cpu
    site.evacuate(HERE, THERE)
    assert offers_of(views, now) == ()
    assert Room(site.owner._usable_views(now), now).supply == frozenset()


def test_jobs_that_wait_return_at_once_when_their_cell_is_evacuated(site):
    """Guards against callers that wait for a cell which serves nothing."""
    site.submit(OTHER_JOB, tasks=8)  # fills both workers
    replies = site.submit(JOB)
    assert replies == []
    site.evacuate(HERE, THERE)
    assert [reply.outcome for reply in replies] == [Outcome.NOT_STORED]
    assert site.reasons == [EVACUATED]
    assert site.why() == "not run: evacuated"


def test_a_job_that_arrives_at_an_evacuated_cell_returns_at_once(site):
    site.evacuate(HERE, THERE)
    site.submit()
    assert site.reasons == [EVACUATED]


def test_a_job_whose_assignment_an_evacuated_runner_refused_returns(site):
    """None of its tasks has begun, as the refusal shows."""
    for name in (HERE, THERE):
        site.world.runners[name].set_evacuated(True, site.world.now)
    site.submit()
    assert site.owner.transient.jobs[JOB].may_have_begun
    site.evacuate(HERE, THERE)
    assert site.reasons == []
    site.run(0.1)
    assert site.reasons == [EVACUATED]


def test_an_owner_that_has_not_heard_learns_it_from_the_runners(site):
    """Its log may be cut off; guards against jobs that wait or are refused there."""
    site.submit(OTHER_JOB, tasks=8)
    replies = site.submit(JOB)
    for name in (HERE, THERE):
        site.world.runners[name].set_evacuated(True, site.world.now)
    site.run(0.5)
    assert [reply.reason for reply in replies] == [EVACUATED]
    rows = inspection.worker_rows(site.owner, site.world.now)
    assert [row["evacuated"] for row in rows] == [True, True]
    assert site.submit("c" * 16)[0].reason == EVACUATED


def test_a_job_waits_where_a_worker_of_its_cell_is_only_silent(site):
    """Guards against refusals for a blip of the one worker that is left."""
    site.evacuate(HERE)
    site.world.cut("owner-0", THERE)
    site.run(0.8)
    replies = site.submit()
    site.run(0.1)
    assert replies == []
    site.world.cut("owner-0", THERE, cut=False)
    site.run(1.0)
    assert [reply.state for reply in replies] == ["completed"]


def test_a_job_waits_for_the_first_report_of_a_runner_elsewhere(site):
    """Guards against refusals right after a restart."""
    site.evacuate(HERE)
    worker, site.owner.views[THERE].worker = site.owner.views[THERE].worker, None
    site.submit()
    assert site.reasons == []
    site.owner.views[THERE].worker = worker
    site.run(1.0)
    assert [reply.state for reply in site.world.replies[JOB]] == ["completed"]


def test_runs_of_an_evacuated_data_centre_end_by_themselves(site):
    site.world.run_s = 1.0
    replies = site.submit(tasks=4)
    site.run(0.2)
    assert site.started(HERE)
    site.evacuate(HERE, THERE)
    site.run(1.5)
    assert [reply.state for reply in replies] == ["completed"]
    assert {len(times) for times in site.world.starts.values()} == {1}


def test_a_job_that_has_begun_asks_for_the_runners_of_other_cells(site):
    site.world.run_s = 0.5
    replies = site.submit(tasks=10, deadline_s=20.0)
    site.run(0.3)
    site.evacuate(HERE, THERE)
    site.run(0.5)
    assert replies == []
    assert site.owner.needs_all_runners(site.world.now)
    # The runners of other cells are borrowed, and don't end the need for them.
    view = site.owner.views[THERE]
    view.borrowed, view.data_centre = True, "elsewhere"
    site.owner.apply_evacuations(site.world.now)
    assert view.usable(site.world.now)
    assert site.owner.needs_all_runners(site.world.now)
    site.run(2.0)
    assert [reply.state for reply in replies] == ["completed"]


def test_an_assignment_that_no_report_shows_is_not_sent_again(site):
    """The runner may not have heard of the evacuation, and would start it."""
    site.world.cut(THERE, "owner-0")
    site.world.cut("owner-0", HERE)
    site.submit(tasks=4)
    links = site.world.links["owner-0", HERE]
    assert any(type(message) is StartTasks for *_, message in links.messages)
    links.messages.clear()
    site.evacuate(HERE)
    site.owner.views[HERE].heard_at = site.world.now + 0.31
    site.world.now += 0.32
    site.owner.tick(site.world.now)
    kinds = {type(message) for *_, message in links.messages}
    assert StartTasks not in kinds
    assert StopTasks in kinds


def test_tasks_are_placed_again_once_the_evacuation_is_lifted(site):
    site.evacuate(HERE, THERE)
    site.evacuate(THERE)
    replies = site.submit(tasks=4)
    site.run(1.0)
    assert [reply.state for reply in replies] == ["completed"]
    assert site.started(HERE)


@pytest.mark.parametrize(
    ("evacuated", "drained", "why"),
    [
        ([HERE, THERE], [], "every worker is evacuated"),
        ([], [HERE, THERE], "every worker is drained"),
        ([HERE], [THERE], "every worker is drained or evacuated"),
        ([HERE, THERE], [HERE], "every worker is drained or evacuated"),
    ],
)
def test_why_tells_evacuated_from_drained(site, evacuated, drained, why):
    site.world.log.assign("owner-0")
    site.run(0.3)
    site.world.submit_stored("owner-0", JOB)
    site.evacuate(*evacuated)
    names = frozenset((DrainKind.DATA_CENTRE, name) for name in drained)
    site.owner.drains = Drains(names)
    site.run(0.1)
    assert site.why() == f"2 tasks wait: {why}"
    rows = inspection.worker_rows(site.owner, site.world.now)
    for column, wanted in (("evacuated", evacuated), ("drained", drained)):
        assert [row["runner"] for row in rows if row[column]] == wanted
    site.run(1.0)
    assert site.started(HERE) == site.started(THERE) == []


@pytest.mark.parametrize("closed", ["evacuated", "drained"])
def test_a_worker_gets_tasks_only_if_neither_covers_it(site, closed):
    site.evacuate(HERE)
    site.owner.drains = Drains(frozenset({(DrainKind.DATA_CENTRE, HERE)}))
    if closed == "evacuated":
        site.owner.drains = Drains()
    else:
        site.evacuate()
    site.submit(tasks=4)
    site.run(1.0)
    assert site.started(HERE) == []
