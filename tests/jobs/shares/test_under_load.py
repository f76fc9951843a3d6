"""Shares under the load of the page: floors, ends of all jobs, a calm deployment.

Pattern "starved width": at twice the room, 7 of 100 of the widest short jobs were
served, of all short jobs 23.
"""

import pytest

from banyanwheel_jobs.outcomes import Outcome

from ..owners.hard_load import KINDS, play_hard_load, width_classes

FLOOR_SHARE = 0.5
MIN_JOBS = 10  # in fewer, one job more or less decides
BURST = (3.0, 8.0)
QUARTER_LOST = {1: 4.0, 4: 4.0, 9: 4.0}
SHORT_BURST = ("short", *BURST, 1.8)
LONG_BURST = ("long", *BURST, 2.6)
BURSTS = {
    "long": {"surges": [LONG_BURST]},
    "urgent": {"surges": [SHORT_BURST]},
    "wide": {"surges": [SHORT_BURST], "changes": {"short": {"tasks": 12}}},
    "rack": {
        "surges": [SHORT_BURST, LONG_BURST],
        "changes": {"short": {"rack": "rack-0", "rack_share": 0.75}},
    },
}
CASES = [(name, losses) for name in BURSTS for losses in ({}, QUARTER_LOST)]


@pytest.fixture(
    scope="module", params=CASES, ids=lambda case: case[0] + "-lost" * bool(case[1])
)
def burst(request):
    name, losses = request.param
    return play_hard_load(0.75, losses=losses, **BURSTS[name])


def done_share(calls):
    return sum(call.done for call in calls) / len(calls)


def of_kind(world, kind):
    return [call for call in world.calls if call.kind.name == kind.name]


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_wide_jobs_are_served_half_as_often_as_their_queue(burst, kind):
    calls = of_kind(burst, kind)
    for part in width_classes(calls)[1:]:
        if len(part) >= MIN_JOBS:
            assert done_share(part) >= FLOOR_SHARE * done_share(calls)


def test_no_queue_is_served_less_than_half_as_often_as_the_mean(burst):
    shares = [done_share(of_kind(burst, kind)) for kind in KINDS]
    assert min(shares) >= FLOOR_SHARE * sum(shares) / len(shares)


def test_no_job_waits_forever(burst):
    """Each caller has an answer, and none was left without room to its deadline."""
    assert burst.held == []
    assert all(call.answered_at is not None for call in burst.calls)


def test_a_refused_job_has_not_begun(burst):
    refused = {call.submission.job_id for call in burst.calls if call.said_not_run}
    assert not burst.begun & refused


def test_all_jobs_are_served_while_there_is_room():
    world = play_hard_load(0.5)
    assert all(call.outcome is Outcome.STATE for call in world.calls)
    assert all(not owner.shares.services["desk"].short for owner in world.owners)
