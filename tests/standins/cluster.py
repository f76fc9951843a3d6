"""A whole system of real processes on this machine, and its history."""

import asyncio
import json
import tempfile
import time
import urllib.request
from pathlib import Path

from banyanwheel_client.errors import ClientError
from banyanwheel_client.publisher import Publisher
from banyanwheel_core.documents import ConfigurationDocument
from banyanwheel_daemon.service import SETTINGS_VARIABLE

from .caller import HOST, PREFIX, Caller
from .calls import call
from .checker import check
from .history import (
    ConfigurationPublished,
    History,
    ProcessEnded,
    ProcessPaused,
    ProcessResumed,
    ProcessStarted,
    StopRequested,
    read_history,
)
from .layout import Layout, Ports, dispatcher_settings, runner_settings
from .process import Process, StandIns
from .watcher import ConfigurationWatcher

__all__ = ["Cluster", "command"]

LEAVE_BOUND_S = 2.0  # `drainMs` of the users' sheets
CONFIGURATION_BOUND_S = 12
WAIT_TIMEOUT_S = 30
POLL_S = 0.05
LOG = "log"
FIRST_CONFIGURATION = {
    "queues": [
        {
            "name": "counter",
            "host": HOST,
            "prefix": PREFIX,
            "service": "desk",
            "max_attempts": 3,
            "slack_factor": 1.6,
            "target_ms": 4_000,
        }
    ]
}


