"""One attempt: a caller's request over one connection to a back end."""

from __future__ import annotations

from collections.abc import AsyncIterable, Callable

import anyio
import httpcore

from pewtertack.node.gateway.hop import failure_of
from pewtertack.node.proxy.answers import Scope, Send
from pewtertack.node.proxy.body import RequestBody
from pewtertack.node.proxy.edge import PRODUCT_EDGE, EdgeHeaders
from pewtertack.node.proxy.headers import (
    AnswerHead,
    RawHeaders,
    RequestHead,
    read_answer,
)
from pewtertack.node.proxy.upstream import BackendConnection
from pewtertack.routing.answers import end_of_answer
from pewtertack.routing.dispatcher import AttemptEnd
from pewtertack.routing.outcomes import (
    DEFAULT_RETRY_AFTER,
    BackendFailedError,
    BackendGoneError,
    BackendShedError,
    BackendSilentError,
    CrossedAnswerError,
    InvalidRequestError,
    Outcome,
)

NO_BODY_STATUSES = frozenset({204, 304})
SHED_BODY_BYTES = 64 * 1024
SHED_BODY_SECONDS = 0.02
"""A shed answer's body is read for this long at most, to keep the connection."""
LONGEST_RETRY_AFTER = 3600.0
WRONG_BACKEND_STATUS = 421
WHOLE_BODY_BYTES = 64 * 1024
"""An answer of at most this length is passed on only when it is there to its end."""


class TruncatedAnswerError(Exception):
    """The back end's answer broke off after its head was passed on."""


class PreparedRequest(httpcore.Request):
    """A request whose parts are bytes already, so that httpcore need not convert them."""

    def __init__(
        self, method: bytes, url: httpcore.URL, headers: RawHeaders, stream: AsyncIterable[bytes]
    ) -> None:
        self.method = method
        self.url = url
        self.headers = headers
        self.stream = stream
        self.extensions = {}


class Exchange:
    """Sends the request and passes the answer on, at the pace of the slower side."""

    def __init__(
        self,
        scope: Scope,
        send: Send,
        head: RequestHead,
        body: RequestBody,
        on_answer: Callable[[AnswerHead], None],
        caller_edge: EdgeHeaders = PRODUCT_EDGE,
        more_headers: Callable[[], RawHeaders] = list,
    ) -> None:
        self.started = False
        """Whether the head of an answer has been passed to the caller."""
        self.status = 0
        self.end = AttemptEnd.CANCELLED
        """What the last answer's head told of its attempt."""
        self._scope = scope
        self._send = send
        self._head = head
        self._body = body
        self._on_answer = on_answer
        self._caller_edge = caller_edge
        self._more_headers = more_headers
        self._edge = PRODUCT_EDGE

    async def run(
        self,
        connection: BackendConnection,
        headers: RawHeaders,
        edge: EdgeHeaders = PRODUCT_EDGE,
    ) -> None:
        """Run one attempt at a back end, or a gateway, which speaks by ``edge``.

        Raises:
            RequestFailedError: the attempt ended before its answer was passed on.
            TruncatedAnswerError: it broke off after the answer's head was passed on.
            CallerGoneError: the caller has gone.
        """
        self._edge = edge
        request = self._request(connection, headers)
        try:
            response = await connection.exchange(request)
        except httpcore.LocalProtocolError as error:
            refusal = InvalidRequestError(str(error))
            raise refusal.with_outcome(_outcome(connection)) from error
        except (httpcore.ProtocolError, httpcore.NetworkError) as error:
            failure = BackendSilentError if connection.peer_silent else BackendFailedError
            raise failure(f"the exchange broke: {error}").with_outcome(
                _outcome(connection)
            ) from error
        answer = read_answer(response.headers, edge)
        if self._is_crossed(response.status, answer):
            connection.abort()
            raise CrossedAnswerError("the back end answered another request")
        self._on_answer(answer)
        if answer.failure is not None:
            await _finish_shed(connection, response)
            retry_after = _fraction(answer.retry_after)
            raise failure_of(answer.failure, response.status, retry_after)
        await self._refuse_unusable(connection, response, answer)
        await self._relay(response, answer)

    def _is_crossed(self, status: int, answer: AnswerHead) -> bool:
        if answer.request_id is not None:
            return answer.request_id != self._head.request_id
        needs_id = self._edge.identified_answers and not self._is_not_run(status, answer)
        return needs_id and answer.failure is None

    def _is_not_run(self, status: int, answer: AnswerHead) -> bool:
        wrong_backend = bool(self._edge.expected_backend) and status == WRONG_BACKEND_STATUS
        return answer.not_run or wrong_backend

    def _request(self, connection: BackendConnection, headers: RawHeaders) -> httpcore.Request:
        target = self._scope["raw_path"]
        if self._scope["query_string"]:
            target += b"?" + self._scope["query_string"]
        origin = connection.origin
        url = httpcore.URL(scheme=b"http", host=origin.host, port=origin.port, target=target)
        method = self._scope["method"].encode("ascii")
        return PreparedRequest(method, url, headers, self._body.stream())

    async def _refuse_unusable(
        self, connection: BackendConnection, response: httpcore.Response, answer: AnswerHead
    ) -> None:
        self.end = end_of_answer(response.status, answer.outcome, answer.retries)
        if self._is_not_run(response.status, answer):
            self.end = AttemptEnd.SHED
        if self.end is AttemptEnd.SHED:
            await _finish_shed(connection, response)
            if response.status == WRONG_BACKEND_STATUS:
                raise BackendGoneError("another back end has the address")
            raise BackendShedError(
                "the back end did not run the request", _seconds(answer.retry_after)
            )
        bodiless = self._scope["method"] == "HEAD" or response.status in NO_BODY_STATUSES
        if not (answer.framed or bodiless or self._edge.unframed_answers):
            connection.abort()
            raise BackendFailedError("the end of the back end's answer cannot be told")

    async def _relay(self, response: httpcore.Response, answer: AnswerHead) -> None:
        if answer.length is not None and answer.length <= WHOLE_BODY_BYTES:
            whole = await _whole_body(response)
            await self._start(response, answer)
            await self._send({"type": "http.response.body", "body": whole})
            return
        await self._start(response, answer)
        try:
            async for chunk in _stream(response):
                event = {"type": "http.response.body", "body": chunk, "more_body": True}
                await self._send(event)
        except (httpcore.ProtocolError, httpcore.NetworkError) as error:
            raise TruncatedAnswerError(str(error)) from error
        await response.aclose()
        await self._send({"type": "http.response.body", "body": b""})

    async def _start(self, response: httpcore.Response, answer: AnswerHead) -> None:
        own = (self._caller_edge.request_id, self._head.request_id.encode())
        headers = [*answer.headers, own, *self._more_headers()]
        if response.status in NO_BODY_STATUSES:
            headers = [item for item in headers if item[0] != b"content-length"]
        self.started = True
        self.status = response.status
        await self._send(
            {"type": "http.response.start", "status": response.status, "headers": headers}
        )


