"""Callers that do not read their responses: for how long, and how many at once.

Data that a caller leaves unread stays in this process: in the write buffer of its connection and,
for a longer response, in the read buffer of the connection it comes from. Flow control slows the
sender first. A caller that reads nothing for ``SLOW_READER_SECONDS`` is disconnected; when there
are too many slow readers, so is the one that has read nothing for the longest time. The caller
sees an incomplete response.
"""

from __future__ import annotations

import math
from typing import Protocol

SLOW_READER_SECONDS = 4.0
"""A caller that has taken no byte for so long is disconnected."""
CROWDED_SLOW_READER_SECONDS = 0.5
"""The same for the longest silent caller while more than ``MAX_SLOW_READERS`` are silent."""
SLOW_READERS_BYTES = 8 * 1024 * 1024
"""What silent callers may hold at once in one server of a node."""
SLOW_READER_BYTES = 256 * 1024
"""What one silent caller holds: 64 KiB unsent, and 64 to 192 KiB received for it."""
MAX_SLOW_READERS = SLOW_READERS_BYTES // SLOW_READER_BYTES


class Connection(Protocol):
    """A connection whose caller reads too slowly."""

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the caller has not taken, those that the system holds included."""

    def disconnect(self) -> None:
        """End the connection."""


class _Silence:
    """Since when a caller has taken nothing."""

    __slots__ = ("since", "undelivered_bytes")

    def __init__(self, since: float, undelivered_bytes: int) -> None:
        self.since = since
        self.undelivered_bytes = undelivered_bytes


class SlowReaders:
    """The connections of one server whose callers read too slowly. Times: monotonic seconds.

    Args:
        callers_relay: the callers pass answers on, and check after who reads them. One may take
            nothing for long while its own caller reads what that connection's system holds.
    """

    __slots__ = ("_callers_relay", "_silent")

    def __init__(self, callers_relay: bool = False) -> None:
        self._callers_relay = callers_relay
        self._silent: dict[Connection, _Silence] = {}
        """The longest silent first."""

    def __len__(self) -> int:
        return len(self._silent)

    def add(self, connection: Connection, now: float) -> float:
        """A caller does not keep up; return after how many seconds to check at it."""
        self._silent[connection] = _Silence(now, connection.undelivered_bytes)
        return CROWDED_SLOW_READER_SECONDS

    def discard(self, connection: Connection) -> None:
        """A caller has read enough, or has gone."""
        self._silent.pop(connection, None)

    def check(self, connection: Connection, now: float) -> float | None:
        """Return after how many seconds to check again, ``None`` where that is done with."""
        silence = self._silent.get(connection)
        if silence is None:
            return None
        undelivered_bytes = connection.undelivered_bytes
        if undelivered_bytes != silence.undelivered_bytes:
            del self._silent[connection]
            self._silent[connection] = _Silence(now, undelivered_bytes)
            return CROWDED_SLOW_READER_SECONDS
        if now - silence.since >= self._patience(connection):
            del self._silent[connection]
            connection.disconnect()
            return None
        return CROWDED_SLOW_READER_SECONDS

    def _patience(self, connection: Connection) -> float:
        """Return for how many seconds a caller may take nothing."""
        if self._is_one_too_many(connection):
            return CROWDED_SLOW_READER_SECONDS
        return math.inf if self._callers_relay else SLOW_READER_SECONDS

    def _is_one_too_many(self, connection: Connection) -> bool:
        """Tell whether it is the longest silent one of too many."""
        return len(self._silent) > MAX_SLOW_READERS and next(iter(self._silent)) is connection
