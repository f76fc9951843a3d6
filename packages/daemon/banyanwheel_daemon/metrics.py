"""Counters and gauges by OpenTelemetry, rendered as Prometheus text."""

from collections import Counter

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import (
    CollectorRegistry,
    GCCollector,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST

__all__ = ["REFUSALS", "Metrics"]

REFUSALS = "banyanwheel.refusals"
# Bounds in seconds, from a hop between processes to the longest deadlines.
_DURATIONS = ExplicitBucketHistogramAggregation(
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4, 8, 16]
)


class Metrics:
    """The metrics of one process."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(self, process, role):
        self._counters = {}
        self._histograms = {}
        self._totals = Counter()
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        GCCollector(registry=self._registry)
        resource = Resource(
            {"service.name": f"banyanwheel-{role}", "service.instance.id": process}
        )
        self._provider = MeterProvider(
            views=[View(instrument_name="*.duration", aggregation=_DURATIONS)],
            metric_readers=[PrometheusMetricReader(registry=self._registry)],
            resource=resource,
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("banyanwheel")

    def count(self, name, reason, amount=1):
        """Adds to the counter ``name`` under the attribute ``reason``."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter.create_counter(name)
            self._counters[name] = counter
        counter.add(amount, {"reason": str(reason)})
        self._totals[name, str(reason)] += amount

    @property
    def totals(self):
        """The counters as a mapping of (name, reason) to a count."""
        return dict(self._totals)

    def observe(self, name, seconds, **attributes):
        """Adds a duration in seconds to the histogram ``name``."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name, unit="s")
            self._histograms[name] = histogram
        histogram.record(seconds, attributes)

    def gauge(self, name, read, unit=""):
        """Registers a gauge whose value is ``read()`` at each rendering."""
        self._meter.create_observable_gauge(
            name, callbacks=[lambda options: [Observation(read())]], unit=unit
        )

    def total(self, name, read, unit=""):
        """Registers a counter whose value is ``read()``, which never falls."""
        self._meter.create_observable_counter(
            name, callbacks=[lambda options: [Observation(read())]], unit=unit
        )

    def render(self):
        """Returns all metrics as bytes in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self):
        """Frees what the metrics hold."""
        self._provider.shutdown()
