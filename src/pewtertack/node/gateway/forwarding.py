"""Handles one request at a gateway: admission, one attempt at the back end, the response."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import anyio

from pewtertack.node.gateway import hop
from pewtertack.node.gateway.context import GatewayContext
from pewtertack.node.gateway.hang_checks import HangChecks
from pewtertack.node.gateway.hop import HopRequest
from pewtertack.node.gateway.link_check import LinkCheck
from pewtertack.node.gateway.report_headers import (
    LEAVING_HEADERS,
    link_headers,
    load_headers,
    origin_headers,
    rate_headers,
)
from pewtertack.node.gateway.sending import ResponseSender
from pewtertack.node.gateway.slot_wait import SlotWait
from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.cycle import CALLER_EXTENSION, Scope
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.pacing import LinkEndsError
from pewtertack.node.proxy.body import Caller, CallerGoneError, RequestBody
from pewtertack.node.proxy.content import RequestContent
from pewtertack.node.proxy.crash_guard import CrashGuard
from pewtertack.node.proxy.edge import NODE_EDGE
from pewtertack.node.proxy.exchange import Exchange, TruncatedAnswerError
from pewtertack.node.proxy.failure_responses import Receive, Send
from pewtertack.node.proxy.headers import (
    RequestHead,
    ResponseMeta,
    attempt_headers,
    backend_headers,
    without_names,
)
from pewtertack.node.proxy.in_flight import Progress
from pewtertack.node.proxy.lifetime import LifetimeEnd, RequestLifetime, end_error
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.outcomes import (
    BackendFailedError,
    BackendHungError,
    DrainingError,
    NotRunError,
    Outcome,
    RequestFailedError,
    WithdrawnError,
)

REFUSAL_LEAD_SECONDS = 0.5
"""Requests that have not started are refused this long before the sender's node stops relaying
responses. That node withdraws them as well, but the withdrawal may arrive late or not at all."""
CONNECT_TIMEOUT_SECONDS = 0.25
"""Connect timeout for the back end, which is on the same machine."""
MIN_DELAY_CHECK_SECONDS = 0.02
"""Read delays of this node are measured only for responses that took at least this long: the
operating system's timestamps are too coarse for faster ones."""


def _accept_all() -> None:
    """Accept every request for the back end."""


def _ignore_response(response: ResponseMeta, sent_at: float) -> None:
    """Ignore what the back end reports of its state."""


