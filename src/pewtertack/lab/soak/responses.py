"""Reads the answers to the requests of one connection, in their order."""

from __future__ import annotations

from collections import deque

import httptools

Header = tuple[bytes, bytes]


class CompleteResponse:
    """One answer that arrived to its last byte."""

    __slots__ = ("body", "closes", "headers", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, closes: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes = closes
        """Whether the connection takes no further request."""


class ResponseReader:
    """Collects whole answers out of the bytes of a connection."""

    __slots__ = ("_begun", "_body", "_headers", "_parser", "whole")

    def __init__(self) -> None:
        self.whole: deque[CompleteResponse] = deque()
        self._headers: list[Header] = []
        self._body = bytearray()
        self._begun = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes.

        Raises:
            httptools.HttpParserError: they are no answer.
        """
        self._parser.feed_data(data)

    @property
    def part_bytes(self) -> int | None:
        """Bytes of the body of an answer whose rest has not come; None where none has begun."""
        return len(self._body) if self._begun else None

    def on_message_begin(self) -> None:
        """Begin the next answer."""
        self._begun = True
        self._headers = []
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Keep the answer."""
        self._begun = False
        status = self._parser.get_status_code()
        closes = not self._parser.should_keep_alive()
        self.whole.append(CompleteResponse(status, self._headers, bytes(self._body), closes))
