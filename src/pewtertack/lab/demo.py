"""The demo: one edit in a four-zone fleet, with requests before, during and after it."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.plan import FleetShape, plan_fleet
from pewtertack.lab.history.verdicts import CheckBounds, Judgement, Verdict
from pewtertack.lab.load.mix import CallKind, mix_of_tree
from pewtertack.lab.records import CallOutcome, CallResult, Edit, HistoryLine
from pewtertack.lab.report.convergence import Convergence
from pewtertack.lab.report.report import convergence_of, judge_lines
from pewtertack.lab.report.statistics import distribution_of
from pewtertack.lab.report.table import format_table, format_verdicts
from pewtertack.lab.report.traffic import PeerTraffic, sample_traffic, traffic_between
from pewtertack.lab.scenarios.edits import TreeEditor

PHASE_SECONDS = 4.0
REQUESTS_PER_SECOND = 80.0
MAX_CONVERGENCE_SECONDS = 15.0
BOUNDS = CheckBounds(convergence=3.0, recovery=10.0)
SPANNING_CALLS = 4
"""The number of requests per node that are in flight while the edit comes into force."""
SPANNING_WORK_MILLISECONDS = 150.0
STATUS_OK = 200

NEW_ROUTE = "demo"
NEW_CALL = CallKind(
    route=NEW_ROUTE,
    host="demo.example",
    path="/demo/1",
    method="GET",
    repeatable=True,
    weight=1.0,
    work_milliseconds=2.0,
    answer_bytes=256,
    body_bytes=0,
    client_timeout=5.0,
)


class Phase(StrEnum):
    """The time of a request relative to the edit."""

    BEFORE = "before"
    """The request ended before the edit."""
    DURING = "during"
    """The request was in flight while the edit came into force on the nodes."""
    AFTER = "after"
    """The request started after the edit was in force on all nodes."""


@dataclass(frozen=True, slots=True)
class DemoResult:
    """The measurements of one run of the demo."""

    edit: Edit
    in_force_at: float
    """The Unix time at which the lab observed the edit in force on every node."""
    new_route_before: list[CallResult]
    new_route_after: list[CallResult]
    convergence: Convergence
    traffic: PeerTraffic
    tree_bytes: int
    lines: Sequence[HistoryLine]
    verdicts: list[Verdict]

    def results(self, phase: Phase) -> Iterator[CallResult]:
        """Yield the results of the load's calls in one phase."""
        for line in self.lines:
            if (
                isinstance(line, CallResult)
                and line.route != NEW_ROUTE
                and self._phase(line) is phase
            ):
                yield line

    def _phase(self, result: CallResult) -> Phase:
        if result.time < self.edit.time:
            return Phase.BEFORE
        started_at = result.time - result.latency
        return Phase.DURING if started_at <= self.in_force_at else Phase.AFTER

    def problems(self) -> list[str]:
        """Return all deviations from the expected results; empty for a successful run."""
        problems = []
        for phase in Phase:
            results = list(self.results(phase))
            failures = [line for line in results if not is_correct_response(line)]
            if failures:
                problems.append(
                    f"{len(failures)} of {len(results)} requests failed {phase} the edit"
                )
            if not results:
                problems.append(f"no requests {phase} the edit")
        if not all(line.outcome is CallOutcome.NOT_RUN for line in self.new_route_before):
            problems.append("the new route was served before the edit")
        if not all(is_correct_response(line) for line in self.new_route_after):
            problems.append("the new route failed on a node after the edit")
        if self.convergence.missing:
            problems.append("the edit is not in force on every node")
        violated = [v.promise for v in self.verdicts if v.judgement is Judgement.VIOLATED]
        return problems + [f"violated: {promise}" for promise in violated]


def is_correct_response(result: CallResult) -> bool:
    """Return whether the call got a complete response with status 200 to its own request."""
    answered = result.outcome is CallOutcome.ANSWERED and result.status == STATUS_OK
    return answered and result.checksum_ok and result.own_answer


async def run_demo(shape: FleetShape, directory: Path) -> DemoResult:
    """Run the demo on a fleet of real processes.

    Args:
        shape: the fleet.
        directory: receives the history, which includes the nodes' logs, and the settings.

    Raises:
        LabError: a process failed, or the edit did not come into force on all nodes in time.
    """
    plan = plan_fleet(replace(shape, has_relay=False))
    with HistoryRecorder(directory / "history.jsonl") as recorder:
        async with Fleet(plan, directory, recorder) as fleet:
            await fleet.start_nodes()
            await fleet.wait_serving()
            await fleet.wait_in_force(1)
            return await _edit_under_load(fleet)


