"""A listener for tests, whose connections end with the test."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """Serves each connection in a task of its own until the end of the test.

    asyncio's streams would report a task that is cancelled then as an error.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self, case: unittest.IsolatedAsyncioTestCase) -> str:
        """Listen on loopback; return the address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        case.addAsyncCleanup(self._stop)
        case.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve_and_close(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_and_close(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        finally:
            writer.close()

    async def _stop(self) -> None:
        """Cancel the remaining tasks; re-raise an exception of a task that was not cancelled."""
        remaining = tuple(self._tasks)
        for task in remaining:
            task.cancel()
        for result in await asyncio.gather(*remaining, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
