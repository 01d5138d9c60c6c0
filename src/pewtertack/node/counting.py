"""Counters and histograms that cost a start nothing.

``prometheus_client``, whose web server, TLS and e-mail modules come along, took a fifth of a
node's imports and 10 MB. It is loaded when the metrics are first asked for
(``node.exposition``) and turns what was counted here into its text.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

Labels = tuple[str, ...]
"""The values of a metric's labels, in the order of their names."""


class Counter:
    """A number that only grows, for each combination of labels."""

    __slots__ = ("documentation", "label_names", "name", "values")

    def __init__(self, name: str, documentation: str, label_names: Labels) -> None:
        self.name = name
        self.documentation = documentation
        self.label_names = label_names
        self.values: dict[Labels, int] = {}

    def inc(self, labels: Labels, amount: int = 1) -> None:
        """Add ``amount``."""
        self.values[labels] = self.values.get(labels, 0) + amount


class Observations:
    """What a histogram has seen with one combination of labels."""

    __slots__ = ("counts", "sum")

    def __init__(self, buckets: int) -> None:
        self.counts = [0] * buckets
        """Values by bucket, not added up; the last is for those above every bound."""
        self.sum = 0.0


class Histogram:
    """The distribution of values, by upper bounds, for each combination of labels."""

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
        """Count ``value`` in the first bucket whose bound it does not pass."""
        seen = self.values.get(labels)
        if seen is None:
            seen = self.values[labels] = Observations(len(self.bounds) + 1)
        seen.counts[bisect_left(self.bounds, value)] += 1
        seen.sum += value


class MetricsRegistry:
    """All metrics of a node."""

    __slots__ = ("counters", "histograms", "make_collectors")

    def __init__(self) -> None:
        self.counters: list[Counter] = []
        self.histograms: list[Histogram] = []
        self.make_collectors: list[Callable[[], Collector]] = []

    def counter(self, name: str, documentation: str, label_names: Labels) -> Counter:
        """Return a new counter; its exposed name gets the suffix ``_total``."""
        made = Counter(name, documentation, label_names)
        self.counters.append(made)
        return made

    def histogram(
        self, name: str, documentation: str, label_names: Labels, bounds: tuple[float, ...]
    ) -> Histogram:
        """Return a new histogram with these upper bounds, in ascending order."""
        made = Histogram(name, documentation, label_names, bounds)
        self.histograms.append(made)
        return made

    def add_collector(self, make: Callable[[], Collector]) -> None:
        """Expose also what the collector yields that ``make`` returns when first asked for."""
        self.make_collectors.append(make)