async def _edit_under_load(fleet: Fleet) -> DemoResult:
    first = await sample_traffic(fleet)
    load = await fleet.start_load("demo", REQUESTS_PER_SECOND)
    await anyio.sleep(PHASE_SECONDS)
    before = await _call_every_node(fleet, "before")
    async with anyio.create_task_group() as spanning:
        _start_spanning_calls(fleet, spanning)
        edit = await fleet.platform.put_tree(_tree_with_new_route(fleet))
        await fleet.wait_in_force(edit.revision, seconds=MAX_CONVERGENCE_SECONDS)
        in_force_at = time.time()
    after = await _call_every_node(fleet, "after")
    await anyio.sleep(PHASE_SECONDS)
    await fleet.stop_load(load)
    last = await sample_traffic(fleet)
    lines = list(fleet.recorder.lines)
    return DemoResult(
        edit=edit,
        in_force_at=in_force_at,
        new_route_before=before,
        new_route_after=after,
        convergence=convergence_of(lines),
        traffic=traffic_between(first, last),
        tree_bytes=len(msgspec.json.encode(fleet.plan.shape.tree)),
        lines=lines,
        verdicts=judge_lines(lines, BOUNDS),
    )


def _tree_with_new_route(fleet: Fleet) -> dict[str, object]:
    shape = fleet.plan.shape
    route = {
        "service": sorted(shape.services)[0],
        "hosts": [NEW_CALL.host],
        "path_prefix": "/demo",
        "methods": ["GET"],
        "repeatable": True,
    }
    return TreeEditor(shape.tree, 0).add_route(NEW_ROUTE, route)


def _start_spanning_calls(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Start long requests on every node."""
    kinds = itertools.cycle(mix_of_tree(fleet.plan.shape.tree))
    for name in fleet.plan.nodes:
        for index, kind in enumerate(itertools.islice(kinds, SPANNING_CALLS)):
            call = msgspec.structs.replace(kind, work_milliseconds=SPANNING_WORK_MILLISECONDS)
            tasks.start_soon(fleet.send_request, name, call, f"spanning-{name}-{index}")


async def _call_every_node(fleet: Fleet, prefix: str) -> list[CallResult]:
    """Call the route that the edit adds once on every node."""
    names = sorted(fleet.plan.nodes)
    return [await fleet.send_request(name, NEW_CALL, f"{prefix}-{name}") for name in names]


def format_demo(result: DemoResult) -> str:
    """Return the result as text for the terminal."""
    delay = result.convergence.each_node
    edit, traffic = result.edit, result.traffic
    lines = [
        f"edit {edit.revision} in force on all {delay.count} nodes after {delay.max:.3f} s"
        f" (p50 {delay.p50:.3f} s)",
        f"peer bytes sent per node: control {traffic.control:.0f} B/s,"
        f" configuration {traffic.configuration_bytes:.0f} B for the one edit"
        f" (the whole tree is {result.tree_bytes} B as JSON)",
        "",
        _outcome_table(result),
        f"(during: includes requests in flight across the edit,"
        f" {SPANNING_WORK_MILLISECONDS:.0f} ms of work each)",
        "",
        format_verdicts(result.verdicts),
        *[f"problem: {problem}" for problem in result.problems()],
    ]
    return "\n".join(lines)


def _outcome_table(result: DemoResult) -> str:
    rows = []
    for phase in Phase:
        results = list(result.results(phase))
        counts = Counter(line.outcome for line in results)
        latency = distribution_of(line.latency * 1000 for line in results)
        rows.append(
            [
                phase,
                len(results),
                sum(map(is_correct_response, results)),
                counts[CallOutcome.NOT_RUN],
                counts[CallOutcome.UNKNOWN],
                sum(counts[outcome] for outcome in _BROKEN_OUTCOMES),
                f"{latency.p50:.1f}",
                f"{latency.p99:.1f}",
            ]
        )
    header = ("phase", "requests", "correct", "not run", "unknown", "broken", "p50 ms", "p99 ms")
    return format_table(header, rows)


_BROKEN_OUTCOMES = (CallOutcome.NOT_CONNECTED, CallOutcome.CUT, CallOutcome.TIMED_OUT)
