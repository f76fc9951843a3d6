"""A whole system of real processes on this machine, and its history."""

import json
import tempfile
import time
from pathlib import Path

from .caller import Caller
from .calls import call
from .checker import check
from .history import (
    ConfigurationInForce,
    ConfigurationPublished,
    History,
    ProcessEnded,
    ProcessPaused,
    ProcessResumed,
    ProcessStarted,
    StopRequested,
    read_history,
)
from .layout import Layout, Ports, write_settings
from .operator import Operator
from .process import Process, StandIns
from .watcher import ConfigurationWatcher

__all__ = ["Cluster"]

LEAVE_BOUND_S = 5
CONFIGURATION_BOUND_S = 12
WAIT_TIMEOUT_S = 30
POLL_S = 0.05
LOG_SERVICE = "log_service"
MEMBERS_STREAM = "members"
CONFIGURATION_STREAM = "configuration"


class Cluster:
    """Starts a log service, entries, agents and backend servers; stops them all.

    Entries are named ``entry-1`` and on, agents ``agent-1`` and on; the backend
    server beside ``agent-1`` is ``server-1``, a proxy before it ``proxy-1``, and the
    log service ``log_service``.
    """

    def __init__(self, layout=None, directory=None):
        self.layout = layout or Layout()
        self._temporary = None if directory else tempfile.TemporaryDirectory()
        self._directory = Path(directory or self._temporary.name)
        self._history = History(self._directory / "harness.history")
        self._stand_ins = StandIns(self._directory)
        self._processes = {}
        self._settings = {}
        self._ports = Ports()
        self._watcher = None

    @property
    def entries(self):
        """Names of the entries with their HTTP addresses."""
        return {name: self.http(name) for name in self.layout.entry_names}

    @property
    def daemons(self):
        """Names of all entries and agents."""
        return self.layout.entry_names + self.layout.agent_names

    @property
    def events(self):
        """The history of all processes so far."""
        return read_history(*sorted(self._directory.glob("*.history")))

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error):
        self.close()

    def close(self):
        """Stops every process that was started."""
        if self._watcher is not None:
            self._watcher.stop()
        for process in self._processes.values():
            process.ask_to_stop()
        for process in self._processes.values():
            process.close()
        self._ports.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    def kill_daemons(self):
        """Ends all daemons at once, so that :meth:`close` waits for no handover."""
        for name in self.daemons:
            self._processes[name].kill()

    def http(self, name):
        """The HTTP address of a daemon."""
        return self._processes[name].ready["http"]

    def pid(self, name):
        """The process id of a process."""
        return self._processes[name].pid

    def running(self, name):
        """Whether a process has not ended."""
        return self._processes[name].running

    def caller(self, name="caller"):
        """Returns a caller whose sendings the history tells apart by its name."""
        return Caller(self.entries, self._history, name)

    def operator(self, entry):
        """Returns an operator who commands through an entry."""
        return Operator(self.entries[entry])

    # Faults.

    def kill(self, name):
        """Ends a process at once."""
        self._history.record(ProcessEnded(process=name))
        self._processes[name].kill()

    def replace(self, name):
        """Kills an agent and starts it again under its name and addresses."""
        self.kill(name)
        self.start_again(name)

    def start_again(self, name):
        """Starts a daemon that has ended, under its name and addresses."""
        self._processes[name].close()
        self._launch_daemon(name)
        self._wait_ready(name)

    def freeze(self, name):
        """Stops a process where it is."""
        self._history.record(ProcessPaused(process=name))
        self._processes[name].freeze()

    def thaw(self, name):
        """Lets a frozen process go on."""
        self._processes[name].thaw()
        self._history.record(ProcessResumed(process=name))

    def terminate(self, name):
        """Asks a process to stop gracefully."""
        self._history.record(StopRequested(process=name))
        self._processes[name].terminate()

    def wait_ended(self, name):
        """Returns the exit status of a process, or None if it does not end."""
        status = self._processes[name].wait()
        if status is not None:
            self._history.record(ProcessEnded(process=name))
        return status

    def set_faults(self, name, **faults):
        """Puts faults in force at the log service, a backend server or a proxy."""
        status, answer = call("PUT", self._control(name), "/faults", faults)
        if status != 200:
            raise ValueError(f"{name}: {answer}")

    def freeze_connections(self, name):
        """Freezes the present connections of a proxy for good."""
        call("POST", self._control(name), "/freeze")

    def leave(self, name):
        """Has a backend server say that it is leaving."""
        call("PUT", self._control(name), "/leave")

    # Configuration.

    def watch_configuration(self):
        """Records from now on which version each daemon shows as in force."""
        addresses = {name: self.http(name) for name in self.daemons}
        self._watcher = ConfigurationWatcher(addresses, self._history)
        self._watcher.start()

    def publish(self, entry, document, base=None):
        """Publishes a configuration through an entry.

        It is made from the version at the offset ``base``, or else from the one in
        force at the entry. Returns the HTTP status and the row or problem.
        """
        status, answer = self.operator(entry).publish(document, base)
        if status == 200:
            self._record_published(answer["offset"], accepted=True)
        return status, answer

    def record_versions(self):
        """Notes as rejected the versions on the log that no publisher was promised."""
        events = self.events
        known = {e.offset for e in events if isinstance(e, ConfigurationPublished)}
        for record in self._log_records(CONFIGURATION_STREAM):
            if record["offset"] not in known:
                self._record_published(record["offset"], accepted=False)

    def shows_everywhere(self, offset):
        """Whether every daemon was last seen with this version or a later one."""
        shown = dict.fromkeys(self.daemons, -1)
        for event in self.events:
            match event:
                case ProcessStarted(process=name):
                    shown[name] = -1
                case ConfigurationInForce(process=name):
                    shown[name] = event.offset
        return min(shown.values()) >= offset

    # Checks.

    def findings(self):
        """Returns the broken promises of the history so far."""
        return check(self.events, LEAVE_BOUND_S, CONFIGURATION_BOUND_S)

    def wait_for(self, condition, what):
        """Waits until ``condition()`` is true; raises TimeoutError naming ``what``."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{what}; {self._errors()}")
            time.sleep(POLL_S)

    def wait_for_event(self, kind, count=1, **fields):
        """Waits until ``count`` events have these fields and returns them."""
        found = []

        def look():
            found[:] = [event for event in self.events if _matches(event, kind, fields)]
            return len(found) >= count

        self.wait_for(look, f"no {count} events {kind.__name__} with {fields}")
        return found

    # Starting.

    def _start(self):
        self._launch(LOG_SERVICE, self._stand_ins.launch(LOG_SERVICE)).wait_ready()
        peers = {name: self._ports.reserve() for name in self.layout.entry_names}
        for name, address in peers.items():
            self._configure(name, peers, address=address)
        for number in self.layout.agent_numbers:
            self._configure_agent(number, peers)
        for name in self.daemons:
            self._launch_daemon(name)
        for name in self.daemons:
            self._wait_ready(name)
        servers = [self._launch_server(number) for number in self.layout.agent_numbers]
        for server in servers:
            server.wait_ready()
        self.wait_for(self._is_whole, "the entries do not know all agents")

    def _launch(self, name, process):
        self._processes[name] = process
        return process

    def _configure_agent(self, number, peers):
        listener = {"http": self._ports.reserve(), "address": self._ports.reserve()}
        if number in self.layout.proxied:
            name = f"proxy-{number}"
            proxy = self._stand_ins.launch("proxy", to=listener["address"])
            self._launch(name, proxy).wait_ready()
            listener["advertise"] = proxy.ready["address"]
        self._configure(f"agent-{number}", peers, **listener)

    def _configure(self, name, peers, **listener):
        log_service = self._processes[LOG_SERVICE].ready["address"]
        self._settings[name] = write_settings(
            self._directory, name, self.layout, log_service, peers.values(), listener
        )

    def _launch_daemon(self, name):
        role = name.partition("-")[0]
        settings = str(self._settings[name])
        arguments = ["-m", "banyanwheel_daemon", role, "--settings", settings]
        process = Process(name, arguments, self._directory / f"{name}.err")
        return self._launch(name, process)

    def _wait_ready(self, name):
        self._processes[name].wait_ready()
        self._history.record(ProcessStarted(process=name))

    def _launch_server(self, number):
        name = f"server-{number}"
        options = {
            "name": name,
            "agent": self.http(f"agent-{number}"),
            "history": self._directory / f"{name}.history",
            "slots": self.layout.slots,
            **self.layout.server,
        }
        server = self._stand_ins.launch("backend_server", **options)
        return self._launch(name, server)

    def _is_whole(self):
        """Whether all agents are on the log with their services, and entries ready."""
        records = [record["data"] for record in self._log_records(MEMBERS_STREAM)]
        offering = {record["name"] for record in records if record["services"]}
        return len(offering) == self.layout.agents and all(
            map(self._ready, self.daemons)
        )

    def _log_records(self, stream):
        path = f"/streams/{stream}/records?from=0"
        return call("GET", self._control(LOG_SERVICE), path)[1]["records"]

    def _record_published(self, offset, accepted):
        event = ConfigurationPublished(
            process="operator", offset=offset, accepted=accepted
        )
        self._history.record(event)

    def _ready(self, name):
        return call("GET", self.http(name), "/ready")[0] == 200

    def _control(self, name):
        ready = self._processes[name].ready
        return ready.get("control", ready["address"])

    def _errors(self):
        texts = {p.name: p.errors() for p in self._processes.values()}
        texts |= {name: self._faults_logged(name) for name in self.daemons}
        return "; ".join(f"{name}: {text}" for name, text in texts.items() if text)

    def _faults_logged(self, name):
        """The distinct faults in a daemon's log."""
        path = self._directory / f"{name}.log"
        lines = path.read_text().splitlines() if path.exists() else ()
        faults = {json.loads(line).get("fault") for line in lines}
        return ", ".join(sorted(faults - {None}))


def _matches(event, kind, fields):
    if not isinstance(event, kind):
        return False
    return all(getattr(event, name) == value for name, value in fields.items())
