"""Metrics of a gateway: waiting apart from working, and refusals by their reason."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram

from pewtertack.node.proxy.metrics import BUCKETS


class GatewayMetrics:
    """Counts what the gateway admits and refuses. Times in seconds."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._queued = Histogram(
            "pewtertack_gateway_queue_seconds",
            "Time that admitted requests waited at the gateway.",
            ("route",),
            buckets=BUCKETS,
            registry=registry,
        )
        self._working = Histogram(
            "pewtertack_gateway_backend_seconds",
            "Time that the back end took for answered requests.",
            ("route",),
            buckets=BUCKETS,
            registry=registry,
        )
        self._refused = Counter(
            "pewtertack_gateway_refused",
            "Requests that ended at the gateway, by reason and by whether a back end saw them.",
            ("reason", "offered"),
            registry=registry,
        )

    def note_admitted(self, route: str, queued: float) -> None:
        """A request went to the back end."""
        self._queued.labels(route).observe(queued)

    def note_answered(self, route: str, seconds: float) -> None:
        """The back end answered whole."""
        self._working.labels(route).observe(seconds)

    def note_refused(self, reason: str, offered: bool) -> None:
        """A request ended without an answer."""
        self._refused.labels(reason, str(offered).lower()).inc()
