"""Detects who makes a route's requests: callers, or back ends while they run other requests.

Requests do not carry this: a back end calls from the same address as the callers on its machine.
But callers are on machines of all services, and a back end only on machines of its own service. A
gateway therefore counts, for each route, how often the machines of each service have been silent
where a number of requests was to be expected of them (``OriginDetector``). It advertises its
finding with its answers, and senders remember it for a while (``AdvertisedOrigins``).

A route that back ends of *every* service call is not detected.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from enum import StrEnum

from pewtertack.routing.policies import NestedCallPolicy, Parameter, Policies, PolicyKind, policy

HALF_LIFE_ARRIVALS = 400.0
"""Arrivals of a route after which earlier ones count half. A service with one machine in
twenty is then expected 28 times, and 10 times after 230 arrivals."""
DECAY = 0.5 ** (1 / HALF_LIFE_ARRIVALS)
MIN_EXPECTED = 10.0
"""Number of requests that must have been expected from a service before its silence is conclusive,
and again as many for each request that it has sent. Where arrivals are independent, a service is
silent that long by chance in 1 of 22,000 cases."""
CONTACT_SECONDS = 2.0
"""A service without any contact for this long may be cut off or stopped: nothing is expected of
it."""
MAX_ROUTES = 512
"""Number of routes with counts at a gateway; the longest idle one is dropped first."""
ADVERTISED_WEIGHT = 0.2
"""Weight of the newest report in a sender's belief: about five gateways decide."""
MAJORITY = 0.5
"""Back ends are believed to make a route's requests above this weighted share of the reports."""
BELIEF_SECONDS = 60.0
"""A belief that is not confirmed for this long is dropped."""


class Origin(StrEnum):
    """Who makes the requests of a route."""

    CALLERS = "callers"
    BACK_ENDS = "back-ends"


ORIGIN_VALUES = frozenset(item.value for item in Origin)


class ServiceSilence:
    """Expected and received numbers of requests of one route from one service."""

    __slots__ = ("expected", "sent")

    def __init__(self) -> None:
        self.expected = 0.0
        self.sent = 0.0

    @property
    def is_conclusive(self) -> bool:
        """Whether enough requests were expected to draw a conclusion."""
        return self.expected >= MIN_EXPECTED

    @property
    def is_silent(self) -> bool:
        """Whether the service has sent next to nothing."""
        return self.expected >= MIN_EXPECTED * (1 + self.sent)


class _RouteCounts:
    """A gateway's counts of one route."""

    __slots__ = ("origin", "silences")

    def __init__(self) -> None:
        self.origin: Origin | None = None
        self.silences: dict[str, ServiceSilence] = {}


@policy(
    PolicyKind.CALLS_WITHIN,
    NestedCallPolicy.ALIKE,
    "Nested calls are treated like the requests of other callers.",
)
def no_origin_detection() -> None:
    """Detect no origins: nothing is advertised, and no request is treated as a nested call."""


