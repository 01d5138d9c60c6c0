"""A back end that a request crashes: it resets its connections and stops listening for a while."""

from __future__ import annotations

import asyncio

EXECUTION_SECONDS = 0.03
"""Execution time of each request."""
DOWNTIME_SECONDS = 1.0
CRASH_PATH = b"/crash"
"""A request with this in its path crashes the back end when it is done."""


class CrashingBackend:
    """Answers every request with 200, except those that crash it."""

    def __init__(self) -> None:
        self.crashed_at: list[float] = []
        """Times of the crashes, by the event loop's clock."""
        self.address = ""
        self._server: asyncio.Server
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, at the same address again after a crash."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._close()

    def _close(self) -> None:
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(EXECUTION_SECONDS)
                if CRASH_PATH in head.partition(b"\r\n")[0]:
                    self._crash()
                    return
                length = b"content-length: 2\r\n"
                writer.write(b"HTTP/1.1 200 OK\r\n" + _request_id_line(head) + length + b"\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the node has closed the connection
        finally:
            self._writers.discard(writer)
            writer.close()

    def _crash(self) -> None:
        loop = asyncio.get_running_loop()
        self.crashed_at.append(loop.time())
        self._close()
        task = loop.create_task(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(DOWNTIME_SECONDS)
        await self.start()


def _request_id_line(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"x-request-id:"):
            return line + b"\r\n"
    return b""
