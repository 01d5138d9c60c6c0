"""``pewtertack lab overload`` and ``lab crashes``: simulations in virtual time, printed as JSON."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from pewtertack.core.policies import Policies, WaitMarginPolicy


def crashes(
    nodes: Annotated[
        int, typer.Option(help="Nodes, each with a local back end of the service.")
    ] = 12,
    seconds: Annotated[float, typer.Option(help="Virtual seconds.")] = 20.0,
    repeat: Annotated[float, typer.Option(help="Seconds between two sends of the request.")] = 0.2,
    burst: Annotated[int, typer.Option(help="Number of concurrent sends.")] = 1,
    away: Annotated[
        float, typer.Option(help="Seconds until a crashed back end is available again.")
    ] = 3.0,
    loss: Annotated[float, typer.Option(help="Fraction of datagrams that are lost.")] = 0.02,
    ledger: Annotated[bool, typer.Option(help="Whether crashes are reported and recorded.")] = True,
    seed: int = 1,
    plot: Annotated[Path | None, typer.Option(help="File for a plot over time, as SVG.")] = None,
) -> None:
    """Simulate a request that crashes back ends among ordinary ones; print the result as JSON."""
    from pewtertack.lab.crashes.simulation import CrashSettings, simulate_crashes

    settings = CrashSettings(
        nodes=nodes,
        seconds=seconds,
        repeat=repeat,
        burst=burst,
        away=away,
        loss=loss,
        ledger=ledger,
    )
    result = simulate_crashes(settings, seed)
    if plot is not None:
        from pewtertack.lab.pages.plots import plot_crashes

        plot_crashes([result], plot)
    _print(result)


def overload(
    nodes: Annotated[int, typer.Option(help="Proxies that share the back ends.")] = 8,
    load: Annotated[float, typer.Option(help="Offered load, as a multiple of the capacity.")] = 2.0,
    seconds: Annotated[float, typer.Option(help="Virtual seconds.")] = 20.0,
    seed: int = 1,
    gateways: Annotated[bool, typer.Option(help="Use a gateway for each back end.")] = False,
    returning: Annotated[
        bool,
        typer.Option(help="With --gateways: callers retry, and the worth of responses is counted."),
    ] = False,
    burst: Annotated[
        float, typer.Option(min=0, help="Duration of a burst in seconds; needs --returning.")
    ] = 0,
    slowness: Annotated[
        float,
        typer.Option(
            min=1, help="Factor by which one back end slows down for 3 s; needs --returning."
        ),
    ] = 1,
    speeds: Annotated[
        str,
        typer.Option(
            help="Speeds, assigned to each zone's back ends in turn, such as 0.5,1.4; "
            "needs --returning."
        ),
    ] = "1",
    long_share: Annotated[
        float,
        typer.Option(
            min=0,
            max=1,
            help="Fraction of requests that take seven times as long; needs --returning.",
        ),
    ] = 0,
    margin: Annotated[
        WaitMarginPolicy,
        typer.Option(help="Policy of how long requests may wait; needs --returning."),
    ] = WaitMarginPolicy.SPREAD,
) -> None:
    """Simulate an overload, compared with round robin and fixed retries; print it as JSON."""
    from pewtertack.lab.overload.retrying_callers import (
        RetrySimulationSettings,
        simulate_retrying_callers,
    )
    from pewtertack.lab.overload.simulation import OverloadSettings, compare, simulate_gateways

    settings = OverloadSettings(nodes=nodes, seconds=seconds)
    if returning and not gateways:
        raise typer.BadParameter("--returning needs --gateways")
    result: msgspec.Struct
    if returning:
        retry_settings = RetrySimulationSettings(
            seconds=seconds,
            load=load,
            burst=burst,
            slowness=slowness,
            speeds=_parse_speeds(speeds),
            long_share=long_share,
            policies=Policies(margin=margin),
        )
        result = simulate_retrying_callers(retry_settings, seed)
    else:
        result = (
            simulate_gateways(settings, load, seed) if gateways else compare(settings, load, seed)
        )
    _print(result)


def _parse_speeds(text: str) -> tuple[float, ...]:
    try:
        speeds = tuple(float(part) for part in text.split(","))
    except ValueError:
        speeds = ()
    if not speeds or not all(0 < speed < math.inf for speed in speeds):
        raise typer.BadParameter("speeds must be positive numbers separated by commas")
    return speeds


def _print(result: msgspec.Struct) -> None:
    typer.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
