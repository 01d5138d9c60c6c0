"""``pewtertack lab node-cost`` and related commands: resource usage of nodes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import anyio
import msgspec
import typer

from pewtertack.lab.errors import LabUsageError


def node_cost(
    deployment: Annotated[str, typer.Option(help="lagos or kolkata.")] = "lagos",
    nodes_per_zone: int = 2,
    rate: Annotated[float, typer.Option(help="Calls per second at one node.")] = 45.0,
    rounds: Annotated[int, typer.Option(help="Measurement windows per state.")] = 3,
    seconds: Annotated[float, typer.Option(help="Duration of one window in seconds.")] = 15.0,
    seed: int = 1,
    report: Annotated[Path | None, typer.Option(help="File for the report, as JSON.")] = None,
    examples: Annotated[Path, typer.Option(help="Directory of the trees.")] = Path("examples"),
) -> None:
    """Measure memory and processor time of real nodes, idle and under load."""
    from pewtertack.lab.cost.measurement import NodeCostSettings, measure_node_cost
    from pewtertack.lab.cost.report import format_node_cost
    from pewtertack.lab.deployments import shape_of

    shape = shape_of(deployment, examples, nodes_per_zone)
    settings = NodeCostSettings(rate=rate, rounds=rounds, window_seconds=seconds, seed=seed)

    def progress(line: str) -> None:
        typer.echo(line, err=True)

    result = anyio.run(measure_node_cost, shape, settings, progress)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    typer.echo(format_node_cost(result))


def request_cost(
    calls: Annotated[int, typer.Option(help="Calls of each kind.")] = 2000,
    rate: Annotated[float, typer.Option(help="Calls per second; 0 for sequential calls.")] = 0.0,
    profile: Annotated[bool, typer.Option(help="Also print a profile.")] = False,
    kind: Annotated[list[str] | None, typer.Option(help="Only this kind; repeatable.")] = None,
) -> None:
    """Measure the processor time of served and rejected requests over two nodes."""
    from pewtertack.lab.cost.calls import CallKind
    from pewtertack.lab.cost.requests import (
        RequestCostSettings,
        format_request_costs,
        measure_request_costs,
    )
    from pewtertack.node import collector

    collector.resume()
    try:
        kinds = tuple(CallKind(text) for text in kind) if kind else tuple(CallKind)
    except ValueError as error:
        known = ", ".join(repr(item.value) for item in CallKind)
        raise LabUsageError(f"{error}; accepted: {known}") from None
    costs, profiles = measure_request_costs(RequestCostSettings(calls, rate, kinds, profile))
    typer.echo(profiles + format_request_costs(costs))


def cost_caller(plan: Annotated[str, typer.Argument(help="The plan, as JSON.")]) -> None:
    """Make the calls of ``request-cost``."""
    from pewtertack.lab.cost.calls import CallPlan, make_calls

    make_calls(msgspec.json.decode(plan, type=CallPlan))


def parts(
    log: Annotated[Path, typer.Argument(help="Logs of nodes with ``log.parts_every``.")],
) -> None:
    """Print the processor time of a fleet by part."""
    from pewtertack.lab.cost.parts import format_part_shares, part_shares, read_part_times

    try:
        with log.open(errors="replace") as lines:
            reports, truncated = read_part_times(lines)
    except OSError as error:
        raise LabUsageError(f"cannot read {log}: {error}") from error
    typer.echo(f"{len(reports)} processes, {truncated} truncated lines")
    typer.echo(format_part_shares(part_shares(reports)))
