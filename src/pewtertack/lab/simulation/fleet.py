"""A whole fleet in virtual time, with its platform, network and history."""

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
from pewtertack.lab.simulation.network import Latencies, Packet, Place, SimulatedNetwork
from pewtertack.lab.simulation.platform import DocumentService
from pewtertack.lab.simulation.process import Recorder, SimulatedProcess, Surroundings
from pewtertack.lab.simulation.scheduler import Scheduler
from pewtertack.wire.messages import DocumentKind

EPOCH_MILLISECONDS = 1_000_000_000
"""Incarnations are start times; virtual time starts here."""

SEEDS = 3
"""Peer addresses that every process has in its settings file."""

DRAIN_TIME = 2.0
"""How long a drained process lives on, in seconds."""


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Shape of a fleet; nodes are dealt to zones in turn, zones to regions in blocks."""

    nodes: int = 9
    zones: int = 3
    regions: int = 1
    profile: TimingProfile = FAST
    seed: int = 0
    list_lag: float = 3.0
    list_interval: float = 0.5
    """The platform makes a new machine list at most this often, in seconds."""
    readers_limit: int = 32
    latencies: Latencies = field(default_factory=Latencies)
    source: SourceProperties = field(default_factory=SourceProperties)
    """What nodes are told of the configuration source."""
    frames: bool = False
    """Whether messages travel as real frames, and traffic and processor time are measured."""

    def zone_of(self, index: int) -> str:
        """Return the zone of node ``index``."""
        return f"zone-{index % self.zones}"

    def region_of(self, index: int) -> str:
        """Return the region of node ``index``."""
        return f"region-{(index % self.zones) * self.regions // self.zones}"


class SimulatedFleet:
    """Starts, kills, pauses and stops processes, edits the tree, and writes the history."""

    def __init__(
        self, settings: FleetSettings, document: Document, recorder: Recorder | None = None
    ) -> None:
        self.settings = settings
        self.scheduler = Scheduler()
        self.random = Random(settings.seed)
        self.lines: list[HistoryLine] = []
        self.processes: dict[str, SimulatedProcess] = {}
        self.network = SimulatedNetwork(
            self.scheduler, self.random, self._deliver, settings.latencies
        )
        self.source = self._service(DocumentKind.CONFIGURATION, 0.0)
        self.machine_list = self._service(DocumentKind.MACHINE_LIST, settings.list_lag)
        platform = {service.kind: service for service in (self.source, self.machine_list)}
        self._around = Surroundings(self.scheduler, self.network, platform, recorder or self)
        self._by_address: dict[str, SimulatedProcess] = {}
        self._machines: dict[str, dict[str, Any]] = {}
        self._list_due = False
        self._next_list_at = 0.0
        self.names = [f"node-{index}" for index in range(settings.nodes)]
        self.edit(document, valid=True)

    def _service(self, kind: DocumentKind, lag: float) -> DocumentService:
        return DocumentService(self.scheduler, self.random, kind, self.settings.readers_limit, lag)

    @property
    def now(self) -> float:
        """Virtual seconds since the start."""
        return self.scheduler.now

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.scheduler.run_until(self.now + seconds)

    # Processes.

    def start_all(self) -> None:
        """Start every node of the settings."""
        self.start(self.names)

    def start(self, names: Iterable[str]) -> None:
        """Start a new process for each of the names that has none."""
        for name in names:
            if name not in self.processes:
                self._start_process(name)
        self._publish_machines()

    def _start_process(self, name: str) -> None:
        identity = self._identity(name)
        self.network.place(identity.address, Place(identity.zone, identity.region))
        random = Random(f"{self.settings.seed}/{name}/{identity.incarnation}")
        settings = self.settings
        core = NodeCore(
            identity, settings.profile, random, self.now, self._seeds(), settings.source
        )
        codec = ProcessCodec(identity) if self.settings.frames else None
        process = SimulatedProcess(identity, core, self._around, self.settings.profile.tick, codec)
        self.processes[name] = process
        self._by_address[identity.address] = process
        self._machines[name] = {
            "role": MachineRole.NODE,
            "zone": identity.zone,
            "region": identity.region,
            "address": identity.address,
            "state": MachineState.LIVE,
        }
        self.lines.append(NodeStart(time=self.now, node=name, zone=identity.zone))
        process.start(self.settings.profile.tick * self.random.random())

    def _identity(self, name: str) -> NodeIdentity:
        index = int(name.rpartition("-")[2])
        incarnation = EPOCH_MILLISECONDS + round(self.now * 1000)
        zone, region = self.settings.zone_of(index), self.settings.region_of(index)
        return NodeIdentity(name, address_of(index), zone, region, incarnation)

    def _seeds(self) -> tuple[str, ...]:
        return tuple(address_of(index) for index in range(min(SEEDS, self.settings.nodes)))

    def kill(self, names: Iterable[str]) -> None:
        """Kill the processes of ``names`` without notice."""
        for name in names:
            process = self.processes.pop(name, None)
            if process is not None:
                process.kill()
                del self._machines[name]
                self.lines.append(NodeKill(time=self.now, node=name))
        self._publish_machines()

    def pause(self, names: Iterable[str]) -> None:
        """Pause the processes of ``names``."""
        for name in names:
            process = self.processes.get(name)
            if process is not None and not process.paused:
                process.pause()
                self.lines.append(NodePause(time=self.now, node=name))

    def resume(self, names: Iterable[str]) -> None:
        """Let the paused processes among ``names`` run on."""
        for name in names:
            process = self.processes.get(name)
            if process is not None and process.paused:
                self.lines.append(NodeResume(time=self.now, node=name))
                process.resume()

    def drain(self, name: str) -> None:
        """Stop a node by plan; its process ends a little later."""
        process = self.processes.get(name)
        if process is None or process.paused:
            return
        self.lines.append(NodeStop(time=self.now, node=name))
        self._machines[name]["state"] = MachineState.LEAVING
        self._publish_machines()
        process.drain()
        self.scheduler.after(DRAIN_TIME, lambda: self._end_drained(process))

    def _end_drained(self, process: SimulatedProcess) -> None:
        name = process.identity.name
        if self.processes.get(name) is process:
            del self.processes[name]
            del self._machines[name]
            process.kill()
            self._publish_machines()

    def _publish_machines(self) -> None:
        """Let the platform make a new list at its next time for that."""
        if self._list_due:
            return
        self._list_due = True
        self.scheduler.at(self._next_list_at, self._put_machine_list)

    def _put_machine_list(self) -> None:
        self._list_due = False
        self._next_list_at = self.now + self.settings.list_interval
        self.machine_list.put({name: dict(entry) for name, entry in self._machines.items()})

    def _deliver(self, packet: Packet) -> None:
        process = self._by_address.get(packet.target_address)
        if process is not None:
            process.receive(packet)

    # The platform and the network.

    def edit(self, document: Document, valid: bool) -> int:
        """Put a new tree at the source; ``valid`` tells whether nodes should accept it."""
        number = self.source.put(document)
        self._record_edit(number, document, valid)
        return number

    def fork(self, number: int, document: Document) -> None:
        """Let the source give out a second, valid tree under the number of the first."""
        self.source.fork(number, document)
        self._record_edit(number, document, valid=True)

    def _record_edit(self, number: int, document: Document, valid: bool) -> None:
        digest = digest_of(document).hex()
        self.lines.append(Edit(time=self.now, revision=number, digest=digest, valid=valid))

    def cut(self, from_zone: str, to_zone: str) -> None:
        """Lose every message from one zone to another."""
        self.network.cut(from_zone, to_zone)
        self.lines.append(Cut(time=self.now, from_zone=from_zone, to_zone=to_zone))

    def heal(self) -> None:
        """End every cut."""
        self.network.heal()
        self.lines.append(Heal(time=self.now))

    def record_source_fault(self, fault: str) -> None:
        """Record that the source's behaviour changed; ``none`` ends a fault."""
        self.lines.append(SourceFault(time=self.now, service="source", fault=fault))

    # The history.

    def record_log(self, node: str, incarnation: int, log: Log) -> None:
        """Record a numbered event of a process."""
        event = log.event
        common: dict[str, Any] = {
            "time": self.now,
            "number": event.number,
            "event": event.name,
            "node": node,
            "incarnation": incarnation,
        }
        if event is Event.REVISION_IN_FORCE:
            self.lines.append(_in_force_line(common, log.fields))
        else:
            self.lines.append(NodeEvent(**common))


def start_time_of(incarnation: int) -> float:
    """Return when the process ``incarnation`` started, in virtual seconds."""
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
