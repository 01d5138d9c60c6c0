"""One measurement: an edit in a fleet of its own, of processes or in virtual time."""

from __future__ import annotations

import gc
import tempfile
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.abc

from pewtertack.lab.convergence import timing
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.convergence.recording import PointResult, Recording
from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.scale.memory import check_memory
from pewtertack.lab.scale.run import GARBAGE_THRESHOLD
from pewtertack.lab.simulation.virtual_loop import run_in_virtual_time
from pewtertack.lab.store_fleet.fleet import EventHandler, NodeFleet, NodeLogLine, StoreFleet
from pewtertack.lab.store_fleet.simulated import SimulatedStoreFleet

POLL = 0.05

FleetMaker = Callable[[EventHandler], NodeFleet]


class Measurement:
    """An edit in a fleet whose source is slow.

    Args:
        point: what to measure.
        make_fleet: returns the fleet; it gets what takes the nodes' events.
    """

    def __init__(self, point: Point, make_fleet: FleetMaker) -> None:
        self._point = point
        self._fleet = make_fleet(self._take_event)
        self._recording = Recording(self._fleet.names)

    async def run(self, virtual: bool, seed: int) -> PointResult:
        """Start, edit, watch, and end all nodes.

        Raises:
            LabError: a node did not start, the fleet did not form, or needs too much memory.
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
        await self._form()
        store = self._fleet.store
        store.faults = self._point.faults
        calls, began = store.calls, anyio.current_time()
        received = self._fleet.received_bytes()
        self._recording.watch()
        await anyio.sleep(self._point.slow_before)
        version = self._fleet.edited_store.add_routes(self._point.routes)
        self._recording.edited(version, anyio.current_time())
        await anyio.sleep(timing.WATCHED_AFTER)
        await self._wait_in_force()
        return self._recording.result(
            self._point,
            virtual,
            seed,
            anyio.current_time() - began,
            store.calls - calls,
            self._bytes_per_node(received),
        )

    async def _form(self) -> None:
        with anyio.move_on_after(timing.FORMATION):
            while not self._recording.all_serve:
                await anyio.sleep(POLL)
                check_memory()
        if not self._recording.all_serve:
            raise FleetTimeoutError(f"not all nodes serve after {timing.FORMATION:g} s")
        await anyio.sleep(timing.SETTLE)

    async def _wait_in_force(self) -> None:
        with anyio.move_on_after(timing.GIVEN_UP_AFTER - timing.WATCHED_AFTER):
            while not self._recording.all_in_force:
                await anyio.sleep(POLL)
                check_memory()

    def _bytes_per_node(self, before: int | None) -> float | None:
        received = self._fleet.received_bytes()
        if received is None or before is None:
            return None
        return (received - before) / len(self._fleet.names)

    def _take_event(self, name: str, line: NodeLogLine) -> None:
        now = anyio.current_time()
        self._recording.take(name, line.event, now, line.revision, line.reason)


async def measure_processes(point: Point, seed: int, without: str) -> PointResult:
    """Measure one point on real processes.

    Raises:
        LabError: a process did not start, or the fleet did not form.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-convergence-") as name:

        def make_fleet(handle_event: EventHandler) -> NodeFleet:
            return StoreFleet(point.nodes, without, Path(name), handle_event, point.link_mbps)

        return await Measurement(point, make_fleet).run(False, seed)


async def _measure_simulated(point: Point, seed: int) -> PointResult:
    def make_fleet(handle_event: EventHandler) -> NodeFleet:
        return SimulatedStoreFleet(point.nodes, seed, handle_event, point.link_mbps)

    return await Measurement(point, make_fleet).run(True, seed)


def measure_virtually(point: Point, seed: int) -> PointResult:
    """Measure one point in virtual time.

    Raises:
        LabError: the fleet did not form, or needs too much memory.
    """
    thresholds = gc.get_threshold()
    gc.set_threshold(GARBAGE_THRESHOLD)
    try:
        result: PointResult = run_in_virtual_time(_measure_simulated, point, seed)
    finally:
        gc.set_threshold(*thresholds)
    return result
