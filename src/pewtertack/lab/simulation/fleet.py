"""A simulated fleet in virtual time, with its platform, network and recorded history."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pewtertack.core.effects import Log
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import MachineRole, MachineState
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import FAST, SourceProperties, TimingProfile
from pewtertack.core.revision import Document, digest_of
from pewtertack.events import Event
from pewtertack.lab.records import (
    Cut,
    Edit,
    Heal,
    HistoryLine,
    NodeEvent,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
    RevisionInForce,
    RouteInForce,
    SourceFault,
)
from pewtertack.lab.simulation.codec import ProcessCodec
from pewtertack.lab.simulation.network import Latencies, Location, Packet, SimulatedNetwork
from pewtertack.lab.simulation.platform import DocumentService
from pewtertack.lab.simulation.process import ProcessEnvironment, Recorder, SimulatedProcess
from pewtertack.lab.simulation.scheduler import Scheduler
from pewtertack.wire.messages import DocumentKind

EPOCH_MILLISECONDS = 1_000_000_000
"""Start of virtual time. Incarnations are start times in milliseconds, as on a real node."""

SEED_COUNT = 3
"""Number of peer addresses that every process has in its settings file."""

DRAIN_SECONDS = 2.0
"""Time from the request to drain until the process ends, in seconds."""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of a fleet. Nodes are assigned to zones in turn, zones to regions in blocks."""

    nodes: int = 9
    zones: int = 3
    regions: int = 1
    profile: TimingProfile = FAST
    seed: int = 0
    list_lag: float = 3.0
    """Seconds until a new machine list is visible to readers."""
    list_interval: float = 0.5
    """Shortest time between two machine lists that the platform publishes, in seconds."""
    readers_limit: int = 32
    """Number of open reads beyond which the platform refuses a read of a document."""
    latencies: Latencies = field(default_factory=Latencies)
    source: SourceProperties = field(default_factory=SourceProperties)
    """Properties of the configuration source in the nodes' settings."""
    frames: bool = False
    """Whether messages are encoded as real frames, with traffic and processor time measured."""

    def zone_of(self, index: int) -> str:
        """Return the zone of node ``index``."""
        return f"zone-{index % self.zones}"

    def region_of(self, index: int) -> str:
        """Return the region of node ``index``."""
        return f"region-{(index % self.zones) * self.regions // self.zones}"


