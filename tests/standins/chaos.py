"""Faults of many kinds from a seed, in series and overlapping."""

import threading
import time
from contextlib import suppress
from dataclasses import replace
from random import Random

from .crowds import IDLE_ATTACKS, SERVERS, Crowd

__all__ = ["crowd_chaos", "doubt_chaos", "mixed_chaos", "play", "wide_chaos"]

LONGEST_PAUSE_S = 0.5
LONGEST_FAULT_S = 2.5
LONGEST_WORKER_FAULT_S = 6.0
CROWD_CLIENTS = 60
CROWD_TIMEOUT_S = 2.0  # of a client whose server stands still
BETWEEN_KILLS_S = (3.0, 10.0)
# A stored job's run is replaced 4.7 s after its runner was last heard.
LONG_CUT_S = (4.4, 5.4)
OUTAGE_S = (1.0, 5.0)
BETWEEN_OUTAGES_S = (4.0, 10.0)
LATEST_HEARTBEAT_MS = 500  # of a worker that has started again
WORKER_FAULTS = (
    {"hang": True},
    {"fail_all": True},
    {"silent": True},
    {"lose_start_answers": 3},
    {"slow_factor": 6.0},
)
WIDE_WORKER_FAULTS = (
    *WORKER_FAULTS,
    {"refuse_starts": True},
    {"late_share": 0.1},
    {"late_share": 0.5},
    {"late_stop_share": 0.5},
    {"late_stop_share": 1.0},
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


def mixed_chaos(cluster, count, seed, *, restarts=False):
    """Returns what disturbs each half of the system with ``count`` faults."""
    kind = _RestartChaos if restarts else _Chaos
    numbers = range(1, cluster.layout.runners + 1)
    halves = numbers[::2], numbers[1::2]
    return [
        kind(cluster, half, count, seed * len(halves) + index)
        for index, half in enumerate(halves)
    ]


def wide_chaos(cluster, count, seed):
    """Returns what disturbs the daemons, the workers and the network of a system."""
    kinds = _DaemonChaos, _WorkerChaos, _NetworkChaos
    numbers = range(1, cluster.layout.runners + 1)
    return [
        kind(cluster, numbers, count, seed * len(kinds) + index)
        for index, kind in enumerate(kinds)
    ]


def doubt_chaos(cluster, count, seed):
    """Returns what leaves ends, submissions and cancels in doubt."""
    numbers = range(1, cluster.layout.runners + 1)
    kinds = _CutChaos, _OutageChaos
    return [
        kind(cluster, numbers, count, seed * len(kinds) + index)
        for index, kind in enumerate(kinds)
    ]


def crowd_chaos(cluster, count, seed):
    """Returns what sends crowds of clients to the servers of the daemons."""
    numbers = range(1, cluster.layout.runners + 1)
    return [_CrowdChaos(cluster, numbers, count, seed)]


def play(chaos):
    """Injects the faults, all kinds at the same time; returns what was done."""
    for one in chaos:
        one.start()
    for one in chaos:
        one.join()
    return [one.applied for one in chaos]


class _Chaos:
    """A thread that disturbs some processes, the network and the log.

    ``numbers`` are those of the runners and, where there are such, dispatchers. Two of
    these for different numbers overlap.
    """

    def __init__(self, cluster, numbers, count, seed):
        self._cluster = cluster
        self._numbers = numbers
        self._count = count
        self._random = Random(seed)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._error = None
        self.applied = []

    def start(self):
        """Begins with the first fault."""
        self._thread.start()

    def join(self):
        """Waits until the last fault is mended; raises what kept it from that."""
        self._thread.join()
        if self._error is not None:
            raise self._error

    @property
    def _faults(self):
        return [
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

    def _run(self):
        try:
            self._inject()
        except Exception as error:
            self._error = error

    def _inject(self):
        for _ in range(self._count):
            fault = self._random.choice(self._faults)
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


class _RestartChaos(_Chaos):
    """Workers also start again, and a runner and a dispatcher stop in turn."""

    @property
    def _faults(self):
        restarts = [self._restart_worker] * 4 + [self._stop_in_turn] * 3
        return super()._faults + restarts


class _DaemonChaos(_Chaos):
    """Daemons stand still, stop or are killed, alone or all at once."""

    @property
    def _faults(self):
        herd = [self._kill_herd_twice] * 3
        return [self._freeze, self._replace, self._stop, self._stop_in_turn, *herd]

    def _kill_herd_twice(self, number):
        """All dispatchers, or all runners too, are killed at once, twice."""
        names = self._cluster.layout.dispatcher_names
        herd = self._random.choice((names, self._cluster.daemons))
        self._cluster.kill_together(herd)
        self._cluster.start_together(herd)
        time.sleep(self._random.uniform(*BETWEEN_KILLS_S))
        self._cluster.kill_together(herd)
        return lambda: self._cluster.start_together(herd)


class _WorkerChaos(_Chaos):
    """Workers start again, and some or all of them have a fault for longer."""

    @property
    def _faults(self):
        return [self._restart_worker] + [self._disturb_workers] * 4

    def _disturb_workers(self, number):
        count = self._random.choice((1, len(self._numbers)))
        names = [f"worker-{each}" for each in self._random.sample(self._numbers, count)]
        faults = self._random.choice(WIDE_WORKER_FAULTS)
        seed = self._random.randrange(1_000_000)
        for name in names:
            self._cluster.set_faults(name, **faults, seed=seed)
        self.applied.append(f"{faults} {names}")
        time.sleep(self._random.uniform(0, LONGEST_WORKER_FAULT_S))
        return lambda: [self._cluster.set_faults(name) for name in names]


class _NetworkChaos(_Chaos):
    """The network and the log are disturbed."""

    @property
    def _faults(self):
        return [
            self._freeze_connections,
            self._disturb_proxy,
            self._disturb_log,
            self._move_partitions,
        ]


class _CutChaos(_Chaos):
    """A runner is cut off until its tasks run elsewhere, and is then heard again.

    A dispatcher is lost shortly before that, at times.
    """

    @property
    def _faults(self):
        return [self._cut_off, self._cut_off_and_kill]

    def _cut_off(self, number):
        proxy = f"proxy-{number}"
        self._cluster.set_faults(proxy, cut=True)
        time.sleep(self._random.uniform(*LONG_CUT_S))
        return lambda: self._cluster.set_faults(proxy)

    def _cut_off_and_kill(self, number):
        heal = self._cut_off(number)
        name = self._random.choice(self._cluster.layout.dispatcher_names)
        time.sleep(self._random.uniform(0, LONGEST_PAUSE_S))
        self._cluster.kill(name)

        def mend():
            heal()
            time.sleep(self._random.uniform(0, LONGEST_FAULT_S))
            self._cluster.start_again(name)

        return mend


class _OutageChaos(_Chaos):
    """The log is away for some seconds, and then well for some."""

    @property
    def _faults(self):
        return [self._log_away]

    def _log_away(self, number):
        time.sleep(self._random.uniform(*BETWEEN_OUTAGES_S))
        mend = self._disturb("log", LOG_FAULTS)
        time.sleep(self._random.uniform(*OUTAGE_S))
        return mend


class _CrowdChaos(_Chaos):
    """Crowds of clients come to a server of a daemon, stay for a while and leave."""

    @property
    def _faults(self):
        return [self._send_crowd]

    def _send_crowd(self, number):
        name = self._daemon(number)
        role = name.rpartition("-")[0]
        servers = [each for each in SERVERS.values() if each.daemon.startswith(role)]
        server = self._random.choice(servers)
        # Not the jobs of the callers, whose ids begin with a zero.
        path = server.path.replace("{number:016x}", "c{number:015x}")
        server = replace(server, path=path)
        kind = self._random.choice(list(IDLE_ATTACKS))
        attack = IDLE_ATTACKS[kind]
        attack = replace(attack, clients=min(attack.clients, CROWD_CLIENTS), waves=1)
        self.applied.append(f"{kind} at the {server.name}")
        crowd = Crowd(server, self._cluster.address(name, server.name), CROWD_TIMEOUT_S)
        with suppress(TimeoutError):
            crowd.send(attack)
        return crowd.leave
