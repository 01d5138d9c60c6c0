"""Makes room for a connection when a server has reached its limit.

Connections that have waited the longest for their first request are closed, then those that have
been idle the longest. If all have requests, the new connection is refused.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

CLOSED_AT_ONCE = 16
"""Unused connections that are closed together, as finding them takes a pass over all."""


class Connection(Protocol):
    """A connection of a caller."""

    @property
    def is_unused(self) -> bool:
        """Whether the connection has no request."""

    @property
    def unused_since(self) -> tuple[bool, float]:
        """Whether it has had a request, and since when it has none: the order of closing."""

    def close_unused(self) -> bool:
        """Close the connection unless it has a request by now; return whether it was closed."""


def close_unused(connections: Iterable[Connection]) -> int:
    """Close some of the unused connections; return their number."""
    unused = sorted(
        (connection for connection in connections if connection.is_unused),
        key=lambda connection: connection.unused_since,
    )
    return sum(connection.close_unused() for connection in unused[:CLOSED_AT_ONCE])
