"""Parses the responses on one connection in order."""

from __future__ import annotations

from collections import deque

import httptools

Header = tuple[bytes, bytes]


class CompleteResponse:
    """One response that was received completely."""

    __slots__ = ("body", "closes", "headers", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, closes: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes = closes
        """Whether the connection is closed after this response."""


class ResponseReader:
    """Parses the bytes of a connection into complete responses."""

    __slots__ = ("_body", "_has_begun", "_headers", "_parser", "complete")

    def __init__(self) -> None:
        self.complete: deque[CompleteResponse] = deque()
        self._headers: list[Header] = []
        self._body = bytearray()
        self._has_begun = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: they are not valid HTTP responses.
        """
        self._parser.feed_data(data)

    @property
    def partial_body_bytes(self) -> int | None:
        """Received body bytes of an incomplete response; ``None`` if no response has begun."""
        return len(self._body) if self._has_begun else None

    def on_message_begin(self) -> None:
        """Begin the next response."""
        self._has_begun = True
        self._headers = []
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Add the complete response."""
        self._has_begun = False
        status = self._parser.get_status_code()
        closes = not self._parser.should_keep_alive()
        self.complete.append(CompleteResponse(status, self._headers, bytes(self._body), closes))
