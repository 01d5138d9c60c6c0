"""uvicorn's httptools protocol with the guards that it lacks towards callers.

Adds to ``uvicorn.protocols.http.httptools_impl``: a bound on the size of a
request's head, a bound on the time that a head may take, typed refusals in
place of plain text, and no refusal in the middle of another request's answer.
httptools itself refuses ambiguous framing (content-length beside
transfer-encoding, repeated content-length, bad chunks).
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from pewtertack.node.proxy.answers import failure_body, failure_head
from pewtertack.node.proxy.headers import is_plain_chunked
from pewtertack.routing.outcomes import (
    HeadersTooLargeError,
    InvalidRequestError,
    Outcome,
    RequestFailedError,
    SlowRequestError,
)

HEAD_BYTES = 32 * 1024
"""Largest request line and headers together."""
HEAD_SECONDS = 10.0
"""A head must be complete this long after the connection, or its first byte, came."""
DISCARD_SECONDS = 10.0
"""A refused request's body may go on arriving for this long."""


class GuardedHttpProtocol(HttpToolsProtocol):
    """One connection of a caller."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for the first head.

        asyncio switches Nagle's algorithm off only where the listener names its
        protocol number; with it, a head and a body written apart take 40 ms.
        """
        super().connection_made(transport)
        accepted = transport.get_extra_info("socket")
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._head_bytes = 0
        self._reading_head = True
        self._message_complete = True
        self._refusal: RequestFailedError | None = None
        self._guard: asyncio.TimerHandle | None = None
        self._start_guard(HEAD_SECONDS, self._refuse_slow_head)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer with the connection."""
        self._stop_guard()
        super().connection_lost(exc)

    def _start_guard(self, seconds: float, callback: Any) -> None:
        self._stop_guard()
        self._guard = self.loop.call_later(seconds, callback)

    def _stop_guard(self) -> None:
        if self._guard is not None:
            self._guard.cancel()
            self._guard = None

    def data_received(self, data: bytes) -> None:
        """Parse, and bound the head while it is incomplete."""
        if self._reading_head:
            self._head_bytes += len(data)
        super().data_received(data)
        if not self._reading_head or self._head_bytes == 0:
            return
        if self._head_bytes > HEAD_BYTES:
            self._refuse(HeadersTooLargeError(f"the head exceeds {HEAD_BYTES} bytes"))
        elif self._guard is None:
            self._start_guard(HEAD_SECONDS, self._refuse_slow_head)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Note that a request has begun."""
        super().on_message_begin()
        self._message_complete = False

    def on_headers_complete(self) -> None:
        """Check what httptools leaves unchecked, then start the request."""
        self._check_head()
        self._reading_head = False
        self._stop_guard()
        super().on_headers_complete()

    def _check_head(self) -> None:
        """Raise, and leave for ``send_400_response``, why the head is refused."""
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value)
            if name == b"transfer-encoding" and not is_plain_chunked(value):
                self._refusal = InvalidRequestError("unknown transfer coding")
        if size > HEAD_BYTES:
            self._refusal = HeadersTooLargeError(f"the head exceeds {HEAD_BYTES} bytes")
        if self._refusal is not None:
            raise self._refusal

    def on_message_complete(self) -> None:
        """Expect the next head; an answered connection is idle from now on."""
        super().on_message_complete()
        self._message_complete = True
        self._reading_head = True
        self._head_bytes = 0
        if self.cycle is not None and self.cycle.response_complete:
            self._stop_guard()
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def on_response_complete(self) -> None:
        """Bound the time for the rest of a body that nobody wants."""
        super().on_response_complete()
        if not self._message_complete:
            self._start_guard(DISCARD_SECONDS, self.transport.abort)

    # Refusals

    def _refuse_slow_head(self) -> None:
        self._guard = None
        if self._head_bytes == 0 and self._message_complete:
            self.transport.close()
            return
        error = SlowRequestError("the request's head came too slowly")
        self._refuse(error.with_outcome(Outcome.NOT_RUN))

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser refused, with a type (called by ``data_received``)."""
        self._refuse(self._refusal or InvalidRequestError("malformed request"))

    def _refuse(self, error: RequestFailedError) -> None:
        """Answer with ``error`` and close; cut the connection if an answer is under way."""
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            if self.cycle.response_started or not self.cycle.more_body:
                self.transport.abort()
                return
            error.with_outcome(Outcome.UNKNOWN)
        body = failure_body(error)
        head = [STATUS_LINE[error.status]]
        headers = failure_head(error, "", len(body))
        for name, value in (*headers, (b"connection", b"close")):
            head.append(name + b": " + value + b"\r\n")
        self.transport.write(b"".join([*head, b"\r\n", body]))
        self.transport.close()
