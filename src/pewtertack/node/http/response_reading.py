"""Reads an HTTP/1.1 response with httptools from a connection to a back end or another node."""

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
"""Buffered response bytes above which reading from the connection is paused. The event loop may
still receive up to 256 KiB more at once."""
MAX_OVERHEAD_BYTES = 64 * 1024
"""Bytes that a response may have in a row without any of its body: provisional responses, the head,
chunk sizes with their extensions, trailers. One read may go beyond it."""
STATUSES = range(100, 600)
"""Valid statuses (RFC 9110, section 15)."""
CONTINUE_STATUS = 100
FIRST_FINAL_STATUS = 200


class ExchangeBrokenError(PewtertackError):
    """The connection ended, or the bytes received are not a valid response."""

    code = "exchange-broken"


class OverheadLimitError(ExchangeBrokenError):
    """The peer sends more headers, trailers or chunk extensions than are accepted."""

    code = "overhead-limit"


class InvalidStatusError(ExchangeBrokenError):
    """The status of the response is not one of HTTP, so nothing is known of the request."""

    code = "invalid-status"


class ResponseReadingProtocol(SharedBufferProtocol):
    """Collects the response from httptools' callbacks and hands it to the reader."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._ended = False
        self._failure: Exception | None = None
        self._head: ResponseHead | None = None
        self._headers: RawHeaders = []
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._overhead_bytes = 0
        """Bytes received in reads without the end of a head or a part of a body, since the last
        read with one."""
        self._progressed = False
        """Whether the data being parsed has held one of these."""
        self._head_only = False
        self._complete = True
        self._continue_received = False
        self._processing_headers: RawHeaders | None = None
        """Headers of the last 102 (Processing) response that is not handled yet: the peer may never
        answer."""
        self._reusable = True
        """Whether the connection may be reused, as far as is known."""

    # httptools' parser

    def on_message_begin(self) -> None:
        """Start a response.

        One that begins after the end of the expected response belongs to no request.
        """
        self._headers = []
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers, which follow the body, are dropped."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head, unless it belongs to a provisional (1xx) response.

        Raises:
            InvalidStatusError: it is also stored as the exchange's failure.
        """
        status = self._parser.get_status_code()
        if status not in STATUSES:
            self._failure = InvalidStatusError(f"invalid status {status:03}")
            raise self._failure
        if status == CONTINUE_STATUS:
            self._continue_received = True
        elif status == PROCESSING:
            self._processing_headers = self._headers
        if self._complete or status < FIRST_FINAL_STATUS:
            return
        self._head = ResponseHead(status, self._headers)
        self._progressed = True
        self._overhead_bytes = 0
        if self._head_only:
            self._complete = True
            self._reusable = False  # the parser expects the body that the head only announces

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body."""
        if self._complete:
            self._reusable = False
            return
        self._chunks.append(body)
        self._buffered += len(body)
        self._progressed = True
        self._overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        if self._head is not None and not self._complete:
            self._complete = True
            self._reusable = self._reusable and self._parser.should_keep_alive()

    # The response

    async def _wait(self) -> None:
        """Wait for more of the response.

        Raises:
            ExchangeBrokenError: the connection ended.
        """
        if isinstance(self._failure, ExchangeBrokenError):
            raise self._failure
        if self._ended:
            raise ExchangeBrokenError(str(self._failure or "the connection ended"))
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def read_chunk(self) -> bytes:
        """Return the next part of the response's body, ``b""`` at its end.

        Raises:
            ExchangeBrokenError: the body is incomplete.
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
        """Return the rest of the body if all of it has been received, else ``None``."""
        if not self._complete or self._reading_paused:
            return None
        body = self._chunks.popleft() if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        return body

    async def read_body(self) -> bytes:
        """Return the rest of the response's body.

        Raises:
            ExchangeBrokenError: the body is incomplete.
        """
        body = self.pop_complete_body()
        if body is not None:
            return body
        parts = []
        while chunk := await self.read_chunk():
            parts.append(chunk)
        return b"".join(parts)


def wake(future: asyncio.Future[None] | None) -> None:
    """Resume the task that awaits ``future``, if any."""
    if future is not None and not future.done():
        future.set_result(None)
