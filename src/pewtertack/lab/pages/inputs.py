"""Reading report files of either kind."""

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
    """A file holds neither the report of a scale run nor that of a scenario."""

    code: ClassVar[str] = "report-file"


@dataclass(frozen=True, slots=True)
class NamedScale:
    """A scale report under the name of its file."""

    name: str
    report: ScaleReport


@dataclass(frozen=True, slots=True)
class NamedScenario:
    """A scenario's report under the name of its file."""

    name: str
    report: Report


@dataclass(frozen=True, slots=True)
class Reports:
    """All reports of a page, in the order of the files."""

    scales: tuple[NamedScale, ...]
    scenarios: tuple[NamedScenario, ...]


def read_reports(paths: Sequence[Path]) -> Reports:
    """Read report files.

    Raises:
        ReportFileError: a file cannot be read or holds something else.
    """
    found = [_read(path) for path in paths]
    return Reports(
        tuple(item for item in found if isinstance(item, NamedScale)),
        tuple(item for item in found if isinstance(item, NamedScenario)),
    )


def _read(path: Path) -> NamedScale | NamedScenario:
    try:
        content = path.read_bytes()
    except OSError as error:
        raise ReportFileError(f"{path}: {error.strerror}") from error
    try:
        return NamedScale(path.stem, msgspec.json.decode(content, type=ScaleReport))
    except msgspec.MsgspecError:
        pass
    try:
        return NamedScenario(path.stem, msgspec.json.decode(content, type=Report))
    except msgspec.MsgspecError as error:
        raise ReportFileError(f"{path}: {error}") from error
