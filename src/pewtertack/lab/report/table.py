"""Plain text tables for the terminal."""

from __future__ import annotations

from collections.abc import Sequence

from pewtertack.lab.history.verdicts import Verdict
from pewtertack.lab.report.report import Report

MAX_SHOWN_VIOLATIONS = 5


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table whose first column is left-aligned and whose others are right-aligned."""
    cells = [list(header), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return "\n".join(_format_row(row, widths) for row in cells)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    first = row[0].ljust(widths[0])
    others = (cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True))
    return "  ".join((first, *others)).rstrip()


def format_verdicts(verdicts: Sequence[Verdict]) -> str:
    """Return one line per guarantee, each followed by its first violations."""
    lines = []
    for verdict in verdicts:
        lines.append(f"{verdict.promise:34} {verdict.judgement:9} judged {verdict.judged}")
        for violation in verdict.offences[:MAX_SHOWN_VIOLATIONS]:
            lines.append(f"    {violation.time:.3f} {violation.subject}: {violation.message}")
        hidden = len(verdict.offences) - MAX_SHOWN_VIOLATIONS
        if hidden > 0:
            lines.append(f"    and {hidden} more")
    return "\n".join(lines)


def format_report(report: Report) -> str:
    """Return the report as text for the terminal."""
    convergence, traffic = report.convergence, report.traffic
    cores, memory = report.resources.core_share, report.resources.resident_megabytes
    fleet, node = convergence.whole_fleet, convergence.each_node
    lines = [
        f"scenario {report.scenario}{_disabled_mechanism(report)}, seed {report.seed},"
        f" {report.seconds:.1f} s,"
        f" {report.nodes} nodes, {report.backends} back ends, {report.edits} edits",
        f"convergence, each node:   p50 {node.p50:.3f} s, p99 {node.p99:.3f} s,"
        f" max {node.max:.3f} s ({node.count} samples, {convergence.disturbed} disturbed,"
        f" {convergence.missing} missing)",
        f"convergence, whole fleet: p50 {fleet.p50:.3f} s, max {fleet.max:.3f} s",
        f"peer bytes sent per node and second: control {traffic.control:.0f},"
        f" configuration {traffic.configuration:.0f}, machine list {traffic.machine_list:.0f}"
        f" ({traffic.nodes} nodes over {traffic.seconds:.1f} s)",
        f"nodes, including callers' requests: {cores.p50:.1%} of a core, max {cores.max:.1%};"
        f" {memory.p50:.1f} MB, max {memory.max:.1f} MB",
        f"source: at most {report.source.peak_readers} concurrent readers,"
        f" {report.source.bytes_served} bytes served",
        "",
        _outcome_table(report),
        "",
        format_verdicts(report.verdicts),
    ]
    lines += [f"problem: {problem}" for problem in report.problems]
    return "\n".join(lines)


def _disabled_mechanism(report: Report) -> str:
    return f" without {report.without}" if report.without else ""


def _outcome_table(report: Report) -> str:
    outcomes = sorted({name for route in report.routes.values() for name in route.outcomes})
    rows = [
        [
            name,
            *[route.outcomes.get(outcome, 0) for outcome in outcomes],
            f"{route.latency.p50 * 1000:.1f}",
            f"{route.latency.p99 * 1000:.1f}",
        ]
        for name, route in report.routes.items()
    ]
    return format_table(["route", *outcomes, "p50 ms", "p99 ms"], rows)
