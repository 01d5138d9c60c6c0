"""Reads the head of a request with httptools from a caller's connection.

httptools rejects ambiguous framing (content-length together with transfer-encoding, repeated
content-length, malformed chunks); what it does not validate is validated here.
"""

from __future__ import annotations

import httptools

from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.refusals import HeadRefusedError, RefusalReason
from pewtertack.node.http.shared_buffer import SharedBufferProtocol

SUPPORTED_CODING = b"chunked"
"""The only supported transfer coding."""
DEFAULT_HEAD_LIMIT = 32 * 1024
"""Bytes of request line and headers together, unless the application accepts more."""
HEADER_BYTES = 160
"""Memory that a parsed header takes beside the bytes of its name and value: three objects."""
CONNECTION_HEADERS = frozenset({b"expect", b"transfer-encoding"})
"""Headers that the connection itself handles."""
ASGI_VERSIONS = {"version": "3.0", "spec_version": "2.3"}


class RequestReadingProtocol(SharedBufferProtocol):
    """Collects the head of the request being received from httptools' callbacks."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._reading_head = True
        self._received_bytes = 0
        """Size of the data received last."""
        self._head_size_bound = 0
        """Upper bound of the size of the head."""
        self._unknown_coding = False
        self._expects_continue = False
        self._refusal = RefusalReason.MALFORMED
        """Why the request is rejected; ``MALFORMED`` until a more specific reason is known."""

    @property
    def head_memory(self) -> int:
        """Approximate memory of the head received so far, in bytes."""
        return self._head_size_bound + HEADER_BYTES * len(self._headers)

    def drop_head(self) -> None:
        """Drop the head received last: its request has it, or it is refused."""
        self._url = b""
        self._headers = []
        self._head_size_bound = 0

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""
        self._headers = []
        self._head_size_bound = self._received_bytes
        self._unknown_coding = False
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers, which follow the body, are dropped."""
        if not self._reading_head:
            return
        name = name.lower()
        if name in CONNECTION_HEADERS:
            self._check_connection_header(name, value)
        self._headers.append((name, value))

    def _check_connection_header(self, name: bytes, value: bytes) -> None:
        if name == b"expect":
            self._expects_continue = self._expects_continue or value.lower() == b"100-continue"
        elif value.strip().lower() != SUPPORTED_CODING:
            self._unknown_coding = True

    def _check_head(self) -> None:
        """Raise if the head is refused, with the reason also stored for ``data_received``."""
        if self._unknown_coding:
            self._refusal = RefusalReason.UNKNOWN_CODING
        if self._head_size_bound > DEFAULT_HEAD_LIMIT and self._head_size() > self._head_limit():
            self._refusal = RefusalReason.HEAD_TOO_LARGE
        if self._refusal is not RefusalReason.MALFORMED:
            raise HeadRefusedError(self._refusal)

    def _head_limit(self) -> int:
        """Return the size in bytes of the largest head that is accepted now."""
        return DEFAULT_HEAD_LIMIT

    def _head_size(self) -> int:
        return len(self._url) + sum(len(name) + len(value) for name, value in self._headers)

    def _build_scope(self) -> Scope:
        target = httptools.parse_url(self._url)
        path = target.path.decode("ascii")
        return {
            "type": "http",
            "asgi": ASGI_VERSIONS,
            "http_version": self._parser.get_http_version(),
            "method": self._parser.get_method().decode("ascii"),
            "path": _decoded(path) if "%" in path else path,
            "raw_path": target.path,
            "query_string": target.query or b"",
            "headers": self._headers,
        }


def _decoded(path: str) -> str:
    from pewtertack.core.configuration.percent import decode_segments  # for unusual paths only

    return decode_segments(path)
