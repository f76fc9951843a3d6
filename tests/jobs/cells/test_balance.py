"""Balance between cells that are short of room.

Failure "loses out": the callers of a data centre with more demand for the same room
waited in a queue of their own, and fewer of their jobs were served than elsewhere.

Failure "herd": all cells send their jobs to the one whose claims show the least load.
"""

import msgspec
import pytest

from banyanwheel_jobs.cells.balance import BALANCING_S, DemandMeter, work_cpu_ms
from banyanwheel_jobs.cells.placers import REMOTE_CLAIMS_TIMEOUT_S, Placers
from banyanwheel_jobs.messages import Claims, ServiceOffer
from banyanwheel_jobs.model import Queue, Resources, Step, Submission

from ..world import EventRecorder

NOW = 100.0
QUEUE = Queue("counter", "desk", 0, 3, 1.6, 60)
CPU = 100_000  # thousandths of a core in a cell
RUN_MS = 100
JOBS = 400
HERE, ELSEWHERE = ("dc-0/0",), [(f"dc-{number}/0",) for number in range(1, 4)]


def offer(wait_s=0.0, demand=1.0, free=0.0, trend=0.0, labels=("rack-1",)):
    """Returns the offer of a cell by its wait, and by shares of its capacity."""
    return ServiceOffer(
        "desk",
        round(free * CPU),
        CPU,
        labels,
        round(wait_s * 1000 * CPU),
        round(demand * CPU),
        round(trend * CPU),
    )


def former(offer):
    """Returns an offer as a process without the backlog sends it."""
    return ServiceOffer(*msgspec.structs.astuple(offer)[:4])


def job(number, rack="", run_ms=RUN_MS):
    step = Step(1, Resources(100), run_ms, rack=rack)
    return Submission(f"{number:016x}", QUEUE, "", (step,), 0, transient=True)


class Site:
    """A dispatcher of one cell that hears of three others."""

    def __init__(self, own, *others, heard_at=NOW):
        self.own = own
        self.events = EventRecorder()
        self.placers = Placers(1.5, self.events)
        self.placers.set_own_cells(HERE)
        for cells, each in zip(ELSEWHERE, others, strict=False):
            self.hear(cells[0], each, cells, heard_at)

    def hear(self, address, offer, cells, at=NOW):
        claims = Claims((), {}, cells, (offer,), round(at * 1000))
        self.placers.hear(address, "one", claims, at)

    def choose(self, job, now=NOW):
        placer = self.placers.choose(job, now, (self.own,))
        return placer and placer.address

    def routes(self, **options):
        """Returns where jobs go; None is this dispatcher."""
        return [self.choose(job(number, **options)) for number in range(JOBS)]

    def share(self, *places, **options):
        routes = self.routes(**options)
        return sum(routes.count(place) for place in places) / JOBS


def test_jobs_stay_while_all_cells_have_the_same_wait():
    assert Site(offer(0.5), *[offer(0.5)] * 3).share(None) == 1


def test_jobs_stay_while_the_own_cell_has_room():
    others = [offer(free=0.9, demand=0)] * 3
    assert Site(offer(0, demand=1.3, free=0.04), *others).share(None) == 1
    assert Site(offer(0.5, demand=1.3, free=0.11), *others).share(None) == 1


def test_jobs_move_from_a_cell_whose_workers_have_only_scraps_left():
    """Full workers of 32 cores have 4% free beside tasks of 2.8: none ever moved."""
    own = offer(0.5, demand=1.3, free=0.04)
    assert Site(own, *[offer(free=0.9, demand=0)] * 3).share(None) < 1


def test_a_gain_below_the_objectives_target_moves_nothing():
    """The way there and old claims could cost a short job more than it gains."""
    wait_s = QUEUE.target_ms / 1000
    assert Site(offer(wait_s - 0.01), *[offer(0)] * 3).share(None) == 1


def test_a_cell_moves_what_evens_out_the_waits_in_time_and_no_more():
    # It is 0.75 s above the mean wait of all cells.
    site = Site(offer(1.0), *[offer(0)] * 3)
    assert site.share(None) == pytest.approx(1 - 0.75 / BALANCING_S, abs=0.05)


def test_cells_together_send_a_cell_only_what_it_lacks():
    """Failure "herd"."""
    low = offer(0)
    sent = 3 * Site(offer(1.0), offer(1.0), offer(1.0), low).share("dc-3/0")
    assert sent == pytest.approx(0.75 / BALANCING_S, abs=0.1)


def test_moved_jobs_are_spread_over_cells_by_what_they_lack():
    site = Site(offer(3.0), offer(0), offer(1.0), offer(1.5))
    # Of the mean of 1.375 s they lack 1.375, 0.375 and nothing.
    first, second, third = (site.share(cells[0]) for cells in ELSEWHERE)
    assert first / second == pytest.approx(1.375 / 0.375, rel=0.25)
    assert third == 0


def test_a_job_that_is_submitted_again_takes_the_same_route():
    site = Site(offer(1.0), offer(0), offer(0.2), offer(0.1))
    assert site.routes() == site.routes()


def test_jobs_move_ahead_of_a_wave_and_stay_again_once_it_has_passed():
    others = [offer(0.1, demand=0.9)] * 3
    assert Site(offer(0.1, demand=1.1), *others).share(None) < 0.95
    assert Site(offer(0.1, demand=0.9), *others).share(None) == 1
    rising = offer(0.1, demand=0.9, trend=0.1)
    assert Site(rising, *others).share(None) < 0.95


def test_work_sent_since_a_cells_last_claims_counts_there():
    site = Site(offer(1.0), offer(0))
    before = site.share("dc-1/0")
    placer = site.placers.get("dc-1/0")
    site.placers.record_sent(placer, job(0, run_ms=CPU * 9))
    assert site.share("dc-1/0") < before
    site.hear("dc-1/0", offer(0), ELSEWHERE[0])
    assert site.share("dc-1/0") == before


