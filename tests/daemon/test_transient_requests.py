"""Where a caller's transient job is run, and what the caller is told."""

import pytest

from banyanwheel_daemon.transient_requests import UNROUTED_TIMEOUT_S
from banyanwheel_jobs.cells.placers import Placers
from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations
from banyanwheel_jobs.messages import (
    Claims,
    ForwardedReply,
    JobsAbandoned,
    JobsUnknown,
    RunJob,
    ServiceOffer,
    WorkerStatus,
)
from banyanwheel_jobs.model import Queue, Resources, Step
from banyanwheel_jobs.outcomes import EVACUATED, Outcome
from banyanwheel_jobs.placing.runner_view import RunnerView
from tests.daemon.gateways import NOW, build_gateway
from tests.jobs.world import lone_owner

QUEUE = Queue("counter", "desk", 0, 3, 1.6, 2_000)
STEPS = (Step(2, Resources(1_000), 120),)
OFFER = ServiceOffer("desk", 8_000, 16_000, ())
FULL = ServiceOffer("desk", 0, 16_000, ())
JOB = "a" * 16


class Site:
    """A dispatcher, what it sent to placers, and what its callers were told."""

    def __init__(self, offers=None):
        self.now = NOW
        self.connected = True
        self.has_memory = True
        self.offers = offers
        self.sent = []
        self.replies = []
        self.placers = Placers()
        self.placers.set_near({"one", "two"})
        self.to_runners = []
        self.owner = lone_owner(4, lambda *sent: self.to_runners.append(sent))
        self.gateway = build_gateway(
            self.owner,
            4,
            placers=self.placers,
            own_offers=lambda: self.offers,
            send_to_placer=lambda *sent: self.sent.append(sent),
            clock=lambda: self.now,
            admits=lambda submission: self.has_memory,
        )
        self.transient = self.gateway._transient

    def hear(self, *names, offer=OFFER):
        for name in names:
            claims = Claims((), {}, ("all",), (offer,), round(self.now * 1000))
            self.placers.hear(name, "incarnation", claims, self.now)

    def run(self, deadline_s=5.0):
        return self.gateway.run(
            JOB,
            QUEUE,
            "",
            STEPS,
            self.replies.append,
            deadline_s,
            lambda: self.connected,
        )

    @property
    def run_jobs(self):
        """The (placer, message) pairs of the jobs that were sent."""
        return [(one, sent) for one, _, sent in self.sent if isinstance(sent, RunJob)]

    def answer(self, outcome, state="", reason=""):
        _, message = self.run_jobs[-1]
        reply = ForwardedReply(message.number, outcome, state, 700, reason)
        self.gateway.handle_reply(reply)

    def return_evacuated(self):
        """Has the placer that got the job last return it."""
        self.answer(Outcome.NOT_STORED, reason=EVACUATED)

    @property
    def outcomes(self):
        return [reply.outcome for reply in self.replies]


@pytest.fixture
def site():
    site = Site()
    site.hear("one", "two")
    return site


def test_a_job_is_sent_to_a_placer_and_its_answer_passed_on(site):
    site.run()
    ((placer, message),) = site.run_jobs
    assert placer in ("one", "two")
    assert message.valid_until_ms < message.expires_at_ms
    assert site.gateway.open_requests == 1
    site.answer(Outcome.STATE, "completed")
    assert [reply.state for reply in site.replies] == ["completed"]
    assert site.gateway.open_requests == 0


def test_each_job_counts_once_as_demand_and_where_it_was_sent(site):
    """A job that is refused and sent again is no more work for its cell."""
    site.run()
    demand = site.placers.demand.rate("desk", site.now)
    assert demand[0] > 0
    site.answer(Outcome.NOT_STORED)
    assert site.placers.demand.rate("desk", site.now) == demand
    sent = [site.placers.get(name).sent_cpu_ms["desk"] for name in ("one", "two")]
    assert sent == [2 * 1_000 * 120] * 2


