"""Runs a scenario: starts fleet and callers, runs the body, lets the fleet settle and reports."""

from __future__ import annotations

import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import anyio

from pewtertack.errors import LabError
from pewtertack.lab.errors import flatten_exception_group
from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetPlan, FleetShape, plan_fleet
from pewtertack.lab.history.verdicts import CheckBounds
from pewtertack.lab.platform.application import ReaderCounters
from pewtertack.lab.records import Edit
from pewtertack.lab.report.report import Report, convergence_of, judge_lines, routes_of
from pewtertack.lab.report.resources import NodeResources, resources_between, sample_resources
from pewtertack.lab.report.traffic import PeerTraffic, sample_traffic, traffic_between
from pewtertack.lab.scenarios.context import ScenarioContext
from pewtertack.lab.scenarios.edits import TreeEditor
from pewtertack.lab.scenarios.scenario import Scenario

BOUNDS = CheckBounds(convergence=6.0, recovery=20.0)
"""Tighter than the defaults because the fleet is small, but wide enough for a busy machine."""
SETTLE_SECONDS = BOUNDS.convergence + 1.0
"""Time without faults at the end, so that the checks can judge the last edits."""
SCENARIO_TIMEOUT_SECONDS = 180.0


@dataclass(frozen=True, slots=True)
class _Outcome:
    """The measurements taken while the fleet was running."""

    traffic: PeerTraffic
    resources: NodeResources
    source: ReaderCounters
    problems: list[str]


async def run_scenario(scenario: Scenario, shape: FleetShape, seed: int, history: Path) -> Report:
    """Run ``scenario`` and write its history to the file ``history``.

    Raises:
        LabError: the fleet failed to start.
    """
    plan = plan_fleet(scenario.adjust(shape))
    started_at = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="pewtertack-lab-") as directory,
        HistoryRecorder(history) as recorder,
    ):
        async with Fleet(plan, Path(directory), recorder) as fleet:
            outcome = await _run(scenario, fleet, seed)
        problems = [*outcome.problems, *stderr_problems(plan, Path(directory))]
    lines = recorder.lines
    return Report(
        scenario=scenario.name,
        seed=seed,
        without=shape.disabled_mechanism,
        seconds=round(time.monotonic() - started_at, 3),
        nodes=len(plan.nodes),
        backends=len(plan.backends),
        edits=sum(1 for line in lines if isinstance(line, Edit)) - 1,
        convergence=convergence_of(lines),
        traffic=outcome.traffic,
        resources=outcome.resources,
        source=outcome.source,
        routes=routes_of(lines),
        verdicts=judge_lines(lines, BOUNDS),
        required=list(scenario.required),
        problems=problems,
        stray_lines=recorder.stray_lines,
    )


async def _run(scenario: Scenario, fleet: Fleet, seed: int) -> _Outcome:
    await fleet.start_nodes()
    await fleet.wait_serving()
    await fleet.wait_in_force(1)
    load = await fleet.start_load("callers", scenario.rate, seed)
    first_traffic = await sample_traffic(fleet)
    first_resources = sample_resources(fleet)
    editor = TreeEditor(fleet.plan.shape.tree, seed)
    context = ScenarioContext(fleet, random.Random(f"scenario:{seed}"), editor)
    await _run_body(scenario, context)
    await anyio.sleep(SETTLE_SECONDS)
    last_traffic = await sample_traffic(fleet)
    resources = resources_between(first_resources, sample_resources(fleet))
    code = await fleet.stop_load(load)
    context.expect(code == 0, f"the callers ended with exit code {code}: {load.stderr_tail()}")
    for name in sorted(set(fleet.plan.nodes) - set(fleet.running_nodes())):
        context.problems.append(f"{name} is not running at the end")
    source = await fleet.platform.source_counters()
    return _Outcome(
        traffic_between(first_traffic, last_traffic), resources, source, context.problems
    )


async def _run_body(scenario: Scenario, context: ScenarioContext) -> None:
    """Run the body; errors, such as a condition not met in time, become problems of the report."""
    try:
        with anyio.fail_after(SCENARIO_TIMEOUT_SECONDS):
            await scenario.body(context)
    except* (LabError, TimeoutError) as group:
        context.problems += [
            f"{type(error).__name__}: {error}" for error in flatten_exception_group(group)
        ]


def stderr_problems(plan: FleetPlan, directory: Path) -> list[str]:
    """Return a problem for each node that wrote to standard error."""
    problems = []
    for name in plan.nodes:
        path = directory / f"{name}.stderr"
        text = path.read_text(errors="replace").strip() if path.exists() else ""
        if text:
            problems.append(f"{name} wrote to standard error: {text[-1000:]}")
    return problems
