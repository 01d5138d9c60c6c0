"""The proxy's ASGI application."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute
from pewtertack.core.machines import MachineList
from pewtertack.core.replication.replica import Lag
from pewtertack.events import Event
from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.crash_watch import BrokenExchange, CrashDetector, fingerprints_of
from pewtertack.node.http.cycle import CALLER_EXTENSION, Scope
from pewtertack.node.proxy.body import CallerGoneError
from pewtertack.node.proxy.configuration_wait import ConfigurationWait
from pewtertack.node.proxy.edge import DEFAULT_EDGE, EdgeHeaders, hop_edge
from pewtertack.node.proxy.exchange import TruncatedAnswerError
from pewtertack.node.proxy.failure_responses import Receive, Send, send_failure
from pewtertack.node.proxy.forwarding import Forwarding, ForwardingContext
from pewtertack.node.proxy.headers import RequestHead, read_head
from pewtertack.node.proxy.in_flight import DrainableApplication, check_memory
from pewtertack.node.proxy.metrics import (
    CALLER_GONE,
    TRUNCATED,
    RequestMetrics,
)
from pewtertack.node.proxy.probing import GatewayProber
from pewtertack.node.proxy.refusals import typed_refusal
from pewtertack.node.proxy.request_log import KnownVersions, ProxyLog, RecordEvent, ignore_event
from pewtertack.node.proxy.stop_time import notify_gateways
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.backend_events import (
    BackendEvent,
    BackendHealthChanged,
    BackendLeaving,
    BackendListed,
)
from pewtertack.routing.deadlines import deadline_of
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.executions import LocalExecutions
from pewtertack.routing.outcomes import (
    ConfigurationBehindError,
    DrainingError,
    InternalError,
    InvalidRequestError,
    NotServingError,
    ProtocolVersionError,
    RequestFailedError,
    RouteNotFoundError,
)
from pewtertack.routing.policies import DEFAULT_POLICIES, Policies
from pewtertack.routing.registry import ListChange
from pewtertack.routing.retry_window import NO_RETRY_LIMITS, RetryLimits
from pewtertack.routing.table import RouteTable
from pewtertack.settings import Settings

if TYPE_CHECKING:
    from prometheus_client.registry import Collector


def _always() -> bool:
    return True


LIST_EVENTS = {
    ListChange.SEEN: Event.BACKEND_SEEN,
    ListChange.LEAVING: Event.BACKEND_LEAVING,
    ListChange.GONE: Event.BACKEND_GONE,
}

LeavingObserver = Callable[[str, str, int], None]
"""Called with the name, the address and the start time of a back end that reports in a response
that it is leaving."""


def _ignore_leaving(name: str, address: str, started_at: int) -> None:
    """Ignore the report."""


class ProxyApplication(DrainableApplication):
    """Forwards callers' requests to back ends according to the configuration in force.

    An ASGI 3 application (``node.http.server``). All methods are called in the event loop's thread.

    Args:
        clock: monotonic time in seconds.
        random: seeded generator for choices, request ids and jitter.
        may_serve: called before every request, which is refused as not run if it returns false.
        registry: where the metrics are registered; ``None`` keeps none.
        log: receives the events numbered 6xx.
        edge: header names toward callers and back ends without a gateway.
        caller_service: the service of the local back end.
        reporter: the node's knowledge of requests that crash back ends.
        policies: the policy for each configurable decision.
        retry_limits: the operators' limits on a service's retries over all nodes, used if the
            policies call for them.
        executions: the requests that the local back end runs.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        random: Random,
        *,
        may_serve: Callable[[], bool] = _always,
        registry: MetricsRegistry | None = None,
        log: RecordEvent = ignore_event,
        edge: EdgeHeaders = DEFAULT_EDGE,
        caller_service: str = "",
        reporter: CrashReporter | None = None,
        policies: Policies = DEFAULT_POLICIES,
        retry_limits: RetryLimits = NO_RETRY_LIMITS,
        executions: LocalExecutions | None = None,
    ) -> None:
        self._clock = clock
        self._edge = edge
        self._random = random
        self._may_serve = may_serve
        self._log = log
        self._prefixes = policies.prefixes
        self._table: RouteTable | None = None
        self.longest_head = 0
        """Configured limit on request heads in bytes; the server's own minimum still applies."""
        dispatcher = Dispatcher(random, self._note_backend_event, policies, retry_limits)
        self._versions = KnownVersions()
        self._request_log = ProxyLog(log, clock, self._versions)
        registry = registry or MetricsRegistry()
        self._metrics = RequestMetrics(registry)
        super().__init__(ConnectionPool(clock))
        self._reporter = reporter or CrashReporter()
        self._context = ForwardingContext(
            clock,
            dispatcher,
            self.connections,
            edge,
            hop_edge(edge),
            caller_service,
            self._request_log,
            self._metrics,
            self.requests,
            self._reporter,
            executions or LocalExecutions(),
            CrashDetector(self._note_crash),
        )
        registry.add_collector(lambda: _make_collector(dispatcher, lambda: self.in_flight, clock))
        self._prober = GatewayProber(dispatcher, clock)
        self._serving = False
        self._retry_after = 1.0
        self._leaving_observer: LeavingObserver = _ignore_leaving
        self.configuration_wait = ConfigurationWait(clock)
        """Holds requests whose route a newer configuration may have."""

    write_refusal = staticmethod(typed_refusal)

    def set_leaving_observer(self, observer: LeavingObserver) -> None:
        """Have ``observer`` called once for each back end that reports itself as leaving."""
        self._leaving_observer = observer

    def use_configuration(self, configuration: ResolvedConfiguration) -> None:
        """Serve requests that start from now on according to ``configuration``."""
        self._table = RouteTable(configuration, self._prefixes)
        self.configuration_wait.notify_changed()
        self.longest_head = configuration.head_bytes
        self._versions.revision = configuration.revision.number
        self._versions.revision_at = self._clock()
        self._context.dispatcher.use_zone(configuration.zone)
        routes = frozenset(route.name for route in configuration.routes)
        self._context.dispatcher.keep_only(routes, configuration.services, self._clock())
        if self._context.dispatcher.use_evacuated(configuration.evacuated, self._clock()):
            self._log(
                Event.ZONES_EVACUATED,
                zones=sorted(configuration.evacuated),
                unserved=self._context.dispatcher.unserved(configuration.services),
            )

    def use_machines(self, machines: MachineList) -> None:
        """Apply a newer machine list; an older one is ignored."""
        self._versions.machine_list = machines.number
        self._versions.machine_list_at = self._clock()
        self._context.dispatcher.use_machines(machines, self._clock())
        self._context.connections.keep_only(self._context.dispatcher.addresses())

    def reaches_all(self) -> bool:
        """Tell whether every service in force has a back end that may be reachable.

        Callers should avoid a node that cannot reach any back end of some service.
        """
        if self._table is None:
            return False
        used = {route.service for route in self._table.configuration.routes}
        return self._context.dispatcher.can_reach_all(used, self._clock())

    def may_run_beside(self, scope: Scope) -> bool:
        """Tell whether a request may run while another one of its connection runs.

        Only a repeatable request may: if the connection ends, its caller cannot tell which of
        them have run. A request that will be refused may be refused at once.
        """
        if self._table is None:
            return True
        try:
            host = read_head(scope["headers"], self._edge).host
            return self._table.match(host, scope["path"], scope["method"]).repeatable
        except RequestFailedError:
            return True

    async def run(self) -> None:
        """Probe unreachable gateways until cancelled."""
        await self._prober.run()

    def use_settings(self, settings: Settings) -> None:
        """Send the service of the settings as the caller's from the next request on."""
        service = settings.backend.service
        self._context = msgspec.structs.replace(self._context, caller_service=service)

    def set_serving(self, serving: bool, retry_after: float = 1.0) -> None:
        """Accept requests, or refuse them as not run with ``retry_after``, in seconds."""
        self._serving = serving
        self._retry_after = retry_after

    def start_leaving(self, seconds: float) -> None:
        """Begin a graceful shutdown that ends in ``seconds``.

        Requests are still served, but callers are asked to close their connections after each
        response.
        """
        self.requests.leaving = True
        self._context.shutdown.begin(self._clock() + seconds)

    async def announce_stop(self) -> None:
        """Notify the gateways that have requests of this node how long it relays responses."""
        await notify_gateways(self._context.shutdown, self._clock, self.connections, self.requests)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request (ASGI entry point)."""
        if scope["type"] != "http":
            raise InvalidRequestError(f"unsupported connection type {scope['type']}")
        with self.requests.count_one():
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = RequestHead()
        try:
            if scope["http_version"] != "1.1":
                raise ProtocolVersionError("HTTP/1.1 is needed")
            head = read_head(scope["headers"], self._edge)
            head.request_id = head.request_id or f"{self._random.getrandbits(128):032x}"
            self._check_serving()
            if scope["extensions"][CALLER_EXTENSION].memory_short:
                check_memory(scope, head.body_is_large)
            await self._forward(scope, receive, send, head)
        except RequestFailedError as error:
            await self._refuse(send, error, head, None)

    async def _refuse(
        self,
        send: Send,
        error: RequestFailedError,
        head: RequestHead,
        route: ResolvedRoute | None,
    ) -> None:
        """Send a failure; count and log it."""
        if route is not None:
            self._context.dispatcher.note_failed(route.name, self._clock())
        self._metrics.note_failed(route, error.code)
        self._request_log.refused(head.request_id, route, error)
        await send_failure(send, error, head.request_id, self._edge)

    def _note_backend_event(self, backend_event: BackendEvent) -> None:
        match backend_event:
            case BackendLeaving(backend):
                self._log(Event.BACKEND_LEAVING, backend=backend.name, source="answer")
                self._leaving_observer(backend.name, backend.address, backend.started_at)
            case BackendListed(backend, change):
                if change is ListChange.GONE:
                    self._context.connections.drop(backend.address)
                self._log(
                    LIST_EVENTS[change],
                    backend=backend.name,
                    service=backend.service,
                    zone=backend.zone,
                    address=backend.address,
                    machine_list=self._versions.machine_list,
                )
            case BackendHealthChanged(backend, ejected):
                if backend.unreachable:
                    self._prober.wake()
                    self._context.connections.drop(backend.gateway)
                event = Event.BACKEND_EJECTED if ejected else Event.BACKEND_RETURNED
                self._log(event, backend=backend.name, service=backend.service)

    def _note_crash(self, backend: str, broken: tuple[BrokenExchange, ...]) -> None:
        """Record and report a crash of a back end without a gateway."""
        self._request_log.crashed(backend, broken)
        self._reporter.report_remote_crash(backend, fingerprints_of(broken))

    def _check_serving(self) -> None:
        if self.requests.draining:
            raise DrainingError("the node is stopping")
        if not self._serving or self._table is None or not self._may_serve():
            raise NotServingError("the node is not serving yet", self._retry_after)

    async def _forward(self, scope: Scope, receive: Receive, send: Send, head: RequestHead) -> None:
        assert self._table is not None
        table = self._table
        try:
            route = table.match(head.host, scope["path"], scope["method"])
        except RouteNotFoundError:
            table = await self._wait_for_newer_table(head)
            route = table.match(head.host, scope["path"], scope["method"])
        configuration = table.configuration
        route = self._context.dispatcher.pick_service(route)
        started_at = self._clock()
        deadline = deadline_of(started_at, head.deadline, route.timeout)
        forwarding = Forwarding(
            self._context, scope, receive, send, head, configuration, route, deadline
        )
        failed = True
        try:
            await forwarding.run()
            failed = forwarding.status >= InternalError.status
            if failed:
                self._context.dispatcher.note_failed(route.name, self._clock())
            duration = self._clock() - started_at
            self._metrics.note_answered(route, duration)
            backend = forwarding.ticket.backend
            if backend is not None:
                self._metrics.note_zone(backend.service, backend.zone)
            self._request_log.answered(
                head.request_id, forwarding.ticket, forwarding.status, duration
            )
        except RequestFailedError as error:
            await self._refuse(send, error.with_retries_spent(), head, route)
        except CallerGoneError:
            failed = False  # the result is unknown
            self._metrics.note_failed(route, CALLER_GONE)
            duration = self._clock() - started_at
            self._request_log.ended(Event.REQUEST_CANCELLED, head.request_id, route, duration)
        except TruncatedAnswerError:
            # the server cuts a connection whose response is incomplete
            self._metrics.note_failed(route, TRUNCATED)
            duration = self._clock() - started_at
            self._request_log.ended(Event.REQUEST_CUT, head.request_id, route, duration)
        except Exception:
            if forwarding.status == 0:
                await self._refuse(send, InternalError("unexpected error"), head, route)
            raise  # the server logs it and closes the connection
        finally:
            self._metrics.note_retries(route, forwarding.retries)
            if forwarding.ticket.nested:
                self._context.executions.note_call(route.name, self._clock(), failed)

    async def _wait_for_newer_table(self, head: RequestHead) -> RouteTable:
        """Wait for a newer configuration, which may have the request's route; return its table.

        Raises:
            RouteNotFoundError: the node knows of no newer configuration.
            ConfigurationBehindError: the newer one is not in force in time.
        """
        if self.configuration_wait.lag() is Lag.NONE:
            raise RouteNotFoundError("no route for this host and path")
        deadline = deadline_of(self._clock(), head.deadline, math.inf)
        if not await self.configuration_wait.wait(deadline) or self._table is None:
            raise ConfigurationBehindError("a newer configuration is not in force here yet")
        return self._table


def _make_collector(
    dispatcher: Dispatcher, in_flight: Callable[[], int], clock: Callable[[], float]
) -> Collector:
    """Return the dispatcher's collector; its library is loaded only when metrics are scraped."""
    from pewtertack.node.proxy.dispatcher_metrics import DispatcherCollector

    return DispatcherCollector(dispatcher, in_flight, clock)
