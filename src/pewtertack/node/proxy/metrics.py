"""Metrics of the request path. Per-request cost is a few microseconds."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.routing.dispatcher import Dispatcher

BUCKETS = (0.005, 0.01, 0.025, 0.06, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 4.0, 6.0, 10.0)
"""Upper bounds of the latency histograms, in seconds: for objectives of 60 ms to 6 s."""
ANSWERED = "answered"
CALLER_GONE = "caller-gone"
TRUNCATED = "truncated"
NO_ROUTE = "none"


class RequestMetrics:
    """Counts requests by route, class and result, with their latency and retries.

    ``result`` is ``answered``, ``caller-gone``, ``truncated`` or an error's code.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        labels = ("route", "work_class")
        self._requests = Counter(
            "pewtertack_requests", "Requests ended.", (*labels, "result"), registry=registry
        )
        self._seconds = Histogram(
            "pewtertack_request_seconds",
            "Time from a request's head to the end of its answer, answered requests only.",
            labels,
            buckets=BUCKETS,
            registry=registry,
        )
        self._retries = Counter(
            "pewtertack_retries", "Second and later attempts.", labels, registry=registry
        )
        self._decisions = Counter(
            "pewtertack_retry_decisions",
            "Failed attempts by why the request was, or was not, sent once more.",
            ("reason",),
            registry=registry,
        )
        self._zones = Counter(
            "pewtertack_answers",
            "Answered requests by the zone of the back end.",
            ("service", "zone"),
            registry=registry,
        )
        self._answered: dict[tuple[str, str], tuple[Counter, Histogram]] = {}

    def note_answered(self, route: ResolvedRoute, seconds: float) -> None:
        """A request was answered whole."""
        key = (route.name, route.work_class.value)
        metrics = self._answered.get(key)
        if metrics is None:
            metrics = (self._requests.labels(*key, ANSWERED), self._seconds.labels(*key))
            self._answered[key] = metrics
        metrics[0].inc()
        metrics[1].observe(seconds)

    def note_zone(self, service: str, zone: str) -> None:
        """A back end of ``zone`` answered."""
        self._zones.labels(service, zone).inc()

    def note_decision(self, reason: str) -> None:
        """An attempt failed, and the request was or was not sent once more."""
        self._decisions.labels(reason).inc()

    def note_failed(self, route: ResolvedRoute | None, result: str) -> None:
        """A request ended otherwise; ``route`` is ``None`` before it was matched."""
        if route is None:
            self._requests.labels(NO_ROUTE, NO_ROUTE, result).inc()
        else:
            self._requests.labels(route.name, route.work_class.value, result).inc()

    def note_retries(self, route: ResolvedRoute, count: int) -> None:
        """A request that has ended was retried ``count`` times."""
        if count:
            self._retries.labels(route.name, route.work_class.value).inc(count)


class DispatcherCollector(Collector):
    """Reads queues and limits when the metrics are scraped."""

    def __init__(self, dispatcher: Dispatcher, in_flight: Callable[[], int]) -> None:
        self._dispatcher = dispatcher
        self._in_flight = in_flight

    def describe(self) -> Iterator[Metric]:
        """Name no family in advance."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield every family."""
        total = "pewtertack_requests_in_flight"
        yield GaugeMetricFamily(total, "Requests not finished.", value=self._in_flight())
        waiting = _family("requests_waiting", "Requests waiting.", "work_class")
        limits = _family("backend_limit", "Adaptive limit.", "backend")
        running = _family("backend_in_flight", "Requests at the back end.", "backend")
        ejected = _family("backend_ejected", "Whether it is ejected.", "backend")
        budget = GaugeMetricFamily(
            "pewtertack_retry_budget_left", "Retries that may come at once.", labels=("service",)
        )
        for name, left in self._dispatcher.budgets_left().items():
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
