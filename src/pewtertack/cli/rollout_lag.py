"""Determines why a node does not have a revision in force."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pewtertack.cli.rollout_stages import newest_reported_revision, revision_at_stage, stage_times
from pewtertack.cli.status_reports import NodeReport
from pewtertack.core.replication.answer_times import SLOW_ANSWER_SECONDS
from pewtertack.core.replication.stages import Stage
from pewtertack.errors import ReadFailure
from pewtertack.node.status import FindingStatus, NodeStatus, ReadStatus

CONFIGURATION = "configuration"
TIMEOUT_FAILURES = frozenset({ReadFailure.SLOW.value, ReadFailure.UNFINISHED.value})
OVERDUE_READ_SECONDS = 1.0
"""A read is slow if it is open for this much longer than the source may hold it open."""
LEAVING_PHASES = ("leaving", "superseded")


class LagReason(StrEnum):
    """Why a node does not have a revision in force."""

    UNREACHABLE = "unreachable"
    """Its admin interface does not respond."""
    LEAVING = "leaving"
    """It is shutting down, or another process uses its name, so it serves no new requests."""
    REJECTED = "rejected"
    """Validation rejected the revision."""
    SOURCE_FAILING = "source-failing"
    """It reads the source, does not know of the revision, and its reads fail."""
    SOURCE_SLOW = "source-slow"
    """It reads the source, does not know of the revision, and responses are late."""
    NOT_HEARD = "not-heard"
    """No peer has reported the revision to it."""
    NOT_HELD = "not-held"
    """It knows of the revision but has not received it yet."""
    NOT_COMMITTED = "not-committed"
    """It stores the revision but does not know of a quorum that does."""
    NOT_IN_FORCE = "not-in-force"
    """It knows that the revision is committed; a joining node waits until it may serve."""


class LaggingNode(msgspec.Struct, frozen=True):
    """A node that does not have the revision in force. Ages are seconds before its response."""

    admin: str
    why: LagReason
    node: str = ""
    zone: str = ""
    phase: str = ""
    held: int = 0
    in_force: int = 0
    heard_for: float | None = None
    """Time since the revision or a newer one was first reported to it."""
    source_age: float | None = None
    """Time since the last usable response of the source."""
    answer_seconds: float | None = None
    """Duration of its reads beyond the time for which the source may hold them open."""
    read: ReadStatus | None = None
    """Its reads of the configuration, if it reads the source."""
    findings: tuple[FindingStatus, ...] = ()
    """Why it rejected the revision."""
    problem: str = ""
    """Why its admin interface does not respond."""


def lagging_node(revision: int, report: NodeReport) -> LaggingNode | None:
    """Return the state of a node without ``revision`` or a newer one in force, else ``None``."""
    node = report.status
    if node is None:
        return LaggingNode(report.admin, LagReason.UNREACHABLE, problem=report.problem)
    if node.in_force.number >= revision:
        return None
    reason = _lag_reason(revision, node)
    reported_at = stage_times(revision, node).get(Stage.REPORTED)
    rejection = node.last_rejection
    return LaggingNode(
        report.admin,
        reason,
        node.name,
        node.zone,
        node.phase,
        node.held.number,
        node.in_force.number,
        None if reported_at is None else round(max(report.read_at - reported_at, 0.0), 3),
        node.source_age,
        node.source_answer_seconds,
        node.reads.get(CONFIGURATION) if node.reading else None,
        rejection.findings if rejection is not None and reason is LagReason.REJECTED else (),
    )


def _lag_reason(revision: int, node: NodeStatus) -> LagReason:
    if node.phase in LEAVING_PHASES:
        return LagReason.LEAVING
    if revision_at_stage(node, Stage.HELD) < revision:
        return _reason_not_held(revision, node)
    if node.committed.number < revision:
        return LagReason.NOT_COMMITTED
    return LagReason.NOT_IN_FORCE


def _reason_not_held(revision: int, node: NodeStatus) -> LagReason:
    rejection = node.last_rejection
    if rejection is not None and rejection.revision.number >= revision:
        return LagReason.REJECTED
    if newest_reported_revision(node) >= revision:
        return LagReason.NOT_HELD
    read = node.reads.get(CONFIGURATION) if node.reading else None
    if read is None:
        return LagReason.NOT_HEARD
    return _reason_not_read(read, node.source_answer_seconds or 0.0)


def _reason_not_read(read: ReadStatus, usual_seconds: float) -> LagReason:
    """Return why a reader, whose reads take ``usual_seconds``, does not know of the revision."""
    if read.failures:
        return (
            LagReason.SOURCE_SLOW if read.failure in TIMEOUT_FAILURES else LagReason.SOURCE_FAILING
        )
    if read.open_for is not None and read.open_for > read.may_wait + OVERDUE_READ_SECONDS:
        return LagReason.SOURCE_SLOW
    return LagReason.SOURCE_SLOW if usual_seconds > SLOW_ANSWER_SECONDS else LagReason.NOT_HEARD
