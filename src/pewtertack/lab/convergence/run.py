"""Measures every point of a grid, one after the other."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from pewtertack.lab.convergence.measurement import measure_processes, measure_virtually
from pewtertack.lab.convergence.options import ConvergenceOptions, Point
from pewtertack.lab.convergence.recording import PointResult
from pewtertack.lab.disabled_mechanisms import disable_mechanism

Progress = Callable[[PointResult], None]


class ConvergenceReport(msgspec.Struct, frozen=True, kw_only=True):
    """A whole run."""

    label: str
    """Which program was measured."""
    without: str
    results: list[PointResult]


async def run_convergence(
    options: ConvergenceOptions, label: str, progress: Progress
) -> ConvergenceReport:
    """Measure all points; ``progress`` gets each result.

    Raises:
        LabError: a fleet could not be started or did not form.
    """
    if options.virtual and options.without:
        disable_mechanism(options.without)
    results = []
    for point in options.points:
        results.append(await _measure(point, options))
        progress(results[-1])
    return ConvergenceReport(label=label, without=options.without, results=results)


async def _measure(point: Point, options: ConvergenceOptions) -> PointResult:
    if options.virtual:
        # an event loop in virtual time runs in a thread of its own beside that of this task
        return await anyio.to_thread.run_sync(measure_virtually, point, options.seed)
    return await measure_processes(point, options.seed, options.without)
