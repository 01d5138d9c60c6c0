"""Whether to ask one more gateway after one has refused.

In a lasting shortage the next gateway refuses as well: on a day with 1.6 times the usual
load a first refusal was followed by an acceptance in 25 of 100 cases, a second in 17, and 43
of 100 hops ended in a refusal. Each costs two nodes some milliseconds and the caller the time
until it is told to come back; the slots that are taken are the same ones. A proxy therefore
keeps, for each route, how often a further gateway has taken a request lately.
"""

from __future__ import annotations

import math
from collections.abc import Container
from random import Random

MIN_ACCEPTANCE_SHARE = 0.3
"""Below this share of further gateways that accept, none is asked. Chosen between the shares
above and what is usual without a shortage, where nearly all accept."""
NEWEST_WEIGHT = 0.2
"""Weight of the newest outcome: some five outcomes decide."""
RECOVERY_HALF_LIFE_SECONDS = 0.5
"""Outcomes lose half of their weight in this time, so that the end of a shortage is seen."""
PROBE_SHARE = 0.1
"""Share of the requests for which a gateway is asked all the same, to see whether it is over."""


class _AcceptanceRate:
    """How often a further gateway has accepted, for one route."""

    __slots__ = ("updated_at", "share")

    def __init__(self) -> None:
        self.share = 1.0
        self.updated_at = -math.inf

    def at(self, now: float) -> float:
        """Return the share, which tends to 1 while nothing is heard."""
        missing = 1 - self.share
        return 1 - missing * math.exp2(-(now - self.updated_at) / RECOVERY_HALF_LIFE_SECONDS)

    def note(self, now: float, accepted: bool) -> None:
        known = self.at(now)
        self.share = known + NEWEST_WEIGHT * (accepted - known)
        self.updated_at = now


class AcceptanceTracker:
    """The odds of all routes of one proxy. Times are monotonic seconds."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._routes: dict[str, _AcceptanceRate] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are in force no longer."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note(self, route: str, now: float, accepted: bool) -> None:
        """A gateway that was asked after another had refused took the request, or did not."""
        self._routes.setdefault(route, _AcceptanceRate()).note(now, accepted)

    def worth_trying(self, route: str, now: float) -> bool:
        """Tell whether to ask one more gateway for a request of the route."""
        known = self._routes.get(route)
        if known is None or known.at(now) >= MIN_ACCEPTANCE_SHARE:
            return True
        return self._random.random() < PROBE_SHARE
