"""A small site on this machine: the log, workers, dispatchers and runners."""

import json
import time
import urllib.error
import urllib.request

import msgspec

from banyanwheel_platform.log import LogClient
from tests.standins.layout import Ports
from tests.standins.process import Process, StandIns

__all__ = ["Site"]

PARTS = 4
START_TIMEOUT_S = 30
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "counter",
            "host": "desk.example",
            "pathPrefix": "/counter/",
            "service": "desk",
            "completionTargetMs": 60,
            "priority": 0,
            "maxAttempts": 3,
            "slackFactor": 1.6,
        }
    ],
    "services": [{"name": "desk"}],
    "limits": {"maxBodyBytes": 262144},
}
JOB = {"spec": "text", "steps": [{"count": 3, "cpu": 1000, "estimateMs": 100}]}

_PROCESS = """
[process]
name = "{name}"
data_centre = "dc-1"
address = "{address}"
grace_s = 6.0

[log]
address = "{log}"
partitions = 4
"""


class Site:
    """Starts everything; :meth:`close` ends just that."""

    def __init__(self, directory, dispatchers=2, runners=2, task_ms=100):
        self._directory = directory
        self._ports = Ports()
        self._stand_ins = StandIns(directory)
        self.log = self._stand_ins.start("platform_log").ready["address"]
        self.dispatchers, self.runners, self.workers = {}, {}, {}
        self.callers, self._ready = {}, {}
        for number in range(dispatchers):
            self.start_dispatcher(f"dispatcher-{number}")
        for number in range(runners):
            self._start_runner(f"runner-{number}", task_ms)

    def start_dispatcher(self, name):
        """Starts a dispatcher at new addresses."""
        self.callers[name], self._ready[name] = self._reserve(), self._reserve()
        text = self._process(name) + (
            f'[callers]\nlisten = "{self.callers[name]}"\n'
            f'ready = "{self._ready[name]}"\n'
        )
        self.dispatchers[name] = self._launch("dispatcher", name, text)

    def _start_runner(self, name, task_ms):
        heartbeats = self._reserve()
        text = self._process(name) + f'[worker]\nheartbeats = "{heartbeats}"\n'
        self.runners[name] = self._launch("runner", name, text)
        worker = self._stand_ins.start(
            "platform_worker", runner=heartbeats, name=f"i-{name}", task_ms=task_ms
        )
        self.workers[name] = worker.ready["address"]

    def _reserve(self):
        return self._ports.reserve()

    def _process(self, name):
        return _PROCESS.format(name=name, address=self._reserve(), log=self.log)

    def _launch(self, role, name, text):
        settings = self._directory / f"{name}.toml"
        settings.write_text(text)
        arguments = ["-m", "banyanwheel_daemon", role, "--settings", str(settings)]
        with (self._directory / f"{name}.log").open("ab") as output:
            return Process(
                name, arguments, self._directory / f"{name}.err", output=output
            )

    async def configure(self, configuration=None):
        """Puts a configuration where the operator would."""
        log = LogClient(self.log)
        record = ("config", msgspec.json.encode(configuration or CONFIGURATION))
        await log.append("op", 0, [record], epoch=None, sequence=0)

    def wait_ready(self):
        """Waits until every dispatcher is ready and knows every worker."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for name, address in self._ready.items():
            while _status(address) != 200:
                if time.monotonic() > deadline:
                    raise AssertionError(f"{name}: {self.lines(name)[-5:]}")
                time.sleep(0.05)
        job_id = "f" * 16
        while self.request("POST", job_id, {**JOB, "bestEffort": True})[0] != 200:
            if time.monotonic() > deadline:
                raise AssertionError("no job was served")
            time.sleep(0.1)

    def request(self, method, job_id="", body=None, at="dispatcher-0", timeout_s=20):
        """Sends a caller's request; returns the status and the decoded answer."""
        request = urllib.request.Request(
            f"http://{self.callers[at]}/counter/{job_id}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={"Host": "desk.example", "Request-Deadline-Ms": "8000"},
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout_s) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as error:
            with error:
                return error.code, json.loads(error.read() or b"{}")
        except OSError as error:
            return 0, str(error)

    def wait_state(self, job_id, state, at="dispatcher-0"):
        """Asks until a job has this state."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            answer = self.request("GET", job_id, at=at)
            if answer == (200, {"state": state}):
                return
            time.sleep(0.05)
        raise AssertionError(f"{job_id}: {answer}")

    def starts(self):
        """Returns the task runs that all workers have started."""
        rows = []
        for address in self.workers.values():
            with urllib.request.urlopen(f"http://{address}/test/seen") as response:
                rows.extend(map(tuple, json.load(response)["starts"]))
        return rows

    def set_log_down(self, down):
        """Takes the log away, or brings it back."""
        request = urllib.request.Request(
            f"http://{self.log}/test/down", method="PUT", data=json.dumps(down).encode()
        )
        urllib.request.urlopen(request).close()

    def lines(self, name):
        """Returns a process's log lines."""
        text = (self._directory / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line]

    def close(self):
        """Ends all processes of the site."""
        for process in (*self.dispatchers.values(), *self.runners.values()):
            process.close()
        self._stand_ins.__exit__(None, None, None)
        self._ports.close()


def _status(address):
    try:
        with urllib.request.urlopen(f"http://{address}/ready") as response:
            return response.status
    except urllib.error.HTTPError as error:
        error.close()
        return error.code
    except OSError:
        return 0
