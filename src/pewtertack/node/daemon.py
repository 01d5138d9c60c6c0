"""The life of one node process: bind, serve, drain, exit."""

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
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.server import HttpServer
from pewtertack.node.library_log import record_library_log
from pewtertack.node.runtime import Runtime
from pewtertack.node.settings_file import SettingsFile
from pewtertack.node.sockets import NodeSockets, address_of
from pewtertack.node.transport import PeerTransport
from pewtertack.settings.schema import LimitsSection

logger = logging.getLogger(LOGGER_NAME)

WITHDRAW_SECONDS = 1.0
"""So long before a stop's end what no back end works on is refused: what runs by then has the
time of a usual answer, and a refusal the time to reach its caller."""
LAST_ANSWERS_SECONDS = 0.5
"""So long before a stop's end what still runs is answered as of unknown outcome; connections
linger as long (``node.http.protocol``)."""
GATEWAY_LAST_SECONDS = 0.2
"""The same for what runs beside this node for others: those are nodes, which take an answer and
end the connection at once. A run that goes on until then is not broken off sooner."""
LAST_TURNS = 100
"""Turns of the loop that what was told to end has in any case: where something held the loop up
until the time was over, the answers are not late but undone. One takes a turn, each that waits
behind it on its connection one more."""
EXIT_SECONDS = 0.3
"""What the process itself needs to end before ``limits.stop_within``, on a busy machine."""
ANNOUNCEMENT_PAUSES = (0.0, 0.5, 1.0)
"""Seconds before each telling of other nodes. A word may be lost, and come before the request that
it names; said again it changes nothing for those that heard it."""
EXIT_FINISHED = 0
EXIT_FAILED = 1
LEAVE_TIME = 0.5
"""Seconds for which a draining node goes on ticking, so that peers hear of it."""

AsgiApplication = Callable[..., Awaitable[None]]


class DrainableProxy(Protocol):
    """The proxy application, as the daemon's life sees it."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""

    def start_leaving(self, seconds: float) -> None:
        """Prepare for the stop, which ends all requests in so many seconds at the latest."""

    async def announce_stop(self) -> None:
        """Tell other nodes that have requests of this one how much time is left."""

    def start_draining(self) -> None:
        """Refuse new requests; finish those in flight."""

    async def wait_drained(self) -> None:
        """Return when nothing is in flight."""

    async def withdraw_waiting(self) -> None:
        """Refuse what no back end works on."""

    def log_unfinished(self) -> None:
        """Log what is in flight when the time to stop is over."""

    def flush_responses(self) -> None:
        """Give the system what waits to be sent."""

    def stop_requests(self) -> None:
        """End what is in flight, with an answer; may be called again."""


class RunningProxy(DrainableProxy, Protocol):
    """A proxy with work of its own beside the requests."""

    async def run(self) -> None:
        """Do it until cancelled."""


class NodeParts(msgspec.Struct, frozen=True):
    """Everything that a node process runs, put together but not started."""

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


async def run_node(parts: NodeParts) -> int:
    """Run until SIGTERM or SIGINT, drain, and return the exit code."""
    failures: list[BaseException] = []
    try:
        async with AsyncExitStack() as stack:
            stack.callback(parts.sockets.close)
            stack.push_async_callback(parts.close)
            await _run_until_drained(parts)
    except* Exception as group:
        failures = _leaves(group)
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
            admin = HttpServer(parts.admin, keep_alive)
            admin_sockets = [parts.sockets.admin, parts.sockets.metrics]
            tasks.start_soon(admin.serve, [bound for bound in admin_sockets if bound is not None])
            servers = _start_servers(parts, tasks, keep_alive)
            _log_ready(parts)
            async for received in signals:
                if received is not signal.SIGHUP:
                    break
                parts.settings.reload()
            await _drain(parts, servers)
            tasks.cancel_scope.cancel()


class _RequestServer:
    """The proxy's or gateway's server; ``stopped`` is set once every answer has gone out."""

    def __init__(
        self,
        application: DrainableProxy,
        listener: socket.socket,
        keep_alive: float,
        last_answers: float = LAST_ANSWERS_SECONDS,
    ) -> None:
        self.application = application
        self.last_answers = last_answers
        """So many seconds before a stop's end what still runs is ended."""
        self._listener = listener
        from pewtertack.node.proxy.refusals import typed_refusal  # a proxy's node alone

        self.stopped = anyio.Event()
        self._server = HttpServer(application, keep_alive, typed_refusal)

    async def serve(self) -> None:
        """Accept callers until told to stop."""
        await self._server.serve([self._listener])
        self.stopped.set()

    def start_draining(self) -> None:
        """Refuse new requests; let answers under way outlast the process."""
        self.application.start_draining()
        self._server.enlarge_send_buffers()

    def log_unsent(self) -> None:
        """Log what of answers, said to be sent, has not left this process."""
        self._server.log_unsent()

    async def drain(self) -> None:
        """Finish what is in flight, then close the listener and the connections."""
        await self.application.wait_drained()
        self._server.should_exit = True
        await self.stopped.wait()


