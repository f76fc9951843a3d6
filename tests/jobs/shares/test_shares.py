"""Which of the waiting jobs goes first while room is short, and who is refused.

Pattern "last moment": with the least slack first, a flood makes each job begin when it
can hardly end on time any more, and nearly all are late.
"""

import random
from statistics import mean

from hypothesis import given, settings, strategies as st

from banyanwheel_jobs.model import (
    TRANSIENT_PARTITION,
    Queue,
    Resources,
    Step,
    Submission,
)
from banyanwheel_jobs.owners.job import Job
from banyanwheel_jobs.shares.account import FLOOR_SHARE
from banyanwheel_jobs.shares.forecast import hopeless_jobs
from banyanwheel_jobs.shares.return_places import KEPT_S, MAX_PLACES, ReturnPlaces
from banyanwheel_jobs.shares.shares import FIRST_TIER, NORMAL_TIER, Shares
from banyanwheel_jobs.shares.waiting_order import REBUILD_S, WaitingOrder

NOW = 100.0
CAPACITY = 8_000

ROUND_S = 0.1
# Three half-lives of the account: the time after which a class that was starved is no
# longer below its floor.
SETTLING_ROUNDS = 90
ROUNDS = 300


def job(number, tasks=1, estimate_ms=1_000, received_at=NOW, priority=0):
    queue = Queue(f"q-{priority}", "desk", priority, 3, 1.6, 60)
    steps = (Step(tasks, Resources(1_000), estimate_ms),)
    submission = Submission(f"{number:016x}", queue, "", steps, 0, transient=True)
    return Job.from_submission(submission, TRANSIENT_PARTITION, 0, received_at)


def shares_of(*jobs, capacity=CAPACITY, **options):
    shares = Shares()
    for each in jobs:
        shares.arrive(each, **options)
    shares.refresh(NOW, lambda service: capacity)
    return shares


def first_of(shares, *jobs):
    return min(jobs, key=lambda each: shares.precedence(each, NOW))


def test_a_job_that_can_be_on_time_goes_before_one_that_cannot():
    late, fresh = job(1, received_at=NOW - 1.5), job(2)
    assert first_of(shares_of(late, fresh), late, fresh) is fresh


def test_a_job_with_little_left_to_place_goes_before_an_equal_one():
    """Its placed tasks were run for nothing if its last ones waited too long."""
    begun, fresh = job(1, tasks=4), job(2, tasks=4)
    for task in begun.tasks[0][:3]:
        begun.place(task, "runner-0", 0)
    assert first_of(shares_of(begun, fresh), begun, fresh) is begun


def test_priority_decides_between_equal_jobs():
    low, high = job(1, priority=2), job(2, priority=0)
    assert first_of(shares_of(low, high), low, high) is high


def test_a_class_below_its_floor_goes_first_while_it_can_be_on_time():
    served, starved, too_late = job(1), job(2, priority=1), job(3, priority=1)
    too_late.received_at -= 1.5
    shares = shares_of(served, starved, too_late)
    for number in range(40):
        for priority in (0, 1):
            settled = job(100 + number, priority=priority)
            shares.arrive(settled)
            shares.settle(settled, served=not priority)
    shares.refresh(NOW, lambda service: CAPACITY)
    tiers = [shares.precedence(each, NOW).tier for each in (served, starved, too_late)]
    assert tiers == [NORMAL_TIER, FIRST_TIER, NORMAL_TIER]


def test_a_late_job_leaves_room_only_while_room_is_short():
    """A job was refused beside idle workers, for others that never came."""
    late = job(1, tasks=200, received_at=NOW - 1.5)
    assert shares_of(late).must_leave_room(late, NOW)
    assert not shares_of(late, capacity=10**9).must_leave_room(late, NOW)


def test_a_late_job_that_has_begun_keeps_its_turn():
    late = job(1, tasks=200, received_at=NOW - 1.5)
    late.place(late.tasks[0][0], "runner-0", 0)
    assert not shares_of(late).must_leave_room(late, NOW)


def test_only_what_cannot_end_in_time_after_the_work_ahead_is_hopeless():
    jobs = [job(number, tasks=8) for number in range(8)]
    hopeless = list(hopeless_jobs(jobs, CAPACITY, NOW))
    assert hopeless == jobs[4:]  # late until 4.98 s, with 1 s of work each


def test_hopeless_jobs_are_no_work_ahead_of_others():
    wide, narrow = job(1, tasks=800, received_at=NOW - 9), job(2)
    assert list(hopeless_jobs([wide, narrow], CAPACITY, NOW)) == [wide]


def test_a_caller_that_returns_as_told_finds_its_place_once():
    places = ReturnPlaces()
    places.keep("a", NOW + 1, NOW)
    assert places.take("a", NOW + 1.2)
    assert not places.take("a", NOW + 1.3)
    returned, fresh = job(1, tasks=2), job(2)
    shares = shares_of(fresh)
    shares.arrive(returned, returns=True)
    assert first_of(shares, fresh, returned) is returned


def test_a_caller_that_returns_early_or_very_late_has_no_place():
    places = ReturnPlaces()
    places.keep("a", NOW + 2, NOW)
    places.keep("b", NOW + 2, NOW)
    assert not places.take("a", NOW + 1)
    assert not places.take("a", NOW + 2)
    assert not places.take("b", NOW + 2 + KEPT_S + 0.1)


def test_the_number_of_places_is_bounded():
    places = ReturnPlaces()
    for number in range(MAX_PLACES + 10):
        places.keep(str(number), NOW + 1, NOW)
    assert len(places) == MAX_PLACES


@settings(max_examples=25, deadline=None, derandomize=True)
@given(seed=st.integers(0, 1_000), room=st.floats(0.25, 0.8))
def test_no_class_stays_below_its_floor(seed, room):
    """Without floors, the widths with the least worth per core-ms get no room."""
    numbers, shares = random.Random(seed), Shares()
    served = {}  # whether each job was, by queue's priority and number of tasks
    for number in range(ROUNDS):
        now = NOW + number * ROUND_S
        jobs = [
            job(each, numbers.choice((1, 1, 1, 1, 2, 8)), 500, now, each % 2)
            for each in range(10)
        ]
        for each in jobs:
            shares.arrive(each)
        shares.refresh(now, lambda service: 0)
        left = room * sum(len(each.tasks[0]) for each in jobs)
        for each in sorted(jobs, key=lambda each: shares.precedence(each, now)):
            shares.settle(each, served=left > 0)
            if number >= SETTLING_ROUNDS:
                key = each.submission.queue.priority, len(each.tasks[0])
                served.setdefault(key, []).append(left > 0)
            left -= len(each.tasks[0])
    whole = mean(map(mean, served.values()))
    assert all(mean(each) >= FLOOR_SHARE * whole for each in served.values())


def test_the_order_is_kept_between_rounds():
    """Sorting at each round would make its cost grow with the jobs that wait."""
    keys = {job(number): number for number in range(3)}
    order, added = WaitingOrder(), job(5)
    assert order.is_due(set(), NOW)
    order.rebuild(keys, keys.get, set(), NOW)
    order.add([added], lambda each: 0.5)
    assert [each.id[-1] for each in order] == ["0", "5", "1", "2"]
    assert not order.is_due(set(), NOW + REBUILD_S / 2)
    assert order.is_due({"desk"}, NOW + REBUILD_S / 2)
    assert order.is_due(set(), NOW + 2 * REBUILD_S)
