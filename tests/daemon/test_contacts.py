"""Which runners and dispatchers a dispatcher contacts."""

from dataclasses import dataclass, field

import pytest

from banyanwheel_daemon.addresses import Address
from banyanwheel_daemon.clocks import boot_time
from banyanwheel_daemon.contacts import CONTACTS_PER_REMOTE_CLAIMS, Contacts
from banyanwheel_daemon.members import Member, Members
from banyanwheel_daemon.role import DISPATCHER, RUNNER
from banyanwheel_daemon.settings import Process
from banyanwheel_jobs.cells.placers import Placers
from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations
from banyanwheel_jobs.messages import (
    Claims,
    Heartbeat,
    ServiceOffer,
    StopTasks,
    WorkerStatus,
)
from banyanwheel_jobs.model import (
    TRANSIENT_PARTITION,
    Queue,
    Resources,
    Step,
    Submission,
)
from tests.jobs.world import EventRecorder, lone_owner

OWN = "10.0.0.1:7000"
NEAR = "10.0.0.2:7000"
FAR = "10.0.1.1:7000"
RUNNERS_PER_DATA_CENTRE = 20


class Ownership:
    claims = ()

    def renew_soon(self):
        pass


@dataclass
class Hosted:
    addresses: set = field(default_factory=set)


class Site:
    """The contacts of one dispatcher in a deployment with a cell in each of two."""

    def __init__(self):
        self.sent = []
        self.stopping = False
        self.hosted = Hosted()
        self.members = Members(None, EventRecorder())
        self.owner = lone_owner(store=lambda partition: None)
        self.placers = Placers()
        known = self.members.known
        known |= {OWN: Member(DISPATCHER, "dc-0"), NEAR: Member(DISPATCHER, "dc-0")}
        known[FAR] = Member(DISPATCHER, "dc-1")
        for number in range(2 * RUNNERS_PER_DATA_CENTRE):
            known[f"10.1.{number}.1:7000"] = Member(RUNNER, f"dc-{number % 2}")
        self.contacts = Contacts(
            Process(name="one", data_centre="dc-0", address=Address(OWN)),
            self.owner,
            self.members,
            self.placers,
            self.hosted,
            Ownership(),
            EventRecorder(),
            peers=lambda: self,
            stopping=lambda: self.stopping,
        )
        self.contacts.update_cells()

    def send(self, address, message, incarnation=""):
        self.sent.append((address, message, incarnation))

    def reopen(self, address):
        pass

    def contact(self, times=1):
        """Returns the addresses that got claims and those that got heartbeats."""
        self.sent.clear()
        for _ in range(times):
            self.contacts.contact()
        return self.recipients(Claims), self.recipients(Heartbeat)

    def recipients(self, kind):
        return {address for address, message, _ in self.sent if type(message) is kind}


@pytest.fixture
def site():
    return Site()


def test_only_the_runners_of_the_cell_are_contacted(site):
    _, runners = site.contact()
    assert len(runners) == RUNNERS_PER_DATA_CENTRE
    assert runners == set(site.owner.views)
    assert {view.data_centre for view in site.owner.views.values()} == {"dc-0"}


def test_heartbeats_reach_a_runner_that_has_restarted(site):
    view = next(iter(site.owner.views.values()))
    view.incarnation = "former"
    site.contact()
    assert {incarnation for _, _, incarnation in site.sent} == {""}


# Guards against two runs of a task at once: a stop was lost with its connection, and
# the heartbeat over the next one extended the time of a run whose caller had left.
def test_stops_that_are_not_over_go_before_each_heartbeat(site, monkeypatch):
    site.contact()
    view = next(iter(site.owner.views.values()))
    view.incarnation = "present"
    stop = StopTasks(TRANSIENT_PARTITION, 0, ())
    monkeypatch.setattr(site.owner, "pending_stops", lambda: [(view.name, stop)])
    site.contact()
    sent = [entry[1:] for entry in site.sent if entry[0] == view.name]
    assert sent[0] == (stop, "present")
    assert type(sent[1][0]) is Heartbeat


def test_all_runners_are_contacted_while_a_job_needs_one(site, monkeypatch):
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: True)
    assert len(site.contact()[1]) == 2 * RUNNERS_PER_DATA_CENTRE
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: False)
    assert len(site.contact()[1]) == RUNNERS_PER_DATA_CENTRE


def test_a_runner_with_runs_is_contacted_for_as_long_as_it_has_them(site, monkeypatch):
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: True)
    site.contact()
    other = next(
        name for name, view in site.owner.views.items() if view.data_centre == "dc-1"
    )
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: False)
    monkeypatch.setattr(site.owner, "runners_in_use", lambda: {other})
    assert other in site.contact()[1]
    monkeypatch.setattr(site.owner, "runners_in_use", set)
    assert other not in site.contact()[1]


def test_runners_are_kept_while_a_job_waits_for_room(site, monkeypatch):
    """A dispatcher that steps down still places the jobs that it has."""
    site.contact()
    site.contacts._election.set_cells(())
    monkeypatch.setattr(type(site.owner), "has_waiting_jobs", True)
    assert len(site.contact()[1]) == RUNNERS_PER_DATA_CENTRE
    monkeypatch.setattr(type(site.owner), "has_waiting_jobs", False)
    assert site.contact()[1] == set()


def test_distant_dispatchers_get_claims_more_rarely(site):
    claimed = [FAR in site.contact()[0] for _ in range(2 * CONTACTS_PER_REMOTE_CLAIMS)]
    assert claimed.count(True) == 2
    assert all(NEAR in site.contact()[0] for _ in range(CONTACTS_PER_REMOTE_CLAIMS))


