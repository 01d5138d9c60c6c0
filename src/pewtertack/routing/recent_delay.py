"""For how long this node has lately left answers unread, since it was held up.

That is a state of the node and its machine, which passes, and no property of what a back end takes.
"""

from __future__ import annotations

import math

from pewtertack.routing.queueing import SMOOTHING

HALF_LIFE_SECONDS = 0.5
"""Seconds after which half of what was noted still counts."""


class RecentDelay:
    """A mean of delays, of which the newest count most. Times are in seconds."""

    __slots__ = ("_mean", "_noted_at")

    def __init__(self) -> None:
        self._mean = 0.0
        self._noted_at = -math.inf

    def note(self, delay: float, now: float) -> None:
        """Take in one more delay; the longer ago the last one was, the more it counts."""
        weight = max(SMOOTHING, 1 - self._decay(now))
        self._mean += weight * (delay - self._mean)
        self._noted_at = now

    def at(self, now: float) -> float:
        """Return the delay to expect now."""
        return self._mean and self._mean * self._decay(now)

    def _decay(self, now: float) -> float:
        return math.exp2((self._noted_at - now) / HALF_LIFE_SECONDS)
