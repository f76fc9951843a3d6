"""The experiments: each starts a system, sends jobs and returns its figures."""

import os
import time

from tests.standins.history import TaskStarted

from .measures import placements, refusals, summary
from .scrape import Messages, scrape
from .sending import Sending, base_streams, flood_stream
from .system import System
from .variant import UNCHANGED

__all__ = ["failing_run", "flood_run", "steady_run"]

WARM_UP_S = 4.0
EJECTION_S = 1.0  # after which a failing worker should get almost nothing
FAILING_NUMBER = 1
FLOOD_SENDERS = 3  # processes, so that none of them is the bottleneck


def steady_run(deployment, load, seconds, seed, *, delays, variant=UNCHANGED):
    """Sends at a steady load; measures after a warm-up."""
    begin, end = WARM_UP_S, WARM_UP_S + seconds
    with System(deployment, variant=variant, delays=delays) as system:
        system.configure()
        streams = base_streams(deployment, load, end, seed)
        sending = Sending(deployment, system.doors.values(), [streams])
        window = _Window(system, sending, begin, end)
        samples = sending.samples()
    phases = {"steady": (begin, end)}
    measured = _measured(deployment, samples, phases, delays)
    tasks = sum(s.tasks for s in samples if begin <= s.due < end)
    return {
        "experiment": "steady",
        "variant": str(variant),
        "load": load,
        **_setting(deployment, seconds, seed, delays),
        **measured,
        "placements": placements(
            deployment, samples, begin, end, deployment.round_trips_ms(delays)
        ),
        **window.figures(tasks),
    }


def flood_run(
    deployment, kind, load, factor, seconds, seed, *, delays, variant=UNCHANGED
):
    """Floods with one kind between two phases of a steady load."""
    begin = WARM_UP_S
    flood_begin, flood_end = begin + seconds, begin + 2 * seconds
    end = flood_end + seconds
    with System(deployment, variant=variant, delays=delays) as system:
        system.configure()
        base = base_streams(deployment, load, end, seed)
        floods = [
            [
                flood_stream(
                    deployment,
                    kind,
                    factor / FLOOD_SENDERS,
                    flood_begin,
                    flood_end,
                    seed + 100 + number,
                )
            ]
            for number in range(FLOOD_SENDERS)
        ]
        sending = Sending(deployment, system.doors.values(), [base, *floods])
        window = _Window(system, sending, flood_begin, flood_end)
        samples = sending.samples()
    phases = {
        "before": (begin, flood_begin),
        "during": (flood_begin, flood_end),
        "after": (flood_end, end),
    }
    measured = _measured(deployment, samples, phases, delays)
    return {
        "experiment": f"flood of {kind.name}",
        "variant": str(variant),
        "load": load,
        "factor": factor,
        "headroom_slots": deployment.headroom_slots,
        **_setting(deployment, seconds, seed, delays),
        **measured,
        "kept": _kept(samples, phases, kind.name, deployment, delays),
        **window.figures(_tasks_started(window)),
    }


def failing_run(deployment, load, seconds, seed, *, delays, variant=UNCHANGED):
    """Lets one of the fastest workers fail all that it starts."""
    begin, end = WARM_UP_S, WARM_UP_S + seconds
    with System(deployment, variant=variant, delays=delays, histories=True) as system:
        system.configure()
        streams = base_streams(deployment, load, end, seed)
        sending = Sending(deployment, system.doors.values(), [streams])
        sending.wait_until(begin)
        system.set_faults(f"server-{FAILING_NUMBER}", fail_all=True)
        failing_since = time.monotonic()
        samples = sending.samples()
        starts = [e for e in system.events if isinstance(e, TaskStarted)]
    phases = {"warm-up": (0.0, begin), "failing": (begin, end)}
    return {
        "experiment": "failing worker",
        "variant": str(variant),
        "load": load,
        **_setting(deployment, seconds, seed, delays),
        **_measured(deployment, samples, phases, delays),
        "share_of_starts": {
            "first second": _share(starts, failing_since, failing_since + EJECTION_S),
            "after it": _share(starts, failing_since + EJECTION_S, float("inf")),
        },
    }


def _share(starts, begin, end):
    name = f"server-{FAILING_NUMBER}"
    within = [start.process for start in starts if begin <= start.at < end]
    return {
        "starts": len(within),
        "share": round(within.count(name) / max(1, len(within)), 4),
    }


class _Window:
    """Counters and processor time of the daemons between two moments."""

    def __init__(self, system, sending, begin, end):
        addresses = [system.http(name) for name in system.daemons]
        sending.wait_until(begin)
        used, read = system.usage(), scrape(addresses)
        sending.wait_until(end)
        used_after = system.usage()
        self.readings = scrape(addresses) - read
        self._seconds = end - begin
        self._cpu = {
            name: (used_after[name].cpu_s - used[name].cpu_s) / self._seconds
            for name in used
        }

    def figures(self, tasks):
        """Returns messages per task, counters, and shares of a core."""
        counters = self.readings.counters.items()
        return {
            "tasks_in_window": tasks,
            "messages_per_task": Messages.from_readings(self.readings, tasks).to_dict(),
            "counters": {
                f"{name} {reason}": amount
                for (name, reason), amount in sorted(counters)
                if name != "sent"
            },
            "cpu_share": {
                "entries": self._mean("entry"),
                "agents": self._mean("agent"),
            },
        }

    def _mean(self, role):
        shares = [share for name, share in self._cpu.items() if name.startswith(role)]
        return round(sum(shares) / len(shares), 4)


def _tasks_started(window):
    return int(window.readings.by_reason("sent").get("TaskResults", 0))


def _setting(deployment, seconds, seed, delays):
    kinds = {k.name: [k.shortest_ms, k.longest_ms] for k in deployment.kinds}
    return {
        "run_ms": kinds,
        "seconds": seconds,
        "seed": seed,
        "delays": delays,
        "machine_load": round(os.getloadavg()[0], 1),
    }


def _measured(deployment, samples, phases, delays):
    network_ms = 2 * deployment.client_delay_ms if delays else 0
    ideal_of = _ideal(deployment, delays)
    lags = sorted(sample.lag_ms for sample in samples)
    return {
        "client_lag_p99_ms": round(lags[int(len(lags) * 0.99)], 1),
        "phases": {
            name: {
                kind: measure.to_dict()
                for kind, measure in summary(samples, *bounds, ideal_of).items()
            }
            for name, bounds in phases.items()
        },
        "refusals": {
            name: refusals(samples, *bounds, network_ms)
            for name, bounds in phases.items()
        },
    }


def _ideal(deployment, delays):
    network_ms = deployment.round_trips_ms(delays)

    def ideal_ms(sample):
        return sample.run_ms * deployment.fastest + network_ms

    return ideal_ms


def _kept(samples, phases, flooding, deployment, delays):
    """Other kinds during the flood over before: throughput and p99."""
    ideal_of = _ideal(deployment, delays)
    before = summary(samples, *phases["before"], ideal_of)
    during = summary(samples, *phases["during"], ideal_of)
    return {
        name: {
            "throughput": round(
                _served(during[name]) / _served(before[name]),
                3,
            ),
            "p99": round(during[name].p99_ms / before[name].p99_ms, 2),
        }
        for name in before
        if name not in (flooding, "all")
    }


def _served(measure):
    """Completed share of what was offered: arrivals differ between phases."""
    return measure.completed_per_second / measure.offered_per_second
