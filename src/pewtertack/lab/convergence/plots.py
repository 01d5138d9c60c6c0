"""Plots of a convergence run, as SVG files."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from matplotlib import pyplot

from pewtertack.lab.convergence.recording import PointResult
from pewtertack.lab.pages.plots import FIGURE_INCHES, save_figure

ResultValue = Callable[[PointResult], float | None]
SeriesKey = tuple[int, int, float]
"""Nodes, routes and Mbit/s of the results that form one line of a plot."""


def plot_in_force(results: Sequence[PointResult], path: Path) -> None:
    """Plot the time until the edit is in force everywhere against the source's response time."""
    label = "seconds until in force at the last node"
    _plot(results, lambda result: result.in_force.last, label, path)


def plot_calls(results: Sequence[PointResult], path: Path) -> None:
    """Plot the calls that the slow source received against its response time."""
    _plot(results, lambda result: result.calls, "calls of the source", path)


def _plot(results: Sequence[PointResult], value: ResultValue, label: str, path: Path) -> None:
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    for series in sorted({_series_key(result) for result in results}):
        series_results = [result for result in results if _series_key(result) == series]
        points = [
            (result.point.answer_seconds, y_value)
            for result in sorted(series_results, key=lambda result: result.point.answer_seconds)
            if (y_value := value(result)) is not None
        ]
        seconds, y_values = [x for x, _ in points], [y for _, y in points]
        axes.plot(seconds, y_values, marker="o", label=_series_label(series))
    axes.set_xlabel("response time of the source in seconds")
    axes.set_ylabel(label)
    axes.legend(fontsize="small")
    save_figure(figure, path)


def _series_key(result: PointResult) -> SeriesKey:
    point = result.point
    return point.nodes, point.routes, point.link_mbps


def _series_label(series: SeriesKey) -> str:
    nodes, routes, link = series
    link_text = f", {link:g} Mbit/s" if link else ""
    return f"{nodes} nodes, {routes} routes{link_text}"
