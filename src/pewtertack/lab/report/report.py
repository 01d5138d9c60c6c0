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
    """What callers of one route were told; latencies of answers in seconds."""

    outcomes: dict[str, int]
    statuses: dict[str, int]
    latency: Distribution


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Everything measured of one run."""

    scenario: str
    seed: int
    without: str
    """The mechanism that was switched off; empty for none."""
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
    """Promises that the scenario must put to the test."""
    problems: list[str]
    """Conditions of the scenario that did not hold."""
    stray_lines: list[str]

    @property
    def passed(self) -> bool:
        """Whether nothing was violated, all required promises were judged, and no problem."""
        judgements = {verdict.promise: verdict.judgement for verdict in self.verdicts}
        if Judgement.VIOLATED in judgements.values() or self.problems:
            return False
        return all(judgements[promise] is Judgement.HELD for promise in self.required)


def judge_lines(lines: Sequence[HistoryLine], bounds: CheckBounds) -> list[Verdict]:
    """Return the verdicts of a history."""
    return check_history(lines, bounds)


def routes_of(lines: Sequence[HistoryLine]) -> dict[str, RouteOutcomes]:
    """Return the outcomes by route."""
    by_route: dict[str, list[CallResult]] = {}
    for line in lines:
        if isinstance(line, CallResult):
            by_route.setdefault(line.route, []).append(line)
    return {route: _outcomes_of(told) for route, told in sorted(by_route.items())}


def _outcomes_of(told: Sequence[CallResult]) -> RouteOutcomes:
    answered = (line.latency for line in told if line.outcome is CallOutcome.ANSWERED)
    return RouteOutcomes(
        outcomes=dict(Counter(str(line.outcome) for line in told)),
        statuses=dict(Counter(str(line.status) for line in told)),
        latency=distribution_of(answered),
    )


def convergence_of(lines: Sequence[HistoryLine]) -> Convergence:
    """Return the convergence times of a history."""
    return measure_convergence(Timeline(lines))