def test_the_backlogs_of_all_placers_of_a_cell_count():
    site = Site(offer(1.0), offer(0.5))
    before = site.share(None)
    site.hear("mate", offer(0.5), ELSEWHERE[0])
    assert before < site.share(None) == 1


def test_moves_are_logged_with_the_waits_that_they_come_from():
    site = Site(offer(1.0, free=0.02), offer(0))
    moved = JOBS - site.routes().count(None)
    logged = [
        fields for name, fields in site.events.events if name == "request:balanced"
    ]
    assert len(logged) == moved > 0
    assert (logged[0]["wait_ms"], logged[0]["wait_there_ms"]) == (998, 0)


@pytest.mark.parametrize("wait_s", [0, 0.5])
def test_a_refused_job_is_not_tried_where_work_waits_beside_scraps(wait_s):
    """Free shares of 4% sent each refused job to two more full cells."""
    site = Site(offer(1.0), offer(wait_s, free=0.04))
    assert site.placers.has_room(job(0), NOW, {""}) == (not wait_s)


def test_a_silent_cell_gets_no_jobs():
    site = Site(offer(1.0), *[offer(0)] * 2, heard_at=NOW - 1)
    assert site.share(None) < 1
    now = NOW + REMOTE_CLAIMS_TIMEOUT_S
    assert site.choose(job(0), now) is None


def test_an_evacuated_cell_gets_no_jobs_and_sends_all():
    """Its workers are not usable, so that it has no offer."""
    site = Site(offer(1.0), offer(0))
    site.hear("dc-2/0", offer(0, labels=()), ("dc-2/0",))
    claims = Claims((), {}, ("dc-2/0",), (), round(NOW * 1000))
    site.placers.hear("dc-2/0", "one", claims, NOW)
    assert site.share("dc-2/0") == 0
    routes = [site.placers.choose(job(n), NOW, ()).address for n in range(JOBS)]
    assert set(routes) == {"dc-1/0"}


def test_the_jobs_of_an_evacuated_cell_are_spread_by_the_waits_elsewhere():
    site = Site(offer(), offer(0), offer(0.5), offer(4.0))
    # Ten jobs of a core-second each: half of a cell's capacity.
    for tick in range(500):
        site.placers.demand.record(job(0, run_ms=10_000), NOW - 5 + tick / 50 * 0.5)
    routes = [site.placers.choose(job(n), NOW, ()).address for n in range(JOBS)]
    counts = [routes.count(cells[0]) for cells in ELSEWHERE]
    assert counts[0] > counts[1] > 0
    assert counts[2] == 0


@pytest.mark.parametrize("known", [True, False])
def test_cells_of_unknown_backlog_get_jobs_only_by_their_free_room(known):
    full, roomy = former(offer()), former(offer(free=0.5))
    own = offer(1.0) if known else former(offer())
    assert Site(own, full).share(None) == 1
    assert Site(own, roomy).share("dc-1/0") == 1


def test_a_job_goes_to_its_data_unless_the_wait_there_costs_more():
    own, there = offer(0.2), offer(0.2, labels=("rack-9",))
    longer = dict(rack="rack-9", run_ms=1_000)  # half as long again away from it
    assert Site(own, there).share("dc-1/0", **longer) == 1
    assert Site(own, offer(0.8, labels=("rack-9",))).share(None, **longer) == 1
    assert Site(own, there).share(None, rack="rack-9") == 1  # 0.05 s are no gain


def test_a_job_stays_with_its_data_unless_the_wait_here_costs_more():
    near = dict(rack="rack-1", run_ms=1_000)
    away = [offer(0, labels=("rack-9",))] * 3
    assert Site(offer(0.5), *away).share(None, **near) == 1
    assert Site(offer(2.0), *away).share(None, **near) < 1


def test_entries_balance_by_the_placers_of_their_data_centre():
    site = Site(None, offer(1.0), offer(0))
    site.placers.set_near({"dc-1/0"})
    routes = [site.placers.choose(job(n), NOW).address for n in range(JOBS)]
    assert set(routes) == {"dc-1/0", "dc-2/0"}


def test_jobs_of_entries_count_for_the_demand_those_of_other_cells_dont():
    placers = Placers()
    placers.set_near({"entry"})
    placers.record_hosted("far", job(1), NOW)
    assert placers.demand.rate("desk", NOW) == (0, 0)
    placers.record_hosted("entry", job(1), NOW)
    assert placers.demand.rate("desk", NOW)[0] > 0


def test_demand_is_the_work_that_arrives_and_its_trend():
    meter = DemandMeter()
    each = job(1)
    for tick in range(2_000):
        meter.record(each, NOW + tick / 100)
    steady = 100 * work_cpu_ms(each) / 1000
    rate, trend = meter.rate("desk", NOW + 20)
    assert rate == pytest.approx(steady, rel=0.02)
    assert trend == pytest.approx(0, abs=0.01 * steady)
    for tick in range(100):
        meter.record(each, NOW + 20 + tick / 200)
        meter.record(each, NOW + 20 + tick / 200)
    assert meter.rate("desk", NOW + 20.5)[1] > 0.05 * steady


def test_the_backlog_adds_few_bytes_to_a_claim():
    """Claims go from each placer to every dispatcher."""
    full = offer(5.0, 1.3, trend=-0.1)
    former_fields = msgspec.structs.astuple(full)[:4]
    grown = len(msgspec.msgpack.encode(full)) - len(
        msgspec.msgpack.encode(former_fields)
    )
    assert grown <= 9 + 5 + 5  # a large integer takes nine bytes, the others five
