"""Polls the nodes until a rollout is settled or the time limit has passed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio

from pewtertack.cli.rollout_reports import (
    NoRevisionError,
    RolloutReport,
    newest_revision,
    revision_of_version,
    rollout_report,
)
from pewtertack.cli.status_reports import NodeReport

POLL_SECONDS = 0.5

ReadReports = Callable[[], Awaitable[Sequence[NodeReport]]]
ReportProgress = Callable[[float, RolloutReport], None]
"""Receives the seconds since the start and the latest report."""


async def follow_rollout(
    read_reports: ReadReports, version: int | None, wait: float, report_progress: ReportProgress
) -> RolloutReport:
    """Poll the nodes until the rollout is settled or ``wait`` seconds have passed.

    Without a ``version``, the newest one known to any node is followed; the choice stays fixed
    once a node has reported one.

    Raises:
        NoRevisionError: no ``version`` is given, and no node reports one in time.
    """
    started_at = anyio.current_time()
    followed = version
    while True:
        reports = await read_reports()
        elapsed_seconds = anyio.current_time() - started_at
        followed = followed or newest_revision(reports) or None
        if followed is not None:
            report = rollout_report(revision_of_version(followed, reports), reports)
            report_progress(elapsed_seconds, report)
            if report.settled or elapsed_seconds >= wait:
                return report
        elif elapsed_seconds >= wait:
            raise _no_revision_error(reports)
        await anyio.sleep(min(POLL_SECONDS, max(wait - elapsed_seconds, 0.0)))


def _no_revision_error(reports: Sequence[NodeReport]) -> NoRevisionError:
    unreachable = [report for report in reports if report.status is None]
    text = f"none of {len(reports) - len(unreachable)} reachable nodes knows of a revision"
    problems = "; ".join(f"{report.admin}: {report.problem}" for report in unreachable)
    return NoRevisionError(f"{text}; {problems}" if problems else text)
