"""The gateway's ASGI application: serves other nodes' requests for the local back end."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedService
from pewtertack.core.machines import MachineList, MachineRole
from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.crash_watch import (
    BrokenExchange,
    CrashDetector,
    fingerprints_of,
    refuses_connections,
)
from pewtertack.node.gateway.cold_watch import ColdWatch
from pewtertack.node.gateway.context import GatewayContext
from pewtertack.node.gateway.forwarding import GatewayForwarding
from pewtertack.node.gateway.hop import (
    FINISH_BY,
    PROBE_ANSWERED,
    WITHDRAW,
    HopRequest,
    failure_header,
    gateway_only_header,
    parse_finish_by,
    read_hop,
)
from pewtertack.node.gateway.incarnations import Incarnation, Incarnations
from pewtertack.node.gateway.metrics import GatewayMetrics
from pewtertack.node.gateway.report_headers import (
    LEAVING_HEADERS,
    link_headers,
    load_headers,
    origin_headers,
    rate_headers,
)
from pewtertack.node.http.client import ServiceResponse
from pewtertack.node.http.cycle import CALLER_EXTENSION, Scope
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.http.heads import DEFAULT_HEAD_LIMIT
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.body import CallerGoneError
from pewtertack.node.proxy.edge import NODE_EDGE, EdgeHeaders
from pewtertack.node.proxy.exchange import MISDIRECTED_STATUS, TruncatedAnswerError
from pewtertack.node.proxy.failure_responses import Receive, Send, send_failure
from pewtertack.node.proxy.headers import (
    RequestHead,
    ResponseMeta,
    read_head,
    read_response_meta,
)
from pewtertack.node.proxy.in_flight import DrainableApplication, check_memory
from pewtertack.node.proxy.refusals import refusal_error, write_refusal
from pewtertack.node.proxy.request_log import GatewayLog, RecordEvent, ignore_event
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.cold import ColdBounds
from pewtertack.routing.deadlines import deadline_of
from pewtertack.routing.executions import LocalExecutions, never_without_result
from pewtertack.routing.link import LinkScheduler
from pewtertack.routing.origins import origin_detector_for
from pewtertack.routing.outcomes import (
    BackendGoneError,
    BackendUnreachableError,
    DrainingError,
    InternalError,
    NotRunError,
    RequestFailedError,
    ZoneEvacuatedError,
)
from pewtertack.routing.policies import DEFAULT_POLICIES, LongBodyPolicy, Policies, SlotOrderPolicy
from pewtertack.settings import Settings

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

    from pewtertack.node.gateway.backend_reports import BackendReports

STOP_TIME_FACTOR = 2.0
"""A gateway that shuts down admits a request only if this many times its expected duration fits
into the time left."""
HOP_HEAD_BYTES = 8 * 1024
"""Limit on the headers that nodes add on the hop between them."""
DEFAULT_TIMEOUT_SECONDS = 3600.0
"""Timeout of a request without a deadline; proxies always send one."""


class GatewaySettings(msgspec.Struct, frozen=True):
    """The node settings that concern its gateway."""

    address: str
    """``ip:port`` of the local back end."""
    service: str = ""
    """The back end's service; empty if the settings do not name it."""
    zone: str = ""
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    """See ``settings.LimitsSection``."""
    link_mbps: float = 0.0
    """Rate of the machine's link in Mbit/s, 0 if unknown."""
    follows_another: bool = False
    """Whether an earlier process of the node may have sent requests to the back end until now."""


