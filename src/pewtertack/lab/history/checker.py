"""Checks histories, given as lines or as files, against all guarantees or a group of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from pathlib import Path
from typing import ClassVar

from pewtertack.errors import LabError
from pewtertack.lab.history import (
    acceptance_checks,
    configuration_checks,
    crash_checks,
    evacuation_checks,
    report_checks,
    request_checks,
    stop_checks,
)
from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Judgement, Verdict
from pewtertack.lab.records import HistoryLine, read_history

Check = Callable[[Timeline, CheckBounds], Verdict]


class HistoryFileError(LabError):
    """A history file cannot be read."""

    code: ClassVar[str] = "history-file"


class CheckGroup(StrEnum):
    """The group of guarantees to check."""

    ALL = "all"
    CONFIGURATION = "configuration"
    REQUESTS = "requests"


class UnknownGroupError(LabError):
    """No group of guarantees has the given name."""

    code: ClassVar[str] = "unknown-promises"


CONFIGURATION_CHECKS: tuple[Check, ...] = (
    configuration_checks.check_revisions_monotonic,
    configuration_checks.check_routes_complete,
    configuration_checks.check_revisions_intact,
    configuration_checks.check_rejected_never_in_force,
    acceptance_checks.check_in_force_everywhere,
    acceptance_checks.check_never_reverted,
)
REQUEST_CHECKS: tuple[Check, ...] = (
    request_checks.check_responses_intact_and_matching,
    request_checks.check_not_run_is_accurate,
    request_checks.check_at_most_once,
    request_checks.check_leaving_gets_no_work,
    request_checks.check_shutdown_cuts_nothing,
    stop_checks.check_shutdown_answers_all,
    stop_checks.check_running_node_answers_all,
)
CHECKS = {
    CheckGroup.ALL: (
        *CONFIGURATION_CHECKS,
        *REQUEST_CHECKS,
        crash_checks.check_crashing_requests_limited,
        evacuation_checks.check_evacuated_gets_no_requests,
        report_checks.check_rate_limits_kept,
        report_checks.check_leaving_answers_obeyed,
    ),
    CheckGroup.CONFIGURATION: CONFIGURATION_CHECKS,
    CheckGroup.REQUESTS: REQUEST_CHECKS,
}
DEFAULT_BOUNDS = CheckBounds()


def check_history(
    lines: Iterable[HistoryLine],
    bounds: CheckBounds = DEFAULT_BOUNDS,
    group: CheckGroup = CheckGroup.ALL,
) -> list[Verdict]:
    """Return one verdict for each guarantee of ``group``."""
    timeline = Timeline(lines)
    return [check(timeline, bounds) for check in CHECKS[group]]


def check_files(
    paths: Sequence[Path],
    bounds: CheckBounds = DEFAULT_BOUNDS,
    group: CheckGroup = CheckGroup.ALL,
) -> list[Verdict]:
    """Check the history whose lines are spread over ``paths``.

    Raises:
        HistoryFileError: a file cannot be read.
        HistoryFormatError: a line is neither a node event nor a lab record.
    """
    lines: list[HistoryLine] = []
    for path in paths:
        try:
            lines.extend(read_history(path.read_bytes().splitlines()))
        except OSError as error:
            raise HistoryFileError(f"{path}: {error.strerror}") from error
    return check_history(lines, bounds, group)


def all_held(verdicts: Iterable[Verdict]) -> bool:
    """Return whether every guarantee was tested and held."""
    return all(verdict.judgement is Judgement.HELD for verdict in verdicts)


def parse_check_group(name: str) -> CheckGroup:
    """Return the group called ``name``.

    Raises:
        UnknownGroupError: no group has this name.
    """
    try:
        return CheckGroup(name)
    except ValueError:
        raise UnknownGroupError(
            f"unknown group of guarantees {name!r}; accepted: {', '.join(CheckGroup)}"
        ) from None
