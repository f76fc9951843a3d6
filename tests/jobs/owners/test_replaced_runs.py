"""Runs that were replaced while their ends were unknown, and are heard of later."""

from .test_stored import JOB, owned_world, run


# Guards against a run that an owner gives up as its runner follows the next owner.
def test_a_former_owner_does_not_replace_the_runs_that_the_new_owner_knows():
    world = owned_world()
    world.run_s = 30.0
    world.submit_stored("owner-0", JOB, tasks=1)
    run(world, 0.5)
    holder, other = sorted(
        world.runners, key=lambda name: not world.workers[name].running
    )
    world.runners[holder].stop()
    world.log_unreachable.add("owner-0")
    world.cut("owner-1", other)
    world.log.assign("owner-1")
    run(world, 8.0)
    assert world.faults == []
