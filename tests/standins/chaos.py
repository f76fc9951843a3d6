"""Faults of many kinds, one after the other, from a seed."""

import threading
import time
from random import Random

__all__ = ["Chaos"]

LONGEST_PAUSE_S = 0.5
LONGEST_FAULT_S = 3.0
SERVER_FAULTS = (
    {"garbage": True},
    {"never_answer": True},
    {"fail_all": True},
    {"close_instead_of_answer": 3},
    {"slow_factor": 8},
)
PROXY_FAULTS = (
    {"cut": True},
    {"drop_to_server": True},
    {"drop_to_client": True},
    {"lose_answers": 3},
    {"delay_to_server_ms": 200, "delay_to_client_ms": 50},
)
LOG_FAULTS = ({"down": True}, {"delay_ms": 1_000}, {"lose_append_answers": 3})


class Chaos:
    """A thread that disturbs some agents, their servers and proxies, and the log.

    ``numbers`` are those of the agents. Two of these for different agents overlap.
    """

    def __init__(self, cluster, numbers, count, seed):
        self._cluster = cluster
        self._numbers = numbers
        self._count = count
        self._random = Random(seed)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begins with the first fault."""
        self._thread.start()

    def join(self):
        """Waits until the last fault is mended."""
        self._thread.join()

    def _run(self):
        faults = [
            self._freeze,
            self._replace,
            self._freeze_connections,
            self._disturb_server,
            self._disturb_proxy,
            self._disturb_log,
        ]
        for _ in range(self._count):
            fault = self._random.choice(faults)
            mend = fault(self._random.choice(self._numbers))
            time.sleep(self._random.uniform(0, LONGEST_FAULT_S))
            mend()
            time.sleep(self._random.uniform(0, LONGEST_PAUSE_S))

    def _freeze(self, number):
        self._cluster.freeze(f"agent-{number}")
        return lambda: self._cluster.thaw(f"agent-{number}")

    def _replace(self, number):
        self._cluster.kill(f"agent-{number}")
        return lambda: self._cluster.start_again(f"agent-{number}")

    def _freeze_connections(self, number):
        self._cluster.freeze_connections(f"proxy-{number}")
        return lambda: None

    def _disturb_server(self, number):
        return self._disturb(f"server-{number}", SERVER_FAULTS)

    def _disturb_proxy(self, number):
        return self._disturb(f"proxy-{number}", PROXY_FAULTS)

    def _disturb_log(self, number):
        return self._disturb("log_service", LOG_FAULTS)

    def _disturb(self, name, choices):
        self._cluster.set_faults(name, **self._random.choice(choices))
        return lambda: self._cluster.set_faults(name)
