"""Renders metrics as text with ``prometheus_client``; imported when they are first read."""

from __future__ import annotations

from collections.abc import Iterator
from math import isinf

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from pewtertack.node.counting import Counter, Histogram, MetricsRegistry, Observations

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4


class Exposition:
    """Renders a node's metrics, any number of times."""

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_RegistryCollector(metrics))
        for make in metrics.make_collectors:
            self._registry.register(make())

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def value(self, name: str, labels: dict[str, str]) -> float | None:
        """Return one sample, ``None`` if there is none."""
        return self._registry.get_sample_value(name, labels)


class _RegistryCollector(Collector):
    """Converts counters and histograms to metric families."""

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._metrics = metrics

    def describe(self) -> Iterator[Metric]:
        """Describe no family in advance."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        for counter in self._metrics.counters:
            yield _counter_family(counter)
        for histogram in self._metrics.histograms:
            yield _histogram_family(histogram)


def _counter_family(counter: Counter) -> CounterMetricFamily:
    family = CounterMetricFamily(
        counter.name, counter.documentation, labels=list(counter.label_names)
    )
    for labels, value in counter.values.items():
        family.add_metric(list(labels), value)
    return family


def _histogram_family(histogram: Histogram) -> HistogramMetricFamily:
    family = HistogramMetricFamily(
        histogram.name, histogram.documentation, labels=list(histogram.label_names)
    )
    for labels, observations in histogram.values.items():
        family.add_metric(
            list(labels), _cumulative_buckets(histogram.bounds, observations), observations.sum
        )
    return family


def _cumulative_buckets(
    bounds: tuple[float, ...], observations: Observations
) -> list[tuple[str, float]]:
    """Return the cumulative buckets: pairs of a bound and the number of values not above it."""
    total = 0
    buckets: list[tuple[str, float]] = []
    for bound, count in zip((*bounds, float("inf")), observations.counts, strict=True):
        total += count
        buckets.append((_format_bound(bound), total))
    return buckets


def _format_bound(bound: float) -> str:
    return "+Inf" if isinf(bound) else str(bound)
