"""The reports that the tree commands print with ``--json``."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from pewtertack.core.configuration.changes import Change
from pewtertack.core.configuration.explanation import ExplainedValue, LevelValue
from pewtertack.core.configuration.findings import Finding


class FindingReport(msgspec.Struct, frozen=True):
    """One finding at ``path``; ``zone`` is set if only the resolved tree of a zone is invalid."""

    code: str
    path: tuple[str, ...]
    message: str
    accepted: str
    zone: str | None


class CheckReport(msgspec.Struct, frozen=True):
    """Output of ``pewtertack check``."""

    valid: bool
    findings: tuple[FindingReport, ...]


class LevelValueReport(msgspec.Struct, frozen=True):
    """The value of a setting at one level."""

    level: str
    path: tuple[str, ...]
    value: Any
    deleted: bool


class ValueReport(msgspec.Struct, frozen=True):
    """One setting: the effective value and the overridden ones, most specific first."""

    setting: str
    winner: LevelValueReport
    losers: tuple[LevelValueReport, ...]


class ExplainReport(msgspec.Struct, frozen=True):
    """Output of ``pewtertack explain``."""

    zone: str
    route: str
    service: str
    route_values: tuple[ValueReport, ...]
    service_values: tuple[ValueReport, ...]


class ChangeReport(msgspec.Struct, frozen=True):
    """One difference; durations are in seconds and secrets are masked."""

    kind: str
    section: str
    name: str
    setting: str
    old: Any
    new: Any


class DiffReport(msgspec.Struct, frozen=True):
    """Output of ``pewtertack diff``."""

    zone: str
    changes: tuple[ChangeReport, ...]


def report_findings(findings: Iterable[Finding]) -> CheckReport:
    """Return the report for a tree with the given findings."""
    reports = tuple(
        FindingReport(
            finding.code.label, finding.path, finding.message, finding.accepted, finding.zone
        )
        for finding in findings
    )
    return CheckReport(not reports, reports)


def report_values(values: Iterable[ExplainedValue]) -> tuple[ValueReport, ...]:
    """Return the reports for explained values."""
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
    """Return the report for the changes of an edit in ``zone``."""
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
