"""A deployment as real processes: the cluster of the tests, with its sizes."""

import dataclasses
import os
from pathlib import Path

from tests.standins.calls import call
from tests.standins.cluster import Cluster
from tests.standins.layout import Layout, write_settings
from tests.standins.process import Process

from .deployment import Deployment
from .meter import Meters
from .scrape import scrape
from .variant import UNCHANGED

__all__ = ["System", "Usage"]

MIB = 2**20


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor time in seconds and resident memory in MiB of a process."""

    cpu_s: float
    rss_mib: float

    @classmethod
    def of(cls, pid):
        """Reads what a process has used so far."""
        process = Path("/proc") / str(pid)
        threads = process.glob("task/*/schedstat")
        nanoseconds = sum(int(thread.read_text().split()[0]) for thread in threads)
        pages = int((process / "statm").read_text().split()[1])
        return cls(nanoseconds / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / MIB)


class System(Cluster):
    """Runs a deployment; ``variant`` says what differs in its daemons.

    With ``delays``, a proxy stands before each entry and each agent. With
    ``histories``, backend servers record each task that they start. With ``metered``,
    ``meters`` count the bytes between each daemon and the log service.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        variant=UNCHANGED,
        delays=False,
        histories=False,
        metered=False,
    ):
        agents = len(deployment.speed_factors)
        layout = Layout(
            entries=deployment.entries,
            agents=agents,
            data_centres=deployment.data_centres,
            slots=deployment.slots,
            proxied=frozenset(range(1, agents + 1) if delays else ()),
            server={
                "service": deployment.service,
                "connections": deployment.connections,
            },
        )
        super().__init__(layout)
        self._deployment = deployment
        self._variant = variant
        self._delays = delays
        self._histories = histories
        self._doors = {}
        self.meters = Meters() if metered else None

    @property
    def doors(self):
        """Addresses at which clients reach the entries, by name."""
        return self._doors

    def close(self):
        """Stops every process, and the meters."""
        super().close()
        if self.meters is not None:
            self.meters.close()

    def usage(self):
        """Returns the Usage of each daemon by name."""
        return {name: Usage.of(self.pid(name)) for name in self.daemons}

    def configure(self):
        """Publishes the deployment's configuration and waits until it is in force."""
        document = self._deployment.configuration()
        self.append(
            "configuration", {"base": -1, "tag": "benchmark", "document": document}
        )
        self.wait_for(self._configured, "the configuration is not in force")

    def append(self, stream, record):
        """Appends a record to a stream of the log service; returns its offset."""
        path = f"/streams/{stream}/records"
        status, answer = call("POST", self._control("log_service"), path, record)
        if status != 201:
            raise RuntimeError(f"{stream}: {answer}")
        return answer["offset"]

    def _configured(self):
        readings = [scrape([self.http(name)]) for name in self.daemons]
        return all(each.gauges["configuration_offset"] >= 0 for each in readings)

    def _start(self):
        super()._start()
        for name, address in self.entries.items():
            self._doors[name] = self._open_door(name, address)
        if self._delays:
            self._delay()

    def _open_door(self, name, address):
        if not self._delays:
            return address
        proxy = self._stand_ins.launch("proxy", to=address)
        door = f"door-of-{name}"
        self._launch(door, proxy).wait_ready()
        return proxy.ready["address"]

    def _delay(self):
        deployment = self._deployment
        client_ms = deployment.client_delay_ms
        for name in self._doors:
            self.set_faults(
                f"door-of-{name}",
                delay_to_server_ms=client_ms,
                delay_to_client_ms=client_ms,
            )
        for number in self.layout.agent_numbers:
            self.set_faults(
                f"proxy-{number}",
                delay_to_server_ms=deployment.data_centre_delay_to_ms,
                delay_to_client_ms=deployment.data_centre_delay_back_ms,
            )

    def _launch_daemon(self, name, peers, **listener):
        log_service = self._processes["log_service"].ready["address"]
        if self.meters is not None:
            log_service = self.meters.open(name, log_service)
        settings = write_settings(
            self._directory, name, self.layout, log_service, peers.values(), listener
        )
        role = name.partition("-")[0]
        module = ["-m", "benchmarks.instrumented", str(self._variant)]
        arguments = [*module, role, "--settings", str(settings)]
        process = Process(name, arguments, self._directory / f"{name}.err")
        return self._launch(name, process)

    def _launch_server(self, number):
        name = f"server-{number}"
        history = self._directory / f"{name}.history"
        options = {
            "name": name,
            "agent": self.http(f"agent-{number}"),
            "history": history if self._histories else os.devnull,
            "slots": self.layout.slots,
            "speed_factor": self._deployment.speed_factors[number - 1],
            **self.layout.server,
        }
        server = self._stand_ins.launch("backend_server", **options)
        return self._launch(name, server)
