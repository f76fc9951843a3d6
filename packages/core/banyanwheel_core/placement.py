"""Choice of executors for waiting tasks.

A sender knows of each executor what it last reported of its load, less the slots that
the sender itself has asked for since, and the run times and failures seen there.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Candidate", "Placement"]

SAMPLES = 4  # executors compared for one choice
UNKNOWN_LOAD_MS = 2.0  # assumed wait at an executor that has not reported lately
LOAD_VALID_SECONDS = 0.5  # a report older than this counts as none
FAR_MS = 3.0  # added for another data centre
FAILURE_RATE_WEIGHT = 0.2  # of the newest outcome in the moving average
FLEET_WEIGHT = 0.02  # of the newest run time in the fleet's moving average
PACE_WEIGHT = 0.05  # of the newest run time in an executor's moving average
DEFAULT_RUN_MS = 100.0
FAILURE_MARGIN = 0.5  # failure rate above the fleet's that ejects an executor
MIN_OUTCOMES = 5  # outcomes seen before an executor can be ejected
MAX_EJECTED_SHARE = 0.3  # of the executors known
EJECTION_SECONDS = 10.0  # until the first trial; doubles with each ejection
MAX_EJECTION_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An executor that offers the service."""

    name: str
    data_centre: str
    slots: int


@dataclass(slots=True)
class _Seen:
    """What this sender has seen of one executor."""

    free_slots: float | None = None
    queued_ms: float = 0.0
    reported_at: float = 0.0
    pace: float = 1.0
    failure_rate: float = 0.0
    outcomes: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    on_trial: bool = False


def _least_expected(placement, flow, sample, now):
    return min(sample, key=lambda c: placement.expected_ms(flow, c, now))


def _least_reserved(placement, flow, sample, now):
    return min(sample, key=lambda candidate: placement.reserved(candidate.name))


def _first(placement, flow, sample, now):
    return sample[0]


_CHOICES: dict[str, Callable] = {
    "expected": _least_expected,
    "outstanding": _least_reserved,
    "random": _first,
}


