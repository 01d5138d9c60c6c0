"""How long a back end takes for its requests, and how sure that is."""

from __future__ import annotations

import msgspec

from pewtertack.routing.queueing import smoothed

SPREAD = 2.0
"""Answers seldom take longer than the mean and so many times the mean deviation. In virtual
time 2.0 earns more beyond capacity than 1.5 (docs/FARMARECOGE.md)."""


class RouteTime(msgspec.Struct):
    """How long the back end takes for a route, in seconds."""

    mean: float
    deviation: float = 0.0
    """Mean distance of a time from the mean."""

    def note(self, seconds: float) -> None:
        """Take one more time into the means."""
        self.deviation = smoothed(self.deviation, abs(seconds - self.mean))
        self.mean = smoothed(self.mean, seconds)


class ServiceTimes:
    """Seconds that one back end takes, over all requests and by route; 0 while unknown."""

    __slots__ = ("mean", "routes")

    def __init__(self) -> None:
        self.mean = 0.0
        self.routes: dict[str, RouteTime] = {}

    def note(self, route: str, seconds: float) -> None:
        """Take one more time into the means."""
        self.mean = smoothed(self.mean, seconds)
        self.routes.setdefault(route, RouteTime(seconds)).note(seconds)

    def mean_of(self, route: str) -> float:
        """Return the route's mean time."""
        known = self.routes.get(route)
        return known.mean if known is not None else 0.0

    def spread_of(self, route: str) -> float:
        """Return by how much an answer of the route may well take longer than the mean."""
        known = self.routes.get(route)
        return known.deviation * SPREAD if known is not None else 0.0
