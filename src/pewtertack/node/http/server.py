"""A server of one ASGI application inside a process that has a life of its own.

asyncio accepts the connections; ``pewtertack.node.http.protocol`` serves them. uvicorn,
which the lab's stand-ins run on, took a quarter of a node's start and 3 MB here, for the
loop that accepts: its import brings command line, reloading and TLS along.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections.abc import Sequence
from socket import socket
from typing import Any

from pewtertack.node.http.protocol import GuardedHttpProtocol
from pewtertack.node.http.refusals import RefusalWriter, plain_refusal
from pewtertack.node.http.unread import UnreadAnswers

DATE_SECONDS = 1.0
"""The ``date`` header's resolution."""
DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"
BACKLOG = 2048
"""Connections that wait to be accepted."""
ACCEPTING_ROUNDS = 3
"""Rounds of the event loop from an accepted connection to its protocol."""


class HttpServer:
    """Serves an application's callers until ``should_exit`` is set.

    Args:
        application: an ASGI 3 application. Its method ``may_run_beside(scope)`` and its
            attribute ``leaving`` are used where it has them (``node.http.protocol``).
        keep_alive: how many seconds an idle connection stays open.
        refuse: makes the answer to what is no request.
    """

    def __init__(
        self, application: Any, keep_alive: float, refuse: RefusalWriter = plain_refusal
    ) -> None:
        self.application = application
        self.keep_alive = max(1.0, keep_alive)
        self.refuse = refuse
        self.connections: set[GuardedHttpProtocol] = set()
        self.unread = UnreadAnswers()
        self.tasks: set[asyncio.Task[None]] = set()
        self.default_headers: list[tuple[bytes, bytes]] = []
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
        self._renew_date()
        listeners = [
            await loop.create_server(
                lambda: GuardedHttpProtocol(self, loop), sock=bound, backlog=BACKLOG
            )
            for bound in sockets
        ]
        try:
            await self._wait_for_exit()
            await self._stop_accepting(sockets)
        finally:
            for listener in listeners:
                listener.close()
        await self._finish()

    async def _wait_for_exit(self) -> None:
        while not self.should_exit:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DATE_SECONDS):
                    await self._exit.wait()
            self._renew_date()

    async def _stop_accepting(self, sockets: Sequence[socket]) -> None:
        """Accept no more, and let the connections accepted last begin.

        asyncio forgets one whose listener closes in between, and leaves it open.
        """
        loop = asyncio.get_running_loop()
        for bound in sockets:
            loop.remove_reader(bound)
        for _ in range(ACCEPTING_ROUNDS):
            await asyncio.sleep(0)

    def _renew_date(self) -> None:
        self.default_headers = [
            (b"date", time.strftime(DATE_FORMAT, time.gmtime(time.time())).encode())
        ]

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
