"""Faults of many kinds, one after the other, from a seed."""

import threading
import time
from random import Random

__all__ = ["Chaos"]

LONGEST_PAUSE_S = 0.5
LONGEST_FAULT_S = 2.5
LATEST_HEARTBEAT_MS = 500  # of a worker that has started again
WORKER_FAULTS = (
    {"hang": True},
    {"fail_all": True},
    {"silent": True},
    {"lose_start_answers": 3},
    {"slow_factor": 6.0},
)
PROXY_FAULTS = (
    {"cut": True},
    {"drop_to_server": True},
    {"drop_to_client": True},
    {"lose_answers": 3},
    {"delay_to_server_ms": 200, "delay_to_client_ms": 50},
)
LOG_FAULTS = (
    {"down": True},
    {"silent": True},
    {"delay_ms": 300},
    {"lose_append_answers": 3},
)


class Chaos:
    """A thread that disturbs some processes, the network and the log.

    ``numbers`` are those of the runners and, where there are such, dispatchers. Two of
    these for different numbers overlap. With ``restarts`` workers also start again
    under their ids, and a runner and a dispatcher stop one after the other.
    """

    def __init__(self, cluster, numbers, count, seed, *, restarts=False):
        self._cluster = cluster
        self._numbers = numbers
        self._count = count
        self._random = Random(seed)
        self._restarts = restarts
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.applied = []

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
            self._replace,
            self._stop,
            self._freeze_connections,
            self._disturb_worker,
            self._disturb_proxy,
            self._disturb_log,
            self._move_partitions,
        ]
        if self._restarts:
            faults += [self._restart_worker] * 4 + [self._stop_in_turn] * 3
        for _ in range(self._count):
            fault = self._random.choice(faults)
            number = self._random.choice(self._numbers)
            self.applied.append(f"{fault.__name__} {number}")
            mend = fault(number)
            time.sleep(self._random.uniform(0, LONGEST_FAULT_S))
            mend()
            time.sleep(self._random.uniform(0, LONGEST_PAUSE_S))

    def _daemon(self, number):
        names = [f"runner-{number}"]
        if number <= self._cluster.layout.dispatchers:
            names.append(f"dispatcher-{number}")
        return self._random.choice(names)

    def _freeze(self, number):
        name = self._daemon(number)
        self._cluster.freeze(name)
        return lambda: self._cluster.thaw(name)

    def _replace(self, number):
        name = self._daemon(number)
        self._cluster.kill(name)
        return lambda: self._cluster.start_again(name)

    def _stop(self, number):
        return self._stop_process(self._daemon(number))

    def _stop_process(self, name):
        self._cluster.terminate(name)

        def start_again():
            self._cluster.wait_ended(name)
            self._cluster.start_again(name)

        return start_again

    def _restart_worker(self, number):
        """A worker crashes, and starts again under its id."""
        name = f"worker-{number}"
        self._cluster.kill(name)
        first_heartbeat_ms = round(self._random.uniform(0, LATEST_HEARTBEAT_MS))
        time.sleep(self._random.uniform(0, LONGEST_PAUSE_S))
        self._cluster.start_worker_again(name, first_heartbeat_ms)
        return lambda: None

    def _stop_in_turn(self, number):
        """A runner is asked to stop, and then the dispatcher of the same number."""
        mends = [self._stop_process(f"runner-{number}")]
        if number <= self._cluster.layout.dispatchers:
            time.sleep(self._random.uniform(0, LONGEST_FAULT_S))
            mends.append(self._stop_process(f"dispatcher-{number}"))
        return lambda: [mend() for mend in mends]

    def _freeze_connections(self, number):
        self._cluster.freeze_connections(f"proxy-{number}")
        return lambda: None

    def _disturb_worker(self, number):
        return self._disturb(f"worker-{number}", WORKER_FAULTS)

    def _disturb_proxy(self, number):
        return self._disturb(f"proxy-{number}", PROXY_FAULTS)

    def _disturb_log(self, number):
        return self._disturb("log", LOG_FAULTS)

    def _move_partitions(self, number):
        self._cluster.disturb_log(self._random.choice(("rebalance", "forget")))
        return lambda: None

    def _disturb(self, name, choices):
        self._cluster.set_faults(name, **self._random.choice(choices))
        return lambda: self._cluster.set_faults(name)
