"""The limit that the local back end names, as a metric that is read on each scrape."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from pewtertack.node.gateway.incarnations import Incarnations


class RateLimitCollector(Collector):
    """Reads the limits in force when the metrics are scraped."""

    def __init__(self, incarnations: Incarnations) -> None:
        self._incarnations = incarnations

    def describe(self) -> Iterator[Metric]:
        """Describe no family in advance."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield the limit of each back end that names one."""
        family = GaugeMetricFamily(
            "pewtertack_gateway_rate_limit",
            "Requests a second that the back end takes from all nodes together, if it names that.",
            labels=("backend",),
        )
        for name, rate in self._incarnations.named_rates():
            family.add_metric([name], rate)
        yield family
