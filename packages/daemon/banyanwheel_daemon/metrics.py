"""Counters, histograms and gauges, rendered as Prometheus text by OpenTelemetry.

The OpenTelemetry libraries are imported at the first rendering: their import takes a
sixth of the start of a process, and processes that are never scraped don't need them.
"""

from collections import Counter, deque

__all__ = ["REFUSALS", "Metrics"]

REFUSALS = "banyanwheel.refusals"
MAX_EARLY_OBSERVATIONS = 10_000  # before the first rendering: some minutes of load


class Metrics:
    """The metrics of one process, named by its settings and its role."""

    content_type = "text/plain; version=0.0.4; charset=utf-8"

    def __init__(self, process, role):
        self._resource = {
            "service.name": f"banyanwheel-{role}",
            "service.instance.id": process,
        }
        self._totals = Counter()
        self._early_observations = deque(maxlen=MAX_EARLY_OBSERVATIONS)
        self._gauges = []
        self._instruments = None

    @property
    def totals(self):
        """The counters as a dict of (name, reason) to the count."""
        return dict(self._totals)

    def count(self, name, reason, amount=1):
        """Adds to the counter ``name`` under the attribute ``reason``."""
        self._totals[name, str(reason)] += amount
        if self._instruments is not None:
            self._instruments.count(name, str(reason), amount)

    def observe(self, name, seconds, **attributes):
        """Adds a duration in seconds to the histogram ``name``.

        Before the first rendering only the last ``MAX_EARLY_OBSERVATIONS`` are kept.
        """
        if self._instruments is None:
            self._early_observations.append((name, seconds, attributes))
        else:
            self._instruments.observe(name, seconds, attributes)

    def gauge(self, name, read, unit=""):
        """Registers a gauge whose value is ``read()`` at each rendering."""
        self._gauges.append((name, read, unit))
        if self._instruments is not None:
            self._instruments.gauge(name, read, unit)

    def render(self):
        """Returns all metrics as bytes in the Prometheus text format."""
        if self._instruments is None:
            self._load_instruments()
        return self._instruments.render()

    def close(self):
        """Shuts the OpenTelemetry provider down, if it was loaded."""
        if self._instruments is not None:
            self._instruments.close()

    def _load_instruments(self):
        from .instruments import Instruments

        self._instruments = Instruments(self._resource)
        for (name, reason), amount in self._totals.items():
            self._instruments.count(name, reason, amount)
        for name, seconds, attributes in self._early_observations:
            self._instruments.observe(name, seconds, attributes)
        for gauge in self._gauges:
            self._instruments.gauge(*gauge)
        self._early_observations.clear()
