"""Decides whether to try another gateway after one has refused a request.

In a lasting shortage the next gateway refuses as well: at 1.6 times the usual
load a first refusal was followed by an acceptance in 25 of 100 cases, a second in 17, and 43
of 100 hops ended in a refusal. Each costs two nodes some milliseconds and the caller the time
until it is told to retry, although the refusals do not fill any more slots. A proxy therefore
records, for each route, how often further gateways have accepted a request lately.
"""

from __future__ import annotations

import math
from collections.abc import Container
from random import Random

MIN_ACCEPTANCE_SHARE = 0.3
"""Below this share of further gateways that accept, none is tried. It lies between the shares
above and what is usual without a shortage, where nearly all accept."""
NEWEST_WEIGHT = 0.2
"""Weight of the newest result: about five results determine the share."""
RECOVERY_HALF_LIFE_SECONDS = 0.5
"""Half-life of results, so that the end of a shortage is noticed."""
PROBE_SHARE = 0.1
"""Share of requests that try another gateway anyway, to notice the end of a shortage."""


class _AcceptanceRate:
    """Share of further gateways that have accepted a request of one route."""

    __slots__ = ("updated_at", "share")

    def __init__(self) -> None:
        self.share = 1.0
        self.updated_at = -math.inf

    def at(self, now: float) -> float:
        """Return the share, which tends to 1 while no results are recorded."""
        refused_share = 1 - self.share
        return 1 - refused_share * math.exp2(-(now - self.updated_at) / RECOVERY_HALF_LIFE_SECONDS)

    def note(self, now: float, accepted: bool) -> None:
        decayed_share = self.at(now)
        self.share = decayed_share + NEWEST_WEIGHT * (accepted - decayed_share)
        self.updated_at = now


class AcceptanceTracker:
    """Acceptance shares of all routes of one proxy. Times are monotonic seconds."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._routes: dict[str, _AcceptanceRate] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are no longer in force."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note(self, route: str, now: float, accepted: bool) -> None:
        """Record whether a gateway that was tried after a refusal accepted the request."""
        self._routes.setdefault(route, _AcceptanceRate()).note(now, accepted)

    def worth_trying(self, route: str, now: float) -> bool:
        """Tell whether to try another gateway for a request of the route."""
        rate = self._routes.get(route)
        if rate is None or rate.at(now) >= MIN_ACCEPTANCE_SHARE:
            return True
        return self._random.random() < PROBE_SHARE
