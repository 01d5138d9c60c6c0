"""What a caller is told whose bytes are no request that may be served."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class RefusalReason(Enum):
    """Why the connection's parser, or a guard, refuses; the value is for people."""

    MALFORMED = "malformed request"
    UNKNOWN_CODING = "unknown transfer coding"
    HEAD_TOO_LARGE = "the request's head is too large"
    SLOW_HEAD = "the request's head came too slowly"


class HeadRefusedError(Exception):
    """Leaves httptools' parser with the reason."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class RefusalWriter(Protocol):
    """Makes the whole answer; the connection ends with it."""

    def __call__(self, reason: RefusalReason, begun: bool) -> bytes:
        """Return status line, headers and body; ``begun`` tells whether a request runs."""


STATUSES = {
    RefusalReason.MALFORMED: b"400 Bad Request",
    RefusalReason.UNKNOWN_CODING: b"400 Bad Request",
    RefusalReason.HEAD_TOO_LARGE: b"431 Request Header Fields Too Large",
    RefusalReason.SLOW_HEAD: b"408 Request Timeout",
}


def plain_refusal(reason: RefusalReason, begun: bool) -> bytes:
    """Return an answer in plain text."""
    text = reason.value.encode()
    return b"HTTP/1.1 %b\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n%b\r\n%b" % (
        STATUSES[reason],
        len(text),
        b"connection: close\r\n",
        text,
    )
