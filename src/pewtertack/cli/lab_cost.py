"""``pewtertack lab node-cost``: what one node costs its machine."""

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
    rounds: Annotated[int, typer.Option(help="Windows of each state.")] = 3,
    seconds: Annotated[float, typer.Option(help="Length of one window.")] = 15.0,
    seed: int = 1,
    report: Annotated[Path | None, typer.Option(help="Takes the report as JSON.")] = None,
    examples: Annotated[Path, typer.Option(help="Directory of the trees.")] = Path("examples"),
) -> None:
    """Measure memory and processor time of real nodes, at rest and under calls."""
    from pewtertack.lab.cost.measurement import CostSettings, measure_node_cost
    from pewtertack.lab.cost.report import format_cost
    from pewtertack.lab.deployments import shape_of

    shape = shape_of(deployment, examples, nodes_per_zone)
    settings = CostSettings(rate=rate, rounds=rounds, seconds=seconds, seed=seed)

    def progress(line: str) -> None:
        typer.echo(line, err=True)

    result = anyio.run(measure_node_cost, shape, settings, progress)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    typer.echo(format_cost(result))


def request_cost(
    calls: Annotated[int, typer.Option(help="Calls of each kind.")] = 2000,
    rate: Annotated[float, typer.Option(help="Calls per second; 0: one after another.")] = 0.0,
    profile: Annotated[bool, typer.Option(help="Print where the time goes as well.")] = False,
    kind: Annotated[list[str] | None, typer.Option(help="Only these parts.")] = None,
) -> None:
    """Measure what a served and a refused hop over two nodes cost in processor time."""
    from pewtertack.lab.cost.calls import CallKind
    from pewtertack.lab.cost.requests import CostSettings, format_costs, measure_requests
    from pewtertack.node import collector

    collector.resume()
    try:
        kinds = tuple(CallKind(text) for text in kind) if kind else tuple(CallKind)
    except ValueError as error:
        known = ", ".join(repr(item.value) for item in CallKind)
        raise LabUsageError(f"{error}; there are {known}") from None
    costs, profiles = measure_requests(CostSettings(calls, rate, kinds, profile))
    typer.echo(profiles + format_costs(costs))


def cost_caller(plan: Annotated[str, typer.Argument(help="The plan as JSON.")]) -> None:
    """Make the calls of ``request-cost``."""
    from pewtertack.lab.cost.calls import CallPlan, make_calls

    make_calls(msgspec.json.decode(plan, type=CallPlan))


def parts(
    log: Annotated[Path, typer.Argument(help="Logs of nodes with ``log.parts_every``.")],
) -> None:
    """Tell what a fleet's processor time was spent for, by part."""
    from pewtertack.lab.cost.parts import format_shares, read_parts, shares_of

    try:
        with log.open(errors="replace") as lines:
            told, cut = read_parts(lines)
    except OSError as error:
        raise LabUsageError(f"cannot read {log}: {error}") from error
    typer.echo(f"{len(told)} processes, {cut} lines cut")
    typer.echo(format_shares(shares_of(told)))
