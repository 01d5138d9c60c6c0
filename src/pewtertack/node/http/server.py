"""A server of one ASGI application inside a process that has a life of its own.

asyncio accepts the connections; ``pewtertack.node.http.protocol`` serves them. uvicorn,
which the lab's stand-ins run on, took a quarter of a node's start and 3 MB here, for the
loop that accepts: its import brings command line, reloading and TLS along.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import math
import time
from collections.abc import Sequence
from socket import IPPROTO_TCP, TCP_NODELAY, TCP_NOTSENT_LOWAT, socket
from typing import Any

from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.protocol import HttpServerProtocol
from pewtertack.node.http.refusals import RefusalWriter, plain_refusal
from pewtertack.node.http.send_buffer import MOST_NOT_SENT, enlarge_send_buffer
from pewtertack.node.http.slow_readers import SlowReaders
from pewtertack.node.http.transport import StreamTransport

DATE_SECONDS = 1.0
"""The ``date`` header's resolution."""
DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"
BACKLOG = 2048
"""Connections that wait to be accepted."""
ACCEPTED_AT_ONCE = 16
"""Connections accepted in one turn of the loop; others then have theirs."""
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""No connection can be accepted for want of descriptors or memory."""
NO_ROOM_SECONDS = 1.0
"""Nothing is accepted for so long after that: the listener stays ready, which would keep the
loop busy with nothing else."""
CALLERS_RELAY = "callers_relay"
"""Attribute of an application: whether its callers pass its answers on to theirs."""

logger = logging.getLogger(LOGGER_NAME)


class HttpServer:
    """Serves an application's callers until ``should_exit`` is set.

    Args:
        application: an ASGI 3 application. Its method ``may_run_beside(scope)`` and its
            attributes ``leaving`` (``node.http.protocol``) and ``callers_relay`` (``unread``)
            are used where it has them.
        keep_alive: how many seconds an idle connection stays open.
        refuse: makes the answer to what is no request.
    """

    def __init__(
        self, application: Any, keep_alive: float, refuse: RefusalWriter = plain_refusal
    ) -> None:
        self.application = application
        self.keep_alive = max(1.0, keep_alive)
        self.refuse = refuse
        self.connections: set[HttpServerProtocol] = set()
        self.slow_readers = SlowReaders(getattr(application, CALLERS_RELAY, False))
        self.tasks: set[asyncio.Task[None]] = set()
        self._dated: list[tuple[bytes, bytes]] = []
        self._date_number = -1.0
        """Number of the period for which ``_dated`` holds."""
        self.shutdown_seconds = math.inf
        """How long the answers under way may take after the server was told to stop."""
        self._exit = asyncio.Event()

    @property
    def should_exit(self) -> bool:
        """Whether the server has been told to stop."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit.set()
        else:
            self._exit.clear()

    async def serve(self, sockets: Sequence[socket]) -> None:
        """Accept until told to stop, then finish the answers under way."""
        loop = asyncio.get_running_loop()
        for bound in sockets:
            bound.setblocking(False)
            bound.listen(BACKLOG)
            self._listen(loop, bound)
        try:
            await self._exit.wait()
            for bound in sockets:
                self._accept_rest(loop, bound)
        finally:
            for bound in sockets:
                if bound.fileno() >= 0:
                    loop.remove_reader(bound)
                bound.close()
        await self._finish()

    def _listen(self, loop: asyncio.AbstractEventLoop, bound: socket) -> None:
        if bound.fileno() >= 0:
            loop.add_reader(bound, self._accept, loop, bound)

    def _accept(self, loop: asyncio.AbstractEventLoop, bound: socket) -> None:
        """Accept what waits; each connection begins at once."""
        for _ in range(ACCEPTED_AT_ONCE):
            if not self._accept_one(loop, bound):
                return

    def _accept_rest(self, loop: asyncio.AbstractEventLoop, bound: socket) -> None:
        """Accept all that wait: the listener's end resets them, with what they have sent."""
        if bound.fileno() < 0 or not loop.remove_reader(bound):
            return  # there is no room
        for _ in range(BACKLOG):
            if not self._accept_one(loop, bound):
                return

    def _accept_one(self, loop: asyncio.AbstractEventLoop, bound: socket) -> bool:
        """Accept a connection; tell whether another one may wait."""
        try:
            accepted, _ = bound.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            logger.error("no connection can be accepted", exc_info=error)
            loop.remove_reader(bound)
            loop.call_later(NO_ROOM_SECONDS, self._listen, loop, bound)
            return False
        accepted.setblocking(False)
        # Not taken over from the listener by who connected before it had the options. With Nagle's
        # algorithm a head and a body written apart take 40 ms.
        accepted.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        accepted.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, MOST_NOT_SENT)
        StreamTransport(loop, accepted, HttpServerProtocol(self, loop))
        return True

    def enlarge_send_buffers(self) -> None:
        """Have the system take what answers have to send: the process ends before a slow link."""
        for connection in self.connections:
            enlarge_send_buffer(connection.transport.get_extra_info("socket"))

    def log_unsent(self) -> None:
        """Log what of answers the system has not taken: it ends with the process."""
        unsent = [item.unsent for item in self.connections if item.unsent]
        if unsent:
            logger.warning(
                "answers end with the process: %d connections, %d bytes", len(unsent), sum(unsent)
            )

    @property
    def default_headers(self) -> list[tuple[bytes, bytes]]:
        """The headers that every answer has: its date, renewed when one is asked for.

        Renewed by a timer it woke the process once a second for each of its servers, 0.2 ms of
        processor time each.
        """
        moment = time.time()
        number = moment // DATE_SECONDS
        if number != self._date_number:
            self._date_number = number
            date = time.strftime(DATE_FORMAT, time.gmtime(moment))
            self._dated = [(b"date", date.encode())]
        return self._dated

    async def _finish(self) -> None:
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
