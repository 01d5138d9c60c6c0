"""Header names at one edge of a node: toward callers and back ends, or between nodes."""

from __future__ import annotations

import msgspec

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
READ_NAMES = frozenset({b"host", b"content-length", b"transfer-encoding", b"expect", b"connection"})
"""Headers that are read at every edge."""


class EdgeHeaders(msgspec.Struct, frozen=True):
    """Header names in lower case; an empty one is unused. See ``settings.HeadersSection``."""

    request_id: bytes = REQUEST_ID
    deadline: bytes = DEADLINE
    expected_backend: bytes = b""
    caller_service: bytes = b""
    not_run: bytes = b""
    cold_milliseconds: bytes = b""
    rate_limit: bytes = b""
    leaving: bytes = b""
    identified_answers: bool = False
    unframed_answers: bool = False
    fractional_retry_after: bool = False
    reserved: frozenset[bytes] = frozenset()
    """Headers that nodes set themselves; a caller's are dropped. Derived from the fields above."""
    inspected: frozenset[bytes] = frozenset()
    """Request headers that a node reads. Derived from the fields above."""
    reports: frozenset[bytes] = frozenset()
    """Response headers in which a back end reports its state. Derived from the fields above."""

    def __post_init__(self) -> None:
        """Derive once the sets that every request needs."""
        names = (self.request_id, self.deadline, self.expected_backend, self.caller_service)
        reserved = frozenset(name for name in names if name)
        msgspec.structs.force_setattr(self, "reserved", reserved)
        msgspec.structs.force_setattr(
            self, "inspected", READ_NAMES | {self.request_id, self.deadline}
        )
        reports = frozenset(name for name in (self.rate_limit, self.leaving) if name)
        msgspec.structs.force_setattr(self, "reports", reports)


DEFAULT_EDGE = EdgeHeaders()
"""Pewtertack's default names."""

NODE_EDGE = EdgeHeaders(identified_answers=True, fractional_retry_after=True)
"""Between the proxy at the caller's node and the gateway at the back end's node."""


def hop_edge(backend_edge: EdgeHeaders) -> EdgeHeaders:
    """Return the names that a proxy reads in the responses of gateways.

    A gateway of an older version passes on what its back end reports without reading it.
    """
    return msgspec.structs.replace(
        NODE_EDGE, rate_limit=backend_edge.rate_limit, leaving=backend_edge.leaving
    )
