"""One attempt at a caller's request, over one connection to a back end or gateway."""

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
from pewtertack.node.http.response_reading import ExchangeBrokenError, OverheadLimitError
from pewtertack.node.proxy.body import RequestBody
from pewtertack.node.proxy.edge import DEFAULT_EDGE, EdgeHeaders
from pewtertack.node.proxy.failure_responses import Send
from pewtertack.node.proxy.headers import (
    RequestHead,
    ResponseMeta,
    read_response_meta,
)
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.outcomes import (
    DEFAULT_RETRY_AFTER,
    BackendFailedError,
    BackendGoneError,
    BackendHungError,
    BackendShedError,
    BackendSilentError,
    CrossedAnswerError,
    Outcome,
    RejectedAnswer,
    RequestFailedError,
    ResponseOverheadError,
)
from pewtertack.routing.response_results import result_of_response

MAX_SHED_BODY_BYTES = 64 * 1024
"""The body of a refusal is read in order to reuse the connection; a longer one is not read."""
SHED_BODY_SECONDS = 0.02
"""The body of a refusal is read for at most this long."""
MAX_RETRY_AFTER_SECONDS = 3600.0
"""Limit on the ``Retry-After`` of a back end or gateway; a longer one counts as this."""
MISDIRECTED_STATUS = 421
"""Status by which a back end refuses a request that names another one."""
START_BUFFER_BYTES = 64 * 1024
"""A response of at most this length is passed on only once it is complete. Of a longer one this
much is buffered first, if the request could still be sent elsewhere. That limits what a node
buffers of one response and costs 0.1 s on a link of 5 Mbit/s, the slowest in the data sheets."""


class TruncatedAnswerError(Exception):
    """The back end's response broke off after its head was passed on."""


def ignore_metadata(meta: ResponseMeta) -> None:
    """Ignore the metadata of a response."""


class Exchange:
    """Sends the request and relays the response, at the pace of the slower side."""

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
        """Whether the head of a response has been passed to the caller."""
        self.status = 0
        """Status of that response, 0 without one."""
        self.result = AttemptResult.CANCELLED
        """The attempt's result according to the head of the latest response."""
        self.buffers_start = False
        """Whether to buffer the start of the response, so that the request can be sent again if
        the response breaks off within it."""
        self.may_abandon: MayAbandon = never_abandon
        """Called when a gateway reports that the back end hangs on the request."""
        self._scope = scope
        self._send = send
        self._head = head
        self._body = body
        self._on_metadata = on_metadata
        self._caller_edge = caller_edge
        self._more_headers = more_headers
        self._edge = DEFAULT_EDGE

    def drop_callbacks(self) -> None:
        """Drop the callbacks after the last attempt, to free the owner without a collector run."""
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
        """Run one attempt at a back end or gateway that uses the header names of ``edge``.

        With ``body_on_demand`` the body is sent only when the other end asks for it.

        Raises:
            RequestFailedError: the attempt ended before a response was passed on.
            TruncatedAnswerError: it broke off after the response's head was passed on.
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
        meta = read_response_meta(start.headers, edge)
        meta.status = start.status
        if self._is_crossed(connection, start.status, meta):
            connection.abort()
            crossed = CrossedAnswerError("the back end answered another request")
            raise crossed.with_answer(_rejected_answer(connection, start, meta))
        self._on_metadata(meta)
        if meta.failure is not None:
            await _drain_short_body(connection)
            retry_after = _parse_fractional_retry_after(meta.retry_after)
            raise error_from_failure(meta.failure, start.status, retry_after)
        self.result = result_of_response(start.status, meta.outcome, meta.retries)
        if self._is_not_run(start.status, meta):
            self.result = AttemptResult.SHED
        if self.result is AttemptResult.SHED:
            connection.note_refusal(meta.request_id)
            await _drain_short_body(connection)
            raise _shed_error(start, meta).with_answer(_rejected_answer(connection, start, meta))
        self._check_framing(connection, start, meta)
        await self._relay(connection, start, meta)

    def _is_crossed(self, connection: BackendConnection, status: int, meta: ResponseMeta) -> bool:
        """Tell whether a response may belong to another request.

        A refusal without an id may be the late response to an earlier request of its connection.
        """
        if meta.request_id is not None:
            return meta.request_id != self._head.request_id
        if not self._edge.identified_answers or meta.failure is not None:
            return False
        return connection.exchange_count > 1 or not self._is_not_run(status, meta)

    def _is_not_run(self, status: int, meta: ResponseMeta) -> bool:
        is_misdirected = bool(self._edge.expected_backend) and status == MISDIRECTED_STATUS
        return meta.not_run or is_misdirected

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
            self._head.length,
            body_on_demand=body_on_demand and body is not None,
            head_with_body=self._head.expects_continue,
        )

    def _check_framing(
        self, connection: BackendConnection, start: ResponseHead, meta: ResponseMeta
    ) -> None:
        bodiless = self._scope["method"] == "HEAD" or start.status in NO_BODY_STATUSES
        if not (meta.framed or bodiless or self._edge.unframed_answers):
            connection.abort()
            raise BackendFailedError("the end of the back end's answer cannot be told")

    async def _relay(
        self, connection: BackendConnection, start: ResponseHead, meta: ResponseMeta
    ) -> None:
        caller = self._scope["extensions"][CALLER_EXTENSION]
        if not self.buffers_start:
            caller.drop_body()  # no other attempt follows that would need it
        if meta.length is not None and meta.length <= START_BUFFER_BYTES:
            body = connection.pop_complete_body()
            if body is None:
                body = await _read_whole_body(connection)
            if self.buffers_start:
                caller.drop_body()
            head = self._begin_response(start.status, meta)
            head[WHOLE_BODY] = body
            await self._send(head)
            return
        # A response without a length may be a stream, which must not be delayed.
        buffer_start = self.buffers_start and meta.length is not None
        beginning = await _read_start(connection) if buffer_start else b""
        if self.buffers_start:
            caller.drop_body()
        await self._send(self._begin_response(start.status, meta))
        if beginning:
            await self._send({"type": "http.response.body", "body": beginning, "more_body": True})
            beginning = b""  # free it while the rest is relayed
        try:
            while chunk := await connection.read_chunk():
                event = {"type": "http.response.body", "body": chunk, "more_body": True}
                await self._send(event)
        except ExchangeBrokenError as error:
            raise TruncatedAnswerError(str(error)) from error
        await self._send({"type": "http.response.body", "body": b""})

    def _begin_response(self, status: int, meta: ResponseMeta) -> Message:
        """Mark the response as started and return its head for the caller."""
        request_id_header = (self._caller_edge.request_id, self._head.request_id.encode())
        headers = [*meta.headers, request_id_header, *self._more_headers()]
        if status in NO_BODY_STATUSES:
            headers = [item for item in headers if item[0] != b"content-length"]
        self.started = True
        self.status = status
        return {"type": "http.response.start", "status": status, "headers": headers}


async def _read_whole_body(connection: BackendConnection) -> bytes:
    """Return the whole body of a response that has not been passed on yet.

    Raises:
        BackendFailedError: the response broke off; the request may have run.
    """
    try:
        return await connection.read_body()
    except ExchangeBrokenError as error:
        raise _broken_answer_error(error) from error


async def _read_start(connection: BackendConnection) -> bytes:
    """Return the start of a response's body, at least ``START_BUFFER_BYTES`` if it is that long.

    Raises:
        BackendFailedError: the response broke off; the request may have run.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        while size < START_BUFFER_BYTES and (chunk := await connection.read_chunk()):
            chunks.append(chunk)
            size += len(chunk)
    except ExchangeBrokenError as error:
        raise _broken_answer_error(error) from error
    return b"".join(chunks)


