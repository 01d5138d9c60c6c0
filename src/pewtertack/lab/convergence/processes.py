"""One measurement on a fleet of real node processes."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import anyio
import anyio.abc

from pewtertack.lab.convergence import timing
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.convergence.recording import PointResult, Recording
from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.store_fleet.fleet import NodeLine, StoreFleet

POLL = 0.05


class ProcessMeasurement:
    """An edit in a fleet of its own.

    Args:
        point: what to measure.
        without: a mechanism that is switched off in all nodes.
        directory: takes settings and standard error.
    """

    def __init__(self, point: Point, without: str, directory: Path) -> None:
        self._point = point
        self._fleet = StoreFleet(point.nodes, without, directory, self._take_event, point.link_mbps)
        self._recording = Recording(self._fleet.names)

    async def run(self, seed: int) -> PointResult:
        """Start, edit, watch, and end all processes.

        Raises:
            LabError: a process did not start, or the fleet did not form.
        """
        async with anyio.create_task_group() as tasks:
            try:
                await self._fleet.start(tasks)
                result = await self._measure(seed)
            finally:
                await self._fleet.end()
                tasks.cancel_scope.cancel()
        return result

    async def _measure(self, seed: int) -> PointResult:
        await self._form()
        store = self._fleet.store
        store.faults = self._point.faults
        calls, began = store.calls, time.monotonic()
        self._recording.watch()
        await anyio.sleep(self._point.slow_before)
        version = self._fleet.written.add_routes(self._point.routes)
        self._recording.edited(version, time.monotonic())
        await anyio.sleep(timing.WATCHED_AFTER)
        with anyio.move_on_after(timing.GIVEN_UP_AFTER - timing.WATCHED_AFTER):
            while not self._recording.all_in_force:
                await anyio.sleep(POLL)
        seconds = time.monotonic() - began
        return self._recording.result(self._point, False, seed, seconds, store.calls - calls)

    async def _form(self) -> None:
        with anyio.move_on_after(timing.FORMATION):
            while not self._recording.all_serve:
                await anyio.sleep(POLL)
        if not self._recording.all_serve:
            raise FleetTimeoutError(f"not all nodes serve after {timing.FORMATION:g} s")
        await anyio.sleep(timing.SETTLE)

    def _take_event(self, name: str, line: NodeLine) -> None:
        self._recording.take(name, line.event, time.monotonic(), line.revision, line.reason)


async def measure_processes(point: Point, seed: int, without: str) -> PointResult:
    """Measure one point on real processes.

    Raises:
        LabError: a process did not start, or the fleet did not form.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-convergence-") as name:
        return await ProcessMeasurement(point, without, Path(name)).run(seed)
