"""Learns which kinds of tasks slow each other down, and what that costs at a worker."""

import copy
from collections import OrderedDict, deque
from dataclasses import dataclass
from math import exp, log

from ..model import EndKind
from ..silent_log import SilentLog
from .pairs import MIN_SLOWDOWN, Sample, find_causes
from .presence import Presence

__all__ = ["Interference", "Pair", "kind_name"]

MAX_KINDS = 16  # further kinds are passed over while all of these have runs
MAX_GROUPS = 1_024  # sets of kinds that are shared by the samples to save memory
# A tenth of the runs of a busy worker may be without another kind: enough for MIN_CLEAR
# at each of some dozen workers.
SAMPLES_PER_KIND = 2_048
SAMPLE_AGE_S = 120.0  # a worker's speed may have changed since older runs
NEW_SAMPLES = 32  # since the last estimate for a kind, before the next one
REFRESH_S = 1.0  # between estimates of one kind, which cost some ms of processor time
# Kept apart, kinds yield no more evidence: a pair fades and has to be found again.
HALF_LIFE_S = 60.0


@dataclass(frozen=True, slots=True)
class Pair:
    """Runs of ``victim`` take ``factor`` times as long beside a run of ``cause``."""

    victim: tuple
    cause: tuple
    factor: float
    confirmed_at: float

    def faded(self, now):
        """Returns the factor with the part above 1 halved each ``HALF_LIFE_S``."""
        return 1 + (self.factor - 1) * 0.5 ** ((now - self.confirmed_at) / HALF_LIFE_S)


class _Samples:
    """The recent samples of one kind."""

    def __init__(self):
        self.recent = deque(maxlen=SAMPLES_PER_KIND)
        self.new = 0
        self.newest_at = float("-inf")

    def add(self, sample):
        self.recent.append(sample)
        self.new += 1
        self.newest_at = sample.at

    def drop_old(self, now):
        while self.recent and now - self.recent[0].at > SAMPLE_AGE_S:
            self.recent.popleft()