async def _drain_short_body(connection: BackendConnection) -> None:
    """Read a refusal's body so that the connection can be reused; close it if that takes long."""
    body = connection.pop_complete_body()
    if body is not None:
        if len(body) > MAX_SHED_BODY_BYTES:
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
            pass  # the body is not needed; the connection is closed below
    connection.abort()


def _shed_error(start: ResponseHead, meta: ResponseMeta) -> RequestFailedError:
    """Return the failure of a request that the back end did not run."""
    if start.status == MISDIRECTED_STATUS:
        return BackendGoneError("another back end has the address")
    return BackendShedError(
        "the back end did not run the request", _parse_retry_after(meta.retry_after)
    )


def _rejected_answer(
    connection: BackendConnection, start: ResponseHead, meta: ResponseMeta
) -> RejectedAnswer:
    return RejectedAnswer(start.status, meta.request_id is not None, connection.exchange_count)


def _broken_answer_error(cause: ExchangeBrokenError) -> BackendFailedError:
    """Return the failure of an exchange that broke before its response was passed on."""
    is_overhead = isinstance(cause, OverheadLimitError)
    error_type = ResponseOverheadError if is_overhead else BackendFailedError
    return error_type(f"the answer broke off: {cause}")


def _broken_exchange_error(
    connection: BackendConnection, cause: ExchangeBrokenError
) -> RequestFailedError:
    """Return the failure of an exchange that broke before the head of its response."""
    if isinstance(cause, OverheadLimitError):
        return ResponseOverheadError(f"the exchange broke: {cause}")
    error_type = BackendSilentError if connection.peer_silent else BackendFailedError
    error = error_type(f"the exchange broke: {cause}")
    error.reached_backend = connection.sent
    return error.with_outcome(Outcome.UNKNOWN if connection.sent else Outcome.NOT_RUN)


def _parse_retry_after(retry_after: str | None) -> float | None:
    """Return a back end's ``Retry-After`` in seconds, ``None`` without one; dates are ignored."""
    if retry_after is None:
        return None
    if not retry_after.strip().isdecimal():
        return DEFAULT_RETRY_AFTER
    return min(float(retry_after), MAX_RETRY_AFTER_SECONDS)


def _parse_fractional_retry_after(retry_after: str | None) -> float | None:
    """Return a gateway's ``Retry-After`` in seconds, which may have a fraction."""
    if retry_after is None:
        return None
    try:
        return min(max(float(retry_after), 0.0), MAX_RETRY_AFTER_SECONDS)
    except ValueError:
        return DEFAULT_RETRY_AFTER
