"""The promises under faults of the platform, by scenarios with real processes."""

import http.client
import json
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count, pairwise
from random import Random

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, step, then, when

from banyanwheel_core.ids import JobId
from tests.standins.caller import job_of
from tests.standins.calls import TIMEOUT_S, call, in_thread
from tests.standins.cluster import (
    CONFIGURATION_STREAM,
    LEAVE_BOUND_S,
    LOG_SERVICE,
    Cluster,
)
from tests.standins.history import (
    ConfigurationInForce,
    ConfigurationPublished,
    ProcessResumed,
    ProcessStarted,
    TaskFinished,
    TaskStarted,
    TaskStopped,
)
from tests.standins.layout import Layout
from tests.standins.process import Process, StandIns

scenarios("platform.feature", "operators.feature", "rolling.feature", "backend.feature")

DEADLINE_MS = 12_000
LOAD_CALLERS = 4
LOAD_TRIES = 30
PAUSE_S = 0.1
FAULT_S = 3
SERVING_TRIES = 30
MIB = 1024 * 1024


class RetainingStandIns(StandIns):
    """Starts the log service so that it keeps records for ``retention_ms``."""

    def __init__(self, directory, retention_ms):
        super().__init__(directory)
        self._retention_ms = retention_ms

    def launch(self, module, **options):
        if module == LOG_SERVICE:
            options["retention_ms"] = self._retention_ms
        return super().launch(module, **options)


class PlatformCluster(Cluster):
    """A cluster whose daemons can be replaced; it remembers what operators heard."""

    def __init__(self, layout, directory, retention_ms=600_000):
        super().__init__(layout, directory)
        self._stand_ins = RetainingStandIns(directory, retention_ms)
        self._records = {}

    def replace(self, name):
        """Stops a daemon gracefully and starts a new one at its addresses."""
        self.terminate(name)
        assert self.wait_ended(name) == 0
        path = self._directory / f"{name}.toml"
        text = path.read_text()
        fixed = f'http = "{self.http(name)}"'
        path.write_text(text.replace('http = "127.0.0.1:0"', fixed))
        self._processes[name].close()
        role = name.partition("-")[0]
        arguments = ["-m", "banyanwheel_daemon", role, "--settings", str(path)]
        process = Process(name, arguments, self._directory / f"{name}.err")
        self._launch(name, process).wait_ready()
        self._history.record(ProcessStarted(process=name))

    def pause_log_service(self):
        """Stops the log service where it is; it is no process of the system."""
        self._processes[LOG_SERVICE].freeze()

    def resume_log_service(self):
        """Lets the log service go on."""
        self._processes[LOG_SERVICE].thaw()

    def wait_ready(self, name):
        """Waits until a daemon says that it takes new work."""
        self.wait_for(lambda: self._ready(name), f"{name} is not ready")

    @property
    def versions(self):
        """All version records seen on the log, by offset, expired ones included."""
        for record in self._log_records(CONFIGURATION_STREAM):
            self._records[record["offset"]] = record["data"]
        return self._records

    @property
    def accepted(self):
        """Documents of the accepted versions by offset, by the rule of the bases."""
        head, documents = -1, {}
        for offset, version in sorted(self.versions.items()):
            if version["base"] == head:
                head = offset
                documents[offset] = version["document"]
        return documents

    def record_versions(self):
        """Notes what became of each version on the log."""
        published = [e for e in self.events if isinstance(e, ConfigurationPublished)]
        known = {event.offset for event in published}
        accepted = self.accepted
        for offset in self.versions:
            if offset not in known:
                self._record_published(offset, offset in accepted)

    @property
    def in_force_everywhere(self):
        """Whether every daemon showed the newest version since its newest start."""
        events = self.events
        offsets = [e.offset for e in events if _is_accepted(e)]
        return all(
            any(
                event.process == name
                and event.offset >= max(offsets, default=-1)
                and event.at > self._since(events, name)
                for event in events
                if isinstance(event, ConfigurationInForce)
            )
            for name in self.daemons
        )

    def _since(self, events, name):
        starts = (e for e in events if isinstance(e, (ProcessStarted, ProcessResumed)))
        return max(event.at for event in starts if event.process == name)


