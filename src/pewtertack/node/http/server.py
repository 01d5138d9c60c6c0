"""HTTP/1.1 server for one ASGI application inside a process that has other work too.

asyncio accepts the connections; ``pewtertack.node.http.protocol`` serves them. uvicorn, which the
lab's test services use, took a quarter of a node's start-up time and 3 MB here just for its accept
loop: its import brings along a command line, reloading and TLS.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import time
from collections.abc import Sequence
from functools import partial
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_RCVBUF,
    SOL_SOCKET,
    TCP_NODELAY,
    TCP_NOTSENT_LOWAT,
    socket,
)
from typing import Any

from pewtertack.node.accepting import Acceptor
from pewtertack.node.http.caller_resources import (
    RECEIVE_BUFFER_BYTES,
    UNLIMITED,
    CallerResources,
)
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.protocol import HttpServerProtocol
from pewtertack.node.http.refusals import RefusalReason, RefusalWriter, plain_refusal
from pewtertack.node.http.system_buffer import NOTSENT_LOWAT_BYTES, enlarge_send_buffer
from pewtertack.node.http.transport import StreamTransport
from pewtertack.node.http.unread import SlowReaders

DATE_SECONDS = 1.0
"""Resolution of the ``date`` header."""
DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"
RELAY_ATTRIBUTE = "callers_relay"
"""Optional attribute of an application: whether its callers relay responses to others."""

logger = logging.getLogger(LOGGER_NAME)


class HttpServer:
    """Serves an application's callers until ``should_exit`` is set.

    Args:
        application: an ASGI 3 application. Its method ``may_run_beside(scope)`` and its attributes
            ``leaving``, ``longest_head`` (``node.http.protocol``) and ``callers_relay``
            (``unread``) are used if it has them.
        keep_alive: seconds for which an idle connection stays open.
        refuse: creates the response to data that is not a valid request.
        resources: what the servers of the process share; by default without limits.
        max_connections: limit on open connections.
    """

    def __init__(
        self,
        application: Any,
        keep_alive: float,
        refuse: RefusalWriter = plain_refusal,
        resources: CallerResources | None = None,
        max_connections: int = UNLIMITED,
    ) -> None:
        self.application = application
        self.keep_alive = max(1.0, keep_alive)
        self.refuse = refuse
        self.resources = resources or CallerResources()
        self.open_connections = 0
        """Number of connections, without those that are being closed to make room."""
        self.closed_unused = 0
        """Number of connections without a request that were closed in favor of new ones."""
        self.refused_connections = 0
        """Number of connections that were refused because all others had requests."""
        self._max_connections = max_connections
        self.connections: set[HttpServerProtocol] = set()
        self.slow_readers = SlowReaders(getattr(application, RELAY_ATTRIBUTE, False))
        self.tasks: set[asyncio.Task[None]] = set()
        self.resources.servers.append(self)
        self._date_headers: list[tuple[bytes, bytes]] = []
        self._date_period = -1.0
        """Index of the ``DATE_SECONDS`` period for which ``_date_headers`` is valid."""
        self.shutdown_seconds = math.inf
        """Time limit for responses in progress after the server was told to stop."""
        self._exit_requested = asyncio.Event()

    @property
    def should_exit(self) -> bool:
        """Whether the server has been told to stop."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def serve(self, sockets: Sequence[socket]) -> None:
        """Accept connections until told to stop, then finish the responses in progress."""
        loop = asyncio.get_running_loop()
        serve = partial(self._serve_connection, loop)
        acceptors = [Acceptor(loop, listener, serve) for listener in sockets]
        for listener in sockets:  # accepted connections inherit it
            listener.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        for acceptor in acceptors:
            acceptor.start()
        try:
            await self._exit_requested.wait()
            for acceptor in acceptors:
                acceptor.accept_remaining()
        finally:
            for acceptor in acceptors:
                acceptor.stop()
            for listener in sockets:
                listener.close()
        await self._finish_responses()

    def _serve_connection(self, loop: asyncio.AbstractEventLoop, accepted: socket) -> None:
        if self.open_connections >= self._max_connections and not self._make_room():
            self._refuse_connection(accepted)
            return
        # Connections made before the listener had these options do not inherit them. With Nagle's
        # algorithm a head and a body written separately take 40 ms.
        accepted.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        accepted.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_LOWAT_BYTES)
        StreamTransport(loop, accepted, HttpServerProtocol(self, loop))

    def _make_room(self) -> bool:
        """Close unused connections; return whether another one may be opened."""
        from pewtertack.node.http.making_room import close_unused  # for crowds only

        closed = close_unused(self.connections)
        self.closed_unused += closed
        return closed > 0

    def _refuse_connection(self, accepted: socket) -> None:
        """Refuse the request that the connection would bring: it is not read."""
        self.refused_connections += 1
        with accepted, contextlib.suppress(OSError):  # the caller has disconnected
            accepted.send(self.refuse(RefusalReason.CONNECTIONS_FULL, False))
            accepted.shutdown(SHUT_WR)

    def enlarge_send_buffers(self) -> None:
        """Let the kernel accept the rest of the responses, to send it after the process ends."""
        for connection in self.connections:
            enlarge_send_buffer(connection.transport.get_extra_info("socket"))

    def log_unsent(self) -> None:
        """Log the unsent response data, which is lost when the process exits."""
        unsent = [item.unsent for item in self.connections if item.unsent]
        if unsent:
            logger.warning(
                "unsent responses are lost as the process exits: %d connections, %d bytes",
                len(unsent),
                sum(unsent),
            )

    @property
    def default_headers(self) -> list[tuple[bytes, bytes]]:
        """Headers that every response has: the date, renewed on demand.

        Renewal by a timer woke the process once a second for each of its servers, 0.2 ms of
        processor time each.
        """
        moment = time.time()
        period = moment // DATE_SECONDS
        if period != self._date_period:
            self._date_period = period
            date = time.strftime(DATE_FORMAT, time.gmtime(moment))
            self._date_headers = [(b"date", date.encode())]
        return self._date_headers

    async def _finish_responses(self) -> None:
        for connection in list(self.connections):
            connection.shutdown()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                None if self.shutdown_seconds == math.inf else self.shutdown_seconds
            ):
                while self.connections:
                    await next(iter(self.connections)).wait_closed()
        for connection in list(self.connections):
            connection.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
