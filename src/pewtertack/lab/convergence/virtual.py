"""One measurement in virtual time: simulated nodes with the readers that real ones have."""

from __future__ import annotations

import gc
from random import Random
from typing import Any

import anyio
import anyio.abc

from pewtertack.core.effects import Log, ReadDocument
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import PROFILES, SourceProperties, TimingProfile
from pewtertack.lab.convergence import timing
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.convergence.recording import PointResult, Recording
from pewtertack.lab.convergence.simulated_source import SimulatedReader
from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.scale.memory import check_memory
from pewtertack.lab.scale.run import GARBAGE_THRESHOLD
from pewtertack.lab.simulation.codec import ProcessCodec
from pewtertack.lab.simulation.network import Packet, Place, SimulatedNetwork
from pewtertack.lab.simulation.process import SimulatedProcess, Surroundings
from pewtertack.lab.simulation.virtual_loop import LoopTimer, run_virtually
from pewtertack.lab.store_fleet.written import EditedStore, zone_of
from pewtertack.node.assembly import WIDE_LINK_MBPS

PROFILE = "leased"
PEER_PORT = 7380
REGION = "r"
EPOCH_MILLISECONDS = 1_000_000_000
SEEDS = 3
STEP = 0.25


class StoreProcess(SimulatedProcess):
    """A simulated process that reads the store as a real node does."""

    __slots__ = ("_reader", "_tasks")

    def __init__(
        self,
        core: NodeCore,
        around: Surroundings,
        codec: ProcessCodec | None,
        reader: SimulatedReader,
        tasks: anyio.abc.TaskGroup,
        tick: float,
    ) -> None:
        super().__init__(core.identity, core, around, tick, codec)
        self._reader = reader
        self._tasks = tasks

    def _read(self, effect: ReadDocument) -> None:
        self._tasks.start_soon(self._read_store, effect)

    async def _read_store(self, effect: ReadDocument) -> None:
        self.take(await self._reader.read(effect))


class VirtualFleet:
    """A store and simulated nodes.

    Args:
        point: what to measure.
        seed: decides the nodes' choices and the network's delays.
    """

    def __init__(self, point: Point, seed: int) -> None:
        self._point = point
        self._seed = seed
        self._random = Random(seed)
        self._timer = LoopTimer()
        self._source = _source_properties(point.link_mbps)
        self._profile: TimingProfile = PROFILES[PROFILE]
        self._hosts = [_host_of(index) for index in range(point.nodes)]
        self._written = EditedStore(self._hosts)
        self._store = self._written.store
        self._recording = Recording(self._hosts)
        self._network = SimulatedNetwork(
            self._timer, self._random, self._deliver, link_rate=point.link_rate
        )
        self._around = Surroundings(self._timer, self._network, {}, self)
        self._processes: dict[str, StoreProcess] = {}

    async def measure(self) -> PointResult:
        """Start, edit and watch.

        Raises:
            FleetTimeoutError: the fleet did not form.
            MemoryLimitError: it would take half of the machine's memory.
        """
        async with anyio.create_task_group() as tasks:
            for index in range(len(self._hosts)):
                self._start_process(index, tasks)
            await self._form()
            self._store.faults = self._point.faults
            calls, began = self._store.calls, self._timer.now
            received = self._received_bytes()
            self._recording.watch()
            await anyio.sleep(self._point.slow_before)
            self._edit()
            await anyio.sleep(timing.WATCHED_AFTER)
            await self._wait_in_force()
            result = self._recording.result(
                self._point,
                True,
                self._seed,
                self._timer.now - began,
                self._store.calls - calls,
                (self._received_bytes() - received) / len(self._hosts),
            )
            tasks.cancel_scope.cancel()
        return result

    def record_log(self, node: str, _: int, log: Log) -> None:
        """Take a numbered event of a process."""
        fields: dict[str, Any] = log.fields
        revision, reason = fields.get("revision", 0), fields.get("reason", "")
        self._recording.take(node, log.event.name, self._timer.now, revision, reason)

    async def _form(self) -> None:
        with anyio.move_on_after(timing.FORMATION):
            while not self._recording.all_serve:
                await anyio.sleep(STEP)
                check_memory()
        if not self._recording.all_serve:
            raise FleetTimeoutError(f"not all nodes serve after {timing.FORMATION:g} s")
        await anyio.sleep(timing.SETTLE)

    async def _wait_in_force(self) -> None:
        with anyio.move_on_after(timing.GIVEN_UP_AFTER - timing.WATCHED_AFTER):
            while not self._recording.all_in_force:
                await anyio.sleep(STEP)
                check_memory()

    def _edit(self) -> None:
        version = self._written.add_routes(self._point.routes)
        self._recording.edited(version, self._timer.now)

    def _start_process(self, index: int, tasks: anyio.abc.TaskGroup) -> None:
        host = self._hosts[index]
        address = f"{host}:{PEER_PORT}"
        zone = zone_of(index)
        identity = NodeIdentity(host, address, zone, REGION, EPOCH_MILLISECONDS + index)
        self._network.place(address, Place(zone, REGION))
        seeds = tuple(f"{seed}:{PEER_PORT}" for seed in self._hosts[:SEEDS] if seed != host)
        random = Random(f"{self._seed}/{host}")
        core = NodeCore(identity, self._profile, random, self._timer.now, seeds, self._source)
        reader = SimulatedReader(self._store, 0, PEER_PORT, lambda: self._timer.now)
        codec, tick = ProcessCodec(identity), self._profile.tick
        process = StoreProcess(core, self._around, codec, reader, tasks, tick)
        self._processes[address] = process
        process.start(tick * self._random.random())

    def _deliver(self, packet: Packet) -> None:
        process = self._processes.get(packet.target_address)
        if process is not None:
            process.receive(packet)

    def _received_bytes(self) -> int:
        traffic = self._network.traffic.values()
        return sum(node.received_bytes.total() for node in traffic)


def _source_properties(link_mbps: float) -> SourceProperties:
    """Return what a node is told of the store, as from its settings."""
    return SourceProperties(
        durable=True,
        wide_link=link_mbps >= WIDE_LINK_MBPS,
        narrow_link=0 < link_mbps < WIDE_LINK_MBPS,
    )


def _host_of(index: int) -> str:
    return f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"


async def _measure(point: Point, seed: int) -> PointResult:
    return await VirtualFleet(point, seed).measure()


def measure_virtually(point: Point, seed: int) -> PointResult:
    """Measure one point in virtual time.

    Raises:
        LabError: the fleet did not form, or needs too much memory.
    """
    thresholds = gc.get_threshold()
    gc.set_threshold(GARBAGE_THRESHOLD)
    try:
        result: PointResult = run_virtually(_measure, point, seed)
    finally:
        gc.set_threshold(*thresholds)
    return result
