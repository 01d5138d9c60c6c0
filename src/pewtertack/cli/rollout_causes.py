"""Why a node does not have a revision in force."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pewtertack.cli.rollout_stages import moments_of, newest_heard, number_at
from pewtertack.cli.status_reports import NodeReport
from pewtertack.core.replication.answer_times import SLOW_ANSWER_SECONDS
from pewtertack.core.replication.stages import Stage
from pewtertack.errors import ReadFailure
from pewtertack.node.status import FindingStatus, NodeStatus, ReadStatus

CONFIGURATION = "configuration"
SLOW_FAILURES = frozenset({ReadFailure.SLOW.value, ReadFailure.UNFINISHED.value})
ANSWER_SECONDS = 1.0
"""A read that is open for so much longer than the source may wait is called slow."""
LEAVING_PHASES = ("leaving", "superseded")


class Lack(StrEnum):
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


class NodeLack(msgspec.Struct, frozen=True):
    """A node without the revision in force. Ages are seconds before its answer."""

    admin: str
    why: Lack
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


def lack_of(revision: int, report: NodeReport) -> NodeLack | None:
    """Return why a node does not have ``revision`` or a newer one in force, if so."""
    node = report.status
    if node is None:
        return NodeLack(report.admin, Lack.UNREACHABLE, problem=report.problem)
    if node.in_force.number >= revision:
        return None
    why = _why(revision, node)
    heard = moments_of(revision, node).get(Stage.REPORTED)
    rejection = node.last_rejection
    return NodeLack(
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
        rejection.findings if rejection is not None and why is Lack.REJECTED else (),
    )


def _why(revision: int, node: NodeStatus) -> Lack:
    if node.phase in LEAVING_PHASES:
        return Lack.LEAVING
    if number_at(node, Stage.HELD) < revision:
        return _why_not_held(revision, node)
    if node.committed.number < revision:
        return Lack.NOT_COMMITTED
    return Lack.NOT_IN_FORCE


def _why_not_held(revision: int, node: NodeStatus) -> Lack:
    rejection = node.last_rejection
    if rejection is not None and rejection.revision.number >= revision:
        return Lack.REJECTED
    if newest_heard(node) >= revision:
        return Lack.NOT_HELD
    read = node.reads.get(CONFIGURATION) if node.reading else None
    if read is None:
        return Lack.NOT_HEARD
    return _why_not_read(read, node.source_answer_seconds or 0.0)


def _why_not_read(read: ReadStatus, usual: float) -> Lack:
    """Return why a reader has not heard of the revision; ``usual``: what its reads take."""
    if read.failures:
        return Lack.SOURCE_SLOW if read.failure in SLOW_FAILURES else Lack.SOURCE_FAILING
    if read.open_for is not None and read.open_for > read.may_wait + ANSWER_SECONDS:
        return Lack.SOURCE_SLOW
    return Lack.SOURCE_SLOW if usual > SLOW_ANSWER_SECONDS else Lack.NOT_HEARD
