"""Measures all points of a grid in succession."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from pewtertack.lab.convergence.measurement import measure_processes, measure_virtually
from pewtertack.lab.convergence.options import ConvergenceOptions, GridPoint
from pewtertack.lab.convergence.recording import PointResult
from pewtertack.lab.disabled_mechanisms import disable_mechanism

ProgressHandler = Callable[[PointResult], None]


class ConvergenceReport(msgspec.Struct, frozen=True, kw_only=True):
    """The results of a complete run."""

    label: str
    """Name of the measured program."""
    without: str
    results: list[PointResult]


async def run_convergence(
    options: ConvergenceOptions, label: str, progress: ProgressHandler
) -> ConvergenceReport:
    """Measure all points; ``progress`` is called with each result.

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


async def _measure(point: GridPoint, options: ConvergenceOptions) -> PointResult:
    if options.virtual:
        # The event loop in virtual time needs a thread without a running event loop.
        return await anyio.to_thread.run_sync(measure_virtually, point, options.seed)
    return await measure_processes(point, options.seed, options.without)
