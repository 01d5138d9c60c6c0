"""One machine of the mesh."""

from __future__ import annotations

import anyio
import msgspec

from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.mesh.backend import MeshBackend
from pewtertack.lab.mesh.callers import NodeCallers
from pewtertack.lab.mesh.relay import MachineLinks
from pewtertack.lab.mesh.shapes import ServiceShape


class Machine:
    """A node, the back end beside it and the callers there."""

    def __init__(self, host: str, zone: str, service: ServiceShape) -> None:
        self.host = host
        self.gateway_host = host
        """Where the node accepts requests of other nodes; they send them to ``host``, where a
        relay listens if the two differ."""
        self.links: MachineLinks | None = None
        self.zone = zone
        self.service = service
        self.backend: MeshBackend
        self.callers: NodeCallers
        self.process: LabProcess | None = None
        self.busy = anyio.Lock()
        """Held while the node's process is stopped, paused or started."""
        self.backend_busy = anyio.Lock()
        """Held while the back end ends and the next one starts."""
        self.scope = anyio.CancelScope()
        """Ends the back end's connections and its listener."""
        self.closed = anyio.Event()
        """Set once they have ended."""


class MachinePorts(msgspec.Struct, frozen=True):
    """Ports that all machines have in common."""

    application: int
    inbound: int
    outbound: int
    readiness: int
    peer: int
    store: int
    """Relayed connections to the store."""
