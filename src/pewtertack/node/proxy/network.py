"""Byte streams to back ends: httpcore's network backend on asyncio transports.

One stream is one TCP connection. Compared with httpcore's anyio backend it
notices a connection closed by the back end as soon as the event loop does,
counts what was sent, and costs less time per exchange.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import httpcore

READ_BUFFER_LIMIT = 256 * 1024
UNACKNOWLEDGED_MILLISECONDS = 400
"""Sent bytes that the other machine's kernel has not acknowledged for so long end the
connection: the machine lost power or is cut off. A back end's silence does not."""
SILENT_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
)
"""The same for a machine that falls silent while an answer is awaited."""


class BackendStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """A connection to a back end. The whole request has one timeout, set outside."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._transport: asyncio.Transport
        self._received = bytearray()
        self._ended = False
        self._failure: Exception | None = None
        self._reading_paused = False
        self._writing_paused = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connected = transport.get_extra_info("socket")
        for level, option, value in PROBE_OPTIONS:
            connected.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; stop reading from the socket when there are many."""
        self._received += data
        if len(self._received) > READ_BUFFER_LIMIT and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Note the back end's end of stream."""
        self._ended = True
        _wake(self._reader)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._ended = True
        self._failure = exc
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writing_paused = False
        _wake(self._writer)

    @property
    def peer_silent(self) -> bool:
        """Whether the connection ended since the other machine acknowledged nothing."""
        return isinstance(self._failure, OSError) and self._failure.errno in SILENT_ERRORS

    # httpcore.AsyncNetworkStream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, or ``b""`` at the end.

        Raises:
            httpcore.ReadError: the connection broke.
        """
        if not self._received and not self._ended:
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        if not self._received:
            if self._failure is not None:
                raise httpcore.ReadError(str(self._failure))
            return b""
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        if self._reading_paused and not self._received:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes, waiting while the back end reads slowly.

        Raises:
            httpcore.WriteError: the connection is gone, or the back end has
                answered already; httpcore then reads the answer.
        """
        if not buffer:
            return
        if self._ended or self._received:
            raise httpcore.WriteError("the back end has answered or gone")
        self.sent_bytes += len(buffer)
        self._transport.write(buffer)
        if self._writing_paused:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer

    async def aclose(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self.abort()

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self._ended = True
        self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Answer httpcore's question for "is_readable"; the rest is the transport's.

        The kernel is not asked: a task runs after the event loop has read every
        end of stream that came before it.
        """
        if info == "is_readable":
            return bool(self._received) or self._ended
        return self._transport.get_extra_info(info)


def _wake(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


async def connect(host: str, port: int) -> BackendStream:
    """Open a connection.

    Raises:
        OSError: refused or unreachable.
    """
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(BackendStream, host, port)
    return stream
