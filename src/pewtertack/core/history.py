"""Log fields of a configuration in force, as read by the history checks of test runs."""

from __future__ import annotations

from pewtertack.core.configuration.resolved import ResolvedConfiguration

LISTED_ROUTES_MAX = 100
"""Routes of a larger configuration are only counted, to keep the log line short."""


def in_force_fields(configuration: ResolvedConfiguration) -> dict[str, object]:
    """Return the log fields that the history checks need about a configuration in force."""
    listed = configuration.routes if len(configuration.routes) <= LISTED_ROUTES_MAX else ()
    return {
        "revision": configuration.revision.number,
        "digest": configuration.revision.digest.hex(),
        "routes": {
            route.name: {
                "service": route.service,
                "secrets": sorted(set(route.header_secrets.values())),
            }
            for route in listed
        },
        "route_count": len(configuration.routes),
        "services": sorted(configuration.services),
        "secrets": sorted(configuration.secrets),
    }
