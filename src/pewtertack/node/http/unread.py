"""Callers that do not read their responses: for how long, and how many at once.

Data that a caller leaves unread stays in this process: in the write buffer of its connection and,
for a longer response, in the read buffer of the connection it comes from. Flow control slows the
sender first. A caller that reads nothing for ``SLOW_READER_SECONDS`` is disconnected; when there
are too many slow readers, so is the one that has read nothing for the longest time. The caller sees
an incomplete response.
"""

from __future__ import annotations

import math
from typing import Protocol

SLOW_READER_SECONDS = 4.0
"""A caller that has received no byte for this long is disconnected."""
CROWDED_SLOW_READER_SECONDS = 0.5
"""The caller that has been silent the longest is disconnected after this long while more than
``MAX_SLOW_READERS`` are silent."""
MAX_SLOW_READER_BYTES = 8 * 1024 * 1024
"""Memory that silent callers may occupy together in one server of a node."""
BYTES_PER_SLOW_READER = 256 * 1024
"""Memory that one silent caller occupies: 64 KiB unsent, and 64 to 192 KiB received for it."""
MAX_SLOW_READERS = MAX_SLOW_READER_BYTES // BYTES_PER_SLOW_READER


class Connection(Protocol):
    """A connection whose caller reads too slowly."""

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the caller has not received, including those in the kernel's buffer."""

    def disconnect(self) -> None:
        """Disconnect the caller."""


class _Silence:
    """Since when a caller has received nothing."""

    __slots__ = ("since", "undelivered_bytes")

    def __init__(self, since: float, undelivered_bytes: int) -> None:
        self.since = since
        self.undelivered_bytes = undelivered_bytes


class SlowReaders:
    """Connections of one server whose callers read too slowly. Times are monotonic seconds.

    Args:
        callers_relay: the callers relay responses and supervise their own readers. Such a caller
            may receive nothing for long while its own caller reads data that is already in the
            kernel of the relaying machine.
    """

    __slots__ = ("_callers_relay", "_silent")

    def __init__(self, callers_relay: bool = False) -> None:
        self._callers_relay = callers_relay
        self._silent: dict[Connection, _Silence] = {}
        """The longest silent first."""

    def __len__(self) -> int:
        return len(self._silent)

    def add(self, connection: Connection, now: float) -> float:
        """Add a caller that reads too slowly; return the seconds until its first check."""
        self._silent[connection] = _Silence(now, connection.undelivered_bytes)
        return CROWDED_SLOW_READER_SECONDS

    def discard(self, connection: Connection) -> None:
        """Remove a caller that has read enough or disconnected."""
        self._silent.pop(connection, None)

    def check(self, connection: Connection, now: float) -> float | None:
        """Check a caller; return the seconds until the next check, ``None`` if none is needed."""
        silence = self._silent.get(connection)
        if silence is None:
            return None
        undelivered_bytes = connection.undelivered_bytes
        if undelivered_bytes != silence.undelivered_bytes:
            del self._silent[connection]
            self._silent[connection] = _Silence(now, undelivered_bytes)
            return CROWDED_SLOW_READER_SECONDS
        if now - silence.since >= self._silence_limit(connection):
            del self._silent[connection]
            connection.disconnect()
            return None
        return CROWDED_SLOW_READER_SECONDS

    def _silence_limit(self, connection: Connection) -> float:
        """Return for how many seconds a caller may receive nothing."""
        if self._exceeds_limit(connection):
            return CROWDED_SLOW_READER_SECONDS
        return math.inf if self._callers_relay else SLOW_READER_SECONDS

    def _exceeds_limit(self, connection: Connection) -> bool:
        """Return whether it is the longest silent caller of too many."""
        return len(self._silent) > MAX_SLOW_READERS and next(iter(self._silent)) is connection
