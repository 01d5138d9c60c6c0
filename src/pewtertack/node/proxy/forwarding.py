"""Handles one caller's request: admission, attempts, retries and the deadline over all of them."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute
from pewtertack.events import Event
from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.crash_watch import CrashDetector
from pewtertack.node.gateway.hop import (
    BUFFERS_START,
    INCARNATION,
    KNOWN_RATE,
    NO_ALTERNATIVE,
    REPORT_HANGS,
    SENDER_STOPS_IN,
    format_milliseconds_left,
    hop_headers,
)
from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.body import (
    MAX_REPLAY_BYTES,
    BufferedBodies,
    CallerGoneError,
    RequestBody,
)
from pewtertack.node.proxy.content import RequestContent
from pewtertack.node.proxy.crash_guard import CrashGuard
from pewtertack.node.proxy.edge import DEFAULT_EDGE, NODE_EDGE, EdgeHeaders
from pewtertack.node.proxy.exchange import Exchange, TruncatedAnswerError
from pewtertack.node.proxy.failure_responses import Receive, Send
from pewtertack.node.proxy.failure_results import result_of_failure
from pewtertack.node.proxy.headers import (
    BACKEND_LOAD,
    RequestHead,
    ResponseMeta,
    attempt_headers,
    backend_headers,
    forwarded_headers,
)
from pewtertack.node.proxy.in_flight import Progress, RequestsInFlight
from pewtertack.node.proxy.lifetime import LifetimeEnd, RequestLifetime, end_error
from pewtertack.node.proxy.metrics import RequestMetrics
from pewtertack.node.proxy.request_log import ProxyLog
from pewtertack.node.proxy.stop_time import ShutdownDeadline
from pewtertack.node.proxy.taking_back import withdraw_from_gateway
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import Backend, parse_load
from pewtertack.routing.deadlines import caller_deadline_of
from pewtertack.routing.dispatcher import Dispatcher, RetryDecision
from pewtertack.routing.executions import LocalExecutions
from pewtertack.routing.link_words import parse_link_report
from pewtertack.routing.outcomes import (
    BackendCrashedError,
    BackendFailedError,
    DrainingError,
    Outcome,
    RequestFailedError,
)
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.retries import RetryReason


class ForwardingContext(msgspec.Struct, frozen=True):
    """The objects that all requests of a proxy share."""

    clock: Callable[[], float]
    dispatcher: Dispatcher
    connections: ConnectionPool
    edge: EdgeHeaders = DEFAULT_EDGE
    """Header names toward callers and back ends without a gateway."""
    hop_edge: EdgeHeaders = NODE_EDGE
    """Header names in the responses of gateways."""
    caller_service: str = ""
    """The service of the local back end."""
    log: ProxyLog | None = None
    metrics: RequestMetrics | None = None
    requests: RequestsInFlight = msgspec.field(default_factory=RequestsInFlight)
    reporter: CrashReporter = msgspec.field(default_factory=CrashReporter)
    executions: LocalExecutions = msgspec.field(default_factory=LocalExecutions)
    """The requests that the local back end runs."""
    crashes: CrashDetector = msgspec.field(default_factory=CrashDetector)
    """For back ends without a gateway; gateways detect the crashes of their own back ends."""
    shutdown: ShutdownDeadline = msgspec.field(default_factory=ShutdownDeadline)
    bodies: BufferedBodies = msgspec.field(default_factory=BufferedBodies)


class Forwarding:
    """Processes one request with the configuration snapshot that it started with."""

    def __init__(
        self,
        context: ForwardingContext,
        scope: Scope,
        receive: Receive,
        send: Send,
        head: RequestHead,
        configuration: ResolvedConfiguration,
        route: ResolvedRoute,
        deadline: float,
    ) -> None:
        self.retries = 0
        """Number of retries made so far."""
        self._context = context
        self._route = route
        self._deadline = deadline
        self._head = head
        self._headers = forwarded_headers(
            scope["headers"], head, configuration, route, context.edge
        )
        self._service = configuration.services[route.service]
        self._revision = configuration.revision.number
        self._body = RequestBody(receive, head.has_body, context.bodies)
        content = RequestContent(scope, self._headers, self._body)
        self._crash_guard = CrashGuard(content, context.reporter, context.crashes)
        self._exchange = Exchange(scope, send, head, self._body, self._on_response, context.edge)
        self._exchange.buffers_start = route.repeatable and route.retry_limit > 0
        self._exchange.may_abandon = self._on_hang_report
        self._ticket = Ticket(route, self._service, deadline)
        self._ticket.body_bytes = head.body_bytes
        self._ticket.caller_deadline = caller_deadline_of(context.clock(), head.deadline, deadline)
        self._lifetime = RequestLifetime(scope, deadline, context.clock)
        self._started_at = context.clock()
        self._attempt_active = False
        """Whether an attempt is in progress."""
        self._may_have_run = False
        """Whether a back end may have run the request in some attempt."""
        self._connection: BackendConnection | None = None
        """The connection of the attempt in progress."""
        self._withdrawn = False
        """Whether no further attempt may start because the node is shutting down."""

    @property
    def ticket(self) -> Ticket:
        """The ticket of the latest attempt."""
        return self._ticket

    @property
    def status(self) -> int:
        """Status of the response that was passed on, 0 without one."""
        return self._exchange.status

    async def run(self) -> None:
        """Process the request until it ends.

        Raises:
            RequestFailedError: it ended without a response; its outcome covers all attempts.
            TruncatedAnswerError: its response broke off; the caller's connection must be cut.
            CallerGoneError: the caller has gone.
        """
        try:
            with self._context.requests.track(self):
                end = await self._lifetime.run(self._run_attempts)
        except RequestFailedError as error:
            raise error.with_outcome(
                Outcome.UNKNOWN if self._may_have_run else error.outcome
            ) from None
        finally:
            self._exchange.drop_callbacks()
            if self._head.has_body:
                self._body.release()
        if end is not LifetimeEnd.FINISHED:
            self._raise_cut_short(end)

    @property
    def request_id(self) -> str:
        """The request's id (``ActiveRequest``)."""
        return self._head.request_id

    @property
    def progress(self) -> Progress:
        """How far the request has progressed (``ActiveRequest``)."""
        if self._exchange.started:
            return Progress.ANSWERING
        return Progress.OFFERED if self._attempt_active else Progress.WAITING

    @property
    def gateway(self) -> str:
        """``ip:port`` of the gateway that has the request (``ActiveRequest``)."""
        backend = self._ticket.backend
        if self._connection is None or backend is None:
            return ""
        # Also while the request cannot have started: it waits at the gateway until its body is
        # requested.
        return backend.gateway

    def finish_by(self, moment: float) -> None:
        """Do nothing: the caller is not a node (``ActiveRequest``)."""

    async def withdraw(self) -> None:
        """Start no further attempt; withdraw one that is waiting (``ActiveRequest``)."""
        self._withdrawn = True
        self._context.dispatcher.refuse(self._ticket, DrainingError("the node is stopping"))
        backend = self._ticket.backend
        if self.progress is not Progress.OFFERED or backend is None:
            return
        if self._connection is None or not self._connection.sent:
            self.stop()
        elif backend.gateway:
            await withdraw_from_gateway(self._context.connections, backend.gateway, self.request_id)

    def stop(self) -> None:
        """End the request now (``ActiveRequest``)."""
        self._lifetime.stop()

    def log_unfinished(self) -> None:
        """Log how far the request has progressed (``ActiveRequest``)."""
        if self._context.log is not None:
            duration = self._context.clock() - self._started_at
            received = self._body.complete
            self._context.log.unfinished(
                self.request_id, self._ticket, self.progress, received, duration
            )

    def _raise_cut_short(self, end: LifetimeEnd) -> None:
        if end is LifetimeEnd.CALLER_GONE:
            raise CallerGoneError
        if self._exchange.started:
            raise TruncatedAnswerError(
                "the request ran out of time while its response was being sent"
            )
        raise end_error(end).with_outcome(
            Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        )

    async def _run_attempts(self) -> None:
        if self._head.body_is_large:
            self._context.bodies.check()
            if self._context.dispatcher.has_gateways(self._route.service):
                await self._body.read_ahead()
        while True:
            self._check_withdrawn()
            limit = self._route.crash_limit
            await self._crash_guard.refuse_unless_admitted(limit, self._context.clock())
            await self._wait_for_backend()
            if self._withdrawn:
                self._finish(AttemptResult.CANCELLED)
                self._check_withdrawn()
            try:
                await self._attempt()
                return
            except RequestFailedError as error:
                self._may_have_run = self._may_have_run or error.outcome is Outcome.UNKNOWN
                if error.outcome is Outcome.NOT_RUN:
                    self._check_withdrawn()
                if self._withdrawn:
                    raise
                decision = self._decide_retry(error)
                self._log_decision(error, decision)
                if decision.ticket is None:
                    raise
                self._ticket = decision.ticket
                self.retries += 1

    def _decide_retry(self, error: RequestFailedError) -> RetryDecision:
        if isinstance(error, BackendCrashedError):
            self._crash_guard.crash_count += 1
            if 0 < self._route.crash_limit <= self._crash_guard.crash_count:
                return RetryDecision(RetryReason.ENDS_BACKENDS)
        now, replayable = self._context.clock(), self._body.replayable
        return self._context.dispatcher.decide_retry(self._ticket, error, now, replayable)

    def _check_withdrawn(self) -> None:
        if self._withdrawn:
            raise DrainingError("the node is stopping")

    def _log_decision(self, error: RequestFailedError, decision: RetryDecision) -> None:
        if self._context.metrics is not None:
            self._context.metrics.note_decision(decision.reason.value)
        log = self._context.log
        if log is None:
            return
        request = self._head.request_id
        if decision.ticket is None:
            log.not_retried(request, self._ticket, error, decision.reason)
        else:
            log.retried(request, self._ticket, error, decision.reason)

    async def _wait_for_backend(self) -> None:
        dispatcher = self._context.dispatcher
        ticket = self._ticket
        dispatcher.submit(ticket, self._context.clock())
        if ticket.backend is not None:
            return
        granted = anyio.Event()
        ticket.wake = granted.set
        try:
            while not granted.is_set():
                now = self._context.clock()
                recheck_at = dispatcher.check(ticket, now)
                with anyio.move_on_after(recheck_at - now):
                    await granted.wait()
        except BaseException:
            self._release_ticket()
            raise
        if ticket.refusal is not None:
            raise ticket.take_refusal()

    def _release_ticket(self) -> None:
        if self._ticket.backend is None:
            self._context.dispatcher.withdraw(self._ticket)
        else:
            self._finish(AttemptResult.CANCELLED)

    async def _attempt(self) -> None:
        backend = self._ticket.backend
        assert backend is not None
        if self._context.log is not None:
            self._context.log.routed(self._head.request_id, self._ticket, self._revision)
        result = AttemptResult.CANCELLED
        self._attempt_active = True
        try:
            await self._exchange_with(backend)
            result = self._exchange.result
            if not backend.gateway:
                self._crash_guard.note_answered(self.status)
        except RequestFailedError as error:
            result = result_of_failure(error)
            raise
        except TruncatedAnswerError:
            result = AttemptResult.BROKEN
            raise
        except anyio.get_cancelled_exc_class():
            result = (
                AttemptResult.CANCELLED if self._lifetime.caller_gone else AttemptResult.TIMED_OUT
            )
            raise
        finally:
            self._attempt_active = False
            self._ticket.awaits_caller = self._body.awaits_caller
            self._finish(result)

    async def _exchange_with(self, backend: Backend) -> None:
        connections = self._context.connections
        address = backend.gateway or backend.address
        timeout = self._service.connect_timeout
        connection = await connections.acquire(address, timeout, self._head.request_id)
        try:
            edge = self._context.hop_edge if backend.gateway else self._context.edge
            self._connection = connection
            headers = self._attempt_headers(backend, edge)
            on_demand = bool(backend.gateway) and self._head.body_is_large
            await self._exchange.run(connection, headers, edge, on_demand)
        except (BackendFailedError, TruncatedAnswerError) as error:
            if connection.sent and not backend.gateway:
                self._may_have_run = True  # set first: the crash check may be cancelled
                name = backend.name
                await self._crash_guard.check_for_crash(
                    self.request_id, name, backend.address, error
                )
            raise
        except anyio.get_cancelled_exc_class():
            self._may_have_run = self._may_have_run or connection.sent
            raise
        finally:
            self._connection = None
            connections.release(connection, long_lived=bool(backend.gateway))

    def _attempt_headers(self, backend: Backend, edge: EdgeHeaders) -> RawHeaders:
        now = self._context.clock()
        own_headers = attempt_headers(edge, self._head.request_id, now, self._deadline)
        caller = self._context.caller_service
        if not backend.gateway:
            return [*self._headers, *own_headers, *backend_headers(edge, backend.name, caller)]
        objective = self._ticket.arrived_at + self._route.objective - now
        wait_policy = self._ticket.wait_policy
        nested = self._ticket.nested
        local_rank = self._context.executions.usual_rank() if nested else None
        hop_header_list = hop_headers(
            self._route, backend.name, objective, wait_policy, caller, nested, local_rank
        )
        if self._may_abandon():
            hop_header_list.append((REPORT_HANGS, b"1"))
        if self._exchange.buffers_start:
            hop_header_list.append((BUFFERS_START, b"1"))
            # Short responses do not wait for the link, so they skip the more costly check.
            is_long = self._route.name not in self._context.dispatcher.short_answers
            if is_long and not self._can_repeat(now):
                hop_header_list.append((NO_ALTERNATIVE, b"1"))
        if backend.known_rate is not None and not backend.known_rate.is_share:
            hop_header_list.append((KNOWN_RATE, backend.known_rate.format_report(now).encode()))
        if backend.started_at:
            hop_header_list.append((INCARNATION, b"%d" % backend.started_at))
        if self._context.shutdown.started:
            seconds_left = self._context.shutdown.seconds_left(now)
            hop_header_list.append(
                (SENDER_STOPS_IN, format_milliseconds_left(seconds_left).encode())
            )
        return [*self._headers, *own_headers, *hop_header_list]

    def _can_repeat(self, now: float) -> bool:
        """Tell whether the request could be sent to another gateway if its response broke off."""
        fits = not self._head.chunked and self._head.body_bytes <= MAX_REPLAY_BYTES
        return fits and self._context.dispatcher.may_retry_elsewhere(self._ticket, now)

    def _on_hang_report(self, headers: RawHeaders) -> bool:
        """Note that the back end has probably hung; return whether to abandon the attempt.

        Only a gateway's ``102 Processing`` reports a hang. A back end that is called directly
        uses the same status to say that it is working.
        """
        backend = self._ticket.backend
        if backend is None or not backend.gateway:
            return False
        load = dict(headers).get(BACKEND_LOAD, b"").decode("latin-1")
        now = self._context.clock()
        self._context.dispatcher.note_hung(self._ticket, now, parse_load(load))
        return self._may_abandon()

    def _may_abandon(self) -> bool:
        """Tell whether the attempt should be abandoned for another back end if this one hangs.

        A node that is shutting down abandons none: the back end may be working after all, and
        only its response is certain to arrive before the node stops.
        """
        backend = self._ticket.backend
        if backend is None or not backend.gateway:
            return False
        if self._context.requests.leaving or self._head.has_body:
            return False
        return self._context.dispatcher.may_abandon_hung(self._ticket, self._context.clock())

    def _on_response(self, response: ResponseMeta) -> None:
        self._ticket.queued_seconds = response.queued
        if response.failure is None:
            self._context.dispatcher.note_response_length(self._route.name, response.length)
        if response.origin is not None:
            text, now = response.origin, self._context.clock()
            self._context.dispatcher.note_origin(self._route.name, text, now)
        self._context.dispatcher.note_answer(
            self._ticket, self._context.clock(), parse_load(response.load), response.leaving
        )
        backend = self._ticket.backend
        assert backend is not None
        if response.rate is not None or response.rate_limits or backend.known_rate is not None:
            self._note_rate(backend, response)
        if response.link is not None:
            self._note_link_report(response.link, started=response.failure is None)

    def _note_rate(self, backend: Backend, response: ResponseMeta) -> None:
        """Record the limit that the back end names; an invalid one is logged once and ignored."""
        # Imported when a back end names a limit, to save memory in nodes where none does.
        from pewtertack.node.proxy.rate_reports import note_rate
        from pewtertack.routing.rate_reports import InvalidRateError

        try:
            note_rate(self._context.dispatcher, self._ticket, response, self._context.clock())
        except InvalidRateError as error:
            if self._context.log is not None and str(error) != backend.invalid_rate:
                known = backend.known_rate
                self._context.log.backend_reported(
                    Event.BACKEND_RATE_INVALID,
                    backend.name,
                    detail=str(error),
                    rate=known.rate if known is not None else None,
                )
            backend.invalid_rate = str(error)

    def _note_link_report(self, text: str, started: bool) -> None:
        """Record a gateway's report of its link queue; an invalid one is counted and ignored."""
        report = parse_link_report(text)
        if report is not None:
            self._context.dispatcher.note_link_report(
                self._ticket, report, self._context.clock(), started
            )
        elif self._context.metrics is not None:
            self._context.metrics.note_invalid_link_report()

    def _finish(self, result: AttemptResult) -> None:
        self._context.dispatcher.finish(self._ticket, self._context.clock(), result)
