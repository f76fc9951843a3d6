"""Which dispatcher a job would go to, and that asking leaves no trace."""

import pytest

from banyanwheel_core.documents import JobDocument
from banyanwheel_daemon.where import Where
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.routing import RoutingTable
from tests.daemon.test_transient_requests import FULL, JOB, OFFER, QUEUE, Site

TRANSIENT = (
    b'{"queue": "counter", "transient": true, "steps": [{"count": 2, "cpu": 1000,'
    b' "estimate_ms": 120}]}'
)


def site_with(offers=None, *names, offer=OFFER):
    site = Site(offers)
    site.gateway.routing = RoutingTable.build(1, [("h", "/p/", QUEUE)], 1_000)
    site.hear(*names, offer=offer)
    return site


def ask(site, body=TRANSIENT):
    where = Where(
        "front",
        site.owner,
        site.gateway,
        site.transient,
        lambda partition: False,
        lambda: site.now,
    )
    return where.explain(JOB, JobDocument.from_json(body), 5.0, 4)


@pytest.mark.parametrize(
    ("offers", "names", "offer", "why"),
    [
        (None, ("one", "two"), OFFER, "room in this data centre"),
        ((FULL,), ("far",), OFFER, "much room there, too little here"),
        ((), ("one",), FULL, "suitable workers there, none here"),
    ],
)
def test_a_job_is_sent_where_it_was_said_to_go(offers, names, offer, why):
    site = site_with(offers, *names, offer=offer)
    _, (row,) = ask(site)
    assert (row["result"], row["why"]) == ("forward", why)
    assert not site.sent
    site.run()
    ((placer, _),) = site.run_jobs
    assert placer == row["placer"]


def test_asking_counts_no_demand_and_writes_no_line():
    site = site_with((FULL,), "far", "one")
    log = site.transient._event_log
    placers = site.placers._placers.values()
    ask(site)
    assert (log.events, log.counts, site.sent, len(site.transient)) == ([], {}, [], 0)
    assert site.placers.demand.rate("desk", site.now) == (0, 0)
    assert not any(placer.sent_cpu_ms for placer in placers)


def test_a_job_that_stays_gets_a_dry_run_at_its_dispatcher():
    _, (route, admission, step) = ask(site_with((OFFER,)))
    assert (route["result"], route["why"]) == ("here", "room here")
    assert admission["result"] == "hold"
    assert step["why"] == "no runner with a worker is heard"


def test_a_job_without_memory_for_it_is_refused():
    site = site_with((OFFER,))
    site.has_memory = False
    _, (row,) = ask(site)
    assert (row["result"], row["why"]) == ("refuse", "work-limit")
    assert row["retry_after_ms"] > 0


def test_without_a_known_placer_a_job_is_held():
    _, (row,) = ask(site_with(None))
    assert (row["about"], row["result"]) == ("route", "hold")


def test_a_stored_job_goes_to_the_owner_of_its_partition():
    site = site_with((OFFER,))
    stored = TRANSIENT.replace(b"true", b"false")
    _, (row,) = ask(site, stored)
    assert row["result"] == "hold"
    for number in range(4):
        site.owner.open(number, 1, [], site.now, 0)
    _, rows = ask(site, stored)
    assert [row["about"] for row in rows] == ["route", "admission", "step"]


def test_an_unknown_queue_is_answered_as_for_a_submission():
    reply, rows = ask(site_with((OFFER,)), TRANSIENT.replace(b"counter", b"none"))
    assert (reply.outcome, rows) == (Outcome.NO_QUEUE, ())
