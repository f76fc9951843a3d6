"""The OpenTelemetry instruments behind the metrics of a process."""

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

__all__ = ["Instruments"]

# Bucket bounds in seconds, from a message between processes to the longest deadlines.
_DURATION_BUCKETS = ExplicitBucketHistogramAggregation(
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4, 8, 16]
)


class Instruments:
    """Counters, histograms and gauges, each created at its first use.

    ``resource`` is the mapping of the OpenTelemetry resource attributes.
    """

    def __init__(self, resource):
        self._counters = {}
        self._histograms = {}
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        GCCollector(registry=self._registry)
        self._provider = MeterProvider(
            views=[View(instrument_name="*.duration", aggregation=_DURATION_BUCKETS)],
            metric_readers=[PrometheusMetricReader(registry=self._registry)],
            resource=Resource(resource),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("banyanwheel")

    def count(self, name, reason, amount):
        """Adds ``amount`` to the counter ``name`` under the label ``reason``."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = self._meter.create_counter(name)
        counter.add(amount, {"reason": reason})

    def observe(self, name, seconds, attributes):
        """Adds a duration in seconds to the histogram ``name``."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name, unit="s")
            self._histograms[name] = histogram
        histogram.record(seconds, attributes)

    def gauge(self, name, read, unit):
        """Registers a gauge whose value is ``read()`` at each rendering."""
        self._meter.create_observable_gauge(
            name, callbacks=[lambda options: [Observation(read())]], unit=unit
        )

    def render(self):
        """Returns all metrics as bytes in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self):
        """Shuts the OpenTelemetry provider down."""
        self._provider.shutdown()
