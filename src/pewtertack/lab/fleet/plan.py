"""Plan of the processes of a fleet: names, zones and addresses."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from pewtertack.lab.backend.state import Capacity
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.relay.links import RelayedNode
from pewtertack.settings import Address

PLATFORM_IP = "127.0.0.1"
RELAY_IP = "127.0.200.1"
FIRST_ZONE_OCTET = 10
FIRST_BACKEND_OCTET = 101
SEED_COUNT = 4
FLEET_KEY = "70657774657274616b2d6c61622d6b6579d1ce5eed0123456789abcdef012345"

FIRST_START_MS = 1
"""Start of each back end in the first machine list, in Unix milliseconds."""


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and settings of a fleet. Times are in seconds."""

    zones: tuple[str, ...]
    services: Mapping[str, int]
    """Number of back ends of each service."""
    tree: Mapping[str, Any]
    nodes_per_zone: int = 2
    region: str = "local"
    profile: str = "fast"
    capacity: Capacity = Capacity()
    machine_list_lag: float = 1.0
    """Time until a change of the machine list becomes visible."""
    reader_limit: int = 32
    """Limit on concurrent reads of each platform service."""
    has_relay: bool = True
    separate_backends: bool = False
    """Whether each back end has its own process rather than each service."""
    disabled_mechanism: str = ""
    """Mechanism that is disabled in all nodes, see ``lab.disabled_mechanisms``; empty for none."""
    uses_eras: bool = False
    """Whether nodes read the eras of the platform's services (`lab.source.era_reader`)."""
    nodes_without_proxy: tuple[str, ...] = ()
    """Names of nodes that only replicate the configuration."""
    has_gateways: bool = False
    """Whether each back end has a node of its zone through whose gateway others reach it."""
    limits: Mapping[str, str] = field(default_factory=dict)
    """Section ``[limits]`` of every node's settings."""
    policies: Mapping[str, str] = field(default_factory=dict)
    """Section ``[policies]`` of every node's settings."""
    link_mbps: float = 0.0
    """Link rate in the settings of every node, in Mbit/s; 0 to omit it."""


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One node. ``advertised`` is an address of the relay if there is one."""

    name: str
    zone: str
    proxy: Address
    peer: Address
    admin: Address
    advertised: Address
    gateway: Address | None = None
    """Address at which others reach the local back end; ``None`` if there is none."""

    def relay_entry(self) -> RelayedNode:
        """Return the node's entry in the relay's list of nodes."""
        return RelayedNode(self.name, self.zone, self.peer, self.advertised)


@dataclass(frozen=True, slots=True)
class BackendPlan:
    """One back end with the name of the process that hosts it."""

    name: str
    service: str
    zone: str
    address: Address
    process: str
    gateway_node: str = ""
    """Node through whose gateway others reach it; empty if they call it directly."""


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A simulated service with an address for its users and one for the lab."""

    listen: Address
    control: Address


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """All processes of a fleet. ``backend_controls`` has control addresses by process name."""

    shape: FleetShape
    source: ServicePlan
    machines: ServicePlan
    relay_control: Address
    nodes: Mapping[str, NodePlan]
    backends: Mapping[str, BackendPlan]
    backend_controls: Mapping[str, Address]
    ports: PortAllocator
    """Reserves the addresses as long as the plan exists."""

    def machine_list(self) -> dict[str, dict[str, str | int]]:
        """Return the platform's machine list with all machines live."""
        machines = {node.name: _node_entry(node, self.shape.region) for node in self.nodes.values()}
        for backend in self.backends.values():
            machines[backend.name] = self._backend_entry(backend)
        return machines

    def local_backend(self, node: str) -> BackendPlan | None:
        """Return the back end that others reach through the gateway of a node."""
        local_backends = (
            backend for backend in self.backends.values() if backend.gateway_node == node
        )
        return next(local_backends, None)

    def local_backend_name(self, node: str) -> str:
        """Return the name of the local back end of a node; empty if there is none."""
        backend = self.local_backend(node)
        return backend.name if backend is not None else ""

    def _backend_entry(self, backend: BackendPlan) -> dict[str, str | int]:
        entry: dict[str, str | int] = {
            "role": "backend",
            "zone": backend.zone,
            "region": self.shape.region,
            "address": str(backend.address),
            "service": backend.service,
        }
        if backend.gateway_node:
            entry["gateway"] = str(self.nodes[backend.gateway_node].gateway)
            entry["slots"] = self.shape.capacity.slots
            entry["started_at"] = FIRST_START_MS
        return entry

    def seed_addresses(self) -> tuple[Address, ...]:
        """Return the advertised addresses of a few nodes, spread across the zones."""
        by_index = sorted(self.nodes.values(), key=lambda node: node.name.rpartition("-")[2])
        return tuple(node.advertised for node in by_index[:SEED_COUNT])

    def backends_of(self, process: str) -> list[BackendPlan]:
        """Return the back ends that a process hosts."""
        return [backend for backend in self.backends.values() if backend.process == process]


