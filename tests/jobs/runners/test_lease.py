"""How long the runs on a worker may go on."""

from ..world import World

JOB = "a" * 16


def running_world(run_s=20.0):
    """Returns a world of two runners, at the first of which two tasks run."""
    world = World(owners=1, runners=2, run_s=run_s)
    for _ in range(20):
        world.step()
    world.submit("owner-0", JOB, tasks=2, deadline_s=60.0)
    for _ in range(4):
        world.step()
    return world


def lapses(world):
    return [fields for event, fields in world.event_log.events if event == "run:lapsed"]


def test_a_lapse_is_logged_with_what_the_runner_knew():
    world = running_world()
    for worker in world.workers.values():
        worker.unresponsive = True
    for _ in range(40):
        world.step()
    fields = lapses(world)[0]
    assert fields["task"].startswith(JOB)
    assert (fields["stop_age_ms"], fields["found"]) == (None, False)
    assert fields["unanswered_polls"] > 0
