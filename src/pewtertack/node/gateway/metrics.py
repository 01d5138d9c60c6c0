"""Metrics of a gateway: waiting apart from working, and refusals by their reason."""

from __future__ import annotations

from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.proxy.metrics import BUCKETS


class GatewayMetrics:
    """Counts what the gateway admits and refuses. Times in seconds."""

    def __init__(self, registry: MetricsRegistry) -> None:
        self._queued = registry.histogram(
            "pewtertack_gateway_queue_seconds",
            "Time that admitted requests waited at the gateway.",
            ("route",),
            BUCKETS,
        )
        self._working = registry.histogram(
            "pewtertack_gateway_backend_seconds",
            "Time that the back end took for answered requests.",
            ("route",),
            BUCKETS,
        )
        self._refused = registry.counter(
            "pewtertack_gateway_refused",
            "Requests that ended at the gateway, by reason and by whether a back end saw them.",
            ("reason", "offered"),
        )
        self._within = registry.counter(
            "pewtertack_gateway_calls_within",
            "Requests that a back end made while it ran another, by what became of them here.",
            ("route", "end"),
        )
        self._sending = registry.histogram(
            "pewtertack_gateway_link_seconds",
            "Time that long answers took from the back end's end to the machine's link.",
            ("route",),
            BUCKETS,
        )
        self._in_vain = registry.counter(
            "pewtertack_gateway_runs_in_vain",
            "Requests that let others go first, since calls of such runs were turned away.",
            ("route",),
        )
        self._invalid_stop_times = registry.counter(
            "pewtertack_gateway_senseless_times",
            "Words of other nodes on when they stop that made no sense and were ignored.",
            (),
        )
        self._crashed = registry.counter(
            "pewtertack_gateway_backend_crashes",
            "Ends of the back end while it ran requests.",
            (),
        )

    def note_nested(self, route: str, admitted: bool) -> None:
        """A call within has gone to the back end, or has ended without an answer."""
        self._within.inc((route, "admitted" if admitted else "refused"))

    def note_deferred(self, route: str) -> None:
        """A request lets others go first: runs of its route often end badly now."""
        self._in_vain.inc((route,))

    def note_invalid_stop_time(self) -> None:
        """A node's word on when it stops made no sense."""
        self._invalid_stop_times.inc(())

    def note_crashed(self) -> None:
        """The back end ended while it ran requests."""
        self._crashed.inc(())

    def note_admitted(self, route: str, queued: float) -> None:
        """A request went to the back end."""
        self._queued.observe((route,), queued)

    def note_answered(self, route: str, seconds: float) -> None:
        """The back end answered whole."""
        self._working.observe((route,), seconds)

    def note_sent(self, route: str, seconds: float) -> None:
        """A long answer has left, so long after it was whole."""
        self._sending.observe((route,), seconds)

    def note_refused(self, reason: str, offered: bool) -> None:
        """A request ended without an answer."""
        self._refused.inc((reason, str(offered).lower()))
