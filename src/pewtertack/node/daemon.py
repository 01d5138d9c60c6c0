"""Life cycle of a node process: bind, serve, drain, exit."""

from __future__ import annotations

import logging
import math
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any, Protocol

import anyio
import msgspec
from anyio.abc import TaskGroup

from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node.early_signals import unblock_signals
from pewtertack.node.http.caller_resources import MAX_ADMIN_CONNECTIONS, CallerResources
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.http.server import HttpServer
from pewtertack.node.library_log import record_library_log
from pewtertack.node.runtime import Runtime
from pewtertack.node.settings_file import SettingsFile
from pewtertack.node.sockets import NodeSockets, address_of
from pewtertack.node.transport import PeerTransport
from pewtertack.settings.schema import LimitsSection

logger = logging.getLogger(LOGGER_NAME)

WITHDRAW_SECONDS = 1.0
"""Seconds before the end of a shutdown at which requests that no back end runs are refused.
Requests that run by then have the time of a usual response, and a refusal has the time to reach its
caller."""
FINAL_RESPONSE_SECONDS = 0.5
"""Seconds before the end of a shutdown at which requests still running are answered with an unknown
outcome; connections linger as long (``node.http.protocol``)."""
GATEWAY_FINAL_RESPONSE_SECONDS = 0.2
"""Seconds before the end of a shutdown at which requests of other nodes that the local back end
still runs are answered with an unknown outcome. That is later than for callers: a node reads its
response and closes the connection at once, and an execution may go on until then."""
FINAL_LOOP_ITERATIONS = 100
"""Iterations of the event loop that run after requests were told to end, even if the time for the
shutdown is over: a loop that was held up until then has not written any of their responses. A
response takes one iteration, and each response behind it on its connection one more."""
PROCESS_EXIT_SECONDS = 0.3
"""Time that the process itself needs to exit before ``limits.stop_within``, on a busy machine."""
ANNOUNCEMENT_DELAYS = (0.0, 0.5, 1.0)
"""Seconds before each announcement to other nodes. An announcement may be lost, or arrive before
the request that it concerns; repeating it has no effect on nodes that already received it."""
EXIT_FINISHED = 0
EXIT_FAILED = 1
LEAVE_SECONDS = 0.5
"""Seconds for which a draining node goes on ticking, so that peers learn of it."""

AsgiApplication = Callable[..., Awaitable[None]]


