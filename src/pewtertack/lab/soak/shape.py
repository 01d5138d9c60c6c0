"""Fleet of a soak: two zones, and local back ends with few slots for most nodes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pewtertack.lab.backend.state import Capacity
from pewtertack.lab.fleet.plan import FleetShape
from pewtertack.lab.soak.mix import DOWNLOAD
from pewtertack.lab.soak.options import ZONES, SoakOptions

SERVICES = {"logbook": 2, "archive": 2}
"""Number of back ends by service, one in each zone."""
CAPACITY = Capacity(slots=1, queue=2)
DRAIN_NOTICE_SECONDS = 0.6
DRAIN_TIMEOUT_SECONDS = 1.5
LINK_MBPS = 4.0
"""Link rate in the settings of every node; the real network of the lab is faster."""
POLICIES = {"long_bodies": "in-turns"}
LIMITS = {
    "drain_notice": f"{DRAIN_NOTICE_SECONDS * 1000:.0f}ms",
    "drain_timeout": f"{DRAIN_TIMEOUT_SECONDS * 1000:.0f}ms",
}
"""Shorter than in production, but in about the same proportion."""
TREE: Mapping[str, Any] = {
    "route_defaults": {"timeout": "4s", "repeatable": False, "retry_limit": 2, "queue_limit": 32},
    "secrets": {"mesh-token": "soak-token"},
    "services": {"logbook": {}, "archive": {}},
    "routes": {
        "lookup": {
            "service": "logbook",
            "hosts": ["logbook.example"],
            "path_prefix": "/contacts",
            "methods": ["GET", "HEAD"],
            "class": "urgent",
            "timeout": "3s",
            "repeatable": True,
        },
        "records": {
            "service": "archive",
            "hosts": ["archive.example"],
            "path_prefix": "/records",
            "methods": ["GET", "HEAD"],
            "timeout": "6s",
            "repeatable": True,
        },
        "confirm": {
            "service": "logbook",
            "hosts": ["logbook.example"],
            "path_prefix": "/confirmations",
            "methods": ["POST"],
        },
        "upload": {
            "service": "archive",
            "hosts": ["archive.example"],
            "path_prefix": "/logs",
            "methods": ["POST"],
            "class": "bulk",
            "timeout": "20s",
            "target_latency": "15s",
        },
        DOWNLOAD: {
            "service": "logbook",
            "hosts": ["logbook.example"],
            "path_prefix": "/exports",
            "methods": ["GET", "HEAD"],
            "class": "bulk",
            "timeout": "20s",
            "target_latency": "6s",
            "repeatable": True,
        },
    },
    "zones": {zone: {} for zone in ZONES},
}


def soak_fleet_shape(options: SoakOptions) -> FleetShape:
    """Return the shape of a soak's fleet."""
    return FleetShape(
        zones=ZONES,
        services=SERVICES,
        tree=TREE,
        nodes_per_zone=options.nodes // len(ZONES),
        capacity=CAPACITY,
        separate_backends=True,
        disabled_mechanism=options.disabled_mechanism,
        has_gateways=True,
        uses_eras=True,
        limits=LIMITS,
        policies=POLICIES,
        link_mbps=LINK_MBPS,
    )
