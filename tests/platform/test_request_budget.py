"""Which connections are refused or closed, without any connection."""

import resource

import pytest

from banyanwheel_platform.request_budget import (
    ADMISSION_GRACE_S,
    CALLERS_SHARE,
    CHUNK_BYTES,
    CONNECTION_BYTES,
    TIMEOUTS_S,
    MachineLimits,
    Phase,
    RequestBudget,
)

MIB = 1024 * 1024
BODY = 262_144
LIMITS = MachineLimits(request_bytes=4 * MIB, work_bytes=4 * MIB, connections=64)


class World:
    """A budget, and the names of its connections that were closed."""

    def __init__(self, limits=LIMITS):
        self.counted = []
        self.closed = []
        self.accounts = {}
        self.budget = RequestBudget(limits, lambda why, _: self.counted.append(why))

    def open(self, name, now=0.0, phase=Phase.BODY, size=0, reserved=False):
        """Returns whether a connection is admitted; it sends ``size`` bytes."""
        account, victims = self.budget.admit(name, now, reserved)
        self.close(victims)
        if account is None:
            return False
        self.accounts[name] = account
        self.budget.enter(account, phase, now)
        self.receive(name, size)
        return True

    def receive(self, name, size):
        self.close(self.budget.receive(self.accounts[name], size))

    def close(self, victims):
        self.closed += [account.close for account in victims]


@pytest.fixture
def world():
    return World()


def test_within_the_budget_nothing_is_closed(world):
    for number in range(15):
        assert world.open(number, size=BODY)
    assert (world.closed, world.counted) == ([], [])


def test_over_the_budget_the_largest_and_then_the_oldest_go_first(world):
    for number in range(10):
        world.open(f"small-{number}", now=number, size=1_000)
    for number in range(20):
        world.open(f"large-{number}", now=100 + number, size=BODY)
    assert world.closed == [f"large-{number}" for number in range(len(world.closed))]
    assert len(world.closed) >= 5
    assert set(world.counted) == {"request-memory"}
    assert world.budget.charged <= LIMITS.request_bytes


def test_a_request_that_is_served_is_never_closed(world):
    """Its caller would not know whether its job has run."""
    world.open("served", phase=Phase.SERVING, size=BODY)
    for number in range(100):
        world.open(number, now=number, size=BODY)
    world.close(world.budget.expire(1e9))
    assert "served" not in world.closed
    assert world.accounts["served"].open


def test_what_closed_connections_held_is_free_again(world):
    for number in range(100):
        world.open(number, now=number, size=BODY)
    for account in world.accounts.values():
        world.budget.remove(account)
        world.budget.remove(account)
    assert (world.budget.charged, world.budget.connections) == (0, 0)


def test_bytes_of_a_closed_connection_do_not_count(world):
    world.open("left")
    world.budget.remove(world.accounts["left"])
    world.receive("left", BODY)
    world.budget.hold(world.accounts["left"], BODY)
    assert world.budget.charged == 0


def test_a_request_begins_with_what_its_connection_costs(world):
    world.open("kept-alive", size=BODY)
    world.budget.hold(world.accounts["kept-alive"], 0)
    assert world.budget.charged == CONNECTION_BYTES


def test_one_legal_body_in_one_byte_chunks_is_left_alone(world):
    world.open("slow")
    for _ in range(BODY):
        world.close(world.budget.receive_chunk(world.accounts["slow"]))
    world.receive("slow", 6 * BODY)
    assert world.closed == []