class SimulatedFleet:
    """Controls processes, network and platform of a fleet, and records the history.

    Args:
        settings: size, profile and latencies of the fleet.
        document: the first configuration tree.
        recorder: receives the nodes' events instead of the history.
    """

    def __init__(
        self, settings: FleetSettings, document: Document, recorder: Recorder | None = None
    ) -> None:
        self.settings = settings
        self.scheduler = Scheduler()
        self.random = Random(settings.seed)
        self.history: list[HistoryLine] = []
        self.processes: dict[str, SimulatedProcess] = {}
        self.network = SimulatedNetwork(
            self.scheduler, self.random, self._deliver, settings.latencies
        )
        self.source = self._create_service(DocumentKind.CONFIGURATION, 0.0)
        self.machine_list = self._create_service(DocumentKind.MACHINE_LIST, settings.list_lag)
        platform = {service.kind: service for service in (self.source, self.machine_list)}
        self._environment = ProcessEnvironment(
            self.scheduler, self.network, platform, recorder or self
        )
        self._process_by_address: dict[str, SimulatedProcess] = {}
        self._machine_entries: dict[str, dict[str, Any]] = {}
        self._list_scheduled = False
        self._next_list_at = 0.0
        self.names = [f"node-{index}" for index in range(settings.nodes)]
        self.edit(document, valid=True)

    def _create_service(self, kind: DocumentKind, lag: float) -> DocumentService:
        return DocumentService(self.scheduler, self.random, kind, self.settings.readers_limit, lag)

    @property
    def now(self) -> float:
        """Virtual time in seconds since the start."""
        return self.scheduler.now

    def run(self, seconds: float) -> None:
        """Advance virtual time by ``seconds`` and run all that is due."""
        self.scheduler.run_until(self.now + seconds)

    # Processes.

    def start_all(self) -> None:
        """Start all nodes of the fleet."""
        self.start(self.names)

    def start(self, names: Iterable[str]) -> None:
        """Start a new process for each node of ``names`` that has none."""
        for name in names:
            if name not in self.processes:
                self._start_process(name)
        self._publish_machines()

    def _start_process(self, name: str) -> None:
        identity = self._identity(name)
        self.network.set_location(identity.address, Location(identity.zone, identity.region))
        random = Random(f"{self.settings.seed}/{name}/{identity.incarnation}")
        settings = self.settings
        core = NodeCore(
            identity, settings.profile, random, self.now, self._seed_addresses(), settings.source
        )
        codec = ProcessCodec(identity) if self.settings.frames else None
        process = SimulatedProcess(
            identity, core, self._environment, self.settings.profile.tick, codec
        )
        self.processes[name] = process
        self._process_by_address[identity.address] = process
        self._machine_entries[name] = {
            "role": MachineRole.NODE,
            "zone": identity.zone,
            "region": identity.region,
            "address": identity.address,
            "state": MachineState.LIVE,
        }
        self.history.append(NodeStart(time=self.now, node=name, zone=identity.zone))
        process.start(self.settings.profile.tick * self.random.random())

    def _identity(self, name: str) -> NodeIdentity:
        index = int(name.rpartition("-")[2])
        incarnation = EPOCH_MILLISECONDS + round(self.now * 1000)
        zone, region = self.settings.zone_of(index), self.settings.region_of(index)
        return NodeIdentity(name, address_of(index), zone, region, incarnation)

    def _seed_addresses(self) -> tuple[str, ...]:
        return tuple(address_of(index) for index in range(min(SEED_COUNT, self.settings.nodes)))

    def kill(self, names: Iterable[str]) -> None:
        """Kill the processes of ``names`` without notice."""
        for name in names:
            process = self.processes.pop(name, None)
            if process is not None:
                process.kill()
                del self._machine_entries[name]
                self.history.append(NodeKill(time=self.now, node=name))
        self._publish_machines()

    def pause(self, names: Iterable[str]) -> None:
        """Pause the processes of ``names``."""
        for name in names:
            process = self.processes.get(name)
            if process is not None and not process.paused:
                process.pause()
                self.history.append(NodePause(time=self.now, node=name))

    def resume(self, names: Iterable[str]) -> None:
        """Resume the paused processes among ``names``."""
        for name in names:
            process = self.processes.get(name)
            if process is not None and process.paused:
                self.history.append(NodeResume(time=self.now, node=name))
                process.resume()

    def drain(self, name: str) -> None:
        """Shut a node down gracefully; its process ends ``DRAIN_SECONDS`` later."""
        process = self.processes.get(name)
        if process is None or process.paused:
            return
        self.history.append(NodeStop(time=self.now, node=name))
        self._machine_entries[name]["state"] = MachineState.LEAVING
        self._publish_machines()
        process.drain()
        self.scheduler.after(DRAIN_SECONDS, lambda: self._end_drained(process))

    def _end_drained(self, process: SimulatedProcess) -> None:
        name = process.identity.name
        if self.processes.get(name) is process:
            del self.processes[name]
            del self._machine_entries[name]
            process.kill()
            self._publish_machines()

    def _publish_machines(self) -> None:
        """Schedule a new machine list unless one is scheduled already."""
        if self._list_scheduled:
            return
        self._list_scheduled = True
        self.scheduler.at(self._next_list_at, self._put_machine_list)

    def _put_machine_list(self) -> None:
        self._list_scheduled = False
        self._next_list_at = self.now + self.settings.list_interval
        self.machine_list.put({name: dict(entry) for name, entry in self._machine_entries.items()})

    def _deliver(self, packet: Packet) -> None:
        process = self._process_by_address.get(packet.target_address)
        if process is not None:
            process.receive(packet)

    # Platform and network.

    def edit(self, document: Document, valid: bool) -> int:
        """Write a new tree to the source; ``valid`` is whether nodes should accept it."""
        number = self.source.put(document)
        self._record_edit(number, document, valid)
        return number

    def fork(self, number: int, document: Document) -> None:
        """Make the source return a second, valid tree under an existing number."""
        self.source.fork(number, document)
        self._record_edit(number, document, valid=True)

    def _record_edit(self, number: int, document: Document, valid: bool) -> None:
        digest = digest_of(document).hex()
        self.history.append(Edit(time=self.now, revision=number, digest=digest, valid=valid))

    def cut(self, from_zone: str, to_zone: str) -> None:
        """Drop all messages from one zone to another."""
        self.network.cut(from_zone, to_zone)
        self.history.append(Cut(time=self.now, from_zone=from_zone, to_zone=to_zone))

    def heal(self) -> None:
        """End every cut."""
        self.network.heal()
        self.history.append(Heal(time=self.now))

    def record_source_fault(self, fault: str) -> None:
        """Record that a fault of the source began; ``none`` records its end."""
        self.history.append(SourceFault(time=self.now, service="source", fault=fault))

    # History.

    def record_log(self, node: str, incarnation: int, log: Log) -> None:
        """Record an event that a process logged."""
        event = log.event
        common: dict[str, Any] = {
            "time": self.now,
            "number": event.number,
            "event": event.name,
            "node": node,
            "incarnation": incarnation,
        }
        if event is Event.REVISION_IN_FORCE:
            self.history.append(_in_force_line(common, log.fields))
        else:
            self.history.append(NodeEvent(**common))


def start_time_of(incarnation: int) -> float:
    """Return the virtual time in seconds at which the process ``incarnation`` started."""
    return (incarnation - EPOCH_MILLISECONDS) / 1000


def _in_force_line(common: dict[str, Any], fields: dict[str, Any]) -> RevisionInForce:
    routes = {
        name: RouteInForce(service=route["service"], secrets=tuple(route["secrets"]))
        for name, route in fields["routes"].items()
    }
    return RevisionInForce(
        **common,
        revision=fields["revision"],
        digest=fields["digest"],
        routes=routes,
        services=tuple(fields["services"]),
        secrets=tuple(fields["secrets"]),
    )


def address_of(index: int) -> str:
    """Return the simulated peer address of node ``index``."""
    return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7000"
