"""Writes one page for a set of reports."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from pewtertack.lab.pages import plots, scale_tables
from pewtertack.lab.pages.inputs import NamedScale, NamedScenario, Reports
from pewtertack.lab.pages.markdown import markdown_table

PAGE = "index.md"


def write_page(reports: Reports, directory: Path) -> Path:
    """Write the page and its plots into ``directory`` and return the page's path."""
    directory.mkdir(parents=True, exist_ok=True)
    parts = ["# Measurements\n"]
    if reports.scales:
        parts += _scale_parts(reports.scales, directory)
    if reports.scenarios:
        parts += _scenario_parts(reports.scenarios, directory)
    path = directory / PAGE
    path.write_text("\n".join(parts))
    return path


def _scale_parts(scales: Sequence[NamedScale], directory: Path) -> list[str]:
    plots.plot_convergence(scales, directory / "convergence.svg")
    plots.plot_bytes_by_size(scales, directory / "bytes-by-size.svg")
    parts = [
        "## Scale runs\n",
        scale_tables.summary_table(scales),
        "## Convergence\n",
        scale_tables.convergence_table(scales),
        "![convergence](convergence.svg)\n",
        "## Traffic and processor time, a node\n",
        scale_tables.rates_table(scales),
        "![bytes a node against fleet size](bytes-by-size.svg)\n",
        "## Baseline: every node polls whole snapshots\n",
        scale_tables.baseline_table(scales),
    ]
    if len(scales) > 1:
        first, last = scales[0], scales[-1]
        parts += [
            f"## {first.name} against {last.name}\n",
            scale_tables.comparison_table(first, last),
        ]
    return parts


def _scenario_parts(scenarios: Sequence[NamedScenario], directory: Path) -> list[str]:
    plots.plot_outcomes(scenarios, directory / "outcomes.svg")
    return [
        "## Scenarios in real processes\n",
        _scenario_table(scenarios),
        "## What callers were told\n",
        _route_table(scenarios),
        "![outcomes](outcomes.svg)\n",
    ]


def _scenario_table(scenarios: Sequence[NamedScenario]) -> str:
    head = ("report", "scenario", "seed", "nodes", "edits", "p50 s", "p99 s", "max s", "passed")
    rows = []
    for item in scenarios:
        report = item.report
        spread = report.convergence.each_node
        rows.append(
            (
                item.name,
                report.scenario,
                str(report.seed),
                str(report.nodes),
                str(report.edits),
                f"{spread.p50:.3f}",
                f"{spread.p99:.3f}",
                f"{spread.max:.3f}",
                "yes" if report.passed else "no",
            )
        )
    return markdown_table(head, rows)


def _route_table(scenarios: Sequence[NamedScenario]) -> str:
    head = ("report, route", "outcomes", "p50 s", "p99 s", "max s")
    rows = [
        (
            f"{item.name}, {route}",
            ", ".join(f"{kind} {count}" for kind, count in sorted(told.outcomes.items())),
            f"{told.latency.p50:.4f}",
            f"{told.latency.p99:.4f}",
            f"{told.latency.max:.4f}",
        )
        for item in scenarios
        for route, told in sorted(item.report.routes.items())
    ]
    return markdown_table(head, rows)
