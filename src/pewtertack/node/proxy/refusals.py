"""Typed refusals of input that is not a valid request.

They have the same headers and body format as refusals of valid requests.
"""

from __future__ import annotations

from pewtertack.node.http.cycle import CLOSE_HEADER, STATUS_LINES
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.proxy.failure_responses import failure_body, failure_head
from pewtertack.routing.outcomes import (
    ConnectionsFullError,
    HeadersTooLargeError,
    InvalidRequestError,
    MemoryFullError,
    Outcome,
    RequestFailedError,
    SlowRequestError,
)

ERRORS: dict[RefusalReason, type[RequestFailedError]] = {
    RefusalReason.MALFORMED: InvalidRequestError,
    RefusalReason.UNKNOWN_CODING: InvalidRequestError,
    RefusalReason.HEAD_TOO_LARGE: HeadersTooLargeError,
    RefusalReason.SLOW_HEAD: SlowRequestError,
    RefusalReason.MEMORY_FULL: MemoryFullError,
    RefusalReason.CONNECTIONS_FULL: ConnectionsFullError,
}


def typed_refusal(reason: RefusalReason, started: bool) -> bytes:
    """Return the response that ends a caller's connection (``RefusalWriter``)."""
    return write_refusal(refusal_error(reason, started), [])


def refusal_error(reason: RefusalReason, started: bool) -> RequestFailedError:
    """Return the typed refusal; the outcome is unknown if the request has started."""
    error = ERRORS[reason](reason.value)
    return error.with_outcome(Outcome.UNKNOWN if started else Outcome.NOT_RUN)


def write_refusal(error: RequestFailedError, extra_headers: RawHeaders) -> bytes:
    """Return a complete response after which the connection is closed."""
    body = failure_body(error)
    lines = [STATUS_LINES[error.response_status]]
    for name, value in failure_head(error, "", len(body)) + extra_headers:
        if name != b"connection":
            lines.append(name + b": " + value + b"\r\n")
    return b"".join([*lines, CLOSE_HEADER, b"\r\n", body])
