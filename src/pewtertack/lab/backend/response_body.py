"""Response bodies derived from the request id, so that callers can verify them."""

from __future__ import annotations

import hashlib

DEFAULT_BODY_BYTES = 256


def expected_body(request_id: str, size: int) -> bytes:
    """Return the response body for ``request_id``: the id on each line, ``size`` bytes."""
    id_line = request_id.encode() + b"\n"
    return (id_line * (size // len(id_line) + 1))[:size]


def checksum(body: bytes) -> str:
    """Return the value of the ``x-checksum`` header: SHA-256 in hexadecimal."""
    return hashlib.sha256(body).hexdigest()
