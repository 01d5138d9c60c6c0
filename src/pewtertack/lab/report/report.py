"""The report of one run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec

from pewtertack.lab.history.checker import check_history
from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Judgement, Verdict
from pewtertack.lab.platform.application import ReaderCounters
from pewtertack.lab.records import CallOutcome, CallResult, HistoryLine
from pewtertack.lab.report.convergence import Convergence, measure_convergence
from pewtertack.lab.report.resources import NodeResources
from pewtertack.lab.report.statistics import Distribution, distribution_of
from pewtertack.lab.report.traffic import PeerTraffic


class RouteOutcomes(msgspec.Struct, frozen=True):
    """The results of the calls to one route; ``latency`` covers the answered calls, in seconds."""

    outcomes: dict[str, int]
    statuses: dict[str, int]
    latency: Distribution


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """All measurements and verdicts of one run."""

    scenario: str
    seed: int
    without: str
    """The name of the disabled mechanism; empty if none was disabled."""
    seconds: float
    nodes: int
    backends: int
    edits: int
    convergence: Convergence
    traffic: PeerTraffic
    resources: NodeResources
    source: ReaderCounters
    routes: dict[str, RouteOutcomes]
    verdicts: list[Verdict]
    required: list[Guarantee]
    """The guarantees that the scenario must test."""
    problems: list[str]
    """The conditions of the scenario that were not met."""
    stray_lines: list[str]
    """Output lines of processes that are not lines of a history."""

    @property
    def passed(self) -> bool:
        """Whether all required guarantees held, none was violated and no problem occurred."""
        judgements = {verdict.promise: verdict.judgement for verdict in self.verdicts}
        if Judgement.VIOLATED in judgements.values() or self.problems:
            return False
        return all(judgements[guarantee] is Judgement.HELD for guarantee in self.required)


def judge_lines(lines: Sequence[HistoryLine], bounds: CheckBounds) -> list[Verdict]:
    """Return the verdicts of a history."""
    return check_history(lines, bounds)


def routes_of(lines: Sequence[HistoryLine]) -> dict[str, RouteOutcomes]:
    """Return the outcomes of the calls in a history, by route."""
    by_route: dict[str, list[CallResult]] = {}
    for line in lines:
        if isinstance(line, CallResult):
            by_route.setdefault(line.route, []).append(line)
    return {route: _outcomes_of(results) for route, results in sorted(by_route.items())}


def _outcomes_of(results: Sequence[CallResult]) -> RouteOutcomes:
    answered = (line.latency for line in results if line.outcome is CallOutcome.ANSWERED)
    return RouteOutcomes(
        outcomes=dict(Counter(str(line.outcome) for line in results)),
        statuses=dict(Counter(str(line.status) for line in results)),
        latency=distribution_of(answered),
    )


def convergence_of(lines: Sequence[HistoryLine]) -> Convergence:
    """Return the convergence times of a history."""
    return measure_convergence(Timeline(lines))