class GatewayForwarding:
    """Forwards one request of another node to the back end, and the response back."""

    def __init__(
        self,
        context: GatewayContext,
        admission: Admission,
        scope: Scope,
        receive: Receive,
        send: Send,
        head: RequestHead,
        request: HopRequest,
        deadline: float,
        check_accepting: Callable[[], None] = _accept_all,
        note_response: Callable[[ResponseMeta, float], None] = _ignore_response,
    ) -> None:
        self._context = context
        self._check_accepting = check_accepting
        """Raises the refusal if the back end accepts no more requests."""
        self._note_response = note_response
        """Called with each response of the back end and the time at which its request was sent."""
        self._admission = admission
        self._request = request
        self.request_id = head.request_id
        self._deadline = deadline
        self._headers = without_names(scope["headers"], head, context.edge.reserved)
        self._has_body = head.has_body
        self._body = RequestBody(receive, head.has_body, context.bodies)
        content = RequestContent(scope, self._headers, self._body)
        self._crash_guard = CrashGuard(content, context.reporter, context.crashes)
        self._body_on_demand = head.expects_continue
        self._caller: Caller = scope["extensions"][CALLER_EXTENSION]
        self._lifetime = RequestLifetime(scope, deadline, context.clock)
        now = context.clock()
        self._ticket = AdmissionTicket(
            request.route,
            request.rank,
            now + request.objective,
            deadline,
            request.wait_policy,
            context.origins is not None
            and context.origins.is_nested(request.route, request.nested),
        )
        sender_stops_at = now + request.sender_stops_in
        self._link_check = LinkCheck(context.pacer, admission, self._ticket, sender_stops_at)
        self._sender: ResponseSender | None = None
        if context.pacer is not None:
            self._sender = ResponseSender(
                send,
                context.pacer,
                context.response_buffer,
                self._ticket,
                request.buffers_start,
                request.no_alternative,
            )
            if self.sender_stopping:
                self._sender.finish_by(sender_stops_at)
        self._exchange = Exchange(
            scope,
            self._sender or send,
            head,
            self._body,
            self._on_response,
            NODE_EDGE,
            self._response_headers,
        )
        self._connection: BackendConnection | None = None
        self._read_delay = 0.0
        """Seconds that the response lay unread because this node's event loop was busy."""
        self._may_have_run = False
        """Whether the request was sent to the back end."""
        self._backend_leaving = False
        """Whether the response says that the back end leaves."""
        self._body_task: asyncio.Future[None] | None = None
        """Receives the body, while the request cannot proceed without it."""
        self._pending_refusal: NotRunError | None = None
        """The refusal of a request that has a slot but not yet its body."""
        self._sender_end_timer: asyncio.TimerHandle | None = None
        """Fires shortly before the sender's node stops, if it is shutting down."""

    @property
    def status(self) -> int:
        """Status of the response that was passed on, 0 without one."""
        return self._exchange.status

    async def run(self) -> None:
        """Process the request until it ends.

        Raises:
            RequestFailedError: it ended without a response.
            TruncatedAnswerError: its response broke off; the connection must be cut.
            CallerGoneError: the other node has cancelled it.
        """
        if self._request.sender_stops_in < math.inf:
            self._schedule_sender_end()
        try:
            with self._context.requests.track(self):
                end = await self._lifetime.run(self._admit_and_exchange)
        finally:
            self._exchange.drop_callbacks()
            if self._has_body:
                self._body.release()
            if self._sender is not None:
                self._sender.close()
            if self._sender_end_timer is not None:
                self._sender_end_timer.cancel()
        if end is LifetimeEnd.FINISHED:
            return
        if end is LifetimeEnd.CALLER_GONE:
            self._note_cancelled()
            raise CallerGoneError
        if self._exchange.started:
            raise TruncatedAnswerError(
                "the request ran out of time while its response was being sent"
            )
        error = end_error(end)
        error.reached_backend = self._may_have_run
        raise error.with_outcome(Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN)

    def _note_cancelled(self) -> None:
        hung = self._ticket.hung
        self._context.log.cancelled(
            self.request_id, self._request.backend, self._may_have_run, hung
        )
        if hung:
            self._context.metrics.note_refused(BackendHungError.code, self._may_have_run)

    @property
    def sender_stopping(self) -> bool:
        """Whether the node that sent the request is shutting down."""
        return self._link_check.sender_stopping

    @property
    def gateway(self) -> str:
        """Empty, as this node is the gateway (``ActiveRequest``)."""
        return ""

    def finish_by(self, moment: float) -> None:
        """Note that the node that sent the request stops at ``moment`` (``ActiveRequest``)."""
        self._link_check.finish_by(moment)
        if self._sender is not None:
            self._sender.finish_by(self._link_check.sender_stops_at)
        self._schedule_sender_end()

    def _schedule_sender_end(self) -> None:
        """Schedule the refusal of the request, should it not have started by then."""
        if self._sender_end_timer is not None:
            self._sender_end_timer.cancel()
        seconds = self._link_check.sender_stops_at - REFUSAL_LEAD_SECONDS - self._context.clock()
        refusal = WithdrawnError("the node that sent the request is stopping")
        loop = asyncio.get_running_loop()
        self._sender_end_timer = loop.call_later(max(0.0, seconds), self._refuse_unstarted, refusal)

    @property
    def progress(self) -> Progress:
        """How far the request has progressed."""
        if self._exchange.started:
            return Progress.ANSWERING
        return Progress.OFFERED if self._ticket.granted else Progress.WAITING

    async def withdraw(self) -> None:
        """Refuse the request if it is still waiting (``ActiveRequest``)."""
        if self._context.requests.draining:
            refusal: NotRunError = DrainingError("the node beside the back end is stopping")
        else:
            refusal = WithdrawnError("the node that sent the request is stopping")
        self._refuse_unstarted(refusal)

    def _refuse_unstarted(self, refusal: NotRunError) -> None:
        """Refuse the request unless it has been sent, or is being sent, to the back end."""
        self._admission.refuse(self._ticket, refusal)
        # A request with a slot has not run while its body is received, which may take seconds.
        if self._ticket.granted and self._body_task is not None and not self._body_task.done():
            self._pending_refusal = refusal
            self._body_task.cancel()

    def stop(self) -> None:
        """End the request now (``ActiveRequest``)."""
        self._lifetime.stop()

    def log_unfinished(self) -> None:
        """Log how far the request has progressed (``ActiveRequest``)."""
        seconds = self._context.clock() - self._ticket.submitted_at
        self._context.log.unfinished(self.request_id, self._request.backend, self.progress, seconds)

    async def _admit_and_exchange(self) -> None:
        if self._body_on_demand:
            await self._wait_for_slot_and_body()
        else:
            await self._wait_for_slot()
        try:
            await self._exchange_admitted()
            if self._sender is not None and self._sender.is_sending:
                await self._wait_until_sent(self._sender)
        except LinkEndsError as error:
            self._context.log.handed_back(self.request_id, self._request.backend)
            raise TruncatedAnswerError(str(error)) from error

    async def _wait_until_sent(self, sender: ResponseSender) -> None:
        started_at = self._context.clock()
        await sender.finish()
        seconds = self._context.clock() - started_at
        self._context.metrics.note_sent(self._request.route, seconds)
        self._context.log.sent(self.request_id, self._request.backend, seconds)

    async def _wait_for_slot_and_body(self) -> None:
        """Receive the body in its turn, which may be before or after the slot is granted."""
        reception = self._context.reception
        self._submit()
        body_task = asyncio.ensure_future(reception.receive(self._ticket, self._body.read_ahead))
        body_task.add_done_callback(_consume_exception)
        self._body_task = body_task
        try:
            await self._wait_until_granted()
            reception.start_waiters()
            await self._wait_for_body(body_task)
        finally:
            body_task.cancel()
            self._body_task = None  # avoids a reference cycle with this object
            reception.release(self._ticket)

    async def _wait_for_body(self, body_task: asyncio.Future[None]) -> None:
        try:
            await body_task
            self._check_accepting()  # a change meanwhile has refused only waiting requests
        except asyncio.CancelledError:
            self._release_slot()
            refusal, self._pending_refusal = self._pending_refusal, None
            if refusal is None:
                raise
            refusal.reached_backend = False
            raise refusal from None
        except BaseException:
            self._release_slot()
            raise

    def _release_slot(self) -> None:
        """Release a slot that was not used.

        The time that the body took is not counted, as it says nothing about the back end.
        """
        self._ticket.started_at = self._context.clock()
        self._admission.finish(self._ticket, self._ticket.started_at, answered=False)

    async def _exchange_admitted(self) -> None:
        log, request = self._context.log, self.request_id
        log.admitted(request, self._request.backend, self._ticket, self._admission)
        metrics, route = self._context.metrics, self._request.route
        metrics.note_admitted(route, self._ticket.queued_seconds)
        if self._admission.rate_limit.rate is not None:
            metrics.note_limited_start()
        if self._ticket.nested:
            metrics.note_nested(route, admitted=True)
        answered = False
        self._context.executions.note_start(route, self._ticket.rank)
        try:
            await self._attempt()
            answered = True
            self._crash_guard.note_answered(self.status)
            metrics.note_answered(route, self._context.clock() - self._ticket.started_at)
            log.answered(request, self._request.backend, self.status, self._ticket)
        finally:
            now = self._context.clock()
            self._context.executions.note_end(
                route, self._ticket.rank, now - self._ticket.started_at
            )
            self._admission.finish(self._ticket, now, answered, self._read_delay)

    async def _wait_for_slot(self) -> None:
        self._submit()
        await self._wait_until_granted()

    def _submit(self) -> None:
        ticket, now = self._ticket, self._context.clock()
        if not ticket.nested and self._context.should_defer(ticket.route, now):
            ticket.wait_policy = ticket.wait_policy.deferred
            self._context.metrics.note_deferred(ticket.route)
        try:
            self._link_check.check(now)
            if self._sender is not None:
                self._sender.reserve()
            self._admission.submit(ticket, now)
        except RequestFailedError as error:
            error.reached_backend = False
            raise

    async def _wait_until_granted(self) -> None:
        ticket = self._ticket
        if ticket.granted:
            return
        self._context.log.queued(self.request_id, self._request.backend, ticket, self._admission)
        await SlotWait(self._admission, ticket, self._context.clock).until_granted()

    async def _attempt(self) -> None:
        if self._context.pacer is not None:
            self._link_check.check_before_run()
        # The request may have become known to crash back ends while it waited here.
        await self._crash_guard.refuse_if_quarantined(
            self._request.crash_limit, self._context.clock()
        )
        connections = self._context.connections
        connection = await connections.acquire(
            self._context.address, CONNECT_TIMEOUT_SECONDS, self.request_id
        )
        self._connection = connection
        try:
            await self._run_with_hang_checks(
                self._exchange.run(connection, self._backend_headers(), self._context.edge),
                connection,
            )
        except (BackendFailedError, TruncatedAnswerError) as error:
            if connection.sent:
                self._may_have_run = True  # set first: the crash check may be cancelled
                backend, address = self._request.backend, self._context.address
                await self._crash_guard.check_for_crash(self.request_id, backend, address, error)
            raise
        except anyio.get_cancelled_exc_class():
            self._may_have_run = self._may_have_run or connection.sent
            raise
        finally:
            self._connection = None
            connections.release(connection)

    def _on_response(self, response: ResponseMeta) -> None:
        seconds = self._context.clock() - self._ticket.started_at
        if seconds >= MIN_DELAY_CHECK_SECONDS and self._connection is not None:
            self._read_delay = self._connection.seconds_since_received()
        self._backend_leaving = response.leaving
        self._note_response(response, self._ticket.started_at)

    async def _run_with_hang_checks(
        self, work: Awaitable[None], connection: BackendConnection
    ) -> None:
        """Await the work; report a hang if the sender asked for such reports."""
        detector = self._admission.hang_detector
        if detector is None or not self._request.report_hangs:
            await work
            return
        clock = self._context.clock
        checks = HangChecks(
            detector, self._ticket, clock, connection.read_pending, self._report_hang
        )
        await checks.run(work)

    def _report_hang(self) -> None:
        """Report a hang to the sender, which may cancel the request.

        No hang is reported while this node is shutting down: a cancelled request would lose an
        execution that may still end in time.
        """
        if not self._context.requests.leaving:
            self._caller.send_processing(load_headers(self._admission, self._context.clock()))

    def _backend_headers(self) -> RawHeaders:
        edge = self._context.edge
        now = self._context.clock()
        return [
            *self._headers,
            *attempt_headers(edge, self.request_id, now, self._deadline),
            *backend_headers(edge, self._request.backend, self._request.caller_service),
        ]

    def _response_headers(self) -> RawHeaders:
        self._ticket.answering = True
        queued = int(self._ticket.queued_seconds * 1000)
        headers = [
            *load_headers(self._admission, self._context.clock()),
            *origin_headers(self._context.origins, self._request),
            (hop.QUEUED, b"%d" % queued),
        ]
        if self._backend_leaving:
            headers += LEAVING_HEADERS
        if self._admission.rate_limit.rate is not None:
            headers += rate_headers(self._admission, self._context.clock())
        if self._context.pacer is not None:
            headers += link_headers(self._context.pacer, self._request.route)
        return headers


def _consume_exception(body_task: asyncio.Future[None]) -> None:
    """Mark the exception as retrieved: nobody awaits the body of a refused request."""
    if not body_task.cancelled():
        body_task.exception()
