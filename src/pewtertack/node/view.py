"""Reads the running parts of a node for its operators."""

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
    """The admin interface's source. ``in_flight`` counts callers' requests."""

    core: NodeCore
    runtime: Runtime
    transport: PeerTransport
    gate: ServingGate
    traffic: Traffic
    addresses: AddressStatus
    in_flight: Callable[[], int]
    started: float
    reaches_all: Callable[[], bool]
    """Whether the proxy can reach every service; true without a proxy."""

    def status(self) -> NodeStatus:
        """Return the node's state now."""
        from pewtertack.node.status_page import status_of  # few nodes are ever asked

        return status_of(self)

    def members(self) -> tuple[MemberView, ...]:
        """Return the peers that the node knows, by name."""
        from pewtertack.node.status_page import members_of

        return members_of(self)

    def in_force(self) -> ResolvedConfiguration | None:
        """Return the configuration by which the proxy serves."""
        return self.core.replication.replica.in_force

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.gate.is_ready() and self.reaches_all()
