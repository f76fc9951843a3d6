"""A small deployment of the project's own processes on loopback addresses."""

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from .log import PlatformLog
from .proxy import Proxy
from .worker import Worker

__all__ = [
    "BROKEN",
    "CANNOT_RUN",
    "HELD",
    "MAX_BODY_BYTES",
    "PARTS",
    "Record",
    "System",
    "run_case",
]

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
CASE_S = 115
ZONES = ("gs-memphis", "gs-birmingham", "gs-jackson")
SERVICE = "dealer-desk"
HOST = "counter.example"
PREFIX = "/part-hold/"
PARTS = 32
MAX_BODY_BYTES = 262_144
FRONT, READY, CONTROL, PEER, PROXY, APP, STORE = (
    8161,
    8167,
    8166,
    7720,
    7735,
    8080,
    8169,
)
# Figures of the sheet of magridge-ops.
BOUNDS = {
    "graceS": 6,
    "holdMaxMs": 1000,
    "status_s": 120,
    "crossRackFactor": 1.5,
}
LIMITS = {
    "front": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
    "side": {"cpuShare": 0.645, "cores": 1, "memoryMb": 168, "maxFds": 4096},
}


class Record:
    """Lines of what happened, with the seconds since the start."""

    def __init__(self):
        self._began = time.monotonic()
        self.rows = []  # (seconds, line)

    def __call__(self, line):
        """Adds a line."""
        self.rows.append((time.monotonic() - self._began, line))

    def find(self, kind, **fields):
        """Returns (seconds, fields) of the lines of a kind with these fields."""
        found = []
        for seconds, line in self.rows:
            name, *words = line.split()
            row = dict(word.split("=", 1) for word in words if "=" in word)
            if name == kind and all(row.get(key) == fields[key] for key in fields):
                found.append((seconds, row))
        return found

    def write(self, path):
        """Writes all lines to a file."""
        lines = [f"{seconds:9.3f} {line}" for seconds, line in self.rows]
        path.write_text("\n".join(lines) + "\n")


