"""The body that belongs to a request: lines made of the request's id, with a checksum."""

from __future__ import annotations

import hashlib

DEFAULT_BODY_BYTES = 256


def expected_body(request_id: str, size: int) -> bytes:
    """Return the ``size`` bytes that answer ``request_id``."""
    line = request_id.encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]


def checksum(body: bytes) -> str:
    """Return the value of ``x-checksum``: SHA-256 in hex."""
    return hashlib.sha256(body).hexdigest()