def test_a_dispatcher_that_places_tasks_keeps_its_jobs():
    site = Site(offers=(OFFER,))
    site.hear("one")
    site.run()
    assert site.run_jobs == []
    assert JOB in site.owner.transient.jobs


def test_a_job_that_one_placer_refuses_goes_to_another(site):
    site.run()
    site.answer(Outcome.NOT_STORED)
    assert site.replies == []
    (first, _), (second, _) = site.run_jobs
    assert {first, second} == {"one", "two"}
    site.answer(Outcome.STATE, "completed")
    assert [reply.state for reply in site.replies] == ["completed"]


def test_a_job_that_all_placers_refuse_is_refused_with_their_time(site):
    site.run()
    site.answer(Outcome.NOT_STORED)
    site.answer(Outcome.NOT_STORED)
    assert site.outcomes == [Outcome.NOT_STORED]
    assert site.replies[0].retry_ms == 700


def test_a_job_that_can_no_longer_end_in_time_is_not_tried_again(site):
    site.run(deadline_s=1.0)
    site.now += 0.95
    site.hear("one", "two")
    site.answer(Outcome.NOT_STORED)
    assert site.outcomes == [Outcome.NOT_STORED]


def test_a_job_that_its_placer_did_not_receive_goes_to_another(site):
    site.run()
    ((placer, message),) = site.run_jobs
    unknown = JobsUnknown(message.valid_until_ms, (message.number,))
    site.transient.handle_unknown(placer, unknown)
    assert len(site.run_jobs) == 1  # it may still arrive in time
    unknown = JobsUnknown(message.valid_until_ms + 1, (message.number,))
    site.transient.handle_unknown(placer, unknown)
    assert [name for name, _ in site.run_jobs].count(placer) == 1
    assert len(site.run_jobs) == 2


def test_a_repeated_job_stays_here_though_only_another_placer_has_runners():
    site = Site(offers=(OFFER,))
    site.hear("one")
    site.run()
    site.offers = ()
    site.run()
    assert site.run_jobs == []
    assert len(site.owner.transient.jobs[JOB].on_final) == 2


def test_a_repeated_job_waits_here_for_the_end_of_its_earlier_runs():
    site = Site(offers=(OFFER,))
    site.hear("one")
    leave = site.run()
    job = site.owner.transient.jobs[JOB]
    job.place(job.tasks[0][0], "runner-1", 0)
    leave()
    assert JOB in site.owner.transient.closing
    site.offers = ()
    site.run()
    assert site.run_jobs == []
    assert len(site.owner.transient.closing[JOB].resubmissions) == 1


def test_a_repeated_job_goes_to_its_placer_though_only_another_one_has_room(site):
    site.run()
    ((placer, _),) = site.run_jobs
    site.hear(placer, offer=FULL)
    site.run()
    assert [name for name, _ in site.run_jobs] == [placer, placer]


def test_a_lost_copy_of_a_job_goes_to_the_placer_that_has_the_other(site):
    site.run()
    site.run()
    (placer, lost), (_, received) = site.run_jobs
    unknown = JobsUnknown(lost.valid_until_ms + 1, (lost.number,))
    site.transient.handle_unknown(placer, unknown)
    assert [name for name, _ in site.run_jobs] == [placer] * 3
    assert received.number != lost.number


def test_both_copies_of_a_refused_job_go_to_the_same_other_placer(site):
    site.run()
    site.run()
    (placer, first), (_, second) = site.run_jobs
    for message in (first, second):
        refusal = ForwardedReply(message.number, Outcome.NOT_STORED, "", 700)
        site.gateway.handle_reply(refusal)
    other = {"one": "two", "two": "one"}[placer]
    assert [name for name, _ in site.run_jobs] == [placer, placer, other, other]


def test_a_stopping_dispatcher_gives_its_jobs_to_others():
    site = Site(offers=(OFFER,))
    site.hear("one")
    site.gateway.start_shutdown(NOW + 5.0)
    site.run()
    assert [name for name, _ in site.run_jobs] == ["one"]


