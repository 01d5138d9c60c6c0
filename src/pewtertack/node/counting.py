"""Counters and histograms without import cost at start-up.

``prometheus_client`` pulls in web server, TLS and e-mail modules: a fifth of a node's import time
and 10 MB. It is imported when the metrics are first read (``node.exposition``) and then renders
what was counted here.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

Labels = tuple[str, ...]
"""Values of a metric's labels, in the order of their names."""


class Counter:
    """A number that only increases, for each combination of labels."""

    __slots__ = ("documentation", "label_names", "name", "values")

    def __init__(self, name: str, documentation: str, label_names: Labels) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = label_names
        self.values: dict[Labels, int] = {}

    def inc(self, labels: Labels, amount: int = 1) -> None:
        """Increase the counter by ``amount``."""
        self.values[labels] = self.values.get(labels, 0) + amount


class Observations:
    """Values observed by a histogram for one combination of labels."""

    __slots__ = ("counts", "sum")

    def __init__(self, buckets: int) -> None:
        self.counts = [0] * buckets
        """Number of values in each bucket, not cumulative; the last bucket is for values above all
        bounds."""
        self.sum = 0.0


class Histogram:
    """Distribution of values over buckets with upper bounds, for each combination of labels."""

    __slots__ = ("bounds", "documentation", "label_names", "name", "values")

    def __init__(
        self, name: str, documentation: str, label_names: Labels, bounds: tuple[float, ...]
    ) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = label_names
        self.bounds = bounds
        self.values: dict[Labels, Observations] = {}

    def observe(self, labels: Labels, value: float) -> None:
        """Count ``value`` in the first bucket whose bound it does not exceed."""
        observations = self.values.get(labels)
        if observations is None:
            observations = self.values[labels] = Observations(len(self.bounds) + 1)
        observations.counts[bisect_left(self.bounds, value)] += 1
        observations.sum += value


class MetricsRegistry:
    """All metrics of a node."""

    __slots__ = ("counters", "histograms", "make_collectors")

    def __init__(self) -> None:
        self.counters: list[Counter] = []
        self.histograms: list[Histogram] = []
        self.make_collectors: list[Callable[[], Collector]] = []

    def counter(self, name: str, documentation: str, label_names: Labels) -> Counter:
        """Return a new counter; its exposed name gets the suffix ``_total``."""
        metric = Counter(name, documentation, label_names)
        self.counters.append(metric)
        return metric

    def histogram(
        self, name: str, documentation: str, label_names: Labels, bounds: tuple[float, ...]
    ) -> Histogram:
        """Return a new histogram with these upper bounds, in ascending order."""
        metric = Histogram(name, documentation, label_names, bounds)
        self.histograms.append(metric)
        return metric

    def add_collector(self, make: Callable[[], Collector]) -> None:
        """Also expose the collector that ``make`` returns when the metrics are first read."""
        self.make_collectors.append(make)
