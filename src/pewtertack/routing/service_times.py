"""Service times of a back end: means and spreads."""

from __future__ import annotations

import msgspec

from pewtertack.routing.queueing import smoothed

MEDIAN_COUNT = 9
"""Number of first times whose median is used."""
SPREAD_DEVIATIONS = 2.0
"""Answers seldom take longer than the mean and this number of mean deviations. In simulations of
overload 2.0 gives better results than 1.5 (docs/FARMARECOGE.md)."""


class MeanTime(msgspec.Struct):
    """Mean of times and mean deviation from it, in seconds.

    Medians while few are known: the first answers of a back end are often unusually slow.
    """

    mean: float = 0.0
    deviation: float = 0.0
    """Mean distance of a time from the mean."""
    first_times: list[float] | None = msgspec.field(default_factory=list)
    """The times so far, while they are few."""

    def note(self, seconds: float) -> None:
        """Include a time in the means."""
        if self.first_times is not None:
            self._note_first(self.first_times, seconds)
            return
        self.deviation = smoothed(self.deviation, abs(seconds - self.mean))
        self.mean = smoothed(self.mean, seconds)

    def _note_first(self, first_times: list[float], seconds: float) -> None:
        first_times.append(seconds)
        self.mean = _median(first_times)
        self.deviation = _median([abs(item - self.mean) for item in first_times])
        if len(first_times) == MEDIAN_COUNT:
            self.first_times = None


class ServiceTimes:
    """Service times of one back end, of all requests and by route; 0 while unknown."""

    __slots__ = ("_all", "routes")

    def __init__(self) -> None:
        self._all = MeanTime()
        self.routes: dict[str, MeanTime] = {}

    @property
    def mean(self) -> float:
        """Mean time over all requests."""
        return self._all.mean

    def note(self, route: str, seconds: float) -> None:
        """Include a time in the means."""
        self._all.note(seconds)
        self.routes.setdefault(route, MeanTime()).note(seconds)

    def mean_of(self, route: str) -> float:
        """Return the route's mean time."""
        known = self.routes.get(route)
        return known.mean if known is not None else 0.0

    def spread_of(self, route: str) -> float:
        """Return the seconds by which an answer of the route may well exceed the mean."""
        known = self.routes.get(route)
        return known.deviation * SPREAD_DEVIATIONS if known is not None else 0.0


def _median(times: list[float]) -> float:
    """Return the median, or the larger of two (``statistics`` is slow to import)."""
    return sorted(times)[len(times) // 2]
