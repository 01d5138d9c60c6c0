"""What stays the same of a request that comes again, at whichever machine, as a digest.

A caller that tries again gives its request a new id, so that only the content tells. Of the
headers count those that say who asks. Nothing of the content can be read from a digest.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

DIGEST_BYTES = 8
"""Of head and body each: two of a thousand different requests meet once in 10^13 fleets."""
BODY_PREFIX_BYTES = 64 * 1024
"""So much of a body counts: longer ones are not kept whole."""
CALLER_HEADERS = frozenset({b"authorization", b"cookie", b"host"})


def head_digest(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the digest of a request without its body; names of headers in lower case."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    named = sorted(item for item in headers if item[0] in CALLER_HEADERS)
    for part in (method.encode(), target, *(part for item in named for part in item)):
        digest.update(b"%d:" % len(part) + part)
    return digest.digest()


def fingerprint_of(head: bytes, beginning: bytes) -> bytes:
    """Return the request's fingerprint.

    Args:
        head: its ``head_digest``.
        beginning: the first ``BODY_PREFIX_BYTES`` of its body, or all of a shorter one.
    """
    return head + blake2b(beginning, digest_size=DIGEST_BYTES).digest()


def head_digest_of(fingerprint: bytes) -> bytes:
    """Return the ``head_digest`` that a fingerprint begins with."""
    return fingerprint[:DIGEST_BYTES]
