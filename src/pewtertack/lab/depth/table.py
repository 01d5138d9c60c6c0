"""Formats a depth report as a Markdown table."""

from __future__ import annotations

from collections.abc import Iterator

from pewtertack.lab.depth.simulation import DepthReport, DepthResult

COLUMNS = (
    "scenario",
    "policy",
    "depth",
    "answered",
    "afterwards",
    "calls at the deepest",
    "attempts at the deepest",
    "worst request",
    "attempts a level",
    "late work",
    "failure to top p50, p99 ms",
)


def markdown_lines(report: DepthReport) -> Iterator[str]:
    """Yield the lines of the table. "≥" marks runs in which requests reached the attempt limit."""
    yield "| " + " | ".join(COLUMNS) + " |"
    yield "|" + "---|" * len(COLUMNS)
    for run in report.runs:
        yield "| " + " | ".join(_cells(run)) + " |"


def _cells(run: DepthResult) -> tuple[str, ...]:
    bound = "≥ " if run.capped else ""
    return (
        run.scenario,
        run.policy,
        str(run.depth),
        f"{run.answered_share:.1%}",
        f"{run.answered_share_after:.1%}",
        f"{bound}{run.deepest_calls:.2f}",
        f"{bound}{run.deepest_attempts:.2f}",
        f"{bound}{run.worst_request}",
        f"{bound}{run.attempts_per_level:.2f}",
        f"{run.late_work_share:.1%}",
        f"{run.failure_to_top_p50:.0f}, {run.failure_to_top_p99:.0f}"
        if run.failure_to_top_p99
        else "–",
    )
