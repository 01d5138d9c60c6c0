"""Applies what the local back end reports of its own state, directly or through other nodes."""

from __future__ import annotations

from pewtertack.events import Event
from pewtertack.node.gateway.hop import HopRequest
from pewtertack.node.gateway.incarnations import Incarnation
from pewtertack.node.gateway.metrics import GatewayMetrics
from pewtertack.node.proxy.headers import ResponseMeta
from pewtertack.node.proxy.request_log import GatewayLog
from pewtertack.routing.rate_limit import ENDED
from pewtertack.routing.rate_reports import InvalidRateError, parse_rate

INVALID = "invalid"
"""Label of answers that name an invalid limit."""


class BackendReports:
    """Reads the reports of the back ends that run, or have run, at the local address."""

    __slots__ = ("_log", "_metrics")

    def __init__(self, log: GatewayLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def note_response(
        self,
        name: str,
        incarnation: Incarnation,
        response: ResponseMeta,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply a response's reports; times are monotonic seconds.

        Args:
            name: name of the back end.
            incarnation: the back end.
            response: the response, read at ``now``.
            sent_at: when its request was sent.
        """
        if response.leaving and not incarnation.leaving:
            incarnation.leaving = True
            self._log.backend_reported(Event.BACKEND_LEAVING, name)
            incarnation.hand_back_waiting()
        limit = incarnation.admission.rate_limit
        if response.rate_limits or limit.rate is not None:
            self._note_rate(name, incarnation, response, sent_at, now)

    def _note_rate(
        self,
        name: str,
        incarnation: Incarnation,
        response: ResponseMeta,
        sent_at: float,
        now: float,
    ) -> None:
        limit = incarnation.admission.rate_limit
        try:
            rate = parse_rate(response.rate_limits)
        except InvalidRateError as error:
            if str(error) != incarnation.invalid_rate:
                incarnation.invalid_rate = str(error)
                self._log.backend_reported(
                    Event.BACKEND_RATE_INVALID, name, detail=str(error), rate=limit.rate
                )
            self._metrics.note_rate_change(INVALID)
            return
        incarnation.invalid_rate = ""
        self._apply(name, incarnation, limit.note_answer(sent_at, now, rate), now)

    def note_known_rate(self, request: HopRequest, incarnation: Incarnation, now: float) -> None:
        """Apply what the sender of a request knows of the limit of this incarnation."""
        if request.known_rate is None:
            return
        if 0 < request.started_at != incarnation.started_at > 0:
            return  # the sender means another incarnation
        change = incarnation.admission.rate_limit.note_report(request.known_rate, now)
        self._apply(request.backend, incarnation, change, now)

    def _apply(self, name: str, incarnation: Incarnation, change: str | None, now: float) -> None:
        if change is None:
            return
        if change == ENDED:
            self._log.backend_reported(Event.BACKEND_RATE_ENDED, name)
        else:
            rate = incarnation.admission.rate_limit.rate
            self._log.backend_reported(Event.BACKEND_RATE_NAMED, name, rate=rate, source=change)
        self._metrics.note_rate_change(change)
        incarnation.admission.apply_rate_limit(now)
