"""What the tree commands print with ``--json``, and its making."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from pewtertack.core.configuration.changes import Change
from pewtertack.core.configuration.explanation import ExplainedValue, LevelValue
from pewtertack.core.configuration.findings import Finding


class FindingReport(msgspec.Struct, frozen=True):
    """One finding; ``path`` in the tree, ``zone`` where only its resolved view is broken."""

    code: str
    path: tuple[str, ...]
    message: str
    accepted: str
    zone: str | None


class CheckReport(msgspec.Struct, frozen=True):
    """Answer of ``pewtertack check``."""

    valid: bool
    findings: tuple[FindingReport, ...]


class LevelValueReport(msgspec.Struct, frozen=True):
    """What one level says of a setting."""

    level: str
    path: tuple[str, ...]
    value: Any
    deleted: bool


class ValueReport(msgspec.Struct, frozen=True):
    """One setting: the value in force and those that lose, the most specific first."""

    setting: str
    winner: LevelValueReport
    losers: tuple[LevelValueReport, ...]


class ExplainReport(msgspec.Struct, frozen=True):
    """Answer of ``pewtertack explain``."""

    zone: str
    route: str
    service: str
    route_values: tuple[ValueReport, ...]
    service_values: tuple[ValueReport, ...]


class ChangeReport(msgspec.Struct, frozen=True):
    """One difference; durations in seconds, secrets masked."""

    kind: str
    section: str
    name: str
    setting: str
    old: Any
    new: Any


class DiffReport(msgspec.Struct, frozen=True):
    """Answer of ``pewtertack diff``."""

    zone: str
    changes: tuple[ChangeReport, ...]


def report_findings(findings: Iterable[Finding]) -> CheckReport:
    """Return the report on a tree with these findings."""
    reports = tuple(
        FindingReport(
            finding.code.label, finding.path, finding.message, finding.accepted, finding.zone
        )
        for finding in findings
    )
    return CheckReport(not reports, reports)


def report_values(values: Iterable[ExplainedValue]) -> tuple[ValueReport, ...]:
    """Return the reports on explained values."""
    return tuple(
        ValueReport(
            value.setting,
            _report_level(value.winner),
            tuple(_report_level(loser) for loser in value.losers),
        )
        for value in values
    )


def _report_level(value: LevelValue) -> LevelValueReport:
    return LevelValueReport(value.level.value, value.path, value.value, value.deleted)


def report_changes(zone: str, changes: Iterable[Change]) -> DiffReport:
    """Return the report on what an edit changes in ``zone``."""
    reports = tuple(
        ChangeReport(
            change.kind.value,
            change.section.value,
            change.name,
            change.setting,
            change.old,
            change.new,
        )
        for change in changes
    )
    return DiffReport(zone, reports)