async def _whole_body(response: httpcore.Response) -> bytes:
    """Return the body of an answer of which nothing was passed on yet.

    Raises:
        BackendFailedError: it broke off; the request may have run.
    """
    try:
        chunks = [chunk async for chunk in _stream(response)]
    except (httpcore.ProtocolError, httpcore.NetworkError) as error:
        raise BackendFailedError(f"the answer broke off: {error}") from error
    await response.aclose()
    return b"".join(chunks)


async def _finish_shed(connection: BackendConnection, response: httpcore.Response) -> None:
    """Read the small body of a shed answer, or else close the connection."""
    received = 0
    with anyio.move_on_after(SHED_BODY_SECONDS):
        try:
            async for chunk in _stream(response):
                received += len(chunk)
                if received > SHED_BODY_BYTES:
                    break
            else:
                await response.aclose()
                return
        except (httpcore.ProtocolError, httpcore.NetworkError):
            pass  # the head said all that matters; the connection is closed below
    connection.abort()


def _outcome(connection: BackendConnection) -> Outcome:
    """Return what is known of an exchange that broke."""
    return Outcome.UNKNOWN if connection.sent else Outcome.NOT_RUN


def _seconds(retry_after: str | None) -> float:
    """Read a back end's ``Retry-After`` in seconds; dates are not understood."""
    if retry_after is None or not retry_after.strip().isdecimal():
        return DEFAULT_RETRY_AFTER
    return min(float(retry_after), LONGEST_RETRY_AFTER)


def _fraction(retry_after: str | None) -> float | None:
    """Read a gateway's ``Retry-After``, which may have a fraction."""
    if retry_after is None:
        return None
    try:
        return min(max(float(retry_after), 0.0), LONGEST_RETRY_AFTER)
    except ValueError:
        return DEFAULT_RETRY_AFTER


def _stream(response: httpcore.Response) -> AsyncIterable[bytes]:
    """Return the body's stream without httpcore's extra generator around it."""
    assert isinstance(response.stream, AsyncIterable)
    return response.stream
