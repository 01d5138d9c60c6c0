"""Recent time for which answers lay unread because this node was delayed.

This is a temporary state of the node and its machine, not part of a back end's service time.
"""

from __future__ import annotations

import math

from pewtertack.routing.queueing import SMOOTHING

HALF_LIFE_SECONDS = 0.5
"""Half-life of a recorded delay."""


class RecentDelay:
    """Mean delay with exponential decay, in seconds."""

    __slots__ = ("_mean", "_noted_at")

    def __init__(self) -> None:
        self._mean = 0.0
        self._noted_at = -math.inf

    def note(self, delay: float, now: float) -> None:
        """Include a delay in the mean; it weighs more the longer ago the last one was."""
        weight = max(SMOOTHING, 1 - self._decay(now))
        self._mean += weight * (delay - self._mean)
        self._noted_at = now

    def at(self, now: float) -> float:
        """Return the delay to expect now."""
        return self._mean and self._mean * self._decay(now)

    def _decay(self, now: float) -> float:
        return math.exp2((self._noted_at - now) / HALF_LIFE_SECONDS)
