"""How often requests come, by what was seen lately and how sure that is."""

from __future__ import annotations

import math

RATE_SECONDS = 1.0
"""Arrivals count for about so long. In virtual time half of it gives the same within noise."""

DOUBT = 2.0
"""Standard deviations of the count that may be chance: 1 in 40 counts is further off."""


class ArrivalRate:
    """A count of arrivals of which each loses weight with its age."""

    __slots__ = ("count", "noted_at")

    def __init__(self) -> None:
        self.count = 0.0
        self.noted_at = 0.0

    def note(self, now: float) -> None:
        """Count an arrival."""
        self.count = self._weight(now) + 1
        self.noted_at = now

    def at_least(self, now: float) -> float:
        """Return the arrivals a second that are sure: the count less what may be chance."""
        count = self._weight(now)
        return max(0.0, count - DOUBT * math.sqrt(count)) / RATE_SECONDS

    def _weight(self, now: float) -> float:
        return self.count * math.exp((self.noted_at - now) / RATE_SECONDS)