class System:
    """Fronts named ``front-1`` and on, sides ``side-1`` and on with a worker each.

    Each has a loopback address of its own. With ``proxied`` the other processes reach
    a side through a proxy; bytes take ``near_s`` to a side in the zone of the last
    front and ``far_s`` to the others. The store and the workers run in this process.
    """

    def __init__(
        self,
        record,
        *,
        fronts=2,
        sides=3,
        proxied=False,
        near_s=0.0,
        far_s=0.0,
        queue=None,
    ):
        self.record = record
        self.log = PlatformLog(PARTS)
        self.workers = {}
        self.proxies = {}
        self.processes = {}
        self._queue = queue or {}
        self._proxied = proxied
        self._delays = near_s, far_s
        self._net = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
        self._names = [f"front-{n + 1}" for n in range(fronts)]
        self._names += [f"side-{n + 1}" for n in range(sides)]
        self._directory = tempfile.TemporaryDirectory()
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._tasks = []
        self._clients = AsyncHTTPClient(force_instance=True, max_clients=500)

    @property
    def fronts(self):
        """The names of the front machines."""
        return [name for name in self._names if name.startswith("front")]

    def owner(self, job):
        """Returns the front that holds the partition of a job, None for none."""
        part = zlib.crc32(job.encode()) % PARTS
        return self.log.group("dispatchers").held[part]

    def ip(self, name):
        """Returns the address of a machine."""
        return f"{self._net}.{self._names.index(name) + 10}"

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            self.close()
            raise
        return self

    async def __aexit__(self, *error):
        self.close()

    def close(self):
        """Ends all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        self._directory.cleanup()

    # Faults

    def kill(self, name):
        """Ends a process with SIGKILL."""
        self.record(f"kill process={name}")
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name):
        """Asks a process to stop."""
        self.record(f"sigterm process={name}")
        self.processes[name].terminate()

    def cut(self, side, cut):
        """Partitions a side machine from all others, or heals that."""
        self.record(f"{'cut' if cut else 'heal'} machine={side}")
        self.proxies[side].set_cut(cut)

    # Clients

    async def call(self, front, method, job="", body=None, deadline_ms=1_500):
        """Sends a client's request; returns the status, 0 for no answer, and JSON."""
        url = f"http://{self.ip(front)}:{FRONT}{PREFIX}{job}"
        size = "" if body is None else f" bytes={len(body)}"
        self.record(f"sent method={method} job={job} to={front}{size}")
        request = HTTPRequest(
            url,
            method=method,
            headers={"Host": HOST, "Request-Deadline-Ms": str(deadline_ms)},
            body=body,
            allow_nonstandard_methods=True,
            request_timeout=deadline_ms / 1000 + 0.5,
            connect_timeout=1.0,
        )
        try:
            response = await self._clients.fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            response = None
        status = response.code if response is not None else 0
        status = 0 if status == 599 else status
        text = response.body.decode() if status and response.body else "{}"
        short = re.sub(r"\s", "", text)[:100]
        self.record(
            f"answer method={method} job={job} from={front} status={status} {short}"
        )
        return status, json.loads(text)

    # Starting

    async def _start(self):
        queue = {
            "name": "part-hold",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "type": "non_idempotent",
            "timeoutMs": 1500,
            "priority": 1,
            "maxAttempts": 4,
            "slackFactor": 1.6,
            "completionTargetMs": 60,
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES}
        configuration = {
            "version": 7,
            "routes": [queue | self._queue],
            "services": [{"name": SERVICE, "admissionCheck": False, "standby": False}],
            "limits": limits,
        }
        self.log.publish("config", configuration)
        self._serve(self.log.application(), f"{self._net}.2", STORE)
        for name in self._names:
            if name.startswith("side"):
                await self._prepare_side(name)
            self.start(name)
        await self._wait_ready()

    def _serve(self, application, host, port):
        server = HTTPServer(application)
        server.add_sockets(bind_sockets(port, address=host))

    async def _prepare_side(self, name):
        number = int(name.rpartition("-")[2]) - 1
        worker = Worker(
            name.replace("side", "worker"),
            SERVICE,
            self._zone(name),
            f"r1-{number}",
            self.record,
            address=f"{self.ip(name)}:{APP}",
        )
        self.workers[worker.name] = worker
        self._serve(worker.application(), self.ip(name), APP)
        self._tasks.append(asyncio.create_task(worker.live()))
        control = f"{self.ip(name)}:{CONTROL}"
        self._tasks.append(asyncio.create_task(worker.announce(control)))
        if self._proxied:
            near_s, far_s = self._delays
            near = self._zone(name) == self._zone(self.fronts[-1])
            delay_s = near_s if near else far_s
            self.proxies[name] = Proxy((self.ip(name), PEER), delay_s)
            await self.proxies[name].listen(self.ip(name), PROXY)

    def _zone(self, name):
        return ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]

    def start(self, name):
        """Starts the process of a machine with the command of the deploy file."""
        kind, _, _ = name.partition("-")
        role = next(
            role for role in self._deploy["roles"].values() if role["on"] == kind
        )
        fields = self._fields(name, kind)
        settings = _render((ROOT / role["template"]).read_text(), fields)
        if name in self.proxies:
            line = f'[process]\nadvertise = "{self.ip(name)}:{PROXY}"'
            settings = settings.replace("[process]", line, 1)
        path = Path(self._directory.name) / f"{name}.toml"
        path.write_text(settings)
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        variables = {key: _render(text, fields) for key, text in role["env"].items()}
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BANYANWHEEL_SETTINGS": str(path),
        }
        directory = os.environ.get("DAEMON_LOGS", self._directory.name)
        with (Path(directory) / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment | variables,
                stdout=output,
                stderr=output,
            )
        self.record(f"started process={name}")

    def _fields(self, name, kind):
        ip = self.ip(name)
        return {
            "node": name,
            "zone": self._zone(name),
            "ip": ip,
            "portRange": [PEER, PROXY],
            "bounds": BOUNDS,
            "limits": LIMITS[kind],
            "listen": {
                "front": f"{ip}:{FRONT}",
                "ready": f"{ip}:{READY}",
                "control": f"{ip}:{CONTROL}",
            },
            "platform": {"address": f"{self._net}.2:{STORE}", "parts": PARTS},
        }

    async def _wait_ready(self):
        """Waits until each front is ready, and what follows a start has settled."""
        deadline = time.monotonic() + 20
        for name in self.fronts:
            while not await self._is_ready(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(6)
        self.record("traffic begins")

    async def _is_ready(self, name):
        url = f"http://{self.ip(name)}:{READY}/ready"
        try:
            response = await self._clients.fetch(url, raise_error=False)
        except (OSError, HTTPClientError):
            return False
        return response.code == 200


def _render(template, fields):
    """Fills in the placeholders of a template of the deploy file."""

    def value(match):
        path, _, form = match[1].partition("|")
        found = fields
        for part in path.split("."):
            key = int(part) if isinstance(found, list) else part
            found = found.get(key, "") if isinstance(found, dict) else found[key]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def run_case(folder, case):
    """Runs ``case(record, trouble)``, an async function that returns the verdicts.

    It returns the lines that say which rule was broken, none if all held. Writes
    ``record.txt`` and exits as the review asks.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble={int(trouble)}")
    # A script that is asked to stop ends its processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        verdicts = asyncio.run(asyncio.wait_for(case(record, trouble), CASE_S))
    except (Exception, KeyboardInterrupt) as error:
        record(f"cannot-run {type(error).__name__}: {error}")
        status = CANNOT_RUN
    else:
        status = BROKEN if verdicts else HELD
        for verdict in verdicts:
            record(f"broken {verdict}")
    record(f"exit={status}")
    record.write(Path(folder) / "record.txt")
    for _, line in record.rows[-4:]:
        print(line)
    sys.exit(status)