def test_the_only_dispatcher_runs_its_jobs_itself_while_it_stops():
    site = Site(offers=(OFFER,))
    site.gateway.start_shutdown(NOW + 5.0)
    site.run()
    assert JOB in site.owner.transient.jobs


def test_a_job_waits_for_a_placer():
    site = Site()
    site.run()
    site.transient.tick()
    assert (site.run_jobs, site.replies) == ([], [])
    site.hear("one")
    site.transient.tick()
    assert [name for name, _ in site.run_jobs] == ["one"]


def test_a_job_without_a_placer_is_refused():
    site = Site()
    site.run()
    site.now += UNROUTED_TIMEOUT_S + 0.1
    site.transient.tick()
    assert site.outcomes == [Outcome.NOT_STORED]
    assert site.gateway.open_requests == 0


def test_the_placer_of_a_caller_that_has_left_is_told(site):
    leave = site.run()
    leave()
    assert [type(sent) for *_, sent in site.sent] == [RunJob, JobsAbandoned]
    assert (site.gateway.open_requests, site.replies) == (0, [])


def test_a_caller_of_a_silent_placer_is_told_that_the_outcome_is_unknown(site):
    site.run()
    site.now += 1.0
    site.transient.confirm()
    assert site.outcomes == [Outcome.IN_DOUBT]


def test_open_jobs_are_answered_before_the_process_ends(site):
    site.run()
    site.gateway.fail_open_requests()
    assert site.outcomes == [Outcome.IN_DOUBT]
    assert site.gateway.open_requests == 0


def test_nothing_is_run_for_a_caller_that_has_left(site):
    """A dispatcher that had stood still found its request, and ran the job.

    The caller had come back elsewhere meanwhile: two runs at once. Seen by the users
    on their own machines (magridge-ops, csbx-ops-grown, rule TWICE).
    """
    site.connected = False
    site.run()
    assert site.run_jobs == []
    assert site.gateway.open_requests == 0


def test_after_a_pause_jobs_of_callers_that_have_left_are_abandoned_first(site):
    site.run()
    site.connected = False
    site.now += 1.4
    site.transient.check_pause()
    _, _, message = site.sent[-1]
    assert message == JobsAbandoned((site.run_jobs[0][1].number,))
    assert site.gateway.open_requests == 0


def test_after_a_pause_no_waiting_task_of_such_a_job_is_placed():
    site = Site(offers=(FULL,))
    site.run()
    assert site.owner.transient.jobs
    site.connected = False
    site.now += 1.4
    site.transient.check_pause()
    assert not site.owner.transient.jobs


def test_after_a_pause_no_such_job_is_sent_to_a_placer():
    site = Site()
    site.run()
    site.connected = False
    site.now += 1.4
    site.hear("one")
    site.transient.check_pause()
    site.transient.tick()
    assert site.run_jobs == []


def test_after_a_pause_callers_that_are_still_there_are_served(site):
    site.run()
    site.now += 1.4
    site.transient.check_pause()
    assert site.gateway.open_requests == 1
    site.answer(Outcome.STATE, "completed")
    assert [reply.state for reply in site.replies] == ["completed"]


def test_a_job_of_an_evacuated_cell_waits_for_room_in_another(site):
    """Guards against a refusal though another cell has suitable workers."""
    site.run()
    site.now += 0.3
    site.hear("one", "two", offer=FULL)
    site.return_evacuated()
    assert {name for name, _ in site.run_jobs} == {"one", "two"}
    site.answer(Outcome.STATE, "completed")
    assert [reply.state for reply in site.replies] == ["completed"]


def test_a_job_of_an_evacuated_cell_comes_back_to_its_own_full_one():
    site = Site(offers=(FULL,))
    site.hear("far")
    site.run()
    assert [name for name, _ in site.run_jobs] == ["far"]
    site.now += UNROUTED_TIMEOUT_S
    site.return_evacuated()
    assert JOB in site.owner.transient.jobs
    assert site.replies == []