class Placement:
    """Picks the executor with the earliest expected completion in a sample."""

    def __init__(self, data_centre, random, choice="expected", samples=SAMPLES):
        self._data_centre = data_centre
        self._random = random
        self._choose = _CHOICES[choice]
        self._samples = samples
        self._seen = {}
        self._reserved = {}
        self._fleet_ms = {}

    def reserved(self, name):
        """Slots that this sender has asked for at an executor and not seen freed."""
        return self._reserved.get(name, 0)

    def loaded(self, name, load, now):
        """Takes in a load that an executor reported."""
        seen = self._seen.setdefault(name, _Seen())
        seen.reported_at = now
        seen.free_slots = float(load.free_slots)
        seen.queued_ms = float(load.queued_ms)

    def asked(self, name, slots):
        """Notes slots asked for, or with a negative number given up or granted."""
        self._reserved[name] = max(0, self._reserved.get(name, 0) + slots)

    def started(self, name, slots):
        """Notes slots put to use, so that the next choice counts them as taken."""
        seen = self._seen.setdefault(name, _Seen())
        if seen.free_slots is not None:
            seen.free_slots = max(0.0, seen.free_slots - slots)

    def succeeded(self, name, flow, run_ms):
        """Notes a task that an executor finished."""
        seen = self._seen.setdefault(name, _Seen())
        key = (flow.service, flow.kind)
        fleet = self._fleet_ms.get(key, float(run_ms))
        self._fleet_ms[key] = fleet + FLEET_WEIGHT * (run_ms - fleet)
        seen.pace += PACE_WEIGHT * (run_ms / max(1.0, fleet) - seen.pace)
        self._outcome(seen, 0.0)
        if seen.on_trial:
            seen.on_trial = False
            seen.ejections = 0
            seen.failure_rate = 0.0

    def failed(self, name, now):
        """Notes a task that an executor failed; may eject the executor."""
        seen = self._seen.setdefault(name, _Seen())
        self._outcome(seen, 1.0)
        if seen.on_trial or self._is_outlier(seen):
            self._eject(seen, now)

    def free(self, name, now):
        """Slots that an executor reported free and this sender has not asked for."""
        seen = self._seen.get(name)
        if not _has_report(seen, now):
            return 0
        return max(0, int(seen.free_slots) - self.reserved(name))

    def share(self, name, want, candidates, now):
        """Slots to ask of an executor at once, when ``want`` are wanted in all."""
        even = -(-want // max(1, 2 * candidates))
        return min(want, max(even, self.free(name, now), 1))

    def ejected(self, name, now):
        """Tells whether an executor is left out for failing more than its peers."""
        seen = self._seen.get(name)
        return seen is not None and seen.ejected_until > now

    def choose(self, flow, candidates, now):
        """Returns one of ``candidates``, or None where there is none to use."""
        usable = [c for c in candidates if not self.ejected(c.name, now)]
        usable = [c for c in usable if not self._trial_taken(c.name)]
        if not usable:
            return None
        if len(usable) <= self._samples:
            sample = self._random.sample(usable, len(usable))
        else:
            sample = self._random.sample(usable, self._samples)
        return self._choose(self, flow, sample, now)

    def expected_ms(self, flow, candidate, now):
        """Milliseconds until a task would be done at a candidate."""
        seen = self._seen.get(candidate.name) or _Seen()
        run_ms = seen.pace * self.fleet_run_ms(flow)
        far = FAR_MS if candidate.data_centre != self._data_centre else 0.0
        return far + run_ms + self._wait_ms(seen, candidate, run_ms, now)

    def _wait_ms(self, seen, candidate, run_ms, now):
        """The wait by the last report; without one, the slots are taken as free."""
        ahead = self.reserved(candidate.name) + 1
        per_task_ms = run_ms / max(1, candidate.slots)
        if not _has_report(seen, now):
            beyond = max(0, ahead - candidate.slots)
            return UNKNOWN_LOAD_MS + beyond * per_task_ms
        beyond = max(0.0, ahead - seen.free_slots)
        if not beyond:
            return 0.0
        return seen.queued_ms + beyond * per_task_ms

    def fleet_run_ms(self, flow):
        """Mean run time seen for this kind of work at all executors."""
        return self._fleet_ms.get((flow.service, flow.kind), DEFAULT_RUN_MS)

    def declared(self, flow, run_ms):
        """Takes a declared run time as a first guess, until one is measured."""
        self._fleet_ms.setdefault((flow.service, flow.kind), float(run_ms))

    def pace(self, name):
        """Run time at an executor over that of the fleet, for the same kinds."""
        seen = self._seen.get(name)
        return seen.pace if seen is not None else 1.0

    def _outcome(self, seen, failure):
        seen.outcomes += 1
        seen.failure_rate += FAILURE_RATE_WEIGHT * (failure - seen.failure_rate)

    def _is_outlier(self, seen):
        if seen.outcomes < MIN_OUTCOMES:
            return False
        others = [s.failure_rate for s in self._seen.values() if s is not seen]
        fleet = sum(others) / len(others) if others else seen.failure_rate
        return seen.failure_rate > fleet + FAILURE_MARGIN

    def _eject(self, seen, now):
        ejected = sum(s.ejected_until > now for s in self._seen.values())
        if ejected >= max(1, int(MAX_EJECTED_SHARE * len(self._seen))):
            return
        pause = min(MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2**seen.ejections)
        seen.ejected_until = now + pause
        seen.ejections += 1
        seen.on_trial = True

    def _trial_taken(self, name):
        seen = self._seen.get(name)
        return seen is not None and seen.on_trial and self.reserved(name) > 0


def _has_report(seen, now):
    if seen is None or seen.free_slots is None:
        return False
    return now - seen.reported_at <= LOAD_VALID_SECONDS