def _is_accepted(event):
    return isinstance(event, ConfigurationPublished) and event.accepted


@dataclass(frozen=True, slots=True)
class Command:
    """A command that changes the configuration, and what its operator was told.

    ``shows(document)`` tells whether a document holds the change.
    """

    text: str
    shows: object
    status: int
    row: dict

    @property
    def outcome(self):
        return self.row.get("outcome", "")


class RepeatingLoad:
    """Callers that hold to one id until it is answered, and retry what was not run."""

    def __init__(self, cluster):
        self.told = []
        self._failures = []
        self._cluster = cluster
        self._entries = dict(cluster.entries)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(LOAD_CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Ends after the jobs in progress are answered; raises what a caller met."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        if self._failures:
            raise self._failures[0]

    def _run(self, number):
        try:
            self._submit_jobs(number)
        except Exception as error:
            self._failures.append(error)

    def _submit_jobs(self, number):
        caller = self._cluster.caller(f"load-{number}")
        for turn in count(number):
            if self._stopped.is_set():
                return
            token = f"load-{number}-{turn}"
            payloads = [{"token": f"{token}-{i}", "run_ms": 50} for i in range(3)]
            job = job_of(payloads, deadline_ms=DEADLINE_MS)
            self.told.append(self._settle(caller, job, turn))

    def _settle(self, caller, job, turn):
        told = None
        for _ in range(LOAD_TRIES):
            job_id = self._issue_id(caller, turn)
            told = self._submit(caller, job, job_id, turn)
            if told.outcome != "not-run":
                break
            self._stopped.wait(PAUSE_S)
        return told

    def _submit(self, caller, job, job_id, turn):
        for attempt in range(LOAD_TRIES):
            told = caller.submit(self._entry(turn + attempt), job, job_id)
            if told.status:
                break
        return told

    def _issue_id(self, caller, turn):
        for attempt in range(LOAD_TRIES):
            try:
                return caller.issue_id(self._entry(turn + attempt))
            except (OSError, http.client.HTTPException):
                time.sleep(PAUSE_S)
        raise TimeoutError("no entry issues ids")

    def _entry(self, turn):
        """The entry whose turn it is, or the next that is ready."""
        names = list(self._entries)
        turned = [names[(turn + step) % len(names)] for step in range(len(names))]
        return next(filter(self._is_ready, turned), turned[0])

    def _is_ready(self, name):
        try:
            return call("GET", self._entries[name], "/ready")[0] == HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False


@dataclass
class World:
    """What the steps of one scenario share."""

    cluster: PlatformCluster
    stack: ExitStack
    job: object = None
    job_id: str = ""
    answers: list = field(default_factory=list)
    commands: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    load: RepeatingLoad | None = None
    tasks: list = field(default_factory=list)
    numbers: object = field(default_factory=lambda: count(2))

    @property
    def told(self):
        """The answers of all submissions in order; waits for them."""
        return [answer() for answer in self.answers]

    @property
    def coordinator(self):
        return JobId.parse(self.job_id).coordinator.name

    def new_job(self, tasks, run_ms, **fields):
        number = next(self.numbers)
        payloads = [
            {"token": f"job-{number}-{index}", "run_ms": run_ms}
            for index in range(tasks)
        ]
        return job_of(payloads, **{"deadline_ms": DEADLINE_MS, **fields})

    def submit(self, entry, job, job_id=None):
        self.job = job
        if job_id is None:
            job_id = self.cluster.caller().issue_id(entry)
        self.job_id = job_id
        caller = self.cluster.caller(f"caller-{len(self.answers)}")
        self.answers.append(caller.submit_later(entry, job, job_id))

    def change(self, entry, text, shows):
        """Runs a command that changes the configuration, and remembers its answer."""
        status, rows = self.cluster.operator(entry).command(text)
        self.commands.append(Command(text, shows, status, rows[0]))
        if status == HTTPStatus.OK:
            self.cluster._record_published(rows[0]["offset"], accepted=True)

    def version(self):
        """Returns a new version as a command, and how to know it."""
        weight = float(next(self.numbers))
        document = {"kinds": {"stock": {"weight": weight}}}
        return f"reconfigure {json.dumps(document)}", _has_weight(weight)

    def drain(self):
        """Returns a drain as a command, and how to know it."""
        name = f"worker-{next(self.numbers)}"
        return f"drain worker {name}", _has_drain(name)

    def events(self, *kinds):
        return [event for event in self.cluster.events if isinstance(event, kinds)]


def _has_weight(weight):
    return lambda d: d.get("kinds", {}).get("stock", {}).get("weight") == weight


def _has_drain(name):
    return lambda d: name in d.get("drains", {}).get("workers", ())


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


def _start(stack, directory, layout, **options):
    cluster = stack.enter_context(PlatformCluster(layout, directory, **options))
    return World(cluster, stack)


@given(
    parsers.parse("a system of {agents:d} agents with {slots:d} slots each"),
    target_fixture="world",
)
def start_system(stack, tmp_path, agents, slots):
    return _start(stack, tmp_path, Layout(agents=agents, slots=slots))


@given(
    parsers.parse(
        "a system of {agents:d} agents with {slots:d} slots each, "
        "with proxies before the agents"
    ),
    target_fixture="world",
)
def start_proxied_system(stack, tmp_path, agents, slots):
    proxied = frozenset(range(1, agents + 1))
    return _start(stack, tmp_path, Layout(agents=agents, slots=slots, proxied=proxied))


@given(
    parsers.parse(
        "a system of {agents:d} agents whose log service keeps records for "
        "{retention_ms:d} ms"
    ),
    target_fixture="world",
)
def start_forgetful_system(stack, tmp_path, agents, retention_ms):
    layout = Layout(
        agents=agents,
        slots=2,
        agent={"announce_lifetime_ms": retention_ms // 2},
        log_service={"retention_ms": retention_ms},
    )
    return _start(stack, tmp_path, layout, retention_ms=retention_ms)


@given(
    parsers.parse(
        "a system of {agents:d} agents whose backend servers announce themselves for "
        "{lifetime_ms:d} ms"
    ),
    target_fixture="world",
)
def start_shortly_announced_system(stack, tmp_path, agents, lifetime_ms):
    layout = Layout(agents=agents, slots=2, server={"lifetime_ms": lifetime_ms})
    return _start(stack, tmp_path, layout)


@given("the configuration of all daemons is watched")
def watch_configuration(world):
    world.cluster.watch_configuration()


@given("callers that repeat by id through the other entry")
def start_load(world):
    world.load = RepeatingLoad(world.cluster)
    world.stack.callback(world.load.stop)


# The log service.


@given(parsers.parse("the log service fails: {failure}"))
def break_log(world, failure):
    if failure == "down":
        world.cluster.set_faults(LOG_SERVICE, down=True)
    elif failure == "frozen":
        world.cluster.pause_log_service()


@step("the log service is back")
def mend_log(world):
    world.cluster.resume_log_service()
    world.cluster.set_faults(LOG_SERVICE)


@given("the log service loses the answer to the next append")
def lose_append_answer(world):
    world.cluster.set_faults(LOG_SERVICE, lose_append_answers=1)


@given(parsers.parse("the log service answers after {delay_ms:d} ms"))
def slow_log(world, delay_ms):
    world.cluster.set_faults(LOG_SERVICE, delay_ms=delay_ms)


@when("the record of the version has expired")
def wait_for_expiry(world):
    offset = world.commands[-1].row["offset"]
    path = f"/streams/{CONFIGURATION_STREAM}/records"
    address = world.cluster._control(LOG_SERVICE)
    world.cluster.wait_for(
        lambda: call("GET", address, path)[1]["first"] > offset, "nothing expires"
    )


@when("the record of the version has expired in the outage")
def sit_out_expiry(world):
    time.sleep(world.cluster.layout.log_service["retention_ms"] / 1_000)


# Operators.


@step(parsers.parse("an operator publishes a version through {entry}"))
def publish(world, entry):
    world.change(entry, *world.version())


@step(parsers.parse("an operator drains a worker through {entry}"))
def drain(world, entry):
    world.change(entry, *world.drain())


@when("two operators publish versions from one base at once")
def publish_at_once(world):
    rows = world.cluster.operator("entry-1").rows("show configuration")
    base = rows[0]["offset"]
    world.cluster.wait_for(
        lambda: (
            world.cluster.operator("entry-2").rows("show configuration")[0]["offset"]
            == base
        ),
        "the entries differ",
    )
    _race(world, [(f"{t} from {base}", s) for t, s in _pair(world.version)])


@when("a drain and a version race")
def race_drain(world):
    _race(world, [world.drain(), world.version()])


def _pair(make):
    return [make(), make()]


def _race(world, commands):
    entries = world.cluster.layout.entry_names
    answers = [
        in_thread(world.change, entry, *command)
        for entry, command in zip(entries, commands, strict=True)
    ]
    for answer in answers:
        answer()


@when(
    parsers.parse(
        "an operator loses the answer to a {what}, and repeats it through {entry}"
    )
)
def repeat_command(world, what, entry):
    text, shows = world.version() if what == "version" else world.drain()
    if what == "version":
        rows = world.cluster.operator("entry-1").rows("show configuration")
        text = f"{text} from {rows[0]['offset']}"
    connection = http.client.HTTPConnection(world.cluster.http("entry-1"))
    connection.request("POST", "/v1/commands", text, {"Content-Type": "text/plain"})
    connection.close()
    world.change(entry, text, shows)


@then("each of the commands took effect once")
def check_effects(world):
    version, drain = world.commands
    documents = list(world.cluster.accepted.values())
    assert len(documents) == 2, documents
    assert version.shows(documents[0]) and drain.shows(documents[1])
    assert version.status in (HTTPStatus.OK, HTTPStatus.CONFLICT), version
    assert drain.status == HTTPStatus.OK, drain


@then(
    parsers.parse(
        "the last {number:d} commands were not accepted, or are of unknown outcome"
    )
)
def check_refused(world, number):
    for command in world.commands[-number:]:
        assert command.status == HTTPStatus.GATEWAY_TIMEOUT, command
        assert command.outcome in ("not-run", "unknown"), command


@then(parsers.parse("a version published through {entry} is accepted again"))
def publish_until_accepted(world, entry):
    """Publishes until the entry has read which version is in force."""

    def accepted():
        publish(world, entry)
        return world.commands[-1].status == HTTPStatus.OK

    world.cluster.wait_for(accepted, "no version is accepted")


@then("the last command is accepted")
def check_last_accepted(world):
    assert world.commands[-1].status == HTTPStatus.OK, world.commands[-1]


@then("of each two one is accepted and the other conflicts")
def check_races(world):
    statuses = [command.status for command in world.commands]
    for pair in zip(statuses[::2], statuses[1::2], strict=True):
        assert sorted(pair) == [HTTPStatus.OK, HTTPStatus.CONFLICT], world.commands


@then("every drain is accepted")
def check_drains(world):
    drains = [c for c in world.commands if c.text.startswith("drain")]
    assert {command.status for command in drains} == {HTTPStatus.OK}, drains


@then("what operators were told is true")
def check_told(world):
    world.cluster.record_versions()
    accepted = world.cluster.accepted
    for command in world.commands:
        holding = [offset for offset, d in accepted.items() if command.shows(d)]
        shown = [command.shows(document) for document in accepted.values()]
        begun = [now for before, now in pairwise([False, *shown]) if now > before]
        assert len(begun) <= 1, command
        if command.status == HTTPStatus.OK:
            assert command.row["offset"] in holding, command
        elif command.outcome == "not-run" and command.status != HTTPStatus.CONFLICT:
            assert holding == [], command
    show_everywhere(world)


@step("the version in force is shown by every daemon")
def show_everywhere(world):
    world.cluster.wait_for(
        lambda: world.cluster.in_force_everywhere, "a version is not in force"
    )


@then("every entry shows the version's document")
def check_documents(world):
    for name in world.cluster.entries:
        rows = world.cluster.operator(name).rows("show configuration")
        weights = [r["value"] for r in rows if r["path"] == "kinds.stock.weight"]
        assert len(weights) == 1, rows
        document = {"kinds": {"stock": {"weight": float(weights[0])}}}
        assert world.commands[-1].shows(document), rows


# Jobs.


@when(
    parsers.re(
        r"a job of (?P<tasks>\d+) tasks of (?P<run_ms>\d+) ms is submitted "
        r"through (?P<entry>entry-\d)$"
    )
)
def submit_job(world, tasks, run_ms, entry):
    world.submit(entry, world.new_job(int(tasks), int(run_ms)))


@when(
    parsers.parse(
        "a job of {tasks:d} tasks of {run_ms:d} ms, declared as {declared_ms:d} ms, "
        "is submitted through {entry}"
    )
)
def submit_misdeclared_job(world, tasks, run_ms, declared_ms, entry):
    job = world.new_job(tasks, run_ms)
    declared = (msgspec.structs.replace(t, declared_ms=declared_ms) for t in job.tasks)
    world.submit(entry, msgspec.structs.replace(job, tasks=tuple(declared)))


@when(
    parsers.parse(
        "{jobs:d} jobs of {tasks:d} tasks of {run_ms:d} ms are submitted "
        "through both entries"
    )
)
def submit_jobs(world, jobs, tasks, run_ms):
    entries = world.cluster.layout.entry_names
    for number in range(jobs):
        world.submit(entries[number % len(entries)], world.new_job(tasks, run_ms))


@when(parsers.parse("the same id is submitted through {entry}"))
def submit_again(world, entry):
    world.submit(entry, world.job, world.job_id)


@when("every job is answered")
def wait_for_answers(world):
    assert all(told.status for told in world.told)


@when(parsers.parse("{number:d} tasks have started"))
def wait_for_starts(world, number):
    world.cluster.wait_for_event(TaskStarted, number, job_id=world.job_id)


@when("the backend servers are idle")
def wait_until_idle(world):
    """Waits until every start has its end, and no start came in the meantime."""

    def idle():
        starts = len(world.events(TaskStarted))
        time.sleep(1)
        ended = len(world.events(TaskFinished, TaskStopped))
        return starts == ended == len(world.events(TaskStarted))

    world.cluster.wait_for(idle, "tasks run on")


@when("the callers have their answers")
def stop_load(world):
    world.load.stop()


@then("every caller has a complete answer")
def check_load(world):
    assert world.load.told, "no caller was answered"
    assert [told for told in world.load.told if not told.complete] == []


@then("every job is complete")
def check_complete(world):
    assert [told for told in world.told if not told.complete] == []


@then("every job is of unknown outcome")
def check_unknown(world):
    assert {told.outcome for told in world.told} == {"unknown"}, world.told


@then(parsers.parse("jobs through {entry} are complete until {server} has run some"))
def serve_until(world, entry, server):
    world.cluster.wait_ready(entry)
    since = max(e.at for e in world.events(ProcessStarted))
    for _ in range(SERVING_TRIES):
        world.submit(entry, world.new_job(6, 100))
        assert world.told[-1].complete, world.told[-1]
        starts = [e for e in world.events(TaskStarted) if e.at > since]
        if any(start.process == server for start in starts):
            return
    raise AssertionError(f"{server} gets no work")


# Processes.


@when("the job's coordinator is replaced")
def replace_coordinator(world):
    replace(world, world.coordinator)


@when("every agent is replaced in turn")
def replace_agents(world):
    for name in world.cluster.layout.agent_names:
        replace(world, name)
        _wait_for_worker(world, name)


@when("every agent is replaced in turn, the job's coordinator first")
def replace_from_coordinator(world):
    first = world.coordinator
    others = [name for name in world.cluster.layout.agent_names if name != first]
    for name in [first, *others]:
        replace(world, name)
        _wait_for_worker(world, name)


@when("every entry is replaced in turn")
def replace_entries(world):
    for name in world.cluster.layout.entry_names:
        replace(world, name)
        world.cluster.wait_ready(name)


@when(parsers.re(r"(?P<name>(agent|entry)-\d) is replaced"))
def replace(world, name):
    world.cluster.replace(name)


def _wait_for_worker(world, name):
    """Waits until the entries see the new agent with its backend server."""

    def sees(entry):
        rows = world.cluster.operator(entry).rows("show workers")
        return any(r["worker"] == name and r["state"] == "serving" for r in rows)

    for entry in world.cluster.entries:
        world.cluster.wait_for(lambda: sees(entry), f"{entry} misses {name}")  # noqa: B023


# Backend servers.


@given("the backend servers close their next connection in place of an answer")
def close_connections(world):
    for number in world.cluster.layout.agent_numbers:
        world.cluster.set_faults(f"server-{number}", close_instead_of_answer=1)


@when(parsers.parse("{server} has started tasks"))
def wait_for_server(world, server):
    world.cluster.wait_for_event(TaskStarted, process=server)


@when(parsers.parse("{server} says that it leaves"))
def leave(world, server):
    world.cluster.leave(server)


@when("the load goes on past the bound")
def go_on(world):
    time.sleep(LEAVE_BOUND_S + 1)


@when(parsers.parse("{server} falls silent"))
def fall_silent(world, server):
    world.cluster.freeze(server)
    agent = server.replace("server", "agent")

    def forgotten():
        rows = world.cluster.operator("entry-1").rows("show workers")
        return all(r["state"] != "serving" for r in rows if r["worker"] == agent)

    world.cluster.wait_for(forgotten, f"{agent} holds on to {server}")


@when(parsers.parse("{server} speaks again"))
def speak_again(world, server):
    world.cluster.thaw(server)


@when("an agent that is not the coordinator is frozen until a lease has lapsed")
def freeze_agent(world):
    servers = {e.process for e in world.events(TaskStarted)}
    own = world.coordinator.replace("agent", "server")
    server = min(servers - {own})
    agent = server.replace("server", "agent")
    world.cluster.freeze(agent)
    world.cluster.wait_for_event(TaskStopped, process=server, reason="lease-lapsed")
    world.cluster.thaw(agent)


class _WrongServer(BaseHTTPRequestHandler):
    """Answers each task as ``answer`` says, and notes which tasks it was sent."""

    protocol_version = "HTTP/1.1"
    answer = ""
    tasks = ()

    def do_PUT(self):
        """Says that a lease is gone."""
        self._send(HTTPStatus.GONE, b"", 0)

    def do_DELETE(self):
        """Takes a stop without doing anything."""
        self._send(HTTPStatus.NO_CONTENT, b"", 0)

    def do_POST(self):
        """Takes a task."""
        self.rfile.read(int(self.headers["Content-Length"]))
        self.tasks.append(self.path)
        body = json.dumps({"path": self.path}).encode()
        match self.answer:
            case "half of the declared length":
                self._send(HTTPStatus.OK, body, 2 * len(body))
            case "a length that cuts its JSON":
                self._send(HTTPStatus.OK, body * 2, len(body) // 2)
            case "more than an agent takes":
                body = json.dumps("x" * MIB).encode()
                self._send(HTTPStatus.OK, body, len(body))
            case "late, after its lease has lapsed":
                time.sleep(FAULT_S)
                self._send(HTTPStatus.OK, body, len(body))
        self.close_connection = True

    def log_message(self, *arguments):
        """Logs nothing."""

    def _send(self, status, body, length):
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(length))
        self.end_headers()
        self.wfile.write(body)


@given(parsers.parse("a backend server in place of each, that answers {answer}"))
def start_wrong_servers(world, answer):
    for number in world.cluster.layout.agent_numbers:
        world.cluster.kill(f"server-{number}")
        members = {"answer": answer, "tasks": world.tasks}
        handler = type("Handler", (_WrongServer,), members)
        server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        server.daemon_threads = True
        world.stack.callback(server.server_close)
        world.stack.callback(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        host, port = server.server_address
        announcement = {
            "address": f"{host}:{port}",
            "services": ["counter"],
            "slots": 2,
            "lifetime_ms": TIMEOUT_S * 1_000,
        }
        agent = world.cluster.http(f"agent-{number}")
        headers = {"Content_Type": "application/json"}
        status, _ = call("PUT", agent, "/v1/backend", announcement, **headers)
        assert status == HTTPStatus.OK


@then("each task reached a backend server once")
def check_reached(world):
    assert world.tasks == [f"/tasks/{world.job_id}/0"]


# Cancellations.


@when(
    parsers.parse(
        "{jobs:d} jobs are submitted and cancelled in a wave of seed {seed:d}"
    )
)
def cancel_in_a_wave(world, jobs, seed):
    random = Random(seed)
    entries = world.cluster.layout.entry_names
    waiting = []
    for _ in range(jobs):
        world.submit(random.choice(entries), world.new_job(3, 200))
        waiting.append(world.job_id)
    random.shuffle(waiting)
    pending = [
        in_thread(_cancel, world, random.choice(entries), job_id)
        for job_id in waiting[: jobs // 2]
    ]
    time.sleep(random.uniform(0.1, 0.5))
    rows = world.cluster.operator("entry-1").rows("cancel jobs where tasks = 3")
    world.cancelled += [r["job"] for r in rows if r["result"] == "cancelled, not run"]
    for answer in pending:
        answer()


def _cancel(world, entry, job_id):
    _, answer = call("DELETE", world.cluster.http(entry), f"/v1/jobs/{job_id}")
    if answer.get("reason") == "cancelled" and answer["outcome"] == "not-run":
        world.cancelled.append(job_id)


@then('"cancelled, not run" was said only where nothing started')
def check_cancelled(world):
    started = {start.job_id for start in world.events(TaskStarted)}
    assert world.cancelled, "no job was cancelled before it started"
    assert started.isdisjoint(world.cancelled)


# Two faults at once.


def _faults(cluster):
    """The faults to draw from, each with how it is mended."""
    agents = cluster.layout.agent_numbers

    def on_each(kind, **faults):
        for number in agents:
            cluster.set_faults(f"{kind}-{number}", **faults)

    return [
        (lambda: cluster.kill("agent-1"), None),
        (lambda: cluster.freeze("agent-2"), lambda: cluster.thaw("agent-2")),
        (
            lambda: cluster.set_faults(LOG_SERVICE, down=True),
            lambda: cluster.set_faults(LOG_SERVICE),
        ),
        (lambda: [cluster.freeze_connections(f"proxy-{n}") for n in agents], None),
        (lambda: on_each("server", close_instead_of_answer=2), None),
        (lambda: on_each("server", slow_factor=10), lambda: on_each("server")),
        (lambda: on_each("proxy", lose_answers=2), None),
        (
            lambda: cluster.set_faults("proxy-3", drop_to_client=True),
            lambda: cluster.set_faults("proxy-3"),
        ),
        (lambda: cluster.leave("server-4"), None),
        (lambda: cluster.terminate("entry-1"), None),
    ]


@when(parsers.parse("two faults of seed {seed:d} come at once"), target_fixture="mends")
def bring_about_faults(world, seed):
    time.sleep(1)
    drawn = Random(seed).sample(_faults(world.cluster), 2)
    for bring_about, _ in drawn:
        bring_about()
    time.sleep(FAULT_S)
    return [mend for _, mend in drawn if mend]


@when("the faults are mended")
def mend_faults(mends):
    for mend in mends:
        mend()
    time.sleep(FAULT_S)


@then("every promise is kept")
def check_promises(world):
    assert [str(finding) for finding in world.cluster.findings()] == []
