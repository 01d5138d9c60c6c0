"""Who makes a route's requests: callers, or back ends while they run other requests.

The wire does not tell: a back end calls from the address of its machine's callers. But
callers sit on machines of all services, and a back end beside machines of its own service
alone. A gateway therefore counts, for each route, how often each service's machines have been
silent where by their number they should have sent something (``OriginDetector``). It tells its
verdict with its answers, and senders remember it for a while (``AdvertisedOrigins``).

A route that back ends of *every* service call is never found out.
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
"""So many requests must have been expected from a service before its silence speaks, and as
many again for each that it has sent. Where arrivals are independent, a service stays silent so
long by chance in 1 of 22,000 cases."""
CONTACT_SECONDS = 2.0
"""A service of which nothing at all was heard for so long may be cut off or stopped: nothing
is expected of it."""
MAX_ROUTES = 512
"""Routes of which a gateway keeps counts; who has been idle longest goes first."""
ADVERTISED_WEIGHT = 0.2
"""Weight of the newest word in what a sender believes: some five gateways decide."""
MAJORITY = 0.5
BELIEF_SECONDS = 60.0
"""A belief that nobody has repeated for so long is given up."""


class Origin(StrEnum):
    """Who makes the requests of a route."""

    CALLERS = "callers"
    BACK_ENDS = "back-ends"


ORIGIN_VALUES = frozenset(item.value for item in Origin)


class ServiceSilence:
    """How many requests of one route a service was expected to send, and how many it sent."""

    __slots__ = ("expected", "sent")

    def __init__(self) -> None:
        self.expected = 0.0
        self.sent = 0.0

    @property
    def known(self) -> bool:
        """Whether enough was expected to say anything."""
        return self.expected >= MIN_EXPECTED

    @property
    def silent(self) -> bool:
        """Whether the service has sent next to nothing."""
        return self.expected >= MIN_EXPECTED * (1 + self.sent)


class _RouteCounts:
    """What is known of one route."""

    __slots__ = ("origin", "silences")

    def __init__(self) -> None:
        self.origin: Origin | None = None
        self.silences: dict[str, ServiceSilence] = {}


@policy(
    PolicyKind.CALLS_WITHIN,
    NestedCallPolicy.ALIKE,
    "What back ends call while they run other requests is treated as callers' requests are.",
)
def no_origin_detection() -> None:
    """Find nothing out: nobody is told, and no request is taken for a call within."""


@policy(
    PolicyKind.CALLS_WITHIN,
    NestedCallPolicy.FIRST,
    "Calls within go before other requests of the rank of the runs that make them, and are "
    "refused only when their deadline cannot be met.",
    Parameter("expected_least", MIN_EXPECTED, "requests", "chance: 1 in 22,000 by Poisson"),
    Parameter(
        "half_life", HALF_LIFE_ARRIVALS, "arrivals", "a service with 1 machine of 20 is judged"
    ),
    Parameter("believed", BELIEF_SECONDS, "seconds", "assumed: a restart of all gateways"),
)
class OriginDetector:
    """Counts of one gateway. Times are monotonic seconds."""

    __slots__ = ("_has_absent_service", "_last_contact_at", "_routes", "_shares")

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._has_absent_service = True
        """Whether some service has no machine near the gateway, so that nothing is expected."""
        self._last_contact_at: dict[str, float] = {}
        self._routes: dict[str, _RouteCounts] = {}

    def use_machines(self, near: Mapping[str, int], services: int) -> None:
        """Learn how many machines each service has near the gateway, and of how many services."""
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
        """A request of the route came from a machine of the service; tell if that is news."""
        counts = self._routes.pop(route, None) or _RouteCounts()
        self._routes[route] = counts
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        if service not in self._shares:
            return False  # whoever sends from elsewhere says nothing of the services near
        self._last_contact_at[service] = now
        for name, share in self._shares.items():
            known = counts.silences.get(name)
            if known is None:
                known = counts.silences[name] = ServiceSilence()
            known.sent = known.sent * DECAY + (name == service)
            is_in_contact = now - self._last_contact_at.get(name, -math.inf) < CONTACT_SECONDS
            known.expected = known.expected * DECAY + (share if is_in_contact else 0.0)
        before = counts.origin
        counts.origin = self._infer_origin(counts)
        return counts.origin is not before

    def _infer_origin(self, counts: _RouteCounts) -> Origin | None:
        silences = counts.silences.values()
        if any(item.silent for item in silences):
            return Origin.BACK_ENDS
        if self._has_absent_service or not all(item.known for item in silences):
            return None
        return Origin.CALLERS

    def origin(self, route: str) -> Origin | None:
        """Return who makes the route's requests, ``None`` while too little is known."""
        counts = self._routes.get(route)
        return counts.origin if counts is not None else None

    def is_nested(self, route: str, believed: bool) -> bool:
        """Tell whether a back end made a request; ``told`` is what its sender believes."""
        origin = self.origin(route)
        return believed if origin is None else origin is Origin.BACK_ENDS

    def to_advertise(self, route: str, believed: bool) -> Origin | None:
        """Return what to tell a sender: that back ends call the route, or that it is wrong."""
        origin = self.origin(route)
        return origin if believed or origin is Origin.BACK_ENDS else None

    def nested_routes(self) -> list[str]:
        """Return the routes that back ends call, by name."""
        routes = self._routes.items()
        return sorted(name for name, item in routes if item.origin is Origin.BACK_ENDS)


def origin_detector_for(policies: Policies) -> OriginDetector | None:
    """Return what a gateway finds origins out with, ``None`` where it treats all alike."""
    return OriginDetector() if policies.calls_within is NestedCallPolicy.FIRST else None


class _Belief:
    __slots__ = ("share", "advertised_at")

    def __init__(self, share: float, now: float) -> None:
        self.share = share
        self.advertised_at = now


class AdvertisedOrigins:
    """What gateways have told a sender. Those that say nothing change nothing."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _Belief] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are in force no longer."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note_advertised(self, route: str, origin: Origin, now: float) -> None:
        """A gateway's answer has told who makes the route's requests."""
        advertised = float(origin is Origin.BACK_ENDS)
        known = self._routes.get(route)
        if known is None or now - known.advertised_at > BELIEF_SECONDS:
            self._routes[route] = _Belief(advertised, now)
            return
        known.share += ADVERTISED_WEIGHT * (advertised - known.share)
        known.advertised_at = now

    def is_nested(self, route: str, now: float) -> bool:
        """Tell whether back ends make the route's requests, by what most have told."""
        known = self._routes.get(route)
        if known is None or now - known.advertised_at > BELIEF_SECONDS:
            return False
        return known.share > MAJORITY

    def nested_routes(self, now: float) -> list[str]:
        """Return the routes that back ends call, by name."""
        return sorted(name for name in self._routes if self.is_nested(name, now))