class Cluster:
    """Starts a log, dispatchers, runners and workers; stops them all.

    Dispatchers are named ``dispatcher-1`` and on, runners ``runner-1`` and on; the
    worker beside ``runner-1`` is ``worker-1``, a proxy before it ``proxy-1``, and the
    log ``log``.
    """

    def __init__(self, layout=None, directory=None):
        self.layout = layout or Layout()
        self._temporary = None if directory else tempfile.TemporaryDirectory()
        self._directory = Path(directory or self._temporary.name)
        self._history = History(self._directory / "harness.history")
        self._stand_ins = StandIns(self._directory)
        self._processes = {}
        self._addresses = {}
        self._ports = Ports()
        self._watcher = None

    @property
    def daemons(self):
        """Names of all dispatchers and runners."""
        return self.layout.dispatcher_names + self.layout.runner_names

    @property
    def events(self):
        """The history of all processes so far."""
        return read_history(*sorted(self._directory.glob("*.history")))

    @property
    def log(self):
        """The address of the log."""
        return self._processes[LOG].ready["address"]

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
        """Ends every process that was started."""
        if self._watcher is not None:
            self._watcher.stop()
        for name in self.daemons:
            if name in self._processes:
                self._processes[name].kill()
        for process in self._processes.values():
            process.ask_to_stop()
        for process in self._processes.values():
            process.close()
        self._ports.close()
        self._history.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    def operators_url(self, name):
        """The URL of a daemon's interface for operators."""
        return f"http://{self._addresses[name]['operators']}"

    def ready_address(self, name):
        """Where a dispatcher tells the balancer whether it is ready."""
        return self._addresses[name]["ready"]

    def address(self, name, server):
        """Where a server of a daemon listens, by its name among the addresses."""
        return self._addresses[name][server]

    def running(self, name):
        """Whether a process has not ended."""
        return self._processes[name].running

    def pid(self, name):
        """The process id of a process."""
        return self._processes[name].pid

    def caller(self, name="caller", **options):
        """Returns a caller whose sendings the history tells apart by its name."""
        addresses = {
            name: self._addresses[name]["callers"]
            for name in self.layout.dispatcher_names
        }
        return Caller(addresses, self._history, name, **options)

    def lines(self, name):
        """Returns a daemon's log lines."""
        text = (self._directory / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line]

    def log_file(self, name):
        """The path of a daemon's log."""
        return self._directory / f"{name}.log"

    # Faults

    def kill(self, name):
        """Ends a process at once."""
        self._processes[name].kill()
        self._history.record(ProcessEnded(process=name))

    def kill_together(self, names):
        """Ends processes at the same moment."""
        for name in names:
            self._processes[name].send_kill()
        for name in names:
            self.kill(name)

    def start_together(self, names):
        """Starts daemons that have ended, under their names and addresses."""
        for name in names:
            self.start_again(name)

    def replace(self, name):
        """Kills a daemon and starts it again under its name and addresses."""
        self.kill(name)
        self.start_again(name)

    def start_again(self, name):
        """Starts a daemon that has ended, under its name and addresses."""
        self._processes[name].close()
        self._launch_daemon(name)

    def replace_worker(self, name, first_heartbeat_ms):
        """Kills a worker and starts it again under its id and address.

        Returns when it listens; its first heartbeat comes later.
        """
        self.kill(name)
        self.start_worker_again(name, first_heartbeat_ms)

    def start_worker_again(self, name, first_heartbeat_ms):
        """Starts a worker that has ended; returns when it listens."""
        self._processes[name].close()
        runner = name.replace("worker", "runner")
        self._launch_worker(runner, first_heartbeat_ms).wait_ready()

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
        """Puts faults in force at the log, a worker or a proxy."""
        status, answer = call("PUT", self._control(name), "/faults", faults)
        if status != 200:
            raise ValueError(f"{name}: {answer}")

    def disturb_log(self, what):
        """Has the log ``forget`` or ``rebalance``."""
        call("POST", self.log, f"/{what}")

    def freeze_connections(self, name):
        """Freezes the present connections of a proxy for good."""
        call("POST", self._control(name), "/freeze")

    def deliver_leave(self, name):
        """Delivers the message that a worker has left to its runner, as a late one."""
        address = self._addresses[name.replace("worker", "runner")]["heartbeats"]
        call("DELETE", address, f"/instances/i-{name}")

    def deliver_foreign_heartbeat(self, name):
        """Delivers a heartbeat of a writer that is no worker to a runner."""
        beat = {
            "service": "unnamed",
            "address": "127.0.0.1:1",
            "state": "ready",
            "seq": 1,
            "capacity": {"cpu": 4_000, "memMb": 4_096, "gpu": 0},
            "born": round(time.time() * 1000) + 60_000,
        }
        address = self._addresses[name]["heartbeats"]
        call("PUT", address, "/instances/i-other", beat)

    def leave(self, name):
        """Has a worker say that it is leaving."""
        call("PUT", self._control(name), "/leave")

    # Configuration

    def watch_configuration(self):
        """Records from now on which version each dispatcher shows as in force."""
        addresses = {
            name: self._addresses[name]["operators"]
            for name in self.layout.dispatcher_names
        }
        self._watcher = ConfigurationWatcher(addresses, self._history)
        self._watcher.start()

    def publish(self, **changes):
        """Publishes a configuration as an operator; returns its version or the error.

        ``changes`` are those of the one queue.
        """
        (queue,) = FIRST_CONFIGURATION["queues"]
        document = ConfigurationDocument.from_json(
            json.dumps({"queues": [queue | changes]}).encode()
        )
        try:
            version = asyncio.run(Publisher.from_address(self.log).publish(document))
        except ClientError as error:
            return error
        self._history.record(
            ConfigurationPublished(process="operator", version=version)
        )
        return version

    # Checks

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

    def wait_ready(self):
        """Waits until every dispatcher is ready and has every worker."""
        for name in self.layout.dispatcher_names:
            self.wait_for(lambda name=name: self._is_whole(name), f"{name}: not ready")

    # Starting

    def _start(self):
        self._launch(LOG, self._stand_ins.launch("platform_log")).wait_ready()
        self.publish()
        for name in self.layout.dispatcher_names:
            self._addresses[name] = self._reserve("callers", "ready")
            self._configure(name, dispatcher_settings)
        for name in self.layout.runner_names:
            self._configure_runner(name)
        for name in self.daemons:
            self._launch_daemon(name)
        workers = [self._launch_worker(name) for name in self.layout.runner_names]
        for worker in workers:
            worker.wait_ready()
        self.wait_ready()

    def _reserve(self, *names):
        return {
            name: self._ports.reserve() for name in ("address", "operators", *names)
        }

    def _launch(self, name, process):
        self._processes[name] = process
        return process

    def _configure_runner(self, name):
        addresses = self._addresses[name] = self._reserve("heartbeats", "worker")
        if self.layout.proxied:
            proxy_name = name.replace("runner", "proxy")
            proxy = self._stand_ins.launch(
                "proxy", to=addresses["address"], label=proxy_name
            )
            self._launch(proxy_name, proxy).wait_ready()
            addresses["advertise"] = proxy.ready["address"]
        self._configure(name, runner_settings)

    def _configure(self, name, write):
        data_centre = self.layout.data_centre(name)
        text = write(name, data_centre, self._addresses[name], self.log)
        text = text.replace("[process]\n", f"[process]\n{self.layout.process}")
        path = self._directory / f"{name}.toml"
        path.write_text(text + self.layout.extra_settings)

    def _launch_daemon(self, name):
        with self.log_file(name).open("ab") as output:
            process = Process(
                name,
                ["-m", "banyanwheel_daemon.service"],
                self._directory / f"{name}.err",
                output=output,
                variables={SETTINGS_VARIABLE: str(self._directory / f"{name}.toml")},
            )
        self._history.record(ProcessStarted(process=name))
        return self._launch(name, process)

    def _launch_worker(self, runner, first_heartbeat_ms=0):
        name = runner.replace("runner", "worker")
        number = int(name.rpartition("-")[2]) - 1
        cpus, labels = self.layout.worker_cpu, self.layout.worker_labels
        worker = self._stand_ins.launch(
            "platform_worker",
            name=name,
            runner=self._addresses[runner]["heartbeats"],
            history=self._directory / f"{name}.history",
            task_ms=self.layout.task_ms,
            listen=self._addresses[runner]["worker"],
            first_heartbeat_ms=first_heartbeat_ms,
            cpu=cpus[number % len(cpus)],
            label=labels[number % len(labels)],
        )
        return self._launch(name, worker)

    def _is_whole(self, name):
        """Whether a dispatcher is ready and knows all workers, as open or evacuated."""
        try:
            if call("GET", self.ready_address(name), "/ready")[0] != 200:
                return False
            url = self._addresses[name]["operators"]
            rows = command(
                url, "show workers where accepting = true or evacuated = true"
            )
        except OSError:
            return False
        return len(rows) == self.layout.runners

    def _control(self, name):
        ready = self._processes[name].ready
        return ready.get("control", ready["address"])

    def _errors(self):
        texts = {p.name: p.errors() for p in self._processes.values()}
        return "; ".join(f"{name}: {text}" for name, text in texts.items() if text)


def command(address, text):
    """Runs an operator's command at a dispatcher; returns its rows."""
    request = urllib.request.Request(
        f"http://{address}/v1/commands", data=text.encode(), method="POST"
    )
    with urllib.request.urlopen(request, timeout=WAIT_TIMEOUT_S) as response:
        return [json.loads(line) for line in response.read().splitlines()]


def _matches(event, kind, fields):
    if not isinstance(event, kind):
        return False
    return all(getattr(event, name) == value for name, value in fields.items())