def test_a_distant_dispatcher_whose_jobs_run_here_gets_all_claims(site):
    site.hosted.addresses = {FAR}
    assert all(FAR in site.contact()[0] for _ in range(CONTACTS_PER_REMOTE_CLAIMS))


def test_claims_tell_what_waits_for_room_and_what_callers_submit(site, monkeypatch):
    site.contact()
    view = next(iter(site.owner.views.values()))
    view.worker = WorkerStatus(
        "w@1", "desk", True, Resources(1_000), Resources(), (), 1
    )
    view.reconciled, view.heard_at = True, boot_time()
    monkeypatch.setattr(type(site.owner), "waiting_cpu_ms", {"desk": 7_000})
    submission = submit(site, transient=True)
    site.placers.demand.record(submission, boot_time())
    site.contacts._offers_at = float("-inf")
    site.contact(CONTACTS_PER_REMOTE_CLAIMS)
    claims = [message for _, message, _ in site.sent if type(message) is Claims]
    (offer,) = claims[-1].offers
    assert offer.waiting_cpu_ms == 7_000
    assert offer.demand_cpu > 0


def test_a_dispatcher_that_stops_claims_no_cell(site):
    site.contact()
    assert {
        message.cells for _, message, _ in site.sent if type(message) is Claims
    } == {("dc-0/0",)}
    site.stopping = True
    site.contact(CONTACTS_PER_REMOTE_CLAIMS)
    claims = [message for _, message, _ in site.sent if type(message) is Claims]
    assert claims and not any(message.cells for message in claims)


def test_each_runner_is_at_home_with_one_placer_of_its_cell(site):
    site.contact()
    assert all(view.home for view in site.owner.views.values())
    election = site.contacts._election
    homes = election.homes({"dc-0/0": {NEAR}})
    assert len(homes) == RUNNERS_PER_DATA_CENTRE / 2


def offer_elsewhere(site, free_cpu):
    """Has the dispatcher of the other data centre claim a cell with free CPU."""
    offers = (ServiceOffer("desk", free_cpu, 100_000, ("a",)),)
    claims = Claims((), {}, ("dc-1/0",), offers, 1)
    site.placers.hear(FAR, "far", claims, boot_time())


def submit(site, transient=False):
    """Returns a job handed in, which waits: no worker with its label is known yet."""
    queue = Queue("q", "desk", 0, 3, 1.6, 60_000)
    steps = (Step(1, Resources(1_000), 100, label="a"),)
    submission = Submission("a" * 16, queue, "", steps, 0, transient=transient)
    received_at = boot_time() - 2.0
    if transient:
        call = submission, lambda reply: None, received_at, received_at + 60
        site.owner.run_transient(*call)
        return submission
    partition = site.owner.open(0, 1, [], received_at, 0)
    site.owner.submit(submission, lambda reply: None, received_at)
    while partition.journal.next_batch():
        partition.journal.mark_stored()
    return submission


@pytest.mark.parametrize(
    ("free_cpu", "transient", "contacted"),
    [
        (50_000, False, 2 * RUNNERS_PER_DATA_CENTRE),
        (1_000, False, RUNNERS_PER_DATA_CENTRE),
        (50_000, True, RUNNERS_PER_DATA_CENTRE),
    ],
)
def test_a_stored_job_does_not_wait_for_its_cell_beside_room_in_others(
    site, monkeypatch, free_cpu, transient, contacted
):
    """Relative of review/9: a full cell kept it from idle workers of other cells.

    Transient jobs are forwarded there instead.
    """
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: False)
    submit(site, transient)
    offer_elsewhere(site, free_cpu)
    assert len(site.contact()[1]) == contacted


def test_a_runner_that_becomes_known_later_is_evacuated_too(site, monkeypatch):
    """Guards against starts at runners of other cells that are searched for room."""
    site.owner.evacuations = Evacuations()
    site.owner.evacuations.replace([EvacuationRecord("e/dc-1", 1, "dc-1", True)])
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: True)
    site.contact()
    assert {(v.data_centre, v.evacuated) for v in site.owner.views.values()} == {
        ("dc-0", False),
        ("dc-1", True),
    }


def test_runners_of_other_cells_are_not_offered(site, monkeypatch):
    """Guards against jobs that are sent to an evacuated cell for their room."""
    monkeypatch.setattr(site.owner, "needs_all_runners", lambda now: True)
    site.contact()
    borrowed = {v.data_centre for v in site.owner.views.values() if v.borrowed}
    assert borrowed == {"dc-1"}
    worker = WorkerStatus("w@1", "desk", True, *[Resources(1_000)] * 2, (), 1.0)
    for view in site.owner.views.values():
        view.worker, view.reconciled, view.heard_at = worker, True, boot_time()
    site.contacts._offers_at = float("-inf")
    (offer,) = site.contacts.offers()
    assert offer.capacity_cpu == RUNNERS_PER_DATA_CENTRE * 1_000


def test_offers_are_looked_at_without_being_renewed(site):
    """An operator's question would shift when a dispatcher sums up its offers."""
    site.contact()
    assert site.contacts.offers() == ()
    view = next(iter(site.owner.views.values()))
    view.worker = WorkerStatus("w@1", "desk", True, *[Resources(1_000)] * 2, (), 1.0)
    view.reconciled, view.heard_at = True, boot_time()
    site.contacts._offers_at = float("-inf")
    seen = site.contacts.peek_offers()
    assert (len(seen), site.contacts._offers) == (1, ())
    assert site.contacts._offers_at == float("-inf")
    assert site.contacts.offers() == seen
