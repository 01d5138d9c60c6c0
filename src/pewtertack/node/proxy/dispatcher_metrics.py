"""Queues, limits and retry budgets of the dispatcher as metrics, read on each scrape."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from pewtertack.routing.dispatcher import Dispatcher


class DispatcherCollector(Collector):
    """Reads queues and limits when the metrics are scraped."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        in_flight: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._in_flight = in_flight
        self._clock = clock

    def describe(self) -> Iterator[Metric]:
        """Describe no family in advance."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        total = "pewtertack_requests_in_flight"
        yield GaugeMetricFamily(total, "Requests not finished.", value=self._in_flight())
        waiting = _family("requests_waiting", "Requests waiting.", "work_class")
        limits = _family("backend_limit", "Adaptive limit.", "backend")
        running = _family("backend_in_flight", "Requests at the back end.", "backend")
        ejected = _family("backend_ejected", "Whether it is ejected.", "backend")
        budget = GaugeMetricFamily(
            "pewtertack_retry_budget_left", "Retries that may come at once.", labels=("service",)
        )
        for name, left in self._dispatcher.available_retries(self._clock()).items():
            budget.add_metric([name], left)
        for service in self._dispatcher.services():
            for work_class, length in service.queue.lengths().items():
                waiting.add_metric([service.name, work_class], length)
            for backend in service.backends:
                labels = [service.name, backend.name]
                limits.add_metric(labels, backend.limit.value)
                running.add_metric(labels, backend.in_flight)
                ejected.add_metric(labels, backend.health.ejected)
        yield from (waiting, limits, running, ejected, budget)


def _family(name: str, documentation: str, label: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"pewtertack_{name}", documentation, labels=("service", label))
