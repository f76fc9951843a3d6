"""The steps of the scenarios."""

import json
import threading
import time
from contextlib import ExitStack

import pytest
from pytest_bdd import given, parsers, then, when

from banyanwheel_client.errors import ClientError
from banyanwheel_jobs.cells.cell import CELL_PLACERS
from tests.standins.calls import in_thread
from tests.standins.chaos import (
    crowd_chaos,
    doubt_chaos,
    mixed_chaos,
    play,
    wide_chaos,
)
from tests.standins.cluster import Cluster
from tests.standins.crowds import usage
from tests.standins.history import LeaseLapsed, TaskStarted
from tests.standins.layout import Layout

from .world import World

WORKER_FAULTS = {
    "hang": True,
    "fail_all": True,
    "silent": True,
    "garbage": True,
    "lose_start_answers": 4,
    "slow_factor": 10.0,
    "refuse_starts": True,
    "late_share": 0.5,
    "late_stop_share": 1.0,
}
PROXY_FAULTS = {
    "lose_answers": 1,
    "delay_to_client_ms": 100,
    "delay_to_server_ms": 100,
    "drop_to_client": True,
    "drop_to_server": True,
    "cut": True,
}
LOG_FAULTS = {
    "down": True,
    "silent": True,
    "delay_ms": 300,
    "lose_append_answers": 1,
}
PUBLISH_TRIES = 20
WHO = r"the owner|the placer|an entry|a runner with tasks|dispatcher-\d|runner-\d"


LOGGED_LINES = 40  # of each daemon, shown where a step fails


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


def pytest_bdd_step_error(step_func_args):
    """Shows what the daemons logged last, since CI keeps no files."""
    world = step_func_args.get("world")
    if world is None:
        return
    for name in world.cluster.daemons:
        for line in world.cluster.lines(name)[-LOGGED_LINES:]:
            print(name, json.dumps(line))


# Given


@given(
    parsers.re(
        r"a system of (?P<dispatchers>\d+) dispatchers and (?P<runners>\d+) runners"
        r"(?P<proxies>, with proxies before the runners)?$"
    ),
    target_fixture="world",
)
def start_system(stack, tmp_path, dispatchers, runners, proxies):
    layout = Layout(int(dispatchers), int(runners), proxied=bool(proxies))
    return World(stack.enter_context(Cluster(layout, tmp_path)))


@given(
    parsers.parse(
        "a system of {dispatchers:d} dispatchers and {runners:d} runners, with proxies "
        "and unlike workers"
    ),
    target_fixture="world",
)
def start_uneven_system(stack, tmp_path, dispatchers, runners):
    layout = Layout.uneven(dispatchers, runners)
    return World(stack.enter_context(Cluster(layout, tmp_path)))


@given(parsers.parse("every worker has the fault {fault}"))
@when(parsers.parse("every worker has the fault {fault}"))
def break_workers(world, fault):
    if fault == "none":
        return
    for name in world.cluster.layout.runner_names:
        break_worker(world, name.replace("runner", "worker"), fault)


@given(parsers.re(r"(?P<worker>worker-\d+) has the fault (?P<fault>\w+)"))
def break_worker(world, worker, fault):
    world.cluster.set_faults(worker, **{fault: WORKER_FAULTS[fault]})


@given(parsers.parse("the proxies have the fault {fault}"))
def break_proxies(world, fault):
    for name in world.cluster.layout.runner_names:
        break_proxy(world, name.replace("runner", "proxy"), fault)


@when(parsers.re(r"(?P<proxy>proxy-\d+) has the fault (?P<fault>\w+)"))
def break_proxy(world, proxy, fault):
    world.cluster.set_faults(proxy, **{fault: PROXY_FAULTS[fault]})


@given(parsers.parse("the log has the fault {fault}"))
@when(parsers.parse("the log has the fault {fault}"))
def break_log(world, fault):
    if fault != "none":
        world.cluster.set_faults("log", **{fault: LOG_FAULTS[fault]})


