"""Responses that the node generates itself: typed refusals and failures."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import msgspec

from pewtertack.node.http.cycle import WHOLE_BODY, Message
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.edge import DEFAULT_EDGE, EdgeHeaders
from pewtertack.node.proxy.headers import RETRIES
from pewtertack.routing.outcomes import OUTCOME_HEADER, RETRIES_SPENT, RequestFailedError

Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class FailureBody(msgspec.Struct, frozen=True):
    """JSON body of a typed failure; ``retry_after`` in seconds."""

    type: str
    outcome: str
    message: str
    retry_after: float | None


def failure_head(
    error: RequestFailedError, request_id: str, length: int, edge: EdgeHeaders = DEFAULT_EDGE
) -> RawHeaders:
    """Return the headers of a typed failure whose body has ``length`` bytes."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(length).encode()),
        (OUTCOME_HEADER.encode(), error.outcome.encode()),
    ]
    if request_id:
        headers.append((edge.request_id, request_id.encode()))
    if error.retry_after is not None:
        headers.append((b"retry-after", _format_retry_after(error.retry_after, edge).encode()))
    if error.retries_spent:
        headers.append((RETRIES, RETRIES_SPENT.encode()))
    if error.close_connection:
        headers.append((b"connection", b"close"))
    return headers


def _format_retry_after(retry_after: float, edge: EdgeHeaders) -> str:
    if edge.fractional_retry_after:
        return f"{retry_after:.3f}"
    return str(max(1, math.ceil(retry_after)))


def failure_body(error: RequestFailedError) -> bytes:
    """Return the JSON body of a typed failure."""
    body = FailureBody(error.code, error.outcome, error.message, error.retry_after)
    return msgspec.json.encode(body)


async def send_failure(
    send: Send,
    error: RequestFailedError,
    request_id: str,
    edge: EdgeHeaders = DEFAULT_EDGE,
    extra_headers: RawHeaders | None = None,
) -> None:
    """Send the caller a typed failure as a complete response."""
    body = failure_body(error)
    headers = failure_head(error, request_id, len(body), edge) + (extra_headers or [])
    status = error.response_status
    await send(
        {"type": "http.response.start", "status": status, "headers": headers, WHOLE_BODY: body}
    )
