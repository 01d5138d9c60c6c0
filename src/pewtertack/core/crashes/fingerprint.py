"""Digests that identify a request when it is retried, on whichever machine it arrives.

A caller that retries gives the request a new id, so only its content identifies it. Of the
headers, only those that identify the caller are included. The content cannot be recovered from a
digest.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

DIGEST_BYTES = 8
"""Size of the digests of head and body. Among a thousand different requests, two heads or two
bodies share a digest in one of 10^13 fleets."""
BODY_PREFIX_BYTES = 64 * 1024
"""Length of the part of a body that is digested; longer bodies are not kept whole."""
CALLER_HEADERS = frozenset({b"authorization", b"cookie", b"host"})


def head_digest(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the digest of a request without its body; header names must be in lower case."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    included = sorted(item for item in headers if item[0] in CALLER_HEADERS)
    for part in (method.encode(), target, *(part for item in included for part in item)):
        digest.update(b"%d:" % len(part) + part)
    return digest.digest()


def fingerprint_of(head: bytes, body_prefix: bytes) -> bytes:
    """Return the fingerprint of a request.

    Args:
        head: the ``head_digest`` of the request.
        body_prefix: the first ``BODY_PREFIX_BYTES`` of its body, or all of a shorter body.
    """
    return head + blake2b(body_prefix, digest_size=DIGEST_BYTES).digest()


def head_digest_of(fingerprint: bytes) -> bytes:
    """Return the ``head_digest`` that a fingerprint starts with."""
    return fingerprint[:DIGEST_BYTES]
