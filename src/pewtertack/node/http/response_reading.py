"""The answer to a request, as httptools reads it from a connection to a back end or a node."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from pewtertack.errors import PewtertackError
from pewtertack.node.http.cycle import PROCESSING
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.http.messages import ResponseHead
from pewtertack.node.http.shared_buffer import SharedBufferProtocol

READ_BUFFER_LIMIT = 64 * 1024
"""Received bytes that wait to be read before reading from the connection is paused. The event loop
may receive up to 256 KiB beyond it at once."""
CONTINUE_STATUS = 100
FIRST_FINAL_STATUS = 200


class ExchangeBrokenError(PewtertackError):
    """The connection ended, or what came is no answer."""

    code = "exchange-broken"


class ResponseReadingProtocol(SharedBufferProtocol):
    """Gathers the answer that is being received (httptools' callbacks), and gives it out."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._ended = False
        self._failure: Exception | None = None
        self._answer: ResponseHead | None = None
        self._headers: RawHeaders = []
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._bodiless = False
        self._complete = True
        self._body_asked_for = False
        self._doubt: RawHeaders | None = None
        """What the other end has reported about a doubtful request since that was last read."""
        self._keep = True
        """Whether the connection may carry another exchange, as far as is known."""

    # httptools' parser

    def on_message_begin(self) -> None:
        """An answer begins; one after the end of the answer is due to no request."""
        self._headers = []
        if self._complete:
            self._keep = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head, unless it is a provisional one."""
        status = self._parser.get_status_code()
        if status == CONTINUE_STATUS:
            self._body_asked_for = True
        elif status == PROCESSING:
            self._doubt = self._headers
        if self._complete or status < FIRST_FINAL_STATUS:
            return
        self._answer = ResponseHead(status, self._headers)
        if self._bodiless:
            self._complete = True
            self._keep = False  # the parser expects the body that is only announced

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._complete:
            self._keep = False
            return
        self._chunks.append(body)
        self._buffered += len(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._answer is not None and not self._complete:
            self._complete = True
            self._keep = self._keep and self._parser.should_keep_alive()

    # The answer

    async def _wait(self) -> None:
        """Wait for more of the answer.

        Raises:
            ExchangeBrokenError: no more comes.
        """
        if self._ended:
            raise ExchangeBrokenError(str(self._failure or "the connection ended"))
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def read_chunk(self) -> bytes:
        """Return the next part of the answer's body, ``b""`` at its end.

        Raises:
            ExchangeBrokenError: it broke off.
        """
        while not self._chunks and not self._complete:
            await self._wait()
        if not self._chunks:
            return b""
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        if self._reading_paused and not self._chunks:
            self._reading_paused = False
            self._transport.resume_reading()
        return chunk

    def pop_complete_body(self) -> bytes | None:
        """Return the rest of the answer's body if it has come to its end, else ``None``."""
        if not self._complete or self._reading_paused:
            return None
        whole = self._chunks.popleft() if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        return whole

    async def read_body(self) -> bytes:
        """Return the rest of the answer's body.

        Raises:
            ExchangeBrokenError: it broke off.
        """
        whole = self.pop_complete_body()
        if whole is not None:
            return whole
        parts = []
        while chunk := await self.read_chunk():
            parts.append(chunk)
        return b"".join(parts)


def wake(future: asyncio.Future[None] | None) -> None:
    """Resume the task that awaits ``future``, if any."""
    if future is not None and not future.done():
        future.set_result(None)
