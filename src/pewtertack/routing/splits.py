"""Sharing a route's requests between services by weight.

Smooth weighted round robin: over any run of requests each service's share is as near
to its weight as whole requests allow, and no service gets its share in one piece.
"""

from __future__ import annotations

from collections.abc import Container

import msgspec

from pewtertack.core.configuration.resolved import ResolvedRoute


class _WeightedRotation:
    """Whose turn it is among the services of one route."""

    def __init__(self, route: ResolvedRoute) -> None:
        self.route = route
        self._weights = {name: weight for name, weight in route.split.items() if weight}
        self._total = sum(self._weights.values())
        self._credits = dict.fromkeys(self._weights, 0)
        self._parts = {name: msgspec.structs.replace(route, service=name) for name in self._weights}

    def next(self) -> ResolvedRoute:
        for name, weight in self._weights.items():
            self._credits[name] += weight
        chosen = max(self._credits, key=lambda name: self._credits[name])
        self._credits[chosen] -= self._total
        return self._parts[chosen]


class SplitPicker:
    """Keeps the turns of every route that has a split."""

    def __init__(self) -> None:
        self._rotations: dict[str, _WeightedRotation] = {}

    def pick(self, route: ResolvedRoute) -> ResolvedRoute:
        """Return ``route`` with the service whose turn it is."""
        if not route.split:
            return route
        turns = self._rotations.get(route.name)
        if turns is None or (turns.route is not route and turns.route.split != route.split):
            turns = self._rotations[route.name] = _WeightedRotation(route)
        part = turns.next()
        return (
            part if turns.route is route else msgspec.structs.replace(route, service=part.service)
        )

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are in force no longer."""
        self._rotations = {name: turns for name, turns in self._rotations.items() if name in routes}
