"""Sample status reports of nodes, for tests of the commands that query nodes."""

from __future__ import annotations

from typing import Any

from pewtertack.cli.status_reports import NodeReport
from pewtertack.node.addresses import AddressStatus
from pewtertack.node.status import (
    ByteStatus,
    NodeStatus,
    RevisionStatus,
    TrafficStatus,
)

NOW = 1000.0
"""Unix time of every response."""
NO_BYTES = ByteStatus(0, 0)


def node_status(name: str, in_force: int = 7, **other: Any) -> NodeStatus:
    """Return the status of a serving node; ``held`` and ``committed`` as numbers."""
    held = other.pop("held", in_force)
    committed = other.pop("committed", in_force)
    fields: dict[str, Any] = {
        "name": name,
        "zone": "z",
        "region": "r",
        "incarnation": 1,
        "profile": "direct",
        "phase": "serving",
        "serving": True,
        "uptime": 100.0,
        "addresses": AddressStatus("", "", "", ""),
        "held": RevisionStatus(held),
        "committed": RevisionStatus(committed),
        "in_force": RevisionStatus(in_force),
        "in_force_since": NOW - 50.0,
        "evacuated": (),
        "reading": False,
        "source_age": None,
        "machine_list_age": None,
        "machine_list_number": 1,
        "peers": {"alive": 1},
        "last_rejection": None,
        "stale_answers": 0,
        "conflicts": 0,
        "in_flight": 0,
        "traffic": TrafficStatus(NO_BYTES, NO_BYTES, NO_BYTES, {}, {}, {}),
        "newest_heard": max(in_force, held),
    }
    return NodeStatus(**{**fields, **other})


def report(status: NodeStatus) -> NodeReport:
    """Return the report of a node that responded."""
    return NodeReport(f"http://{status.name}", status, "", NOW)


def unreachable(name: str) -> NodeReport:
    """Return the report of a node that did not respond."""
    return NodeReport(f"http://{name}", None, "no response within 3 s", NOW)
