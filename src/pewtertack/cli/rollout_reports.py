"""The progress of a revision over several nodes, from their status reports."""

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
    """No reachable node knows of a revision."""

    code: ClassVar[str] = "no-revision"


class Outcome(StrEnum):
    """Outcome of a rollout."""

    COMPLETE = "complete"
    """In force on every node that is not leaving."""
    INCOMPLETE = "incomplete"
    REJECTED = "rejected"
    """A node has rejected it."""
    UNREACHABLE = "unreachable"
    """In force on every reachable node; other nodes are unreachable."""


class StageSummary(msgspec.Struct, frozen=True):
    """The nodes at which a revision has reached one stage.

    Times are seconds since the revision was first reported to any node, by the machines' clocks.
    """

    stage: Stage
    nodes: int
    first: float | None = None
    median: float | None = None
    last: float | None = None


class RolloutReport(msgspec.Struct, frozen=True):
    """Where a revision is in force, and where it is not."""

    revision: int
    outcome: Outcome
    nodes: int
    """Number of queried nodes."""
    first_heard: float | None
    """Unix time at which it was first reported to any node."""
    stages: tuple[StageSummary, ...]
    ways: dict[str, int]
    """Number of nodes by the method that delivered the revision to them."""
    lacking: tuple[LaggingNode, ...]

    @property
    def settled(self) -> bool:
        """Whether further waiting cannot change the outcome."""
        pending = {node.why for node in self.lacking} - {LagReason.LEAVING}
        if pending <= {LagReason.REJECTED}:
            return True
        held = next(item.nodes for item in self.stages if item.stage is Stage.HELD)
        return LagReason.REJECTED in pending and held == 0


def newest_revision(reports: Iterable[NodeReport]) -> int:
    """Return the newest revision known to any node, or 0 if there is none."""
    return max(
        (newest_reported_revision(report.status) for report in reports if report.status), default=0
    )


def revision_of_version(version: int, reports: Iterable[NodeReport]) -> int:
    """Return the lowest revision that contains ``version``.

    If the fleet reads a metadata store, a revision number combines the operator's version with
    later evacuations; ``version`` may then be either of the two numbers.
    """
    newest = newest_revision(reports)
    by_version = version < TREE_NUMBERS_PER_VERSION <= newest
    return tree_number(version, held=newest) if by_version else version


def rollout_report(revision: int, reports: Sequence[NodeReport]) -> RolloutReport:
    """Return the progress of ``revision`` or a newer one."""
    nodes = [report for report in reports if report.status is not None]
    stage_times_by_admin = {
        report.admin: stage_times(revision, report.status) for report in nodes if report.status
    }
    reported_at = [
        times[Stage.REPORTED] for times in stage_times_by_admin.values() if Stage.REPORTED in times
    ]
    first_reported_at = min(reported_at, default=None)
    lacking = tuple(
        node for node in (lagging_node(revision, report) for report in reports) if node is not None
    )
    counted_times = [
        stage_times_by_admin[report.admin]
        for report in nodes
        if _was_running(report, first_reported_at)
    ]
    return RolloutReport(
        revision,
        _outcome(lacking, len(reports)),
        len(reports),
        first_reported_at,
        tuple(
            _summary(revision, stage, nodes, counted_times, first_reported_at) for stage in Stage
        ),
        _delivery_counts(revision, nodes),
        lacking,
    )


def _was_running(report: NodeReport, first_reported_at: float | None) -> bool:
    """Return whether a node was running when the revision was first reported to any node."""
    if report.status is None or first_reported_at is None:
        return False
    return report.read_at - report.status.uptime <= first_reported_at


def _summary(
    revision: int,
    stage: Stage,
    nodes: Sequence[NodeReport],
    counted_times: Sequence[dict[Stage, float]],
    first_reported_at: float | None,
) -> StageSummary:
    reached = sum(
        report.status is not None and revision_at_stage(report.status, stage) >= revision
        for report in nodes
    )
    times = [node_times[stage] for node_times in counted_times if stage in node_times]
    if not times or first_reported_at is None:
        return StageSummary(stage, reached)
    seconds = [round(at - first_reported_at, 3) for at in times]
    return StageSummary(stage, reached, min(seconds), round(median(seconds), 3), max(seconds))


def _delivery_counts(revision: int, nodes: Sequence[NodeReport]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for report in nodes:
        tracked = report.status.stages if report.status is not None else ()
        delivered = [item for item in tracked if item.number >= revision and item.held is not None]
        if delivered:
            counts[min(delivered, key=lambda item: item.number).way] += 1
    return dict(sorted(counts.items()))


def _outcome(lacking: Sequence[LaggingNode], queried_count: int) -> Outcome:
    reasons = {node.why for node in lacking} - {LagReason.LEAVING}
    if not reasons:
        return Outcome.COMPLETE if len(lacking) < queried_count else Outcome.INCOMPLETE
    if LagReason.REJECTED in reasons:
        return Outcome.REJECTED
    if reasons == {LagReason.UNREACHABLE} and len(lacking) < queried_count:
        return Outcome.UNREACHABLE
    return Outcome.INCOMPLETE
