"""Checks that nodes obey what back ends report of themselves in their answers.

Only requests of nodes that have passed on such an answer count. A node that was started, stopped,
killed, paused or resumed since then is excused: it may have forgotten.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import (
    BackendLeaveCancelled,
    BackendLeavingInAnswers,
    BackendRateLimit,
    CallOutcome,
    CallResult,
    ExecutionEnd,
    ExecutionStart,
    HistoryLine,
    NodeExit,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
)

DISTURBANCES = (NodeStart, NodeStop, NodeKill, NodeExit, NodePause, NodeResume)
UNLIMITED = math.inf


@dataclass(slots=True)
class _Report:
    """What one back end reported for some time. ``rate`` is infinite if it named no limit."""

    backend: str
    start: float
    end: float = math.inf
    rate: float = UNLIMITED


@dataclass(slots=True)
class _Execution:
    """One execution, and the call that it belongs to."""

    start: float
    call: CallResult
    end: float = math.inf


@dataclass(slots=True)
class _Executions:
    """The executions of calls with a known result, by back end, and the disturbances of nodes."""

    by_backend: dict[str, list[_Execution]] = field(default_factory=dict)
    disturbances: dict[str, list[float]] = field(default_factory=dict)

    def during(self, report: _Report) -> list[_Execution]:
        """Return the back end's executions that started while it reported this."""
        executions = self.by_backend.get(report.backend, [])
        return [item for item in executions if report.start <= item.start < report.end]

    def told_times(self, report: _Report) -> dict[str, list[float]]:
        """Return by node when callers got answers written while the back end reported this."""
        times: dict[str, list[float]] = {}
        for item in self.by_backend.get(report.backend, []):
            if report.start <= item.end < report.end and item.call.outcome is CallOutcome.ANSWERED:
                times.setdefault(item.call.node, []).append(item.call.time)
        return {node: sorted(values) for node, values in times.items()}

    def knew(self, node: str, told: list[float], since: float, at: float) -> bool:
        """Tell whether a node was told by ``since`` and was not disturbed between then and ``at``.

        The first answer after its latest disturbance counts.
        """
        disturbances = self.disturbances.get(node, [])
        index = bisect.bisect_right(disturbances, at)
        undisturbed_since = disturbances[index - 1] if index else -math.inf
        first = bisect.bisect_right(told, undisturbed_since)
        return first < len(told) and told[first] <= since


def check_rate_limits_kept(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that a back end that names a limit gets no more than that and the allowance.

    Judged are the seconds for which a limit binds and some node has been told it. A window ends
    with each execution in that time.
    """
    executions = _executions(timeline)
    judged = 0
    violations: list[Violation] = []
    for report in _rate_reports(timeline):
        told = executions.told_times(report)
        if not told:
            continue
        binds_at = report.start + bounds.rate_notice
        known_at = min(times[0] for times in told.values()) + bounds.rate_known
        end = min(report.end, timeline.end)
        judged += max(0, math.ceil(end - max(binds_at, known_at)))
        times = _counted_starts(executions, report, told, bounds)
        violations += _excess_windows(report, times, binds_at, bounds)
    return judge(Guarantee.RATE_LIMIT_KEPT, judged, violations)


def _excess_windows(
    report: _Report, times: list[float], binds_at: float, bounds: CheckBounds
) -> Iterator[Violation]:
    """Yield a violation for each window with too many of the executions that began at ``times``."""
    allowed = bounds.rate_factor * report.rate * bounds.rate_window + bounds.rate_slack
    for index, end in enumerate(times):
        count = index + 1 - bisect.bisect_right(times, end - bounds.rate_window)
        if end >= binds_at and count > allowed:
            message = (
                f"{count} requests in {bounds.rate_window:g} s at a limit of {report.rate:g}"
                f" a second, {allowed:g} allowed"
            )
            yield Violation(end, report.backend, message)


def _counted_starts(
    executions: _Executions, report: _Report, told: dict[str, list[float]], bounds: CheckBounds
) -> list[float]:
    """Return when the executions began that count: of requests of nodes that knew the limit."""
    return sorted(
        item.start
        for item in executions.during(report)
        if executions.knew(
            item.call.node, told.get(item.call.node, []), item.start - bounds.rate_known, item.start
        )
    )


def check_leaving_answers_obeyed(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that a node stops sending to a back end whose answers say that it leaves."""
    executions = _executions(timeline)
    judged = 0
    violations: list[Violation] = []
    for report in _leaving_reports(timeline):
        told = executions.told_times(report)
        judged += bool(told)
        for item in executions.during(report):
            sent_at = item.call.time - item.call.latency
            node = item.call.node
            if executions.knew(
                node, told.get(node, []), sent_at - bounds.leaving_known, item.start
            ):
                message = f"request {item.call.request_id} of {node}, which knew that it leaves"
                violations.append(Violation(item.start, report.backend, message))
    return judge(Guarantee.LEAVING_ANSWERS_OBEYED, judged, violations)


def _rate_reports(timeline: Timeline) -> Iterator[_Report]:
    running: dict[str, _Report] = {}
    for line in timeline.lines:
        if not isinstance(line, BackendRateLimit):
            continue
        former = running.pop(line.backend, None)
        if former is not None:
            former.end = line.time
            yield former
        if line.rate is not None:
            running[line.backend] = _Report(line.backend, line.time, rate=line.rate)
    yield from running.values()


def _leaving_reports(timeline: Timeline) -> Iterator[_Report]:
    running: dict[str, _Report] = {}
    for line in timeline.lines:
        if isinstance(line, BackendLeavingInAnswers):
            running[line.backend] = _Report(line.backend, line.time)
        elif isinstance(line, BackendLeaveCancelled) and line.backend in running:
            report = running.pop(line.backend)
            report.end = line.time
            yield report
    yield from running.values()


def _executions(timeline: Timeline) -> _Executions:
    calls = {line.request_id: line for line in timeline.lines if isinstance(line, CallResult)}
    found = _Executions()
    running: dict[tuple[str, str], _Execution] = {}
    for line in timeline.lines:
        if isinstance(line, DISTURBANCES):
            found.disturbances.setdefault(line.node, []).append(line.time)
        elif isinstance(line, (ExecutionStart, ExecutionEnd)):
            _add_execution(found, running, line, calls)
    return found


def _add_execution(
    found: _Executions,
    running: dict[tuple[str, str], _Execution],
    line: HistoryLine,
    calls: dict[str, CallResult],
) -> None:
    if isinstance(line, ExecutionStart) and line.request_id in calls:
        execution = _Execution(line.time, calls[line.request_id])
        found.by_backend.setdefault(line.backend, []).append(execution)
        running[line.backend, line.request_id] = execution
    elif isinstance(line, ExecutionEnd):
        ended = running.pop((line.backend, line.request_id), None)
        if ended is not None:
            ended.end = line.time
