"""Runs a soak: fleet, callers, concurrent faults, settling and verdicts."""

from __future__ import annotations

import math
import random
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from pewtertack.errors import LabError
from pewtertack.lab.errors import flatten_exception_group
from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import plan_fleet
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.history.checker import check_history
from pewtertack.lab.history.verdicts import CheckBounds
from pewtertack.lab.report.report import routes_of
from pewtertack.lab.scenarios.context import ScenarioContext
from pewtertack.lab.scenarios.edits import TreeEditor
from pewtertack.lab.scenarios.runner import stderr_problems
from pewtertack.lab.soak.context import CALLERS_PER_NODE, SoakContext
from pewtertack.lab.soak.faults import Lane, ScheduledFault, schedule_faults
from pewtertack.lab.soak.mix import MIXED_TRAFFIC
from pewtertack.lab.soak.options import SoakOptions
from pewtertack.lab.soak.progress import Progress
from pewtertack.lab.soak.resources import ResourceMonitor
from pewtertack.lab.soak.result import SoakResult
from pewtertack.lab.soak.returns import leaving_across_restore
from pewtertack.lab.soak.shape import soak_fleet_shape

BOUNDS = CheckBounds(convergence=12.0, recovery=30.0)
"""The users' bound of 12 s, and time to recover for a node that starts while the source is down."""
SETTLE_SECONDS = BOUNDS.convergence + 1.0
"""Time without faults at the end, so that the last edits are judged."""

LinePrinter = Callable[[str], None]


class SoakRun:
    """One soak of a fleet that has been entered but has no nodes yet.

    Args:
        fleet: the fleet.
        options: the options of the soak.
        print_line: called with lines of progress.
    """

    def __init__(self, fleet: Fleet, options: SoakOptions, print_line: LinePrinter) -> None:
        self.options = options
        self.monitor = ResourceMonitor(fleet)
        self.interrupted_at: float | None = None
        """When SIGINT was received; what happens after it is the termination of processes."""
        self._fleet = fleet
        editor = TreeEditor(fleet.plan.shape.tree, options.seed)
        scenario = ScenarioContext(fleet, random.Random(f"soak:{options.seed}"), editor)
        self.context = SoakContext(scenario, options.seed)
        self._progress = Progress(fleet.recorder, self.context.fault_counts, BOUNDS, print_line)

    async def run(self) -> None:
        """Run to the end, or until SIGINT."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._watch_interrupt, tasks.cancel_scope)
            await self._fleet.start_nodes()
            await self._fleet.wait_serving()
            tasks.start_soon(self.monitor.run)
            tasks.start_soon(self._progress.run)
            callers = await self._start_callers()
            await self._run_lanes()
            await self._settle(callers)
            tasks.cancel_scope.cancel()

    async def _watch_interrupt(
        self, scope: anyio.CancelScope, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        with anyio.open_signal_receiver(signal.SIGINT) as signals:
            task_status.started()
            async for _ in signals:
                self.interrupted_at = time.time()
                scope.cancel()
                return

    async def _start_callers(self) -> LabProcess:
        return await self._fleet.start_persistent_callers(
            "callers", self.options.seed, CALLERS_PER_NODE, MIXED_TRAFFIC
        )

    async def _run_lanes(self) -> None:
        end = time.monotonic() + self.options.seconds
        async with anyio.create_task_group() as lanes:
            for lane in Lane:
                lanes.start_soon(self._run_lane, lane, end)

    async def _run_lane(self, lane: Lane, end: float) -> None:
        """Inject one fault after the other until ``end``; the last one is completed."""
        for scheduled in schedule_faults(lane, self.options.seed):
            await anyio.sleep(scheduled.gap_seconds)
            if time.monotonic() >= end:
                return
            await self._inject(scheduled)

    async def _inject(self, scheduled: ScheduledFault) -> None:
        self.context.fault_counts[scheduled.kind.name] += 1
        try:
            await scheduled.kind.body(self.context, random.Random(scheduled.seed))
        except* (LabError, TimeoutError) as group:
            self.context.scenario.problems += [
                f"{scheduled.kind.name}: {type(error).__name__}: {error}"
                for error in flatten_exception_group(group)
            ]

    async def _settle(self, callers: LabProcess) -> None:
        """Wait for the fleet to recover, then for the bound of the last edits, then for callers."""
        context = self.context.scenario
        try:
            await self._fleet.wait_serving()
            await context.edit()
            await context.wait_for_newest()
            await self._evacuate_without_faults()
            await leaving_across_restore(self.context, context.random)
        except LabError as error:
            context.problems.append(f"{type(error).__name__}: {error}")
        await anyio.sleep(SETTLE_SECONDS)
        code = await self._fleet.stop_load(callers)
        context.expect(code == 0, f"the callers exited with code {code}: {callers.stderr_tail()}")
        for name in sorted(set(self._fleet.plan.nodes) - set(self._fleet.running_nodes())):
            context.problems.append(f"{name} is not running at the end")

    async def _evacuate_without_faults(self) -> None:
        """Evacuate a zone once without faults, so that each soak tests an evacuation."""
        context = self.context.scenario
        zone = context.random.choice(self._fleet.plan.shape.zones)
        await context.evacuate(zone)
        await context.wait_for_newest()
        await anyio.sleep(2 * BOUNDS.evacuated)
        await context.end_evacuation(zone)
        await context.wait_for_newest()


async def run_soak(
    options: SoakOptions, history: Path | None, print_line: LinePrinter
) -> SoakResult:
    """Run a soak and record its history in the file ``history`` if one is given.

    Raises:
        LabError: the fleet could not be started.
    """
    plan = plan_fleet(soak_fleet_shape(options))
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="pewtertack-soak-") as name:
        directory = Path(name)
        with HistoryRecorder(history or directory / "history.jsonl") as recorder:
            async with Fleet(plan, directory, recorder) as fleet:
                run = SoakRun(fleet, options, print_line)
                await run.run()
            problems = [
                *run.context.scenario.problems,
                *run.monitor.problems(),
                *recorder.stray_lines,
                *stderr_problems(plan, directory),
            ]
    return _result(run, recorder, problems, time.monotonic() - started_at)


def _result(
    run: SoakRun, recorder: HistoryRecorder, problems: list[str], seconds: float
) -> SoakResult:
    options = run.options
    until = math.inf if run.interrupted_at is None else run.interrupted_at
    lines = [line for line in recorder.lines if line.time <= until]
    samples = [sample for samples in run.monitor.samples.values() for sample in samples]
    return SoakResult(
        minutes=options.minutes,
        seed=options.seed,
        nodes=options.nodes,
        disabled_mechanism=options.disabled_mechanism,
        seconds=round(seconds, 1),
        interrupted=run.interrupted_at is not None,
        faults=dict(sorted(run.context.fault_counts.items())),
        routes=routes_of(lines),
        verdicts=check_history(lines, BOUNDS),
        problems=problems,
        resident_megabytes=max(
            (sample.resident_bytes / 1_000_000 for sample in samples), default=0.0
        ),
        descriptors=max((sample.descriptors for sample in samples), default=0),
    )
