"""Plots of a convergence run, as SVG files."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from matplotlib import pyplot

from pewtertack.lab.convergence.recording import PointResult
from pewtertack.lab.pages.plots import FIGURE_INCHES, save_figure

Value = Callable[[PointResult], float | None]
Series = tuple[int, int, float]
"""Nodes, routes and Mbit/s."""


def plot_in_force(results: Sequence[PointResult], path: Path) -> None:
    """Plot when an edit was in force at the last node against the source's time for an answer."""
    label = "seconds until in force at the last node"
    _plot(results, lambda result: result.in_force.last, label, path)


def plot_calls(results: Sequence[PointResult], path: Path) -> None:
    """Plot the calls that the source got while it was slow against its time for an answer."""
    _plot(results, lambda result: result.calls, "calls of the source", path)


def _plot(results: Sequence[PointResult], value: Value, label: str, path: Path) -> None:
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for series in sorted({_series(result) for result in results}):
        chosen = [result for result in results if _series(result) == series]
        points = [
            (result.point.answer_seconds, height)
            for result in sorted(chosen, key=lambda result: result.point.answer_seconds)
            if (height := value(result)) is not None
        ]
        seconds, heights = [x for x, _ in points], [y for _, y in points]
        axes.plot(seconds, heights, marker="o", label=_label(series))
    axes.set_xlabel("seconds that an answer of the source takes")
    axes.set_ylabel(label)
    axes.legend(fontsize="small")
    save_figure(figure, path)


def _series(result: PointResult) -> Series:
    point = result.point
    return point.nodes, point.routes, point.link_mbps


def _label(series: Series) -> str:
    nodes, routes, link = series
    told = f", {link:g} Mbit/s" if link else ""
    return f"{nodes} nodes, {routes} routes{told}"
