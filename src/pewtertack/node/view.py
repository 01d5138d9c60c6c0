"""Gives operators read access to the running parts of a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.node import NodeCore
from pewtertack.node.addresses import AddressStatus
from pewtertack.node.gate import ServingGate
from pewtertack.node.runtime import Runtime
from pewtertack.node.traffic import Traffic
from pewtertack.node.transport import PeerTransport

if TYPE_CHECKING:
    from pewtertack.node.status import MemberView, NodeStatus


class NodeView(msgspec.Struct, frozen=True):
    """State of the node for the admin interface. ``in_flight`` counts callers' requests."""

    core: NodeCore
    runtime: Runtime
    transport: PeerTransport
    gate: ServingGate
    traffic: Traffic
    addresses: AddressStatus
    in_flight: Callable[[], int]
    started_at: float
    reaches_all: Callable[[], bool]
    """Whether the proxy can reach every service; true without a proxy."""

    def status(self) -> NodeStatus:
        """Return the node's current state."""
        from pewtertack.node.status_page import (
            status_of,
        )  # imported here: most nodes are never queried

        return status_of(self)

    def members(self) -> tuple[MemberView, ...]:
        """Return the peers that the node knows, by name."""
        from pewtertack.node.status_page import members_of

        return members_of(self)

    def in_force(self) -> ResolvedConfiguration | None:
        """Return the configuration that the proxy uses."""
        return self.core.replication.replica.in_force

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        return self.gate.is_ready() and self.reaches_all()
