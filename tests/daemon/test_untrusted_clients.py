"""What crowds of untrusted clients can't do to a process.

The crowds and the bounds are fixed: they are those with which the tests were seen to
fail before there were any limits. Each test has processes of its own.
"""

import json
from contextlib import ExitStack

import pytest

from tests.standins.calls import in_thread
from tests.standins.cluster import Cluster
from tests.standins.crowds import (
    ATTACKS,
    MANY_CONNECTIONS,
    MANY_TASKS,
    MAX_BODY_BYTES,
    MIXED,
    SERVERS,
    WAITING,
    Crowd,
    call_until,
    exchange,
    usage,
)
from tests.standins.history import TaskStarted
from tests.standins.layout import Layout

MEMORY_MB = 80
MAX_DESCRIPTORS = 128
LIMITS = f"memory_mb = {MEMORY_MB}\nmax_descriptors = {MAX_DESCRIPTORS}\n"
LAYOUT = Layout(dispatchers=1, runners=1, data_centres=1, process=LIMITS)
SERVED = 200
ANSWERED = {SERVED, 503}
GATEWAYS = ("callers", "operators")  # servers that take jobs
CROWDS = [
    (name, attack)
    for name in SERVERS
    for attack in ATTACKS
    if name in GATEWAYS or attack not in ("whole-stored", "whole-waiting")
]
MORE_DESCRIPTORS = 512
MANY = Layout(
    dispatchers=1,
    runners=1,
    data_centres=1,
    process=f"memory_mb = {MEMORY_MB}\nmax_descriptors = {MORE_DESCRIPTORS}\n",
)
TOO_LARGE = b"HTTP/1.1 413 "
RUN_MS = 3_000


@pytest.fixture
def cluster(tmp_path):
    with Cluster(LAYOUT, tmp_path) as cluster:
        yield cluster


@pytest.mark.parametrize(("name", "attack"), CROWDS)
def test_a_crowd_leaves_the_process_within_its_limits(cluster, name, attack):
    """Such crowds ended a process: it ran out of memory or descriptors."""
    check_limits(cluster, SERVERS[name], ATTACKS[attack], MAX_DESCRIPTORS)


@pytest.mark.parametrize("attack", MANY_CONNECTIONS)
@pytest.mark.parametrize("name", SERVERS)
def test_many_connections_leave_the_process_within_its_limits(tmp_path, name, attack):
    """Where descriptors are plentiful, memory decides how many are admitted."""
    with Cluster(MANY, tmp_path) as cluster:
        check_limits(cluster, SERVERS[name], MANY_CONNECTIONS[attack], MORE_DESCRIPTORS)


def check_limits(cluster, server, attack, max_descriptors):
    """Checks a process and an ordinary request, beside a crowd and after it."""
    address = cluster.address(server.daemon, server.name)
    pid = cluster.pid(server.daemon)
    with Crowd(server, address) as crowd:
        crowd.send(attack)
        # A readiness probe may be told 503: that is an answer.
        with_crowd = call_until(server, address, ANSWERED)
        peak_mb, descriptors = usage(pid)
    afterwards = call_until(server, address, {SERVED})
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert cluster.running(server.daemon)
    assert with_crowd in ANSWERED
    assert afterwards == SERVED
    assert peak_mb < MEMORY_MB
    assert descriptors <= max_descriptors


@pytest.mark.parametrize("attack", WAITING)
@pytest.mark.parametrize("name", GATEWAYS)
def test_requests_that_wait_leave_the_process_within_its_limits(tmp_path, name, attack):
    """They wait for the log, for as long as their clients ask."""
    server = SERVERS[name]
    with Cluster(MANY, tmp_path) as cluster:
        call_until(server, cluster.address(server.daemon, server.name), {SERVED})
        cluster.freeze("log")
        try:
            check_limits(cluster, server, WAITING[attack], MORE_DESCRIPTORS)
        finally:
            cluster.thaw("log")


@pytest.mark.parametrize("daemon", ["dispatcher-1", "runner-1"])
def test_all_crowds_at_once_leave_the_process_within_its_limits(tmp_path, daemon):
    """The limits hold for all servers of a process together."""
    servers = [server for server in SERVERS.values() if server.daemon == daemon]
    with Cluster(MANY, tmp_path) as cluster, ExitStack() as crowds:
        sent = []
        for server in servers:
            crowd = crowds.enter_context(
                Crowd(server, cluster.address(daemon, server.name))
            )
            sent.append(in_thread(crowd.send, MIXED))
        for result in sent:
            result()
        for server in servers:
            check_limits(cluster, server, MIXED, MORE_DESCRIPTORS)


