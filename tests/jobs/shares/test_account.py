"""The accounts of demand and service, and the floors that follow from them.

Pattern "starved class": jobs of the best worth per core-ms take all room, and the
widest jobs of their queue are hardly served at all.
"""

import pytest

from banyanwheel_jobs.shares.account import HALF_LIFE_S, ServiceAccount
from banyanwheel_jobs.shares.widths import MAX_SAMPLE, RecentWidths, WidthClass

CAPACITY = 1_000_000


def settle(service, queue, jobs, served, width_class=WidthClass.USUAL):
    for number in range(jobs):
        service.queue(queue).settle(width_class, 100, number < served)


def test_widths_are_classed_by_the_widest_tenth_and_the_fifth_below_it():
    widths = RecentWidths()
    for width in range(1, 101):
        widths.add(width)
    classes = [widths.add(width) for width in (50, 75, 85, 95, 200)]
    assert classes == [
        WidthClass.USUAL,
        WidthClass.WIDE,
        WidthClass.WIDE,
        WidthClass.WIDEST,
        WidthClass.WIDEST,
    ]


def test_old_widths_are_forgotten():
    """Without that, the sample would grow with each job."""
    widths = RecentWidths()
    for width in [1_000] * MAX_SAMPLE + [2] * MAX_SAMPLE:
        widths.add(width)
    assert widths.add(3) is WidthClass.WIDEST


def test_a_class_served_less_than_half_as_often_as_its_queue_is_below_its_floor():
    service = ServiceAccount()
    settle(service, "short", 100, 90)
    settle(service, "short", 20, 8, WidthClass.WIDEST)
    service.refresh(0.0, CAPACITY)
    assert service.below_floor == {("short", WidthClass.WIDEST)}


def test_a_queue_served_less_than_half_the_mean_of_all_is_below_its_floor():
    service = ServiceAccount()
    settle(service, "short", 100, 20)
    settle(service, "long", 100, 90)
    service.refresh(0.0, CAPACITY)
    assert {queue for queue, _ in service.below_floor} == {"short"}


@pytest.mark.parametrize("jobs", [0, 3])
def test_few_jobs_say_nothing_about_a_class(jobs):
    service = ServiceAccount()
    settle(service, "short", 100, 100)
    settle(service, "long", jobs, 0)
    service.refresh(0.0, CAPACITY)
    assert not service.below_floor


def test_a_class_is_not_below_its_floor_for_long_after_the_load():
    service = ServiceAccount()
    settle(service, "short", 100, 90)
    settle(service, "short", 20, 0, WidthClass.WIDEST)
    service.refresh(0.0, CAPACITY)
    service.refresh(6 * HALF_LIFE_S, CAPACITY)
    assert not service.below_floor


def test_room_is_short_while_more_work_arrives_than_the_workers_can_do():
    service = ServiceAccount()
    service.refresh(0.0, CAPACITY)
    service.queue("long").arrive(1, 100 * CAPACITY)
    service.refresh(0.1, CAPACITY)
    assert service.short
    service.refresh(10 * HALF_LIFE_S, CAPACITY)
    assert not service.short
