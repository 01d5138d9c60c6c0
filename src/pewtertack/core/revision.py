"""Revision ids of documents: the source's number with a digest of the content."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any, ClassVar

import cbor2
import msgspec

from pewtertack.errors import CoordinationError

DIGEST_BYTES = 16

Document = Mapping[str, Any]
"""A tree of JSON values with string keys: objects, arrays, strings, numbers, booleans."""


class RevisionConflictError(CoordinationError):
    """Two documents with different digests carry the same revision number."""

    code: ClassVar[str] = "revision-conflict"


class RevisionId(msgspec.Struct, frozen=True, array_like=True):
    """One version of a document: the source's number and the digest of the content."""

    number: int
    digest: bytes

    def __str__(self) -> str:
        return f"{self.number}:{self.digest.hex()[:8]}"

    def is_newer_than(self, other: RevisionId) -> bool:
        """Tell whether this revision supersedes ``other``.

        Raises:
            RevisionConflictError: equal numbers with different digests.
        """
        if self.number == other.number and self.digest != other.digest:
            raise RevisionConflictError(
                f"revisions {self} and {other} share a number, but not a digest"
            )
        return self.number > other.number


NO_REVISION = RevisionId(0, b"")
"""Placeholder for no revision; the source's numbers start at 1."""


def canonical_bytes(value: Any) -> bytes:
    """Return an encoding that is equal exactly for equal values, whatever the order of keys.

    ``1``, ``1.0`` and ``True`` are three values. The encoding is MessagePack with sorted keys,
    which takes a twentieth of the time of canonical CBOR. Canonical CBOR is the fallback for
    values that MessagePack cannot encode (integers beyond 64 bits, keys that are not strings);
    validation refuses these later.
    """
    try:
        return msgspec.msgpack.encode(value, order="deterministic")
    except (TypeError, ValueError, OverflowError):
        return cbor2.dumps(value, canonical=True)


def have_same_content(left: Any, right: Any) -> bool:
    """Tell whether two values have equal canonical bytes; faster if their keys have equal order."""
    try:
        if msgspec.msgpack.encode(left) == msgspec.msgpack.encode(right):
            return True
    except (TypeError, ValueError, OverflowError):
        pass
    return canonical_bytes(left) == canonical_bytes(right)


def digest_of(document: Document) -> bytes:
    """Return the digest of the content of ``document``."""
    return hashlib.blake2b(canonical_bytes(document), digest_size=DIGEST_BYTES).digest()


def revision_id_of(number: int, document: Document) -> RevisionId:
    """Return the revision id of ``document`` under the source's ``number``."""
    return RevisionId(number, digest_of(document))