@pytest.fixture(scope="module")
def calm(tmp_path_factory):
    """A cluster for tests without crowds."""
    with Cluster(LAYOUT, tmp_path_factory.mktemp("calm")) as cluster:
        yield cluster


def job_of(run_ms, **others):
    """Returns the body of a transient job of one task."""
    step = {"count": 1, "cpu": 1_000, "estimateMs": run_ms}
    spec = json.dumps({"run_ms": run_ms})
    body = {"bestEffort": True, "spec": spec, "steps": [step]}
    return json.dumps(body | others).encode()


@pytest.mark.parametrize("name", SERVERS)
@pytest.mark.parametrize("chunked", [False, True], ids=["announced", "sent"])
def test_a_body_over_the_limit_gets_an_answer_that_its_client_can_read(
    calm, name, chunked
):
    """A connection closed with unread bytes is reset, and the answer is lost."""
    server = SERVERS[name]
    body = b" " * (4 * MAX_BODY_BYTES)
    framing = "Content-Length: 50000000"
    if chunked:
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    pieces = server.head(1, framing), body
    address = calm.address(server.daemon, server.name)
    assert exchange(address, pieces, last=b"\r\n\r\n").startswith(TOO_LARGE)


@pytest.mark.parametrize("size", [1, 1_024])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_legal_client_may_send_in_small_pieces(calm, chunked, size):
    """Limits on unfinished requests must not hit a slow client in calm."""
    server = SERVERS["callers"]
    body = job_of(1).ljust(MAX_BODY_BYTES)
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    if chunked:
        parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
        parts.append(b"0\r\n\r\n")
        framing = "Transfer-Encoding: chunked"
    else:
        framing = f"Content-Length: {len(body)}"
    number = size + 10_000 * chunked
    head = server.head(number, framing, "Request-Deadline-Ms: 60000")
    address = calm.address(server.daemon, server.name)
    answer = exchange(address, [head, *parts], last=b"}")
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"completed" in answer


def test_a_header_of_the_largest_size_is_served(calm):
    server = SERVERS["callers"]
    head = server.head(0, "X-Long: ").replace(b"POST", b"GET", 1)
    padded = head.replace(b"X-Long: ", b"X-Long: " + b"x" * (16_384 - len(head)))
    address = calm.address(server.daemon, server.name)
    assert exchange(address, [padded], last=b"}").startswith(b"HTTP/1.1 410 ")


def test_requests_of_one_connection_are_answered_in_turn(calm):
    """Keep-alive and pipelining."""
    server = SERVERS["callers"]
    body = job_of(20)
    job = server.head(77, f"Content-Length: {len(body)}") + body
    count = b"GET /counter/ HTTP/1.1\r\nHost: desk.example\r\n\r\n"
    nothing = count.replace(b"/counter/", b"/nothing/")
    address = calm.address(server.daemon, server.name)
    answers = exchange(address, [count + job + nothing], last=b"404 ")
    codes = [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]]
    assert codes == [b"200", b"200", b"404"]


def test_a_caller_whose_job_runs_keeps_its_connection(cluster):
    """Its request has run in part: without the answer it would not know."""
    server = SERVERS["callers"]
    address = cluster.address(server.daemon, server.name)
    body = job_of(RUN_MS)
    lines = f"Content-Length: {len(body)}", "Request-Deadline-Ms: 60000"
    result = in_thread(exchange, address, [server.head(99, *lines), body], b"}")
    cluster.wait_for_event(TaskStarted)
    with Crowd(server, address) as crowd:
        crowd.send(ATTACKS["short-of-the-end"])
        answer = result()
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"completed" in answer


def test_a_job_that_is_refused_for_memory_never_runs(cluster):
    """A refusal promises that, and names a time."""
    server = SERVERS["callers"]
    address = cluster.address(server.daemon, server.name)
    body = json.dumps({"bestEffort": True, "steps": [MANY_TASKS]}).encode()
    lines = f"Content-Length: {len(body)}", "Request-Deadline-Ms: 60000"
    jobs = [server.head(number, *lines) + body for number in (1, 2)]
    first = in_thread(exchange, address, jobs[:1], b"}")
    cluster.wait_for_event(TaskStarted)
    refusal = exchange(address, jobs[1:], last=b"}")
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: " in refusal
    cluster.caller().cancel(server.daemon, f"{1:016x}")
    assert b"canceled" in first()
    started = [event.task for event in cluster.events if isinstance(event, TaskStarted)]
    assert not [task for task in started if task.startswith(f"{2:016x}")]
