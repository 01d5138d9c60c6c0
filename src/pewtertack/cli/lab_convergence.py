"""``pewtertack lab convergence``: time until an edit is in force while the source is slow."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

DEFAULT_RESPONSE_SECONDS = [0.004, 1.0, 4.0]


def convergence(
    nodes: Annotated[list[int], typer.Option(help="Number of nodes; repeatable.")] = [18],  # noqa: B006
    routes: Annotated[list[int], typer.Option(help="Added routes; repeatable.")] = [1400],  # noqa: B006
    answer: Annotated[
        list[float], typer.Option(help="Seconds until the source responds; repeatable.")
    ] = DEFAULT_RESPONSE_SECONDS,
    link: Annotated[
        list[float], typer.Option(help="Mbit/s of each machine's link, 0 for no limit; repeatable.")
    ] = [0.0],  # noqa: B006
    slow_before: Annotated[
        float, typer.Option(help="Seconds for which the source is slow before the edit.")
    ] = 12.0,
    seed: Annotated[int, typer.Option(help="Seed of random choices in virtual time.")] = 1,
    virtual: Annotated[
        bool, typer.Option("--virtual", help="Simulate the nodes in virtual time.")
    ] = False,
    without: Annotated[str, typer.Option(help="Mechanism to disable in all nodes.")] = "",
    label: Annotated[str, typer.Option(help="Name of the program in the report.")] = "this program",
    out: Annotated[Path | None, typer.Option(help="Directory for the report.")] = None,
    quiet: Annotated[bool, typer.Option(help="Print no progress.")] = False,
) -> None:
    """Edit fleets whose source is slow, and measure when the edit is in force at each node."""
    from pewtertack.cli.lab import run_fleet
    from pewtertack.lab.convergence.options import ConvergenceOptions
    from pewtertack.lab.convergence.recording import PointResult
    from pewtertack.lab.convergence.report import format_line, format_results, write_report
    from pewtertack.lab.convergence.run import run_convergence

    def show(result: PointResult) -> None:
        if not quiet:
            typer.echo(format_line(result), err=True)

    options = ConvergenceOptions(
        nodes, routes, answer, link, slow_before, seed, virtual=virtual, without=without
    )
    report = run_fleet(run_convergence, options, label, show)
    typer.echo(format_results(report.results))
    if out is not None:
        typer.echo(f"wrote {write_report(report, out)}")
