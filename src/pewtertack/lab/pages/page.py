"""Writes a Markdown page with tables and plots for a set of reports."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from pewtertack.lab.pages import plots, scale_tables
from pewtertack.lab.pages.inputs import NamedScaleReport, NamedScenarioReport, Reports
from pewtertack.lab.pages.markdown import markdown_table

PAGE_FILE = "index.md"


def write_page(reports: Reports, directory: Path) -> Path:
    """Write the page and its plots into ``directory`` and return the page's path."""
    directory.mkdir(parents=True, exist_ok=True)
    sections = ["# Measurements\n"]
    if reports.scales:
        sections += _scale_sections(reports.scales, directory)
    if reports.scenarios:
        sections += _scenario_sections(reports.scenarios, directory)
    path = directory / PAGE_FILE
    path.write_text("\n".join(sections))
    return path


def _scale_sections(scales: Sequence[NamedScaleReport], directory: Path) -> list[str]:
    plots.plot_convergence(scales, directory / "convergence.svg")
    plots.plot_bytes_by_size(scales, directory / "bytes-by-size.svg")
    sections = [
        "## Scale runs\n",
        scale_tables.summary_table(scales),
        "## Convergence\n",
        scale_tables.convergence_table(scales),
        "![convergence](convergence.svg)\n",
        "## Traffic and processor time per node\n",
        scale_tables.rates_table(scales),
        "![bytes per node by fleet size](bytes-by-size.svg)\n",
        "## Baseline: every node polls whole snapshots\n",
        scale_tables.baseline_table(scales),
    ]
    if len(scales) > 1:
        first, last = scales[0], scales[-1]
        sections += [
            f"## {first.name} against {last.name}\n",
            scale_tables.comparison_table(first, last),
        ]
    return sections


def _scenario_sections(scenarios: Sequence[NamedScenarioReport], directory: Path) -> list[str]:
    plots.plot_outcomes(scenarios, directory / "outcomes.svg")
    return [
        "## Scenarios in real processes\n",
        _scenario_table(scenarios),
        "## Outcomes of requests by route\n",
        _route_table(scenarios),
        "![outcomes](outcomes.svg)\n",
    ]


def _scenario_table(scenarios: Sequence[NamedScenarioReport]) -> str:
    header = ("report", "scenario", "seed", "nodes", "edits", "p50 s", "p99 s", "max s", "passed")
    rows = []
    for item in scenarios:
        report = item.report
        convergence = report.convergence.each_node
        rows.append(
            (
                item.name,
                report.scenario,
                str(report.seed),
                str(report.nodes),
                str(report.edits),
                f"{convergence.p50:.3f}",
                f"{convergence.p99:.3f}",
                f"{convergence.max:.3f}",
                "yes" if report.passed else "no",
            )
        )
    return markdown_table(header, rows)


def _route_table(scenarios: Sequence[NamedScenarioReport]) -> str:
    header = ("report, route", "outcomes", "p50 s", "p99 s", "max s")
    rows = [
        (
            f"{item.name}, {route}",
            ", ".join(f"{kind} {count}" for kind, count in sorted(traffic.outcomes.items())),
            f"{traffic.latency.p50:.4f}",
            f"{traffic.latency.p99:.4f}",
            f"{traffic.latency.max:.4f}",
        )
        for item in scenarios
        for route, traffic in sorted(item.report.routes.items())
    ]
    return markdown_table(header, rows)
