"""``pewtertack lab overload`` and ``lab crashes``: simulations in virtual time, printed as JSON."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from pewtertack.core.policies import Policies, WaitMarginPolicy


def crashes(
    nodes: Annotated[int, typer.Option(help="Nodes, a back end of the service beside each.")] = 12,
    seconds: Annotated[float, typer.Option(help="Virtual seconds.")] = 20.0,
    repeat: Annotated[float, typer.Option(help="Seconds between two sends of the request.")] = 0.2,
    burst: Annotated[int, typer.Option(help="How often it is sent at once.")] = 1,
    away: Annotated[float, typer.Option(help="Seconds until a back end is back.")] = 3.0,
    loss: Annotated[float, typer.Option(help="Share of datagrams that get lost.")] = 0.02,
    ledger: Annotated[bool, typer.Option(help="Whether ends are told and remembered.")] = True,
    seed: int = 1,
    plot: Annotated[Path | None, typer.Option(help="Takes a plot by second, SVG.")] = None,
) -> None:
    """Simulate it beside ordinary requests, and print the result as JSON."""
    from pewtertack.lab.crashes.simulation import CrashShape, simulate_crashes

    shape = CrashShape(
        nodes=nodes,
        seconds=seconds,
        repeat=repeat,
        burst=burst,
        away=away,
        loss=loss,
        ledger=ledger,
    )
    result = simulate_crashes(shape, seed)
    if plot is not None:
        from pewtertack.lab.pages.plots import plot_crashes

        plot_crashes([result], plot)
    _print(result)


def overload(
    nodes: Annotated[int, typer.Option(help="Proxies that share the back ends.")] = 8,
    load: Annotated[float, typer.Option(help="Offered load, in capacities.")] = 2.0,
    seconds: Annotated[float, typer.Option(help="Virtual seconds.")] = 20.0,
    seed: int = 1,
    gateways: Annotated[bool, typer.Option(help="A gateway beside each back end.")] = False,
    returning: Annotated[
        bool, typer.Option(help="With --gateways: callers that come back; worth is counted.")
    ] = False,
    burst: Annotated[float, typer.Option(min=0, help="Seconds of a burst, returning only.")] = 0,
    slowness: Annotated[
        float, typer.Option(min=1, help="One back end slower for 3 s, returning only.")
    ] = 1,
    speeds: Annotated[
        str, typer.Option(help="Of each zone's back ends in turn, as 0.5,1.4, returning only.")
    ] = "1",
    long_share: Annotated[
        float,
        typer.Option(min=0, max=1, help="Requests that take seven times as long, returning only."),
    ] = 0,
    margin: Annotated[
        WaitMarginPolicy, typer.Option(help="Until when requests may wait, returning only.")
    ] = WaitMarginPolicy.SPREAD,
) -> None:
    """Simulate an overload against round robin with fixed retries, and print it as JSON."""
    from pewtertack.lab.overload.returning import ReturningShape, simulate_returning
    from pewtertack.lab.overload.simulation import Shape, compare, simulate_gateways

    shape = Shape(nodes=nodes, seconds=seconds)
    if returning and not gateways:
        raise typer.BadParameter("--returning needs --gateways")
    result: msgspec.Struct
    if returning:
        world = ReturningShape(
            seconds=seconds,
            load=load,
            burst=burst,
            slowness=slowness,
            speeds=_parse_speeds(speeds),
            long_share=long_share,
            policies=Policies(margin=margin),
        )
        result = simulate_returning(world, seed)
    else:
        result = simulate_gateways(shape, load, seed) if gateways else compare(shape, load, seed)
    _print(result)


def _parse_speeds(text: str) -> tuple[float, ...]:
    try:
        speeds = tuple(float(part) for part in text.split(","))
    except ValueError:
        speeds = ()
    if not speeds or not all(0 < speed < math.inf for speed in speeds):
        raise typer.BadParameter("speeds are positive numbers, separated by commas")
    return speeds


def _print(result: msgspec.Struct) -> None:
    typer.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
