"""Splits a route's requests between services by weight.

Smooth weighted round robin: over any sequence of requests each service's share is as close
to its weight as whole requests allow, and the requests of a service are spread evenly.
"""

from __future__ import annotations

from collections.abc import Container

import msgspec

from pewtertack.core.configuration.resolved import ResolvedRoute


class _WeightedRotation:
    """Rotation of one route's services."""

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
    """Rotations of all routes that have a split."""

    def __init__(self) -> None:
        self._rotations: dict[str, _WeightedRotation] = {}

    def pick(self, route: ResolvedRoute) -> ResolvedRoute:
        """Return ``route`` with the service whose turn it is."""
        if not route.split:
            return route
        rotation = self._rotations.get(route.name)
        if rotation is None or (
            rotation.route is not route and rotation.route.split != route.split
        ):
            rotation = self._rotations[route.name] = _WeightedRotation(route)
        part = rotation.next()
        return (
            part
            if rotation.route is route
            else msgspec.structs.replace(route, service=part.service)
        )

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are no longer in force."""
        self._rotations = {
            name: rotation for name, rotation in self._rotations.items() if name in routes
        }
