"""Log events for the decisions that a proxy or a gateway makes about one request.

Each event has the inputs of the decision, their age, and the result. ``docs/EVENTS.md`` lists the
events; ``pewtertack trace`` collects the events of one request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import floor
from typing import Any, Protocol

import msgspec

from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.events import Event
from pewtertack.node.crash_watch import BrokenExchange
from pewtertack.node.proxy.in_flight import Progress
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.outcomes import RequestFailedError
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.retries import RetryReason


class RecordEvent(Protocol):
    """``pewtertack.log.EventLog.record``."""

    def __call__(self, event: Event, **fields: Any) -> None:
        """Record an event with its fields."""


def ignore_event(event: Event, **fields: Any) -> None:
    """Log nothing."""


def milliseconds(seconds: float) -> float:
    """Return ``seconds`` in milliseconds, rounded to one decimal for the log."""
    try:
        return floor(seconds * 10_000 + 0.5) / 10
    except (OverflowError, ValueError):
        return seconds  # infinite or NaN


def round_to_parts(value: float, parts: int) -> float:
    """Return ``value`` rounded to a multiple of ``1 / parts``; ties are rounded up.

    ``round`` with a number of digits takes 1 us, this function 0.3 us; a hop has a dozen calls.
    """
    try:
        return floor(value * parts + 0.5) / parts
    except (OverflowError, ValueError):
        return value  # infinite or NaN


class KnownVersions(msgspec.Struct):
    """The versions that a proxy's decisions are based on, and when it got them.

    Times are in monotonic seconds.
    """

    revision: int = 0
    revision_at: float = 0.0
    machine_list: int = 0
    machine_list_at: float = 0.0


class ProxyLog:
    """Log events of a proxy. Durations in fields are in milliseconds, ages in seconds."""

    def __init__(
        self, record: RecordEvent, clock: Callable[[], float], versions: KnownVersions
    ) -> None:
        self._record = record
        self._clock = clock
        self._versions = versions

    def routed(self, request: str, ticket: Ticket, revision: int) -> None:
        """Log that a back end was chosen for an attempt."""
        backend = ticket.backend
        assert backend is not None
        now = self._clock()
        versions = self._versions
        self._record(
            Event.REQUEST_ROUTED,
            request=request,
            route=ticket.route.name,
            service=ticket.route.service,
            backend=backend.name,
            zone=backend.zone,
            attempt=len(ticket.excluded) + 1,
            reason=ticket.choice_reason,
            load=f"{round_to_parts(backend.occupancy(now) * _slots(ticket), 10)}/{_slots(ticket)}",
            load_age=_age(now, backend.reported_at),
            slowness=round_to_parts(backend.slowness, 100),
            revision=revision,
            revision_age=_age(now, versions.revision_at),
            machine_list=versions.machine_list,
            machine_list_age=_age(now, versions.machine_list_at),
            left=milliseconds(ticket.deadline - now),
        )

    def retried(
        self, request: str, ticket: Ticket, error: RequestFailedError, reason: RetryReason
    ) -> None:
        """Log that an attempt failed and the request is retried."""
        self._after_failure(Event.REQUEST_RETRIED, request, ticket, error, reason)

    def not_retried(
        self, request: str, ticket: Ticket, error: RequestFailedError, reason: RetryReason
    ) -> None:
        """Log that an attempt failed and the request is not retried."""
        self._after_failure(Event.REQUEST_NOT_RETRIED, request, ticket, error, reason)

    def _after_failure(
        self,
        event: Event,
        request: str,
        ticket: Ticket,
        error: RequestFailedError,
        reason: RetryReason,
    ) -> None:
        backend = ticket.backend
        self._record(
            event,
            request=request,
            route=ticket.route.name,
            backend=backend.name if backend is not None else "",
            attempt=len(ticket.excluded) + 1,
            type=error.code,
            outcome=error.outcome,
            detail=error.message,
            reason=reason.value,
            left=milliseconds(ticket.deadline - self._clock()),
            **_answer_fields(error),
        )

    def answered(self, request: str, ticket: Ticket, status: int, seconds: float) -> None:
        """Log that the complete response was sent to the caller."""
        backend = ticket.backend
        self._record(
            Event.REQUEST_ANSWERED,
            request=request,
            backend=backend.name if backend is not None else "",
            attempt=len(ticket.excluded) + 1,
            status=status,
            took=milliseconds(seconds),
            queued=milliseconds(ticket.queued_seconds),
        )

    def refused(self, request: str, route: ResolvedRoute | None, error: RequestFailedError) -> None:
        """Log that the request ended without a response from a back end."""
        self._record(
            Event.REQUEST_REFUSED,
            request=request,
            route=route.name if route is not None else "",
            type=error.code,
            outcome=error.outcome,
            detail=error.message,
            status=error.response_status,
            retry_after=error.retry_after,
            revision=self._versions.revision,
            machine_list=self._versions.machine_list,
        )

    def unfinished(
        self, request: str, ticket: Ticket, progress: Progress, received: bool, seconds: float
    ) -> None:
        """Log a request in flight when the shutdown ends; ``received``: its body is complete."""
        backend = ticket.backend
        self._record(
            Event.REQUEST_UNFINISHED,
            request=request,
            route=ticket.route.name,
            backend=backend.name if backend is not None else "",
            attempt=len(ticket.excluded) + 1,
            progress=progress,
            received=received,
            took=milliseconds(seconds),
            left=milliseconds(ticket.deadline - self._clock()),
        )

    def crashed(self, backend: str, broken: Iterable[BrokenExchange]) -> None:
        """Log a crash of a back end without a gateway."""
        _record_crash(self._record, backend, broken)

    def backend_reported(self, event: Event, backend: str, **fields: Any) -> None:
        """Log what a back end or its gateway reports of its state in a response."""
        self._record(event, backend=backend, **fields)

    def ended(self, event: Event, request: str, route: ResolvedRoute, seconds: float) -> None:
        """Log that the response was cut or the caller disconnected."""
        self._record(event, request=request, route=route.name, took=milliseconds(seconds))


class GatewayLog:
    """Log events of a gateway."""

    def __init__(self, record: RecordEvent, clock: Callable[[], float]) -> None:
        self._record = record
        self._clock = clock

    def queued(
        self, request: str, backend: str, ticket: AdmissionTicket, admission: Admission
    ) -> None:
        """Log that the request waits for a slot."""
        self._on_ticket(Event.GATEWAY_QUEUED, request, backend, ticket, admission)

    def admitted(
        self, request: str, backend: str, ticket: AdmissionTicket, admission: Admission
    ) -> None:
        """Log that the request is sent to the back end."""
        self._on_ticket(Event.GATEWAY_ADMITTED, request, backend, ticket, admission)

    def origin_known(self, route: str, origin: str) -> None:
        """Log who makes the route's requests, after a change; ``origin`` is empty if unknown."""
        self._record(Event.ROUTE_ORIGIN, route=route, origin=origin)

    def _on_ticket(
        self,
        event: Event,
        request: str,
        backend: str,
        ticket: AdmissionTicket,
        admission: Admission,
    ) -> None:
        now = self._clock()
        self._record(
            event,
            request=request,
            backend=backend,
            rank=ticket.rank,
            within=ticket.nested,
            yields=ticket.is_deferred,
            in_flight=admission.in_flight,
            slots=admission.slots,
            load=admission.load,
            waited=milliseconds(now - ticket.submitted_at),
            expected=milliseconds(admission.expected_time(ticket.route)),
            left=milliseconds(ticket.deadline - now),
        )

    def refused(self, request: str, backend: str, error: RequestFailedError, load: str) -> None:
        """Log that the request ended here; ``load`` is the back end's load, if known."""
        event = Event.GATEWAY_FAILED if error.reached_backend else Event.GATEWAY_REFUSED
        self._record(
            event,
            request=request,
            backend=backend,
            type=error.code,
            outcome=error.outcome,
            detail=error.message,
            retry_after=error.retry_after,
            load=load,
            **_answer_fields(error),
        )

    def crashed(self, backend: str, broken: Iterable[BrokenExchange]) -> None:
        """Log a crash of the local back end."""
        _record_crash(self._record, backend, broken)

    def backend_reported(self, event: Event, backend: str, **fields: Any) -> None:
        """Log what the local back end reports of its state in its responses."""
        self._record(event, backend=backend, **fields)

    def answered(self, request: str, backend: str, status: int, ticket: AdmissionTicket) -> None:
        """Log that the back end's complete response was received."""
        seconds = self._clock() - ticket.started_at
        self._record(
            Event.GATEWAY_ANSWERED,
            request=request,
            backend=backend,
            status=status,
            took=milliseconds(seconds),
        )

    def sent(self, request: str, backend: str, seconds: float) -> None:
        """Log that a long response was sent ``seconds`` after the back end had completed it."""
        took = milliseconds(seconds)
        self._record(Event.GATEWAY_SENT, request=request, backend=backend, took=took)

    def handed_back(self, request: str, backend: str) -> None:
        """Log a request handed back: its long response cannot be sent before a node stops."""
        self._record(Event.GATEWAY_GAVE_BACK, request=request, backend=backend)

    def sender_stopping(self, seconds: float, named: int, found: int) -> None:
        """Log that another node stops in ``seconds``; ``found`` of ``named`` requests are here."""
        left = milliseconds(seconds)
        self._record(Event.SENDER_STOPS, left=left, named=named, found=found)

    def unfinished(self, request: str, backend: str, progress: Progress, seconds: float) -> None:
        """Log a request in flight when the shutdown ends, ``seconds`` after it arrived."""
        self._record(
            Event.GATEWAY_UNFINISHED,
            request=request,
            backend=backend,
            progress=progress,
            took=milliseconds(seconds),
        )

    def cancelled(self, request: str, backend: str, sent: bool, hung: bool) -> None:
        """Log that the proxy has cancelled the request; ``sent`` tells whether it may have run.

        ``hung`` tells whether a hang of the back end had been reported to the proxy.
        """
        self._record(
            Event.GATEWAY_CANCELLED, request=request, backend=backend, sent=sent, hung=hung
        )


def _answer_fields(error: RequestFailedError) -> dict[str, Any]:
    """Return what is known of the back end's answer that ended an attempt; nothing without one."""
    answer = error.answer
    if answer is None:
        return {}
    return {
        "answer_status": answer.status,
        "answer_identified": answer.identified,
        "exchange_number": answer.exchange_number,
    }


def _record_crash(record: RecordEvent, backend: str, broken: Iterable[BrokenExchange]) -> None:
    """Record a crash; ``requests`` holds id and fingerprint of each request that was running."""
    requests = [(item.request_id, (item.fingerprint or b"").hex()) for item in broken]
    record(Event.BACKEND_CRASHED, backend=backend, requests=requests)


def _slots(ticket: Ticket) -> int:
    assert ticket.backend is not None
    return ticket.backend.slots or ticket.service.slots_per_backend


def _age(now: float, since: float) -> float | None:
    """Return the seconds since a moment, ``None`` if ``since`` is 0, which means never."""
    return round_to_parts(now - since, 1000) if since > 0 else None
