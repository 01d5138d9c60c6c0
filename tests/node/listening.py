"""A listener of a test, whose connections end with it."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """Serves each connection in a task of its own, until the test's end.

    asyncio's streams would tell the end of a task that is cancelled then as an error.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self, case: unittest.IsolatedAsyncioTestCase) -> str:
        """Listen on loopback; return the address."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        case.addAsyncCleanup(self._end)
        case.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve_to_end(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_to_end(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        finally:
            writer.close()

    async def _end(self) -> None:
        """Cancel what still runs; an error of one that has not been cancelled is the test's."""
        left = tuple(self._tasks)
        for task in left:
            task.cancel()
        for ended in await asyncio.gather(*left, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended
