"""Header names at one edge of a node: towards callers and back ends, or between nodes."""

from __future__ import annotations

import msgspec

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
READ_NAMES = frozenset({b"host", b"content-length", b"transfer-encoding", b"expect", b"connection"})
"""Names that are read at every edge."""


class EdgeHeaders(msgspec.Struct, frozen=True):
    """Names in lower case; an empty name is not used. See ``settings.HeadersSection``."""

    request_id: bytes = REQUEST_ID
    deadline: bytes = DEADLINE
    expected_backend: bytes = b""
    caller_service: bytes = b""
    not_run: bytes = b""
    cold_milliseconds: bytes = b""
    identified_answers: bool = False
    unframed_answers: bool = False
    fractional_retry_after: bool = False
    own: frozenset[bytes] = frozenset()
    """Names that nodes set themselves: what a caller sends under them is dropped. Worked out."""
    read: frozenset[bytes] = frozenset()
    """Names of a request's headers that a node reads. Worked out."""

    def __post_init__(self) -> None:
        """Work out once what every request needs."""
        names = (self.request_id, self.deadline, self.expected_backend, self.caller_service)
        own = frozenset(name for name in names if name)
        msgspec.structs.force_setattr(self, "own", own)
        msgspec.structs.force_setattr(self, "read", READ_NAMES | {self.request_id, self.deadline})


DEFAULT_EDGE = EdgeHeaders()
"""Pewtertack's own names."""

NODE_EDGE = EdgeHeaders(identified_answers=True, fractional_retry_after=True)
"""Between the node beside a caller and the node beside a back end."""