class Interference:
    """The pairs of kinds that interfere, learned by one placer.

    ``expected_ms(kind, worker, estimate_ms)`` is the run time without interference that
    run times are compared with; by default it is the estimate.
    """

    def __init__(self, event_log, expected_ms=None):
        self._event_log = event_log
        self._expected_ms = expected_ms or _estimate_only
        self._presence = Presence()
        self._samples = OrderedDict()  # by kind, that of the last run at the end
        self._groups = {}  # sets of kinds, by themselves
        self._pairs = {}  # by (victim, cause)
        self._factors = {}  # faded ones, by (victim, cause)
        # Of each kind in a pair: slowdown from and of each other kind, less 1.
        self._partners = {}
        self._refreshed_at = float("-inf")

    @property
    def pairs(self):
        """The pairs found, with the factors that are in force at present."""
        return [
            Pair(victim, cause, factor, self._pairs[victim, cause].confirmed_at)
            for (victim, cause), factor in sorted(self._factors.items())
        ]

    @property
    def kinds(self):
        """The kinds of which run times are kept, at most ``MAX_KINDS``."""
        return frozenset(self._samples)

    def copy(self):
        """Returns the same knowledge, to be used for choices that take no effect."""
        other = copy.copy(self)
        other._presence = copy.deepcopy(self._presence)
        other._event_log = SilentLog()
        return other

    def record_placed(self, worker, job, task, now):
        """Records that a task has been placed at a worker."""
        step = job.step_of(task)
        key, kind = (task.id, task.run), _kind(job, task)
        self._presence.place(worker, key, kind, step.estimate_ms, now)

    def observe(self, view, report, now):
        """Learns from a report what runs at a worker and how long ended runs took."""
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now)
        for end, run, alongside in self._presence.observe(view, report, now):
            if end.kind is EndKind.DONE and alongside is not None:
                self._add_sample(view.name, end.run_ms, run, alongside, now)

    def _add_sample(self, worker, run_ms, run, alongside, now):
        samples = self._samples_of(run.kind, now)
        if samples is None:
            return
        expected_ms = self._expected_ms(run.kind, worker, run.estimate_ms)
        log_ratio = log(run_ms / max(1, expected_ms))
        known = alongside.intersection(self._samples)
        if len(self._groups) >= MAX_GROUPS:
            self._groups.clear()
        group = self._groups.setdefault(known, known)
        samples.add(Sample(now, worker, log_ratio, group))

    def _samples_of(self, kind, now):
        """Returns the samples of a kind, or None if there are too many kinds."""
        if kind not in self._samples:
            if len(self._samples) >= MAX_KINDS:
                oldest = next(iter(self._samples))
                if now - self._samples[oldest].newest_at <= SAMPLE_AGE_S:
                    return None
                del self._samples[oldest]
            self._samples[kind] = _Samples()
        self._samples.move_to_end(kind)
        return self._samples[kind]

    def concerns(self, job, task):
        """Returns whether a task is of a kind that interferes with another."""
        return _kind(job, task) in self._partners

    def slowdowns(self, job, task, worker):
        """Returns what a task would suffer and cause at a worker.

        The first is the factor by which it would take longer; the second is how much
        longer it would make other runs take, in run times of the task.
        """
        kind, estimate_ms = _kind(job, task), max(1, job.step_of(task).estimate_ms)
        suffered, caused = 1.0, 0.0
        present = self._presence.at(worker)
        for other, (slowed, slowing) in self._partners[kind].items():
            if other in present:
                count, total_ms = present[other]
                suffered = max(suffered, 1 + slowed)
                caused += slowing * min(count, total_ms / estimate_ms)
        return suffered, caused

    def count_separated(self, job, task):
        """Counts a task that gets another worker than it would without interference."""
        name = kind_name(_kind(job, task))
        self._event_log.count("banyanwheel.interference.separated", name)

    def describe(self, job):
        """Returns a text on the pairs that concern a job, empty without any."""
        queue = job.submission.queue.name
        kinds = {(queue, number) for number in range(len(job.submission.steps))}
        texts = [
            f"{kind_name(pair.victim)} takes {pair.factor:.2f} times as long beside "
            f"{kind_name(pair.cause)}"
            for pair in self.pairs
            if pair.victim in kinds or pair.cause in kinds
        ]
        return f"kept apart where there is room: {', '.join(texts)}" if texts else ""

    def _refresh(self, now):
        """Estimates the kind with most new samples anew, and lets other pairs fade."""
        self._refreshed_at = now
        self._presence.drop_silent(now)
        kind = max(
            self._samples, key=lambda kind: self._samples[kind].new, default=None
        )
        if kind is not None and self._samples[kind].new >= NEW_SAMPLES:
            self._estimate(kind, self._samples[kind], now)
        self._fade(now)

    def _estimate(self, kind, samples, now):
        samples.new = 0
        samples.drop_old(now)
        for cause, estimate in find_causes(samples.recent).items():
            self._update(kind, cause, estimate, now)

    def _update(self, victim, cause, estimate, now):
        key = (victim, cause)
        if key not in self._pairs and not estimate.found:
            return
        if estimate.refuted:
            self._forget(key, "refuted")
            return
        factor = exp(estimate.log_slowdown)
        if key not in self._pairs:
            self._log("interference:found", key, factor=factor, runs=estimate.runs)
            self._event_log.count("banyanwheel.interference.found", _pair_name(*key))
        self._pairs[key] = Pair(victim, cause, factor, now)

    def _fade(self, now):
        for key, pair in list(self._pairs.items()):
            if pair.faded(now) < MIN_SLOWDOWN:
                self._forget(key, "faded")
        self._factors = {key: pair.faded(now) for key, pair in self._pairs.items()}
        self._partners = {}
        for victim, cause in self._factors:
            self._add_partner(victim, cause)
            self._add_partner(cause, victim)

    def _add_partner(self, kind, other):
        self._partners.setdefault(kind, {})[other] = (
            self._factors.get((kind, other), 1.0) - 1,
            self._factors.get((other, kind), 1.0) - 1,
        )

    def _forget(self, key, reason):
        del self._pairs[key]
        self._log("interference:forgotten", key, reason=reason)
        self._event_log.count("banyanwheel.interference.forgotten", _pair_name(*key))

    def _log(self, event, key, **fields):
        victim, cause = key
        if "factor" in fields:
            fields["factor"] = round(fields["factor"], 2)
        self._event_log(
            event, victim=kind_name(victim), cause=kind_name(cause), **fields
        )


def kind_name(kind):
    """Returns a kind as operators see it: queue, dot, step number."""
    queue, step = kind
    return f"{queue}.{step}"


def _pair_name(victim, cause):
    return f"{kind_name(victim)} beside {kind_name(cause)}"


def _kind(job, task):
    return job.submission.queue.name, task.id.step


def _estimate_only(kind, worker, estimate_ms):
    return estimate_ms
