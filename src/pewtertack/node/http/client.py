"""HTTP/1.1 client for the configuration source and the machine list.

Shares the connection class of the request path. Each connection carries one read at a time; idle
connections are kept for later reads. TCP keep-alive probes detect a service that falls silent
(``node.http.connection``).
"""

from __future__ import annotations

import math

import anyio
import msgspec

from pewtertack.errors import PlatformError, ReadFailure
from pewtertack.node import clock
from pewtertack.node.http.connection import BackendConnection, connect
from pewtertack.node.http.framing import NO_BODY_STATUSES, RawHeaders
from pewtertack.node.http.messages import OutgoingRequest, ResponseHead
from pewtertack.node.http.response_reading import ExchangeBrokenError

BODY_TIMEOUT_FACTOR = 10.0
"""A response whose parts keep arriving may take this many times the timeout for one part: 1 MB over
a link of 1 Mbit/s, where 1 s is allowed for a part."""
MAX_IDLE_CONNECTIONS = 4
"""Two for each of the two documents: while a service is slow, further reads start before the
responses to the first ones have arrived."""

SOURCE_IDLE_SECONDS = 2.0
"""Idle time after which a connection to the source is replaced. It may have fallen silent, and a
read that checks whether the source is silent must not depend on that."""


class ServiceUnreachableError(PlatformError):
    """The service did not accept a connection, hung up or was too slow."""

    code = "service-unreachable"

    def __init__(self, reason: str, failure: ReadFailure) -> None:
        self.failure = failure
        super().__init__(reason)


class AnswerTooLargeError(PlatformError):
    """The response's body exceeds the limit."""

    code = "answer-too-large"


class ServiceResponse(msgspec.Struct, frozen=True):
    """One complete response."""

    status: int
    headers: RawHeaders
    body: bytes
    new_connection: bool = True
    """Whether it is the first response on its connection."""
    head_seconds: float = 0.0
    """Seconds from the request to the response's head."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class ServiceTimeouts(msgspec.Struct, frozen=True):
    """Timeouts in seconds for a new connection, a response's head and each part of its body.

    A long response over a narrow link takes its time; if it were given up and requested again, it
    would fill the link indefinitely. `HttpClient` limits the whole body to ``BODY_TIMEOUT_FACTOR``
    times ``part``.
    """

    connect: float
    head: float
    part: float


class HttpClient:
    """Gets documents from one service.

    Args:
        address: ``ip:port``.
        body_bytes: the largest body that is accepted.
        local_host: IP address to connect from; ``None`` leaves the choice to the system.
        max_idle_seconds: connections that have been idle for longer are replaced.
    """

    def __init__(
        self,
        address: str,
        body_bytes: int,
        local_host: str | None = None,
        max_idle_seconds: float = math.inf,
    ) -> None:
        self.address = address
        self._max_idle_seconds = max_idle_seconds
        self._max_body_bytes = body_bytes
        self._local_host = local_host
        self._idle: list[tuple[BackendConnection, float]] = []
        """Idle connections, and since when, in monotonic seconds."""

    def close(self) -> None:
        """Close the idle connections."""
        for connection, _ in self._idle:
            connection.abort()
        self._idle.clear()

    async def get(
        self, target: str, timeouts: ServiceTimeouts, headers: RawHeaders | None = None
    ) -> ServiceResponse:
        """Return the response to ``GET target``.

        Idle connections that the service has closed, or that have been idle for long, are replaced.

        Raises:
            ServiceUnreachableError: no complete response arrived in time.
            AnswerTooLargeError: the body is too large.
        """
        request = OutgoingRequest(
            b"GET", target.encode(), [(b"host", self.address.encode()), *(headers or [])]
        )
        while self._idle:
            connection, idle_since = self._idle.pop()
            if connection.reusable and clock.now() - idle_since <= self._max_idle_seconds:
                return await self._exchange(connection, request, timeouts, new_connection=False)
            connection.abort()
        try:
            connection = await connect(self.address, timeouts.connect, self._local_host)
        except (OSError, ValueError) as error:
            failure = ReadFailure.NO_CONNECTION
            raise ServiceUnreachableError(f"cannot connect: {error}", failure) from error
        return await self._exchange(connection, request, timeouts)

    async def _exchange(
        self,
        connection: BackendConnection,
        request: OutgoingRequest,
        timeouts: ServiceTimeouts,
        new_connection: bool = True,
    ) -> ServiceResponse:
        head = None
        started_at, head_seconds = clock.now(), 0.0
        try:
            with anyio.fail_after(timeouts.head):
                head = await connection.exchange(request)
            head_seconds = clock.now() - started_at
            with anyio.fail_after(timeouts.part * BODY_TIMEOUT_FACTOR):
                body = await self._read_body(connection, head, timeouts.part)
        except (TimeoutError, ExchangeBrokenError) as error:
            seconds = timeouts.head if head is None else timeouts.part
            reason = str(error) or f"no answer within {seconds:g} s"
            failure = _failure_of(connection, head, isinstance(error, TimeoutError))
            raise ServiceUnreachableError(reason, failure) from error
        finally:
            self._release(connection)
        return ServiceResponse(head.status, head.headers, body, new_connection, head_seconds)

    async def _read_body(
        self, connection: BackendConnection, head: ResponseHead, seconds: float
    ) -> bytes:
        if head.status in NO_BODY_STATUSES:
            return b""
        if not head.framed:
            raise ExchangeBrokenError(
                "the response has neither content-length nor transfer-encoding"
            )
        body = bytearray()
        while True:
            with anyio.fail_after(seconds):
                chunk = await connection.read_chunk()
            if not chunk:
                break
            body += chunk
            if len(body) > self._max_body_bytes:
                raise AnswerTooLargeError(f"response body exceeds {self._max_body_bytes} bytes")
        return bytes(body)

    def _release(self, connection: BackendConnection) -> None:
        if connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((connection, clock.now()))
        else:
            connection.abort()


def _failure_of(
    connection: BackendConnection, head: ResponseHead | None, timed_out: bool
) -> ReadFailure:
    """Classify a failed exchange; ``timed_out`` tells that its time ran out."""
    if connection.peer_silent:
        return ReadFailure.SILENT
    if head is not None:
        return ReadFailure.UNFINISHED
    return ReadFailure.SLOW if timed_out else ReadFailure.CLOSED