@policy(
    PolicyKind.CALLS_WITHIN,
    NestedCallPolicy.FIRST,
    "Nested calls precede other requests of the rank of the executions that make them, and are "
    "refused only if their deadline cannot be met.",
    Parameter("expected_least", MIN_EXPECTED, "requests", "chance: 1 in 22,000 by Poisson"),
    Parameter(
        "half_life", HALF_LIFE_ARRIVALS, "arrivals", "enough for a service on 1 machine of 20"
    ),
    Parameter("believed", BELIEF_SECONDS, "seconds", "assumed: a restart of all gateways"),
)
class OriginDetector:
    """A gateway's counts of all routes. Times are monotonic seconds."""

    __slots__ = ("_has_absent_service", "_last_contact_at", "_routes", "_shares")

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._has_absent_service = True
        """Whether some service has no machine near the gateway, so that it cannot be ruled out that
        back ends make the requests."""
        self._last_contact_at: dict[str, float] = {}
        self._routes: dict[str, _RouteCounts] = {}

    def use_machines(self, near: Mapping[str, int], services: int) -> None:
        """Take over the number of machines of each service near the gateway, and of services."""
        total = sum(near.values())
        self._shares = {name: count / total for name, count in near.items() if count > 0}
        self._has_absent_service = not self._shares or len(self._shares) < services
        self._last_contact_at = {
            name: at for name, at in self._last_contact_at.items() if name in self._shares
        }
        for counts in self._routes.values():
            for name in counts.silences.keys() - self._shares.keys():
                del counts.silences[name]

    def note(self, route: str, service: str, now: float) -> bool:
        """Count a request from a machine of the service; return whether the origin has changed."""
        counts = self._routes.pop(route, None) or _RouteCounts()
        self._routes[route] = counts
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        if service not in self._shares:
            return False  # senders elsewhere give no information on the services nearby
        self._last_contact_at[service] = now
        for name, share in self._shares.items():
            silence = counts.silences.get(name)
            if silence is None:
                silence = counts.silences[name] = ServiceSilence()
            silence.sent = silence.sent * DECAY + (name == service)
            is_in_contact = now - self._last_contact_at.get(name, -math.inf) < CONTACT_SECONDS
            silence.expected = silence.expected * DECAY + (share if is_in_contact else 0.0)
        before = counts.origin
        counts.origin = self._infer_origin(counts)
        return counts.origin is not before

    def _infer_origin(self, counts: _RouteCounts) -> Origin | None:
        silences = counts.silences.values()
        if any(item.is_silent for item in silences):
            return Origin.BACK_ENDS
        if self._has_absent_service or not all(item.is_conclusive for item in silences):
            return None
        return Origin.CALLERS

    def origin(self, route: str) -> Origin | None:
        """Return who makes the route's requests, ``None`` while too little is known."""
        counts = self._routes.get(route)
        return counts.origin if counts is not None else None

    def is_nested(self, route: str, believed: bool) -> bool:
        """Tell whether a back end made a request; ``believed`` is the sender's belief."""
        origin = self.origin(route)
        return believed if origin is None else origin is Origin.BACK_ENDS

    def to_advertise(self, route: str, believed: bool) -> Origin | None:
        """Return what to advertise to a sender: that back ends call the route, or a correction."""
        origin = self.origin(route)
        return origin if believed or origin is Origin.BACK_ENDS else None

    def nested_routes(self) -> list[str]:
        """Return the routes that back ends call, by name."""
        routes = self._routes.items()
        return sorted(name for name, item in routes if item.origin is Origin.BACK_ENDS)


def origin_detector_for(policies: Policies) -> OriginDetector | None:
    """Return a gateway's detector of origins, ``None`` where it treats all requests alike."""
    return OriginDetector() if policies.calls_within is NestedCallPolicy.FIRST else None


class _Belief:
    """A sender's belief of who makes one route's requests."""

    __slots__ = ("share", "advertised_at")

    def __init__(self, share: float, now: float) -> None:
        self.share = share
        self.advertised_at = now


class AdvertisedOrigins:
    """Origins that gateways have advertised to a sender; an answer without one changes nothing."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _Belief] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are no longer in force."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note_advertised(self, route: str, origin: Origin, now: float) -> None:
        """Record a gateway's report on who makes the route's requests."""
        advertised = float(origin is Origin.BACK_ENDS)
        known = self._routes.get(route)
        if known is None or now - known.advertised_at > BELIEF_SECONDS:
            self._routes[route] = _Belief(advertised, now)
            return
        known.share += ADVERTISED_WEIGHT * (advertised - known.share)
        known.advertised_at = now

    def is_nested(self, route: str, now: float) -> bool:
        """Tell whether back ends make the route's requests, according to most reports."""
        known = self._routes.get(route)
        if known is None or now - known.advertised_at > BELIEF_SECONDS:
            return False
        return known.share > MAJORITY

    def nested_routes(self, now: float) -> list[str]:
        """Return the routes that back ends call, by name."""
        return sorted(name for name in self._routes if self.is_nested(name, now))
