"""Reads report files of scale runs and scenarios."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

import msgspec

from pewtertack.errors import LabError
from pewtertack.lab.report.report import Report
from pewtertack.lab.scale.report import ScaleReport


class ReportFileError(LabError):
    """A file is neither the report of a scale run nor that of a scenario."""

    code: ClassVar[str] = "report-file"


@dataclass(frozen=True, slots=True)
class NamedScaleReport:
    """A scale report and the name of its file, without suffix."""

    name: str
    report: ScaleReport


@dataclass(frozen=True, slots=True)
class NamedScenarioReport:
    """A scenario report and the name of its file, without suffix."""

    name: str
    report: Report


@dataclass(frozen=True, slots=True)
class Reports:
    """All reports of a page, each kind in the order of the files."""

    scales: tuple[NamedScaleReport, ...]
    scenarios: tuple[NamedScenarioReport, ...]


def read_reports(paths: Sequence[Path]) -> Reports:
    """Read report files.

    Raises:
        ReportFileError: a file cannot be read or is not a report.
    """
    reports = [_read_report(path) for path in paths]
    return Reports(
        tuple(item for item in reports if isinstance(item, NamedScaleReport)),
        tuple(item for item in reports if isinstance(item, NamedScenarioReport)),
    )


def _read_report(path: Path) -> NamedScaleReport | NamedScenarioReport:
    try:
        content = path.read_bytes()
    except OSError as error:
        raise ReportFileError(f"{path}: {error.strerror}") from error
    try:
        return NamedScaleReport(path.stem, msgspec.json.decode(content, type=ScaleReport))
    except msgspec.MsgspecError:
        pass
    try:
        return NamedScenarioReport(path.stem, msgspec.json.decode(content, type=Report))
    except msgspec.MsgspecError as error:
        raise ReportFileError(f"{path}: {error}") from error
