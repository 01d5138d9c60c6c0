"""Estimated rate of arrivals, with a lower confidence bound."""

from __future__ import annotations

import math

DECAY_SECONDS = 1.0
"""Time constant with which arrivals lose weight. In simulations half of it gives the same result
within noise."""

CONFIDENCE_DEVIATIONS = 2.0
"""Standard deviations that the lower bound subtracts: 1 in 40 counts is further off by chance."""


class ArrivalRate:
    """An exponentially decaying count of arrivals."""

    __slots__ = ("count", "updated_at")

    def __init__(self) -> None:
        self.count = 0.0
        self.updated_at = 0.0

    def note(self, now: float) -> None:
        """Count an arrival."""
        self.count = self._decayed_count(now) + 1
        self.updated_at = now

    def lower_bound(self, now: float) -> float:
        """Return a lower bound of the arrivals per second: the count less its statistical error."""
        count = self._decayed_count(now)
        return max(0.0, count - CONFIDENCE_DEVIATIONS * math.sqrt(count)) / DECAY_SECONDS

    def _decayed_count(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / DECAY_SECONDS)
