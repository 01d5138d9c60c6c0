"""Framing of HTTP/1.1 message bodies in either direction (RFC 9112, section 7)."""

from __future__ import annotations

RawHeaders = list[tuple[bytes, bytes]]
"""Header names and values as sent on the wire."""
FRAMING_NAMES = frozenset({b"content-length", b"transfer-encoding"})
"""Headers that mark the end of a body."""
NO_BODY_STATUSES = frozenset({204, 304})
"""Statuses of responses that have no body, whatever their headers say."""
LAST_CHUNK = b"0\r\n\r\n"
"""The last chunk, which ends a chunked body."""


def encode_chunk(data: bytes) -> bytes:
    """Return ``data``, which must not be empty, as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
