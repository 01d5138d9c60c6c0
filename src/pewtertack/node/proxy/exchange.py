"""One attempt: a caller's request over one connection to a back end."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from pewtertack.node.gateway.hop import error_from_failure
from pewtertack.node.http.connection import (
    BackendConnection,
    ExchangeLeftError,
    MayAbandon,
    never_abandon,
)
from pewtertack.node.http.cycle import CALLER_EXTENSION, WHOLE_BODY, Message, Scope
from pewtertack.node.http.framing import NO_BODY_STATUSES, RawHeaders
from pewtertack.node.http.messages import OutgoingRequest, ResponseHead
from pewtertack.node.http.response_reading import ExchangeBrokenError
from pewtertack.node.proxy.body import RequestBody
from pewtertack.node.proxy.edge import DEFAULT_EDGE, EdgeHeaders
from pewtertack.node.proxy.failure_responses import Send
from pewtertack.node.proxy.headers import (
    RequestHead,
    ResponseMeta,
    read_response_meta,
)
from pewtertack.routing.answers import end_of_answer
from pewtertack.routing.ends import AttemptEnd
from pewtertack.routing.outcomes import (
    DEFAULT_RETRY_AFTER,
    BackendFailedError,
    BackendGoneError,
    BackendHungError,
    BackendShedError,
    BackendSilentError,
    CrossedAnswerError,
    Outcome,
    RequestFailedError,
)

MAX_SHED_BODY_BYTES = 64 * 1024
SHED_BODY_SECONDS = 0.02
"""A shed answer's body is read for this long at most, to keep the connection."""
MAX_RETRY_AFTER_SECONDS = 3600.0
MISDIRECTED_STATUS = 421
START_BUFFER_BYTES = 64 * 1024
"""An answer of at most this length is passed on only when it is there to its end; of a longer
one so much is held back while it could still be had elsewhere. It bounds what a node holds of
one answer for that, and costs 0.1 s on a link of 5 Mbit/s, the slowest that sheets name."""


class TruncatedAnswerError(Exception):
    """The back end's answer broke off after its head was passed on."""


def ignore_metadata(answer: ResponseMeta) -> None:
    """Learn nothing from the head of an answer."""


class Exchange:
    """Sends the request and passes the answer on, at the pace of the slower side."""

    def __init__(
        self,
        scope: Scope,
        send: Send,
        head: RequestHead,
        body: RequestBody,
        on_metadata: Callable[[ResponseMeta], None],
        caller_edge: EdgeHeaders = DEFAULT_EDGE,
        more_headers: Callable[[], RawHeaders] = list,
    ) -> None:
        self.started = False
        """Whether the head of an answer has been passed to the caller."""
        self.status = 0
        self.end = AttemptEnd.CANCELLED
        """What the last answer's head told of its attempt."""
        self.buffers_start = False
        """Whether the request may be sent once more if its answer breaks off in time."""
        self.may_abandon: MayAbandon = never_abandon
        """Asked when a gateway takes its back end to hang on the request."""
        self._scope = scope
        self._send = send
        self._head = head
        self._body = body
        self._on_metadata = on_metadata
        self._caller_edge = caller_edge
        self._more_headers = more_headers
        self._edge = DEFAULT_EDGE

    def drop_callbacks(self) -> None:
        """Drop the callbacks: no attempt follows, and the owner need not wait for the collector."""
        self._on_metadata = ignore_metadata
        self._more_headers = list
        self.may_abandon = never_abandon

    async def run(
        self,
        connection: BackendConnection,
        headers: RawHeaders,
        edge: EdgeHeaders = DEFAULT_EDGE,
        body_on_demand: bool = False,
    ) -> None:
        """Run one attempt at a back end, or a gateway, which speaks by ``edge``.

        With ``body_on_demand`` the body leaves this node only when the other end has room.

        Raises:
            RequestFailedError: the attempt ended before its answer was passed on.
            TruncatedAnswerError: it broke off after the answer's head was passed on.
            CallerGoneError: the caller has gone.
        """
        self._edge = edge
        try:
            request = self._request(headers, body_on_demand)
            start = await connection.exchange(request, self.may_abandon)
        except ExchangeLeftError as error:
            raise BackendHungError("the back end hangs on the request") from error
        except ExchangeBrokenError as error:
            raise _broken_exchange_error(connection, error) from error
        answer = read_response_meta(start.headers, edge)
        if self._is_crossed(start.status, answer):
            connection.abort()
            raise CrossedAnswerError("the back end answered another request")
        self._on_metadata(answer)
        if answer.failure is not None:
            await _drain_short_body(connection)
            retry_after = _parse_fractional_retry_after(answer.retry_after)
            raise error_from_failure(answer.failure, start.status, retry_after)
        self.end = end_of_answer(start.status, answer.outcome, answer.retries)
        if self._is_not_run(start.status, answer):
            self.end = AttemptEnd.SHED
        if self.end is AttemptEnd.SHED:
            await _drain_short_body(connection)
            raise _shed_error(start, answer)
        self._check_framing(connection, start, answer)
        await self._relay(connection, start, answer)

    def _is_crossed(self, status: int, answer: ResponseMeta) -> bool:
        if answer.request_id is not None:
            return answer.request_id != self._head.request_id
        needs_id = self._edge.identified_answers and not self._is_not_run(status, answer)
        return needs_id and answer.failure is None

    def _is_not_run(self, status: int, answer: ResponseMeta) -> bool:
        wrong_backend = bool(self._edge.expected_backend) and status == MISDIRECTED_STATUS
        return answer.not_run or wrong_backend

    def _request(self, headers: RawHeaders, body_on_demand: bool) -> OutgoingRequest:
        target = self._scope["raw_path"]
        if self._scope["query_string"]:
            target += b"?" + self._scope["query_string"]
        method = self._scope["method"].encode("ascii")
        body = self._body.stream() if self._head.has_body else None
        return OutgoingRequest(
            method,
            target,
            headers,
            body,
            self._head.chunked,
            body_on_demand=body_on_demand and body is not None,
            head_with_body=self._head.expects_continue,
        )

    def _check_framing(
        self, connection: BackendConnection, start: ResponseHead, answer: ResponseMeta
    ) -> None:
        bodiless = self._scope["method"] == "HEAD" or start.status in NO_BODY_STATUSES
        if not (answer.framed or bodiless or self._edge.unframed_answers):
            connection.abort()
            raise BackendFailedError("the end of the back end's answer cannot be told")

    async def _relay(
        self, connection: BackendConnection, start: ResponseHead, answer: ResponseMeta
    ) -> None:
        caller = self._scope["extensions"][CALLER_EXTENSION]
        if not self.buffers_start:
            caller.drop_body()  # no other attempt follows that would need it
        if answer.length is not None and answer.length <= START_BUFFER_BYTES:
            whole = connection.pop_complete_body()
            if whole is None:
                whole = await _read_whole_body(connection)
            if self.buffers_start:
                caller.drop_body()
            head = self._begin_response(start.status, answer)
            head[WHOLE_BODY] = whole
            await self._send(head)
            return
        hold = self.buffers_start and answer.length is not None  # one without may be a stream
        first = await _read_start(connection) if hold else b""
        if self.buffers_start:
            caller.drop_body()
        await self._send(self._begin_response(start.status, answer))
        if first:
            await self._send({"type": "http.response.body", "body": first, "more_body": True})
            first = b""  # not held while the rest passes
        try:
            while chunk := await connection.read_chunk():
                event = {"type": "http.response.body", "body": chunk, "more_body": True}
                await self._send(event)
        except ExchangeBrokenError as error:
            raise TruncatedAnswerError(str(error)) from error
        await self._send({"type": "http.response.body", "body": b""})

    def _begin_response(self, status: int, answer: ResponseMeta) -> Message:
        """Return the head to pass on, as begun."""
        own = (self._caller_edge.request_id, self._head.request_id.encode())
        headers = [*answer.headers, own, *self._more_headers()]
        if status in NO_BODY_STATUSES:
            headers = [item for item in headers if item[0] != b"content-length"]
        self.started = True
        self.status = status
        return {"type": "http.response.start", "status": status, "headers": headers}