class GatewayApplication(DrainableApplication):
    """Admits requests for one address, whichever incarnation of a back end runs there.

    An ASGI 3 application. All methods are called in the event loop's thread.

    Args:
        clock: monotonic time in seconds.
        settings: the local back end, its service and zone, and the link.
        edge: header names of the back end.
        log: receives the events numbered 6xx.
        registry: where the metrics are registered; ``None`` keeps none.
        reporter: the node's knowledge of requests that crash back ends.
        policies: the policy for each configurable decision.
        executions: the requests that the local back end runs.
    """

    callers_relay = True
    """The callers are nodes, which relay responses and disconnect slow readers themselves. The
    request's deadline limits how long a node that does not read is waited for
    (``node.http.unread``)."""

    def __init__(
        self,
        clock: Callable[[], float],
        settings: GatewaySettings,
        edge: EdgeHeaders,
        log: RecordEvent = ignore_event,
        registry: MetricsRegistry | None = None,
        reporter: CrashReporter | None = None,
        policies: Policies = DEFAULT_POLICIES,
        executions: LocalExecutions | None = None,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._log = GatewayLog(log, clock)
        registry = registry or MetricsRegistry()
        self._metrics = GatewayMetrics(registry)
        super().__init__(ConnectionPool(clock))
        self._reporter = reporter or CrashReporter()
        self._backend_down = False
        """Whether the back end's address refused connections when last used."""
        executions = executions or LocalExecutions()
        self.origins = origin_detector_for(policies)
        """Who calls each route, as far as known; ``None`` if the policies do not need it."""
        self._context = GatewayContext(
            clock,
            self.connections,
            edge,
            settings.address,
            self._log,
            self._metrics,
            CrashDetector(self._note_crash),
            self._reporter,
            self.origins,
            executions,
            executions.likely_without_result
            if policies.begun_runs is SlotOrderPolicy.FINISHABLE
            else never_without_result,
            self.requests,
            pacer=_make_pacer(clock, settings, policies),
        )
        self._incarnations = Incarnations(clock, policies, settings.follows_another)
        self._backend_reports: BackendReports | None = None
        registry.add_collector(lambda: _make_collector(self._incarnations))
        self._stops_at = math.inf
        self._evacuated = False
        self._configuration: ResolvedConfiguration | None = None
        self.service: ResolvedService | None = None
        self.longest_head = DEFAULT_HEAD_LIMIT + HOP_HEAD_BYTES
        """Limit on request heads in bytes, including the headers that nodes add."""
        self._cold_watch = ColdWatch(self, edge.cold_milliseconds, clock)

    @staticmethod
    def write_refusal(reason: RefusalReason, started: bool) -> bytes:
        """Return the response to data that is not a valid request (``RefusalWriter``).

        It is marked as the gateway's failure: a response that names no request would otherwise
        count against the back end.
        """
        error = refusal_error(reason, started)
        error.reached_backend = started
        return write_refusal(error, [failure_header(error)])

    @property
    def address(self) -> str:
        """``ip:port`` of the local back end."""
        return self._settings.address

    async def run(self) -> None:
        """Query the back end for its cold state whenever that is due, until cancelled."""
        await self._cold_watch.run()

    def use_settings(self, settings: Settings) -> None:
        """Switch to the address and the service of the settings' back end."""
        address, service = str(settings.backend.address), settings.backend.service
        if settings.backend.address is None:
            return
        self._settings = msgspec.structs.replace(self._settings, address=address, service=service)
        self._context = msgspec.structs.replace(self._context, address=address)
        if self._configuration is not None:
            self.use_configuration(self._configuration)

    def use_configuration(self, configuration: ResolvedConfiguration) -> None:
        """Apply the service's settings and the evacuation state of this zone."""
        self._configuration = configuration
        self.service = configuration.services.get(self._settings.service)
        self.longest_head = max(DEFAULT_HEAD_LIMIT, configuration.head_bytes) + HOP_HEAD_BYTES
        self._use_bounds(self.service)
        evacuated = self._settings.zone in configuration.evacuated
        if evacuated != self._evacuated:
            self._evacuated = evacuated
            self._note_evacuation()

    def _use_bounds(self, service: ResolvedService | None) -> None:
        """Apply the service's limits for cold back ends; an unknown service has none."""
        settings = self._settings
        rate, duration = (service.cold_rate, service.cold_start) if service is not None else (0, 0)
        bounds = ColdBounds(rate, duration, settings.cold_overage, settings.cold_slack)
        self._incarnations.use_bounds(bounds)

    def _note_evacuation(self) -> None:
        """Apply a change of the zone's evacuation; after its end the back ends may be cold."""
        if self._evacuated:
            self._incarnations.refuse_waiting(_evacuation_error)
        else:
            self._incarnations.assume_cold()

    def after_suspension(self) -> None:
        """Treat the back end as cold: it may have become so while the machine was suspended."""
        self._incarnations.assume_cold()

    def accepting(self) -> list[tuple[str, Incarnation]]:
        """Return the back ends that take work, with their names (``WatchedBackend``)."""
        return self._incarnations.accepting()

    def note_health_response(
        self, name: str, incarnation: Incarnation, response: ServiceResponse, sent_at: float
    ) -> None:
        """Apply what a health response reports of the back end's state (``WatchedBackend``)."""
        meta = read_response_meta(response.headers, self._context.edge)
        meta.status = response.status
        self._note_response(name, incarnation, meta, sent_at)

    def use_machines(self, machines: MachineList) -> None:
        """Update which back ends run at the address, are leaving or have gone."""
        at_address = (machine for machine in machines.machines if machine.address == self.address)
        backends = (machine for machine in at_address if machine.role is MachineRole.BACKEND)
        if self._incarnations.apply_machine_list({machine.name: machine for machine in backends}):
            self.connections.drop(self.address)
        if self.origins is not None:
            with_gateway = [item for item in machines.machines if item.gateway]
            zone = self._settings.zone
            services_in_zone = Counter(item.service for item in with_gateway if item.zone == zone)
            self.origins.use_machines(
                services_in_zone, len({item.service for item in with_gateway})
            )

    def start_leaving(self, seconds: float) -> None:
        """Begin a graceful shutdown that ends in ``seconds``.

        Requests that may not end in time are refused, so that senders try another gateway.
        """
        self.requests.leaving = True
        self._stops_at = self._clock() + seconds
        if self._context.pacer is not None:
            self._context.pacer.stop_at(self._stops_at)

    def flush_responses(self) -> None:
        """Send all responses that wait for their turn on the link at once."""
        if self._context.pacer is not None:
            self._context.pacer.scheduler.send_all_now()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request (ASGI entry point)."""
        own_header = gateway_only_header(scope["headers"])
        if own_header is not None:
            await self._handle_gateway_request(send, *own_header)
            return
        with self.requests.count_one():
            await self._serve(scope, receive, send)

    def _note_crash(self, backend: str, broken: tuple[BrokenExchange, ...]) -> None:
        """Record a crash of the back end, unless it was leaving and may have stopped as planned."""
        self._backend_down = True
        if not self._incarnations.get(backend).takes_work:
            return
        self._log.crashed(backend, broken)
        self._metrics.note_crashed()
        self._reporter.report_crash(fingerprints_of(broken))

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = RequestHead()
        request: HopRequest | None = None
        try:
            head = read_head(scope["headers"], NODE_EDGE)
            if scope["extensions"][CALLER_EXTENSION].memory_short:
                check_memory(scope, head.body_is_large)
            request = read_hop(scope["headers"])
            if request.invalid_stop_time:
                self._metrics.note_invalid_stop_time()
            self._note_origin(request)
            await self._forward(scope, receive, send, head, request)
        except RequestFailedError as error:
            load = self._report_headers(request, error)
            backend = request.backend if request is not None else ""
            load_text = load[0][1].decode() if load else ""
            self._log.refused(head.request_id, backend, error, load_text)
            self._metrics.note_refused(error.code, error.reached_backend)
            if error.answer is not None:
                self._metrics.note_rejected_answer(error.code, error.answer)
            headers = [*load, *self._note_refused(request)]
            if request is not None and self._context.pacer is not None:
                headers += link_headers(self._context.pacer, request.route)
            await _refuse(send, error, head, headers)

    def _note_origin(self, request: HopRequest) -> None:
        route, origins = request.route, self.origins
        if origins is not None and origins.note(route, request.caller_service, self._clock()):
            self._log.origin_known(route, origins.origin(route) or "")

    def _note_refused(self, request: HopRequest | None) -> RawHeaders:
        """Count a refused nested call; return the header that reports the route's origin."""
        if request is None or self.origins is None:
            return []
        if self.origins.is_nested(request.route, request.nested):
            self._metrics.note_nested(request.route, admitted=False)
        return origin_headers(self.origins, request)

    async def _handle_gateway_request(self, send: Send, name: bytes, value: bytes) -> None:
        """Handle a request that another node addressed to the gateway itself."""
        if name == WITHDRAW:
            await self.requests.withdraw_one(value.decode("latin-1"))
        elif name == FINISH_BY:
            self._handle_finish_by(value)
        elif self.leaving or self.requests.draining:
            error: NotRunError = DrainingError("the node beside the back end is stopping")
            await _refuse(send, error, RequestHead(), [])
            return
        elif self._evacuated:
            await _refuse(send, _evacuation_error(), RequestHead(), [])
            return
        elif await self._is_backend_down():
            error = BackendUnreachableError("nobody listens at the back end's address")
            await _refuse(send, error, RequestHead(), [])
            return
        await send({"type": "http.response.start", "status": PROBE_ANSWERED, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    def _handle_finish_by(self, value: bytes) -> None:
        """Note that a node that has sent requests is shutting down: answer them before it stops."""
        seconds, ids = parse_finish_by(value)
        if not ids:
            self._metrics.note_invalid_stop_time()
            return
        moment = self._clock() + seconds
        named_requests = [item for item in self.requests.active if item.request_id in ids]
        for request in named_requests:
            request.finish_by(moment)
        self._log.sender_stopping(seconds, len(ids), len(named_requests))

    async def _is_backend_down(self) -> bool:
        """Tell whether the back end is still down, so that no request has to find out."""
        self._backend_down = self._backend_down and await refuses_connections(self.address)
        return self._backend_down

    def _report_headers(self, request: HopRequest | None, error: RequestFailedError) -> RawHeaders:
        """Return the reports on the back end that accompany a failure; the load is the first."""
        found = self._incarnations.find(request.backend) if request is not None else None
        if found is None:
            return []
        now = self._clock()
        headers = [*load_headers(found.admission, now), *rate_headers(found.admission, now)]
        if found.leaving and error.reached_backend:
            headers += LEAVING_HEADERS
        return headers

    async def _forward(
        self, scope: Scope, receive: Receive, send: Send, head: RequestHead, request: HopRequest
    ) -> None:
        incarnation = self._admit(request)
        now = self._clock()
        deadline = deadline_of(now, head.deadline, DEFAULT_TIMEOUT_SECONDS)
        forwarding = GatewayForwarding(
            self._context,
            incarnation.admission,
            scope,
            receive,
            send,
            head,
            request,
            deadline,
            lambda: self._check_accepting(incarnation, request),
            lambda response, sent_at: self._note_response(
                request.backend, incarnation, response, sent_at
            ),
        )
        try:
            await forwarding.run()
        except BackendGoneError:
            incarnation.leaving = True
            incarnation.hand_back_waiting()
            raise
        except BackendUnreachableError:
            self._backend_down = True
            raise
        except RequestFailedError:
            raise
        except (CallerGoneError, TruncatedAnswerError):
            pass  # the server cuts a connection whose response is incomplete
        except Exception:
            if forwarding.status == 0:
                await _refuse(send, InternalError("unexpected error"), head, [])
            raise  # the server logs it and closes the connection

    def _admit(self, request: HopRequest) -> Incarnation:
        incarnation = self._incarnations.get(request.backend)
        if request.known_rate is not None:
            self._reports.note_known_rate(request, incarnation, self._clock())
        if self.requests.draining or not self._fits_before_stop(incarnation, request):
            raise _mark_backend_not_reached(
                DrainingError("the node beside the back end is stopping")
            )
        self._check_accepting(incarnation, request)
        return incarnation

    def _note_response(
        self, name: str, incarnation: Incarnation, response: ResponseMeta, sent_at: float
    ) -> None:
        """Apply what the back end reports of its state in a response."""
        if response.status == MISDIRECTED_STATUS:
            return  # another back end at the address reports its own state
        limit = incarnation.admission.rate_limit
        limit.has_answer = True
        if response.leaving or response.rate_limits or limit.rate is not None:
            self._reports.note_response(name, incarnation, response, sent_at, self._clock())

    @property
    def _reports(self) -> BackendReports:
        """Imported when there is a report to apply, to save memory in nodes where there is none."""
        if self._backend_reports is None:
            from pewtertack.node.gateway.backend_reports import BackendReports

            self._backend_reports = BackendReports(self._log, self._metrics)
        return self._backend_reports

    def _check_accepting(self, incarnation: Incarnation, request: HopRequest) -> None:
        """Raise the refusal if the back end may not be sent any more requests."""
        if not incarnation.takes_work:
            raise incarnation.refusal(request.started_at)
        if self._evacuated:
            raise _evacuation_error()

    def _fits_before_stop(self, incarnation: Incarnation, request: HopRequest) -> bool:
        """Tell whether the request will probably end before the node stops."""
        needed = incarnation.admission.expected_time(request.route) or request.objective
        if self._context.pacer is not None:
            needed += self._context.pacer.delivery_time(request.route, request.rank)
        return self._clock() + needed * STOP_TIME_FACTOR < self._stops_at


def _make_collector(incarnations: Incarnations) -> Collector:
    """Return the collector of the limits in force; imported only when metrics are read."""
    from pewtertack.node.gateway.rate_collector import RateLimitCollector

    return RateLimitCollector(incarnations)


def _make_pacer(
    clock: Callable[[], float], settings: GatewaySettings, policies: Policies
) -> LinkPacer | None:
    """Return the pacer of long responses; ``None`` if they are sent without pacing."""
    if policies.long_bodies is not LongBodyPolicy.IN_TURNS or not settings.link_mbps:
        return None
    return LinkPacer(clock, LinkScheduler(settings.link_mbps))


def _evacuation_error() -> ZoneEvacuatedError:
    return ZoneEvacuatedError("the zone is evacuated")


def _mark_backend_not_reached(error: RequestFailedError) -> RequestFailedError:
    error.reached_backend = False
    return error


async def _refuse(
    send: Send, error: RequestFailedError, head: RequestHead, load: RawHeaders
) -> None:
    headers = [failure_header(error), *load]
    await send_failure(send, error, head.request_id, NODE_EDGE, headers)