def test_many_bodies_in_small_chunks_are_closed_early(world):
    """They take processor time that ordinary callers need."""
    for number in range(10):
        world.open(number)
        for _ in range(MIB // CHUNK_BYTES):
            account = world.accounts[number]
            world.close(world.budget.receive_chunk(account))
    assert len(world.closed) >= 6


def test_a_new_connection_replaces_the_oldest_unfinished_one(world):
    world.open("served", now=0.0, phase=Phase.SERVING)
    for number in range(1, 70):
        assert world.open(number, now=number, phase=Phase.IDLE)
    assert world.closed == list(range(1, len(world.closed) + 1))
    assert world.budget.connections < LIMITS.connections
    assert set(world.counted) == {"connection-limit"}


def test_clients_that_were_answered_make_room_before_new_ones(world):
    """Those that send one request after another kept all connections."""
    limit = int(LIMITS.connections * CALLERS_SHARE)
    for number in range(limit):
        world.open(number, now=0.0, phase=Phase.SERVING)
    for turn in range(1, 10):
        assert world.open(f"new {turn}", now=turn / 10, phase=Phase.IDLE) == (turn > 1)
        for number in range(limit):
            world.budget.enter(world.accounts[number], Phase.IDLE, turn / 10 + 0.01)
    assert world.closed == list(range(8))


def test_silent_clients_make_room_before_others(world):
    limit = int(LIMITS.connections * CALLERS_SHARE)
    world.open("silent", now=0.0, phase=Phase.HEADER)
    for number in range(limit - 1):
        world.open(number, now=0.0, phase=Phase.SERVING)
        world.budget.enter(world.accounts[number], Phase.IDLE, 1.0)
    world.open("new", now=ADMISSION_GRACE_S, phase=Phase.IDLE)
    world.open("newer", now=ADMISSION_GRACE_S + 0.5, phase=Phase.IDLE)
    assert world.closed == [0, "silent"]


def test_probes_get_in_while_callers_wait_on_all_their_connections(world):
    admitted = [
        world.open(number, phase=Phase.SERVING)
        for number in range(LIMITS.connections + 1)
    ]
    assert False in admitted
    assert world.open("probe", reserved=True)
    assert world.closed == []


def test_jobs_that_are_served_leave_connections_to_other_requests(world):
    """Jobs that wait for a long time could hold all connections."""
    served = 0
    while world.open(served, phase=Phase.SERVING) and world.budget.may_serve():
        served += 1
    assert LIMITS.connections / 2 < served < LIMITS.connections * 7 / 8 - 4
    assert world.counted == ["serving-limit"]
    world.budget.remove(world.accounts[0])
    world.budget.enter(world.accounts[0], Phase.IDLE, 1.0)
    assert world.budget.may_serve()
    world.budget.enter(world.accounts[1], Phase.IDLE, 1.0)
    world.open("next", phase=Phase.SERVING)
    assert world.budget.may_serve()


def test_requests_that_wait_leave_connections_to_others(world):
    """Requests that waited for a silent log held all connections."""
    waiting = 0
    while world.open(waiting, phase=Phase.SERVING) and world.budget.may_wait():
        waiting += 1
    assert LIMITS.connections * 3 / 4 < waiting < LIMITS.connections * 7 / 8 - 2
    assert world.counted == ["serving-limit"]


def test_requests_count_whose_clients_have_left(world):
    assert world.budget.may_wait(LIMITS.connections * 3 / 4)
    assert not world.budget.may_wait(LIMITS.connections)


@pytest.mark.parametrize("phase", TIMEOUTS_S)
def test_a_phase_lasts_no_longer_than_its_timeout(world, phase):
    world.open("slow", now=1.0, phase=phase)
    world.close(world.budget.expire(1.0 + TIMEOUTS_S[phase]))
    assert world.closed == []
    world.close(world.budget.expire(1.1 + TIMEOUTS_S[phase]))
    assert world.closed == ["slow"]


def test_an_idle_connection_that_is_closed_is_no_refusal(world):
    world.open("idle", phase=Phase.IDLE)
    world.close(world.budget.expire(1_000.0))
    assert (world.closed, world.counted) == (["idle"], [])


@pytest.mark.parametrize("memory_mb", [1, 80, 128, 160, 4_096])
@pytest.mark.parametrize("descriptors", [64, 1_024, 1_048_576])
def test_limits_leave_room_for_the_process(memory_mb, descriptors):
    limits = MachineLimits.of(memory_mb * MIB, descriptors)
    assert limits.request_bytes > BODY
    assert limits.connections * CONNECTION_BYTES <= limits.request_bytes / 2
    assert 0 < limits.connections <= descriptors / 2


def test_settings_go_before_resource_limits():
    assert MachineLimits.from_settings(160, 64) == MachineLimits.of(160 * MIB, 64)
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    beyond = MachineLimits.from_settings(10**6, soft + 1)
    assert beyond == MachineLimits.of(10**6 * MIB, soft)
