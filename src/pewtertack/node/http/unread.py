"""Callers that do not read their answers: how long, and how many of them at once.

What a caller leaves unread is held here: in its connection's buffer, and where its answer is
longer, in that of the connection from which it comes. Flow control slows the sender first. The
connection of a caller that takes nothing for ``UNREAD_SECONDS`` is ended, and so is that of the
longest silent one of too many. The caller sees an incomplete answer.
"""

from __future__ import annotations

import math
from typing import Protocol

UNREAD_SECONDS = 4.0
"""A caller that has taken no byte for so long is disconnected."""
CROWDED_SECONDS = 0.5
"""The same for the longest silent caller while more than ``MOST_UNREAD`` are silent."""
UNREAD_BYTES = 8 * 1024 * 1024
"""What silent callers may hold at once in one server of a node."""
HELD_BYTES = 256 * 1024
"""What one silent caller holds: 64 KiB unsent, and 64 to 192 KiB received for it."""
MOST_UNREAD = UNREAD_BYTES // HELD_BYTES


class Connection(Protocol):
    """A connection whose caller reads too slowly."""

    @property
    def untaken(self) -> int:
        """Bytes that the caller has not taken, those that the system holds included."""

    def end_unread(self) -> None:
        """End the connection."""


class _Silence:
    """Since when a caller has taken nothing."""

    __slots__ = ("since", "untaken")

    def __init__(self, since: float, untaken: int) -> None:
        self.since = since
        self.untaken = untaken


class UnreadAnswers:
    """The connections of one server whose callers read too slowly. Times: monotonic seconds.

    Args:
        callers_relay: the callers pass answers on, and look after who reads them. One may take
            nothing for long while its own caller reads what that connection's system holds.
    """

    __slots__ = ("_callers_relay", "_silent")

    def __init__(self, callers_relay: bool = False) -> None:
        self._callers_relay = callers_relay
        self._silent: dict[Connection, _Silence] = {}
        """The longest silent first."""

    def __len__(self) -> int:
        return len(self._silent)

    def begin(self, connection: Connection, now: float) -> float:
        """A caller does not keep up; return after how many seconds to look at it."""
        self._silent[connection] = _Silence(now, connection.untaken)
        return CROWDED_SECONDS

    def end(self, connection: Connection) -> None:
        """A caller has read enough, or has gone."""
        self._silent.pop(connection, None)

    def look(self, connection: Connection, now: float) -> float | None:
        """Return after how many seconds to look again, ``None`` where that is done with."""
        silence = self._silent.get(connection)
        if silence is None:
            return None
        untaken = connection.untaken
        if untaken != silence.untaken:
            del self._silent[connection]
            self._silent[connection] = _Silence(now, untaken)
            return CROWDED_SECONDS
        if now - silence.since >= self._patience(connection):
            del self._silent[connection]
            connection.end_unread()
            return None
        return CROWDED_SECONDS

    def _patience(self, connection: Connection) -> float:
        """Return for how many seconds a caller may take nothing."""
        if self._is_one_too_many(connection):
            return CROWDED_SECONDS
        return math.inf if self._callers_relay else UNREAD_SECONDS

    def _is_one_too_many(self, connection: Connection) -> bool:
        """Tell whether it is the longest silent one of too many."""
        return len(self._silent) > MOST_UNREAD and next(iter(self._silent)) is connection