def plan_fleet(shape: FleetShape) -> FleetPlan:
    """Name all processes of a fleet and assign free addresses to them.

    Raises:
        LabUsageError: no free port was found, or a zone has fewer nodes than back ends.
    """
    ports = PortAllocator()
    nodes = _plan_nodes(shape, ports)
    backends = _plan_backends(shape, ports)
    if shape.has_gateways:
        nodes, backends = _assign_gateways(nodes, backends, ports)
    processes = dict.fromkeys(backend.process for backend in backends)
    return FleetPlan(
        shape=shape,
        source=ServicePlan(ports.allocate(PLATFORM_IP), ports.allocate(PLATFORM_IP)),
        machines=ServicePlan(ports.allocate(PLATFORM_IP), ports.allocate(PLATFORM_IP)),
        relay_control=ports.allocate(PLATFORM_IP),
        nodes={node.name: node for node in nodes},
        backends={backend.name: backend for backend in backends},
        backend_controls={process: ports.allocate(PLATFORM_IP) for process in processes},
        ports=ports,
    )


def _plan_nodes(shape: FleetShape, ports: PortAllocator) -> list[NodePlan]:
    nodes = []
    for zone_index, zone in enumerate(shape.zones):
        for index in range(1, shape.nodes_per_zone + 1):
            ip = f"127.0.{FIRST_ZONE_OCTET + zone_index}.{index}"
            peer = ports.allocate(ip)
            advertised = ports.allocate(RELAY_IP) if shape.has_relay else peer
            proxy, admin = ports.allocate(ip), ports.allocate(ip)
            nodes.append(NodePlan(f"{zone}-{index}", zone, proxy, peer, admin, advertised))
    return nodes


def _plan_backends(shape: FleetShape, ports: PortAllocator) -> list[BackendPlan]:
    backends = []
    for service, count in shape.services.items():
        for index in range(1, count + 1):
            zone_index = (index - 1) % len(shape.zones)
            address = ports.allocate(f"127.0.{FIRST_ZONE_OCTET + zone_index}.{FIRST_BACKEND_OCTET}")
            name = f"{service}-{index}"
            process = name if shape.separate_backends else f"{service}-backends"
            backends.append(BackendPlan(name, service, shape.zones[zone_index], address, process))
    return backends


def _assign_gateways(
    nodes: list[NodePlan], backends: list[BackendPlan], ports: PortAllocator
) -> tuple[list[NodePlan], list[BackendPlan]]:
    """Assign to each back end a node of its zone that gets a gateway.

    Raises:
        LabUsageError: a zone has fewer nodes than back ends.
    """
    nodes_by_name = {node.name: node for node in nodes}
    for index, backend in enumerate(backends):
        node = _first_without_gateway(nodes_by_name.values(), backend.zone)
        gateway = ports.allocate(node.proxy.host)
        nodes_by_name[node.name] = replace(node, gateway=gateway)
        backends[index] = replace(backend, gateway_node=node.name)
    return list(nodes_by_name.values()), backends


def _first_without_gateway(nodes: Iterable[NodePlan], zone: str) -> NodePlan:
    for node in nodes:
        if node.zone == zone and node.gateway is None:
            return node
    raise LabUsageError(f"zone {zone} has fewer nodes than back ends")


def _node_entry(node: NodePlan, region: str) -> dict[str, str | int]:
    return {"role": "node", "zone": node.zone, "region": region, "address": str(node.advertised)}
