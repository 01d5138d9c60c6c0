"""Why a node does not have a revision in force."""

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
"""A read that is open for so much longer than the source may wait is called slow."""
LEAVING_PHASES = ("leaving", "superseded")


class LagReason(StrEnum):
    """Why a node does not have a revision in force."""

    UNREACHABLE = "unreachable"
    """Its admin interface does not answer."""
    LEAVING = "leaving"
    """It stops, or another process has its name: it serves no new requests."""
    REJECTED = "rejected"
    """Validation refused the revision."""
    SOURCE_FAILING = "source-failing"
    """It reads the source, has not heard of the revision, and its reads fail."""
    SOURCE_SLOW = "source-slow"
    """It reads the source, has not heard of the revision, and no answer comes in time."""
    NOT_HEARD = "not-heard"
    """Nobody has told it of the revision."""
    NOT_HELD = "not-held"
    """It has heard of the revision and not received it yet."""
    NOT_COMMITTED = "not-committed"
    """It holds the revision and knows of no quorum that does."""
    NOT_IN_FORCE = "not-in-force"
    """The revision is committed there; a node that joins waits until it may serve."""


class LaggingNode(msgspec.Struct, frozen=True):
    """A node without the revision in force. Ages are seconds before its answer."""

    admin: str
    why: LagReason
    node: str = ""
    zone: str = ""
    phase: str = ""
    held: int = 0
    in_force: int = 0
    heard_for: float | None = None
    """Since it first heard of the revision or a newer one."""
    source_age: float | None = None
    """Since its last usable answer of the source."""
    answer_seconds: float | None = None
    """What its reads take beyond the time for which the source may hold them open."""
    read: ReadStatus | None = None
    """How its reads of the configuration fare, where it reads the source."""
    findings: tuple[FindingStatus, ...] = ()
    """Why it was rejected."""
    problem: str = ""
    """Why the admin interface does not answer."""


def lagging_node(revision: int, report: NodeReport) -> LaggingNode | None:
    """Return why a node does not have ``revision`` or a newer one in force, if so."""
    node = report.status
    if node is None:
        return LaggingNode(report.admin, LagReason.UNREACHABLE, problem=report.problem)
    if node.in_force.number >= revision:
        return None
    why = _lag_reason(revision, node)
    heard = stage_times(revision, node).get(Stage.REPORTED)
    rejection = node.last_rejection
    return LaggingNode(
        report.admin,
        why,
        node.name,
        node.zone,
        node.phase,
        node.held.number,
        node.in_force.number,
        None if heard is None else round(max(report.read_at - heard, 0.0), 3),
        node.source_age,
        node.source_answer_seconds,
        node.reads.get(CONFIGURATION) if node.reading else None,
        rejection.findings if rejection is not None and why is LagReason.REJECTED else (),
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


def _reason_not_read(read: ReadStatus, usual: float) -> LagReason:
    """Return why a reader has not heard of the revision; ``usual``: what its reads take."""
    if read.failures:
        return (
            LagReason.SOURCE_SLOW if read.failure in TIMEOUT_FAILURES else LagReason.SOURCE_FAILING
        )
    if read.open_for is not None and read.open_for > read.may_wait + OVERDUE_READ_SECONDS:
        return LagReason.SOURCE_SLOW
    return LagReason.SOURCE_SLOW if usual > SLOW_ANSWER_SECONDS else LagReason.NOT_HEARD
