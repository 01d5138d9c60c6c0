"""Follows a rollout until it is settled or its time is over."""

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
ShowProgress = Callable[[float, RolloutReport], None]
"""Takes the seconds since the start, and what the nodes told."""


async def follow_rollout(
    read: ReadReports, version: int | None, wait: float, show: ShowProgress
) -> RolloutReport:
    """Ask the nodes until the rollout is settled or ``wait`` seconds are over.

    Without a ``version`` the newest that any node has heard of is followed; which one that
    is does not change any more once a node has told of one.

    Raises:
        NoRevisionError: no ``version`` is given, and no node tells of one in time.
    """
    began = anyio.current_time()
    chosen = version
    while True:
        reports = await read()
        waited = anyio.current_time() - began
        chosen = chosen or newest_revision(reports) or None
        if chosen is not None:
            report = rollout_report(revision_of_version(chosen, reports), reports)
            show(waited, report)
            if report.settled or waited >= wait:
                return report
        elif waited >= wait:
            raise _no_revision_error(reports)
        await anyio.sleep(min(POLL_SECONDS, max(wait - waited, 0.0)))


def _no_revision_error(reports: Sequence[NodeReport]) -> NoRevisionError:
    mute = [report for report in reports if report.status is None]
    text = f"none of {len(reports) - len(mute)} nodes that answer has heard of a revision"
    problems = "; ".join(f"{report.admin}: {report.problem}" for report in mute)
    return NoRevisionError(f"{text}; {problems}" if problems else text)
