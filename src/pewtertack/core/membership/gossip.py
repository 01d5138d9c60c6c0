"""Queue of membership updates that are piggybacked on probes."""

from __future__ import annotations

import math

from pewtertack.wire.messages import MemberUpdate

UPDATES_PER_MESSAGE = 12
"""Maximum number of updates on one probe; keeps it within one datagram of 1200 bytes."""

TRANSMISSIONS_PER_DECADE = 4
"""Number of times that an update is sent for each power of ten of the fleet size."""


class GossipQueue:
    """The newest update about each member; those sent least often are sent first."""

    def __init__(self) -> None:
        self._updates: dict[str, MemberUpdate] = {}
        self._send_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, update: MemberUpdate) -> None:
        """Queue ``update``, replacing an earlier one about the same member."""
        self._updates[update.name] = update
        self._send_counts[update.name] = 0

    def take_for_message(self, fleet_size: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for the next message and count them as sent."""
        if not self._updates:
            return ()
        limit = TRANSMISSIONS_PER_DECADE * math.ceil(math.log10(fleet_size + 2))
        names = sorted(self._updates, key=self._send_counts.__getitem__)[:UPDATES_PER_MESSAGE]
        updates = tuple(self._updates[name] for name in names)
        for name in names:
            self._count_sent(name, limit)
        return updates

    def _count_sent(self, name: str, limit: int) -> None:
        self._send_counts[name] += 1
        if self._send_counts[name] >= limit:
            del self._updates[name]
            del self._send_counts[name]
