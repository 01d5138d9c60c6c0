"""The head of a request, as httptools reads it from a caller's connection.

httptools refuses ambiguous framing (content-length beside transfer-encoding, repeated
content-length, bad chunks); what it leaves unchecked is checked here.
"""

from __future__ import annotations

import urllib.parse

import httptools

from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.refusals import HeadRefusedError, RefusalReason
from pewtertack.node.http.shared_buffer import SharedBufferProtocol

PLAIN_CODING = b"chunked"
"""The only transfer coding that is understood."""
DEFAULT_HEAD_LIMIT = 32 * 1024
"""Largest request line and headers together, where the application takes no longer ones."""
EXAMINED_NAMES = frozenset({b"expect", b"transfer-encoding"})
"""Headers that are of the connection's concern."""
ASGI = {"version": "3.0", "spec_version": "2.3"}


class RequestReadingProtocol(SharedBufferProtocol):
    """Gathers the head of the request that is being received (httptools' callbacks)."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunk_bytes = 0
        """Of the bytes that were received last."""
        self._head_most = 0
        """No less than the bytes of the head."""
        self._unknown_coding = False
        self._expects_continue = False
        self._refusal = RefusalReason.MALFORMED
        """Why what comes is no request, once that is known."""

    def on_message_begin(self) -> None:
        """A request begins."""
        self._url = b""
        self._headers = []
        self._head_most = self._chunk_bytes
        self._unknown_coding = False
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        name = name.lower()
        if name in EXAMINED_NAMES:
            self._examine(name, value)
        self._headers.append((name, value))

    def _examine(self, name: bytes, value: bytes) -> None:
        if name == b"expect":
            self._expects_continue = self._expects_continue or value.lower() == b"100-continue"
        elif value.strip().lower() != PLAIN_CODING:
            self._unknown_coding = True

    def _check_head(self) -> None:
        """Raise, and leave for ``data_received``, why the head is refused."""
        if self._unknown_coding:
            self._refusal = RefusalReason.UNKNOWN_CODING
        if self._head_most > DEFAULT_HEAD_LIMIT and self._measure_head() > self._longest_head():
            self._refusal = RefusalReason.HEAD_TOO_LARGE
        if self._refusal is not RefusalReason.MALFORMED:
            raise HeadRefusedError(self._refusal)

    def _longest_head(self) -> int:
        """Return the bytes of the longest head that is taken now."""
        return DEFAULT_HEAD_LIMIT

    def _measure_head(self) -> int:
        return len(self._url) + sum(len(name) + len(value) for name, value in self._headers)

    def _scope(self) -> Scope:
        target = httptools.parse_url(self._url)
        path = target.path.decode("ascii")
        return {
            "type": "http",
            "asgi": ASGI,
            "http_version": self._parser.get_http_version(),
            "method": self._parser.get_method().decode("ascii"),
            "path": urllib.parse.unquote(path) if "%" in path else path,
            "raw_path": target.path,
            "query_string": target.query or b"",
            "headers": self._headers,
        }
