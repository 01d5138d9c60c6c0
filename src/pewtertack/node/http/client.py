"""Reads of the platform over HTTP/1.1, on the request path's own connections.

One connection at a time carries each read; idle ones are kept for the next. A service that
falls silent is noticed by the connection's probes (``node.http.connection``).
"""

from __future__ import annotations

import anyio
import msgspec

from pewtertack.errors import PlatformError, ReadFailure
from pewtertack.node import clock
from pewtertack.node.http.connection import BackendConnection, connect
from pewtertack.node.http.framing import NO_BODY_STATUSES, RawHeaders
from pewtertack.node.http.messages import OutgoingRequest, ResponseHead
from pewtertack.node.http.response_reading import ExchangeBrokenError

ANSWER_FACTOR = 10.0
"""An answer whose parts keep coming may take so many times the time for one part: 1 MB over a
link of 1 Mbit/s, where 1 s is allowed for a part."""
IDLE_CONNECTIONS = 4
"""Two for each of the two documents: while a service is slow, further reads begin before the
answers to the first have come."""


class ServiceUnreachableError(PlatformError):
    """The service did not accept a connection, hung up or was too slow."""

    code = "service-unreachable"

    def __init__(self, reason: str, failure: ReadFailure) -> None:
        self.failure = failure
        super().__init__(reason)


class AnswerTooLargeError(PlatformError):
    """An answer's body is longer than allowed."""

    code = "answer-too-large"


class ServiceResponse(msgspec.Struct, frozen=True):
    """One whole answer."""

    status: int
    headers: RawHeaders
    body: bytes
    new_connection: bool = True
    """Whether it is the first answer on its connection."""
    head_seconds: float = 0.0
    """Seconds from the request to the answer's head."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class ServiceTimeouts(msgspec.Struct, frozen=True):
    """Seconds for a new connection, for the head of an answer, and between two parts of its body.

    A long answer over a narrow link takes its time; given up and asked for again it would fill
    the link for good. `HttpClient` bounds the whole by ``ANSWER_FACTOR`` times as long.
    """

    connect: float
    answer: float
    part: float


class HttpClient:
    """Gets documents from one service.

    Args:
        address: ``ip:port``.
        body_bytes: the longest body that is read.
        local_host: IP number to connect from; ``None`` leaves it to the system.
    """

    def __init__(self, address: str, body_bytes: int, local_host: str | None = None) -> None:
        self.address = address
        self._body_bytes = body_bytes
        self._local_host = local_host
        self._idle: list[BackendConnection] = []

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def get(
        self, target: str, timeouts: ServiceTimeouts, headers: RawHeaders | None = None
    ) -> ServiceResponse:
        """Return the answer to ``GET target``.

        An idle connection that the service has closed meanwhile is replaced once.

        Raises:
            ServiceUnreachableError: no whole answer came in time.
            AnswerTooLargeError: its body is too long.
        """
        request = OutgoingRequest(
            b"GET", target.encode(), [(b"host", self.address.encode()), *(headers or [])]
        )
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return await self._exchange(connection, request, timeouts, fresh=False)
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
        fresh: bool = True,
    ) -> ServiceResponse:
        start = None
        began, took = clock.now(), 0.0
        try:
            with anyio.fail_after(timeouts.answer):
                start = await connection.exchange(request)
            took = clock.now() - began
            with anyio.fail_after(timeouts.part * ANSWER_FACTOR):
                body = await self._body_of(connection, start, timeouts.part)
        except (TimeoutError, ExchangeBrokenError) as error:
            seconds = timeouts.answer if start is None else timeouts.part
            reason = str(error) or f"no answer within {seconds:g} s"
            failure = _failure_of(connection, start, isinstance(error, TimeoutError))
            raise ServiceUnreachableError(reason, failure) from error
        finally:
            self._give_back(connection)
        return ServiceResponse(start.status, start.headers, body, fresh, took)

    async def _body_of(
        self, connection: BackendConnection, start: ResponseHead, seconds: float
    ) -> bytes:
        if start.status in NO_BODY_STATUSES:
            return b""
        if not start.framed:
            raise ExchangeBrokenError("an answer without a length")
        body = bytearray()
        while True:
            with anyio.fail_after(seconds):
                chunk = await connection.read_chunk()
            if not chunk:
                break
            body += chunk
            if len(body) > self._body_bytes:
                raise AnswerTooLargeError(f"more than {self._body_bytes} bytes")
        return bytes(body)

    def _give_back(self, connection: BackendConnection) -> None:
        if connection.reusable and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.abort()


def _failure_of(
    connection: BackendConnection, start: ResponseHead | None, given_up: bool
) -> ReadFailure:
    """Return how an exchange failed; ``given_up`` tells that its time was over."""
    if connection.peer_silent:
        return ReadFailure.SILENT
    if start is not None:
        return ReadFailure.UNFINISHED
    return ReadFailure.SLOW if given_up else ReadFailure.CLOSED
