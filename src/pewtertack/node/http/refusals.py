"""Responses to data that is not a request that may be served."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class RefusalReason(Enum):
    """Why the parser or a limit refuses a request; the value is a human-readable message."""

    MALFORMED = "malformed request"
    UNKNOWN_CODING = "unknown transfer coding"
    HEAD_TOO_LARGE = "the request's head is too large"
    SLOW_HEAD = "the request's head came too slowly"
    MEMORY_FULL = "callers have used up the node's memory for requests"
    CONNECTIONS_FULL = "callers have used up the node's connections"


class HeadRefusedError(Exception):
    """Raised through httptools' parser to carry the reason."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class RefusalWriter(Protocol):
    """Creates the complete response, after which the connection is closed."""

    def __call__(self, reason: RefusalReason, started: bool) -> bytes:
        """Return status line, headers and body; ``started`` tells whether a request is running."""


STATUSES = {
    RefusalReason.MALFORMED: b"400 Bad Request",
    RefusalReason.UNKNOWN_CODING: b"400 Bad Request",
    RefusalReason.HEAD_TOO_LARGE: b"431 Request Header Fields Too Large",
    RefusalReason.SLOW_HEAD: b"408 Request Timeout",
    RefusalReason.MEMORY_FULL: b"503 Service Unavailable",
    RefusalReason.CONNECTIONS_FULL: b"503 Service Unavailable",
}


def plain_refusal(
    reason: RefusalReason,
    started: bool,  # noqa: ARG001 (interface)
) -> bytes:
    """Return a plain-text response."""
    text = reason.value.encode()
    return b"HTTP/1.1 %b\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n%b\r\n%b" % (
        STATUSES[reason],
        len(text),
        b"connection: close\r\n",
        text,
    )
