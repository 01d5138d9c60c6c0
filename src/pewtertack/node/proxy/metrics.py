"""Metrics of the request path. They cost a few microseconds per request."""

from __future__ import annotations

from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.node.counting import MetricsRegistry

BUCKETS = (0.005, 0.01, 0.025, 0.06, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 4.0, 6.0, 10.0)
"""Upper bounds of the latency histograms in seconds, for objectives of 60 ms to 6 s."""
ANSWERED = "answered"
CALLER_GONE = "caller-gone"
TRUNCATED = "truncated"
NO_ROUTE = "none"


class RequestMetrics:
    """Counts requests by route, class and result, with their latency and retries.

    ``result`` is ``answered``, ``caller-gone``, ``truncated`` or an error's code.
    """

    def __init__(self, registry: MetricsRegistry) -> None:
        labels = ("route", "work_class")
        self._requests = registry.counter(
            "pewtertack_requests", "Requests ended.", (*labels, "result")
        )
        self._seconds = registry.histogram(
            "pewtertack_request_seconds",
            "Time from a request's head to the end of its answer, answered requests only.",
            labels,
            BUCKETS,
        )
        self._retries = registry.counter("pewtertack_retries", "Second and later attempts.", labels)
        self._decisions = registry.counter(
            "pewtertack_retry_decisions",
            "Failed attempts by why the request was, or was not, sent once more.",
            ("reason",),
        )
        self._invalid_link_reports = registry.counter(
            "pewtertack_senseless_links",
            "Words of gateways on the lines of their links that made no sense and were ignored.",
            (),
        )
        self._zones = registry.counter(
            "pewtertack_answers",
            "Answered requests by the zone of the back end.",
            ("service", "zone"),
        )

    def note_invalid_link_report(self) -> None:
        """Count an invalid report of a gateway on its link queue."""
        self._invalid_link_reports.inc(())

    def note_answered(self, route: ResolvedRoute, seconds: float) -> None:
        """Record a request that was answered completely after ``seconds``."""
        labels = (route.name, route.work_class.value)
        self._requests.inc((*labels, ANSWERED))
        self._seconds.observe(labels, seconds)

    def note_zone(self, service: str, zone: str) -> None:
        """Count a request that a back end in ``zone`` answered."""
        self._zones.inc((service, zone))

    def note_decision(self, reason: str) -> None:
        """Count a failed attempt by the reason why the request was or was not retried."""
        self._decisions.inc((reason,))

    def note_failed(self, route: ResolvedRoute | None, result: str) -> None:
        """Count a request with another result; ``route`` is ``None`` if none was matched."""
        if route is None:
            self._requests.inc((NO_ROUTE, NO_ROUTE, result))
        else:
            self._requests.inc((route.name, route.work_class.value, result))

    def note_retries(self, route: ResolvedRoute, count: int) -> None:
        """Add the ``count`` retries of a request that has ended."""
        if count:
            self._retries.inc((route.name, route.work_class.value), count)
