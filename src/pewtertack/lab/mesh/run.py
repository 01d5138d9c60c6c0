"""Runs a mesh with faults and judges what ran against what was promised."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import anyio
import msgspec

from pewtertack.lab.mesh.faults import LANES, run_lane
from pewtertack.lab.mesh.mesh import Mesh
from pewtertack.lab.mesh.options import MeshOptions
from pewtertack.lab.mesh.record import MeshRecord, count_statuses

SETTLE_SECONDS = 4.0
"""Time without faults at the end, in which a refused request might still run."""


class MeshResult(msgspec.Struct, frozen=True):
    """What a run has found."""

    seed: int
    attempts: int
    statuses: dict[str, int]
    unsafe_runs: int
    """Executions of requests that may not run twice."""
    faults: dict[str, int]
    violations: list[str]
    traces: dict[str, str]
    """All that was recorded of each request whose promise was broken, by id."""

    @property
    def tested(self) -> bool:
        """Whether requests that may run once did run, and others were refused."""
        return self.unsafe_runs > 0 and "503" in self.statuses


@asynccontextmanager
async def _open_mesh(options: MeshOptions, directory: Path) -> AsyncIterator[Mesh]:
    async with anyio.create_task_group() as tasks:
        mesh = Mesh(options, directory, tasks)
        try:
            await mesh.start()
            yield mesh
        finally:
            await mesh.end()
            tasks.cancel_scope.cancel()


async def run_mesh(options: MeshOptions, directory: Path) -> MeshResult:
    """Run a mesh with faults and judge it.

    Raises:
        LabError: a node did not start.
    """
    async with _open_mesh(options, directory) as mesh:
        until = anyio.current_time() + options.seconds
        async with anyio.create_task_group() as lanes:
            lanes.start_soon(mesh.call_until, until)
            for lane in LANES.keys() - options.without:
                lanes.start_soon(partial(run_lane, mesh, lane, options.seed, until))
        await anyio.sleep(SETTLE_SECONDS)
        return _result(options, mesh.record)


def _result(options: MeshOptions, record: MeshRecord) -> MeshResult:
    violating = record.violating_ids()
    return MeshResult(
        options.seed,
        len(record.attempts),
        count_statuses(record.attempts),
        record.count_runs(),
        dict(sorted(record.faults.items())),
        record.violations(),
        {request_id: record.trace(request_id) for request_id in violating},
    )
