"""Formats the report of a convergence run: terminal output, and a Markdown page with plots."""

from __future__ import annotations

from pathlib import Path

import msgspec

from pewtertack.lab.convergence.recording import PointResult, StageTimes
from pewtertack.lab.convergence.run import ConvergenceReport
from pewtertack.lab.pages.markdown import markdown_table

PAGE_FILE = "index.md"
DATA_FILE = "convergence.json"
IN_FORCE_PLOT_FILE = "convergence.svg"
CALLS_PLOT_FILE = "calls.svg"
NEVER = "never"
HEADER = (
    "nodes",
    "answer s",
    "routes",
    "Mbit/s",
    "held first",
    "middle",
    "last",
    "in force first",
    "middle",
    "p99",
    "last",
    "missing",
    "calls",
    "reader changes",
    "failed reads",
    "KB per node",
)


def format_results(results: list[PointResult]) -> str:
    """Return a table of the results, in Markdown."""
    return markdown_table(HEADER, [_result_row(result) for result in results])


def format_line(result: PointResult) -> str:
    """Return one result as a progress line."""
    point = result.point
    return (
        f"{point.nodes} nodes, {point.routes} routes, {point.answer_seconds:g} s per response:"
        f" in force {_format_times(result.in_force)}, {result.calls} calls"
    )


def write_report(report: ConvergenceReport, directory: Path) -> Path:
    """Write the page, its plots and the data into ``directory`` and return the page's path."""
    from pewtertack.lab.convergence.plots import plot_calls, plot_in_force

    directory.mkdir(parents=True, exist_ok=True)
    (directory / DATA_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    plot_in_force(report.results, directory / IN_FORCE_PLOT_FILE)
    plot_calls(report.results, directory / CALLS_PLOT_FILE)
    path = directory / PAGE_FILE
    path.write_text("\n".join(_page_sections(report)))
    return path


def _page_sections(report: ConvergenceReport) -> list[str]:
    without = f" without `{report.without}`" if report.without else ""
    kind = "simulated in virtual time" if _is_virtual(report) else "run as real processes"
    return [
        f"# Convergence while the source is slow: {report.label}{without}\n",
        f"Nodes are {kind}. Times are seconds after the acknowledgement of the edit; calls,"
        " reader changes and failed reads are counted over the whole time for which the source"
        " was slow.\n",
        format_results(report.results),
        f"![in force at the last node]({IN_FORCE_PLOT_FILE})\n",
        f"![calls of the source]({CALLS_PLOT_FILE})\n",
        "## Reasons of failed reads\n",
        markdown_table(
            ("nodes, answer s, routes, Mbit/s", "reason", "reads"),
            [
                (_point_label(result), reason, str(count))
                for result in report.results
                for reason, count in result.failures.items()
            ],
        ),
    ]


def _is_virtual(report: ConvergenceReport) -> bool:
    return any(result.virtual for result in report.results)


def _point_label(result: PointResult) -> str:
    point = result.point
    link = f"{point.link_mbps:g}" if point.link_mbps else "-"
    return f"{point.nodes}, {point.answer_seconds:g}, {point.routes}, {link}"


def _result_row(result: PointResult) -> tuple[str, ...]:
    point = result.point
    held, in_force = result.held, result.in_force
    received_bytes = result.bytes_per_node
    return (
        str(point.nodes),
        f"{point.answer_seconds:g}",
        str(point.routes),
        f"{point.link_mbps:g}" if point.link_mbps else "-",
        _format_seconds(held.first),
        _format_seconds(held.middle),
        _format_seconds(held.last),
        _format_seconds(in_force.first),
        _format_seconds(in_force.middle),
        _format_seconds(in_force.p99),
        _format_seconds(in_force.last),
        str(result.missing),
        str(result.calls),
        str(result.reader_changes),
        str(result.failed_reads),
        f"{received_bytes / 1000:.1f}" if received_bytes is not None else "-",
    )


def _format_times(times: StageTimes) -> str:
    return ", ".join(_format_seconds(time) for time in (times.first, times.middle, times.last))


def _format_seconds(time: float | None) -> str:
    return f"{time:.2f}" if time is not None else NEVER
