"""A small deployment: the project's own programs beside stand-ins in this process.

Every machine has a loopback address of its own, so that the ports are the same on all
of them, as on the users' machines.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
import traceback
from pathlib import Path

from .http import NoAnswer, call
from .platform_log import PlatformLog
from .worker import Worker

__all__ = ["CPU", "HOST", "SERVICE", "CannotRun", "System", "job_ids", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"peers": 7720, "app": 8165, "control": 8166, "front": 8161, "ready": 8167}
LOG_PORT = 8169
HOST = "desk.example"
SERVICE = "desk"
CPU = 32_000
ZONES = ("zone-1", "zone-2", "zone-3")
BOUNDS = {"graceS": 6, "holdMaxMs": 1000, "status_s": 120, "crossRackFactor": 1.5}
LIMITS = {"cpuShare": 0.537, "cores": 2, "memoryMb": 160, "maxFds": 1_024}
READY_S = 20.0
STOP_S = 8.0
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


class CannotRun(Exception):
    """The case can't run on this machine."""


class _Machine:
    """One machine of the system and the process on it."""

    def __init__(self, name, role, ip, zone, settings, command, output):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self._settings = settings
        self._command = command
        self._output = output
        self.process = None

    def address(self, kind):
        return f"{self.ip}:{PORTS[kind]}"

    def start(self):
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BANYANWHEEL_SETTINGS"] = str(self._settings)
        with open(self._output, "ab") as output:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class System:
    """The deployment; ``async with`` starts it and ends all that it started."""

    def __init__(
        self,
        record,
        routes,
        fronts=3,
        sides=3,
        racks=None,
        kinds=None,
        labels=None,
        seed=0,
    ):
        self.record = record
        self.log = PlatformLog(record)
        self._routes = routes
        self._directory = tempfile.TemporaryDirectory()
        self._block = _free_block()
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.fronts = [
            self._machine("dispatcher", "front", 1, number) for number in range(fronts)
        ]
        self.sides = [
            self._machine("runner", "side", 2, number) for number in range(sides)
        ]
        racks = racks or [f"r1-{number + 1}" for number in range(sides)]
        labels = labels or ["a"] * sides
        kinds = kinds or [(SERVICE, CPU)] * sides  # service and cpu by worker
        self.workers = [
            Worker(
                f"i-{number + 1}",
                kinds[number][0],
                side.address("app"),
                side.address("control"),
                record,
                [labels[number], racks[number]],
                cpu=kinds[number][1],
                seed=seed,
            )
            for number, side in enumerate(self.sides)
        ]
        self._version = 0

    def _machine(self, role, kind, network, number):
        zone = ZONES[number % len(ZONES)]
        ip = f"127.{self._block}.{network}.{number + 1}"
        name = f"{kind}-{number + 1}"
        folder = Path(self._directory.name)
        fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "portRange": [PORTS["peers"], PORTS["peers"] + 15],
            "listen": {
                "front": f"{ip}:{PORTS['front']}",
                "ready": f"{ip}:{PORTS['ready']}",
                "control": f"{ip}:{PORTS['control']}",
            },
            "bounds": BOUNDS,
            "limits": LIMITS,
            "platform": {
                "address": f"127.{self._block}.0.7:{LOG_PORT}",
                "parts": 32,
            },
        }
        entry = self._deploy["roles"][role]
        settings = folder / f"{name}.toml"
        settings.write_text(_fill((ROOT / entry["template"]).read_text(), fields))
        return _Machine(
            name, role, ip, zone, settings, entry["run"].split(), folder / f"{name}.out"
        )

    async def __aenter__(self):
        await self.log.listen(f"127.{self._block}.0.7", LOG_PORT)
        self.configure(self._routes)
        for machine in (*self.fronts, *self.sides):
            machine.start()
            self.record("process-start", machine=machine.name)
        for worker in self.workers:
            await worker.start()
        await self.wait_ready(self.fronts)
        return self

    async def __aexit__(self, *error):
        machines = [*self.fronts, *self.sides]
        for machine in machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in machines:
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_OUTPUT")
        if keep:
            for path in Path(self._directory.name).glob("*.out"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._directory.cleanup()

    def configure(self, routes):
        """Writes a version of the configuration, as the operator does."""
        self._version += 1
        services = sorted({route["service"] for route in routes})
        document = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.log.put("keyed.op", "config", json.dumps(document).encode())
        self.record("configuration", version=self._version)

    async def wait_ready(self, fronts):
        """Waits until the balancer's probe finds these fronts ready."""
        for front in fronts:
            deadline = self.record.now + READY_S
            while not await self.is_ready(front):
                if self.record.now > deadline:
                    raise CannotRun(f"{front.name} isn't ready")
                await asyncio.sleep(0.1)
            self.record("ready", machine=front.name)

    async def is_ready(self, front):
        """Probes a front as the platform's balancer does."""
        try:
            status, _ = await call(front.address("ready"), "GET", "/ready")
        except NoAnswer:
            return False
        return status == 200

    def kill(self, machine):
        """Sends SIGKILL."""
        self.record("kill", machine=machine.name)
        machine.signal(signal.SIGKILL)
        machine.process.wait()

    def terminate(self, machine):
        """Sends SIGTERM."""
        self.record("sigterm", machine=machine.name)
        machine.signal(signal.SIGTERM)

    async def ended(self, machine):
        """Waits for the end of a process."""
        deadline = self.record.now + STOP_S
        while machine.process.poll() is None and self.record.now < deadline:
            await asyncio.sleep(0.05)
        self.record("process-end", machine=machine.name, code=machine.process.poll())

    def start(self, machine):
        """Starts a process again."""
        self.record("process-start", machine=machine.name)
        machine.start()

    async def ask(self, front, method, path, body=None, deadline_s=1.5, on_open=None):
        """Calls a front as a client; returns (status, object), or (None, reason)."""
        headers = {"Host": HOST, "Request-Deadline-Ms": round(deadline_s * 1000)}
        try:
            status, answer = await call(
                front.address("front"), method, path, body, headers, deadline_s, on_open
            )
        except NoAnswer as error:
            status, answer = None, str(error)
        self.record(
            "client", at=front.name, call=f"{method} {path}", status=status, got=answer
        )
        return status, answer

    async def submit(self, path, body, fronts, tries=8, deadline_s=1.5):
        """Hands a job in until it is accepted or refused for good; returns the status.

        As the pages say, it is sent again under its id, at any node, after 502, 504 or
        no answer, and after 429 or 503 too.
        """
        status = None
        for attempt in range(tries):
            front = fronts[attempt % len(fronts)]
            status, _ = await self.ask(front, "POST", path, body, deadline_s)
            if status is not None and status not in (429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status


def _fill(template, fields):
    def value(match):
        node = fields
        for part in match[1].split("."):
            node = node[int(part)] if isinstance(node, list) else node[part]
        return json.dumps(node) if match[2] else str(node)

    return _PLACEHOLDER.sub(value, template)


def _free_block():
    """Returns a number N for which the addresses 127.N.x.y aren't in use."""
    for _ in range(50):
        block = random.randrange(16, 250)
        try:
            for port in (*PORTS.values(), LOG_PORT):
                with socket.socket() as probe:
                    probe.bind((f"127.{block}.1.1", port))
        except OSError:
            continue
        return block
    raise CannotRun("no free loopback addresses")


def job_ids(count, seed):
    """Returns ids as clients choose them."""
    numbers = random.Random(seed)
    return [f"{numbers.getrandbits(64):016x}" for _ in range(count)]


def run_case(case):
    """Runs the coroutine function ``case()``; returns the status of the script.

    It returns whether the rule was broken.
    """
    try:
        broken = asyncio.run(case())
    except CannotRun as error:
        print(f"cannot run: {error}")
        return 2
    except Exception:
        # An error of the script itself says nothing about the rule.
        traceback.print_exc()
        return 2
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
