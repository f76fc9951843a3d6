"""Reads the daemons' metrics, and judges which messages led to nothing."""

import urllib.request
from collections import Counter
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

__all__ = ["Messages", "Readings", "scrape"]

TIMEOUT_S = 10
PREFIX = "banyanwheel_"
SENT = "sent"

# Messages that led to nothing, by the type that tells of it: a withdrawn or refused
# reservation and an unused grant cost a message each way.
WASTE_BY_TYPE = {
    "ReserveLowered": 2,
    "ReserveRepeated": 1,
    "ReservationQueued": 1,
    "ReservationRefused": 2,
    "StartRefused": 2,
    "Ping": 1,
    "Pong": 1,
    "Misaddressed": 2,
}
WASTE_BY_COUNTER = {"grants_unused": 2}
# Messages for the tasks themselves; the rest is membership and configuration.
UNANSWERED = ("transport_unroutable", "transport_overflowed", "transport_malformed")


@dataclass(frozen=True, slots=True)
class Readings:
    """Sums over daemons: counters by (name, reason), and by name what has no reason."""

    counters: Counter
    gauges: Counter

    def __sub__(self, earlier):
        counters, gauges = Counter(self.counters), Counter(self.gauges)
        counters.subtract(earlier.counters)
        gauges.subtract(earlier.gauges)
        return Readings(+counters, gauges)

    def __add__(self, other):
        return Readings(self.counters + other.counters, self.gauges + other.gauges)

    def by_reason(self, name):
        """Returns a counter's amounts by reason."""
        return {
            reason: amount
            for (counter, reason), amount in self.counters.items()
            if counter == name
        }


@dataclass(frozen=True, slots=True)
class Messages:
    """Messages per task between the system's processes, and the wasted ones."""

    tasks: int
    sent: dict
    wasted: dict
    envelopes: float

    @classmethod
    def from_readings(cls, readings, tasks):
        """Divides what was counted by the number of tasks."""
        sent = readings.by_reason(SENT)
        wasted = {
            name: amount * WASTE_BY_TYPE[name]
            for name, amount in sent.items()
            if name in WASTE_BY_TYPE
        }
        for name, cost in WASTE_BY_COUNTER.items():
            amounts = readings.by_reason(name).values()
            wasted[name] = cost * sum(amounts)
        for name in UNANSWERED:
            wasted[name] = readings.gauges[name]
        return cls(tasks, sent, wasted, readings.gauges["transport_envelopes_out"])

    def to_dict(self):
        """Returns the amounts per task."""
        return {
            "messages": self._per_task(sum(self.sent.values())),
            "envelopes": self._per_task(self.envelopes),
            "wasted": self._per_task(sum(self.wasted.values())),
            "by_type": self._each(self.sent),
            "wasted_by_reason": self._each(self.wasted),
        }

    def _each(self, amounts):
        return {
            name: self._per_task(amount)
            for name, amount in sorted(amounts.items())
            if amount
        }

    def _per_task(self, amount):
        return round(amount / max(1, self.tasks), 4)


def scrape(addresses):
    """Returns the sums of what the daemons at ``addresses`` show."""
    counters, gauges = Counter(), Counter()
    for address in addresses:
        for family in _families(address):
            for sample in family.samples:
                _add(sample, counters, gauges)
    return Readings(counters, gauges)


def _families(address):
    with urllib.request.urlopen(
        f"http://{address}/metrics", timeout=TIMEOUT_S
    ) as response:
        return list(text_string_to_metric_families(response.read().decode()))


def _add(sample, counters, gauges):
    if not sample.name.startswith(PREFIX):
        return
    name = sample.name.removeprefix(PREFIX)
    reason = sample.labels.get("reason")
    if reason is None:
        gauges[name.removesuffix("_total")] += sample.value
    else:
        counters[name.removesuffix("_total"), reason] += sample.value