@given("the configuration of all dispatchers is watched")
def watch_configuration(world):
    world.cluster.watch_configuration()


# When


@when(parsers.parse("{count:d} tasks have started"))
def wait_for_starts(world, count):
    world.cluster.wait_for(
        lambda: len({e.task for e in world.starts(world.job_id)}) >= count,
        f"not {count} tasks have started",
    )


@when(parsers.re(r"(?P<who>" + WHO + r") is killed$"))
def kill(world, who):
    world.cluster.kill(world.find(who))


@when(parsers.re(r"(?P<who>" + WHO + r") is replaced$"))
def replace(world, who):
    world.cluster.replace(world.find(who))


@when(parsers.re(r"(?P<who>" + WHO + r") is frozen$"))
def freeze(world, who):
    world.cluster.freeze(world.find(who))


@when(parsers.re(r"(?P<who>" + WHO + r") goes on$"))
def thaw(world, who):
    world.cluster.thaw(world.find(who))


@when(parsers.re(r"(?P<who>" + WHO + r") is asked to stop$"))
def ask_to_stop(world, who):
    world.cluster.terminate(world.find(who))


@when(parsers.re(r"(?P<who>" + WHO + r") has ended well$"))
def wait_for_end(world, who):
    assert world.cluster.wait_ended(world.find(who)) == 0


@when(
    parsers.parse(
        "{worker} starts again under its id, {ms:d} ms before its first heartbeat"
    )
)
def restart_worker(world, worker, ms):
    world.cluster.replace_worker(worker, ms)


@when("two placers are killed")
def kill_two_placers(world):
    for name in world.placers[:2]:
        world.cluster.kill(name)


@then("four dispatchers place tasks")
def check_placers(world):
    world.cluster.wait_for(
        lambda: len(world.placers) == CELL_PLACERS,
        f"{world.placers} place tasks",
    )


@when("every process is stopped and started again in turn")
def roll(world):
    for name in world.cluster.daemons:
        world.cluster.terminate(name)
        assert world.cluster.wait_ended(name) == 0
        world.cluster.start_again(name)
        world.cluster.wait_ready()


@when("every process is killed at once and started again")
def kill_all(world):
    world.cluster.kill_together(world.cluster.daemons)
    world.cluster.start_together(world.cluster.daemons)
    world.cluster.wait_ready()


@when(
    parsers.re(
        r"every dispatcher(?P<runners> and every runner)? is killed at once, "
        r"and started again, (?P<times>\d+) times, (?P<seconds>\d+) s apart"
    ),
    converters={"runners": bool, "times": int, "seconds": int},
)
def kill_herd(world, runners, times, seconds):
    layout = world.cluster.layout
    herd = world.cluster.daemons if runners else layout.dispatcher_names
    for _ in range(times):
        world.cluster.kill_together(herd)
        world.cluster.start_together(herd)
        time.sleep(seconds)


@when(parsers.parse("the lease of {worker} has lapsed"))
def wait_for_lapse(world, worker):
    world.cluster.wait_for_event(LeaseLapsed, process=worker)


@when("the present connections to the runners freeze")
def freeze_connections(world):
    for name in world.cluster.layout.runner_names:
        world.cluster.freeze_connections(name.replace("runner", "proxy"))


@when("the workers are mended")
def mend_workers(world):
    for name in world.cluster.layout.runner_names:
        world.cluster.set_faults(name.replace("runner", "worker"))


@when("the proxies are mended")
def mend_proxies(world):
    for name in world.cluster.layout.runner_names:
        world.cluster.set_faults(name.replace("runner", "proxy"))


@when("the log is mended")
@then("the log is mended")
def mend_log(world):
    world.cluster.set_faults("log")


@when(parsers.re(r"the log does (?P<what>forget|rebalance)$"))
def disturb_log(world, what):
    world.cluster.disturb_log(what)


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(seconds):
    time.sleep(seconds)


@when("that worker says that it leaves")
def leave(world):
    world.cluster.leave(world.worker)


