"""What the users' platform gives nodes: settings, the configuration, entries of back ends."""

from __future__ import annotations

from typing import Any

import msgspec

from pewtertack.lab.mesh.callers import HOST
from pewtertack.lab.mesh.machine import Machine, MachinePorts
from pewtertack.lab.mesh.shapes import HEALTH_PATH, MeshShape, RequestKind

CONFIGURATION_KEY = "op/config"
ENTRIES = "servers/"
EVACUATIONS = "op/evacuate/"
REGION = "r"
VALUE_BYTES = 1_048_576
LINK_MBPS = 1000.0
CONNECTION_LIMIT = 130
PRIORITY = 1
BOUNDS = {
    "Drain": "2000ms",
    "Grace": "6s",
    "ConfigApply": "2000ms",
    "RetryBudgetRatio": 0.2,
    "BudgetWindow": "10s",
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4_194_304,
    "HeaderTimeout": "5s",
    "IdleTimeout": "30s",
}


def settings_fields(
    name: str, machine: Machine, ports: MachinePorts, store: str, retry_slack: int
) -> dict[str, Any]:
    """Return the fields of a node's settings; ``store`` is the ``ip:port`` of the store."""
    host = machine.host
    return {
        "NodeName": name,
        "IpAddress": host,
        "Zone": machine.zone,
        "Region": REGION,
        "Bootstrap": True,
        "Application": f"{host}:{ports.application}",
        "Service": machine.service.name,
        "InternalPortRange": [ports.peer, ports.peer],
        "ListenAddresses": {
            "Inbound": f"{machine.gateway_host}:{ports.inbound}",
            "Outbound": f"{host}:{ports.outbound}",
            "Readiness": f"{host}:{ports.readiness}",
        },
        "Limits": {"BandwidthMbps": LINK_MBPS},
        "Platform": {"Address": store, "value_bytes": VALUE_BYTES},
        "Bounds": {**BOUNDS, "RetryBudgetSlack": retry_slack},
    }


def encode_entry(machine: Machine, ports: MachinePorts, state: str) -> bytes:
    """Return the entry of the back end at a machine; ``state`` is ``ready`` or ``draining``."""
    return msgspec.json.encode(
        {
            "Service": machine.service.name,
            "Address": f"{machine.host}:{ports.application}",
            "Zone": machine.zone,
            "Version": "v1",
            "State": state,
            "Slots": machine.service.slots,
            "ColdRemaining": "0ms",
            "Sequence": 1,
        }
    )


def encode_configuration(shape: MeshShape, version: int, timeout_factor: float) -> bytes:
    """Return a version of the configuration; the factor multiplies the routes' time-outs."""
    return msgspec.json.encode(
        {
            "Version": f"r{version}",
            "Routes": [_route(kind, shape.max_attempts, timeout_factor) for kind in shape.kinds],
            "Services": [
                {
                    "Name": service.name,
                    "HealthPath": HEALTH_PATH,
                    "ConnectionLimit": CONNECTION_LIMIT,
                }
                for service in shape.services
            ],
            "Limits": LIMITS,
        }
    )


def _route(kind: RequestKind, max_attempts: int, timeout_factor: float) -> dict[str, object]:
    return {
        "Name": kind.name,
        "Host": HOST,
        "PathPrefix": kind.path,
        "Kind": kind.kind,
        "Timeout": f"{kind.timeout * timeout_factor * 1000:.0f}ms",
        "TargetLatency": f"{kind.objective * 1000:.0f}ms",
        "Priority": PRIORITY,
        "Service": kind.service,
        "MaxAttempts": max_attempts,
    }
