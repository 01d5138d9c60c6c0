"""How far a revision has come over several nodes, from their status pages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import StrEnum
from statistics import median
from typing import ClassVar

import msgspec

from pewtertack.cli.rollout_lag import LaggingNode, LagReason, lagging_node
from pewtertack.cli.rollout_stages import newest_reported_revision, revision_at_stage, stage_times
from pewtertack.cli.status_reports import NodeReport
from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION, tree_number
from pewtertack.core.replication.stages import Stage
from pewtertack.errors import PewtertackError


class RolloutError(PewtertackError):
    """A rollout cannot be reported."""

    code: ClassVar[str] = "rollout-error"


class NoRevisionError(RolloutError):
    """No node that answers has heard of a revision."""

    code: ClassVar[str] = "no-revision"


class Outcome(StrEnum):
    """What a rollout has come to."""

    COMPLETE = "complete"
    """In force on every node that does not leave."""
    INCOMPLETE = "incomplete"
    REJECTED = "rejected"
    """A node has refused it."""
    UNREACHABLE = "unreachable"
    """In force on every node that answers; others do not answer."""


class StageSummary(msgspec.Struct, frozen=True):
    """The nodes that a revision has reached at one stage.

    Seconds count from when any node first heard of the revision, by the clocks of the machines.
    """

    stage: Stage
    nodes: int
    first: float | None = None
    median: float | None = None
    last: float | None = None


class RolloutReport(msgspec.Struct, frozen=True):
    """Where one revision is in force, and where not."""

    revision: int
    outcome: Outcome
    nodes: int
    """Nodes that were asked."""
    first_heard: float | None
    """Unix time at which any node first heard of it."""
    stages: tuple[StageSummary, ...]
    ways: dict[str, int]
    """How it came, by the number of nodes."""
    lacking: tuple[LaggingNode, ...]

    @property
    def settled(self) -> bool:
        """Whether waiting for longer cannot change the outcome."""
        pending = {lack.why for lack in self.lacking} - {LagReason.LEAVING}
        if pending <= {LagReason.REJECTED}:
            return True
        held = next(item.nodes for item in self.stages if item.stage is Stage.HELD)
        return LagReason.REJECTED in pending and held == 0


def newest_revision(reports: Iterable[NodeReport]) -> int:
    """Return the newest revision that any node has heard of; 0 without one."""
    return max(
        (newest_reported_revision(report.status) for report in reports if report.status), default=0
    )


def revision_of_version(version: int, reports: Iterable[NodeReport]) -> int:
    """Return the lowest revision that carries ``version``.

    Where the fleet reads a metadata store, a revision is a version with what follows from
    evacuations; the operator's version is accepted there as well as the revision.
    """
    by_version = version < TREE_NUMBERS_PER_VERSION <= newest_revision(reports)
    return tree_number(version) if by_version else version


def rollout_report(revision: int, reports: Sequence[NodeReport]) -> RolloutReport:
    """Return how far ``revision``, or a newer one, has come."""
    nodes = [report for report in reports if report.status is not None]
    moments = {
        report.admin: stage_times(revision, report.status) for report in nodes if report.status
    }
    heard = [times[Stage.REPORTED] for times in moments.values() if Stage.REPORTED in times]
    first_heard = min(heard, default=None)
    lacking = tuple(
        lack for lack in (lagging_node(revision, report) for report in reports) if lack is not None
    )
    counted = [moments[report.admin] for report in nodes if _was_running(report, first_heard)]
    return RolloutReport(
        revision,
        _outcome(lacking, len(reports)),
        len(reports),
        first_heard,
        tuple(_summary(revision, stage, nodes, counted, first_heard) for stage in Stage),
        _delivery_counts(revision, nodes),
        lacking,
    )


def _was_running(report: NodeReport, first_heard: float | None) -> bool:
    """Tell whether a node had started when the first node heard of the revision."""
    if report.status is None or first_heard is None:
        return False
    return report.read_at - report.status.uptime <= first_heard


def _summary(
    revision: int,
    stage: Stage,
    nodes: Sequence[NodeReport],
    counted: Sequence[dict[Stage, float]],
    first_heard: float | None,
) -> StageSummary:
    reached = sum(
        report.status is not None and revision_at_stage(report.status, stage) >= revision
        for report in nodes
    )
    times = [moments[stage] for moments in counted if stage in moments]
    if not times or first_heard is None:
        return StageSummary(stage, reached)
    seconds = [round(at - first_heard, 3) for at in times]
    return StageSummary(stage, reached, min(seconds), round(median(seconds), 3), max(seconds))


def _delivery_counts(revision: int, nodes: Sequence[NodeReport]) -> dict[str, int]:
    ways: Counter[str] = Counter()
    for report in nodes:
        kept = report.status.stages if report.status is not None else ()
        arrived = [item for item in kept if item.number >= revision and item.held is not None]
        if arrived:
            ways[min(arrived, key=lambda item: item.number).way] += 1
    return dict(sorted(ways.items()))


def _outcome(lacking: Sequence[LaggingNode], asked: int) -> Outcome:
    reasons = {lack.why for lack in lacking} - {LagReason.LEAVING}
    if not reasons:
        return Outcome.COMPLETE if len(lacking) < asked else Outcome.INCOMPLETE
    if LagReason.REJECTED in reasons:
        return Outcome.REJECTED
    if reasons == {LagReason.UNREACHABLE} and len(lacking) < asked:
        return Outcome.UNREACHABLE
    return Outcome.INCOMPLETE
