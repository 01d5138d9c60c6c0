"""What the callers of all servers hold, as metrics that are read on each scrape."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from pewtertack.node.http.caller_resources import CallerResources


class CallerCollector(Collector):
    """Reads the resources when the metrics are scraped."""

    def __init__(self, resources: CallerResources) -> None:
        self._resources = resources

    def describe(self) -> Iterator[Metric]:
        """Describe no family in advance."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield the memory that callers hold, and how often the limit took effect."""
        memory = self._resources.memory
        yield GaugeMetricFamily(
            "pewtertack_caller_memory_bytes",
            "Memory held for requests beyond a usual one per connection.",
            memory.held_bytes,
        )
        yield CounterMetricFamily(
            "pewtertack_caller_data_discarded",
            "Connections whose incomplete requests were discarded for want of memory.",
            memory.discarded,
        )
