"""Plots of reports, as SVG files."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from pewtertack.lab.crashes.simulation import CrashResult  # noqa: E402
from pewtertack.lab.pages.inputs import NamedScale, NamedScenario  # noqa: E402
from pewtertack.lab.scale.report import PhaseReport  # noqa: E402

FIGURE_INCHES = (7.0, 4.0)
MEASURED_PHASES = ("idle", "edits", "churn", "storm")
CONVERGENCE_BUDGET_SECONDS = 12.0
BYTES_BUDGET = 6000.0


def plot_convergence(scales: Sequence[NamedScale], path: Path) -> None:
    """Plot how large a share of the nodes had an edit in force after which time."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for item in scales:
        for phase in item.report.phases:
            if phase.convergence_percentiles:
                shares = list(range(len(phase.convergence_percentiles)))
                label = f"{item.name}, {phase.name}"
                axes.plot(phase.convergence_percentiles, shares, label=label)
    axes.set_xscale("log")
    axes.set_xlabel("seconds from the edit at the source")
    axes.set_ylabel("% of nodes and edits in force")
    axes.legend(fontsize="small")
    save_figure(figure, path)


def plot_bytes_by_size(scales: Sequence[NamedScale], path: Path) -> None:
    """Plot the bytes that a node receives a second against the fleet's size, by phase."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for profile in sorted({item.report.profile for item in scales}):
        chosen = [item.report for item in scales if item.report.profile == profile]
        chosen.sort(key=lambda report: report.nodes)
        for name in MEASURED_PHASES:
            values = [received_mean(report.phase(name)) for report in chosen]
            sizes = [report.nodes for report in chosen]
            axes.plot(sizes, values, marker="o", label=f"{profile}, {name}")
    axes.axhline(BYTES_BUDGET, linestyle="--", color="grey")
    axes.set_xscale("log")
    axes.set_xlabel("nodes")
    axes.set_ylabel("bytes received a node and second")
    axes.legend(fontsize="small")
    save_figure(figure, path)


def received_mean(phase: PhaseReport) -> float:
    """Return the bytes received a second by an average node of any role."""
    nodes = sum(rates.nodes for rates in phase.roles.values())
    total = sum(rates.nodes * rates.received_bytes_mean for rates in phase.roles.values())
    return total / nodes if nodes else 0.0


def plot_outcomes(scenarios: Sequence[NamedScenario], path: Path) -> None:
    """Plot what callers were told, as shares of each route's requests."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    bars = [
        (f"{item.name}\n{route}", told.outcomes)
        for item in scenarios
        for route, told in sorted(item.report.routes.items())
    ]
    kinds = sorted({kind for _, outcomes in bars for kind in outcomes})
    left = [0.0] * len(bars)
    labels = [label for label, _ in bars]
    for kind in kinds:
        shares = [_share(outcomes, kind) for _, outcomes in bars]
        axes.barh(labels, shares, left=left, label=kind)
        left = [before + share for before, share in zip(left, shares, strict=True)]
    axes.set_xlabel("% of requests")
    axes.tick_params(axis="y", labelsize="x-small")
    axes.legend(fontsize="small")
    save_figure(figure, path)


def plot_crashes(results: Sequence[CrashResult], path: Path) -> None:
    """Plot back ends that ended, and the share of ordinary requests served, by second."""
    figure, (ends, served) = pyplot.subplots(2, 1, sharex=True, figsize=FIGURE_INCHES)
    for result in results:
        seconds = [second for second in result.by_second if second.ordinary]
        told = "told" if result.shape.ledger else "not told"
        label = f"{result.shape.nodes} nodes, ends {told}"
        ends.plot([second.ends for second in seconds], label=label)
        served.plot([100 * second.served / second.ordinary for second in seconds], label=label)
    ends.set_ylabel("back ends ended")
    served.set_ylabel("% of others served")
    served.set_xlabel("seconds")
    ends.legend(fontsize="small")
    save_figure(figure, path)


def _share(outcomes: dict[str, int], kind: str) -> float:
    total = sum(outcomes.values())
    return 100 * outcomes.get(kind, 0) / total if total else 0.0


def save_figure(figure: Figure, path: Path) -> None:
    """Write ``figure`` as SVG, the same for the same data, and close it."""
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
