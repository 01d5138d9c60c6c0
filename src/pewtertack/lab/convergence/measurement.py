"""Measures an edit in a fleet started for it, of real processes or in virtual time."""

from __future__ import annotations

import gc
import tempfile
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.abc

from pewtertack.lab.convergence import timing
from pewtertack.lab.convergence.options import GridPoint
from pewtertack.lab.convergence.recording import EventRecording, PointResult
from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.scale.memory import check_memory
from pewtertack.lab.scale.run import GC_THRESHOLD_ALLOCATIONS
from pewtertack.lab.simulation.virtual_loop import run_in_virtual_time
from pewtertack.lab.store_fleet.fleet import EventHandler, NodeFleet, NodeLogLine, StoreFleet
from pewtertack.lab.store_fleet.simulated import SimulatedStoreFleet

POLL_INTERVAL_SECONDS = 0.05

FleetFactory = Callable[[EventHandler], NodeFleet]


class Measurement:
    """Measures an edit in a fleet whose source is slow.

    Args:
        point: size of the fleet and conditions of the measurement.
        make_fleet: creates the fleet; its argument is the handler of the nodes' events.
    """

    def __init__(self, point: GridPoint, make_fleet: FleetFactory) -> None:
        self._point = point
        self._fleet = make_fleet(self._record_event)
        self._recording = EventRecording(self._fleet.names)

    async def run(self, virtual: bool, seed: int) -> PointResult:
        """Start the fleet, make the edit, measure, and end all nodes.

        Raises:
            LabError: a node did not start, or the fleet did not form or needed too much memory.
        """
        async with anyio.create_task_group() as tasks:
            try:
                await self._fleet.start(tasks)
                result = await self._measure(virtual, seed)
            finally:
                await self._fleet.end()
                tasks.cancel_scope.cancel()
        return result

    async def _measure(self, virtual: bool, seed: int) -> PointResult:
        await self._wait_formation()
        store = self._fleet.store
        store.faults = self._point.faults
        calls_before, started_at = store.calls, anyio.current_time()
        received_bytes = self._fleet.received_bytes()
        self._recording.start_counting()
        await anyio.sleep(self._point.slow_before)
        version = self._fleet.edited_store.add_routes(self._point.routes)
        self._recording.record_edit(version, anyio.current_time())
        await anyio.sleep(timing.MIN_SECONDS_AFTER_EDIT)
        await self._wait_in_force()
        return self._recording.result(
            self._point,
            virtual,
            seed,
            anyio.current_time() - started_at,
            store.calls - calls_before,
            self._bytes_per_node(received_bytes),
        )

    async def _wait_formation(self) -> None:
        with anyio.move_on_after(timing.FORMATION_TIMEOUT_SECONDS):
            while not self._recording.all_serving:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
                check_memory()
        if not self._recording.all_serving:
            raise FleetTimeoutError(
                f"not all nodes serve after {timing.FORMATION_TIMEOUT_SECONDS:g} s"
            )
        await anyio.sleep(timing.SETTLE_SECONDS)

    async def _wait_in_force(self) -> None:
        with anyio.move_on_after(timing.MAX_SECONDS_AFTER_EDIT - timing.MIN_SECONDS_AFTER_EDIT):
            while not self._recording.all_in_force:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
                check_memory()

    def _bytes_per_node(self, bytes_before: int | None) -> float | None:
        received_bytes = self._fleet.received_bytes()
        if received_bytes is None or bytes_before is None:
            return None
        return (received_bytes - bytes_before) / len(self._fleet.names)

    def _record_event(self, name: str, line: NodeLogLine) -> None:
        now = anyio.current_time()
        self._recording.record_event(name, line.event, now, line.revision, line.reason)


async def measure_processes(point: GridPoint, seed: int, without: str) -> PointResult:
    """Measure one point on real processes.

    Raises:
        LabError: a process did not start, or the fleet did not form.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-convergence-") as name:

        def make_fleet(handle_event: EventHandler) -> NodeFleet:
            return StoreFleet(point.nodes, without, Path(name), handle_event, point.link_mbps)

        return await Measurement(point, make_fleet).run(False, seed)


async def _measure_simulated(point: GridPoint, seed: int) -> PointResult:
    def make_fleet(handle_event: EventHandler) -> NodeFleet:
        return SimulatedStoreFleet(point.nodes, seed, handle_event, point.link_mbps)

    return await Measurement(point, make_fleet).run(True, seed)


def measure_virtually(point: GridPoint, seed: int) -> PointResult:
    """Measure one point in virtual time.

    Raises:
        LabError: the fleet did not form, or needed too much memory.
    """
    thresholds = gc.get_threshold()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    try:
        result: PointResult = run_in_virtual_time(_measure_simulated, point, seed)
    finally:
        gc.set_threshold(*thresholds)
    return result
