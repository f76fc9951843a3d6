"""The steps of the scenarios that check what came of it."""

import time

from pytest_bdd import parsers, then

from banyanwheel_client.errors import ClientError

KNOWN_ROUNDS = 10
KNOWN_PAUSE_S = 0.3


@then(parsers.re(r"the job is (?P<state>\w+) at (?P<dispatcher>dispatcher-\d)$"))
def check_state(world, state, dispatcher):
    world.wait_state(state, dispatcher)


@then(parsers.parse("every one of these jobs is known at {dispatcher}"))
def check_known(world, dispatcher):
    # At first the dispatcher passes questions on, or finds that it owns some anew.
    for _ in range(KNOWN_ROUNDS):
        caller = world.cluster.caller(f"asker-{time.monotonic_ns()}")
        told = [caller.state(dispatcher, job_id) for job_id in world.completed]
        assert {answer.status for answer in told} <= {200, 504}, told
        time.sleep(KNOWN_PAUSE_S)
    assert {answer.state for answer in told} == {"completed"}, told


@then("the job is completed at the other dispatcher")
def check_state_elsewhere(world):
    world.wait_state("completed", world.other_dispatcher())


@then("the job is completed at its dispatcher")
def check_completed(world):
    if world.stored:
        world.wait_state("completed", world.submitted_to)
    else:
        assert world.last_told.state == "completed", world.last_told


@then("every answer is an acceptance")
def check_accepted(world):
    assert all(told.accepted for told in world.told), world.told


@then("every answer is a completed job")
def check_all_completed(world):
    assert {told.state for told in world.told} == {"completed"}, world.told


@then("the last answer is a completed job")
def check_last_completed(world):
    told = world.last_told
    assert (told.status, told.state) == (200, "completed"), told


@then("the last answer is an unknown outcome")
def check_unknown(world):
    assert world.last_told.status == 504, world.answers


@then("the last answer is a conflict")
def check_conflict(world):
    assert world.last_told.status == 409, world.answers


@then("the last answer is no acceptance")
def check_not_accepted(world):
    assert world.last_told.status in (503, 504), world.last_told


@then("each task has started once")
def check_started_once(world):
    tasks = [event.task for event in world.starts(world.job_id)]
    assert len(tasks) == len(set(tasks)) == world.job["steps"][0]["count"], tasks


@then(parsers.parse("each task has started {most:d} times at most"))
def check_attempts(world, most):
    tasks = [event.task for event in world.starts(world.job_id)]
    assert max(map(tasks.count, set(tasks))) <= most, tasks


@then(parsers.parse("{worker} starts tasks of that job"))
def check_used(world, worker):
    world.cluster.wait_for(
        lambda: any(event.process == worker for event in world.starts(world.job_id)),
        f"{worker} starts no task",
    )


@then("every canceled job is told so by both dispatchers")
def check_canceled(world):
    assert world.canceled
    caller = world.cluster.caller("asker")
    for job_id in world.canceled:
        for name in world.dispatchers:
            assert caller.state(name, job_id).state == "canceled"


@then("every job of the callers is completed")
def check_load_completed(world):
    check_transient_load(world)
    _check_stored_load(world, {"completed"})


@then("every transient job of the callers is completed")
def check_transient_load(world):
    told = [told for _, stored, told in world.load.told if not stored]
    assert told
    assert [each for each in told if each.state != "completed"] == []


@then("every accepted job of the callers ends")
def check_accepted_load(world):
    _check_stored_load(world, {"completed", "failed"})


def _check_stored_load(world, finals):
    accepted = [
        job_id for job_id, stored, told in world.load.told if stored and told.accepted
    ]
    assert accepted
    running = next(name for name in world.dispatchers if world.cluster.running(name))
    for job_id in accepted:
        caller = world.cluster.caller(f"after-{job_id}")
        world.cluster.wait_for(
            lambda job_id=job_id, caller=caller: (
                caller.state(running, job_id).state in finals
            ),
            f"{job_id} has not ended as one of {sorted(finals)}",
        )


@then("each version was published once")
def check_versions(world):
    versions = [v for v in world.published if not isinstance(v, ClientError)]
    assert len(versions) >= len(world.published) / 2
    assert len(versions) == len(set(versions)), world.published


@then("the version is in force at every dispatcher")
def check_in_force(world):
    version = max(v for v in world.published if not isinstance(v, ClientError))
    text = f"show queues where version = {version}"
    for name in world.dispatchers:
        world.cluster.wait_for(
            lambda name=name: _rows_or_none(world, name, text),
            f"version {version} is not in force at {name}",
        )


def _rows_or_none(world, dispatcher, text):
    try:
        return world.operator_rows(dispatcher, text)
    except OSError:
        return None


@then("worker-1 has started nothing since the drain")
def check_drained(world):
    late = [
        event
        for event in world.starts()
        if event.process == "worker-1" and event.at > world.drained_at
    ]
    assert late == []


@then(parsers.re(r'"(?P<text>.+)" has (?P<count>\d+) rows? at (?P<name>\S+)'))
def check_row_count(world, text, count, name):
    rows = world.operator_rows(name, text)
    assert len(rows) == int(count), rows


@then(parsers.re(r'"(?P<text>.+)" has rows at (?P<name>\S+)'))
def check_rows(world, text, name):
    assert world.operator_rows(name, text)


@then("why the job waits is told alike by both dispatchers")
def check_why(world):
    for name in world.dispatchers:
        (row,) = world.operator_rows(name, f"why {world.job_id}")
        assert row["state"] == "running"
        assert "tasks wait: no worker has room" in row["why"]


@then(parsers.parse('"{text}" at {dispatcher} names a silent dispatcher'))
def check_incomplete(world, text, dispatcher):
    assert len(world.ask_incomplete(dispatcher, text)) == 1


@then("every promise is kept")
def check_promises(world):
    assert [str(finding) for finding in world.cluster.findings()] == []
