"""The steps of the scenarios that submit jobs."""

import time

from pytest_bdd import given, parsers, when

from tests.standins.layout import RARE_LABEL
from tests.standins.load import CancelingLoad, Load, WideLoad, Work

LOAD_CALLERS = 4
TRANSIENT_CALLERS = 2  # stored jobs get no answer while the log is away
LONG_WORK = Work(run_ms=2_000, tries=100)


@given("callers that submit jobs all the time")
def start_load(world, stack):
    world.load = Load(world.cluster, LOAD_CALLERS, TRANSIENT_CALLERS)
    world.load.start()
    stack.callback(world.load.stop)


@given("callers of many kinds")
def start_wide_load(world, stack):
    world.load = WideLoad(world.cluster, RARE_LABEL)
    world.load.start()
    stack.callback(world.load.stop)


@given(parsers.parse("callers that cancel some of their jobs, with the seed {seed:d}"))
def start_canceling_load(world, stack, seed):
    world.load = CancelingLoad(world.cluster, seed)
    world.load.start()
    stack.callback(world.load.stop)


@given("callers of long jobs, which come back until they are answered")
def start_long_load(world, stack):
    world.load = Load(world.cluster, LOAD_CALLERS, TRANSIENT_CALLERS, LONG_WORK)
    world.load.start()
    stack.callback(world.load.stop)


@when(
    parsers.re(
        r"a (?P<kind>stored|transient) job of (?P<tasks>\d+) tasks of "
        r"(?P<run_ms>\d+) ms is submitted to (?P<dispatcher>dispatcher-\d|an entry)$"
    )
)
def submit_job(world, kind, tasks, run_ms, dispatcher):
    world.submit_new(kind, int(tasks), int(run_ms), world.find(dispatcher))


@when(
    parsers.parse(
        "each dispatcher is frozen {rounds:d} times, while callers of {count:d} jobs "
        "leave it for the others"
    )
)
def freeze_and_leave(world, rounds, count):
    for frozen in world.dispatchers * rounds:
        world.leave_for_others(frozen, count)


@when(
    parsers.parse(
        "callers submit {count:d} transient jobs of {tasks:d} tasks of {run_ms:d} ms, "
        "and these begin"
    )
)
def submit_and_leave(world, count, tasks, run_ms):
    world.submit_and_leave(count, tasks, run_ms)


@when("those callers leave, and come back elsewhere")
def come_back(world):
    world.come_back()


@when("those callers are answered")
def wait_for_leavers(world):
    assert all(told.status for told in world.told), world.told


@when(
    parsers.parse(
        "a stored job of {tasks:d} tasks of {run_ms:d} ms is submitted "
        "to both dispatchers at once"
    )
)
def submit_to_both(world, tasks, run_ms):
    world.submit_new("stored", tasks, run_ms, "dispatcher-1")
    world.submit("dispatcher-2")


@when(parsers.re(r"the same id is submitted to (?P<dispatcher>dispatcher-\d)$"))
def submit_again(world, dispatcher):
    world.submit(dispatcher)


@when(parsers.parse("the same id is submitted to {dispatcher} after {seconds:f} s"))
def submit_again_later(world, dispatcher, seconds):
    time.sleep(seconds)
    world.submit(world.find(dispatcher))


@when(parsers.parse("another job is submitted under the same id to {dispatcher}"))
def submit_other_job(world, dispatcher):
    other = world.job | {"spec": "another"}
    world.submit(dispatcher, other)


@when(
    parsers.parse(
        "{count:d} stored jobs of {tasks:d} tasks of {run_ms:d} ms are submitted "
        "and canceled in turn"
    )
)
def cancel_wave(world, count, tasks, run_ms):
    world.cancel_wave(count, tasks, run_ms)


@when(
    parsers.parse(
        "{count:d} stored jobs of {tasks:d} tasks of {run_ms:d} ms are completed "
        "at {dispatcher}"
    )
)
def complete_jobs(world, count, tasks, run_ms, dispatcher):
    for _ in range(count):
        world.submit_new("stored", tasks, run_ms, dispatcher)
        world.wait_state("completed", dispatcher)
        world.completed.append(world.job_id)


@when(parsers.re(r"(?P<count>\d+) (more )?jobs are answered"))
def wait_for_load(world, count):
    wanted = len(world.load.told) + int(count)
    world.cluster.wait_for(
        lambda: len(world.load.told) >= wanted, "the load is not answered"
    )


@when("the callers stop")
def stop_load(world):
    world.load.stop()
