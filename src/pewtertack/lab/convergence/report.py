"""The report of a convergence run: a line for the terminal, Markdown with plots for a directory."""

from __future__ import annotations

from pathlib import Path

import msgspec

from pewtertack.lab.convergence.recording import Moments, PointResult
from pewtertack.lab.convergence.run import ConvergenceReport
from pewtertack.lab.pages.markdown import markdown_table

PAGE = "index.md"
DATA = "convergence.json"
PLOT = "convergence.svg"
CALLS_PLOT = "calls.svg"
NEVER = "never"
HEAD = (
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
    "readers changed",
    "failed reads",
    "KB a node",
)


def format_results(results: list[PointResult]) -> str:
    """Return a table of the results, in Markdown."""
    return markdown_table(HEAD, [_row(result) for result in results])


def format_line(result: PointResult) -> str:
    """Return one result as a line of progress."""
    point = result.point
    return (
        f"{point.nodes} nodes, {point.routes} routes, {point.answer_seconds:g} s an answer:"
        f" in force {_times(result.in_force)}, {result.calls} calls"
    )


def write_report(report: ConvergenceReport, directory: Path) -> Path:
    """Write page, plots and data into ``directory``; return the page's path."""
    from pewtertack.lab.convergence.plots import plot_calls, plot_in_force

    directory.mkdir(parents=True, exist_ok=True)
    (directory / DATA).write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    plot_in_force(report.results, directory / PLOT)
    plot_calls(report.results, directory / CALLS_PLOT)
    path = directory / PAGE
    path.write_text("\n".join(_parts(report)))
    return path


def _parts(report: ConvergenceReport) -> list[str]:
    without = f" without `{report.without}`" if report.without else ""
    kind = "virtual time" if _is_virtual(report) else "a process for each node"
    return [
        f"# Convergence while the source is slow: {report.label}{without}\n",
        f"Nodes in {kind}. Times are seconds from the acknowledgement of the edit; calls,"
        " changes of readers and failed reads are those of the whole time that the source was"
        " slow.\n",
        format_results(report.results),
        f"![in force at the last node]({PLOT})\n",
        f"![calls of the source]({CALLS_PLOT})\n",
        "## Why reads failed\n",
        markdown_table(
            ("nodes, answer s, routes, Mbit/s", "reason", "reads"),
            [
                (_name(result), reason, str(count))
                for result in report.results
                for reason, count in result.failures.items()
            ],
        ),
    ]


def _is_virtual(report: ConvergenceReport) -> bool:
    return any(result.virtual for result in report.results)


def _name(result: PointResult) -> str:
    point = result.point
    link = f"{point.link_mbps:g}" if point.link_mbps else "-"
    return f"{point.nodes}, {point.answer_seconds:g}, {point.routes}, {link}"


def _row(result: PointResult) -> tuple[str, ...]:
    point = result.point
    held, in_force = result.held, result.in_force
    received = result.bytes_per_node
    return (
        str(point.nodes),
        f"{point.answer_seconds:g}",
        str(point.routes),
        f"{point.link_mbps:g}" if point.link_mbps else "-",
        _seconds(held.first),
        _seconds(held.middle),
        _seconds(held.last),
        _seconds(in_force.first),
        _seconds(in_force.middle),
        _seconds(in_force.p99),
        _seconds(in_force.last),
        str(result.missing),
        str(result.calls),
        str(result.reader_changes),
        str(result.failed_reads),
        f"{received / 1000:.1f}" if received is not None else "-",
    )


def _times(moments: Moments) -> str:
    return ", ".join(_seconds(time) for time in (moments.first, moments.middle, moments.last))


def _seconds(time: float | None) -> str:
    return f"{time:.2f}" if time is not None else NEVER