@when("late messages say that the workers have left")
def deliver_late_leaves(world):
    for name in world.cluster.layout.runner_names:
        world.cluster.deliver_leave(name.replace("runner", "worker"))


@when("heartbeats of another writer reach the runners")
def deliver_foreign_heartbeats(world):
    for name in world.cluster.layout.runner_names:
        world.cluster.deliver_foreign_heartbeat(name)


@when("a worker has started tasks")
def wait_for_any_worker(world):
    # Which one gets the first tasks is the dispatchers' choice.
    *_, started = world.cluster.wait_for_event(TaskStarted)
    world.worker = started.process


@then(parsers.re(r"(?P<worker>worker-\d) has started tasks"))
def wait_for_worker(world, worker):
    world.cluster.wait_for_event(TaskStarted, process=worker)


@when(
    parsers.re(
        r"(?P<count>\d+) faults(?P<restarts>, restarts among them,)? hit each half of "
        r"the system with the seed (?P<seed>\d+)$"
    ),
    converters={"count": int, "seed": int, "restarts": bool},
)
def run_chaos(world, count, seed, restarts):
    play(mixed_chaos(world.cluster, count, seed, restarts=restarts))


@when(
    parsers.parse(
        "{count:d} faults each hit the daemons, the workers and the network with the "
        "seed {seed:d}"
    )
)
def run_wide_chaos(world, count, seed):
    play(wide_chaos(world.cluster, count, seed))


@when(
    parsers.parse(
        "{count:d} cuts and outages leave answers in doubt with the seed {seed:d}"
    )
)
def run_doubt_chaos(world, count, seed):
    play(doubt_chaos(world.cluster, count, seed))


@when(
    parsers.parse(
        "{count:d} faults hit each half of the system with the seed {seed:d}, beside "
        "{crowds:d} crowds of clients"
    )
)
def run_chaos_beside_crowds(world, count, seed, crowds):
    chaos = mixed_chaos(world.cluster, count, seed, restarts=True)
    play([*chaos, *crowd_chaos(world.cluster, crowds, seed)])


@then(parsers.parse("every daemon has stayed within {memory_mb:d} MB"))
def check_memory(world, memory_mb):
    world.cluster.wait_ready()
    peaks = {name: usage(world.cluster.pid(name))[0] for name in world.cluster.daemons}
    assert max(peaks.values()) < memory_mb, peaks


@when("an operator publishes a version")
def publish(world):
    world.published.append(world.cluster.publish(priority=len(world.published) + 1))


@when("an operator publishes a version until it is accepted")
def publish_until_accepted(world):
    for _ in range(PUBLISH_TRIES):
        publish(world)
        if not isinstance(world.published[-1], ClientError):
            return
    raise AssertionError(world.published)


@when("two operators publish at once")
def publish_at_once(world):
    start = threading.Barrier(2)

    def race(priority):
        start.wait()
        return world.cluster.publish(priority=priority)

    base = 2 * len(world.published)
    answers = [in_thread(race, base + number) for number in (1, 2)]
    world.published += [answer() for answer in answers]


@when(parsers.parse('an operator runs "{text}" at {dispatcher}'))
def run_command(world, text, dispatcher):
    rows = world.operator_rows(dispatcher, text)
    assert rows[0]["result"] in ("drained", "not drained"), rows
    # The other dispatchers read it from the log.
    world.cluster.wait_for(
        lambda: all(_shows_drain(world, name, text) for name in world.dispatchers),
        "the drain is not in force",
    )
    world.drained_at = time.monotonic()


@when("an operator cancels the job at dispatcher-2")
def cancel_by_command(world):
    rows = world.operator_rows("dispatcher-2", f"cancel {world.job_id}")
    assert rows == [{"job": world.job_id, "result": "canceled"}]


@when("the dispatchers are ready")
def wait_ready(world):
    world.cluster.wait_ready()


def _shows_drain(world, dispatcher, text):
    wanted = text.startswith("drain")
    rows = world.operator_rows(dispatcher, "show workers where drained = true")
    return bool(rows) == wanted
