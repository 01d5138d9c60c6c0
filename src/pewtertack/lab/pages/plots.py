"""Plots of reports, as SVG files."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from pewtertack.lab.crashes.simulation import CrashResult  # noqa: E402
from pewtertack.lab.pages.inputs import NamedScaleReport, NamedScenarioReport  # noqa: E402
from pewtertack.lab.scale.report import PhaseReport  # noqa: E402

FIGURE_INCHES = (7.0, 4.0)
MEASURED_PHASES = ("idle", "edits", "churn", "storm")
BYTES_PER_SECOND_BUDGET = 6000.0


def plot_convergence(scales: Sequence[NamedScaleReport], path: Path) -> None:
    """Plot the percentage of nodes that have an edit in force over the time since the edit."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for item in scales:
        for phase in item.report.phases:
            if phase.convergence_percentiles:
                shares = list(range(len(phase.convergence_percentiles)))
                label = f"{item.name}, {phase.name}"
                axes.plot(phase.convergence_percentiles, shares, label=label)
    axes.set_xscale("log")
    axes.set_xlabel("seconds from the edit at the source")
    axes.set_ylabel("% of pairs of node and edit in force")
    axes.legend(fontsize="small")
    save_figure(figure, path)


def plot_bytes_by_size(scales: Sequence[NamedScaleReport], path: Path) -> None:
    """Plot the bytes that a node receives per second by the size of the fleet, for each phase."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for profile in sorted({item.report.profile for item in scales}):
        reports = [item.report for item in scales if item.report.profile == profile]
        reports.sort(key=lambda report: report.nodes)
        for name in MEASURED_PHASES:
            values = [mean_received_bytes(report.phase(name)) for report in reports]
            sizes = [report.nodes for report in reports]
            axes.plot(sizes, values, marker="o", label=f"{profile}, {name}")
    axes.axhline(BYTES_PER_SECOND_BUDGET, linestyle="--", color="grey")
    axes.set_xscale("log")
    axes.set_xlabel("nodes")
    axes.set_ylabel("bytes received per node and second")
    axes.legend(fontsize="small")
    save_figure(figure, path)


def mean_received_bytes(phase: PhaseReport) -> float:
    """Return the bytes received per second and node, averaged over the nodes of all roles."""
    nodes = sum(rates.nodes for rates in phase.roles.values())
    total = sum(rates.nodes * rates.received_bytes_mean for rates in phase.roles.values())
    return total / nodes if nodes else 0.0


def plot_outcomes(scenarios: Sequence[NamedScenarioReport], path: Path) -> None:
    """Plot the outcomes of requests, as percentages of each route's requests."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    routes = [
        (f"{item.name}\n{route_name}", traffic.outcomes)
        for item in scenarios
        for route_name, traffic in sorted(item.report.routes.items())
    ]
    kinds = sorted({kind for _, outcomes in routes for kind in outcomes})
    offsets = [0.0] * len(routes)
    labels = [label for label, _ in routes]
    for kind in kinds:
        shares = [_percentage(outcomes, kind) for _, outcomes in routes]
        axes.barh(labels, shares, left=offsets, label=kind)
        offsets = [offset + share for offset, share in zip(offsets, shares, strict=True)]
    axes.set_xlabel("% of requests")
    axes.tick_params(axis="y", labelsize="x-small")
    axes.legend(fontsize="small")
    save_figure(figure, path)


def plot_crashes(results: Sequence[CrashResult], path: Path) -> None:
    """Plot the crashed back ends and the percentage of ordinary requests served, per second."""
    figure, (crash_axes, served_axes) = pyplot.subplots(2, 1, sharex=True, figsize=FIGURE_INCHES)
    for result in results:
        seconds = [second for second in result.by_second if second.ordinary]
        reporting = "reported" if result.shape.ledger else "not reported"
        label = f"{result.shape.nodes} nodes, crashes {reporting}"
        crash_axes.plot([second.ends for second in seconds], label=label)
        served_axes.plot([100 * second.served / second.ordinary for second in seconds], label=label)
    crash_axes.set_ylabel("crashed back ends")
    served_axes.set_ylabel("% of others served")
    served_axes.set_xlabel("seconds")
    crash_axes.legend(fontsize="small")
    save_figure(figure, path)


def _percentage(outcomes: dict[str, int], kind: str) -> float:
    total = sum(outcomes.values())
    return 100 * outcomes.get(kind, 0) / total if total else 0.0


def save_figure(figure: Figure, path: Path) -> None:
    """Write ``figure`` as SVG without a date, so that equal data give equal files, and close it."""
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