async def _read_whole_body(connection: BackendConnection) -> bytes:
    """Return the body of an answer of which nothing was passed on yet.

    Raises:
        BackendFailedError: it broke off; the request may have run.
    """
    try:
        return await connection.read_body()
    except ExchangeBrokenError as error:
        raise BackendFailedError(f"the answer broke off: {error}") from error


async def _read_start(connection: BackendConnection) -> bytes:
    """Return the beginning of an answer's body, as much as is held back.

    Raises:
        BackendFailedError: it broke off; the request may have run.
    """
    parts: list[bytes] = []
    held = 0
    try:
        while held < START_BUFFER_BYTES and (chunk := await connection.read_chunk()):
            parts.append(chunk)
            held += len(chunk)
    except ExchangeBrokenError as error:
        raise BackendFailedError(f"the answer broke off: {error}") from error
    return b"".join(parts)


async def _drain_short_body(connection: BackendConnection) -> None:
    """Read the small body of a shed answer, or else close the connection."""
    whole = connection.pop_complete_body()
    if whole is not None:
        if len(whole) > MAX_SHED_BODY_BYTES:
            connection.abort()
        return
    received = 0
    with anyio.move_on_after(SHED_BODY_SECONDS):
        try:
            while chunk := await connection.read_chunk():
                received += len(chunk)
                if received > MAX_SHED_BODY_BYTES:
                    break
            else:
                return
        except ExchangeBrokenError:
            pass  # the head said all that matters; the connection is closed below
    connection.abort()


def _shed_error(start: ResponseHead, answer: ResponseMeta) -> RequestFailedError:
    """Return the failure of a request that the back end did not run."""
    if start.status == MISDIRECTED_STATUS:
        return BackendGoneError("another back end has the address")
    return BackendShedError(
        "the back end did not run the request", _parse_retry_after(answer.retry_after)
    )


def _broken_exchange_error(
    connection: BackendConnection, broken: ExchangeBrokenError
) -> RequestFailedError:
    """Return the failure of an exchange that broke before its answer."""
    kind = BackendSilentError if connection.peer_silent else BackendFailedError
    error = kind(f"the exchange broke: {broken}")
    error.offered = connection.sent
    return error.with_outcome(Outcome.UNKNOWN if connection.sent else Outcome.NOT_RUN)


def _parse_retry_after(retry_after: str | None) -> float | None:
    """Read a back end's ``Retry-After`` in seconds, ``None`` without one; not dates."""
    if retry_after is None:
        return None
    if not retry_after.strip().isdecimal():
        return DEFAULT_RETRY_AFTER
    return min(float(retry_after), MAX_RETRY_AFTER_SECONDS)


def _parse_fractional_retry_after(retry_after: str | None) -> float | None:
    """Read a gateway's ``Retry-After``, which may have a fraction."""
    if retry_after is None:
        return None
    try:
        return min(max(float(retry_after), 0.0), MAX_RETRY_AFTER_SECONDS)
    except ValueError:
        return DEFAULT_RETRY_AFTER
