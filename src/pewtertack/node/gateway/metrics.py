"""Metrics of a gateway: queueing time, back-end time, and refusals by reason."""

from __future__ import annotations

from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.proxy.metrics import BUCKETS
from pewtertack.routing.outcomes import RejectedAnswer


class GatewayMetrics:
    """Records what the gateway admits and refuses. Times are in seconds."""

    def __init__(self, registry: MetricsRegistry) -> None:
        self._queue_seconds = registry.histogram(
            "pewtertack_gateway_queue_seconds",
            "Time that admitted requests waited at the gateway.",
            ("route",),
            BUCKETS,
        )
        self._backend_seconds = registry.histogram(
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
        self._rejected_answers = registry.counter(
            "pewtertack_gateway_rejected_answers",
            "Answers of the back end that ended an attempt without being passed on, by the reason, "
            "by whether they name a request and by whether others preceded them on the connection.",
            ("reason", "identified", "connection"),
        )
        self._nested = registry.counter(
            "pewtertack_gateway_calls_within",
            "Requests that a back end made while it ran another, by what became of them here.",
            ("route", "end"),
        )
        self._link_seconds = registry.histogram(
            "pewtertack_gateway_link_seconds",
            "Time that long answers took from the back end's end to the machine's link.",
            ("route",),
            BUCKETS,
        )
        self._deferred = registry.counter(
            "pewtertack_gateway_runs_in_vain",
            "Requests that let others go first, since calls of such runs were turned away.",
            ("route",),
        )
        self._invalid_stop_times = registry.counter(
            "pewtertack_gateway_senseless_times",
            "Words of other nodes on when they stop that made no sense and were ignored.",
            (),
        )
        self._limited_starts = registry.counter(
            "pewtertack_gateway_limited_starts",
            "Requests sent to a back end while it named a limit of requests a second.",
            (),
        )
        self._rate_changes = registry.counter(
            "pewtertack_gateway_rate_limit_changes",
            "Answers of the back end that changed its limit of requests a second, or were invalid.",
            ("change",),
        )
        self._crashed = registry.counter(
            "pewtertack_gateway_backend_crashes",
            "Ends of the back end while it ran requests.",
            (),
        )

    def note_nested(self, route: str, admitted: bool) -> None:
        """Count a nested call that was sent to the back end or ended without a response."""
        self._nested.inc((route, "admitted" if admitted else "refused"))

    def note_deferred(self, route: str) -> None:
        """Count a request that was deferred because executions of its route often fail now."""
        self._deferred.inc((route,))

    def note_invalid_stop_time(self) -> None:
        """Count an invalid report of another node's shutdown time."""
        self._invalid_stop_times.inc(())

    def note_limited_start(self) -> None:
        """Count a request sent to the back end while it named a limit."""
        self._limited_starts.inc(())

    def note_rate_change(self, change: str) -> None:
        """Count an answer that changed the limit, or named an invalid one."""
        self._rate_changes.inc((change,))

    def note_crashed(self) -> None:
        """Count a crash of the back end while it ran requests."""
        self._crashed.inc(())

    def note_admitted(self, route: str, queued: float) -> None:
        """Record that a request was sent to the back end after ``queued`` seconds."""
        self._queue_seconds.observe((route,), queued)

    def note_answered(self, route: str, seconds: float) -> None:
        """Record that the back end took ``seconds`` for a complete response."""
        self._backend_seconds.observe((route,), seconds)

    def note_sent(self, route: str, seconds: float) -> None:
        """Record that a long response was sent ``seconds`` after the back end had completed it."""
        self._link_seconds.observe((route,), seconds)

    def note_refused(self, reason: str, reached_backend: bool) -> None:
        """Count a request that ended without a response from the back end."""
        self._refused.inc((reason, str(reached_backend).lower()))

    def note_rejected_answer(self, reason: str, answer: RejectedAnswer) -> None:
        """Count an answer of the back end that ended an attempt without being passed on."""
        connection = "new" if answer.exchange_number == 1 else "used"
        self._rejected_answers.inc((reason, str(answer.identified).lower(), connection))
