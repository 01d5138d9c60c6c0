"""How often requests come, by what was seen lately and how sure that is."""

from __future__ import annotations

import math

DECAY_SECONDS = 1.0
"""Arrivals count for about so long. In virtual time half of it gives the same within noise."""

CONFIDENCE_DEVIATIONS = 2.0
"""Standard deviations of the count that may be chance: 1 in 40 counts is further off."""


class ArrivalRate:
    """A count of arrivals of which each loses weight with its age."""

    __slots__ = ("count", "updated_at")

    def __init__(self) -> None:
        self.count = 0.0
        self.updated_at = 0.0

    def note(self, now: float) -> None:
        """Count an arrival."""
        self.count = self._decayed_count(now) + 1
        self.updated_at = now

    def lower_bound(self, now: float) -> float:
        """Return the arrivals a second that are sure: the count less what may be chance."""
        count = self._decayed_count(now)
        return max(0.0, count - CONFIDENCE_DEVIATIONS * math.sqrt(count)) / DECAY_SECONDS

    def _decayed_count(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / DECAY_SECONDS)
