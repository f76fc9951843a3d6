"""Runs the processes of the deploy file as a small deployment on loopback addresses."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import tomllib
import zlib
from dataclasses import dataclass
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from .log import Log
from .worker import Worker

__all__ = ["Machine", "System", "job_ids"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "counter.example"
PREFIX = "/desk/"
SERVICE = "desk"
PARTS = 32
LOG_NUMBER = 250  # of its address in the loopback network of the deployment
OPERATORS_PORT = 9464  # as the templates have it
READY_TIMEOUT_S = 30.0
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")

LIMITS = {"cpuShare": 0.6, "cores": 1, "memoryMb": 160, "maxFds": 1_024}
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "holdMaxMs": 1000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "crossRackFactor": 1.5,
    "leaseMs": 3000,
    "retryDelayMs": 1300,
}


@dataclass
class Machine:
    """A machine of the deployment with one process."""

    name: str
    role: str
    kind: str
    zone: str
    ip: str
    ports: dict
    process: object = None
    folder: Path = None
    worker: Worker = None

    def address(self, what):
        """Returns ``ip:port`` of what the machine serves."""
        return f"{self.ip}:{self.ports[what]}"


class System:
    """The platform's stand-ins, and one process for each machine.

    Use it as an asynchronous context: it ends all that it has started.
    """

    def __init__(
        self, record, *, fronts=3, sides=6, zones=3, workers_after_s=0.0, **worker
    ):
        self.record = record
        self._sizes = {"front": fronts, "side": sides}
        self._zones = zones
        self._workers_after_s = workers_after_s
        self._worker = worker  # options of the workers
        self._roles = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )["roles"]
        self._folder = None
        self._log_address = None
        self.log = Log(PARTS)
        self.machines = {}

    @property
    def fronts(self):
        """The machines that serve callers."""
        return [each for each in self.machines.values() if each.kind == "front"]

    @property
    def sides(self):
        """The machines beside workers."""
        return [each for each in self.machines.values() if each.kind == "side"]

    async def __aenter__(self):
        AsyncHTTPClient.configure(SimpleAsyncHTTPClient, max_clients=200)
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        try:
            await self._start()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *error):
        await self._close()

    async def _start(self):
        self.configure()
        self._place()
        self.log.serve(self._log_address)
        for machine in self.machines.values():
            await self.launch(machine)
        await asyncio.sleep(self._workers_after_s)
        for number, machine in enumerate(self.sides):
            machine.worker = Worker(
                f"w{number + 1}",
                SERVICE,
                (machine.ip, machine.ports["app"]),
                machine.address("control"),
                ["a", f"r{number // 3 + 1}"],
                self.record,
                **self._worker,
            )
            machine.worker.start()
        await self._wait_ready()

    def configure(self):
        """Writes the first configuration, as the operator does."""
        route = {
            "name": "desk",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 1,
            "maxAttempts": 4,
            "slackFactor": 1.6,
            "completionTargetMs": 60,
        }
        value = {
            "version": 1,
            "routes": [route],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.log.put("keyed.op", "config", value)

    def _place(self):
        net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        names = ("peers", "front", "ready", "control", "app", "log")
        ports = _free_ports(net, len(names))
        ports = dict(zip(names, ports, strict=True)) | {"operators": OPERATORS_PORT}
        self._log_address = f"{net}.{LOG_NUMBER}", ports["log"]
        roles = {role["on"]: name for name, role in self._roles.items()}
        number = 0
        for kind, count in self._sizes.items():
            for index in range(count):
                number += 1
                zone = f"dc-{index % self._zones + 1}"
                name = f"{kind}-{index + 1}"
                self.machines[name] = Machine(
                    name, roles[kind], kind, zone, f"{net}.{number}", ports
                )

    # Processes

    async def launch(self, machine):
        """Starts the process of a machine as the deploy file says."""
        role = self._roles[machine.role]
        machine.folder = self._folder / machine.name
        machine.folder.mkdir(exist_ok=True)
        settings = machine.folder / "settings.toml"
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings.write_text(_fill(template, self._fields(machine)), encoding="utf-8")
        variables = {
            name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ
        }
        variables |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BANYANWHEEL_SETTINGS": str(settings),
        }
        with (machine.folder / "output").open("ab") as output:
            machine.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.add("process-started", machine=machine.name)

    def _fields(self, machine):
        listen = {name: machine.address(name) for name in ("front", "ready", "control")}
        return {
            "node": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "portRange": [machine.ports["peers"], machine.ports["peers"]],
            "listen": listen,
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": "{}:{}".format(*self._log_address), "parts": PARTS},
        }

    def signal(self, machine, number):
        """Sends a signal to the process of a machine."""
        machine.process.send_signal(number)
        name = signal.Signals(number).name
        self.record.add("signal", machine=machine.name, signal=name)

    async def ended(self, machine):
        """Waits for the end of a machine's process."""
        status = await machine.process.wait()
        self.record.add("process-ended", machine=machine.name, status=status)

    async def restart(self, machine, delay_s=0.3):
        """Starts a process again after its end, as the platform does."""
        await self.ended(machine)
        await asyncio.sleep(delay_s)
        await self.launch(machine)

    async def _wait_ready(self):
        deadline = self.record.now() + READY_TIMEOUT_S
        while self.record.now() < deadline:
            if all([await self._is_whole(front) for front in self.fronts]):
                await asyncio.sleep(1.0)
                self.record.add("system-ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the system isn't ready")

    async def _is_whole(self, front):
        """Whether a front is ready and knows all workers."""
        rows = await self.command(front, "show workers where accepting = true")
        ready = await self.call(front, "GET", "/ready", port="ready")
        return len(rows) == len(self.sides) and ready[0] == 200

    async def command(self, front, text):
        """Runs an operator's command at a front; returns its rows."""
        code, body = await self.call(
            front, "POST", "/v1/commands", text.encode(), port="operators"
        )
        if code != 200:
            return []
        return [json.loads(line) for line in body.splitlines()]

    @staticmethod
    def partition(job_id):
        """Returns the partition of a job, as the system computes it."""
        return zlib.crc32(job_id.encode()) % PARTS

    async def partitions(self, front):
        """Returns the partitions that a front owns."""
        rows = await self.command(front, "show partitions")
        return {row["partition"] for row in rows if row["dispatcher"] == front.name}

    async def owner(self, job_id):
        """Returns the front that owns the partition of a job."""
        for front in self.fronts:
            if self.partition(job_id) in await self.partitions(front):
                return front
        raise RuntimeError("no owner")

    # Callers

    async def call(self, front, method, path, body=None, *, port="front", wait_s=5.0):
        """Calls a front; returns (status, body), status 0 without an answer."""
        request = HTTPRequest(
            f"http://{front.address(port)}{path}",
            method=method,
            body=body,
            headers={
                "Host": HOST,
                "Content-Type": "application/json",
                "Request-Deadline-Ms": str(round(wait_s * 1000)),
            },
            connect_timeout=wait_s,
            request_timeout=wait_s,
            allow_nonstandard_methods=True,
        )
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return 0, str(error)
        # The library's own codes for a connection that broke or gave no answer.
        code = 0 if answer.code == 599 else answer.code
        return code, (answer.body or b"").decode()

    async def submit(self, front, job_id, body, wait_s=5.0):
        """Submits a job; returns the status."""
        self.record.add("submit", job=job_id, to=front.name)
        data = json.dumps(body).encode()
        code, text = await self.call(
            front, "POST", PREFIX + job_id, data, wait_s=wait_s
        )
        self.record.add("submit-answered", job=job_id, by=front.name, status=code)
        return code, text

    async def state(self, front, job_id):
        """Asks for a job's state; returns (status, body)."""
        code, text = await self.call(front, "GET", PREFIX + job_id)
        self.record.add("state", job=job_id, by=front.name, status=code, body=text)
        return code, text

    async def pending(self, front):
        """Asks for the count of the jobs that wait; returns (status, body)."""
        code, text = await self.call(front, "GET", PREFIX)
        self.record.add("pending", by=front.name, status=code, body=text)
        return code, text

    async def ask_twice(self, jobs, pause_s):
        """Asks for the state of jobs, and once more after a pause."""
        front = self.fronts[0]
        await asyncio.gather(*(self.state(front, job) for job in jobs))
        await asyncio.sleep(pause_s)
        await asyncio.gather(*(self.state(front, job) for job in jobs))

    # The end

    async def _close(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
        for machine in self.machines.values():
            if machine.worker is not None:
                await machine.worker.close()
        self.log.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def job_ids(seed=0):
    """Yields ids of jobs."""
    number = seed
    while True:
        number += 1
        yield f"{zlib.crc32(str(number).encode()):08x}{number:08x}"


def _fill(template, fields):
    def value(match):
        found = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return json.dumps(found) if match[2] else str(found)

    return _PLACEHOLDER.sub(value, template)


def _free_ports(net, count):
    """Returns ports that are free at the addresses of a loopback network."""
    sockets = []
    for _ in range(count):
        holder = socket.socket()
        holder.bind((f"{net}.1", 0))
        sockets.append(holder)
    ports = [holder.getsockname()[1] for holder in sockets]
    for holder in sockets:
        holder.close()
    return ports
