"""Metrics as text, by ``prometheus_client``; loaded when they are first asked for."""

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
    """Renders a node's metrics again and again."""

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_CountedCollector(metrics))
        for make in metrics.make_collectors:
            self._registry.register(make())

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def value(self, name: str, labels: dict[str, str]) -> float | None:
        """Return one sample, ``None`` where there is none."""
        return self._registry.get_sample_value(name, labels)


class _CountedCollector(Collector):
    """Turns counters and histograms into metric families."""

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._metrics = metrics

    def describe(self) -> Iterator[Metric]:
        """Name no family in advance."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield every family."""
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
    for labels, seen in histogram.values.items():
        family.add_metric(list(labels), _added_up(histogram.bounds, seen), seen.sum)
    return family


def _added_up(bounds: tuple[float, ...], seen: Observations) -> list[tuple[str, float]]:
    """Return the pairs of a bound and how many values do not pass it."""
    total = 0
    buckets: list[tuple[str, float]] = []
    for bound, count in zip((*bounds, float("inf")), seen.counts, strict=True):
        total += count
        buckets.append((_bound_text(bound), total))
    return buckets


def _bound_text(bound: float) -> str:
    return "+Inf" if isinf(bound) else str(bound)
