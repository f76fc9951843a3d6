import pytest

from banyanwheel_jobs.stragglers import is_straggling

from .world import World


@pytest.mark.parametrize(
    ("percent", "age_s", "expected_s", "straggling"),
    [
        (-1, 5.0, 0.1, False),  # waits for room
        (0, 0.1, 0.1, False),
        (0, 0.5, 0.1, True),
        (0, 0.5, 2.0, False),
        (50, 1.0, 1.8, False),
        (10, 1.0, 1.8, True),
        (90, 5.0, 0.1, True),
        (99, 5.0, 1.8, False),
    ],
)
def test_progress_tells_stragglers(percent, age_s, expected_s, straggling):
    assert is_straggling(percent, age_s, expected_s) is straggling


def test_a_long_task_is_not_restarted_again_and_again():
    assert is_straggling(10, 1.0, 0.1)
    assert not is_straggling(10, 1.0, 0.1, restarts=1)
    assert not is_straggling(0, 9.0, 0.1, restarts=3)


def test_a_percentage_counts_for_the_time_at_which_it_was_read():
    """The lists are looked at every 0.2 s; an old figure must not look like a crawl."""
    world = World(owners=1, runners=1, run_s=1.0)
    for _ in range(20):
        world.step()
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    world.step(0.1)
    world.step(0.1)
    origin = ("owner-0", world.incarnation("owner-0"))
    (status,) = world.runners["runner-0"].report(origin, world.now + 5.0).runs
    assert status.percent > 0
    assert status.age_ms <= 200


def test_a_task_that_stands_still_is_run_elsewhere():
    world = World()
    for _ in range(20):
        world.step()
    world.submit("owner-0", "a" * 16, tasks=1, deadline_s=20.0)
    world.step()
    holder = next(w for w in world.workers.values() if w.running)
    holder.stuck = True
    for _ in range(60):
        world.step()
    assert [str(reply.state) for reply in world.replies["a" * 16]] == ["completed"]
    assert world.faults == []
