"""``pewtertack lab scale`` and ``lab report``: simulations at fleet size, and report pages."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def scale(
    nodes: Annotated[int, typer.Option(help="Simulated nodes, all in this process.")] = 200,
    zones: int = 5,
    regions: int = 2,
    services: Annotated[
        int, typer.Option(help="Services of the tree, with two routes each.")
    ] = 240,
    edits: Annotated[int, typer.Option(help="Edits in the phase named edits.")] = 4,
    seed: int = 1,
    profile: Annotated[str, typer.Option(help="fast, frugal, direct or leased.")] = "fast",
    report: Annotated[Path | None, typer.Option(help="File for the report, as JSON.")] = None,
    quiet: Annotated[bool, typer.Option(help="Print no progress.")] = False,
) -> None:
    """Simulate nodes in virtual time; measure traffic, processor time and convergence."""
    from pewtertack.lab.scale.report import format_summary, write_report
    from pewtertack.lab.scale.run import ScaleSettings, run_scale

    settings = ScaleSettings(nodes, zones, regions, services, edits, seed, profile)
    result = run_scale(settings, lambda line: None if quiet else typer.echo(line, err=True))
    if report is not None:
        write_report(result, report)
    typer.echo(format_summary(result))


def report(
    files: Annotated[list[Path], typer.Argument(help="Reports of lab scale and lab run.")],
    out: Annotated[Path, typer.Option(help="Directory for the page.")],
) -> None:
    """Write a page with tables and plots, comparing the first and the last scale run."""
    from pewtertack.lab.pages.inputs import read_reports
    from pewtertack.lab.pages.page import write_page

    typer.echo(f"wrote {write_page(read_reports(files), out)}")