class DrainableProxy(Protocol):
    """Interface of the proxy and gateway applications for the daemon."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""

    def write_refusal(self, reason: RefusalReason, started: bool) -> bytes:
        """Return the response to data that is not a valid request (``RefusalWriter``)."""

    def start_leaving(self, seconds: float) -> None:
        """Prepare for the shutdown, which ends all requests within ``seconds``."""

    async def announce_stop(self) -> None:
        """Tell other nodes that run requests of this one how much time is left."""

    def start_draining(self) -> None:
        """Refuse new requests; finish those in flight."""

    async def wait_drained(self) -> None:
        """Wait until no request is in flight."""

    async def withdraw_waiting(self) -> None:
        """Refuse the requests that no back end runs."""

    def log_unfinished(self) -> None:
        """Log the requests in flight when the time for the shutdown is over."""

    def flush_responses(self) -> None:
        """Hand buffered response data to the kernel."""

    def stop_requests(self) -> None:
        """End the requests in flight with a response; may be called again."""


class RunningProxy(DrainableProxy, Protocol):
    """An application with background work besides serving requests."""

    async def run(self) -> None:
        """Run the background work until cancelled."""


class NodeParts(msgspec.Struct, frozen=True):
    """All parts of a node process, created but not started."""

    settings: SettingsFile
    sockets: NodeSockets
    runtime: Runtime
    transport: PeerTransport
    admin: AsgiApplication
    proxy: RunningProxy | None
    log: EventLog
    close: Callable[[], Awaitable[None]]
    """Closes the connections to the platform."""
    gateway: RunningProxy | None = None
    resources: CallerResources = msgspec.field(default_factory=CallerResources)


async def run_node(parts: NodeParts) -> int:
    """Run until SIGTERM or SIGINT, drain, and return the exit code."""
    failures: list[BaseException] = []
    try:
        async with AsyncExitStack() as stack:
            stack.callback(parts.sockets.close)
            stack.push_async_callback(parts.close)
            await _run_until_drained(parts)
    except* Exception as group:
        failures = _flatten(group)
    for failure in failures:
        parts.log.record(Event.NODE_FAILED, type=type(failure).__name__, reason=str(failure))
    if not failures:
        parts.log.record(Event.NODE_STOPPED)
    parts.log.close()
    return EXIT_FAILED if failures else EXIT_FINISHED


async def _run_until_drained(parts: NodeParts) -> None:
    keep_alive = parts.settings.current.limits.keep_alive.seconds
    record_library_log(parts.log)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        unblock_signals()
        async with anyio.create_task_group() as tasks:
            runtime = parts.runtime
            handlers = (runtime.receive, runtime.refuse, runtime.note_arriving)
            tasks.start_soon(parts.transport.run, *handlers)
            tasks.start_soon(parts.runtime.run)
            tasks.start_soon(parts.settings.run)
            for application in (parts.proxy, parts.gateway):
                if application is not None:
                    tasks.start_soon(application.run)
            admin = HttpServer(
                parts.admin,
                keep_alive,
                resources=parts.resources,
                max_connections=MAX_ADMIN_CONNECTIONS,
            )
            admin_sockets = [parts.sockets.admin, parts.sockets.metrics]
            tasks.start_soon(admin.serve, [sock for sock in admin_sockets if sock is not None])
            servers = _start_servers(parts, tasks, keep_alive)
            _log_ready(parts)
            async for received in signals:
                if received is not signal.SIGHUP:
                    break
                parts.settings.reload()
            await _drain(parts, servers)
            tasks.cancel_scope.cancel()


class _RequestServer:
    """Server of the proxy or the gateway; ``stopped`` is set once every response has been sent."""

    def __init__(
        self,
        application: DrainableProxy,
        listener: socket.socket,
        keep_alive: float,
        resources: CallerResources,
        final_response_seconds: float = FINAL_RESPONSE_SECONDS,
    ) -> None:
        self.application = application
        self.final_response_seconds = final_response_seconds
        """Seconds before the end of a shutdown at which requests still running are ended."""
        self._listener = listener
        self.stopped = anyio.Event()
        self._server = HttpServer(
            application,
            keep_alive,
            application.write_refusal,
            resources,
            resources.max_connections,
        )

    async def serve(self) -> None:
        """Accept callers until told to stop."""
        await self._server.serve([self._listener])
        self.stopped.set()

    def start_draining(self) -> None:
        """Refuse new requests; let responses in progress outlast the process."""
        self.application.start_draining()
        self._server.enlarge_send_buffers()

    def log_unsent(self) -> None:
        """Log response data that was reported as sent but has not left this process."""
        self._server.log_unsent()

    async def drain(self) -> None:
        """Finish the requests in flight, then close the listener and the connections."""
        await self.application.wait_drained()
        self._server.should_exit = True
        await self.stopped.wait()


def _start_servers(
    parts: NodeParts, tasks: TaskGroup, keep_alive: float
) -> tuple[_RequestServer, ...]:
    """Start the servers of the proxy and the gateway, as far as the node has them."""
    sockets = parts.sockets
    components = (
        (parts.proxy, sockets.proxy, FINAL_RESPONSE_SECONDS),
        (parts.gateway, sockets.gateway, GATEWAY_FINAL_RESPONSE_SECONDS),
    )
    servers = tuple(
        _RequestServer(application, listener, keep_alive, parts.resources, final_response_seconds)
        for application, listener, final_response_seconds in components
        if application is not None and listener is not None
    )
    for server in servers:
        tasks.start_soon(server.serve)
    return servers


def _log_ready(parts: NodeParts) -> None:
    proxy = parts.sockets.proxy
    parts.log.record(
        Event.NODE_READY,
        zone=parts.settings.current.node.zone.text,
        region=parts.settings.current.node.region.text,
        peer=str(address_of(parts.sockets.peer_streams)),
        admin=str(address_of(parts.sockets.admin)),
        proxy=str(address_of(proxy)) if proxy is not None else "",
    )


def drain_time(limits: LimitsSection) -> float:
    """Return how many seconds requests in flight have once new ones are refused."""
    return time_left(limits, notice_time(limits))


def time_left(limits: LimitsSection, elapsed: float) -> float:
    """Return how many seconds requests in flight have left, ``elapsed`` seconds into a shutdown."""
    limit = limits.drain_timeout.seconds if limits.drain_timeout else math.inf
    if limits.stop_within is None:
        return limit
    remaining = limits.stop_within.seconds - elapsed - PROCESS_EXIT_SECONDS
    return max(0.0, min(limit, remaining))


def notice_time(limits: LimitsSection) -> float:
    """Return for how many seconds a node that shuts down still accepts requests."""
    notice = limits.drain_notice.seconds
    if limits.stop_within is None:
        return notice
    return min(
        notice, max(0.0, limits.stop_within.seconds - PROCESS_EXIT_SECONDS - WITHDRAW_SECONDS)
    )


async def _drain(parts: NodeParts, servers: tuple[_RequestServer, ...]) -> None:
    """Tell peers, report not ready, refuse new requests, finish those in flight, close."""
    started_at = anyio.current_time()
    parts.runtime.start_leaving()
    limits = parts.settings.current.limits
    drain_seconds = drain_time(limits)
    notice = notice_time(limits)
    for server in servers:
        server.application.start_leaving(notice + drain_seconds - FINAL_RESPONSE_SECONDS)
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(_announce_stop, server.application)
        if notice > 0:
            await anyio.sleep(notice)
        parts.runtime.stop_serving()
        for server in servers:
            server.start_draining()
        if notice < LEAVE_SECONDS:
            await anyio.sleep(LEAVE_SECONDS)
        # The steps before may have taken longer; the platform's limit counts from the signal all
        # the same.
        await _finish_requests(servers, time_left(limits, anyio.current_time() - started_at))
        tasks.cancel_scope.cancel()


async def _announce_stop(application: DrainableProxy) -> None:
    """Tell other nodes repeatedly; a failure does not stop the shutdown."""
    for delay in ANNOUNCEMENT_DELAYS:
        await anyio.sleep(delay)
        await _announce_once(application)


async def _announce_once(application: DrainableProxy) -> None:
    try:
        await application.announce_stop()
    except* Exception as errors:
        for error in _flatten(errors):
            logger.error(
                "cannot announce the shutdown to other nodes; shutting down all the same",
                exc_info=error,
            )


async def _finish_requests(servers: tuple[_RequestServer, ...], seconds: float) -> None:
    """Wait until every request has its response; end those that take longer than ``seconds``."""
    ends_at = anyio.current_time() + seconds
    with anyio.move_on_after(max(0.0, seconds - FINAL_RESPONSE_SECONDS)) as finish_scope:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_withdraw_after, servers, max(0.0, seconds - WITHDRAW_SECONDS))
            await _drain_all(servers)
            tasks.cancel_scope.cancel()
    if not finish_scope.cancelled_caught:
        return
    with anyio.CancelScope(deadline=ends_at) as final_scope:
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(_stop_requests, server, ends_at)
    if final_scope.cancelled_caught:
        for server in servers:
            server.application.stop_requests()  # the event loop may have been held up until now
        for _ in range(FINAL_LOOP_ITERATIONS):
            await anyio.sleep(0)
    for server in servers:
        server.log_unsent()


async def _stop_requests(server: _RequestServer, ends_at: float) -> None:
    """Wait for the requests still running, and end them when only the final responses fit."""
    server.application.log_unfinished()
    server.application.flush_responses()
    with anyio.CancelScope(deadline=ends_at - server.final_response_seconds) as finish_scope:
        await server.drain()
    if finish_scope.cancelled_caught:
        server.application.stop_requests()
        await server.drain()


async def _withdraw_after(servers: tuple[_RequestServer, ...], seconds: float) -> None:
    """Refuse the requests still waiting after ``seconds``."""
    await anyio.sleep(seconds)
    try:
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(server.application.withdraw_waiting)
    except* Exception as errors:
        # A failure must not prevent the responses to other requests.
        for error in _flatten(errors):
            logger.error(
                "cannot withdraw waiting requests; they end with the shutdown", exc_info=error
            )


async def _drain_all(servers: tuple[_RequestServer, ...]) -> None:
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(server.drain)


def _flatten(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the exceptions of a group, those of nested groups included."""
    exceptions: list[BaseException] = []
    for item in group.exceptions:
        exceptions += _flatten(item) if isinstance(item, BaseExceptionGroup) else [item]
    return exceptions