def test_a_job_passes_every_placer_of_an_evacuated_cell(site):
    """Guards against a refusal after the first few have returned it."""
    names = [f"near-{number}" for number in range(5)]
    site.placers.set_near({"one", "two", *names})
    site.hear(*names)
    site.hear("far", offer=FULL)
    site.run()
    for _ in range(len(names) + 2):
        site.return_evacuated()
    assert site.run_jobs[-1][0] == "far"
    assert len({name for name, _ in site.run_jobs}) == len(names) + 3
    site.answer(Outcome.STATE, "completed")
    assert [reply.state for reply in site.replies] == ["completed"]


def test_a_job_is_refused_if_no_other_cell_has_suitable_workers(site):
    site.now += UNROUTED_TIMEOUT_S
    site.hear("one", "two")
    site.run()
    site.hear("one", "two", offer=ServiceOffer("other", 8_000, 16_000, ()))
    site.return_evacuated()
    assert site.outcomes == [Outcome.NOT_STORED]
    assert site.gateway.open_requests == 0


def test_a_job_that_can_no_longer_end_in_time_leaves_no_evacuated_cell(site):
    site.run(deadline_s=1.0)
    site.now += 0.95
    site.hear("one", "two")
    site.return_evacuated()
    assert site.outcomes == [Outcome.NOT_STORED]


def evacuated_site():
    """Returns a site whose own workers are all evacuated."""
    site = Site(offers=())
    view = site.owner.views["runner"] = RunnerView("runner", "dc")
    capacity = Resources(8_000, 8_000, 0)
    view.worker = WorkerStatus("w@1", "desk", False, capacity, capacity, (), 1.0)
    site.owner.evacuations = Evacuations()
    site.owner.evacuations.replace([EvacuationRecord("e/dc", 1, "dc", True)])
    site.owner.apply_evacuations(site.now)
    return site


def test_a_job_leaves_the_evacuated_cell_of_its_own_dispatcher():
    site = evacuated_site()
    site.run()
    assert JOB not in site.owner.transient.jobs
    assert site.replies == []
    site.hear("far", offer=FULL)
    site.transient.tick()
    assert [name for name, _ in site.run_jobs] == ["far"]


def test_a_job_waits_for_the_claims_of_other_cells_after_a_start_only():
    """Guards against refusals right after all processes were started again."""
    site = evacuated_site()
    site.run()
    site.transient.tick()
    assert site.replies == []
    site.now += UNROUTED_TIMEOUT_S + 0.1
    site.transient.tick()
    assert site.outcomes == [Outcome.NOT_STORED]
    site.run()
    assert site.outcomes == [Outcome.NOT_STORED] * 2
    assert site.gateway.open_requests == 0


def test_a_job_without_memory_for_it_is_refused_with_a_time(site):
    """Its caller comes again: nothing of it has run or will."""
    site.has_memory = False
    site.run()
    ((outcome, retry_ms),) = [(reply.outcome, reply.retry_ms) for reply in site.replies]
    assert outcome is Outcome.NOT_STORED
    assert retry_ms > 0
    assert site.run_jobs == []
    assert site.gateway.held_bytes == 0


@pytest.mark.parametrize("offers", [None, (OFFER,)])
def test_a_repeated_job_is_not_refused_for_want_of_memory(offers):
    """Its earlier submission may have run: a refusal would be untrue."""
    site = Site(offers=offers)
    site.hear("one")
    site.run()
    site.has_memory = False
    site.run()
    assert site.replies == []


def test_answered_and_abandoned_jobs_hold_no_memory(site):
    leave = site.run()
    assert site.gateway.held_bytes > 0
    leave()
    leave()
    assert site.gateway.held_bytes == 0
    site.run()
    site.answer(Outcome.STATE, "completed")
    assert site.gateway.held_bytes == 0
