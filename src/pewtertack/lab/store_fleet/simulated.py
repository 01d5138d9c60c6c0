"""Simulated nodes in virtual time that use the cores and store readers of real nodes."""

from __future__ import annotations

import signal
from random import Random

import anyio
import anyio.abc
import msgspec

from pewtertack.core.effects import Log, ReadDocument
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import PROFILES, SourceProperties, TimingProfile
from pewtertack.lab.simulation.codec import ProcessCodec
from pewtertack.lab.simulation.network import Location, Packet, SimulatedNetwork
from pewtertack.lab.simulation.process import ProcessEnvironment, SimulatedProcess
from pewtertack.lab.simulation.virtual_loop import LoopTimer
from pewtertack.lab.store_fleet.edited_store import EditedStore, zone_of
from pewtertack.lab.store_fleet.fleet import (
    BYTES_PER_MEGABIT,
    SEED_COUNT,
    EventHandler,
    NodeLogLine,
)
from pewtertack.lab.store_fleet.simulated_source import SimulatedReader, SimulatedSource
from pewtertack.node.assembly import WIDE_LINK_MBPS

PROFILE = "leased"
PEER_PORT = 7380
MAX_NODES_WITH_FRAMES = 500
"""Largest fleet whose messages are encoded as frames. Larger fleets exchange message objects,
which share their documents: sizes are unknown then, and links have no rate."""
REGION = "r"
EPOCH_MILLISECONDS = 1_000_000_000
DRAIN_SECONDS = 0.5
"""Time from the request to stop until the process ends."""


class StoreProcess(SimulatedProcess):
    """A simulated process that reads the store with the reader of a real node."""

    __slots__ = ("_reader", "_reads", "_tasks")

    def __init__(
        self,
        core: NodeCore,
        environment: ProcessEnvironment,
        tick: float,
        reader: SimulatedReader,
        tasks: anyio.abc.TaskGroup,
        frames: bool,
    ) -> None:
        codec = ProcessCodec(core.identity) if frames else None
        super().__init__(core.identity, core, environment, tick, codec)
        self._reader = reader
        self._tasks = tasks
        self._reads: dict[anyio.CancelScope, None] = {}

    def kill(self) -> None:
        """End the process at once, as after SIGKILL."""
        super().kill()
        for read in list(self._reads):
            read.cancel()

    def _read(self, effect: ReadDocument) -> None:
        self._tasks.start_soon(self._read_store, effect)

    async def _read_store(self, effect: ReadDocument) -> None:
        with anyio.CancelScope() as read:
            self._reads[read] = None
            try:
                answer = await self._reader.read(effect)
            finally:
                del self._reads[read]
            self.accept(msgspec.structs.replace(answer, read_id=effect.read_id))


class SimulatedStoreFleet:
    """Simulated nodes in three zones that read one store, on an event loop in virtual time.

    Args:
        nodes: number of nodes.
        seed: decides the nodes' random choices and the delays of the network.
        handle_event: called with every event of the nodes.
        link_mbps: rate of each node's machine in each direction; 0 for no limit.
        first_revision: the store's revision before its first write.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        handle_event: EventHandler,
        link_mbps: float = 0.0,
        first_revision: int = 0,
    ) -> None:
        self._seed = seed
        self._uses_frames = nodes <= MAX_NODES_WITH_FRAMES
        self._handle_event = handle_event
        self._random = Random(seed)
        self._timer = LoopTimer()
        self._profile: TimingProfile = PROFILES[PROFILE]
        self._properties = _create_source_properties(link_mbps)
        self.names = [_node_name(index) for index in range(nodes)]
        self.edited_store = EditedStore(self.names, first_revision)
        self.store = self.edited_store.store
        self._source = SimulatedSource(self.store)
        rate = link_mbps * BYTES_PER_MEGABIT
        self._network = SimulatedNetwork(self._timer, self._random, self._deliver, link_rate=rate)
        self._environment = ProcessEnvironment(self._timer, self._network, {}, self)
        self._processes: dict[str, StoreProcess] = {}

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all nodes."""
        for name in self.names:
            await self.start_node(tasks, name)

    async def end(self) -> None:
        """Kill all nodes."""
        for process in self._processes.values():
            process.kill()

    async def start_node(self, tasks: anyio.abc.TaskGroup, name: str) -> None:
        """Start the process of a node that has none."""
        index, address, now = self.names.index(name), _peer_address(name), self._timer.now
        zone = zone_of(index)
        started_at = EPOCH_MILLISECONDS + round(now * 1000)
        identity = NodeIdentity(name, address, zone, REGION, started_at)
        self._network.set_location(address, Location(zone, REGION))
        seeds = tuple(_peer_address(seed) for seed in self.names[:SEED_COUNT] if seed != name)
        random = Random(f"{self._seed}/{name}/{started_at}")
        core = NodeCore(identity, self._profile, random, now, seeds, self._properties)
        reader = SimulatedReader(self._source, 0, PEER_PORT, lambda: self._timer.now)
        tick = self._profile.tick
        process = StoreProcess(core, self._environment, tick, reader, tasks, self._uses_frames)
        self._processes[address] = process
        process.start(tick * self._random.random())

    async def stop_node(self, name: str, stop_signal: signal.Signals) -> None:
        """Stop or kill the process of a node."""
        process = self._processes[_peer_address(name)]
        if stop_signal is signal.SIGTERM:
            process.drain()
            await anyio.sleep(DRAIN_SECONDS)
        process.kill()
        del self._processes[_peer_address(name)]

    def evacuated_zones(self, name: str) -> set[str]:
        """Return the zones that the configuration in force at a running node lists."""
        in_force = self._processes[_peer_address(name)].core.replication.replica.in_force
        return set(in_force.evacuated) if in_force is not None else set()

    def cut_watches(self) -> int:
        """Cut all watches without a response and return their number."""
        return self._source.cut_watches()

    def received_bytes(self) -> int | None:
        """Return the number of bytes that nodes received from each other, if frames are used."""
        if not self._uses_frames:
            return None
        traffic = self._network.traffic.values()
        return sum(node.received_bytes.total() for node in traffic)

    def record_log(self, node: str, _: int, log: Log) -> None:
        """Handle an event that a process logged."""
        fields = log.fields
        line = NodeLogLine(log.event.name, fields.get("revision", 0), fields.get("reason", ""))
        self._handle_event(node, line)

    def _deliver(self, packet: Packet) -> None:
        process = self._processes.get(packet.target_address)
        if process is not None:
            process.receive(packet)


def _create_source_properties(link_mbps: float) -> SourceProperties:
    """Return the properties of the store that a node would get from its settings."""
    return SourceProperties(
        durable=True,
        wide_link=link_mbps >= WIDE_LINK_MBPS,
        narrow_link=0 < link_mbps < WIDE_LINK_MBPS,
    )


def _node_name(index: int) -> str:
    return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"


def _peer_address(name: str) -> str:
    return f"{name}:{PEER_PORT}"
