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
        """Yield the memory and connections of callers, and how often their limits took effect."""
        memory = self._resources.memory
        servers = self._resources.servers
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
        yield GaugeMetricFamily(
            "pewtertack_caller_connections",
            "Open connections of callers, other nodes and users of the admin interface.",
            sum(server.open_connections for server in servers),
        )
        yield CounterMetricFamily(
            "pewtertack_caller_connections_closed",
            "Connections without a request that were closed in favor of a new one.",
            sum(server.closed_unused for server in servers),
        )
        yield CounterMetricFamily(
            "pewtertack_caller_connections_refused",
            "Connections that were refused: all others had requests.",
            sum(server.refused_connections for server in servers),
        )
