"""The steps of the scenarios with evacuations, which the platform's operator writes."""

import asyncio
import time

from pytest_bdd import given, parsers, then, when

from banyanwheel_platform.log import LogClient
from tests.standins.cluster import Cluster
from tests.standins.layout import Layout

from .world import World

EVACUATION_MS = 5_000


@given(
    parsers.parse(
        "a system of {dispatchers:d} dispatchers and {runners:d} runners that follow "
        "evacuations"
    ),
    target_fixture="world",
)
def start_following_system(stack, tmp_path, dispatchers, runners):
    layout = Layout(dispatchers, runners, evacuation_ms=EVACUATION_MS)
    return World(stack.enter_context(Cluster(layout, tmp_path)))


@when(parsers.parse("the data centre {name} is evacuated by a record of {value}"))
def evacuate(world, name, value):
    _write(world, name, value.encode())
    _wait_for_all(world, "evacuation:in-force", name)
    world.evacuated_at = time.monotonic()


@when(parsers.re(r"the evacuation of (?P<name>[\w-]+) is lifted$"))
def lift(world, name):
    _write(world, name, None)
    _wait_for_all(world, "evacuation:lifted", name)


@when(parsers.parse("the evacuation of {name} is lifted and set again at once"))
def lift_and_set_again(world, name):
    """The records that follow show when every process has read these."""
    _write(world, name, None)
    _write(world, name, b"{}")


@then(parsers.parse("nothing has started in {name} since the evacuation"))
def check_nothing_started(world, name):
    layout = world.cluster.layout
    workers = {
        runner.replace("runner", "worker")
        for runner in layout.runner_names
        if layout.data_centre(runner) == name
    }
    late = [
        event
        for event in world.starts()
        if event.process in workers and event.at > world.evacuated_at
    ]
    assert (len(workers), late) == (2, [])


def _write(world, name, value):
    log = LogClient(world.cluster.log)
    asyncio.run(log.append("op", 0, [(f"evacuate/{name}", value)]))


def _wait_for_all(world, event, name):
    """Waits until the last line of each daemon on evacuations is this one."""
    for daemon in world.cluster.daemons:
        world.cluster.wait_for(
            lambda daemon=daemon: _last_news(world, daemon) == (event, name),
            f"no {event} at {daemon}",
        )


def _last_news(world, daemon):
    news = [
        (line["message_type"], line["data_centre"])
        for line in world.cluster.lines(daemon)
        if line.get("message_type") in ("evacuation:in-force", "evacuation:lifted")
    ]
    return news[-1] if news else None