def _start_servers(
    parts: NodeParts, tasks: TaskGroup, keep_alive: float
) -> tuple[_RequestServer, ...]:
    """Start the servers of the proxy and of the gateway, where there are such."""
    sockets = parts.sockets
    parties = (
        (parts.proxy, sockets.proxy, LAST_ANSWERS_SECONDS),
        (parts.gateway, sockets.gateway, GATEWAY_LAST_SECONDS),
    )
    servers = tuple(
        _RequestServer(application, listener, keep_alive, last_answers)
        for application, listener, last_answers in parties
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
    """Return how many seconds requests in flight have, once new ones are refused."""
    return time_left(limits, notice_time(limits))


def time_left(limits: LimitsSection, gone: float) -> float:
    """Return how many seconds requests in flight still have, ``gone`` seconds into the stop."""
    longest = limits.drain_timeout.seconds if limits.drain_timeout else math.inf
    if limits.stop_within is None:
        return longest
    left = limits.stop_within.seconds - gone - EXIT_SECONDS
    return max(0.0, min(longest, left))


def notice_time(limits: LimitsSection) -> float:
    """Return for how many seconds a stopping node still takes requests."""
    notice = limits.drain_notice.seconds
    if limits.stop_within is None:
        return notice
    return min(notice, max(0.0, limits.stop_within.seconds - EXIT_SECONDS - WITHDRAW_SECONDS))


async def _drain(parts: NodeParts, servers: tuple[_RequestServer, ...]) -> None:
    """Tell peers, be not ready, refuse new requests, finish what is in flight, close."""
    began = anyio.current_time()
    parts.runtime.start_leaving()
    limits = parts.settings.current.limits
    drain_seconds = drain_time(limits)
    notice = notice_time(limits)
    for server in servers:
        server.application.start_leaving(notice + drain_seconds - LAST_ANSWERS_SECONDS)
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(_announce_stop, server.application)
        if notice > 0:
            await anyio.sleep(notice)
        parts.runtime.stop_serving()
        for server in servers:
            server.start_draining()
        if notice < LEAVE_TIME:
            await anyio.sleep(LEAVE_TIME)
        # What came before may have taken longer; the platform counts from the signal all the same.
        await _finish_requests(servers, time_left(limits, anyio.current_time() - began))
        tasks.cancel_scope.cancel()


async def _announce_stop(application: DrainableProxy) -> None:
    """Have other nodes told, and told again; the stop goes on whatever becomes of it."""
    for pause in ANNOUNCEMENT_PAUSES:
        await anyio.sleep(pause)
        await _announce_once(application)


async def _announce_once(application: DrainableProxy) -> None:
    try:
        await application.announce_stop()
    except* Exception as errors:
        for error in _leaves(errors):
            logger.error("other nodes could not be told of the stop", exc_info=error)


async def _finish_requests(servers: tuple[_RequestServer, ...], seconds: float) -> None:
    """Wait until every request has its answer; see to it that it has one in time."""
    end = anyio.current_time() + seconds
    with anyio.move_on_after(max(0.0, seconds - LAST_ANSWERS_SECONDS)) as finishing:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_withdraw_late, servers, max(0.0, seconds - WITHDRAW_SECONDS))
            await _drain_all(servers)
            tasks.cancel_scope.cancel()
    if not finishing.cancelled_caught:
        return
    with anyio.CancelScope(deadline=end) as answering:
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(_end_requests, server, end)
    if answering.cancelled_caught:
        for server in servers:
            server.application.stop_requests()  # the loop may have been held up until now
        for _ in range(LAST_TURNS):
            await anyio.sleep(0)
    for server in servers:
        server.log_unsent()


async def _end_requests(server: _RequestServer, end: float) -> None:
    """End what still runs as late as its answers allow."""
    server.application.log_unfinished()
    server.application.flush_responses()
    with anyio.CancelScope(deadline=end - server.last_answers) as finishing:
        await server.drain()
    if finishing.cancelled_caught:
        server.application.stop_requests()
        await server.drain()


async def _withdraw_late(servers: tuple[_RequestServer, ...], seconds: float) -> None:
    """Refuse what still waits after so many seconds."""
    await anyio.sleep(seconds)
    try:
        async with anyio.create_task_group() as tasks:
            for server in servers:
                tasks.start_soon(server.application.withdraw_waiting)
    except* Exception as errors:
        # Whatever went wrong, the other requests have their answers to come.
        for error in _leaves(errors):
            logger.error("requests could not be withdrawn", exc_info=error)


async def _drain_all(servers: tuple[_RequestServer, ...]) -> None:
    async with anyio.create_task_group() as tasks:
        for server in servers:
            tasks.start_soon(server.drain)


def _leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the exceptions of a group that are no groups themselves."""
    found: list[BaseException] = []
    for item in group.exceptions:
        found += _leaves(item) if isinstance(item, BaseExceptionGroup) else [item]
    return found
